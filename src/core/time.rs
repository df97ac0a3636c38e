//! Instants, and the durations of the lease and heartbeat protocols.
//!
//! An [`Instant`] is a reading of the machine's clock that keeps running while
//! the machine is suspended, in microseconds. Instants of different machines
//! are never compared; only durations are sent over the network.

use std::time::Duration;

/// Duration of a lease, counted from the endpoint's clock reading that the order cites.
pub const LEASE_DURATION: Duration = Duration::from_millis(600);

/// Interval at which a renewer renews the lease of an endpoint.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(150);

/// Timeout of a renewer's wait for the answer to an order.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// Time without an answer after which an endpoint is suspected of failure.
pub const ENDPOINT_SUSPECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval of the heartbeats to the planners of cells.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of the heartbeats to all other peers.
pub const IDLE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2000);

/// Time without a heartbeat after which a planner, or a process whose planner
/// is the local process, is suspected of failure.
pub const PEER_SUSPECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without a heartbeat after which a process starts frequent heartbeats
/// with all peers, to find out whether the planner is lost or the process
/// itself is cut off.
pub const PLANNER_SUSPECT_TIMEOUT: Duration = Duration::from_millis(280);

/// Time without a heartbeat after which any other peer is suspected of failure.
pub const IDLE_PEER_SUSPECT_TIMEOUT: Duration = Duration::from_millis(5000);

/// Delay before a takeover that is added for each candidate of a higher rank.
pub const TAKEOVER_DELAY_STEP: Duration = Duration::from_millis(150);

/// Bound on the drift between two clocks, as a divisor of the elapsed time.
const DRIFT_DIVISOR: u32 = 1000;

/// Allowance for the granularity of timers.
const TIMER_MARGIN: Duration = Duration::from_millis(10);

key! {
    /// Microseconds on the local clock that includes suspended time.
    #[derive(Default)]
    pub struct Instant(pub u64);
}

impl Instant {
    /// Returns the instant `duration` later.
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Returns the time after which a lease of `lease` has expired on every clock.
pub fn expiry_bound(lease: Duration) -> Duration {
    lease + lease / DRIFT_DIVISOR + TIMER_MARGIN
}
