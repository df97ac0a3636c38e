//! The endpoint's side of the lease protocol.
//!
//! A server that owns keys exclusively has to implement these rules:
//!
//! - Accept only orders for its own incarnation that follow the newest table
//!   seen or a newer one.
//! - Let every grant expire by its own clock.
//! - Check each request against the grant when it starts and again when it
//!   takes effect.

use rhubarbpick::core::{
    renewal::{
        Answer,
        Order, //
    },
    table::Incarnation,
    time::Instant,
    token::Token,
};
use std::time::Duration;

/// A shard that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Holding {
    shard: u32,
    /// Token of the table since which it has been held without interruption.
    since: Token,
}

/// A request that is running on a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Work {
    number: u64,
    shard: u32,
}

/// Reason why an order or a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The order is for another incarnation of the process.
    WrongIncarnation,
    /// The order follows an older table than the newest one accepted, or the request was
    /// routed by a table older than the one since which the shard is held.
    StaleToken,
    /// The order cites a clock reading that lies in the future, which this incarnation cannot
    /// have given.
    FutureStamp,
    /// The order follows a newer table but does not list its shards.
    MissingShards,
    /// The shard is not held.
    NotHeld,
    /// The grant has expired.
    Expired,
}

/// Lease state of an endpoint: what it holds, until when, and which requests run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    incarnation: Incarnation,
    token: Token,
    settled: Token,
    expires: Instant,
    holdings: Vec<Holding>,
    running: Vec<Work>,
    last_number: u64,
    leaving: bool,
}

impl Holder {
    /// Creates the state of a new incarnation, which holds nothing.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            token: Token::default(),
            settled: Token::default(),
            expires: Instant::default(),
            holdings: Vec::new(),
            running: Vec::new(),
            last_number: 0,
            leaving: false,
        }
    }

    /// Returns the state that the endpoint reports to its renewers.
    pub fn answer(&self, now: Instant) -> Answer {
        Answer {
            incarnation: self.incarnation,
            stamp: now.0,
            token: self.token,
            settled: self.settled,
            leaving: self.leaving,
        }
    }

    /// Returns the time at which the grant expires.
    pub fn expires(&self) -> Instant {
        self.expires
    }

    /// Returns the shards of the newest table, even if the grant has expired.
    pub fn shards(&self) -> Vec<u32> {
        self.holdings.iter().map(|holding| holding.shard).collect()
    }

    /// Reports from now on that the endpoint wants its shards moved away.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether no shard is held and no request is running.
    pub fn is_empty(&self) -> bool {
        self.holdings.is_empty() && self.running.is_empty()
    }

    /// Applies an order, or refuses it without effect.
    pub fn apply(&mut self, order: &Order, now: Instant) -> Result<(), Refusal> {
        if order.incarnation != self.incarnation {
            return Err(Refusal::WrongIncarnation);
        }
        if order.token < self.token {
            return Err(Refusal::StaleToken);
        }
        if order.stamp > now.0 {
            return Err(Refusal::FutureStamp);
        }
        if order.token > self.token {
            let shards = order.shards.as_ref().ok_or(Refusal::MissingShards)?;
            self.follow(shards, order.token, now);
        }
        let lease = Duration::from_millis(order.lease_ms);
        self.expires = self.expires.max(Instant(order.stamp).after(lease));
        self.update_settled();
        Ok(())
    }

    /// Holds the shards of a newer table.
    fn follow(&mut self, shards: &[u32], token: Token, now: Instant) {
        let is_expired = now >= self.expires;
        if is_expired {
            // Other endpoints may have owned the shards since, so requests that started
            // before must not take effect any more.
            self.running.clear();
        }
        let previous = std::mem::take(&mut self.holdings);
        let since = |shard: u32| {
            let found = previous.binary_search_by_key(&shard, |holding| holding.shard);
            found
                .ok()
                .filter(|_| !is_expired)
                .map_or(token, |index| previous[index].since)
        };
        self.holdings = shards
            .iter()
            .map(|&shard| Holding {
                shard,
                since: since(shard),
            })
            .collect();
        self.token = token;
    }

    /// Advances the settled token once no request runs on a revoked shard.
    fn update_settled(&mut self) {
        let is_held = |work: &Work| self.holding(work.shard).is_some();
        if self.running.iter().all(is_held) {
            self.settled = self.token;
        }
    }

    fn holding(&self, shard: u32) -> Option<&Holding> {
        let found = self
            .holdings
            .binary_search_by_key(&shard, |holding| holding.shard);
        found.ok().map(|index| &self.holdings[index])
    }

    /// Starts a request on a shard and returns its number.
    ///
    /// `fence` is the token of the table that the request was routed by.
    pub fn begin_work(&mut self, shard: u32, fence: Token, now: Instant) -> Result<u64, Refusal> {
        let holding = self.holding(shard).ok_or(Refusal::NotHeld)?;
        if fence < holding.since {
            return Err(Refusal::StaleToken);
        }
        if now >= self.expires {
            return Err(Refusal::Expired);
        }
        self.last_number += 1;
        self.running.push(Work {
            number: self.last_number,
            shard,
        });
        Ok(self.last_number)
    }

    /// Returns whether a request may take effect now.
    ///
    /// A request may take effect although its shard was revoked after it
    /// started, because the endpoint reports the revocation as settled only when
    /// the request has ended. It may not take effect after the grant has expired.
    pub fn may_commit(&self, number: u64, now: Instant) -> bool {
        now < self.expires && self.running.iter().any(|work| work.number == number)
    }

    /// Ends a request, whether or not it took effect.
    pub fn end_work(&mut self, number: u64) {
        self.running.retain(|work| work.number != number);
        self.update_settled();
    }
}
