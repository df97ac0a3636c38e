//! Taking in callers' requests.
//!
//! A request is checked, matched to a service, a key and a class, and then
//! forwarded. A protected request runs only under a ticket and only at the
//! ticket's home; another entry passes it on there.

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
            Job,
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

/// Path at which callers get tickets.
const TICKETS_PATH: &str = "/-/tickets";

/// Most callers' requests in flight in one process.
const IN_FLIGHT_MAX: usize = 4096;

/// Largest body that is held so that the request can be tried again, in bytes.
const HELD_BODY: u64 = 65_536;

/// How long a request waits for a first heartbeat of its ticket's home: the
/// longest pause between two heartbeats.
const HOME_WAIT: Duration = IDLE_HEARTBEAT_INTERVAL;

/// How often a waiting request looks whether its ticket's home was heard.
const HOME_POLL: Duration = Duration::from_millis(50);

/// Value of [`header::DISPATCH`] on a request passed on to its ticket's home.
const TO_HOME: &str = "home";

/// Value of [`header::DISPATCH`] on a request passed on to its dispatcher.
pub const TO_QUEUE: &str = "queue";

#[derive(Serialize)]
struct Issued {
    ticket: String,
    good_for_seconds: u64,
}

/// Answers a caller.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() == TICKETS_PATH {
        return issue(&state, request.method());
    }
    let Some(place) = Place::take(&state) else {
        return Refusal::Overloaded.answer();
    };
    let (mut parts, body) = request.into_parts();
    let is_http1 = parts.version < Version::HTTP_2;
    // The HTTP library drops a Content-Length beside chunks, so such a request
    // cannot be told from one without; what follows it is not read.
    let is_last = parts.headers.contains_key(TRANSFER_ENCODING) || state.is_leaving();
    let mut answer = match sanitize(&mut parts) {
        Err(refusal) => refusal.answer(),
        Ok(()) => route(&state, parts, body).await,
    };
    if is_last && is_http1 {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    // The place is given back when the head of the answer is ready.
    drop(place);
    answer
}

/// Answers a request that a peer passed on to this process.
pub async fn handle_forwarded(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let (mut parts, body) = request.into_parts();
    let way = parts.headers.get(header::DISPATCH).cloned();
    let deadline = deadline(&parts);
    if let Err(refusal) = sanitize(&mut parts) {
        return refusal.answer();
    }
    if way.is_none_or(|way| way != TO_QUEUE) {
        return route(&state, parts, body).await;
    }
    match prepare(&state, parts, body).await {
        Err(refusal) => refusal.answer(),
        Ok((mut job, payload)) => {
            job.is_passed_on = true;
            job.end = job.end.min(deadline.unwrap_or(job.end));
            forward::run(&state, job, payload).await
        }
    }
}

/// Reads by when a peer wants the answer.
fn deadline(parts: &Parts) -> Option<Instant> {
    let text = parts.headers.get(header::DEADLINE)?.to_str().ok()?;
    let left = Duration::from_millis(text.parse().ok()?);
    Some(Instant::now() + left)
}

/// A request's part of what may be in flight.
struct Place {
    state: Arc<State>,
}

impl Place {
    fn take(state: &Arc<State>) -> Option<Self> {
        let before = state.in_flight.fetch_add(1, Ordering::AcqRel);
        let place = Self {
            state: Arc::clone(state),
        };
        (before < IN_FLIGHT_MAX).then_some(place)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

fn issue(state: &State, method: &Method) -> Response<Body> {
    if *method != Method::POST {
        return Refusal::BadRequest("tickets are issued on POST").answer();
    }
    let issued = Issued {
        ticket: state.issue(),
        good_for_seconds: ticket::LIFETIME.as_secs(),
    };
    json(StatusCode::CREATED, &issued)
}

/// Checks a request head and removes what must not travel on.
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
    let internal: Vec<HeaderName> = parts
        .headers
        .keys()
        .filter(|name| name.as_str().starts_with(header::PREFIX))
        .cloned()
        .collect();
    for name in internal {
        parts.headers.remove(name);
    }
    Ok(())
}

/// Writes the target as a path and the authority as the Host field.
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
        Err(refusal) => refusal.answer(),
        Ok((job, payload)) if job.class.protected => run_protected(state, job, payload).await,
        Ok((job, payload)) => forward::run(state, job, payload).await,
    }
}

/// Matches a request to a service, a key and a class.
async fn prepare(state: &State, parts: Parts, body: Incoming) -> Result<(Job, Payload), Refusal> {
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
    let end = Instant::now() + Duration::from_millis(class.deadline_ms);
    let exact = body.size_hint().exact();
    let is_small = exact.is_some_and(|length| length <= HELD_BODY);
    let payload = if is_small || class.protected {
        let whole = collect(body, HELD_BODY as usize).await;
        Payload::Whole(whole.ok_or(Refusal::TooLarge)?)
    } else {
        Payload::Stream(body.map_err(Into::into).boxed_unsync())
    };
    let job = Job {
        confirmed: Arc::clone(confirmed),
        class,
        class_index: dispatch::Index(index as u16),
        key,
        parts,
        end,
        is_passed_on: false,
    };
    Ok((job, payload))
}

/// Runs a request at most once under its ticket.
async fn run_protected(state: &Arc<State>, job: Job, payload: Payload) -> Response<Body> {
    let Some(text) = job.parts.headers.get(header::TICKET) else {
        return Refusal::TicketRequired.answer();
    };
    let text = text.to_str().unwrap_or_default();
    let Ok(ticket) = Ticket::verify(text, state.secret.as_bytes()) else {
        return Refusal::TicketForged.answer();
    };
    if ticket.home != *state.me() {
        return pass_home(state, &ticket, job, payload).await;
    }
    let turn = state.deduplicator().begin(&ticket, clock::now());
    match turn {
        Err(ticket::Error::Full) => Refusal::Overloaded.answer(),
        Err(_) => Refusal::TicketExpired.answer(),
        Ok(Disposition::Duplicate(outcome)) => repeat(outcome),
        Ok(Disposition::Run) => run_first(state, ticket.number, job, payload).await,
    }
}

fn repeat(outcome: Outcome) -> Response<Body> {
    match outcome {
        Outcome::Running => Refusal::InProgress.answer(),
        Outcome::Unknown => Refusal::EarlierUnknown.answer(),
        Outcome::Ran(Answer { body: None, .. }) => Refusal::AnswerNotKept.answer(),
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

/// Runs the first request under a ticket to its end, even if the caller leaves.
async fn run_first(state: &Arc<State>, number: u64, job: Job, payload: Payload) -> Response<Body> {
    let (sender, receiver) = async_channel::bounded(1);
    let task_state = Arc::clone(state);
    state.context.detach(async move {
        let response = forward::run(&task_state, job, payload).await;
        let response = record(&task_state, number, response).await;
        let _ = sender.try_send(response);
    });
    let received = receiver.recv().await;
    received.unwrap_or_else(|_| Refusal::Broken.answer())
}

/// Remembers what became of a protected request before its caller is told.
async fn record(state: &State, number: u64, response: Response<Body>) -> Response<Body> {
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
    let Ok(whole) = body.collect().await else {
        let kept = Answer {
            status: parts.status.as_u16(),
            body: None,
        };
        state.deduplicator().end(number, Outcome::Ran(kept));
        return Refusal::AnswerNotKept.answer();
    };
    let bytes = whole.to_bytes();
    let kept = Answer {
        status: parts.status.as_u16(),
        body: (bytes.len() <= MAX_STORED_BODY_BYTES).then(|| bytes.to_vec().into()),
    };
    state.deduplicator().end(number, Outcome::Ran(kept));
    Response::from_parts(parts, full(bytes))
}

/// Passes a protected request on to the process that issued its ticket.
async fn pass_home(
    state: &Arc<State>,
    ticket: &Ticket,
    job: Job,
    payload: Payload,
) -> Response<Body> {
    let Some(address) = find_home(state, &ticket.home, job.left().min(HOME_WAIT)).await else {
        return Refusal::TicketHomeLost.answer();
    };
    let Payload::Whole(bytes) = payload else {
        return Refusal::TooLarge.answer();
    };
    let left = job.left();
    let mut request = Request::from_parts(job.parts, full(bytes));
    let secret = HeaderValue::from_str(&state.secret).expect("the secret was checked when read");
    let headers = request.headers_mut();
    headers.insert(header::SECRET, secret);
    headers.insert(header::DISPATCH, HeaderValue::from_static(TO_HOME));
    let sent = state.forwards.get(address).send(request, left).await;
    match sent {
        Ok(response) => forward::relay(response),
        Err(_) => Refusal::TicketHomeLost.answer(),
    }
}

/// Returns the address of a ticket's home; `None` if its run is over, or if
/// nothing is heard of it for `wait`.
async fn find_home(state: &State, home: &Node, wait: Duration) -> Option<SocketAddr> {
    let end = Instant::now() + wait;
    loop {
        let found = state.view().last_known_address(home);
        match found {
            Ok(address) => return Some(address),
            Err(Error::Terminated) => return None,
            Err(Error::NeverSeen) if Instant::now() >= end => return None,
            Err(Error::NeverSeen) => sleep(HOME_POLL).await,
        }
    }
}
