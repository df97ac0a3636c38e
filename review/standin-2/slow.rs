//! A planned stop while endpoints read uploads slowly.

use crate::{
    endpoint::{answer, id_of, start},
    http::{Connection, Received},
    system::{config, route, Machine, Record, System},
    Verdict,
};
use std::{
    collections::HashMap,
    io::Read,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const BODY_BYTES: usize = 360_000;

/// How long the endpoint does not read, after the first part of the body.
const PAUSE: Duration = Duration::from_millis(1_500);

const CALLERS: usize = 6;

pub fn run(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let finished: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let mut endpoints = Vec::new();
    for index in 0..4 {
        let (id, finished, record) = (
            format!("i-{index}"),
            Arc::clone(&finished),
            Arc::clone(&record),
        );
        let address = start(
            &id,
            Arc::new(move |connection, head| {
                let request = id_of(head);
                record.log(&format!("endpoint: begins to work on {request}"));
                let length = head.length().unwrap_or(0);
                let mut at = connection.buffer.len().min(length);
                connection.buffer.drain(..at);
                let mut bytes = vec![0; 32 * 1024];
                let mut has_paused = !has_trouble;
                while at < length {
                    match connection.stream.read(&mut bytes) {
                        Ok(count) if count > 0 => at += count,
                        _ => {
                            record.log(&format!(
                                "endpoint: the connection of {request} ended after {at} bytes"
                            ));
                            return false;
                        }
                    }
                    if at > 32 * 1024 && !has_paused {
                        has_paused = true;
                        thread::sleep(PAUSE);
                    }
                }
                finished.lock().unwrap().insert(request, Instant::now());
                connection.write(&answer(head, b"stored"))
            }),
        );
        endpoints.push((id, "photos", address));
    }
    let routes = [route("upload", "upload", 8_000, "\"service\":\"photos\"")];
    let machine = Machine {
        memory_mb: 260,
        max_fds: 4_100,
        cpu_share: 0.2,
    };
    let Some(system) = System::start(2, &machine, &config(1, &["photos"], &routes), &endpoints)
    else {
        return Verdict::Unable("the routers did not become ready".into());
    };
    let front = system.routers[0].front;
    // The window in which no unplanned disruption may be.
    thread::sleep(Duration::from_secs(4));
    let callers = (0..CALLERS).map(|caller| {
        let record = Arc::clone(&record);
        thread::spawn(move || {
            let id = format!("c{caller}");
            let Ok(mut connection) = Connection::connect(front, Duration::from_secs(9)) else {
                return "not connected".to_owned();
            };
            let head = format!(
                "POST /upload/a HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 8000\r\n\
                 Content-Length: {BODY_BYTES}\r\n\r\n"
            );
            let sent = Instant::now();
            connection.write(head.as_bytes());
            connection.write(&vec![b'p'; BODY_BYTES]);
            record.log(&format!("caller: sent {id}"));
            let result = match connection.read_response() {
                Received::Message((head, Some(_))) => head.first_line,
                other => format!("{other:?}"),
            };
            record.log(&format!("caller: {id} after {} ms: {result}", sent.elapsed().as_millis()));
            result
        })
    });
    let callers: Vec<_> = callers.collect();
    thread::sleep(Duration::from_millis(300));
    record.log("platform: SIGTERM to router 0");
    system.routers[0].signal("TERM");
    let results: Vec<String> = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .collect();
    let answered = results
        .iter()
        .filter(|result| result.contains(" 200 "))
        .count();
    let own = results
        .iter()
        .filter(|result| result.contains(" 502 ") || result.contains(" 504 "))
        .count();
    let text = format!(
        "{} uploads, {answered} answered by their endpoint, {own} broken off while the endpoint was at work",
        results.len()
    );
    match own {
        0 if answered == 0 => Verdict::Unable(text),
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}
