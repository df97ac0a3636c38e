//! Assigns the requests of a service to the slots of its endpoints.
//!
//! An endpoint runs only a few requests at a time (often two), and many VMs send
//! to it. If each VM chose an endpoint on its own, requests would queue at busy
//! endpoints during a load peak while slots elsewhere stay free. So one VM keeps
//! the queue of a service. For each request, a VM obtains a permit from it. The
//! permit names the endpoint and is held until the endpoint has answered.
//!
//! - Order: by rank. Within a rank, requests that can still meet their response
//!   time goal come first, by goal. Requests that cannot are late; they follow by
//!   deadline, those of callers that were refused before ahead of the others.
//! - Admission: a late request is queued only if the capacity that on-time
//!   requests leave is enough for it. Otherwise it is refused at once, with the
//!   time after which to retry. The estimate is made from the work ahead of it
//!   and from measured service times.
//! - Choice of the endpoint: the lowest expected service time, plus a cost for
//!   another zone that grows with the size of the body, minus a bonus if the
//!   requesting VM has an open connection to the endpoint.
//! - Failures: an endpoint that is unreachable, does not answer or fails often is
//!   excluded for a time that doubles with each further failure, up to a limit. At
//!   least half of the endpoints of a service stay in use.

mod endpoint;
mod load;
pub mod refusals;

use crate::core::{
    permit::{
        endpoint::{
            Permit,
            State,
            COLD_START_FACTOR,
            EXCLUSION_RANGE, //
        },
        load::{
            on_time_window_us,
            Average,
            LOAD_WINDOW_US, //
        },
        refusals::History,
    },
    rate_limit::{
        self,
        Limits,
        Report, //
    },
    registry::Endpoint,
    retry_limit::{
        Limit,
        Limiter, //
    },
    time::Instant,
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// Service time that is assumed before any was measured.
const DEFAULT_SERVICE_TIME_US: f64 = 60_000.0;

/// Minimum weight of a new sample in the mean service time of a class.
const MIN_CLASS_MEAN_WEIGHT: f64 = 1.0 / 64.0;

/// Minimum weight of a new sample in the slowness of an endpoint.
const MIN_SLOWNESS_WEIGHT: f64 = 1.0 / 8.0;

/// Bounds on the slowness of an endpoint, as a multiple of the class mean.
const SLOWNESS_RANGE: (f64, f64) = (0.3, 12.0);

/// Largest slowness sample, so that one straggler does not mark an endpoint as slow.
const MAX_SLOWNESS_SAMPLE: f64 = 6.0;

/// Multiple of the expected service time after which a request that ended
/// unanswered shows that its endpoint is silent.
const OVERDUE_FACTOR: f64 = 3.0;

/// Body size from which a request waits for an endpoint in its own zone.
const LARGE_BODY_BYTES: u32 = 16 * 1024;

/// Longest time that a large request waits for an endpoint in its own zone.
const SAME_ZONE_WAIT: Duration = Duration::from_millis(60);

/// Multiple of the expected service time that must be left to admit a request as on time.
///
/// It is above one because half of all requests take longer than expected.
const ADMISSION_SERVICE_FACTOR: f64 = 1.4;

/// Fraction of the expected service time that must be left for a queued request
/// to stay on time.
const QUEUED_SERVICE_FACTOR: f64 = 0.7;

/// Part of the goal that is reserved for sending the answer to the caller.
const GOAL_MARGIN: Duration = Duration::from_millis(10);

/// Smallest share of the capacity that is assumed to be left for late requests.
const MIN_SPARE_CAPACITY: f64 = 0.02;

/// Fraction of its remaining time that a late request may wait, so that its caller
/// still has time to retry after a refusal.
const MAX_WAIT_FRACTION: f64 = 1.0 / 3.0;

/// The same for a caller that was refused before, which seldom retries once more.
const RETURNING_MAX_WAIT_FRACTION: f64 = 2.0 / 3.0;

/// Callers retry only if they are told to within this fraction of their remaining
/// time. This is the behavior of the callers, not a choice of the dispatcher.
const MAX_RETRY_FRACTION: f64 = 1.0 / 3.0;

/// Shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(60);

/// Time after which a refused caller is told to retry when it is unknown when
/// there will be room.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Requests beyond its slots that are sent to an endpoint that owns keys.
const KEYED_PREFETCH: usize = 1;

/// Maximum number of queued requests.
const MAX_QUEUE_LENGTH: usize = 2_048;

/// Age up to which a permit may be missing from its requester's list of open permits.
const OPEN_LIST_LAG: Duration = Duration::from_millis(150);

/// Silence of a requesting VM after which its permits end.
const REQUESTER_TIMEOUT: Duration = Duration::from_millis(1_500);

key! {
    /// Identifies a request for a permit.
    pub struct Id {
        /// Address of the requesting VM.
        pub requester: SocketAddr,
        /// Number of the request at that VM.
        pub number: u64,
    }
}

record! {
    /// A request for a permit.
    pub struct Request {
        /// Class of work; requests of a class take about the same time.
        pub class: u32,
        /// Key that is accessed, if the service is keyed.
        pub key: Option<u16>,
        /// Rank; 0 is served first.
        pub rank: u8,
        /// Time left to meet the response time goal, in microseconds.
        pub goal_us: u64,
        /// Time left until the deadline, in microseconds.
        pub left_us: u64,
        /// Whether the request was already sent to an endpoint.
        pub is_repeat: bool,
        /// Whether a dispatcher found that its caller was refused before.
        pub is_return: bool,
        /// Hash of what the caller requests; the same when a refused caller retries.
        pub subject: u32,
        /// Time until the caller gives up, regardless of the deadline of the route, in microseconds.
        pub patience_us: u64,
        /// Length of the body, in bytes.
        pub bytes: u32,
        /// Availability zone of the requesting VM.
        pub zone: Box<str>,
        /// Endpoints that already failed the request.
        pub avoid: Vec<Box<str>>,
    }
}

impl Request {
    /// Returns the fraction of its remaining time that the request may wait when it is late.
    fn max_wait_fraction(&self) -> f64 {
        if self.is_return {
            RETURNING_MAX_WAIT_FRACTION
        } else {
            MAX_WAIT_FRACTION
        }
    }

    /// Returns the request as it is `elapsed_us` microseconds later.
    pub fn with_elapsed(&self, elapsed_us: u64) -> Self {
        Self {
            goal_us: self.goal_us.saturating_sub(elapsed_us),
            left_us: self.left_us.saturating_sub(elapsed_us),
            patience_us: self.patience_us.saturating_sub(elapsed_us),
            ..self.clone()
        }
    }
}

/// How a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The endpoint answered.
    Answered,
    /// The endpoint could not be reached; nothing was sent.
    Unreachable,
    /// The endpoint accepted the request and failed it.
    Failed,
    /// The endpoint accepted the request and did not answer.
    Silent,
    /// The deadline passed before the endpoint answered.
    Late,
    /// The endpoint rejected the request without running it.
    Shed,
    /// The endpoint does not hold the key.
    NotHolder,
    /// The caller disconnected, or the request was not sent.
    Dropped,
}

/// Why a permit is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The capacity does not suffice to serve the request in time.
    Full,
    /// The request was queued for as long as it may wait.
    Waited,
    /// The retry limit of the service is reached.
    Budget,
    /// No endpoint of the service is available.
    NoEndpoint,
    /// The key currently has no owner.
    NoOwner,
}

/// Refusal of a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the permit is refused.
    pub reason: Reason,
    /// Time after which the caller is told to retry.
    pub retry_after: Duration,
    /// Whether the caller was refused before.
    pub is_return: bool,
}

/// Where a key is owned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Location<'a> {
    /// Held by an endpoint.
    Held(&'a str),
    /// Being moved to an endpoint.
    Moving(&'a str),
    /// Without an owner, for about this long.
    Unowned(Duration),
}

impl<'a> Location<'a> {
    /// Returns the endpoint that holds the key or is about to.
    pub fn endpoint(self) -> Option<&'a str> {
        match self {
            Self::Held(id) | Self::Moving(id) => Some(id),
            Self::Unowned(_) => None,
        }
    }
}

/// Looks up the location of a key.
pub type Locator<'a> = dyn Fn(u16) -> Location<'a> + 'a;

/// A permit that was given: the request may be sent to the endpoint now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Request that got the permit.
    pub request: Id,
    /// Endpoint to send it to.
    pub endpoint: Box<str>,
    /// Expected service time at the endpoint.
    pub expected: Duration,
    /// Whether the caller was refused before.
    pub is_return: bool,
    /// What the endpoint said last about its rate limit.
    pub rate_limit: Option<Report>,
}

/// Result of a dispatch pass.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// Requests that got a permit.
    pub assignments: Vec<Assignment>,
    /// Requests that were removed from the queue without a permit.
    pub refusals: Vec<(Id, Refusal)>,
}

impl Decisions {
    /// Tells whether a request was given or refused a permit.
    pub fn includes(&self, id: Id) -> bool {
        self.assignments
            .iter()
            .any(|assignment| assignment.request == id)
            || self.refusals.iter().any(|&(other, _)| other == id)
    }
}

/// Sort key of the queue: rank, whether the request is late, whether it is late
/// and its caller was not refused before, and the time to meet.
type Priority = (u8, bool, bool, Instant);

#[derive(Clone, Debug)]
struct Waiter {
    id: Id,
    request: Request,
    queued_at: Instant,
    goal: Instant,
    deadline: Instant,
    wait_until: Instant,
    is_late: bool,
}

#[derive(Clone, Copy, Debug)]
struct Class {
    id: u32,
    mean_us: f64,
    samples: u32,
}

/// Assigns the requests of one service to slots of its endpoints.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    endpoints: Vec<State>,
    queue: Vec<Waiter>,
    classes: Vec<Class>,
    requesters: Vec<(SocketAddr, Instant)>,
    retry_limiter: Limiter,
    refusals: History,
    rate_limits: Limits,
    is_primary: bool,
    offered_load: Average,
    on_time_load: Average,
    rng_state: u64,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints.
    pub fn new(limit: Limit, now: Instant) -> Self {
        Self {
            endpoints: Vec::new(),
            queue: Vec::new(),
            classes: Vec::new(),
            requesters: Vec::new(),
            retry_limiter: Limiter::new(limit, now),
            refusals: History::default(),
            rate_limits: Limits::new(rate_limit::dispatcher_share(false, 0, 0), 0.0),
            is_primary: false,
            offered_load: Average::default(),
            on_time_load: Average::default(),
            rng_state: 0x9e37_79b9_7f4a_7c15,
        }
    }

    /// Replaces the list of endpoints; each comes with the end of its cold start.
    pub fn set_endpoints<'a>(
        &mut self,
        endpoints: impl Iterator<Item = (&'a Endpoint, Instant)>,
        now: Instant,
    ) {
        for endpoint in &mut self.endpoints {
            endpoint.is_listed = false;
        }
        for (listed, cold_until) in endpoints {
            let position = self
                .endpoints
                .binary_search_by(|endpoint| endpoint.id.cmp(&listed.id));
            let index = position.unwrap_or_else(|index| {
                self.endpoints.insert(index, State::new(listed, now));
                index
            });
            let endpoint = &mut self.endpoints[index];
            endpoint.is_listed = true;
            endpoint.is_leaving = listed.is_leaving;
            endpoint.slots = usize::from(listed.slots);
            endpoint.cold_until = cold_until;
        }
        self.endpoints
            .retain(|endpoint| endpoint.is_listed || !endpoint.permits.is_empty());
    }

    /// Sets whether this is the dispatcher that requesting VMs try first, and how many of the
    /// `members` it reaches.
    pub fn set_role(&mut self, is_primary: bool, reached: usize, members: usize, now: Instant) {
        self.is_primary = is_primary;
        let share = rate_limit::dispatcher_share(is_primary, reached, members);
        self.rate_limits.set_share(share, now);
    }

    /// Stores what an endpoint said about its rate limit.
    pub fn merge_rate_limit(&mut self, endpoint: &str, report: Report, now: Instant) {
        self.rate_limits.merge(endpoint, report, now);
    }

    /// Returns what an endpoint said last about its rate limit, if it ever named one.
    pub fn rate_limit(&self, endpoint: &str, now: Instant) -> Option<Report> {
        self.rate_limits.report(endpoint, now)
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests that hold a permit.
    pub fn running(&self) -> usize {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.permits.len())
            .sum()
    }

    /// Returns how many listed endpoints are in use, and how many are excluded.
    pub fn endpoint_counts(&self, now: Instant) -> (usize, usize) {
        let mean_us = self.overall_mean_us();
        let is_excluded =
            |endpoint: &&State| endpoint.excluded_until > now || endpoint.is_stuck(mean_us, now);
        let listed = self.endpoints.iter().filter(|endpoint| endpoint.is_listed);
        let (total, excluded) = (listed.clone().count(), listed.filter(is_excluded).count());
        (total - excluded, excluded)
    }

    /// Returns the capacity of an endpoint, in requests of the mean service time per second.
    pub fn capacity(&self, id: &str, now: Instant) -> Option<f64> {
        let endpoint = &self.endpoints[self.find_endpoint(id)?];
        let mean_us = self.overall_mean_us();
        Some(self.parallelism(endpoint, now) * 1e6 / mean_us)
    }

    /// Returns how many requests of mean service time an endpoint serves at a time: as many as
    /// its slots and its rate limit allow.
    fn parallelism(&self, endpoint: &State, now: Instant) -> f64 {
        let by_slots = endpoint.slots as f64 / endpoint.effective_slowness(now);
        let rate = self.rate_limits.rate(&endpoint.id);
        rate.map_or(by_slots, |rate| {
            by_slots.min(rate * self.overall_mean_us() / 1e6)
        })
    }

    /// Returns how long a request waits because of the rate limit of an endpoint, with `ahead`
    /// others before it.
    fn rate_wait_us(&self, endpoint: &State, ahead: usize, now: Instant) -> f64 {
        let wait = self.rate_limits.wait(&endpoint.id, ahead, now);
        wait.as_micros() as f64
    }

    fn overall_mean_us(&self) -> f64 {
        let known = self.classes.iter().filter(|class| class.samples > 0);
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), class| {
            let weight = f64::from(class.samples);
            (sum + class.mean_us * weight, count + weight)
        });
        if count > 0.0 {
            sum / count
        } else {
            DEFAULT_SERVICE_TIME_US
        }
    }

    fn find_endpoint(&self, id: &str) -> Option<usize> {
        let position = self
            .endpoints
            .binary_search_by(|endpoint| (*endpoint.id).cmp(id));
        position.ok()
    }

    fn mean_us(&self, class: u32) -> f64 {
        match self.classes.binary_search_by_key(&class, |class| class.id) {
            Ok(index) if self.classes[index].samples > 0 => self.classes[index].mean_us,
            _ => self.overall_mean_us(),
        }
    }

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
        let waiter = Waiter {
            id,
            queued_at: now,
            goal,
            deadline: now.after(left),
            wait_until,
            is_late: timeliness == Timeliness::Late,
            request,
        };
        if timeliness == Timeliness::OnTime {
            self.record_on_time_load(waiter.request.class, &estimate, now);
        }
        self.enqueue(waiter);
        Ok(())
    }

    /// Decides whether a request is queued: there must be room, and a repeat must be
    /// within the retry limit.
    fn admit(
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

    fn enqueue(&mut self, waiter: Waiter) {
        let priority = waiter.priority();
        let index = self
            .queue
            .partition_point(|other| other.priority() <= priority);
        self.queue.insert(index, waiter);
    }

    fn is_known(&self, id: Id) -> bool {
        self.is_waiting(id) || self.assigned_endpoint(id).is_some()
    }

    /// Tells whether a request is queued.
    pub fn is_waiting(&self, id: Id) -> bool {
        self.queue.iter().any(|waiter| waiter.id == id)
    }

    /// Returns the endpoint for which a request holds a permit.
    pub fn assigned_endpoint(&self, id: Id) -> Option<&str> {
        let holds_permit = |endpoint: &&State| endpoint.permits.iter().any(|other| other.id == id);
        self.endpoints
            .iter()
            .find(holds_permit)
            .map(|endpoint| &*endpoint.id)
    }

    /// Estimates when a request would be done and refuses it if there is no room.
    fn assess(
        &mut self,
        request: &Request,
        locate: &Locator<'_>,
        now: Instant,
    ) -> Result<(Timeliness, Estimate), Refusal> {
        let mean_us = self.mean_us(request.class);
        let estimate = match request.key {
            Some(key) => self.estimate_keyed(request, locate(key), locate, mean_us, now)?,
            None => self.estimate_pooled(request, mean_us, now)?,
        };
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
            let target = (estimate.endpoint, estimate.capacity);
            let rate_wait_us = estimate.endpoint.map_or(0.0, |index| {
                self.rate_wait_us(&self.endpoints[index], 0, now)
            });
            self.late_wait_us(priority, locate, target, now)
                .max(rate_wait_us)
        };
        let may_wait = late_wait_us <= left_us * request.max_wait_fraction()
            && late_wait_us + work_us <= left_us;
        if may_wait && self.queue.len() < MAX_QUEUE_LENGTH {
            return Ok((Timeliness::Late, estimate));
        }
        let excess = Duration::from_micros((estimate.finish_us - goal_us).max(0.0) as u64);
        let retry_after = if estimate.load < 1.0 {
            excess
        } else {
            excess.max(OVERLOAD_RETRY_AFTER)
        };
        // A caller that is told to retry later than this does not retry at all.
        let max_retry_after = Duration::from_micros(request.left_us).mul_f64(MAX_RETRY_FRACTION);
        let retry_after = retry_after.min(max_retry_after * 2 / 3);
        Err(self.refuse(Reason::Full, retry_after))
    }

    /// Returns how long a late request is expected to wait.
    ///
    /// Late requests are served after those on time, so only the capacity that
    /// these leave counts.
    fn late_wait_us(
        &self,
        priority: Priority,
        locate: &Locator<'_>,
        (endpoint, capacity): (Option<usize>, f64),
        now: Instant,
    ) -> f64 {
        let owner = endpoint.map(|index| &*self.endpoints[index].id);
        let ahead = self.queue.iter().filter(|other| {
            let other_owner = other.request.key.and_then(|key| locate(key).endpoint());
            other_owner == owner && other.priority() <= priority
        });
        let ahead_us: f64 = ahead.map(|other| self.mean_us(other.request.class)).sum();
        let on_time_load = endpoint.map_or(self.on_time_load, |index| {
            self.endpoints[index].on_time_load
        });
        let spare_fraction = (1.0 - on_time_load.value(now)).max(MIN_SPARE_CAPACITY);
        ahead_us / (capacity * spare_fraction).max(f64::MIN_POSITIVE)
    }

    fn pool_capacity(&self, now: Instant) -> f64 {
        let usable = self.usable(now).into_iter();
        let endpoints = usable.map(|index| &self.endpoints[index]);
        endpoints
            .map(|endpoint| self.parallelism(endpoint, now))
            .sum()
    }

    /// Adds a request that was admitted as on time to the on-time load.
    fn record_on_time_load(&mut self, class: u32, estimate: &Estimate, now: Instant) {
        let work_us = self.mean_us(class) / estimate.capacity.max(f64::MIN_POSITIVE);
        let on_time_load = match estimate.endpoint {
            Some(index) => &mut self.endpoints[index].on_time_load,
            None => &mut self.on_time_load,
        };
        on_time_load.add(work_us, on_time_window_us(work_us), now);
    }

    /// Builds a refusal. Adds up to 50 % of random delay to the retry time, so that
    /// refused callers do not all retry at once.
    fn refuse(&mut self, reason: Reason, retry_after: Duration) -> Refusal {
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

    fn estimate_keyed(
        &mut self,
        request: &Request,
        location: Location<'_>,
        locate: &Locator<'_>,
        mean_us: f64,
        now: Instant,
    ) -> Result<Estimate, Refusal> {
        let (id, moving_us) = match location {
            Location::Held(id) => (id, 0.0),
            Location::Moving(id) => (id, mean_us),
            Location::Unowned(span) => {
                // A request that cannot wait that long is refused with this retry time.
                let can_wait =
                    span.as_micros() as f64 <= request.left_us as f64 * MAX_WAIT_FRACTION;
                if can_wait && span.as_micros() as u64 <= request.goal_us {
                    return Ok(Estimate {
                        wait_us: 0.0,
                        finish_us: span.as_micros() as f64 + mean_us,
                        load: 0.0,
                        endpoint: None,
                        capacity: f64::INFINITY,
                    });
                }
                return Err(self.refuse(Reason::NoOwner, span));
            }
        };
        let Some(index) = self.find_endpoint(id) else {
            return Err(self.refuse(Reason::NoOwner, OVERLOAD_RETRY_AFTER));
        };
        let priority = (
            request.rank,
            false,
            false,
            now.after(Duration::from_micros(request.goal_us)),
        );
        let ahead = self.queue.iter().filter(|other| {
            let owner = other.request.key.and_then(|key| locate(key).endpoint());
            owner == Some(id) && other.priority() <= priority
        });
        let (ahead_count, ahead_us) = ahead.fold((0, 0.0), |(count, sum), other| {
            (count + 1, sum + self.mean_us(other.request.class))
        });
        let endpoint = &self.endpoints[index];
        let slowness = endpoint.effective_slowness(now);
        let capacity = self.parallelism(endpoint, now);
        let slots = endpoint.slots.max(1) as f64;
        let running = endpoint.permits.len() as f64;
        let excluded_us = endpoint.excluded_until.since(now).as_micros() as f64;
        let free_slots = (slots - running).max(0.0);
        let wait_us = if free_slots >= 1.0 && ahead_us == 0.0 {
            0.0
        } else {
            let running_us = (running - slots).max(0.0) * mean_us + mean_us / 2.0;
            (ahead_us + running_us) * slowness / slots
        };
        let wait_us = wait_us.max(self.rate_wait_us(endpoint, ahead_count, now));
        let wait_us = wait_us + moving_us + excluded_us;
        let load = &mut self.endpoints[index].offered_load;
        let work_us = mean_us / capacity.max(f64::MIN_POSITIVE);
        load.add(work_us, LOAD_WINDOW_US, now);
        let load = load.value(now);
        Ok(Estimate {
            wait_us,
            finish_us: wait_us + mean_us * slowness * ADMISSION_SERVICE_FACTOR,
            load,
            endpoint: Some(index),
            capacity,
        })
    }

    fn estimate_pooled(
        &mut self,
        request: &Request,
        mean_us: f64,
        now: Instant,
    ) -> Result<Estimate, Refusal> {
        let usable: Vec<usize> = self.usable(now);
        if usable.is_empty() {
            return Err(self.refuse(Reason::NoEndpoint, EXCLUSION_RANGE.0));
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

    /// Returns the endpoints that may get requests: all that are not excluded or, if
    /// more than half would be, the half with the fewest consecutive failures.
    fn usable(&self, now: Instant) -> Vec<usize> {
        let mean_us = self.overall_mean_us();
        let is_excluded = |index: usize| {
            let endpoint = &self.endpoints[index];
            endpoint.excluded_until > now || endpoint.is_stuck(mean_us, now)
        };
        let listed = (0..self.endpoints.len()).filter(|&index| {
            let endpoint = &self.endpoints[index];
            endpoint.is_listed && !endpoint.is_leaving
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
        let mut index = 0;
        while index < self.queue.len() {
            let chosen = match self.queue[index].request.key {
                Some(key) => self.choose_keyed(locate(key), &mut is_full, now),
                None if is_pool_full => None,
                None => {
                    let choice = self.choose_pooled(index, now);
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
            let expected_us = self.mean_us(waiter.request.class)
                * self.endpoints[endpoint].effective_slowness(now);
            decisions.assignments.push(Assignment {
                request: waiter.id,
                endpoint: self.endpoints[endpoint].id.clone(),
                expected: Duration::from_micros(expected_us as u64),
                is_return: waiter.request.is_return,
                rate_limit: self.rate_limit(&self.endpoints[endpoint].id, now),
            });
        }
        decisions
    }

    /// Removes requests that waited too long. Those that were on time are queued again
    /// as late ones if the spare capacity suffices; the others are refused.
    fn expire(&mut self, decisions: &mut Decisions, locate: &Locator<'_>, now: Instant) {
        let mut expired = Vec::new();
        let mut index = 0;
        while index < self.queue.len() {
            let waiter = &self.queue[index];
            if waiter.wait_until > now {
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
            let is_pooled = waiter.request.key.is_none();
            let can_wait = || {
                let pool = (None, self.pool_capacity(now));
                let request = &waiter.request;
                let priority = (request.rank, true, !request.is_return, waiter.deadline);
                self.late_wait_us(priority, locate, pool, now) < left_us
            };
            if !waiter.is_late && is_pooled && can_wait() {
                waiter.is_late = true;
                waiter.wait_until = late_wait_until;
                self.enqueue(waiter);
                continue;
            }
            let refusal = Refusal {
                is_return: waiter.request.is_return,
                ..self.refuse(Reason::Waited, MIN_RETRY_AFTER)
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
    fn choose_keyed(
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

    fn choose_pooled(&self, index: usize, now: Instant) -> Choice {
        let waiter = &self.queue[index];
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
        let mean_us = self.mean_us(request.class);
        let cost =
            |&index: &usize| self.endpoints[index].cost(request, waiter.id.requester, mean_us, now);
        let best = free.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.map_or(Choice::Wait, Choice::Endpoint)
    }

    /// Tells whether an endpoint may get another request: it has fewer than `max_permits`, and
    /// its rate limit allows one.
    fn has_room(&self, endpoint: &State, max_permits: usize, now: Instant) -> bool {
        endpoint.permits.len() < max_permits
            && self.rate_limits.wait(&endpoint.id, 0, now).is_zero()
    }

    fn assign(&mut self, index: usize, waiter: &Waiter, now: Instant) {
        let endpoint = &mut self.endpoints[index];
        self.rate_limits.try_take(&endpoint.id, now);
        endpoint.last_assigned = now;
        endpoint.permits.push(Permit {
            id: waiter.id,
            class: waiter.request.class,
            is_keyed: waiter.request.key.is_some(),
            granted_at: now,
            expires_at: waiter.deadline,
        });
        endpoint.record_connection(waiter.id.requester, now);
    }

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
            if outcome == Outcome::Answered {
                self.record_service_time(index, permit.class, took, now);
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
    fn classify_late(&self, index: usize, class: u32, took: Duration, now: Instant) -> Outcome {
        let expected_us = self.mean_us(class) * self.endpoints[index].effective_slowness(now);
        if took.as_micros() as f64 > expected_us * OVERDUE_FACTOR {
            Outcome::Silent
        } else {
            Outcome::Dropped
        }
    }

    fn record_service_time(&mut self, index: usize, class: u32, took: Duration, now: Instant) {
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
        let took_us = took.as_micros() as f64;
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
    }

    fn record_contact(&mut self, requester: SocketAddr, now: Instant) {
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timeliness {
    OnTime,
    Late,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    /// Index of the endpoint that gets the request.
    Endpoint(usize),
    /// Slots are free, but none that this request may take yet.
    Wait,
    /// No slot is free.
    Full,
}

impl Choice {
    fn endpoint(self) -> Option<usize> {
        match self {
            Self::Endpoint(index) => Some(index),
            Self::Wait | Self::Full => None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    wait_us: f64,
    /// Time until the request is done, including the wait.
    finish_us: f64,
    /// Offered load as a share of capacity.
    load: f64,
    /// Owner of the key; `None` in a pool.
    endpoint: Option<usize>,
    /// Requests of mean service time that are served in parallel.
    capacity: f64,
}

impl Waiter {
    fn priority(&self) -> Priority {
        let due = if self.is_late {
            self.deadline
        } else {
            self.goal
        };
        let is_first_visit = self.is_late && !self.request.is_return;
        (self.request.rank, self.is_late, is_first_visit, due)
    }
}
