//! Estimates how long callers have waited before their request reached a VM.
//!
//! After VMs are lost, the callers that waited for connections to them arrive in
//! a wave. Their requests are late already and must not be served before those
//! that can still meet their goal. A caller sends only the time that it will still
//! wait, and callers differ in that. So a caller is taken to have waited only if its
//! deadline is far below one that many recent callers of the class sent. Callers
//! with other habits do not count as long as they are few, and a deadline that is
//! itself common shows no wait.

use std::time::Duration;

/// Share by which the deadlines of a class differ when no caller has waited.
const DEADLINE_SPREAD_PERCENT: u64 = 25;

/// Ratio between the lower bounds of neighboring buckets of deadlines.
const BUCKET_RATIO: f64 = 1.25;

/// Number of buckets; the last one starts above a quarter of an hour.
const BUCKETS: usize = 64;

/// One in this many recent callers makes a deadline common: more than the share of a
/// wave of delayed callers in [`MAX_SAMPLES`].
const COMMON_DIVISOR: u32 = 6;

/// Callers after which the common deadlines are known. Until then, the longest deadline
/// counts, as the first callers of a VM that has just started may all have waited.
const MIN_SAMPLES: u32 = 64;

/// Callers after which all counts are halved, so that changed habits are learned.
const MAX_SAMPLES: u32 = 2_048;

/// Counts the deadlines of the recent callers of each class.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Sorted by class.
    classes: Vec<(u32, Histogram)>,
}

impl Estimator {
    /// Returns a lower bound on the time that a caller with this deadline has waited.
    pub fn min_wait(&mut self, class: u32, deadline_ms: u64) -> Duration {
        let position = self
            .classes
            .binary_search_by_key(&class, |&(class, _)| class);
        let index = position.unwrap_or_else(|index| {
            self.classes.insert(index, (class, Histogram::default()));
            index
        });
        let histogram = &mut self.classes[index].1;
        let bucket = bucket_of(deadline_ms);
        histogram.record(bucket);
        let shortest_ms =
            lower_bound_ms(histogram.reference(bucket)) * (100 - DEADLINE_SPREAD_PERCENT) / 100;
        Duration::from_millis(shortest_ms.saturating_sub(deadline_ms))
    }
}

/// Numbers of callers by the bucket of their deadline.
#[derive(Clone, Debug)]
struct Histogram {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }
}

impl Histogram {
    fn record(&mut self, bucket: usize) {
        self.counts[bucket] += 1;
        self.total += 1;
        if self.total >= MAX_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Returns the bucket of the deadline that a caller in `bucket` probably started with.
    fn reference(&self, bucket: usize) -> usize {
        if self.total < MIN_SAMPLES {
            let longest = self.counts.iter().rposition(|&count| count > 0);
            return longest.unwrap_or(bucket);
        }
        let is_common = |&other: &usize| self.counts[other] * COMMON_DIVISOR >= self.total;
        (bucket..BUCKETS).find(is_common).unwrap_or(bucket)
    }
}

fn bucket_of(deadline_ms: u64) -> usize {
    let position = (deadline_ms.max(1) as f64).ln() / BUCKET_RATIO.ln();
    (position as usize).min(BUCKETS - 1)
}

fn lower_bound_ms(bucket: usize) -> u64 {
    BUCKET_RATIO.powi(bucket as i32) as u64
}
