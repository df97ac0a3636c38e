//! Rendezvous hashing: chooses the VM that does a job for the others.
//!
//! Every VM computes the same ranking from the same members, so no agreement is
//! needed. VMs with a larger processor share rank first. When a member joins or leaves,
//! only the jobs that it takes over or had move.

use crate::core::registry::Member;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A VM is small if its processor share is below that of the largest divided by this.
const SMALL_DIVISOR: u32 = 2;

/// Seed of the ranking of relays; the text "relay" in ASCII.
const RELAY_SEED: u64 = 0x72656c6179;

/// Ranks the members for the job `job`, the preferred one first.
pub fn rank_members<'a>(members: &'a [Member], job: &str) -> Vec<&'a Member> {
    rank(members, seed(job))
}

/// Returns whether a member has a much smaller processor share than the largest of `members`.
pub fn is_small(members: &[Member], member: &Member) -> bool {
    let largest = members.iter().map(|member| member.cpu_millis).max();
    member.cpu_millis < largest.unwrap_or(0) / SMALL_DIVISOR
}

/// Returns the hash by which members of the same size are ranked for a job, the lowest one first.
pub fn hash(member: &Member, job: &str) -> u64 {
    xxh3_64_with_seed(member.name.as_bytes(), seed(job))
}

fn seed(job: &str) -> u64 {
    xxh3_64_with_seed(job.as_bytes(), 0)
}

fn rank(members: &[Member], seed: u64) -> Vec<&Member> {
    let mut ranked: Vec<&Member> = members.iter().collect();
    ranked.sort_by_cached_key(|member| {
        let hash = xxh3_64_with_seed(member.name.as_bytes(), seed);
        (Reverse(member.cpu_millis), hash)
    });
    ranked
}

/// Selects the relays, which read the store for the other VMs, spread over zones as far as
/// there are VMs in them that are not small.
///
/// `is_usable` tells which members are believed to be alive.
pub fn select_relays(
    members: &[Member],
    count: usize,
    is_usable: impl Fn(&Member) -> bool,
) -> Vec<&Member> {
    let mut candidates = rank(members, RELAY_SEED);
    candidates.retain(|member| is_usable(member));
    let mut chosen: Vec<&Member> = Vec::new();
    while chosen.len() < count && !candidates.is_empty() {
        let is_new_zone = |member: &&&Member| chosen.iter().all(|other| other.zone != member.zone);
        let has_large = !is_small(members, candidates[0]);
        let next = candidates
            .iter()
            .filter(|member| !has_large || !is_small(members, member))
            .find(is_new_zone)
            .copied()
            .unwrap_or(candidates[0]);
        candidates.retain(|member| member.name != next.name);
        chosen.push(next);
    }
    chosen
}
