//! Registration of this VM as a member, and removal of members that are gone.

use crate::{
    core::{
        mirror::{
            Kind,
            Value, //
        },
        registry::Member,
        time::Instant,
    },
    edge::objects::{
        Error,
        Write, //
    },
    kernel::{
        clock,
        runtime::sleep, //
    },
    router::{
        state::State,
        sync, //
    },
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Delay before a failed registration is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Interval between checks of this VM's entry and for members that are gone.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Keeps this VM registered for as long as the process runs.
pub async fn run(state: Arc<State>) {
    let own = Member {
        name: state.settings.name.clone(),
        run: state.run,
        peers: state.settings.listen.peers,
        datagrams: state.settings.listen.datagrams,
        zone: state.settings.zone.clone(),
        cpu_millis: state.settings.cpu_millis,
    };
    register(&state, &own).await;
    state.set_registered();
    let mut unavailable_since: Vec<(Box<str>, Instant)> = Vec::new();
    let mut restored_at = state.restored_at();
    loop {
        sleep(CHECK_INTERVAL).await;
        if state.is_leaving() {
            continue;
        }
        let view = state.view();
        let entry = view.members.iter().find(|member| member.name == own.name);
        let is_restored = state.restored_at() != restored_at;
        if is_restored || (!view.members.is_empty() && entry != Some(&own)) {
            restored_at = state.restored_at();
            register(&state, &own).await;
        }
        remove_unavailable(&state, &mut unavailable_since).await;
    }
}

async fn register(state: &Arc<State>, own: &Member) {
    let mut revision = state.revision(Kind::Member, &own.name);
    loop {
        let write = Write {
            kind: Kind::Member,
            name: own.name.clone(),
            value: Value::Member(Arc::new(own.clone())),
            revision,
        };
        let store = state.store();
        match store.put(write).await {
            Ok(_) => {
                log::info!("event=member_joined name={} run={}", own.name, own.run);
                return;
            }
            Err(Error::Conflict(Some(object))) => {
                if object.value == Some(Value::Member(Arc::new(own.clone()))) {
                    return;
                }
                revision = Some(object.revision);
            }
            Err(Error::NotFound) => revision = None,
            Err(error) => {
                log::warn!("event=member_not_joined why=\"{error}\"");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Removes a member that has been unavailable for [`sync::MEMBER_REMOVAL_TIMEOUT`].
///
/// Only the first relay does so, since it receives the heartbeats of all members.
async fn remove_unavailable(state: &Arc<State>, unavailable_since: &mut Vec<(Box<str>, Instant)>) {
    let view = state.view();
    let relays = state.relays(&view);
    let is_first = relays
        .first()
        .is_some_and(|first| first.name == state.settings.name);
    let unavailable = state.unavailable_members();
    // A VM that receives heartbeats from less than half of the members is itself cut off.
    if !is_first || unavailable.len() * 2 > view.members.len() {
        unavailable_since.clear();
        return;
    }
    let now = clock::now();
    unavailable_since.retain(|(name, _)| unavailable.contains(name));
    for name in &unavailable {
        if !unavailable_since.iter().any(|(other, _)| other == name) {
            unavailable_since.push((name.clone(), now));
        }
    }
    for (name, since) in unavailable_since.iter() {
        if now.since(*since) < sync::MEMBER_REMOVAL_TIMEOUT {
            continue;
        }
        let Some(revision) = state.revision(Kind::Member, name) else {
            continue;
        };
        let store = state.store();
        match store.remove(Kind::Member, name, revision).await {
            Ok(()) | Err(Error::NotFound) => log::info!("event=member_removed name={name}"),
            Err(error) => log::warn!("event=member_not_removed name={name} why=\"{error}\""),
        }
        return;
    }
}
