//! Planning cells.
//!
//! One task for each keyed service. It acts only while the table names this
//! process as planner; otherwise it watches the planner and takes over when
//! that has been silent for long enough.

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

/// Longest time between two looks at a cell.
const TICK: Duration = Duration::from_millis(100);

/// Time between two questions to an absent endpoint.
const PROBE_PERIOD: Duration = Duration::from_millis(200);

/// Time for a renewer's word.
const STOP_TIMEOUT: Duration = Duration::from_millis(200);

/// Pause between two tries to read back after a lost answer.
const READ_BACK_PAUSE: Duration = Duration::from_millis(50);

/// Start of the names of the pages of the audit trail.
pub const AUDIT: &str = "audit/";

/// What the planner of one cell collects between two tables.
#[derive(Default)]
struct Gathered {
    token: Token,
    words: Vec<Commitment>,
    asked: Vec<Asked>,
    probes: Vec<Probe>,
}

struct Asked {
    ask: Request,
    at: Instant,
}

/// Planner of one cell.
struct Desk {
    service: Box<str>,
    stored: Option<Stored>,
    probed: Instant,
    missing_since: Option<Instant>,
    seen: Seen,
    setbacks: u32,
    minority_since: Option<Instant>,
    gathered: Arc<Mutex<Gathered>>,
}

/// The newest table and when it was first seen: a sign of life of its planner.
#[derive(Default)]
struct Seen {
    token: Token,
    planner: Option<Node>,
    at: Instant,
}

/// Tag under which a table is known to be stored.
struct Stored {
    token: Token,
    tag: Box<str>,
}

/// What became of an update.
enum Outcome {
    Stored(Box<str>),
    Superseded,
    Unavailable,
}

/// Starts a planner for each keyed service.
pub async fn run(state: Arc<State>) {
    let mut planned: Vec<Box<str>> = Vec::new();
    while !state.is_stopped() {
        let nudge = state.nudge.listen();
        for confirmed in &state.tables.current().intents {
            let service = &confirmed.intent.service;
            if confirmed.intent.shards == 0 {
                continue;
            }
            if let Err(index) = planned.binary_search(service) {
                planned.insert(index, service.clone());
                state
                    .context
                    .detach(run_cell(Arc::clone(&state), service.clone()));
            }
        }
        timeout(TICK * 10, nudge).await;
    }
}

async fn run_cell(state: Arc<State>, service: Box<str>) {
    let mut desk = Desk {
        service,
        stored: None,
        probed: Instant::default(),
        missing_since: None,
        seen: Seen::default(),
        setbacks: 0,
        minority_since: None,
        gathered: Arc::default(),
    };
    while !state.is_stopped() {
        let nudge = state.nudge.listen();
        let again = step(&state, &mut desk).await;
        let now = clock::now();
        let pause = again.map_or(TICK, |at| at.since(now).min(TICK));
        timeout(pause.max(Duration::from_millis(1)), nudge).await;
    }
}

/// Does what is to be done now; returns when to look again.
async fn step(state: &Arc<State>, desk: &mut Desk) -> Option<Instant> {
    let snapshot = state.tables.current();
    let confirmed = snapshot.intent(&desk.service)?;
    let Some(cell) = snapshot.cell(&desk.service) else {
        if !state.is_leaving() && planner::may_create_cell(&state.view(), clock::now()) {
            create(state, desk, confirmed).await;
        }
        return None;
    };
    note_table(state, desk, cell);
    if cell.planner == *state.me() {
        state
            .view()
            .set_planner_suspected(&cell.name, false, clock::now());
        return plan(state, desk, cell, confirmed).await;
    }
    if !state.is_leaving() && may_take_over(state, desk, cell) {
        take_over(state, desk, cell).await;
    }
    None
}

/// Reads the cell, and makes its first table if there is none.
async fn create(state: &Arc<State>, desk: &mut Desk, confirmed: &Record) {
    match read(state, desk).await {
        Ok(Some(_)) => {}
        Ok(None) => {
            let wall_ms = clock::wall_millis();
            let cell = planner::create(confirmed, state.me(), draw_id(), wall_ms);
            store(state, desk, cell, Condition::Absent).await;
        }
        Err(_) => sleep(TICK).await,
    }
}

/// Notes who planned the newest table, and whether that was a setback.
fn note_table(state: &State, desk: &mut Desk, cell: &Table) {
    let now = clock::now();
    let view = state.view();
    if desk.seen.token != cell.token {
        let was_mine = desk.seen.planner.as_ref() == Some(state.me());
        let is_mine = cell.planner == *state.me();
        if was_mine && !is_mine && view.state(&cell.planner, now) == membership::Liveness::Silent {
            desk.setbacks += 1;
        }
        desk.seen = Seen {
            token: cell.token,
            planner: Some(cell.planner.clone()),
            at: now,
        };
    }
    if view.hears_at_least_half(now) {
        desk.minority_since = None;
    } else {
        desk.minority_since.get_or_insert(now);
    }
}

/// Tells whether the planner has been silent for as long as this process waits.
fn may_take_over(state: &State, desk: &mut Desk, cell: &Table) -> bool {
    let now = clock::now();
    let mut view = state.view();
    view.mark_gone_if_superseded(&cell.planner, now);
    let planner = view.state(&cell.planner, now);
    let quiet = view
        .silence(&cell.planner, now)
        .is_none_or(|silence| silence >= PLANNER_SUSPECT_TIMEOUT);
    if view.set_planner_suspected(&cell.name, quiet, now) {
        state.alarm.notify(usize::MAX);
    }
    if planner == membership::Liveness::Alive {
        desk.missing_since = None;
        desk.setbacks = 0;
        return false;
    }
    let since = *desk.missing_since.get_or_insert(now);
    let rank = planner::takeover_rank(&view, &cell.planner, now);
    let hears_most = view.hears_at_least_half(now);
    if planner == membership::Liveness::Leaving || view.gone_since(&cell.planner).is_some() {
        let first = planner::takeover_timeout(0, hears_most, 0);
        return now.since(since) + first >= planner::takeover_timeout(rank, hears_most, 0);
    }
    let silence = view.silence(&cell.planner, now).unwrap_or(now.since(since));
    let silence = silence.min(now.since(desk.seen.at));
    silence >= planner::takeover_timeout(rank, hears_most, desk.setbacks)
}

async fn take_over(state: &Arc<State>, desk: &mut Desk, cell: &Table) {
    let Ok(Some(stored)) = read(state, desk).await else {
        sleep(TICK).await;
        return;
    };
    if stored.planner != cell.planner {
        return;
    }
    let next = planner::take_over(&stored, state.me(), draw_id(), clock::wall_millis());
    let Some(known) = &desk.stored else { return };
    let condition = Condition::Tag(known.tag.clone());
    store(state, desk, next, condition).await;
}

/// Reads the stored table and takes it in.
async fn read(state: &State, desk: &mut Desk) -> Result<Option<Table>, Error> {
    let name = format!("{}{}", watch::CELLS, desk.service);
    let Some(object) = (state.store.get)(&name).await? else {
        return Ok(None);
    };
    let cell: Table = wire::decode(&object.bytes).map_err(|_| Error::Protocol(200))?;
    desk.stored = Some(Stored {
        token: cell.token,
        tag: object.tag,
    });
    state.adopt_cell(cell.clone());
    Ok(Some(cell))
}

/// Plans one step of a cell that this process is the planner of.
async fn plan(
    state: &Arc<State>,
    desk: &mut Desk,
    cell: &Arc<Table>,
    confirmed: &Record,
) -> Option<Instant> {
    probe_absent(state, desk, cell);
    let decision = decide(state, desk, cell, confirmed);
    if !decision.stop_requests.is_empty() {
        ask(state, desk, cell, decision.stop_requests).await;
    }
    if let Some(next) = decision.next {
        update(state, desk, cell, next).await;
    }
    decision.wake_at
}

fn decide(state: &State, desk: &Desk, cell: &Table, confirmed: &Record) -> Decision {
    let now = clock::now();
    let own = state.renewer.reports(&cell.name, now);
    state.adopt_reports(state.me(), vec![own]);
    let reports = state.reports(&cell.name);
    let mut gathered = desk.gathered.lock().unwrap();
    if gathered.token != cell.token {
        gathered.token = cell.token;
        gathered.words.clear();
        gathered.asked.clear();
    }
    let words = gathered.words.clone();
    let probes = std::mem::take(&mut gathered.probes);
    drop(gathered);
    let mut view = state.view();
    for endpoint in &cell.endpoints {
        let retired = endpoint.retired.iter().map(|retired| &retired.node);
        for node in endpoint.renewers.iter().chain(retired) {
            view.mark_gone_if_superseded(node, now);
        }
    }
    let facts = Inputs {
        now,
        wall_clock_ms: clock::wall_millis(),
        write_id: draw_id(),
        view: &view,
        may_suspect_peers: desk
            .minority_since
            .is_none_or(|since| now.since(since) >= planner::MINORITY_TIMEOUT),
        intent: confirmed,
        reports: &reports,
        stop_promises: &words,
        probes: &probes,
    };
    planner::decide(cell, &facts)
}

/// Asks absent endpoints whether they are there.
fn probe_absent(state: &Arc<State>, desk: &mut Desk, cell: &Table) {
    let now = clock::now();
    if now.since(desk.probed) < PROBE_PERIOD {
        return;
    }
    desk.probed = now;
    for (key, endpoint) in cell.indexed_endpoints() {
        if endpoint.state != Lease::Absent {
            continue;
        }
        let address = endpoint.address;
        let task_state = Arc::clone(state);
        let gathered = Arc::clone(&desk.gathered);
        state.context.detach(async move {
            let Ok(answer) = (task_state.order.fetch_state)(address).await else {
                return;
            };
            let probe = Probe {
                endpoint: key,
                answer,
            };
            gathered.lock().unwrap().probes.push(probe);
            task_state.nudge.notify(usize::MAX);
        });
    }
}

/// Asks renewers for their words, if the store can be written to afterwards.
async fn ask(state: &Arc<State>, desk: &mut Desk, cell: &Table, asks: Vec<Request>) {
    let now = clock::now();
    let fresh: Vec<Request> = {
        let mut gathered = desk.gathered.lock().unwrap();
        gathered
            .asked
            .retain(|asked| now.since(asked.at) < STOP_TIMEOUT);
        let is_new = |ask: &Request| !gathered.asked.iter().any(|asked| asked.ask == *ask);
        asks.into_iter().filter(is_new).collect()
    };
    if fresh.is_empty() {
        return;
    }
    match read(state, desk).await {
        Ok(Some(stored)) if stored.token == cell.token => {}
        _ => return,
    }
    for ask in fresh {
        let asked = Asked {
            ask: ask.clone(),
            at: now,
        };
        desk.gathered.lock().unwrap().asked.push(asked);
        let stop = Stop {
            cell: cell.name.clone(),
            token: cell.token,
            endpoint: ask.endpoint,
            incarnation: cell.endpoint(ask.endpoint).incarnation,
        };
        let gathered = Arc::clone(&desk.gathered);
        state
            .context
            .detach(ask_one(Arc::clone(state), ask, stop, gathered));
    }
}

async fn ask_one(state: Arc<State>, ask: Request, stop: Stop, gathered: Arc<Mutex<Gathered>>) {
    let stopped = if ask.node == *state.me() {
        state.renewer.stop(&stop, clock::now())
    } else {
        let address = state.view().address(&ask.node);
        let Some(address) = address else { return };
        let pool = state.peers.get(address);
        let path = peer::STOP_PATH;
        let answer = peer::call(&pool, &state.secret, path, &stop, STOP_TIMEOUT).await;
        let Ok(stopped) = answer else { return };
        stopped
    };
    let Stopped {
        promise: Some(word),
    } = stopped
    else {
        return;
    };
    let mut gathered = gathered.lock().unwrap();
    if gathered.token == stop.token {
        gathered.words.push(Commitment {
            node: ask.node,
            promise: word,
            received: clock::now(),
        });
    }
    drop(gathered);
    state.nudge.notify(usize::MAX);
}

/// Stores the next table, and the oldest part of the trail if it has grown long.
async fn update(state: &Arc<State>, desk: &mut Desk, cell: &Table, mut next: Table) {
    let known = desk
        .stored
        .as_ref()
        .filter(|stored| stored.token == cell.token);
    if known.is_none() {
        match read(state, desk).await {
            Ok(Some(stored)) if stored.token == cell.token => {}
            Ok(_) => return,
            Err(_) => {
                sleep(TICK).await;
                return;
            }
        }
    }
    if next.trail.len() > TRAIL_LIMIT && !page_trail(state, &mut next).await {
        return;
    }
    let Some(known) = &desk.stored else { return };
    let condition = Condition::Tag(known.tag.clone());
    store(state, desk, next, condition).await;
}

/// Moves the oldest entries of the trail to a page of their own.
///
/// All planners that write this page write the same, as its entries are part
/// of the line of tables; so a page that is there already is as good.
async fn page_trail(state: &State, next: &mut Table) -> bool {
    let page: Vec<_> = next.trail[..TRAIL_LIMIT].to_vec();
    let put = Write {
        name: format!("{AUDIT}{}/{:012}", next.name, next.trail_paged).into(),
        bytes: wire::encode(&page),
        condition: Condition::Absent,
    };
    match (state.store.put)(put).await {
        Ok(_) | Err(Error::Conflict) => {
            next.trail.drain(..TRAIL_LIMIT);
            next.trail_paged += TRAIL_LIMIT as u64;
            true
        }
        Err(_) => false,
    }
}

/// Stores a table; once it is known to be stored it is in force.
async fn store(state: &Arc<State>, desk: &mut Desk, next: Table, condition: Condition) {
    let begun = clock::now();
    match write(state, desk, &next, condition).await {
        Outcome::Stored(tag) => {
            desk.stored = Some(Stored {
                token: next.token,
                tag,
            });
            for entry in next.trail.iter().filter(|entry| entry.token == next.token) {
                log::info!("{} cell={} token={}", entry.text, next.name, next.token);
            }
            let took = clock::now().since(begun);
            metrics::histogram!("rhubarbpick_table_write_seconds").record(took.as_secs_f64());
            state.adopt_cell(next.clone());
            beat::push(state, peer::TABLE_PATH, next);
        }
        Outcome::Superseded => desk.stored = None,
        Outcome::Unavailable => {
            desk.stored = None;
            sleep(TICK).await;
        }
    }
}

async fn write(state: &State, desk: &mut Desk, next: &Table, condition: Condition) -> Outcome {
    metrics::counter!("rhubarbpick_store_writes_total").increment(1);
    let put = Write {
        name: format!("{}{}", watch::CELLS, next.name).into(),
        bytes: wire::encode(next),
        condition,
    };
    match (state.store.put)(put).await {
        Ok(tag) => Outcome::Stored(tag),
        Err(Error::Conflict) => {
            let _ = read(state, desk).await;
            Outcome::Superseded
        }
        Err(Error::Unreachable | Error::Protocol(_)) => Outcome::Unavailable,
        Err(Error::Unknown) => read_back(state, desk, next).await,
    }
}

/// Settles a lost answer by reading until the store answers.
///
/// If the stored table is still the old one the update may take effect later.
/// That is no harm: the next update names the tag that it replaces, so only
/// one of the two can.
async fn read_back(state: &State, desk: &mut Desk, next: &Table) -> Outcome {
    while !state.is_stopped() {
        match read(state, desk).await {
            Ok(Some(stored)) if stored.write_id == next.write_id => {
                let tag = desk.stored.as_ref().map(|stored| stored.tag.clone());
                return tag.map_or(Outcome::Superseded, Outcome::Stored);
            }
            Ok(_) => return Outcome::Superseded,
            Err(_) => sleep(READ_BACK_PAUSE).await,
        }
    }
    Outcome::Unavailable
}

fn draw_id() -> u64 {
    rand::rng().next_u64()
}
