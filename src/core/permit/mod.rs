//! Who may send a request to which endpoint, and when.
//!
//! Answers the crest of a swing at endpoints with two slots and many senders:
//! one VM hands out the slots of a service, so that requests wait here, in
//! order, and not at an endpoint that happens to be busy. A request asks for
//! a permit; the permit names the endpoint and ends with the answer.
//!
//! - Order: rank, then requests that can still meet their goal by that goal,
//!   then late ones by their deadline, callers that were refused before first.
//! - Admission: a request that cannot meet its goal waits only if what those
//!   in time leave of the capacity suffices for it, else it is refused at once
//!   with the time at which there will be room. Room is judged from the work
//!   ahead and the learned speed.
//! - Choice of the endpoint: the least expected time, where another zone
//!   costs more the more bytes have to cross, and an endpoint to which the
//!   asking VM has an open connection costs less.
//! - An endpoint that fails is left out for a while, longer each time; never
//!   more than half of a service at once.

mod flow;
pub mod recall;
mod server;

use crate::core::{
    permit::{
        flow::{
            fresh_span_us,
            Flow,
            LOAD_SPAN_US, //
        },
        recall::Recall,
        server::{
            Running,
            Server,
            BLOCK_RANGE,
            COLD_FACTOR, //
        },
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

/// Service time assumed before any was seen, in microseconds.
const UNKNOWN_SERVICE_US: f64 = 60_000.0;

/// Weight of one answer in the mean service time of a class.
const CLASS_WEIGHT: f64 = 1.0 / 64.0;

/// Weight of one answer in the slowness of an endpoint.
const SLOWNESS_WEIGHT: f64 = 1.0 / 8.0;

/// Bounds on the slowness of an endpoint, relative to the mean.
const SLOWNESS_RANGE: (f64, f64) = (0.3, 12.0);

/// Largest slowness that one answer may show, so that one straggler is no verdict.
const SLOWNESS_SAMPLE_MAX: f64 = 6.0;

/// An answer is overdue after so many usual times.
const OVERDUE_FACTOR: f64 = 3.0;

/// Body from which a request waits for an endpoint of its own zone, in bytes.
const LARGE_BODY: u32 = 16 * 1024;

/// How long a large request waits for an endpoint of its own zone.
const OWN_ZONE_WAIT: Duration = Duration::from_millis(60);

/// Times the expected service time that has to be left when a request is taken in.
///
/// Half of all requests take longer than expected.
const SERVICE_RESERVE: f64 = 1.4;

/// Part of the expected service time that has to be left when it is still waiting.
const SERVICE_LEAST: f64 = 0.7;

/// Part of the goal that is kept for the way to the caller.
const GOAL_MARGIN: Duration = Duration::from_millis(10);

/// Least share of capacity that late requests are taken to have.
const SPARE_LEAST: f64 = 0.02;

/// Part of its time that a late request may wait, so that a refusal leaves time to return.
const WAIT_PART: f64 = 1.0 / 3.0;

/// The same for a caller that was refused before, who seldom returns once more.
const WAIT_PART_RETURN: f64 = 2.0 / 3.0;

/// Part of its time after which a refused caller still returns (a bound of the callers).
const RETURN_PART: f64 = 1.0 / 3.0;

/// Shortest time after which a refused caller may return.
const RETRY_MIN: Duration = Duration::from_millis(60);

/// Time after which it may return when no end of the overload is in sight.
const RETRY_OVERLOADED: Duration = Duration::from_millis(1_000);

/// Requests beyond its slots that an endpoint with keys is sent.
const KEYED_PREFETCH: usize = 1;

/// Most requests that wait.
const WAITING_MAX: usize = 2_048;

/// How long after its grant a permit may be missing from its asker's list.
const LIST_LAG: Duration = Duration::from_millis(150);

/// How long an asker may be silent before its permits end.
const ASKER_SILENCE: Duration = Duration::from_millis(1_500);

key! {
    /// A request for a permit.
    pub struct Id {
        /// VM that asks.
        pub requester: SocketAddr,
        /// Its number there.
        pub number: u64,
    }
}

record! {
    /// What is asked for.
    pub struct Request {
        /// Kind of work; requests of a kind take about the same time.
        pub class: u32,
        /// Key, if the service is keyed.
        pub key: Option<u16>,
        /// Rank; 0 goes first.
        pub rank: u8,
        /// Time left in which the answer earns most, in microseconds.
        pub goal_us: u64,
        /// Time left at all, in microseconds.
        pub left_us: u64,
        /// Whether the request was sent to an endpoint before.
        pub is_repeat: bool,
        /// Whether a dispatcher said that its caller had been refused before.
        pub is_return: bool,
        /// What is asked for, hashed; the same when a refused caller returns.
        pub subject: u32,
        /// Time for which its caller still waits, whatever the route allows, in microseconds.
        pub patience_us: u64,
        /// Length of the body.
        pub bytes: u32,
        /// Availability zone of the asker.
        pub zone: Box<str>,
        /// Endpoints that failed it.
        pub avoid: Vec<Box<str>>,
    }
}

impl Request {
    /// Part of its time that the request may wait when it is late.
    fn wait_part(&self) -> f64 {
        if self.is_return {
            WAIT_PART_RETURN
        } else {
            WAIT_PART
        }
    }

    /// Returns the same after `passed_us` microseconds.
    pub fn with_elapsed(&self, passed_us: u64) -> Self {
        Self {
            goal_us: self.goal_us.saturating_sub(passed_us),
            left_us: self.left_us.saturating_sub(passed_us),
            patience_us: self.patience_us.saturating_sub(passed_us),
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
    /// The endpoint took the request and failed it.
    Failed,
    /// The endpoint took the request and said nothing more.
    Silent,
    /// The time of the request ended before the endpoint answered.
    Late,
    /// The endpoint refused the request without running it.
    Shed,
    /// The endpoint does not hold the key.
    NotHolder,
    /// The caller left, or the request was not sent.
    Dropped,
}

/// Why there is no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The request could not meet its goal.
    Full,
    /// It waited as long as it may.
    Waited,
    /// The service may get no more repeats.
    Budget,
    /// No endpoint of the service can be used.
    NoEndpoint,
    /// The key has no owner at present.
    NoOwner,
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When there will be room.
    pub retry_after: Duration,
    /// Whether the caller was refused before.
    pub is_return: bool,
}

/// Where a key is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Location<'a> {
    /// At an endpoint.
    Held(&'a str),
    /// On its way to an endpoint.
    Moving(&'a str),
    /// Nowhere for about so long.
    Unowned(Duration),
}

impl<'a> Location<'a> {
    /// Returns the endpoint that has the key, or is to get it.
    pub fn endpoint(self) -> Option<&'a str> {
        match self {
            Self::Held(id) | Self::Moving(id) => Some(id),
            Self::Unowned(_) => None,
        }
    }
}

/// Finds the place of a key.
pub type Locator<'a> = dyn Fn(u16) -> Location<'a> + 'a;

/// A request that may be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Request.
    pub request: Id,
    /// Endpoint.
    pub endpoint: Box<str>,
    /// How long the endpoint is expected to take.
    pub expected: Duration,
    /// Whether the caller was refused before.
    pub is_return: bool,
}

/// What changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// Requests that may be sent now.
    pub assignments: Vec<Assignment>,
    /// Requests that wait no longer.
    pub refusals: Vec<(Id, Refusal)>,
}

impl Decisions {
    /// Tells whether a request got its permit or its refusal.
    pub fn includes(&self, ticket: Id) -> bool {
        self.assignments.iter().any(|start| start.request == ticket)
            || self.refusals.iter().any(|&(other, _)| other == ticket)
    }
}

/// Place in the queue: rank, whether late, late ones that were not refused
/// before last, and the time to meet.
type Order = (u8, bool, bool, Instant);

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Id,
    ask: Request,
    since: Instant,
    goal: Instant,
    deadline: Instant,
    until: Instant,
    is_late: bool,
}

#[derive(Clone, Copy, Debug)]
struct Class {
    id: u32,
    mean_us: f64,
    samples: u32,
}

/// Hands out the slots of one service.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    servers: Vec<Server>,
    waiting: Vec<Waiting>,
    classes: Vec<Class>,
    askers: Vec<(SocketAddr, Instant)>,
    budget: Limiter,
    recall: Recall,
    is_first: bool,
    load: Flow,
    fresh: Flow,
    noise: u64,
}

impl Dispatcher {
    /// Starts without endpoints.
    pub fn new(bound: Limit, now: Instant) -> Self {
        Self {
            servers: Vec::new(),
            waiting: Vec::new(),
            classes: Vec::new(),
            askers: Vec::new(),
            budget: Limiter::new(bound, now),
            recall: Recall::default(),
            is_first: false,
            load: Flow::default(),
            fresh: Flow::default(),
            noise: 0x9e37_79b9_7f4a_7c15,
        }
    }

    /// Sets which endpoints there are.
    pub fn set_endpoints<'a>(
        &mut self,
        endpoints: impl Iterator<Item = (&'a Endpoint, Instant)>,
        now: Instant,
    ) {
        for server in &mut self.servers {
            server.is_listed = false;
        }
        for (endpoint, cold_until) in endpoints {
            let place = self
                .servers
                .binary_search_by(|server| server.id.cmp(&endpoint.id));
            let index = place.unwrap_or_else(|index| {
                self.servers.insert(index, Server::new(endpoint, now));
                index
            });
            let server = &mut self.servers[index];
            server.is_listed = true;
            server.is_leaving = endpoint.is_leaving;
            server.slots = usize::from(endpoint.slots);
            server.cold_until = cold_until;
        }
        self.servers
            .retain(|server| server.is_listed || !server.running.is_empty());
    }

    /// Says whether this is the desk that askers try first.
    pub fn set_primary(&mut self, is_first: bool) {
        self.is_first = is_first;
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> usize {
        self.servers.iter().map(|server| server.running.len()).sum()
    }

    /// Returns how many listed endpoints take requests, and how many are left out.
    pub fn endpoint_counts(&self, now: Instant) -> (usize, usize) {
        let mean = self.mean_of_mix();
        let is_out = |server: &&Server| server.blocked_until > now || server.is_stuck(mean, now);
        let listed = self.servers.iter().filter(|server| server.is_listed);
        let (all, out) = (listed.clone().count(), listed.filter(is_out).count());
        (all - out, out)
    }

    /// Returns an endpoint's capacity in requests of the usual mix a second.
    pub fn capacity(&self, id: &str, now: Instant) -> Option<f64> {
        let server = &self.servers[self.find(id)?];
        let mean = self.mean_of_mix();
        Some(server.slots as f64 * 1e6 / (mean * server.pace(now)))
    }

    fn mean_of_mix(&self) -> f64 {
        let known = self.classes.iter().filter(|class| class.samples > 0);
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), class| {
            let weight = f64::from(class.samples);
            (sum + class.mean_us * weight, count + weight)
        });
        if count > 0.0 {
            sum / count
        } else {
            UNKNOWN_SERVICE_US
        }
    }

    fn find(&self, id: &str) -> Option<usize> {
        let place = self.servers.binary_search_by(|server| (*server.id).cmp(id));
        place.ok()
    }

    fn mean_us(&self, class: u32) -> f64 {
        match self.classes.binary_search_by_key(&class, |class| class.id) {
            Ok(index) if self.classes[index].samples > 0 => self.classes[index].mean_us,
            _ => self.mean_of_mix(),
        }
    }

    /// Takes a request in, or refuses it at once.
    pub fn submit(
        &mut self,
        ticket: Id,
        mut ask: Request,
        locate: &Locator<'_>,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.hear(ticket.requester, now);
        if self.is_known(ticket) {
            return Ok(());
        }
        if let Some(goal) = self.recall.take(&ask, now) {
            ask.is_return = true;
            ask.goal_us = ask.goal_us.min(goal.since(now).as_micros() as u64);
        }
        let goal = now.after(Duration::from_micros(ask.goal_us));
        let (judged, estimate) = match self.admit(&ask, locate, now) {
            Ok(admitted) => admitted,
            Err(refusal) => {
                self.recall.note(&ask, goal, refusal.retry_after, now);
                return Err(Refusal {
                    is_return: ask.is_return,
                    ..refusal
                });
            }
        };
        let left = Duration::from_micros(ask.left_us);
        let goal = Instant(goal.0.saturating_sub(GOAL_MARGIN.as_micros() as u64)).max(now);
        let least = (self.mean_us(ask.class) * SERVICE_LEAST) as u64;
        let until = match judged {
            Fit::InTime => Instant(goal.0.saturating_sub(least)).max(now),
            Fit::Late => now.after(left.mul_f64(ask.wait_part())),
        };
        let waiting = Waiting {
            ticket,
            since: now,
            goal,
            deadline: now.after(left),
            until,
            is_late: judged == Fit::Late,
            ask,
        };
        if judged == Fit::InTime {
            self.count_fresh(waiting.ask.class, &estimate, now);
        }
        self.insert(waiting);
        Ok(())
    }

    /// Decides whether a request may wait here.
    fn admit(
        &mut self,
        ask: &Request,
        locate: &Locator<'_>,
        now: Instant,
    ) -> Result<(Fit, Estimate), Refusal> {
        if !ask.is_repeat {
            self.budget.count_first(now);
        }
        let judged = self.judge(ask, locate, now)?;
        if ask.is_repeat && !self.budget.take(self.is_first, ask.is_return, now) {
            return Err(self.refuse(Reason::Budget, RETRY_MIN));
        }
        Ok(judged)
    }

    fn insert(&mut self, waiting: Waiting) {
        let goal = waiting.order();
        let place = self.waiting.partition_point(|other| other.order() <= goal);
        self.waiting.insert(place, waiting);
    }

    fn is_known(&self, ticket: Id) -> bool {
        self.is_waiting(ticket) || self.assigned_endpoint(ticket).is_some()
    }

    /// Tells whether a request waits.
    pub fn is_waiting(&self, ticket: Id) -> bool {
        self.waiting.iter().any(|waiting| waiting.ticket == ticket)
    }

    /// Returns the endpoint at which a request runs.
    pub fn assigned_endpoint(&self, ticket: Id) -> Option<&str> {
        let runs = |server: &&Server| server.running.iter().any(|other| other.ticket == ticket);
        self.servers.iter().find(runs).map(|server| &*server.id)
    }

    /// Judges whether there is room for a request.
    fn judge(
        &mut self,
        ask: &Request,
        locate: &Locator<'_>,
        now: Instant,
    ) -> Result<(Fit, Estimate), Refusal> {
        let mean = self.mean_us(ask.class);
        let estimate = match ask.key {
            Some(key) => self.estimate_keyed(ask, locate(key), locate, mean, now)?,
            None => self.estimate_pooled(ask, mean, now)?,
        };
        let goal = ask.goal_us as f64 - GOAL_MARGIN.as_micros() as f64;
        if estimate.finish_us <= goal && self.waiting.len() < WAITING_MAX {
            return Ok((Fit::InTime, estimate));
        }
        let left = ask.left_us as f64;
        let work_us = estimate.finish_us - estimate.wait_us;
        let late_us = if estimate.wait_us == 0.0 {
            // A slot is free for it.
            0.0
        } else {
            let deadline = now.after(Duration::from_micros(ask.left_us));
            let order = (ask.rank, true, !ask.is_return, deadline);
            let room = (estimate.server, estimate.capacity);
            self.late_wait_us(order, locate, room, now)
        };
        let may_wait = late_us <= left * ask.wait_part() && late_us + work_us <= left;
        if may_wait && self.waiting.len() < WAITING_MAX {
            return Ok((Fit::Late, estimate));
        }
        let excess = Duration::from_micros((estimate.finish_us - goal).max(0.0) as u64);
        let after = if estimate.load < 1.0 {
            excess
        } else {
            excess.max(RETRY_OVERLOADED)
        };
        // A caller returns within a part of its time or not at all.
        let latest = Duration::from_micros(ask.left_us).mul_f64(RETURN_PART);
        let after = after.min(latest * 2 / 3);
        Err(self.refuse(Reason::Full, after))
    }

    /// Returns how long a late request waits: it goes behind those in time,
    /// so it has what they leave of the capacity.
    fn late_wait_us(
        &self,
        order: Order,
        locate: &Locator<'_>,
        (server, capacity): (Option<usize>, f64),
        now: Instant,
    ) -> f64 {
        let owner = server.map(|index| &*self.servers[index].id);
        let ahead = self.waiting.iter().filter(|other| {
            let theirs = other.ask.key.and_then(|key| locate(key).endpoint());
            theirs == owner && other.order() <= order
        });
        let ahead_us: f64 = ahead.map(|other| self.mean_us(other.ask.class)).sum();
        let fresh = server.map_or(self.fresh, |index| self.servers[index].fresh);
        let spare = (1.0 - fresh.value(now)).max(SPARE_LEAST);
        ahead_us / (capacity * spare).max(f64::MIN_POSITIVE)
    }

    fn pool_capacity(&self, now: Instant) -> f64 {
        let usable = self.usable(now).into_iter();
        let servers = usable.map(|index| &self.servers[index]);
        servers
            .map(|server| server.slots as f64 / server.pace(now))
            .sum()
    }

    /// Counts work that was taken in to be done in time.
    fn count_fresh(&mut self, class: u32, estimate: &Estimate, now: Instant) {
        let work = self.mean_us(class) / estimate.capacity.max(f64::MIN_POSITIVE);
        let fresh = match estimate.server {
            Some(index) => &mut self.servers[index].fresh,
            None => &mut self.fresh,
        };
        fresh.add(work, fresh_span_us(work), now);
    }

    /// Spreads the return of refused callers over half as long again.
    fn refuse(&mut self, reason: Reason, after: Duration) -> Refusal {
        self.noise ^= self.noise << 13;
        self.noise ^= self.noise >> 7;
        self.noise ^= self.noise << 17;
        let after = after.max(RETRY_MIN);
        let spread = (after / 2).as_micros() as u64;
        Refusal {
            reason,
            retry_after: after + Duration::from_micros(self.noise % spread.max(1)),
            is_return: false,
        }
    }

    fn estimate_keyed(
        &mut self,
        ask: &Request,
        place: Location<'_>,
        locate: &Locator<'_>,
        mean: f64,
        now: Instant,
    ) -> Result<Estimate, Refusal> {
        let (id, moving_us) = match place {
            Location::Held(id) => (id, 0.0),
            Location::Moving(id) => (id, mean),
            Location::Unowned(span) => {
                // Who cannot wait that long is told when to come back.
                let can_wait = span.as_micros() as f64 <= ask.left_us as f64 * WAIT_PART;
                if can_wait && span.as_micros() as u64 <= ask.goal_us {
                    return Ok(Estimate {
                        wait_us: 0.0,
                        finish_us: span.as_micros() as f64 + mean,
                        load: 0.0,
                        server: None,
                        capacity: f64::INFINITY,
                    });
                }
                return Err(self.refuse(Reason::NoOwner, span));
            }
        };
        let Some(index) = self.find(id) else {
            return Err(self.refuse(Reason::NoOwner, RETRY_OVERLOADED));
        };
        let order = (
            ask.rank,
            false,
            false,
            now.after(Duration::from_micros(ask.goal_us)),
        );
        let ahead = self.waiting.iter().filter(|other| {
            let owner = other.ask.key.and_then(|key| locate(key).endpoint());
            owner == Some(id) && other.order() <= order
        });
        let ahead_us: f64 = ahead.map(|other| self.mean_us(other.ask.class)).sum();
        let server = &self.servers[index];
        let pace = server.pace(now);
        let slots = server.slots.max(1) as f64;
        let running = server.running.len() as f64;
        let blocked_us = server.blocked_until.since(now).as_micros() as f64;
        let free = (slots - running).max(0.0);
        let wait_us = if free >= 1.0 && ahead_us == 0.0 {
            0.0
        } else {
            let rest = (running - slots).max(0.0) * mean + mean / 2.0;
            (ahead_us + rest) * pace / slots
        };
        let wait_us = wait_us + moving_us + blocked_us;
        let load = &mut self.servers[index].load;
        load.add(mean * pace / slots, LOAD_SPAN_US, now);
        let load = load.value(now);
        Ok(Estimate {
            wait_us,
            finish_us: wait_us + mean * pace * SERVICE_RESERVE,
            load,
            server: Some(index),
            capacity: slots / pace,
        })
    }

    fn estimate_pooled(
        &mut self,
        ask: &Request,
        mean: f64,
        now: Instant,
    ) -> Result<Estimate, Refusal> {
        let usable: Vec<usize> = self.usable(now);
        if usable.is_empty() {
            return Err(self.refuse(Reason::NoEndpoint, BLOCK_RANGE.0));
        }
        let mut capacity = 0.0;
        let mut best_pace = f64::MAX;
        for &index in &usable {
            let server = &self.servers[index];
            let pace = server.pace(now);
            capacity += server.slots as f64 / pace;
            if server.running.len() < server.slots {
                best_pace = best_pace.min(pace);
            }
        }
        let order = (
            ask.rank,
            false,
            false,
            now.after(Duration::from_micros(ask.goal_us)),
        );
        let ahead = self.waiting.iter().filter(|other| other.order() <= order);
        let ahead_us: f64 = ahead.map(|other| self.mean_us(other.ask.class)).sum();
        let work = mean / capacity.max(f64::MIN_POSITIVE);
        self.load.add(work, LOAD_SPAN_US, now);
        let load = self.load.value(now);
        if best_pace < f64::MAX && ahead_us == 0.0 {
            return Ok(Estimate {
                wait_us: 0.0,
                finish_us: mean * best_pace,
                load,
                server: None,
                capacity,
            });
        }
        let usual_pace = usable
            .iter()
            .map(|&index| self.servers[index].slots as f64)
            .sum::<f64>()
            / capacity.max(f64::MIN_POSITIVE);
        let wait_us = (ahead_us + mean) / capacity.max(f64::MIN_POSITIVE);
        Ok(Estimate {
            wait_us,
            finish_us: wait_us + mean * usual_pace * SERVICE_RESERVE,
            load,
            server: None,
            capacity,
        })
    }

    /// Returns the endpoints that take work: all that are not left out, or,
    /// if more than half would be, those that failed least.
    fn usable(&self, now: Instant) -> Vec<usize> {
        let mean = self.mean_of_mix();
        let is_out = |index: usize| {
            let server = &self.servers[index];
            server.blocked_until > now || server.is_stuck(mean, now)
        };
        let listed = (0..self.servers.len()).filter(|&index| {
            let server = &self.servers[index];
            server.is_listed && !server.is_leaving
        });
        let mut listed: Vec<usize> = listed.collect();
        let open = listed.iter().filter(|&&index| !is_out(index)).count();
        if open * 2 >= listed.len() {
            listed.retain(|&index| !is_out(index));
        } else {
            listed.sort_by_key(|&index| (is_out(index), self.servers[index].misses));
            listed.truncate(listed.len().div_ceil(2).max(open));
        }
        listed
    }

    /// Gives out free slots and ends what has waited too long.
    pub fn dispatch(&mut self, locate: &Locator<'_>, now: Instant) -> Decisions {
        let mut turn = Decisions::default();
        self.expire(&mut turn, locate, now);
        let mut is_full = vec![false; self.servers.len()];
        let mut is_pool_full = false;
        let mut index = 0;
        while index < self.waiting.len() {
            let chosen = match self.waiting[index].ask.key {
                Some(key) => self.choose_keyed(locate(key), &mut is_full, now),
                None if is_pool_full => None,
                None => {
                    let choice = self.choose_pooled(index, now);
                    is_pool_full = choice == Choice::Full;
                    choice.server()
                }
            };
            let Some(server) = chosen else {
                index += 1;
                continue;
            };
            let waiting = self.waiting.remove(index);
            self.start(server, &waiting, now);
            let expected = self.mean_us(waiting.ask.class) * self.servers[server].pace(now);
            turn.assignments.push(Assignment {
                request: waiting.ticket,
                endpoint: self.servers[server].id.clone(),
                expected: Duration::from_micros(expected as u64),
                is_return: waiting.ask.is_return,
            });
        }
        turn
    }

    fn expire(&mut self, turn: &mut Decisions, locate: &Locator<'_>, now: Instant) {
        let mut late = Vec::new();
        let mut index = 0;
        while index < self.waiting.len() {
            let waiting = &self.waiting[index];
            if waiting.until > now {
                index += 1;
                continue;
            }
            let waiting = self.waiting.remove(index);
            late.push(waiting);
        }
        for mut waiting in late {
            let left = waiting.deadline.since(waiting.since);
            let limit = waiting.since.after(left.mul_f64(waiting.ask.wait_part()));
            let left_us = limit.since(now).as_micros() as f64;
            let is_pooled = waiting.ask.key.is_none();
            let can_wait = || {
                let room = (None, self.pool_capacity(now));
                let ask = &waiting.ask;
                let order = (ask.rank, true, !ask.is_return, waiting.deadline);
                self.late_wait_us(order, locate, room, now) < left_us
            };
            if !waiting.is_late && is_pooled && can_wait() {
                waiting.is_late = true;
                waiting.until = limit;
                self.insert(waiting);
                continue;
            }
            let refusal = Refusal {
                is_return: waiting.ask.is_return,
                ..self.refuse(Reason::Waited, RETRY_MIN)
            };
            let passed = now.since(waiting.since);
            let ask = waiting.ask.with_elapsed(passed.as_micros() as u64);
            let goal = waiting.goal.after(GOAL_MARGIN);
            self.recall.note(&ask, goal, refusal.retry_after, now);
            turn.refusals.push((waiting.ticket, refusal));
        }
    }

    /// Returns the owner if it takes a request; an owner that does not is
    /// marked, so that nothing later in the queue goes before what waits for it.
    fn choose_keyed(
        &self,
        place: Location<'_>,
        is_full: &mut [bool],
        now: Instant,
    ) -> Option<usize> {
        let Location::Held(id) = place else {
            return None;
        };
        let index = self.find(id)?;
        if is_full[index] {
            return None;
        }
        let server = &self.servers[index];
        let limit = server.slots + KEYED_PREFETCH;
        let is_free = server.running.len() < limit && server.blocked_until <= now;
        is_full[index] = !is_free;
        is_free.then_some(index)
    }

    fn choose_pooled(&self, index: usize, now: Instant) -> Choice {
        let waiting = &self.waiting[index];
        let usable = self.usable(now);
        let free = usable.iter().copied().filter(|&index| {
            let server = &self.servers[index];
            server.running.len() < server.slots
        });
        let mut free: Vec<usize> = free.collect();
        if free.is_empty() {
            return Choice::Full;
        }
        let ask = &waiting.ask;
        let is_avoided = |index: usize| ask.avoid.iter().any(|id| *id == self.servers[index].id);
        if usable.iter().any(|&index| !is_avoided(index)) {
            free.retain(|&index| !is_avoided(index));
        }
        let is_large = ask.bytes >= LARGE_BODY;
        let has_own = usable
            .iter()
            .any(|&index| self.servers[index].zone == ask.zone);
        if is_large && has_own && now.since(waiting.since) < OWN_ZONE_WAIT {
            free.retain(|&index| self.servers[index].zone == ask.zone);
        }
        let mean = self.mean_us(ask.class);
        let cost =
            |&index: &usize| self.servers[index].cost(ask, waiting.ticket.requester, mean, now);
        let best = free.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.map_or(Choice::Wait, Choice::Server)
    }

    fn start(&mut self, index: usize, waiting: &Waiting, now: Instant) {
        let server = &mut self.servers[index];
        server.used_at = now;
        server.running.push(Running {
            ticket: waiting.ticket,
            class: waiting.ask.class,
            since: now,
            until: waiting.deadline,
        });
        server.warm_up(waiting.ticket.requester, now);
    }

    /// Ends a permit; `took` is how long the endpoint was at it.
    pub fn complete(&mut self, ticket: Id, outcome: Outcome, took: Duration, now: Instant) {
        self.hear(ticket.requester, now);
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        for index in 0..self.servers.len() {
            let running = &mut self.servers[index].running;
            let Some(place) = running.iter().position(|other| other.ticket == ticket) else {
                continue;
            };
            let ended = running.swap_remove(place);
            if outcome == Outcome::Answered {
                self.learn(index, ended.class, took, now);
            }
            let outcome = match outcome {
                Outcome::Late => self.judge_late(index, ended.class, took, now),
                other => other,
            };
            self.servers[index].judge(outcome, now);
            return;
        }
    }

    /// Tells whether an endpoint that did not answer in time was silent, or
    /// only got the request late.
    fn judge_late(&self, index: usize, class: u32, took: Duration, now: Instant) -> Outcome {
        let expected = self.mean_us(class) * self.servers[index].pace(now);
        if took.as_micros() as f64 > expected * OVERDUE_FACTOR {
            Outcome::Silent
        } else {
            Outcome::Dropped
        }
    }

    fn learn(&mut self, index: usize, class: u32, took: Duration, now: Instant) {
        let place = self.classes.binary_search_by_key(&class, |class| class.id);
        let place = place.unwrap_or_else(|place| {
            let class = Class {
                id: class,
                mean_us: 0.0,
                samples: 0,
            };
            self.classes.insert(place, class);
            place
        });
        let took_us = took.as_micros() as f64;
        let class = &mut self.classes[place];
        class.samples = class.samples.saturating_add(1);
        let weight = (1.0 / f64::from(class.samples)).max(CLASS_WEIGHT);
        let server = &mut self.servers[index];
        if now >= server.cold_until {
            class.mean_us += (took_us - class.mean_us) * weight;
        } else if class.samples == 1 {
            class.mean_us = took_us / COLD_FACTOR;
        }
        let cold = server.cold_factor(now);
        let sample = took_us / (class.mean_us * cold).max(1.0);
        let sample = sample.clamp(SLOWNESS_RANGE.0, SLOWNESS_SAMPLE_MAX);
        server.samples = server.samples.saturating_add(1);
        let weight = (1.0 / f64::from(server.samples + 1)).max(SLOWNESS_WEIGHT);
        let slowness = server.slowness + (sample - server.slowness) * weight;
        server.slowness = slowness.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
    }

    fn hear(&mut self, asker: SocketAddr, now: Instant) {
        match self
            .askers
            .binary_search_by_key(&asker, |&(asker, _)| asker)
        {
            Ok(index) => self.askers[index].1 = now,
            Err(index) => self.askers.insert(index, (asker, now)),
        }
    }

    /// Ends the permits that an asker no longer lists among its open ones.
    pub fn reconcile(&mut self, asker: SocketAddr, open: &[u64], now: Instant) {
        self.hear(asker, now);
        for server in &mut self.servers {
            server.running.retain(|running| {
                running.ticket.requester != asker
                    || now.since(running.since) < LIST_LAG
                    || open.contains(&running.ticket.number)
            });
        }
    }

    /// Ends the permits of silent askers and those whose time is up.
    pub fn sweep(&mut self, now: Instant) {
        let silent: Vec<SocketAddr> = self
            .askers
            .iter()
            .filter(|(_, heard)| now.since(*heard) > ASKER_SILENCE)
            .map(|&(asker, _)| asker)
            .collect();
        self.askers
            .retain(|(asker, _)| silent.binary_search(asker).is_err());
        for server in &mut self.servers {
            server.running.retain(|running| {
                running.until > now && silent.binary_search(&running.ticket.requester).is_err()
            });
        }
        self.waiting
            .retain(|waiting| silent.binary_search(&waiting.ticket.requester).is_err());
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fit {
    InTime,
    Late,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    Server(usize),
    Wait,
    Full,
}

impl Choice {
    fn server(self) -> Option<usize> {
        match self {
            Self::Server(index) => Some(index),
            Self::Wait | Self::Full => None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    wait_us: f64,
    finish_us: f64,
    load: f64,
    /// Owner of the key; none in a pool.
    server: Option<usize>,
    /// Requests of the mean that are done at a time there.
    capacity: f64,
}

impl Waiting {
    fn order(&self) -> Order {
        let by = if self.is_late {
            self.deadline
        } else {
            self.goal
        };
        let is_new = self.is_late && !self.ask.is_return;
        (self.ask.rank, self.is_late, is_new, by)
    }
}
