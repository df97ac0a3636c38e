//! Handing out permits for the services that this VM dispatches for.
//!
//! The decisions are [`permit::Dispatcher`]'s. A desk is opened when a peer first
//! asks for a permit of its service, and closed when none has for a while.

use crate::{
    core::{
        ownership::{
            Planner,
            Status, //
        },
        permit::{
            self,
            Decisions,
            Dispatcher,
            Id,
            Location,
            Locator,
            Outcome,
            Refusal,
            Request, //
        },
        rebalance::Rates,
        time::Instant,
    },
    kernel::{
        clock,
        runtime::sleep, //
    },
    router::{
        datagram::send,
        permit_client,
        state::{
            State,
            View, //
        },
        wire::Datagram,
    },
};
use std::{
    cell::RefCell,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

/// How often waiting requests are looked at when nothing else happens.
const TICK: Duration = Duration::from_millis(15);

/// Ticks between two sweeps for permits whose asker is gone.
const TICKS_PER_SWEEP: u64 = 16;

/// When a request may return whose endpoint went as it got its permit.
const GONE_RETRY: Duration = Duration::from_millis(60);

/// Time for which a key without a known owner is expected to have none.
const UNOWNED: Duration = Duration::from_millis(500);

/// A service that this VM works for.
pub struct Job {
    /// Service.
    pub service: Box<str>,
    /// What the work needs.
    pub inner: Mutex<Inner>,
}

/// State of a job.
pub struct Inner {
    /// Permits.
    pub desk: Dispatcher,
    /// Requests by key; only at a planner.
    pub heat: Rates,
    /// The planner of a keyed service, if this VM holds the claim.
    pub planner: Option<Planner>,
    view: Arc<View>,
    /// When a permit was last asked for.
    pub asked: Instant,
    /// Requests taken in since permits were last handed out.
    arrived: Vec<Id>,
    /// Whether something happened since permits were last handed out.
    is_due: bool,
}

impl Inner {
    /// Takes over a new view.
    pub fn set_view(&mut self, service: &str, view: &Arc<View>, now: Instant) {
        if Arc::ptr_eq(&self.view, view) {
            return;
        }
        self.view = Arc::clone(view);
        let endpoints = view
            .endpoints_of(service)
            .map(|listed| (&*listed.endpoint, listed.cold_until));
        self.desk.set_endpoints(endpoints, now);
    }

    /// Gives out what can be given out.
    pub fn turn(&mut self, service: &str, now: Instant) -> Decisions {
        let Self {
            desk,
            planner,
            view,
            is_due,
            ..
        } = self;
        *is_due = false;
        desk.dispatch(&*locate(service, planner.as_ref(), view, now), now)
    }
}

fn locate<'a>(
    service: &'a str,
    planner: Option<&'a Planner>,
    view: &'a View,
    now: Instant,
) -> Box<Locator<'a>> {
    let table = view.table(service);
    let find = move |key| match (planner, table) {
        (Some(planner), _) => match planner.key_status(key, now) {
            Status::Held(id) => Location::Held(id),
            Status::Moving(id) => Location::Moving(id),
            Status::Unowned(span) => Location::Unowned(span),
        },
        (None, Some((_, table))) => {
            let owner = table.range(key).and_then(|range| range.owner.as_ref());
            owner.map_or(Location::Unowned(UNOWNED), |owner| {
                Location::Held(&owner.endpoint)
            })
        }
        (None, None) => Location::Unowned(UNOWNED),
    };
    // One event asks for the places of all waiting requests several times.
    let known: RefCell<Vec<(u16, Location<'a>)>> = RefCell::default();
    Box::new(move |key| {
        let mut known = known.borrow_mut();
        match known.binary_search_by_key(&key, |&(key, _)| key) {
            Ok(index) => known[index].1,
            Err(index) => {
                let place = find(key);
                known.insert(index, (key, place));
                place
            }
        }
    })
}

/// Finds a job, or opens it.
pub fn job(state: &State, service: &str) -> Arc<Job> {
    let mut jobs = state.jobs.lock().unwrap();
    match jobs.binary_search_by(|job| (*job.service).cmp(service)) {
        Ok(index) => Arc::clone(&jobs[index]),
        Err(index) => {
            let job = Arc::new(Job {
                service: service.into(),
                inner: Mutex::new(Inner {
                    desk: Dispatcher::new(state.settings.bounds.retry_limit, clock::now()),
                    heat: Rates::default(),
                    planner: None,
                    view: Arc::new(View::default()),
                    asked: clock::now(),
                    arrived: Vec::new(),
                    is_due: false,
                }),
            });
            log::info!("event=desk_opened service={service}");
            jobs.insert(index, Arc::clone(&job));
            job
        }
    }
}

/// Takes in a request for a permit.
pub fn ask(state: &Arc<State>, from: SocketAddr, number: u64, service: &str, ask: Request) {
    let view = state.view();
    if !state.is_ready() && state.is_starting() {
        // Its own copy is not there yet.
        send(state, from, Datagram::Queued { number });
        return;
    }
    let is_known = view
        .manifest
        .as_ref()
        .is_some_and(|manifest| manifest.service(service).is_some());
    if !is_known {
        send(state, from, Datagram::Elsewhere { number });
        return;
    }
    let now = clock::now();
    let ticket = Id {
        requester: from,
        number,
    };
    let job = job(state, service);
    let mut inner = job.inner.lock().unwrap();
    inner.set_view(service, &view, now);
    inner.asked = now;
    if let Some(endpoint) = inner.desk.assigned_endpoint(ticket) {
        let go = go(&view, number, endpoint, ask.goal_us, ask.is_return);
        drop(inner);
        // The endpoint may have gone meanwhile; the permit then ends with the asker's list.
        if let Some(go) = go {
            send(state, from, go);
        }
        return;
    }
    if inner.desk.is_waiting(ticket) {
        drop(inner);
        send(state, from, Datagram::Queued { number });
        return;
    }
    if let (Some(key), false) = (ask.key, ask.is_repeat) {
        inner.heat.record(key);
    }
    let arrived = {
        let Inner {
            desk,
            planner,
            view,
            ..
        } = &mut *inner;
        let locate = locate(service, planner.as_ref(), view, now);
        desk.submit(ticket, ask, &*locate, now)
    };
    match arrived {
        Ok(()) => {
            inner.arrived.push(ticket);
            inner.is_due = true;
        }
        Err(refusal) => {
            drop(inner);
            send(state, from, no(number, refusal));
        }
    }
}

/// Ends a permit.
pub fn done(
    state: &Arc<State>,
    from: SocketAddr,
    number: u64,
    service: &str,
    outcome: Outcome,
    took_us: u64,
) {
    let now = clock::now();
    let ticket = Id {
        requester: from,
        number,
    };
    let job = job(state, service);
    let mut inner = job.inner.lock().unwrap();
    if outcome == Outcome::NotHolder {
        let endpoint: Option<Box<str>> = inner.desk.assigned_endpoint(ticket).map(Into::into);
        if let (Some(planner), Some(endpoint)) = (&mut inner.planner, endpoint) {
            planner.on_not_holder(&endpoint, now);
        }
    }
    let took = Duration::from_micros(took_us);
    inner.desk.complete(ticket, outcome, took, now);
    inner.is_due = true;
}

/// Takes in an asker's list of open permits.
pub fn open(state: &Arc<State>, from: SocketAddr, service: &str, numbers: &[u64]) {
    let now = clock::now();
    let job = job(state, service);
    let mut inner = job.inner.lock().unwrap();
    inner.desk.reconcile(from, numbers, now);
    inner.is_due = true;
}

/// Hands out permits wherever something happened since the last time.
pub fn serve(state: &Arc<State>) {
    let jobs: Vec<Arc<Job>> = state.jobs.lock().unwrap().clone();
    for job in jobs {
        let mut inner = job.inner.lock().unwrap();
        if !inner.is_due {
            continue;
        }
        let turn = inner.turn(&job.service, clock::now());
        let mut queued = std::mem::take(&mut inner.arrived);
        drop(inner);
        queued.retain(|ticket| !turn.includes(*ticket));
        for ticket in queued {
            let number = ticket.number;
            send(state, ticket.requester, Datagram::Queued { number });
        }
        tell(state, turn);
    }
}

/// Tells askers what was decided.
pub fn tell(state: &Arc<State>, turn: Decisions) {
    let view = state.view();
    for start in turn.assignments {
        let expected_us = start.expected.as_micros() as u64;
        let number = start.request.number;
        let go = go(&view, number, &start.endpoint, expected_us, start.is_return);
        // The endpoint was removed since; the next turn does not give it out.
        let gone = Datagram::No {
            number,
            reason: permit::Reason::NoEndpoint,
            retry_ms: GONE_RETRY.as_millis() as u32,
            is_return: start.is_return,
        };
        send(state, start.request.requester, go.unwrap_or(gone));
    }
    for (ticket, refusal) in turn.refusals {
        send(state, ticket.requester, no(ticket.number, refusal));
    }
}

fn go(
    view: &View,
    number: u64,
    endpoint: &str,
    expected_us: u64,
    is_return: bool,
) -> Option<Datagram> {
    let listed = view.endpoint(endpoint)?;
    Some(Datagram::Go {
        number,
        endpoint: Box::new((*listed.endpoint).clone()),
        expected_us,
        is_return,
    })
}

fn no(number: u64, refusal: Refusal) -> Datagram {
    Datagram::No {
        number,
        reason: refusal.reason,
        retry_ms: refusal.retry_after.as_millis() as u32,
        is_return: refusal.is_return,
    }
}

/// Looks at the waiting requests of all jobs for as long as the process runs.
pub async fn run(state: Arc<State>) {
    let mut ticks: u64 = 0;
    loop {
        sleep(TICK).await;
        ticks += 1;
        let jobs: Vec<Arc<Job>> = state.jobs.lock().unwrap().clone();
        let now = clock::now();
        let view = state.view();
        for job in jobs {
            let mut inner = job.inner.lock().unwrap();
            let is_sweep = ticks % TICKS_PER_SWEEP == 0;
            if is_sweep {
                let first = permit_client::desks(&state, &view, &job.service)
                    .into_iter()
                    .next();
                inner.desk.set_primary(first == Some(state.socket.address));
                inner.set_view(&job.service, &view, now);
                inner.desk.sweep(now);
                measure(&job.service, &inner, now);
            }
            if inner.desk.waiting() == 0 && !is_sweep {
                continue;
            }
            let turn = inner.turn(&job.service, now);
            drop(inner);
            tell(&state, turn);
        }
    }
}

/// Shows what a service's queue, endpoints and keys are like now.
fn measure(service: &str, inner: &Inner, now: Instant) {
    let gauge = |name: &'static str, value: usize| {
        metrics::gauge!(name, "service" => service.to_owned()).set(value as f64);
    };
    gauge("rhubarbpick_waiting_requests", inner.desk.waiting());
    gauge("rhubarbpick_running_requests", inner.desk.running());
    let (open, left_out) = inner.desk.endpoint_counts(now);
    gauge("rhubarbpick_open_endpoints", open);
    gauge("rhubarbpick_left_out_endpoints", left_out);
    if let Some(planner) = &inner.planner {
        let (ranges, held) = planner.range_counts();
        gauge("rhubarbpick_key_ranges", ranges);
        gauge("rhubarbpick_held_key_ranges", held);
        metrics::counter!("rhubarbpick_key_moves_total", "service" => service.to_owned())
            .absolute(planner.move_count());
    }
}

/// Work of a class takes about the same time.
pub fn class(repeat: crate::core::manifest::Idempotency, rank: u8, goal_ms: u64) -> u32 {
    let text = [repeat as u64, u64::from(rank), goal_ms];
    let bytes: Vec<u8> = text.iter().flat_map(|part| part.to_le_bytes()).collect();
    xxhash_rust::xxh3::xxh3_64(&bytes) as u32
}

/// Names of refusals in logs and metrics.
pub fn reason_name(reason: permit::Reason) -> &'static str {
    match reason {
        permit::Reason::Full => "full",
        permit::Reason::Waited => "waited",
        permit::Reason::Budget => "budget",
        permit::Reason::NoEndpoint => "no_endpoint",
        permit::Reason::NoOwner => "no_owner",
    }
}
