//! A local mirror of the objects in the platform's store.
//!
//! Objects arrive from the store itself or from a VM that reads it, in any
//! order and possibly more than once. Each carries the revision of its last
//! change and the highest revision wins, so a mirror never goes back to an
//! older state. A removal is kept as an entry with the revision at which it was
//! seen.
//!
//! The store can be restored from an old copy, which a higher era in its
//! revisions shows. What it then holds is newer by revision but may be older in
//! content. The content that is known to be later is kept, under the new
//! revision.
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
    revision,
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
        /// Evacuations of zones, each named after its zone.
        Evacuation,
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
            Self::Evacuation => "evacuation",
        }
    }
}

impl Object {
    /// Returns the object as it is known after it replaces `known`.
    fn supersede(mut self, known: &Self) -> Self {
        let is_restored = revision::era(self.revision) > revision::era(known.revision);
        let is_known_later = match (&known.value, &mut self.value) {
            (Some(Value::Manifest(known)), Some(Value::Manifest(new))) => {
                known.version > new.version
            }
            (Some(Value::Table(known)), Some(Value::Table(new))) => {
                (known.era, known.last_fence) > (new.era, new.last_fence)
            }
            (Some(Value::Member(known)), Some(Value::Member(new))) => {
                is_restored && known.run > new.run
            }
            (Some(Value::Endpoint(known)), Some(Value::Endpoint(new))) => {
                // A process that is leaving does not come back.
                if is_restored && known.is_leaving && known.born == new.born {
                    Arc::make_mut(new).is_leaving = true;
                }
                false
            }
            _ => false,
        };
        if is_known_later {
            self.value = known.value.clone();
        }
        self
    }
}

/// All kinds of objects.
pub const KINDS: [Kind; 5] = [
    Kind::Manifest,
    Kind::Endpoint,
    Kind::Member,
    Kind::Table,
    Kind::Evacuation,
];

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
        /// Content that could not be decoded, or that cannot be used.
        Unreadable,
        /// Evacuation of a zone, which has no content.
        Evacuation,
    }
}

impl Value {
    /// Returns whether the content can be used; another writer may have made it.
    pub fn is_usable(&self) -> bool {
        match self {
            Self::Unreadable => false,
            Self::Endpoint(endpoint) => endpoint.is_addressable(),
            Self::Manifest(_) | Self::Member(_) | Self::Table(_) | Self::Evacuation => true,
        }
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
    era: u64,
}

impl Mirror {
    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the era of the latest revision.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Stores an object if it is newer than the known version; returns whether it was.
    pub fn merge(&mut self, mut object: Object) -> bool {
        self.era = self.era.max(revision::era(object.revision));
        if object
            .value
            .as_ref()
            .is_some_and(|value| !value.is_usable())
        {
            object.value = Some(Value::Unreadable);
        }
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
            object = object.supersede(known);
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
    /// If `is_settled` is not set, the list may lack objects that are about to be
    /// written again, and may hold some that were removed before the store was
    /// restored: neither is followed. Returns whether anything changed.
    pub fn merge_list(
        &mut self,
        kind: Kind,
        objects: Vec<Object>,
        as_of: u64,
        is_settled: bool,
    ) -> bool {
        self.era = self.era.max(revision::era(as_of));
        let mut names: Vec<Box<str>> = objects.iter().map(|object| object.name.clone()).collect();
        names.sort_unstable();
        let mut is_changed = false;
        for object in objects {
            if is_settled || !self.is_revived(&object) {
                is_changed |= self.merge(object);
            }
        }
        if !is_settled {
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

    /// Returns whether an object was removed before the store was restored to a state that has it.
    fn is_revived(&self, object: &Object) -> bool {
        let Ok(index) = self.position(object.kind, &object.name) else {
            return false;
        };
        let known = &self.entries[index].object;
        known.value.is_none() && revision::era(object.revision) > revision::era(known.revision)
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
