//! Reloading of settings while the process runs.
//!
//! The settings file is read again periodically and on SIGHUP. Only the address
//! of the store takes effect in a running process. Other changes are logged as
//! a reload, but need a restart.

use crate::{
    kernel::{plugin, runtime::timeout},
    ops::{
        router::Loader,
        signal::Hangups, //
    },
    router::state::State,
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Interval at which the file is read without a signal.
const READ_INTERVAL: Duration = Duration::from_millis(3_000);

/// Reloads the settings for as long as the process runs.
pub async fn run(state: Arc<State>, path: Box<str>, read: Loader, mut hangups: Hangups) {
    let mut current = state.settings.clone();
    loop {
        if timeout(READ_INTERVAL, hangups.wait()).await.is_some() {
            log::info!("event=reload_asked");
        }
        let settings = match read(&path) {
            Ok(settings) => settings,
            Err(error) => {
                // The file may be incomplete because it is just being written; it is read again
                // later.
                log::warn!("event=reload_failed why=\"{error}\"");
                continue;
            }
        };
        if settings == current {
            continue;
        }
        if settings.store != current.store {
            let store = &settings.store;
            match plugin::open_objects(&store.dialect, &state.context, store.address) {
                Ok(handle) => *state.store.lock().unwrap() = Arc::new(handle),
                Err(error) => log::error!("event=reload_failed why=\"{error}\""),
            }
        }
        log::info!(
            "event=reloaded store={} was={}",
            settings.store.address,
            current.store.address
        );
        current = settings;
    }
}
