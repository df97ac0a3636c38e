//! Membership and failure detection for the processes of the system.
//!
//! A process exchanges frequent heartbeats with the planners of its cells and
//! infrequent ones with all other peers. A planner therefore has the best
//! knowledge of which processes are up; the others adopt its view of the peers
//! with which they exchange only infrequent heartbeats.
//!
//! Missing heartbeats only make a peer suspected. An incarnation of a peer is
//! known to be gone when a later incarnation answers under the same name, or
//! when the platform lists the VM as gone. That list may lag behind but never
//! lists a running VM as gone.

use crate::core::{
    table::{
        Incarnation,
        Node, //
    },
    time::{
        Instant,
        IDLE_PEER_SUSPECT_TIMEOUT,
        PEER_SUSPECT_TIMEOUT, //
    },
};
use std::net::SocketAddr;

record! {
    /// A process of the system, as described by itself.
    pub struct Peer {
        /// Name and incarnation.
        pub node: Node,
        /// Address at which it receives messages from peers.
        pub address: SocketAddr,
        /// Availability zone.
        pub zone: Box<str>,
        /// Whether it is shutting down.
        pub leaving: bool,
    }
}

/// Liveness of a process as seen by the local process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Heartbeats arrive.
    Alive,
    /// Heartbeats arrive, and the process is shutting down.
    Leaving,
    /// No heartbeat arrived within the timeout.
    Silent,
}

/// Reason why there is no address for an incarnation of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// No heartbeat has arrived from it yet.
    NeverSeen,
    /// It has ended: a later incarnation is known, or the platform lists the VM as gone.
    Terminated,
}

/// A peer and the state of its heartbeats.
#[derive(Clone, Debug)]
pub struct Member {
    /// The peer.
    pub peer: Peer,
    /// When its last heartbeat arrived.
    pub last_heard: Instant,
    /// Start of the frequent heartbeats; set while one of the two processes is the
    /// planner of the other.
    frequent_since: Option<Instant>,
    /// Whether the peer counts as silent while its heartbeats are infrequent: a
    /// planner does not hear it, or it was silent when the frequent ones ended.
    is_presumed_silent: bool,
}

impl Member {
    fn new(peer: Peer, last_heard: Instant) -> Self {
        Self {
            peer,
            last_heard,
            frequent_since: None,
            is_presumed_silent: false,
        }
    }

    fn is_live(&self, now: Instant) -> bool {
        match self.frequent_since {
            Some(since) => now.since(self.last_heard.max(since)) < PEER_SUSPECT_TIMEOUT,
            None => {
                !self.is_presumed_silent && now.since(self.last_heard) < IDLE_PEER_SUSPECT_TIMEOUT
            }
        }
    }
}

/// An incarnation that is known to be gone.
#[derive(Clone, Debug)]
pub struct Gone {
    /// The incarnation.
    pub node: Node,
    /// When the local process learned that it is gone.
    pub learned_at: Instant,
}

/// Suspicion of the planner of a cell; while it lasts, all heartbeats are frequent.
#[derive(Clone, Debug)]
struct Suspicion {
    cell: Box<str>,
    since: Instant,
}

/// Membership as seen by the local process.
#[derive(Clone, Debug)]
pub struct View {
    me: Peer,
    members: Vec<Member>,
    gone: Vec<Gone>,
    listed_gone: Vec<Box<str>>,
    suspicions: Vec<Suspicion>,
}

/// Maximum number of incarnations remembered as gone; the oldest is dropped first.
const GONE_LIMIT: usize = 1024;

impl View {
    /// Creates a view that contains only the local process.
    pub fn new(me: Peer) -> Self {
        Self {
            me,
            members: Vec::new(),
            gone: Vec::new(),
            listed_gone: Vec::new(),
            suspicions: Vec::new(),
        }
    }

    /// Returns the local process.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// Marks the local process as shutting down.
    pub fn leave(&mut self) {
        self.me.leaving = true;
    }

    /// Returns the peers, sorted by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Records a heartbeat of `peer`.
    ///
    /// Returns false if it comes from an incarnation that has ended, or under the
    /// name of the local process.
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
                member.last_heard = now;
                member.is_presumed_silent = false;
            }
        }
        true
    }

    /// Sets which peers exchange frequent heartbeats with the local process.
    pub fn set_frequent_peers(&mut self, is_frequent: impl Fn(&Node) -> bool, now: Instant) {
        for member in &mut self.members {
            let frequent = is_frequent(&member.peer.node);
            if !frequent && member.frequent_since.is_some() && !member.is_live(now) {
                member.is_presumed_silent = true;
            }
            member.frequent_since = frequent.then(|| member.frequent_since.unwrap_or(now));
        }
    }

    /// Adopts the view of a planner that receives heartbeats from the peers `heard`.
    pub fn apply_planner_view(&mut self, heard: &[Peer], now: Instant) {
        for member in &mut self.members {
            let is_listed = heard.iter().any(|peer| peer.node == member.peer.node);
            let is_fresh = now.since(member.last_heard) < PEER_SUSPECT_TIMEOUT;
            member.is_presumed_silent = !is_listed && !is_fresh;
        }
    }

    /// Returns the live peers and the local process, sorted by name.
    pub fn live_peers(&self, now: Instant) -> Vec<Peer> {
        let live = self.members.iter().filter(|member| member.is_live(now));
        let mut peers: Vec<Peer> = live.map(|member| member.peer.clone()).collect();
        peers.push(self.me.clone());
        peers.sort_by(|left, right| left.node.cmp(&right.node));
        peers
    }

    /// Records that the platform lists the VM called `name` as gone.
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

    /// Returns when the local process learned that `node` is gone.
    pub fn gone_since(&self, node: &Node) -> Option<Instant> {
        let found = self.gone.iter().find(|gone| gone.node == *node);
        found.map(|gone| gone.learned_at)
    }

    /// Records that `node` is gone if a later incarnation of it is known or the
    /// platform lists its VM as gone.
    pub fn mark_gone_if_superseded(&mut self, node: &Node, now: Instant) {
        let is_listed_gone = self.listed_gone.binary_search(&node.name).is_ok();
        let latest = if node.name == self.me.node.name {
            Some(self.me.node.incarnation)
        } else {
            self.latest_incarnation(&node.name)
        };
        let is_known = self.search(&node.name).is_ok();
        if latest.is_some_and(|latest| latest > node.incarnation) || is_listed_gone && !is_known {
            self.mark_gone(node.clone(), now);
        }
    }

    /// Records that `node` is gone, and `now` as the time when that was learned.
    pub fn mark_gone(&mut self, node: Node, now: Instant) {
        if self.gone.iter().any(|gone| gone.node == node) {
            return;
        }
        if self.gone.len() >= GONE_LIMIT {
            self.gone.remove(0);
        }
        self.gone.push(Gone {
            node,
            learned_at: now,
        });
    }

    /// Returns the liveness of the incarnation `node`.
    pub fn state(&self, node: &Node, now: Instant) -> Liveness {
        if *node == self.me.node {
            return liveness(&self.me);
        }
        let Ok(index) = self.search(&node.name) else {
            return Liveness::Silent;
        };
        let member = &self.members[index];
        if member.peer.node != *node || !member.is_live(now) {
            return Liveness::Silent;
        }
        liveness(&member.peer)
    }

    /// Returns the time since the last heartbeat of `node`.
    pub fn silence(&self, node: &Node, now: Instant) -> Option<std::time::Duration> {
        let index = self.search(&node.name).ok()?;
        let member = &self.members[index];
        (member.peer.node == *node).then(|| now.since(member.last_heard))
    }

    /// Returns the processes to which work can be assigned, including the local one,
    /// sorted by name.
    pub fn usable(&self, now: Instant) -> Vec<&Peer> {
        let others = self.members.iter().map(|member| &member.peer);
        let all = others.chain(std::iter::once(&self.me));
        let mut usable: Vec<&Peer> = all
            .filter(|peer| self.state(&peer.node, now) == Liveness::Alive)
            .collect();
        usable.sort_by(|left, right| left.node.cmp(&right.node));
        usable
    }

    /// Sets whether the planner of `cell` is suspected of failure.
    ///
    /// During a suspicion the local process exchanges frequent heartbeats with
    /// all peers, to find out whether the planner is lost or the local process is
    /// cut off. Returns whether the suspicion is new.
    pub fn set_planner_suspected(&mut self, cell: &str, is_suspected: bool, now: Instant) -> bool {
        let found = self
            .suspicions
            .iter()
            .position(|suspicion| *suspicion.cell == *cell);
        match (found, is_suspected) {
            (None, true) => {
                self.suspicions.push(Suspicion {
                    cell: cell.into(),
                    since: now,
                });
                return true;
            }
            (Some(index), false) => drop(self.suspicions.remove(index)),
            _ => {}
        }
        false
    }

    /// Returns whether the planner of any cell is suspected.
    pub fn suspects_any_planner(&self) -> bool {
        !self.suspicions.is_empty()
    }

    /// Returns whether heartbeats arrive from at least half of all processes,
    /// counting the local one.
    ///
    /// During a suspicion only heartbeats since its start count.
    pub fn hears_at_least_half(&self, now: Instant) -> bool {
        let is_live = |member: &&Member| match self.suspicions.first() {
            Some(suspicion) => member.last_heard >= suspicion.since,
            None => member.is_live(now),
        };
        let heard = 1 + self.members.iter().filter(is_live).count();
        2 * heard > self.members.len()
    }

    /// Returns the address at which to reach `node`, also if only an earlier
    /// incarnation of it is known.
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

    /// Returns the address of the incarnation `node`.
    pub fn address(&self, node: &Node) -> Option<SocketAddr> {
        if *node == self.me.node {
            return Some(self.me.address);
        }
        let index = self.search(&node.name).ok()?;
        let peer = &self.members[index].peer;
        (peer.node == *node).then_some(peer.address)
    }

    /// Returns the latest known incarnation of the process called `name`.
    pub fn latest_incarnation(&self, name: &str) -> Option<Incarnation> {
        let index = self.search(name).ok()?;
        Some(self.members[index].peer.node.incarnation)
    }

    fn search(&self, name: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| (*member.peer.node.name).cmp(name))
    }
}

fn liveness(peer: &Peer) -> Liveness {
    if peer.leaving {
        Liveness::Leaving
    } else {
        Liveness::Alive
    }
}
