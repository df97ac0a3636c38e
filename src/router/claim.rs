//! Taking the planner claim of a service, and writing tables under it.
//!
//! If the store was restored from an old copy, the table is read again first,
//! and a VM that knows nothing from before asks others for what they know.

use crate::{
    core::{
        mirror::{
            Kind,
            Object,
            Value, //
        },
        ownership::{
            is_restored,
            possible_planners,
            Claim,
            History,
            Planner,
            Table, //
        },
        registry::Member,
        revision,
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
        dispatcher, peer, permit_client,
        state::{
            State,
            View, //
        },
    },
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Delay before a failed write or read of the table is retried.
pub const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Number of VMs that a planner asks for what they know from before a restore of the store.
const MAX_PEERS_ASKED: usize = 8;

/// Returns whether this VM should take the claim.
pub fn should_take_claim(state: &State, view: &View, service: &str) -> bool {
    let ranked_members = permit_client::ranked_members(state, view, service);
    let own = &state.settings.name;
    let Some((_, table)) = view.table(service) else {
        return ranked_members
            .first()
            .is_some_and(|first| first.name == *own);
    };
    let claim = &table.claim;
    let holder = view.members.iter().find(|member| member.name == claim.node);
    let is_held = holder.is_some_and(|holder| holder.run == claim.run && state.is_usable(holder));
    if claim.node == *own {
        // The claim is from an earlier run of this process, or its planner found a table that
        // it had not written.
        return ranked_members.iter().any(|member| member.name == *own);
    }
    if is_held {
        return false;
    }
    let mut candidates = ranked_members
        .iter()
        .filter(|member| member.name != claim.node);
    candidates.next().is_some_and(|first| first.name == *own)
}

/// Writes this VM's claim to the table; returns a planner on success.
pub async fn take_claim(state: &Arc<State>, view: &Arc<View>, service: &str) -> Option<Planner> {
    let claim = Claim {
        node: state.settings.name.clone(),
        run: state.run,
    };
    let era = state.era();
    let mut view = Arc::clone(view);
    let mut replaced = view.table(service).map(|(revision, _)| *revision);
    let known = view.table(service).map(|(_, table)| &**table);
    if is_restored(known, era) {
        replaced = match read_restored_table(state, &view, service, era).await {
            Ok(revision) => revision,
            Err(error) => {
                log::info!("event=claim_not_taken service={service} why=\"{error}\"");
                sleep(RETRY_DELAY).await;
                return None;
            }
        };
        view = state.view();
        let table = view.table(service);
        if state.era() != era || table.is_some_and(|(_, table)| table.era >= era) {
            return None;
        }
    }
    let table = Table::claimed(
        view.table(service).map(|(_, table)| &**table),
        service,
        claim.clone(),
        era,
        &former_planners(state, &view, &claim, era),
        &|claim| has_ended(&view, claim),
    );
    let sent = clock::now();
    match write_table(state, &table, replaced, Earlier::None).await {
        Ok(revision) if revision::era(revision) != table.era => {
            log::warn!("event=claim_outdated service={service} revision={revision}");
            None
        }
        Ok(revision) => {
            let max_lease_duration = state.settings.bounds.max_lease_duration;
            let now = clock::now();
            let mut planner = Planner::new(table, revision, max_lease_duration, now);
            log::info!(
                "event=claim_taken service={service} revision={revision} fence={} foreign_ms={}",
                planner.table().last_fence,
                planner.predecessors_expire_in(now).as_millis()
            );
            planner.confirm_claim(sent);
            planner.on_own_history(history(state, service), now);
            Some(planner)
        }
        Err(error) => {
            log::info!("event=claim_not_taken service={service} why=\"{error}\"");
            if !matches!(error, Error::Conflict(_)) {
                state.mark_store_failed();
            }
            sleep(RETRY_DELAY).await;
            None
        }
    }
}

/// Returns the other processes that may have planned a service before the store was restored.
fn former_planners(state: &State, view: &View, own: &Claim, era: u64) -> Vec<Claim> {
    let members = view.members.iter().map(|member| Claim {
        node: member.name.clone(),
        run: member.run,
    });
    possible_planners(members, own, state.oldest_era() < era)
}

/// Reads a table that is from before a restore of the store; returns its present revision, as
/// the known one may not exist any more.
async fn read_restored_table(
    state: &Arc<State>,
    view: &View,
    service: &str,
    era: u64,
) -> Result<Option<u64>, Error> {
    if state.oldest_era() >= era {
        learn_earlier_era(state, view, era).await;
    }
    let object = state.store().get(Kind::Table, service).await?;
    let revision = object.as_ref().map(|object| object.revision);
    if let Some(object) = object {
        merge_object(state, &object);
    }
    Ok(revision)
}

/// Gets what another VM knows from before `era`, if one that responds knows anything.
async fn learn_earlier_era(state: &Arc<State>, view: &View, era: u64) {
    let is_other = |member: &&Member| member.name != state.settings.name;
    let others = view.members.iter().filter(is_other);
    for member in others
        .filter(|member| state.is_usable(member))
        .take(MAX_PEERS_ASKED)
    {
        peer::poll(state, member, &mut Vec::new()).await;
        if state.oldest_era() < era {
            return;
        }
    }
}

/// Returns whether the process that made a claim has ended, which a later run of the same VM
/// shows.
pub fn has_ended(view: &View, claim: &Claim) -> bool {
    let mut members = view.members.iter();
    members.any(|member| member.name == claim.node && member.run > claim.run)
}

/// Earlier attempts at the same write, under the same revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Earlier {
    /// There were none, or none of them had an effect.
    None,
    /// One of them may have taken effect or may still do so.
    Unknown,
}

/// Writes a table. If the response is lost, repeats the write under the same revision to learn
/// whether the first one took effect.
///
/// After an attempt with an unknown outcome, only a success or a conflict settles the outcome.
/// Any other error concerns the latest attempt alone.
pub async fn write_table(
    state: &Arc<State>,
    table: &Table,
    revision: Option<u64>,
    earlier: Earlier,
) -> Result<u64, Error> {
    let value = Value::Table(Arc::new(table.clone()));
    let mut is_uncertain = earlier == Earlier::Unknown;
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
                is_uncertain = true;
                continue;
            }
            Err(Error::Conflict(Some(object))) => {
                merge_object(state, &object);
                if object.value.as_ref() == Some(&value) {
                    object.revision
                } else {
                    return Err(Error::Conflict(Some(object)));
                }
            }
            Err(error) if is_uncertain => {
                log::info!(
                    "event=write_unsure service={} why=\"{error}\"",
                    table.service
                );
                state.mark_store_failed();
                return Err(Error::Unknown);
            }
            Err(error) => return Err(error),
        };
        merge_object(
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

/// Stores an object in this VM's mirror if it is newer than the known version.
pub fn merge_object(state: &State, object: &Object) {
    state.merge(|mirror| mirror.merge(object.clone()));
}

/// Returns what this process tells of its planning of a service.
pub fn history(state: &State, service: &str) -> History {
    let now = clock::now();
    let job = dispatcher::job(state, service);
    let planned = job.inner.lock().unwrap().planned(now);
    History {
        planned,
        uptime_ms: now.since(state.started).as_millis() as u64,
    }
}
