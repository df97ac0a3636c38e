//! Grants to endpoints and releases, as the system needs them.
//!
//! Grants to one endpoint go over one kept connection, so that its end shows
//! a restart of the endpoint. Releases wait for work to end and have
//! connections of their own.

use crate::{
    core::{
        ownership::{
            Grant,
            Outcome,
            Release, //
        },
        registry::Endpoint,
    },
    kernel::http::Boxed,
};
use std::time::Duration;

/// Sends a grant.
pub type SendGrant = Box<dyn Fn(Grant) -> Boxed<Outcome> + Send + Sync>;

/// State of a kept connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    /// It may be used.
    Open,
    /// The endpoint said that it would close it.
    Closing,
    /// It ended without notice.
    Ended,
}

/// A kept connection to an endpoint.
pub struct Channel {
    /// Sends a grant.
    pub grant: SendGrant,
    /// Tells the state of the connection.
    pub line: Box<dyn Fn() -> Line + Send + Sync>,
}

/// Opens a kept connection; fails with [`Outcome::Unreachable`].
pub type Open = Box<dyn Fn(&Endpoint) -> Boxed<Result<Channel, Outcome>> + Send + Sync>;

/// Sends a release and waits for the work on the keys to end.
pub type SendRelease = Box<dyn Fn(&Endpoint, Release, Duration) -> Boxed<Outcome> + Send + Sync>;

/// An open dialect of orders.
pub struct Handle {
    /// Opens a kept connection.
    pub open: Open,
    /// Sends a release.
    pub release: SendRelease,
}
