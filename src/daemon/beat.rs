//! Heartbeats between the processes.
//!
//! One task for each known peer. Heartbeats to the planners of cells are
//! frequent and carry what this process reports on its endpoints; the others
//! are rare. Each names a digest of what the sender holds. Where digests
//! differ the two exchange lists, and whoever is behind fetches the newer
//! table or intent. A process that starts while the store is down learns
//! everything this way.

use crate::{
    core::{
        table::Node,
        time::{
            HEARTBEAT_INTERVAL,
            IDLE_HEARTBEAT_INTERVAL, //
        },
    },
    daemon::{
        renew,
        state::State, //
    },
    edge::peer::{
        self,
        Fetch,
        Fetched,
        Heartbeat,
        Inventory,
        Replica,
        Reports, //
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
use futures_lite::future;
use serde::Serialize;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Time for the answer to a heartbeat.
const BEAT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for a peer to take in what is pushed to it.
const PUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for the answer to a fetch.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1000);

/// Silence after which a peer that the settings do not name gets no more heartbeats.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Pause after a heartbeat that was not answered.
const MISSING_PAUSE: Duration = Duration::from_millis(150);

/// Shortest time between two heartbeats to one peer.
const BEAT_GAP: Duration = Duration::from_millis(2);

/// Starts the heartbeats to the peers in the settings, and the renewals.
pub fn start(state: &Arc<State>) {
    state.context.detach(renew::run(Arc::clone(state)));
    for &address in &state.settings.peers {
        ensure(state, address);
    }
}

/// Starts heartbeats to `address` unless there are some already.
pub fn ensure(state: &Arc<State>, address: SocketAddr) {
    if address == state.settings.listen.advertised_address() {
        return;
    }
    let mut beaten = state.beaten.lock().unwrap();
    if let Err(index) = beaten.binary_search(&address) {
        beaten.insert(index, address);
        state.context.detach(run(Arc::clone(state), address));
    }
}

/// What is known of the peer at the other end of a task.
#[derive(Default)]
struct Known {
    node: Option<Node>,
    digest: u64,
    reports: Vec<Reports>,
}

async fn run(state: Arc<State>, address: SocketAddr) {
    let is_seed = state.settings.peers.contains(&address);
    let mut heard = clock::now();
    let mut known = Known::default();
    while !state.is_stopped() {
        let due = state.report_due.listen();
        let lists = lists(&state);
        let digest = digest(&lists);
        let reports = known
            .node
            .as_ref()
            .map(|node| renew::reports_for(&state, node));
        let reports = reports.unwrap_or_default();
        let beat = Heartbeat {
            from: state.peer(),
            digest,
            lists: (known.digest != digest).then_some(lists),
            reports: (known.reports != reports).then(|| reports.clone()),
        };
        let pool = state.peers.get(address);
        let message = wire::encode_compact(&beat);
        let path = peer::HEARTBEAT_PATH;
        let sent: Result<Heartbeat, _> =
            peer::call_encoded(&pool, &state.secret, path, message, BEAT_TIMEOUT).await;
        match sent {
            Ok(answer) => {
                heard = clock::now();
                let is_same = known.node.as_ref() == Some(&answer.from.node);
                known = Known {
                    node: Some(answer.from.node.clone()),
                    digest: answer.digest,
                    reports: if is_same { reports } else { Vec::new() },
                };
                receive(&state, answer);
            }
            Err(_) if !is_seed && clock::now().since(heard) > FORGET_AFTER => break,
            Err(_) => {
                known = Known::default();
                sleep(MISSING_PAUSE).await;
                continue;
            }
        }
        sleep(BEAT_GAP).await;
        if is_fast(&state, known.node.as_ref()) {
            timeout(HEARTBEAT_INTERVAL - BEAT_GAP, due).await;
        } else {
            sleep_idle(&state, known.node.as_ref()).await;
        }
    }
    let mut beaten = state.beaten.lock().unwrap();
    if let Ok(index) = beaten.binary_search(&address) {
        beaten.remove(index);
    }
}

/// Waits for the next rare heartbeat, or until frequent ones are due.
async fn sleep_idle(state: &State, node: Option<&Node>) {
    let end = clock::now().after(IDLE_HEARTBEAT_INTERVAL);
    loop {
        let changed = state.tables.listen();
        let alarmed = state.alarm.listen();
        let left = end.since(clock::now());
        if left.is_zero() || is_fast(state, node) {
            return;
        }
        timeout(left, future::or(changed, alarmed)).await;
    }
}

/// Tells whether heartbeats to a peer are frequent.
fn is_fast(state: &State, node: Option<&Node>) -> bool {
    state.view().suspects_any_planner() || is_planner(state, node)
}

/// Tells whether a peer plans any cell; without cells every peer counts.
fn is_planner(state: &State, node: Option<&Node>) -> bool {
    let snapshot = state.tables.current();
    let mut cells = snapshot.cells.iter();
    cells.len() == 0 || node.is_some_and(|node| cells.any(|cell| cell.planner == *node))
}

/// Lists what this process holds.
fn lists(state: &State) -> Inventory {
    let snapshot = state.tables.current();
    let tables = snapshot.cells.iter().map(|cell| Replica {
        cell: cell.name.clone(),
        token: cell.token,
    });
    let intents = snapshot.intents.iter().map(|confirmed| peer::Version {
        service: confirmed.intent.service.clone(),
        version: confirmed.version,
    });
    Inventory {
        peers: state.view().live_peers(clock::now()),
        tables: tables.collect(),
        intents: intents.collect(),
    }
}

fn digest(lists: &Inventory) -> u64 {
    xxh3_64(&wire::encode(lists))
}

/// Answers a heartbeat.
pub fn answer(state: &Arc<State>, beat: Heartbeat) -> Heartbeat {
    let theirs = beat.digest;
    receive(state, beat);
    let lists = lists(state);
    let digest = digest(&lists);
    Heartbeat {
        from: state.peer(),
        digest,
        lists: (theirs != digest).then_some(lists),
        reports: None,
    }
}

/// Takes in a heartbeat or the answer to one.
fn receive(state: &Arc<State>, beat: Heartbeat) {
    let node = beat.from.node.clone();
    let address = beat.from.address;
    let now = clock::now();
    if !state.view().record_heartbeat(beat.from, now) {
        return;
    }
    state.update_close();
    ensure(state, address);
    if let Some(reports) = beat.reports {
        state.adopt_reports(&node, reports);
    }
    let Some(lists) = beat.lists else {
        let held = self::lists(state).intents;
        state.note_holding(&node, held);
        return;
    };
    for peer in &lists.peers {
        ensure(state, peer.address);
    }
    if is_planner(state, Some(&node)) {
        state.view().apply_planner_view(&lists.peers, now);
    }
    follow_lists(state, address, &lists);
    state.note_holding(&node, lists.intents);
}

/// Fetches what a peer holds in a newer version.
fn follow_lists(state: &Arc<State>, address: SocketAddr, lists: &Inventory) {
    let snapshot = state.tables.current();
    for held in &lists.tables {
        let mine = snapshot.cell(&held.cell).map(|cell| cell.token);
        if mine.is_none_or(|mine| mine < held.token) {
            fetch(state, address, &held.cell);
        }
    }
    for known in &lists.intents {
        let mine = snapshot
            .intent(&known.service)
            .map(|confirmed| confirmed.version);
        if mine.is_none_or(|mine| mine < known.version) {
            fetch(state, address, &known.service);
        }
    }
}

/// Fetches what a peer holds for a service, unless that is under way.
fn fetch(state: &Arc<State>, address: SocketAddr, service: &str) {
    let mut fetching = state.fetching.lock().unwrap();
    let Err(index) = fetching.binary_search_by(|name| (**name).cmp(service)) else {
        return;
    };
    fetching.insert(index, service.into());
    drop(fetching);
    let state = Arc::clone(state);
    let service: Box<str> = service.into();
    state.context.clone().detach(async move {
        let message = Fetch {
            service: service.clone(),
        };
        let pool = state.peers.get(address);
        let path = peer::FETCH_PATH;
        let answer = peer::call(&pool, &state.secret, path, &message, FETCH_TIMEOUT).await;
        let mut fetching = state.fetching.lock().unwrap();
        if let Ok(index) = fetching.binary_search(&service) {
            fetching.remove(index);
        }
        drop(fetching);
        adopt(&state, answer);
    });
}

fn adopt(state: &State, answer: Result<Fetched, peer::Error>) {
    let Ok(fetched) = answer else { return };
    if let Some(confirmed) = fetched.intent {
        state.adopt_intent(confirmed);
    }
    if let Some(cell) = fetched.cell {
        state.adopt_cell(cell);
    }
}

/// Passes a new table or intent on to all known peers at once.
pub fn push<T: Serialize>(state: &Arc<State>, path: &'static str, message: T) {
    let addresses: Vec<SocketAddr> = {
        let view = state.view();
        let members = view.members().iter();
        members.map(|member| member.peer.address).collect()
    };
    let message = wire::encode(&message);
    for address in addresses {
        let task_state = Arc::clone(state);
        let message = message.clone();
        state.context.detach(async move {
            let pool = task_state.peers.get(address);
            let secret = &task_state.secret;
            // A peer that this does not reach fetches it after a heartbeat.
            let _: Result<(), _> =
                peer::call_encoded(&pool, secret, path, message, PUSH_TIMEOUT).await;
        });
    }
}
