//! The ownership table of a service: its planner and the owner of each key range.

use crate::core::ownership::{
    MAX_LEASE_DURATION,
    MIN_LEASE_DURATION, //
};
use std::time::Duration;

record! {
    /// One run of an endpoint's process.
    pub struct Owner {
        /// Identity of the endpoint.
        pub endpoint: Box<str>,
        /// Start of the process, in milliseconds of its wall clock.
        pub born: u64,
    }

    /// The identity of a planner: a VM and the run of its process.
    #[derive(PartialOrd, Ord)]
    pub struct Claim {
        /// Name of the VM.
        pub node: Box<str>,
        /// Run of the process; a later run has a higher number.
        pub run: u64,
    }

    /// A range of adjacent keys with one owner.
    pub struct Range {
        /// First key.
        pub from: u16,
        /// Last key.
        pub to: u16,
        /// Current owner, if there is one.
        pub owner: Option<Owner>,
        /// Previous owner, as long as it may still hold the keys.
        pub previous: Option<Owner>,
        /// Fencing token of the current owner.
        pub fence: u64,
    }

    /// The owners of all keys of a service.
    pub struct Table {
        /// Name of the service.
        pub service: Box<str>,
        /// The planner that may replace this table.
        pub claim: Claim,
        /// Earlier planners that may still grant keys to endpoints that only they can reach.
        #[serde(default)]
        pub earlier: Vec<Claim>,
        /// Highest fencing token issued so far.
        pub last_fence: u64,
        /// Longest lease that any planner may have granted so far, in milliseconds.
        #[serde(default = "longest_lease_ms")]
        pub lease_ms: u64,
        /// Ranges in ascending order; together they cover all keys.
        pub ranges: Vec<Range>,
    }
}

impl Table {
    /// Returns the table that makes `claim` the planner.
    ///
    /// Every owner keeps its keys under a higher fencing token. `has_ended`
    /// returns whether the process behind a claim has certainly ended.
    pub fn claimed(
        current: Option<&Self>,
        service: &str,
        claim: Claim,
        has_ended: &dyn Fn(&Claim) -> bool,
    ) -> Self {
        let Some(current) = current else {
            return Self {
                service: service.into(),
                claim,
                earlier: Vec::new(),
                last_fence: 0,
                lease_ms: MIN_LEASE_DURATION.as_millis() as u64,
                ranges: vec![Range {
                    from: 0,
                    to: u16::MAX,
                    owner: None,
                    previous: None,
                    fence: 0,
                }],
            };
        };
        let mut table = current.clone();
        table.earlier.push(current.claim.clone());
        table
            .earlier
            .retain(|earlier| *earlier != claim && !has_ended(earlier));
        table.earlier.sort();
        table.earlier.dedup();
        table.claim = claim;
        table.last_fence += 1;
        for range in &mut table.ranges {
            range.fence = table.last_fence;
        }
        table
    }

    /// Returns the longest lease that any planner may have granted so far.
    pub fn longest_lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms).min(MAX_LEASE_DURATION)
    }

    /// Returns the range that contains a key.
    pub fn range(&self, key: u16) -> Option<&Range> {
        let index = self.ranges.partition_point(|range| range.to < key);
        self.ranges.get(index).filter(|range| range.from <= key)
    }
}

/// Returns the longest lease of planners that did not record it in the table.
fn longest_lease_ms() -> u64 {
    MAX_LEASE_DURATION.as_millis() as u64
}
