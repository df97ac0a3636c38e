//! Orders to endpoints and what comes of them.

use crate::core::time::Instant;
use std::time::Duration;

/// An order to grant keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// Fencing token.
    pub fence: u64,
    /// How long they are held from the arrival of the order.
    pub duration: Duration,
    /// What the last holder handed over.
    pub handover: Option<Box<str>>,
}

/// An order to give keys back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Release {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// Fencing token, above that of the grant.
    pub fence: u64,
}

/// What an endpoint answered to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It obeyed; with what it hands over, if it released.
    Done(Option<Box<str>>),
    /// It has seen a higher fencing token.
    Fenced,
    /// It is not the endpoint that was meant, or cannot read the order.
    Refused,
    /// It did not answer in time.
    Silent,
    /// It could not be reached.
    Unreachable,
    /// The connection had ended; nothing was sent.
    Ended,
}

/// What came of one grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The order.
    pub grant: Grant,
    /// When it was sent.
    pub sent: Instant,
    /// When the answer was read, or the connection given up; it had not
    /// arrived later than that.
    pub completed: Instant,
    /// What the endpoint answered.
    pub outcome: Outcome,
}
