//! What the parts of a daemon share.

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

/// Connections to each peer, for messages.
const PEER_CONNECTIONS: usize = 4;

/// Connections to each peer, for callers' requests that are passed on.
const FORWARD_CONNECTIONS: usize = 256;

/// Latest reports on the endpoints of one cell.
pub struct Desk {
    /// Cell.
    pub cell: Box<str>,
    /// Latest report of each renewer on each endpoint.
    pub reports: Vec<Observation>,
}

/// What a peer said it holds.
#[derive(Clone, Debug)]
pub struct Holding {
    /// Peer.
    pub node: Node,
    /// Versions of the intents.
    pub intents: Vec<Version>,
}

/// Retry budget of one service.
struct Allowance {
    service: Box<str>,
    budget: Budget,
}

/// What the parts of a daemon share.
pub struct State {
    /// Where tasks run.
    pub context: Context,
    /// Settings.
    pub settings: Settings,
    /// Secret shared with the peers.
    pub secret: Box<str>,
    /// Operators and their tokens.
    pub operators: Vec<Operator>,
    /// Tables and intents.
    pub tables: Tables,
    /// Seats held by this process.
    pub renewer: Renewer,
    /// Platform's store.
    pub store: store::Client,
    /// Orders to endpoints.
    pub order: order::Client,
    /// Platform's list of VMs.
    pub vms: vms::Client,
    /// Connections for messages to peers.
    pub peers: Set,
    /// Connections for callers' requests that are passed on to peers.
    pub forwards: Set,
    /// Connections for callers' requests to endpoints.
    pub endpoints: Set,
    /// Queues that this process dispatches for.
    pub lines: Arc<Lines>,
    /// Wakes the planners.
    pub nudge: Event,
    /// Sends reports without waiting for the next heartbeat.
    pub report_due: Event,
    /// Makes heartbeats to everyone frequent at once.
    pub alarm: Event,
    /// Requests of callers in flight.
    pub in_flight: AtomicUsize,
    /// Addresses that heartbeats are sent to.
    pub beaten: Mutex<Vec<SocketAddr>>,
    /// What each peer said it holds, sorted by name.
    pub holdings: Mutex<Vec<Holding>>,
    /// Services that are being fetched from a peer.
    pub fetching: Mutex<Vec<Box<str>>>,
    view: Mutex<View>,
    desks: Mutex<Vec<Desk>>,
    deduplicator: Mutex<Deduplicator>,
    allowances: Mutex<Vec<Allowance>>,
    tickets: AtomicU64,
    me: Node,
    leaving: AtomicBool,
    stopped: AtomicBool,
}

impl State {
    /// Starts with nothing held.
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
            nudge: Event::new(),
            report_due: Event::new(),
            alarm: Event::new(),
            in_flight: AtomicUsize::new(0),
            beaten: Mutex::default(),
            holdings: Mutex::default(),
            fetching: Mutex::default(),
            view: Mutex::new(view),
            desks: Mutex::default(),
            deduplicator: Mutex::default(),
            allowances: Mutex::default(),
            tickets: AtomicU64::new(0),
            me,
            leaving: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            settings,
        }
    }

    /// Returns this process.
    pub fn me(&self) -> &Node {
        &self.me
    }

    /// Locks the view of the other processes.
    pub fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap()
    }

    /// Locks the tickets that this process is the home of.
    pub fn deduplicator(&self) -> MutexGuard<'_, Deduplicator> {
        self.deduplicator.lock().unwrap()
    }

    /// Issues a ticket.
    pub fn issue(&self) -> String {
        let ticket = Ticket {
            home: self.me.clone(),
            issued: clock::now(),
            number: self.tickets.fetch_add(1, Ordering::Relaxed),
        };
        ticket.sign(self.secret.as_bytes())
    }

    /// Changes the retry budget of a service.
    pub fn budget<T>(&self, service: &str, change: impl FnOnce(&mut Budget) -> T) -> T {
        let mut allowances = self.allowances.lock().unwrap();
        let found = allowances.binary_search_by(|allowance| (*allowance.service).cmp(service));
        let index = found.unwrap_or_else(|index| {
            let allowance = Allowance {
                service: service.into(),
                budget: Budget::default(),
            };
            allowances.insert(index, allowance);
            index
        });
        change(&mut allowances[index].budget)
    }

    /// Takes in a table, and follows it as a renewer.
    pub fn adopt_cell(&self, cell: Table) {
        let cell = Arc::new(cell);
        let note = || {
            log::info!(
                "event=table_adopted cell={} token={}",
                cell.name,
                cell.token
            );
        };
        if !self.tables.adopt_cell(Arc::clone(&cell), note) {
            return;
        }
        self.renewer.adopt(&cell, &self.me, clock::now());
        self.update_close();
        self.nudge.notify(usize::MAX);
    }

    /// Works out again with whom heartbeats are frequent: every process sends
    /// them to all planners, and to everyone as long as there are none.
    pub fn update_close(&self) {
        let snapshot = self.tables.current();
        let planners = || snapshot.cells.iter().map(|cell| &cell.planner);
        let all = snapshot.cells.is_empty() || planners().any(|planner| *planner == self.me);
        let is_close = |node: &Node| all || planners().any(|planner| planner == node);
        self.view().set_frequent_peers(is_close, clock::now());
    }

    /// Takes in an intent.
    pub fn adopt_intent(&self, confirmed: Record) {
        let service = confirmed.intent.service.clone();
        let version = confirmed.version;
        let note = || log::info!("event=intent_adopted service={service} version={version}");
        if !self.tables.adopt_intent(Arc::new(confirmed), note) {
            return;
        }
        self.nudge.notify(usize::MAX);
    }

    /// Takes in what a renewer reports, and wakes the planner if it is news.
    pub fn adopt_reports(&self, node: &Node, reports: Vec<Reports>) {
        let mut desks = self.desks.lock().unwrap();
        let mut news = false;
        for cell in reports {
            let found = desks.binary_search_by(|desk| desk.cell.cmp(&cell.cell));
            let index = found.unwrap_or_else(|index| {
                let desk = Desk {
                    cell: cell.cell.clone(),
                    reports: Vec::new(),
                };
                desks.insert(index, desk);
                index
            });
            news |= file_reports(&mut desks[index], node, cell);
        }
        drop(desks);
        if news {
            self.nudge.notify(usize::MAX);
        }
    }

    /// Returns the latest reports on the endpoints of a cell.
    pub fn reports(&self, cell: &str) -> Vec<Observation> {
        let desks = self.desks.lock().unwrap();
        let found = desks.binary_search_by(|desk| (*desk.cell).cmp(cell));
        found
            .map(|index| desks[index].reports.clone())
            .unwrap_or_default()
    }

    /// Takes in what a peer holds.
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

    /// Starts to leave: peers and the balancer are told.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        self.view().leave();
        self.report_due.notify(usize::MAX);
    }

    /// Tells whether this process is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Ends the loops of this process.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.nudge.notify(usize::MAX);
    }

    /// Tells whether the loops are to end.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }
}

/// Replaces the renewer's reports; tells whether anything but the same came.
fn file_reports(desk: &mut Desk, node: &Node, cell: Reports) -> bool {
    let (mut old, others): (Vec<Observation>, Vec<Observation>) = desk
        .reports
        .drain(..)
        .partition(|reported| reported.node.name == node.name);
    desk.reports = others;
    let mut news = old.len() != cell.reports.len();
    for report in cell.reports {
        let reported = Observation {
            node: node.clone(),
            report,
        };
        match old.iter().position(|known| known == &reported) {
            Some(index) => drop(old.swap_remove(index)),
            None => news = true,
        }
        desk.reports.push(reported);
    }
    news
}

/// Returns this entry's part of the connections that an endpoint takes.
fn endpoint_connections(settings: &Settings) -> usize {
    const SMALLEST_ENDPOINT: u32 = 45;
    let share = SMALLEST_ENDPOINT / settings.entries;
    share.max(2) as usize
}
