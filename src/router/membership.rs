//! This VM's entry among the members, and the entries of those that are gone.

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

/// Pause between two tries to write the entry.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How often the entry is checked and silent members are looked for.
const PERIOD: Duration = Duration::from_millis(1_000);

/// Keeps this VM's entry for as long as the process runs.
pub async fn run(state: Arc<State>) {
    let own = Member {
        name: state.settings.name.clone(),
        run: state.run,
        peers: state.settings.listen.peers,
        datagrams: state.settings.listen.datagrams,
        zone: state.settings.zone.clone(),
        cpu_millis: state.settings.cpu_millis,
    };
    join(&state, &own).await;
    state.set_joined();
    let mut silent: Vec<(Box<str>, Instant)> = Vec::new();
    loop {
        sleep(PERIOD).await;
        if state.is_leaving() {
            continue;
        }
        let view = state.view();
        let entry = view.members.iter().find(|member| member.name == own.name);
        if !view.members.is_empty() && entry != Some(&own) {
            join(&state, &own).await;
        }
        remove_silent(&state, &mut silent).await;
    }
}

async fn join(state: &Arc<State>, own: &Member) {
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
            Err(Error::Absent) => revision = None,
            Err(error) => {
                log::warn!("event=member_not_joined why=\"{error}\"");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Removes the entries of members that the first relay has not heard for long.
async fn remove_silent(state: &Arc<State>, silent: &mut Vec<(Box<str>, Instant)>) {
    let view = state.view();
    let relays = state.relays(&view);
    let is_first = relays
        .first()
        .is_some_and(|first| first.name == state.settings.name);
    let absent = state.absent();
    // Who hears less than half of the others is the one that is cut off.
    if !is_first || absent.len() * 2 > view.members.len() {
        silent.clear();
        return;
    }
    let now = clock::now();
    silent.retain(|(name, _)| absent.contains(name));
    for name in &absent {
        if !silent.iter().any(|(other, _)| other == name) {
            silent.push((name.clone(), now));
        }
    }
    for (name, since) in silent.iter() {
        if now.since(*since) < sync::FORGET_AFTER {
            continue;
        }
        let Some(revision) = state.revision(Kind::Member, name) else {
            continue;
        };
        let store = state.store();
        match store.remove(Kind::Member, name, revision).await {
            Ok(()) | Err(Error::Absent) => log::info!("event=member_removed name={name}"),
            Err(error) => log::warn!("event=member_not_removed name={name} why=\"{error}\""),
        }
        return;
    }
}
