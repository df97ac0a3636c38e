//! Stand-in for the platform's object store and its list of VMs.
//!
//! It speaks the dialects described in `rhubarbpick::edge::store_http` and
//! `vms_http`, keeps everything in memory and counts its calls. `POST /fault`
//! makes it fail in the ways that the real one may.

use crate::support::{
    number,
    parameter, //
};
use bytes::Bytes;
use event_listener::Event;
use hyper::{
    body::Incoming,
    header::{
        HeaderValue,
        ETAG,
        IF_MATCH,
        IF_NONE_MATCH, //
    },
    Method,
    Request,
    Response,
    StatusCode, //
};
use rhubarbpick::{
    edge::{
        store::Item,
        vms::Vm, //
    },
    kernel::{
        error::Error,
        http::{
            self,
            answer,
            collect,
            json,
            Body,
            Limits,
            Listener, //
        },
        runtime::{
            sleep,
            timeout,
            Context, //
        },
    },
};
use serde::Serialize;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Largest object in bytes.
const OBJECT_LIMIT: usize = 1024 * 1024;

/// How long the answer to a call is withheld when answers are lost.
const LOST_FOR: Duration = Duration::from_secs(5);

/// How the store fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// Every call is refused without effect.
    Down,
    /// Every call takes this long.
    Slow(Duration),
    /// Updates take effect but their answers are lost.
    LostAnswers,
    /// Updates take effect only after this time, and their answers are lost.
    LateUpdates(Duration),
}

/// Calls counted since the start.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Calls {
    /// Reads, lists included.
    pub reads: u64,
    /// Updates.
    pub writes: u64,
    /// Lists that waited.
    pub watches: u64,
}

struct Object {
    name: Box<str>,
    revision: u64,
    bytes: Bytes,
}

#[derive(Default)]
struct Content {
    revision: u64,
    objects: Vec<Object>,
    vms: Vec<Vm>,
    fault: Fault,
    calls: Calls,
}

struct Shared {
    context: Context,
    content: Mutex<Content>,
    changed: Event,
}

/// A running store.
pub struct Store {
    /// Address that it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _listener: Listener,
}

/// Starts an empty store.
pub fn bind(context: &Context, address: SocketAddr) -> Result<Store, Error> {
    let shared = Arc::new(Shared {
        context: context.clone(),
        content: Mutex::default(),
        changed: Event::new(),
    });
    let for_handler = Arc::clone(&shared);
    let handler: http::Handler =
        Arc::new(move |request| Box::pin(handle(Arc::clone(&for_handler), request)));
    let listener = http::bind(context, address, Limits::default(), handler)?;
    Ok(Store {
        address: listener.address,
        shared,
        _listener: listener,
    })
}

impl Store {
    /// Makes the store fail.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.content.lock().unwrap().fault = fault;
        self.shared.changed.notify(usize::MAX);
    }

    /// Sets what the list of VMs says.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.shared.content.lock().unwrap().vms = vms;
    }

    /// Returns the calls counted so far.
    pub fn calls(&self) -> Calls {
        self.shared.content.lock().unwrap().calls
    }

    /// Returns an object's content.
    pub fn object(&self, name: &str) -> Option<Bytes> {
        let content = self.shared.content.lock().unwrap();
        let index = content.search(name).ok()?;
        Some(content.objects[index].bytes.clone())
    }
}

impl Content {
    fn search(&self, name: &str) -> Result<usize, usize> {
        self.objects
            .binary_search_by(|object| (*object.name).cmp(name))
    }

    /// Updates an object; `expected` is its revision, zero if there is to be none.
    fn update(&mut self, name: &str, expected: u64, bytes: Bytes) -> Option<u64> {
        let found = self.search(name);
        let current = found.map_or(0, |index| self.objects[index].revision);
        if current != expected {
            return None;
        }
        self.revision += 1;
        let object = Object {
            name: name.into(),
            revision: self.revision,
            bytes,
        };
        match found {
            Ok(index) => self.objects[index] = object,
            Err(index) => self.objects.insert(index, object),
        }
        Some(self.revision)
    }
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let path: Box<str> = request.uri().path().into();
    match &*path {
        "/fault" => return set_fault(&shared, &request),
        "/stats" => return json(StatusCode::OK, &shared.content.lock().unwrap().calls),
        _ => {}
    }
    let fault = shared.content.lock().unwrap().fault;
    match fault {
        Fault::Down => return unavailable(),
        Fault::Slow(span) => sleep(span).await,
        _ => {}
    }
    if &*path == "/vms" {
        return vms(&shared, request).await;
    }
    if &*path == "/objects" {
        return list(&shared, &request).await;
    }
    let Some(name) = path.strip_prefix("/objects/") else {
        return answer(StatusCode::NOT_FOUND, "text/plain", "no such path\n");
    };
    match *request.method() {
        Method::GET => get(&shared, name),
        Method::PUT => put(&shared, name, request, fault).await,
        _ => answer(StatusCode::METHOD_NOT_ALLOWED, "text/plain", "GET or PUT\n"),
    }
}

fn unavailable() -> Response<Body> {
    answer(
        StatusCode::SERVICE_UNAVAILABLE,
        "text/plain",
        "the store is down\n",
    )
}

fn set_fault(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let span = Duration::from_millis(number(request, "ms"));
    let fault = match parameter(request, "mode") {
        Some("none") => Fault::None,
        Some("down") => Fault::Down,
        Some("slow") => Fault::Slow(span),
        Some("lost") => Fault::LostAnswers,
        Some("late") => Fault::LateUpdates(span),
        _ => {
            let modes = "mode is none, down, slow, lost or late; ms goes with slow and late\n";
            return answer(StatusCode::BAD_REQUEST, "text/plain", modes);
        }
    };
    shared.content.lock().unwrap().fault = fault;
    shared.changed.notify(usize::MAX);
    answer(StatusCode::OK, "text/plain", "set\n")
}

async fn vms(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    if *request.method() == Method::GET {
        let mut content = shared.content.lock().unwrap();
        content.calls.reads += 1;
        return json(StatusCode::OK, &content.vms);
    }
    let bytes = collect(request.into_body(), OBJECT_LIMIT)
        .await
        .unwrap_or_default();
    match serde_json::from_slice(&bytes) {
        Ok(vms) => {
            shared.content.lock().unwrap().vms = vms;
            answer(StatusCode::OK, "text/plain", "set\n")
        }
        Err(error) => answer(StatusCode::BAD_REQUEST, "text/plain", format!("{error}\n")),
    }
}

fn get(shared: &Shared, name: &str) -> Response<Body> {
    let mut content = shared.content.lock().unwrap();
    content.calls.reads += 1;
    match content.search(name) {
        Err(_) => answer(StatusCode::NOT_FOUND, "text/plain", "no such object\n"),
        Ok(index) => {
            let object = &content.objects[index];
            let body = answer(
                StatusCode::OK,
                "application/octet-stream",
                object.bytes.clone(),
            );
            with_tag(body, object.revision)
        }
    }
}

async fn put(
    shared: &Arc<Shared>,
    name: &str,
    request: Request<Incoming>,
    fault: Fault,
) -> Response<Body> {
    shared.content.lock().unwrap().calls.writes += 1;
    let expected = if request.headers().contains_key(IF_NONE_MATCH) {
        Some(0)
    } else {
        request.headers().get(IF_MATCH).and_then(revision_of)
    };
    let Some(expected) = expected else {
        let text = "an update needs If-Match or If-None-Match\n";
        return answer(StatusCode::BAD_REQUEST, "text/plain", text);
    };
    let Some(bytes) = collect(request.into_body(), OBJECT_LIMIT).await else {
        return answer(
            StatusCode::PAYLOAD_TOO_LARGE,
            "text/plain",
            "objects end at 1 MB\n",
        );
    };
    if let Fault::LateUpdates(span) = fault {
        let late = Arc::clone(shared);
        let name: Box<str> = name.into();
        shared.context.detach(async move {
            sleep(span).await;
            late.content.lock().unwrap().update(&name, expected, bytes);
            late.changed.notify(usize::MAX);
        });
        sleep(LOST_FOR).await;
        return unavailable();
    }
    let revision = shared.content.lock().unwrap().update(name, expected, bytes);
    shared.changed.notify(usize::MAX);
    if fault == Fault::LostAnswers {
        sleep(LOST_FOR).await;
        return unavailable();
    }
    match revision {
        Some(revision) => with_tag(answer(StatusCode::OK, "text/plain", ""), revision),
        None => answer(
            StatusCode::PRECONDITION_FAILED,
            "text/plain",
            "the tag is another\n",
        ),
    }
}

async fn list(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let prefix = parameter(request, "prefix").unwrap_or_default();
    let wait = Duration::from_millis(number(request, "wait_ms"));
    let known = request.headers().get(IF_NONE_MATCH).and_then(revision_of);
    let end = Instant::now() + wait;
    {
        let mut content = shared.content.lock().unwrap();
        match known {
            Some(_) => content.calls.watches += 1,
            None => content.calls.reads += 1,
        }
    }
    loop {
        let changed = shared.changed.listen();
        if shared.content.lock().unwrap().fault == Fault::Down {
            return unavailable();
        }
        let (state, items) = state_of(shared, prefix);
        if known != Some(state) {
            return with_tag(json(StatusCode::OK, &items), state);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return answer(StatusCode::NOT_MODIFIED, "text/plain", "");
        }
        timeout(left, changed).await;
    }
}

/// Returns the newest revision under a prefix and the objects there.
fn state_of(shared: &Shared, prefix: &str) -> (u64, Vec<Item>) {
    let content = shared.content.lock().unwrap();
    let found = content
        .objects
        .iter()
        .filter(|object| object.name.starts_with(prefix));
    let mut state = 0;
    let mut items = Vec::new();
    for object in found {
        state = state.max(object.revision);
        items.push(Item {
            name: object.name.clone(),
            tag: tag_of(object.revision).into(),
        });
    }
    (state, items)
}

fn tag_of(revision: u64) -> String {
    format!("\"{revision}\"")
}

fn revision_of(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.trim_matches('"').parse().ok()
}

fn with_tag(mut response: Response<Body>, revision: u64) -> Response<Body> {
    let value = HeaderValue::from_str(&tag_of(revision)).expect("digits are valid");
    response.headers_mut().insert(ETAG, value);
    response
}
