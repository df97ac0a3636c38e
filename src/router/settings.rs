//! Settings of a router process.

use crate::{
    core::retry_limit::Limit,
    kernel::settings::Provider, //
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
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for the readiness check and metrics.
    pub ready: SocketAddr,
    /// Address for peers' queries for the store's state.
    pub peers: SocketAddr,
    /// Address for peers' datagrams.
    pub datagrams: SocketAddr,
}

/// Limits that the platform's users set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from the signal to stop until the process is killed.
    pub grace_period: Duration,
    /// Time after which a leaving endpoint must get no more requests.
    pub drain_timeout: Duration,
    /// Time after which no request may reach an evacuated zone; `None` if zones are not evacuated.
    pub evacuation_timeout: Option<Duration>,
    /// Requests that a cold endpoint may get in any one second, as a multiple of the rate that it
    /// handles.
    pub cold_rate_factor: f64,
    /// Requests that it may get beyond that.
    pub cold_rate_tolerance: f64,
    /// Longest duration of a grant of keys.
    pub max_lease_duration: Duration,
    /// Limit on repeated requests.
    pub retry_limit: Limit,
    /// Limit on the memory that is held for callers, in bytes; derived from the memory limit of
    /// the process if there is none.
    pub caller_memory: Option<u64>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace_period: Duration::from_secs(6),
            drain_timeout: Duration::from_secs(2),
            evacuation_timeout: None,
            cold_rate_factor: 1.5,
            cold_rate_tolerance: 8.0,
            max_lease_duration: Duration::from_secs(10),
            retry_limit: Limit {
                ratio_permille: 200,
                slack: 0,
                window: Duration::from_secs(10),
            },
            caller_memory: None,
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
    pub store: Provider,
    /// Name of the dialect of grants and releases.
    pub lease_dialect: Box<str>,
    /// Name of the dialect of header fields.
    pub header_dialect: Box<str>,
    /// Local address of outgoing connections; `None` leaves the choice to the operating system.
    pub source_address: Option<IpAddr>,
    /// CPU share, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory limit of the process.
    pub memory_bytes: u64,
    /// Limit on open file descriptors of the process.
    pub max_file_descriptors: u64,
    /// Time limits and retry limit.
    pub bounds: Bounds,
    /// Whether requests without a key stay in their availability zone unless leaving it pays off.
    pub has_zone_affinity: bool,
    /// Log level.
    pub log_level: Box<str>,
}
