//! Queues requests and assigns them to free endpoint slots.
//!
//! Each queue serves a set of endpoints that can run the same requests: one
//! endpoint of a keyed service, or all endpoints of a service without keys. One
//! process dispatches for a queue, so it knows exactly which slots are free.
//!
//! Queued requests are ordered by the rank of their class, then by deadline. A
//! class is long if its measured service time is a multiple of that of the
//! shortest class. Long requests leave some slots free for short ones, but one
//! slot may always go to a long request that has waited for a while. A request
//! that cannot finish by its deadline is refused on arrival. One whose deadline
//! passes in the queue is removed before it runs.

use crate::core::time::Instant;
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// Multiple of the shortest service time above which a class is long.
const LONG_FACTOR: u32 = 4;

/// Wait after which a long request may take a slot reserved for short ones.
const MAX_LONG_WAIT: Duration = Duration::from_millis(500);

/// Reciprocal of the least weight of a new sample in the mean service time of a class.
const SERVICE_TIME_DIVISOR: f64 = 16.0;

/// Reciprocal of the weight of a sample in the mean number of running short requests.
const SHORT_RUNNING_DIVISOR: f64 = 64.0;

/// Number of samples from which a mean service time is used.
const MIN_SAMPLES: u32 = 5;

/// Maximum number of queued requests.
const MAX_QUEUE_LENGTH: usize = 4096;

/// How long an unreachable endpoint gets no requests.
const UNREACHABLE_EXCLUSION: Duration = Duration::from_millis(500);

key! {
    /// Identifies a request in a queue.
    pub struct Id(pub u64);

    /// Index of a class in the intent of its service.
    pub struct Index(pub u16);
}

/// Order in which queued requests run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discipline {
    /// First come, first served; any class may take any slot.
    Arrival,
    /// By rank and deadline, with slots reserved for short requests.
    Rank,
}

/// A request to be queued.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Class of the request.
    pub class: Index,
    /// Rank of the class; the lowest is served first.
    pub rank: u8,
    /// Time by which the answer must have begun.
    pub deadline: Instant,
}

/// Why a request is not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request cannot finish by its deadline, or the queue is full.
    Overloaded,
}

/// Assignment of a request to an endpoint with a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Request that may run now.
    pub request: Id,
    /// Address of the endpoint to send it to.
    pub endpoint: SocketAddr,
}

/// Result of a dispatch pass.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// Requests that got a slot.
    pub assignments: Vec<Assignment>,
    /// Requests whose deadline has passed.
    pub expired: Vec<Id>,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    id: Id,
    request: Request,
    queued_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Execution {
    id: Id,
    class: Index,
    started_at: Instant,
}

#[derive(Clone, Debug)]
struct Endpoint {
    address: SocketAddr,
    slots: usize,
    running: Vec<Execution>,
    excluded_until: Instant,
    is_leaving: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    mean_us: f64,
    samples: u32,
}

/// Requests that wait for slots of a set of endpoints.
#[derive(Clone, Debug)]
pub struct Queue {
    discipline: Discipline,
    endpoints: Vec<Endpoint>,
    waiters: Vec<Waiter>,
    estimates: Vec<Estimate>,
    mean_short_running: f64,
    last_id: u64,
}

impl Queue {
    /// Creates an empty queue without endpoints.
    pub fn new(discipline: Discipline) -> Self {
        Self {
            discipline,
            endpoints: Vec::new(),
            waiters: Vec::new(),
            estimates: Vec::new(),
            mean_short_running: 0.0,
            last_id: 0,
        }
    }

    /// Replaces the list of endpoints. Requests running at removed ones may finish.
    pub fn set_endpoints(&mut self, addresses: &[SocketAddr], slots: usize) {
        for endpoint in &mut self.endpoints {
            if !addresses.contains(&endpoint.address) {
                endpoint.slots = 0;
            }
        }
        self.endpoints
            .retain(|endpoint| endpoint.slots > 0 || !endpoint.running.is_empty());
        for &address in addresses {
            match self
                .endpoints
                .iter_mut()
                .find(|endpoint| endpoint.address == address)
            {
                Some(endpoint) => endpoint.slots = slots,
                None => self.endpoints.push(Endpoint {
                    address,
                    slots,
                    running: Vec::new(),
                    excluded_until: Instant::default(),
                    is_leaving: false,
                }),
            }
        }
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.running.len())
            .sum()
    }

    /// Queues a request, or refuses it if it would miss its deadline.
    pub fn enqueue(&mut self, request: Request, now: Instant) -> Result<Id, Refusal> {
        if self.waiters.len() >= MAX_QUEUE_LENGTH || self.would_miss_deadline(&request, now) {
            return Err(Refusal::Overloaded);
        }
        self.last_id += 1;
        let waiter = Waiter {
            id: Id(self.last_id),
            request,
            queued_at: now,
        };
        let position = self.insert_position(&waiter);
        self.waiters.insert(position, waiter);
        Ok(waiter.id)
    }

    fn insert_position(&self, waiter: &Waiter) -> usize {
        match self.discipline {
            Discipline::Arrival => self.waiters.len(),
            Discipline::Rank => {
                let priority = (waiter.request.rank, waiter.request.deadline);
                let is_before =
                    |other: &Waiter| (other.request.rank, other.request.deadline) <= priority;
                self.waiters.partition_point(is_before)
            }
        }
    }

    /// Tells whether a request would miss its deadline because of the work ahead of it.
    fn would_miss_deadline(&self, request: &Request, now: Instant) -> bool {
        if self.discipline == Discipline::Arrival {
            return false;
        }
        let slots: usize = self.endpoints.iter().map(|endpoint| endpoint.slots).sum();
        if slots == 0 {
            return false;
        }
        let ahead = self.waiters.iter().filter(|other| {
            (other.request.rank, other.request.deadline) <= (request.rank, request.deadline)
        });
        let queued_us: f64 = ahead.map(|other| self.mean_us(other.request.class)).sum();
        let running = self.endpoints.iter().flat_map(|endpoint| &endpoint.running);
        let running_us: f64 = running
            .map(|execution| self.mean_us(execution.class) / 2.0)
            .sum();
        let own_us = self.mean_us(request.class);
        let needed_us = (queued_us + running_us) / slots as f64 + own_us;
        now.after(Duration::from_micros(needed_us as u64)) > request.deadline
    }

    fn mean_us(&self, class: Index) -> f64 {
        let estimate = self
            .estimates
            .get(usize::from(class.0))
            .copied()
            .unwrap_or_default();
        if estimate.samples < MIN_SAMPLES {
            return 0.0;
        }
        estimate.mean_us
    }

    fn is_long(&self, class: Index) -> bool {
        let known = self
            .estimates
            .iter()
            .filter(|estimate| estimate.samples >= MIN_SAMPLES);
        let shortest = known
            .map(|estimate| estimate.mean_us)
            .fold(f64::MAX, f64::min);
        self.mean_us(class) > shortest * f64::from(LONG_FACTOR)
    }

    /// Removes requests whose deadline has passed and assigns others to free slots.
    pub fn dispatch(&mut self, now: Instant) -> Decisions {
        let mut decisions = Decisions::default();
        self.waiters.retain(|waiter| {
            let is_expired = waiter.request.deadline <= now;
            if is_expired {
                decisions.expired.push(waiter.id);
            }
            !is_expired
        });
        while let Some(endpoint) = self.endpoint_with_free_slot(now) {
            let Some(index) = self.next_index(now) else {
                break;
            };
            let waiter = self.waiters.remove(index);
            let endpoint = &mut self.endpoints[endpoint];
            endpoint.running.push(Execution {
                id: waiter.id,
                class: waiter.request.class,
                started_at: now,
            });
            decisions.assignments.push(Assignment {
                request: waiter.id,
                endpoint: endpoint.address,
            });
        }
        self.update_short_running();
        decisions
    }

    /// Returns the endpoint with the most free slots.
    fn endpoint_with_free_slot(&self, now: Instant) -> Option<usize> {
        let usable = self.endpoints.iter().enumerate().filter(|(_, endpoint)| {
            endpoint.running.len() < endpoint.slots
                && endpoint.excluded_until <= now
                && !endpoint.is_leaving
        });
        let most_free = usable.max_by_key(|(_, endpoint)| endpoint.slots - endpoint.running.len());
        most_free.map(|(index, _)| index)
    }

    /// Returns the queue index of the request that takes the next free slot.
    fn next_index(&self, now: Instant) -> Option<usize> {
        if self.discipline == Discipline::Arrival {
            return (!self.waiters.is_empty()).then_some(0);
        }
        let long_running = self.long_running();
        let may_run_long = self.long_slots() > long_running;
        let overdue = self.waiters.iter().position(|waiter| {
            let is_overdue = now.since(waiter.queued_at) >= MAX_LONG_WAIT;
            is_overdue && self.is_long(waiter.request.class)
        });
        if let Some(index) = overdue.filter(|_| long_running == 0) {
            return Some(index);
        }
        let mut waiters = self.waiters.iter();
        waiters.position(|waiter| may_run_long || !self.is_long(waiter.request.class))
    }

    fn long_running(&self) -> usize {
        let running = self.endpoints.iter().flat_map(|endpoint| &endpoint.running);
        running
            .filter(|execution| self.is_long(execution.class))
            .count()
    }

    /// Returns how many slots long requests may take.
    fn long_slots(&self) -> usize {
        let slots: usize = self.endpoints.iter().map(|endpoint| endpoint.slots).sum();
        let reserved = 1 + self.mean_short_running.ceil() as usize;
        slots.saturating_sub(reserved).max(1)
    }

    fn update_short_running(&mut self) {
        let short_running = self.running() - self.long_running();
        self.mean_short_running +=
            (short_running as f64 - self.mean_short_running) / SHORT_RUNNING_DIVISOR;
    }

    /// Removes a request from the queue, for example after its caller disconnected.
    pub fn remove(&mut self, id: Id) {
        self.waiters.retain(|waiter| waiter.id != id);
    }

    /// Frees the slot of a request; its service time is recorded if `ran` is set.
    pub fn complete(&mut self, id: Id, ran: bool, now: Instant) {
        for endpoint in &mut self.endpoints {
            let found = endpoint
                .running
                .iter()
                .position(|execution| execution.id == id);
            if let Some(index) = found {
                let execution = endpoint.running.swap_remove(index);
                if ran {
                    self.record_service_time(execution.class, now.since(execution.started_at));
                }
                return;
            }
        }
    }

    fn record_service_time(&mut self, class: Index, took: Duration) {
        let index = usize::from(class.0);
        if self.estimates.len() <= index {
            self.estimates.resize(index + 1, Estimate::default());
        }
        let estimate = &mut self.estimates[index];
        let sample_us = took.as_micros() as f64;
        estimate.samples = estimate.samples.saturating_add(1);
        let weight = (1.0 / f64::from(estimate.samples)).max(1.0 / SERVICE_TIME_DIVISOR);
        estimate.mean_us += (sample_us - estimate.mean_us) * weight;
    }

    /// Excludes an endpoint for a while because it could not be reached.
    pub fn mark_unreachable(&mut self, address: SocketAddr, now: Instant) {
        if let Some(endpoint) = self
            .endpoints
            .iter_mut()
            .find(|endpoint| endpoint.address == address)
        {
            endpoint.excluded_until = now.after(UNREACHABLE_EXCLUSION);
        }
    }

    /// Sets whether an endpoint accepts no new requests because it is leaving.
    pub fn set_leaving(&mut self, address: SocketAddr, is_leaving: bool) {
        if let Some(endpoint) = self
            .endpoints
            .iter_mut()
            .find(|endpoint| endpoint.address == address)
        {
            endpoint.is_leaving = is_leaving;
        }
    }
}
