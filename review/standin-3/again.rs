//! A backend that holds keys falls silent and starts again under its id.

use crate::{
    backend::{Backend, Kind},
    client::{self, Request},
    record::Record,
    store::Store,
    system::{self, Folder},
};
use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

/// How long the backend is down.
const DOWN_MS: u64 = 900;

/// Time from the start of a backend to its first entry in the store, less than a heartbeat.
const ENTRY_DELAY_MS: u64 = 300;

const MANIFEST: &str = "{\"version\":\"r1\",\"services\":[{\"name\":\"katalog\",\
    \"health_check\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false,\
    \"sharded\":true,\"warm_s\":3.0,\"grants\":\"call\"}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
    \"virtual_hosts\":[{\"host\":\"lots.example\",\"paths\":[{\"name\":\"lot-view\",\
    \"path_prefix\":\"/lot/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,\
    \"target_latency_ms\":300,\"priority\":2,\"service\":\"katalog\",\"max_attempts\":2}]}]}";

fn pause(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> u8 {
    let folder = Folder::create();
    let store = Store::start();
    let backends: Vec<Arc<Backend>> = (1..=3)
        .map(|number| {
            let id = format!("i-{number}");
            let kind = Kind { id: &id, service: "katalog", work_ms: 60 };
            let backend = Backend::start(&kind, record);
            store.put("servers", &id, Some(&backend.entry("ready")));
            backend
        })
        .collect();
    store.put("config", "main", Some(MANIFEST));
    let zones = ["osijek", "vinkovci", "pozega"].iter();
    let fronts: Vec<_> = zones
        .map(|zone| system::start_front(&folder, &format!("front-{zone}-1"), zone, &store))
        .collect();
    if !system::wait_ready(&fronts, record) {
        return 2;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = fronts
        .iter()
        .enumerate()
        .map(|(index, front)| {
            let (is_over, record, address) = (Arc::clone(&is_over), Arc::clone(record), front.address);
            thread::spawn(move || {
                let mut number: u32 = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("f{index}n{number}");
                    let request = Request {
                        front: address,
                        method: "GET",
                        path: "/lot/1",
                        host: "lots.example",
                        id: &id,
                        key: Some((number * 7_919) as u16),
                        deadline_ms: 2_000,
                        body: b"",
                    };
                    client::send(&request, &record);
                    pause(50);
                }
            })
        })
        .collect();
    pause(5_000);
    let first = &backends[0];
    let second = has_trouble.then(|| {
        first.darken();
        pause(DOWN_MS);
        first.exit();
        let second = first.restart();
        record.line(format_args!("started backend={} life=2", second.id));
        pause(ENTRY_DELAY_MS);
        store.put("servers", &second.id, Some(&second.entry("ready")));
        record.line(format_args!("entry backend={} life=2", second.id));
        second
    });
    pause(4_000);
    is_over.store(true, Ordering::SeqCst);
    for reader in readers {
        let _ = reader.join();
    }
    drop(second);
    record.flush();
    check(record)
}

/// A range of keys that was taken: backend, life, first and last key, fence.
type Take = (String, u64, u64, u64, u64);

fn check(record: &Record) -> u8 {
    let text = std::fs::read_to_string(crate::record_path()).unwrap_or_default();
    let takes: Vec<Take> = text.lines().filter_map(parse).collect();
    let mut stale = 0;
    for (index, (id, life, from, to, fence)) in takes.iter().enumerate() {
        let had = takes[..index].iter().find(|(other, other_life, first, last, had)| {
            (other, other_life) != (id, life) && first <= to && from <= last && had >= fence
        });
        if let Some((other, other_life, first, last, had)) = had {
            stale += 1;
            record.line(format_args!(
                "stale fence={fence} keys={from}-{to} backend={id} life={life}, had by {other} \
                 life={other_life} as {first}-{last} with fence={had}"
            ));
        }
    }
    record.say(format_args!(
        "{} ranges of keys were taken; {stale} of them with a fence number that was not above one \
         with which another backend, or an earlier life of the same, had them",
        takes.len()
    ));
    u8::from(stale > 0)
}

fn parse(line: &str) -> Option<Take> {
    let words: Vec<&str> = line.split_whitespace().collect();
    if words.get(1) != Some(&"take") {
        return None;
    }
    let value = |index: usize| words.get(index)?.split_once('=').map(|(_, value)| value);
    let number = |index| value(index)?.parse().ok();
    Some((value(2)?.to_owned(), number(3)?, number(4)?, number(5)?, number(6)?))
}
