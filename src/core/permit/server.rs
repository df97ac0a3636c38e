//! One endpoint as its dispatcher sees it: what runs there, how fast it is,
//! whether it is left out, and what sending a request there costs.

use crate::core::{
    permit::{
        flow::Flow,
        Id,
        Outcome,
        Request, //
    },
    registry::Endpoint,
    time::Instant,
};
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// Slowness of an endpoint that has not answered yet: tried before known ones.
const SLOWNESS_UNKNOWN: f64 = 0.7;

/// How much longer a cold endpoint takes.
pub const COLD_FACTOR: f64 = 2.0;

/// Weight of one outcome in the share of failures of an endpoint.
const FAILURE_WEIGHT: f64 = 1.0 / 6.0;

/// Share of failures from which an endpoint is left out.
const FAILURE_LIMIT: f64 = 0.6;

/// How long an endpoint is left out at first and at most.
pub const BLOCK_RANGE: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(2000));

/// An endpoint is stuck if nothing came from it for so many usual times.
const STUCK_FACTOR: f64 = 5.0;

/// The time after which an endpoint is stuck at least, in microseconds.
const STUCK_MIN_US: f64 = 300_000.0;

/// How long an endpoint that did not hold a key is left out: time for a renewal.
const DOUBT: Duration = Duration::from_millis(60);

/// Time by which a request from another zone has to be better served, in microseconds.
const ZONE_COST_US: f64 = 10_000.0;

/// The same for each byte of its body: a kilobyte weighs four milliseconds.
const ZONE_COST_US_PER_BYTE: f64 = 4.0;

/// What an open connection is worth, in microseconds.
const WARM_BONUS_US: f64 = 60_000.0;

/// Connections that are remembered: the idle ones that an endpoint has with a
/// hundred VMs, a few kilobytes.
const WARM_MAX: usize = 128;

/// How long a connection is taken to stay open.
const WARM_FOR: Duration = Duration::from_millis(6_000);

/// An endpoint that got no request for so long after it joined is tried before others.
const NEW_LIMIT: Duration = Duration::from_millis(500);

/// What that is worth, in microseconds.
const NEW_BONUS_US: f64 = 200_000.0;

/// Span in which the slowness of an endpoint without requests is forgotten, in microseconds.
const FORGET_SPAN_US: f64 = 5_000_000.0;

/// A request under a permit.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    pub ticket: Id,
    pub class: u32,
    pub since: Instant,
    pub until: Instant,
}

/// An endpoint, and what was learned of it.
#[derive(Clone, Debug)]
pub struct Server {
    pub id: Box<str>,
    pub zone: Box<str>,
    pub slots: usize,
    pub is_leaving: bool,
    pub is_listed: bool,
    pub cold_until: Instant,
    pub running: Vec<Running>,
    pub slowness: f64,
    pub samples: u32,
    pub failures: f64,
    pub misses: u32,
    pub blocked_until: Instant,
    pub used_at: Instant,
    pub answered_at: Instant,
    pub warm: Vec<(SocketAddr, Instant)>,
    pub load: Flow,
    pub fresh: Flow,
}

impl Server {
    pub fn new(endpoint: &Endpoint, now: Instant) -> Self {
        Self {
            id: endpoint.id.clone(),
            zone: endpoint.zone.clone(),
            slots: usize::from(endpoint.slots),
            is_leaving: endpoint.is_leaving,
            is_listed: true,
            cold_until: now,
            running: Vec::new(),
            slowness: SLOWNESS_UNKNOWN,
            samples: 0,
            failures: 0.0,
            misses: 0,
            blocked_until: Instant::default(),
            used_at: now,
            answered_at: now,
            warm: Vec::new(),
            load: Flow::default(),
            fresh: Flow::default(),
        }
    }

    pub fn cold_factor(&self, now: Instant) -> f64 {
        if now < self.cold_until {
            COLD_FACTOR
        } else {
            1.0
        }
    }

    /// How much longer than the mean a request takes here.
    pub fn pace(&self, now: Instant) -> f64 {
        let unused = now.since(self.used_at).as_micros() as f64;
        let left = (-unused / FORGET_SPAN_US).exp();
        let slowness = 1.0 + (self.slowness - 1.0) * left;
        slowness * self.cold_factor(now)
    }

    /// Tells whether all that runs here takes far longer than it should.
    pub fn is_stuck(&self, mean_us: f64, now: Instant) -> bool {
        let limit = (mean_us * self.pace(now) * STUCK_FACTOR).max(STUCK_MIN_US);
        let is_old = |running: &Running| {
            now.since(running.since.max(self.answered_at)).as_micros() as f64 > limit
        };
        !self.running.is_empty() && self.running.iter().all(is_old)
    }

    pub fn cost(&self, ask: &Request, asker: SocketAddr, mean: f64, now: Instant) -> f64 {
        let expected = mean * self.pace(now);
        let hurry = expected / (ask.goal_us as f64).max(expected);
        let mut cost = expected * (1.0 + hurry) * (1.0 + 3.0 * self.failures);
        if self.zone != ask.zone {
            cost += ZONE_COST_US + ZONE_COST_US_PER_BYTE * f64::from(ask.bytes);
        }
        if self.is_warm(asker, now) {
            cost -= WARM_BONUS_US;
        }
        if self.samples == 0 && now.since(self.used_at) > NEW_LIMIT {
            cost -= NEW_BONUS_US;
        }
        cost
    }

    fn is_warm(&self, asker: SocketAddr, now: Instant) -> bool {
        let place = self.warm.binary_search_by_key(&asker, |&(warm, _)| warm);
        place.is_ok_and(|index| now.since(self.warm[index].1) < WARM_FOR)
    }

    /// Notes that a VM has a connection open here.
    pub fn warm_up(&mut self, asker: SocketAddr, now: Instant) {
        match self.warm.binary_search_by_key(&asker, |&(warm, _)| warm) {
            Ok(index) => self.warm[index].1 = now,
            Err(_) => {
                if self.warm.len() >= WARM_MAX {
                    let oldest = (0..WARM_MAX).min_by_key(|&index| self.warm[index].1);
                    self.warm.remove(oldest.unwrap_or(0));
                }
                let index = self.warm.partition_point(|&(warm, _)| warm < asker);
                self.warm.insert(index, (asker, now));
            }
        }
    }

    pub fn judge(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Answered => {
                self.answered_at = now;
                self.misses = 0;
                self.failures -= self.failures * FAILURE_WEIGHT;
            }
            Outcome::Unreachable | Outcome::Silent => {
                self.misses += 1;
                self.block(now);
            }
            // Turned away at no cost: others are preferred, none is left out.
            Outcome::Shed => self.failures += (1.0 - self.failures) * FAILURE_WEIGHT,
            Outcome::Failed => {
                self.failures += (1.0 - self.failures) * FAILURE_WEIGHT;
                if self.failures > FAILURE_LIMIT {
                    self.misses += 1;
                    self.block(now);
                }
            }
            Outcome::NotHolder => self.blocked_until = now.after(DOUBT),
            // Judged before, by how long it had.
            Outcome::Dropped | Outcome::Late => {}
        }
    }

    fn block(&mut self, now: Instant) {
        let doublings = self.misses.saturating_sub(1).min(4);
        let span = (BLOCK_RANGE.0 * 2_u32.pow(doublings)).min(BLOCK_RANGE.1);
        self.blocked_until = now.after(span);
    }
}
