//! How long callers have waited before they reach a VM.
//!
//! Answers the wave that follows a loss of VMs: its callers have waited for
//! connections, what they asked for is late already, and they must not go
//! before those for whom there is still time. A caller only says how long it
//! still waits, and callers differ; so only a deadline far below the longest
//! one of its class shows that time has passed.

use std::time::Duration;

/// Part of the longest deadline of a class by which its callers differ, in hundredths.
const SPREAD_PERCENT: u64 = 25;

/// The longest deadline seen of each class.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Class and deadline in milliseconds, sorted by class.
    longest: Vec<(u32, u64)>,
}

impl Estimator {
    /// Returns the time that a caller with this deadline has waited at least.
    pub fn min_wait(&mut self, class: u32, deadline_ms: u64) -> Duration {
        let place = self
            .longest
            .binary_search_by_key(&class, |&(class, _)| class);
        let index = place.unwrap_or_else(|index| {
            self.longest.insert(index, (class, 0));
            index
        });
        let longest = &mut self.longest[index].1;
        *longest = deadline_ms.max(*longest);
        let shortest = *longest * (100 - SPREAD_PERCENT) / 100;
        Duration::from_millis(shortest.saturating_sub(deadline_ms))
    }
}
