//! One attempt to run a request at an endpoint.
//!
//! An attempt ends with a response or with what is known about the fate of the
//! request: it did not run, or it may have run. A body that was not sent is
//! returned to the caller of [`run`] for another attempt.

use crate::{
    core::{
        dispatch as queue,
        membership,
        table::Node, //
    },
    daemon::{
        dispatch,
        entry::TO_DISPATCHER,
        forward::{
            Call,
            Payload, //
        },
        gate::{
            self,
            Gate, //
        },
        route::{
            wait_until_endpoint_lost,
            wait_until_moved,
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

/// Time after which a streamed body is sent even if the endpoint has not answered
/// `100 Continue`.
const CONTINUE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Interval at which a forwarded request checks whether its dispatcher is suspected of failure.
const LIVENESS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Result of an attempt.
pub enum Completion {
    /// The endpoint, or the dispatcher that the request was forwarded to, responded.
    Answered(Response<Stream>),
    /// The endpoint does not own the shard; the request did not run.
    NotOwner,
    /// The endpoint accepts no more requests at present; the request did not run.
    Shed,
    /// The request would miss its deadline, or the queue is full; it did not run.
    Overloaded,
    /// The request was not sent.
    NotSent,
    /// The dispatcher could not be reached; the request was not sent.
    DispatcherUnreachable,
    /// The endpoint was declared lost; the request may have run there.
    EndpointLost,
    /// No response arrived; the request may have run.
    Failed(Error),
}

/// Makes one attempt to run a request at its target.
///
/// Sends `body`. If the body can be sent again, `retained` holds a copy of it. Otherwise
/// `retained` is `None`, and is set to the body if none of it was sent.
pub async fn run(
    state: &State,
    call: &Call,
    target: &Target,
    body: Body,
    retained: &mut Option<Payload>,
) -> Completion {
    let dispatch = state.settings.dispatch;
    if !dispatch.is_queued() {
        let Some(address) = pick_endpoint(state, target) else {
            retained.get_or_insert(Payload::Stream(body));
            return Completion::NotSent;
        };
        return send(state, call, target, address, body, retained).await;
    }
    if !call.is_forwarded && target.dispatcher != *state.me() {
        return forward_to_dispatcher(state, call, target, body, retained).await;
    }
    let acquired = future::or(
        async { Some(acquire_slot(state, call, target).await) },
        async {
            wait_until_moved(state, call, target).await;
            None
        },
    );
    let mut slot = match acquired.await {
        Some(Ok(slot)) => slot,
        Some(Err(queue::Refusal::Overloaded)) => return Completion::Overloaded,
        None => {
            retained.get_or_insert(Payload::Stream(body));
            return Completion::NotSent;
        }
    };
    let completion = send(state, call, target, slot.address, body, retained).await;
    match &completion {
        Completion::Answered(_) => slot.set_ran(),
        Completion::NotSent | Completion::Shed | Completion::Failed(Error::Broken) => {
            slot.mark_unreachable()
        }
        _ => {}
    }
    completion
}

/// Picks an endpoint without a queue, using only the requests of this process: a
/// random one, or the less loaded of two random ones.
fn pick_endpoint(state: &State, target: &Target) -> Option<SocketAddr> {
    let mut rng = rand::rng();
    let first = *target.addresses.choose(&mut rng)?;
    if state.settings.dispatch == Dispatch::Random {
        return Some(first);
    }
    let second = *target.addresses.choose(&mut rng)?;
    let busy = |address| state.endpoints.get(address).in_use();
    Some(if busy(second) < busy(first) {
        second
    } else {
        first
    })
}

/// Queues the request at this process until an endpoint has a free slot.
async fn acquire_slot(
    state: &State,
    call: &Call,
    target: &Target,
) -> Result<dispatch::Slot, queue::Refusal> {
    let intent = &call.confirmed.intent;
    let endpoint = target.owner.map(|owner| owner.endpoint);
    let name = dispatch::Name::new(&intent.service, endpoint);
    let request = queue::Request {
        class: call.class_index,
        rank: call.class.rank,
        deadline: clock::now().after(call.remaining()),
    };
    dispatch::acquire(
        state,
        &name,
        &target.addresses,
        intent.slots as usize,
        request,
    )
    .await
}

/// Forwards a request to the process that dispatches for its endpoint.
async fn forward_to_dispatcher(
    state: &State,
    call: &Call,
    target: &Target,
    body: Body,
    retained: &mut Option<Payload>,
) -> Completion {
    let address = state.view().address(&target.dispatcher);
    let Some(address) = address else {
        retained.get_or_insert(Payload::Stream(body));
        return Completion::DispatcherUnreachable;
    };
    let mut request = build_request(call, target, body);
    let secret =
        HeaderValue::from_str(&state.secret).expect("the secret was validated when it was read");
    let headers = request.headers_mut();
    headers.insert(header::SECRET, secret);
    headers.insert(header::DISPATCH, HeaderValue::from_static(TO_DISPATCHER));
    let can_repeat = call.class.repeatable && retained.is_some();
    let sent = async {
        let result = state
            .forwards
            .get(address)
            .send(request, call.remaining())
            .await;
        Some(result)
    };
    let suspected = async {
        if !can_repeat {
            future::pending::<()>().await;
        }
        wait_until_suspected(state, &target.dispatcher).await;
        None
    };
    match future::or(sent, suspected).await {
        None => Completion::Failed(Error::Broken),
        Some(Ok(response)) => Completion::Answered(response),
        Some(Err(rejected)) => match rejected.unsent {
            None => Completion::Failed(rejected.error),
            Some(unsent) => {
                retained.get_or_insert_with(|| Payload::Stream(unsent.into_body()));
                Completion::DispatcherUnreachable
            }
        },
    }
}

/// Waits until a process is suspected of failure.
async fn wait_until_suspected(state: &State, node: &Node) {
    while state.view().state(node, clock::now()) != membership::Liveness::Silent {
        sleep(LIVENESS_POLL_INTERVAL).await;
    }
}

/// Sends the request to an endpoint.
///
/// While it waits for a connection, the request is withdrawn as soon as the table
/// moves its shard. Once sent, it is abandoned only if its endpoint was declared
/// lost and either it may be repeated or none of its body was sent.
async fn send(
    state: &State,
    call: &Call,
    target: &Target,
    address: SocketAddr,
    body: Body,
    retained: &mut Option<Payload>,
) -> Completion {
    let pool = state.endpoints.get(address);
    let reserved = future::or(pool.reserve(call.remaining()), async {
        wait_until_moved(state, call, target).await;
        None
    });
    let Some(permit) = reserved.await else {
        retained.get_or_insert(Payload::Stream(body));
        return Completion::NotSent;
    };
    let can_repeat = call.class.repeatable && retained.is_some();
    let (gate, request) = if retained.is_some() {
        (None, build_request(call, target, body))
    } else {
        let (gate, body) = gate::close(body);
        (
            Some(gate.clone()),
            set_expect_continue(build_request(call, target, body), gate),
        )
    };
    let sent = async { Some(pool.send_with(permit, request, call.remaining()).await) };
    let sent = future::or(sent, open_after_timeout(gate.as_ref()));
    let lost = async {
        wait_until_endpoint_lost(state, call, target).await;
        // A request cannot have run if none of its body was sent.
        let is_unsent = gate.as_ref().is_some_and(Gate::is_unsent);
        if !can_repeat && !is_unsent {
            future::pending::<()>().await;
        }
        None
    };
    match future::or(sent, lost).await {
        None => match gate.and_then(|gate| gate.reclaim()) {
            Some(reclaimed) => {
                *retained = Some(Payload::Stream(reclaimed));
                Completion::NotSent
            }
            None => Completion::EndpointLost,
        },
        Some(Ok(response)) if is_not_run(&response) => {
            if let Some(reclaimed) = gate.and_then(|gate| gate.reclaim()) {
                *retained = Some(Payload::Stream(reclaimed));
            }
            if response.status() == StatusCode::MISDIRECTED_REQUEST {
                Completion::NotOwner
            } else {
                Completion::Shed
            }
        }
        Some(Ok(response)) => Completion::Answered(response),
        Some(Err(rejected)) => match rejected.unsent {
            None => Completion::Failed(rejected.error),
            Some(_) => {
                if let Some(reclaimed) = gate.and_then(|gate| gate.reclaim()) {
                    *retained = Some(Payload::Stream(reclaimed));
                }
                Completion::NotSent
            }
        },
    }
}

/// Sets `Expect: 100-continue` and opens the gate when the endpoint answers `100 Continue`.
fn set_expect_continue(mut request: Request<Body>, gate: Gate) -> Request<Body> {
    let value = HeaderValue::from_static("100-continue");
    request.headers_mut().insert(EXPECT, value);
    hyper::ext::on_informational(&mut request, move |response| {
        if response.status() == StatusCode::CONTINUE {
            gate.open();
        }
    });
    request
}

/// Opens the gate if the endpoint has not answered in time; never returns.
async fn open_after_timeout<T>(gate: Option<&Gate>) -> T {
    if let Some(gate) = gate {
        sleep(CONTINUE_TIMEOUT).await;
        gate.open();
    }
    future::pending().await
}

/// Builds the request to send, with the header fields that the system sets.
fn build_request(call: &Call, target: &Target, body: Body) -> Request<Body> {
    let mut request = Request::new(body);
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    let headers = request.headers_mut();
    *headers = call.parts.headers.clone();
    let mut set = |name: &'static str, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    if let Some(owner) = target.owner {
        set(header::FENCE, &owner.fence.to_string());
        set(header::SHARD, &owner.shard.0.to_string());
    }
    let remaining = call.remaining();
    set(header::DEADLINE, &remaining.as_millis().to_string());
    set(header::CLASS, &call.class.name);
    request
}

/// Returns whether the endpoint states that it did not run the request.
fn is_not_run(response: &Response<Stream>) -> bool {
    let outcome = response.headers().get(header::OUTCOME);
    outcome.is_some_and(|outcome| outcome.as_bytes() == header::NOT_RUN.as_bytes())
}
