//! Placement of shards on endpoints.
//!
//! Shards stay where they are unless a membership change or an imbalance
//! forces a move. Unowned shards go to the endpoint with the fewest shards;
//! an endpoint that came back takes shards only down to an even share, a
//! bounded number with each table.

use crate::core::{
    shard,
    table::{
        Index,
        Owners, //
    },
};

/// Number of shards each usable endpoint owns, sorted by endpoint.
#[derive(Clone, Debug)]
pub struct Load {
    counts: Vec<(Index, u32)>,
}

impl Load {
    /// Counts the shards of each of `usable`, which must be sorted.
    pub fn new(owners: &Owners, usable: &[Index]) -> Self {
        let mut counts: Vec<(Index, u32)> = usable.iter().map(|&key| (key, 0)).collect();
        for (_, owner) in owners.iter() {
            let Some(key) = owner else { continue };
            if let Ok(index) = counts.binary_search_by_key(&key, |&(key, _)| key) {
                counts[index].1 += 1;
            }
        }
        Self { counts }
    }

    /// Takes a place at the endpoint with the fewest shards.
    pub fn take_least(&mut self) -> Option<Index> {
        let least = self
            .counts
            .iter_mut()
            .min_by_key(|(key, count)| (*count, *key))?;
        least.1 += 1;
        Some(least.0)
    }

    /// Returns the shards above an even share, at most `limit` of them.
    pub fn excess(&self, owners: &Owners, limit: usize) -> Vec<shard::Shard> {
        let endpoints = self.counts.len() as u32;
        if endpoints == 0 {
            return Vec::new();
        }
        let total: u32 = self.counts.iter().map(|&(_, count)| count).sum();
        let share = total.div_ceil(endpoints);
        let mut left: Vec<(Index, u32)> = self.counts.clone();
        for entry in &mut left {
            entry.1 = entry.1.saturating_sub(share);
        }
        let mut moves = Vec::new();
        for (shard, owner) in owners.iter() {
            let Some(key) = owner else { continue };
            let Ok(index) = left.binary_search_by_key(&key, |&(key, _)| key) else {
                continue;
            };
            if left[index].1 > 0 && moves.len() < limit {
                left[index].1 -= 1;
                moves.push(shard);
            }
        }
        moves
    }
}
