//! Handles callers' requests.
//!
//! A request is validated, matched to a service, a key and a class, and forwarded
//! to an endpoint. A protected request runs only with a ticket and only through
//! the ticket's home, the process that issued it. Any other process forwards it to
//! the home.

use crate::{
    core::{
        dispatch,
        membership::Error,
        table::Node,
        ticket::{
            self,
            Answer,
            Disposition,
            Outcome,
            Ticket,
            MAX_STORED_BODY_BYTES, //
        },
        time::IDLE_HEARTBEAT_INTERVAL,
    },
    daemon::{
        forward::{
            self,
            Call,
            Payload, //
        },
        refusal::Refusal,
        state::State, //
    },
    edge::header,
    kernel::{
        clock,
        http::{
            answer,
            collect,
            full,
            json,
            remove_hop_by_hop_fields,
            Body, //
        },
        runtime::sleep,
    },
};
use http_body_util::BodyExt;
use hyper::{
    body::{
        Body as _,
        Incoming, //
    },
    header::{
        HeaderName,
        HeaderValue,
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        HOST,
        TRANSFER_ENCODING,
        UPGRADE, //
    },
    http::request::Parts,
    Method,
    Request,
    Response,
    StatusCode,
    Uri,
    Version, //
};
use serde::Serialize;
use std::{
    net::SocketAddr,
    sync::{
        atomic::Ordering,
        Arc, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Path at which callers request tickets.
const TICKETS_PATH: &str = "/-/tickets";

/// Maximum number of callers' requests in flight in one process.
const MAX_IN_FLIGHT: usize = 4096;

/// Maximum size of a body that is buffered so that the request can be sent again.
const MAX_BUFFERED_BODY_BYTES: u64 = 65_536;

/// How long a request waits for the first heartbeat from its ticket's home: the
/// longest interval between two heartbeats.
const HOME_TIMEOUT: Duration = IDLE_HEARTBEAT_INTERVAL;

/// Interval at which a waiting request checks for a heartbeat from its ticket's home.
const HOME_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Value of [`header::DISPATCH`] in a request that is forwarded to its ticket's home.
const TO_HOME: &str = "home";

/// Value of [`header::DISPATCH`] in a request that is forwarded to its dispatcher.
pub const TO_DISPATCHER: &str = "queue";

/// Response to a request for a ticket.
#[derive(Serialize)]
struct Issued {
    ticket: String,
    good_for_seconds: u64,
}

/// Handles a caller's request.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() == TICKETS_PATH {
        return issue_ticket(&state, request.method());
    }
    let Some(guard) = Guard::acquire(&state) else {
        return Refusal::Overloaded.into_response();
    };
    let (mut parts, body) = request.into_parts();
    let is_http1 = parts.version < Version::HTTP_2;
    // The HTTP library removes a Content-Length field next to Transfer-Encoding, so
    // a request with both cannot be detected. To prevent request smuggling, nothing
    // is read from the connection after a request with Transfer-Encoding.
    let closes_connection = parts.headers.contains_key(TRANSFER_ENCODING) || state.is_leaving();
    let mut response = match sanitize(&mut parts) {
        Err(refusal) => refusal.into_response(),
        Ok(()) => route(&state, parts, body).await,
    };
    if closes_connection && is_http1 {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    // The request stops counting as in flight when the head of the response is ready.
    drop(guard);
    response
}

/// Handles a request that a peer forwarded to this process.
pub async fn handle_forwarded(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let (mut parts, body) = request.into_parts();
    let destination = parts.headers.get(header::DISPATCH).cloned();
    let deadline = deadline(&parts);
    if let Err(refusal) = sanitize(&mut parts) {
        return refusal.into_response();
    }
    if destination.is_none_or(|destination| destination != TO_DISPATCHER) {
        return route(&state, parts, body).await;
    }
    match prepare(&state, parts, body).await {
        Err(refusal) => refusal.into_response(),
        Ok((mut call, payload)) => {
            call.is_forwarded = true;
            call.deadline = call.deadline.min(deadline.unwrap_or(call.deadline));
            forward::run(&state, call, payload).await
        }
    }
}

/// Returns the deadline that a peer set in the request's header, if any.
fn deadline(parts: &Parts) -> Option<Instant> {
    let encoded = parts.headers.get(header::DEADLINE)?.to_str().ok()?;
    let remaining = Duration::from_millis(encoded.parse().ok()?);
    Some(Instant::now() + remaining)
}

/// Counts a request as in flight until it is dropped.
struct Guard {
    state: Arc<State>,
}

impl Guard {
    fn acquire(state: &Arc<State>) -> Option<Self> {
        let previous = state.in_flight.fetch_add(1, Ordering::AcqRel);
        let guard = Self {
            state: Arc::clone(state),
        };
        (previous < MAX_IN_FLIGHT).then_some(guard)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

fn issue_ticket(state: &State, method: &Method) -> Response<Body> {
    if *method != Method::POST {
        return Refusal::BadRequest("tickets are issued on POST").into_response();
    }
    let issued = Issued {
        ticket: state.issue(),
        good_for_seconds: ticket::LIFETIME.as_secs(),
    };
    json(StatusCode::CREATED, &issued)
}

/// Validates a request head and removes the fields that must not be forwarded.
fn sanitize(parts: &mut Parts) -> Result<(), Refusal> {
    if parts.method == Method::CONNECT || parts.headers.contains_key(UPGRADE) {
        return Err(Refusal::BadRequest("tunnels and upgrades are not served"));
    }
    if parts.headers.get_all(CONTENT_LENGTH).iter().count() > 1 {
        return Err(Refusal::BadRequest(
            "the request has more than one Content-Length",
        ));
    }
    if parts.headers.contains_key(CONTENT_LENGTH) && parts.headers.contains_key(TRANSFER_ENCODING) {
        return Err(Refusal::BadRequest("the request has two lengths"));
    }
    set_origin_form(parts)?;
    remove_hop_by_hop_fields(&mut parts.headers);
    parts.headers.remove(EXPECT);
    let reserved: Vec<HeaderName> = parts
        .headers
        .keys()
        .filter(|name| name.as_str().starts_with(header::PREFIX))
        .cloned()
        .collect();
    for name in reserved {
        parts.headers.remove(name);
    }
    Ok(())
}

/// Converts the request target to origin form and moves the authority to the Host field.
fn set_origin_form(parts: &mut Parts) -> Result<(), Refusal> {
    if let Some(authority) = parts.uri.authority() {
        let value = HeaderValue::from_str(authority.as_str());
        let value = value.map_err(|_| Refusal::BadRequest("the authority is not valid"))?;
        parts.headers.insert(HOST, value);
    }
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let uri: Result<Uri, _> = target.parse();
    parts.uri = uri.map_err(|_| Refusal::BadRequest("the target is not valid"))?;
    Ok(())
}

async fn route(state: &Arc<State>, parts: Parts, body: Incoming) -> Response<Body> {
    match prepare(state, parts, body).await {
        Err(refusal) => refusal.into_response(),
        Ok((call, payload)) if call.class.protected => run_protected(state, call, payload).await,
        Ok((call, payload)) => forward::run(state, call, payload).await,
    }
}

/// Matches a request to a service, a key and a class, and buffers the body if it is
/// short or the request is protected.
async fn prepare(state: &State, parts: Parts, body: Incoming) -> Result<(Call, Payload), Refusal> {
    let snapshot = state.tables.current();
    let path = parts.uri.path();
    let confirmed = snapshot.service(path).ok_or(Refusal::NoService)?;
    let key: Box<str> = match confirmed.intent.key(path) {
        Some(key) => key.into(),
        None if confirmed.intent.shards > 0 => return Err(Refusal::NoKey),
        None => "".into(),
    };
    let index = confirmed.intent.class_index(parts.method.as_str(), path);
    let index = index.ok_or(Refusal::NoClass)?;
    let class = confirmed.intent.classes[index].clone();
    let deadline = Instant::now() + Duration::from_millis(class.deadline_ms);
    let exact = body.size_hint().exact();
    let is_small = exact.is_some_and(|length| length <= MAX_BUFFERED_BODY_BYTES);
    let payload = if is_small || class.protected {
        let collected = collect(body, MAX_BUFFERED_BODY_BYTES as usize).await;
        Payload::Whole(collected.ok_or(Refusal::TooLarge)?)
    } else {
        Payload::Stream(body.map_err(Into::into).boxed_unsync())
    };
    let call = Call {
        confirmed: Arc::clone(confirmed),
        class,
        class_index: dispatch::Index(index as u16),
        key,
        parts,
        deadline,
        is_forwarded: false,
    };
    Ok((call, payload))
}

/// Runs a request at most once per ticket.
async fn run_protected(state: &Arc<State>, call: Call, payload: Payload) -> Response<Body> {
    let Some(encoded) = call.parts.headers.get(header::TICKET) else {
        return Refusal::TicketRequired.into_response();
    };
    let encoded = encoded.to_str().unwrap_or_default();
    let Ok(ticket) = Ticket::verify(encoded, state.secret.as_bytes()) else {
        return Refusal::TicketForged.into_response();
    };
    if ticket.home != *state.me() {
        return forward_to_home(state, &ticket, call, payload).await;
    }
    let disposition = state.deduplicator().begin(&ticket, clock::now());
    match disposition {
        Err(ticket::Error::Full) => Refusal::Overloaded.into_response(),
        Err(_) => Refusal::TicketExpired.into_response(),
        Ok(Disposition::Duplicate(outcome)) => respond_to_duplicate(outcome),
        Ok(Disposition::Run) => run_detached(state, ticket.number, call, payload).await,
    }
}

fn respond_to_duplicate(outcome: Outcome) -> Response<Body> {
    match outcome {
        Outcome::Running => Refusal::InProgress.into_response(),
        Outcome::Unknown => Refusal::EarlierUnknown.into_response(),
        Outcome::Ran(Answer { body: None, .. }) => Refusal::AnswerNotKept.into_response(),
        Outcome::Ran(Answer {
            status,
            body: Some(body),
        }) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            let mut response = answer(status, "application/octet-stream", body.into_vec());
            let ran = HeaderValue::from_static(header::RAN);
            response.headers_mut().insert(header::OUTCOME, ran);
            response
        }
    }
}

/// Runs the first request with a ticket to completion, even if the caller disconnects.
async fn run_detached(
    state: &Arc<State>,
    number: u64,
    call: Call,
    payload: Payload,
) -> Response<Body> {
    let (sender, receiver) = async_channel::bounded(1);
    let task_state = Arc::clone(state);
    state.context.detach(async move {
        let response = forward::run(&task_state, call, payload).await;
        let response = record_outcome(&task_state, number, response).await;
        let _ = sender.try_send(response);
    });
    let received = receiver.recv().await;
    received.unwrap_or_else(|_| Refusal::Broken.into_response())
}

/// Records the outcome of a protected request before the caller gets the response.
async fn record_outcome(state: &State, number: u64, response: Response<Body>) -> Response<Body> {
    let outcome = response.headers().get(header::OUTCOME);
    let outcome = outcome.map(HeaderValue::as_bytes).unwrap_or_default();
    if outcome == header::NOT_RUN.as_bytes() {
        state.deduplicator().not_run(number);
        return response;
    }
    if outcome != header::RAN.as_bytes() {
        state.deduplicator().end(number, Outcome::Unknown);
        return response;
    }
    let (parts, body) = response.into_parts();
    let Ok(collected) = body.collect().await else {
        let stored = Answer {
            status: parts.status.as_u16(),
            body: None,
        };
        state.deduplicator().end(number, Outcome::Ran(stored));
        return Refusal::AnswerNotKept.into_response();
    };
    let bytes = collected.to_bytes();
    let stored = Answer {
        status: parts.status.as_u16(),
        body: (bytes.len() <= MAX_STORED_BODY_BYTES).then(|| bytes.to_vec().into()),
    };
    state.deduplicator().end(number, Outcome::Ran(stored));
    Response::from_parts(parts, full(bytes))
}

/// Forwards a protected request to the process that issued its ticket.
async fn forward_to_home(
    state: &Arc<State>,
    ticket: &Ticket,
    call: Call,
    payload: Payload,
) -> Response<Body> {
    let Some(address) = find_home(state, &ticket.home, call.remaining().min(HOME_TIMEOUT)).await
    else {
        return Refusal::TicketHomeLost.into_response();
    };
    let Payload::Whole(bytes) = payload else {
        return Refusal::TooLarge.into_response();
    };
    let remaining = call.remaining();
    let mut request = Request::from_parts(call.parts, full(bytes));
    let secret =
        HeaderValue::from_str(&state.secret).expect("the secret was validated when it was read");
    let headers = request.headers_mut();
    headers.insert(header::SECRET, secret);
    headers.insert(header::DISPATCH, HeaderValue::from_static(TO_HOME));
    let sent = state.forwards.get(address).send(request, remaining).await;
    match sent {
        Ok(response) => forward::relay(response),
        Err(_) => Refusal::TicketHomeLost.into_response(),
    }
}

/// Returns the address of a ticket's home, or `None` if the home has terminated or if
/// no heartbeat from it arrives within `wait`.
async fn find_home(state: &State, home: &Node, wait: Duration) -> Option<SocketAddr> {
    let deadline = Instant::now() + wait;
    loop {
        let found = state.view().last_known_address(home);
        match found {
            Ok(address) => return Some(address),
            Err(Error::Terminated) => return None,
            Err(Error::NeverSeen) if Instant::now() >= deadline => return None,
            Err(Error::NeverSeen) => sleep(HOME_POLL_INTERVAL).await,
        }
    }
}
