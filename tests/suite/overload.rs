//! Request dispatch: priorities, refusal under overload, and retries.

use crate::support;
use emulator::{
    deployment::{
        self,
        System, //
    },
    endpoint::Endpoint,
    load::{
        self,
        Load,
        Outcome,
        Record,
        Stream, //
    },
};
use rhubarbpick::{
    core::{
        dispatch::{
            Discipline,
            Id,
            Index,
            Queue,
            Refusal,
            Request, //
        },
        time::Instant,
    },
    kernel::{
        runtime::Context,
        settings::Dispatch, //
    },
};
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// Maximum number of arrivals at endpoints per request while half of the
/// endpoints reject requests.
const MAX_AMPLIFICATION: f64 = 1.1;

const SHORT: Index = Index(0);
const LONG: Index = Index(1);

fn endpoint(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + index))
}

fn at(ms: u64) -> Instant {
    Instant(ms * 1000)
}

fn request(class: Index, rank: u8, deadline_ms: u64) -> Request {
    Request {
        class,
        rank,
        deadline: at(deadline_ms),
    }
}

/// Returns the queue of one endpoint with two slots and measured service times of
/// 4 ms and 100 ms.
fn measured_queue() -> Queue {
    let mut queue = Queue::new(Discipline::Rank);
    queue.set_endpoints(&[endpoint(0)], 2);
    for (class, took_ms) in [(SHORT, 4), (LONG, 100)] {
        for _ in 0..10 {
            let id = queue.enqueue(request(class, 0, 60_000), at(0)).unwrap();
            queue.dispatch(at(0));
            queue.complete(id, true, at(took_ms));
        }
    }
    queue
}

fn dispatch(queue: &mut Queue, now: Instant) -> Vec<Id> {
    let decisions = queue.dispatch(now);
    decisions
        .assignments
        .iter()
        .map(|assignment| assignment.request)
        .collect()
}

#[test]
fn long_requests_leave_a_slot_for_short_ones() {
    let mut queue = measured_queue();
    let first = queue.enqueue(request(LONG, 2, 60_000), at(1000)).unwrap();
    let second = queue.enqueue(request(LONG, 2, 60_000), at(1000)).unwrap();
    assert_eq!(dispatch(&mut queue, at(1000)), [first]);
    let short = queue.enqueue(request(SHORT, 0, 60_000), at(1001)).unwrap();
    assert_eq!(dispatch(&mut queue, at(1001)), [short]);
    queue.complete(first, true, at(1100));
    assert_eq!(dispatch(&mut queue, at(1100)), [second]);
}

#[test]
fn long_requests_are_not_starved() {
    let mut queue = measured_queue();
    let long = queue.enqueue(request(LONG, 2, 60_000), at(1000)).unwrap();
    let mut now = 1000;
    let mut running = Vec::new();
    loop {
        for _ in 0..4 {
            let _ = queue.enqueue(request(SHORT, 0, now + 1000), at(now));
        }
        let ids = dispatch(&mut queue, at(now));
        if ids.contains(&long) {
            break;
        }
        running.extend(ids);
        now += 4;
        assert!(now < 2000, "a long request waited for a second");
        for id in running.drain(..) {
            queue.complete(id, true, at(now));
        }
    }
}

#[test]
fn lowest_rank_runs_first_and_expired_requests_are_removed() {
    let mut queue = measured_queue();
    let running: Vec<Id> = (0..2)
        .map(|_| queue.enqueue(request(SHORT, 0, 60_000), at(1000)).unwrap())
        .collect();
    assert_eq!(dispatch(&mut queue, at(1000)), running);
    let low_priority = queue.enqueue(request(SHORT, 3, 60_000), at(1000)).unwrap();
    let expired = queue.enqueue(request(SHORT, 1, 1010), at(1000)).unwrap();
    let high_priority = queue.enqueue(request(SHORT, 0, 60_000), at(1000)).unwrap();
    queue.complete(running[0], true, at(1020));
    let decisions = queue.dispatch(at(1020));
    assert_eq!(decisions.expired, [expired]);
    assert_eq!(decisions.assignments[0].request, high_priority);
    queue.complete(running[1], true, at(1021));
    assert_eq!(dispatch(&mut queue, at(1021)), [low_priority]);
}

#[test]
fn request_that_would_miss_its_deadline_is_refused() {
    let mut queue = measured_queue();
    for _ in 0..100 {
        queue.enqueue(request(SHORT, 0, 60_000), at(1000)).unwrap();
    }
    let ahead_of_queue = queue.enqueue(request(SHORT, 0, 1050), at(1000));
    assert_eq!(ahead_of_queue, Ok(Id(121)));
    let behind_queue = queue.enqueue(request(SHORT, 1, 1050), at(1000));
    assert_eq!(behind_queue, Err(Refusal::Overloaded));
}

fn stream(name: &str, service: &str, rate: f64, work_ms: u64) -> Stream {
    Stream {
        name: name.into(),
        method: "GET".into(),
        prefix: format!("/{service}/").into(),
        suffix: "".into(),
        rate,
        keys: 1000,
        zipf: 0.0,
        body_bytes: 0,
        answer_bytes: 0,
        work_ms,
        straggler_share: 0.0,
        straggler_times: 1.0,
        protected: false,
        bursts: false,
    }
}

fn run(context: &Context, system: &System, load: &Load) -> Vec<Record> {
    async_io::block_on(async {
        let path = format!("{}ready", load.streams[0].prefix);
        load::wait_ready(context, &system.entries, &path, Duration::from_secs(10)).await;
        let running = load::spawn(context, load.clone(), system.entries.clone());
        running.finish(Duration::from_secs(10)).await
    })
}

#[test]
fn retries_do_not_multiply_load_of_rejecting_endpoints() {
    let _turn = support::turn();
    let context = Context::spawn(4);
    let mut deployment = deployment::slavonska_bala();
    deployment
        .services
        .retain(|service| service.name == "prices");
    deployment.services[0].shedding_endpoints = 4;
    let deployments = [deployment];
    let spawned = deployment::spawn(&context, &deployments, 4, Dispatch::Rank);
    let system = async_io::block_on(spawned).unwrap();
    let load = Load {
        streams: vec![stream("price", "prices", 300.0, 3)],
        burst: None,
        span_ms: 5000,
        seed: 33,
    };
    let records = run(&context, &system, &load);
    let arrivals: u64 = system.endpoints.iter().map(Endpoint::arrivals).sum();
    let amplification = arrivals as f64 / records.len() as f64;
    println!(
        "{} requests, {arrivals} arrivals at endpoints",
        records.len()
    );
    assert!(amplification <= MAX_AMPLIFICATION, "{amplification}");
    let served = records
        .iter()
        .filter(|record| record.outcome == Outcome::Ran)
        .count();
    assert_eq!(served, records.len());
}
