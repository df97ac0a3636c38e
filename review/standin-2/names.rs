//! An entry of another writer at the end of a page of the list, and a restart of all processes.

use crate::{
    endpoint::{answer, id_of, start},
    http::{Connection, Received},
    system::{config, route, Machine, Record, System},
    Verdict,
};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

const ENDPOINTS: usize = 520;

/// Name of the foreign entry: the last one of the first page.
const FOREIGN: &str = "i-0498 copy";

/// How long the processes are down.
const DOWN: Duration = Duration::from_millis(900);

/// `recovery_s` of the pages.
const RECOVERY: Duration = Duration::from_secs(15);

const CALLERS: usize = 8;

/// Requests sent and served, before the fault and after the time for the recovery.
type Counts = [AtomicUsize; 4];

pub fn run(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let mut endpoints = Vec::new();
    for index in 0..ENDPOINTS {
        let (id, record) = (format!("i-{index:04}"), Arc::clone(&record));
        let runs = id.clone();
        let address = start(
            &id,
            Arc::new(move |connection, head| {
                if connection.read_body(head).is_none() {
                    return false;
                }
                record.log(&format!("{runs}: runs {}", id_of(head)));
                thread::sleep(Duration::from_millis(20));
                connection.write(&answer(head, b"whole"))
            }),
        );
        endpoints.push((id, "stock", address));
    }
    let routes = [route("look", "idempotent", 2_000, "\"service\":\"stock\"")];
    let machine = Machine {
        memory_mb: 512,
        max_fds: 8_192,
        cpu_share: 0.5,
    };
    let config = config(1, &["stock"], &routes);
    let Some(mut system) = System::start(2, &machine, &config, &endpoints) else {
        return Verdict::Unable("the routers did not become ready".into());
    };
    if has_trouble {
        system
            .store
            .put("servers", FOREIGN, "{\"service\":\"stock\"}");
        record.log(&format!("another writer makes the entry {FOREIGN:?}"));
    }
    let counts: Arc<Counts> = Arc::default();
    let is_after = Arc::new(AtomicBool::new(false));
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let front = system.routers[caller % 2].front;
            let (record, counts) = (Arc::clone(&record), Arc::clone(&counts));
            let (is_after, is_over) = (Arc::clone(&is_after), Arc::clone(&is_over));
            thread::spawn(move || call(caller, front, &record, &counts, &is_after, &is_over))
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    record.log("all processes are killed");
    system.routers.iter_mut().for_each(|router| router.kill());
    let before = [0, 1].map(|index| counts[index].load(Ordering::Relaxed));
    thread::sleep(DOWN);
    if !system.routers.iter_mut().all(|router| router.start_again()) {
        return Verdict::Unable("a process could not be started again".into());
    }
    record.log("all processes are started again");
    thread::sleep(RECOVERY);
    is_after.store(true, Ordering::Relaxed);
    let end = Instant::now() + Duration::from_secs(12);
    let mut ready = 0;
    while Instant::now() < end {
        ready = system
            .routers
            .iter()
            .filter(|router| router.is_ready())
            .count();
        thread::sleep(Duration::from_secs(1));
    }
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let after = [2, 3].map(|index| counts[index].load(Ordering::Relaxed));
    let text = format!(
        "{} of {} requests served before the fault, {} of {} from {} s after the restart on; {ready} \
         of 2 machines ready",
        before[1],
        before[0],
        after[1],
        after[0],
        RECOVERY.as_secs()
    );
    match (before[1] * 4 >= before[0].max(1), after[1] * 4 < after[0]) {
        (false, _) => Verdict::Unable(text),
        (true, true) => Verdict::Broken(text),
        (true, false) => Verdict::Held(text),
    }
}

fn call(
    caller: usize,
    front: SocketAddr,
    record: &Record,
    counts: &Counts,
    is_after: &AtomicBool,
    is_over: &AtomicBool,
) {
    let mut connection: Option<Connection> = None;
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(100));
        number += 1;
        let id = format!("c{caller}n{number}");
        let first = if is_after.load(Ordering::Relaxed) {
            2
        } else {
            0
        };
        counts[first].fetch_add(1, Ordering::Relaxed);
        let opened = connection
            .take()
            .or_else(|| Connection::connect(front, Duration::from_secs(3)).ok());
        let Some(mut open) = opened else { continue };
        let request = format!(
            "GET /look/a HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2000\r\n\r\n"
        );
        open.write(request.as_bytes());
        if let Received::Message((head, Some(_))) = open.read_response() {
            record.log(&format!("caller: {id}: {}", head.first_line));
            if head.status() == Some(200) {
                counts[first + 1].fetch_add(1, Ordering::Relaxed);
            }
            if !head.closes() {
                connection = Some(open);
            }
        }
    }
}
