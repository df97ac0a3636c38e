//! Which VM does a job for the others.
//!
//! Every VM works out the same order from the same members, so nothing has to
//! be agreed. VMs with much less processor than the largest come last. When a
//! member comes or goes only the jobs that it had, or now gets, move.

use crate::core::registry::Member;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A VM with less than this part of the largest VM's processor is small.
const SMALL_DIVISOR: u32 = 2;

/// Seed of the order in which VMs read the store for the others.
const RELAY_SEED: u64 = 0x72656c6179;

/// Orders the members for the job called `job`, the best first.
pub fn rank_members<'a>(members: &'a [Member], job: &str) -> Vec<&'a Member> {
    let seed = xxh3_64_with_seed(job.as_bytes(), 0);
    sorted(members, seed)
}

fn sorted(members: &[Member], seed: u64) -> Vec<&Member> {
    let largest = members.iter().map(|member| member.cpu_millis).max();
    let bound = largest.unwrap_or(0) / SMALL_DIVISOR;
    let mut ranked: Vec<&Member> = members.iter().collect();
    ranked.sort_by_key(|member| {
        let is_small = member.cpu_millis < bound;
        (is_small, xxh3_64_with_seed(member.name.as_bytes(), seed))
    });
    ranked
}

/// Chooses the VMs that read the store for the others, spread over zones.
///
/// `is_usable` says which members are believed to be alive.
pub fn select_relays(
    members: &[Member],
    count: usize,
    is_usable: impl Fn(&Member) -> bool,
) -> Vec<&Member> {
    let mut left = sorted(members, RELAY_SEED);
    left.retain(|member| is_usable(member));
    let mut chosen: Vec<&Member> = Vec::new();
    while chosen.len() < count && !left.is_empty() {
        let is_new_zone = |member: &&&Member| chosen.iter().all(|other| other.zone != member.zone);
        let next = left.iter().find(is_new_zone).copied().unwrap_or(left[0]);
        left.retain(|member| member.name != next.name);
        chosen.push(next);
    }
    chosen
}
