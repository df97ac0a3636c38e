//! A local mirror of the objects in the platform's store.
//!
//! Objects arrive from the store itself or from a VM that reads it, in any
//! order and possibly more than once. Each carries the revision of its last
//! change and the highest revision wins, so a mirror never goes back to an
//! older state. A removal is kept as an entry with the revision at which it was
//! seen.
//!
//! Each mirror numbers its changes. Another VM sends the last number that it
//! has received and gets the changes after it.

use crate::core::{
    manifest::Manifest,
    ownership::Table,
    registry::{
        Endpoint,
        Member, //
    },
};
use std::sync::Arc;

key! {
    /// Kinds of objects that are read from the store.
    pub enum Kind {
        /// The routing configuration.
        Manifest,
        /// Registration records of endpoints.
        Endpoint,
        /// Registration records of VMs.
        Member,
        /// Ownership tables.
        Table,
    }
}

impl Kind {
    /// Returns the name of the kind in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Manifest => "manifest",
            Self::Endpoint => "endpoint",
            Self::Member => "member",
            Self::Table => "table",
        }
    }
}

/// All kinds of objects.
pub const KINDS: [Kind; 4] = [Kind::Manifest, Kind::Endpoint, Kind::Member, Kind::Table];

record! {
    /// An object of the store.
    pub struct Object {
        /// Kind of the object.
        pub kind: Kind,
        /// Name, unique among the objects of its kind.
        pub name: Box<str>,
        /// Revision of its last change.
        pub revision: u64,
        /// Content, or `None` if the object was removed at that revision.
        pub value: Option<Value>,
    }

    /// Content of an object.
    pub enum Value {
        /// The routing configuration.
        Manifest(Arc<Manifest>),
        /// Registration record of an endpoint.
        Endpoint(Arc<Endpoint>),
        /// Registration record of a VM.
        Member(Arc<Member>),
        /// Ownership table of a service.
        Table(Arc<Table>),
        /// Content that could not be decoded.
        Unreadable,
    }
}

#[derive(Clone, Debug)]
struct Entry {
    object: Object,
    change: u64,
}

/// A local copy of the store's objects.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    entries: Vec<Entry>,
    last_change: u64,
}

impl Mirror {
    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Stores an object if it is newer than the known version; returns whether it was.
    pub fn merge(&mut self, object: Object) -> bool {
        let position = self.position(object.kind, &object.name);
        if let Ok(index) = position {
            let known = &self.entries[index].object;
            // An object that was removed and created again can have the revision that
            // was recorded for its removal.
            let is_recreated = known.value.is_none() && object.value.is_some();
            let is_newer = object.revision > known.revision
                || (object.revision == known.revision && is_recreated);
            if !is_newer {
                return false;
            }
        }
        self.last_change += 1;
        let entry = Entry {
            object,
            change: self.last_change,
        };
        match position {
            Ok(index) => self.entries[index] = entry,
            Err(index) => self.entries.insert(index, entry),
        }
        true
    }

    /// Merges the complete list of the objects of a kind at revision `as_of`.
    ///
    /// If `remove_missing` is set, objects that are not in the list are removed.
    /// Returns whether anything changed.
    pub fn merge_list(
        &mut self,
        kind: Kind,
        objects: Vec<Object>,
        as_of: u64,
        remove_missing: bool,
    ) -> bool {
        let mut names: Vec<Box<str>> = objects.iter().map(|object| object.name.clone()).collect();
        names.sort_unstable();
        let mut is_changed = false;
        for object in objects {
            is_changed |= self.merge(object);
        }
        if !remove_missing {
            return is_changed;
        }
        let present = self.objects(kind).map(|object| object.name.clone());
        let missing: Vec<Box<str>> = present
            .filter(|name| names.binary_search(name).is_err())
            .collect();
        for name in missing {
            is_changed |= self.merge(Object {
                kind,
                name,
                revision: as_of,
                value: None,
            });
        }
        is_changed
    }

    /// Returns the objects that changed after the change `number`.
    pub fn changes_since(&self, number: u64) -> Vec<Object> {
        let later = self.entries.iter().filter(|entry| entry.change > number);
        later.map(|entry| entry.object.clone()).collect()
    }

    /// Returns the existing objects of a kind.
    pub fn objects(&self, kind: Kind) -> impl Iterator<Item = &Object> {
        let start = self
            .entries
            .partition_point(|entry| entry.object.kind < kind);
        let of_kind = self.entries[start..].iter().map(|entry| &entry.object);
        of_kind
            .take_while(move |object| object.kind == kind)
            .filter(|object| object.value.is_some())
    }

    /// Returns an existing object by kind and name.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Object> {
        let index = self.position(kind, name).ok()?;
        let object = &self.entries[index].object;
        object.value.as_ref().map(|_| object)
    }

    /// Returns whether an object existed and was removed.
    pub fn is_removed(&self, kind: Kind, name: &str) -> bool {
        let position = self.position(kind, name);
        position.is_ok_and(|index| self.entries[index].object.value.is_none())
    }

    fn position(&self, kind: Kind, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (entry.object.kind, &*entry.object.name).cmp(&(kind, name)))
    }
}
