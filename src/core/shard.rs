//! Shards: the unit of key ownership.
//!
//! The keys of a service are hashed to a fixed number of shards, so that the
//! size of the control state does not depend on the number of keys.

use xxhash_rust::xxh3::xxh3_64;

key! {
    /// Index of a shard within its cell.
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
