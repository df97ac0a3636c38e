//! Shards: the unit in which keys are owned.
//!
//! Keys hash to a fixed number of shards for each service, so that no part of
//! the control state grows with the number of keys.

use xxhash_rust::xxh3::xxh3_64;

key! {
    /// Index of a shard in its cell.
    #[derive(Default)]
    pub struct Shard(pub u32);
}

/// Returns the shard of `key` among `count` shards.
///
/// `count` must be positive.
pub fn of_key(key: &[u8], count: u32) -> Shard {
    let scaled = (u128::from(xxh3_64(key)) * u128::from(count)) >> 64;
    Shard(scaled as u32)
}
