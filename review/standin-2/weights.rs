//! A manifest whose weights are given in parts of a million.

use crate::{
    endpoint::{answer, start},
    http::{Connection, Received},
    system::{config, route, Machine, Record, System},
    Verdict,
};
use std::{
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

const TIMEOUT_MS: u64 = 1_000;
const CALLERS: usize = 10;

pub fn run(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut endpoints = Vec::new();
    for index in 0..6 {
        let id = format!("i-{index}");
        let address = start(
            &id,
            Arc::new(move |connection, head| {
                if connection.read_body(head).is_none() {
                    return false;
                }
                thread::sleep(Duration::from_millis(20));
                connection.write(&answer(head, b"whole"))
            }),
        );
        endpoints.push((id, if index < 3 { "old" } else { "new" }, address));
    }
    let split = |parts: [u64; 2]| {
        let [old, new] = parts;
        let target = format!(
            "\"traffic_split\":[{{\"service\":\"old\",\"weight\":{old}}},{{\"service\":\"new\",\"weight\":{new}}}]"
        );
        config_of(&target)
    };
    let first = config(1, &["old", "new"], &[split([90, 10])]);
    let machine = Machine {
        memory_mb: 260,
        max_fds: 4_100,
        cpu_share: 0.2,
    };
    let Some(system) = System::start(2, &machine, &first, &endpoints) else {
        return Verdict::Unable("the routers did not become ready".into());
    };
    let counts = Arc::new([(); 4].map(|()| AtomicUsize::new(0)));
    let callers = (0..CALLERS).map(|caller| {
        let front = system.routers[caller % 2].front;
        let (record, counts) = (Arc::clone(&record), Arc::clone(&counts));
        thread::spawn(move || call(caller, front, &record, &counts))
    });
    let callers: Vec<_> = callers.collect();
    // The sums differ, as how long a process stops depends on its start time modulo the sum.
    for (version, new) in (2..).zip([50, 120, 210, 330, 500]) {
        thread::sleep(Duration::from_secs(4));
        let parts = match has_trouble {
            true => [1_000_000, new * 1_000],
            false => [1_000, new],
        };
        record.log(&format!("operator: r{version} with the weights {parts:?}"));
        system.store.put(
            "config",
            "main",
            &config(version, &["old", "new"], &[split(parts)]),
        );
        thread::sleep(Duration::from_secs(8));
        for (index, router) in system.routers.iter().enumerate() {
            if !router.is_ready() {
                record.log(&format!(
                    "router {index} does not answer the readiness check"
                ));
            }
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    let [sent, answered, due, hung] =
        [0, 1, 2, 3].map(|index| counts[index].load(Ordering::Relaxed));
    let text = format!(
        "{sent} requests, {answered} answered in time, {due} unanswered at the route's timeout_ms, of which \
         {hung} had no answer half a second later"
    );
    match (answered, hung * 2 > due && hung >= 8) {
        (0, _) => Verdict::Unable(text),
        (_, true) => Verdict::Broken(text),
        (_, false) => Verdict::Held(text),
    }
}

fn config_of(target: &str) -> String {
    route("look", "idempotent", TIMEOUT_MS, target)
}

fn call(caller: usize, front: std::net::SocketAddr, record: &Record, counts: &[AtomicUsize; 4]) {
    let began = Instant::now();
    let mut connection = None;
    let mut number = 0;
    while began.elapsed() < Duration::from_secs(58) {
        thread::sleep(Duration::from_millis(80));
        let opened = connection
            .take()
            .or_else(|| Connection::connect(front, Duration::from_secs(12)).ok());
        let Some(mut open): Option<Connection> = opened else {
            continue;
        };
        number += 1;
        let id = format!("c{caller}n{number}");
        let request = format!(
            "GET /look/a HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 10000\r\n\r\n"
        );
        let sent = Instant::now();
        counts[0].fetch_add(1, Ordering::Relaxed);
        open.write(request.as_bytes());
        let response = open.read_response();
        let took = sent.elapsed().as_millis() as u64;
        record.log(&format!("caller {caller} {id}: done after {took} ms"));
        if took >= TIMEOUT_MS {
            counts[2].fetch_add(1, Ordering::Relaxed);
        }
        if took >= TIMEOUT_MS + 500 {
            counts[3].fetch_add(1, Ordering::Relaxed);
        }
        if let Received::Message((head, Some(_))) = response {
            if took < TIMEOUT_MS {
                counts[1].fetch_add(1, Ordering::Relaxed);
            }
            if !head.closes() {
                connection = Some(open);
            }
        }
    }
}
