//! The renewer's side of the lease on an endpoint.
//!
//! Two processes renew the lease of each endpoint at the same time, so the loss
//! of one has no effect and needs no failover. A renewer keeps working without
//! the store and without the planner.
//!
//! A renewer extends the lease by sending an [`Order`]. Each order cites the
//! latest clock reading ("stamp") that the endpoint gave in an answer, and the
//! lease lasts [`LEASE_DURATION`](crate::core::time::LEASE_DURATION) from that
//! reading. An order that is delayed in the network therefore extends the lease
//! no further than a prompt one, and the renewer can bound the lease by the time
//! at which it *received* the newest stamp, whether or not the answers to its
//! orders arrived.
//!
//! Before the planner moves shards of a silent endpoint, it requests the
//! renewer's [`Promise`] to stop. After giving it, the renewer sends no more
//! orders until it reads a newer table.

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
        ENDPOINT_SUSPECT_TIMEOUT, //
    },
    token::Token,
};
use std::time::Duration;

record! {
    /// An order to an endpoint, which extends its lease and sets the shards that it owns.
    pub struct Order {
        /// Incarnation of the endpoint for which the order is meant.
        pub incarnation: Incarnation,
        /// Token of the table on which the order is based.
        pub token: Token,
        /// Stamp of an earlier answer: the endpoint's clock, in microseconds.
        pub stamp: u64,
        /// Duration of the lease from the stamp, in milliseconds.
        pub lease_ms: u64,
        /// Shards that it owns, or `None` if it has already acknowledged this table.
        pub shards: Option<Vec<u32>>,
    }

    /// The answer of an endpoint to an order, with its own state.
    pub struct Answer {
        /// Incarnation of the endpoint.
        pub incarnation: Incarnation,
        /// Stamp: the endpoint's clock, in microseconds.
        pub stamp: u64,
        /// Token of the highest table in an order so far; it rejects orders with a lower one.
        pub token: Token,
        /// Token of the highest table for which no request on revoked shards is running any more.
        pub settled: Token,
        /// Whether it is shutting down and wants to give up its shards.
        pub leaving: bool,
    }

    /// A renewer's promise to send no more orders until it reads a newer table.
    pub struct Promise {
        /// Endpoint whose renewal has stopped.
        pub endpoint: table::Index,
        /// Incarnation of the endpoint.
        pub incarnation: Incarnation,
        /// Time since the newest stamp was received, in microseconds; `None` if none was received.
        pub age_us: Option<u64>,
    }

    /// A renewer's report to the planner on an endpoint.
    pub struct Report {
        /// Endpoint.
        pub endpoint: table::Index,
        /// Incarnation of the endpoint to which the report applies.
        pub incarnation: Incarnation,
        /// Token of the highest table that the endpoint has acknowledged to this renewer.
        pub acked: Token,
        /// Token of the highest table whose revocations it has completed.
        pub settled: Token,
        /// Whether the renewer suspects it of failure.
        pub silent: bool,
        /// Whether it is shutting down and wants to give up its shards.
        pub leaving: bool,
        /// Another incarnation that answered at its address.
        pub replaced_by: Option<Incarnation>,
    }
}

/// State of the renewal of one endpoint by one renewer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Renewal {
    /// Endpoint.
    pub endpoint: table::Index,
    /// Incarnation of the endpoint.
    pub incarnation: Incarnation,
    /// Token of the table on which the renewal is based.
    pub token: Token,
    /// The endpoint's shards in that table.
    pub shards: Vec<u32>,
    /// Newest stamp and the time at which it was received.
    pub stamp: Option<(u64, Instant)>,
    /// Token of the highest table that the endpoint has acknowledged.
    pub acked: Token,
    /// Token of the highest table whose revocations it has completed.
    pub settled: Token,
    /// Time of the last answer, or of the start of the renewal.
    pub last_heard: Instant,
    /// Number of consecutive orders whose connection was refused.
    pub refusals: u32,
    /// Whether the endpoint is shutting down and wants to give up its shards.
    pub leaving: bool,
    /// Another incarnation that answered at the address.
    pub replaced_by: Option<Incarnation>,
    /// Whether the renewer has promised to stop and sends no more orders.
    pub is_stopped: bool,
}

/// Number of consecutive refused connections after which an endpoint is suspected.
const MAX_REFUSALS: u32 = 2;

impl Renewal {
    /// Starts the renewal of the endpoint `index`.
    pub fn new(table: &Table, index: table::Index, now: Instant) -> Self {
        let shards = table.owners.shards_of(index);
        Self {
            endpoint: index,
            incarnation: table.endpoint(index).incarnation,
            token: table.token,
            shards: shards.iter().map(|shard| shard.0).collect(),
            stamp: None,
            acked: Token::default(),
            settled: Token::default(),
            last_heard: now,
            refusals: 0,
            leaving: false,
            replaced_by: None,
            is_stopped: false,
        }
    }

    /// Applies a newer table that still names this renewer and this incarnation.
    pub fn update(&mut self, table: &Table) {
        let shards = table.owners.shards_of(self.endpoint);
        self.shards = shards.iter().map(|shard| shard.0).collect();
        self.token = table.token;
        self.is_stopped = false;
    }

    /// Returns the order to send now, or `None` while stopped or without a stamp.
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

    /// Records an answer of the endpoint; `accepted` is the token of the order that it
    /// accepted, if it did.
    pub fn on_answer(&mut self, answer: &Answer, accepted: Option<Token>, now: Instant) {
        if answer.incarnation != self.incarnation {
            self.replaced_by = Some(answer.incarnation);
            return;
        }
        self.last_heard = now;
        self.refusals = 0;
        self.leaving |= answer.leaving;
        if self.stamp.is_none_or(|(stamp, _)| stamp < answer.stamp) {
            self.stamp = Some((answer.stamp, now));
        }
        if let Some(token) = accepted {
            self.acked = self.acked.max(token);
            self.settled = self.settled.max(answer.settled);
        }
    }

    /// Records that the connection was refused.
    pub fn on_refused(&mut self) {
        self.refusals += 1;
    }

    /// Stops the renewal until a newer table is applied, and returns the promise.
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

    /// Returns the report on the endpoint for the planner.
    pub fn report(&self, now: Instant) -> Report {
        Report {
            endpoint: self.endpoint,
            incarnation: self.incarnation,
            acked: self.acked,
            settled: self.settled,
            silent: self.refusals >= MAX_REFUSALS
                || now.since(self.last_heard) >= ENDPOINT_SUSPECT_TIMEOUT,
            leaving: self.leaving,
            replaced_by: self.replaced_by,
        }
    }
}

/// Stops the renewal of an endpoint and returns the promise, on request of a
/// planner whose table is `requested`; `held` is the table of this process.
///
/// Both must be the same table. If `held` is newer, the planner is out of date.
/// If it is older, the process may become a renewer when it reads the newer one.
/// A process that is no renewer of the endpoint may just have sent its last
/// order with a stamp received at the same time, so it promises an age of zero.
pub fn promise_stop(
    renewals: &mut [Renewal],
    held: Token,
    requested: Token,
    endpoint: table::Index,
    incarnation: Incarnation,
    now: Instant,
) -> Option<Promise> {
    if held != requested {
        return None;
    }
    let mut renewals = renewals.iter_mut();
    let found =
        renewals.find(|renewal| renewal.endpoint == endpoint && renewal.incarnation == incarnation);
    match found {
        Some(renewal) => Some(renewal.stop(now)),
        None => Some(Promise {
            endpoint,
            incarnation,
            age_us: Some(0),
        }),
    }
}

/// Updates the renewals of the process `me` to a newer table.
pub fn apply_table(renewals: &mut Vec<Renewal>, table: &Table, me: &Node, now: Instant) {
    let mut next = Vec::new();
    for (index, endpoint) in table.indexed_endpoints() {
        if endpoint.state == Lease::Absent || !endpoint.renewers.contains(me) {
            continue;
        }
        let found = renewals.iter().position(|renewal| {
            renewal.endpoint == index && renewal.incarnation == endpoint.incarnation
        });
        let renewal = match found {
            Some(position) => {
                let mut renewal = renewals.swap_remove(position);
                renewal.update(table);
                renewal
            }
            None => Renewal::new(table, index, now),
        };
        next.push(renewal);
    }
    *renewals = next;
}
