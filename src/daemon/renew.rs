//! Renewing endpoints.
//!
//! One task for each seat sends an order every period, or at once when the
//! table changes. It stops by itself when a newer table takes the seat away.

use crate::{
    core::{
        renewal::{
            self,
            Answer,
            Order,
            Renewal, //
        },
        table::{
            Incarnation,
            Index,
            Node,
            Table, //
        },
        time::{
            Instant,
            LEASE_DURATION,
            RENEWAL_INTERVAL, //
        },
        token::Token,
    },
    daemon::state::State,
    edge::{
        order,
        peer::{
            Reports,
            Stop,
            Stopped, //
        },
    },
    kernel::{
        clock,
        runtime::timeout, //
    },
};
use event_listener::Event;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

/// Pause before an endpoint is asked again whether it finished revoked work.
const SETTLE_PERIOD: Duration = Duration::from_millis(5);

/// Pause after an order that found nothing listening.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);

/// Seats in one cell.
struct Bench {
    cell: Box<str>,
    token: Token,
    seats: Vec<Renewal>,
}

/// Seats held by this process.
#[derive(Default)]
pub struct Renewer {
    benches: Mutex<Vec<Bench>>,
    changed: Event,
}

/// Which seat a task renews.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Post {
    cell: Box<str>,
    endpoint: Index,
    incarnation: Incarnation,
    address: SocketAddr,
}

/// What a seat's task does next.
enum Step {
    Hello,
    Order(Order),
    Wait,
    Leave,
}

impl Renewer {
    /// Follows a newer table.
    pub fn adopt(&self, cell: &Table, me: &Node, now: Instant) {
        let mut benches = self.benches.lock().unwrap();
        let found = benches.binary_search_by(|bench| bench.cell.cmp(&cell.name));
        let index = found.unwrap_or_else(|index| {
            let bench = Bench {
                cell: cell.name.clone(),
                token: Token::default(),
                seats: Vec::new(),
            };
            benches.insert(index, bench);
            index
        });
        let bench = &mut benches[index];
        if bench.token < cell.token {
            bench.token = cell.token;
            renewal::apply_table(&mut bench.seats, cell, me, now);
        }
        drop(benches);
        self.changed.notify(usize::MAX);
    }

    /// Stops renewing an endpoint and promises so.
    pub fn stop(&self, stop: &Stop, now: Instant) -> Stopped {
        let mut benches = self.benches.lock().unwrap();
        let found = benches.binary_search_by(|bench| bench.cell.cmp(&stop.cell));
        let Ok(index) = found else {
            return Stopped { promise: None };
        };
        let bench = &mut benches[index];
        let promise = renewal::promise_stop(
            &mut bench.seats,
            bench.token,
            stop.token,
            stop.endpoint,
            stop.incarnation,
            now,
        );
        Stopped { promise }
    }

    /// Reports on all endpoints of a cell that this process renews.
    pub fn reports(&self, cell: &str, now: Instant) -> Reports {
        let reports = self.with_bench(cell, |bench| {
            bench.seats.iter().map(|seat| seat.report(now)).collect()
        });
        Reports {
            cell: cell.into(),
            reports: reports.unwrap_or_default(),
        }
    }

    fn with_bench<T>(&self, cell: &str, act: impl FnOnce(&mut Bench) -> T) -> Option<T> {
        let mut benches = self.benches.lock().unwrap();
        let found = benches.binary_search_by(|bench| (*bench.cell).cmp(cell));
        found.ok().map(|index| act(&mut benches[index]))
    }

    fn with_seat<T>(&self, post: &Post, act: impl FnOnce(&mut Renewal) -> T) -> Option<T> {
        let seat = |bench: &mut Bench| {
            let mut seats = bench.seats.iter_mut();
            let found = seats.find(|seat| {
                seat.endpoint == post.endpoint && seat.incarnation == post.incarnation
            });
            found.map(act)
        };
        self.with_bench(&post.cell, seat).flatten()
    }
}

/// Starts a task for each seat as tables bring them.
pub async fn run(state: Arc<State>) {
    let mut posts: Vec<Post> = Vec::new();
    while !state.is_stopped() {
        let changed = state.renewer.changed.listen();
        let current = current_posts(&state);
        for post in &current {
            if !posts.contains(post) {
                state
                    .context
                    .detach(renew(Arc::clone(&state), post.clone()));
            }
        }
        posts = current;
        changed.await;
    }
}

fn current_posts(state: &State) -> Vec<Post> {
    let snapshot = state.tables.current();
    let mut posts = Vec::new();
    let benches = state.renewer.benches.lock().unwrap();
    for bench in benches.iter() {
        let Some(cell) = snapshot.cell(&bench.cell) else {
            continue;
        };
        for seat in &bench.seats {
            posts.push(Post {
                cell: bench.cell.clone(),
                endpoint: seat.endpoint,
                incarnation: seat.incarnation,
                address: cell.endpoint(seat.endpoint).address,
            });
        }
    }
    posts
}

/// Renews one endpoint until the seat is gone.
async fn renew(state: Arc<State>, post: Post) {
    while !state.is_stopped() {
        let changed = state.renewer.changed.listen();
        let before = state
            .renewer
            .with_seat(&post, |seat| seat.report(clock::now()));
        let pause = match next_step(&state, &post) {
            Step::Leave => return,
            Step::Wait => RENEWAL_INTERVAL,
            Step::Hello => {
                let result = (state.order.fetch_state)(post.address).await;
                let result = result.map(|answer| order::Reply {
                    answer,
                    obeyed: false,
                });
                take_in(&state, &post, None, result)
            }
            Step::Order(order) => {
                let token = order.token;
                let result = (state.order.send_order)(post.address, order).await;
                take_in(&state, &post, Some(token), result)
            }
        };
        let after = state
            .renewer
            .with_seat(&post, |seat| seat.report(clock::now()));
        if before != after {
            state.report_due.notify(usize::MAX);
        }
        timeout(pause, changed).await;
    }
}

fn next_step(state: &State, post: &Post) -> Step {
    let step = state.renewer.with_seat(post, |seat| {
        if seat.is_stopped {
            return Step::Wait;
        }
        seat.order(LEASE_DURATION).map_or(Step::Hello, Step::Order)
    });
    step.unwrap_or(Step::Leave)
}

/// Takes in an answer and returns how long to wait before the next order.
fn take_in(
    state: &State,
    post: &Post,
    token: Option<Token>,
    result: Result<order::Reply, order::Error>,
) -> Duration {
    metrics::counter!("rhubarbpick_orders_total").increment(1);
    let pause = state.renewer.with_seat(post, |seat| match result {
        Ok(reply) => {
            let obeyed = token.filter(|_| reply.obeyed);
            seat.on_answer(&reply.answer, obeyed, clock::now());
            after_answer(seat, &reply.answer, obeyed)
        }
        Err(order::Error::Refused) => {
            seat.on_refused();
            REFUSED_PAUSE
        }
        Err(_) => Duration::ZERO,
    });
    pause.unwrap_or_default()
}

fn after_answer(seat: &Renewal, answer: &Answer, obeyed: Option<Token>) -> Duration {
    if answer.incarnation != seat.incarnation {
        return RENEWAL_INTERVAL;
    }
    match obeyed {
        Some(token) if token == seat.token && answer.settled >= token => RENEWAL_INTERVAL,
        Some(_) => SETTLE_PERIOD,
        None if seat.acked == Token::default() && answer.token <= seat.token => Duration::ZERO,
        None => RENEWAL_INTERVAL,
    }
}

/// Lists the reports that `planner` is to get.
pub fn reports_for(state: &State, planner: &Node) -> Vec<Reports> {
    let snapshot = state.tables.current();
    let cells = snapshot
        .cells
        .iter()
        .filter(|cell| cell.planner == *planner);
    let now = clock::now();
    cells
        .map(|cell| state.renewer.reports(&cell.name, now))
        .collect()
}
