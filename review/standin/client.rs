//! Clients that send a steady load.

use crate::{
    cluster::HOST,
    http::{Connection, Failure},
    record::{Record, Sent},
};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Load {
    pub fronts: Vec<SocketAddr>,
    pub method: &'static str,
    pub path: &'static str,
    pub deadline: Duration,
    /// Pause of one client between two requests.
    pub pause: Duration,
    pub body: usize,
    /// Whether the body is sent in chunks rather than with a length.
    pub chunked: bool,
    /// Whether requests carry a key.
    pub keyed: bool,
}

/// Size of a chunk of a body that is sent in chunks.
const CHUNK: usize = 16_384;

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// Runs `count` clients until `stop` is set.
pub fn spawn(
    load: &Load,
    count: usize,
    record: &Record,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    let clients = (0..count).map(|client| {
        let (load, record, stop) = (load.clone(), record.clone(), Arc::clone(stop));
        thread::spawn(move || {
            // The platform keeps a client's connections at one VM.
            let front = load.fronts[client % load.fronts.len()];
            let mut kept: Option<Connection> = None;
            thread::sleep(load.pause.mul_f64(client as f64 / count as f64));
            while !stop.load(Ordering::SeqCst) {
                kept = send(&load, front, kept, &record);
                thread::sleep(load.pause);
            }
        })
    });
    clients.collect()
}

fn send(
    load: &Load,
    front: SocketAddr,
    kept: Option<Connection>,
    record: &Record,
) -> Option<Connection> {
    let number = LAST_ID.fetch_add(1, Ordering::SeqCst) + 1;
    let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let at_ms = record.now_ms();
    let until = Instant::now() + load.deadline;
    let mut sent = Sent {
        id: id.clone(),
        at_ms,
        ended_ms: at_ms,
        status: 0,
        is_whole: false,
        is_kept: false,
        is_closed: false,
    };
    let kept = kept.filter(Connection::is_idle);
    let is_kept_connection = kept.is_some();
    let connection = kept.or_else(|| Connection::connect(front, Duration::from_secs(1)));
    let Some(mut connection) = connection else {
        record.line(&format!("no connection to {front} for request {id}"));
        return None;
    };
    let key = match load.keyed {
        true => format!("Shard-Key: {}\r\n", number.wrapping_mul(40_503) % 65_536),
        false => String::new(),
    };
    let body = match (load.method, load.chunked) {
        ("GET", _) => String::new(),
        (_, true) => "Transfer-Encoding: chunked\r\n".into(),
        (_, false) => format!("Content-Length: {}\r\n", load.body),
    };
    let mut request = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n{key}{body}\r\n",
        load.method,
        load.path,
        load.deadline.as_millis()
    )
    .into_bytes();
    if load.method != "GET" && load.chunked {
        let mut left = load.body;
        while left > 0 {
            let size = left.min(CHUNK);
            request.extend(format!("{size:x}\r\n").bytes());
            request.extend(std::iter::repeat_n(b'b', size));
            request.extend(b"\r\n");
            left -= size;
        }
        request.extend(b"0\r\n\r\n");
    } else if load.method != "GET" {
        request.extend(std::iter::repeat_n(b'b', load.body));
    }
    let answer = match connection.write(&request) {
        true => connection.read_response(until),
        false => Err(Failure::Closed),
    };
    sent.is_kept = is_kept_connection;
    sent.is_closed = matches!(answer, Err(Failure::Closed));
    let answer = answer.ok();
    sent.ended_ms = record.now_ms();
    let is_kept = answer.as_ref().is_some_and(|answer| {
        let closes = answer.header("connection").unwrap_or("");
        !closes.eq_ignore_ascii_case("close")
    });
    if let Some(answer) = answer {
        sent.status = answer.status();
        sent.is_whole = true;
    }
    record.sent(sent);
    is_kept.then_some(connection)
}
