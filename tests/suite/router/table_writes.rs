//! Tests of table writes whose outcome the planner does not learn at once.

use super::{
    stand_in::{
        wait_until,
        Server, //
    },
    System,
    READY_TIMEOUT, //
};
use rhubarbpick::core::ownership::Table;
use std::{
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Time for which the store is down; longer than any delay after which a write is repeated.
const OUTAGE: Duration = Duration::from_millis(2_500);

/// Interval at which the holders of keys are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Keys that are looked at.
fn sampled_keys() -> impl Iterator<Item = u16> {
    (0..=u16::MAX).step_by(509)
}

/// Returns whether a table says that an endpoint may hold a key.
fn may_hold(table: &Table, key: u16, server: &Server) -> bool {
    let range = table.range(key).expect("a table covers all keys");
    let mut owners = range.owner.iter().chain(&range.previous);
    owners.any(|owner| owner.endpoint == server.endpoint.id)
}

#[test]
fn keys_of_a_written_table_with_an_unknown_outcome_are_not_granted_to_the_old_owner() {
    // Guards against two endpoints that held the same keys: a write without a response was taken
    // for failed when its repetition was refused, and its changes were dropped.
    let system = System::start("unknown-write", 1);
    let service = system.keyed[0].endpoint.service.clone();
    let old = Arc::clone(system.owner(7).unwrap());

    system.store.fail_after_reassigning(&old.endpoint.id);
    old.set_cut_off(true);
    assert!(
        wait_until(READY_TIMEOUT, || system.store.is_down()),
        "the planner must write a table without the endpoint that is cut off"
    );
    let table = system.store.table(&service).unwrap();
    let reassigned: Vec<u16> = sampled_keys()
        .filter(|&key| !may_hold(&table, key, &old))
        .collect();
    assert!(!reassigned.iter().any(|&key| old.holds(key)));

    old.set_cut_off(false);
    let end = Instant::now() + OUTAGE;
    while Instant::now() < end {
        let granted = reassigned.iter().find(|&&key| old.holds(key));
        assert_eq!(granted, None, "a key of the new owner went to the old one");
        thread::sleep(CHECK_INTERVAL);
    }

    system.store.set_down(false);
    let is_all_held = || {
        sampled_keys().all(|key| {
            let holders = system.keyed.iter().filter(|server| server.holds(key));
            holders.count() == 1
        })
    };
    assert!(wait_until(READY_TIMEOUT, is_all_held));
}
