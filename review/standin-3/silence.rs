//! The connections to the store go silent, and a backend drains.

use crate::{
    load::{self, Load},
    record::Record,
    store::Store,
};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const DRAIN_TIMEOUT_MS: u64 = 2_000;
const STABLE_WINDOW_MS: u64 = 3_000;

/// How long the backend serves beyond the drain timeout.
const LONGER_MS: u64 = 1_600;

/// Part of a late arrival that is left to clocks and threads.
const MARGIN_MS: u64 = 100;

fn pause(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> u8 {
    let Some(system) = load::deploy(300, record) else { return 2 };
    let store = &system.store;
    let load = Load::start(&system.fronts, Duration::from_millis(150), record);
    pause(4_000);
    // A read of servers waits for up to 5 s. PHASE has the connections go silent at another time.
    let phase = std::env::var("PHASE").ok().and_then(|text| text.parse().ok());
    match phase {
        Some(millis) => pause(millis),
        None => wait_for_new_watches(store),
    }
    let ages: Vec<u128> = store.watch_ages().iter().map(Duration::as_millis).collect();
    record.line(format_args!("watches waiting_ms={ages:?}"));
    let silent_at = record.now();
    if has_trouble {
        system.fronts.iter().for_each(|front| front.to_store.silence());
        record.line(format_args!("silent connections=store"));
    }
    pause(200);
    let leaving = &system.backends[0];
    leaving.leave();
    store.put("servers", &leaving.id, Some(&leaving.entry("draining")));
    let drained_at = record.now();
    record.line(format_args!("draining backend={}", leaving.id));
    pause(DRAIN_TIMEOUT_MS + LONGER_MS);
    leaving.exit();
    store.put("servers", &leaving.id, None);
    let gone_at = record.now();
    record.line(format_args!("gone backend={}", leaving.id));
    pause(1_000);
    let sent = load.finish();
    record.flush();
    let runs = load::runs_of(&leaving.id);
    let from = (drained_at + DRAIN_TIMEOUT_MS).max(silent_at + STABLE_WINDOW_MS) + MARGIN_MS;
    let is_late = |sent: &&load::Sent| sent.at > from && runs.contains_key(&sent.id);
    let late = sent.iter().filter(is_late).count();
    let failed = sent.iter().filter(is_late).filter(|sent| sent.status != 200).count();
    record.say(format_args!(
        "{} bids; {late} reached the leaving backend although they were sent, by way of machines \
         in touch, over {} ms after the store confirmed that it drains; {failed} of these were \
         lost when it ended, {} ms after the confirmation",
        sent.len(),
        from - drained_at,
        gone_at - drained_at,
    ));
    u8::from(late > 0)
}

/// Waits until each waiting read of servers began within a second.
fn wait_for_new_watches(store: &Store) {
    let limit = Instant::now() + Duration::from_secs(20);
    while Instant::now() < limit {
        let ages = store.watch_ages();
        let is_new = |age: &Duration| (300..1_300).contains(&age.as_millis());
        if !ages.is_empty() && ages.iter().all(is_new) {
            return;
        }
        pause(20);
    }
}
