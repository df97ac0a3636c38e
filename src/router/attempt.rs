//! One attempt to run a request at an endpoint.
//!
//! An attempt ends with the endpoint's response or with what is known about the
//! fate of the request. A response is accepted only if it carries the request's
//! identity. A successful response also needs the endpoint's signature and a
//! complete body. A connection that delivered anything else is not reused.

use crate::{
    core::{
        manifest::Idempotency,
        memory_budget::Purpose,
        permit::{
            reported_load,
            Outcome, //
        },
        rate_limit::{
            self,
            Report, //
        },
        registry::Endpoint, //
    },
    edge::fields::Fields,
    kernel::{
        clock,
        http::{
            remove_hop_by_hop_fields,
            Body, //
        },
        memory::Account,
        pool::{
            self,
            Config,
            Error,
            Reuse,
            Terms, //
        },
    },
    router::{
        forwarded_body,
        held_body,
        state::State, //
    },
};
use bytes::Bytes;
use hyper::{
    header::{
        HeaderMap,
        HeaderValue,
        CONTENT_ENCODING, //
    },
    http::request::Parts,
    Request,
    Response,
    StatusCode,
    Version, //
};
use std::{
    ops::RangeInclusive,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};
use xxhash_rust::xxh3::xxh3_64;

/// Settings of the connection pools to endpoints, which close idle connections after about
/// ten seconds.
pub const POOL_CONFIG: Config = Config {
    max_connections: 512,
    idle_timeout: Duration::from_millis(7_500),
    ack_timeout: Some(Duration::from_millis(700)),
    connect_timeout: Duration::from_millis(300),
    // As much as a link of 200 Mbit/s carries in a round trip of 1.3 ms; otherwise the buffers of
    // responses that are not read grow up to some megabytes each.
    receive_buffer: Some(32 * 1024),
};

/// Longest idle time after which a connection is reused for a request that must not run twice.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(6_000);

/// Like [`MAX_IDLE_NON_IDEMPOTENT`], while endpoints of the service are dropping idle
/// connections.
const MAX_IDLE_UNRELIABLE: Duration = Duration::from_millis(150);

/// How long idle connections of a service are regarded as unreliable after one of them failed.
pub const UNRELIABLE_PERIOD: Duration = Duration::from_secs(10);

/// Statuses that promise callers that their requests did not run.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Statuses that a final response may have. The HTTP library also accepts 101 and all up to 999.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Responses up to this length are buffered completely before they are forwarded.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;

/// Reason for not sending a request to an endpoint in an evacuated zone.
const EVACUATED: &str = "evacuated";

/// Bytes that are held beside its beginning for a response that is forwarded while it is received:
/// the receive buffer of its connection (64 KiB, as the system doubles the size that is set), a read
/// buffer, a part in the channel and one that waits for the channel (16 KiB each), and what the HTTP
/// library takes ahead of the caller (at most 16 parts, which together pin that many read buffers).
const FORWARDING_BYTES: usize = 384 * 1024;

/// Reason for not sending a request to a cold endpoint after a long wait for a connection.
const COLD: &str = "cold";

/// Longest time from a permit to the sending of its request to a cold endpoint. With the time that
/// a datagram and the opening of a connection take, requests are in transit for up to 0.5 s.
const MAX_COLD_PERMIT_AGE: Duration = Duration::from_millis(150);

/// Request body.
pub enum Payload {
    /// The complete body; the request can be sent again.
    Whole(Bytes),
    /// A body too long to be buffered; the request can be sent only once.
    Stream(Body),
}

/// Result of an attempt.
pub enum Completion {
    /// The endpoint responded.
    Answered(Response<Body>),
    /// The endpoint refused the request without running it.
    Shed,
    /// The endpoint does not hold the key, or is not the one that the request was sent to.
    NotHolder,
    /// The request was not sent; holds the reason and the body.
    NotSent(&'static str, Payload),
    /// The endpoint may have run the request, but no complete and valid response arrived.
    Broken(&'static str),
    /// The request was sent, after which the connection stopped responding.
    Silent,
    /// The deadline passed.
    Late,
}

impl Completion {
    /// Returns the outcome to report to the dispatcher.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Answered(response) if response.status().is_server_error() => Outcome::Failed,
            Self::Answered(_) => Outcome::Answered,
            Self::Shed => Outcome::Shed,
            Self::NotHolder => Outcome::NotHolder,
            Self::NotSent(reason, _) if [EVACUATED, COLD].contains(reason) => Outcome::Dropped,
            Self::NotSent(..) => Outcome::Unreachable,
            Self::Broken(_) => Outcome::Failed,
            Self::Silent => Outcome::Silent,
            Self::Late => Outcome::Late,
        }
    }

    /// Returns whether the endpoint responded with anything but a server error.
    pub fn is_success(&self) -> bool {
        matches!(self, Self::Answered(response) if !response.status().is_server_error())
    }
}

/// A request to send to an endpoint.
pub struct Call<'a> {
    /// Head of the caller's request.
    pub parts: &'a Parts,
    /// Identity of the request, which the response has to repeat.
    pub id: &'a HeaderValue,
    /// Whether the request may run more than once.
    pub repeat: Idempotency,
    /// Service that the endpoint belongs to.
    pub service: &'a str,
    /// Deadline of the response.
    pub deadline: Instant,
}

/// Sends a request to an endpoint.
pub async fn send(
    state: &Arc<State>,
    call: &Call<'_>,
    endpoint: &Endpoint,
    payload: Payload,
) -> Completion {
    let buffered = match &payload {
        Payload::Whole(bytes) => Some(bytes.clone()),
        Payload::Stream(_) => None,
    };
    let Some(headers) = build_headers(state, call, endpoint) else {
        return Completion::NotSent("identity", payload);
    };
    let request = build_request(call, headers, payload);
    let began = Instant::now();
    let pool = state.endpoints.get(endpoint.address);
    let Some(permit) = pool.reserve(remaining(call.deadline)).await else {
        let payload = buffered.map_or_else(|| Payload::Stream(request.into_body()), Payload::Whole);
        return Completion::NotSent("connections", payload);
    };
    // The wait for a connection may have been long.
    let is_evacuated = state
        .view()
        .evacuations
        .is_closed(&endpoint.zone, clock::now());
    let is_overdue = began.elapsed() > MAX_COLD_PERMIT_AGE && state.is_cold(endpoint);
    if is_evacuated || is_overdue {
        let payload = buffered.map_or_else(|| Payload::Stream(request.into_body()), Payload::Whole);
        let reason = if is_evacuated { EVACUATED } else { COLD };
        return Completion::NotSent(reason, payload);
    }
    let has_unreliable_connections = state.has_unreliable_connections(call.service);
    let max_idle = match (call.repeat.allows_repeat(), has_unreliable_connections) {
        (true, _) => Duration::MAX,
        (false, false) => MAX_IDLE_NON_IDEMPOTENT,
        (false, true) => MAX_IDLE_UNRELIABLE,
    };
    let (fields, id) = (&state.fields, call.id);
    let terms = Terms {
        identity: xxh3_64(id.as_bytes()),
        span: remaining(call.deadline),
        max_idle_time: max_idle,
        check: &|response| match (
            is_matching(fields, id, response),
            is_rejection(fields, response),
        ) {
            (true, false) => Reuse::Any,
            (true, true) => Reuse::Others,
            (false, _) => Reuse::Never,
        },
    };
    let result = pool.exchange(permit, request, &terms).await;
    let response = match result {
        Ok(response) => response,
        Err(rejected) => {
            if rejected.is_reused && matches!(rejected.error, Error::Broken) {
                state.mark_connections_unreliable(call.service);
            }
            let is_lost = match rejected.error {
                Error::Refused | Error::Unreachable | Error::Silent => true,
                Error::Exhausted | Error::Broken | Error::Late => false,
            };
            if is_lost {
                state.on_endpoint_unreachable(endpoint);
            }
            let reason = failure_name(&rejected.error);
            return match (rejected.unsent, rejected.error) {
                (Some(request), _) => {
                    let payload = buffered
                        .map_or_else(|| Payload::Stream(request.into_body()), Payload::Whole);
                    Completion::NotSent(reason, payload)
                }
                (None, Error::Late) => Completion::Late,
                (None, Error::Silent) => Completion::Silent,
                (None, _) => Completion::Broken(reason),
            };
        }
    };
    validate(state, call, endpoint, response).await
}

/// Returns whether a response names the request.
fn is_matching<B>(fields: &Fields, id: &HeaderValue, response: &Response<B>) -> bool {
    response.headers().get(&fields.request_id) == Some(id)
}

/// Returns whether a response says that the endpoint did not run the request.
fn is_rejection<B>(fields: &Fields, response: &Response<B>) -> bool {
    response.status() == StatusCode::MISDIRECTED_REQUEST
        || response.headers().contains_key(&fields.not_run)
}

async fn validate(
    state: &Arc<State>,
    call: &Call<'_>,
    endpoint: &Endpoint,
    response: Response<pool::Stream>,
) -> Completion {
    let fields = &state.fields;
    let headers = response.headers();
    let status = response.status();
    let is_matching = is_matching(fields, call.id, &response);
    let is_rejection = is_rejection(fields, &response);
    // An endpoint may repeat an earlier response of the same connection, but there is none before
    // the first one.
    let is_anonymous = !headers.contains_key(&fields.request_id);
    let is_first_rejection = is_rejection && is_anonymous && !response.body().is_reused();
    if !is_matching && !is_first_rejection {
        // This is the response to another request; whether this one ran is unknown.
        state.mark_connections_unreliable(call.service);
        return Completion::Broken("foreign_answer");
    }
    if is_matching {
        record_rate_limit(state, endpoint, &response);
        record_load(state, endpoint, &response);
        record_cold(state, endpoint, &response);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Completion::NotHolder;
    }
    if is_rejection {
        return Completion::Shed;
    }
    if NOT_RUN_STATUSES.contains(&status) {
        // To the caller the status would promise that the request did not run.
        return Completion::Broken("unproven_rejection");
    }
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Completion::Broken("invalid_status");
    }
    let is_signed = headers.contains_key(&fields.signature);
    if headers.contains_key(CONTENT_ENCODING) || (status.is_success() && !is_signed) {
        return Completion::Broken("not_its_answer");
    }
    read_body(state, call, endpoint, response).await
}

/// Records the rate limit that an endpoint names in its response, or that it names none.
fn record_rate_limit(state: &State, endpoint: &Endpoint, response: &Response<pool::Stream>) {
    let status = response.status();
    let limit = response.headers().get(&state.fields.rate_limit);
    if status == StatusCode::MISDIRECTED_REQUEST || limit.is_none() && !status.is_success() {
        // Another endpoint may have sent the first; others may not come from the usual code.
        return;
    }
    let text = limit.map(|limit| limit.to_str().unwrap_or_default());
    let per_1000_s = text.map(rate_limit::parse);
    if per_1000_s == Some(None) {
        log::warn!("event=rate_limit_unreadable endpoint={}", endpoint.id);
        return;
    }
    let report = Report {
        per_1000_s: per_1000_s.flatten(),
        age_us: 0,
    };
    if report.per_1000_s.is_some() {
        metrics::counter!(
            "rhubarbpick_rate_limited_answers_total",
            "service" => endpoint.service.to_string()
        )
        .increment(1);
    }
    state.merge_rate_limit(&endpoint.id, report);
}

/// Records the load that an endpoint reports in its response, if it does.
fn record_load(state: &State, endpoint: &Endpoint, response: &Response<pool::Stream>) {
    let Some(load) = response.headers().get(&state.fields.load) else {
        return;
    };
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        // Another endpoint may have sent it.
        return;
    }
    let text = load.to_str().unwrap_or_default();
    let report = reported_load::parse(text);
    let outcome = report.map_or_else(reported_load::Error::name, |_| "usable");
    metrics::counter!(
        "rhubarbpick_load_reports_total",
        "service" => endpoint.service.to_string(),
        "outcome" => outcome
    )
    .increment(1);
    let mut reports = state.load_reports.lock().unwrap();
    if reports.record(&endpoint.id, report, clock::now()) {
        let event = match report {
            Ok(_) => "load_reports_usable",
            Err(_) => "load_reports_unusable",
        };
        log::info!("event={event} endpoint={} why={outcome}", endpoint.id);
    }
}

/// Records that an endpoint responded, and for how long it says that it stays cold, if it does.
fn record_cold(state: &State, endpoint: &Endpoint, response: &Response<pool::Stream>) {
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        // Another endpoint may have sent it.
        return;
    }
    let said = response.headers().get(&state.fields.cold_left);
    let millis = said.map(|said| said.to_str().ok()?.trim().parse::<u64>().ok());
    if millis == Some(None) {
        log::warn!("event=cold_unreadable endpoint={}", endpoint.id);
    }
    let said = millis.flatten().map(Duration::from_millis);
    state.on_endpoint_response(endpoint, said);
}

/// Reads the response body, completely if it is short.
async fn read_body(
    state: &State,
    call: &Call<'_>,
    endpoint: &Endpoint,
    response: Response<pool::Stream>,
) -> Completion {
    let (mut parts, mut body) = response.into_parts();
    remove_hop_by_hop_fields(&mut parts.headers);
    let account = Account::of(&call.parts.extensions);
    let terms = held_body::Terms {
        purpose: Purpose::Response,
        limit: MAX_BUFFERED_RESPONSE_BYTES,
        deadline: call.deadline,
        max_wait: Duration::MAX,
    };
    let held = match held_body::read(&account, &mut body, &terms).await {
        Ok(held) => held,
        Err(held_body::Error::Late) => return Completion::Late,
        Err(held_body::Error::CutShort) => return Completion::Broken("cut_short"),
        Err(held_body::Error::NoMemory) => return Completion::Broken("no_memory"),
    };
    if held.is_complete {
        let body = held_body::whole(held.into_bytes(true));
        return Completion::Answered(Response::from_parts(parts, body));
    }
    let span = remaining(call.deadline);
    let reserved = account.reserve(Purpose::Response, FORWARDING_BYTES, span);
    let Some(mut reservation) = reserved.await else {
        return Completion::Broken("no_memory");
    };
    reservation.set_held_by_client(true);
    let on_error = log_cut(call, endpoint);
    let rest = forwarded_body::spawn(&state.context, body, call.deadline, on_error);
    let body = held_body::reserved(held.into_bytes(true), Some(rest), Some(reservation));
    Completion::Answered(Response::from_parts(parts, body))
}

/// Returns a function that logs why a response was broken off after its head was forwarded.
fn log_cut(call: &Call<'_>, endpoint: &Endpoint) -> impl FnOnce(forwarded_body::Error) {
    let id = call.id.to_str().unwrap_or("unreadable").to_owned();
    let endpoint = endpoint.id.clone();
    move |error| {
        metrics::counter!("rhubarbpick_responses_cut_total").increment(1);
        log::info!("event=response_cut id={id} endpoint={endpoint} why=\"{error}\"");
    }
}

/// Builds the header fields of a request; returns `None` if one cannot hold its value.
fn build_headers(state: &State, call: &Call<'_>, endpoint: &Endpoint) -> Option<HeaderMap> {
    let mut headers = call.parts.headers.clone();
    let deadline = remaining(call.deadline).as_millis() as u64;
    headers.insert(&state.fields.deadline, HeaderValue::from(deadline));
    let target = HeaderValue::from_str(&endpoint.id).ok()?;
    headers.insert(&state.fields.target, target);
    Some(headers)
}

fn build_request(call: &Call<'_>, headers: HeaderMap, payload: Payload) -> Request<Body> {
    let body = match payload {
        Payload::Whole(bytes) => held_body::whole(bytes),
        Payload::Stream(body) => body,
    };
    let mut request = Request::new(body);
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    request
}

/// Returns the time left until `deadline`.
pub fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

fn failure_name(failure: &Error) -> &'static str {
    match failure {
        Error::Refused => "refused",
        Error::Unreachable => "unreachable",
        Error::Exhausted => "connections",
        Error::Broken => "broken",
        Error::Silent => "silent",
        Error::Late => "late",
    }
}
