//! System clocks.

use crate::core::time;
use rustix::time::{
    clock_gettime,
    ClockId, //
};
use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

const MICROS_PER_S: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// Returns the time of `CLOCK_BOOTTIME`, a monotonic clock that also counts
/// while the machine is suspended.
pub fn now() -> time::Instant {
    let reading = clock_gettime(ClockId::Boottime);
    let seconds = reading.tv_sec as u64;
    let nanos = reading.tv_nsec as u64;
    time::Instant(seconds * MICROS_PER_S + nanos / NANOS_PER_MICRO)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for
/// records that people read.
pub fn wall_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Returns the wall-clock time in microseconds since the Unix epoch.
///
/// A process takes it at its start as its run number, so that a later run
/// has a higher one.
pub fn wall_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as u64)
}
