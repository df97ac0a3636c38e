//! Keyed requests while some endpoints name rate limits, in virtual time.
//!
//! One planner and its dispatcher serve callers that retry when they are told to. Requests run
//! for random times on endpoints with two slots; orders and writes of tables take 10 ms.

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
        Refusal,
        Request, //
    },
    rate_limit::Report,
    rebalance::Rates,
    registry::Endpoint,
    retry_limit::Limit,
    time::Instant,
};
use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    f64::consts::TAU,
    sync::Arc,
    time::Duration, //
};

/// Mean rate of requests, its swing as a fraction, and the period of the swing.
const RATE_PER_S: f64 = 88.0;
const SWING: f64 = 0.55;
const WAVE_PERIOD_S: f64 = 17.0;

/// Response time goal.
const GOAL: Duration = Duration::from_millis(300);

/// Time after which callers give up.
const PATIENCE: Duration = Duration::from_secs(2);

/// Time limit of each visit.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Median service time of an endpoint with speed 1.
const SERVICE_TIME: Duration = Duration::from_millis(68);

/// Time that an order or a write of the table takes.
const CALL_TIME: Duration = Duration::from_millis(10);

const TICK: Duration = Duration::from_millis(5);

const START: Instant = Instant(1_000_000);

const SPEEDS: [f64; 9] = [0.6, 1.0, 1.4, 0.6, 1.0, 1.4, 0.6, 1.0, 1.4];

/// When endpoints name their limits.
const LIMITED_AT: Duration = Duration::from_secs(16);

/// Time within which the keys of limited endpoints should have moved.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Window in which the platform's users count the requests of an endpoint.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

const END: Duration = Duration::from_secs(40);

struct Caller {
    key: u16,
    arrived_at: Instant,
    visits: u32,
    served_at: Option<Instant>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End(u64),
}

enum Order {
    Written(Table),
    Granted(Arc<Endpoint>, Vec<Completion>),
    Released(Arc<Endpoint>, Release),
    Probed(Arc<Endpoint>),
}

struct World {
    now: Instant,
    rng: ChaCha8Rng,
    endpoints: Vec<Arc<Endpoint>>,
    /// Limits that the endpoints name from [`LIMITED_AT`] on.
    limits: Vec<Option<f64>>,
    dispatcher: Dispatcher,
    planner: Planner,
    rates: Rates,
    revision: u64,
    orders: Vec<(Instant, Order)>,
    callers: Vec<Caller>,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    running: Vec<Run>,
    /// Caller of each permit number.
    numbers: Vec<usize>,
    /// When each endpoint got its requests.
    sent: Vec<Vec<Instant>>,
}

/// A request that an endpoint runs.
struct Run {
    /// Number of its permit.
    number: u64,
    caller: usize,
    endpoint: usize,
    key: u16,
    began: Instant,
}

fn is_limited(now: Instant) -> bool {
    now >= START.after(LIMITED_AT)
}

impl World {
    fn new(limits: &[Option<f64>], seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let endpoints =
            (0..SPEEDS.len()).map(|index| Arc::new(fixture::endpoint(&format!("i-{index}"))));
        let endpoints: Vec<Arc<Endpoint>> = endpoints.collect();
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
        let center: u16 = rng.random();
        let mut callers = Vec::new();
        let mut events = BinaryHeap::new();
        let mut second = 2.0_f64;
        while second < END.as_secs_f64() {
            let wave = 1.0 + SWING * (second * TAU / WAVE_PERIOD_S).sin();
            second += -rng.random::<f64>().max(1e-9).ln() / (RATE_PER_S * wave);
            let arrived_at = START.after(Duration::from_secs_f64(second));
            // Popularity falls with the rank to the power of 0.76; popular keys are adjacent.
            let rank = rng.random::<f64>().powf(1.0 / 0.24) * 60_000.0;
            events.push(Reverse((arrived_at, Event::Arrive(callers.len()))));
            callers.push(Caller {
                key: center.wrapping_add(rank as u16),
                arrived_at,
                visits: 0,
                served_at: None,
            });
        }
        Self {
            now: START,
            rng,
            limits: limits.to_vec(),
            dispatcher,
            planner,
            rates: Rates::default(),
            revision: 1,
            orders: Vec::new(),
            callers,
            events,
            running: Vec::new(),
            numbers: vec![0],
            sent: vec![Vec::new(); endpoints.len()],
            endpoints,
        }
    }

    fn run(&mut self) {
        let mut next_decay = self.now;
        while self.now < START.after(END) {
            let next = self.now.after(TICK);
            while let Some(&Reverse((at, event))) = self.events.peek() {
                if at >= next {
                    break;
                }
                self.events.pop();
                self.now = at.max(self.now);
                self.handle(event);
                self.dispatch();
            }
            self.now = next;
            if self.now >= next_decay {
                next_decay = self.now.after(Duration::from_millis(250));
                self.rates.decay(0.25);
            }
            self.finish_orders();
            self.plan();
            self.dispatch();
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(caller) => self.submit(caller),
            Event::End(number) => {
                let position = self.running.iter().position(|run| run.number == number);
                let run = self.running.swap_remove(position.unwrap());
                let took = self.now.since(run.began);
                let limit = self.limits[run.endpoint].filter(|_| is_limited(run.began));
                if let Some(per_s) = limit {
                    let report = Report {
                        per_1000_s: Some((per_s * 1_000.0) as u64),
                        age_us: 0,
                    };
                    let id = &self.endpoints[run.endpoint].id;
                    self.dispatcher.merge_rate_limit(id, report, self.now);
                }
                self.dispatcher
                    .complete(id(number), Outcome::Answered, took, self.now);
                self.callers[run.caller].served_at = Some(self.now);
            }
        }
    }

    fn submit(&mut self, index: usize) {
        let number = self.numbers.len() as u64;
        self.numbers.push(index);
        let now = self.now;
        let caller = &mut self.callers[index];
        caller.visits += 1;
        let patience = caller.arrived_at.after(PATIENCE).since(now);
        let request = Request {
            class: 1,
            key: Some(caller.key),
            rank: 2,
            goal_us: GOAL.as_micros() as u64,
            left_us: patience.min(TIMEOUT).as_micros() as u64,
            is_repeat: false,
            is_return: false,
            subject: index as u32,
            patience_us: patience.as_micros() as u64,
            bytes: 0,
            zone: "a".into(),
            avoid: Vec::new(),
        };
        self.rates.record(caller.key);
        let locate = locator(&self.planner, now);
        let submitted = self.dispatcher.submit(id(number), request, &*locate, now);
        drop(locate);
        if let Err(refusal) = submitted {
            self.refuse(number, refusal);
        }
    }

    fn refuse(&mut self, number: u64, refusal: Refusal) {
        let index = self.numbers[number as usize];
        let caller = &mut self.callers[index];
        let left = caller.arrived_at.after(PATIENCE).since(self.now);
        if caller.visits > 2 || refusal.retry_after > left / 3 {
            return;
        }
        let at = self.now.after(refusal.retry_after);
        self.events.push(Reverse((at, Event::Arrive(index))));
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
            let endpoint: usize = assignment.endpoint[2..].parse().unwrap();
            let caller = self.numbers[number as usize];
            let key = self.callers[caller].key;
            self.sent[endpoint].push(now);
            let spread = self.rng.random_range(0.55..1.45);
            let tail = if self.rng.random_bool(0.03) { 5.0 } else { 1.0 };
            let mut took = SERVICE_TIME.mul_f64(spread * tail / SPEEDS[endpoint]);
            // A slot may have to become free first.
            let busy = self
                .running
                .iter()
                .filter(|run| run.endpoint == endpoint)
                .count();
            if busy >= 2 {
                took += SERVICE_TIME.mul_f64(0.5 / SPEEDS[endpoint]);
            }
            self.running.push(Run {
                number,
                caller,
                endpoint,
                key,
                began: now,
            });
            let end = now.after(took);
            self.events.push(Reverse((end, Event::End(number))));
        }
    }

    fn plan(&mut self) {
        let now = self.now;
        // The claim is read again when no table has been written for some time.
        self.planner.confirm_claim(now);
        let dispatcher = &self.dispatcher;
        let capacity = |id: &str| dispatcher.capacity(id, now);
        let actions = self
            .planner
            .tick(&self.endpoints, &self.rates, &capacity, now);
        let done_at = now.after(CALL_TIME);
        for action in actions {
            let order = match action {
                Action::Write(table) => Order::Written(table),
                Action::Grant(endpoint, grants) => {
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
                    let mut running = self.running.iter();
                    let is_busy = running.any(|run| {
                        self.endpoints[run.endpoint].id == endpoint.id
                            && (release.from..=release.to).contains(&run.key)
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

    /// Returns the callers that arrive once the keys should have moved.
    fn counted(&self) -> impl Iterator<Item = &Caller> {
        let since = START.after(LIMITED_AT + SETTLE_TIME);
        let until = START.after(END - PATIENCE);
        let callers = self.callers.iter();
        callers.filter(move |caller| (since..until).contains(&caller.arrived_at))
    }

    fn share(&self, predicate: impl Fn(&Caller) -> bool) -> f64 {
        let count = self.counted().filter(|caller| predicate(caller)).count();
        count as f64 / self.counted().count() as f64
    }

    /// Returns the most requests that an endpoint got in a window of [`LIMIT_WINDOW`].
    fn busiest_window(&self, endpoint: usize) -> usize {
        let since = START.after(LIMITED_AT + SETTLE_TIME);
        let sent: Vec<Instant> = self.sent[endpoint]
            .iter()
            .copied()
            .filter(|at| *at >= since)
            .collect();
        let in_window = |(index, first): (usize, &Instant)| {
            let window = sent[index..].iter();
            window
                .take_while(|at| at.since(*first) < LIMIT_WINDOW)
                .count()
        };
        sent.iter().enumerate().map(in_window).max().unwrap_or(0)
    }
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

#[test]
fn keys_of_rate_limited_endpoints_are_served_by_those_with_room() {
    // At the crest, 136 requests per second meet a capacity of 172 beside the limited endpoints.
    let limits: [Option<f64>; 9] = std::array::from_fn(|index| match index {
        4 => Some(2.8),
        8 => Some(2.1),
        _ => None,
    });
    for seed in 0..4 {
        let mut world = World::new(&limits, seed);
        world.run();
        let served = world.share(|caller| caller.served_at.is_some());
        assert!(served >= 0.95, "seed {seed}: {served:.3} served");
        for (endpoint, limit) in limits.iter().enumerate() {
            let Some(per_s) = limit else { continue };
            let allowed = 1.5 * per_s * LIMIT_WINDOW.as_secs_f64() + 5.0;
            let sent = world.busiest_window(endpoint);
            assert!(
                sent as f64 <= allowed,
                "seed {seed}: endpoint {endpoint} got {sent}, allowed {allowed}"
            );
        }
    }
}
