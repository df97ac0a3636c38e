//! Stand-in for the platform's store.

use crate::http::{Connection, Head};
use std::{
    collections::BTreeMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const ROOT: &str = "/rhubarbpick/objects/";

/// Most items of one page of a list.
const PAGE_ITEMS: usize = 500;

struct Object {
    rev: u64,
    spec: String,
}

struct Event {
    rev: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct Content {
    rev: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// A running store; it serves as long as the process runs.
#[derive(Clone, Default)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
}

/// An address of the store. A machine that is cut off from the store has one of its own.
pub struct Gate {
    pub address: SocketAddr,
    is_open: AtomicBool,
    /// Whether the gate closes as soon as a key table was written, before the answer.
    closes_at_write: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Gate {
    /// Closes all connections and refuses new ones.
    pub fn close(&self) {
        self.is_open.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn close_at_write(&self) {
        self.closes_at_write.store(true, Ordering::SeqCst);
    }

    pub fn is_open(&self) -> bool {
        self.is_open.load(Ordering::SeqCst)
    }

    /// Accepts connections again.
    pub fn open(&self) {
        self.is_open.store(true, Ordering::SeqCst);
    }
}

/// Opens an address of the store.
pub fn listen(store: &Store, address: SocketAddr) -> Arc<Gate> {
    let gate = Arc::new(Gate {
        address,
        is_open: AtomicBool::new(true),
        closes_at_write: AtomicBool::new(false),
        streams: Mutex::default(),
    });
    let (store, accepting) = (store.clone(), Arc::clone(&gate));
    let mut listener = Some(TcpListener::bind(address).expect("the store cannot listen"));
    thread::spawn(move || loop {
        if !accepting.is_open() {
            listener = None;
            thread::sleep(Duration::from_millis(1));
            continue;
        }
        if listener.is_none() {
            listener = TcpListener::bind(address).ok();
        }
        let Some(socket) = &listener else { continue };
        let _ = socket.set_nonblocking(true);
        let Ok((stream, _)) = socket.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        let _ = stream.set_nonblocking(false);
        if let Ok(copy) = stream.try_clone() {
            accepting.streams.lock().unwrap().push(copy);
        }
        let (store, gate) = (store.clone(), Arc::clone(&accepting));
        thread::spawn(move || store.serve(Connection::new(stream), &gate));
    });
    gate
}

fn object_text(name: &str, object: &Object) -> String {
    let Object { rev, spec } = object;
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{rev},\"created\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    /// Writes an object as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut content = self.content.0.lock().unwrap();
        content.put(kind, name, spec);
        self.content.1.notify_all();
    }

    /// Returns the text of an object's `spec`.
    pub fn get(&self, kind: &str, name: &str) -> Option<String> {
        let content = self.content.0.lock().unwrap();
        content.get(kind, name).map(|object| object.spec.clone())
    }

    fn serve(&self, mut connection: Connection, gate: &Gate) {
        while let Some(head) = connection.read_request() {
            let Some(body) = connection.read_body(&head) else {
                return;
            };
            if !gate.is_open() {
                return;
            }
            let (status, text) = self.handle(&head, &String::from_utf8_lossy(&body));
            let is_write = head
                .first_line
                .starts_with("PUT /rhubarbpick/objects/rhubarbpick-tables/");
            if is_write && status == 200 && gate.closes_at_write.swap(false, Ordering::SeqCst) {
                gate.close();
                return;
            }
            let response = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if !connection.write(response.as_bytes()) {
                return;
            }
        }
    }

    fn handle(&self, head: &Head, body: &str) -> (u16, String) {
        let mut words = head.first_line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix(ROOT) else {
            return (404, "{}".into());
        };
        let (kind, name) = path
            .split_once('/')
            .map_or((path, None), |(kind, name)| (kind, Some(name)));
        let parameter = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(name, _)| *name == wanted)
                .map(|(_, value)| value.to_owned())
        };
        let number = |wanted: &str| parameter(wanted).and_then(|value| value.parse::<u64>().ok());
        let mut content = self.content.0.lock().unwrap();
        match (method, name) {
            ("GET", None) => match number("watch") {
                None => (
                    200,
                    content.list(kind, &decode(&parameter("after").unwrap_or_default())),
                ),
                Some(after) => {
                    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                    let deadline = Instant::now() + wait;
                    loop {
                        let left = deadline.saturating_duration_since(Instant::now());
                        let events = content.events_after(kind, after);
                        if !events.is_empty() || left.is_zero() {
                            let events = events.join(",");
                            return (
                                200,
                                format!("{{\"events\":[{events}],\"as_of\":{}}}", content.rev),
                            );
                        }
                        content = self.content.1.wait_timeout(content, left).unwrap().0;
                    }
                }
            },
            ("GET", Some(name)) => match content.get(kind, name) {
                Some(object) => (200, object_text(name, object)),
                None => (404, "{}".into()),
            },
            ("POST", None) | ("PUT", Some(_)) => {
                let Some(name) = name.map(str::to_owned).or_else(|| value_of(body, "name")) else {
                    return (400, "{}".into());
                };
                let Some(spec) = value_of(body, "spec") else {
                    return (400, "{}".into());
                };
                let name = name.trim_matches('"').to_owned();
                let rev = value_of(body, "rev").and_then(|rev| rev.parse::<u64>().ok());
                let known = content
                    .get(kind, &name)
                    .map(|object| (object.rev, object_text(&name, object)));
                match (method, known) {
                    ("PUT", None) => return (404, "{}".into()),
                    ("POST", Some((_, text))) => return (409, text),
                    ("PUT", Some((known, text))) if rev.is_some_and(|rev| rev != known) => {
                        return (409, text);
                    }
                    _ => {}
                }
                content.put(kind, &name, &spec);
                self.content.1.notify_all();
                (
                    200,
                    content
                        .get(kind, &name)
                        .map_or("{}".into(), |object| object_text(&name, object)),
                )
            }
            ("DELETE", Some(name)) => {
                let key = (kind.to_owned(), name.to_owned());
                match content.objects.get(&key) {
                    None => (404, "{}".into()),
                    Some(object) if number("rev").is_some_and(|rev| rev != object.rev) => {
                        (409, object_text(name, object))
                    }
                    Some(object) => {
                        let text = format!(
                            "{{\"removed\":true,\"object\":{}}}",
                            object_text(name, object)
                        );
                        content.objects.remove(&key);
                        content.rev += 1;
                        let rev = content.rev;
                        content.events.push(Event {
                            rev,
                            kind: kind.into(),
                            text,
                        });
                        self.content.1.notify_all();
                        (200, "{}".into())
                    }
                }
            }
            _ => (404, "{}".into()),
        }
    }
}

impl Content {
    fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    fn put(&mut self, kind: &str, name: &str, spec: &str) {
        if self
            .get(kind, name)
            .is_some_and(|object| object.spec == spec)
        {
            return;
        }
        self.rev += 1;
        let object = Object {
            rev: self.rev,
            spec: spec.into(),
        };
        let text = format!(
            "{{\"removed\":false,\"object\":{}}}",
            object_text(name, &object)
        );
        self.events.push(Event {
            rev: self.rev,
            kind: kind.into(),
            text,
        });
        self.objects.insert((kind.into(), name.into()), object);
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let of_kind = self
            .objects
            .iter()
            .filter(|((other, name), _)| other == kind && &**name > after);
        let mut items: Vec<String> = of_kind
            .map(|((_, name), object)| object_text(name, object))
            .collect();
        let has_more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"as_of\":{}}}",
            items.join(","),
            self.rev
        )
    }

    fn events_after(&self, kind: &str, after: u64) -> Vec<String> {
        let later = self
            .events
            .iter()
            .filter(|event| event.rev > after && event.kind == kind);
        later.map(|event| event.text.clone()).collect()
    }
}

/// Decodes a value of a query.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&first, others)) = rest.split_first() {
        let code = others
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let code = code.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        rest = match (first, code) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                &others[2..]
            }
            (byte, _) => {
                bytes.push(if byte == b'+' { b' ' } else { byte });
                others
            }
        };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the text of the first value of a key of a JSON object, at any depth.
pub fn value_of(json: &str, key: &str) -> Option<String> {
    let start = json.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = json[start..].trim_start();
    let (mut depth, mut is_text, mut is_escaped) = (0, false, false);
    for (index, byte) in rest.bytes().enumerate() {
        if is_text {
            match byte {
                _ if is_escaped => is_escaped = false,
                b'\\' => is_escaped = true,
                b'"' => is_text = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => is_text = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' | b',' if depth == 0 => return Some(rest[..index].trim().to_owned()),
            b'}' | b']' => depth -= 1,
            _ => {}
        }
    }
    None
}
