//! Interface to the platform's store of objects with entity tags.
//!
//! Every object has a version tag, and an update names the tag that it
//! replaces. An update whose response is lost may have taken effect, or may do
//! so later.

use crate::kernel::http::BoxFuture;
use bytes::Bytes;
use displaydoc::Display;
use std::time::Duration;

/// An object read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version tag.
    pub tag: Box<str>,
    /// Content.
    pub bytes: Bytes,
}

/// Precondition of an update on the stored object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version tag.
    Tag(Box<str>),
}

/// A conditional update of an object.
#[derive(Clone, Debug)]
pub struct Write {
    /// Name of the object.
    pub name: Box<str>,
    /// Content.
    pub bytes: Bytes,
    /// Precondition; without it the store changes nothing.
    pub condition: Condition,
}

/// Parameters of a list call, which may wait for a change.
#[derive(Clone, Debug)]
pub struct Watch {
    /// Prefix of the names to list.
    pub prefix: Box<str>,
    /// Tag of the list that the caller has; the call waits until the list differs.
    /// With none it returns at once.
    pub tag: Option<Box<str>>,
    /// Longest time to wait for a change.
    pub wait: Duration,
}

/// Objects under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    /// Version tag of the list.
    pub tag: Box<str>,
    /// Names and tags of the objects, sorted by name.
    pub items: Vec<Item>,
}

record! {
    /// Entry of a list.
    pub struct Item {
        /// Name of the object.
        pub name: Box<str>,
        /// Version tag of the object.
        pub tag: Box<str>,
    }
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the stored object does not have the version tag that the update expected
    Conflict,
    /// cannot connect to the store; nothing was written
    Unreachable,
    /// no response from the store; the update may have taken effect or may still do so
    Unknown,
    /// unexpected response from the store, status {0}; check that the dialect matches the store
    Protocol(u16),
}

impl std::error::Error for Error {}

/// Reads an object; returns `None` if it does not exist.
pub type Get = Box<dyn Fn(&str) -> BoxFuture<Result<Option<Object>, Error>> + Send + Sync>;

/// Updates an object and returns its new version tag.
pub type Update = Box<dyn Fn(Write) -> BoxFuture<Result<Box<str>, Error>> + Send + Sync>;

/// Lists objects; returns `None` if the list did not change in time.
pub type Listing = Box<dyn Fn(Watch) -> BoxFuture<Result<Option<List>, Error>> + Send + Sync>;

/// Client of the store.
pub struct Client {
    /// Reads an object.
    pub get: Get,
    /// Updates an object.
    pub put: Update,
    /// Lists objects, or waits for a change of the list.
    pub list: Listing,
}
