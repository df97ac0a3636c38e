//! Queues requests until an endpoint has a free slot.
//!
//! One process, the dispatcher, manages each queue. For an endpoint of a keyed
//! service, it is the first renewer in the table whose heartbeats arrive. For a
//! service without keys, it is chosen by a rendezvous hash of the service's name.
//! The other processes forward their requests to it. If two processes briefly
//! disagree on the dispatcher, both assign the same slots and the endpoint queues
//! the excess.

use crate::{
    core::{
        dispatch::{
            Decisions,
            Discipline,
            Id,
            Queue,
            Refusal,
            Request, //
        },
        intent::Record,
        membership,
        table::{
            self,
            Node,
            Table, //
        },
        time::Instant,
    },
    daemon::state::State,
    kernel::{
        clock,
        runtime::sleep, //
    },
};
use event_listener::Event;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Interval at which requests whose deadline has passed are removed from the queues.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which endpoints of services without keys are asked whether they are leaving.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Identifies a queue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Name {
    service: Box<str>,
    endpoint: Option<table::Index>,
}

impl Name {
    /// Returns the name of the queue of one endpoint, or of all endpoints of a service.
    pub fn new(service: &str, endpoint: Option<table::Index>) -> Self {
        Self {
            service: service.into(),
            endpoint,
        }
    }
}

/// Decision on a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decision {
    Run(SocketAddr),
    Expired,
}

/// A queued request that waits for a decision.
struct Waiter {
    id: Id,
    decision: async_channel::Sender<Decision>,
}

/// A queue and the requests that wait in it.
struct Waitlist {
    name: Name,
    queue: Queue,
    waiters: Vec<Waiter>,
}

/// Queues for which this process dispatches, sorted by name.
#[derive(Default)]
pub struct Lines {
    waitlists: Mutex<Vec<Waitlist>>,
    enqueued: Event,
}

/// A slot of an endpoint; released when dropped.
pub struct Slot {
    lines: Arc<Lines>,
    name: Name,
    id: Id,
    /// Address of the endpoint.
    pub address: SocketAddr,
    ran: bool,
}

impl Slot {
    /// Marks the request as run, so that its service time is recorded.
    pub fn set_ran(&mut self) {
        self.ran = true;
    }

    /// Excludes the endpoint for a while, because it could not be reached or accepts no more
    /// requests at present.
    pub fn mark_unreachable(&self) {
        self.lines.with(&self.name, |waitlist| {
            waitlist.queue.mark_unreachable(self.address, clock::now());
        });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.lines.with(&self.name, |waitlist| {
            let now = clock::now();
            waitlist.queue.complete(self.id, self.ran, now);
            waitlist.dispatch(now);
        });
    }
}

/// Position of a request in a queue; when dropped, the request is removed from the queue
/// unless it got a slot.
struct Position {
    lines: Arc<Lines>,
    name: Name,
    id: Id,
    has_slot: bool,
}

impl Drop for Position {
    fn drop(&mut self) {
        if self.has_slot {
            return;
        }
        self.lines.with(&self.name, |waitlist| {
            let now = clock::now();
            waitlist.queue.remove(self.id);
            // A slot may have been assigned that the request has not received yet.
            waitlist.queue.complete(self.id, false, now);
            waitlist.waiters.retain(|waiter| waiter.id != self.id);
            waitlist.dispatch(now);
        });
    }
}

impl Waitlist {
    /// Assigns free slots, and notifies the requests that got one or have expired.
    fn dispatch(&mut self, now: Instant) {
        let Decisions {
            assignments,
            expired,
        } = self.queue.dispatch(now);
        for assignment in assignments {
            self.notify(assignment.request, Decision::Run(assignment.endpoint));
        }
        for id in expired {
            self.notify(id, Decision::Expired);
        }
    }

    fn notify(&mut self, id: Id, decision: Decision) {
        let found = self.waiters.binary_search_by_key(&id, |waiter| waiter.id);
        if let Ok(index) = found {
            let waiter = self.waiters.remove(index);
            let _ = waiter.decision.try_send(decision);
        }
    }
}

impl Lines {
    /// Applies an operation to a queue, if it exists.
    fn with<T>(&self, name: &Name, operation: impl FnOnce(&mut Waitlist) -> T) -> Option<T> {
        let mut waitlists = self.waitlists.lock().unwrap();
        let found = waitlists.binary_search_by(|waitlist| waitlist.name.cmp(name));
        found.ok().map(|index| operation(&mut waitlists[index]))
    }

    /// Dispatches all queues in which requests wait, which removes expired requests; returns
    /// whether there are any such queues.
    fn remove_expired(&self, now: Instant) -> bool {
        let mut waitlists = self.waitlists.lock().unwrap();
        let mut waiting = waitlists
            .iter_mut()
            .filter(|waitlist| waitlist.queue.waiting() > 0)
            .peekable();
        let has_waiting = waiting.peek().is_some();
        waiting.for_each(|waitlist| waitlist.dispatch(now));
        has_waiting
    }

    /// Applies an operation to a queue, which is created if it does not exist.
    fn with_or_insert<T>(
        &self,
        name: &Name,
        discipline: Discipline,
        operation: impl FnOnce(&mut Waitlist) -> T,
    ) -> T {
        let mut waitlists = self.waitlists.lock().unwrap();
        let found = waitlists.binary_search_by(|waitlist| waitlist.name.cmp(name));
        let index = found.unwrap_or_else(|index| {
            let waitlist = Waitlist {
                name: name.clone(),
                queue: Queue::new(discipline),
                waiters: Vec::new(),
            };
            waitlists.insert(index, waitlist);
            index
        });
        operation(&mut waitlists[index])
    }
}

/// Queues a request and waits for a slot of one of the endpoints at `addresses`.
pub async fn acquire(
    state: &State,
    name: &Name,
    addresses: &[SocketAddr],
    slots: usize,
    request: Request,
) -> Result<Slot, Refusal> {
    let lines = Arc::clone(&state.lines);
    let discipline = state.settings.dispatch.discipline();
    let (sender, receiver) = async_channel::bounded(1);
    let id = lines.with_or_insert(name, discipline, |waitlist| {
        let now = clock::now();
        waitlist.queue.set_endpoints(addresses, slots);
        let id = waitlist.queue.enqueue(request, now)?;
        waitlist.waiters.push(Waiter {
            id,
            decision: sender,
        });
        waitlist.dispatch(now);
        Ok(id)
    })?;
    lines.enqueued.notify(usize::MAX);
    let mut position = Position {
        lines,
        name: name.clone(),
        id,
        has_slot: false,
    };
    match receiver.recv().await {
        Ok(Decision::Run(address)) => {
            position.has_slot = true;
            Ok(Slot {
                lines: Arc::clone(&position.lines),
                name: name.clone(),
                id,
                address,
                ran: false,
            })
        }
        Ok(Decision::Expired) | Err(_) => Err(Refusal::Overloaded),
    }
}

/// Removes requests whose deadline passes while no other event dispatches their queue.
pub async fn remove_expired(state: Arc<State>) {
    while !state.is_stopped() {
        let enqueued = state.lines.enqueued.listen();
        if state.lines.remove_expired(clock::now()) {
            sleep(EXPIRY_INTERVAL).await;
        } else {
            enqueued.await;
        }
    }
}

/// Periodically asks the endpoints of services without keys whether they are leaving.
pub async fn poll_endpoints(state: Arc<State>) {
    while !state.is_stopped() {
        for confirmed in &state.tables.current().intents {
            let name = Name::new(&confirmed.intent.service, None);
            let has_queue = state.lines.with(&name, |_| ()).is_some();
            if confirmed.intent.shards > 0 || !has_queue {
                continue;
            }
            for endpoint in &confirmed.intent.endpoints {
                poll_endpoint(&state, &name, endpoint.address);
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Asks an endpoint whether it is leaving, in a new task.
fn poll_endpoint(state: &Arc<State>, name: &Name, address: SocketAddr) {
    let task_state = Arc::clone(state);
    let name = name.clone();
    state.context.detach(async move {
        let answer = (task_state.order.fetch_state)(address).await;
        task_state.lines.with(&name, |waitlist| match answer {
            Ok(answer) => waitlist.queue.set_leaving(address, answer.leaving),
            Err(_) => waitlist.queue.mark_unreachable(address, clock::now()),
        });
    });
}

/// Returns the process that dispatches for an endpoint of a keyed service.
///
/// This is the local process if no other qualifies. `avoid` is a dispatcher that could not be
/// reached.
pub fn dispatcher_of_endpoint(
    state: &State,
    table: &Table,
    index: table::Index,
    avoid: Option<&Node>,
) -> Node {
    let now = clock::now();
    let view = state.view();
    let mut renewers = table
        .endpoint(index)
        .renewers
        .iter()
        .filter(|node| Some(*node) != avoid);
    let alive = renewers.find(|node| view.state(node, now) == membership::Liveness::Alive);
    alive.unwrap_or(state.me()).clone()
}

/// Returns the process that dispatches for a service without keys.
///
/// This is the local process if no other qualifies. `avoid` is a dispatcher that could not be
/// reached.
pub fn dispatcher_of_service(state: &State, confirmed: &Record, avoid: Option<&Node>) -> Node {
    let now = clock::now();
    let view = state.view();
    let seed = xxh3_64_with_seed(confirmed.intent.service.as_bytes(), 0);
    let usable = view.usable(now);
    let highest = usable
        .iter()
        .filter(|peer| Some(&peer.node) != avoid)
        .max_by_key(|peer| xxh3_64_with_seed(peer.node.name.as_bytes(), seed));
    highest.map_or_else(|| state.me().clone(), |peer| peer.node.clone())
}
