//! Load of keyed services in virtual time: callers, owners and one planner with its dispatcher.
//!
//! Callers arrive at random and retry once, when they are told to. Owners run requests in the
//! order in which they come, and reject those beyond their queue. Hosts are slow at random.

use crate::support::fixture;
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
        Outcome as OrderOutcome,
        Planner,
        Release,
        Status,
        Table, //
    },
    permit::{
        Dispatcher,
        Id,
        Location,
        Locator,
        Outcome,
        Reason,
        Refusal,
        Request, //
    },
    rebalance::Rates,
    registry::Endpoint,
    retry_limit::Limit,
    time::Instant,
};
use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        VecDeque, //
    },
    f64::consts::TAU,
    sync::Arc,
    time::Duration,
};

const START: Instant = Instant(1_000_000);
const TICK: Duration = Duration::from_millis(10);
const DECAY_INTERVAL: Duration = Duration::from_millis(250);

/// Time that an order takes; the grants to one owner are sent one after the other.
const CALL_TIME: Duration = Duration::from_millis(5);

/// Time that a write of the table takes.
const WRITE_TIME: Duration = Duration::from_millis(60);

/// Time in which the keys get their first owners; callers that arrive sooner are not counted.
const WARMUP_S: f64 = 3.0;

/// Requests that wait at an owner; it rejects further ones.
const OWNER_QUEUE: usize = 8;

/// Period of the waves of the load.
const WAVE_PERIOD_S: f64 = 17.0;

/// Requests of one kind.
#[derive(Clone, Debug)]
pub struct Kind {
    pub rate: f64,
    pub work: Duration,
    pub rank: u8,
    pub goal: Duration,
    pub timeout: Duration,
    pub patience: Duration,
    /// Zones of the callers and their shares of the load.
    pub zones: Vec<(&'static str, f64)>,
}

/// Keys that get a share of all requests for a time.
#[derive(Clone, Copy, Debug)]
pub struct Hot {
    pub from_s: f64,
    pub until_s: f64,
    pub keys: u16,
    pub share: f64,
}

#[derive(Clone, Debug)]
pub struct Load {
    pub kinds: Vec<Kind>,
    /// Service time at each owner as a multiple of the work.
    pub owners: Vec<f64>,
    pub slots: u16,
    /// Share of the time in which a host takes three times as long, for 400 ms at a time.
    pub slow_share: f64,
    pub swing: f64,
    pub hot: Vec<Hot>,
    pub seconds: f64,
    /// Whether the planner knows the speeds instead of measuring them.
    pub is_speed_known: bool,
    /// Share of the refused callers that retry at once, up to three times.
    pub impatient_share: f64,
}

/// What a caller got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Result {
    OnTime,
    Late,
    /// Refused at once.
    Refused,
    /// Refused after an eighth of the goal or more.
    Held,
    /// Not answered by the deadline.
    Expired,
}

pub struct Caller {
    pub kind: usize,
    pub zone: &'static str,
    pub key: u16,
    pub is_hot: bool,
    pub arrived_at: Instant,
    pub second: f64,
    pub reason: Option<Reason>,
    pub visits: u32,
    pub is_impatient: bool,
    visited_at: Instant,
    /// Slowness of the owner of its key at the last visit.
    pub owner: f64,
    pub result: Option<Result>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End(u64),
    Deadline(u64),
}

enum Order {
    Written(Table),
    Granted(Arc<Endpoint>, Vec<Completion>),
    Released(Arc<Endpoint>, Release),
    Probed(Arc<Endpoint>),
}

struct Host {
    endpoint: Arc<Endpoint>,
    factor: f64,
    /// Times in which it is slow.
    slow: Vec<(Instant, Instant)>,
    running: Vec<u64>,
    waiting: VecDeque<u64>,
}

impl Host {
    /// Returns when work that begins now ends.
    fn end_of(&self, work: Duration, now: Instant) -> Instant {
        let mut left = work.mul_f64(self.factor);
        let mut at = now;
        for &(from, until) in &self.slow {
            if until <= at {
                continue;
            }
            let before = from.since(at);
            if left <= before {
                break;
            }
            left -= before;
            at = at.max(from);
            if left * 3 <= until.since(at) {
                return at.after(left * 3);
            }
            left -= until.since(at) / 3;
            at = until;
        }
        at.after(left)
    }
}

/// A visit of a caller.
#[derive(Clone, Copy)]
struct Visit {
    caller: usize,
    work: Duration,
    granted_at: Instant,
    host: Option<usize>,
    is_over: bool,
}

pub struct World {
    load: Load,
    now: Instant,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    endpoints: Vec<Arc<Endpoint>>,
    dispatcher: Dispatcher,
    planner: Planner,
    rates: Rates,
    revision: u64,
    orders: Vec<(Instant, Order)>,
    pub callers: Vec<Caller>,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    visits: Vec<Visit>,
    pub rejected: usize,
    pub grants: usize,
}

fn at(second: f64) -> Instant {
    START.after(Duration::from_secs_f64(second))
}

fn id(number: u64) -> Id {
    Id {
        requester: "10.1.0.1:7000".parse().unwrap(),
        number,
    }
}

fn locator<'a>(planner: &'a Planner, now: Instant) -> Box<Locator<'a>> {
    Box::new(move |key| match planner.key_status(key, now) {
        Status::Held(id) => Location::Held(id),
        Status::Moving(id) => Location::Moving(id),
        Status::Unowned(span) => Location::Unowned(span),
    })
}

impl World {
    pub fn new(load: &Load, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut hosts = Vec::new();
        for (index, &factor) in load.owners.iter().enumerate() {
            let mut slow = Vec::new();
            let pause = 0.4 * (1.0 - load.slow_share) / load.slow_share.max(1e-9);
            let mut second = rng.random::<f64>() * pause;
            while second < load.seconds + 10.0 {
                slow.push((at(second), at(second + 0.4)));
                second += 0.4 + pause * rng.random_range(0.5..1.5);
            }
            let endpoint = Endpoint {
                slots: load.slots,
                ..fixture::endpoint(&format!("i-{index:03}"))
            };
            hosts.push(Host {
                endpoint: Arc::new(endpoint),
                factor,
                slow,
                running: Vec::new(),
                waiting: VecDeque::new(),
            });
        }
        let endpoints: Vec<Arc<Endpoint>> = hosts
            .iter()
            .map(|host| Arc::clone(&host.endpoint))
            .collect();
        let retry_limit = Limit {
            ratio_permille: 200,
            slack: 56,
            window: Duration::from_secs(10),
        };
        let mut dispatcher = Dispatcher::new(retry_limit, START);
        dispatcher.set_role(true, 1, 1, START);
        let listed = endpoints.iter().map(|endpoint| (&**endpoint, START));
        dispatcher.set_endpoints(listed, START);
        let claim = Claim {
            node: "vm".into(),
            run: 1,
        };
        let table = Table::claimed(None, "s", claim, 0, &[], &|_| false);
        let planner = Planner::new(table, 1, Duration::from_secs(10), START);
        let mut callers = Vec::new();
        let mut events = BinaryHeap::new();
        for (kind, traits) in load.kinds.iter().enumerate() {
            let mut second = 1.0;
            while second < load.seconds {
                let wave = 1.0 + load.swing * (second * TAU / WAVE_PERIOD_S).sin();
                second += -rng.random::<f64>().max(1e-9).ln() / (traits.rate * wave);
                let mut hot = load.hot.iter();
                let hot = hot.find(|hot| (hot.from_s..hot.until_s).contains(&second));
                let hot = hot.filter(|hot| rng.random_bool(hot.share));
                let key = match hot {
                    Some(hot) => 20_000 + rng.random_range(0..hot.keys) * 131,
                    None => {
                        // Mild skew: the most popular key gets about a thousandth.
                        let rank = rng.random::<f64>().powf(1.6) * 65_536.0;
                        (rank as u16).wrapping_mul(40_503).wrapping_add(77)
                    }
                };
                let mut draw = rng.random::<f64>();
                let zone = traits.zones.iter().find(|(_, share)| {
                    draw -= share;
                    draw <= 0.0
                });
                events.push(Reverse((at(second), Event::Arrive(callers.len()))));
                callers.push(Caller {
                    kind,
                    zone: zone.map_or("a", |(zone, _)| zone),
                    key,
                    is_hot: hot.is_some(),
                    arrived_at: at(second),
                    second,
                    reason: None,
                    visits: 0,
                    is_impatient: rng.random_bool(load.impatient_share),
                    visited_at: START,
                    owner: 1.0,
                    result: None,
                });
            }
        }
        Self {
            load: load.clone(),
            now: START,
            rng,
            hosts,
            endpoints,
            dispatcher,
            planner,
            rates: Rates::default(),
            revision: 1,
            orders: Vec::new(),
            callers,
            events,
            visits: Vec::new(),
            rejected: 0,
            grants: 0,
        }
    }

    pub fn run(&mut self) {
        let mut next_decay = self.now;
        while self.now < at(self.load.seconds + 3.0) {
            let next = self.now.after(TICK);
            while let Some(&Reverse((at, event))) = self.events.peek() {
                if at >= next {
                    break;
                }
                self.events.pop();
                self.now = at.max(self.now);
                match event {
                    Event::Arrive(caller) => {
                        self.callers[caller].visited_at = self.now;
                        self.submit(caller, false);
                    }
                    Event::End(number) => self.end(number),
                    Event::Deadline(number) => self.expire(number),
                }
                self.dispatch();
            }
            self.now = next;
            if self.now >= next_decay {
                next_decay = self.now.after(DECAY_INTERVAL);
                self.rates.decay(DECAY_INTERVAL.as_secs_f64());
            }
            self.finish_orders();
            self.plan();
            self.dispatch();
        }
    }

    fn submit(&mut self, index: usize, is_repeat: bool) {
        let number = self.visits.len() as u64;
        let now = self.now;
        let caller = &mut self.callers[index];
        let kind = &self.load.kinds[caller.kind];
        let work = kind.work.mul_f64(self.rng.random_range(0.6..1.4));
        self.visits.push(Visit {
            caller: index,
            work,
            granted_at: now,
            host: None,
            is_over: false,
        });
        caller.visits += u32::from(!is_repeat);
        let patience = caller.arrived_at.after(kind.patience).since(now);
        let deadline = caller.visited_at.after(kind.timeout).since(now);
        let left = patience.min(deadline);
        let request = Request {
            class: caller.kind as u32,
            key: Some(caller.key),
            rank: kind.rank,
            goal_us: caller.arrived_at.after(kind.goal).since(now).as_micros() as u64,
            left_us: left.as_micros() as u64,
            is_repeat,
            is_return: false,
            subject: u32::from(caller.key),
            patience_us: patience.as_micros() as u64,
            bytes: 0,
            zone: caller.zone.into(),
            avoid: Vec::new(),
        };
        self.rates.record(caller.key);
        let locate = locator(&self.planner, now);
        if let Some(owner) = locate(caller.key).endpoint() {
            let owner: usize = owner[2..].parse().unwrap();
            caller.owner = self.hosts[owner].factor;
        }
        let submitted = self.dispatcher.submit(id(number), request, &*locate, now);
        drop(locate);
        match submitted {
            Ok(()) => {
                let deadline = Event::Deadline(number);
                self.events.push(Reverse((now.after(left), deadline)));
            }
            Err(refusal) => self.refuse(number, refusal),
        }
    }

    fn refuse(&mut self, number: u64, refusal: Refusal) {
        let visit = &mut self.visits[number as usize];
        visit.is_over = true;
        let index = visit.caller;
        let caller = &mut self.callers[index];
        let kind = &self.load.kinds[caller.kind];
        let held = self.now.since(caller.visited_at);
        let result = match held > kind.goal / 8 {
            true => Result::Held,
            false => Result::Refused,
        };
        caller.result = Some(result);
        caller.reason = Some(refusal.reason);
        let left = caller.arrived_at.after(kind.patience).since(self.now);
        let (delay, max_visits) = match caller.is_impatient {
            true => (Duration::from_millis(20), 4),
            false => (refusal.retry_after, 2),
        };
        if caller.visits < max_visits && delay <= left / 3 {
            let again = self.now.after(delay);
            self.events.push(Reverse((again, Event::Arrive(index))));
        }
    }

    fn dispatch(&mut self) {
        let now = self.now;
        let locate = locator(&self.planner, now);
        let decisions = self.dispatcher.dispatch(&*locate, now);
        drop(locate);
        for (id, refusal) in decisions.refusals {
            self.refuse(id.number, refusal);
        }
        for assignment in decisions.assignments {
            let number = assignment.request.number;
            let index: usize = assignment.endpoint[2..].parse().unwrap();
            let host = &mut self.hosts[index];
            if host.running.len() + host.waiting.len() >= usize::from(self.load.slots) + OWNER_QUEUE
            {
                self.rejected += 1;
                self.visits[number as usize].is_over = true;
                self.dispatcher
                    .complete(id(number), Outcome::Shed, Duration::ZERO, now);
                self.submit(self.visits[number as usize].caller, true);
                continue;
            }
            let visit = &mut self.visits[number as usize];
            visit.granted_at = now;
            visit.host = Some(index);
            host.waiting.push_back(number);
            self.start(index);
        }
    }

    fn start(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        while host.running.len() < usize::from(self.load.slots) {
            let Some(number) = host.waiting.pop_front() else {
                return;
            };
            host.running.push(number);
            let end = host.end_of(self.visits[number as usize].work, self.now);
            self.events.push(Reverse((end, Event::End(number))));
        }
    }

    /// Ends the work of a request, of which the caller may be gone.
    fn end(&mut self, number: u64) {
        let visit = &mut self.visits[number as usize];
        let index = visit.host.unwrap();
        self.hosts[index].running.retain(|&other| other != number);
        if !visit.is_over {
            visit.is_over = true;
            let took = self.now.since(visit.granted_at);
            let caller = &mut self.callers[visit.caller];
            let goal = self.load.kinds[caller.kind].goal;
            let is_on_time = self.now.since(caller.arrived_at) <= goal;
            caller.result = Some(match is_on_time {
                true => Result::OnTime,
                false => Result::Late,
            });
            self.dispatcher
                .complete(id(number), Outcome::Answered, took, self.now);
        }
        self.start(index);
    }

    /// Ends a visit at its deadline. The owner drops the request if it has not begun it.
    fn expire(&mut self, number: u64) {
        let visit = &mut self.visits[number as usize];
        if visit.is_over {
            return;
        }
        visit.is_over = true;
        self.callers[visit.caller].result = Some(Result::Expired);
        let took = self.now.since(visit.granted_at);
        let outcome = match visit.host {
            Some(index) => {
                self.hosts[index].waiting.retain(|&other| other != number);
                Outcome::Late
            }
            None => Outcome::Dropped,
        };
        self.dispatcher
            .complete(id(number), outcome, took, self.now);
    }

    fn plan(&mut self) {
        let now = self.now;
        // The store is always reachable.
        self.planner.confirm_claim(now);
        let Self {
            dispatcher,
            planner,
            hosts,
            load,
            ..
        } = self;
        let capacity = |id: &str| match load.is_speed_known {
            true => {
                let factor = hosts[id[2..].parse::<usize>().unwrap()].factor;
                let slow = 1.0 + 2.0 * load.slow_share;
                let work = load.kinds[0].work.as_secs_f64();
                Some(f64::from(load.slots) / (work * factor * slow))
            }
            false => dispatcher.capacity(id, now),
        };
        let actions = planner.tick(&self.endpoints, &self.rates, &capacity, now);
        for action in actions {
            let mut done_at = now.after(CALL_TIME);
            let order = match action {
                Action::Write(table) => {
                    done_at = now.after(WRITE_TIME);
                    Order::Written(table)
                }
                Action::Grant(endpoint, grants) => {
                    done_at = now.after(CALL_TIME * grants.len() as u32);
                    self.grants += grants.len();
                    let completions = grants.into_iter().map(|grant| Completion {
                        grant,
                        sent: now,
                        completed: done_at,
                        outcome: OrderOutcome::Done(None),
                    });
                    Order::Granted(endpoint, completions.collect())
                }
                Action::Release(endpoint, release) => Order::Released(endpoint, release),
                Action::Probe(endpoint, _) => Order::Probed(endpoint),
            };
            self.orders.push((done_at, order));
        }
    }

    fn finish_orders(&mut self) {
        let now = self.now;
        for (at, order) in std::mem::take(&mut self.orders) {
            if at > now {
                self.orders.push((at, order));
                continue;
            }
            match order {
                Order::Written(table) => {
                    self.revision += 1;
                    self.planner.on_table_written(table, self.revision, at, now);
                }
                Order::Granted(endpoint, completions) => {
                    self.planner
                        .on_grant_results(&endpoint.id, &completions, now);
                }
                Order::Released(endpoint, release) => {
                    let index: usize = endpoint.id[2..].parse().unwrap();
                    let host = &self.hosts[index];
                    let mut at_host = host.running.iter().chain(&host.waiting);
                    let is_busy = at_host.any(|&number| {
                        let key = self.callers[self.visits[number as usize].caller].key;
                        (release.from..=release.to).contains(&key)
                    });
                    if is_busy {
                        let retry = Order::Released(endpoint, release);
                        self.orders.push((now.after(TICK), retry));
                        continue;
                    }
                    let outcome = OrderOutcome::Done(Some("state".into()));
                    self.planner
                        .on_release_outcome(&endpoint.id, release, &outcome, now);
                }
                Order::Probed(endpoint) => {
                    let outcome = OrderOutcome::Done(None);
                    self.planner.on_probe_outcome(&endpoint.id, &outcome, now);
                }
            }
        }
    }

    /// Returns the share of the selected callers with these results.
    pub fn share(&self, select: impl Fn(&Caller) -> bool, results: &[Result]) -> f64 {
        let callers = self.callers.iter();
        let counted = callers.filter(|caller| caller.second > WARMUP_S && select(caller));
        let mut total = 0;
        let mut count = 0;
        for caller in counted {
            total += 1;
            let result = caller.result;
            count += usize::from(result.is_some_and(|result| results.contains(&result)));
        }
        count as f64 / f64::from(total.max(1))
    }

    /// Describes what the selected callers got, in percent.
    pub fn describe(&self, select: impl Fn(&Caller) -> bool) -> String {
        let share = |result| self.share(&select, &[result]) * 100.0;
        let refused = |reason| {
            let is = |caller: &Caller| {
                caller.reason == Some(reason)
                    && matches!(caller.result, Some(Result::Refused | Result::Held))
            };
            let callers = self.callers.iter();
            callers
                .filter(|caller| caller.second > WARMUP_S && select(caller) && is(caller))
                .count()
        };
        let reasons = [
            Reason::Full,
            Reason::Waited,
            Reason::Budget,
            Reason::NoOwner,
        ]
        .map(refused);
        format!(
            "{:.1} on time, {:.1} late, {:.1} refused, {:.1} held, {:.1} expired {reasons:?}",
            share(Result::OnTime),
            share(Result::Late),
            share(Result::Refused),
            share(Result::Held),
            share(Result::Expired),
        )
    }

    /// Returns the number of owner changes so far.
    pub fn move_count(&self) -> u64 {
        self.planner.move_count()
    }
}
