//! State shared by the tasks of a daemon.

use crate::{
    core::{
        intent::Record,
        membership::{
            Peer,
            View, //
        },
        planner::Observation,
        retry_budget::Budget,
        table::{
            Node,
            Table, //
        },
        ticket::{
            Deduplicator,
            Ticket, //
        },
    },
    daemon::{
        dispatch::Lines,
        operator::Operator,
        renew::Renewer,
        tables::Tables, //
    },
    edge::{
        order,
        peer::{
            Reports,
            Version, //
        },
        store,
        vms, //
    },
    kernel::{
        clock,
        pool::Set,
        runtime::Context,
        settings::Settings, //
    },
};
use event_listener::Event;
use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicBool,
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
        Arc,
        Mutex,
        MutexGuard, //
    },
};

/// Maximum number of connections to each peer for messages.
const PEER_CONNECTIONS: usize = 4;

/// Maximum number of connections to each peer for forwarded requests of callers.
const FORWARD_CONNECTIONS: usize = 256;

/// Latest reports of the renewers on the endpoints of one cell.
pub struct Observations {
    /// Name of the cell.
    pub cell: Box<str>,
    /// Latest report of each renewer on each endpoint.
    pub reports: Vec<Observation>,
}

/// The intents that a peer holds, according to its last message.
#[derive(Clone, Debug)]
pub struct Holding {
    /// The peer.
    pub node: Node,
    /// Versions of its intents.
    pub intents: Vec<Version>,
}

/// Retry budget of one service.
struct Account {
    service: Box<str>,
    budget: Budget,
}

/// State shared by the tasks of a daemon.
pub struct State {
    /// Executor of the tasks.
    pub context: Context,
    /// Settings.
    pub settings: Settings,
    /// Secret shared with the peers.
    pub secret: Box<str>,
    /// Operators and their tokens.
    pub operators: Vec<Operator>,
    /// Tables and intents.
    pub tables: Tables,
    /// Renewals by this process.
    pub renewer: Renewer,
    /// Client of the platform's store.
    pub store: store::Client,
    /// Client for orders to endpoints.
    pub order: order::Client,
    /// Client of the platform's list of VMs.
    pub vms: vms::Client,
    /// Connections for messages to peers.
    pub peers: Set,
    /// Connections for callers' requests that are forwarded to peers.
    pub forwards: Set,
    /// Connections for callers' requests to endpoints.
    pub endpoints: Set,
    /// Queues for which this process is the dispatcher.
    pub lines: Arc<Lines>,
    /// Wakes the planning tasks when an input of their decisions changes.
    pub planner_wakeup: Event,
    /// Triggers a heartbeat with new reports before the next one is due.
    pub report_due: Event,
    /// Wakes the heartbeat tasks when a planner is newly suspected of failure, which makes the
    /// heartbeats to all peers frequent.
    pub alarm: Event,
    /// Number of callers' requests in progress.
    pub in_flight: AtomicUsize,
    /// Addresses that heartbeats are sent to.
    pub beaten: Mutex<Vec<SocketAddr>>,
    /// The intents that each peer holds, sorted by the name of the peer.
    pub holdings: Mutex<Vec<Holding>>,
    /// Services whose table and intent are being fetched from a peer, sorted by name.
    pub fetching: Mutex<Vec<Box<str>>>,
    view: Mutex<View>,
    observations: Mutex<Vec<Observations>>,
    deduplicator: Mutex<Deduplicator>,
    retry_budgets: Mutex<Vec<Account>>,
    next_ticket: AtomicU64,
    me: Node,
    leaving: AtomicBool,
    stopped: AtomicBool,
}

impl State {
    /// Creates the state, without any table or intent.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        context: &Context,
        settings: Settings,
        secret: Box<str>,
        operators: Vec<Operator>,
        view: View,
        store: store::Client,
        order: order::Client,
        vms: vms::Client,
    ) -> Self {
        let me = view.me().node.clone();
        Self {
            context: context.clone(),
            secret,
            operators,
            tables: Tables::default(),
            renewer: Renewer::default(),
            store,
            order,
            vms,
            peers: Set::new(context, PEER_CONNECTIONS),
            forwards: Set::new(context, FORWARD_CONNECTIONS),
            endpoints: Set::new(context, endpoint_connections(&settings)),
            lines: Arc::default(),
            planner_wakeup: Event::new(),
            report_due: Event::new(),
            alarm: Event::new(),
            in_flight: AtomicUsize::new(0),
            beaten: Mutex::default(),
            holdings: Mutex::default(),
            fetching: Mutex::default(),
            view: Mutex::new(view),
            observations: Mutex::default(),
            deduplicator: Mutex::default(),
            retry_budgets: Mutex::default(),
            next_ticket: AtomicU64::new(0),
            me,
            leaving: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            settings,
        }
    }

    /// Returns the name and incarnation of this process.
    pub fn me(&self) -> &Node {
        &self.me
    }

    /// Locks the membership view.
    pub fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap()
    }

    /// Locks the deduplicator of requests with a ticket that this process issued.
    pub fn deduplicator(&self) -> MutexGuard<'_, Deduplicator> {
        self.deduplicator.lock().unwrap()
    }

    /// Issues a ticket whose home is this process.
    pub fn issue(&self) -> String {
        let ticket = Ticket {
            home: self.me.clone(),
            issued: clock::now(),
            number: self.next_ticket.fetch_add(1, Ordering::Relaxed),
        };
        ticket.sign(self.secret.as_bytes())
    }

    /// Calls `change` with the retry budget of a service and returns its result.
    pub fn budget<T>(&self, service: &str, change: impl FnOnce(&mut Budget) -> T) -> T {
        let mut retry_budgets = self.retry_budgets.lock().unwrap();
        let found = retry_budgets.binary_search_by(|account| (*account.service).cmp(service));
        let index = found.unwrap_or_else(|index| {
            let account = Account {
                service: service.into(),
                budget: Budget::default(),
            };
            retry_budgets.insert(index, account);
            index
        });
        change(&mut retry_budgets[index].budget)
    }

    /// Adopts a table if it is newer than the one held, and applies it to the renewals of this
    /// process.
    pub fn adopt_cell(&self, table: Table) {
        let table = Arc::new(table);
        let log_adoption = || {
            log::info!(
                "event=table_adopted cell={} token={}",
                table.name,
                table.token
            );
        };
        if !self.tables.adopt_cell(Arc::clone(&table), log_adoption) {
            return;
        }
        self.renewer.adopt(&table, &self.me, clock::now());
        self.update_close();
        self.planner_wakeup.notify(usize::MAX);
    }

    /// Updates which peers exchange frequent heartbeats with this process: all planners, or all
    /// peers if this process is a planner or there are no tables yet.
    pub fn update_close(&self) {
        let snapshot = self.tables.current();
        let planners = || snapshot.cells.iter().map(|table| &table.planner);
        let all = snapshot.cells.is_empty() || planners().any(|planner| *planner == self.me);
        let is_frequent = |node: &Node| all || planners().any(|planner| planner == node);
        self.view().set_frequent_peers(is_frequent, clock::now());
    }

    /// Adopts an intent if it is newer than the one held.
    pub fn adopt_intent(&self, record: Record) {
        let service = record.intent.service.clone();
        let version = record.version;
        let log_adoption =
            || log::info!("event=intent_adopted service={service} version={version}");
        if !self.tables.adopt_intent(Arc::new(record), log_adoption) {
            return;
        }
        self.planner_wakeup.notify(usize::MAX);
    }

    /// Replaces the reports of a renewer, and wakes the planning tasks if they differ from the
    /// previous ones.
    pub fn adopt_reports(&self, node: &Node, reports: Vec<Reports>) {
        let mut observations = self.observations.lock().unwrap();
        let mut is_changed = false;
        for incoming in reports {
            let found = observations.binary_search_by(|observed| observed.cell.cmp(&incoming.cell));
            let index = found.unwrap_or_else(|index| {
                let observed = Observations {
                    cell: incoming.cell.clone(),
                    reports: Vec::new(),
                };
                observations.insert(index, observed);
                index
            });
            is_changed |= replace_reports(&mut observations[index], node, incoming);
        }
        drop(observations);
        if is_changed {
            self.planner_wakeup.notify(usize::MAX);
        }
    }

    /// Returns the latest reports on the endpoints of a cell.
    pub fn reports(&self, cell: &str) -> Vec<Observation> {
        let observations = self.observations.lock().unwrap();
        let found = observations.binary_search_by(|observed| (*observed.cell).cmp(cell));
        found
            .map(|index| observations[index].reports.clone())
            .unwrap_or_default()
    }

    /// Records the versions of the intents that a peer holds.
    pub fn note_holding(&self, node: &Node, intents: Vec<Version>) {
        let holding = Holding {
            node: node.clone(),
            intents,
        };
        let mut holdings = self.holdings.lock().unwrap();
        match holdings.binary_search_by(|known| known.node.name.cmp(&node.name)) {
            Ok(index) => holdings[index] = holding,
            Err(index) => holdings.insert(index, holding),
        }
    }

    /// Describes this process to its peers.
    pub fn peer(&self) -> Peer {
        self.view().me().clone()
    }

    /// Starts the shutdown: the load balancer and the peers see that this process is leaving.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        self.view().leave();
        self.report_due.notify(usize::MAX);
    }

    /// Returns whether this process is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Makes the loops of all tasks end.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.planner_wakeup.notify(usize::MAX);
    }

    /// Returns whether the loops of the tasks have to end.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }
}

/// Replaces the reports of a renewer on a cell.
///
/// Returns whether they differ from the previous ones.
fn replace_reports(observed: &mut Observations, node: &Node, incoming: Reports) -> bool {
    let (mut previous, others): (Vec<Observation>, Vec<Observation>) = observed
        .reports
        .drain(..)
        .partition(|observation| observation.node.name == node.name);
    observed.reports = others;
    let mut is_changed = previous.len() != incoming.reports.len();
    for report in incoming.reports {
        let observation = Observation {
            node: node.clone(),
            report,
        };
        match previous.iter().position(|known| known == &observation) {
            Some(index) => drop(previous.swap_remove(index)),
            None => is_changed = true,
        }
        observed.reports.push(observation);
    }
    is_changed
}

/// Returns this process's share of the connections that the smallest endpoint accepts.
fn endpoint_connections(settings: &Settings) -> usize {
    const MIN_ENDPOINT_CONNECTIONS: u32 = 45;
    let share = MIN_ENDPOINT_CONNECTIONS / settings.entries;
    share.max(2) as usize
}
