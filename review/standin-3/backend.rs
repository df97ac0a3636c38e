//! Stand-in for a backend.

use crate::{
    http::{self, Message, Reader},
    json,
    record::Record,
};
use std::{
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// Length from which an answer counts as long, and length of a report.
const LONG: usize = 64 * 1024;
const REPORT: usize = 600 * 1024;

/// Keys held: first, last, fence, until when.
type Hold = (u64, u64, u64, Instant);

pub struct Backend {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    /// Number of its start; 1 at first.
    life: u32,
    work: Duration,
    slots: usize,
    queue: usize,
    record: Arc<Record>,
    running: AtomicUsize,
    is_leaving: AtomicBool,
    is_gone: AtomicBool,
    /// Whether it is silent: it reads and answers nothing, and its connections stay open.
    is_dark: AtomicBool,
    /// One in this many long answers is broken off; 0 if none is.
    breaks: AtomicUsize,
    long_answers: AtomicUsize,
    open: Mutex<Vec<TcpStream>>,
    holds: Mutex<Vec<Hold>>,
}

/// What a backend is like.
pub struct Kind<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub work_ms: u64,
}

impl Backend {
    pub fn start(kind: &Kind<'_>, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        Self::serve_on(listener, kind, 1, record)
    }

    /// Starts the backend again, under the same id and at the same address.
    pub fn restart(&self) -> Arc<Self> {
        let listener = TcpListener::bind(self.address).expect("the address is free again");
        let work_ms = self.work.as_millis() as u64;
        let kind = Kind { id: &self.id, service: &self.service, work_ms };
        Self::serve_on(listener, &kind, self.life + 1, &self.record)
    }

    fn serve_on(
        listener: TcpListener,
        kind: &Kind<'_>,
        life: u32,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let backend = Arc::new(Self {
            id: kind.id.to_owned(),
            service: kind.service.to_owned(),
            address: listener.local_addr().unwrap(),
            born: born.map_or(0, |since| since.as_millis() as u64),
            life,
            work: Duration::from_millis(kind.work_ms),
            slots: 2,
            queue: 8,
            record: Arc::clone(record),
            running: AtomicUsize::new(0),
            is_leaving: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            is_dark: AtomicBool::new(false),
            breaks: AtomicUsize::new(0),
            long_answers: AtomicUsize::new(0),
            open: Mutex::default(),
            holds: Mutex::default(),
        });
        let serving = Arc::clone(&backend);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    serving.open.lock().unwrap().push(copy);
                }
                let backend = Arc::clone(&serving);
                thread::spawn(move || backend.serve(stream));
            }
        });
        backend
    }

    /// Returns the backend's entry in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"osijek\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"warmup_left_ms\":0,\"sequence\":1,\"born\":{}}}",
            self.service, self.address, self.slots, self.born
        )
    }

    /// From now on all answers say that the backend leaves.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends the backend, with the work that it has.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections, which then closes its socket.
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// From now on one in `count` long answers is broken off.
    pub fn break_off(&self, count: usize) {
        self.breaks.store(count, Ordering::SeqCst);
    }

    /// Returns whether the next long answer is broken off.
    fn breaks_next(&self) -> bool {
        let breaks = self.breaks.load(Ordering::SeqCst);
        let number = self.long_answers.fetch_add(1, Ordering::SeqCst) + 1;
        breaks > 0 && number % breaks == 0
    }

    /// Crashes the backend without a sign: it reads and answers nothing more.
    pub fn darken(&self) {
        self.is_dark.store(true, Ordering::SeqCst);
        let (id, life) = (&self.id, self.life);
        self.record.line(format_args!("dark backend={id} life={life}"));
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = Reader::new(copy);
        while let Some(request) = reader.message() {
            if self.is_dark.load(Ordering::SeqCst) {
                // The connection stays open until the backend starts again.
                continue;
            }
            let (status, mut fields, body) = self.answer(&request);
            if self.is_dark.load(Ordering::SeqCst) {
                continue;
            }
            if self.is_gone.load(Ordering::SeqCst) {
                return;
            }
            if self.is_leaving.load(Ordering::SeqCst) {
                fields.push_str("Server-Leaving: 1\r\n");
            }
            let start = format!("HTTP/1.1 {status} X");
            if body.len() > LONG && self.breaks_next() {
                let id = request.field("attempt-id").unwrap_or("");
                self.record.line(format_args!("broken id={id} backend={}", self.id));
                let _ = http::write_part(&mut stream, &start, &fields, &body, body.len() * 3 / 4);
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            if http::write(&mut stream, &start, &fields, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String, Vec<u8>) {
        let plain = |status| (status, String::new(), Vec::new());
        if request.field("target-instance").is_some_and(|id| id != self.id) {
            return (421, format!("Instance-Id: {}\r\n", self.id), Vec::new());
        }
        let body = String::from_utf8_lossy(&request.body);
        match request.word(1) {
            "/rhubarbpick/grant" => return plain(self.grant(&body)),
            "/rhubarbpick/release" => return plain(self.release(&body)),
            _ => {}
        }
        let id = request.field("attempt-id").unwrap_or("").to_owned();
        let echo = format!("Attempt-Id: {id}\r\n");
        let rejected = |status| (status, format!("{echo}Not-Executed: 1\r\n"), Vec::new());
        if let Some(key) = request.field("shard-key").and_then(|key| key.parse().ok()) {
            if !self.has_key(key) {
                return rejected(421);
            }
        }
        let ahead = self.running.fetch_add(1, Ordering::SeqCst);
        if ahead >= self.slots + self.queue {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return rejected(503);
        }
        self.record.line(format_args!("run id={id} backend={}", self.id));
        thread::sleep(self.work * (1 + (ahead / self.slots) as u32));
        self.running.fetch_sub(1, Ordering::SeqCst);
        if self.is_gone.load(Ordering::SeqCst) {
            self.record.line(format_args!("lost id={id} backend={}", self.id));
            return plain(500);
        }
        self.record.line(format_args!("done id={id} backend={}", self.id));
        let fields = format!("{echo}Server-Signature: s-{id}\r\n");
        let mut body = format!("{} did {id}\n", self.id).into_bytes();
        if request.word(1).starts_with("/report/") {
            body.resize(REPORT, b'.');
        }
        (200, fields, body)
    }

    fn grant(&self, call: &str) -> u16 {
        let number = |name| json::number(call, name).unwrap_or(0);
        let (from, to, fence) = (number("from"), number("to"), number("fence"));
        let until = Instant::now() + Duration::from_millis(number("hold_ms"));
        let mut holds = self.holds.lock().unwrap();
        let overlaps = |hold: &&Hold| hold.0 <= to && from <= hold.1;
        if holds.iter().filter(overlaps).any(|hold| hold.2 > fence) {
            return 409;
        }
        let is_new = !holds.iter().any(|hold| (hold.0, hold.1, hold.2) == (from, to, fence));
        holds.retain(|hold| hold.0 < from || to < hold.1);
        holds.push((from, to, fence, until));
        if is_new {
            let (id, life) = (&self.id, self.life);
            let line = format_args!("take backend={id} life={life} from={from} to={to} fence={fence}");
            self.record.line(line);
        }
        200
    }

    fn release(&self, call: &str) -> u16 {
        let number = |name| json::number(call, name).unwrap_or(0);
        let (from, to, fence) = (number("from"), number("to"), number("fence"));
        let mut holds = self.holds.lock().unwrap();
        let now = Instant::now();
        let mut rest = vec![(from, to, fence, now)];
        for &(first, last, held, until) in holds.iter() {
            if last < from || to < first {
                rest.push((first, last, held, until));
                continue;
            }
            if first < from {
                rest.push((first, from - 1, held, until));
            }
            if to < last {
                rest.push((to + 1, last, held, until));
            }
            rest[0].2 = rest[0].2.max(held);
        }
        *holds = rest;
        200
    }

    fn has_key(&self, key: u64) -> bool {
        let now = Instant::now();
        let holds = self.holds.lock().unwrap();
        holds.iter().any(|hold| hold.0 <= key && key <= hold.1 && now < hold.3)
    }
}
