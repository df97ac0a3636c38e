//! Discrete-event simulation of a platform: a store, endpoints, and planners on
//! several VMs, connected by a network that delays and loses messages.
//!
//! Time is simulated, so a schedule of a minute takes milliseconds. After each
//! order that reaches an endpoint, the simulation checks that no key is held by
//! two running endpoints.

use crate::support::fixture;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use rhubarbpick::core::{
    mirror::{
        Kind,
        Mirror,
        Object,
        Value, //
    },
    ownership::{
        possible_planners,
        Action,
        Claim,
        Completion,
        Grant,
        History,
        Outcome,
        Planned,
        Planner,
        Release,
        Table,
        ORDER_TIMEOUT, //
    },
    rebalance::Rates,
    registry::Endpoint,
    revision,
    time::Instant,
};
use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::Arc,
    time::Duration, //
};

/// Longest lease that the platform allows.
const MAX_LEASE_DURATION: Duration = Duration::from_secs(10);

/// Interval between the ticks of a planner.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Time after which all leases granted before have certainly expired.
const MAX_LEASE_AGE_US: u64 = 60_000_000;

/// Number of VMs that may act as planner.
const VM_COUNT: usize = 3;

/// Number of keys whose ownership is checked.
///
/// They are evenly spaced, to sample the ends and the middle of typical ranges.
const SAMPLE_COUNT: usize = 64;

/// Deliberate violations of one rule of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// All rules hold.
    None,
    /// A new planner treats the leases granted by earlier planners as expired.
    IgnorePredecessorLeases,
    /// The planner bounds leases too early, as if orders were delivered at once and
    /// clocks were exact. Simulated by halving the duration of completed grants.
    HalveLeaseDuration,
    /// A planner sends grants regardless of the age of its claim.
    IgnoreClaimAge,
    /// Releases carry a fencing token below that of the grant.
    ZeroReleaseFence,
    /// A new planner knows only of its immediate predecessor.
    ForgetEarlierClaims,
    /// A grant counts as delivered in the usual time, even if it was completed late.
    IgnoreLateCompletion,
    /// A planner accepts a yield that was sent before its own claim.
    AcceptStaleYield,
    /// Planners grant longer leases than the table allows. Simulated by a successor that
    /// reads a shorter bound from the table.
    UnderstateLease,
    /// A planner relies on the table of a store that was restored from an old copy.
    TrustRestoredTable,
    /// A planner does not ask what others planned before the store was restored.
    IgnorePlanned,
    /// A planner does not ask what earlier runs of others planned before the store was restored.
    IgnoreRestarts,
}

/// Probabilities of the faults in a schedule.
///
/// Faults of messages and writes are drawn for each of them, all others once
/// per second.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// An order gets no answer and is executed seconds later.
    pub delayed_order: f64,
    /// An order or its answer is lost.
    pub lost_order: f64,
    /// A write to the store gets no answer; half of these writes take effect later.
    pub lost_write: f64,
    /// An endpoint crashes.
    pub crash: f64,
    /// The planner pauses, and another VM takes the claim.
    pub pause: f64,
    /// The store is down for some seconds.
    pub outage: f64,
    /// An endpoint joins or leaves.
    pub churn: f64,
    /// An endpoint is partitioned from some or all VMs.
    pub partition: f64,
    /// Longest partition of an endpoint, in milliseconds.
    pub max_partition_ms: u64,
    /// The planner is partitioned from the store for some seconds, and another VM
    /// takes the claim.
    pub store_partition: f64,
    /// The planner's process is lost and restarted.
    pub planner_restart: f64,
    /// An order is sent some tenths of a second late, as on a VM that is short of
    /// CPU time.
    pub cpu_starvation: f64,
    /// The store is down for a moment and restored from a copy that is some seconds old. VMs
    /// then read the store only from time to time.
    pub restore: f64,
}

#[derive(Clone, Debug)]
struct Lease {
    from: u16,
    to: u16,
    fence: u64,
    expires_at: Instant,
}

#[derive(Clone, Debug)]
struct Server {
    endpoint: Arc<Endpoint>,
    is_up: bool,
    is_listed: bool,
    partitioned_until: Instant,
    /// Which VMs cannot reach the endpoint.
    partitioned_vms: [bool; VM_COUNT],
    leases: Vec<Lease>,
    seen_fences: Vec<(u16, u16, u64)>,
    clock_slowdown: f64,
}

impl Server {
    fn highest_fence(&self, from: u16, to: u16) -> u64 {
        let overlapping = self
            .seen_fences
            .iter()
            .filter(|(a, b, _)| *a <= to && from <= *b);
        overlapping.map(|&(_, _, fence)| fence).max().unwrap_or(0)
    }

    fn remove_keys(&mut self, from: u16, to: u16) {
        let mut kept = Vec::new();
        for lease in self.leases.drain(..) {
            if lease.to < from || to < lease.from {
                kept.push(lease);
                continue;
            }
            if lease.from < from {
                kept.push(Lease {
                    to: from - 1,
                    ..lease.clone()
                });
            }
            if lease.to > to {
                kept.push(Lease {
                    from: to + 1,
                    ..lease
                });
            }
        }
        self.leases = kept;
    }

    fn grant(&mut self, grant: &Grant, arrived_at: Instant, now: Instant) -> Outcome {
        if self.highest_fence(grant.from, grant.to) > grant.fence {
            return Outcome::Fenced;
        }
        self.seen_fences.push((grant.from, grant.to, grant.fence));
        let expires_at = arrived_at.after(grant.duration.mul_f64(self.clock_slowdown));
        if expires_at > now {
            self.remove_keys(grant.from, grant.to);
            self.leases.push(Lease {
                from: grant.from,
                to: grant.to,
                fence: grant.fence,
                expires_at,
            });
        }
        Outcome::Done(None)
    }

    fn release(&mut self, order: Release) -> Outcome {
        self.seen_fences.push((order.from, order.to, order.fence));
        self.remove_keys(order.from, order.to);
        Outcome::Done(Some("state".into()))
    }

    fn held_fence(&self, key: u16, now: Instant) -> Option<u64> {
        let found = self
            .leases
            .iter()
            .find(|lease| lease.from <= key && key <= lease.to && lease.expires_at > now);
        found.filter(|_| self.is_up).map(|lease| lease.fence)
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
    /// VM, run of its process, endpoint, order and time of sending.
    OrderArrival(usize, u64, Box<str>, Order, Instant),
    DelayedOrder(Box<str>, Order, Instant),
    OrderCompletion(usize, Box<str>, Order, Vec<Completion>, Outcome),
    WriteCompletion(usize, Table, Option<u64>, Instant),
    WriteConflict(usize),
    DelayedWrite(Table, u64),
    WriteRetry(usize, Table, u64),
    Yield(Claim, u64, History),
    /// The store goes back to its state at the given time.
    Restore(Instant),
    FaultTick,
}

struct Entry {
    at: Instant,
    sequence: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

struct Vm {
    planner: Option<Planner>,
    paused_until: Instant,
    store_partition_until: Instant,
    last_tick: Instant,
    run: u64,
    mirror: Mirror,
    /// Era of the store in which the mirror got its first object.
    oldest_era: Option<u64>,
    /// What the process planned before its present planner.
    planned: Option<Planned>,
    started: Instant,
}

impl Vm {
    fn history(&self, now: Instant, mutation: Mutation) -> History {
        let present = self
            .planner
            .as_ref()
            .and_then(|planner| planner.planned(now));
        History {
            planned: match mutation {
                Mutation::IgnorePlanned => None,
                _ => present.or(self.planned),
            },
            uptime_ms: match mutation {
                Mutation::IgnoreRestarts => u64::MAX,
                _ => now.since(self.started).as_millis() as u64,
            },
        }
    }

    fn read(&mut self, stored: Option<&(Table, u64)>, era: u64) {
        self.oldest_era.get_or_insert(era);
        let objects = stored.map(|(table, revision)| Object {
            kind: Kind::Table,
            name: "s".into(),
            revision: *revision,
            value: Some(Value::Table(Arc::new(table.clone()))),
        });
        let as_of = revision::compose(era, 0);
        let objects = objects.into_iter().collect();
        self.mirror.merge_list(Kind::Table, objects, as_of, false);
    }

    fn known_table(&self) -> Option<(Table, u64)> {
        let object = self.mirror.get(Kind::Table, "s")?;
        match &object.value {
            Some(Value::Table(table)) => Some(((**table).clone(), object.revision)),
            _ => None,
        }
    }

    fn drop_planner(&mut self, now: Instant) {
        let planner = self.planner.take();
        let planned = planner.and_then(|planner| planner.planned(now));
        self.planned = planned.or(self.planned);
    }
}

/// The simulated platform and the planners.
pub struct World {
    rng: ChaCha8Rng,
    now: Instant,
    queue: BinaryHeap<Reverse<Entry>>,
    sequence: u64,
    faults: Faults,
    mutation: Mutation,
    servers: Vec<Server>,
    stored: Option<(Table, u64)>,
    /// Earlier states of the store.
    history: Vec<(Instant, Option<(Table, u64)>)>,
    era: u64,
    /// Number of the last change of the store.
    revision: u64,
    store_down_until: Instant,
    vms: Vec<Vm>,
    rates: Rates,
    born: u64,
    needs_check: bool,
    /// The first violation of exclusive ownership.
    pub violation: Option<String>,
    /// Number of sampled keys that were held at the last check.
    pub held_count: usize,
}

impl World {
    /// Creates a platform with `count` endpoints and [`VM_COUNT`] VMs.
    pub fn new(seed: u64, count: usize, faults: Faults, mutation: Mutation) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant(1_000_000),
            queue: BinaryHeap::new(),
            sequence: 0,
            faults,
            mutation,
            servers: Vec::new(),
            stored: None,
            history: Vec::new(),
            era: 1,
            revision: 10,
            store_down_until: Instant::default(),
            vms: Vec::new(),
            rates: Rates::default(),
            born: 1,
            needs_check: false,
            violation: None,
            held_count: 0,
        };
        for index in 0..count {
            world.add_server(format!("i-{index}"));
        }
        for index in 0..VM_COUNT as u32 {
            let now = world.now;
            world.vms.push(Vm {
                planner: None,
                paused_until: now,
                store_partition_until: now,
                last_tick: now,
                run: 1,
                mirror: Mirror::default(),
                oldest_era: None,
                planned: None,
                started: now,
            });
            world.schedule(TICK_INTERVAL * index, Event::Tick(index as usize));
        }
        world.schedule(Duration::from_secs(1), Event::FaultTick);
        world
    }

    fn add_server(&mut self, id: String) {
        self.born += 1;
        let clock_slowdown = 1.0 + self.rng.random_range(0.0..0.02);
        self.servers.push(Server {
            endpoint: Arc::new(Endpoint {
                born: self.born,
                ..fixture::endpoint(&id)
            }),
            is_up: true,
            is_listed: true,
            partitioned_until: Instant::default(),
            partitioned_vms: [false; VM_COUNT],
            leases: Vec::new(),
            seen_fences: Vec::new(),
            clock_slowdown,
        });
        self.servers
            .sort_by(|a, b| a.endpoint.id.cmp(&b.endpoint.id));
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        let entry = Entry {
            at: self.now.after(after),
            sequence: self.sequence,
            event,
        };
        self.queue.push(Reverse(entry));
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability.min(1.0))
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..4_000))
    }

    /// Runs the simulation for `span`, or until the first violation.
    pub fn run(&mut self, span: Duration) {
        let end = self.now.after(span);
        while self.violation.is_none() {
            let Some(Reverse(entry)) = self.queue.pop() else {
                return;
            };
            if entry.at > end {
                self.queue.push(Reverse(entry));
                self.now = end;
                self.check();
                return;
            }
            self.now = entry.at;
            self.handle(entry.event);
            if std::mem::take(&mut self.needs_check) {
                self.check();
            }
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.faults = NO_FAULTS;
        self.store_down_until = self.now;
        for _ in 0..2 {
            // All other endpoints may have crashed without a restart.
            let id = format!("i-{}", self.born + 100);
            self.add_server(id);
        }
        for server in &mut self.servers {
            server.partitioned_until = Instant::default();
        }
        for vm in &mut self.vms {
            vm.store_partition_until = self.now;
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(vm) => self.tick(vm),
            Event::FaultTick => self.inject_faults(),
            Event::Restore(at) => self.restore(at),
            Event::Yield(claim, revision, history) => {
                let now = self.now;
                let accepts_stale = self.mutation == Mutation::AcceptStaleYield;
                let revision = if accepts_stale { u64::MAX } else { revision };
                for planner in self.vms.iter_mut().filter_map(|vm| vm.planner.as_mut()) {
                    planner.on_predecessor_yielded(&claim, revision, history, now);
                }
            }
            Event::OrderArrival(vm, run, id, order, sent) => {
                let is_overdue = self.now.since(sent) > ORDER_TIMEOUT;
                // The process ended before it sent the order.
                if is_overdue && run != self.vms[vm].run {
                    return;
                }
                self.deliver_order(vm, &id, order, sent);
            }
            Event::DelayedOrder(id, order, arrived_at) => {
                self.execute(&id, &order, arrived_at);
            }
            Event::OrderCompletion(vm, id, order, completions, outcome) => {
                self.complete_order(vm, &id, &order, &completions, &outcome);
            }
            Event::WriteCompletion(vm, table, revision, sent) => {
                let now = self.now;
                let Some(planner) = &mut self.vms[vm].planner else {
                    return;
                };
                match revision {
                    Some(revision) if revision::era(revision) != table.era => {
                        planner.set_outdated();
                    }
                    Some(revision) => planner.on_table_written(table, revision, sent, now),
                    None => planner.on_write_failed(now.after(Duration::from_millis(200))),
                }
            }
            Event::WriteConflict(vm) => {
                if let Some(planner) = &mut self.vms[vm].planner {
                    planner.set_outdated();
                }
            }
            Event::WriteRetry(vm, table, known_revision) => {
                self.attempt_write(vm, table, known_revision)
            }
            Event::DelayedWrite(table, revision) => {
                if self.is_stored_as(revision) {
                    self.store(table);
                }
            }
        }
    }

    /// Returns whether the store has a table under a revision, of which it knows only the number.
    fn is_stored_as(&self, revision: u64) -> bool {
        let stored = self.stored.as_ref();
        stored.is_some_and(|stored| revision::number(stored.1) == revision::number(revision))
    }

    /// Stores a table and returns its revision.
    fn store(&mut self, table: Table) -> u64 {
        self.revision += 1;
        let revision = revision::compose(self.era, self.revision);
        self.stored = Some((table, revision));
        self.history.push((self.now, self.stored.clone()));
        revision
    }

    fn restore(&mut self, at: Instant) {
        if self.faults.restore == 0.0 {
            return;
        }
        self.history.retain(|(stored_at, _)| *stored_at <= at);
        let stored = self.history.last().and_then(|(_, stored)| stored.clone());
        self.era += 1;
        self.stored = stored.map(|(table, revision)| {
            self.revision = revision::number(revision);
            (table, revision::compose(self.era, self.revision))
        });
    }

    fn is_store_reachable(&self, vm: usize) -> bool {
        self.store_down_until <= self.now && self.vms[vm].store_partition_until <= self.now
    }

    /// Reads the store, but only sometimes if it may be restored from a copy.
    fn read_store(&mut self, vm: usize) -> bool {
        if !self.is_store_reachable(vm) {
            return false;
        }
        if self.faults.restore > 0.0 && !self.chance(0.1) {
            return false;
        }
        let (stored, era) = (self.stored.clone(), self.era);
        self.vms[vm].read(stored.as_ref(), era);
        true
    }

    fn tick(&mut self, vm: usize) {
        self.schedule(TICK_INTERVAL, Event::Tick(vm));
        if self.vms[vm].paused_until > self.now {
            return;
        }
        let gap = self.now.since(self.vms[vm].last_tick);
        self.vms[vm].last_tick = self.now;
        if gap > Duration::from_millis(700) && self.mutation != Mutation::IgnoreClaimAge {
            if let Some(planner) = &mut self.vms[vm].planner {
                planner.expire_claim();
            }
        }
        let is_read = self.read_store(vm);
        if self.vms[vm].planner.is_none() {
            self.try_claim(vm);
            return;
        }
        self.confirm(vm, is_read);
        if self.vms[vm].planner.is_none() {
            return;
        }
        self.notify_predecessors(vm);
        let endpoints: Vec<Arc<Endpoint>> = self
            .servers
            .iter()
            .filter(|server| server.is_listed)
            .map(|server| Arc::clone(&server.endpoint))
            .collect();
        let now = self.now;
        let ended_claims: Vec<Claim> = {
            let planner = self.vms[vm].planner.as_ref().unwrap();
            let earlier = planner.table().earlier.iter();
            earlier
                .filter(|claim| self.has_ended(claim))
                .cloned()
                .collect()
        };
        let planner = self.vms[vm].planner.as_mut().unwrap();
        planner.remove_ended_predecessors(&|claim| ended_claims.contains(claim), now);
        let actions = planner.tick(&endpoints, &self.rates, &|_| Some(20.0), now);
        for action in actions {
            self.perform(vm, action);
        }
    }

    /// Asks the earlier planners of an unverified table to stop.
    fn notify_predecessors(&mut self, vm: usize) {
        let now = self.now;
        let planner = self.vms[vm].planner.as_ref().unwrap();
        if planner.table().unverified.is_none() {
            return;
        }
        let revision = planner.claim_revision();
        for claim in planner.predecessors(now).to_vec() {
            let name = |index: usize| format!("vm-{index}");
            let Some(index) = (0..VM_COUNT).find(|&index| *claim.node == *name(index)) else {
                continue;
            };
            let other = &mut self.vms[index];
            if other.run != claim.run || other.paused_until > now {
                continue;
            }
            let planner = other.planner.as_mut();
            if planner.is_some_and(|planner| !planner.on_successor_claimed(revision)) {
                continue;
            }
            let history = other.history(now, self.mutation);
            if self.chance(0.5) {
                let latency = self.latency();
                self.schedule(latency, Event::Yield(claim, revision, history));
            }
        }
    }

    /// Confirms the claim by what was read from the store.
    fn confirm(&mut self, vm: usize, is_read: bool) {
        let now = self.now;
        let stored = self.stored.clone();
        let ignores_age = self.mutation == Mutation::IgnoreClaimAge;
        let planner = self.vms[vm].planner.as_mut().unwrap();
        let claim = planner.table().claim.clone();
        let era = planner.table().era;
        let is_readable = ignores_age || is_read;
        let is_own = stored.as_ref().is_some_and(|(table, revision)| {
            table.claim == claim && revision::era(*revision) == era
        });
        if is_readable && !planner.is_outdated() {
            if is_own || ignores_age {
                planner.confirm_claim(now);
            } else {
                planner.set_outdated();
            }
        }
        if !planner.is_outdated() || planner.has_pending_grants() {
            return;
        }
        self.vms[vm].drop_planner(now);
        let history = self.vms[vm].history(now, self.mutation);
        let Some((_, revision)) = stored.filter(|_| is_readable && !is_own) else {
            return;
        };
        // Some yields are lost, and all but the first may be delayed by a paused VM.
        for index in 0..self.rng.random_range(0..3) {
            let longest_ms = if index == 0 { 200 } else { 9_000 };
            let latency = Duration::from_millis(self.rng.random_range(1..longest_ms));
            self.schedule(latency, Event::Yield(claim.clone(), revision, history));
        }
    }

    fn try_claim(&mut self, vm: usize) {
        let now = self.now;
        let is_planning = |other: &Vm| {
            let is_responsive = other.paused_until <= now && other.store_partition_until <= now;
            other.planner.is_some() && is_responsive
        };
        if !self.is_store_reachable(vm) || self.vms.iter().any(is_planning) {
            return;
        }
        // A real VM waits between two attempts.
        if !self.chance(0.1) {
            return;
        }
        let run = self.vms[vm].run;
        let claim = Claim {
            node: format!("vm-{vm}").into(),
            run,
        };
        if self.vms[vm].oldest_era.is_none() {
            return;
        }
        let known = self.vms[vm].known_table();
        let era = self.vms[vm].mirror.era().max(1);
        let mut old_table = known.as_ref().map(|(table, _)| table.clone());
        if let (Mutation::ForgetEarlierClaims, Some(old_table)) = (self.mutation, &mut old_table) {
            old_table.earlier.clear();
        }
        let has_ended = |claim: &Claim| self.has_ended(claim);
        let members = self.vms.iter().enumerate().map(|(index, vm)| Claim {
            node: format!("vm-{index}").into(),
            run: vm.run,
        });
        let knows_earlier_era = self.vms[vm].oldest_era.is_some_and(|oldest| oldest < era);
        let others = possible_planners(members, &claim, knows_earlier_era);
        let mut table = Table::claimed(old_table.as_ref(), "s", claim, era, &others, &has_ended);
        let is_restored = old_table.is_some_and(|old_table| old_table.era < era);
        let is_replaced = match &known {
            // A VM reads the store before the first claim in an era.
            Some(_) if is_restored => {
                let stored = self.stored.as_ref();
                stored.is_none_or(|(stored, _)| {
                    (stored.era, stored.last_fence) < (table.era, table.last_fence)
                })
            }
            Some((_, revision)) => self.is_stored_as(*revision),
            None => self.stored.is_none(),
        };
        if !is_replaced {
            let (stored, era) = (self.stored.clone(), self.era);
            self.vms[vm].read(stored.as_ref(), era);
            return;
        }
        if self.mutation == Mutation::TrustRestoredTable {
            table.unverified = None;
        }
        if self.mutation == Mutation::IgnorePredecessorLeases {
            table.earlier.clear();
        }
        if self.mutation == Mutation::UnderstateLease {
            table.lease_ms = 1;
        }
        let revision = self.store(table.clone());
        let (stored, era) = (self.stored.clone(), self.era);
        self.vms[vm].read(stored.as_ref(), era);
        if revision::era(revision) != table.era {
            return;
        }
        // Makes all leases granted by others look expired.
        let opened_at = match self.mutation {
            Mutation::IgnorePredecessorLeases => Instant(now.0.saturating_sub(MAX_LEASE_AGE_US)),
            _ => now,
        };
        let mut planner = Planner::new(table, revision, MAX_LEASE_DURATION, opened_at);
        planner.confirm_claim(now);
        let history = self.vms[vm].history(now, self.mutation);
        planner.on_own_history(history, now);
        self.vms[vm].planner = Some(planner);
    }

    /// Returns whether the process behind a claim has ended.
    fn has_ended(&self, claim: &Claim) -> bool {
        let mut vms = self.vms.iter().enumerate();
        vms.any(|(index, vm)| *claim.node == *format!("vm-{index}") && vm.run > claim.run)
    }

    fn perform(&mut self, vm: usize, action: Action) {
        match action {
            Action::Write(table) => self.write(vm, table),
            Action::Grant(endpoint, grants) => {
                self.send(vm, &endpoint.id, Order::Grant(grants));
            }
            Action::Release(endpoint, order) => {
                let fence = match self.mutation {
                    Mutation::ZeroReleaseFence => 0,
                    _ => order.fence,
                };
                let order = Release { fence, ..order };
                self.send(vm, &endpoint.id, Order::Release(order));
            }
            Action::Probe(endpoint, _) => self.send(vm, &endpoint.id, Order::Probe),
        }
    }

    fn write(&mut self, vm: usize, table: Table) {
        let known_revision = self.vms[vm].planner.as_ref().unwrap().revision();
        self.attempt_write(vm, table, known_revision);
    }

    fn attempt_write(&mut self, vm: usize, table: Table, known_revision: u64) {
        let sent = self.now;
        let planner = self.vms[vm].planner.as_ref();
        if planner.is_none_or(|planner| planner.revision() != known_revision) {
            return;
        }
        let latency = self.latency() * 2;
        if self.store_down_until > self.now || self.vms[vm].store_partition_until > self.now {
            // The store is unreachable: an earlier attempt may still have succeeded.
            self.schedule(
                Duration::from_millis(200),
                Event::WriteRetry(vm, table, known_revision),
            );
            return;
        }
        if self.chance(self.faults.lost_write) {
            if self.chance(0.5) {
                let delay = Duration::from_millis(self.rng.random_range(100..6_000));
                self.schedule(delay, Event::DelayedWrite(table.clone(), known_revision));
            }
            // The answer is lost: the same write is retried until one arrives.
            self.schedule(
                Duration::from_millis(200),
                Event::WriteRetry(vm, table, known_revision),
            );
            return;
        }
        match &self.stored {
            Some((stored, revision)) if *stored == table => {
                let revision = Some(*revision);
                self.schedule(latency, Event::WriteCompletion(vm, table, revision, sent));
                return;
            }
            Some(_) if self.is_stored_as(known_revision) => {}
            _ => {
                self.schedule(latency, Event::WriteConflict(vm));
                return;
            }
        }
        let revision = self.store(table.clone());
        self.schedule(
            latency,
            Event::WriteCompletion(vm, table, Some(revision), sent),
        );
    }

    fn send(&mut self, vm: usize, id: &str, order: Order) {
        let mut latency = self.latency();
        if self.faults.cpu_starvation > 0.0 && self.chance(self.faults.cpu_starvation) {
            latency += Duration::from_millis(self.rng.random_range(100..700));
        }
        let sent = self.now;
        let run = self.vms[vm].run;
        self.schedule(
            latency,
            Event::OrderArrival(vm, run, id.into(), order, sent),
        );
    }

    fn deliver_order(&mut self, vm: usize, id: &str, order: Order, sent: Instant) {
        let now = self.now;
        let reachability = self
            .servers
            .iter()
            .find(|server| *server.endpoint.id == *id)
            .map(|server| {
                (
                    server.is_up,
                    server.partitioned_until > now && server.partitioned_vms[vm],
                )
            });
        let latency = self.latency();
        let (is_up, is_partitioned) = reachability.unwrap_or((false, false));
        if !is_up || is_partitioned {
            let outcome = Outcome::Unreachable;
            let completions = undelivered(&order, sent, now, &outcome);
            let span = if is_partitioned {
                ORDER_TIMEOUT
            } else {
                latency
            };
            self.schedule(
                span,
                Event::OrderCompletion(vm, id.into(), order, completions, outcome),
            );
            return;
        }
        if self.chance(self.faults.delayed_order) {
            let delay = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.schedule(
                delay,
                Event::DelayedOrder(id.into(), first_order(&order), now),
            );
            self.time_out(vm, id, order, sent);
            return;
        }
        if self.chance(self.faults.lost_order) {
            if self.chance(0.5) {
                self.execute(id, &first_order(&order), now);
            }
            self.time_out(vm, id, order, sent);
            return;
        }
        let mut completions = Vec::new();
        let mut outcome = Outcome::Done(None);
        match &order {
            Order::Grant(grants) => {
                for grant in grants {
                    let single = Order::Grant(vec![grant.clone()]);
                    let outcome = self.execute(id, &single, now);
                    let is_done = matches!(outcome, Outcome::Done(_));
                    completions.push(Completion {
                        grant: grant.clone(),
                        sent,
                        completed: now.after(latency),
                        outcome,
                    });
                    if !is_done {
                        break;
                    }
                }
            }
            _ => outcome = self.execute(id, &order, now),
        }
        self.schedule(
            latency,
            Event::OrderCompletion(vm, id.into(), order, completions, outcome),
        );
    }

    fn time_out(&mut self, vm: usize, id: &str, order: Order, sent: Instant) {
        let completions = match &order {
            Order::Grant(grants) => vec![Completion {
                grant: grants[0].clone(),
                sent,
                completed: self.now.after(ORDER_TIMEOUT),
                outcome: Outcome::Silent,
            }],
            _ => Vec::new(),
        };
        let event = Event::OrderCompletion(vm, id.into(), order, completions, Outcome::Silent);
        self.schedule(ORDER_TIMEOUT, event);
    }

    fn execute(&mut self, id: &str, order: &Order, arrived_at: Instant) -> Outcome {
        self.needs_check = true;
        let now = self.now;
        let mut servers = self.servers.iter_mut();
        let Some(server) = servers.find(|server| *server.endpoint.id == *id && server.is_up) else {
            return Outcome::Silent;
        };
        match order {
            Order::Grant(grants) => server.grant(&grants[0], arrived_at, now),
            Order::Release(order) => server.release(*order),
            Order::Probe => Outcome::Done(None),
        }
    }

    fn complete_order(
        &mut self,
        vm: usize,
        id: &str,
        order: &Order,
        completions: &[Completion],
        outcome: &Outcome,
    ) {
        let now = self.now;
        let Some(planner) = &mut self.vms[vm].planner else {
            return;
        };
        match order {
            Order::Grant(_) => {
                let mut completions = completions.to_vec();
                for completion in &mut completions {
                    match self.mutation {
                        Mutation::HalveLeaseDuration => completion.grant.duration /= 2,
                        Mutation::IgnoreLateCompletion => completion.completed = completion.sent,
                        _ => {}
                    }
                }
                planner.on_grant_results(id, &completions, now);
            }
            Order::Release(order) => planner.on_release_outcome(id, *order, outcome, now),
            Order::Probe => planner.on_probe_outcome(id, outcome, now),
        }
    }

    /// Draws the faults for the next second.
    fn inject_faults(&mut self) {
        self.schedule(Duration::from_secs(1), Event::FaultTick);
        let faults = self.faults;
        let count = self.servers.len();
        if self.chance(faults.crash) {
            let index = self.rng.random_range(0..count);
            self.crash(index);
        }
        if self.chance(faults.partition) {
            let index = self.rng.random_range(0..count);
            let span = Duration::from_millis(self.rng.random_range(300..faults.max_partition_ms));
            self.servers[index].partitioned_vms = self.draw_partition();
            self.servers[index].partitioned_until = self.now.after(span);
        }
        if self.chance(faults.outage) {
            let span = Duration::from_millis(self.rng.random_range(500..9_000));
            self.store_down_until = self.now.after(span);
        }
        if self.chance(faults.pause) {
            let vm = self.planner_index().unwrap_or(0);
            let span = Duration::from_millis(self.rng.random_range(300..9_000));
            self.vms[vm].paused_until = self.now.after(span);
        }
        if self.chance(faults.store_partition) {
            let vm = self.planner_index().unwrap_or(0);
            let span = Duration::from_millis(self.rng.random_range(1_000..25_000));
            self.vms[vm].store_partition_until = self.now.after(span);
        }
        if self.chance(faults.planner_restart) {
            let now = self.now;
            let is_planning = |vm: &Vm| vm.planner.is_some() && vm.store_partition_until <= now;
            if let Some(vm) = self.vms.iter().position(is_planning) {
                self.restart(vm);
            }
        }
        if self.chance(faults.churn) {
            self.churn();
        }
        if faults.restore > 0.0 && self.chance(faults.restore) {
            let downtime = Duration::from_millis(self.rng.random_range(50..3_000));
            let lost_us = self.rng.random_range(0..12_000_000);
            self.store_down_until = self.store_down_until.max(self.now.after(downtime));
            let at = Instant(self.now.0.saturating_sub(lost_us));
            self.schedule(downtime, Event::Restore(at));
        }
    }

    /// Restarts the process of a VM. It may get the mirror of another VM before it claims.
    fn restart(&mut self, vm: usize) {
        let (mut mirror, mut oldest_era) = (Mirror::default(), None);
        if self.faults.restore > 0.0 && self.chance(0.5) {
            let other = &self.vms[(vm + 1) % VM_COUNT];
            (mirror, oldest_era) = (other.mirror.clone(), other.oldest_era);
        }
        let vm = &mut self.vms[vm];
        vm.planner = None;
        vm.planned = None;
        vm.started = self.now;
        vm.run += 1;
        vm.mirror = mirror;
        vm.oldest_era = oldest_era;
    }

    /// Draws the VMs that cannot reach an endpoint: one, all but one, or all.
    fn draw_partition(&mut self) -> [bool; VM_COUNT] {
        let vm = self.rng.random_range(0..VM_COUNT);
        match self.rng.random_range(0..3) {
            0 => std::array::from_fn(|index| index == vm),
            1 => std::array::from_fn(|index| index != vm),
            _ => [true; VM_COUNT],
        }
    }

    fn planner_index(&self) -> Option<usize> {
        self.vms.iter().position(|vm| vm.planner.is_some())
    }

    fn crash(&mut self, index: usize) {
        let restarts = self.chance(0.6);
        self.born += 1;
        let born = self.born;
        let server = &mut self.servers[index];
        server.leases.clear();
        server.seen_fences.clear();
        server.is_up = restarts;
        if restarts {
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
        let listed: Vec<usize> = (0..self.servers.len())
            .filter(|&index| self.servers[index].is_listed)
            .collect();
        if listed.len() < 4 {
            return;
        }
        let index = listed[self.rng.random_range(0..listed.len())];
        if self.servers[index].endpoint.is_leaving {
            self.servers[index].is_listed = false;
            return;
        }
        let mut endpoint = (*self.servers[index].endpoint).clone();
        endpoint.is_leaving = true;
        self.servers[index].endpoint = Arc::new(endpoint);
    }

    fn check(&mut self) {
        self.held_count = 0;
        for sample in 0..SAMPLE_COUNT {
            let key = (sample * 65_536 / SAMPLE_COUNT + 37) as u16;
            let mut holders = Vec::new();
            for server in &self.servers {
                if let Some(fence) = server.held_fence(key, self.now) {
                    holders.push((server.endpoint.id.clone(), fence));
                }
            }
            if holders.len() > 1 {
                let at_ms = self.now.0 / 1000;
                self.violation = Some(format!("key {key} at {at_ms} ms is held by {holders:?}"));
                return;
            }
            self.held_count += holders.len();
        }
    }

    /// Returns the number of keys whose ownership is checked.
    pub fn sample_count() -> usize {
        SAMPLE_COUNT
    }
}

/// No faults.
pub const NO_FAULTS: Faults = Faults {
    delayed_order: 0.0,
    lost_order: 0.0,
    lost_write: 0.0,
    crash: 0.0,
    pause: 0.0,
    outage: 0.0,
    churn: 0.0,
    partition: 0.0,
    max_partition_ms: 8_000,
    store_partition: 0.0,
    planner_restart: 0.0,
    cpu_starvation: 0.0,
    restore: 0.0,
};

fn first_order(order: &Order) -> Order {
    match order {
        Order::Grant(grants) => Order::Grant(vec![grants[0].clone()]),
        other => other.clone(),
    }
}

fn undelivered(order: &Order, sent: Instant, heard: Instant, outcome: &Outcome) -> Vec<Completion> {
    match order {
        Order::Grant(grants) => vec![Completion {
            grant: grants[0].clone(),
            sent,
            completed: heard,
            outcome: outcome.clone(),
        }],
        _ => Vec::new(),
    }
}
