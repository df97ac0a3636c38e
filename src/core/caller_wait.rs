//! Estimates how long callers have waited before their request reached a VM.
//!
//! After VMs are lost, the callers that waited for connections to them arrive in
//! a wave. Their requests are late already and must not be served before those
//! that can still meet their goal. A caller sends only the time that it will still
//! wait, and callers differ in that. So only a deadline far below the longest one
//! of the class shows that the caller has waited.

use std::time::Duration;

/// Share of the longest deadline by which the deadlines of a class differ when no
/// caller has waited.
const DEADLINE_SPREAD_PERCENT: u64 = 25;

/// Keeps the longest deadline seen of each class.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Class and deadline in milliseconds, sorted by class.
    longest_ms: Vec<(u32, u64)>,
}

impl Estimator {
    /// Returns a lower bound on the time that a caller with this deadline has waited.
    pub fn min_wait(&mut self, class: u32, deadline_ms: u64) -> Duration {
        let position = self
            .longest_ms
            .binary_search_by_key(&class, |&(class, _)| class);
        let index = position.unwrap_or_else(|index| {
            self.longest_ms.insert(index, (class, 0));
            index
        });
        let longest_ms = &mut self.longest_ms[index].1;
        *longest_ms = deadline_ms.max(*longest_ms);
        let shortest_ms = *longest_ms * (100 - DEADLINE_SPREAD_PERCENT) / 100;
        Duration::from_millis(shortest_ms.saturating_sub(deadline_ms))
    }
}
