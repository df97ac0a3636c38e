//! Renews the leases of endpoints.
//!
//! One task for each endpoint that this process renews sends an order at every
//! renewal interval, and immediately after the table changes. The task ends when a
//! newer table no longer names this process as a renewer of the endpoint.

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

/// Delay before an endpoint is asked again whether it has completed the requests on
/// revoked shards.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Delay after an endpoint refused the connection.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Renewals of the endpoints of a cell.
struct Group {
    cell: Box<str>,
    token: Token,
    renewals: Vec<Renewal>,
}

/// Renewals by this process, grouped by cell and sorted by its name.
#[derive(Default)]
pub struct Renewer {
    groups: Mutex<Vec<Group>>,
    changed: Event,
}

/// Identifies the renewal that a task performs.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Key {
    cell: Box<str>,
    endpoint: Index,
    incarnation: Incarnation,
    address: SocketAddr,
}

/// What a renewal task does next.
enum Action {
    /// Fetch the endpoint's state, because there is no stamp for an order yet.
    FetchState,
    /// Send the order.
    SendOrder(Order),
    /// Send nothing, because the renewer has promised to stop.
    Wait,
    /// End the task, because the renewal no longer exists.
    Exit,
}

impl Renewer {
    /// Updates the renewals to a newer table.
    pub fn adopt(&self, table: &Table, me: &Node, now: Instant) {
        let mut groups = self.groups.lock().unwrap();
        let found = groups.binary_search_by(|group| group.cell.cmp(&table.name));
        let index = found.unwrap_or_else(|index| {
            let group = Group {
                cell: table.name.clone(),
                token: Token::default(),
                renewals: Vec::new(),
            };
            groups.insert(index, group);
            index
        });
        let group = &mut groups[index];
        if group.token < table.token {
            group.token = table.token;
            renewal::apply_table(&mut group.renewals, table, me, now);
        }
        drop(groups);
        self.changed.notify(usize::MAX);
    }

    /// Stops renewing an endpoint and returns the promise not to renew it, if any.
    pub fn stop(&self, stop: &Stop, now: Instant) -> Stopped {
        let mut groups = self.groups.lock().unwrap();
        let found = groups.binary_search_by(|group| group.cell.cmp(&stop.cell));
        let Ok(index) = found else {
            return Stopped { promise: None };
        };
        let group = &mut groups[index];
        let promise = renewal::promise_stop(
            &mut group.renewals,
            group.token,
            stop.token,
            stop.endpoint,
            stop.incarnation,
            now,
        );
        Stopped { promise }
    }

    /// Returns the reports on the endpoints of a cell that this process renews.
    pub fn reports(&self, cell: &str, now: Instant) -> Reports {
        let reports = self.with_group(cell, |group| {
            group
                .renewals
                .iter()
                .map(|renewal| renewal.report(now))
                .collect()
        });
        Reports {
            cell: cell.into(),
            reports: reports.unwrap_or_default(),
        }
    }

    /// Applies an operation to the renewals of a cell, if there are any.
    fn with_group<T>(&self, cell: &str, operation: impl FnOnce(&mut Group) -> T) -> Option<T> {
        let mut groups = self.groups.lock().unwrap();
        let found = groups.binary_search_by(|group| (*group.cell).cmp(cell));
        found.ok().map(|index| operation(&mut groups[index]))
    }

    /// Applies an operation to a renewal, if it still exists.
    fn with_renewal<T>(&self, key: &Key, operation: impl FnOnce(&mut Renewal) -> T) -> Option<T> {
        let find = |group: &mut Group| {
            let mut renewals = group.renewals.iter_mut();
            let found = renewals.find(|renewal| {
                renewal.endpoint == key.endpoint && renewal.incarnation == key.incarnation
            });
            found.map(operation)
        };
        self.with_group(&key.cell, find).flatten()
    }
}

/// Starts a task for each new renewal, until this process stops.
pub async fn run(state: Arc<State>) {
    let mut keys: Vec<Key> = Vec::new();
    while !state.is_stopped() {
        let changed = state.renewer.changed.listen();
        let current = current_keys(&state);
        for key in &current {
            if !keys.contains(key) {
                state.context.detach(renew(Arc::clone(&state), key.clone()));
            }
        }
        keys = current;
        changed.await;
    }
}

/// Returns the keys of all renewals of this process.
fn current_keys(state: &State) -> Vec<Key> {
    let snapshot = state.tables.current();
    let mut keys = Vec::new();
    let groups = state.renewer.groups.lock().unwrap();
    for group in groups.iter() {
        let Some(table) = snapshot.cell(&group.cell) else {
            continue;
        };
        for renewal in &group.renewals {
            keys.push(Key {
                cell: group.cell.clone(),
                endpoint: renewal.endpoint,
                incarnation: renewal.incarnation,
                address: table.endpoint(renewal.endpoint).address,
            });
        }
    }
    keys
}

/// Renews the lease of an endpoint until a newer table removes the renewal.
async fn renew(state: Arc<State>, key: Key) {
    while !state.is_stopped() {
        let changed = state.renewer.changed.listen();
        let before = state
            .renewer
            .with_renewal(&key, |renewal| renewal.report(clock::now()));
        let delay = match next_action(&state, &key) {
            Action::Exit => return,
            Action::Wait => RENEWAL_INTERVAL,
            Action::FetchState => {
                let result = (state.order.fetch_state)(key.address).await;
                let result = result.map(|answer| order::Reply {
                    answer,
                    obeyed: false,
                });
                apply_reply(&state, &key, None, result)
            }
            Action::SendOrder(order) => {
                let token = order.token;
                let result = (state.order.send_order)(key.address, order).await;
                apply_reply(&state, &key, Some(token), result)
            }
        };
        let after = state
            .renewer
            .with_renewal(&key, |renewal| renewal.report(clock::now()));
        if before != after {
            state.report_due.notify(usize::MAX);
        }
        timeout(delay, changed).await;
    }
}

/// Returns what the task has to do next, according to the state of the renewal.
fn next_action(state: &State, key: &Key) -> Action {
    let action = state.renewer.with_renewal(key, |renewal| {
        if renewal.is_stopped {
            return Action::Wait;
        }
        renewal
            .order(LEASE_DURATION)
            .map_or(Action::FetchState, Action::SendOrder)
    });
    action.unwrap_or(Action::Exit)
}

/// Applies the reply of an endpoint and returns the delay before the next order.
fn apply_reply(
    state: &State,
    key: &Key,
    token: Option<Token>,
    result: Result<order::Reply, order::Error>,
) -> Duration {
    metrics::counter!("rhubarbpick_orders_total").increment(1);
    let delay = state.renewer.with_renewal(key, |renewal| match result {
        Ok(reply) => {
            let accepted = token.filter(|_| reply.obeyed);
            renewal.on_answer(&reply.answer, accepted, clock::now());
            delay_after_answer(renewal, &reply.answer, accepted)
        }
        Err(order::Error::Refused) => {
            renewal.on_refused();
            REFUSED_RETRY_DELAY
        }
        Err(_) => Duration::ZERO,
    });
    delay.unwrap_or_default()
}

/// Returns the delay before the next order after an answer.
fn delay_after_answer(renewal: &Renewal, answer: &Answer, accepted: Option<Token>) -> Duration {
    if answer.incarnation != renewal.incarnation {
        return RENEWAL_INTERVAL;
    }
    match accepted {
        Some(token) if token == renewal.token && answer.settled >= token => RENEWAL_INTERVAL,
        Some(_) => SETTLE_POLL_INTERVAL,
        None if renewal.acked == Token::default() && answer.token <= renewal.token => {
            Duration::ZERO
        }
        None => RENEWAL_INTERVAL,
    }
}

/// Returns the reports on the cells that `planner` plans.
pub fn reports_for(state: &State, planner: &Node) -> Vec<Reports> {
    let snapshot = state.tables.current();
    let tables = snapshot
        .cells
        .iter()
        .filter(|table| table.planner == *planner);
    let now = clock::now();
    tables
        .map(|table| state.renewer.reports(&table.name, now))
        .collect()
}
