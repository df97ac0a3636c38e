//! Count-based placement of shards on endpoints.
//!
//! Shards keep their owner unless a change of the endpoints or an imbalance
//! forces a move. Unowned shards go to the endpoint with the fewest shards.
//! Endpoints with more than an even share give up the excess, for example to
//! an endpoint that has returned; each table moves only a bounded number.

use crate::core::{
    shard,
    table::{
        Index,
        Owners, //
    },
};

/// Number of shards that each usable endpoint owns, sorted by endpoint.
#[derive(Clone, Debug)]
pub struct Load {
    counts: Vec<(Index, u32)>,
}

impl Load {
    /// Counts the shards of each endpoint in `usable`, which must be sorted.
    pub fn new(owners: &Owners, usable: &[Index]) -> Self {
        let mut counts: Vec<(Index, u32)> = usable.iter().map(|&endpoint| (endpoint, 0)).collect();
        for (_, owner) in owners.iter() {
            let Some(endpoint) = owner else { continue };
            if let Ok(index) = counts.binary_search_by_key(&endpoint, |&(endpoint, _)| endpoint) {
                counts[index].1 += 1;
            }
        }
        Self { counts }
    }

    /// Assigns one shard to the endpoint with the fewest shards and returns that endpoint.
    pub fn assign_to_least_loaded(&mut self) -> Option<Index> {
        let least = self
            .counts
            .iter_mut()
            .min_by_key(|(endpoint, count)| (*count, *endpoint))?;
        least.1 += 1;
        Some(least.0)
    }

    /// Returns the shards that endpoints own above an even share, at most `limit`.
    pub fn excess_shards(&self, owners: &Owners, limit: usize) -> Vec<shard::Shard> {
        let endpoint_count = self.counts.len() as u32;
        if endpoint_count == 0 {
            return Vec::new();
        }
        let total: u32 = self.counts.iter().map(|&(_, count)| count).sum();
        let even_share = total.div_ceil(endpoint_count);
        let mut excess: Vec<(Index, u32)> = self.counts.clone();
        for entry in &mut excess {
            entry.1 = entry.1.saturating_sub(even_share);
        }
        let mut moves = Vec::new();
        for (shard, owner) in owners.iter() {
            let Some(endpoint) = owner else { continue };
            let Ok(index) = excess.binary_search_by_key(&endpoint, |&(endpoint, _)| endpoint)
            else {
                continue;
            };
            if excess[index].1 > 0 && moves.len() < limit {
                excess[index].1 -= 1;
                moves.push(shard);
            }
        }
        moves
    }
}
