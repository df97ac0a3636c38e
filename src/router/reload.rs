//! Reloading of settings while the process runs.
//!
//! The settings file is read again periodically and on SIGHUP. Only the address
//! of the store takes effect in a running process. Other changes are logged as
//! a reload, but need a restart.

use crate::{
    kernel::{
        plugin,
        runtime::{
            sleep,
            timeout, //
        },
    },
    ops::{
        router::Loader,
        signal, //
    },
    router::state::State,
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Interval at which the file is read without a signal.
const READ_INTERVAL: Duration = Duration::from_millis(3_000);

/// Like [`READ_INTERVAL`], if the signal handler could not be installed.
const FALLBACK_INTERVAL: Duration = Duration::from_millis(3_000);

/// Reloads the settings for as long as the process runs.
pub async fn run(state: Arc<State>, path: Box<str>, read: Loader) {
    let mut current = state.settings.clone();
    let mut hangups = match signal::hangups() {
        Ok(hangups) => Some(hangups),
        Err(error) => {
            log::error!("event=signal_lost why=\"{error}\"");
            None
        }
    };
    loop {
        let is_signalled = match &mut hangups {
            Some(hangups) => timeout(READ_INTERVAL, hangups.wait()).await.is_some(),
            None => {
                sleep(FALLBACK_INTERVAL).await;
                false
            }
        };
        if is_signalled {
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
