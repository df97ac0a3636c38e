//! Limits the repeats of requests to a service.
//!
//! Without a limit, the endpoints of a failing service would be sent a multiple of
//! their load. The repeats in any window stay below a share of the first tries in
//! it plus a fixed allowance.

use crate::core::time::Instant;
use std::time::Duration;

/// Number of buckets into which the window is divided.
const BUCKETS: usize = 10;

/// Share of the allowed repeats that the primary dispatcher of a service uses.
const PRIMARY_SHARE_PERCENT: u64 = 78;

/// Share that any other dispatcher uses. The primary one also uses it during its first
/// window, as it does not know what was repeated before it started.
const SECONDARY_SHARE_PERCENT: u64 = 18;

/// Part of that share for callers that were not refused before. The rest is reserved
/// for callers that retry after a refusal, as they have no further try.
const FIRST_VISIT_PERCENT: u64 = 40;

/// Limit on the repeats of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Repeats per first try, in thousandths.
    pub ratio_permille: u64,
    /// Repeats allowed on top of that.
    pub slack: u64,
    /// Window in which they are counted.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Index of the part of time that the bucket counts.
    period: u64,
    first_tries: u64,
    repeats: u64,
}

/// Counts the first tries and repeats of one service in a sliding window.
#[derive(Clone, Debug)]
pub struct Limiter {
    limit: Limit,
    created_at: Instant,
    buckets: [Bucket; BUCKETS],
}

impl Limiter {
    /// Creates a limiter with all counts at zero.
    pub fn new(limit: Limit, now: Instant) -> Self {
        Self {
            limit,
            created_at: now,
            buckets: [Bucket::default(); BUCKETS],
        }
    }

    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let bucket_us = (self.limit.window.as_micros() as u64 / BUCKETS as u64).max(1);
        let period = now.0 / bucket_us;
        let bucket = &mut self.buckets[period as usize % BUCKETS];
        if bucket.period != period {
            *bucket = Bucket {
                period,
                ..Bucket::default()
            };
        }
        bucket
    }

    /// Records a first try.
    pub fn record_first_try(&mut self, now: Instant) {
        self.bucket(now).first_tries += 1;
    }

    /// Records a repeat and returns `true` if the limit allows one.
    ///
    /// `is_primary` is set at the primary dispatcher of the service, `is_return` for a
    /// caller that was refused before.
    pub fn try_acquire(&mut self, is_primary: bool, is_return: bool, now: Instant) -> bool {
        let period = self.bucket(now).period;
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| bucket.period + BUCKETS as u64 > period);
        let (first_tries, repeats) = recent.fold((0, 0), |(first_tries, repeats), bucket| {
            (first_tries + bucket.first_tries, repeats + bucket.repeats)
        });
        let allowed = first_tries * self.limit.ratio_permille / 1000 + self.limit.slack;
        let is_first_window = now.since(self.created_at) < self.limit.window;
        let percent = if is_first_window || !is_primary {
            SECONDARY_SHARE_PERCENT
        } else {
            PRIMARY_SHARE_PERCENT
        };
        let visit_percent = if is_return { 100 } else { FIRST_VISIT_PERCENT };
        if (repeats + 1) * 100 * 100 > allowed * percent * visit_percent {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }
}
