//! A backend: runs requests in a few slots, holds keys, and may be given one kind of trouble.

use crate::{
    http::{response, Connection, Listener, Message},
    json,
    record::Record,
};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    time::{Duration, Instant},
};

const KEYS: usize = 65_536;
const SLOTS: usize = 2;
const QUEUE: usize = 8;
const IDLE: Duration = Duration::from_secs(10);

/// Trouble of a backend.
#[derive(Default)]
pub struct Trouble {
    /// Sends a second copy of some answers, late: before the next answer on the connection.
    pub late_copies: AtomicBool,
    /// Gives some answers a body without end.
    pub endless: AtomicBool,
    /// Sends informational responses without end in place of some answers.
    pub flood: AtomicBool,
    /// At most one answer in this many is spoilt.
    pub one_in: AtomicU64,
    /// Answers, and those that were spoilt, since the trouble began.
    pub answers: AtomicU64,
    pub spoilt: AtomicU64,
}

#[derive(Clone)]
pub struct Config {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub keyed: bool,
    pub work: Duration,
}

struct Keys {
    fences: Vec<u64>,
    until: Vec<Option<Instant>>,
}

struct State {
    config: Config,
    record: Record,
    trouble: Arc<Trouble>,
    places: Mutex<(usize, usize)>,
    free: Condvar,
    keys: Mutex<Keys>,
    running: Mutex<Vec<usize>>,
    ended: AtomicBool,
}

pub struct Server {
    pub config: Config,
    state: Arc<State>,
    listener: Listener,
}

impl Server {
    pub fn start(config: Config, record: Record, trouble: Arc<Trouble>) -> std::io::Result<Self> {
        let state = Arc::new(State {
            config: config.clone(),
            record,
            trouble,
            places: Mutex::new((0, 0)),
            free: Condvar::new(),
            keys: Mutex::new(Keys {
                fences: vec![0; KEYS],
                until: vec![None; KEYS],
            }),
            running: Mutex::new(Vec::new()),
            ended: AtomicBool::new(false),
        });
        let for_calls = Arc::clone(&state);
        let listener = Listener::bind(config.address, move |connection| {
            for_calls.serve(connection);
        })?;
        Ok(Self {
            config,
            state,
            listener,
        })
    }

    /// Ends at once, as a crashed process does.
    pub fn crash(mut self) {
        self.state.ended.store(true, Ordering::SeqCst);
        self.listener.close();
    }
}

impl State {
    fn serve(&self, mut connection: Connection) {
        let mut late_copy: Option<Vec<u8>> = None;
        loop {
            let Ok(request) = connection.read_request(Instant::now() + IDLE) else {
                return;
            };
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            if let Some(copy) = late_copy.take() {
                if !connection.write(&copy) {
                    return;
                }
            }
            let path = request.target().to_owned();
            let id = request.header("attempt-id").unwrap_or("").to_owned();
            let is_call = path.starts_with("/rhubarbpick/") || path == "/health";
            let is_flood = self.trouble.flood.load(Ordering::SeqCst);
            let is_endless = is_flood || self.trouble.endless.load(Ordering::SeqCst);
            if !is_call && is_endless && self.is_target(&request) {
                let answers = self.trouble.answers.fetch_add(1, Ordering::SeqCst) + 1;
                let spoilt = self.trouble.spoilt.load(Ordering::SeqCst);
                if (spoilt + 1) * self.trouble.one_in.load(Ordering::SeqCst) <= answers {
                    self.trouble.spoilt.fetch_add(1, Ordering::SeqCst);
                    self.record.line(&format!(
                        "server {} runs {id}; its answer has no end (answer {answers}, the {}. \
                         without end)",
                        self.config.id,
                        spoilt + 1
                    ));
                    if is_flood {
                        self.write_heads_without_end(&mut connection);
                    } else {
                        self.write_without_end(&mut connection, &id);
                    }
                    return;
                }
            }
            let answer = match path.as_str() {
                "/rhubarbpick/grant" => self.grant(&request),
                "/rhubarbpick/release" => self.release(&request),
                "/health" => response(200, &[("Instance-Id", &self.config.id)], b""),
                _ => self.run(&request),
            };
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            if !connection.write(&answer) {
                return;
            }
            if !is_call && self.trouble.late_copies.load(Ordering::SeqCst) {
                let answers = self.trouble.answers.fetch_add(1, Ordering::SeqCst) + 1;
                let copies = self.trouble.spoilt.load(Ordering::SeqCst);
                let is_misdirected = answer.starts_with(b"HTTP/1.1 421");
                if is_misdirected {
                    self.record
                        .line(&format!("server {} answers 421 to {id}", self.config.id));
                }
                let one_in = self.trouble.one_in.load(Ordering::SeqCst);
                if is_misdirected && (copies + 1) * one_in <= answers {
                    self.trouble.spoilt.fetch_add(1, Ordering::SeqCst);
                    let line = format!(
                        "server {} will send its answer 421 to {id} a second time, late \
                         (copy {} of {answers} answers)",
                        self.config.id,
                        copies + 1
                    );
                    self.record.line(&line);
                    late_copy = Some(answer);
                }
            }
        }
    }

    fn is_target(&self, request: &Message) -> bool {
        request
            .header("target-instance")
            .is_none_or(|target| target == self.config.id)
    }

    /// Answers with a proper head and a body that goes on until the caller closes.
    fn write_without_end(&self, connection: &mut Connection, id: &str) {
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: {}.{id}\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.config.id
        );
        let mut chunk = b"8000\r\n".to_vec();
        chunk.extend_from_slice(&[b'x'; 0x8000]);
        chunk.extend_from_slice(b"\r\n");
        if !connection.write(head.as_bytes()) {
            return;
        }
        // Bounded, so that the stand-in ends in any case.
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end && !self.ended.load(Ordering::SeqCst) {
            if !connection.write(&chunk) {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Answers with heads of informational responses until the caller closes.
    fn write_heads_without_end(&self, connection: &mut Connection) {
        // Each head is a whole informational response with 90 short fields.
        let names = b"abcdefghijklmnopqrstuvwxyz0123456789";
        let mut head = String::from("HTTP/1.1 103 Early Hints\r\n");
        for number in 0..90 {
            let name = names[number % names.len()] as char;
            head.push_str(&format!("{name}:\r\n"));
        }
        head.push_str("\r\n");
        // 100 kB each millisecond at most, 800 Mbit/s; the settings' `link_mbps` is 1,000.
        let heads = head.repeat(100_000 / head.len()).into_bytes();
        // Bounded, so that the stand-in ends in any case.
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end && !self.ended.load(Ordering::SeqCst) {
            if !connection.write(&heads) {
                return;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn not_run(&self, status: u16, id: &str) -> Vec<u8> {
        let headers = [
            ("Attempt-Id", id),
            ("Not-Executed", "1"),
            ("Instance-Id", &self.config.id),
        ];
        response(status, &headers, b"")
    }

    fn run(&self, request: &Message) -> Vec<u8> {
        let id = request.header("attempt-id").unwrap_or("");
        if !self.is_target(request) {
            return self.not_run(421, id);
        }
        if id.is_empty() {
            return self.not_run(400, id);
        }
        let millis = request.header("deadline-ms").and_then(|ms| ms.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(millis.unwrap_or(30_000));
        let key: usize = request
            .header("shard-key")
            .and_then(|key| key.parse().ok())
            .unwrap_or(0);
        let mut places = self.places.lock().unwrap();
        if places.0 >= SLOTS {
            if places.1 >= QUEUE {
                return self.not_run(503, id);
            }
            places.1 += 1;
            while places.0 >= SLOTS {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    places.1 -= 1;
                    return self.not_run(503, id);
                }
                places = self.free.wait_timeout(places, left).unwrap().0;
            }
            places.1 -= 1;
        }
        places.0 += 1;
        drop(places);
        let answer = self.run_in_slot(id, key, request.length, deadline);
        self.places.lock().unwrap().0 -= 1;
        self.free.notify_one();
        answer
    }

    fn run_in_slot(&self, id: &str, key: usize, length: usize, deadline: Instant) -> Vec<u8> {
        if self.config.keyed {
            let mut running = self.running.lock().unwrap();
            let until = self.keys.lock().unwrap().until[key];
            if until.is_none_or(|until| until <= Instant::now()) {
                drop(running);
                return self.not_run(421, id);
            }
            running.push(key);
        }
        self.record.run(&self.config.id, id, length);
        let left = deadline.saturating_duration_since(Instant::now());
        std::thread::sleep(self.config.work.min(left));
        if self.config.keyed {
            let mut running = self.running.lock().unwrap();
            let index = running.iter().position(|&other| other == key);
            running.swap_remove(index.expect("the key is in the list"));
        }
        let signature = format!("{}.{id}", self.config.id);
        let headers = [
            ("Attempt-Id", id),
            ("Server-Signature", &*signature),
            ("Keep-Alive", "timeout=10"),
        ];
        response(200, &headers, format!("answer to {id}\n").as_bytes())
    }

    fn range(&self, request: &Message) -> Option<(usize, usize, u64, u64)> {
        let call = json::parse(&request.body)?;
        let from = call.get("from").number()? as usize;
        let to = call.get("to").number()? as usize;
        let hold = call.get("hold_ms").number().unwrap_or(0);
        (from <= to && to < KEYS).then_some((from, to, call.get("fence").number()?, hold))
    }

    fn grant(&self, request: &Message) -> Vec<u8> {
        let arrived = Instant::now();
        if !self.is_target(request) {
            return self.not_run(421, "");
        }
        let Some((from, to, fence, hold)) = self.range(request) else {
            return response(400, &[], b"");
        };
        let mut keys = self.keys.lock().unwrap();
        if keys.fences[from..=to].iter().any(|&known| known > fence) {
            return response(409, &[], b"");
        }
        keys.fences[from..=to].fill(fence);
        keys.until[from..=to].fill(Some(arrived + Duration::from_millis(hold)));
        let line = format!(
            "server {} holds {from}..{to} under fence {fence} for {hold} ms",
            self.config.id
        );
        self.record.line(&line);
        response(200, &[], b"")
    }

    fn release(&self, request: &Message) -> Vec<u8> {
        if !self.is_target(request) {
            return self.not_run(421, "");
        }
        let Some((from, to, fence, _)) = self.range(request) else {
            return response(400, &[], b"");
        };
        {
            let mut keys = self.keys.lock().unwrap();
            for key in from..=to {
                keys.fences[key] = keys.fences[key].max(fence);
                keys.until[key] = None;
            }
        }
        loop {
            let running = self.running.lock().unwrap();
            if !running.iter().any(|&key| from <= key && key <= to) {
                break;
            }
            drop(running);
            std::thread::sleep(Duration::from_millis(1));
        }
        let handover = format!("{fence:016x}");
        response(200, &[("Handover", &handover)], b"")
    }
}
