//! Exchanges heartbeats with the other processes.
//!
//! One task sends the heartbeats to each known peer. Heartbeats to the planners of
//! cells are frequent and carry this process's reports on the endpoints that it
//! renews. Heartbeats to other peers are infrequent. Each heartbeat contains a
//! digest of the sender's inventory: the peers, tables and intents that it holds.
//! If the digests of two processes differ, the processes exchange their
//! inventories, and each fetches the tables and intents that the other holds in a
//! newer version. A process that starts while the store is down gets all its state
//! this way.

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

/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a push of a table or an intent to a peer.
const PUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a fetch.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time without a response after which a peer that is not in the settings gets no more
/// heartbeats.
const PEER_REMOVAL_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay after a heartbeat that failed.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Minimum interval between two heartbeats to a peer.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2);

/// Starts the renewals, and the heartbeats to the peers in the settings.
pub fn start(state: &Arc<State>) {
    state.context.detach(renew::run(Arc::clone(state)));
    for &address in &state.settings.peers {
        ensure_task(state, address);
    }
}

/// Starts a task that sends heartbeats to `address`, unless there is one.
pub fn ensure_task(state: &Arc<State>, address: SocketAddr) {
    if address == state.settings.listen.advertised_address() {
        return;
    }
    let mut heartbeat_targets = state.beaten.lock().unwrap();
    if let Err(index) = heartbeat_targets.binary_search(&address) {
        heartbeat_targets.insert(index, address);
        state.context.detach(run(Arc::clone(state), address));
    }
}

/// What a task knows about its peer, from the last heartbeat that succeeded.
#[derive(Default)]
struct Remote {
    node: Option<Node>,
    digest: u64,
    reports: Vec<Reports>,
}

/// Sends heartbeats to a peer until this process stops or the peer is removed.
async fn run(state: Arc<State>, address: SocketAddr) {
    let is_seed = state.settings.peers.contains(&address);
    let mut last_response = clock::now();
    let mut remote = Remote::default();
    while !state.is_stopped() {
        let report_due = state.report_due.listen();
        let inventory = inventory(&state);
        let digest = digest(&inventory);
        let reports = remote
            .node
            .as_ref()
            .map(|node| renew::reports_for(&state, node));
        let reports = reports.unwrap_or_default();
        let heartbeat = Heartbeat {
            from: state.peer(),
            digest,
            lists: (remote.digest != digest).then_some(inventory),
            reports: (remote.reports != reports).then(|| reports.clone()),
        };
        let pool = state.peers.get(address);
        let message = wire::encode_compact(&heartbeat);
        let path = peer::HEARTBEAT_PATH;
        let sent: Result<Heartbeat, _> =
            peer::call_encoded(&pool, &state.secret, path, message, HEARTBEAT_TIMEOUT).await;
        match sent {
            Ok(response) => {
                last_response = clock::now();
                let is_same_run = remote.node.as_ref() == Some(&response.from.node);
                remote = Remote {
                    node: Some(response.from.node.clone()),
                    digest: response.digest,
                    reports: if is_same_run { reports } else { Vec::new() },
                };
                receive(&state, response);
            }
            Err(_) if !is_seed && clock::now().since(last_response) > PEER_REMOVAL_TIMEOUT => break,
            Err(_) => {
                remote = Remote::default();
                sleep(RETRY_DELAY).await;
                continue;
            }
        }
        sleep(MIN_HEARTBEAT_INTERVAL).await;
        if is_frequent(&state, remote.node.as_ref()) {
            timeout(HEARTBEAT_INTERVAL - MIN_HEARTBEAT_INTERVAL, report_due).await;
        } else {
            sleep_idle(&state, remote.node.as_ref()).await;
        }
    }
    let mut heartbeat_targets = state.beaten.lock().unwrap();
    if let Ok(index) = heartbeat_targets.binary_search(&address) {
        heartbeat_targets.remove(index);
    }
}

/// Waits until the next infrequent heartbeat is due, or heartbeats become frequent.
async fn sleep_idle(state: &State, node: Option<&Node>) {
    let end = clock::now().after(IDLE_HEARTBEAT_INTERVAL);
    loop {
        let changed = state.tables.listen();
        let suspected = state.alarm.listen();
        let left = end.since(clock::now());
        if left.is_zero() || is_frequent(state, node) {
            return;
        }
        timeout(left, future::or(changed, suspected)).await;
    }
}

/// Returns whether heartbeats to a peer are frequent.
fn is_frequent(state: &State, node: Option<&Node>) -> bool {
    state.view().suspects_any_planner() || is_planner(state, node)
}

/// Returns whether a peer is the planner of a cell; without cells, every peer counts as one.
fn is_planner(state: &State, node: Option<&Node>) -> bool {
    let snapshot = state.tables.current();
    let mut tables = snapshot.cells.iter();
    tables.len() == 0 || node.is_some_and(|node| tables.any(|table| table.planner == *node))
}

/// Returns the peers, tables and intents that this process holds.
fn inventory(state: &State) -> Inventory {
    let snapshot = state.tables.current();
    let tables = snapshot.cells.iter().map(|table| Replica {
        cell: table.name.clone(),
        token: table.token,
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

/// Returns the hash by which two inventories are compared.
fn digest(inventory: &Inventory) -> u64 {
    xxh3_64(&wire::encode(inventory))
}

/// Handles a heartbeat and returns the response.
pub fn answer(state: &Arc<State>, heartbeat: Heartbeat) -> Heartbeat {
    let remote_digest = heartbeat.digest;
    receive(state, heartbeat);
    let inventory = inventory(state);
    let digest = digest(&inventory);
    Heartbeat {
        from: state.peer(),
        digest,
        lists: (remote_digest != digest).then_some(inventory),
        reports: None,
    }
}

/// Processes a heartbeat or the response to one.
fn receive(state: &Arc<State>, heartbeat: Heartbeat) {
    let node = heartbeat.from.node.clone();
    let address = heartbeat.from.address;
    let now = clock::now();
    if !state.view().record_heartbeat(heartbeat.from, now) {
        return;
    }
    state.update_close();
    ensure_task(state, address);
    if let Some(reports) = heartbeat.reports {
        state.adopt_reports(&node, reports);
    }
    let Some(inventory) = heartbeat.lists else {
        let held = self::inventory(state).intents;
        state.note_holding(&node, held);
        return;
    };
    for peer in &inventory.peers {
        ensure_task(state, peer.address);
    }
    if is_planner(state, Some(&node)) {
        state.view().apply_planner_view(&inventory.peers, now);
    }
    fetch_newer(state, address, &inventory);
    state.note_holding(&node, inventory.intents);
}

/// Fetches the tables and intents that a peer holds in a newer version.
fn fetch_newer(state: &Arc<State>, address: SocketAddr, inventory: &Inventory) {
    let snapshot = state.tables.current();
    for replica in &inventory.tables {
        let local = snapshot.cell(&replica.cell).map(|table| table.token);
        if local.is_none_or(|local| local < replica.token) {
            fetch(state, address, &replica.cell);
        }
    }
    for version in &inventory.intents {
        let local = snapshot
            .intent(&version.service)
            .map(|confirmed| confirmed.version);
        if local.is_none_or(|local| local < version.version) {
            fetch(state, address, &version.service);
        }
    }
}

/// Fetches the table and intent of a service from a peer, unless a fetch of that service is
/// already running.
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
        let response = peer::call(&pool, &state.secret, path, &message, FETCH_TIMEOUT).await;
        let mut fetching = state.fetching.lock().unwrap();
        if let Ok(index) = fetching.binary_search(&service) {
            fetching.remove(index);
        }
        drop(fetching);
        adopt_fetched(&state, response);
    });
}

/// Adopts the fetched table and intent if they are newer than the local ones.
fn adopt_fetched(state: &State, response: Result<Fetched, peer::Error>) {
    let Ok(fetched) = response else { return };
    if let Some(confirmed) = fetched.intent {
        state.adopt_intent(confirmed);
    }
    if let Some(table) = fetched.cell {
        state.adopt_cell(table);
    }
}

/// Sends a new table or intent to all known peers in parallel.
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
            // If this fails, the peer fetches it after the next heartbeat.
            let _: Result<(), _> =
                peer::call_encoded(&pool, secret, path, message, PUSH_TIMEOUT).await;
        });
    }
}
