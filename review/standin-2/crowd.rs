//! A crowd of stalled uploads beside callers that pipeline and callers that send long uploads.

use crate::{
    endpoint::{answer, id_of, path_of, start},
    http::{Connection, Received},
    system::{config, route, Machine, Record, System},
    Verdict,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const SPAN: Duration = Duration::from_secs(25);

const CALLERS: usize = 6;
const UPLOADERS: usize = 6;

/// An ordinary upload: 400 kB a second for seven seconds.
const UPLOAD_BYTES: usize = 2_800_000;
const PIECE_BYTES: usize = 40_000;
const PIECE_INTERVAL: Duration = Duration::from_millis(100);

/// Clients that stop just short of the end of a body, the length of that, and when they come.
const CROWD: usize = 300;
const BODY_BYTES: usize = 1_000_000;
const CROWD_AFTER: Duration = Duration::from_secs(6);

/// What each of them sends in 100 ms at most: 22.5 MB a second in all, within the machine's link.
const CROWD_PIECE_BYTES: usize = 7_500;

/// Work of the first request of each caller, and of those that it sends behind it.
const LONG_WORK_MS: u64 = 900;
const SHORT_WORK_MS: u64 = 40;

pub fn run(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let arrived: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let mut endpoints = Vec::new();
    for index in 0..12 {
        let (id, arrived) = (format!("i-{index:02}"), Arc::clone(&arrived));
        let address = start(
            &id,
            Arc::new(move |connection, head| {
                arrived.lock().unwrap().insert(id_of(head), Instant::now());
                if connection.read_body(head).is_none() {
                    return false;
                }
                let work = path_of(head)
                    .rsplit('/')
                    .next()
                    .and_then(|text| text.parse().ok());
                thread::sleep(Duration::from_millis(work.unwrap_or(10)));
                connection.write(&answer(head, &[b'a'; 500]))
            }),
        );
        endpoints.push((id, "stock", address));
    }
    let routes = [
        route("look", "idempotent", 4_000, "\"service\":\"stock\""),
        route("upload", "upload", 10_000, "\"service\":\"stock\""),
    ];
    let machine = Machine {
        memory_mb: 512,
        max_fds: 8_192,
        cpu_share: 0.5,
    };
    let Some(mut system) = System::start(1, &machine, &config(1, &["stock"], &routes), &endpoints)
    else {
        return Verdict::Unable("the router did not become ready".into());
    };
    let front = system.routers[0].front;
    let is_over = Arc::new(AtomicBool::new(false));
    let crowd_size = if has_trouble { CROWD } else { 0 };
    let crowd = (0..crowd_size).map(|client| {
        let is_over = Arc::clone(&is_over);
        thread::spawn(move || {
            thread::sleep(CROWD_AFTER);
            stall(client, front, &is_over);
        })
    });
    let crowd: Vec<_> = crowd.collect();
    let counts = Arc::new([(); 3].map(|()| AtomicUsize::new(0)));
    let callers = (0..CALLERS).map(|caller| {
        let (arrived, record, counts) = (
            Arc::clone(&arrived),
            Arc::clone(&record),
            Arc::clone(&counts),
        );
        thread::spawn(move || call(caller, front, &arrived, &record, &counts))
    });
    let mut callers: Vec<_> = callers.collect();
    let lost_uploads = Arc::new(AtomicUsize::new(0));
    for uploader in 0..UPLOADERS {
        let (arrived, record, counts) = (
            Arc::clone(&arrived),
            Arc::clone(&record),
            Arc::clone(&counts),
        );
        let lost = Arc::clone(&lost_uploads);
        callers.push(thread::spawn(move || {
            upload(uploader, front, &arrived, &record, &counts, &lost);
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    is_over.store(true, Ordering::Relaxed);
    for client in crowd {
        let _ = client.join();
    }
    if let Some(status) = system.routers[0].has_exited() {
        return Verdict::Broken(format!("the router ended: {status}"));
    }
    let [sent, answered, lost] = [0, 1, 2].map(|index| counts[index].load(Ordering::Relaxed));
    let text = format!(
        "{sent} ordinary requests, {answered} answered, {lost} lost, {} of them uploads: passed on to an \
         endpoint, and their connection was closed without an answer",
        lost_uploads.load(Ordering::Relaxed)
    );
    // The rule allows three.
    match (answered, lost) {
        (0, 0) => Verdict::Unable(text),
        (_, 0..=3) => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}

/// Sends bodies of legal size but for their last byte, one after another.
fn stall(client: usize, front: SocketAddr, is_over: &AtomicBool) {
    let body = vec![b'b'; BODY_BYTES - 1];
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let Ok(mut connection) = Connection::connect(front, Duration::from_millis(500)) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let head = format!(
            "POST /upload/a HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: s{client}n{number}\r\n\
             Deadline-Ms: 10000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        );
        connection.write(head.as_bytes());
        let pieces = body.chunks(CROWD_PIECE_BYTES);
        for piece in pieces.take_while(|_| !is_over.load(Ordering::Relaxed)) {
            if !connection.write(piece) {
                break;
            }
            thread::sleep(PIECE_INTERVAL);
        }
        while !is_over.load(Ordering::Relaxed) {
            let mut bytes = [0; 512];
            match std::io::Read::read(&mut connection.stream, &mut bytes) {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                _ => break,
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn call(
    caller: usize,
    front: SocketAddr,
    arrived: &Mutex<HashMap<String, Instant>>,
    record: &Record,
    counts: &[AtomicUsize; 3],
) {
    let began = Instant::now();
    let mut connection = None;
    let mut number = 0;
    // The crowd comes first.
    thread::sleep(CROWD_AFTER + Duration::from_millis(2_000 + 100 * caller as u64));
    while began.elapsed() < SPAN {
        let opened = connection
            .take()
            .or_else(|| Connection::connect(front, Duration::from_secs(6)).ok());
        let Some(mut open): Option<Connection> = opened else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        // The first request makes it a kept connection.
        for batch in [
            &[SHORT_WORK_MS][..],
            &[LONG_WORK_MS, SHORT_WORK_MS, SHORT_WORK_MS],
        ] {
            let mut ids = Vec::new();
            let mut requests = String::new();
            for work in batch {
                number += 1;
                let id = format!("c{caller}n{number}");
                requests.push_str(&format!(
                    "GET /look/{work} HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 4000\r\n\r\n"
                ));
                ids.push(id);
            }
            counts[0].fetch_add(ids.len(), Ordering::Relaxed);
            let sent = Instant::now();
            open.write(requests.as_bytes());
            let mut is_closing = false;
            let mut unanswered = ids.iter();
            for id in unanswered.by_ref() {
                match open.read_response() {
                    Received::Message((head, Some(_))) => {
                        counts[1].fetch_add(1, Ordering::Relaxed);
                        record.log(&format!("caller {caller} {id}: {}", head.first_line));
                        is_closing = head.closes();
                        if is_closing {
                            break;
                        }
                    }
                    _ => {
                        is_closing = true;
                        let took = sent.elapsed().as_millis();
                        for id in std::iter::once(id).chain(unanswered.by_ref()) {
                            let at = arrived.lock().unwrap().get(id).copied();
                            let text = match at {
                                Some(at) if batch.len() > 1 => {
                                    counts[2].fetch_add(1, Ordering::Relaxed);
                                    let at = at.saturating_duration_since(sent).as_millis();
                                    format!("passed on after {at} ms")
                                }
                                Some(_) => "passed on, on a new connection".into(),
                                None => "not passed on".into(),
                            };
                            record.log(&format!(
                                "caller {caller} {id}: closed without an answer after {took} ms, {text}"
                            ));
                        }
                        break;
                    }
                }
            }
            if is_closing {
                break;
            }
            if batch.len() > 1 {
                connection = Some(open);
                break;
            }
        }
    }
}

/// Sends uploads at a steady pace, each on a connection on which a request was answered before.
fn upload(
    uploader: usize,
    front: SocketAddr,
    arrived: &Mutex<HashMap<String, Instant>>,
    record: &Record,
    counts: &[AtomicUsize; 3],
    lost: &AtomicUsize,
) {
    let began = Instant::now();
    thread::sleep(Duration::from_millis(200 * uploader as u64));
    let body = vec![b'p'; UPLOAD_BYTES];
    let mut number = 0;
    while began.elapsed() < SPAN {
        number += 1;
        let id = format!("u{uploader}n{number}");
        let Ok(mut connection) = Connection::connect(front, Duration::from_secs(11)) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        connection.write(
            format!(
                "GET /look/{SHORT_WORK_MS} HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: {id}a\r\n\
                 Deadline-Ms: 4000\r\n\r\n"
            )
            .as_bytes(),
        );
        if !matches!(connection.read_response(), Received::Message(_)) {
            continue;
        }
        counts[0].fetch_add(1, Ordering::Relaxed);
        let sent = Instant::now();
        connection.write(
            format!(
                "POST /upload/10 HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 10000\r\n\
                 Content-Length: {UPLOAD_BYTES}\r\n\r\n"
            )
            .as_bytes(),
        );
        for piece in body.chunks(PIECE_BYTES) {
            if !connection.write(piece) {
                break;
            }
            thread::sleep(PIECE_INTERVAL);
        }
        let took = || sent.elapsed().as_millis();
        match connection.read_response() {
            Received::Message((head, _)) => {
                counts[1].fetch_add(1, Ordering::Relaxed);
                record.log(&format!(
                    "uploader {id}: {} after {} ms",
                    head.first_line,
                    took()
                ));
            }
            _ if arrived.lock().unwrap().contains_key(&id) => {
                counts[2].fetch_add(1, Ordering::Relaxed);
                lost.fetch_add(1, Ordering::Relaxed);
                record.log(&format!(
                    "uploader {id}: closed without an answer after {} ms, passed on",
                    took()
                ));
            }
            _ => record.log(&format!(
                "uploader {id}: closed after {} ms, not passed on",
                took()
            )),
        }
        thread::sleep(Duration::from_millis(200));
    }
}
