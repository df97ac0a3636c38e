//! Synchronization of this VM's mirror with the platform's store.
//!
//! A few VMs, the relays, watch the store. The first relay watches all kinds of
//! objects. The others watch those whose changes have to be known soon, so that
//! the loss of one relay causes no delay. All other VMs poll a relay, which
//! responds as soon as something changes. The number of calls to the store
//! therefore depends on the number of changes and not on the number of VMs.
//!
//! Every VM knows the age of its mirror. If no relay responds, or all of them
//! are cut off from the store, a VM reads the store itself after a random
//! delay.

use crate::{
    core::{
        evacuation,
        mirror::{
            Kind,
            Object,
            KINDS, //
        },
        registry::Member,
        rendezvous, revision,
        time::Instant,
    },
    edge::objects::{
        Error,
        Freshness,
        Page, //
    },
    kernel::{
        clock,
        runtime::{
            sleep,
            timeout, //
        },
    },
    router::{
        datagram::send,
        peer,
        state::State,
        wire::{
            Datagram,
            Heartbeat, //
        },
    },
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

/// How long a watch of the configuration waits; its return also shows that the store responds.
const MANIFEST_WATCH_TIMEOUT: Duration = Duration::from_millis(800);

/// How much later the watch is given up and the configuration is read instead, so that the
/// mirrors of all VMs stay younger than [`MAX_MIRROR_AGE`].
const WATCH_GRACE: Duration = Duration::from_millis(250);

/// How long watches of other objects wait.
const WATCH_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Delay before the next watch, so that changes in quick succession share a call.
const BATCH_DELAY: Duration = Duration::from_millis(40);

/// Like [`BATCH_DELAY`], for endpoints, many of which often change at once. It is well below
/// the time for which a leaving endpoint may still get requests.
const ENDPOINT_BATCH_DELAY: Duration = Duration::from_millis(150);

/// Least delay before a failed call to the store is repeated.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// How long after an outage a missing endpoint may still register again, as the platform
/// specifies.
const REGISTRATION_GRACE: Duration = Duration::from_millis(2_200);

/// Least duration of an error that counts as an outage.
const MIN_OUTAGE: Duration = Duration::from_millis(400);

/// Interval at which a VM checks its role.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of VMs that receive the heartbeats of all members; more than there are relays, so
/// that a VM that becomes a relay already knows which members are available.
const HEARTBEAT_RECEIVERS: usize = 5;

/// Least time between two updates of the role, which follow changes of the members.
const MIN_ROLE_CHECK_GAP: Duration = Duration::from_millis(20);

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Greatest age that a response of the store may have on arrival.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(100);

/// Age of the mirror from which a VM reads the store itself although relays respond.
const MAX_MIRROR_AGE: Duration = Duration::from_millis(1_800);

/// Time without a response from any relay after which a VM reads the store itself.
const RELAY_TIMEOUT: Duration = Duration::from_millis(800);

/// How long after its start a VM waits for the relays to have a mirror.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Span over which the reads of several VMs are spread.
const READ_JITTER: Duration = Duration::from_millis(400);

/// Least time between two such reads.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(900);

/// How long a member must be unavailable before its entry is removed.
pub const MEMBER_REMOVAL_TIMEOUT: Duration = Duration::from_secs(12);

/// Number of characters of an unusable object's name that are logged.
const MAX_LOGGED_NAME: usize = 64;

/// Starts the tasks that keep the mirror up to date.
pub fn spawn(state: &Arc<State>) {
    for kind in KINDS.into_iter().filter(|&kind| is_used(state, kind)) {
        state.context.detach(watch(Arc::clone(state), kind));
    }
    state.context.detach(run_heartbeats(Arc::clone(state)));
    state.context.detach(run_follower(Arc::clone(state)));
}

/// Returns a random duration between one and two times `span`.
fn with_jitter(span: Duration) -> Duration {
    span + span.mul_f64(rand::random::<f64>())
}

/// Returns whether this deployment uses a kind.
fn is_used(state: &State, kind: Kind) -> bool {
    kind != Kind::Evacuation || state.settings.bounds.evacuation_timeout.is_some()
}

/// Returns whether the relay at `position` watches a kind.
fn is_watched(kind: Kind, position: usize) -> bool {
    match kind {
        Kind::Manifest => true,
        Kind::Endpoint | Kind::Evacuation => position < 2,
        Kind::Member | Kind::Table => position == 0,
    }
}

/// Returns the delay before the next watch of a kind.
fn batch_delay(kind: Kind) -> Duration {
    match kind {
        Kind::Manifest | Kind::Evacuation => Duration::ZERO,
        Kind::Table | Kind::Member => BATCH_DELAY,
        Kind::Endpoint => ENDPOINT_BATCH_DELAY,
    }
}

/// Returns until when objects may be missing because the store was restored from an old copy.
fn settling_end(state: &State) -> Option<Instant> {
    let restored_at = state.restored_at()?;
    Some(restored_at.after(REGISTRATION_GRACE))
}

/// Watches a kind of objects while this VM is a relay for it.
async fn watch(state: Arc<State>, kind: Kind) {
    let mut as_of: Option<u64> = None;
    let mut failing_since: Option<Instant> = None;
    let mut grace_end: Option<Instant> = None;
    let mut restored_at = state.restored_at();
    loop {
        let role_changed = state.role_changed.listen();
        if !state
            .relay_position()
            .is_some_and(|position| is_watched(kind, position))
        {
            // The mirror may already be newer through another relay; lists merge by revision,
            // so a new list cannot set it back.
            as_of = None;
            timeout(ROLE_CHECK_INTERVAL, role_changed).await;
            continue;
        }
        if state.restored_at() != restored_at {
            // Changes since a revision of an earlier era are not the ones that this VM lacks.
            restored_at = state.restored_at();
            grace_end = settling_end(&state);
            as_of = None;
        }
        let began = clock::now();
        let is_grace = grace_end.is_some_and(|end| began < end);
        if grace_end.is_some() && !is_grace {
            // Endpoints that have not registered again by now are gone.
            grace_end = None;
            as_of = None;
        }
        let result = match as_of {
            None => list_objects(&state, kind, !is_grace).await,
            Some(after) => {
                let wait = match (kind, grace_end) {
                    (Kind::Manifest, _) => MANIFEST_WATCH_TIMEOUT,
                    (Kind::Evacuation, _) => state
                        .settings
                        .bounds
                        .evacuation_timeout
                        .map_or(WATCH_TIMEOUT, evacuation::watch_timeout),
                    (_, Some(end)) => end.since(began).min(WATCH_TIMEOUT),
                    _ => WATCH_TIMEOUT,
                };
                let changes = watch_changes(&state, kind, after, wait, !is_grace);
                if matches!(kind, Kind::Manifest | Kind::Evacuation) {
                    match timeout(wait + WATCH_GRACE, changes).await {
                        Some(result) => result,
                        None => list_objects(&state, kind, true).await,
                    }
                } else {
                    changes.await
                }
            }
        };
        match result {
            Ok(revision) => {
                let is_change = as_of.is_some_and(|known| known < revision);
                as_of = Some(revision);
                if is_change {
                    sleep(batch_delay(kind)).await;
                }
                if kind == Kind::Manifest {
                    let oldest = clock::now()
                        .0
                        .saturating_sub(MAX_RESPONSE_AGE.as_micros() as u64);
                    state.set_read_at(began.max(Instant(oldest)));
                }
                if kind == Kind::Evacuation {
                    state.set_evacuations_known_at(began);
                }
                let Some(since) = failing_since.take() else {
                    continue;
                };
                let outage = clock::now().since(since);
                log::info!(
                    "event=store_back kind={kind:?} after_ms={}",
                    outage.as_millis()
                );
                if outage > MIN_OUTAGE && kind == Kind::Endpoint {
                    grace_end = Some(clock::now().after(REGISTRATION_GRACE));
                }
            }
            Err(Error::HistoryGone) => {
                log::info!("event=history_gone kind={kind:?}");
                as_of = None;
            }
            Err(error) => {
                if failing_since.is_none() {
                    failing_since = Some(began);
                    log::warn!("event=store_lost kind={kind:?} why=\"{error}\"");
                }
                sleep(with_jitter(MIN_RETRY_DELAY)).await;
            }
        }
    }
}

/// Lists the objects of a kind.
///
/// Without `has_removals`, objects that are not in the list are kept, as they are for a while
/// after the store was restored from an old copy. Tables are never removed.
async fn list_objects(state: &Arc<State>, kind: Kind, has_removals: bool) -> Result<u64, Error> {
    let store = state.store();
    let page = store.list(kind, Freshness::Fresh).await?;
    log_unusable(&page.objects);
    let as_of = page.as_of;
    let is_settling = settling_end(state).is_some_and(|end| clock::now() < end);
    let may_remove = has_removals && !is_settling && kind != Kind::Table;
    state.merge(|mirror| {
        let is_restored = mirror.last_change() > 0 && revision::era(as_of) > mirror.era();
        mirror.merge_list(kind, page.objects, as_of, may_remove && !is_restored)
    });
    Ok(as_of)
}

/// Logs the objects that another writer has made or damaged.
fn log_unusable(objects: &[Object]) {
    let is_unusable = |object: &&Object| {
        object
            .value
            .as_ref()
            .is_some_and(|value| !value.is_usable())
    };
    for object in objects.iter().filter(is_unusable) {
        let (kind, revision) = (object.kind.name(), object.revision);
        let name: String = object.name.chars().take(MAX_LOGGED_NAME).collect();
        log::warn!("event=object_unusable kind={kind} name={name:?} revision={revision}");
    }
}

async fn watch_changes(
    state: &Arc<State>,
    kind: Kind,
    after: u64,
    wait: Duration,
    has_removals: bool,
) -> Result<u64, Error> {
    let store = state.store();
    let page: Page = store.watch(kind, after, wait).await?;
    log_unusable(&page.objects);
    state.merge(|mirror| {
        let mut is_changed = false;
        for object in page.objects {
            if object.value.is_some() || has_removals {
                is_changed |= mirror.merge(object);
            }
        }
        is_changed
    });
    Ok(page.as_of)
}

/// Sends heartbeats and keeps this VM's role up to date.
async fn run_heartbeats(state: Arc<State>) {
    let mut relay_since: Option<Instant> = None;
    let mut receiving_since: Option<Instant> = None;
    let mut next_heartbeat = clock::now();
    loop {
        let changed = state.changed.listen();
        let view = state.view();
        let relays = state.relays(&view);
        let is_self = |member: &Member| *member.name == *state.settings.name;
        let position = relays.iter().position(is_self);
        state.set_relay_position(position);
        if position.is_some() != relay_since.is_some() {
            log::info!("event=relay is_relay={}", position.is_some());
            relay_since = position.map(|_| clock::now());
        }
        // Independent of the availability of members, so that the receivers are the same
        // everywhere.
        let static_receivers =
            rendezvous::select_relays(&view.members, HEARTBEAT_RECEIVERS, |_| true);
        let is_receiver =
            position.is_some() || static_receivers.iter().any(|member| is_self(member));
        if is_receiver != receiving_since.is_some() {
            receiving_since = is_receiver.then(clock::now);
        }
        let now = clock::now();
        if now >= next_heartbeat {
            next_heartbeat = now.after(HEARTBEAT_INTERVAL);
            let receivers = relays.iter().chain(static_receivers.iter().copied());
            send_heartbeat(&state, receivers.filter(|member| !is_self(member)));
        }
        if state.update_unavailable_members(receiving_since) {
            log::info!(
                "event=absent members=\"{}\"",
                state.unavailable_members().join(",")
            );
            state.changed.notify(usize::MAX);
        }
        if is_receiver {
            // This VM receives the heartbeats of all members, so its own result replaces that
            // of a relay.
            state.set_reported_unavailable(state.unavailable_members());
        }
        sleep(MIN_ROLE_CHECK_GAP).await;
        timeout(next_heartbeat.since(clock::now()), changed).await;
    }
}

/// Sends a heartbeat to each of `members`.
fn send_heartbeat<'a>(state: &Arc<State>, members: impl Iterator<Item = &'a Member>) {
    let heartbeat = Heartbeat {
        name: state.settings.name.clone(),
        run: state.run,
        is_leaving: state.is_leaving(),
        has_store: !state.is_store_unreachable(),
    };
    let mut receivers: Vec<SocketAddr> = members.map(|member| member.datagrams).collect();
    receivers.sort_unstable();
    receivers.dedup();
    for receiver in receivers {
        send(state, receiver, Datagram::Heartbeat(heartbeat.clone()));
    }
}

/// Polls a relay, or reads the store when no relay is useful.
async fn run_follower(state: Arc<State>) {
    let mut cursors: Vec<peer::Cursor> = Vec::new();
    let mut last_read = Instant::default();
    let started = clock::now();
    let mut last_response = started;
    let mut delay = random_delay();
    loop {
        let view = state.view();
        if view.members.is_empty() {
            load_members(&state).await;
            continue;
        }
        let position = state
            .relay_position()
            .filter(|_| !state.is_store_unreachable());
        if position == Some(0) {
            last_response = clock::now();
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let mut relays = state.relays(&view);
        relays.retain(|member| *member.name != *state.settings.name);
        if position.is_none() {
            relays.sort_by_key(|member| {
                let own = xxhash_rust::xxh3::xxh3_64(state.settings.name.as_bytes());
                let hash = xxhash_rust::xxh3::xxh3_64_with_seed(member.name.as_bytes(), own);
                (member.zone != state.settings.zone, hash)
            });
        }
        let has_response = match relays.first() {
            None => false,
            Some(relay) => peer::poll(&state, relay, &mut cursors).await,
        };
        if has_response {
            last_response = clock::now();
        }
        let is_starting = clock::now().since(started) < STARTUP_TIMEOUT;
        let has_no_relay = clock::now().since(last_response) > RELAY_TIMEOUT + delay;
        if (is_starting || state.age() < MAX_MIRROR_AGE + delay) && !has_no_relay {
            if !has_response {
                sleep(ROLE_CHECK_INTERVAL).await;
            }
            continue;
        }
        if let (true, Some(relay)) = (has_response, relays.first()) {
            // The relay responds, but is itself cut off from the store.
            state.suspect(relay.datagrams);
        }
        if clock::now().since(last_read) < MIN_READ_INTERVAL + delay {
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        last_read = clock::now();
        delay = random_delay();
        if has_response {
            read_bounded_kinds(&state).await;
        } else {
            read_store(&state).await;
        }
    }
}

/// Returns the random part of the delay before this VM reads the store.
fn random_delay() -> Duration {
    READ_JITTER.mul_f64(rand::random::<f64>())
}

/// Reads the members from the store when this VM starts.
async fn load_members(state: &Arc<State>) {
    if state.revision(Kind::Member, &state.settings.name).is_none() {
        // This VM registers itself first.
        sleep(ROLE_CHECK_INTERVAL / 4).await;
        if !state.is_registered() {
            return;
        }
    }
    if let Err(error) = list_objects(state, Kind::Member, false).await {
        log::warn!("event=store_lost kind=Member why=\"{error}\"");
        sleep(with_jitter(MIN_RETRY_DELAY)).await;
    }
}

/// Reads the kinds of objects that have to be known within a bound, because the relays respond
/// but their mirrors are old.
async fn read_bounded_kinds(state: &Arc<State>) {
    let began = clock::now();
    log::info!("event=manifest_read age_ms={}", state.age().as_millis());
    for kind in [Kind::Manifest, Kind::Evacuation] {
        if !is_used(state, kind) {
            continue;
        }
        match list_objects(state, kind, true).await {
            Ok(_) if kind == Kind::Manifest => state.set_synced_at(began),
            Ok(_) => state.set_evacuations_known_at(began),
            Err(error) => log::warn!("event=store_lost kind={kind:?} why=\"{error}\""),
        }
    }
}

/// Reads all objects from the store once.
async fn read_store(state: &Arc<State>) {
    let began = clock::now();
    log::info!("event=store_read age_ms={}", state.age().as_millis());
    for kind in KINDS.into_iter().filter(|&kind| is_used(state, kind)) {
        // Only relays can tell whether a missing endpoint is gone or may register again after
        // an outage.
        let has_removals = kind != Kind::Endpoint;
        if let Err(error) = list_objects(state, kind, has_removals).await {
            log::warn!("event=store_lost kind={kind:?} why=\"{error}\"");
            return;
        }
    }
    state.set_synced_at(began);
    state.set_evacuations_known_at(began);
}
