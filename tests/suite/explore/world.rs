//! Model of a small system for the state-space search: its states and actions.

use emulator::holder::Holder;
use rhubarbpick::core::{
    intent::{
        self,
        Class,
        Intent,
        Record, //
    },
    membership::{
        Peer,
        View, //
    },
    planner::{
        self,
        Commitment,
        Inputs,
        Observation,
        Probe, //
    },
    renewal::{
        self,
        Order,
        Renewal, //
    },
    shard,
    table::{
        Endpoint,
        Incarnation,
        Index,
        Lease,
        Node,
        Owners,
        Table, //
    },
    time::{
        Instant,
        LEASE_DURATION, //
    },
    token::Token,
};
use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    ops::Deref,
    sync::Arc, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Number of processes.
const NODES: usize = 4;

/// Number of processes, counted from the first, that can be planners.
const PLANNERS: usize = 2;

const ENDPOINTS: usize = 2;

/// The only shard.
pub const SHARD: u32 = 0;

/// Duration of a tick. Two ticks exceed the lease duration of 600 ms and also its
/// expiry bound of 610.6 ms.
const TICK_US: u64 = 310_000;

/// Time since the last heartbeat of a process that is treated as silent.
const SILENT_FOR_US: u64 = 1_000_000;

/// Maximum number of ticks in a schedule.
const TICKS: u64 = 4;

/// How a conditional update of the store takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Write {
    /// The update takes effect and the response arrives.
    Acknowledged,
    /// The update takes effect but the response is lost.
    ResponseLost,
    /// The update reaches the store later, and takes effect if its condition still holds.
    Delayed,
}

/// Events that a search may use in addition to pauses and suspicions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scope {
    pub name: &'static str,
    /// An order may be delivered late.
    pub delayed_orders: bool,
    /// Updates of the store may be delayed or lose their responses.
    pub delayed_updates: bool,
    /// A renewer may restart.
    pub node_restart: bool,
    /// An endpoint may restart.
    pub endpoint_restart: bool,
    /// An endpoint may ask to leave.
    pub endpoint_leave: bool,
    /// A planner may replace a renewer.
    pub replace_renewer: bool,
    /// Another planner may take over.
    pub takeover: bool,
    /// Planners may suspect both endpoints, so that the shard can move back.
    pub suspect_both: bool,
    /// An endpoint may run a request on the shard.
    pub work: bool,
    /// Actions that lead to the initial state of the search.
    pub prefix: &'static [Action],
}

/// All events.
pub const ALL: Scope = Scope {
    name: "all",
    delayed_orders: true,
    delayed_updates: true,
    node_restart: true,
    endpoint_restart: true,
    endpoint_leave: true,
    replace_renewer: true,
    takeover: true,
    suspect_both: true,
    work: true,
    prefix: &[],
};

/// A table with its digest, which is computed only once.
#[derive(Debug)]
pub struct Snapshot {
    pub table: Table,
    pub digest: u64,
}

impl Deref for Snapshot {
    type Target = Table;

    fn deref(&self) -> &Table {
        &self.table
    }
}

fn snapshot(mut table: Table) -> Arc<Snapshot> {
    table.trail.clear();
    table.write_id = 0;
    let digest = xxh3_64(format!("{table:?}").as_bytes());
    Arc::new(Snapshot { table, digest })
}

/// One step of a schedule; processes and endpoints are given by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Time passes.
    Tick,
    /// A process renews the lease of an endpoint.
    Renew(usize, usize),
    /// A process sends an order to an endpoint, to be delivered later.
    SendDelayed(usize, usize),
    /// The delayed order is delivered.
    DeliverDelayed,
    /// A process reads the table from the store.
    ReadTable(usize),
    /// A planner requests a renewer's promise to stop renewing an endpoint.
    RequestPromise(usize, usize, usize),
    /// A planner decides and writes its table; optionally an endpoint is suspected or a
    /// process is silent.
    Plan(usize, Option<usize>, Option<usize>, Write),
    /// A process takes over as planner.
    TakeOver(usize),
    /// The delayed update reaches the store.
    ApplyDelayed,
    /// A process restarts.
    RestartNode(usize),
    /// A planner learns that the former incarnation of a process is gone.
    LearnGone(usize, usize),
    /// An endpoint restarts.
    RestartEndpoint(usize),
    /// An endpoint asks to leave.
    Leave(usize),
    /// An endpoint begins a request on the shard.
    Begin(usize),
    /// An endpoint ends its request.
    End(usize),
}

/// A process and its knowledge.
#[derive(Clone, Debug)]
pub struct Process {
    pub node: Node,
    pub table: Arc<Snapshot>,
    pub renewals: Vec<Renewal>,
    pub commitments: Vec<Commitment>,
    pub gone: Vec<(Node, Instant)>,
}

/// A conditional update that has not reached the store yet.
#[derive(Clone, Debug)]
pub struct Update {
    pub expected: Token,
    pub next: Arc<Snapshot>,
}

/// State of the whole system.
#[derive(Clone, Debug)]
pub struct World {
    pub now: Instant,
    pub store: Arc<Snapshot>,
    pub delayed_update: Option<Update>,
    pub processes: Vec<Process>,
    pub holders: Vec<Holder>,
    pub delayed_order: Option<(usize, Order)>,
    pub ended_node: Option<Node>,
    pub node_restarts: u32,
    pub endpoint_restarts: u32,
    pub leaves: u32,
    pub work: Option<(usize, u64)>,
    pub writes: u64,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 7000 + index as u16)
}

fn record() -> Record {
    let endpoints = (0..ENDPOINTS).map(|index| intent::Endpoint {
        name: format!("e{index}").into(),
        address: address(index),
        zone: "z".into(),
        checks_fences: true,
    });
    Record {
        version: 1,
        plan: "p".into(),
        by: "o".into(),
        time_ms: 0,
        intent: Intent {
            service: "s".into(),
            operator: "o".into(),
            prefix: "/s/".into(),
            shards: 1,
            slots: 1,
            connections: 1,
            endpoints: endpoints.collect(),
            classes: vec![Class {
                name: "c".into(),
                method: "GET".into(),
                suffix: "".into(),
                protected: false,
                repeatable: false,
                deadline_ms: 1,
                rank: 0,
            }],
        },
    }
}

fn node(index: usize, incarnation: u64) -> Node {
    Node {
        name: format!("n{index}").into(),
        incarnation: Incarnation(incarnation),
    }
}

/// Returns the initial state: the first endpoint owns the shard, and the last two
/// processes renew both endpoints.
pub fn start() -> World {
    let renewals = vec![node(2, 1), node(3, 1)];
    let endpoints = (0..ENDPOINTS).map(|index| Endpoint {
        name: format!("e{index}").into(),
        address: address(index),
        zone: "z".into(),
        state: Lease::Held,
        incarnation: Incarnation(1),
        renewers: renewals.clone(),
        retired: Vec::new(),
    });
    let mut owners = Owners::new(1);
    owners.set(shard::Shard(SHARD), Some(Index(0)));
    let table = snapshot(Table {
        name: "s".into(),
        token: Token {
            epoch: 1,
            version: 1,
        },
        write_id: 1,
        planner: node(0, 1),
        intent: 1,
        endpoints: endpoints.collect(),
        owners,
        transits: Vec::new(),
        trail: Vec::new(),
        trail_paged: 0,
    });
    let now = Instant(10_000_000);
    let processes = (0..NODES).map(|index| {
        let me = node(index, 1);
        let mut renewals = Vec::new();
        renewal::apply_table(&mut renewals, &table, &me, now);
        Process {
            node: me,
            table: Arc::clone(&table),
            renewals,
            commitments: Vec::new(),
            gone: Vec::new(),
        }
    });
    let mut world = World {
        now,
        store: Arc::clone(&table),
        delayed_update: None,
        processes: processes.collect(),
        holders: vec![Holder::new(Incarnation(1)), Holder::new(Incarnation(1))],
        delayed_order: None,
        ended_node: None,
        node_restarts: 0,
        endpoint_restarts: 0,
        leaves: 0,
        work: None,
        writes: 1,
    };
    for process in 2..NODES {
        for endpoint in 0..ENDPOINTS {
            renew(&mut world, process, endpoint);
            renew(&mut world, process, endpoint);
        }
    }
    world
}

/// Lists the actions that are possible in a state and allowed by `scope`.
pub fn actions(world: &World, scope: &Scope) -> Vec<Action> {
    let mut actions = Vec::new();
    if world.now.0 < 10_000_000 + TICKS * TICK_US {
        actions.push(Action::Tick);
    }
    for (index, process) in world.processes.iter().enumerate() {
        for renewal in &process.renewals {
            let endpoint = usize::from(renewal.endpoint.0);
            if !renewal.is_stopped {
                actions.push(Action::Renew(index, endpoint));
                if scope.delayed_orders && world.delayed_order.is_none() && renewal.stamp.is_some()
                {
                    actions.push(Action::SendDelayed(index, endpoint));
                }
            }
        }
        if process.table.token < world.store.token {
            actions.push(Action::ReadTable(index));
        }
    }
    for planner in 0..PLANNERS {
        planner_actions(world, scope, planner, &mut actions);
    }
    if world.delayed_order.is_some() {
        actions.push(Action::DeliverDelayed);
    }
    if world.delayed_update.is_some() {
        actions.push(Action::ApplyDelayed);
    }
    if scope.node_restart && world.node_restarts == 0 {
        actions.push(Action::RestartNode(2));
    }
    for endpoint in 0..ENDPOINTS {
        if scope.endpoint_restart && world.endpoint_restarts == 0 {
            actions.push(Action::RestartEndpoint(endpoint));
        }
        if scope.endpoint_leave && world.leaves == 0 {
            actions.push(Action::Leave(endpoint));
        }
        if scope.work && world.work.is_none() {
            actions.push(Action::Begin(endpoint));
        }
    }
    if let Some((endpoint, _)) = world.work {
        actions.push(Action::End(endpoint));
    }
    actions
}

fn planner_actions(world: &World, scope: &Scope, planner: usize, actions: &mut Vec<Action>) {
    let process = &world.processes[planner];
    if process.table.planner != process.node {
        if scope.takeover {
            actions.push(Action::TakeOver(planner));
        }
        return;
    }
    let writes = [Write::Acknowledged, Write::ResponseLost, Write::Delayed];
    actions.push(Action::Plan(planner, None, None, Write::Acknowledged));
    let suspects = if scope.suspect_both { ENDPOINTS } else { 1 };
    for endpoint in 0..suspects {
        for write in writes {
            let is_second = write == Write::Delayed && world.delayed_update.is_some();
            if write == Write::Acknowledged || scope.delayed_updates && !is_second {
                actions.push(Action::Plan(planner, Some(endpoint), None, write));
            }
        }
        let entry = process.table.endpoint(Index(endpoint as u16));
        let retired = entry.retired.iter().map(|retired| &retired.node);
        for node in entry.renewers.iter().chain(retired) {
            let processes = world.processes.iter();
            let found = processes
                .enumerate()
                .find(|(_, process)| process.node == *node);
            if let Some((renewer, _)) = found {
                actions.push(Action::RequestPromise(planner, renewer, endpoint));
            }
        }
    }
    if scope.replace_renewer {
        actions.push(Action::Plan(planner, None, Some(2), Write::Acknowledged));
    }
    if let Some(ended) = &world.ended_node {
        if !process.gone.iter().any(|(node, _)| node == ended) {
            actions.push(Action::LearnGone(planner, 2));
        }
    }
}

fn read_table(process: &mut Process, table: &Arc<Snapshot>, now: Instant) {
    if process.table.token >= table.token {
        return;
    }
    process.table = Arc::clone(table);
    process.commitments.clear();
    renewal::apply_table(&mut process.renewals, table, &process.node, now);
}

/// Returns the state after an action, or `None` if the action has no effect.
pub fn step(world: &World, action: Action) -> Option<World> {
    let mut next = world.clone();
    let now = world.now;
    match action {
        Action::Tick => next.now = Instant(now.0 + TICK_US),
        Action::Renew(process, endpoint) => renew(&mut next, process, endpoint),
        Action::SendDelayed(process, endpoint) => {
            let renewal = find_renewal(&mut next.processes[process], endpoint)?;
            let mut order = renewal.order(LEASE_DURATION)?;
            order.shards = Some(renewal.shards.clone());
            next.delayed_order = Some((endpoint, order));
        }
        Action::DeliverDelayed => {
            let (endpoint, order) = next.delayed_order.take()?;
            next.holders[endpoint].apply(&order, now).ok()?;
        }
        Action::ReadTable(process) => {
            let store = Arc::clone(&next.store);
            read_table(&mut next.processes[process], &store, now);
        }
        Action::RequestPromise(planner, renewer, endpoint) => {
            request_promise(&mut next, planner, renewer, endpoint)?
        }
        Action::Plan(planner, suspect, silent, write) => {
            plan(&mut next, planner, suspect, silent, write)?;
        }
        Action::TakeOver(planner) => {
            let me = next.processes[planner].node.clone();
            if next.store.planner == me {
                return None;
            }
            next.writes += 1;
            let table = planner::take_over(&next.store, &me, next.writes, 0);
            write_table(&mut next, planner, table, Write::Acknowledged);
        }
        Action::ApplyDelayed => {
            let update = next.delayed_update.take()?;
            if update.expected == next.store.token {
                next.store = update.next;
            }
        }
        Action::RestartNode(process) => {
            next.node_restarts += 1;
            next.ended_node = Some(next.processes[process].node.clone());
            next.processes[process] = Process {
                node: node(process, 2),
                table: Arc::clone(&next.store),
                renewals: Vec::new(),
                commitments: Vec::new(),
                gone: Vec::new(),
            };
        }
        Action::LearnGone(planner, _) => {
            let ended = next.ended_node.clone()?;
            next.processes[planner].gone.push((ended, now));
        }
        Action::RestartEndpoint(endpoint) => {
            next.endpoint_restarts += 1;
            next.holders[endpoint] = Holder::new(Incarnation(2));
            next.work = next.work.filter(|&(worker, _)| worker != endpoint);
        }
        Action::Leave(endpoint) => {
            next.leaves += 1;
            next.holders[endpoint].leave();
        }
        Action::Begin(endpoint) => {
            let fence = next.store.token;
            let number = next.holders[endpoint].begin_work(SHARD, fence, now).ok()?;
            next.work = Some((endpoint, number));
        }
        Action::End(endpoint) => {
            let (_, number) = next.work.take()?;
            next.holders[endpoint].end_work(number);
        }
    }
    Some(next)
}

fn find_renewal(process: &mut Process, endpoint: usize) -> Option<&mut Renewal> {
    let mut renewals = process.renewals.iter_mut();
    renewals.find(|renewal| usize::from(renewal.endpoint.0) == endpoint)
}

/// Sends an order and records its answer; without a stamp it only requests one.
fn renew(world: &mut World, process: usize, endpoint: usize) {
    let now = world.now;
    let holder = &mut world.holders[endpoint];
    let Some(renewal) = find_renewal(&mut world.processes[process], endpoint) else {
        return;
    };
    let accepted = renewal.order(LEASE_DURATION).and_then(|mut order| {
        order.shards = Some(renewal.shards.clone());
        holder.apply(&order, now).ok().map(|()| order.token)
    });
    let answer = holder.answer(now);
    renewal.on_answer(&answer, accepted, now);
    // The time of the last answer only determines suspicion, which the search sets
    // itself, so it is kept out of the state.
    renewal.last_heard = Instant::default();
}

fn request_promise(
    world: &mut World,
    planner: usize,
    renewer: usize,
    endpoint: usize,
) -> Option<()> {
    let table = Arc::clone(&world.processes[planner].table);
    let index = Index(endpoint as u16);
    let incarnation = table.endpoint(index).incarnation;
    let now = world.now;
    let process = &mut world.processes[renewer];
    let node = process.node.clone();
    let held = process.table.token;
    let renewals = &mut process.renewals;
    let promise = renewal::promise_stop(renewals, held, table.token, index, incarnation, now)?;
    let commitment = Commitment {
        node,
        promise,
        received: now,
    };
    let commitments = &mut world.processes[planner].commitments;
    commitments.retain(|known| known.node != commitment.node || known.promise.endpoint != index);
    commitments.push(commitment);
    Some(())
}

fn plan(
    world: &mut World,
    planner: usize,
    suspect: Option<usize>,
    silent: Option<usize>,
    write: Write,
) -> Option<()> {
    let now = world.now;
    let process = &world.processes[planner];
    let peer = |index: usize, node: &Node| Peer {
        node: node.clone(),
        address: address(100 + index),
        zone: format!("z{index}").into(),
        leaving: false,
    };
    let mut view = View::new(peer(planner, &process.node));
    for (index, other) in world.processes.iter().enumerate() {
        let last_heard = if Some(index) == silent {
            Instant(now.0 - SILENT_FOR_US)
        } else {
            now
        };
        view.record_heartbeat(peer(index, &other.node), last_heard);
    }
    view.set_frequent_peers(|_| true, Instant(now.0 - SILENT_FOR_US));
    for (gone, learned_at) in &process.gone {
        view.mark_gone(gone.clone(), *learned_at);
    }
    let mut reports = Vec::new();
    for other in &world.processes {
        for renewal in &other.renewals {
            let mut report = renewal.report(now);
            report.silent = Some(usize::from(renewal.endpoint.0)) == suspect;
            reports.push(Observation {
                node: other.node.clone(),
                report,
            });
        }
    }
    let absent = process
        .table
        .indexed_endpoints()
        .filter(|(_, found)| found.state == Lease::Absent);
    let probes: Vec<Probe> = absent
        .map(|(index, _)| Probe {
            endpoint: index,
            answer: world.holders[usize::from(index.0)].answer(now),
        })
        .collect();
    let intent = record();
    let inputs = Inputs {
        now,
        wall_clock_ms: 0,
        write_id: world.writes + 1,
        view: &view,
        may_suspect_peers: true,
        intent: &intent,
        reports: &reports,
        stop_promises: &process.commitments,
        probes: &probes,
    };
    let table = planner::decide(&process.table, &inputs).next?;
    world.writes += 1;
    write_table(world, planner, table, write);
    Some(())
}

/// Updates the store on condition that it still holds the planner's table, or, for a
/// takeover, the table that was taken over.
fn write_table(world: &mut World, planner: usize, next: Table, write: Write) {
    let next = snapshot(next);
    let is_takeover = next.token.epoch > world.processes[planner].table.token.epoch;
    let expected = if is_takeover {
        world.store.token
    } else {
        world.processes[planner].table.token
    };
    if write == Write::Delayed {
        world.delayed_update = Some(Update { expected, next });
        return;
    }
    if expected == world.store.token {
        world.store = Arc::clone(&next);
        if write == Write::Acknowledged {
            read_table(&mut world.processes[planner], &next, world.now);
        }
    }
}

/// Returns a description of the invariant that a state violates, if any.
pub fn violation(world: &World) -> Option<String> {
    if let Some(text) = world.store.invariant_violation() {
        return Some(text.into());
    }
    let owns = |index: &usize| {
        let holder = &world.holders[*index];
        let has_lease = holder.shards().contains(&SHARD) && world.now < holder.expires();
        let can_commit = world.work.is_some_and(|(worker, number)| {
            worker == *index && holder.may_commit(number, world.now)
        });
        has_lease || can_commit
    };
    let owners: Vec<usize> = (0..ENDPOINTS).filter(owns).collect();
    (owners.len() > 1).then(|| "both endpoints own the shard".into())
}
