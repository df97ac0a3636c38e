//! The daemon, which runs on every entry VM.
//!
//! Each daemon accepts callers' requests, renews the leases of the endpoints for
//! which the tables name it as a renewer, and serves the operators' API. Any of
//! them may become the planner of a cell. A daemon needs no persistent state of its
//! own, since it can read tables and intents again from its peers or the store.

pub mod admin;
pub mod attempt;
pub mod beat;
pub mod dispatch;
pub mod entry;
pub mod forward;
pub mod gate;
pub mod health;
pub mod operator;
pub mod peer;
pub mod plan;
pub mod refusal;
pub mod renew;
pub mod route;
pub mod state;
pub mod tables;
pub mod watch;

use crate::{
    core::{
        membership::{
            Peer,
            View, //
        },
        table::{
            Incarnation,
            Node, //
        },
    },
    daemon::state::State,
    kernel::{
        clock,
        error::Error,
        http::{
            self,
            Limits,
            Listener, //
        },
        plugin,
        runtime::Context,
        settings::{
            self,
            Settings, //
        },
    },
};
use metrics_exporter_prometheus::PrometheusHandle;
use std::{
    sync::Arc,
    time::Duration, //
};

/// How long a process that is shutting down still accepts requests before it closes its
/// listeners.
///
/// In this time, the load balancer sees the failing health check and the peers learn of the
/// shutdown.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(1000);

/// How long a listener that is being closed waits for responses in progress.
const LISTENER_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// A running daemon.
pub struct Daemon {
    /// State shared by the tasks and request handlers.
    pub state: Arc<State>,
    callers: Listener,
    peers: Listener,
    admin: Listener,
    health: Listener,
}

/// Starts the listeners and background tasks of a daemon.
pub fn spawn(
    context: &Context,
    settings: Settings,
    metrics: Option<PrometheusHandle>,
) -> Result<Daemon, Error> {
    let context = &context.with_source_address(settings.source);
    let secret = settings::read_secret(&settings.secret_file)?;
    let operators = operator::read(&settings.operators_file)?;
    let node = Node {
        name: settings.name.clone(),
        incarnation: Incarnation(clock::wall_micros()),
    };
    let me = Peer {
        node,
        address: settings.listen.advertised_address(),
        zone: settings.zone.clone(),
        leaving: false,
    };
    let store = plugin::open_store(&settings.store.dialect, context, settings.store.address)?;
    let order = plugin::open_order(&settings.orders, context)?;
    let vms = plugin::open_vms(&settings.vms.dialect, context, settings.vms.address)?;
    let listen = settings.listen.clone();
    let state = Arc::new(State::new(
        context,
        settings,
        secret,
        operators,
        View::new(me),
        store,
        order,
        vms,
    ));
    let bind = |address, handler| http::bind(context, address, Limits::default(), handler);
    let peer_limits = Limits {
        has_date: false,
        ..Limits::default()
    };
    let peers = http::bind(
        context,
        listen.peers,
        peer_limits,
        http::with_state(&state, peer::handle),
    )?;
    let admin = bind(listen.admin, http::with_state(&state, admin::handle))?;
    let health_state = Arc::clone(&state);
    let health = bind(
        listen.health,
        Arc::new(move |request| {
            let response = health::handle(&health_state, &request, metrics.as_ref());
            Box::pin(async move { response })
        }),
    )?;
    let callers = bind(listen.callers, http::with_state(&state, entry::handle))?;
    context.detach(watch::run(Arc::clone(&state)));
    context.detach(watch::run_vms(Arc::clone(&state)));
    context.detach(plan::run(Arc::clone(&state)));
    context.detach(dispatch::remove_expired(Arc::clone(&state)));
    context.detach(dispatch::poll_endpoints(Arc::clone(&state)));
    beat::start(&state);
    log::info!(
        "event=started name={} run={} callers={}",
        state.me().name,
        state.me().incarnation.0,
        callers.address
    );
    Ok(Daemon {
        state,
        callers,
        peers,
        admin,
        health,
    })
}

impl Daemon {
    /// Stops accepting requests, waits for those in flight and returns the number of
    /// connections that were closed before they finished.
    pub async fn drain(self) -> usize {
        let timeout = Duration::from_millis(self.state.settings.drain_ms);
        log::info!(
            "event=draining name={} limit_ms={}",
            self.state.me().name,
            timeout.as_millis()
        );
        self.state.leave();
        crate::kernel::runtime::sleep(SHUTDOWN_NOTICE).await;
        let cut_connections = self.callers.drain(timeout).await;
        log::info!(
            "event=stopped name={} cut_connections={cut_connections}",
            self.state.me().name
        );
        self.close(LISTENER_CLOSE_TIMEOUT).await;
        cut_connections
    }

    /// Stops the background tasks and closes the listeners, waiting at most `timeout` for each.
    pub async fn close(self, timeout: Duration) {
        self.state.stop();
        let listeners = [&self.callers, &self.admin, &self.peers, &self.health];
        for listener in listeners {
            listener.drain(timeout).await;
        }
    }
}
