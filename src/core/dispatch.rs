//! Which waiting request runs next, and where.
//!
//! A queue belongs to the endpoints that may all run the same work: one
//! endpoint of a service with keys, or all endpoints of a service without.
//! One process dispatches for a queue, so it knows exactly which slots are
//! free.
//!
//! Waiting requests are ordered by the rank of their class, then by deadline.
//! Classes whose learned service time is many times that of the shortest
//! class are long; long work leaves some slots free for short work, but one
//! slot may always go to long work that has waited for a while. A request
//! that could not be done by its deadline is refused when it arrives, and one
//! whose deadline passes while it waits is dropped before it runs.

use crate::core::time::Instant;
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// A class is long if its service time is this many times the shortest one.
const LONG_FACTOR: u32 = 4;

/// Time after which long work may take a slot that is kept for short work.
const LONG_PATIENCE: Duration = Duration::from_millis(500);

/// Weight of one sample in the learned times, as one part in this many.
const LEARN_DIVISOR: f64 = 16.0;

/// Weight of one sample in the learned concurrency, as one part in this many.
const BUSY_DIVISOR: f64 = 64.0;

/// Samples before a learned time is relied on.
const SAMPLES_MIN: u32 = 5;

/// Most requests that wait.
const WAITING_MAX: usize = 4096;

/// How long an endpoint that could not be reached is left alone.
const DOWN_FOR: Duration = Duration::from_millis(500);

key! {
    /// A request in the queue.
    pub struct Id(pub u64);

    /// A class of the service, by its place in the intent.
    pub struct Index(pub u16);
}

/// How waiting requests are ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discipline {
    /// By arrival, and any class may take any slot.
    Arrival,
    /// By rank and deadline, with slots kept for short work.
    Rank,
}

/// A request that arrives.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Class.
    pub class: Index,
    /// Rank of the class; the lowest goes first.
    pub rank: u8,
    /// When its answer must have begun.
    pub deadline: Instant,
}

/// Why a request is not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It could not be done by its deadline.
    Overloaded,
}

/// A request that may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Request.
    pub request: Id,
    /// Endpoint that has a slot for it.
    pub endpoint: SocketAddr,
}

/// What changed in the queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// Requests that may run now.
    pub assignments: Vec<Assignment>,
    /// Requests whose deadline has passed.
    pub expired: Vec<Id>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    key: Id,
    arrival: Request,
    since: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    key: Id,
    class: Index,
    since: Instant,
}

#[derive(Clone, Debug)]
struct Server {
    address: SocketAddr,
    slots: usize,
    running: Vec<Running>,
    down_until: Instant,
    is_leaving: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Learned {
    mean_us: f64,
    samples: u32,
}

/// Requests that wait for the slots of some endpoints.
#[derive(Clone, Debug)]
pub struct Queue {
    order: Discipline,
    servers: Vec<Server>,
    waiting: Vec<Waiting>,
    learned: Vec<Learned>,
    short_busy: f64,
    keys: u64,
}

impl Queue {
    /// Starts an empty queue without endpoints.
    pub fn new(order: Discipline) -> Self {
        Self {
            order,
            servers: Vec::new(),
            waiting: Vec::new(),
            learned: Vec::new(),
            short_busy: 0.0,
            keys: 0,
        }
    }

    /// Sets which endpoints there are; what runs at others is left to end.
    pub fn set_endpoints(&mut self, addresses: &[SocketAddr], slots: usize) {
        for server in &mut self.servers {
            if !addresses.contains(&server.address) {
                server.slots = 0;
            }
        }
        self.servers
            .retain(|server| server.slots > 0 || !server.running.is_empty());
        for &address in addresses {
            match self
                .servers
                .iter_mut()
                .find(|server| server.address == address)
            {
                Some(server) => server.slots = slots,
                None => self.servers.push(Server {
                    address,
                    slots,
                    running: Vec::new(),
                    down_until: Instant::default(),
                    is_leaving: false,
                }),
            }
        }
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> usize {
        self.servers.iter().map(|server| server.running.len()).sum()
    }

    /// Queues a request unless it could not be done in time.
    pub fn enqueue(&mut self, arrival: Request, now: Instant) -> Result<Id, Refusal> {
        if self.waiting.len() >= WAITING_MAX || self.is_hopeless(&arrival, now) {
            return Err(Refusal::Overloaded);
        }
        self.keys += 1;
        let waiting = Waiting {
            key: Id(self.keys),
            arrival,
            since: now,
        };
        let place = self.place(&waiting);
        self.waiting.insert(place, waiting);
        Ok(waiting.key)
    }

    fn place(&self, waiting: &Waiting) -> usize {
        match self.order {
            Discipline::Arrival => self.waiting.len(),
            Discipline::Rank => {
                let goal = (waiting.arrival.rank, waiting.arrival.deadline);
                let is_before =
                    |other: &Waiting| (other.arrival.rank, other.arrival.deadline) <= goal;
                self.waiting.partition_point(is_before)
            }
        }
    }

    /// Tells whether the work before a request takes longer than it may wait.
    fn is_hopeless(&self, arrival: &Request, now: Instant) -> bool {
        if self.order == Discipline::Arrival {
            return false;
        }
        let slots: usize = self.servers.iter().map(|server| server.slots).sum();
        if slots == 0 {
            return false;
        }
        let before = self.waiting.iter().filter(|other| {
            (other.arrival.rank, other.arrival.deadline) <= (arrival.rank, arrival.deadline)
        });
        let waiting: f64 = before.map(|other| self.mean_us(other.arrival.class)).sum();
        let running = self.servers.iter().flat_map(|server| &server.running);
        let running: f64 = running
            .map(|running| self.mean_us(running.class) / 2.0)
            .sum();
        let own = self.mean_us(arrival.class);
        let needed = (waiting + running) / slots as f64 + own;
        now.after(Duration::from_micros(needed as u64)) > arrival.deadline
    }

    fn mean_us(&self, class: Index) -> f64 {
        let learned = self
            .learned
            .get(usize::from(class.0))
            .copied()
            .unwrap_or_default();
        if learned.samples < SAMPLES_MIN {
            return 0.0;
        }
        learned.mean_us
    }

    fn is_long(&self, class: Index) -> bool {
        let known = self
            .learned
            .iter()
            .filter(|learned| learned.samples >= SAMPLES_MIN);
        let shortest = known
            .map(|learned| learned.mean_us)
            .fold(f64::MAX, f64::min);
        self.mean_us(class) > shortest * f64::from(LONG_FACTOR)
    }

    /// Gives out free slots and drops what is too late.
    pub fn dispatch(&mut self, now: Instant) -> Decisions {
        let mut turn = Decisions::default();
        self.waiting.retain(|waiting| {
            let is_late = waiting.arrival.deadline <= now;
            if is_late {
                turn.expired.push(waiting.key);
            }
            !is_late
        });
        while let Some(server) = self.free_server(now) {
            let Some(index) = self.next(now) else { break };
            let waiting = self.waiting.remove(index);
            let server = &mut self.servers[server];
            server.running.push(Running {
                key: waiting.key,
                class: waiting.arrival.class,
                since: now,
            });
            turn.assignments.push(Assignment {
                request: waiting.key,
                endpoint: server.address,
            });
        }
        self.learn_busy();
        turn
    }

    /// Returns the endpoint with the most free slots.
    fn free_server(&self, now: Instant) -> Option<usize> {
        let usable = self.servers.iter().enumerate().filter(|(_, server)| {
            server.running.len() < server.slots && server.down_until <= now && !server.is_leaving
        });
        let freest = usable.max_by_key(|(_, server)| server.slots - server.running.len());
        freest.map(|(index, _)| index)
    }

    /// Returns the place of the request that takes the next free slot.
    fn next(&self, now: Instant) -> Option<usize> {
        if self.order == Discipline::Arrival {
            return (!self.waiting.is_empty()).then_some(0);
        }
        let long_running = self.long_running();
        let may_run_long = self.long_slots() > long_running;
        let patient = self.waiting.iter().position(|waiting| {
            let waited = now.since(waiting.since) >= LONG_PATIENCE;
            waited && self.is_long(waiting.arrival.class)
        });
        if let Some(index) = patient.filter(|_| long_running == 0) {
            return Some(index);
        }
        let mut waiting = self.waiting.iter();
        waiting.position(|waiting| may_run_long || !self.is_long(waiting.arrival.class))
    }

    fn long_running(&self) -> usize {
        let running = self.servers.iter().flat_map(|server| &server.running);
        running
            .filter(|running| self.is_long(running.class))
            .count()
    }

    /// Returns how many slots long work may take.
    fn long_slots(&self) -> usize {
        let slots: usize = self.servers.iter().map(|server| server.slots).sum();
        let kept = 1 + self.short_busy.ceil() as usize;
        slots.saturating_sub(kept).max(1)
    }

    fn learn_busy(&mut self) {
        let short = self.running() - self.long_running();
        self.short_busy += (short as f64 - self.short_busy) / BUSY_DIVISOR;
    }

    /// Takes a request out that no longer waits for a slot.
    pub fn remove(&mut self, key: Id) {
        self.waiting.retain(|waiting| waiting.key != key);
    }

    /// Frees the slot of a request; `ran` says that its time is worth learning.
    pub fn complete(&mut self, key: Id, ran: bool, now: Instant) {
        for server in &mut self.servers {
            let found = server.running.iter().position(|running| running.key == key);
            if let Some(index) = found {
                let running = server.running.swap_remove(index);
                if ran {
                    self.learn(running.class, now.since(running.since));
                }
                return;
            }
        }
    }

    fn learn(&mut self, class: Index, took: Duration) {
        let index = usize::from(class.0);
        if self.learned.len() <= index {
            self.learned.resize(index + 1, Learned::default());
        }
        let learned = &mut self.learned[index];
        let sample = took.as_micros() as f64;
        learned.samples = learned.samples.saturating_add(1);
        let weight = (1.0 / f64::from(learned.samples)).max(1.0 / LEARN_DIVISOR);
        learned.mean_us += (sample - learned.mean_us) * weight;
    }

    /// Leaves an endpoint alone for a while, as it could not be reached.
    pub fn mark_unreachable(&mut self, address: SocketAddr, now: Instant) {
        if let Some(server) = self
            .servers
            .iter_mut()
            .find(|server| server.address == address)
        {
            server.down_until = now.after(DOWN_FOR);
        }
    }

    /// Notes whether an endpoint wants no new work.
    pub fn set_leaving(&mut self, address: SocketAddr, is_leaving: bool) {
        if let Some(server) = self
            .servers
            .iter_mut()
            .find(|server| server.address == address)
        {
            server.is_leaving = is_leaving;
        }
    }
}
