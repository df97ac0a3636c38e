//! Forwarding a request to the endpoint that is to run it.
//!
//! A request is sent again only if it certainly did not run, or if its class
//! says that it may be repeated. While a shard moves, its requests wait here
//! for the next table instead of failing. Refusals of an endpoint that takes
//! no more are tried again only as far as the service's retry budget goes.

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
            Try, //
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

/// Longest wait for a newer table before the held one is tried again.
const TABLE_WAIT: Duration = Duration::from_millis(10);

/// A request's body.
pub enum Payload {
    /// Held whole, so that it can be sent again.
    Whole(Bytes),
    /// Passed on as it comes, once.
    Stream(Body),
}

/// A request that is to be forwarded, but for its body.
pub struct Job {
    /// Service.
    pub confirmed: Arc<Record>,
    /// Class.
    pub class: Class,
    /// Place of the class in the intent.
    pub class_index: queue::Index,
    /// Key; empty for a service without keys.
    pub key: Box<str>,
    /// Head.
    pub parts: Parts,
    /// When the answer must have begun.
    pub end: Instant,
    /// Whether a peer passed it on to this process as its dispatcher.
    pub is_passed_on: bool,
}

impl Job {
    /// Returns the time left.
    pub fn left(&self) -> Duration {
        self.end.saturating_duration_since(Instant::now())
    }
}

/// Forwards a request until it ran, may have run, or its time is over.
pub async fn run(state: &Arc<State>, job: Job, payload: Payload) -> Response<Body> {
    let service = &job.confirmed.intent.service;
    state.budget(service, |budget| budget.deposit());
    let mut body = Some(payload);
    let mut not_run = Refusal::NoEndpoint;
    let mut may_have_run = None;
    let mut avoid = None;
    loop {
        let changed = state.tables.listen();
        if let Some(target) = route::choose(state, &job, avoid.as_ref()) {
            let Some(payload) = body.take() else {
                return may_have_run.unwrap_or(not_run).answer();
            };
            let (content, kept) = open(payload);
            body = kept;
            match attempt::run(state, &job, &target, content, &mut body).await {
                Try::Answered(response) => return relay(response),
                Try::Overloaded => return may_have_run.unwrap_or(Refusal::Overloaded).answer(),
                Try::Silent => avoid = Some(target.dispatcher),
                Try::NotOwner => not_run = Refusal::EndpointRefused,
                Try::Shed => {
                    not_run = Refusal::EndpointRefused;
                    if !state.budget(service, |budget| budget.try_withdraw()) {
                        return may_have_run.unwrap_or(not_run).answer();
                    }
                }
                Try::Unsent => {}
                Try::Moved => may_have_run = Some(Refusal::Broken),
                Try::Lost(failure) => {
                    let again = job.class.repeatable && body.is_some();
                    if !again || !state.budget(service, |budget| budget.try_withdraw()) {
                        return lost(&failure).answer();
                    }
                    may_have_run = Some(lost(&failure));
                }
            }
        }
        let left = job.left();
        if left.is_zero() {
            return may_have_run.unwrap_or(not_run).answer();
        }
        timeout(left.min(TABLE_WAIT), changed).await;
    }
}

fn lost(failure: &Error) -> Refusal {
    match failure {
        Error::Late => Refusal::Late,
        _ => Refusal::Broken,
    }
}

/// Makes the body to send, and what is kept for another try.
fn open(payload: Payload) -> (Body, Option<Payload>) {
    match payload {
        Payload::Whole(bytes) => (full(bytes.clone()), Some(Payload::Whole(bytes))),
        Payload::Stream(stream) => (stream, None),
    }
}

/// Passes an endpoint's or a peer's answer on to the caller.
pub fn relay(response: Response<Stream>) -> Response<Body> {
    let mut response = response.map(|body| body.boxed_unsync());
    let headers = response.headers_mut();
    remove_hop_by_hop_fields(headers);
    if !headers.contains_key(header::OUTCOME) {
        headers.insert(header::OUTCOME, HeaderValue::from_static(header::RAN));
    }
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Refusal::Broken.answer();
    }
    response
}
