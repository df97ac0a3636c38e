//! Ends of permits, and the service times measured from them.

use crate::core::{
    permit::{
        endpoint::COLD_START_FACTOR,
        Class,
        Dispatcher,
        Id,
        Outcome, //
    },
    time::Instant,
};
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// Minimum weight of a new sample in the mean service time of a class.
const MIN_CLASS_MEAN_WEIGHT: f64 = 1.0 / 64.0;

/// Minimum weight of a new sample in the slowness of an endpoint.
const MIN_SLOWNESS_WEIGHT: f64 = 1.0 / 8.0;

/// The same for the lasting slowness: the requests of some five seconds at an owner of keys.
const MIN_LASTING_WEIGHT: f64 = 1.0 / 32.0;

/// Bounds on the slowness of an endpoint, as a multiple of the class mean.
const SLOWNESS_RANGE: (f64, f64) = (0.3, 12.0);

/// Largest slowness sample, so that one straggler does not mark an endpoint as slow.
const MAX_SLOWNESS_SAMPLE: f64 = 6.0;

/// Multiple of the expected service time after which a request that ended
/// unanswered shows that its endpoint is silent.
const OVERDUE_FACTOR: f64 = 3.0;

/// Age up to which a permit may be missing from its requester's list of open permits.
const OPEN_LIST_LAG: Duration = Duration::from_millis(150);

/// Silence of a requesting VM after which its permits end.
const REQUESTER_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Dispatcher {
    /// Ends a permit; `took` is the time from sending the request to its outcome.
    pub fn complete(&mut self, id: Id, outcome: Outcome, took: Duration, now: Instant) {
        self.record_contact(id.requester, now);
        self.queue.retain(|waiter| waiter.id != id);
        for index in 0..self.endpoints.len() {
            let permits = &mut self.endpoints[index].permits;
            let Some(position) = permits.iter().position(|other| other.id == id) else {
                continue;
            };
            let permit = permits.swap_remove(position);
            if permit.is_keyed {
                self.start_next(index, now);
            }
            if outcome == Outcome::Answered {
                // What a request waits at its owner is no service time.
                let ran = permit.started_at.map_or(took, |at| now.since(at));
                self.record_service_time(index, permit.class, took.min(ran), now);
            }
            let outcome = match outcome {
                Outcome::Late => self.classify_late(index, permit.class, took, now),
                other => other,
            };
            let endpoint = &mut self.endpoints[index];
            if outcome == Outcome::NotHolder && !permit.is_keyed {
                endpoint.record_misdirected(now);
            } else {
                endpoint.record_outcome(outcome, now);
            }
            return;
        }
    }

    /// Tells whether an endpoint that did not answer before the deadline is silent,
    /// or only got the request shortly before.
    pub(super) fn classify_late(
        &self,
        index: usize,
        class: u32,
        took: Duration,
        now: Instant,
    ) -> Outcome {
        let expected_us = self.mean_us(class) * self.endpoints[index].effective_slowness(now);
        if took.as_micros() as f64 > expected_us * OVERDUE_FACTOR {
            Outcome::Silent
        } else {
            Outcome::Dropped
        }
    }

    pub(super) fn record_service_time(
        &mut self,
        index: usize,
        class: u32,
        took: Duration,
        now: Instant,
    ) {
        let position = self.classes.binary_search_by_key(&class, |class| class.id);
        let position = position.unwrap_or_else(|position| {
            let class = Class {
                id: class,
                mean_us: 0.0,
                samples: 0,
            };
            self.classes.insert(position, class);
            position
        });
        let load = &self.endpoints[index].reported_load;
        let measured_us = took.as_micros() as f64;
        let took_us = load.usual_us(measured_us, now);
        let class = &mut self.classes[position];
        class.samples = class.samples.saturating_add(1);
        let weight = (1.0 / f64::from(class.samples)).max(MIN_CLASS_MEAN_WEIGHT);
        let endpoint = &mut self.endpoints[index];
        if now >= endpoint.cold_until {
            class.mean_us += (took_us - class.mean_us) * weight;
        } else if class.samples == 1 {
            class.mean_us = took_us / COLD_START_FACTOR;
        }
        let cold_factor = endpoint.cold_factor(now);
        let sample = took_us / (class.mean_us * cold_factor).max(1.0);
        let sample = sample.clamp(SLOWNESS_RANGE.0, MAX_SLOWNESS_SAMPLE);
        endpoint.samples = endpoint.samples.saturating_add(1);
        let weight = (1.0 / f64::from(endpoint.samples + 1)).max(MIN_SLOWNESS_WEIGHT);
        let slowness = endpoint.slowness + (sample - endpoint.slowness) * weight;
        endpoint.slowness = slowness.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        // An owner of keys also gets requests while its host is slow, so what it serves on average
        // includes these times.
        let sample = measured_us / (class.mean_us * cold_factor).max(1.0);
        let sample = sample.clamp(SLOWNESS_RANGE.0, MAX_SLOWNESS_SAMPLE);
        let weight = (1.0 / f64::from(endpoint.samples + 1)).max(MIN_LASTING_WEIGHT);
        let lasting = endpoint.lasting + (sample - endpoint.lasting) * weight;
        endpoint.lasting = lasting.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
    }

    pub(super) fn record_contact(&mut self, requester: SocketAddr, now: Instant) {
        match self
            .requesters
            .binary_search_by_key(&requester, |&(requester, _)| requester)
        {
            Ok(index) => self.requesters[index].1 = now,
            Err(index) => self.requesters.insert(index, (requester, now)),
        }
    }

    /// Ends the permits that a requesting VM no longer lists as open.
    pub fn reconcile(&mut self, requester: SocketAddr, open: &[u64], now: Instant) {
        self.record_contact(requester, now);
        for endpoint in &mut self.endpoints {
            endpoint.permits.retain(|permit| {
                permit.id.requester != requester
                    || now.since(permit.granted_at) < OPEN_LIST_LAG
                    || open.contains(&permit.id.number)
            });
        }
    }

    /// Ends expired permits, and the permits and queued requests of silent VMs.
    pub fn sweep(&mut self, now: Instant) {
        let silent: Vec<SocketAddr> = self
            .requesters
            .iter()
            .filter(|(_, last_contact)| now.since(*last_contact) > REQUESTER_TIMEOUT)
            .map(|&(requester, _)| requester)
            .collect();
        self.requesters
            .retain(|(requester, _)| silent.binary_search(requester).is_err());
        for endpoint in &mut self.endpoints {
            endpoint.permits.retain(|permit| {
                permit.expires_at > now && silent.binary_search(&permit.id.requester).is_err()
            });
        }
        self.queue
            .retain(|waiter| silent.binary_search(&waiter.id.requester).is_err());
    }
}
