//! Admission: decides whether a request is queued or refused.
//!
//! Estimates when a request would be done from the work ahead of it and from
//! measured service times.

use crate::core::{
    permit::{
        endpoint::EXCLUSION_RANGE,
        keyed::KEYED_ON_TIME_WINDOW_US,
        load::{
            on_time_window_us,
            LOAD_WINDOW_US, //
        },
        Dispatcher,
        Id,
        Locator,
        Priority,
        Reason,
        Refusal,
        Request,
        Waiter,
        GOAL_MARGIN,
        MIN_RETRY_AFTER, //
    },
    time::Instant,
};
use std::time::Duration;

/// Multiple of the expected service time that must be left to admit a request as on time.
///
/// It is above one because half of all requests take longer than expected.
const ADMISSION_SERVICE_FACTOR: f64 = 1.4;

/// Fraction of the expected service time that must be left for a queued request
/// to stay on time.
const QUEUED_SERVICE_FACTOR: f64 = 0.7;

/// Smallest share of the capacity that is assumed to be left for late requests.
const MIN_SPARE_CAPACITY: f64 = 0.02;

/// Callers retry only if they are told to within this fraction of their remaining
/// time. This is the behavior of the callers, not a choice of the dispatcher.
const MAX_RETRY_FRACTION: f64 = 1.0 / 3.0;

/// Time after which a refused caller is told to retry when it is unknown when
/// there will be room.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Time after which a caller is told to retry whose key is still owned in an evacuated zone.
pub(super) const EVACUATION_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Maximum number of queued requests.
const MAX_QUEUE_LENGTH: usize = 2_048;

impl Dispatcher {
    /// Queues a request, or refuses it at once.
    pub fn submit(
        &mut self,
        id: Id,
        mut request: Request,
        locate: &Locator<'_>,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.record_contact(id.requester, now);
        if self.is_known(id) {
            return Ok(());
        }
        if let Some(goal) = self.refusals.take(&request, now) {
            request.is_return = true;
            request.goal_us = request.goal_us.min(goal.since(now).as_micros() as u64);
        }
        let goal = now.after(Duration::from_micros(request.goal_us));
        let (timeliness, estimate) = match self.admit(&request, locate, now) {
            Ok(admitted) => admitted,
            Err(refusal) => {
                self.refusals
                    .record(&request, goal, refusal.retry_after, now);
                return Err(Refusal {
                    is_return: request.is_return,
                    ..refusal
                });
            }
        };
        let left = Duration::from_micros(request.left_us);
        let goal = Instant(goal.0.saturating_sub(GOAL_MARGIN.as_micros() as u64)).max(now);
        let min_service_us = (self.mean_us(request.class) * QUEUED_SERVICE_FACTOR) as u64;
        let wait_until = match timeliness {
            Timeliness::OnTime => Instant(goal.0.saturating_sub(min_service_us)).max(now),
            Timeliness::Late => now.after(left.mul_f64(request.max_wait_fraction())),
        };
        let mut waiter = Waiter {
            id,
            queued_at: now,
            goal,
            deadline: now.after(left),
            wait_until,
            is_late: timeliness == Timeliness::Late,
            request,
        };
        if waiter.is_late && waiter.request.key.is_some() {
            waiter.wait_until = self.keyed_wait_until(&waiter, locate, now);
        }
        if timeliness == Timeliness::OnTime {
            self.record_on_time_load(waiter.request.class, &estimate, now);
        }
        self.enqueue(waiter);
        Ok(())
    }

    /// Decides whether a request is queued: there must be room, and a repeat must be
    /// within the retry limit.
    pub(super) fn admit(
        &mut self,
        request: &Request,
        locate: &Locator<'_>,
        now: Instant,
    ) -> Result<(Timeliness, Estimate), Refusal> {
        if !request.is_repeat {
            self.retry_limiter.record_first_try(now);
        }
        let admitted = self.assess(request, locate, now)?;
        if request.is_repeat
            && !self
                .retry_limiter
                .try_acquire(self.is_primary, request.is_return, now)
        {
            return Err(self.refuse(Reason::Budget, MIN_RETRY_AFTER));
        }
        Ok(admitted)
    }

    /// Estimates when a request would be done and refuses it if there is no room.
    pub(super) fn assess(
        &mut self,
        request: &Request,
        locate: &Locator<'_>,
        now: Instant,
    ) -> Result<(Timeliness, Estimate), Refusal> {
        if let Some(key) = request.key {
            return self.assess_keyed(request, key, locate, now);
        }
        let mean_us = self.mean_us(request.class);
        let estimate = self.estimate_pooled(request, mean_us, now)?;
        let goal_us = request.goal_us as f64 - GOAL_MARGIN.as_micros() as f64;
        if estimate.finish_us <= goal_us && self.queue.len() < MAX_QUEUE_LENGTH {
            return Ok((Timeliness::OnTime, estimate));
        }
        let left_us = request.left_us as f64;
        let work_us = estimate.finish_us - estimate.wait_us;
        let late_wait_us = if estimate.wait_us == 0.0 {
            // A slot is free for it.
            0.0
        } else {
            let deadline = now.after(Duration::from_micros(request.left_us));
            let priority = (request.rank, true, !request.is_return, deadline);
            self.late_wait_us(priority, locate, estimate.capacity, now)
        };
        let may_wait = late_wait_us <= left_us * request.max_wait_fraction()
            && late_wait_us + work_us <= left_us;
        if may_wait && self.queue.len() < MAX_QUEUE_LENGTH {
            return Ok((Timeliness::Late, estimate));
        }
        Err(self.refuse_full(request, &estimate))
    }

    /// Refuses a request for which there is no room.
    pub(super) fn refuse_full(&mut self, request: &Request, estimate: &Estimate) -> Refusal {
        let goal_us = request.goal_us as f64 - GOAL_MARGIN.as_micros() as f64;
        let excess = Duration::from_micros((estimate.finish_us - goal_us).max(0.0) as u64);
        let retry_after = if estimate.load < 1.0 {
            excess
        } else {
            excess.max(OVERLOAD_RETRY_AFTER)
        };
        // A caller that is told to retry later than this does not retry at all.
        let max_retry_after = Duration::from_micros(request.left_us).mul_f64(MAX_RETRY_FRACTION);
        let retry_after = retry_after.min(max_retry_after * 2 / 3);
        self.refuse(Reason::Full, retry_after)
    }

    /// Returns how long a late request is expected to wait.
    ///
    /// Late requests are served after those on time, so only the capacity that
    /// these leave counts.
    pub(super) fn late_wait_us(
        &self,
        priority: Priority,
        locate: &Locator<'_>,
        capacity: f64,
        now: Instant,
    ) -> f64 {
        let ahead = self.queue.iter().filter(|other| {
            let owner = other.request.key.and_then(|key| locate(key).endpoint());
            owner.is_none() && other.priority() <= priority
        });
        let ahead_us: f64 = ahead.map(|other| self.mean_us(other.request.class)).sum();
        let spare_fraction = (1.0 - self.on_time_load.value(now)).max(MIN_SPARE_CAPACITY);
        ahead_us / (capacity * spare_fraction).max(f64::MIN_POSITIVE)
    }

    pub(super) fn pool_capacity(&self, now: Instant) -> f64 {
        let usable = self.usable(now).into_iter();
        let endpoints = usable.map(|index| &self.endpoints[index]);
        endpoints
            .map(|endpoint| self.parallelism(endpoint, now))
            .sum()
    }

    /// Adds a request that was admitted as on time to the on-time load.
    pub(super) fn record_on_time_load(&mut self, class: u32, estimate: &Estimate, now: Instant) {
        let work_us = self.mean_us(class) / estimate.capacity.max(f64::MIN_POSITIVE);
        let (on_time_load, window_us) = match estimate.endpoint {
            Some(index) => (
                &mut self.endpoints[index].on_time_load,
                KEYED_ON_TIME_WINDOW_US,
            ),
            None => (&mut self.on_time_load, on_time_window_us(work_us)),
        };
        on_time_load.add(work_us, window_us, now);
    }

    /// Builds a refusal. Adds up to 50 % of random delay to the retry time, so that
    /// refused callers do not all retry at once.
    pub(super) fn refuse(&mut self, reason: Reason, retry_after: Duration) -> Refusal {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        let retry_after = retry_after.max(MIN_RETRY_AFTER);
        let max_jitter_us = (retry_after / 2).as_micros() as u64;
        Refusal {
            reason,
            retry_after: retry_after + Duration::from_micros(self.rng_state % max_jitter_us.max(1)),
            is_return: false,
        }
    }

    pub(super) fn estimate_pooled(
        &mut self,
        request: &Request,
        mean_us: f64,
        now: Instant,
    ) -> Result<Estimate, Refusal> {
        let usable: Vec<usize> = self.usable(now);
        if usable.is_empty() {
            let refusal = match self.is_evacuated() {
                true => (Reason::Evacuated, OVERLOAD_RETRY_AFTER),
                false => (Reason::NoEndpoint, EXCLUSION_RANGE.0),
            };
            return Err(self.refuse(refusal.0, refusal.1));
        }
        let mut capacity = 0.0;
        let mut slot_capacity = 0.0;
        let mut best_slowness = f64::MAX;
        for &index in &usable {
            let endpoint = &self.endpoints[index];
            let slowness = endpoint.effective_slowness(now);
            capacity += self.parallelism(endpoint, now);
            slot_capacity += endpoint.slots as f64 / slowness;
            if self.has_room(endpoint, endpoint.slots, now) {
                best_slowness = best_slowness.min(slowness);
            }
        }
        let priority = (
            request.rank,
            false,
            false,
            now.after(Duration::from_micros(request.goal_us)),
        );
        let ahead = self
            .queue
            .iter()
            .filter(|other| other.priority() <= priority);
        let ahead_us: f64 = ahead.map(|other| self.mean_us(other.request.class)).sum();
        let work_us = mean_us / capacity.max(f64::MIN_POSITIVE);
        self.offered_load.add(work_us, LOAD_WINDOW_US, now);
        self.zones.record_demand(&request.zone, mean_us, now);
        let load = self.offered_load.value(now);
        if best_slowness < f64::MAX && ahead_us == 0.0 {
            return Ok(Estimate {
                wait_us: 0.0,
                finish_us: mean_us * best_slowness,
                load,
                endpoint: None,
                capacity,
            });
        }
        let mean_slowness = usable
            .iter()
            .map(|&index| self.endpoints[index].slots as f64)
            .sum::<f64>()
            / slot_capacity.max(f64::MIN_POSITIVE);
        let wait_us = (ahead_us + mean_us) / capacity.max(f64::MIN_POSITIVE);
        Ok(Estimate {
            wait_us,
            finish_us: wait_us + mean_us * mean_slowness * ADMISSION_SERVICE_FACTOR,
            load,
            endpoint: None,
            capacity,
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timeliness {
    OnTime,
    Late,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    pub(super) wait_us: f64,
    /// Time until the request is done, including the wait.
    pub(super) finish_us: f64,
    /// Offered load as a share of capacity.
    pub(super) load: f64,
    /// Owner of the key; `None` in a pool.
    pub(super) endpoint: Option<usize>,
    /// Requests of mean service time that are served in parallel.
    pub(super) capacity: f64,
}

impl Estimate {
    /// Returns the estimate for a key that is expected to have an owner in time.
    pub(super) fn unowned(finish_us: f64) -> Self {
        Self {
            wait_us: 0.0,
            finish_us,
            load: 0.0,
            endpoint: None,
            capacity: f64::INFINITY,
        }
    }
}
