//! The counting of memory that is held for callers.

use async_io::block_on;
use futures_lite::future;
use rhubarbpick::{
    core::memory_budget::{
        Limits,
        Purpose, //
    },
    kernel::{
        memory::{
            self,
            Budget, //
        },
        runtime::{
            sleep,
            timeout,
            Context, //
        },
    },
};
use std::{
    sync::Arc,
    time::Duration, //
};

const MEGABYTE: usize = 1024 * 1024;

/// Long enough for everything that these tests wait for.
const SPAN: Duration = Duration::from_secs(20);

fn budget(megabytes: usize) -> Arc<Budget> {
    Budget::new(Limits::new(0, Some((megabytes * MEGABYTE) as u64)))
}

#[test]
fn dropped_reservations_and_connections_leave_nothing_in_use() {
    // Guards against bytes that are lost to the budget, which would refuse everything in the end.
    let budget = budget(10);
    let open = budget.open().unwrap();
    let mut body = open.account.try_reserve(Purpose::Body, 1_000).unwrap();
    body.set_held_by_client(true);
    assert!(body.try_grow(Purpose::Body, 500));
    assert!(block_on(body.grow(Purpose::Body, 500, SPAN)));
    assert_eq!(body.bytes(), 2_000);
    assert!(!body.try_grow(Purpose::Body, 10 * MEGABYTE));
    body.set_held_by_client(false);
    drop(open);
    assert_eq!(budget.used(), 2_000);
    drop(body);
    assert_eq!(budget.used(), 0);
}

#[test]
fn wait_for_memory_ends_when_it_is_returned() {
    let budget = budget(10);
    let open = budget.open().unwrap();
    let first = open.account.try_reserve(Purpose::Body, 5 * MEGABYTE);
    let waiting = open.account.reserve(Purpose::Body, 5 * MEGABYTE, SPAN);
    let release = async {
        sleep(Duration::from_millis(50)).await;
        drop(first);
    };
    let (second, ()) = block_on(future::zip(waiting, release));
    assert!(second.is_some());
    assert!(budget.used() >= 5 * MEGABYTE && budget.used() < 6 * MEGABYTE);
}

#[test]
fn wait_that_is_over_or_given_up_takes_nothing() {
    // Guards against bytes that a cancelled request keeps.
    let budget = budget(10);
    let open = budget.open().unwrap();
    let _first = open.account.try_reserve(Purpose::Body, 5 * MEGABYTE);
    let used = budget.used();
    let span = Duration::from_millis(30);
    let refused = open.account.reserve(Purpose::Body, 5 * MEGABYTE, span);
    assert!(block_on(refused).is_none());
    let cancelled = open.account.reserve(Purpose::Body, 5 * MEGABYTE, SPAN);
    assert!(block_on(timeout(span, cancelled)).is_none());
    assert_eq!(budget.used(), used);
}

#[test]
fn stalled_client_is_closed_only_when_another_one_waits() {
    // Guards against clients that are closed although no other client waits for memory, and against
    // those that keep it while others wait.
    let context = Context::spawn(1);
    let budget = budget(10);
    context.detach(memory::supervise(Arc::clone(&budget)));
    let (stalled, running) = (budget.open().unwrap(), budget.open().unwrap());
    let mut held = stalled.account.try_reserve(Purpose::Body, 3 * MEGABYTE);
    held.as_mut().unwrap().set_held_by_client(true);
    // Its request is at an endpoint, so that it cannot do anything about it.
    let _sent = running.account.try_reserve(Purpose::Body, 2 * MEGABYTE);
    let is_closing = timeout(Duration::from_secs(1), stalled.account.closing());
    assert!(block_on(is_closing).is_none());
    let waiting = budget.open().unwrap();
    let reserve = waiting.account.reserve(Purpose::Body, 3 * MEGABYTE, SPAN);
    let close = async {
        stalled.account.closing().await;
        drop(held);
    };
    let (reserved, ()) = block_on(future::zip(reserve, close));
    assert!(reserved.is_some());
    let is_closing = timeout(Duration::from_millis(300), running.account.closing());
    assert!(block_on(is_closing).is_none());
}
