//! Keeping this VM's copy of the store.
//!
//! A few VMs, the relays, watch the store: the first one all kinds of objects,
//! the next ones what has to be known soon, so that the loss of one costs
//! nothing. The others ask a relay, which answers as soon as something changes.
//! Calls to the store so depend on the changes and not on the number of VMs.
//! Every VM knows how old its copy is.
//! When no relay answers or all of them are cut off from the store, a VM
//! reads the store itself, after a pause of random length.

use crate::{
    core::{
        mirror::{
            Kind,
            KINDS, //
        },
        registry::Member,
        rendezvous,
        time::Instant,
    },
    edge::objects::{
        Age,
        Error,
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
            Beat,
            Datagram, //
        },
    },
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

/// How long a watch of the configuration waits; its return shows that the store answers.
const MANIFEST_WAIT: Duration = Duration::from_millis(800);

/// Time beyond that after which the watch is given up and the configuration
/// read, so that the copies of all VMs stay younger than [`READ_AGE`].
const OVERDUE: Duration = Duration::from_millis(250);

/// How long the other watches wait.
const WATCH_WAIT: Duration = Duration::from_millis(5_000);

/// Pause in which further changes may come before the next watch.
const GATHER: Duration = Duration::from_millis(40);

/// The same for endpoints, which often change by the dozen; well within the time
/// for which a leaving endpoint may still get requests.
const GATHER_ENDPOINTS: Duration = Duration::from_millis(150);

/// Pause after the store turned a call away or did not answer, at least.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// How long after an outage a missing endpoint may still come back: the platform's bound.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// An error that lasts this long is an outage.
const OUTAGE: Duration = Duration::from_millis(400);

/// How often a VM checks whether it reads the store.
const ROLE_PERIOD: Duration = Duration::from_millis(100);

/// VMs to which all others show that they are alive; more than the relays, so
/// that those that take their place know already.
const HEARERS: usize = 5;

/// Shortest pause between two looks at the roles, which follow the members.
const ROLE_GAP: Duration = Duration::from_millis(20);

/// How often a VM shows that it is alive.
const BEAT_PERIOD: Duration = Duration::from_millis(200);

/// Age that an answer of the store may have when it arrives.
const ANSWER_AGE: Duration = Duration::from_millis(100);

/// Age of the copy at which a VM reads the store itself, though relays answer.
const READ_AGE: Duration = Duration::from_millis(1_800);

/// Time without an answer of any relay after which a VM reads the store itself.
const READ_SILENCE: Duration = Duration::from_millis(800);

/// Time in which a VM that starts waits for the relays to have a copy.
const START: Duration = Duration::from_millis(2_500);

/// Span over which the reads of many VMs are spread.
const READ_SPREAD: Duration = Duration::from_millis(400);

/// Shortest pause between two such reads.
const READ_PAUSE: Duration = Duration::from_millis(900);

/// Silence after which a member's entry is removed.
pub const FORGET_AFTER: Duration = Duration::from_secs(12);

/// Runs everything that keeps the copy.
pub fn spawn(state: &Arc<State>) {
    for kind in KINDS {
        state.context.detach(watch(Arc::clone(state), kind));
    }
    state.context.detach(beat(Arc::clone(state)));
    state.context.detach(follow(Arc::clone(state)));
}

/// Draws a span between one and two times `span`, different on each VM and each time.
fn jitter(span: Duration) -> Duration {
    span + span.mul_f64(rand::random::<f64>())
}

/// Tells whether the relay at `place` watches a kind.
fn is_watched(kind: Kind, place: usize) -> bool {
    match kind {
        Kind::Manifest => true,
        Kind::Endpoint => place < 2,
        Kind::Member | Kind::Table => place == 0,
    }
}

/// Returns how long further changes of a kind are waited for before the next watch.
fn gather(kind: Kind) -> Duration {
    match kind {
        Kind::Manifest => Duration::ZERO,
        Kind::Table | Kind::Member => GATHER,
        Kind::Endpoint => GATHER_ENDPOINTS,
    }
}

/// Watches a kind of objects whenever this VM is a relay.
async fn watch(state: Arc<State>, kind: Kind) {
    let mut as_of: Option<u64> = None;
    let mut failing: Option<Instant> = None;
    let mut grace_end: Option<Instant> = None;
    loop {
        let role_changed = state.role_changed.listen();
        if !state
            .reads_store()
            .is_some_and(|place| is_watched(kind, place))
        {
            // A copy that was kept by others may be ahead: lists merge by revision.
            as_of = None;
            timeout(ROLE_PERIOD, role_changed).await;
            continue;
        }
        let began = clock::now();
        let is_grace = grace_end.is_some_and(|end| began < end);
        if grace_end.is_some() && !is_grace {
            // What is missing now is gone for good.
            grace_end = None;
            as_of = None;
        }
        let result = match as_of {
            None => list(&state, kind, !is_grace).await,
            Some(after) => {
                let wait = match (kind, grace_end) {
                    (Kind::Manifest, _) => MANIFEST_WAIT,
                    (_, Some(end)) => end.since(began).min(WATCH_WAIT),
                    _ => WATCH_WAIT,
                };
                let changes = follow_changes(&state, kind, after, wait, !is_grace);
                if kind == Kind::Manifest {
                    match timeout(wait + OVERDUE, changes).await {
                        Some(result) => result,
                        None => list(&state, kind, true).await,
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
                    sleep(gather(kind)).await;
                }
                if kind == Kind::Manifest {
                    let answered = clock::now().0.saturating_sub(ANSWER_AGE.as_micros() as u64);
                    state.set_own_fresh(began.max(Instant(answered)));
                }
                let Some(since) = failing.take() else {
                    continue;
                };
                let lost = clock::now().since(since);
                log::info!(
                    "event=store_back kind={kind:?} after_ms={}",
                    lost.as_millis()
                );
                if lost > OUTAGE && kind == Kind::Endpoint {
                    grace_end = Some(clock::now().after(LAPSE_GRACE));
                }
            }
            Err(Error::HistoryGone) => {
                log::info!("event=history_gone kind={kind:?}");
                as_of = None;
            }
            Err(error) => {
                if failing.is_none() {
                    failing = Some(began);
                    log::warn!("event=store_lost kind={kind:?} why=\"{error}\"");
                }
                sleep(jitter(RETRY_PAUSE)).await;
            }
        }
    }
}

async fn list(state: &Arc<State>, kind: Kind, has_removals: bool) -> Result<u64, Error> {
    let store = state.store();
    let page = store.list(kind, Age::Fresh).await?;
    let as_of = page.as_of;
    state.merge(|mirror| mirror.merge_list(kind, page.objects, as_of, has_removals));
    Ok(as_of)
}

async fn follow_changes(
    state: &Arc<State>,
    kind: Kind,
    after: u64,
    wait: Duration,
    has_removals: bool,
) -> Result<u64, Error> {
    let store = state.store();
    let page: Page = store.watch(kind, after, wait).await?;
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

/// Shows the relays that this VM is alive, and decides whether it is one.
async fn beat(state: Arc<State>) {
    let mut relay_since: Option<Instant> = None;
    let mut hearing_since: Option<Instant> = None;
    let mut next_beat = clock::now();
    loop {
        let changed = state.changed.listen();
        let view = state.view();
        let relays = state.relays(&view);
        let is_own = |member: &Member| *member.name == *state.settings.name;
        let place = relays.iter().position(is_own);
        state.set_reads_store(place);
        if place.is_some() != relay_since.is_some() {
            log::info!("event=relay is_relay={}", place.is_some());
            relay_since = place.map(|_| clock::now());
        }
        // The first ones hear everybody, whatever is believed of them here.
        let known = rendezvous::select_relays(&view.members, HEARERS, |_| true);
        let hears = place.is_some() || known.iter().any(|member| is_own(member));
        if hears != hearing_since.is_some() {
            hearing_since = hears.then(clock::now);
        }
        let now = clock::now();
        if now >= next_beat {
            next_beat = now.after(BEAT_PERIOD);
            let hearers = relays.iter().chain(known.iter().copied());
            send_beat(&state, hearers.filter(|member| !is_own(member)));
        }
        if state.find_absent(hearing_since) {
            log::info!("event=absent members=\"{}\"", state.absent().join(","));
            state.changed.notify(usize::MAX);
        }
        if hears {
            // It takes its own word, as it hears every member.
            state.set_told(state.absent());
        }
        sleep(ROLE_GAP).await;
        timeout(next_beat.since(clock::now()), changed).await;
    }
}

/// Shows some members that this VM is alive.
fn send_beat<'a>(state: &Arc<State>, members: impl Iterator<Item = &'a Member>) {
    let beat = Beat {
        name: state.settings.name.clone(),
        run: state.run,
        is_leaving: state.is_leaving(),
        has_store: !state.is_cut_off(),
    };
    let mut hearers: Vec<SocketAddr> = members.map(|member| member.datagrams).collect();
    hearers.sort_unstable();
    hearers.dedup();
    for hearer in hearers {
        send(state, hearer, Datagram::Beat(beat.clone()));
    }
}

/// Follows a relay, or reads the store when none is of use.
async fn follow(state: Arc<State>) {
    let mut copies: Vec<peer::Copy> = Vec::new();
    let mut last_read = Instant::default();
    let started = clock::now();
    let mut followed = started;
    let mut delay = draw_delay();
    loop {
        let view = state.view();
        if view.members.is_empty() {
            meet(&state).await;
            continue;
        }
        let place = state.reads_store().filter(|_| !state.is_cut_off());
        if place == Some(0) {
            followed = clock::now();
            sleep(ROLE_PERIOD).await;
            continue;
        }
        let mut relays = state.relays(&view);
        relays.retain(|member| *member.name != *state.settings.name);
        if place.is_none() {
            relays.sort_by_key(|member| {
                let own = xxhash_rust::xxh3::xxh3_64(state.settings.name.as_bytes());
                let turn = xxhash_rust::xxh3::xxh3_64_with_seed(member.name.as_bytes(), own);
                (member.zone != state.settings.zone, turn)
            });
        }
        let is_followed = match relays.first() {
            None => false,
            Some(relay) => peer::follow(&state, relay, &mut copies).await,
        };
        if is_followed {
            followed = clock::now();
        }
        let is_start = clock::now().since(started) < START;
        let is_alone = clock::now().since(followed) > READ_SILENCE + delay;
        if (is_start || state.age() < READ_AGE + delay) && !is_alone {
            if !is_followed {
                sleep(ROLE_PERIOD).await;
            }
            continue;
        }
        if let (true, Some(relay)) = (is_followed, relays.first()) {
            // It answers, but is itself cut off.
            state.suspect(relay.datagrams);
        }
        if clock::now().since(last_read) < READ_PAUSE + delay {
            sleep(ROLE_PERIOD).await;
            continue;
        }
        last_read = clock::now();
        delay = draw_delay();
        if is_followed {
            read_manifest(&state).await;
        } else {
            read(&state).await;
        }
    }
}

/// Draws how much longer than it has to this VM waits before it reads the store.
fn draw_delay() -> Duration {
    READ_SPREAD.mul_f64(rand::random::<f64>())
}

/// Learns the members when this VM starts.
async fn meet(state: &Arc<State>) {
    if state.revision(Kind::Member, &state.settings.name).is_none() {
        // This VM's own entry is written first.
        sleep(ROLE_PERIOD / 4).await;
        if !state.is_joined() {
            return;
        }
    }
    if let Err(error) = list(state, Kind::Member, false).await {
        log::warn!("event=store_lost kind=Member why=\"{error}\"");
        sleep(jitter(RETRY_PAUSE)).await;
    }
}

/// Reads the configuration, as the relays answer but their copies are old.
async fn read_manifest(state: &Arc<State>) {
    let began = clock::now();
    log::info!("event=manifest_read age_ms={}", state.age().as_millis());
    match list(state, Kind::Manifest, true).await {
        Ok(_) => state.set_fresh(began),
        Err(error) => log::warn!("event=store_lost kind=Manifest why=\"{error}\""),
    }
}

/// Reads the whole store once.
async fn read(state: &Arc<State>) {
    let began = clock::now();
    log::info!("event=store_read age_ms={}", state.age().as_millis());
    for kind in [Kind::Manifest, Kind::Endpoint, Kind::Member, Kind::Table] {
        // Whether an entry lapsed in an outage is for the relays to say.
        let has_removals = kind != Kind::Endpoint;
        if let Err(error) = list(state, kind, has_removals).await {
            log::warn!("event=store_lost kind={kind:?} why=\"{error}\"");
            return;
        }
    }
    state.set_fresh(began);
}
