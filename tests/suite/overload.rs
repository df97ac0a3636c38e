//! Dispatch, overload and retries.

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

/// Most arrivals at endpoints for each request, while half of them refuse.
const AMPLIFICATION_MAX: f64 = 1.1;

const SHORT: Index = Index(0);
const LONG: Index = Index(1);

fn server(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + index))
}

fn at(ms: u64) -> Instant {
    Instant(ms * 1000)
}

fn arrival(class: Index, rank: u8, deadline_ms: u64) -> Request {
    Request {
        class,
        rank,
        deadline: at(deadline_ms),
    }
}

/// A queue of one endpoint with two slots that has learned 4 ms and 100 ms.
fn learned() -> Queue {
    let mut queue = Queue::new(Discipline::Rank);
    queue.set_endpoints(&[server(0)], 2);
    for (class, took) in [(SHORT, 4), (LONG, 100)] {
        for _ in 0..10 {
            let key = queue.enqueue(arrival(class, 0, 60_000), at(0)).unwrap();
            queue.dispatch(at(0));
            queue.complete(key, true, at(took));
        }
    }
    queue
}

fn started(queue: &mut Queue, now: Instant) -> Vec<Id> {
    let turn = queue.dispatch(now);
    turn.assignments.iter().map(|start| start.request).collect()
}

#[test]
fn long_work_leaves_a_slot_to_short_work() {
    let mut queue = learned();
    let first = queue.enqueue(arrival(LONG, 2, 60_000), at(1000)).unwrap();
    let second = queue.enqueue(arrival(LONG, 2, 60_000), at(1000)).unwrap();
    assert_eq!(started(&mut queue, at(1000)), [first]);
    let short = queue.enqueue(arrival(SHORT, 0, 60_000), at(1001)).unwrap();
    assert_eq!(started(&mut queue, at(1001)), [short]);
    queue.complete(first, true, at(1100));
    assert_eq!(started(&mut queue, at(1100)), [second]);
}

#[test]
fn long_work_is_not_starved() {
    let mut queue = learned();
    let long = queue.enqueue(arrival(LONG, 2, 60_000), at(1000)).unwrap();
    let mut now = 1000;
    let mut running = Vec::new();
    loop {
        for _ in 0..4 {
            let _ = queue.enqueue(arrival(SHORT, 0, now + 1000), at(now));
        }
        let keys = started(&mut queue, at(now));
        if keys.contains(&long) {
            break;
        }
        running.extend(keys);
        now += 4;
        assert!(now < 2000, "long work waited for a second");
        for key in running.drain(..) {
            queue.complete(key, true, at(now));
        }
    }
}

#[test]
fn the_lowest_rank_goes_first_and_late_work_is_dropped() {
    let mut queue = learned();
    let busy: Vec<Id> = (0..2)
        .map(|_| queue.enqueue(arrival(SHORT, 0, 60_000), at(1000)).unwrap())
        .collect();
    assert_eq!(started(&mut queue, at(1000)), busy);
    let history = queue.enqueue(arrival(SHORT, 3, 60_000), at(1000)).unwrap();
    let late = queue.enqueue(arrival(SHORT, 1, 1010), at(1000)).unwrap();
    let bid = queue.enqueue(arrival(SHORT, 0, 60_000), at(1000)).unwrap();
    queue.complete(busy[0], true, at(1020));
    let turn = queue.dispatch(at(1020));
    assert_eq!(turn.expired, [late]);
    assert_eq!(turn.assignments[0].request, bid);
    queue.complete(busy[1], true, at(1021));
    assert_eq!(started(&mut queue, at(1021)), [history]);
}

#[test]
fn what_cannot_be_done_in_time_is_refused_on_arrival() {
    let mut queue = learned();
    for _ in 0..100 {
        queue.enqueue(arrival(SHORT, 0, 60_000), at(1000)).unwrap();
    }
    let hopeless = queue.enqueue(arrival(SHORT, 0, 1050), at(1000));
    assert_eq!(hopeless, Ok(Id(121)));
    let hopeless = queue.enqueue(arrival(SHORT, 1, 1050), at(1000));
    assert_eq!(hopeless, Err(Refusal::Overloaded));
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
        cresting: false,
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
fn retries_do_not_multiply_the_load_of_endpoints_that_refuse() {
    let _turn = support::turn();
    let context = Context::spawn(4);
    let mut deployment = deployment::slavonska_bala();
    deployment
        .services
        .retain(|service| service.name == "prices");
    deployment.services[0].shedding = 4;
    let deployments = [deployment];
    let spawned = deployment::spawn(&context, &deployments, 4, Dispatch::Rank);
    let system = async_io::block_on(spawned).unwrap();
    let load = Load {
        streams: vec![stream("price", "prices", 300.0, 3)],
        crest: None,
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
    assert!(amplification <= AMPLIFICATION_MAX, "{amplification}");
    let served = records
        .iter()
        .filter(|record| record.outcome == Outcome::Ran)
        .count();
    assert_eq!(served, records.len());
}
