//! Admission of requests for keys.
//!
//! The owner of a key is given, so a request that does not wait for it is refused. Designed
//! for many owners of two slots at half to two thirds of their capacity that run work three
//! times as slowly for 400 ms at a time, and for callers that wait a few service times longer
//! than their response time goal.
//!
//! - The estimate uses the lasting speed of the owner, so a short slowdown causes no refusals.
//!   It plays the requests that run, that wait at the owner and that are queued before this
//!   one to the slots.
//! - A request that can meet its goal is served before all that cannot. Another one is
//!   queued if the capacity that these leave completes it by its deadline. The same is asked
//!   again of a request that misses its goal while it is queued.
//! - An owner that gets more requests than it can serve, as that of a hot key, keeps a short
//!   queue, and the excess is refused at once.

use crate::core::{
    permit::{
        admission::{
            Estimate,
            Timeliness,
            EVACUATION_RETRY_AFTER, //
        },
        endpoint::State,
        load::LOAD_WINDOW_US,
        Dispatcher,
        Location,
        Locator,
        Priority,
        Reason,
        Refusal,
        Request,
        Waiter,
        GOAL_MARGIN,
        MAX_WAIT_FRACTION, //
    },
    time::Instant,
};
use std::time::Duration;

/// Multiple of the expected service time that must be left until the goal to admit a request
/// as on time, or until the deadline to admit it at all: half of all requests take longer
/// than expected.
const SERVICE_FACTOR: f64 = 1.4;

/// Offered load of an owner, as a share of its capacity, from which it counts as overloaded; an
/// average over a second of some ten requests is off by a third at times.
const OVERLOAD: f64 = 1.3;

/// Part of the time until the goal that may pass until a request is done at an overloaded owner.
///
/// Such an owner is never idle, so a shorter queue costs no capacity, and more of what it serves
/// is on time although service times vary.
const OVERLOAD_GOAL_FRACTION: f64 = 0.7;

/// Smallest share of an owner's capacity that is assumed to be left for late requests.
const MIN_SPARE_CAPACITY: f64 = 0.02;

/// Time constant over which the on-time load of an owner is averaged, in microseconds: an owner
/// with few slots gets some six requests per second, so one second gives it only to within
/// two fifths.
pub(super) const KEYED_ON_TIME_WINDOW_US: f64 = 3_000_000.0;

/// Least remaining time of a running request, as a fraction of its expected service time.
const MIN_REMAINING_FRACTION: f64 = 0.25;

/// Retry time for a key whose owner is not known to the dispatcher.
const UNKNOWN_OWNER_RETRY: Duration = Duration::from_millis(1_000);

impl Dispatcher {
    /// Returns the capacity of an endpoint, in requests of the mean service time per second.
    ///
    /// It follows the lasting speed, so that a short slowdown moves no keys.
    pub fn capacity(&self, id: &str, now: Instant) -> Option<f64> {
        let endpoint = &self.endpoints[self.find_endpoint(id)?];
        Some(self.keyed_parallelism(endpoint, now) * 1e6 / self.overall_mean_us())
    }

    /// Returns how many requests of mean service time an owner serves at a time.
    fn keyed_parallelism(&self, endpoint: &State, now: Instant) -> f64 {
        let by_slots = endpoint.slots as f64 / endpoint.keyed_slowness(now);
        let rate = self.max_rate(&endpoint.id, now);
        rate.map_or(by_slots, |rate| {
            by_slots.min(rate * self.overall_mean_us() / 1e6)
        })
    }

    /// Decides whether a request for a key is queued, and whether it can meet its goal.
    pub(super) fn assess_keyed(
        &mut self,
        request: &Request,
        key: u16,
        locate: &Locator<'_>,
        now: Instant,
    ) -> Result<(Timeliness, Estimate), Refusal> {
        let mean_us = self.mean_us(request.class);
        let left_us = request.left_us as f64;
        let (id, moving_us) = match locate(key) {
            Location::Held(id) => (id, 0.0),
            Location::Moving(id) => (id, mean_us),
            Location::Unowned(span) => {
                // A request that cannot wait that long is refused with this retry time.
                let span_us = span.as_micros() as f64;
                let may_wait = span_us <= left_us * MAX_WAIT_FRACTION;
                if !may_wait || span_us > request.goal_us as f64 {
                    return Err(self.refuse(Reason::NoOwner, span));
                }
                let finish_us = span_us + mean_us;
                let timeliness = Self::timeliness(request, finish_us);
                return Ok((timeliness, Estimate::unowned(finish_us)));
            }
            Location::Closed => return Err(self.refuse(Reason::Evacuated, EVACUATION_RETRY_AFTER)),
        };
        let Some(index) = self.find_endpoint(id) else {
            return Err(self.refuse(Reason::NoOwner, UNKNOWN_OWNER_RETRY));
        };
        let endpoint = &self.endpoints[index];
        let slowness = endpoint.keyed_slowness(now);
        let capacity = self.keyed_parallelism(endpoint, now);
        let excluded_us = endpoint.excluded_until.since(now).as_micros() as f64;
        let goal = now.after(Duration::from_micros(request.goal_us));
        let ahead = self.ahead_us(id, (request.rank, false, false, goal), locate, slowness);
        let service_us = mean_us * slowness * SERVICE_FACTOR;
        let min_wait_us = moving_us + excluded_us;
        let rate_us = self.rate_wait_us(endpoint, ahead.len(), now);
        let on_time_us = self.slot_wait_us(endpoint, &ahead, now).max(rate_us) + min_wait_us;
        let (late_ahead, late_us) = self.late_us(index, request, locate, now);
        // The owner serves no sooner what its rate limit delays, so that is worth a retry.
        let rate_us = self.rate_wait_us(endpoint, late_ahead, now);
        let is_rate_free = rate_us <= left_us * request.max_wait_fraction();
        let work_us = mean_us / capacity.max(f64::MIN_POSITIVE);
        let load = &mut self.endpoints[index].offered_load;
        load.add(work_us, LOAD_WINDOW_US, now);
        let estimate = Estimate {
            wait_us: on_time_us,
            finish_us: on_time_us + service_us,
            load: load.value(now),
            endpoint: Some(index),
            capacity,
        };
        let goal_us = request.goal_us as f64;
        let is_in_bound = estimate.load < OVERLOAD
            || on_time_us == 0.0
            || estimate.finish_us <= goal_us * OVERLOAD_GOAL_FRACTION;
        match Self::timeliness(request, estimate.finish_us) {
            Timeliness::OnTime if is_in_bound => Ok((Timeliness::OnTime, estimate)),
            _ if is_rate_free && late_us + min_wait_us <= left_us => {
                Ok((Timeliness::Late, estimate))
            }
            _ => Err(self.refuse_full(request, &estimate)),
        }
    }

    /// Returns the expected service times of the queued requests for an owner that precede
    /// `priority`.
    fn ahead_us(
        &self,
        owner: &str,
        priority: Priority,
        locate: &Locator<'_>,
        slowness: f64,
    ) -> Vec<f64> {
        let ahead = self.queue.iter().filter(|other| {
            let other_owner = other.request.key.and_then(|key| locate(key).endpoint());
            other_owner == Some(owner) && other.priority() <= priority
        });
        let service_us = |other: &Waiter| self.mean_us(other.request.class) * slowness;
        ahead.map(service_us).collect()
    }

    /// Returns how many requests are queued before a late request, and the time in which it is
    /// expected to be done.
    fn late_us(
        &self,
        index: usize,
        request: &Request,
        locate: &Locator<'_>,
        now: Instant,
    ) -> (usize, f64) {
        let endpoint = &self.endpoints[index];
        let slowness = endpoint.keyed_slowness(now);
        let deadline = now.after(Duration::from_micros(request.left_us));
        let priority = (request.rank, true, !request.is_return, deadline);
        let ahead = self.ahead_us(&endpoint.id, priority, locate, slowness);
        let rate_us = self.rate_wait_us(endpoint, ahead.len(), now);
        let wait_us = self.slot_wait_us(endpoint, &ahead, now).max(rate_us);
        // Requests on time that arrive meanwhile are served before this one.
        let on_time_load = endpoint.on_time_load.value(now);
        let spare_fraction = (1.0 - on_time_load).max(MIN_SPARE_CAPACITY);
        let service_us = self.mean_us(request.class) * slowness * SERVICE_FACTOR;
        (ahead.len(), wait_us / spare_fraction + service_us)
    }

    /// Returns whether a request that has missed its goal in the queue can be done by its
    /// deadline.
    pub(super) fn can_be_late(&self, waiter: &Waiter, locate: &Locator<'_>, now: Instant) -> bool {
        let location = waiter.request.key.map(locate);
        let Some(index) = location
            .and_then(Location::endpoint)
            .and_then(|id| self.find_endpoint(id))
        else {
            return false;
        };
        let elapsed = now.since(waiter.queued_at).as_micros() as u64;
        let request = waiter.request.with_elapsed(elapsed);
        self.late_us(index, &request, locate, now).1 <= request.left_us as f64
    }

    fn timeliness(request: &Request, finish_us: f64) -> Timeliness {
        if finish_us <= request.goal_us as f64 - GOAL_MARGIN.as_micros() as f64 {
            Timeliness::OnTime
        } else {
            Timeliness::Late
        }
    }

    /// Returns how long a request waits for a slot of an owner, with others of these service
    /// times before it.
    fn slot_wait_us(&self, endpoint: &State, ahead: &[f64], now: Instant) -> f64 {
        let slowness = endpoint.keyed_slowness(now);
        let mut permits: Vec<_> = endpoint.permits.iter().collect();
        permits.sort_by_key(|permit| permit.granted_at);
        let mut free_at_us = vec![0.0_f64; endpoint.slots.max(1)];
        let mut occupy = |work_us: f64| {
            let first = free_at_us.iter_mut().min_by(|a, b| a.total_cmp(b));
            if let Some(first) = first {
                *first += work_us;
            }
        };
        for permit in permits {
            let expected_us = self.mean_us(permit.class) * slowness;
            let ran_us = permit
                .started_at
                .map_or(0.0, |at| now.since(at).as_micros() as f64);
            occupy((expected_us - ran_us).max(expected_us * MIN_REMAINING_FRACTION));
        }
        for &work_us in ahead {
            occupy(work_us);
        }
        free_at_us.into_iter().fold(f64::MAX, f64::min)
    }

    /// Returns until when a queued request for a key may wait: the owner still has the expected
    /// service time left until the deadline.
    ///
    /// With less, every other answer would come too late, and the owner would have worked for
    /// nothing.
    pub(super) fn keyed_wait_until(
        &self,
        waiter: &Waiter,
        locate: &Locator<'_>,
        now: Instant,
    ) -> Instant {
        let location = waiter.request.key.map(locate);
        let owner = location.and_then(Location::endpoint);
        let index = owner.and_then(|id| self.find_endpoint(id));
        let slowness = index.map_or(1.0, |index| self.endpoints[index].keyed_slowness(now));
        let service_us = self.mean_us(waiter.request.class) * slowness;
        let until = waiter.deadline.0.saturating_sub(service_us as u64);
        Instant(until).max(waiter.queued_at)
    }

    /// Marks the request that has waited longest at an owner as running, when another one ended.
    pub(super) fn start_next(&mut self, index: usize, now: Instant) {
        let endpoint = &mut self.endpoints[index];
        let started = endpoint
            .permits
            .iter()
            .filter(|permit| permit.started_at.is_some());
        if started.count() >= endpoint.slots {
            return;
        }
        let waiting = endpoint.permits.iter_mut();
        let waiting = waiting.filter(|permit| permit.started_at.is_none());
        if let Some(next) = waiting.min_by_key(|permit| permit.granted_at) {
            next.started_at = Some(now);
        }
    }
}
