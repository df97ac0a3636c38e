//! Following the platform's store and its list of VMs.
//!
//! One waiting call covers all objects. What it brings is taken in only if it
//! is newer than what is held, so old data that a store serves after an
//! outage changes nothing.

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

/// Start of the names of tables.
pub const CELLS: &str = "cells/";

/// Start of the names of intents.
pub const INTENTS: &str = "intents/";

/// Longest wait of one call.
const WAIT: Duration = Duration::from_secs(20);

/// First pause after the store did not answer.
const PAUSE_MIN: Duration = Duration::from_millis(200);

/// Longest pause after the store did not answer.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// How often the list of VMs is read.
const VMS_PERIOD: Duration = Duration::from_secs(1);

/// Follows the store.
pub async fn run(state: Arc<State>) {
    let mut known = List {
        tag: "".into(),
        items: Vec::new(),
    };
    let mut pause = PAUSE_MIN;
    while !state.is_stopped() {
        match follow(&state, &mut known).await {
            Ok(()) => pause = PAUSE_MIN,
            Err(error) => {
                log::debug!(
                    "event=store_unavailable pause_ms={} why=\"{error}\"",
                    pause.as_millis()
                );
                sleep(pause).await;
                pause = (pause * 2).min(PAUSE_MAX);
            }
        }
    }
}

async fn follow(state: &State, known: &mut List) -> Result<(), Error> {
    let watch = Watch {
        prefix: "".into(),
        tag: Some(known.tag.clone()).filter(|tag| !tag.is_empty()),
        wait: WAIT,
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
    let is_cell = item.name.starts_with(CELLS);
    if !is_cell && !item.name.starts_with(INTENTS) {
        return Ok(());
    }
    let Some(object) = (state.store.get)(&item.name).await? else {
        return Ok(());
    };
    if is_cell {
        match wire::decode::<Table>(&object.bytes) {
            Ok(cell) => state.adopt_cell(cell),
            Err(error) => log::error!("event=object_unreadable name={} why=\"{error}\"", item.name),
        }
    } else {
        match wire::decode::<Record>(&object.bytes) {
            Ok(confirmed) => state.adopt_intent(confirmed),
            Err(error) => log::error!("event=object_unreadable name={} why=\"{error}\"", item.name),
        }
    }
    Ok(())
}

/// Follows the list of VMs while this process plans a cell.
///
/// The list proves that a VM is gone, which only planners ask for.
pub async fn run_vms(state: Arc<State>) {
    while !state.is_stopped() {
        if !is_planner(&state) {
            let nudge = state.nudge.listen();
            timeout(VMS_PERIOD, nudge).await;
            continue;
        }
        if let Some(list) = (state.vms.read)().await {
            let now = clock::now();
            for vm in list.iter().filter(|vm| vm.state == vms::State::Gone) {
                state.view().mark_listed_gone(&vm.name, now);
            }
        }
        sleep(VMS_PERIOD).await;
    }
}

fn is_planner(state: &State) -> bool {
    let snapshot = state.tables.current();
    let mut cells = snapshot.cells.iter();
    cells.any(|cell| cell.planner == *state.me())
}
