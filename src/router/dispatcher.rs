//! Server side of permits, on the VM that dispatches for a service.
//!
//! [`permit::Dispatcher`] makes the decisions. This module passes requests and
//! completions to it and sends its decisions to the requesting VMs. The
//! dispatcher of a service is created when it is first needed and stays for as
//! long as the process runs.

use crate::{
    core::{
        cold,
        ownership::{
            Planned,
            Planner,
            Status, //
        },
        permit::{
            self,
            Decisions,
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
        time::Instant,
    },
    kernel::{
        clock,
        runtime::sleep, //
    },
    router::{
        datagram::send,
        permit_client,
        state::{
            State,
            View, //
        },
        wire::{
            self,
            Datagram, //
        },
    },
};
use std::{
    cell::RefCell,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

/// Interval at which waiting requests are reconsidered without any other event.
const TICK_INTERVAL: Duration = Duration::from_millis(15);

/// Ticks between two sweeps for permits whose requester is gone.
const TICKS_PER_SWEEP: u64 = 16;

/// Retry delay for a request whose endpoint was removed while the permit was being assigned.
const REMOVED_ENDPOINT_RETRY: Duration = Duration::from_millis(60);

/// Time after which the other VMs are expected to know a new record of an endpoint. Those that do
/// not ask for it.
const RECORD_SPREAD_TIME: Duration = Duration::from_millis(1_500);

/// How long a key without a known owner is expected to stay unowned.
const DEFAULT_UNOWNED_TIME: Duration = Duration::from_millis(500);

/// A service that this VM dispatches for.
pub struct Job {
    /// Name of the service.
    pub service: Box<str>,
    /// Mutable state.
    pub inner: Mutex<Inner>,
}

/// Mutable state of a [`Job`].
pub struct Inner {
    /// Queue and permits.
    pub dispatcher: Dispatcher,
    /// Request rates by key, used by the planner.
    pub rates: Rates,
    /// Planner of a keyed service, present while this VM holds the claim.
    pub planner: Option<Planner>,
    /// What this process planned before the present planner, if anything.
    pub planned: Option<Planned>,
    /// Revision of the latest claim of which this process confirmed that it grants no keys
    /// under an earlier one.
    pub yielded_to: u64,
    view: Arc<View>,
    /// When a permit was last requested.
    pub last_requested: Instant,
    /// Requests submitted since the last dispatch.
    submitted: Vec<Id>,
    /// Whether anything changed since the last dispatch.
    is_dispatch_due: bool,
}

impl Inner {
    /// Replaces the view and updates the dispatcher's endpoints.
    pub fn set_view(&mut self, state: &State, service: &str, view: &Arc<View>, now: Instant) {
        if Arc::ptr_eq(&self.view, view) {
            return;
        }
        self.view = Arc::clone(view);
        let endpoints = view
            .endpoints_of(service)
            .map(|entry| (&*entry.endpoint, entry.cold_until));
        self.dispatcher.set_endpoints(endpoints, now);
        let evacuations = &view.evacuations;
        self.dispatcher
            .set_evacuated(|zone| evacuations.contains(zone));
        self.merge_cold(state, service, now);
        // Waiting requests of an evacuated service are refused at once.
        self.is_dispatch_due |= !evacuations.is_empty();
    }

    /// Passes what this VM knows of cold endpoints to the dispatcher.
    fn merge_cold(&mut self, state: &State, service: &str, now: Instant) {
        let view = Arc::clone(&self.view);
        let Some(rule) = state.cold_rule(&view, service) else {
            self.dispatcher.clear_cold();
            return;
        };
        let known = state.cold.lock().unwrap();
        for entry in view.endpoints_of(service) {
            let id = &entry.endpoint.id;
            let reports = [Some(entry.cold.report(now)), known.report(id, now)];
            for report in reports.into_iter().flatten() {
                self.dispatcher.merge_cold(id, report, rule, now);
            }
        }
    }

    /// Returns what this process may have leased as planner, if anything.
    pub fn planned(&self, now: Instant) -> Option<Planned> {
        let planner = self.planner.as_ref();
        planner
            .and_then(|planner| planner.planned(now))
            .or(self.planned)
    }

    /// Updates this VM's role for the service, and the rate limits of the service's endpoints.
    fn update_role(&mut self, state: &State, service: &str, now: Instant) {
        let view = &self.view;
        let candidates = permit_client::candidates(state, view, service);
        let is_primary = candidates.first() == Some(&state.socket.address);
        let members = view.members.iter();
        let reached = members.filter(|member| state.is_usable(member)).count();
        self.dispatcher
            .set_role(is_primary, reached, view.members.len(), now);
        self.merge_cold(state, service, now);
        let view = &self.view;
        let rate_limits = state.rate_limits.lock().unwrap();
        for entry in view.endpoints_of(service) {
            let id = &entry.endpoint.id;
            if let Some(report) = rate_limits.report(id, now) {
                self.dispatcher.merge_rate_limit(id, report, now);
            }
        }
    }

    /// Assigns waiting requests to endpoints with free slots.
    pub fn dispatch(&mut self, service: &str, now: Instant) -> Decisions {
        let Self {
            dispatcher,
            planner,
            view,
            is_dispatch_due,
            ..
        } = self;
        *is_dispatch_due = false;
        dispatcher.dispatch(&*locator(service, planner.as_ref(), view, now), now)
    }
}

fn locator<'a>(
    service: &'a str,
    planner: Option<&'a Planner>,
    view: &'a View,
    now: Instant,
) -> Box<Locator<'a>> {
    let table = view.table(service);
    let locate = move |key| match (planner, table) {
        (Some(planner), _) => match planner.key_status(key, now) {
            Status::Held(id) => Location::Held(id),
            Status::Moving(id) => Location::Moving(id),
            Status::Unowned(span) => Location::Unowned(span),
        },
        (None, Some((_, table))) => {
            let owner = table.range(key).and_then(|range| range.owner.as_ref());
            owner.map_or(Location::Unowned(DEFAULT_UNOWNED_TIME), |owner| {
                Location::Held(&owner.endpoint)
            })
        }
        (None, None) => Location::Unowned(DEFAULT_UNOWNED_TIME),
    };
    let find = move |key| match locate(key) {
        Location::Held(id) if view.is_closed(id, now) => Location::Closed,
        location => location,
    };
    // One dispatch looks up the location of each waiting request several times.
    let cache: RefCell<Vec<(u16, Location<'a>)>> = RefCell::default();
    Box::new(move |key| {
        let mut cache = cache.borrow_mut();
        match cache.binary_search_by_key(&key, |&(key, _)| key) {
            Ok(index) => cache[index].1,
            Err(index) => {
                let location = find(key);
                cache.insert(index, (key, location));
                location
            }
        }
    })
}

/// Returns the job of a service, creating it if there is none.
pub fn job(state: &State, service: &str) -> Arc<Job> {
    let mut jobs = state.jobs.lock().unwrap();
    match jobs.binary_search_by(|job| (*job.service).cmp(service)) {
        Ok(index) => Arc::clone(&jobs[index]),
        Err(index) => {
            let now = clock::now();
            let mut inner = Inner {
                dispatcher: Dispatcher::new(state.settings.bounds.retry_limit, now),
                rates: Rates::default(),
                planner: None,
                planned: None,
                yielded_to: 0,
                view: Arc::new(View::default()),
                last_requested: now,
                submitted: Vec::new(),
                is_dispatch_due: false,
            };
            inner
                .dispatcher
                .set_zone_affinity(state.settings.has_zone_affinity);
            inner.set_view(state, service, &state.view(), now);
            inner.update_role(state, service, now);
            let job = Arc::new(Job {
                service: service.into(),
                inner: Mutex::new(inner),
            });
            log::info!("event=desk_opened service={service}");
            jobs.insert(index, Arc::clone(&job));
            job
        }
    }
}

/// Handles a request for a permit, which the requester repeats until there is a reply.
pub fn submit(
    state: &Arc<State>,
    requester: SocketAddr,
    number: u64,
    service: &str,
    request: Request,
    lacks_record: bool,
) {
    let view = state.view();
    if !state.is_ready() && state.is_starting() {
        // The store has not been read yet.
        send(state, requester, Datagram::Queued { number });
        return;
    }
    let is_known = view
        .manifest
        .as_ref()
        .is_some_and(|manifest| manifest.service(service).is_some());
    if !is_known {
        send(state, requester, Datagram::NotDispatcher { number });
        return;
    }
    let now = clock::now();
    let id = Id { requester, number };
    let job = job(state, service);
    let mut inner = job.inner.lock().unwrap();
    inner.set_view(state, service, &view, now);
    inner.last_requested = now;
    if let Some(endpoint) = inner.dispatcher.assigned_endpoint(id) {
        let rate_limit = inner.dispatcher.rate_limit(endpoint, now);
        let cold = inner.dispatcher.cold(endpoint, now);
        let granted = granted(
            &view,
            number,
            endpoint,
            request.goal_us,
            request.is_return,
            (rate_limit, cold),
            lacks_record,
        );
        drop(inner);
        // If the endpoint was removed meanwhile, the permit ends when the requester's list of
        // open permits lacks it.
        if let Some(granted) = granted {
            send(state, requester, granted);
        }
        return;
    }
    if inner.dispatcher.is_waiting(id) {
        drop(inner);
        send(state, requester, Datagram::Queued { number });
        return;
    }
    if let (Some(key), false) = (request.key, request.is_repeat) {
        inner.rates.record(key);
    }
    let submitted = {
        let Inner {
            dispatcher,
            planner,
            view,
            ..
        } = &mut *inner;
        let locator = locator(service, planner.as_ref(), view, now);
        dispatcher.submit(id, request, &*locator, now)
    };
    match submitted {
        Ok(()) => {
            inner.submitted.push(id);
            inner.is_dispatch_due = true;
        }
        Err(refusal) => {
            drop(inner);
            send(state, requester, refused(number, refusal));
        }
    }
}

/// Stores the load that the endpoint of a permit reported, before the permit ends.
pub fn record_load(
    state: &Arc<State>,
    requester: SocketAddr,
    number: u64,
    service: &str,
    load: Option<wire::Load>,
) {
    let Some(wire::Load { report, age_us }) = load else {
        return;
    };
    let now = clock::now();
    let id = Id { requester, number };
    let age = Duration::from_micros(age_us);
    let job = job(state, service);
    let mut inner = job.inner.lock().unwrap();
    let outcome = match inner.dispatcher.record_load(id, report, age, now) {
        true => "used",
        false => "unused",
    };
    metrics::counter!(
        "rhubarbpick_forwarded_load_reports_total",
        "service" => service.to_owned(),
        "outcome" => outcome
    )
    .increment(1);
}

/// Handles the end of a permit.
pub fn complete(
    state: &Arc<State>,
    requester: SocketAddr,
    number: u64,
    service: &str,
    outcome: Outcome,
    took_us: u64,
    (rate_limit, cold): (Option<wire::RateLimit>, Option<wire::Cold>),
) {
    let now = clock::now();
    let id = Id { requester, number };
    let job = job(state, service);
    let mut inner = job.inner.lock().unwrap();
    if let Some(wire::RateLimit { endpoint, report }) = rate_limit {
        inner.dispatcher.merge_rate_limit(&endpoint, report, now);
        state.merge_rate_limit(&endpoint, report);
    }
    if let (Some(cold), Some(rule)) = (cold, state.cold_rule(&state.view(), service)) {
        let wire::Cold { endpoint, report } = cold;
        inner.dispatcher.merge_cold(&endpoint, report, rule, now);
        state.merge_cold(&endpoint, report, rule);
    }
    if outcome == Outcome::NotHolder {
        let endpoint: Option<Box<str>> = inner.dispatcher.assigned_endpoint(id).map(Into::into);
        if let (Some(planner), Some(endpoint)) = (&mut inner.planner, endpoint) {
            planner.on_not_holder(&endpoint, now);
        }
    }
    let took = Duration::from_micros(took_us);
    inner.dispatcher.complete(id, outcome, took, now);
    inner.is_dispatch_due = true;
}

/// Handles a requester's list of its open permits.
pub fn reconcile(state: &Arc<State>, requester: SocketAddr, service: &str, numbers: &[u64]) {
    let now = clock::now();
    let job = job(state, service);
    let mut inner = job.inner.lock().unwrap();
    inner.dispatcher.reconcile(requester, numbers, now);
    inner.is_dispatch_due = true;
}

/// Dispatches every service for which something changed since the last dispatch.
pub fn dispatch_all(state: &Arc<State>) {
    let jobs: Vec<Arc<Job>> = state.jobs.lock().unwrap().clone();
    for job in jobs {
        let mut inner = job.inner.lock().unwrap();
        if !inner.is_dispatch_due {
            continue;
        }
        let decisions = inner.dispatch(&job.service, clock::now());
        let mut queued = std::mem::take(&mut inner.submitted);
        drop(inner);
        queued.retain(|id| !decisions.includes(*id));
        for id in queued {
            let number = id.number;
            send(state, id.requester, Datagram::Queued { number });
        }
        send_decisions(state, decisions);
    }
}

/// Sends decisions to the requesters.
pub fn send_decisions(state: &Arc<State>, decisions: Decisions) {
    let view = state.view();
    for assignment in decisions.assignments {
        let expected_us = assignment.expected.as_micros() as u64;
        let number = assignment.request.number;
        let granted = granted(
            &view,
            number,
            &assignment.endpoint,
            expected_us,
            assignment.is_return,
            (assignment.rate_limit, assignment.cold),
            false,
        );
        // The endpoint was removed meanwhile; the next dispatch does not use it.
        let removed = Datagram::Refused {
            number,
            reason: permit::Reason::NoEndpoint,
            retry_ms: REMOVED_ENDPOINT_RETRY.as_millis() as u32,
            is_return: assignment.is_return,
        };
        send(
            state,
            assignment.request.requester,
            granted.unwrap_or(removed),
        );
    }
    for (id, refusal) in decisions.refusals {
        send(state, id.requester, refused(id.number, refusal));
    }
}

/// Returns the message that grants a permit. It holds the endpoint's record only if the receiver
/// needs it or may not know it yet.
fn granted(
    view: &View,
    number: u64,
    endpoint: &str,
    expected_us: u64,
    is_return: bool,
    (rate_limit, cold): (Option<Report>, Option<cold::Report>),
    needs_record: bool,
) -> Option<Datagram> {
    let entry = view.endpoint(endpoint)?;
    let is_new = clock::now().since(entry.changed_at) < RECORD_SPREAD_TIME;
    if !needs_record && !is_new {
        return Some(Datagram::GrantedKnown {
            number,
            hash: entry.hash,
            expected_us,
            is_return,
            rate_limit,
            cold,
        });
    }
    Some(Datagram::Granted {
        number,
        endpoint: Box::new((*entry.endpoint).clone()),
        expected_us,
        is_return,
        rate_limit,
        cold,
    })
}

fn refused(number: u64, refusal: Refusal) -> Datagram {
    Datagram::Refused {
        number,
        reason: refusal.reason,
        retry_ms: refusal.retry_after.as_millis() as u32,
        is_return: refusal.is_return,
    }
}

/// Dispatches all services periodically, for as long as the process runs.
pub async fn run(state: Arc<State>) {
    let mut ticks: u64 = 0;
    loop {
        sleep(TICK_INTERVAL).await;
        ticks += 1;
        let jobs: Vec<Arc<Job>> = state.jobs.lock().unwrap().clone();
        let now = clock::now();
        let view = state.view();
        for job in jobs {
            let mut inner = job.inner.lock().unwrap();
            let is_sweep = ticks % TICKS_PER_SWEEP == 0;
            if is_sweep {
                inner.set_view(&state, &job.service, &view, now);
                inner.update_role(&state, &job.service, now);
                inner.dispatcher.sweep(now);
                record_metrics(&job.service, &inner, now);
                record_zones(&job.service, &mut inner, now);
            }
            if inner.dispatcher.waiting() == 0 && !is_sweep {
                continue;
            }
            let decisions = inner.dispatch(&job.service, now);
            drop(inner);
            send_decisions(&state, decisions);
        }
    }
}

/// Updates the metrics of a service's queue, endpoints and keys.
fn record_metrics(service: &str, inner: &Inner, now: Instant) {
    let gauge = |name: &'static str, value: usize| {
        metrics::gauge!(name, "service" => service.to_owned()).set(value as f64);
    };
    gauge("rhubarbpick_waiting_requests", inner.dispatcher.waiting());
    gauge("rhubarbpick_running_requests", inner.dispatcher.running());
    let (open, left_out) = inner.dispatcher.endpoint_counts(now);
    gauge("rhubarbpick_open_endpoints", open);
    gauge("rhubarbpick_left_out_endpoints", left_out);
    let (reporting, slow) = inner.dispatcher.reporting_counts(now);
    gauge("rhubarbpick_reporting_endpoints", reporting);
    gauge("rhubarbpick_slow_hosts", slow);
    gauge(
        "rhubarbpick_cold_endpoints",
        inner.dispatcher.cold_count(now),
    );
    if let Some(planner) = &inner.planner {
        let (ranges, held) = planner.range_counts();
        gauge("rhubarbpick_key_ranges", ranges);
        gauge("rhubarbpick_held_key_ranges", held);
        metrics::counter!("rhubarbpick_key_moves_total", "service" => service.to_owned())
            .absolute(planner.move_count());
    }
}

/// Updates the metrics of a service by zone, and logs the zones that begin or end sending
/// requests to others.
fn record_zones(service: &str, inner: &mut Inner, now: Instant) {
    for change in inner.dispatcher.take_zone_changes(now) {
        let event = match change.is_sending {
            true => "zone_sending_began",
            false => "zone_sending_ended",
        };
        log::info!(
            "event={event} service={service} zone={} sent_percent={}",
            change.zone,
            change.sent_percent
        );
    }
    for (zone, counts) in inner.dispatcher.zone_counts() {
        let counter = |name: &'static str, value: u64| {
            let labels = [("service", service.to_owned()), ("zone", zone.to_owned())];
            metrics::counter!(name, &labels).absolute(value);
        };
        counter("rhubarbpick_zone_stayed_total", counts.stayed);
        counter("rhubarbpick_zone_sent_total", counts.sent);
        counter("rhubarbpick_zone_sent_bytes_total", counts.sent_bytes);
        counter("rhubarbpick_zone_accepted_total", counts.accepted);
    }
}

/// Returns the class of a request; requests of one class take about the same time.
pub fn class(repeat: crate::core::manifest::Idempotency, rank: u8, goal_ms: u64) -> u32 {
    let parts = [repeat as u64, u64::from(rank), goal_ms];
    let bytes: Vec<u8> = parts.iter().flat_map(|part| part.to_le_bytes()).collect();
    xxhash_rust::xxh3::xxh3_64(&bytes) as u32
}

/// Returns the name of a refusal reason in logs and metrics.
pub fn reason_name(reason: permit::Reason) -> &'static str {
    match reason {
        permit::Reason::Full => "full",
        permit::Reason::Waited => "waited",
        permit::Reason::Budget => "budget",
        permit::Reason::NoEndpoint => "no_endpoint",
        permit::Reason::NoOwner => "no_owner",
        permit::Reason::Evacuated => "evacuated",
    }
}
