//! An endpoint's side of the lease protocol.
//!
//! A server that wants to own keys exclusively has to implement this: obey
//! only orders for its own run and for no older table, let every grant end
//! by its own clock, and check each piece of work when it begins and again
//! when it takes effect.

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

/// A shard and the table from which on it has been held without a break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Holding {
    shard: u32,
    since: Token,
}

/// Work that runs on a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Work {
    number: u64,
    shard: u32,
}

/// Why an order or a piece of work is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The order is for another run of the process.
    WrongRun,
    /// The order follows an older table than one obeyed before.
    Stale,
    /// The order cites a clock reading that this run never gave.
    Future,
    /// The order follows an unknown table and does not list its shards.
    NeedsShards,
    /// The shard is not held.
    NotHeld,
    /// The grant is over.
    Lapsed,
}

/// What an endpoint holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    incarnation: Incarnation,
    token: Token,
    settled: Token,
    expires: Instant,
    holdings: Vec<Holding>,
    works: Vec<Work>,
    numbers: u64,
    leaving: bool,
}

impl Holder {
    /// Starts a run that holds nothing.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            token: Token::default(),
            settled: Token::default(),
            expires: Instant::default(),
            holdings: Vec::new(),
            works: Vec::new(),
            numbers: 0,
            leaving: false,
        }
    }

    /// Describes the endpoint.
    pub fn answer(&self, now: Instant) -> Answer {
        Answer {
            incarnation: self.incarnation,
            stamp: now.0,
            token: self.token,
            settled: self.settled,
            leaving: self.leaving,
        }
    }

    /// Returns the end of the grant.
    pub fn expires(&self) -> Instant {
        self.expires
    }

    /// Returns the shards that are held, lapsed or not.
    pub fn shards(&self) -> Vec<u32> {
        self.holdings.iter().map(|holding| holding.shard).collect()
    }

    /// Asks to be emptied.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Tells whether nothing is held and nothing runs.
    pub fn is_empty(&self) -> bool {
        self.holdings.is_empty() && self.works.is_empty()
    }

    /// Obeys an order or refuses it.
    pub fn apply(&mut self, order: &Order, now: Instant) -> Result<(), Refusal> {
        if order.incarnation != self.incarnation {
            return Err(Refusal::WrongRun);
        }
        if order.token < self.token {
            return Err(Refusal::Stale);
        }
        if order.stamp > now.0 {
            return Err(Refusal::Future);
        }
        if order.token > self.token {
            let shards = order.shards.as_ref().ok_or(Refusal::NeedsShards)?;
            self.follow(shards, order.token, now);
        }
        let lease = Duration::from_millis(order.lease_ms);
        self.expires = self.expires.max(Instant(order.stamp).after(lease));
        self.settle();
        Ok(())
    }

    fn follow(&mut self, shards: &[u32], token: Token, now: Instant) {
        let lapsed = now >= self.expires;
        if lapsed {
            // Others may have owned the shards since, so no work begun before counts.
            self.works.clear();
        }
        let old = std::mem::take(&mut self.holdings);
        let since = |shard: u32| {
            let found = old.binary_search_by_key(&shard, |holding| holding.shard);
            found
                .ok()
                .filter(|_| !lapsed)
                .map_or(token, |index| old[index].since)
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

    /// Notes the newest table of which no revoked work runs any more.
    fn settle(&mut self) {
        let is_held = |work: &Work| self.holding(work.shard).is_some();
        if self.works.iter().all(is_held) {
            self.settled = self.token;
        }
    }

    fn holding(&self, shard: u32) -> Option<&Holding> {
        let found = self
            .holdings
            .binary_search_by_key(&shard, |holding| holding.shard);
        found.ok().map(|index| &self.holdings[index])
    }

    /// Begins work on a shard for a request that was routed by table `fence`.
    pub fn begin_work(&mut self, shard: u32, fence: Token, now: Instant) -> Result<u64, Refusal> {
        let holding = self.holding(shard).ok_or(Refusal::NotHeld)?;
        if fence < holding.since {
            return Err(Refusal::Stale);
        }
        if now >= self.expires {
            return Err(Refusal::Lapsed);
        }
        self.numbers += 1;
        self.works.push(Work {
            number: self.numbers,
            shard,
        });
        Ok(self.numbers)
    }

    /// Tells whether work may take effect now.
    ///
    /// Work on a shard that was revoked meanwhile may: the endpoint reports
    /// the revocation as completed only afterwards. Work may not take effect
    /// after the grant is over.
    pub fn may_commit(&self, number: u64, now: Instant) -> bool {
        now < self.expires && self.works.iter().any(|work| work.number == number)
    }

    /// Ends work, whether or not it took effect.
    pub fn end_work(&mut self, number: u64) {
        self.works.retain(|work| work.number != number);
        self.settle();
    }
}
