//! Stand-in for the platform's store, as PROTOCOL.md describes it.

use crate::{
    http::{self, Message, Reader},
    json,
};
use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

const ROOT: &str = "/rhubarbpick/objects/";

/// Most objects of one page of a list.
const PAGE: usize = 500;

struct Change {
    kind: String,
    name: String,
    rev: u64,
    created: u64,
    /// `None` if the object was removed.
    spec: Option<String>,
    /// The content before a removal.
    last: String,
}

#[derive(Default)]
struct Inner {
    rev: u64,
    changes: Vec<Change>,
    /// Reads of servers that wait for a change: when they began, by the port of their caller.
    watches: Vec<(u16, Instant)>,
}

pub struct Store {
    pub address: SocketAddr,
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Inner {
    fn latest(&self, kind: &str, name: &str) -> Option<&Change> {
        let mut changes = self.changes.iter().rev();
        changes.find(|change| change.kind == kind && change.name == name)
    }

    fn current(&self, kind: &str, name: &str) -> Option<&Change> {
        self.latest(kind, name).filter(|change| change.spec.is_some())
    }

    fn put(&mut self, kind: &str, name: &str, spec: Option<&str>) {
        let current = self.current(kind, name);
        if spec.is_some() && current.and_then(|change| change.spec.as_deref()) == spec {
            return;
        }
        let created = current.map_or(self.rev + 1, |change| change.created);
        let last = current.and_then(|change| change.spec.clone()).unwrap_or_default();
        self.rev += 1;
        self.changes.push(Change {
            kind: kind.to_owned(),
            name: name.to_owned(),
            rev: self.rev,
            created,
            spec: spec.map(str::to_owned),
            last,
        });
    }

    fn write(&mut self, request: &Message, kind: &str, name: &str) -> (u16, String) {
        let method = request.word(0);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let metadata = json::member(&body, "metadata").unwrap_or("{}");
        let name = match method {
            "POST" => json::text(metadata, "name").unwrap_or(""),
            _ => name,
        };
        let expected = match method {
            "DELETE" => query(request, "rev"),
            _ => json::number(metadata, "rev"),
        };
        match (self.current(kind, name), method) {
            (Some(current), "POST") => return (409, object(current)),
            (None, "PUT" | "DELETE") => return (404, "{}".to_owned()),
            (Some(current), _) if expected.is_some_and(|rev| rev != current.rev) => {
                return (409, object(current));
            }
            _ => {}
        }
        let spec = json::member(&body, "spec").unwrap_or("null");
        let name = name.to_owned();
        self.put(kind, &name, (method != "DELETE").then_some(spec));
        (200, self.latest(kind, &name).map_or_else(String::new, object))
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let mut names: Vec<&str> = self
            .changes
            .iter()
            .filter(|change| change.kind == kind && change.name.as_str() > after)
            .map(|change| change.name.as_str())
            .collect();
        names.sort_unstable();
        names.dedup();
        let found: Vec<&Change> =
            names.into_iter().filter_map(|name| self.current(kind, name)).collect();
        let items: Vec<String> = found.iter().take(PAGE).map(|change| object(change)).collect();
        format!(
            "{{\"items\":[{}],\"has_more\":{},\"as_of\":{}}}",
            items.join(","),
            found.len() > PAGE,
            self.rev
        )
    }
}

/// Encodes an object. A removed one has the content and the revision from before.
fn object(change: &Change) -> String {
    let (rev, spec) = match &change.spec {
        Some(spec) => (change.rev, spec),
        None => (change.rev - 1, &change.last),
    };
    format!(
        "{{\"metadata\":{{\"name\":\"{}\",\"rev\":{rev},\"created\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{spec},\"status\":null}}",
        change.name, change.created
    )
}

fn query(request: &Message, name: &str) -> Option<u64> {
    text_query(request, name)?.parse().ok()
}

fn text_query<'a>(request: &'a Message, name: &str) -> Option<&'a str> {
    let (_, query) = request.word(1).split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(other, _)| *other == name).map(|(_, value)| value)
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            inner: Mutex::default(),
            changed: Condvar::new(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object, or removes it if there is no content; returns once it is confirmed.
    pub fn put(&self, kind: &str, name: &str, spec: Option<&str>) {
        self.inner.lock().unwrap().put(kind, name, spec);
        self.changed.notify_all();
    }

    /// Returns the names and the contents of the objects of a kind.
    pub fn objects(&self, kind: &str) -> Vec<(String, String)> {
        let inner = self.inner.lock().unwrap();
        let mut found: Vec<(String, String)> = Vec::new();
        for change in inner.changes.iter().filter(|change| change.kind == kind) {
            found.retain(|(name, _)| *name != change.name);
            if let Some(spec) = &change.spec {
                found.push((change.name.clone(), spec.clone()));
            }
        }
        found
    }

    /// Returns how long the waiting reads of servers have waited.
    pub fn watch_ages(&self) -> Vec<Duration> {
        let inner = self.inner.lock().unwrap();
        inner.watches.iter().map(|(_, began)| began.elapsed()).collect()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let port = stream.peer_addr().map_or(0, |address| address.port());
        let mut reader = Reader::new(copy);
        while let Some(request) = reader.message() {
            let (status, body) = self.answer(&request, port);
            let start = format!("HTTP/1.1 {status} X");
            let fields = "Content-Type: application/json\r\n";
            if http::write(&mut stream, &start, fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, port: u16) -> (u16, String) {
        let path = request.word(1).split('?').next().unwrap_or("");
        let Some(path) = path.strip_prefix(ROOT) else {
            return (404, "{}".to_owned());
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        if request.word(0) != "GET" {
            let answer = self.inner.lock().unwrap().write(request, kind, name);
            self.changed.notify_all();
            return answer;
        }
        if let Some(after) = query(request, "watch") {
            let wait = Duration::from_millis(query(request, "wait_ms").unwrap_or(0));
            return (200, self.watch(kind, after, wait, port));
        }
        let inner = self.inner.lock().unwrap();
        if name.is_empty() {
            return (200, inner.list(kind, text_query(request, "after").unwrap_or("")));
        }
        match inner.current(kind, name) {
            Some(change) => (200, object(change)),
            None => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration, port: u16) -> String {
        let deadline = Instant::now() + wait;
        let mut inner = self.inner.lock().unwrap();
        if kind == "servers" {
            inner.watches.push((port, Instant::now()));
        }
        loop {
            let events: Vec<String> = inner
                .changes
                .iter()
                .filter(|change| change.kind == kind && change.rev > after)
                .map(|change| {
                    let removed = change.spec.is_none();
                    format!("{{\"object\":{},\"removed\":{removed}}}", object(change))
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                inner.watches.retain(|(other, _)| *other != port || kind != "servers");
                let as_of = inner.rev;
                return format!("{{\"events\":[{}],\"as_of\":{as_of}}}", events.join(","));
            }
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
    }
}
