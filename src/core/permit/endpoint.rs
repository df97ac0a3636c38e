//! State of one endpoint at the dispatcher.
//!
//! Tracks the permits for the endpoint, its speed, and whether it is excluded
//! after failures, and computes the cost of sending a request to it.

use crate::core::{
    permit::{
        load::Average,
        reported_load::Load,
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

/// Slowness that is assumed until an endpoint has answered. It is below one, so
/// that new endpoints are tried before known ones.
const INITIAL_SLOWNESS: f64 = 0.7;

/// Factor by which service times are longer during the cold start of an endpoint.
pub const COLD_START_FACTOR: f64 = 2.0;

/// Weight of one outcome in the failure rate of an endpoint.
const FAILURE_WEIGHT: f64 = 1.0 / 6.0;

/// Failure rate above which an endpoint is excluded.
const MAX_FAILURE_RATE: f64 = 0.6;

/// First and longest time for which a failing endpoint is excluded.
pub const EXCLUSION_RANGE: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(2000));

/// Multiple of the expected service time without any answer after which an
/// endpoint is stuck.
const STUCK_FACTOR: f64 = 5.0;

/// Shortest time without any answer after which an endpoint is stuck.
const STUCK_MIN_US: f64 = 300_000.0;

/// Exclusion of an endpoint that did not hold a key; long enough for a renewal.
const NOT_HOLDER_EXCLUSION: Duration = Duration::from_millis(60);

/// Cost of sending a request to another zone.
pub const ZONE_COST_US: f64 = 10_000.0;

/// Cost of each byte of a body that is sent to another zone; 4 ms per kB.
pub const ZONE_COST_US_PER_BYTE: f64 = 4.0;

/// Bonus for an endpoint to which the requesting VM has an open connection.
const CONNECTION_BONUS_US: f64 = 60_000.0;

/// Maximum number of stored connections per endpoint: enough for the idle ones of
/// a hundred VMs, in a few kB.
const MAX_CONNECTIONS: usize = 128;

/// How long a connection is assumed to stay open after its last request.
const CONNECTION_LIFETIME: Duration = Duration::from_millis(6_000);

/// An endpoint that has not answered yet is preferred once it has had no request
/// for this long.
const UNTRIED_AFTER: Duration = Duration::from_millis(500);

/// Bonus for such an endpoint.
const UNTRIED_BONUS_US: f64 = 200_000.0;

/// Time constant with which the slowness of an unused endpoint decays to one.
const SLOWNESS_DECAY_US: f64 = 5_000_000.0;

/// A permit that is held by a request.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    pub id: Id,
    pub class: u32,
    /// Whether its request may run only where its key is held.
    pub is_keyed: bool,
    /// Whether its request came from another zone.
    pub is_guest: bool,
    pub granted_at: Instant,
    /// When the endpoint began to run the request, if it did not have to wait there.
    pub started_at: Option<Instant>,
    pub expires_at: Instant,
}

/// State of an endpoint, and what was measured of it.
#[derive(Clone, Debug)]
pub struct State {
    pub id: Box<str>,
    pub zone: Box<str>,
    pub slots: usize,
    pub is_leaving: bool,
    pub is_listed: bool,
    pub is_evacuated: bool,
    pub cold_until: Instant,
    pub permits: Vec<Permit>,
    pub slowness: f64,
    /// Average over more requests than `slowness`, without the time that they waited.
    pub lasting: f64,
    pub samples: u32,
    pub failure_rate: f64,
    pub consecutive_failures: u32,
    pub excluded_until: Instant,
    pub last_assigned: Instant,
    pub last_answer: Instant,
    pub connections: Vec<(SocketAddr, Instant)>,
    pub offered_load: Average,
    pub on_time_load: Average,
    pub reported_load: Load,
}

impl State {
    pub fn new(endpoint: &Endpoint, now: Instant) -> Self {
        Self {
            id: endpoint.id.clone(),
            zone: endpoint.zone.clone(),
            slots: usize::from(endpoint.slots),
            is_leaving: endpoint.is_leaving,
            is_listed: true,
            is_evacuated: false,
            cold_until: now,
            permits: Vec::new(),
            slowness: INITIAL_SLOWNESS,
            lasting: INITIAL_SLOWNESS,
            samples: 0,
            failure_rate: 0.0,
            consecutive_failures: 0,
            excluded_until: Instant::default(),
            last_assigned: now,
            last_answer: now,
            connections: Vec::new(),
            offered_load: Average::default(),
            on_time_load: Average::default(),
            reported_load: Load::default(),
        }
    }

    pub fn cold_factor(&self, now: Instant) -> f64 {
        if now < self.cold_until {
            COLD_START_FACTOR
        } else {
            1.0
        }
    }

    /// Returns the long-term service time here as a multiple of the class mean.
    pub fn lasting_slowness(&self, now: Instant) -> f64 {
        let unused_us = now.since(self.last_assigned).as_micros() as f64;
        let weight = (-unused_us / SLOWNESS_DECAY_US).exp();
        1.0 + (self.slowness - 1.0) * weight
    }

    /// Returns the expected service time here as a multiple of the class mean.
    pub fn effective_slowness(&self, now: Instant) -> f64 {
        self.lasting_slowness(now) * self.cold_factor(now)
    }

    /// Returns the service time here as a multiple of the class mean, over many requests.
    pub fn keyed_slowness(&self, now: Instant) -> f64 {
        let unused_us = now.since(self.last_assigned).as_micros() as f64;
        let weight = (-unused_us / SLOWNESS_DECAY_US).exp();
        (1.0 + (self.lasting - 1.0) * weight) * self.cold_factor(now)
    }

    /// Returns how slow the host is expected to be at the moment, as a multiple of its usual
    /// service times; 1 if the endpoint does not report it.
    pub fn host_slowness(&self, now: Instant) -> f64 {
        self.reported_load.host_slowness(now)
    }

    /// Returns the time in which a request sent now is expected to be done, from what was measured
    /// and what the endpoint reports.
    pub fn completion_us(&self, mean_us: f64, now: Instant) -> f64 {
        let service_us = mean_us * self.effective_slowness(now);
        let others = self.reported_load.others(service_us, now);
        let slots = self.slots.max(1) as f64;
        let excess = (self.permits.len() as f64 + others + 1.0 - slots).clamp(0.0, others);
        let wait_us = excess * service_us / slots;
        wait_us + self.reported_load.duration_us(service_us, now)
    }

    /// Tells whether all requests here have run far longer than expected.
    pub fn is_stuck(&self, mean_us: f64, now: Instant) -> bool {
        let limit_us = (mean_us * self.effective_slowness(now) * STUCK_FACTOR).max(STUCK_MIN_US);
        let is_overdue = |permit: &Permit| {
            now.since(permit.granted_at.max(self.last_answer))
                .as_micros() as f64
                > limit_us
        };
        !self.permits.is_empty() && self.permits.iter().all(is_overdue)
    }

    pub fn cost(
        &self,
        request: &Request,
        requester: SocketAddr,
        mean_us: f64,
        now: Instant,
    ) -> f64 {
        let expected_us = self.completion_us(mean_us, now);
        let urgency = expected_us / (request.goal_us as f64).max(expected_us);
        let mut cost_us = expected_us * (1.0 + urgency) * (1.0 + 3.0 * self.failure_rate);
        if self.zone != request.zone {
            cost_us += ZONE_COST_US + ZONE_COST_US_PER_BYTE * f64::from(request.bytes);
        }
        if self.has_connection(requester, now) {
            cost_us -= CONNECTION_BONUS_US;
        }
        if self.samples == 0 && now.since(self.last_assigned) > UNTRIED_AFTER {
            cost_us -= UNTRIED_BONUS_US;
        }
        cost_us
    }

    fn has_connection(&self, requester: SocketAddr, now: Instant) -> bool {
        let position = self
            .connections
            .binary_search_by_key(&requester, |&(requester, _)| requester);
        position.is_ok_and(|index| now.since(self.connections[index].1) < CONNECTION_LIFETIME)
    }

    /// Records that a VM has an open connection to the endpoint.
    pub fn record_connection(&mut self, requester: SocketAddr, now: Instant) {
        match self
            .connections
            .binary_search_by_key(&requester, |&(requester, _)| requester)
        {
            Ok(index) => self.connections[index].1 = now,
            Err(_) => {
                if self.connections.len() >= MAX_CONNECTIONS {
                    let oldest =
                        (0..MAX_CONNECTIONS).min_by_key(|&index| self.connections[index].1);
                    self.connections.remove(oldest.unwrap_or(0));
                }
                let index = self
                    .connections
                    .partition_point(|&(other, _)| other < requester);
                self.connections.insert(index, (requester, now));
            }
        }
    }

    pub fn record_outcome(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Answered => {
                self.last_answer = now;
                self.consecutive_failures = 0;
                self.failure_rate -= self.failure_rate * FAILURE_WEIGHT;
            }
            Outcome::Unreachable | Outcome::Silent => {
                self.consecutive_failures += 1;
                self.exclude(now);
            }
            // A rejection costs little, so the endpoint becomes less preferred but
            // is not excluded.
            Outcome::Shed => self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT,
            Outcome::Failed => {
                self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT;
                if self.failure_rate > MAX_FAILURE_RATE {
                    self.consecutive_failures += 1;
                    self.exclude(now);
                }
            }
            Outcome::NotHolder => self.excluded_until = now.after(NOT_HOLDER_EXCLUSION),
            // The dispatcher has already turned a late outcome into `Silent` or `Dropped`.
            Outcome::Dropped | Outcome::Late => {}
        }
    }

    /// Records that a request without a key came to another endpoint than it was sent to.
    ///
    /// Another one may have the address, for as long as the record of this one is there. So it
    /// is excluded for longer each time until it answers.
    pub fn record_misdirected(&mut self, now: Instant) {
        let doublings = self.consecutive_failures.min(6);
        let duration = (NOT_HOLDER_EXCLUSION * 2_u32.pow(doublings)).min(EXCLUSION_RANGE.1);
        self.consecutive_failures += 1;
        self.excluded_until = now.after(duration);
    }

    fn exclude(&mut self, now: Instant) {
        let doublings = self.consecutive_failures.saturating_sub(1).min(4);
        let duration = (EXCLUSION_RANGE.0 * 2_u32.pow(doublings)).min(EXCLUSION_RANGE.1);
        self.excluded_until = now.after(duration);
    }
}
