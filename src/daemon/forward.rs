//! Forwards a request to an endpoint that may run it.
//!
//! A request is sent again only if it certainly did not run, or if its class is
//! repeatable. While a shard moves, its requests wait here for the next table
//! instead of failing. A request that was refused because the endpoint accepts no
//! more requests, or that may have run, is retried only within the retry budget
//! of the service.

use crate::{
    core::{
        dispatch as queue,
        intent::{
            Class,
            Record, //
        },
    },
    daemon::{
        attempt::{
            self,
            Completion, //
        },
        refusal::Refusal,
        route,
        state::State, //
    },
    edge::header,
    kernel::{
        http::{
            full,
            remove_hop_by_hop_fields,
            Body, //
        },
        pool::{
            Error,
            Stream, //
        },
        runtime::timeout,
    },
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    header::HeaderValue,
    http::request::Parts,
    Response,
    StatusCode, //
};
use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

/// Maximum wait for a newer table before the request is retried with the current one.
const MAX_TABLE_WAIT: Duration = Duration::from_millis(10);

/// Request body.
pub enum Payload {
    /// The complete body; the request can be sent again.
    Whole(Bytes),
    /// A body that is not buffered; it can be sent only once.
    Stream(Body),
}

/// A request to forward, without its body.
pub struct Call {
    /// Confirmed intent of the service.
    pub confirmed: Arc<Record>,
    /// Class of the request.
    pub class: Class,
    /// Index of the class in the intent.
    pub class_index: queue::Index,
    /// Key of the request; empty for a service without keys.
    pub key: Box<str>,
    /// Head of the request.
    pub parts: Parts,
    /// Time by which the response must have begun.
    pub deadline: Instant,
    /// Whether a peer forwarded it to this process as its dispatcher.
    pub is_forwarded: bool,
}

impl Call {
    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Makes attempts until one has a final result or the deadline passes.
pub async fn run(state: &Arc<State>, call: Call, payload: Payload) -> Response<Body> {
    let service = &call.confirmed.intent.service;
    state.budget(service, |budget| budget.deposit());
    let mut body = Some(payload);
    let mut not_run = Refusal::NoEndpoint;
    let mut may_have_run = None;
    let mut avoid = None;
    loop {
        let changed = state.tables.listen();
        if let Some(target) = route::choose(state, &call, avoid.as_ref()) {
            let Some(payload) = body.take() else {
                return may_have_run.unwrap_or(not_run).into_response();
            };
            let (to_send, retained) = split(payload);
            body = retained;
            match attempt::run(state, &call, &target, to_send, &mut body).await {
                Completion::Answered(response) => return relay(response),
                Completion::Overloaded => {
                    return may_have_run.unwrap_or(Refusal::Overloaded).into_response()
                }
                Completion::DispatcherUnreachable => avoid = Some(target.dispatcher),
                Completion::NotOwner => not_run = Refusal::EndpointRefused,
                Completion::Shed => {
                    not_run = Refusal::EndpointRefused;
                    if !state.budget(service, |budget| budget.try_withdraw()) {
                        return may_have_run.unwrap_or(not_run).into_response();
                    }
                }
                Completion::NotSent => {}
                Completion::EndpointLost => may_have_run = Some(Refusal::Broken),
                Completion::Failed(error) => {
                    let can_repeat = call.class.repeatable && body.is_some();
                    if !can_repeat || !state.budget(service, |budget| budget.try_withdraw()) {
                        return refusal_for(&error).into_response();
                    }
                    may_have_run = Some(refusal_for(&error));
                }
            }
        }
        let remaining = call.remaining();
        if remaining.is_zero() {
            return may_have_run.unwrap_or(not_run).into_response();
        }
        timeout(remaining.min(MAX_TABLE_WAIT), changed).await;
    }
}

/// Returns the refusal for a request that may have run.
fn refusal_for(error: &Error) -> Refusal {
    match error {
        Error::Late => Refusal::Late,
        _ => Refusal::Broken,
    }
}

/// Returns the body to send, and a copy for another attempt if it can be sent again.
fn split(payload: Payload) -> (Body, Option<Payload>) {
    match payload {
        Payload::Whole(bytes) => (full(bytes.clone()), Some(Payload::Whole(bytes))),
        Payload::Stream(stream) => (stream, None),
    }
}

/// Converts the response of an endpoint or a peer into the response to the caller.
pub fn relay(response: Response<Stream>) -> Response<Body> {
    let mut response = response.map(|body| body.boxed_unsync());
    let headers = response.headers_mut();
    remove_hop_by_hop_fields(headers);
    if !headers.contains_key(header::OUTCOME) {
        headers.insert(header::OUTCOME, HeaderValue::from_static(header::RAN));
    }
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Refusal::Broken.into_response();
    }
    response
}
