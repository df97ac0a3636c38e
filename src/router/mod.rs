//! The router process, which runs on every VM of the platform.
//!
//! All VMs run the same program. Each one accepts callers' requests and may
//! also be a relay (watch the platform's store on behalf of the other VMs), the
//! dispatcher of a service (assign its requests to endpoints) or the planner of
//! a keyed service (assign its keys to endpoints).
//!
//! The process keeps no durable state: everything it needs can be read again
//! from the store.

pub mod attempt;
pub mod claim;
pub mod datagram;
pub mod dispatcher;
pub mod error_response;
pub mod forwarded_body;
pub mod held_body;
pub mod history;
pub mod membership;
pub mod overlap;
pub mod peer;
pub mod permit_client;
pub mod planner;
pub mod readiness;
pub mod reload;
pub mod request;
pub mod settings;
pub mod shutdown;
pub mod state;
pub mod sync;
pub mod wire;

use crate::{
    core::memory_budget,
    kernel::{
        clock,
        error::Error,
        http::{
            self,
            Limits,
            Listener,
            Memory, //
        },
        memory::{
            self,
            Budget, //
        },
        plugin,
        runtime::{
            sleep,
            Context, //
        },
    },
    router::{
        settings::Settings,
        shutdown::Schedule,
        state::State, //
    },
};
use futures_lite::future;
use metrics_exporter_prometheus::PrometheusHandle;
use std::{
    sync::{
        atomic::Ordering,
        Arc, //
    },
    time::Duration,
};

/// Interval between summary log lines.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// Share of an endpoint's connection limit that idle connections may use, in percent.
const MAX_IDLE_PERCENT: usize = 55;

/// File descriptors reserved for purposes other than callers' connections.
const RESERVED_DESCRIPTORS: u64 = 1_000;

/// Longest time in which a request head must arrive, including the idle time before it.
///
/// Callers reuse connections that have been idle for almost the limit given in the
/// configuration, so this must be larger than that limit.
const HEAD_TIMEOUT: Duration = Duration::from_secs(40);

/// A running router process.
pub struct Router {
    /// State shared by the tasks of the process.
    pub state: Arc<State>,
    callers: Listener,
    /// Kept because a listener serves only until its handle is dropped.
    _others: [Listener; 2],
}

/// Starts a router process.
pub fn spawn(
    context: &Context,
    settings: Settings,
    metrics: Option<PrometheusHandle>,
) -> Result<Router, Error> {
    let context = &context.with_source_address(settings.source_address);
    let store = plugin::open_objects(&settings.store.dialect, context, settings.store.address)?;
    let lease = plugin::open_lease(&settings.lease_dialect, context)?;
    let fields = plugin::open_fields(&settings.header_dialect)?;
    let socket = datagram::bind(settings.listen.datagrams)?;
    let listen = settings.listen.clone();
    let connections = settings
        .max_file_descriptors
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(64);
    let run = clock::wall_micros();
    let state = Arc::new(State::new(
        context, settings, run, fields, store, lease, socket,
    ));
    let readiness_state = Arc::clone(&state);
    let ready = http::bind(
        context,
        listen.ready,
        Limits::default(),
        Arc::new(move |request| {
            let response = readiness::handle(&readiness_state, &request, metrics.as_ref());
            Box::pin(async move { response })
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
        head_timeout: HEAD_TIMEOUT,
        head_bytes: 64 * 1024,
        head_fields: 128,
        max_connections: connections as usize,
        has_date: false,
    };
    let memory_bytes = state.settings.memory_bytes;
    let caller_memory = state.settings.bounds.caller_memory;
    let budget = Budget::new(memory_budget::Limits::new(memory_bytes, caller_memory));
    context.detach(memory::supervise(Arc::clone(&budget)));
    let memory = Memory {
        budget: Arc::clone(&budget),
        socket_buffers: memory_budget::socket_buffers(memory_bytes, connections),
    };
    let callers = http::bind_pipelined(
        context,
        listen.callers,
        caller_limits,
        Some(memory),
        overlap::pipelining(&state),
        http::with_state(&state, request::handle),
    )?;
    context.detach(datagram::run(Arc::clone(&state)));
    sync::spawn(&state);
    context.detach(membership::run(Arc::clone(&state)));
    context.detach(dispatcher::run(Arc::clone(&state)));
    context.detach(permit_client::run(Arc::clone(&state)));
    context.detach(planner::run(Arc::clone(&state)));
    context.detach(summarize(Arc::clone(&state), budget));
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

/// Logs a summary periodically and keeps idle connections to endpoints within their limit.
async fn summarize(state: Arc<State>, budget: Arc<Budget>) {
    loop {
        sleep(SUMMARY_INTERVAL).await;
        budget.record();
        let counters = &state.counters;
        let view = state.view();
        log::info!(
            "event=summary requests={} answered={} refused={} failed={} left={} age_ms={} \
             lag_ms={} endpoints={} members={} manifest={}",
            counters.requests.load(Ordering::Relaxed),
            counters.answered.load(Ordering::Relaxed),
            counters.refused.load(Ordering::Relaxed),
            counters.failed.load(Ordering::Relaxed),
            counters.disconnected.load(Ordering::Relaxed),
            state.age().as_millis(),
            counters.lag_ms.swap(0, Ordering::Relaxed),
            view.endpoints.len(),
            view.members.len(),
            view.manifest
                .as_ref()
                .map_or(0, |manifest| manifest.version),
        );
        state.endpoints.evict_idle();
        let services = view.manifest.iter().flat_map(|manifest| &manifest.services);
        let limit = services.map(|service| service.connections as usize).min();
        if let Some(connections) = limit.filter(|&connections| connections > 0) {
            let members = view.members.len().max(1);
            let max_idle = connections * MAX_IDLE_PERCENT / 100 / members;
            state.endpoints.set_max_idle(max_idle.max(1));
        }
    }
}

impl Router {
    /// Stops accepting work, waits for requests in flight within the grace period and returns
    /// the number of connections that had to be closed before they were done.
    pub async fn drain(self) -> usize {
        let grace_period = self.state.settings.bounds.grace_period;
        let schedule = Schedule::new(grace_period);
        log::info!("event=draining grace_ms={}", grace_period.as_millis());
        self.state.begin_shutdown();
        self.state.changed.notify(usize::MAX);
        let drain = async {
            sleep(schedule.rejects_at).await;
            let remaining = schedule.exits_at - schedule.rejects_at;
            self.callers.drain(remaining).await
        };
        let shutdown = async {
            self.state.shutdown.run(schedule).await;
            0
        };
        let cut = future::or(drain, shutdown).await;
        log::info!("event=stopped cut_connections={cut}");
        cut
    }
}
