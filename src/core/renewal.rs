//! A renewer's side of the lease on one endpoint.
//!
//! Two processes hold a seat for each endpoint and both renew it all the
//! time, so the loss of one costs nothing and needs no take-over. A renewer
//! needs neither the store nor the planner to go on.
//!
//! Each order cites the latest clock reading ("stamp") that the endpoint gave
//! in an answer, and the grant lasts [`LEASE_DURATION`](crate::core::time::LEASE_DURATION) from
//! that reading. An order that is late in the network therefore grants no
//! more than it would have in time, and the renewer can bound the endpoint's
//! hold by when it *received* the newest stamp, whether or not the answers
//! to its orders came back.
//!
//! When the planner wants to move the endpoint's shards it asks for the
//! renewer's [`Promise`]. After giving it the renewer sends no more orders until
//! it reads a newer table.

use crate::core::{
    table::{
        self,
        Incarnation,
        Lease,
        Node,
        Table, //
    },
    time::{
        Instant,
        ENDPOINT_SILENCE, //
    },
    token::Token,
};
use std::time::Duration;

record! {
    /// An order to an endpoint: what it may hold, and until when.
    pub struct Order {
        /// Run of the endpoint's process that the order is for.
        pub incarnation: Incarnation,
        /// Table that the order follows.
        pub token: Token,
        /// The endpoint's own clock, in microseconds, from an earlier answer.
        pub stamp: u64,
        /// Length of the grant from the stamp, in milliseconds.
        pub lease_ms: u64,
        /// Shards that it holds; none says that they are as in the table it knows.
        pub shards: Option<Vec<u32>>,
    }

    /// What an endpoint says of itself.
    pub struct Answer {
        /// Run of the process.
        pub incarnation: Incarnation,
        /// The endpoint's own clock, in microseconds.
        pub stamp: u64,
        /// Highest table that it was ordered to follow; it obeys no lower one.
        pub token: Token,
        /// Highest table of which it no longer runs work on revoked shards.
        pub settled: Token,
        /// Whether it wants to leave.
        pub leaving: bool,
    }

    /// A renewer's promise that it has stopped.
    pub struct Promise {
        /// Endpoint that it was asked about.
        pub endpoint: table::Index,
        /// Run of the endpoint's process.
        pub incarnation: Incarnation,
        /// Time since the newest stamp was received, in microseconds; none if there was none.
        pub age_us: Option<u64>,
    }

    /// What a renewer tells the planner of its endpoint.
    pub struct Report {
        /// Endpoint.
        pub endpoint: table::Index,
        /// Run of the endpoint's process that the renewer speaks of.
        pub incarnation: Incarnation,
        /// Highest table that the endpoint has acknowledged to this renewer.
        pub acked: Token,
        /// Highest table whose revocations it has completed.
        pub settled: Token,
        /// Whether it has been silent for too long.
        pub silent: bool,
        /// Whether it wants to leave.
        pub leaving: bool,
        /// Another run of the process that answered at the address.
        pub replaced_by: Option<Incarnation>,
    }
}

/// State of one seat.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Renewal {
    /// Endpoint.
    pub endpoint: table::Index,
    /// Run of the endpoint's process.
    pub incarnation: Incarnation,
    /// Table that the seat follows.
    pub token: Token,
    /// Shards in that table.
    pub shards: Vec<u32>,
    /// Newest stamp and when it was received.
    pub stamp: Option<(u64, Instant)>,
    /// Highest table that the endpoint acknowledged.
    pub acked: Token,
    /// Highest table whose revocations it completed.
    pub settled: Token,
    /// When the endpoint last answered, or when the seat was taken.
    pub heard: Instant,
    /// Orders in a row that found nothing listening.
    pub refusals: u32,
    /// Whether the endpoint wants to leave.
    pub leaving: bool,
    /// Another run that answered at the address.
    pub replaced_by: Option<Incarnation>,
    /// Whether it has given its word and sends no more orders.
    pub is_stopped: bool,
}

/// Refused connections in a row after which an endpoint is suspected.
const REFUSALS: u32 = 2;

impl Renewal {
    /// Takes a seat that a table names.
    pub fn open(cell: &Table, key: table::Index, now: Instant) -> Self {
        let shards = cell.owners.shards_of(key);
        Self {
            endpoint: key,
            incarnation: cell.endpoint(key).incarnation,
            token: cell.token,
            shards: shards.iter().map(|shard| shard.0).collect(),
            stamp: None,
            acked: Token::default(),
            settled: Token::default(),
            heard: now,
            refusals: 0,
            leaving: false,
            replaced_by: None,
            is_stopped: false,
        }
    }

    /// Follows a newer table that still names this seat and this run.
    pub fn follow(&mut self, cell: &Table) {
        let shards = cell.owners.shards_of(self.endpoint);
        self.shards = shards.iter().map(|shard| shard.0).collect();
        self.token = cell.token;
        self.is_stopped = false;
    }

    /// Returns the order to send now; none while stopped or without a stamp.
    pub fn order(&self, lease: Duration) -> Option<Order> {
        let (stamp, _) = self.stamp?;
        if self.is_stopped {
            return None;
        }
        Some(Order {
            incarnation: self.incarnation,
            token: self.token,
            stamp,
            lease_ms: lease.as_millis() as u64,
            shards: (self.acked != self.token).then(|| self.shards.clone()),
        })
    }

    /// Takes in an answer of the endpoint; `obeyed` is the table of the order it accepted.
    pub fn on_answer(&mut self, answer: &Answer, obeyed: Option<Token>, now: Instant) {
        if answer.incarnation != self.incarnation {
            self.replaced_by = Some(answer.incarnation);
            return;
        }
        self.heard = now;
        self.refusals = 0;
        self.leaving |= answer.leaving;
        if self.stamp.is_none_or(|(stamp, _)| stamp < answer.stamp) {
            self.stamp = Some((answer.stamp, now));
        }
        if let Some(token) = obeyed {
            self.acked = self.acked.max(token);
            self.settled = self.settled.max(answer.settled);
        }
    }

    /// Takes in that nothing listens at the address.
    pub fn on_refused(&mut self) {
        self.refusals += 1;
    }

    /// Stops until a newer table is read, and promises so.
    fn stop(&mut self, now: Instant) -> Promise {
        self.is_stopped = true;
        Promise {
            endpoint: self.endpoint,
            incarnation: self.incarnation,
            age_us: self
                .stamp
                .map(|(_, received)| now.since(received).as_micros() as u64),
        }
    }

    /// Tells the planner how the endpoint does.
    pub fn report(&self, now: Instant) -> Report {
        Report {
            endpoint: self.endpoint,
            incarnation: self.incarnation,
            acked: self.acked,
            settled: self.settled,
            silent: self.refusals >= REFUSALS || now.since(self.heard) >= ENDPOINT_SILENCE,
            leaving: self.leaving,
            replaced_by: self.replaced_by,
        }
    }
}

/// Gives the word of a process that follows the table `held` to the planner
/// of the table `asked`.
///
/// The two must be the same table: with a newer one the planner is out of
/// date, and with an older one the process may take a seat on reading it. A
/// process without a seat may have sent its last order just now, citing a
/// stamp just received.
pub fn promise_stop(
    seats: &mut [Renewal],
    held: Token,
    asked: Token,
    endpoint: table::Index,
    incarnation: Incarnation,
    now: Instant,
) -> Option<Promise> {
    if held != asked {
        return None;
    }
    let mut seats = seats.iter_mut();
    let found = seats.find(|seat| seat.endpoint == endpoint && seat.incarnation == incarnation);
    match found {
        Some(seat) => Some(seat.stop(now)),
        None => Some(Promise {
            endpoint,
            incarnation,
            age_us: Some(0),
        }),
    }
}

/// Brings the seats of `me` in line with a newer table.
pub fn apply_table(seats: &mut Vec<Renewal>, cell: &Table, me: &Node, now: Instant) {
    let mut next = Vec::new();
    for (key, endpoint) in cell.indexed_endpoints() {
        if endpoint.state == Lease::Absent || !endpoint.renewers.contains(me) {
            continue;
        }
        let found = seats
            .iter()
            .position(|seat| seat.endpoint == key && seat.incarnation == endpoint.incarnation);
        let seat = match found {
            Some(index) => {
                let mut seat = seats.swap_remove(index);
                seat.follow(cell);
                seat
            }
            None => Renewal::open(cell, key, now),
        };
        next.push(seat);
    }
    *seats = next;
}
