//! The store goes down while it answers a write of a key table, for a process that plans the keys.

use crate::{
    endpoint::{answer, id_of, start},
    http::Connection,
    keys::{overlap, Holder},
    store::value_of,
    system::{config, route, Machine, Record, System},
    Verdict,
};
use std::{
    net::{IpAddr, Ipv4Addr},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const SERVICE: &str = "keyed-stock";

/// How long the store is down.
const STORE_DOWN: Duration = Duration::from_millis(4_500);

/// Time after the begin of the outage until the path to the endpoint is back.
const PATH_BACK: Duration = Duration::from_millis(500);

/// Time for which two endpoints may hold a key.
const ALLOWED: Duration = Duration::from_millis(500);

pub fn run(record: Arc<Record>, has_trouble: bool) -> Verdict {
    // The machine that has no path to endpoint i-0, if any.
    let blocked: Arc<Mutex<Option<Ipv4Addr>>> = Arc::default();
    let holders: Vec<Arc<Holder>> = (0..6)
        .map(|index| Arc::new(Holder::new(&format!("i-{index}"))))
        .collect();
    let mut endpoints = Vec::new();
    for holder in &holders {
        let (holder, blocked, record) = (
            Arc::clone(holder),
            Arc::clone(&blocked),
            Arc::clone(&record),
        );
        let id = holder.id.clone();
        let address = start(
            &id,
            Arc::new(move |connection, head| serve(&holder, connection, head, &blocked, &record)),
        );
        endpoints.push((id, SERVICE, address));
    }
    let routes = [route(
        "look",
        "idempotent",
        2_000,
        &format!("\"service\":\"{SERVICE}\""),
    )];
    let machine = Machine {
        memory_mb: 260,
        max_fds: 4_100,
        cpu_share: 0.2,
    };
    let Some(system) = System::start(2, &machine, &config(1, &[SERVICE], &routes), &endpoints)
    else {
        return Verdict::Unable("the routers did not become ready".into());
    };
    let is_over = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = system
        .routers
        .iter()
        .map(|router| {
            let (front, record) = (router.front, Arc::clone(&record));
            let (is_over, answered) = (Arc::clone(&is_over), Arc::clone(&answered));
            thread::spawn(move || call(front, &record, &is_over, &answered))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let table = || {
        system
            .store
            .get("rhubarbpick-tables", SERVICE)
            .unwrap_or_default()
    };
    let claimant = value_of(&table(), "node").unwrap_or_default();
    let Some(planner) = system
        .routers
        .iter()
        .find(|router| claimant.trim_matches('"') == router.name)
    else {
        return Verdict::Unable(format!("no router has the claim: {claimant}"));
    };
    record.log(&format!(
        "{} plans the keys; it loses its path to i-0",
        planner.name
    ));
    let before = table();
    if has_trouble {
        planner.gate.close_at_write();
    }
    *blocked.lock().unwrap() = Some(planner.ip);
    let deadline = Instant::now() + Duration::from_secs(8);
    while table() == before && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(5));
    }
    if table() == before {
        return Verdict::Unable("the planner did not give the keys of i-0 to others".into());
    }
    let down_until = Instant::now() + STORE_DOWN;
    if has_trouble {
        system.routers.iter().for_each(|router| router.gate.close());
        record.log(&format!(
            "store: executed a write of the table by {}, then it is down",
            planner.name
        ));
    } else {
        record.log(&format!(
            "store: executed and answered a write of the table by {}",
            planner.name
        ));
    }
    thread::sleep(PATH_BACK);
    *blocked.lock().unwrap() = None;
    record.log("the path to i-0 is back");
    let mut since: Option<Instant> = None;
    let mut longest = Duration::ZERO;
    let mut last_claimant = claimant;
    let end = Instant::now() + Duration::from_secs(11);
    while Instant::now() < end {
        if Instant::now() >= down_until && !planner.gate.is_open() {
            system.routers.iter().for_each(|router| router.gate.open());
            record.log("store: up again");
        }
        let now_claimant = value_of(&table(), "node").unwrap_or_default();
        if now_claimant != last_claimant {
            record.log(&format!("the claim is with {now_claimant}"));
            last_claimant = now_claimant;
        }
        match overlap(&holders) {
            Some(overlap) => {
                let [(first, first_fence), (second, second_fence)] = &overlap.holders;
                if since.is_none() {
                    record.log(&format!(
                        "{} keys have two holders, the first of them {}: {first} with fence {first_fence}, \
                         {second} with fence {second_fence}",
                        overlap.count, overlap.key
                    ));
                }
                longest = longest.max(since.get_or_insert(Instant::now()).elapsed());
            }
            None => {
                if let Some(since) = since.take() {
                    record.log(&format!(
                        "no key has two holders any more, after {} ms",
                        since.elapsed().as_millis()
                    ));
                }
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let answered = answered.load(Ordering::Relaxed);
    let text = format!(
        "two endpoints held the same keys for up to {} ms; {answered} requests answered",
        longest.as_millis()
    );
    match (answered, longest > ALLOWED) {
        (0, _) => Verdict::Unable(text),
        (_, true) => Verdict::Broken(text),
        (_, false) => Verdict::Held(text),
    }
}

fn serve(
    holder: &Holder,
    connection: &mut Connection,
    head: &crate::http::Head,
    blocked: &Mutex<Option<Ipv4Addr>>,
    record: &Record,
) -> bool {
    let Some(body) = connection.read_body(head) else {
        return false;
    };
    let arrived = Instant::now();
    let peer = connection.stream.peer_addr().map(|address| address.ip());
    let is_blocked = || {
        let blocked = *blocked.lock().unwrap();
        holder.id == "i-0"
            && blocked.is_some()
            && peer.as_ref().ok().copied() == blocked.map(IpAddr::V4)
    };
    if is_blocked() {
        // Nothing of it arrived. The connection stays silent until its sender closes it.
        while is_blocked() {
            thread::sleep(Duration::from_millis(5));
        }
        return false;
    }
    let body = String::from_utf8_lossy(&body);
    let number = |name: &str| {
        value_of(&body, name)
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let (from, to, fence) = (
        number("from") as usize,
        number("to") as usize,
        number("fence"),
    );
    let path = head.first_line.split(' ').nth(1).unwrap_or("");
    match path {
        "/rhubarbpick/grant" => {
            let is_granted = holder.grant(
                from,
                to,
                fence,
                Duration::from_millis(number("hold_ms")),
                arrived,
            );
            let status = if is_granted { "200 OK" } else { "409 Conflict" };
            record.log(&format!(
                "{}: grant {from}..{to} fence {fence}: {status}",
                holder.id
            ));
            connection.write(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes())
        }
        "/rhubarbpick/release" => {
            holder.release(from, to, fence);
            record.log(&format!(
                "{}: release {from}..{to} fence {fence}",
                holder.id
            ));
            connection.write(
                b"HTTP/1.1 200 OK\r\nHandover: 5c0e7a21d94b36f8\r\nContent-Length: 0\r\n\r\n",
            )
        }
        _ => {
            let key = head
                .field("shard-key")
                .and_then(|key| key.parse::<usize>().ok());
            if !key.is_some_and(|key| holder.holds(key)) {
                let id = id_of(head);
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                return connection.write(head.as_bytes());
            }
            record.log(&format!(
                "{}: runs {} with key {}",
                holder.id,
                id_of(head),
                key.unwrap_or(0)
            ));
            thread::sleep(Duration::from_millis(20));
            connection.write(&answer(head, b"whole"))
        }
    }
}

fn call(
    front: std::net::SocketAddr,
    record: &Record,
    is_over: &AtomicBool,
    answered: &AtomicUsize,
) {
    let mut number: usize = 0;
    let mut connection: Option<Connection> = None;
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(50));
        let opened = connection
            .take()
            .or_else(|| Connection::connect(front, Duration::from_secs(3)).ok());
        let Some(mut open) = opened else { continue };
        number += 1;
        let key = number * 7_919 % 65_536;
        let id = format!("{}n{number}", front.ip());
        let request = format!(
            "GET /look/{key} HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2000\r\n\
             Shard-Key: {key}\r\n\r\n"
        );
        open.write(request.as_bytes());
        if let crate::http::Received::Message((head, Some(_))) = open.read_response() {
            record.log(&format!("caller: {id} with key {key}: {}", head.first_line));
            if head.status() == Some(200) {
                answered.fetch_add(1, Ordering::Relaxed);
            }
            connection = Some(open);
        }
    }
}
