//! Decisions about memory that is held for callers.

use rhubarbpick::core::memory_budget::{
    select,
    socket_buffers,
    Holder,
    Limits,
    Purpose,
    MIN_STALL, //
};
use std::time::Duration;

const MEGABYTE: usize = 1024 * 1024;

fn holder(id: u64, held: usize, stalled_ms: u64, holding_ms: u64) -> Holder {
    Holder {
        id,
        held,
        stalled: Duration::from_millis(stalled_ms),
        holding: Duration::from_millis(holding_ms),
    }
}

#[test]
fn single_body_and_response_fit_into_the_smallest_process() {
    // Guards against limits that refuse a request within the configured limits at low load.
    let limits = Limits::new(16 * MEGABYTE as u64, None);
    assert!(limits.allows(Purpose::Body, MEGABYTE, MEGABYTE));
    assert!(limits.allows(Purpose::Response, MEGABYTE, MEGABYTE));
}

#[test]
fn bodies_leave_room_for_responses_and_both_for_small_requests() {
    // Guards against a crowd that sends bodies and keeps small requests from being served.
    let limits = Limits::new(64 * MEGABYTE as u64, None);
    let mut used = 0;
    while limits.allows(Purpose::Body, used, MEGABYTE) {
        used += MEGABYTE;
    }
    assert!(limits.allows(Purpose::Response, used, MEGABYTE));
    while limits.allows(Purpose::Response, used, MEGABYTE) {
        used += MEGABYTE;
    }
    assert!(limits.allows(Purpose::Small, used, 2 * MEGABYTE));
    while limits.allows(Purpose::Small, used, 4_096) {
        used += 4_096;
    }
    assert!(used <= limits.total);
    assert!(!limits.allows(Purpose::Small, used, usize::MAX));
}

#[test]
fn setting_replaces_the_derived_limit() {
    assert_eq!(Limits::new(1 << 30, Some(5_000)).total, 5_000);
    assert!(Limits::new(0, Some(u64::MAX)).allows(Purpose::Body, MEGABYTE, MEGABYTE));
}

#[test]
fn those_that_hold_the_most_without_progress_are_closed_first() {
    let crowd = [
        holder(1, MEGABYTE, 900, 900),
        holder(2, MEGABYTE, 5_000, 5_000),
        holder(3, 16_000, 5_000, 5_000),
        holder(4, MEGABYTE, 10, 300),
    ];
    assert_eq!(select(&crowd, 1), [2]);
    assert_eq!(select(&crowd, MEGABYTE + 1), [2, 1]);
    // One that makes progress is not closed, however much is wanted.
    assert_eq!(select(&crowd, usize::MAX), [2, 1, 3]);
}

#[test]
fn clients_that_hold_nothing_are_not_closed() {
    // Guards against connections that are closed although that frees nothing, such as idle ones
    // and those whose request is at an endpoint.
    assert!(select(&[holder(1, 0, 60_000, 60_000)], usize::MAX).is_empty());
    assert!(select(&[holder(1, MEGABYTE, 60_000, 60_000)], 0).is_empty());
}

#[test]
fn client_that_trickles_cannot_keep_its_share_for_ever() {
    // Guards against a client that makes just enough progress not to count as stalled.
    let stalled = MIN_STALL - Duration::from_millis(1);
    let trickling = |holding_s| Holder {
        id: 1,
        held: MEGABYTE,
        stalled,
        holding: Duration::from_secs(holding_s),
    };
    assert!(select(&[trickling(1)], 1).is_empty());
    assert_eq!(select(&[trickling(10)], 1), [1]);
}

#[test]
fn crowd_of_stalled_clients_makes_room_within_a_few_steps() {
    // The load that the module is designed for: 600 clients that each stop short of the end of a
    // body of 1 MB, while callers with bodies of 4 kB and of 1 MB come and go.
    const STEP_MS: u64 = 100;
    let limits = Limits::new(120 * MEGABYTE as u64, None);
    let mut stalled: Vec<(u64, u64)> = Vec::new();
    let mut next = 0;
    let mut longest_wait = 0;
    let mut wait = 0;
    for step in 0..200 {
        let now = step * STEP_MS;
        // Waiting members of the crowd take whatever is free.
        while next < 600 && limits.allows(Purpose::Body, stalled.len() * MEGABYTE, MEGABYTE) {
            stalled.push((next, now));
            next += 1;
        }
        let used = stalled.len() * MEGABYTE;
        assert!(limits.allows(Purpose::Small, used, 8_192));
        if limits.allows(Purpose::Body, used, MEGABYTE) {
            wait = 0;
        } else {
            wait += STEP_MS;
        }
        longest_wait = longest_wait.max(wait);
        let holders: Vec<Holder> = stalled
            .iter()
            .map(|&(id, since)| holder(id, MEGABYTE, now - since, now - since))
            .collect();
        let closed = select(&holders, (600 - next as usize).max(1) * MEGABYTE);
        stalled.retain(|(id, _)| !closed.contains(id));
    }
    assert_eq!(next, 600, "the crowd is worked off");
    assert!(longest_wait <= 600 * 1_000 / 32, "{longest_wait} ms");
}

#[test]
fn socket_buffers_of_all_callers_are_bounded() {
    // A quarter of the memory, up to a number of callers that leaves each the minimum.
    let (receive, send) = socket_buffers(260 << 20, 2_000);
    assert!((receive + send) as u64 * 2_000 <= 260 << 18);
    // Few callers get no more than they need, many no less.
    assert_eq!(socket_buffers(1 << 40, 10), (64 * 1024, 64 * 1024));
    assert_eq!(socket_buffers(1 << 20, 10_000), (8 * 1024, 16 * 1024));
}
