//! The ownership table of a service: its planner and the owner of each key range.

use crate::core::ownership::{
    is_restored,
    Basis,
    MAX_LEASE_DURATION,
    MIN_LEASE_DURATION, //
};
use std::time::Duration;

/// Number of bits for the fencing tokens of one era of the store.
const FENCE_BITS: u32 = 32;

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
        /// Era of the store in which the claim was made.
        #[serde(default)]
        pub era: u64,
        /// Fencing token with which the planner took the claim.
        #[serde(default)]
        pub claim_fence: u64,
        /// What the table started from, if keys may have other owners than it says, since the
        /// store was restored from an old copy.
        #[serde(default)]
        pub unverified: Option<Basis>,
        /// Highest fencing token issued so far.
        pub last_fence: u64,
        /// Longest lease that any planner may have granted so far, in milliseconds.
        #[serde(default = "longest_lease_ms")]
        pub lease_ms: u64,
        /// Ranges in ascending order; together they cover all keys.
        pub ranges: Vec<Range>,
    }
}

impl Claim {
    /// Returns the claim of a process that is not known; it never ends.
    pub fn unknown() -> Self {
        Self {
            node: "".into(),
            run: 0,
        }
    }
}

impl Table {
    /// Returns the table that makes `claim` the planner.
    ///
    /// Every owner keeps its keys under a higher fencing token. `era` is that of
    /// the store, and `others` are the [`possible_planners`](super::possible_planners)
    /// in an earlier era. `has_ended` returns whether the process behind a claim has
    /// certainly ended.
    pub fn claimed(
        current: Option<&Self>,
        service: &str,
        claim: Claim,
        era: u64,
        others: &[Claim],
        has_ended: &dyn Fn(&Claim) -> bool,
    ) -> Self {
        let is_restored = is_restored(current, era);
        let Some(current) = current else {
            return Self {
                service: service.into(),
                earlier: others.iter().filter(|_| is_restored).cloned().collect(),
                claim,
                era,
                claim_fence: era << FENCE_BITS,
                unverified: is_restored.then(Basis::unknown),
                last_fence: era << FENCE_BITS,
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
        if is_restored {
            table.unverified.get_or_insert_with(|| current.basis());
            table.era = era;
            table.lease_ms = longest_lease_ms();
        }
        if table.unverified.is_some() {
            table.earlier.extend_from_slice(others);
        }
        table
            .earlier
            .retain(|earlier| *earlier != claim && !has_ended(earlier));
        table.earlier.sort();
        table.earlier.dedup();
        table.claim = claim;
        // Fencing tokens that were issued after the copy was made are not known.
        table.last_fence = (table.last_fence + 1).max(era << FENCE_BITS);
        table.claim_fence = table.last_fence;
        for range in &mut table.ranges {
            range.fence = table.last_fence;
        }
        table
    }

    fn basis(&self) -> Basis {
        Basis {
            claim: self.claim.clone(),
            claim_fence: self.claim_fence,
            last_fence: self.last_fence,
            lease_ms: self.lease_ms,
        }
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
