//! Watch of the platform's store and polling of its list of VMs.
//!
//! A single watch covers all objects. A table or an intent that it returns is
//! adopted only if it is newer than the one that this process holds, so outdated
//! data that a store serves after an outage has no effect.

use crate::{
    core::{
        intent::Record,
        table::Table, //
    },
    daemon::state::State,
    edge::{
        store::{
            Error,
            Item,
            List,
            Watch, //
        },
        vms,
    },
    kernel::{
        clock,
        runtime::{
            sleep,
            timeout, //
        },
        wire, //
    },
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Prefix of the names of tables in the store.
pub const TABLE_PREFIX: &str = "cells/";

/// Prefix of the names of intents in the store.
pub const INTENT_PREFIX: &str = "intents/";

/// How long the store holds a watch open if nothing changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay before the first retry of a failed watch; doubled with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay before a retry of a failed watch.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Time between two reads of the list of VMs.
const VM_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the store and adopts the tables and intents that change.
pub async fn run(state: Arc<State>) {
    let mut known = List {
        tag: "".into(),
        items: Vec::new(),
    };
    let mut delay = MIN_RETRY_DELAY;
    while !state.is_stopped() {
        match watch_once(&state, &mut known).await {
            Ok(()) => delay = MIN_RETRY_DELAY,
            Err(error) => {
                log::debug!(
                    "event=store_unavailable pause_ms={} why=\"{error}\"",
                    delay.as_millis()
                );
                sleep(delay).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

async fn watch_once(state: &State, known: &mut List) -> Result<(), Error> {
    let watch = Watch {
        prefix: "".into(),
        tag: Some(known.tag.clone()).filter(|tag| !tag.is_empty()),
        wait: WATCH_TIMEOUT,
    };
    let Some(list) = (state.store.list)(watch).await? else {
        return Ok(());
    };
    for item in &list.items {
        if !known.items.contains(item) {
            read(state, item).await?;
        }
    }
    *known = list;
    Ok(())
}

async fn read(state: &State, item: &Item) -> Result<(), Error> {
    let is_table = item.name.starts_with(TABLE_PREFIX);
    if !is_table && !item.name.starts_with(INTENT_PREFIX) {
        return Ok(());
    }
    let Some(object) = (state.store.get)(&item.name).await? else {
        return Ok(());
    };
    if is_table {
        match wire::decode::<Table>(&object.bytes) {
            Ok(table) => state.adopt_cell(table),
            Err(error) => log::error!("event=object_unreadable name={} why=\"{error}\"", item.name),
        }
    } else {
        match wire::decode::<Record>(&object.bytes) {
            Ok(record) => state.adopt_intent(record),
            Err(error) => log::error!("event=object_unreadable name={} why=\"{error}\"", item.name),
        }
    }
    Ok(())
}

/// Polls the list of VMs while this process is the planner of any cell.
///
/// The list is the evidence that a VM is gone, which only planners need.
pub async fn run_vms(state: Arc<State>) {
    while !state.is_stopped() {
        if !is_planner(&state) {
            let wakeup = state.planner_wakeup.listen();
            timeout(VM_POLL_INTERVAL, wakeup).await;
            continue;
        }
        if let Some(list) = (state.vms.read)().await {
            let now = clock::now();
            for vm in list.iter().filter(|vm| vm.state == vms::State::Gone) {
                state.view().mark_listed_gone(&vm.name, now);
            }
        }
        sleep(VM_POLL_INTERVAL).await;
    }
}

fn is_planner(state: &State) -> bool {
    let snapshot = state.tables.current();
    let mut tables = snapshot.cells.iter();
    tables.any(|table| table.planner == *state.me())
}
