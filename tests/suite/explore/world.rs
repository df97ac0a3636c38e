//! The small world that the search explores: its states and steps.

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
        Table as CoreTable, //
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

const NODES: usize = 4;
const PLANNERS: usize = 2;
const ENDPOINTS: usize = 2;
pub const SHARD: u32 = 0;

/// A grant lasts two ticks, and a lapse a little more.
const TICK_US: u64 = 310_000;

/// How long a process that is taken for silent was not heard.
const SILENT_FOR_US: u64 = 1_000_000;

/// Ticks in one schedule.
const TICKS: u64 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Store {
    /// The answer comes.
    Answers,
    /// The update takes effect but the answer is lost.
    LosesAnswer,
    /// The update takes effect later, if it still may.
    ActsLate,
}

/// Which faults a search may use besides pauses, suspicions and takeovers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scope {
    pub name: &'static str,
    pub late_orders: bool,
    pub late_updates: bool,
    pub node_restart: bool,
    pub endpoint_restart: bool,
    pub leave: bool,
    pub replace: bool,
    pub takeover: bool,
    pub both_ways: bool,
    pub work: bool,
    /// Steps that lead to where the search begins.
    pub prefix: &'static [Action],
}

/// Every fault at once.
pub const ALL: Scope = Scope {
    name: "all",
    late_orders: true,
    late_updates: true,
    node_restart: true,
    endpoint_restart: true,
    leave: true,
    replace: true,
    takeover: true,
    both_ways: true,
    work: true,
    prefix: &[],
};

/// A table with a digest made once.
#[derive(Debug)]
pub struct Table {
    pub cell: CoreTable,
    pub digest: u64,
}

impl Deref for Table {
    type Target = CoreTable;

    fn deref(&self) -> &CoreTable {
        &self.cell
    }
}

fn table(mut cell: CoreTable) -> Arc<Table> {
    cell.trail.clear();
    cell.write_id = 0;
    let digest = xxh3_64(format!("{cell:?}").as_bytes());
    Arc::new(Table { cell, digest })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Tick,
    Renew(usize, usize),
    SendLate(usize, usize),
    Deliver,
    Read(usize),
    Ask(usize, usize, usize),
    Plan(usize, Option<usize>, Option<usize>, Store),
    TakeOver(usize),
    ActLate,
    RestartNode(usize),
    Learn(usize, usize),
    RestartEndpoint(usize),
    Leave(usize),
    Begin(usize),
    End(usize),
}

#[derive(Clone, Debug)]
pub struct Process {
    pub node: Node,
    pub cell: Arc<Table>,
    pub seats: Vec<Renewal>,
    pub words: Vec<Commitment>,
    pub gone: Vec<(Node, Instant)>,
}

#[derive(Clone, Debug)]
pub struct Late {
    pub expected: Token,
    pub next: Arc<Table>,
}

#[derive(Clone, Debug)]
pub struct World {
    pub now: Instant,
    pub store: Arc<Table>,
    pub late: Option<Late>,
    pub processes: Vec<Process>,
    pub holders: Vec<Holder>,
    pub flight: Option<(usize, Order)>,
    pub former: Option<Node>,
    pub node_restarts: u32,
    pub endpoint_restarts: u32,
    pub leaves: u32,
    pub work: Option<(usize, u64)>,
    pub writes: u64,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 7000 + index as u16)
}

fn confirmed() -> Record {
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

fn node(index: usize, run: u64) -> Node {
    Node {
        name: format!("n{index}").into(),
        incarnation: Incarnation(run),
    }
}

/// The shard is owned by the first endpoint; both are renewed by the last two processes.
pub fn start() -> World {
    let seats = vec![node(2, 1), node(3, 1)];
    let endpoints = (0..ENDPOINTS).map(|index| Endpoint {
        name: format!("e{index}").into(),
        address: address(index),
        zone: "z".into(),
        state: Lease::Held,
        incarnation: Incarnation(1),
        renewers: seats.clone(),
        retired: Vec::new(),
    });
    let mut owners = Owners::new(1);
    owners.set(shard::Shard(SHARD), Some(Index(0)));
    let cell = table(CoreTable {
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
        let mut seats = Vec::new();
        renewal::apply_table(&mut seats, &cell, &me, now);
        Process {
            node: me,
            cell: Arc::clone(&cell),
            seats,
            words: Vec::new(),
            gone: Vec::new(),
        }
    });
    let mut world = World {
        now,
        store: Arc::clone(&cell),
        late: None,
        processes: processes.collect(),
        holders: vec![Holder::new(Incarnation(1)), Holder::new(Incarnation(1))],
        flight: None,
        former: None,
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

pub fn actions(world: &World, scope: &Scope) -> Vec<Action> {
    let mut actions = Vec::new();
    if world.now.0 < 10_000_000 + TICKS * TICK_US {
        actions.push(Action::Tick);
    }
    for (index, process) in world.processes.iter().enumerate() {
        for seat in &process.seats {
            let endpoint = usize::from(seat.endpoint.0);
            if !seat.is_stopped {
                actions.push(Action::Renew(index, endpoint));
                if scope.late_orders && world.flight.is_none() && seat.stamp.is_some() {
                    actions.push(Action::SendLate(index, endpoint));
                }
            }
        }
        if process.cell.token < world.store.token {
            actions.push(Action::Read(index));
        }
    }
    for planner in 0..PLANNERS {
        planner_actions(world, scope, planner, &mut actions);
    }
    if world.flight.is_some() {
        actions.push(Action::Deliver);
    }
    if world.late.is_some() {
        actions.push(Action::ActLate);
    }
    if scope.node_restart && world.node_restarts == 0 {
        actions.push(Action::RestartNode(2));
    }
    for endpoint in 0..ENDPOINTS {
        if scope.endpoint_restart && world.endpoint_restarts == 0 {
            actions.push(Action::RestartEndpoint(endpoint));
        }
        if scope.leave && world.leaves == 0 {
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
    if process.cell.planner != process.node {
        if scope.takeover {
            actions.push(Action::TakeOver(planner));
        }
        return;
    }
    let stores = [Store::Answers, Store::LosesAnswer, Store::ActsLate];
    actions.push(Action::Plan(planner, None, None, Store::Answers));
    let suspects = if scope.both_ways { ENDPOINTS } else { 1 };
    for endpoint in 0..suspects {
        for store in stores {
            let is_late = store == Store::ActsLate && world.late.is_some();
            if store == Store::Answers || scope.late_updates && !is_late {
                actions.push(Action::Plan(planner, Some(endpoint), None, store));
            }
        }
        let found = process.cell.endpoint(Index(endpoint as u16));
        let retired = found.retired.iter().map(|retired| &retired.node);
        for node in found.renewers.iter().chain(retired) {
            let processes = world.processes.iter();
            let asked = processes
                .enumerate()
                .find(|(_, process)| process.node == *node);
            if let Some((asked, _)) = asked {
                actions.push(Action::Ask(planner, asked, endpoint));
            }
        }
    }
    if scope.replace {
        actions.push(Action::Plan(planner, None, Some(2), Store::Answers));
    }
    if let Some(former) = &world.former {
        if !process.gone.iter().any(|(node, _)| node == former) {
            actions.push(Action::Learn(planner, 2));
        }
    }
}

fn adopt(process: &mut Process, cell: &Arc<Table>, now: Instant) {
    if process.cell.token >= cell.token {
        return;
    }
    process.cell = Arc::clone(cell);
    process.words.clear();
    renewal::apply_table(&mut process.seats, cell, &process.node, now);
}

/// Takes a step; none if nothing would come of it.
pub fn step(world: &World, action: Action) -> Option<World> {
    let mut next = world.clone();
    let now = world.now;
    match action {
        Action::Tick => next.now = Instant(now.0 + TICK_US),
        Action::Renew(process, endpoint) => renew(&mut next, process, endpoint),
        Action::SendLate(process, endpoint) => {
            let seat = find_seat(&mut next.processes[process], endpoint)?;
            let mut order = seat.order(LEASE_DURATION)?;
            order.shards = Some(seat.shards.clone());
            next.flight = Some((endpoint, order));
        }
        Action::Deliver => {
            let (endpoint, order) = next.flight.take()?;
            next.holders[endpoint].obey(&order, now).ok()?;
        }
        Action::Read(process) => {
            let store = Arc::clone(&next.store);
            adopt(&mut next.processes[process], &store, now);
        }
        Action::Ask(planner, asked, endpoint) => ask(&mut next, planner, asked, endpoint)?,
        Action::Plan(planner, suspect, silent, store) => {
            plan(&mut next, planner, suspect, silent, store)?;
        }
        Action::TakeOver(planner) => {
            let me = next.processes[planner].node.clone();
            if next.store.planner == me {
                return None;
            }
            next.writes += 1;
            let cell = planner::take_over(&next.store, &me, next.writes, 0);
            put(&mut next, planner, cell, Store::Answers);
        }
        Action::ActLate => {
            let late = next.late.take()?;
            if late.expected == next.store.token {
                next.store = late.next;
            }
        }
        Action::RestartNode(process) => {
            next.node_restarts += 1;
            next.former = Some(next.processes[process].node.clone());
            next.processes[process] = Process {
                node: node(process, 2),
                cell: Arc::clone(&next.store),
                seats: Vec::new(),
                words: Vec::new(),
                gone: Vec::new(),
            };
        }
        Action::Learn(planner, _) => {
            let former = next.former.clone()?;
            next.processes[planner].gone.push((former, now));
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
            let number = next.holders[endpoint].begin(SHARD, fence, now).ok()?;
            next.work = Some((endpoint, number));
        }
        Action::End(endpoint) => {
            let (_, number) = next.work.take()?;
            next.holders[endpoint].end(number);
        }
    }
    Some(next)
}

fn find_seat(process: &mut Process, endpoint: usize) -> Option<&mut Renewal> {
    let mut seats = process.seats.iter_mut();
    seats.find(|seat| usize::from(seat.endpoint.0) == endpoint)
}

/// Sends an order and takes in its answer; without a stamp it only asks for one.
fn renew(world: &mut World, process: usize, endpoint: usize) {
    let now = world.now;
    let holder = &mut world.holders[endpoint];
    let Some(seat) = find_seat(&mut world.processes[process], endpoint) else {
        return;
    };
    let obeyed = seat.order(LEASE_DURATION).and_then(|mut order| {
        order.shards = Some(seat.shards.clone());
        holder.obey(&order, now).ok().map(|()| order.token)
    });
    let answer = holder.answer(now);
    seat.on_answer(&answer, obeyed, now);
    // When it was heard decides who is suspected, which the search does anyway.
    seat.heard = Instant::default();
}

fn ask(world: &mut World, planner: usize, asked: usize, endpoint: usize) -> Option<()> {
    let cell = Arc::clone(&world.processes[planner].cell);
    let key = Index(endpoint as u16);
    let incarnation = cell.endpoint(key).incarnation;
    let now = world.now;
    let process = &mut world.processes[asked];
    let node = process.node.clone();
    let held = process.cell.token;
    let seats = &mut process.seats;
    let word = renewal::promise_stop(seats, held, cell.token, key, incarnation, now)?;
    let given = Commitment {
        node,
        promise: word,
        received: now,
    };
    let words = &mut world.processes[planner].words;
    words.retain(|known| known.node != given.node || known.promise.endpoint != key);
    words.push(given);
    Some(())
}

fn plan(
    world: &mut World,
    planner: usize,
    suspect: Option<usize>,
    silent: Option<usize>,
    store: Store,
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
        let heard = if Some(index) == silent {
            Instant(now.0 - SILENT_FOR_US)
        } else {
            now
        };
        view.record_heartbeat(peer(index, &other.node), heard);
    }
    view.set_frequent_peers(|_| true, Instant(now.0 - SILENT_FOR_US));
    for (gone, learned) in &process.gone {
        view.mark_gone(gone.clone(), *learned);
    }
    let mut reports = Vec::new();
    for other in &world.processes {
        for seat in &other.seats {
            let mut report = seat.report(now);
            report.silent = Some(usize::from(seat.endpoint.0)) == suspect;
            reports.push(Observation {
                node: other.node.clone(),
                report,
            });
        }
    }
    let absent = process
        .cell
        .indexed_endpoints()
        .filter(|(_, found)| found.state == Lease::Absent);
    let probes: Vec<Probe> = absent
        .map(|(key, _)| Probe {
            endpoint: key,
            answer: world.holders[usize::from(key.0)].answer(now),
        })
        .collect();
    let intent = confirmed();
    let facts = Inputs {
        now,
        wall_clock_ms: 0,
        write_id: world.writes + 1,
        view: &view,
        may_suspect_peers: true,
        intent: &intent,
        reports: &reports,
        stop_promises: &process.words,
        probes: &probes,
    };
    let cell = planner::decide(&process.cell, &facts).next?;
    world.writes += 1;
    put(world, planner, cell, store);
    Some(())
}

/// Updates the store on the condition that it holds the planner's table.
fn put(world: &mut World, planner: usize, next: CoreTable, store: Store) {
    let next = table(next);
    let taking_over = next.token.epoch > world.processes[planner].cell.token.epoch;
    let expected = if taking_over {
        world.store.token
    } else {
        world.processes[planner].cell.token
    };
    if store == Store::ActsLate {
        world.late = Some(Late { expected, next });
        return;
    }
    if expected == world.store.token {
        world.store = Arc::clone(&next);
        if store == Store::Answers {
            adopt(&mut world.processes[planner], &next, world.now);
        }
    }
}

/// Names the rule that a state breaks.
pub fn violation(world: &World) -> Option<String> {
    if let Some(text) = world.store.invariant_violation() {
        return Some(text.into());
    }
    let owns = |index: &usize| {
        let holder = &world.holders[*index];
        let holds = holder.shards().contains(&SHARD) && world.now < holder.expires();
        let works = world.work.is_some_and(|(worker, number)| {
            worker == *index && holder.may_commit(number, world.now)
        });
        holds || works
    };
    let owners: Vec<usize> = (0..ENDPOINTS).filter(owns).collect();
    (owners.len() > 1).then(|| "both endpoints own the shard".into())
}
