//! Taking over changed settings while the process runs.
//!
//! The file may change with a signal or without. What can change in a running
//! process is the address of the store; a change of anything else is logged
//! and waits for a restart.

use crate::{
    kernel::{
        plugin,
        runtime::{
            sleep,
            timeout, //
        },
    },
    ops::{
        route::Read,
        signal, //
    },
    router::state::State,
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// How often the file is read when no signal comes.
const PERIOD: Duration = Duration::from_millis(3_000);

/// Pause after the signal could not be waited for.
const SIGNAL_PAUSE: Duration = Duration::from_millis(3_000);

/// Reads the settings again for as long as the process runs.
pub async fn run(state: Arc<State>, path: Box<str>, read: Read) {
    let mut known = state.settings.clone();
    let mut hangups = match signal::hangups() {
        Ok(hangups) => Some(hangups),
        Err(error) => {
            log::error!("event=signal_lost why=\"{error}\"");
            None
        }
    };
    loop {
        let is_signalled = match &mut hangups {
            Some(hangups) => timeout(PERIOD, hangups.wait()).await.is_some(),
            None => {
                sleep(SIGNAL_PAUSE).await;
                false
            }
        };
        if is_signalled {
            log::info!("event=reload_asked");
        }
        let settings = match read(&path) {
            Ok(settings) => settings,
            Err(error) => {
                // The file may be half written; the next reading will tell.
                log::warn!("event=reload_failed why=\"{error}\"");
                continue;
            }
        };
        if settings == known {
            continue;
        }
        if settings.store != known.store {
            let store = &settings.store;
            match plugin::open_objects(&store.dialect, &state.context, store.address) {
                Ok(handle) => *state.store.lock().unwrap() = Arc::new(handle),
                Err(error) => log::error!("event=reload_failed why=\"{error}\""),
            }
        }
        log::info!(
            "event=reloaded store={} was={}",
            settings.store.address,
            known.store.address
        );
        known = settings;
    }
}
