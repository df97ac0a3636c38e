//! Orders that a planner sends to endpoints, and their outcomes.

use crate::core::time::Instant;
use std::time::Duration;

/// An order that leases a key range to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// Fencing token.
    pub fence: u64,
    /// Duration of the lease, from the arrival of the order.
    pub duration: Duration,
    /// State that the previous holder handed over in its answer to the release.
    pub handover: Option<Box<str>>,
}

/// An order to give up a key range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Release {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// Fencing token, higher than that of the grant.
    pub fence: u64,
}

/// The outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint obeyed; a release may return state for the next holder.
    Done(Option<Box<str>>),
    /// The endpoint refused the order because it has seen a higher fencing token.
    Fenced,
    /// The address belongs to another endpoint, or the endpoint could not read the order.
    Refused,
    /// The endpoint did not answer in time and may have obeyed.
    Silent,
    /// The endpoint could not be reached.
    Unreachable,
    /// The connection was already closed, so the order was not sent.
    Ended,
}

/// A grant that was sent, with its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The grant.
    pub grant: Grant,
    /// When it was sent.
    pub sent: Instant,
    /// When the answer was read or the connection was closed; the grant cannot
    /// have arrived later.
    pub completed: Instant,
    /// Outcome of the grant.
    pub outcome: Outcome,
}
