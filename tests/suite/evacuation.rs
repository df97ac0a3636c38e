//! Decisions during the evacuation of a zone: which endpoints get requests, and where keys go.

use crate::support::fixture;
use rhubarbpick::core::{
    evacuation::Zones,
    ownership::{
        Action,
        Claim,
        Planner,
        Table, //
    },
    permit::{
        Dispatcher,
        Id,
        Location,
        Reason,
        Request, //
    },
    rebalance::Rates,
    registry::Endpoint,
    retry_limit::Limit,
    time::Instant,
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Time after which no request may reach an evacuated zone.
const BOUND: Duration = Duration::from_secs(5);

/// Longest time for which a request is in transit.
const TRANSIT_TIME: Duration = Duration::from_millis(500);

const START: Instant = Instant(1_000_000_000);

fn endpoint(id: &str, zone: &str) -> Endpoint {
    Endpoint {
        zone: zone.into(),
        ..fixture::endpoint(id)
    }
}

fn request(key: Option<u16>) -> Request {
    Request {
        class: 1,
        key,
        rank: 1,
        goal_us: 400_000,
        left_us: 2_000_000,
        is_repeat: false,
        is_return: false,
        subject: 0,
        patience_us: 2_000_000,
        bytes: 0,
        zone: "a".into(),
        avoid: Vec::new(),
    }
}

fn id(number: u64) -> Id {
    Id {
        requester: "10.1.0.1:7000".parse().unwrap(),
        number,
    }
}

/// Returns the dispatcher of a pool with two endpoints in each of the zones `a` and `b`.
fn dispatcher() -> Dispatcher {
    let limit = Limit {
        ratio_permille: 200,
        slack: 56,
        window: Duration::from_secs(10),
    };
    let endpoints = [("i-1", "a"), ("i-2", "a"), ("i-3", "b"), ("i-4", "b")];
    let endpoints = endpoints.map(|(id, zone)| endpoint(id, zone));
    let mut dispatcher = Dispatcher::new(limit, START);
    dispatcher.set_role(true, 1, 1, START);
    dispatcher.set_endpoints(endpoints.iter().map(|endpoint| (endpoint, START)), START);
    dispatcher
}

fn nowhere(_: u16) -> Location<'static> {
    Location::Unowned(Duration::from_secs(1))
}

#[test]
fn zone_closes_in_time_for_requests_in_transit() {
    // Guards against requests that reach a zone after the bound. A VM learns of an evacuation
    // at `delay` after it, and its copy was up to date until shortly before the evacuation.
    for delay_ms in [0, 400, 1_300, 2_500, 4_000] {
        let evacuated_at = START;
        let learned_at = evacuated_at.after(Duration::from_millis(delay_ms));
        let zones = Zones::default().update(["b"].into_iter(), BOUND, evacuated_at, learned_at);
        assert!(zones.contains("b") && !zones.contains("a"));
        let latest = evacuated_at.after(BOUND - TRANSIT_TIME).max(learned_at);
        assert!(zones.is_closed("b", latest), "learned after {delay_ms} ms");
        assert!(!zones.is_closed("a", latest));
    }
}

#[test]
fn zone_stays_open_while_keys_move() {
    let zones = Zones::default().update(["b"].into_iter(), BOUND, START, START);
    let moved_at = START.after(Duration::from_millis(1_500));
    assert!(!zones.is_closed("b", moved_at));
}

#[test]
fn zone_is_closed_at_once_on_a_vm_that_never_knew_it_open() {
    // Guards against a VM that starts during an evacuation and does not know how long ago that
    // began.
    let zones = Zones::default().update(["b"].into_iter(), BOUND, Instant::default(), START);
    assert!(zones.is_closed("b", START));
}

#[test]
fn repeated_update_does_not_reopen_a_zone() {
    // Guards against an evacuation that is removed and set again in one batch of changes, or
    // listed anew, and then counts as a new one.
    let zones = Zones::default().update(["b"].into_iter(), BOUND, START, START);
    let later = START.after(BOUND);
    let zones = zones.update(["a", "b"].into_iter(), BOUND, later, later);
    assert!(zones.is_closed("b", later));
    assert!(!zones.is_closed("a", later));
    assert_eq!(zones.len(), 2);
}

#[test]
fn evacuation_that_ended_and_began_again_counts_from_its_new_beginning() {
    let zones = Zones::default().update(["b"].into_iter(), BOUND, START, START);
    let later = START.after(BOUND);
    let ended = zones.update([].into_iter(), BOUND, later, later);
    assert!(ended.is_empty());
    assert_eq!(zones.missing_in(&ended).collect::<Vec<_>>(), ["b"]);
    let again = ended.update(["b"].into_iter(), BOUND, later, later);
    assert!(!again.is_closed("b", later));
    assert!(again.is_closed("b", later.after(BOUND - TRANSIT_TIME)));
}

#[test]
fn pool_endpoints_of_an_evacuated_zone_get_no_permits() {
    let mut dispatcher = dispatcher();
    dispatcher.set_evacuated(|zone| zone == "b");
    for number in 0..8 {
        let _ = dispatcher.submit(id(number), request(None), &nowhere, START);
    }
    let decisions = dispatcher.dispatch(&nowhere, START);
    assert_eq!(decisions.assignments.len(), 4, "two slots on each of two");
    for assignment in &decisions.assignments {
        assert!(["i-1", "i-2"].contains(&&*assignment.endpoint));
    }
    dispatcher.set_evacuated(|_| false);
    let decisions = dispatcher.dispatch(&nowhere, START);
    assert_eq!(decisions.assignments.len(), 4, "the evacuation has ended");
}

#[test]
fn requests_of_an_evacuated_service_are_refused_at_once() {
    // Guards against requests that wait in the queue until their goal has passed.
    let mut dispatcher = dispatcher();
    for number in 0..12 {
        dispatcher
            .submit(id(number), request(None), &nowhere, START)
            .unwrap();
    }
    assert_eq!(dispatcher.dispatch(&nowhere, START).assignments.len(), 8);
    dispatcher.set_evacuated(|_| true);
    let decisions = dispatcher.dispatch(&nowhere, START);
    assert!(decisions.assignments.is_empty());
    assert_eq!(decisions.refusals.len(), 4);
    for (_, refusal) in decisions.refusals {
        assert_eq!(refusal.reason, Reason::Evacuated);
    }
    let refusal = dispatcher.submit(id(12), request(None), &nowhere, START);
    assert_eq!(refusal.unwrap_err().reason, Reason::Evacuated);
}

#[test]
fn key_of_a_closed_owner_is_refused_until_it_has_moved() {
    let mut dispatcher = dispatcher();
    let closed = |_: u16| Location::Closed;
    let moved = |_: u16| Location::Held("i-1");
    let refusal = dispatcher.submit(id(1), request(Some(7)), &closed, START);
    assert_eq!(refusal.unwrap_err().reason, Reason::Evacuated);
    dispatcher
        .submit(id(2), request(Some(7)), &moved, START)
        .unwrap();
    assert!(dispatcher.dispatch(&closed, START).assignments.is_empty());
    assert_eq!(dispatcher.dispatch(&moved, START).assignments.len(), 1);
}

/// Returns the owners in the table that a planner writes next, if it writes one.
fn next_owners(planner: &mut Planner, endpoints: &[Endpoint], now: Instant) -> Vec<Box<str>> {
    let endpoints: Vec<Arc<Endpoint>> = endpoints.iter().cloned().map(Arc::new).collect();
    let rates = Rates::default();
    let actions = planner.tick(&endpoints, &rates, &|_| Some(20.0), now);
    let table = actions.iter().find_map(|action| match action {
        Action::Write(table) => Some(table),
        _ => None,
    });
    let Some(table) = table else {
        return Vec::new();
    };
    let owners = table.ranges.iter().filter_map(|range| range.owner.as_ref());
    let owners = owners.map(|owner| owner.endpoint.clone()).collect();
    planner.on_table_written(table.clone(), planner.revision() + 1, now, now);
    owners
}

#[test]
fn restarted_owner_that_hands_over_its_keys_gets_none_of_them() {
    // Guards against the keys of an evacuated endpoint that restarts: they were granted to its
    // new process before they moved.
    let claim = Claim {
        node: "vm".into(),
        run: 1,
    };
    let table = Table::claimed(None, "s", claim, 0, &[], &|_| false);
    let mut planner = Planner::new(table, 1, Duration::from_secs(10), START);
    let mut endpoints = [endpoint("i-1", "a"), endpoint("i-2", "b")];
    let mut now = START;
    assert!(next_owners(&mut planner, &endpoints, now).is_empty());
    now = now.after(Duration::from_secs(1));
    let owners = next_owners(&mut planner, &endpoints, now);
    assert!(owners.iter().any(|owner| **owner == *"i-2"), "{owners:?}");
    endpoints[1].is_leaving = true;
    endpoints[1].born = 2;
    now = now.after(Duration::from_millis(50));
    let owners = next_owners(&mut planner, &endpoints, now);
    assert!(!owners.is_empty());
    assert!(owners.iter().all(|owner| **owner == *"i-1"), "{owners:?}");
}
