//! The platform's metadata store: objects with revisions, lists, watches and conditional writes.

use crate::{
    http::{response, Connection, Listener, Message},
    json::{self, Json},
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

const ROOT: &str = "/rhubarbpick/objects/";
const PAGE: usize = 500;

#[derive(Clone)]
struct Object {
    rev: u64,
    created: u64,
    spec: Json,
}

struct Event {
    rev: u64,
    kind: String,
    removed: bool,
    object: String,
}

#[derive(Default)]
struct Inner {
    rev: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

#[derive(Default)]
struct Shared {
    inner: Mutex<Inner>,
    changed: Condvar,
}

pub struct Store {
    shared: Arc<Shared>,
    _listener: Listener,
}

fn to_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"rev\":{},\"created\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        Json::Text(name.into()),
        object.rev,
        object.created,
        object.spec
    )
}

impl Inner {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key) {
            if known.spec == spec {
                return known.clone();
            }
        }
        self.rev += 1;
        let created = self
            .objects
            .get(&key)
            .map_or(self.rev, |known| known.created);
        let object = Object {
            rev: self.rev,
            created,
            spec,
        };
        self.events.push(Event {
            rev: self.rev,
            kind: kind.into(),
            removed: false,
            object: to_text(name, &object),
        });
        self.objects.insert(key, object.clone());
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.remove(&key) {
            self.rev += 1;
            self.events.push(Event {
                rev: self.rev,
                kind: kind.into(),
                removed: true,
                object: to_text(name, &object),
            });
        }
    }

    fn write(&mut self, call: &Call) -> (u16, String) {
        let body = json::parse(&call.body).unwrap_or(Json::Null);
        let metadata = body.get("metadata");
        let name = match call.method.as_str() {
            "POST" => metadata.get("name").text().unwrap_or("").to_owned(),
            _ => call.name.clone(),
        };
        let known = self
            .objects
            .get(&(call.kind.clone(), name.clone()))
            .cloned();
        let rev = match call.method.as_str() {
            "DELETE" => call.query("rev").and_then(|rev| rev.parse().ok()),
            _ => metadata.get("rev").number(),
        };
        match (&known, call.method.as_str()) {
            (Some(known), "POST") => return (409, to_text(&name, known)),
            (None, "PUT" | "DELETE") => return (404, "null".into()),
            (Some(known), _) if rev.is_some_and(|rev| rev != known.rev) => {
                return (409, to_text(&name, known));
            }
            _ => {}
        }
        if call.method == "DELETE" {
            self.remove(&call.kind, &name);
            return (200, "null".into());
        }
        let object = self.put(&call.kind, &name, body.get("spec").clone());
        (200, to_text(&name, &object))
    }
}

struct Call {
    method: String,
    kind: String,
    name: String,
    query: String,
    body: Vec<u8>,
}

impl Call {
    fn parse(request: &Message) -> Option<Self> {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.strip_prefix(ROOT)?;
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        Some(Self {
            method: request.method().into(),
            kind: kind.into(),
            name: name.into(),
            query: query.into(),
            body: request.body.clone(),
        })
    }

    fn query(&self, name: &str) -> Option<&str> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }
}

impl Shared {
    fn handle(&self, call: &Call) -> (u16, String) {
        if call.method != "GET" {
            let result = self.inner.lock().unwrap().write(call);
            self.changed.notify_all();
            return result;
        }
        if let Some(after) = call.query("watch").and_then(|after| after.parse().ok()) {
            return self.watch(call, after);
        }
        let inner = self.inner.lock().unwrap();
        if !call.name.is_empty() {
            let key = (call.kind.clone(), call.name.clone());
            return match inner.objects.get(&key) {
                Some(object) => (200, to_text(&call.name, object)),
                None => (404, "null".into()),
            };
        }
        let after = call.query("after").unwrap_or("");
        let mut items: Vec<String> = inner
            .objects
            .iter()
            .filter(|((kind, name), _)| *kind == call.kind && (after.is_empty() || **name > *after))
            .map(|((_, name), object)| to_text(name, object))
            .collect();
        let has_more = items.len() > PAGE;
        items.truncate(PAGE);
        let text = format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"as_of\":{}}}",
            items.join(","),
            inner.rev
        );
        (200, text)
    }

    fn watch(&self, call: &Call, after: u64) -> (u16, String) {
        let wait = call.query("wait_ms").and_then(|wait| wait.parse().ok());
        let end = Instant::now() + Duration::from_millis(wait.unwrap_or(0).min(30_000));
        let mut inner = self.inner.lock().unwrap();
        loop {
            if after > inner.rev {
                return (410, "null".into());
            }
            let events: Vec<String> = inner
                .events
                .iter()
                .filter(|event| event.rev > after && event.kind == call.kind)
                .map(|event| {
                    format!(
                        "{{\"removed\":{},\"object\":{}}}",
                        event.removed, event.object
                    )
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"events\":[{}],\"as_of\":{}}}",
                    events.join(","),
                    inner.rev
                );
                return (200, text);
            }
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
    }
}

impl Store {
    pub fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let shared: Arc<Shared> = Arc::default();
        let for_calls = Arc::clone(&shared);
        let listener = Listener::bind(address, move |connection| {
            serve(&for_calls, connection);
        })?;
        Ok(Self {
            shared,
            _listener: listener,
        })
    }

    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        self.shared.inner.lock().unwrap().put(kind, name, spec);
        self.shared.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.inner.lock().unwrap().remove(kind, name);
        self.shared.changed.notify_all();
    }
}

fn serve(shared: &Shared, mut connection: Connection) {
    loop {
        let idle_end = Instant::now() + Duration::from_secs(30);
        let Ok(request) = connection.read_request(idle_end) else {
            return;
        };
        let (status, text) = match Call::parse(&request) {
            Some(call) => shared.handle(&call),
            None => (404, "null".into()),
        };
        let headers = [("Content-Type", "application/json")];
        if !connection.write(&response(status, &headers, text.as_bytes())) {
            return;
        }
    }
}
