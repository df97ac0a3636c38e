//! Assignment of keys to endpoints, on the VM that holds the planner claim of a
//! service.
//!
//! [`Planner`] makes the decisions. This module takes the claim when its holder
//! is lost, writes tables, sends grants and releases, and reports their
//! outcomes to the planner.

use crate::{
    core::{
        mirror::{
            Kind,
            Value, //
        },
        ownership::{
            Action,
            Claim,
            Completion,
            Grant,
            History,
            Outcome,
            Planner,
            Release,
            Table,
            CLAIM_VALIDITY, //
        },
        registry::Endpoint,
        revision,
        time::Instant,
    },
    edge::{
        lease::{
            Channel,
            Status, //
        },
        objects::Error,
    },
    kernel::{
        clock,
        runtime::sleep, //
    },
    router::{
        claim::{
            has_ended,
            history,
            merge_object,
            should_take_claim,
            take_claim,
            write_table,
            Earlier,
            RETRY_DELAY, //
        },
        datagram::send,
        dispatcher::{
            self,
            Job, //
        },
        state::{
            State,
            View,
            STORE_TIMEOUT, //
        },
        wire::Datagram,
    },
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

/// Interval between two ticks of a planner.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Interval at which the other VMs check whether to take a claim.
const IDLE_INTERVAL: Duration = Duration::from_millis(60);

/// Like [`IDLE_INTERVAL`], during the start of the process; all VMs may have been lost at once.
const START_INTERVAL: Duration = Duration::from_millis(15);

/// Interval at which request rates are updated.
const RATE_UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// How long the holder of a claim must appear lost before another VM takes the claim.
const TAKEOVER_DELAY: Duration = Duration::from_millis(120);

/// Gap between two ticks from which this VM is taken to have been suspended.
const SUSPENSION_GAP: Duration = Duration::from_millis(700);

/// How long a former planner reports that it grants no more keys.
///
/// The new planner would otherwise wait this long for the former claim to expire.
const YIELD_PERIOD: Duration = CLAIM_VALIDITY;

/// Interval at which earlier planners are told that their claim was taken, until they reply.
const NOTICE_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit of a release; longer than the longest request runs.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Age of the last confirmation from which the claim is read again.
const CLAIM_REFRESH_AGE: Duration = Duration::from_millis(6_000);

type Channels = Arc<Mutex<Vec<(Box<str>, Arc<Channel>)>>>;

/// Runs a task for each keyed service, for as long as the process runs.
pub async fn run(state: Arc<State>) {
    let mut running: Vec<Box<str>> = Vec::new();
    loop {
        sleep(IDLE_INTERVAL).await;
        let view = state.view();
        let Some(manifest) = &view.manifest else {
            continue;
        };
        for service in manifest.services.iter().filter(|service| service.is_keyed) {
            if !running.contains(&service.name) {
                running.push(service.name.clone());
                let task = run_service(Arc::clone(&state), service.name.clone());
                state.context.detach(task);
            }
        }
    }
}

/// Takes the claim of a service whenever necessary, and plans the service while it holds the
/// claim.
async fn run_service(state: Arc<State>, service: Box<str>) {
    let mut lost_since: Option<Instant> = None;
    let mut planned_until: Option<Instant> = None;
    loop {
        let tick = if state.is_starting() {
            START_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        sleep(tick).await;
        let view = state.view();
        if planned_until.is_some_and(|end| clock::now().since(end) < YIELD_PERIOD) {
            send_yield(&state, &view, &service);
        }
        let is_needed = !state.is_leaving() && should_take_claim(&state, &view, &service);
        if !is_needed {
            lost_since = None;
            continue;
        }
        let now = clock::now();
        let since = *lost_since.get_or_insert(now);
        let skips_delay = view
            .table(&service)
            .is_none_or(|(_, table)| has_ended(&view, &table.claim));
        if now.since(since) < TAKEOVER_DELAY && !skips_delay {
            continue;
        }
        if let Some(planner) = take_claim(&state, &view, &service).await {
            run_planner(&state, &service, planner).await;
            planned_until = Some(clock::now());
        }
        lost_since = None;
    }
}

/// Tells the present planner of a service that this VM no longer grants the service's keys.
fn send_yield(state: &Arc<State>, view: &View, service: &str) {
    let Some((revision, table)) = view.table(service) else {
        return;
    };
    let mut members = view.members.iter();
    let planner = members.find(|member| member.name == table.claim.node);
    let Some(planner) = planner.filter(|planner| planner.name != state.settings.name) else {
        return;
    };
    let datagram = Datagram::Yielded {
        service: service.into(),
        run: state.run,
        revision: *revision,
        history: history(state, service),
    };
    send(state, planner.datagrams, datagram);
}

/// Tells earlier planners of a service that this VM has taken their claim.
///
/// They may not learn so from the store, for example if they cannot reach it.
fn notify_predecessors(state: &Arc<State>, view: &View, job: &Job) {
    let (revision, predecessors) = {
        let inner = job.inner.lock().unwrap();
        let Some(planner) = &inner.planner else {
            return;
        };
        let predecessors = planner.predecessors(clock::now());
        (planner.claim_revision(), predecessors.to_vec())
    };
    for claim in predecessors {
        let mut members = view.members.iter();
        let Some(member) = members.find(|member| member.name == claim.node) else {
            continue;
        };
        let datagram = Datagram::Claimed {
            service: job.service.clone(),
            run: claim.run,
            revision,
        };
        send(state, member.datagrams, datagram);
    }
}

/// Handles the message that the VM at `from` took the claim of a service at `revision`.
pub fn on_claimed(
    state: &Arc<State>,
    from: SocketAddr,
    service: Box<str>,
    run: u64,
    revision: u64,
) {
    if run != state.run {
        return;
    }
    let has_stopped = {
        let job = dispatcher::job(state, &service);
        let mut inner = job.inner.lock().unwrap();
        let planner = inner.planner.as_mut();
        let has_stopped = planner.is_none_or(|planner| planner.on_successor_claimed(revision));
        if has_stopped {
            inner.yielded_to = inner.yielded_to.max(revision);
        }
        has_stopped
    };
    if has_stopped {
        let datagram = Datagram::Yielded {
            run,
            revision,
            history: history(state, &service),
            service,
        };
        send(state, from, datagram);
    }
}

/// Handles the message that the VM at `from` no longer grants keys of a service.
pub fn on_yield(
    state: &State,
    from: SocketAddr,
    service: &str,
    run: u64,
    revision: u64,
    history: History,
) {
    let view = state.view();
    let mut members = view.members.iter();
    let Some(member) = members.find(|member| member.datagrams == from) else {
        return;
    };
    let claim = Claim {
        node: member.name.clone(),
        run,
    };
    let job = dispatcher::job(state, service);
    let mut inner = job.inner.lock().unwrap();
    if let Some(planner) = &mut inner.planner {
        planner.on_predecessor_yielded(&claim, revision, history, clock::now());
    }
}

/// Plans a service until the claim is lost.
async fn run_planner(state: &Arc<State>, service: &str, planner: Planner) {
    let job = dispatcher::job(state, service);
    {
        let mut inner = job.inner.lock().unwrap();
        // The notice of a later claim may arrive before the response to the write of this one.
        if planner.claim_revision() < inner.yielded_to {
            let revision = planner.claim_revision();
            log::info!("event=claim_outdated service={service} revision={revision}");
            return;
        }
        inner.planner = Some(planner);
    }
    let channels: Channels = Arc::default();
    let mut last_tick = clock::now();
    let mut last_decay = clock::now();
    let mut last_read = clock::now();
    let mut last_notice = Instant::default();
    loop {
        let now = clock::now();
        if now.since(last_tick) > SUSPENSION_GAP {
            log::warn!(
                "event=standstill service={service} ms={}",
                now.since(last_tick).as_millis()
            );
            job.inner
                .lock()
                .unwrap()
                .planner
                .as_mut()
                .map(Planner::expire_claim);
        }
        last_tick = now;
        if is_claim_lost(state, service, &job) {
            break;
        }
        refresh_claim(state, service, &job, &mut last_read).await;
        remove_ended_predecessors(state, &job);
        if now.since(last_notice) > NOTICE_INTERVAL {
            last_notice = now;
            notify_predecessors(state, &state.view(), &job);
        }
        let actions = tick(state, service, &job, &mut last_decay);
        for action in actions {
            execute(state, &job, &channels, action);
        }
        sleep(TICK_INTERVAL).await;
    }
    wait_for_pending_grants(&job).await;
    let revision = {
        let mut inner = job.inner.lock().unwrap();
        inner.planned = inner.planned(clock::now());
        inner.planner.take().map_or(0, |planner| planner.revision())
    };
    log::info!("event=claim_lost service={service} revision={revision}");
}

/// Stops the planner, and waits until none of its grants can arrive at an endpoint any more.
///
/// Only then may this VM report that it grants no more keys.
async fn wait_for_pending_grants(job: &Job) {
    loop {
        {
            let mut inner = job.inner.lock().unwrap();
            let Some(planner) = &mut inner.planner else {
                return;
            };
            planner.set_outdated();
            if !planner.has_pending_grants() {
                return;
            }
        }
        sleep(TICK_INTERVAL).await;
    }
}

/// Tells the planner which earlier planners have ended.
fn remove_ended_predecessors(state: &State, job: &Job) {
    let view = state.view();
    let mut inner = job.inner.lock().unwrap();
    if let Some(planner) = &mut inner.planner {
        planner.remove_ended_predecessors(&|claim| has_ended(&view, claim), clock::now());
    }
}

/// Returns whether the claim is lost: the store has a table that this planner did not write.
fn is_claim_lost(state: &State, service: &str, job: &Job) -> bool {
    let is_outdated = {
        let inner = job.inner.lock().unwrap();
        inner.planner.as_ref().is_none_or(Planner::is_outdated)
    };
    if is_outdated {
        return true;
    }
    let view = state.view();
    let Some((revision, table)) = view.table(service) else {
        return false;
    };
    if table.era < state.era() {
        // The store was restored, and this planner's table is not in it any more.
        return true;
    }
    let is_own = table.claim.node == state.settings.name && table.claim.run == state.run;
    let inner = job.inner.lock().unwrap();
    let planned_revision = inner.planner.as_ref().map_or(0, Planner::revision);
    !is_own && *revision > planned_revision
}

/// Starts to read the claim from the store if its confirmation is getting old.
async fn refresh_claim(state: &Arc<State>, service: &str, job: &Job, last_read: &mut Instant) {
    let now = clock::now();
    let (is_confirmed, is_stale) = {
        let inner = job.inner.lock().unwrap();
        let Some(planner) = &inner.planner else {
            return;
        };
        (
            planner.is_claim_valid(now),
            planner.claim_age(now) > CLAIM_REFRESH_AGE,
        )
    };
    if is_confirmed && !is_stale {
        return;
    }
    let pause = if is_confirmed {
        STORE_TIMEOUT
    } else {
        RETRY_DELAY
    };
    if now.since(*last_read) < pause {
        return;
    }
    *last_read = now;
    let state = Arc::clone(state);
    let service: Box<str> = service.into();
    let context = state.context.clone();
    context.detach(async move {
        let began = clock::now();
        let store = state.store();
        match store.get(Kind::Table, &service).await {
            Ok(Some(object)) => {
                merge_object(&state, &object);
                let job = dispatcher::job(&state, &service);
                let mut inner = job.inner.lock().unwrap();
                let Some(planner) = &mut inner.planner else {
                    return;
                };
                let Some(Value::Table(table)) = &object.value else {
                    return;
                };
                let is_same_era = revision::era(object.revision) == planner.table().era;
                if table.claim == planner.table().claim && is_same_era {
                    planner.confirm_claim(began);
                    state.set_read_at(began);
                }
            }
            Ok(None) => log::error!("event=table_missing service={service}"),
            Err(error) => {
                log::warn!("event=claim_unconfirmed service={service} why=\"{error}\"");
                state.mark_store_failed();
            }
        }
    });
}

fn tick(
    state: &Arc<State>,
    service: &str,
    job: &Arc<Job>,
    last_decay: &mut Instant,
) -> Vec<Action> {
    let now = clock::now();
    let view = state.view();
    let mut inner = job.inner.lock().unwrap();
    inner.set_view(state, service, &view, now);
    let elapsed = now.since(*last_decay);
    if elapsed >= RATE_UPDATE_INTERVAL {
        inner.rates.decay(elapsed.as_secs_f64());
        *last_decay = now;
    }
    let endpoints: Vec<Arc<Endpoint>> = view
        .endpoints_of(service)
        .map(|entry| planned_endpoint(&view, &entry.endpoint))
        .collect();
    let dispatcher::Inner {
        dispatcher,
        rates,
        planner,
        ..
    } = &mut *inner;
    let capacity = |id: &str| dispatcher.capacity(id, now);
    match planner {
        Some(planner) => planner.tick(&endpoints, rates, &capacity, now),
        None => Vec::new(),
    }
}

/// Returns an endpoint as the planner sees it: one in an evacuated zone hands over its keys and
/// receives none, as one that is leaving does.
fn planned_endpoint(view: &View, endpoint: &Arc<Endpoint>) -> Arc<Endpoint> {
    if !view.is_evacuated(endpoint) {
        return Arc::clone(endpoint);
    }
    Arc::new(Endpoint {
        is_leaving: true,
        ..(**endpoint).clone()
    })
}

/// Carries out an action in a task of its own and reports the outcome to the planner.
fn execute(state: &Arc<State>, job: &Arc<Job>, channels: &Channels, action: Action) {
    let (task_state, job) = (Arc::clone(state), Arc::clone(job));
    let channels = Arc::clone(channels);
    state.context.detach(async move {
        match action {
            Action::Write(table) => write_and_report(&task_state, &job, table).await,
            Action::Grant(endpoint, grants) => {
                let results = send_grants(&task_state, &job, &channels, &endpoint, grants).await;
                report(&task_state, &job, |planner, now| {
                    planner.on_grant_results(&endpoint.id, &results, now);
                });
            }
            Action::Release(endpoint, release) => {
                let outcome = send_release(&task_state, &endpoint, release).await;
                log::info!(
                    "event=released service={} endpoint={} from={} to={} fence={} answer=\"{outcome:?}\"",
                    job.service,
                    endpoint.id,
                    release.from,
                    release.to,
                    release.fence
                );
                report(&task_state, &job, |planner, now| {
                    planner.on_release_outcome(&endpoint.id, release, &outcome, now);
                });
            }
            Action::Probe(endpoint, release) => {
                let outcome = send_release(&task_state, &endpoint, release).await;
                report(&task_state, &job, |planner, now| {
                    planner.on_probe_outcome(&endpoint.id, &outcome, now);
                });
            }
        }
    });
}

async fn write_and_report(state: &Arc<State>, job: &Arc<Job>, table: Table) {
    let revision = {
        let inner = job.inner.lock().unwrap();
        let Some(planner) = &inner.planner else {
            return;
        };
        planner.revision()
    };
    let sent = clock::now();
    let mut written = write_table(state, &table, Some(revision), Earlier::None).await;
    while matches!(written, Err(Error::Unknown)) && is_current(job, revision) {
        // The write may still take effect; nothing else may be written until its outcome is
        // known.
        log::warn!("event=table_unsure service={}", table.service);
        sleep(RETRY_DELAY).await;
        written = write_table(state, &table, Some(revision), Earlier::Unknown).await;
    }
    report(state, job, |planner, now| {
        if planner.revision() != revision {
            // The outcome says nothing about what a later planner is writing.
            log::info!("event=table_outdated service={}", table.service);
            return;
        }
        on_write_outcome(state, planner, table, written, sent, now);
    });
}

fn on_write_outcome(
    state: &State,
    planner: &mut Planner,
    table: Table,
    written: Result<u64, Error>,
    sent: Instant,
    now: Instant,
) {
    match written {
        Ok(revision) => {
            log::info!(
                "event=table_written service={} revision={revision} fence={} ranges={} took_ms={}",
                table.service,
                table.last_fence,
                table.ranges.len(),
                now.since(sent).as_millis()
            );
            if revision::era(revision) == table.era {
                planner.on_table_written(table, revision, sent, now);
            } else {
                planner.set_outdated();
                planner.on_write_failed(now.after(RETRY_DELAY));
            }
        }
        Err(error) => {
            log::warn!(
                "event=table_not_written service={} why=\"{error}\"",
                table.service
            );
            if matches!(error, Error::Conflict(_)) {
                planner.set_outdated();
            } else {
                state.mark_store_failed();
            }
            planner.on_write_failed(now.after(RETRY_DELAY));
        }
    }
}

fn is_current(job: &Job, revision: u64) -> bool {
    let inner = job.inner.lock().unwrap();
    let planner = inner.planner.as_ref();
    planner.is_some_and(|planner| planner.revision() == revision)
}

async fn send_release(state: &Arc<State>, endpoint: &Endpoint, release: Release) -> Outcome {
    metrics::counter!("rhubarbpick_orders_total", "kind" => "release").increment(1);
    (state.lease.release)(endpoint, release, RELEASE_TIMEOUT).await
}

/// Returns the longest lease that this VM's planner may grant now, if any.
fn lease_limit(job: &Job) -> Option<Duration> {
    let inner = job.inner.lock().unwrap();
    inner.planner.as_ref()?.lease_limit(clock::now())
}

/// Sends grants in order, up to the first one that fails or that may no longer be sent.
async fn send_grants(
    state: &Arc<State>,
    job: &Job,
    channels: &Channels,
    endpoint: &Endpoint,
    grants: Vec<Grant>,
) -> Vec<Completion> {
    let mut results = Vec::new();
    let channel = match get_channel(state, channels, endpoint).await {
        Ok(channel) => channel,
        Err(outcome) => {
            let grant = grants.into_iter().next();
            results.extend(grant.map(|grant| Completion {
                grant,
                sent: clock::now(),
                completed: clock::now(),
                outcome,
            }));
            return results;
        }
    };
    for mut grant in grants {
        let Some(lease_limit) = lease_limit(job) else {
            break;
        };
        grant.duration = grant.duration.min(lease_limit);
        let sent = clock::now();
        metrics::counter!("rhubarbpick_orders_total", "kind" => "grant").increment(1);
        let outcome = (channel.grant)(grant.clone()).await;
        let is_accepted = matches!(outcome, Outcome::Done(_));
        if !is_accepted {
            log::info!(
                "event=grant_failed endpoint={} from={} to={} fence={} answer=\"{outcome:?}\"",
                endpoint.id,
                grant.from,
                grant.to,
                grant.fence
            );
            drop_channel(channels, &endpoint.id);
        }
        results.push(Completion {
            grant,
            sent,
            completed: clock::now(),
            outcome,
        });
        if !is_accepted {
            break;
        }
    }
    results
}

/// Returns the open connection to an endpoint, or opens one.
async fn get_channel(
    state: &Arc<State>,
    channels: &Channels,
    endpoint: &Endpoint,
) -> Result<Arc<Channel>, Outcome> {
    let open_channel = {
        let channels = channels.lock().unwrap();
        let place = channels.binary_search_by(|(id, _)| id.cmp(&endpoint.id));
        place.ok().map(|index| Arc::clone(&channels[index].1))
    };
    if let Some(channel) = open_channel {
        match (channel.status)() {
            Status::Open => return Ok(channel),
            Status::Closing => drop_channel(channels, &endpoint.id),
            Status::Ended => {
                drop_channel(channels, &endpoint.id);
                return Err(Outcome::Ended);
            }
        }
    }
    let channel = Arc::new((state.lease.open)(endpoint).await?);
    let mut channels = channels.lock().unwrap();
    let place = channels.binary_search_by(|(id, _)| id.cmp(&endpoint.id));
    let entry = (endpoint.id.clone(), Arc::clone(&channel));
    match place {
        Ok(index) => channels[index] = entry,
        Err(index) => channels.insert(index, entry),
    }
    Ok(channel)
}

fn drop_channel(channels: &Channels, endpoint: &str) {
    let mut channels = channels.lock().unwrap();
    channels.retain(|(id, _)| **id != *endpoint);
}

/// Reports an outcome to the planner, then dispatches the requests that waited for it.
fn report(state: &Arc<State>, job: &Arc<Job>, update: impl FnOnce(&mut Planner, Instant)) {
    let now = clock::now();
    let mut inner = job.inner.lock().unwrap();
    let Some(planner) = &mut inner.planner else {
        return;
    };
    update(planner, now);
    let decisions = inner.dispatch(&job.service, now);
    drop(inner);
    dispatcher::send_decisions(state, decisions);
}
