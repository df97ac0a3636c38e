//! How many repeats a service gets.
//!
//! Answers a service in trouble: without a bound, each failing endpoint would
//! be sent a multiple of its load. Repeats in any window stay under a share
//! of the first tries in it, and a fixed allowance.

use crate::core::time::Instant;
use std::time::Duration;

/// Parts into which the window is divided.
const BUCKETS: usize = 10;

/// Part of the allowance that the first dispatcher of a service uses, in hundredths.
const USED_PERCENT: u64 = 78;

/// Part that any other one uses, and the first one in its first window, as what
/// was repeated before it began is not known to it.
const USED_PERCENT_OTHER: u64 = 18;

/// Part of that which callers who can still return may use, in hundredths: the
/// rest is kept for those who returned and have no other try.
const FIRST_VISIT_PERCENT: u64 = 40;

/// Bound on the repeats of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Repeats for each first try, in thousandths.
    pub ratio_permille: u64,
    /// Repeats on top of that.
    pub slack: u64,
    /// Span in which they are counted.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    slot: u64,
    firsts: u64,
    repeats: u64,
}

/// Counts first tries and repeats of one service.
#[derive(Clone, Debug)]
pub struct Limiter {
    bound: Limit,
    since: Instant,
    buckets: [Bucket; BUCKETS],
}

impl Limiter {
    /// Starts without a count.
    pub fn new(bound: Limit, now: Instant) -> Self {
        Self {
            bound,
            since: now,
            buckets: [Bucket::default(); BUCKETS],
        }
    }

    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let width = (self.bound.window.as_micros() as u64 / BUCKETS as u64).max(1);
        let slot = now.0 / width;
        let bucket = &mut self.buckets[slot as usize % BUCKETS];
        if bucket.slot != slot {
            *bucket = Bucket {
                slot,
                ..Bucket::default()
            };
        }
        bucket
    }

    /// Counts a first try.
    pub fn count_first(&mut self, now: Instant) {
        self.bucket(now).firsts += 1;
    }

    /// Counts a repeat if the bound allows one.
    ///
    /// `is_first` says whether this is the first dispatcher of the service,
    /// `is_return` whether the caller was refused before.
    pub fn take(&mut self, is_first: bool, is_return: bool, now: Instant) -> bool {
        let slot = self.bucket(now).slot;
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| bucket.slot + BUCKETS as u64 > slot);
        let (firsts, repeats) = recent.fold((0, 0), |(firsts, repeats), bucket| {
            (firsts + bucket.firsts, repeats + bucket.repeats)
        });
        let allowed = firsts * self.bound.ratio_permille / 1000 + self.bound.slack;
        let is_new = now.since(self.since) < self.bound.window;
        let percent = if is_new || !is_first {
            USED_PERCENT_OTHER
        } else {
            USED_PERCENT
        };
        let part = if is_return { 100 } else { FIRST_VISIT_PERCENT };
        if (repeats + 1) * 100 * 100 > allowed * percent * part {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }
}
