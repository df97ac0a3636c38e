//! How much of a capacity is asked for.

use crate::core::time::Instant;

/// Span over which the load that callers bring is averaged, in microseconds.
pub const LOAD_SPAN_US: f64 = 1_000_000.0;

/// Requests over which the load of work in time is averaged: known to a quarter.
const FRESH_REQUESTS: f64 = 16.0;

/// Bounds on that span, in microseconds: a few ticks to [`LOAD_SPAN_US`].
const FRESH_SPAN_US: (f64, f64) = (100_000.0, 1_000_000.0);

/// Work a second as a share of capacity, a decaying average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flow {
    value: f64,
    span_us: f64,
    at: Instant,
}

impl Flow {
    /// Adds work that is done in `work_us` with all of the capacity.
    pub fn add(&mut self, work_us: f64, span_us: f64, now: Instant) {
        self.value = self.value(now) + work_us / span_us;
        self.span_us = span_us;
        self.at = now;
    }

    /// Returns the share now.
    pub fn value(&self, now: Instant) -> f64 {
        let passed = now.since(self.at).as_micros() as f64;
        self.value * (-passed / self.span_us.max(1.0)).exp()
    }
}

/// Returns the span over which work in time is averaged, in microseconds.
pub fn fresh_span_us(work_us: f64) -> f64 {
    (work_us * FRESH_REQUESTS).clamp(FRESH_SPAN_US.0, FRESH_SPAN_US.1)
}
