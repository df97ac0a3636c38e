//! Which processes of the system are there.
//!
//! Every process sends frequent heartbeats to the planners of its cells and
//! rare ones to the others. A planner therefore knows best who is there; the
//! others take over its word for peers that they do not hear often themselves.
//!
//! Silence only makes a peer suspect. A peer's run is proved gone when a later run answers under the
//! same name, or when the platform's list says that the VM is gone; the list
//! may be late but does not call a running VM gone.

use crate::core::{
    table::{
        Incarnation,
        Node, //
    },
    time::{
        Instant,
        IDLE_SILENCE,
        PEER_SUSPECT_TIMEOUT, //
    },
};
use std::net::SocketAddr;

record! {
    /// A process of the system, as it describes itself.
    pub struct Peer {
        /// Name and run.
        pub node: Node,
        /// Where it takes messages from its peers.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: Box<str>,
        /// Whether it is shutting down.
        pub leaving: bool,
    }
}

/// How a process looks from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Heard lately.
    Alive,
    /// Heard lately, and shutting down.
    Leaving,
    /// Not heard lately.
    Silent,
}

/// Why the run of a process cannot be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// Nothing was heard of it yet.
    NeverSeen,
    /// It is over: a later run was heard, or the platform lists the VM as gone.
    Terminated,
}

/// A process and when it was heard.
#[derive(Clone, Debug)]
pub struct Member {
    /// The process.
    pub peer: Peer,
    /// When it was last heard.
    pub heard: Instant,
    /// Since when heartbeats are frequent, as one of the two plans for the other.
    close_since: Option<Instant>,
    /// Whether a planner says that it is not there.
    is_missed: bool,
}

impl Member {
    fn new(peer: Peer, heard: Instant) -> Self {
        Self {
            peer,
            heard,
            close_since: None,
            is_missed: false,
        }
    }

    fn is_heard(&self, now: Instant) -> bool {
        match self.close_since {
            Some(since) => now.since(self.heard.max(since)) < PEER_SUSPECT_TIMEOUT,
            None => !self.is_missed && now.since(self.heard) < IDLE_SILENCE,
        }
    }
}

/// A run that is proved gone.
#[derive(Clone, Debug)]
pub struct Gone {
    /// The run.
    pub node: Node,
    /// When this process learned of it.
    pub learned: Instant,
}

/// A time in which this process listens for everyone, as a planner is silent.
#[derive(Clone, Debug)]
struct Alarm {
    cell: Box<str>,
    since: Instant,
}

/// All that is known of the other processes.
#[derive(Clone, Debug)]
pub struct View {
    me: Peer,
    members: Vec<Member>,
    gone: Vec<Gone>,
    listed_gone: Vec<Box<str>>,
    alarms: Vec<Alarm>,
}

/// Most runs remembered as gone.
const GONE_LIMIT: usize = 1024;

impl View {
    /// Starts with nobody known but this process.
    pub fn new(me: Peer) -> Self {
        Self {
            me,
            members: Vec::new(),
            gone: Vec::new(),
            listed_gone: Vec::new(),
            alarms: Vec::new(),
        }
    }

    /// Returns this process.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// Marks this process as shutting down.
    pub fn leave(&mut self) {
        self.me.leaving = true;
    }

    /// Returns the other processes, sorted by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Takes in that `peer` was heard; false says that its run is over.
    pub fn record_heartbeat(&mut self, peer: Peer, now: Instant) -> bool {
        if peer.node.name == self.me.node.name {
            return false;
        }
        let found = self.search(&peer.node.name);
        match found {
            Err(index) => self.members.insert(index, Member::new(peer, now)),
            Ok(index) => {
                let known = self.members[index].peer.node.clone();
                if peer.node.incarnation < known.incarnation {
                    return false;
                }
                if peer.node.incarnation > known.incarnation {
                    self.mark_gone(known, now);
                }
                let member = &mut self.members[index];
                member.peer = peer;
                member.heard = now;
                member.is_missed = false;
            }
        }
        true
    }

    /// Sets which peers exchange frequent heartbeats with this process.
    pub fn set_frequent_peers(&mut self, is_close: impl Fn(&Node) -> bool, now: Instant) {
        for member in &mut self.members {
            let close = is_close(&member.peer.node);
            if !close && member.close_since.is_some() && !member.is_heard(now) {
                member.is_missed = true;
            }
            member.close_since = close.then(|| member.close_since.unwrap_or(now));
        }
    }

    /// Takes in whom a planner hears.
    pub fn apply_planner_view(&mut self, heard: &[Peer], now: Instant) {
        for member in &mut self.members {
            let is_there = heard.iter().any(|peer| peer.node == member.peer.node);
            let is_fresh = now.since(member.heard) < PEER_SUSPECT_TIMEOUT;
            member.is_missed = !is_there && !is_fresh;
        }
    }

    /// Returns the processes that are heard, this one included, sorted by name.
    pub fn live_peers(&self, now: Instant) -> Vec<Peer> {
        let heard = self.members.iter().filter(|member| member.is_heard(now));
        let mut peers: Vec<Peer> = heard.map(|member| member.peer.clone()).collect();
        peers.push(self.me.clone());
        peers.sort_by(|left, right| left.node.cmp(&right.node));
        peers
    }

    /// Takes in that the platform lists the VM called `name` as gone.
    pub fn mark_listed_gone(&mut self, name: &str, now: Instant) {
        if let Err(index) = self
            .listed_gone
            .binary_search_by(|known| (**known).cmp(name))
        {
            self.listed_gone.insert(index, name.into());
        }
        if let Ok(index) = self.search(name) {
            let member = self.members.remove(index);
            self.mark_gone(member.peer.node, now);
        }
    }

    /// Returns when `node` was learned to be gone.
    pub fn gone_since(&self, node: &Node) -> Option<Instant> {
        let found = self.gone.iter().find(|gone| gone.node == *node);
        found.map(|gone| gone.learned)
    }

    /// Remembers that `node` is gone if a later run of its name is known or
    /// the platform lists its VM as gone.
    pub fn mark_gone_if_superseded(&mut self, node: &Node, now: Instant) {
        let listed = self.listed_gone.binary_search(&node.name).is_ok();
        let later = if node.name == self.me.node.name {
            Some(self.me.node.incarnation)
        } else {
            self.run(&node.name)
        };
        let is_known = self.search(&node.name).is_ok();
        if later.is_some_and(|run| run > node.incarnation) || listed && !is_known {
            self.mark_gone(node.clone(), now);
        }
    }

    /// Remembers that `node` is gone, from `now` on.
    pub fn mark_gone(&mut self, node: Node, now: Instant) {
        if self.gone.iter().any(|gone| gone.node == node) {
            return;
        }
        if self.gone.len() >= GONE_LIMIT {
            self.gone.remove(0);
        }
        self.gone.push(Gone { node, learned: now });
    }

    /// Tells how the run `node` looks from here.
    pub fn state(&self, node: &Node, now: Instant) -> Liveness {
        if *node == self.me.node {
            return own_state(&self.me);
        }
        let Ok(index) = self.search(&node.name) else {
            return Liveness::Silent;
        };
        let member = &self.members[index];
        if member.peer.node != *node || !member.is_heard(now) {
            return Liveness::Silent;
        }
        own_state(&member.peer)
    }

    /// Returns how long `node` has been silent.
    pub fn silence(&self, node: &Node, now: Instant) -> Option<std::time::Duration> {
        let index = self.search(&node.name).ok()?;
        let member = &self.members[index];
        (member.peer.node == *node).then(|| now.since(member.heard))
    }

    /// Returns the processes that may take on work, this one included, sorted by name.
    pub fn usable(&self, now: Instant) -> Vec<&Peer> {
        let others = self.members.iter().map(|member| &member.peer);
        let all = others.chain(std::iter::once(&self.me));
        let mut usable: Vec<&Peer> = all
            .filter(|peer| self.state(&peer.node, now) == Liveness::Alive)
            .collect();
        usable.sort_by(|left, right| left.node.cmp(&right.node));
        usable
    }

    /// Begins or ends a time in which this process listens for everyone.
    ///
    /// It does so when a planner falls silent, to find out whether the planner
    /// is lost or this process is cut off. True says that the alarm is new.
    pub fn set_planner_suspected(&mut self, cell: &str, is_alarmed: bool, now: Instant) -> bool {
        let found = self.alarms.iter().position(|alarm| *alarm.cell == *cell);
        match (found, is_alarmed) {
            (None, true) => {
                self.alarms.push(Alarm {
                    cell: cell.into(),
                    since: now,
                });
                return true;
            }
            (Some(index), false) => drop(self.alarms.remove(index)),
            _ => {}
        }
        false
    }

    /// Tells whether this process listens for everyone.
    pub fn suspects_any_planner(&self) -> bool {
        !self.alarms.is_empty()
    }

    /// Tells whether this process hears at least half of all, itself included.
    ///
    /// During an alarm only what was heard since counts.
    pub fn hears_at_least_half(&self, now: Instant) -> bool {
        let is_heard = |member: &&Member| match self.alarms.first() {
            Some(alarm) => member.heard >= alarm.since,
            None => member.is_heard(now),
        };
        let heard = 1 + self.members.iter().filter(is_heard).count();
        2 * heard > self.members.len()
    }

    /// Returns the address at which the run `node` can be asked for.
    pub fn last_known_address(&self, node: &Node) -> Result<SocketAddr, Error> {
        let Ok(index) = self.search(&node.name) else {
            let is_listed_gone = self.listed_gone.binary_search(&node.name).is_ok();
            return Err(if is_listed_gone {
                Error::Terminated
            } else {
                Error::NeverSeen
            });
        };
        let peer = &self.members[index].peer;
        if peer.node.incarnation <= node.incarnation {
            Ok(peer.address)
        } else {
            Err(Error::Terminated)
        }
    }

    /// Returns the address of the run `node`.
    pub fn address(&self, node: &Node) -> Option<SocketAddr> {
        if *node == self.me.node {
            return Some(self.me.address);
        }
        let index = self.search(&node.name).ok()?;
        let peer = &self.members[index].peer;
        (peer.node == *node).then_some(peer.address)
    }

    /// Returns the latest run known under `name`.
    pub fn run(&self, name: &str) -> Option<Incarnation> {
        let index = self.search(name).ok()?;
        Some(self.members[index].peer.node.incarnation)
    }

    fn search(&self, name: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| (*member.peer.node.name).cmp(name))
    }
}

fn own_state(peer: &Peer) -> Liveness {
    if peer.leaving {
        Liveness::Leaving
    } else {
        Liveness::Alive
    }
}
