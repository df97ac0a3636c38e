//! What planners did before the store was restored from an old copy.
//!
//! The copy may lack claims and moves of keys that planners acted upon. A claim
//! in a new era of the store therefore starts from a [`Basis`] that is checked
//! against the [`History`] of every other process.

use crate::core::ownership::{
    Claim,
    Table,
    MIN_LEASE_DURATION, //
};

/// Era of a store that was never restored.
const FIRST_ERA: u64 = 1;

record! {
    /// What a process may have leased as the planner of a service.
    #[derive(Copy)]
    pub struct Planned {
        /// Highest fencing token of its last table.
        pub last_fence: u64,
        /// Longest lease that its last table allowed, in milliseconds.
        pub lease_ms: u64,
    }

    /// What a process tells of the time before a claim of another process.
    #[derive(Copy)]
    pub struct History {
        /// What it planned last, if anything.
        pub planned: Option<Planned>,
        /// Time since its start, in milliseconds. Earlier runs of the VM granted nothing since
        /// then.
        pub uptime_ms: u64,
    }

    /// Identifies the table that a claim in a later era of the store started from.
    pub struct Basis {
        /// Planner that wrote it.
        pub claim: Claim,
        /// Fencing token with which that planner took the claim.
        pub claim_fence: u64,
        /// Its highest fencing token.
        pub last_fence: u64,
        /// Longest lease that it allowed, in milliseconds.
        pub lease_ms: u64,
    }
}

impl Basis {
    /// Returns the basis for a service of which no table is known.
    pub(super) fn unknown() -> Self {
        Self {
            claim: Claim::unknown(),
            claim_fence: 0,
            last_fence: 0,
            lease_ms: MIN_LEASE_DURATION.as_millis() as u64,
        }
    }

    /// Returns whether this table includes all that a process leased as planner.
    ///
    /// A planner raises the fencing token when it takes the claim, so a claim with a higher one
    /// than another planner ever used was made with that planner's last table known.
    pub fn includes(&self, planner: &Claim, planned: Planned) -> bool {
        if *planner == self.claim {
            self.last_fence >= planned.last_fence
        } else {
            self.claim_fence > planned.last_fence
        }
    }
}

/// Returns whether the known table of a service, if there is one, may lack changes because the
/// store was restored before the present era.
pub fn is_restored(table: Option<&Table>, era: u64) -> bool {
    // A store that was never restored has lost no table.
    table.map_or(era > FIRST_ERA, |table| table.era < era)
}

/// Returns the processes other than `own` that may have planned a service in an earlier era of
/// the store, given all known VMs.
///
/// A VM that knows nothing from that era may not know all of them.
pub fn possible_planners(
    members: impl Iterator<Item = Claim>,
    own: &Claim,
    knows_earlier_era: bool,
) -> Vec<Claim> {
    let unknown = (!knows_earlier_era).then(Claim::unknown);
    members
        .filter(|claim| claim != own)
        .chain(unknown)
        .collect()
}
