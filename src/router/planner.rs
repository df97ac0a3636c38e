//! Planning the owners of keys, on the VM that holds the claim.
//!
//! The decisions are [`ownership::Planner`]'s. This module takes the claim when
//! its holder is lost, writes tables, sends grants and releases, and reports
//! what came of them.

use crate::{
    core::{
        mirror::{
            Kind,
            Object,
            Value, //
        },
        ownership::{
            Action,
            Claim,
            Completion,
            Grant,
            Outcome,
            Planner,
            Release,
            Table,
            CLAIM_VALIDITY, //
        },
        registry::Endpoint,
        time::Instant,
    },
    edge::{
        lease::{
            Channel,
            Line, //
        },
        objects::{
            Error,
            Write, //
        },
    },
    kernel::{
        clock,
        runtime::sleep, //
    },
    router::{
        datagram::send,
        dispatcher::{
            self,
            Job, //
        },
        permit_client,
        state::{
            State,
            View,
            STORE_LOST, //
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

/// How often a planner looks at its work.
const TICK: Duration = Duration::from_millis(25);

/// How often other VMs look whether a planner is needed.
const IDLE_TICK: Duration = Duration::from_millis(60);

/// The same while the process starts, as all may have been lost at once.
const START_TICK: Duration = Duration::from_millis(15);

/// How often the heat is worked out anew.
const HEAT_PERIOD: Duration = Duration::from_millis(250);

/// How long the holder of the claim must seem lost before another takes it.
const LOST_FOR: Duration = Duration::from_millis(120);

/// Gap between two ticks that shows that this VM stood still.
const STANDSTILL: Duration = Duration::from_millis(700);

/// How long a VM that planned says that it no longer does: as long as others
/// would wait for its claim to end.
const YIELD_FOR: Duration = CLAIM_VALIDITY;

/// Pause after a failed write of the table.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// How long a release may take: longer than the longest work.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Age of the last confirmation at which the claim is read anew.
const CONFIRM_AGE: Duration = Duration::from_millis(6_000);

type Channels = Arc<Mutex<Vec<(Box<str>, Arc<Channel>)>>>;

/// Watches over the keyed services for as long as the process runs.
pub async fn run(state: Arc<State>) {
    let mut running: Vec<Box<str>> = Vec::new();
    loop {
        sleep(IDLE_TICK).await;
        let view = state.view();
        let Some(manifest) = &view.manifest else {
            continue;
        };
        for service in manifest.services.iter().filter(|service| service.is_keyed) {
            if !running.contains(&service.name) {
                running.push(service.name.clone());
                let task = plan(Arc::clone(&state), service.name.clone());
                state.context.detach(task);
            }
        }
    }
}

/// Takes the claim of a service whenever it is needed, and plans while it holds it.
async fn plan(state: Arc<State>, service: Box<str>) {
    let mut lost_since: Option<Instant> = None;
    let mut planned: Option<Instant> = None;
    loop {
        let tick = if state.is_starting() {
            START_TICK
        } else {
            IDLE_TICK
        };
        sleep(tick).await;
        let view = state.view();
        if planned.is_some_and(|end| clock::now().since(end) < YIELD_FOR) {
            send_yield(&state, &view, &service);
        }
        let is_needed = !state.is_leaving() && is_next(&state, &view, &service);
        if !is_needed {
            lost_since = None;
            continue;
        }
        let now = clock::now();
        let since = *lost_since.get_or_insert(now);
        let is_over = view
            .table(&service)
            .is_none_or(|(_, table)| is_gone(&view, &table.claim));
        if now.since(since) < LOST_FOR && !is_over {
            continue;
        }
        if let Some(planner) = take_claim(&state, &view, &service).await {
            serve(&state, &service, planner).await;
            planned = Some(clock::now());
        }
        lost_since = None;
    }
}

/// Tells the planner of a service that this VM grants no more keys of it.
fn send_yield(state: &Arc<State>, view: &View, service: &str) {
    let Some((revision, table)) = view.table(service) else {
        return;
    };
    let mut members = view.members.iter();
    let planner = members.find(|member| member.name == table.claim.node);
    let Some(planner) = planner.filter(|planner| planner.name != state.settings.name) else {
        return;
    };
    let datagram = Datagram::Yield {
        service: service.into(),
        run: state.run,
        revision: *revision,
    };
    send(state, planner.datagrams, datagram);
}

/// Takes in that the VM at `from` grants no more keys of a service.
pub fn yielded(state: &State, from: SocketAddr, service: &str, run: u64, revision: u64) {
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
        planner.on_predecessor_yielded(&claim, revision, clock::now());
    }
}

/// Tells whether this VM should take the claim.
fn is_next(state: &State, view: &View, service: &str) -> bool {
    let ranked = permit_client::ranked(state, view, service);
    let own = &state.settings.name;
    let Some((_, table)) = view.table(service) else {
        return ranked.first().is_some_and(|first| first.name == *own);
    };
    let claim = &table.claim;
    let holder = view.members.iter().find(|member| member.name == claim.node);
    let is_held = holder.is_some_and(|holder| holder.run == claim.run && state.is_usable(holder));
    if claim.node == *own {
        // An earlier run's claim, or one whose planner met a table that it had not written.
        return ranked.iter().any(|member| member.name == *own);
    }
    if is_held {
        return false;
    }
    let mut others = ranked.iter().filter(|member| member.name != claim.node);
    others.next().is_some_and(|first| first.name == *own)
}

/// Writes this VM's claim into the table.
async fn take_claim(state: &Arc<State>, view: &View, service: &str) -> Option<Planner> {
    let claim = Claim {
        node: state.settings.name.clone(),
        run: state.run,
    };
    let old = view.table(service);
    let is_gone = |claim: &Claim| is_gone(view, claim);
    let table = Table::claimed(old.map(|(_, table)| &**table), service, claim, &is_gone);
    let sent = clock::now();
    match write(state, &table, old.map(|(revision, _)| *revision)).await {
        Ok(revision) => {
            let hold_max = state.settings.bounds.max_lease_duration;
            let now = clock::now();
            let mut planner = Planner::new(table, revision, hold_max, now);
            log::info!(
                "event=claim_taken service={service} revision={revision} fence={} foreign_ms={}",
                planner.table().last_fence,
                planner.predecessors_expire_in(now).as_millis()
            );
            planner.confirm_claim(sent);
            Some(planner)
        }
        Err(error) => {
            log::info!("event=claim_not_taken service={service} why=\"{error}\"");
            if !matches!(error, Error::Conflict(_)) {
                state.set_store_failed();
            }
            sleep(WRITE_PAUSE).await;
            None
        }
    }
}

/// Tells whether the run of a claim has ended: its VM has a later one.
fn is_gone(view: &View, claim: &Claim) -> bool {
    let mut members = view.members.iter();
    members.any(|member| member.name == claim.node && member.run > claim.run)
}

/// Writes a table; a lost answer is settled by writing again under the same revision.
async fn write(state: &Arc<State>, table: &Table, revision: Option<u64>) -> Result<u64, Error> {
    let value = Value::Table(Arc::new(table.clone()));
    let mut is_unsure = false;
    for _ in 0..4 {
        let store = state.store();
        let put = store.put(Write {
            kind: Kind::Table,
            name: table.service.clone(),
            value: value.clone(),
            revision,
        });
        let written = match put.await {
            Ok(revision) => revision,
            Err(Error::Unknown) => {
                is_unsure = true;
                continue;
            }
            Err(Error::Conflict(Some(object))) => {
                merge(state, &object);
                if object.value.as_ref() == Some(&value) {
                    object.revision
                } else {
                    return Err(Error::Conflict(Some(object)));
                }
            }
            Err(error) if is_unsure => {
                log::info!(
                    "event=write_unsure service={} why=\"{error}\"",
                    table.service
                );
                return Err(Error::Unknown);
            }
            Err(error) => return Err(error),
        };
        merge(
            state,
            &Object {
                kind: Kind::Table,
                name: table.service.clone(),
                revision: written,
                value: Some(value),
            },
        );
        return Ok(written);
    }
    Err(Error::Unknown)
}

fn merge(state: &State, object: &Object) {
    state.merge(|mirror| mirror.merge(object.clone()));
}

/// Plans until the claim is lost.
async fn serve(state: &Arc<State>, service: &str, planner: Planner) {
    let job = dispatcher::job(state, service);
    job.inner.lock().unwrap().planner = Some(planner);
    let channels: Channels = Arc::default();
    let mut last_tick = clock::now();
    let mut last_heat = clock::now();
    let mut is_reading = clock::now();
    loop {
        let now = clock::now();
        if now.since(last_tick) > STANDSTILL {
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
        if is_lost(state, service, &job) {
            break;
        }
        confirm(state, service, &job, &mut is_reading).await;
        note_gone(state, &job);
        let steps = tick(state, service, &job, &mut last_heat);
        for step in steps {
            start(state, &job, &channels, step);
        }
        sleep(TICK).await;
    }
    let planner = job.inner.lock().unwrap().planner.take();
    let revision = planner.map_or(0, |planner| planner.revision());
    log::info!("event=claim_lost service={service} revision={revision}");
}

/// Tells the planner which planners before it have ended.
fn note_gone(state: &State, job: &Job) {
    let view = state.view();
    let mut inner = job.inner.lock().unwrap();
    if let Some(planner) = &mut inner.planner {
        planner.remove_ended_predecessors(&|claim| is_gone(&view, claim), clock::now());
    }
}

/// Tells whether the table in the store is not the one that this VM plans by.
fn is_lost(state: &State, service: &str, job: &Job) -> bool {
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
    let is_own = table.claim.node == state.settings.name && table.claim.run == state.run;
    let inner = job.inner.lock().unwrap();
    let known = inner.planner.as_ref().map_or(0, Planner::revision);
    !is_own && *revision > known
}

/// Confirms the claim from what this VM itself read of the store.
async fn confirm(state: &Arc<State>, service: &str, job: &Job, last_read: &mut Instant) {
    let now = clock::now();
    let (is_confirmed, is_old) = {
        let inner = job.inner.lock().unwrap();
        let Some(planner) = &inner.planner else {
            return;
        };
        (
            planner.is_claim_valid(now),
            planner.claim_age(now) > CONFIRM_AGE,
        )
    };
    if is_confirmed && !is_old {
        return;
    }
    let pause = if is_confirmed {
        STORE_LOST
    } else {
        WRITE_PAUSE
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
                merge(&state, &object);
                let job = dispatcher::job(&state, &service);
                let mut inner = job.inner.lock().unwrap();
                let Some(planner) = &mut inner.planner else {
                    return;
                };
                let Some(Value::Table(table)) = &object.value else {
                    return;
                };
                if table.claim == planner.table().claim {
                    planner.confirm_claim(began);
                    state.set_own_fresh(began);
                }
            }
            Ok(None) => log::error!("event=table_missing service={service}"),
            Err(error) => {
                log::warn!("event=claim_unconfirmed service={service} why=\"{error}\"");
                state.set_store_failed();
            }
        }
    });
}

fn tick(state: &Arc<State>, service: &str, job: &Arc<Job>, last_heat: &mut Instant) -> Vec<Action> {
    let now = clock::now();
    let view = state.view();
    let mut inner = job.inner.lock().unwrap();
    inner.set_view(service, &view, now);
    let passed = now.since(*last_heat);
    if passed >= HEAT_PERIOD {
        inner.heat.decay(passed.as_secs_f64());
        *last_heat = now;
    }
    let roster: Vec<Arc<Endpoint>> = view
        .endpoints_of(service)
        .map(|listed| Arc::clone(&listed.endpoint))
        .collect();
    let dispatcher::Inner {
        desk,
        heat,
        planner,
        ..
    } = &mut *inner;
    let capacity = |id: &str| desk.capacity(id, now);
    match planner {
        Some(planner) => planner.tick(&roster, heat, &capacity, now),
        None => Vec::new(),
    }
}

/// Carries a step out and reports what came of it.
fn start(state: &Arc<State>, job: &Arc<Job>, channels: &Channels, step: Action) {
    let (task_state, job) = (Arc::clone(state), Arc::clone(job));
    let channels = Arc::clone(channels);
    state.context.detach(async move {
        match step {
            Action::Write(table) => write_step(&task_state, &job, table).await,
            Action::Grant(endpoint, grants) => {
                let results = grant(&task_state, &channels, &endpoint, grants).await;
                report(&task_state, &job, |planner, now| {
                    planner.on_grant_results(&endpoint.id, &results, now);
                });
            }
            Action::Release(endpoint, order) => {
                let answer = release(&task_state, &endpoint, order).await;
                log::info!(
                    "event=released service={} endpoint={} from={} to={} fence={} answer=\"{answer:?}\"",
                    job.service,
                    endpoint.id,
                    order.from,
                    order.to,
                    order.fence
                );
                report(&task_state, &job, |planner, now| {
                    planner.on_release_outcome(&endpoint.id, order, &answer, now);
                });
            }
            Action::Probe(endpoint, order) => {
                let answer = release(&task_state, &endpoint, order).await;
                report(&task_state, &job, |planner, now| {
                    planner.on_probe_outcome(&endpoint.id, &answer, now);
                });
            }
        }
    });
}

async fn write_step(state: &Arc<State>, job: &Arc<Job>, table: Table) {
    let revision = {
        let inner = job.inner.lock().unwrap();
        let Some(planner) = &inner.planner else {
            return;
        };
        planner.revision()
    };
    let sent = clock::now();
    let mut written = write(state, &table, Some(revision)).await;
    while matches!(written, Err(Error::Unknown)) && is_planning(job, revision) {
        // It may still take effect: nothing else may be written before that is known.
        log::warn!("event=table_unsure service={}", table.service);
        sleep(WRITE_PAUSE).await;
        written = write(state, &table, Some(revision)).await;
    }
    report(state, job, |planner, now| match written {
        Ok(revision) => {
            log::info!(
                "event=table_written service={} revision={revision} fence={} ranges={} took_ms={}",
                table.service,
                table.last_fence,
                table.ranges.len(),
                now.since(sent).as_millis()
            );
            planner.on_table_written(table, revision, sent, now);
        }
        Err(error) => {
            log::warn!(
                "event=table_not_written service={} why=\"{error}\"",
                table.service
            );
            if matches!(error, Error::Conflict(_)) {
                planner.set_outdated();
            } else {
                state.set_store_failed();
            }
            planner.on_write_failed(now.after(WRITE_PAUSE));
        }
    });
}

fn is_planning(job: &Job, revision: u64) -> bool {
    let inner = job.inner.lock().unwrap();
    let planner = inner.planner.as_ref();
    planner.is_some_and(|planner| planner.revision() == revision)
}

async fn release(state: &Arc<State>, endpoint: &Endpoint, order: Release) -> Outcome {
    metrics::counter!("rhubarbpick_orders_total", "kind" => "release").increment(1);
    (state.lease.release)(endpoint, order, RELEASE_TIMEOUT).await
}

/// Sends grants one after the other, up to the first that fails.
async fn grant(
    state: &Arc<State>,
    channels: &Channels,
    endpoint: &Endpoint,
    grants: Vec<Grant>,
) -> Vec<Completion> {
    let mut results = Vec::new();
    let channel = match channel(state, channels, endpoint).await {
        Ok(channel) => channel,
        Err(answer) => {
            let grant = grants.into_iter().next();
            results.extend(grant.map(|grant| Completion {
                grant,
                sent: clock::now(),
                completed: clock::now(),
                outcome: answer,
            }));
            return results;
        }
    };
    for grant in grants {
        let sent = clock::now();
        metrics::counter!("rhubarbpick_orders_total", "kind" => "grant").increment(1);
        let answer = (channel.grant)(grant.clone()).await;
        let is_done = matches!(answer, Outcome::Done(_));
        if !is_done {
            log::info!(
                "event=grant_failed endpoint={} from={} to={} fence={} answer=\"{answer:?}\"",
                endpoint.id,
                grant.from,
                grant.to,
                grant.fence
            );
            forget(channels, &endpoint.id);
        }
        results.push(Completion {
            grant,
            sent,
            completed: clock::now(),
            outcome: answer,
        });
        if !is_done {
            break;
        }
    }
    results
}

/// Returns the kept connection to an endpoint, or opens one.
async fn channel(
    state: &Arc<State>,
    channels: &Channels,
    endpoint: &Endpoint,
) -> Result<Arc<Channel>, Outcome> {
    let known = {
        let channels = channels.lock().unwrap();
        let place = channels.binary_search_by(|(id, _)| id.cmp(&endpoint.id));
        place.ok().map(|index| Arc::clone(&channels[index].1))
    };
    if let Some(channel) = known {
        match (channel.line)() {
            Line::Open => return Ok(channel),
            Line::Closing => forget(channels, &endpoint.id),
            Line::Ended => {
                forget(channels, &endpoint.id);
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

fn forget(channels: &Channels, endpoint: &str) {
    let mut channels = channels.lock().unwrap();
    channels.retain(|(id, _)| **id != *endpoint);
}

/// Tells the planner what came of a step, then serves whoever waited for it.
fn report(state: &Arc<State>, job: &Arc<Job>, tell: impl FnOnce(&mut Planner, Instant)) {
    let now = clock::now();
    let mut inner = job.inner.lock().unwrap();
    let Some(planner) = &mut inner.planner else {
        return;
    };
    tell(planner, now);
    let turn = inner.turn(&job.service, now);
    drop(inner);
    dispatcher::tell(state, turn);
}
