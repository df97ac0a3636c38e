//! The table of one cell: who owns which shard, and who may renew whom.
//!
//! A cell is one keyed service. Its table is one object in the platform's
//! store, changed only by conditional update, so all tables of a cell form a
//! single line ordered by their [`Token`]. Whoever holds two tables keeps the
//! one with the higher token; nothing else has to be agreed.
//!
//! The rules that the table obeys:
//!
//! - A shard is owned by an endpoint in state [`Lease::Held`] or by nobody.
//! - A held endpoint names the incarnation of its process. Renewers renew
//!   that incarnation only, so a restarted process is never granted anything
//!   by a renewer that has not read the table that names it.
//! - A [`Transit`] keeps a shard unowned until the endpoint that it was
//!   revoked from has acknowledged the revoking table.
//! - A [`Retired`] seat may still renew until the endpoint has acknowledged a
//!   table without it; until then its word counts like a seated renewer's.

use crate::core::{
    shard,
    token::Token, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::net::SocketAddr;

/// Most trail entries kept in the table before they move to a page of their own.
pub const TRAIL_LIMIT: usize = 64;

/// Owner value of a shard that nobody owns.
const NOBODY: u16 = u16::MAX;

key! {
    /// Index of an endpoint in its table.
    pub struct Index(pub u16);

    /// Identity of one run of a process; a restart draws a new one.
    #[derive(Default)]
    pub struct Incarnation(pub u64);

    /// What the planner knows of an endpoint's hold on its shards.
    pub enum Lease {
        /// No renewer may renew it; it owns nothing.
        Absent,
        /// Renewed by its seats.
        Held,
        /// Renewed, but being emptied.
        Leaving,
    }
}

record! {
    /// One process of the system on a VM.
    #[derive(PartialOrd, Ord)]
    pub struct Node {
        /// Name from the settings.
        pub name: Box<str>,
        /// Run of the process.
        pub incarnation: Incarnation,
    }

    /// A former renewer that the endpoint may still obey.
    pub struct Retired {
        /// The renewer.
        pub node: Node,
        /// Version of the first table without it.
        pub version: u64,
    }

    /// An endpoint of the service.
    pub struct Endpoint {
        /// Name from the intent.
        pub name: Box<str>,
        /// Where it takes requests and orders.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: Box<str>,
        /// What the planner knows of its hold.
        pub state: Lease,
        /// Run of its process that may be renewed.
        pub incarnation: Incarnation,
        /// Processes that renew it.
        #[serde(rename = "seats")]
        pub renewers: Vec<Node>,
        /// Processes that may still renew it.
        pub retired: Vec<Retired>,
    }

    /// A shard on its way between two endpoints.
    pub struct Transit {
        /// The shard.
        pub shard: shard::Shard,
        /// Endpoint that it was revoked from.
        pub from: Index,
        /// Version of the first table in which nobody owns it.
        pub version: u64,
    }

    /// An entry of the audit trail.
    pub struct Event {
        /// Table that the change made.
        pub token: Token,
        /// Wall clock in milliseconds since 1970.
        pub time_ms: u64,
        /// Process that made the change.
        pub by: Box<str>,
        /// What changed and why, as key=value pairs.
        pub text: Box<str>,
    }

    /// The table of a cell.
    pub struct Table {
        /// Name of the service.
        pub name: Box<str>,
        /// Position among the tables of the cell.
        pub token: Token,
        /// Identity of the write that stored this table.
        pub write_id: u64,
        /// Process that may change the table.
        pub planner: Node,
        /// Version of the intent that the table follows.
        pub intent: u64,
        /// Endpoints in the order in which they came; none is ever taken out,
        /// so that a [`Index`] means the same in all tables of the cell.
        pub endpoints: Vec<Endpoint>,
        /// Owner of each shard.
        pub owners: Owners,
        /// Shards that wait for a release, sorted by shard.
        pub transits: Vec<Transit>,
        /// Latest changes, oldest first.
        pub trail: Vec<Event>,
        /// Trail entries that were moved to pages of their own.
        pub trail_paged: u64,
    }
}

/// Owner of each shard, two bytes a shard when stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owners(Vec<u16>);

impl Owners {
    /// Returns a list in which nobody owns any of `count` shards.
    pub fn new(count: u32) -> Self {
        Self(vec![NOBODY; count as usize])
    }

    /// Returns the number of shards.
    pub fn count(&self) -> u32 {
        self.0.len() as u32
    }

    /// Returns the owner of `shard`.
    pub fn get(&self, shard: shard::Shard) -> Option<Index> {
        let owner = self.0.get(shard.0 as usize).copied()?;
        (owner != NOBODY).then_some(Index(owner))
    }

    /// Sets the owner of `shard`.
    pub fn set(&mut self, shard: shard::Shard, owner: Option<Index>) {
        self.0[shard.0 as usize] = owner.map_or(NOBODY, |key| key.0);
    }

    /// Walks all shards with their owners.
    pub fn iter(&self) -> impl Iterator<Item = (shard::Shard, Option<Index>)> + '_ {
        let pairs = self.0.iter().enumerate();
        pairs.map(|(index, &owner)| {
            let owner = (owner != NOBODY).then_some(Index(owner));
            (shard::Shard(index as u32), owner)
        })
    }

    /// Returns the shards of `owner` in order.
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
        f.write_str("two bytes for each shard")
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
    /// Returns the endpoint at `key`.
    pub fn endpoint(&self, key: Index) -> &Endpoint {
        &self.endpoints[usize::from(key.0)]
    }

    /// Walks the endpoints with their keys.
    pub fn indexed_endpoints(&self) -> impl Iterator<Item = (Index, &Endpoint)> {
        let pairs = self.endpoints.iter().enumerate();
        pairs.map(|(index, endpoint)| (Index(index as u16), endpoint))
    }

    /// Returns the key of the endpoint called `name` at `address`.
    pub fn find_endpoint(&self, name: &str, address: SocketAddr) -> Option<Index> {
        let mut keyed = self.indexed_endpoints();
        let found = keyed.find(|(_, found)| *found.name == *name && found.address == address);
        found.map(|(key, _)| key)
    }

    /// Returns the owner of `shard` if it has one.
    pub fn owner(&self, shard: shard::Shard) -> Option<(Index, &Endpoint)> {
        let key = self.owners.get(shard)?;
        Some((key, self.endpoint(key)))
    }

    /// Adds an entry to the trail.
    pub fn append_trail(&mut self, by: &str, time_ms: u64, text: impl Into<Box<str>>) {
        let entry = Event {
            token: self.token,
            time_ms,
            by: by.into(),
            text: text.into(),
        };
        self.trail.push(entry);
    }

    /// Names the first rule of the table that does not hold.
    pub fn invariant_violation(&self) -> Option<Box<str>> {
        for (shard, owner) in self.owners.iter() {
            let Some(key) = owner else { continue };
            if usize::from(key.0) >= self.endpoints.len() {
                return Some(format!("shard {} names endpoint {}", shard.0, key.0).into());
            }
            if self.endpoint(key).state == Lease::Absent {
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
