//! What a router process is told at its start.

use crate::{
    core::retry_limit::Limit,
    kernel::settings::Outside, //
};
use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    time::Duration,
};

/// Addresses that the process listens on.
#[derive(Clone, Debug, PartialEq)]
pub struct Addresses {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Readiness and metrics.
    pub ready: SocketAddr,
    /// Peers' requests for the state.
    pub peers: SocketAddr,
    /// Peers' datagrams.
    pub datagrams: SocketAddr,
}

/// Bounds that the platform's users set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from the signal to stop until the process is killed.
    pub grace_period: Duration,
    /// Time in which a leaving endpoint must see its last request.
    pub drain_timeout: Duration,
    /// Longest time for which keys may be granted.
    pub max_lease_duration: Duration,
    /// Bound on repeats.
    pub retry_limit: Limit,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace_period: Duration::from_secs(6),
            drain_timeout: Duration::from_secs(2),
            max_lease_duration: Duration::from_secs(10),
            retry_limit: Limit {
                ratio_permille: 200,
                slack: 0,
                window: Duration::from_secs(10),
            },
        }
    }
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM, unique among all.
    pub name: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// Addresses to listen on.
    pub listen: Addresses,
    /// Path of the readiness check.
    pub ready_path: Box<str>,
    /// The platform's store.
    pub store: Outside,
    /// Dialect of grants.
    pub lease_dialect: Box<str>,
    /// Dialect of header fields.
    pub header_dialect: Box<str>,
    /// Address from which the process speaks to others.
    pub source_address: Option<IpAddr>,
    /// Processor share, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory that the process may use.
    pub memory_bytes: u64,
    /// File descriptors that the process may use.
    pub max_file_descriptors: u64,
    /// Bounds.
    pub bounds: Bounds,
    /// Level of the log.
    pub log_level: Box<str>,
}
