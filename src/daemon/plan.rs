//! Planning tasks, one for each keyed service.
//!
//! While the table names this process as the planner, the task collects the
//! inputs of [`planner::decide`] and stores the tables that it returns. Otherwise
//! the task watches the planner, and takes over when the planner has been silent
//! for longer than the takeover timeout.

use crate::{
    core::{
        intent::Record,
        membership,
        planner::{
            self,
            Commitment,
            Decision,
            Inputs,
            Probe,
            Request, //
        },
        table::{
            Lease,
            Node,
            Table,
            TRAIL_LIMIT, //
        },
        time::{
            Instant,
            PLANNER_SUSPECT_TIMEOUT, //
        },
        token::Token,
    },
    daemon::{
        beat,
        state::State,
        watch, //
    },
    edge::{
        peer::{
            self,
            Stop,
            Stopped, //
        },
        store::{
            Condition,
            Error,
            Write, //
        },
    },
    kernel::{
        clock,
        runtime::{
            sleep,
            timeout, //
        },
        wire,
    },
};
use rand::Rng;
use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

/// Maximum time between two steps of a planning task.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two probes of an absent endpoint.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a request to a renewer to promise that it has stopped.
const STOP_TIMEOUT: Duration = Duration::from_millis(200);

/// Time between two reads of the stored table after the response to a write was lost.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(50);

/// Prefix of the names of audit-trail pages in the store.
pub const AUDIT_PREFIX: &str = "audit/";

/// Requests to stop that were sent, and the responses of renewers and endpoints.
///
/// `promises` and `pending` only apply to the table with `token`.
#[derive(Default)]
struct Inbox {
    token: Token,
    promises: Vec<Commitment>,
    pending: Vec<Pending>,
    probes: Vec<Probe>,
}

/// A request to stop that has not timed out.
struct Pending {
    request: Request,
    sent_at: Instant,
}

/// State of the planning task of one cell.
struct Task {
    service: Box<str>,
    stored: Option<Stored>,
    last_probe: Instant,
    planner_missing_since: Option<Instant>,
    latest: Latest,
    failed_takeovers: u32,
    minority_since: Option<Instant>,
    inbox: Arc<Mutex<Inbox>>,
}

/// The newest table and when it arrived, which shows that its planner was alive.
#[derive(Default)]
struct Latest {
    token: Token,
    planner: Option<Node>,
    first_seen: Instant,
}

/// Token of the table that was last known to be stored, and the tag of the stored object.
struct Stored {
    token: Token,
    tag: Box<str>,
}

/// Result of a conditional write of a table.
enum Outcome {
    Stored(Box<str>),
    Superseded,
    Unavailable,
}

/// Starts a planning task for each keyed service.
pub async fn run(state: Arc<State>) {
    let mut planned: Vec<Box<str>> = Vec::new();
    while !state.is_stopped() {
        let wakeup = state.planner_wakeup.listen();
        for record in &state.tables.current().intents {
            let service = &record.intent.service;
            if record.intent.shards == 0 {
                continue;
            }
            if let Err(index) = planned.binary_search(service) {
                planned.insert(index, service.clone());
                state
                    .context
                    .detach(run_task(Arc::clone(&state), service.clone()));
            }
        }
        timeout(POLL_INTERVAL * 10, wakeup).await;
    }
}

async fn run_task(state: Arc<State>, service: Box<str>) {
    let mut task = Task {
        service,
        stored: None,
        last_probe: Instant::default(),
        planner_missing_since: None,
        latest: Latest::default(),
        failed_takeovers: 0,
        minority_since: None,
        inbox: Arc::default(),
    };
    while !state.is_stopped() {
        let wakeup = state.planner_wakeup.listen();
        let wake_at = step(&state, &mut task).await;
        let now = clock::now();
        let pause = wake_at.map_or(POLL_INTERVAL, |at| at.since(now).min(POLL_INTERVAL));
        timeout(pause.max(Duration::from_millis(1)), wakeup).await;
    }
}

/// Runs one step of a planning task.
///
/// Returns when to run the next step at the latest, if the decision depends on the time.
async fn step(state: &Arc<State>, task: &mut Task) -> Option<Instant> {
    let snapshot = state.tables.current();
    let record = snapshot.intent(&task.service)?;
    let Some(table) = snapshot.cell(&task.service) else {
        if !state.is_leaving() && planner::may_create_table(&state.view(), clock::now()) {
            create(state, task, record).await;
        }
        return None;
    };
    record_table(state, task, table);
    if table.planner == *state.me() {
        state
            .view()
            .set_planner_suspected(&table.name, false, clock::now());
        return plan(state, task, table, record).await;
    }
    if !state.is_leaving() && may_take_over(state, task, table) {
        take_over(state, task, table).await;
    }
    None
}

/// Reads the stored table, and stores the first one if there is none.
async fn create(state: &Arc<State>, task: &mut Task, record: &Record) {
    match read(state, task).await {
        Ok(Some(_)) => {}
        Ok(None) => {
            let wall_ms = clock::wall_millis();
            let table = planner::create(record, state.me(), random_id(), wall_ms);
            store(state, task, table, Condition::Absent).await;
        }
        Err(_) => sleep(POLL_INTERVAL).await,
    }
}

/// Records the newest table, and counts a failed takeover if this process was the planner
/// and was replaced by a process that it receives no heartbeats from.
fn record_table(state: &State, task: &mut Task, table: &Table) {
    let now = clock::now();
    let view = state.view();
    if task.latest.token != table.token {
        let was_planner = task.latest.planner.as_ref() == Some(state.me());
        let is_planner = table.planner == *state.me();
        if was_planner
            && !is_planner
            && view.state(&table.planner, now) == membership::Liveness::Silent
        {
            task.failed_takeovers += 1;
        }
        task.latest = Latest {
            token: table.token,
            planner: Some(table.planner.clone()),
            first_seen: now,
        };
    }
    if view.hears_at_least_half(now) {
        task.minority_since = None;
    } else {
        task.minority_since.get_or_insert(now);
    }
}

/// Returns whether the planner has been silent for the takeover timeout of this process, or is
/// leaving or gone and it is the turn of this process.
fn may_take_over(state: &State, task: &mut Task, table: &Table) -> bool {
    let now = clock::now();
    let mut view = state.view();
    view.mark_gone_if_superseded(&table.planner, now);
    let liveness = view.state(&table.planner, now);
    let is_suspected = view
        .silence(&table.planner, now)
        .is_none_or(|silence| silence >= PLANNER_SUSPECT_TIMEOUT);
    if view.set_planner_suspected(&table.name, is_suspected, now) {
        state.alarm.notify(usize::MAX);
    }
    if liveness == membership::Liveness::Alive {
        task.planner_missing_since = None;
        task.failed_takeovers = 0;
        return false;
    }
    let since = *task.planner_missing_since.get_or_insert(now);
    let rank = planner::takeover_rank(&view, &table.planner, now);
    let hears_at_least_half = view.hears_at_least_half(now);
    if liveness == membership::Liveness::Leaving || view.gone_since(&table.planner).is_some() {
        let first_timeout = planner::takeover_timeout(0, hears_at_least_half, 0);
        return now.since(since) + first_timeout
            >= planner::takeover_timeout(rank, hears_at_least_half, 0);
    }
    let silence = view
        .silence(&table.planner, now)
        .unwrap_or(now.since(since));
    let silence = silence.min(now.since(task.latest.first_seen));
    silence >= planner::takeover_timeout(rank, hears_at_least_half, task.failed_takeovers)
}

async fn take_over(state: &Arc<State>, task: &mut Task, table: &Table) {
    let Ok(Some(stored)) = read(state, task).await else {
        sleep(POLL_INTERVAL).await;
        return;
    };
    if stored.planner != table.planner {
        return;
    }
    let next = planner::take_over(&stored, state.me(), random_id(), clock::wall_millis());
    let Some(known) = &task.stored else { return };
    let condition = Condition::Tag(known.tag.clone());
    store(state, task, next, condition).await;
}

/// Reads the stored table and adopts it.
async fn read(state: &State, task: &mut Task) -> Result<Option<Table>, Error> {
    let name = format!("{}{}", watch::TABLE_PREFIX, task.service);
    let Some(object) = (state.store.get)(&name).await? else {
        return Ok(None);
    };
    let table: Table = wire::decode(&object.bytes).map_err(|_| Error::Protocol(200))?;
    task.stored = Some(Stored {
        token: table.token,
        tag: object.tag,
    });
    state.adopt_cell(table.clone());
    Ok(Some(table))
}

/// Runs one step of the planning task of a cell whose planner is this process.
async fn plan(
    state: &Arc<State>,
    task: &mut Task,
    table: &Arc<Table>,
    record: &Record,
) -> Option<Instant> {
    probe_absent(state, task, table);
    let decision = decide(state, task, table, record);
    if !decision.stop_requests.is_empty() {
        request_stops(state, task, table, decision.stop_requests).await;
    }
    if let Some(next) = decision.next {
        update(state, task, table, next).await;
    }
    decision.wake_at
}

fn decide(state: &State, task: &Task, table: &Table, record: &Record) -> Decision {
    let now = clock::now();
    let own = state.renewer.reports(&table.name, now);
    state.adopt_reports(state.me(), vec![own]);
    let reports = state.reports(&table.name);
    let mut inbox = task.inbox.lock().unwrap();
    if inbox.token != table.token {
        inbox.token = table.token;
        inbox.promises.clear();
        inbox.pending.clear();
    }
    let promises = inbox.promises.clone();
    let probes = std::mem::take(&mut inbox.probes);
    drop(inbox);
    let mut view = state.view();
    for endpoint in &table.endpoints {
        let retired = endpoint.retired.iter().map(|retired| &retired.node);
        for node in endpoint.renewers.iter().chain(retired) {
            view.mark_gone_if_superseded(node, now);
        }
    }
    let inputs = Inputs {
        now,
        wall_clock_ms: clock::wall_millis(),
        write_id: random_id(),
        view: &view,
        may_suspect_peers: task
            .minority_since
            .is_none_or(|since| now.since(since) >= planner::MINORITY_TIMEOUT),
        intent: record,
        reports: &reports,
        stop_promises: &promises,
        probes: &probes,
    };
    planner::decide(table, &inputs)
}

/// Requests the state of absent endpoints.
fn probe_absent(state: &Arc<State>, task: &mut Task, table: &Table) {
    let now = clock::now();
    if now.since(task.last_probe) < PROBE_INTERVAL {
        return;
    }
    task.last_probe = now;
    for (index, endpoint) in table.indexed_endpoints() {
        if endpoint.state != Lease::Absent {
            continue;
        }
        let address = endpoint.address;
        let task_state = Arc::clone(state);
        let inbox = Arc::clone(&task.inbox);
        state.context.detach(async move {
            let Ok(answer) = (task_state.order.fetch_state)(address).await else {
                return;
            };
            let probe = Probe {
                endpoint: index,
                answer,
            };
            inbox.lock().unwrap().probes.push(probe);
            task_state.planner_wakeup.notify(usize::MAX);
        });
    }
}

/// Requests promises from renewers that they have stopped, if the stored table is still the
/// current one and the store can be reached, so that the next table can be stored afterwards.
async fn request_stops(state: &Arc<State>, task: &mut Task, table: &Table, requests: Vec<Request>) {
    let now = clock::now();
    let fresh: Vec<Request> = {
        let mut inbox = task.inbox.lock().unwrap();
        inbox
            .pending
            .retain(|pending| now.since(pending.sent_at) < STOP_TIMEOUT);
        let is_new = |request: &Request| {
            !inbox
                .pending
                .iter()
                .any(|pending| pending.request == *request)
        };
        requests.into_iter().filter(is_new).collect()
    };
    if fresh.is_empty() {
        return;
    }
    match read(state, task).await {
        Ok(Some(stored)) if stored.token == table.token => {}
        _ => return,
    }
    for request in fresh {
        let pending = Pending {
            request: request.clone(),
            sent_at: now,
        };
        task.inbox.lock().unwrap().pending.push(pending);
        let stop = Stop {
            cell: table.name.clone(),
            token: table.token,
            endpoint: request.endpoint,
            incarnation: table.endpoint(request.endpoint).incarnation,
        };
        let inbox = Arc::clone(&task.inbox);
        state
            .context
            .detach(request_stop(Arc::clone(state), request, stop, inbox));
    }
}

async fn request_stop(state: Arc<State>, request: Request, stop: Stop, inbox: Arc<Mutex<Inbox>>) {
    let stopped = if request.node == *state.me() {
        state.renewer.stop(&stop, clock::now())
    } else {
        let address = state.view().address(&request.node);
        let Some(address) = address else { return };
        let pool = state.peers.get(address);
        let path = peer::STOP_PATH;
        let answer = peer::call(&pool, &state.secret, path, &stop, STOP_TIMEOUT).await;
        let Ok(stopped) = answer else { return };
        stopped
    };
    let Stopped {
        promise: Some(promise),
    } = stopped
    else {
        return;
    };
    let mut inbox = inbox.lock().unwrap();
    if inbox.token == stop.token {
        inbox.promises.push(Commitment {
            node: request.node,
            promise,
            received: clock::now(),
        });
    }
    drop(inbox);
    state.planner_wakeup.notify(usize::MAX);
}

/// Stores the next table. If its audit trail exceeds [`TRAIL_LIMIT`], first moves the oldest
/// events to a separate page.
async fn update(state: &Arc<State>, task: &mut Task, table: &Table, mut next: Table) {
    let known = task
        .stored
        .as_ref()
        .filter(|stored| stored.token == table.token);
    if known.is_none() {
        match read(state, task).await {
            Ok(Some(stored)) if stored.token == table.token => {}
            Ok(_) => return,
            Err(_) => {
                sleep(POLL_INTERVAL).await;
                return;
            }
        }
    }
    if next.trail.len() > TRAIL_LIMIT && !page_trail(state, &mut next).await {
        return;
    }
    let Some(known) = &task.stored else { return };
    let condition = Condition::Tag(known.tag.clone());
    store(state, task, next, condition).await;
}

/// Moves the oldest events of the audit trail to a separate page.
///
/// All planners write the same content to a page, because the events are part
/// of the sequence of stored tables. An existing page therefore needs no update.
async fn page_trail(state: &State, next: &mut Table) -> bool {
    let page: Vec<_> = next.trail[..TRAIL_LIMIT].to_vec();
    let write = Write {
        name: format!("{AUDIT_PREFIX}{}/{:012}", next.name, next.trail_paged).into(),
        bytes: wire::encode(&page),
        condition: Condition::Absent,
    };
    match (state.store.put)(write).await {
        Ok(_) | Err(Error::Conflict) => {
            next.trail.drain(..TRAIL_LIMIT);
            next.trail_paged += TRAIL_LIMIT as u64;
            true
        }
        Err(_) => false,
    }
}

/// Stores a table, and adopts and publishes it once it is known to be stored.
async fn store(state: &Arc<State>, task: &mut Task, next: Table, condition: Condition) {
    let started = clock::now();
    match write(state, task, &next, condition).await {
        Outcome::Stored(tag) => {
            task.stored = Some(Stored {
                token: next.token,
                tag,
            });
            for event in next.trail.iter().filter(|event| event.token == next.token) {
                log::info!("{} cell={} token={}", event.text, next.name, next.token);
            }
            let elapsed = clock::now().since(started);
            metrics::histogram!("rhubarbpick_table_write_seconds").record(elapsed.as_secs_f64());
            state.adopt_cell(next.clone());
            beat::push(state, peer::TABLE_PATH, next);
        }
        Outcome::Superseded => task.stored = None,
        Outcome::Unavailable => {
            task.stored = None;
            sleep(POLL_INTERVAL).await;
        }
    }
}

async fn write(state: &State, task: &mut Task, next: &Table, condition: Condition) -> Outcome {
    metrics::counter!("rhubarbpick_store_writes_total").increment(1);
    let write = Write {
        name: format!("{}{}", watch::TABLE_PREFIX, next.name).into(),
        bytes: wire::encode(next),
        condition,
    };
    match (state.store.put)(write).await {
        Ok(tag) => Outcome::Stored(tag),
        Err(Error::Conflict) => {
            let _ = read(state, task).await;
            Outcome::Superseded
        }
        Err(Error::Unreachable | Error::Protocol(_)) => Outcome::Unavailable,
        Err(Error::Unknown) => read_back(state, task, next).await,
    }
}

/// Finds out whether a write whose response was lost took effect, by reading the stored table
/// until the store responds.
///
/// If the stored table is still the old one, the write may take effect later.
/// This is safe: the next write is conditional on the same tag, so at most one
/// of the two succeeds.
async fn read_back(state: &State, task: &mut Task, next: &Table) -> Outcome {
    while !state.is_stopped() {
        match read(state, task).await {
            Ok(Some(stored)) if stored.write_id == next.write_id => {
                let tag = task.stored.as_ref().map(|stored| stored.tag.clone());
                return tag.map_or(Outcome::Superseded, Outcome::Stored);
            }
            Ok(_) => return Outcome::Superseded,
            Err(_) => sleep(READ_BACK_INTERVAL).await,
        }
    }
    Outcome::Unavailable
}

fn random_id() -> u64 {
    rand::rng().next_u64()
}
