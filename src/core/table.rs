//! The ownership table of a cell: the owner of each shard and the renewers of
//! each endpoint.
//!
//! A cell is a service with keys. Its table is a single object in the platform's
//! store and is changed only by conditional updates, so the versions of a table
//! are totally ordered by their [`Token`]. A process that knows two versions
//! keeps the one with the higher token; no other agreement is needed.
//!
//! Invariants:
//!
//! - A shard is either unowned or owned by an endpoint whose state is not
//!   [`Lease::Absent`].
//! - An endpoint entry names one incarnation of the endpoint's process. Renewers
//!   renew only that incarnation, so a restarted process gets no lease from a
//!   renewer that has not read the table naming its new incarnation.
//! - A [`Transit`] keeps a shard unowned until the endpoint from which it was
//!   revoked has completed the revocation.
//! - A [`Retired`] renewer may still renew until the endpoint has acknowledged a
//!   table without it; until then its promise to stop is required like that of a
//!   current renewer.

use crate::core::{
    shard,
    token::Token, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::net::SocketAddr;

/// Maximum number of audit-trail events in the table; beyond it, they are moved to a
/// separate page in the store.
pub const TRAIL_LIMIT: usize = 64;

/// Stored value for a shard without an owner.
const UNOWNED: u16 = u16::MAX;

key! {
    /// Index of an endpoint in its table.
    pub struct Index(pub u16);

    /// Identifier of one run of a process; changes with every restart.
    #[derive(Default)]
    pub struct Incarnation(pub u64);

    /// State of the lease of an endpoint, as known to the planner.
    pub enum Lease {
        /// It has no lease, must not be renewed and owns no shards.
        Absent,
        /// Its lease is renewed by its renewers.
        Held,
        /// Its lease is renewed while its shards are moved away.
        Leaving,
    }
}

record! {
    /// One incarnation of a process of the system on a VM.
    #[derive(PartialOrd, Ord)]
    pub struct Node {
        /// Name of the process from its settings.
        pub name: Box<str>,
        /// Incarnation of the process.
        pub incarnation: Incarnation,
    }

    /// A former renewer whose orders the endpoint may still accept.
    pub struct Retired {
        /// The former renewer.
        pub node: Node,
        /// Version of the first table that does not name it as a renewer.
        pub version: u64,
    }

    /// An endpoint of the service.
    pub struct Endpoint {
        /// Name from the intent.
        pub name: Box<str>,
        /// Address at which it receives requests and orders.
        pub address: SocketAddr,
        /// Availability zone.
        pub zone: Box<str>,
        /// State of its lease.
        pub state: Lease,
        /// Incarnation whose lease may be renewed.
        pub incarnation: Incarnation,
        /// Processes that renew its lease.
        #[serde(rename = "seats")]
        pub renewers: Vec<Node>,
        /// Former renewers that may still renew its lease.
        pub retired: Vec<Retired>,
    }

    /// A shard that was revoked from an endpoint and has no new owner yet.
    pub struct Transit {
        /// The shard.
        pub shard: shard::Shard,
        /// Endpoint from which it was revoked.
        pub from: Index,
        /// Version of the table that revoked it.
        pub version: u64,
    }

    /// An event in the audit trail.
    pub struct Event {
        /// Token of the table that resulted from the change.
        pub token: Token,
        /// Time of the change, in milliseconds since the Unix epoch.
        pub time_ms: u64,
        /// Process that made the change.
        pub by: Box<str>,
        /// What changed and why, as `key=value` pairs.
        pub text: Box<str>,
    }

    /// The ownership table of a cell.
    pub struct Table {
        /// Name of the service.
        pub name: Box<str>,
        /// Position in the order of all versions of the table.
        pub token: Token,
        /// Identifier of the write that stored this version.
        pub write_id: u64,
        /// Process that may change the table.
        pub planner: Node,
        /// Version of the intent on which the table is based.
        pub intent: u64,
        /// Endpoints in the order in which they were added. None is ever removed, so
        /// that an [`Index`] refers to the same endpoint in all versions of the table.
        pub endpoints: Vec<Endpoint>,
        /// Owner of each shard.
        pub owners: Owners,
        /// Shards whose revocation is not completed, sorted by shard.
        pub transits: Vec<Transit>,
        /// Latest audit-trail events, oldest first.
        pub trail: Vec<Event>,
        /// Number of audit-trail events that were moved to separate pages.
        pub trail_paged: u64,
    }
}

/// Owner of each shard, stored as two bytes per shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owners(Vec<u16>);

impl Owners {
    /// Returns `count` shards without owners.
    pub fn new(count: u32) -> Self {
        Self(vec![UNOWNED; count as usize])
    }

    /// Returns the number of shards.
    pub fn count(&self) -> u32 {
        self.0.len() as u32
    }

    /// Returns the owner of `shard`.
    pub fn get(&self, shard: shard::Shard) -> Option<Index> {
        let owner = self.0.get(shard.0 as usize).copied()?;
        (owner != UNOWNED).then_some(Index(owner))
    }

    /// Sets the owner of `shard`.
    pub fn set(&mut self, shard: shard::Shard, owner: Option<Index>) {
        self.0[shard.0 as usize] = owner.map_or(UNOWNED, |index| index.0);
    }

    /// Iterates over all shards and their owners.
    pub fn iter(&self) -> impl Iterator<Item = (shard::Shard, Option<Index>)> + '_ {
        let pairs = self.0.iter().enumerate();
        pairs.map(|(index, &owner)| {
            let owner = (owner != UNOWNED).then_some(Index(owner));
            (shard::Shard(index as u32), owner)
        })
    }

    /// Returns the shards owned by `owner`, in ascending order.
    pub fn shards_of(&self, owner: Index) -> Vec<shard::Shard> {
        let owned = self.iter().filter(|&(_, found)| found == Some(owner));
        owned.map(|(shard, _)| shard).collect()
    }
}

impl Serialize for Owners {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let bytes: Vec<u8> = self
            .0
            .iter()
            .flat_map(|owner| owner.to_le_bytes())
            .collect();
        serializer.serialize_bytes(&bytes)
    }
}

impl<'de> Deserialize<'de> for Owners {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(OwnersVisitor)
    }
}

struct OwnersVisitor;

impl serde::de::Visitor<'_> for OwnersVisitor {
    type Value = Owners;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("two bytes per shard")
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<Owners, E> {
        if bytes.len() % 2 != 0 {
            return Err(E::invalid_length(bytes.len(), &self));
        }
        let pairs = bytes.chunks_exact(2);
        let owners = pairs.map(|pair| u16::from_le_bytes([pair[0], pair[1]]));
        Ok(Owners(owners.collect()))
    }

    fn visit_byte_buf<E: serde::de::Error>(self, bytes: Vec<u8>) -> Result<Owners, E> {
        self.visit_bytes(&bytes)
    }
}

impl Table {
    /// Returns the endpoint at `index`.
    pub fn endpoint(&self, index: Index) -> &Endpoint {
        &self.endpoints[usize::from(index.0)]
    }

    /// Iterates over the endpoints and their indices.
    pub fn indexed_endpoints(&self) -> impl Iterator<Item = (Index, &Endpoint)> {
        let pairs = self.endpoints.iter().enumerate();
        pairs.map(|(index, endpoint)| (Index(index as u16), endpoint))
    }

    /// Returns the index of the endpoint called `name` at `address`.
    pub fn find_endpoint(&self, name: &str, address: SocketAddr) -> Option<Index> {
        let mut endpoints = self.indexed_endpoints();
        let found = endpoints.find(|(_, found)| *found.name == *name && found.address == address);
        found.map(|(index, _)| index)
    }

    /// Returns the owner of `shard`, if it has one.
    pub fn owner(&self, shard: shard::Shard) -> Option<(Index, &Endpoint)> {
        let index = self.owners.get(shard)?;
        Some((index, self.endpoint(index)))
    }

    /// Appends an event to the audit trail.
    pub fn append_trail(&mut self, by: &str, time_ms: u64, text: impl Into<Box<str>>) {
        let event = Event {
            token: self.token,
            time_ms,
            by: by.into(),
            text: text.into(),
        };
        self.trail.push(event);
    }

    /// Returns a description of the first invariant that does not hold.
    pub fn invariant_violation(&self) -> Option<Box<str>> {
        for (shard, owner) in self.owners.iter() {
            let Some(index) = owner else { continue };
            if usize::from(index.0) >= self.endpoints.len() {
                return Some(format!("shard {} has unknown owner {}", shard.0, index.0).into());
            }
            if self.endpoint(index).state == Lease::Absent {
                return Some(format!("shard {} is owned by an absent endpoint", shard.0).into());
            }
        }
        let owned = self
            .transits
            .iter()
            .find(|transit| self.owners.get(transit.shard).is_some());
        if let Some(transit) = owned {
            return Some(format!("shard {} is owned while in transit", transit.shard.0).into());
        }
        None
    }
}
