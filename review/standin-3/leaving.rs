//! A backend leaves while the store is down, and says so in its answers.

use crate::{
    load::{self, Load},
    record::Record,
};
use std::{
    sync::Arc,
    thread,
    time::Duration, //
};

const DRAIN_TIMEOUT_MS: u64 = 2_000;

/// How long the store is down.
const DOWN_MS: u64 = 4_500;

/// How long the backend serves beyond the drain timeout.
const LONGER_MS: u64 = 1_600;

/// Part of a late arrival that is left to clocks and threads.
const MARGIN_MS: u64 = 100;

fn pause(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> u8 {
    let Some(system) = load::deploy(300, record) else { return 2 };
    let load = Load::start(&system.fronts, Duration::from_millis(150), record);
    pause(4_000);
    let set_down = |is_down| {
        system.fronts.iter().for_each(|front| front.to_store.set_cut(is_down));
        record.line(format_args!("store is_down={is_down}"));
    };
    if has_trouble {
        set_down(true);
    }
    pause(300);
    let leaving = &system.backends[0];
    leaving.leave();
    record.line(format_args!("leaving backend={}", leaving.id));
    if !has_trouble {
        system.store.put("servers", &leaving.id, Some(&leaving.entry("draining")));
    }
    let left_at = record.now();
    pause(DRAIN_TIMEOUT_MS + LONGER_MS);
    leaving.exit();
    let gone_at = record.now();
    record.line(format_args!("gone backend={}", leaving.id));
    pause(DOWN_MS - 300 - DRAIN_TIMEOUT_MS - LONGER_MS);
    if has_trouble {
        set_down(false);
    }
    system.store.put("servers", &leaving.id, None);
    pause(1_000);
    let sent = load.finish();
    record.flush();
    let runs = load::runs_of(&leaving.id);
    // For each machine, when it first passed on an answer that says so.
    let (mut late, mut failed) = (0, 0);
    for front in 0..system.fronts.len() {
        let told = sent
            .iter()
            .filter(|sent| sent.front == front && sent.told_at.is_some())
            .filter_map(|sent| sent.told_at)
            .min();
        let Some(told_at) = told else { continue };
        record.line(format_args!("told front={front} first_ms={told_at}"));
        let from = told_at + DRAIN_TIMEOUT_MS + MARGIN_MS;
        let is_late =
            |sent: &&load::Sent| sent.front == front && sent.at > from && runs.contains_key(&sent.id);
        late += sent.iter().filter(is_late).count();
        failed += sent.iter().filter(is_late).filter(|sent| sent.status != 200).count();
    }
    record.say(format_args!(
        "{} bids; {late} reached the leaving backend from a machine that had passed on its \
         Server-Leaving over {} ms before they were sent; {failed} of these were lost when it \
         ended, {} ms after it first said so",
        sent.len(),
        DRAIN_TIMEOUT_MS + MARGIN_MS,
        gone_at - left_at,
    ));
    u8::from(late > 0)
}
