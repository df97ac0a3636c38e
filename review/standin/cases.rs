//! The cases. Each returns the violations of its rule.

use crate::{
    client::{self, Load},
    cluster::{self, Cluster},
    record::Record,
    server::Trouble,
};
use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

type Result = std::result::Result<Vec<String>, String>;

/// A route of a manifest as JSON.
fn route(name: &str, kind: &str, timeout_ms: u64, target: &str) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":400,\"priority\":1,{target},\
         \"max_attempts\":2}}"
    )
}

/// A manifest as JSON; services whose names begin with `keyed` are divided by key.
fn manifest(version: u64, services: &[&str], routes: &[String]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            let keyed = match name.starts_with("keyed") {
                true => ",\"sharded\":true,\"warm_s\":3.0,\"grants\":\"call\"",
                false => "",
            };
            format!(
                "{{\"name\":\"{name}\",\"health_check\":\"/health\",\"max_connections\":110,\
                 \"protocol\":\"h1\",\"tls\":false{keyed}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"virtual_hosts\":[{{\"host\":\"{}\",\"paths\":[{}]}}]}}",
        services.join(","),
        cluster::HOST,
        routes.join(",")
    )
}

fn settle() {
    thread::sleep(Duration::from_secs(1));
}

/// TWICE and REFUSED: a backend sends an answer 421 a second time, late.
pub fn late_copy(record: Record, has_trouble: bool) -> Result {
    let routes = [route(
        "bid",
        "non_idempotent",
        1_200,
        "\"service\":\"orders\"",
    )];
    let mut cluster = Cluster::start(record.clone(), 2, &manifest(7, &["orders"], &routes))?;
    let sound = Arc::new(Trouble::default());
    for _ in 0..4 {
        cluster.add_server("orders", false, Duration::from_millis(50), &sound)?;
    }
    cluster.wait_ready()?;
    let load = Load {
        fronts: cluster.fronts(),
        method: "POST",
        path: "/bid/1",
        deadline: Duration::from_millis(2_500),
        pause: Duration::from_millis(50),
        body: 400,
        chunked: false,
        keyed: false,
    };
    let stop = Arc::new(AtomicBool::new(false));
    let clients = client::spawn(&load, 16, &record, &stop);
    thread::sleep(Duration::from_secs(3));
    // Two of four backends, one after the other, crash and are back at once under a new id.
    // For 5 s after that the new process repeats at most 3 in 100 of its answers.
    for index in 0..2 {
        let trouble = Arc::new(Trouble::default());
        trouble.one_in.store(34, Ordering::SeqCst);
        trouble.late_copies.store(has_trouble, Ordering::SeqCst);
        cluster.restart_server(index, Duration::from_millis(300), &trouble)?;
        thread::sleep(Duration::from_secs(5));
        trouble.late_copies.store(false, Ordering::SeqCst);
        let (answers, copies) = (&trouble.answers, &trouble.spoilt);
        record.line(&format!(
            "{} second copies of {} answers",
            copies.load(Ordering::SeqCst),
            answers.load(Ordering::SeqCst)
        ));
        thread::sleep(Duration::from_secs(2));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    settle();
    let runs = record.runs();
    let mut violations = Vec::new();
    for sent in record.all_sent() {
        let servers: Vec<&str> = runs
            .iter()
            .filter(|run| run.id == sent.id)
            .map(|run| &*run.server)
            .collect();
        if servers.len() > 1 {
            violations.push(format!(
                "TWICE: request {} ran {} times, at {}",
                sent.id,
                servers.len(),
                servers.join(" and ")
            ));
        }
        if !servers.is_empty() && [408, 421, 429, 503].contains(&sent.status) {
            violations.push(format!(
                "REFUSED: request {} was answered {} and has run",
                sent.id, sent.status
            ));
        }
    }
    Ok(violations)
}

/// Requests that lasted longer than their route's `timeout_ms` and had no final answer half a
/// second later; eight or more, and over a quarter, break the rule CONFIG.
fn unanswered(record: &Record, timeout_ms: u64) -> Vec<String> {
    let sent = record.all_sent();
    let lasting = sent
        .iter()
        .filter(|sent| sent.ended_ms - sent.at_ms > timeout_ms);
    let lasting: Vec<_> = lasting.collect();
    let open = lasting
        .iter()
        .filter(|sent| sent.ended_ms - sent.at_ms > timeout_ms + 500)
        .count();
    record.line(&format!(
        "{} requests, {} lasted longer than {timeout_ms} ms, {open} of these had no final answer \
         half a second later",
        sent.len(),
        lasting.len()
    ));
    if open >= 8 && open * 4 > lasting.len() {
        return vec![format!(
            "CONFIG: {open} of {} requests that lasted longer than {timeout_ms} ms had no final \
             answer half a second later",
            lasting.len()
        )];
    }
    Vec::new()
}

/// CONFIG: a backend's answers have no end.
pub fn endless(record: Record, has_trouble: bool) -> Result {
    endless_answers(record, has_trouble, false)
}

/// CONFIG: a backend sends heads without end.
pub fn flood(record: Record, has_trouble: bool) -> Result {
    endless_answers(record, has_trouble, true)
}

fn endless_answers(record: Record, has_trouble: bool, is_flood: bool) -> Result {
    let routes = [route("view", "idempotent", 1_000, "\"service\":\"pool\"")];
    let mut cluster = Cluster::start(record.clone(), 2, &manifest(7, &["pool"], &routes))?;
    let sound = Arc::new(Trouble::default());
    let faulty = Arc::new(Trouble::default());
    // They spoil at most 3 in 100 of their answers, for 5 s.
    let faulty_count = if is_flood { 1 } else { 3 };
    faulty.one_in.store(34, Ordering::SeqCst);
    for index in 0..5 {
        let trouble = if index < faulty_count {
            &faulty
        } else {
            &sound
        };
        cluster.add_server("pool", false, Duration::from_millis(20), trouble)?;
    }
    cluster.wait_ready()?;
    let load = Load {
        fronts: cluster.fronts(),
        method: "GET",
        path: "/view/1",
        deadline: Duration::from_millis(4_000),
        pause: Duration::from_millis(100),
        body: 0,
        chunked: false,
        keyed: false,
    };
    let stop = Arc::new(AtomicBool::new(false));
    let clients = client::spawn(&load, 36, &record, &stop);
    thread::sleep(Duration::from_secs(4));
    let kind = if is_flood {
        &faulty.flood
    } else {
        &faulty.endless
    };
    kind.store(has_trouble, Ordering::SeqCst);
    record.line(&format!(
        "the trouble of {faulty_count} of five backends begins"
    ));
    let end = Instant::now() + Duration::from_secs(5);
    while Instant::now() < end {
        cluster.record_readiness();
        thread::sleep(Duration::from_millis(500));
    }
    kind.store(false, Ordering::SeqCst);
    record.line(&format!(
        "the trouble ends: {} of {} answers were spoilt",
        faulty.spoilt.load(Ordering::SeqCst),
        faulty.answers.load(Ordering::SeqCst)
    ));
    thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    Ok(unanswered(&record, 1_000))
}

/// LOST and Fault: an entry of another writer, with bytes in its name that can't be read.
pub fn entry(record: Record, has_trouble: bool) -> Result {
    let routes = [route("lot", "idempotent", 1_000, "\"service\":\"keyed\"")];
    let mut cluster = Cluster::start(record.clone(), 3, &manifest(7, &["keyed"], &routes))?;
    let sound = Arc::new(Trouble::default());
    for _ in 0..4 {
        cluster.add_server("keyed", true, Duration::from_millis(20), &sound)?;
    }
    cluster.wait_ready()?;
    let load = Load {
        fronts: cluster.fronts(),
        method: "GET",
        path: "/lot/1",
        deadline: Duration::from_millis(2_000),
        pause: Duration::from_millis(100),
        body: 0,
        chunked: false,
        keyed: true,
    };
    let stop = Arc::new(AtomicBool::new(false));
    let clients = client::spawn(&load, 9, &record, &stop);
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        add_foreign_entry(&cluster);
    }
    let end = Instant::now() + Duration::from_secs(25);
    while Instant::now() < end {
        cluster.restart_ended();
        thread::sleep(Duration::from_millis(50));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    for vm in 0..cluster.vms.len() {
        for panic in cluster.panics(vm) {
            record.line(&format!("process {}: {panic}", cluster.vms[vm].name));
        }
    }
    let runs = record.runs();
    let lost = record
        .all_sent()
        .into_iter()
        .filter(|sent| sent.is_kept && sent.is_closed && runs.iter().any(|run| run.id == sent.id));
    let lost = lost.count();
    let mut violations = Vec::new();
    if lost > 3 {
        violations.push(format!(
            "LOST: {lost} requests from kept connections were passed on to sound backends, and \
             the connections closed without an answer"
        ));
    }
    let bad: Vec<String> = cluster
        .vms
        .iter()
        .filter(|vm| vm.ends.len() >= 3)
        .map(|vm| format!("{} {} times", vm.name, vm.ends.len()))
        .collect();
    if bad.len() >= 2 {
        violations.push(format!(
            "Fault: processes ended by themselves: {}",
            bad.join(", ")
        ));
    }
    Ok(violations)
}

/// UNASKED: an entry of another writer; the bodies of long uploads have to stay whole.
pub fn upload(record: Record, has_trouble: bool) -> Result {
    const LENGTH: usize = 1_500_000;
    let target = "\"service\":\"intake\"";
    let routes = [route("cert", "upload", 1_200, target)];
    let mut cluster = Cluster::start(record.clone(), 2, &manifest(7, &["intake"], &routes))?;
    let sound = Arc::new(Trouble::default());
    for _ in 0..4 {
        cluster.add_server("intake", false, Duration::from_millis(50), &sound)?;
    }
    cluster.wait_ready()?;
    let load = Load {
        fronts: cluster.fronts(),
        method: "POST",
        path: "/cert/1",
        deadline: Duration::from_millis(2_500),
        pause: Duration::from_millis(100),
        body: LENGTH,
        chunked: true,
        keyed: false,
    };
    let stop = Arc::new(AtomicBool::new(false));
    let clients = client::spawn(&load, 8, &record, &stop);
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        add_foreign_entry(&cluster);
    }
    thread::sleep(Duration::from_secs(15));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    settle();
    let sent = record.all_sent();
    let changed = record.runs().into_iter().filter(|run| run.length != LENGTH);
    let violations = changed.map(|run| {
        let answer = sent.iter().find(|sent| sent.id == run.id);
        format!(
            "UNASKED: server {} ran request {} with a body of {} bytes instead of {LENGTH}; the \
             client got {}",
            run.server,
            run.id,
            run.length,
            answer.map_or(0, |sent| sent.status)
        )
    });
    Ok(violations.collect())
}

/// Copies the entry of a sound backend under its name with the byte 0x01 at the end.
fn add_foreign_entry(cluster: &Cluster) {
    let config = &cluster.servers[0].config;
    let name = format!("{}\u{1}", config.id);
    let line = format!("another writer makes the entry {name:?} in the store");
    cluster.record.line(&line);
    let entry = cluster::entry(config, "ready");
    cluster.store.put("servers", &name, entry);
}

/// CONFIG: a manifest splits routes by weights in parts per million.
pub fn weights(record: Record, has_trouble: bool) -> Result {
    let split = |first: u64, second: u64| {
        format!(
            "\"traffic_split\":[{{\"service\":\"pool\",\"weight\":{first}}},\
             {{\"service\":\"other\",\"weight\":{second}}}]"
        )
    };
    let routes = |first, second| {
        ["view", "list", "find", "read"]
            .map(|name| route(name, "idempotent", 1_000, &split(first, second)))
    };
    let services = ["pool", "other"];
    let text = manifest(7, &services, &routes(90, 10));
    let mut cluster = Cluster::start(record.clone(), 2, &text)?;
    let sound = Arc::new(Trouble::default());
    for service in ["pool", "pool", "pool", "other"] {
        cluster.add_server(service, false, Duration::from_millis(20), &sound)?;
    }
    cluster.wait_ready()?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for path in ["/view/1", "/list/1", "/find/1", "/read/1"] {
        let load = Load {
            fronts: cluster.fronts(),
            method: "GET",
            path,
            deadline: Duration::from_millis(4_000),
            pause: Duration::from_millis(100),
            body: 0,
            chunked: false,
            keyed: false,
        };
        clients.extend(client::spawn(&load, 4, &record, &stop));
    }
    thread::sleep(Duration::from_secs(4));
    // The same split, as 900,000 and 100,000 parts of a million.
    let (first, second) = if has_trouble {
        (900_000, 100_000)
    } else {
        (80, 20)
    };
    for version in 8..12 {
        let text = manifest(version, &services, &routes(first, second));
        let spec = crate::json::parse(text.as_bytes()).ok_or("the manifest is no JSON")?;
        cluster.store.put("config", "main", spec);
        record.line(&format!(
            "the manifest r{version} is confirmed: weights {first} and {second}"
        ));
        let end = Instant::now() + Duration::from_secs(6);
        while Instant::now() < end {
            cluster.record_readiness();
            thread::sleep(Duration::from_millis(500));
        }
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    Ok(unanswered(&record, 1_000))
}
