//! Points in time and the durations that the lease protocol is built on.
//!
//! An [`Instant`] counts microseconds on one machine's clock that also runs
//! while the machine is suspended. Instants of two machines are never
//! compared; only spans cross the network.

use std::time::Duration;

/// How long a grant lasts from the clock reading that it cites.
pub const LEASE_DURATION: Duration = Duration::from_millis(600);

/// How often a renewer renews each endpoint.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(150);

/// How long a renewer waits for the answer to one order.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// How long an endpoint may be silent before it is suspected.
pub const ENDPOINT_SILENCE: Duration = Duration::from_millis(250);

/// How often a process sends a heartbeat to the planners of its cells.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// How often it sends a heartbeat to each other peer.
pub const IDLE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2000);

/// How long a planner, or a process that it plans for, may be silent before
/// it is suspected.
pub const PEER_SUSPECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a planner may be silent before the others listen for everyone.
pub const PLANNER_SUSPECT_TIMEOUT: Duration = Duration::from_millis(280);

/// How long any other peer may be silent before it is suspected.
pub const IDLE_SILENCE: Duration = Duration::from_millis(5000);

/// Extra silence that each further candidate waits before it takes over.
pub const TAKEOVER_DELAY_STEP: Duration = Duration::from_millis(150);

/// Share of a span by which two clocks may disagree, as one part in this many.
const DRIFT_DIVISOR: u32 = 1000;

/// Added to every lapse for the granularity of timers.
const LAPSE_MARGIN: Duration = Duration::from_millis(10);

key! {
    /// Microseconds of the local suspend-aware clock.
    #[derive(Default)]
    pub struct Instant(pub u64);
}

impl Instant {
    /// Returns the instant `span` later.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }

    /// Returns the time that has passed since `earlier`, or zero.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Returns the span after which a grant of `lease` is over on every clock.
pub fn lapse(lease: Duration) -> Duration {
    lease + lease / DRIFT_DIVISOR + LAPSE_MARGIN
}
