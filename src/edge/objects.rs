//! The platform's store of versioned objects, as the system needs it.
//!
//! Objects have a kind and a name. One revision counts all changes. A write
//! whose answer is lost may have taken effect, or may do so later if its
//! condition still holds.

use crate::{
    core::mirror::{
        Kind,
        Object,
        Value, //
    },
    kernel::http::Boxed,
};
use displaydoc::Display;
use std::time::Duration;

/// Objects as they were at one revision.
#[derive(Clone, Debug)]
pub struct Page {
    /// The objects; when they come from a watch, those that changed.
    pub objects: Vec<Object>,
    /// Revision of the store.
    pub as_of: u64,
}

/// How old a list may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// As the store is now.
    Fresh,
    /// Seconds old; costs less.
    Stale,
}

/// A write.
#[derive(Clone, Debug)]
pub struct Write {
    /// Kind.
    pub kind: Kind,
    /// Name.
    pub name: Box<str>,
    /// Content.
    pub value: Value,
    /// Revision that it replaces; none if it creates the object.
    pub revision: Option<u64>,
}

/// Why the store did not do as asked.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the stored object is not the one that the write was made for
    Conflict(Option<Box<Object>>),
    /// there is no such object
    Absent,
    /// the store turned the call away with status {0}; nothing was done
    Busy(u16),
    /// the store cannot be reached; nothing was done
    Unreachable,
    /// the store did not answer; a write may have taken effect or still do so
    Unknown,
    /// the store no longer has the history that was asked for
    HistoryGone,
    /// the store answered with status {0} in a form that this dialect does not know
    Protocol(u16),
}

impl std::error::Error for Error {}

impl Error {
    /// Names the error in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Conflict(_) => "conflict",
            Self::Absent => "absent",
            Self::Busy(_) => "busy",
            Self::Unreachable => "unreachable",
            Self::Unknown => "unknown",
            Self::HistoryGone => "history_gone",
            Self::Protocol(_) => "protocol",
        }
    }
}

/// Lists the objects of a kind.
pub type List = Box<dyn Fn(Kind, Age) -> Boxed<Result<Page, Error>> + Send + Sync>;

/// Waits for changes of a kind after a revision.
pub type Watch = Box<dyn Fn(Kind, u64, Duration) -> Boxed<Result<Page, Error>> + Send + Sync>;

/// Reads an object; none if there is none.
pub type Get = Box<dyn Fn(Kind, &str) -> Boxed<Result<Option<Object>, Error>> + Send + Sync>;

/// Writes an object and returns its revision.
pub type Put = Box<dyn Fn(Write) -> Boxed<Result<u64, Error>> + Send + Sync>;

/// Removes an object if it has the revision.
pub type Remove = Box<dyn Fn(Kind, &str, u64) -> Boxed<Result<(), Error>> + Send + Sync>;

/// An open store.
///
/// Callers use the methods, which count the calls.
pub struct Handle {
    /// Lists objects.
    pub list: List,
    /// Waits for changes.
    pub watch: Watch,
    /// Reads an object.
    pub get: Get,
    /// Writes an object.
    pub put: Put,
    /// Removes an object.
    pub remove: Remove,
}

impl Handle {
    /// Lists objects.
    pub async fn list(&self, kind: Kind, age: Age) -> Result<Page, Error> {
        count("list", kind, (self.list)(kind, age).await)
    }

    /// Waits for changes.
    pub async fn watch(&self, kind: Kind, after: u64, wait: Duration) -> Result<Page, Error> {
        count("watch", kind, (self.watch)(kind, after, wait).await)
    }

    /// Reads an object.
    pub async fn get(&self, kind: Kind, name: &str) -> Result<Option<Object>, Error> {
        count("get", kind, (self.get)(kind, name).await)
    }

    /// Writes an object.
    pub async fn put(&self, write: Write) -> Result<u64, Error> {
        let kind = write.kind;
        count("put", kind, (self.put)(write).await)
    }

    /// Removes an object.
    pub async fn remove(&self, kind: Kind, name: &str, revision: u64) -> Result<(), Error> {
        count("remove", kind, (self.remove)(kind, name, revision).await)
    }
}

fn count<T>(call: &'static str, kind: Kind, result: Result<T, Error>) -> Result<T, Error> {
    let outcome = match &result {
        Ok(_) => "done",
        Err(error) => error.name(),
    };
    metrics::counter!(
        "rhubarbpick_store_calls_total",
        "call" => call,
        "kind" => kind.name(),
        "outcome" => outcome
    )
    .increment(1);
    result
}
