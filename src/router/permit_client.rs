//! Getting permits from the VM that dispatches for a service.
//!
//! The dispatcher of a keyed service is the VM that plans it, that of a pool
//! the best ranked one that answers. One that is silent is passed over for a
//! while. When none answers, this VM decides by what it knows itself, so that
//! callers are served with every other VM gone.

use crate::{
    core::{
        permit::{
            Outcome,
            Reason,
            Refusal,
            Request, //
        },
        registry::{
            Endpoint,
            Member, //
        },
        rendezvous,
    },
    kernel::runtime::{
        sleep,
        timeout, //
    },
    router::{
        datagram::send,
        state::{
            State,
            View, //
        },
        wire::Datagram,
    },
};
use std::{
    net::SocketAddr,
    sync::{
        atomic::Ordering,
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// How long a dispatcher may take to acknowledge; several round trips between zones.
const ACK_WAIT: Duration = Duration::from_millis(40);

/// Times that a dispatcher is asked before it is passed over.
const TRIES: u32 = 3;

/// How often a waiting request makes sure that it is still queued.
const QUEUED_WAIT: Duration = Duration::from_millis(150);

/// Dispatchers that are tried for one request.
const CANDIDATES: usize = 2;

/// How often dispatchers are told which permits are open.
const OPEN_PERIOD: Duration = Duration::from_millis(250);

/// How long after its last permit a dispatcher is still told.
const OPEN_TAIL: Duration = Duration::from_millis(1_000);

/// Most requests that this VM sends to one endpoint when no dispatcher answers.
const ALONE_PER_ENDPOINT: usize = 2;

/// What came of asking.
pub enum Answer {
    /// The request may be sent.
    Go(Permit),
    /// It may not.
    No(Refusal),
}

enum Reply {
    Queued,
    Go {
        endpoint: Box<Endpoint>,
        expected: Duration,
        is_return: bool,
    },
    No(Refusal),
    Elsewhere,
}

struct Pending {
    number: u64,
    from: SocketAddr,
    replies: async_channel::Sender<Reply>,
}

struct Open {
    desk: SocketAddr,
    service: Box<str>,
    numbers: Vec<u64>,
    used: Instant,
}

/// Requests of this VM that wait for a permit or have one.
pub struct Asks {
    next: Mutex<u64>,
    pending: Mutex<Vec<Pending>>,
    open: Mutex<Vec<Open>>,
    alone: Mutex<Vec<(Box<str>, usize)>>,
}

impl Asks {
    /// Starts with numbers that no earlier run has used.
    pub fn new(run: u64) -> Self {
        Self {
            next: Mutex::new(run),
            pending: Mutex::new(Vec::new()),
            open: Mutex::new(Vec::new()),
            alone: Mutex::new(Vec::new()),
        }
    }

    /// Passes a dispatcher's reply to the request that waits for it.
    pub fn deliver(&self, from: SocketAddr, datagram: Datagram) {
        let (number, reply) = match datagram {
            Datagram::Queued { number } => (number, Reply::Queued),
            Datagram::Go {
                number,
                endpoint,
                expected_us,
                is_return,
            } => (
                number,
                Reply::Go {
                    endpoint,
                    expected: Duration::from_micros(expected_us),
                    is_return,
                },
            ),
            Datagram::No {
                number,
                reason,
                retry_ms,
                is_return,
            } => {
                let refusal = Refusal {
                    reason,
                    retry_after: Duration::from_millis(u64::from(retry_ms)),
                    is_return,
                };
                (number, Reply::No(refusal))
            }
            Datagram::Elsewhere { number } => (number, Reply::Elsewhere),
            _ => return,
        };
        let pending = self.pending.lock().unwrap();
        let place = pending.binary_search_by_key(&number, |pending| pending.number);
        if let Ok(index) = place {
            if pending[index].from == from {
                // A full queue holds an answer already.
                let _ = pending[index].replies.try_send(reply);
            }
        }
    }

    fn expect(&self, entry: Pending) {
        let mut pending = self.pending.lock().unwrap();
        let place = pending.partition_point(|pending| pending.number < entry.number);
        pending.insert(place, entry);
    }

    fn open_permit(&self, desk: SocketAddr, service: &str, number: u64) {
        let mut open = self.open.lock().unwrap();
        let found = open
            .iter_mut()
            .find(|open| open.desk == desk && *open.service == *service);
        match found {
            Some(open) => {
                open.numbers.push(number);
                open.used = Instant::now();
            }
            None => open.push(Open {
                desk,
                service: service.into(),
                numbers: vec![number],
                used: Instant::now(),
            }),
        }
    }

    fn close_permit(&self, desk: SocketAddr, service: &str, number: u64) {
        let mut open = self.open.lock().unwrap();
        let found = open
            .iter_mut()
            .find(|open| open.desk == desk && *open.service == *service);
        if let Some(open) = found {
            open.numbers.retain(|&other| other != number);
        }
    }
}

/// The right to send a request to an endpoint; ends when dropped.
pub struct Permit {
    /// Endpoint, as the dispatcher knows it.
    pub endpoint: Box<Endpoint>,
    /// How long the endpoint is expected to take.
    pub expected: Duration,
    /// Whether the caller was refused before, as far as the dispatcher knows.
    pub is_return: bool,
    /// Whether a dispatcher gave it.
    pub is_dispatched: bool,
    state: Arc<State>,
    service: Box<str>,
    desk: SocketAddr,
    number: u64,
    began: Instant,
    outcome: Outcome,
}

impl Permit {
    /// Says how the request ended.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.is_dispatched {
            let mut alone = self.state.asks.alone.lock().unwrap();
            let place = alone.binary_search_by(|(id, _)| id.cmp(&self.endpoint.id));
            if let Ok(index) = place {
                alone[index].1 -= 1;
                if alone[index].1 == 0 {
                    alone.remove(index);
                }
            }
            return;
        }
        self.state
            .asks
            .close_permit(self.desk, &self.service, self.number);
        let done = Datagram::Done {
            number: self.number,
            service: self.service.clone(),
            outcome: self.outcome,
            took_us: self.began.elapsed().as_micros() as u64,
        };
        send(&self.state, self.desk, done);
    }
}

/// Removes a request from those that wait, and from the dispatcher's queue.
struct Waiter {
    state: Arc<State>,
    desk: SocketAddr,
    service: Box<str>,
    number: u64,
    is_settled: bool,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut pending = self.state.asks.pending.lock().unwrap();
        pending.retain(|pending| pending.number != self.number);
        drop(pending);
        if self.is_settled {
            return;
        }
        let done = Datagram::Done {
            number: self.number,
            service: self.service.clone(),
            outcome: Outcome::Dropped,
            took_us: 0,
        };
        send(&self.state, self.desk, done);
    }
}

/// Asks for a permit.
pub async fn ask(state: &Arc<State>, service: &str, mut ask: Request) -> Answer {
    let began = Instant::now();
    let first = ask.clone();
    let view = state.view();
    for desk in desks(state, &view, service) {
        let passed = began.elapsed().as_micros() as u64;
        ask = first.with_elapsed(passed);
        if let Some(answer) = ask_desk(state, desk, service, &ask).await {
            return answer;
        }
        log::info!("event=dispatcher_lost service={service} dispatcher={desk}");
        state.suspect(desk);
    }
    alone(state, &view, service, &ask)
}

/// Returns the VMs that may dispatch for a service, the first choice first.
pub fn desks(state: &State, view: &View, service: &str) -> Vec<SocketAddr> {
    let mut desks = Vec::new();
    if view.is_keyed(service) {
        let claim = view.table(service).map(|(_, table)| &table.claim);
        let planner = claim.and_then(|claim| {
            let mut members = view.members.iter();
            members.find(|member| member.name == claim.node && member.run == claim.run)
        });
        if let Some(planner) = planner.filter(|planner| state.is_usable(planner)) {
            desks.push(planner.datagrams);
        }
    }
    for member in ranked(state, view, service) {
        if desks.len() < CANDIDATES && !desks.contains(&member.datagrams) {
            desks.push(member.datagrams);
        }
    }
    desks
}

/// Returns the usable members in the order in which they work for a service.
pub fn ranked<'a>(state: &State, view: &'a View, service: &str) -> Vec<&'a Member> {
    let mut ranked = rendezvous::rank_members(&view.members, service);
    ranked.retain(|member| state.is_usable(member));
    ranked
}

/// Asks one dispatcher; `None` if it does not answer.
async fn ask_desk(
    state: &Arc<State>,
    desk: SocketAddr,
    service: &str,
    ask: &Request,
) -> Option<Answer> {
    let (replies, receiver) = async_channel::bounded(4);
    let number = {
        let mut next = state.asks.next.lock().unwrap();
        *next += 1;
        *next
    };
    state.asks.expect(Pending {
        number,
        from: desk,
        replies,
    });
    let mut waiter = Waiter {
        state: Arc::clone(state),
        desk,
        service: service.into(),
        number,
        is_settled: false,
    };
    let began = Instant::now();
    let mut tries = 0;
    let mut wait = ACK_WAIT;
    loop {
        if tries == TRIES {
            return None;
        }
        tries += 1;
        let passed = began.elapsed().as_micros() as u64;
        let datagram = Datagram::Ask {
            number,
            service: service.into(),
            ask: ask.with_elapsed(passed),
        };
        send(state, desk, datagram);
        while let Some(reply) = timeout(wait, receiver.recv()).await {
            match reply.ok()? {
                Reply::Queued => {
                    tries = 0;
                    wait = QUEUED_WAIT;
                }
                Reply::Go {
                    endpoint,
                    expected,
                    is_return,
                } => {
                    waiter.is_settled = true;
                    state.asks.open_permit(desk, service, number);
                    return Some(Answer::Go(Permit {
                        endpoint,
                        expected,
                        is_return,
                        is_dispatched: true,
                        state: Arc::clone(state),
                        service: service.into(),
                        desk,
                        number,
                        began: Instant::now(),
                        outcome: Outcome::Dropped,
                    }));
                }
                Reply::No(refusal) => {
                    waiter.is_settled = true;
                    return Some(Answer::No(refusal));
                }
                Reply::Elsewhere => return None,
            }
        }
        wait = ACK_WAIT;
    }
}

/// Chooses an endpoint by what this VM knows itself.
fn alone(state: &Arc<State>, view: &View, service: &str, ask: &Request) -> Answer {
    let refused = |reason, retry_after| {
        Answer::No(Refusal {
            reason,
            retry_after,
            is_return: ask.is_return,
        })
    };
    if ask.is_repeat {
        return refused(Reason::Budget, ACK_WAIT);
    }
    let mut alone = state.asks.alone.lock().unwrap();
    let busy = |id: &str| {
        let place = alone.binary_search_by(|(other, _)| (**other).cmp(id));
        place.map_or(0, |index| alone[index].1)
    };
    let chosen: Option<Box<Endpoint>> = match ask.key {
        Some(key) => {
            let range = view.table(service).and_then(|(_, table)| table.range(key));
            let owner = range.and_then(|range| range.owner.as_ref());
            let listed = owner.and_then(|owner| view.endpoint(&owner.endpoint));
            listed.map(|listed| Box::new((*listed.endpoint).clone()))
        }
        None => {
            let open = view
                .endpoints_of(service)
                .map(|listed| &listed.endpoint)
                .filter(|endpoint| !endpoint.is_leaving && !ask.avoid.contains(&endpoint.id));
            let least = open.min_by_key(|endpoint| {
                let noise =
                    xxhash_rust::xxh3::xxh3_64_with_seed(endpoint.id.as_bytes(), ask.left_us);
                (busy(&endpoint.id), endpoint.zone != ask.zone, noise)
            });
            least.map(|endpoint| Box::new((**endpoint).clone()))
        }
    };
    let Some(endpoint) = chosen else {
        return refused(Reason::NoOwner, QUEUED_WAIT);
    };
    if busy(&endpoint.id) >= ALONE_PER_ENDPOINT {
        return refused(Reason::Full, QUEUED_WAIT);
    }
    match alone.binary_search_by(|(id, _)| id.cmp(&endpoint.id)) {
        Ok(index) => alone[index].1 += 1,
        Err(index) => alone.insert(index, (endpoint.id.clone(), 1)),
    }
    drop(alone);
    Answer::Go(Permit {
        endpoint,
        expected: Duration::from_micros(ask.goal_us),
        is_return: ask.is_return,
        is_dispatched: false,
        state: Arc::clone(state),
        service: service.into(),
        desk: state.socket.address,
        number: 0,
        began: Instant::now(),
        outcome: Outcome::Dropped,
    })
}

/// Tells dispatchers which permits are open, for as long as the process runs.
pub async fn run(state: Arc<State>) {
    loop {
        let began = Instant::now();
        sleep(OPEN_PERIOD).await;
        let lag = began.elapsed().saturating_sub(OPEN_PERIOD);
        let lag_ms = lag.as_millis() as u64;
        state.counts.lag_ms.fetch_max(lag_ms, Ordering::Relaxed);
        let mut lists = Vec::new();
        {
            let mut open = state.asks.open.lock().unwrap();
            open.retain(|open| !open.numbers.is_empty() || open.used.elapsed() < OPEN_TAIL);
            for open in open.iter() {
                lists.push((open.desk, open.service.clone(), open.numbers.clone()));
            }
        }
        for (desk, service, numbers) in lists {
            send(&state, desk, Datagram::Open { service, numbers });
        }
    }
}
