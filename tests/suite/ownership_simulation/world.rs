//! A platform in memory: a store, endpoints and planners that speak over a
//! network that delays, loses and repeats.
//!
//! Time is simulated, so a schedule of a minute takes milliseconds. After each
//! event the world checks that no key is held by two endpoints that are up.

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use rhubarbpick::core::{
    ownership::{
        Action,
        Claim,
        Completion,
        Grant,
        Outcome,
        Planner,
        Release,
        Table,
        ORDER_TIMEOUT, //
    },
    rebalance::Rates,
    registry::Endpoint,
    time::Instant,
};
use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::Arc,
    time::Duration, //
};

/// Longest hold that the platform allows.
const HOLD_MAX: Duration = Duration::from_secs(10);

/// How often planners tick.
const TICK: Duration = Duration::from_millis(25);

/// Time after which nothing granted before is left, in microseconds.
const LONG_AGO_US: u64 = 60_000_000;

/// VMs.
const VMS: usize = 3;

/// Keys at which ownership is checked: ends and middles of likely ranges.
const SAMPLES: usize = 64;

/// Rules that can be broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// None.
    Nothing,
    /// A new planner takes holds of the old one for over at once.
    ForeignHolds,
    /// A hold is counted as if its clock were exact and its way took no time.
    HoldFromSending,
    /// A planner grants however old its claim is.
    ClaimIgnored,
    /// Releases carry a fence below that of the grant.
    ReleaseFence,
    /// A new planner knows only of the one just before it.
    EarlierForgotten,
    /// A grant counts as arrived in the usual time, whenever its answer came.
    LatenessIgnored,
    /// A planner takes any word that an earlier one grants no more for the last.
    YieldUnchecked,
}

/// What goes wrong in a schedule, as chances.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// An order gets no answer and is carried out seconds later.
    pub late_order: f64,
    /// An order, or its answer, is lost.
    pub lost_order: f64,
    /// A write of the store gets no answer; half of these are done later.
    pub lost_write: f64,
    /// In each second: an endpoint crashes.
    pub crash: f64,
    /// In each second: the planner pauses, and another takes the claim.
    pub pause: f64,
    /// In each second: the store goes down for some seconds.
    pub outage: f64,
    /// In each second: an endpoint leaves, or comes.
    pub churn: f64,
    /// In each second: an endpoint is cut off from one planner or from both.
    pub cut: f64,
    /// Longest such cut, in milliseconds.
    pub cut_max_ms: u64,
    /// In each second: a VM is cut off from the store for some seconds, and
    /// another takes the claim.
    pub apart: f64,
    /// In each second: the planner's process is lost and started again.
    pub restart: f64,
    /// An order is sent, or its answer read, some tenths of a second late, as
    /// on a VM that is short of processor time.
    pub starved: f64,
}

#[derive(Clone, Debug)]
struct Hold {
    from: u16,
    to: u16,
    fence: u64,
    until: Instant,
}

#[derive(Clone, Debug)]
struct Server {
    endpoint: Arc<Endpoint>,
    is_up: bool,
    is_listed: bool,
    cut_until: Instant,
    /// VMs that cannot reach it.
    cut_vms: [bool; VMS],
    holds: Vec<Hold>,
    seen: Vec<(u16, u16, u64)>,
    slow: f64,
}

impl Server {
    fn fence_seen(&self, from: u16, to: u16) -> u64 {
        let overlapping = self.seen.iter().filter(|(a, b, _)| *a <= to && from <= *b);
        overlapping.map(|&(_, _, fence)| fence).max().unwrap_or(0)
    }

    fn cut_holds(&mut self, from: u16, to: u16) {
        let mut kept = Vec::new();
        for hold in self.holds.drain(..) {
            if hold.to < from || to < hold.from {
                kept.push(hold);
                continue;
            }
            if hold.from < from {
                kept.push(Hold {
                    to: from - 1,
                    ..hold.clone()
                });
            }
            if hold.to > to {
                kept.push(Hold {
                    from: to + 1,
                    ..hold
                });
            }
        }
        self.holds = kept;
    }

    fn grant(&mut self, grant: &Grant, arrived: Instant, now: Instant) -> Outcome {
        if self.fence_seen(grant.from, grant.to) > grant.fence {
            return Outcome::Fenced;
        }
        self.seen.push((grant.from, grant.to, grant.fence));
        let until = arrived.after(grant.duration.mul_f64(self.slow));
        if until > now {
            self.cut_holds(grant.from, grant.to);
            self.holds.push(Hold {
                from: grant.from,
                to: grant.to,
                fence: grant.fence,
                until,
            });
        }
        Outcome::Done(None)
    }

    fn release(&mut self, order: Release) -> Outcome {
        self.seen.push((order.from, order.to, order.fence));
        self.cut_holds(order.from, order.to);
        Outcome::Done(Some("state".into()))
    }

    fn holds(&self, key: u16, now: Instant) -> Option<u64> {
        let held = self
            .holds
            .iter()
            .find(|hold| hold.from <= key && key <= hold.to && hold.until > now);
        held.filter(|_| self.is_up).map(|hold| hold.fence)
    }
}

#[derive(Clone, Debug)]
enum Order {
    Grant(Vec<Grant>),
    Release(Release),
    Probe,
}

#[derive(Debug)]
enum Event {
    Tick(usize),
    Arrive(usize, Box<str>, Order, Instant),
    Late(Box<str>, Order, Instant),
    Answered(usize, Box<str>, Order, Vec<Completion>, Outcome),
    Written(usize, Table, Option<u64>, Instant),
    Conflict(usize),
    LateWrite(Table, u64),
    Rewrite(usize, Table, u64),
    Yield(Claim, u64),
    Second,
}

struct Queued {
    at: Instant,
    number: u64,
    event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

struct Vm {
    planner: Option<Planner>,
    paused_until: Instant,
    apart_until: Instant,
    last_tick: Instant,
    run: u64,
}

/// The platform and the planners.
pub struct World {
    rng: ChaCha8Rng,
    now: Instant,
    queue: BinaryHeap<Reverse<Queued>>,
    number: u64,
    faults: Faults,
    broken: Broken,
    servers: Vec<Server>,
    stored: Option<(Table, u64)>,
    revision: u64,
    down_until: Instant,
    vms: Vec<Vm>,
    heat: Rates,
    born: u64,
    is_changed: bool,
    /// What broke, if anything did.
    pub failure: Option<String>,
    /// Keys that were held, of all sampled, at the last check.
    pub held: usize,
}

impl World {
    /// Starts with `count` endpoints and some VMs, one of which plans.
    pub fn new(seed: u64, count: usize, faults: Faults, broken: Broken) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant(1_000_000),
            queue: BinaryHeap::new(),
            number: 0,
            faults,
            broken,
            servers: Vec::new(),
            stored: None,
            revision: 10,
            down_until: Instant::default(),
            vms: Vec::new(),
            heat: Rates::default(),
            born: 1,
            is_changed: false,
            failure: None,
            held: 0,
        };
        for index in 0..count {
            world.add_server(format!("i-{index}"));
        }
        for index in 0..VMS as u32 {
            let now = world.now;
            world.vms.push(Vm {
                planner: None,
                paused_until: now,
                apart_until: now,
                last_tick: now,
                run: 1,
            });
            world.push(TICK * index, Event::Tick(index as usize));
        }
        world.push(Duration::from_secs(1), Event::Second);
        world
    }

    fn add_server(&mut self, id: String) {
        self.born += 1;
        let slow = 1.0 + self.rng.random_range(0.0..0.02);
        self.servers.push(Server {
            endpoint: Arc::new(Endpoint {
                id: id.into(),
                service: "s".into(),
                address: "10.0.0.1:80".parse().unwrap(),
                zone: "a".into(),
                slots: 2,
                is_leaving: false,
                cold_ms: 0,
                born: self.born,
            }),
            is_up: true,
            is_listed: true,
            cut_until: Instant::default(),
            cut_vms: [false; VMS],
            holds: Vec::new(),
            seen: Vec::new(),
            slow,
        });
        self.servers
            .sort_by(|a, b| a.endpoint.id.cmp(&b.endpoint.id));
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.number += 1;
        let queued = Queued {
            at: self.now.after(after),
            number: self.number,
            event,
        };
        self.queue.push(Reverse(queued));
    }

    fn chance(&mut self, chance: f64) -> bool {
        self.rng.random_bool(chance.min(1.0))
    }

    fn way(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..4_000))
    }

    /// Runs for `span`; stops at the first failure.
    pub fn run(&mut self, span: Duration) {
        let end = self.now.after(span);
        while self.failure.is_none() {
            let Some(Reverse(queued)) = self.queue.pop() else {
                return;
            };
            if queued.at > end {
                self.queue.push(Reverse(queued));
                self.now = end;
                self.check();
                return;
            }
            self.now = queued.at;
            self.step(queued.event);
            if std::mem::take(&mut self.is_changed) {
                self.check();
            }
        }
    }

    /// Ends all faults.
    pub fn calm(&mut self) {
        self.faults = CALM;
        self.down_until = self.now;
        for _ in 0..2 {
            // All the others may have crashed for good.
            let id = format!("i-{}", self.born + 100);
            self.add_server(id);
        }
        for server in &mut self.servers {
            server.cut_until = Instant::default();
        }
        for vm in &mut self.vms {
            vm.apart_until = self.now;
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Tick(vm) => self.tick(vm),
            Event::Second => self.second(),
            Event::Yield(claim, revision) => {
                let now = self.now;
                let is_unchecked = self.broken == Broken::YieldUnchecked;
                let revision = if is_unchecked { u64::MAX } else { revision };
                for planner in self.vms.iter_mut().filter_map(|vm| vm.planner.as_mut()) {
                    planner.on_predecessor_yielded(&claim, revision, now);
                }
            }
            Event::Arrive(vm, id, order, sent) => self.arrive(vm, &id, order, sent),
            Event::Late(id, order, arrived) => {
                self.carry_out(&id, &order, arrived);
            }
            Event::Answered(vm, id, order, granted, answer) => {
                self.answered(vm, &id, &order, &granted, &answer);
            }
            Event::Written(vm, table, revision, sent) => {
                let now = self.now;
                let Some(planner) = &mut self.vms[vm].planner else {
                    return;
                };
                match revision {
                    Some(revision) => planner.on_table_written(table, revision, sent, now),
                    None => planner.on_write_failed(now.after(Duration::from_millis(200))),
                }
            }
            Event::Conflict(vm) => self.vms[vm].planner = None,
            Event::Rewrite(vm, table, known) => self.rewrite(vm, table, known),
            Event::LateWrite(table, revision) => {
                if self
                    .stored
                    .as_ref()
                    .is_some_and(|stored| stored.1 == revision)
                {
                    self.revision += 1;
                    self.stored = Some((table, self.revision));
                }
            }
        }
    }

    fn tick(&mut self, vm: usize) {
        self.push(TICK, Event::Tick(vm));
        if self.vms[vm].paused_until > self.now {
            return;
        }
        let gap = self.now.since(self.vms[vm].last_tick);
        self.vms[vm].last_tick = self.now;
        if gap > Duration::from_millis(700) && self.broken != Broken::ClaimIgnored {
            if let Some(planner) = &mut self.vms[vm].planner {
                planner.expire_claim();
            }
        }
        if self.vms[vm].planner.is_none() {
            self.maybe_claim(vm);
            return;
        }
        self.confirm(vm);
        if self.vms[vm].planner.is_none() {
            return;
        }
        let roster: Vec<Arc<Endpoint>> = self
            .servers
            .iter()
            .filter(|server| server.is_listed)
            .map(|server| Arc::clone(&server.endpoint))
            .collect();
        let now = self.now;
        let gone: Vec<Claim> = {
            let planner = self.vms[vm].planner.as_ref().unwrap();
            let earlier = planner.table().earlier.iter();
            earlier
                .filter(|claim| self.is_gone(claim))
                .cloned()
                .collect()
        };
        let planner = self.vms[vm].planner.as_mut().unwrap();
        planner.remove_ended_predecessors(&|claim| gone.contains(claim), now);
        let steps = planner.tick(&roster, &self.heat, &|_| Some(20.0), now);
        for step in steps {
            self.start(vm, step);
        }
    }

    /// Reads the claim from the store.
    fn confirm(&mut self, vm: usize) {
        let now = self.now;
        let is_down = self.down_until > now || self.vms[vm].apart_until > now;
        let stored = self.stored.clone();
        let is_ignored = self.broken == Broken::ClaimIgnored;
        let planner = self.vms[vm].planner.as_mut().unwrap();
        if is_ignored {
            planner.confirm_claim(now);
            return;
        }
        if is_down {
            return;
        }
        match stored {
            Some((table, _)) if table.claim == planner.table().claim => planner.confirm_claim(now),
            Some((_, revision)) => {
                let planner = self.vms[vm].planner.take().unwrap();
                let claim = planner.table().claim.clone();
                // Some are lost, some held up at a VM that stands still.
                for _ in 0..self.rng.random_range(0..3) {
                    let way = Duration::from_millis(self.rng.random_range(1..9_000));
                    self.push(way, Event::Yield(claim.clone(), revision));
                }
            }
            None => self.vms[vm].planner = None,
        }
    }

    fn maybe_claim(&mut self, vm: usize) {
        let now = self.now;
        let is_alive = |other: &Vm| {
            let is_there = other.paused_until <= now && other.apart_until <= now;
            other.planner.is_some() && is_there
        };
        let is_cut_off = self.down_until > now || self.vms[vm].apart_until > now;
        if is_cut_off || self.vms.iter().any(is_alive) {
            return;
        }
        // The pause between two tries that a real VM makes.
        if !self.chance(0.1) {
            return;
        }
        let run = self.vms[vm].run;
        let claim = Claim {
            node: format!("vm-{vm}").into(),
            run,
        };
        let mut old = self.stored.as_ref().map(|(table, _)| table.clone());
        if let (Broken::EarlierForgotten, Some(old)) = (self.broken, &mut old) {
            old.earlier.clear();
        }
        let is_gone = |claim: &Claim| self.is_gone(claim);
        let mut table = Table::claimed(old.as_ref(), "s", claim, &is_gone);
        if self.broken == Broken::ForeignHolds {
            table.earlier.clear();
        }
        self.revision += 1;
        self.stored = Some((table.clone(), self.revision));
        // As if all that others granted were long over.
        let opened = match self.broken {
            Broken::ForeignHolds => Instant(now.0.saturating_sub(LONG_AGO_US)),
            _ => now,
        };
        let mut planner = Planner::new(table, self.revision, HOLD_MAX, opened);
        planner.confirm_claim(now);
        self.vms[vm].planner = Some(planner);
    }

    /// Tells whether the run of a claim has ended.
    fn is_gone(&self, claim: &Claim) -> bool {
        let mut vms = self.vms.iter().enumerate();
        vms.any(|(index, vm)| *claim.node == *format!("vm-{index}") && vm.run > claim.run)
    }

    fn start(&mut self, vm: usize, step: Action) {
        match step {
            Action::Write(table) => self.write(vm, table),
            Action::Grant(endpoint, grants) => {
                self.send(vm, &endpoint.id, Order::Grant(grants));
            }
            Action::Release(endpoint, order) => {
                let fence = match self.broken {
                    Broken::ReleaseFence => 0,
                    _ => order.fence,
                };
                let order = Release { fence, ..order };
                self.send(vm, &endpoint.id, Order::Release(order));
            }
            Action::Probe(endpoint, _) => self.send(vm, &endpoint.id, Order::Probe),
        }
    }

    fn write(&mut self, vm: usize, table: Table) {
        let known = self.vms[vm].planner.as_ref().unwrap().revision();
        self.rewrite(vm, table, known);
    }

    fn rewrite(&mut self, vm: usize, table: Table, known: u64) {
        let sent = self.now;
        let planner = self.vms[vm].planner.as_ref();
        if planner.is_none_or(|planner| planner.revision() != known) {
            return;
        }
        let way = self.way() * 2;
        if self.down_until > self.now || self.vms[vm].apart_until > self.now {
            // Turned away: whether an earlier try took effect is not known.
            self.push(Duration::from_millis(200), Event::Rewrite(vm, table, known));
            return;
        }
        if self.chance(self.faults.lost_write) {
            if self.chance(0.5) {
                let late = Duration::from_millis(self.rng.random_range(100..6_000));
                self.push(late, Event::LateWrite(table.clone(), known));
            }
            // The answer is lost: the same write is tried again until one comes.
            self.push(Duration::from_millis(200), Event::Rewrite(vm, table, known));
            return;
        }
        match &self.stored {
            Some((stored, revision)) if *stored == table => {
                let revision = Some(*revision);
                self.push(way, Event::Written(vm, table, revision, sent));
                return;
            }
            Some((_, revision)) if *revision == known => {}
            _ => {
                self.push(way, Event::Conflict(vm));
                return;
            }
        }
        self.revision += 1;
        self.stored = Some((table.clone(), self.revision));
        let revision = self.revision;
        self.push(way, Event::Written(vm, table, Some(revision), sent));
    }

    fn send(&mut self, vm: usize, id: &str, order: Order) {
        let mut way = self.way();
        if self.faults.starved > 0.0 && self.chance(self.faults.starved) {
            way += Duration::from_millis(self.rng.random_range(100..700));
        }
        let sent = self.now;
        self.push(way, Event::Arrive(vm, id.into(), order, sent));
    }

    fn arrive(&mut self, vm: usize, id: &str, order: Order, sent: Instant) {
        let now = self.now;
        let reach = self
            .servers
            .iter()
            .find(|server| *server.endpoint.id == *id)
            .map(|server| (server.is_up, server.cut_until > now && server.cut_vms[vm]));
        let way = self.way();
        let (is_up, is_cut) = reach.unwrap_or((false, false));
        if !is_up || is_cut {
            let answer = Outcome::Unreachable;
            let granted = unsent(&order, sent, now, &answer);
            let span = if is_cut { ORDER_TIMEOUT } else { way };
            self.push(span, Event::Answered(vm, id.into(), order, granted, answer));
            return;
        }
        if self.chance(self.faults.late_order) {
            let late = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.push(late, Event::Late(id.into(), first(&order), now));
            self.silence(vm, id, order, sent);
            return;
        }
        if self.chance(self.faults.lost_order) {
            if self.chance(0.5) {
                self.carry_out(id, &first(&order), now);
            }
            self.silence(vm, id, order, sent);
            return;
        }
        let mut granted = Vec::new();
        let mut answer = Outcome::Done(None);
        match &order {
            Order::Grant(grants) => {
                for grant in grants {
                    let single = Order::Grant(vec![grant.clone()]);
                    let answer = self.carry_out(id, &single, now);
                    let is_done = matches!(answer, Outcome::Done(_));
                    granted.push(Completion {
                        grant: grant.clone(),
                        sent,
                        completed: now.after(way),
                        outcome: answer,
                    });
                    if !is_done {
                        break;
                    }
                }
            }
            _ => answer = self.carry_out(id, &order, now),
        }
        self.push(way, Event::Answered(vm, id.into(), order, granted, answer));
    }

    fn silence(&mut self, vm: usize, id: &str, order: Order, sent: Instant) {
        let granted = match &order {
            Order::Grant(grants) => vec![Completion {
                grant: grants[0].clone(),
                sent,
                completed: self.now.after(ORDER_TIMEOUT),
                outcome: Outcome::Silent,
            }],
            _ => Vec::new(),
        };
        let event = Event::Answered(vm, id.into(), order, granted, Outcome::Silent);
        self.push(ORDER_TIMEOUT, event);
    }

    fn carry_out(&mut self, id: &str, order: &Order, arrived: Instant) -> Outcome {
        self.is_changed = true;
        let now = self.now;
        let mut servers = self.servers.iter_mut();
        let Some(server) = servers.find(|server| *server.endpoint.id == *id && server.is_up) else {
            return Outcome::Silent;
        };
        match order {
            Order::Grant(grants) => server.grant(&grants[0], arrived, now),
            Order::Release(order) => server.release(*order),
            Order::Probe => Outcome::Done(None),
        }
    }

    fn answered(
        &mut self,
        vm: usize,
        id: &str,
        order: &Order,
        granted: &[Completion],
        answer: &Outcome,
    ) {
        let now = self.now;
        let Some(planner) = &mut self.vms[vm].planner else {
            return;
        };
        match order {
            Order::Grant(_) => {
                let mut granted = granted.to_vec();
                for result in &mut granted {
                    match self.broken {
                        Broken::HoldFromSending => result.grant.duration /= 2,
                        Broken::LatenessIgnored => result.completed = result.sent,
                        _ => {}
                    }
                }
                planner.on_grant_results(id, &granted, now);
            }
            Order::Release(order) => planner.on_release_outcome(id, *order, answer, now),
            Order::Probe => planner.on_probe_outcome(id, answer, now),
        }
    }

    /// Draws the faults of the next second.
    fn second(&mut self) {
        self.push(Duration::from_secs(1), Event::Second);
        let faults = self.faults;
        let count = self.servers.len();
        if self.chance(faults.crash) {
            let index = self.rng.random_range(0..count);
            self.crash(index);
        }
        if self.chance(faults.cut) {
            let index = self.rng.random_range(0..count);
            let span = Duration::from_millis(self.rng.random_range(300..faults.cut_max_ms));
            self.servers[index].cut_vms = self.draw_cut();
            self.servers[index].cut_until = self.now.after(span);
        }
        if self.chance(faults.outage) {
            let span = Duration::from_millis(self.rng.random_range(500..9_000));
            self.down_until = self.now.after(span);
        }
        if self.chance(faults.pause) {
            let vm = self.planner().unwrap_or(0);
            let span = Duration::from_millis(self.rng.random_range(300..9_000));
            self.vms[vm].paused_until = self.now.after(span);
        }
        if self.chance(faults.apart) {
            let vm = self.planner().unwrap_or(0);
            let span = Duration::from_millis(self.rng.random_range(1_000..25_000));
            self.vms[vm].apart_until = self.now.after(span);
        }
        if self.chance(faults.restart) {
            let now = self.now;
            let plans = |vm: &Vm| vm.planner.is_some() && vm.apart_until <= now;
            if let Some(vm) = self.vms.iter().position(plans) {
                self.vms[vm].planner = None;
                self.vms[vm].run += 1;
            }
        }
        if self.chance(faults.churn) {
            self.churn();
        }
    }

    /// Draws who cannot reach an endpoint: one VM, all but one, or all.
    fn draw_cut(&mut self) -> [bool; VMS] {
        let vm = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..3) {
            0 => std::array::from_fn(|index| index == vm),
            1 => std::array::from_fn(|index| index != vm),
            _ => [true; VMS],
        }
    }

    fn planner(&self) -> Option<usize> {
        self.vms.iter().position(|vm| vm.planner.is_some())
    }

    fn crash(&mut self, index: usize) {
        let is_back = self.chance(0.6);
        self.born += 1;
        let born = self.born;
        let server = &mut self.servers[index];
        server.holds.clear();
        server.seen.clear();
        server.is_up = is_back;
        if is_back {
            let mut endpoint = (*server.endpoint).clone();
            endpoint.born = born;
            server.endpoint = Arc::new(endpoint);
        }
    }

    fn churn(&mut self) {
        if self.chance(0.5) {
            let id = format!("i-{}", self.born + 100);
            self.add_server(id);
            return;
        }
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|&index| self.servers[index].is_listed)
            .collect();
        if up.len() < 4 {
            return;
        }
        let index = up[self.rng.random_range(0..up.len())];
        if self.servers[index].endpoint.is_leaving {
            self.servers[index].is_listed = false;
            return;
        }
        let mut endpoint = (*self.servers[index].endpoint).clone();
        endpoint.is_leaving = true;
        self.servers[index].endpoint = Arc::new(endpoint);
    }

    fn check(&mut self) {
        self.held = 0;
        for sample in 0..SAMPLES {
            let key = (sample * 65_536 / SAMPLES + 37) as u16;
            let mut holders = Vec::new();
            for server in &self.servers {
                if let Some(fence) = server.holds(key, self.now) {
                    holders.push((server.endpoint.id.clone(), fence));
                }
            }
            if holders.len() > 1 {
                let at = self.now.0 / 1000;
                self.failure = Some(format!("key {key} at {at} ms is held by {holders:?}"));
                return;
            }
            self.held += holders.len();
        }
    }

    /// Number of keys at which ownership is checked.
    pub fn samples() -> usize {
        SAMPLES
    }
}

/// No faults at all.
pub const CALM: Faults = Faults {
    late_order: 0.0,
    lost_order: 0.0,
    lost_write: 0.0,
    crash: 0.0,
    pause: 0.0,
    outage: 0.0,
    churn: 0.0,
    cut: 0.0,
    cut_max_ms: 8_000,
    apart: 0.0,
    restart: 0.0,
    starved: 0.0,
};

fn first(order: &Order) -> Order {
    match order {
        Order::Grant(grants) => Order::Grant(vec![grants[0].clone()]),
        other => other.clone(),
    }
}

fn unsent(order: &Order, sent: Instant, heard: Instant, answer: &Outcome) -> Vec<Completion> {
    match order {
        Order::Grant(grants) => vec![Completion {
            grant: grants[0].clone(),
            sent,
            completed: heard,
            outcome: answer.clone(),
        }],
        _ => Vec::new(),
    }
}
