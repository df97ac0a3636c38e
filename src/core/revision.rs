//! Revisions of the platform's store.
//!
//! The store counts its changes. If it is restored from a backup, the count goes
//! back and its numbers are given out again, but its era rises. A revision here
//! therefore consists of the era and the number, so that it only rises: any
//! revision after a restore is above all those before it.

/// Number of bits for the store's count of changes.
const NUMBER_BITS: u32 = 40;

/// Latest era that can be told from the one before it.
const MAX_ERA: u64 = (1 << 20) - 1;

/// Returns the revision of change `number` in an era of the store.
pub fn compose(era: u64, number: u64) -> u64 {
    era.min(MAX_ERA) << NUMBER_BITS | number & ((1 << NUMBER_BITS) - 1)
}

/// Returns the era of a revision.
pub fn era(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// Returns the store's own number of a revision.
pub fn number(revision: u64) -> u64 {
    revision & ((1 << NUMBER_BITS) - 1)
}
