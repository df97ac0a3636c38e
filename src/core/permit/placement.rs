//! Placement: assigns queued requests to endpoints with free slots.

use crate::core::{
    permit::{
        endpoint::{
            Permit,
            State, //
        },
        zones::Pass,
        Assignment,
        Decisions,
        Dispatcher,
        Location,
        Locator,
        Reason,
        Refusal,
        Waiter,
        GOAL_MARGIN,
        MIN_RETRY_AFTER, //
    },
    time::Instant,
};
use std::time::Duration;

/// Body size from which a request waits for an endpoint in its own zone.
const LARGE_BODY_BYTES: u32 = 16 * 1024;

/// Longest time that a large request waits for an endpoint in its own zone.
const SAME_ZONE_WAIT: Duration = Duration::from_millis(60);

/// Requests beyond its slots that are sent to an endpoint that owns keys.
const KEYED_PREFETCH: usize = 1;

impl Dispatcher {
    /// Returns the endpoints that may get requests: all that are not excluded or, if
    /// more than half would be, the half with the fewest consecutive failures.
    pub(super) fn usable(&self, now: Instant) -> Vec<usize> {
        let mean_us = self.overall_mean_us();
        let is_excluded = |index: usize| {
            let endpoint = &self.endpoints[index];
            endpoint.excluded_until > now || endpoint.is_stuck(mean_us, now)
        };
        let listed = (0..self.endpoints.len()).filter(|&index| {
            let endpoint = &self.endpoints[index];
            endpoint.is_listed && !endpoint.is_leaving && !endpoint.is_evacuated
        });
        let mut listed: Vec<usize> = listed.collect();
        let available = listed.iter().filter(|&&index| !is_excluded(index)).count();
        if available * 2 >= listed.len() {
            listed.retain(|&index| !is_excluded(index));
        } else {
            listed.sort_by_key(|&index| {
                (
                    is_excluded(index),
                    self.endpoints[index].consecutive_failures,
                )
            });
            listed.truncate(listed.len().div_ceil(2).max(available));
        }
        listed
    }

    /// Assigns queued requests to free slots and refuses those that waited too long.
    pub fn dispatch(&mut self, locate: &Locator<'_>, now: Instant) -> Decisions {
        let mut decisions = Decisions::default();
        self.expire(&mut decisions, locate, now);
        let mut is_full = vec![false; self.endpoints.len()];
        let mut is_pool_full = false;
        let mut zone_pass = self.begin_zone_pass(now);
        let mut index = 0;
        while index < self.queue.len() {
            let chosen = match self.queue[index].request.key {
                Some(key) => self.choose_keyed(locate(key), &mut is_full, now),
                None if is_pool_full => None,
                None => {
                    let choice = self.choose_pooled(index, &mut zone_pass, now);
                    is_pool_full = choice == Choice::Full;
                    choice.endpoint()
                }
            };
            let Some(endpoint) = chosen else {
                index += 1;
                continue;
            };
            let waiter = self.queue.remove(index);
            self.assign(endpoint, &waiter, now);
            self.record_zone(&mut zone_pass, &waiter, endpoint, now);
            let mean_us = self.mean_us(waiter.request.class);
            let expected_us = self.endpoints[endpoint].completion_us(mean_us, now);
            decisions.assignments.push(Assignment {
                request: waiter.id,
                endpoint: self.endpoints[endpoint].id.clone(),
                expected: Duration::from_micros(expected_us as u64),
                is_return: waiter.request.is_return,
                rate_limit: self.rate_limit(&self.endpoints[endpoint].id, now),
                cold: self.cold(&self.endpoints[endpoint].id, now),
            });
        }
        decisions
    }

    /// Removes requests that waited too long. Those that were on time are queued again
    /// as late ones if the spare capacity suffices; the others are refused.
    pub(super) fn expire(&mut self, decisions: &mut Decisions, locate: &Locator<'_>, now: Instant) {
        let is_evacuated = self.is_evacuated();
        let mut expired = Vec::new();
        let mut index = 0;
        while index < self.queue.len() {
            let waiter = &self.queue[index];
            let is_refused = is_evacuated && waiter.request.key.is_none();
            if waiter.wait_until > now && !is_refused {
                index += 1;
                continue;
            }
            let waiter = self.queue.remove(index);
            expired.push(waiter);
        }
        for mut waiter in expired {
            let left = waiter.deadline.since(waiter.queued_at);
            let late_wait_until = waiter
                .queued_at
                .after(left.mul_f64(waiter.request.max_wait_fraction()));
            let left_us = late_wait_until.since(now).as_micros() as f64;
            let late_wait_until = match waiter.request.key {
                Some(_) => self.keyed_wait_until(&waiter, locate, now),
                None => late_wait_until,
            };
            let can_wait = || {
                let request = &waiter.request;
                if request.key.is_some() {
                    return late_wait_until > now && self.can_be_late(&waiter, locate, now);
                }
                let priority = (request.rank, true, !request.is_return, waiter.deadline);
                self.late_wait_us(priority, locate, self.pool_capacity(now), now) < left_us
            };
            let is_refused = is_evacuated && waiter.request.key.is_none();
            if !is_refused && !waiter.is_late && can_wait() {
                waiter.is_late = true;
                waiter.wait_until = late_wait_until;
                self.enqueue(waiter);
                continue;
            }
            let reason = match is_refused {
                true => Reason::Evacuated,
                false => Reason::Waited,
            };
            let refusal = Refusal {
                is_return: waiter.request.is_return,
                ..self.refuse(reason, MIN_RETRY_AFTER)
            };
            let elapsed = now.since(waiter.queued_at);
            let request = waiter.request.with_elapsed(elapsed.as_micros() as u64);
            let goal = waiter.goal.after(GOAL_MARGIN);
            self.refusals
                .record(&request, goal, refusal.retry_after, now);
            decisions.refusals.push((waiter.id, refusal));
        }
    }

    /// Returns the owner of a key if it can get another request.
    ///
    /// An owner that cannot is marked in `is_full`, so that no later request in the
    /// queue overtakes those that wait for it.
    pub(super) fn choose_keyed(
        &self,
        location: Location<'_>,
        is_full: &mut [bool],
        now: Instant,
    ) -> Option<usize> {
        let Location::Held(id) = location else {
            return None;
        };
        let index = self.find_endpoint(id)?;
        if is_full[index] {
            return None;
        }
        let endpoint = &self.endpoints[index];
        let max_permits = endpoint.slots + KEYED_PREFETCH;
        let is_free = self.has_room(endpoint, max_permits, now) && endpoint.excluded_until <= now;
        is_full[index] = !is_free;
        is_free.then_some(index)
    }

    pub(super) fn choose_pooled(
        &self,
        index: usize,
        zone_pass: &mut Option<Pass>,
        now: Instant,
    ) -> Choice {
        let waiter = &self.queue[index];
        if self.must_wait_in_zone(zone_pass, waiter, now) {
            return Choice::Wait;
        }
        let usable = self.usable(now);
        let free = usable.iter().copied().filter(|&index| {
            let endpoint = &self.endpoints[index];
            self.has_room(endpoint, endpoint.slots, now)
        });
        let mut free: Vec<usize> = free.collect();
        if free.is_empty() {
            return Choice::Full;
        }
        let request = &waiter.request;
        let is_avoided = |index: usize| {
            request
                .avoid
                .iter()
                .any(|id| *id == self.endpoints[index].id)
        };
        if usable.iter().any(|&index| !is_avoided(index)) {
            free.retain(|&index| !is_avoided(index));
        }
        let is_large = request.bytes >= LARGE_BODY_BYTES;
        let is_zone_served = usable
            .iter()
            .any(|&index| self.endpoints[index].zone == request.zone);
        if is_large && is_zone_served && now.since(waiter.queued_at) < SAME_ZONE_WAIT {
            free.retain(|&index| self.endpoints[index].zone == request.zone);
        }
        if let Some(pass) = zone_pass {
            self.restrict_to_zones(pass, waiter, (&usable, &mut free), now);
        }
        let mean_us = self.mean_us(request.class);
        let cost =
            |&index: &usize| self.endpoints[index].cost(request, waiter.id.requester, mean_us, now);
        let best = free.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.map_or(Choice::Wait, Choice::Endpoint)
    }

    /// Returns the requests of the mean service time per second that placement expects an endpoint
    /// to serve. It follows a change of speed sooner than [`Dispatcher::capacity`].
    pub fn expected_rate(&self, id: &str, now: Instant) -> Option<f64> {
        let endpoint = &self.endpoints[self.find_endpoint(id)?];
        Some(self.parallelism(endpoint, now) * 1e6 / self.overall_mean_us())
    }

    /// Tells whether an endpoint may get another request: it has fewer than `max_permits`, and
    /// its rate limit allows one.
    pub(super) fn has_room(&self, endpoint: &State, max_permits: usize, now: Instant) -> bool {
        endpoint.permits.len() < max_permits && self.rate_wait_us(endpoint, 0, now) == 0.0
    }

    pub(super) fn assign(&mut self, index: usize, waiter: &Waiter, now: Instant) {
        let endpoint = &mut self.endpoints[index];
        self.rate_limits.try_take(&endpoint.id, now);
        self.cold.try_take(&endpoint.id, now);
        endpoint.last_assigned = now;
        let is_started = endpoint.permits.len() < endpoint.slots;
        endpoint.permits.push(Permit {
            id: waiter.id,
            class: waiter.request.class,
            is_keyed: waiter.request.key.is_some(),
            is_guest: waiter.request.zone != endpoint.zone,
            granted_at: now,
            started_at: is_started.then_some(now),
            expires_at: waiter.deadline,
        });
        endpoint.record_connection(waiter.id.requester, now);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    /// Index of the endpoint that gets the request.
    Endpoint(usize),
    /// Slots are free, but none that this request may take yet.
    Wait,
    /// No slot is free.
    Full,
}

impl Choice {
    pub(super) fn endpoint(self) -> Option<usize> {
        match self {
            Self::Endpoint(index) => Some(index),
            Self::Wait | Self::Full => None,
        }
    }
}
