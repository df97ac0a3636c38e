//! One try to have a request run.
//!
//! The try ends with an answer, or with what is certain about the request: that
//! it did not run, or that it may have. A body that was not sent is given back.

use crate::{
    core::{
        dispatch as queue,
        membership,
        table::Node, //
    },
    daemon::{
        dispatch,
        entry::TO_QUEUE,
        forward::{
            Job,
            Payload, //
        },
        gate::{
            self,
            Gate, //
        },
        route::{
            lost_endpoint,
            moved,
            Target, //
        },
        state::State,
    },
    edge::header,
    kernel::{
        clock,
        http::Body,
        pool::{
            Error,
            Stream, //
        },
        runtime::sleep,
        settings::Dispatch, //
    },
};
use futures_lite::future;
use hyper::{
    header::{
        HeaderName,
        HeaderValue,
        EXPECT, //
    },
    Request,
    Response,
    StatusCode,
    Version, //
};
use rand::seq::IndexedRandom;
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// How long an endpoint may take to say that it wants a streamed body.
const CONTINUE_WAIT: Duration = Duration::from_millis(1000);

/// How often a waiting request looks whether its dispatcher is still heard.
const SILENCE_POLL: Duration = Duration::from_millis(50);

/// What came of one try.
pub enum Try {
    /// An answer came.
    Answered(Response<Stream>),
    /// The endpoint does not hold the shard; the request did not run.
    NotOwner,
    /// The endpoint takes no more for now; the request did not run.
    Shed,
    /// It could not be done by its deadline; the request did not run.
    Overloaded,
    /// The request was not sent.
    Unsent,
    /// The dispatcher could not be reached; the request was not sent.
    Silent,
    /// The endpoint was declared lost; the request may have run there.
    Moved,
    /// No answer came; the request may have run.
    Lost(Error),
}

/// Tries once to have the request run at its target.
pub async fn run(
    state: &State,
    job: &Job,
    target: &Target,
    content: Body,
    body: &mut Option<Payload>,
) -> Try {
    let dispatch = state.settings.dispatch;
    if !dispatch.is_queued() {
        let Some(server) = pick(state, target) else {
            body.get_or_insert(Payload::Stream(content));
            return Try::Unsent;
        };
        return send(state, job, target, server, content, body).await;
    }
    if !job.is_passed_on && target.dispatcher != *state.me() {
        return pass_on(state, job, target, content, body).await;
    }
    let entered = future::or(async { Some(enter(state, job, target).await) }, async {
        moved(state, job, target).await;
        None
    });
    let mut slot = match entered.await {
        Some(Ok(slot)) => slot,
        Some(Err(queue::Refusal::Overloaded)) => return Try::Overloaded,
        None => {
            body.get_or_insert(Payload::Stream(content));
            return Try::Unsent;
        }
    };
    let tried = send(state, job, target, slot.server, content, body).await;
    match &tried {
        Try::Answered(_) => slot.ran(),
        Try::Unsent | Try::Shed | Try::Lost(Error::Broken) => slot.set_down(),
        _ => {}
    }
    tried
}

/// Picks an endpoint as an entry does that knows only its own requests.
fn pick(state: &State, target: &Target) -> Option<SocketAddr> {
    let mut rng = rand::rng();
    let first = *target.servers.choose(&mut rng)?;
    if state.settings.dispatch == Dispatch::Random {
        return Some(first);
    }
    let second = *target.servers.choose(&mut rng)?;
    let busy = |address| state.endpoints.get(address).in_use();
    Some(if busy(second) < busy(first) {
        second
    } else {
        first
    })
}

async fn enter(
    state: &State,
    job: &Job,
    target: &Target,
) -> Result<dispatch::Slot, queue::Refusal> {
    let intent = &job.confirmed.intent;
    let endpoint = target.owner.map(|owner| owner.endpoint);
    let name = dispatch::Name::new(&intent.service, endpoint);
    let arrival = queue::Request {
        class: job.class_index,
        rank: job.class.rank,
        deadline: clock::now().after(job.left()),
    };
    dispatch::enter(
        state,
        &name,
        &target.servers,
        intent.slots as usize,
        arrival,
    )
    .await
}

/// Passes the request on to the process that dispatches for its endpoint.
async fn pass_on(
    state: &State,
    job: &Job,
    target: &Target,
    content: Body,
    body: &mut Option<Payload>,
) -> Try {
    let address = state.view().address(&target.dispatcher);
    let Some(address) = address else {
        body.get_or_insert(Payload::Stream(content));
        return Try::Silent;
    };
    let mut request = address_to(job, target, content);
    let secret = HeaderValue::from_str(&state.secret).expect("the secret was checked when read");
    let headers = request.headers_mut();
    headers.insert(header::SECRET, secret);
    headers.insert(header::DISPATCH, HeaderValue::from_static(TO_QUEUE));
    let can_repeat = job.class.repeatable && body.is_some();
    let sent = async {
        let result = state.forwards.get(address).send(request, job.left()).await;
        Some(result)
    };
    let silent = async {
        if !can_repeat {
            future::pending::<()>().await;
        }
        silence(state, &target.dispatcher).await;
        None
    };
    match future::or(sent, silent).await {
        None => Try::Lost(Error::Broken),
        Some(Ok(response)) => Try::Answered(response),
        Some(Err(rejected)) => match rejected.unsent {
            None => Try::Lost(rejected.error),
            Some(unsent) => {
                body.get_or_insert_with(|| Payload::Stream(unsent.into_body()));
                Try::Silent
            }
        },
    }
}

/// Waits until a process has been silent for too long.
async fn silence(state: &State, node: &Node) {
    while state.view().state(node, clock::now()) != membership::Liveness::Silent {
        sleep(SILENCE_POLL).await;
    }
}

/// Sends the request to an endpoint.
///
/// While it waits for a connection the request is free to go elsewhere as
/// soon as the table says so. Once it is sent, it is given up only if it may
/// be repeated and its endpoint was declared lost.
async fn send(
    state: &State,
    job: &Job,
    target: &Target,
    server: SocketAddr,
    content: Body,
    body: &mut Option<Payload>,
) -> Try {
    let pool = state.endpoints.get(server);
    let reserved = future::or(pool.reserve(job.left()), async {
        moved(state, job, target).await;
        None
    });
    let Some(permit) = reserved.await else {
        body.get_or_insert(Payload::Stream(content));
        return Try::Unsent;
    };
    let can_repeat = job.class.repeatable && body.is_some();
    let (gate, request) = if body.is_some() {
        (None, address_to(job, target, content))
    } else {
        let (gate, content) = gate::close(content);
        (
            Some(gate.clone()),
            expect(address_to(job, target, content), gate),
        )
    };
    let sent = async { Some(pool.send_with(permit, request, job.left()).await) };
    let sent = future::or(sent, open_late(gate.as_ref()));
    let lost = async {
        lost_endpoint(state, job, target).await;
        // A request whose body was not begun cannot have run.
        let is_untouched = gate.as_ref().is_some_and(Gate::is_untouched);
        if !can_repeat && !is_untouched {
            future::pending::<()>().await;
        }
        None
    };
    match future::or(sent, lost).await {
        None => match gate.and_then(|gate| gate.take_back()) {
            Some(untouched) => {
                *body = Some(Payload::Stream(untouched));
                Try::Unsent
            }
            None => Try::Moved,
        },
        Some(Ok(response)) if is_not_run(&response) => {
            if let Some(untouched) = gate.and_then(|gate| gate.take_back()) {
                *body = Some(Payload::Stream(untouched));
            }
            if response.status() == StatusCode::MISDIRECTED_REQUEST {
                Try::NotOwner
            } else {
                Try::Shed
            }
        }
        Some(Ok(response)) => Try::Answered(response),
        Some(Err(rejected)) => match rejected.unsent {
            None => Try::Lost(rejected.error),
            Some(_) => {
                if let Some(untouched) = gate.and_then(|gate| gate.take_back()) {
                    *body = Some(Payload::Stream(untouched));
                }
                Try::Unsent
            }
        },
    }
}

/// Asks the endpoint to say whether it wants the body.
fn expect(mut request: Request<Body>, gate: Gate) -> Request<Body> {
    let value = HeaderValue::from_static("100-continue");
    request.headers_mut().insert(EXPECT, value);
    hyper::ext::on_informational(&mut request, move |response| {
        if response.status() == StatusCode::CONTINUE {
            gate.open();
        }
    });
    request
}

/// Sends the body to an endpoint that says nothing; never ends.
async fn open_late<T>(gate: Option<&Gate>) -> T {
    if let Some(gate) = gate {
        sleep(CONTINUE_WAIT).await;
        gate.open();
    }
    future::pending().await
}

/// Writes the request as the endpoint is to get it.
fn address_to(job: &Job, target: &Target, content: Body) -> Request<Body> {
    let mut request = Request::new(content);
    *request.method_mut() = job.parts.method.clone();
    *request.uri_mut() = job.parts.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    let headers = request.headers_mut();
    *headers = job.parts.headers.clone();
    let mut set = |name: &'static str, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    if let Some(owner) = target.owner {
        set(header::FENCE, &owner.fence.to_string());
        set(header::SHARD, &owner.shard.0.to_string());
    }
    let left = job.left();
    set(header::DEADLINE, &left.as_millis().to_string());
    set(header::CLASS, &job.class.name);
    request
}

fn is_not_run(response: &Response<Stream>) -> bool {
    let outcome = response.headers().get(header::OUTCOME);
    outcome.is_some_and(|outcome| outcome.as_bytes() == header::NOT_RUN.as_bytes())
}
