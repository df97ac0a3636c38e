//! Emulator of the platform's object store and list of VMs.
//!
//! It implements the dialects that `rhubarbpick::edge::store_http` and
//! `vms_http` describe, keeps all data in memory and counts calls.
//! `POST /fault?mode=MODE&ms=N` injects one of the faults in [`Fault`].

use crate::support::{
    numeric_parameter,
    query_parameter, //
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

/// Largest object.
const OBJECT_MAX_BYTES: usize = 1024 * 1024;

/// Delay of the response to an update under a fault that loses responses.
///
/// Callers time out first; those that still wait then get status 503.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(5);

/// Fault that the store injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Every call gets status 503 and has no effect.
    Down,
    /// Every call is delayed by this time.
    Slow(Duration),
    /// Updates take effect, but their responses are lost.
    LostAnswers,
    /// Updates take effect only after this time, and their responses are lost.
    LateUpdates(Duration),
}

/// Number of calls since the start.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Calls {
    /// Reads of objects and of the list of VMs, and lists without a known tag.
    pub reads: u64,
    /// Updates, whether or not they took effect.
    pub writes: u64,
    /// Lists with a known tag, which wait for a change.
    pub watches: u64,
}

struct Object {
    name: Box<str>,
    revision: u64,
    bytes: Bytes,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: Vec<Object>,
    vms: Vec<Vm>,
    fault: Fault,
    calls: Calls,
}

struct Shared {
    context: Context,
    state: Mutex<State>,
    changed: Event,
}

/// Handle of a running store.
pub struct Store {
    /// Address that the store listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _listener: Listener,
}

/// Starts an empty store.
pub fn bind(context: &Context, address: SocketAddr) -> Result<Store, Error> {
    let shared = Arc::new(Shared {
        context: context.clone(),
        state: Mutex::default(),
        changed: Event::new(),
    });
    let handler_shared = Arc::clone(&shared);
    let handler: http::Handler =
        Arc::new(move |request| Box::pin(handle(Arc::clone(&handler_shared), request)));
    let listener = http::bind(context, address, Limits::default(), handler)?;
    Ok(Store {
        address: listener.address,
        shared,
        _listener: listener,
    })
}

impl Store {
    /// Injects a fault, which stays until another is set.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.state.lock().unwrap().fault = fault;
        self.shared.changed.notify(usize::MAX);
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.shared.state.lock().unwrap().vms = vms;
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> Calls {
        self.shared.state.lock().unwrap().calls
    }

    /// Returns the content of an object.
    pub fn object(&self, name: &str) -> Option<Bytes> {
        let state = self.shared.state.lock().unwrap();
        let index = state.search(name).ok()?;
        Some(state.objects[index].bytes.clone())
    }
}

impl State {
    fn search(&self, name: &str) -> Result<usize, usize> {
        self.objects
            .binary_search_by(|object| (*object.name).cmp(name))
    }

    /// Updates an object if its revision is `expected` and returns the new revision.
    ///
    /// Zero is the revision of an object that does not exist.
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
        "/stats" => return json(StatusCode::OK, &shared.state.lock().unwrap().calls),
        _ => {}
    }
    let fault = shared.state.lock().unwrap().fault;
    match fault {
        Fault::Down => return unavailable(),
        Fault::Slow(span) => sleep(span).await,
        _ => {}
    }
    if &*path == "/vms" {
        return handle_vms(&shared, request).await;
    }
    if &*path == "/objects" {
        return list(&shared, &request).await;
    }
    let Some(name) = path.strip_prefix("/objects/") else {
        return answer(StatusCode::NOT_FOUND, "text/plain", "unknown path\n");
    };
    match *request.method() {
        Method::GET => get(&shared, name),
        Method::PUT => put(&shared, name, request, fault).await,
        _ => answer(
            StatusCode::METHOD_NOT_ALLOWED,
            "text/plain",
            "objects support only GET and PUT\n",
        ),
    }
}

fn unavailable() -> Response<Body> {
    answer(
        StatusCode::SERVICE_UNAVAILABLE,
        "text/plain",
        "an injected fault makes the store unavailable\n",
    )
}

fn set_fault(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let span = Duration::from_millis(numeric_parameter(request, "ms"));
    let fault = match query_parameter(request, "mode") {
        Some("none") => Fault::None,
        Some("down") => Fault::Down,
        Some("slow") => Fault::Slow(span),
        Some("lost") => Fault::LostAnswers,
        Some("late") => Fault::LateUpdates(span),
        _ => {
            let text = "mode must be none, down, slow, lost or late; slow and late use ms\n";
            return answer(StatusCode::BAD_REQUEST, "text/plain", text);
        }
    };
    shared.state.lock().unwrap().fault = fault;
    shared.changed.notify(usize::MAX);
    answer(StatusCode::OK, "text/plain", "fault set\n")
}

async fn handle_vms(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    if *request.method() == Method::GET {
        let mut state = shared.state.lock().unwrap();
        state.calls.reads += 1;
        return json(StatusCode::OK, &state.vms);
    }
    let bytes = collect(request.into_body(), OBJECT_MAX_BYTES)
        .await
        .unwrap_or_default();
    match serde_json::from_slice(&bytes) {
        Ok(vms) => {
            shared.state.lock().unwrap().vms = vms;
            answer(StatusCode::OK, "text/plain", "list of VMs set\n")
        }
        Err(error) => answer(StatusCode::BAD_REQUEST, "text/plain", format!("{error}\n")),
    }
}

fn get(shared: &Shared, name: &str) -> Response<Body> {
    let mut state = shared.state.lock().unwrap();
    state.calls.reads += 1;
    match state.search(name) {
        Err(_) => answer(
            StatusCode::NOT_FOUND,
            "text/plain",
            "the object does not exist\n",
        ),
        Ok(index) => {
            let object = &state.objects[index];
            let response = answer(
                StatusCode::OK,
                "application/octet-stream",
                object.bytes.clone(),
            );
            with_tag(response, object.revision)
        }
    }
}

async fn put(
    shared: &Arc<Shared>,
    name: &str,
    request: Request<Incoming>,
    fault: Fault,
) -> Response<Body> {
    shared.state.lock().unwrap().calls.writes += 1;
    let expected = if request.headers().contains_key(IF_NONE_MATCH) {
        Some(0)
    } else {
        request.headers().get(IF_MATCH).and_then(parse_tag)
    };
    let Some(expected) = expected else {
        let text = "an update needs a valid If-Match or If-None-Match header\n";
        return answer(StatusCode::BAD_REQUEST, "text/plain", text);
    };
    let Some(bytes) = collect(request.into_body(), OBJECT_MAX_BYTES).await else {
        return answer(
            StatusCode::PAYLOAD_TOO_LARGE,
            "text/plain",
            "the object is incomplete or larger than 1 MiB\n",
        );
    };
    if let Fault::LateUpdates(span) = fault {
        let later_shared = Arc::clone(shared);
        let name: Box<str> = name.into();
        shared.context.detach(async move {
            sleep(span).await;
            later_shared
                .state
                .lock()
                .unwrap()
                .update(&name, expected, bytes);
            later_shared.changed.notify(usize::MAX);
        });
        sleep(LOST_RESPONSE_DELAY).await;
        return unavailable();
    }
    let revision = shared.state.lock().unwrap().update(name, expected, bytes);
    shared.changed.notify(usize::MAX);
    if fault == Fault::LostAnswers {
        sleep(LOST_RESPONSE_DELAY).await;
        return unavailable();
    }
    match revision {
        Some(revision) => with_tag(answer(StatusCode::OK, "text/plain", ""), revision),
        None => answer(
            StatusCode::PRECONDITION_FAILED,
            "text/plain",
            "the object does not have the expected tag\n",
        ),
    }
}

async fn list(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let prefix = query_parameter(request, "prefix").unwrap_or_default();
    let wait = Duration::from_millis(numeric_parameter(request, "wait_ms"));
    let known_revision = request.headers().get(IF_NONE_MATCH).and_then(parse_tag);
    let end = Instant::now() + wait;
    {
        let mut state = shared.state.lock().unwrap();
        match known_revision {
            Some(_) => state.calls.watches += 1,
            None => state.calls.reads += 1,
        }
    }
    loop {
        let changed = shared.changed.listen();
        if shared.state.lock().unwrap().fault == Fault::Down {
            return unavailable();
        }
        let (newest, items) = items_under(shared, prefix);
        if known_revision != Some(newest) {
            return with_tag(json(StatusCode::OK, &items), newest);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return answer(StatusCode::NOT_MODIFIED, "text/plain", "");
        }
        timeout(left, changed).await;
    }
}

/// Returns the newest revision among the objects under a prefix, and their names and tags.
fn items_under(shared: &Shared, prefix: &str) -> (u64, Vec<Item>) {
    let state = shared.state.lock().unwrap();
    let matching = state
        .objects
        .iter()
        .filter(|object| object.name.starts_with(prefix));
    let mut newest = 0;
    let mut items = Vec::new();
    for object in matching {
        newest = newest.max(object.revision);
        items.push(Item {
            name: object.name.clone(),
            tag: format_tag(object.revision).into(),
        });
    }
    (newest, items)
}

fn format_tag(revision: u64) -> String {
    format!("\"{revision}\"")
}

fn parse_tag(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.trim_matches('"').parse().ok()
}

fn with_tag(mut response: Response<Body>, revision: u64) -> Response<Body> {
    let value = HeaderValue::from_str(&format_tag(revision))
        .expect("a quoted number is a valid header value");
    response.headers_mut().insert(ETAG, value);
    response
}
