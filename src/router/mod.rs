//! The process on every VM of the users' platform.
//!
//! One program, one role: each VM takes callers' requests, and may read the
//! store for the others, dispatch for a service or plan the owners of its
//! keys. Nothing is kept here that cannot be read again from the store.

pub mod attempt;
pub mod datagram;
pub mod dispatcher;
pub mod error_response;
pub mod membership;
pub mod peer;
pub mod permit_client;
pub mod planner;
pub mod readiness;
pub mod reload;
pub mod request;
pub mod settings;
pub mod state;
pub mod sync;
pub mod wire;

use crate::{
    kernel::{
        clock,
        failure::Error,
        http::{
            self,
            Limits,
            Listener, //
        },
        plugin,
        runtime::{
            sleep,
            Context, //
        },
    },
    router::{
        settings::Settings,
        state::State, //
    },
};
use metrics_exporter_prometheus::PrometheusHandle;
use std::{
    sync::{
        atomic::Ordering,
        Arc, //
    },
    time::Duration,
};

/// How long a leaving process still takes new connections.
///
/// The balancer sees two failing checks, a second apart, before it stops.
const NOTICE: Duration = Duration::from_millis(2_300);

/// Part of the grace period that is kept for the end of the process.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// How often the summary line is logged.
const SUMMARY_PERIOD: Duration = Duration::from_secs(5);

/// Part of an endpoint's connections that idle ones may take, in hundredths.
const IDLE_PERCENT: usize = 55;

/// Descriptors that are not for callers' connections.
const OWN_DESCRIPTORS: u64 = 1_000;

/// Longest time a caller may take for a request head, idle time included.
///
/// Callers reuse connections that have been idle for most of the limit that
/// the configuration names; this lies above it.
const HEAD_TIME: Duration = Duration::from_secs(40);

/// A running router process.
pub struct Router {
    /// What its parts share.
    pub state: Arc<State>,
    callers: Listener,
    /// Serve as long as the handles live.
    _others: [Listener; 2],
}

/// Starts a router process.
pub fn spawn(
    context: &Context,
    settings: Settings,
    metrics: Option<PrometheusHandle>,
) -> Result<Router, Error> {
    let context = &context.with_source(settings.source_address);
    let store = plugin::open_objects(&settings.store.dialect, context, settings.store.address)?;
    let lease = plugin::open_lease(&settings.lease_dialect, context)?;
    let fields = plugin::open_fields(&settings.header_dialect)?;
    let socket = datagram::bind(settings.listen.datagrams)?;
    let listen = settings.listen.clone();
    let connections = settings
        .max_file_descriptors
        .saturating_sub(OWN_DESCRIPTORS)
        .max(64);
    let run = clock::wall_micros();
    let state = Arc::new(State::new(
        context, settings, run, fields, store, lease, socket,
    ));
    let ready_state = Arc::clone(&state);
    let ready = http::bind(
        context,
        listen.ready,
        Limits::default(),
        Arc::new(move |request| {
            let answer = readiness::handle(&ready_state, &request, metrics.as_ref());
            Box::pin(async move { answer })
        }),
    )?;
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
    let caller_limits = Limits {
        head_time: HEAD_TIME,
        head_bytes: 64 * 1024,
        head_fields: 128,
        connections: connections as usize,
        has_date: false,
    };
    let callers = http::bind(
        context,
        listen.callers,
        caller_limits,
        http::with_state(&state, request::handle),
    )?;
    context.detach(datagram::run(Arc::clone(&state)));
    sync::spawn(&state);
    context.detach(membership::run(Arc::clone(&state)));
    context.detach(dispatcher::run(Arc::clone(&state)));
    context.detach(permit_client::run(Arc::clone(&state)));
    context.detach(planner::run(Arc::clone(&state)));
    context.detach(summarize(Arc::clone(&state)));
    log::info!(
        "event=started name={} run={run} zone={} callers={}",
        state.settings.name,
        state.settings.zone,
        listen.callers
    );
    Ok(Router {
        state,
        callers,
        _others: [ready, peers],
    })
}

/// Logs what was done, and keeps the connections to endpoints within their bound.
async fn summarize(state: Arc<State>) {
    loop {
        sleep(SUMMARY_PERIOD).await;
        let counts = &state.counts;
        let view = state.view();
        log::info!(
            "event=summary requests={} answered={} refused={} failed={} left={} age_ms={} \
             lag_ms={} endpoints={} members={} manifest={}",
            counts.requests.load(Ordering::Relaxed),
            counts.answered.load(Ordering::Relaxed),
            counts.refused.load(Ordering::Relaxed),
            counts.failed.load(Ordering::Relaxed),
            counts.left.load(Ordering::Relaxed),
            state.age().as_millis(),
            counts.lag_ms.swap(0, Ordering::Relaxed),
            view.endpoints.len(),
            view.members.len(),
            view.manifest
                .as_ref()
                .map_or(0, |manifest| manifest.version),
        );
        state.endpoints.sweep();
        let services = view.manifest.iter().flat_map(|manifest| &manifest.services);
        let least = services.map(|service| service.connections as usize).min();
        if let Some(connections) = least.filter(|&connections| connections > 0) {
            let members = view.members.len().max(1);
            let share = connections * IDLE_PERCENT / 100 / members;
            state.endpoints.set_idle_max(share.max(1));
        }
    }
}

impl Router {
    /// Stops taking new work, finishes what is in flight and returns the
    /// number of connections that were cut off.
    pub async fn drain(self) -> usize {
        let grace = self.state.settings.bounds.grace_period;
        log::info!("event=draining grace_ms={}", grace.as_millis());
        self.state.leave();
        self.state.changed.notify(usize::MAX);
        sleep(NOTICE.min(grace / 2)).await;
        let span = grace.saturating_sub(NOTICE.min(grace / 2) + GRACE_MARGIN);
        let cut = self.callers.drain(span).await;
        log::info!("event=stopped cut_connections={cut}");
        cut
    }
}
