//! Macros that derive a common set of traits.
//!
//! All types that are sent or stored need the same traits. The lists are kept
//! here so that a new type cannot lack one.

/// Derives the traits of types that are stored or sent.
macro_rules! record {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Derives the traits of small keys: those of `record!`, and copying, ordering and hashing.
macro_rules! key {
    ($($item:item)*) => {
        $(
            #[derive(
                Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            $item
        )*
    };
}
