//! A copy of what the platform's store holds.
//!
//! Objects come from the store itself or from a VM that reads it, in any
//! order and more than once. Each carries the revision of its last change, so
//! a copy never goes back: the higher revision wins, and a removal is kept
//! with the revision at which it was seen.
//!
//! Each change gets a number of this copy's own. Another VM names the last
//! number that it has and gets what came after it.

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
    /// Kinds of objects that the system reads.
    pub enum Kind {
        /// The configuration.
        Manifest,
        /// Endpoints.
        Endpoint,
        /// VMs of the system.
        Member,
        /// Owners of keys.
        Table,
    }
}

impl Kind {
    /// Names the kind in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Manifest => "manifest",
            Self::Endpoint => "endpoint",
            Self::Member => "member",
            Self::Table => "table",
        }
    }
}

/// All kinds.
pub const KINDS: [Kind; 4] = [Kind::Manifest, Kind::Endpoint, Kind::Member, Kind::Table];

record! {
    /// An object of the store.
    pub struct Object {
        /// Kind.
        pub kind: Kind,
        /// Name, unique in its kind.
        pub name: Box<str>,
        /// Revision of its last change.
        pub revision: u64,
        /// Content; none if it was removed at that revision.
        pub value: Option<Value>,
    }

    /// Content of an object.
    pub enum Value {
        /// The configuration.
        Manifest(Arc<Manifest>),
        /// An endpoint.
        Endpoint(Arc<Endpoint>),
        /// A VM.
        Member(Arc<Member>),
        /// Owners of the keys of a service.
        Table(Arc<Table>),
        /// Something that cannot be read.
        Unreadable,
    }
}

#[derive(Clone, Debug)]
struct Entry {
    object: Object,
    number: u64,
}

/// A copy of the store's objects.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    entries: Vec<Entry>,
    number: u64,
}

impl Mirror {
    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.number
    }

    /// Takes an object over if it is newer than what is known of it.
    pub fn merge(&mut self, object: Object) -> bool {
        let place = self.place(object.kind, &object.name);
        if let Ok(index) = place {
            let known = &self.entries[index].object;
            // An object made anew may bear the revision noted for its removal.
            let is_remade = known.value.is_none() && object.value.is_some();
            let is_newer = object.revision > known.revision
                || (object.revision == known.revision && is_remade);
            if !is_newer {
                return false;
            }
        }
        self.number += 1;
        let entry = Entry {
            object,
            number: self.number,
        };
        match place {
            Ok(index) => self.entries[index] = entry,
            Err(index) => self.entries.insert(index, entry),
        }
        true
    }

    /// Takes over a whole list of a kind, as it was at revision `as_of`.
    ///
    /// What is not in the list is removed if `has_removals` is set.
    pub fn merge_list(
        &mut self,
        kind: Kind,
        objects: Vec<Object>,
        as_of: u64,
        has_removals: bool,
    ) -> bool {
        let mut names: Vec<Box<str>> = objects.iter().map(|object| object.name.clone()).collect();
        names.sort_unstable();
        let mut is_changed = false;
        for object in objects {
            is_changed |= self.merge(object);
        }
        if !has_removals {
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

    /// Returns the objects that changed after change `number`.
    pub fn changes_since(&self, number: u64) -> Vec<Object> {
        let later = self.entries.iter().filter(|entry| entry.number > number);
        later.map(|entry| entry.object.clone()).collect()
    }

    /// Returns the objects of a kind that exist.
    pub fn objects(&self, kind: Kind) -> impl Iterator<Item = &Object> {
        let start = self
            .entries
            .partition_point(|entry| entry.object.kind < kind);
        let of_kind = self.entries[start..].iter().map(|entry| &entry.object);
        of_kind
            .take_while(move |object| object.kind == kind)
            .filter(|object| object.value.is_some())
    }

    /// Returns an object that exists.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Object> {
        let index = self.place(kind, name).ok()?;
        let object = &self.entries[index].object;
        object.value.as_ref().map(|_| object)
    }

    /// Tells whether an object existed and does no more.
    pub fn is_removed(&self, kind: Kind, name: &str) -> bool {
        let place = self.place(kind, name);
        place.is_ok_and(|index| self.entries[index].object.value.is_none())
    }

    fn place(&self, kind: Kind, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (entry.object.kind, &*entry.object.name).cmp(&(kind, name)))
    }
}
