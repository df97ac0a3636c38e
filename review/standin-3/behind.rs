//! Requests that are sent behind one whose answer a faulty backend breaks off.

use crate::{
    backend::{Backend, Kind},
    http::Reader,
    record::Record,
    store::Store,
    system::{self, Folder},
};
use std::{
    collections::{HashMap, HashSet},
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Requests that are sent behind the first one of a connection.
const BEHIND: usize = 7;

/// One in this many long answers of the faulty backend is broken off.
const BROKEN: usize = 50;

const CLIENTS: usize = 6;
const DURATION: Duration = Duration::from_secs(40);

/// More connections than this that end without an answer break the rule.
const ALLOWED: usize = 3;

const MANIFEST: &str = "{\"version\":\"r1\",\"services\":[{\"name\":\"obracun\",\
    \"health_check\":\"/health\",\"max_connections\":510,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
    \"virtual_hosts\":[{\"host\":\"h.example\",\"paths\":[{\"name\":\"report\",\
    \"path_prefix\":\"/report/\",\"kind\":\"idempotent\",\"timeout_ms\":4000,\
    \"target_latency_ms\":2000,\"priority\":1,\"service\":\"obracun\",\"max_attempts\":2},\
    {\"name\":\"price\",\"path_prefix\":\"/price/\",\"kind\":\"idempotent\",\
    \"timeout_ms\":4000,\"target_latency_ms\":2000,\"priority\":1,\
    \"service\":\"obracun\",\"max_attempts\":2}]}]}";

pub fn run(record: &Arc<Record>, has_trouble: bool) -> u8 {
    let folder = Folder::create();
    let store = Store::start();
    let backends: Vec<Arc<Backend>> = (1..=12)
        .map(|number| {
            let id = format!("i-{number}");
            let kind = Kind { id: &id, service: "obracun", work_ms: 100 };
            let backend = Backend::start(&kind, record);
            store.put("servers", &id, Some(&backend.entry("ready")));
            backend
        })
        .collect();
    store.put("config", "main", Some(MANIFEST));
    let fronts = [system::start_front(&folder, "front-osijek-1", "osijek", &store)];
    if !system::wait_ready(&fronts, record) {
        return 2;
    }
    thread::sleep(Duration::from_millis(1_000));
    if has_trouble {
        // A third of the backends break off one in fifty of their long answers.
        backends[..4].iter().for_each(|backend| backend.break_off(BROKEN));
    }
    let lost = Arc::new(Mutex::new(Vec::new()));
    let until = Instant::now() + DURATION;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (lost, record, front) = (Arc::clone(&lost), Arc::clone(record), fronts[0].address);
            thread::spawn(move || {
                let mut batch = 0;
                while Instant::now() < until {
                    batch += 1;
                    let missing = send(front, &format!("c{client}b{batch}"), &record);
                    lost.lock().unwrap().extend(missing);
                }
                batch
            })
        })
        .collect();
    let batches: usize = clients.into_iter().filter_map(|client| client.join().ok()).sum();
    thread::sleep(Duration::from_millis(500));
    record.flush();
    let text = std::fs::read_to_string(crate::record_path()).unwrap_or_default();
    let (mut runs, mut broken) = (HashMap::new(), HashSet::new());
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            [_, "run", id, backend] => {
                runs.insert(id.trim_start_matches("id=").to_owned(), backend.to_owned());
            }
            [_, "broken", id, _] => {
                broken.insert(id.trim_start_matches("id=").to_owned());
            }
            _ => {}
        }
    }
    let lost = lost.lock().unwrap();
    let passed_on = lost.iter().filter(|id| runs.contains_key(*id) && !broken.contains(*id)).count();
    record.say(format_args!(
        "{batches} connections with {} requests each; {} answers were broken off; {passed_on} \
         other requests had been passed on to a backend that answered them, and their connection \
         was closed without an answer",
        BEHIND + 1,
        broken.len(),
    ));
    u8::from(passed_on > ALLOWED)
}

/// Sends requests one behind the other and returns those that got no answer.
fn send(front: SocketAddr, name: &str, record: &Record) -> Vec<String> {
    let ids: Vec<String> = (0..=BEHIND).map(|number| format!("{name}n{number}")).collect();
    let mut bytes = String::new();
    for (number, id) in ids.iter().enumerate() {
        let path = if number == 0 { "/report/1" } else { "/price/1" };
        bytes.push_str(&format!(
            "GET {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: 4000\r\n\r\n"
        ));
        record.line(format_args!("send id={id}"));
    }
    let Ok(mut stream) = TcpStream::connect(front) else { return Vec::new() };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(4_500)));
    if stream.write_all(bytes.as_bytes()).is_err() {
        return Vec::new();
    }
    let mut reader = Reader::new(stream);
    for (number, id) in ids.iter().enumerate() {
        let Some(answer) = reader.message() else {
            let missing = ids[number..].to_vec();
            record.line(format_args!("closed before={id}"));
            return missing;
        };
        record.line(format_args!("answer id={id} status={}", answer.status()));
    }
    Vec::new()
}
