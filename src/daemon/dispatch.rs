//! Waiting for a slot of an endpoint.
//!
//! One process dispatches for each queue: the first renewer of an endpoint
//! with keys that can be heard, or, for a service without keys, the process
//! that a rendezvous hash of the service's name chooses. The other entries
//! pass their requests on to it. When two disagree for a moment both give out
//! the same slots and the endpoint queues the excess.

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

/// How often queues look for requests whose deadline has passed.
const SWEEP_PERIOD: Duration = Duration::from_millis(20);

/// How often endpoints without keys are asked whether they want to leave.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Which queue a request waits in.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Name {
    service: Box<str>,
    endpoint: Option<table::Index>,
}

impl Name {
    /// Names the queue of one endpoint, or of all endpoints of a service.
    pub fn new(service: &str, endpoint: Option<table::Index>) -> Self {
        Self {
            service: service.into(),
            endpoint,
        }
    }
}

/// What a waiting request is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Run(SocketAddr),
    Expired,
}

struct Waiter {
    key: Id,
    call: async_channel::Sender<Call>,
}

/// A queue and those who wait in it.
struct Line {
    name: Name,
    queue: Queue,
    waiters: Vec<Waiter>,
}

/// The queues that this process dispatches for.
#[derive(Default)]
pub struct Lines {
    lines: Mutex<Vec<Line>>,
    entered: Event,
}

/// A slot of an endpoint; given back when dropped.
pub struct Slot {
    lines: Arc<Lines>,
    name: Name,
    key: Id,
    /// Endpoint that has the slot.
    pub server: SocketAddr,
    ran: bool,
}

impl Slot {
    /// Notes that the request ran, so that its time is learned.
    pub fn ran(&mut self) {
        self.ran = true;
    }

    /// Notes that the endpoint could not be reached or takes no more for now.
    pub fn set_down(&self) {
        self.lines.with(&self.name, |line| {
            line.queue.mark_unreachable(self.server, clock::now());
        });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.lines.with(&self.name, |line| {
            let now = clock::now();
            line.queue.complete(self.key, self.ran, now);
            line.pump(now);
        });
    }
}

/// A place in a queue; given up when dropped.
struct Place {
    lines: Arc<Lines>,
    name: Name,
    key: Id,
    is_called: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.is_called {
            return;
        }
        self.lines.with(&self.name, |line| {
            let now = clock::now();
            line.queue.remove(self.key);
            // It may have been given a slot at this very moment.
            line.queue.complete(self.key, false, now);
            line.waiters.retain(|waiter| waiter.key != self.key);
            line.pump(now);
        });
    }
}

impl Line {
    /// Gives out free slots and tells those concerned.
    fn pump(&mut self, now: Instant) {
        let Decisions {
            assignments: starts,
            expired,
        } = self.queue.dispatch(now);
        for start in starts {
            self.tell(start.request, Call::Run(start.endpoint));
        }
        for key in expired {
            self.tell(key, Call::Expired);
        }
    }

    fn tell(&mut self, key: Id, call: Call) {
        let found = self.waiters.binary_search_by_key(&key, |waiter| waiter.key);
        if let Ok(index) = found {
            let waiter = self.waiters.remove(index);
            let _ = waiter.call.try_send(call);
        }
    }
}

impl Lines {
    fn with<T>(&self, name: &Name, act: impl FnOnce(&mut Line) -> T) -> Option<T> {
        let mut lines = self.lines.lock().unwrap();
        let found = lines.binary_search_by(|line| line.name.cmp(name));
        found.ok().map(|index| act(&mut lines[index]))
    }

    /// Looks after queues in which requests wait; tells whether there are any.
    fn sweep(&self, now: Instant) -> bool {
        let mut lines = self.lines.lock().unwrap();
        let mut waiting = lines
            .iter_mut()
            .filter(|line| line.queue.waiting() > 0)
            .peekable();
        let any = waiting.peek().is_some();
        waiting.for_each(|line| line.pump(now));
        any
    }

    /// Acts on a queue, which is made if there is none.
    fn with_new<T>(&self, name: &Name, order: Discipline, act: impl FnOnce(&mut Line) -> T) -> T {
        let mut lines = self.lines.lock().unwrap();
        let found = lines.binary_search_by(|line| line.name.cmp(name));
        let index = found.unwrap_or_else(|index| {
            let line = Line {
                name: name.clone(),
                queue: Queue::new(order),
                waiters: Vec::new(),
            };
            lines.insert(index, line);
            index
        });
        act(&mut lines[index])
    }
}

/// Waits for a slot of one of `servers`.
pub async fn enter(
    state: &State,
    name: &Name,
    servers: &[SocketAddr],
    slots: usize,
    arrival: Request,
) -> Result<Slot, Refusal> {
    let lines = Arc::clone(&state.lines);
    let order = state.settings.dispatch.discipline();
    let (sender, receiver) = async_channel::bounded(1);
    let key = lines.with_new(name, order, |line| {
        let now = clock::now();
        line.queue.set_endpoints(servers, slots);
        let key = line.queue.enqueue(arrival, now)?;
        line.waiters.push(Waiter { key, call: sender });
        line.pump(now);
        Ok(key)
    })?;
    lines.entered.notify(usize::MAX);
    let mut place = Place {
        lines,
        name: name.clone(),
        key,
        is_called: false,
    };
    match receiver.recv().await {
        Ok(Call::Run(server)) => {
            place.is_called = true;
            Ok(Slot {
                lines: Arc::clone(&place.lines),
                name: name.clone(),
                key,
                server,
                ran: false,
            })
        }
        Ok(Call::Expired) | Err(_) => Err(Refusal::Overloaded),
    }
}

/// Drops requests whose deadline passes while nothing else happens.
pub async fn sweep(state: Arc<State>) {
    while !state.is_stopped() {
        let entered = state.lines.entered.listen();
        if state.lines.sweep(clock::now()) {
            sleep(SWEEP_PERIOD).await;
        } else {
            entered.await;
        }
    }
}

/// Asks the endpoints of services without keys whether they want to leave.
pub async fn poll(state: Arc<State>) {
    while !state.is_stopped() {
        for confirmed in &state.tables.current().intents {
            let name = Name::new(&confirmed.intent.service, None);
            let is_mine = state.lines.with(&name, |_| ()).is_some();
            if confirmed.intent.shards > 0 || !is_mine {
                continue;
            }
            for endpoint in &confirmed.intent.endpoints {
                poll_one(&state, &name, endpoint.address);
            }
        }
        sleep(POLL_PERIOD).await;
    }
}

fn poll_one(state: &Arc<State>, name: &Name, address: SocketAddr) {
    let task_state = Arc::clone(state);
    let name = name.clone();
    state.context.detach(async move {
        let answer = (task_state.order.fetch_state)(address).await;
        task_state.lines.with(&name, |line| match answer {
            Ok(answer) => line.queue.set_leaving(address, answer.leaving),
            Err(_) => line.queue.mark_unreachable(address, clock::now()),
        });
    });
}

/// Returns the process that dispatches for an endpoint with keys.
///
/// `avoid` could not be reached just now.
pub fn of_endpoint(state: &State, cell: &Table, key: table::Index, avoid: Option<&Node>) -> Node {
    let now = clock::now();
    let view = state.view();
    let mut seats = cell
        .endpoint(key)
        .renewers
        .iter()
        .filter(|node| Some(*node) != avoid);
    let heard = seats.find(|node| view.state(node, now) == membership::Liveness::Alive);
    heard.unwrap_or(state.me()).clone()
}

/// Returns the process that dispatches for a service without keys.
pub fn of_service(state: &State, confirmed: &Record, avoid: Option<&Node>) -> Node {
    let now = clock::now();
    let view = state.view();
    let seed = xxh3_64_with_seed(confirmed.intent.service.as_bytes(), 0);
    let usable = view.usable(now);
    let best = usable
        .iter()
        .filter(|peer| Some(&peer.node) != avoid)
        .max_by_key(|peer| xxh3_64_with_seed(peer.node.name.as_bytes(), seed));
    best.map_or_else(|| state.me().clone(), |peer| peer.node.clone())
}
