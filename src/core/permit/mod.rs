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

mod admission;
mod completion;
mod endpoint;
mod keyed;
mod limits;
mod load;
mod placement;
pub mod refusals;
pub mod reported_load;
pub mod zones;

use crate::core::{
    cold,
    permit::{endpoint::State, load::Average, refusals::History},
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

/// Part of the goal that is reserved for sending the answer to the caller.
const GOAL_MARGIN: Duration = Duration::from_millis(10);

/// Fraction of its remaining time that a late request may wait, so that its caller
/// still has time to retry after a refusal.
const MAX_WAIT_FRACTION: f64 = 1.0 / 3.0;

/// The same for a caller that was refused before, which seldom retries once more.
const RETURNING_MAX_WAIT_FRACTION: f64 = 2.0 / 3.0;

/// Shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(60);

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
    /// The endpoints of the service, or the owner of the key, are in an evacuated zone.
    Evacuated,
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
    /// Held by an endpoint that gets no more requests.
    Closed,
}

impl<'a> Location<'a> {
    /// Returns the endpoint that holds the key or is about to.
    pub fn endpoint(self) -> Option<&'a str> {
        match self {
            Self::Held(id) | Self::Moving(id) => Some(id),
            Self::Unowned(_) | Self::Closed => None,
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
    /// What is known of its cold time.
    pub cold: Option<cold::Report>,
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
    cold: cold::Endpoints,
    is_primary: bool,
    offered_load: Average,
    on_time_load: Average,
    zones: zones::Zones,
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
            cold: cold::Endpoints::new(rate_limit::dispatcher_share(false, 0, 0), 0.0),
            is_primary: false,
            offered_load: Average::default(),
            on_time_load: Average::default(),
            zones: zones::Zones::default(),
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

    /// Returns how many requests of mean service time an endpoint serves at a time: as many as
    /// its slots and its rate allow.
    fn parallelism(&self, endpoint: &State, now: Instant) -> f64 {
        let by_slots = endpoint.slots as f64 / endpoint.effective_slowness(now);
        let rate = self.max_rate(&endpoint.id, now);
        rate.map_or(by_slots, |rate| {
            by_slots.min(rate * self.overall_mean_us() / 1e6)
        })
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
