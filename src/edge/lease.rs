//! Interface for granting keys to endpoints and releasing them.
//!
//! Grants to an endpoint use one persistent connection; if it is closed without
//! notice, the endpoint may have restarted. A release waits until the endpoint's
//! work on the keys has ended, so each release uses a separate connection.

use crate::{
    core::{
        ownership::{
            Grant,
            Outcome,
            Release, //
        },
        registry::Endpoint,
    },
    kernel::http::BoxFuture,
};
use std::time::Duration;

/// Sends a grant.
pub type SendGrant = Box<dyn Fn(Grant) -> BoxFuture<Outcome> + Send + Sync>;

/// State of a persistent connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It can be used.
    Open,
    /// The endpoint has announced that it closes the connection.
    Closing,
    /// It was closed without notice.
    Ended,
}

/// A persistent connection to an endpoint.
pub struct Channel {
    /// Sends a grant.
    pub grant: SendGrant,
    /// Returns the state of the connection.
    pub status: Box<dyn Fn() -> Status + Send + Sync>,
}

/// Opens a persistent connection; fails with [`Outcome::Unreachable`].
pub type Open = Box<dyn Fn(&Endpoint) -> BoxFuture<Result<Channel, Outcome>> + Send + Sync>;

/// Sends a release, and waits at most the given time until the endpoint's work
/// on the keys has ended.
pub type SendRelease =
    Box<dyn Fn(&Endpoint, Release, Duration) -> BoxFuture<Outcome> + Send + Sync>;

/// Client for grants and releases.
pub struct Client {
    /// Opens a persistent connection.
    pub open: Open,
    /// Sends a release.
    pub release: SendRelease,
}
