//! Offered load as a share of capacity.

use crate::core::time::Instant;

/// Time constant over which the load of all requests is averaged, in microseconds.
pub const LOAD_WINDOW_US: f64 = 1_000_000.0;

/// Requests over which the load of on-time requests is averaged; sixteen give it
/// to within a quarter.
const ON_TIME_WINDOW_REQUESTS: f64 = 16.0;

/// Bounds on the time constant of the on-time load, in microseconds: from a few
/// ticks of the dispatcher to [`LOAD_WINDOW_US`].
const ON_TIME_WINDOW_RANGE_US: (f64, f64) = (100_000.0, 1_000_000.0);

/// Exponentially decaying average of the work per second, as a share of capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    value: f64,
    window_us: f64,
    updated_at: Instant,
}

impl Average {
    /// Adds work that takes `work_us` with the full capacity.
    pub fn add(&mut self, work_us: f64, window_us: f64, now: Instant) {
        self.value = self.value(now) + work_us / window_us;
        self.window_us = window_us;
        self.updated_at = now;
    }

    /// Returns the average at `now`.
    pub fn value(&self, now: Instant) -> f64 {
        let elapsed_us = now.since(self.updated_at).as_micros() as f64;
        self.value * (-elapsed_us / self.window_us.max(1.0)).exp()
    }
}

/// Returns the time constant over which the on-time load is averaged, in microseconds.
pub fn on_time_window_us(work_us: f64) -> f64 {
    (work_us * ON_TIME_WINDOW_REQUESTS).clamp(ON_TIME_WINDOW_RANGE_US.0, ON_TIME_WINDOW_RANGE_US.1)
}
