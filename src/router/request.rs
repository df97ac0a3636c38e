//! Handling of callers' requests.
//!
//! A request is matched to a route and a service, waits for a permit and is
//! sent to the endpoint that the permit names. A failed attempt is repeated
//! only if the request certainly did not run or may run more than once, and
//! only within the route's attempts, the time left and the service's retry
//! limit.

use crate::{
    core::{
        manifest::{
            Idempotency,
            Manifest,
            Route, //
        },
        memory_budget::Purpose,
        permit::{
            Outcome,
            Reason,
            Request as PermitRequest, //
        },
        registry::Endpoint,
    },
    kernel::{
        clock,
        http::{
            remove_hop_by_hop_fields,
            Body, //
        },
        memory::Account,
        runtime::timeout, //
    },
    router::{
        attempt::{
            self,
            remaining,
            Call,
            Completion,
            Payload, //
        },
        dispatcher,
        error_response::Error,
        held_body,
        history::History,
        permit_client,
        state::State, //
    },
};
use bytes::Bytes;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::{
    body::{
        Body as _,
        Incoming, //
    },
    header::{
        HeaderMap,
        HeaderName,
        HeaderValue,
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        HOST,
        TRANSFER_ENCODING, //
    },
    http::request::Parts,
    Request,
    Response, //
};
use std::{
    pin::pin,
    sync::{
        atomic::Ordering,
        Arc, //
    },
    time::{
        Duration,
        Instant, //
    },
};
use xxhash_rust::xxh3::Xxh3;

/// Deadline assumed for a caller that gives none.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Longest deadline accepted; longer ones are reduced to it.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Longest body that is buffered so that the request can be sent again.
const MAX_BUFFERED_BODY_BYTES: usize = 1024 * 1024;

/// Longest time for which a request body waits for memory, unread.
const MAX_MEMORY_WAIT: Duration = Duration::from_secs(1);

/// Retry delay suggested to a caller that got no memory: stalled clients are closed after half a
/// second.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Bytes that are held for a request body that is forwarded while it is received: what the HTTP
/// library reads ahead of it and takes ahead of the endpoint.
const STREAMING_BYTES: usize = 128 * 1024;

/// Bytes that a request is taken to hold beside its head and bodies.
const REQUEST_BYTES: usize = 4 * 1024;

/// Time subtracted from the response time goal for the network between caller and router.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(16);

/// Most attempts for one request, including those in which the request did not run.
const MAX_ATTEMPTS: u32 = 5;

/// Least time left for another attempt; also the retry delay suggested in refusals without a
/// better estimate.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);

/// A hedged request is sent after this multiple of the expected duration.
const HEDGE_FACTOR: u32 = 4;

/// Least expected duration from which the hedging delay is computed.
const MIN_EXPECTED_DURATION: Duration = Duration::from_millis(50);

/// Part of the drain timeout after which a leaving endpoint gets no more requests.
const DRAIN_FRACTION: f64 = 0.6;

/// Retry delay for requests to an endpoint that was evacuated, until its keys have moved.
const EVACUATION_RETRY: Duration = Duration::from_millis(300);

/// One in this many successful requests is logged.
const SUCCESS_LOG_INTERVAL: u64 = 256;

/// Handles a caller's request.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let began = Instant::now();
    let request_number = state.counters.requests.fetch_add(1, Ordering::Relaxed);
    // The HTTP library removes a Content-Length that accompanies chunked encoding, so such a
    // request cannot be told from a valid one. The connection is closed after the response, so
    // that nothing smuggled behind the request is read.
    let closes_connection = request.headers().contains_key(TRANSFER_ENCODING) || state.is_leaving();
    let account = Account::of(request.extensions());
    let head = account.try_reserve(Purpose::Small, head_bytes(&request));
    let mut guard = Guard {
        state: Arc::clone(&state),
        is_answered: false,
    };
    let id = request.headers().get(&state.fields.request_id).cloned();
    let mut is_routed = false;
    let result = match &head {
        Some(_) => process(&state, request, began, request_number, &mut is_routed).await,
        None => Err(Error::NotRun("memory", MEMORY_RETRY_DELAY)),
    };
    if let (Err(error), false) = (&result, is_routed) {
        log_unrouted(id.as_ref(), error);
    }
    let result_name = result.as_ref().err().map(|error| error.name());
    let mut response = match result {
        Ok(response) => {
            state.counters.answered.fetch_add(1, Ordering::Relaxed);
            response
        }
        Err(error) => {
            let counter = match error {
                Error::NotRun(..) | Error::NotConfigured => &state.counters.refused,
                _ => &state.counters.failed,
            };
            counter.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("rhubarbpick_own_answers_total", "reason" => error.name())
                .increment(1);
            error.response()
        }
    };
    guard.is_answered = true;
    // What is left of a body that got no memory is not read.
    let is_out_of_memory = matches!(result_name, Some("memory"));
    if closes_connection || is_out_of_memory {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Counts a caller that disconnects before its response.
struct Guard {
    state: Arc<State>,
    is_answered: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.is_answered {
            self.state
                .counters
                .disconnected
                .fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn process(
    state: &Arc<State>,
    request: Request<Incoming>,
    began: Instant,
    request_number: u64,
    is_routed: &mut bool,
) -> Result<Response<Body>, Error> {
    let (mut parts, body) = request.into_parts();
    state.wait_until_ready().await;
    let view = state.view();
    let Some(manifest) = &view.manifest else {
        return Err(Error::NotConfigured);
    };
    let route = find_route(manifest, &parts)?;
    let id = parts.headers.get(&state.fields.request_id).cloned();
    let id = id.ok_or(Error::Malformed)?;
    let deadline_ms = parse_number(&parts.headers, &state.fields.deadline)
        .unwrap_or(DEFAULT_DEADLINE_MS)
        .min(MAX_DEADLINE_MS);
    let key = parse_number(&parts.headers, &state.fields.key);
    let length = parse_number(&parts.headers, &CONTENT_LENGTH);
    if length.is_some_and(|length| length > manifest.limits.body_bytes) {
        return Err(Error::TooLarge);
    }
    let target = state.select_target(route, manifest.version);
    let target = target.ok_or(Error::NotRun("no_weight", MIN_ATTEMPT_TIME))?;
    let service = &route.parts[target].service;
    let is_keyed = view.is_keyed(service);
    remove_hop_by_hop_fields(&mut parts.headers);
    parts.headers.remove(EXPECT);
    let limit = Duration::from_millis(deadline_ms.min(route.timeout_ms));
    let deadline = state.shutdown.limit(began + limit);
    let account = Account::of(&parts.extensions);
    let payload = read_payload(&account, body, deadline).await?;
    if state.shutdown.is_rejecting() {
        return Err(Error::NotRun("stopping", MIN_ATTEMPT_TIME));
    }
    let class = dispatcher::class(route.repeat, route.rank, route.goal_ms);
    let waited = state.min_wait(class, deadline_ms);
    let goal_time = Duration::from_millis(route.goal_ms).saturating_sub(waited + CALLER_ROUND_TRIP);
    let routing = Routing {
        route,
        service,
        id,
        class,
        key: key.filter(|_| is_keyed).map(|key| key as u16),
        subject: subject(&parts),
        goal: began + goal_time,
        deadline,
        caller_deadline: began + Duration::from_millis(deadline_ms),
    };
    *is_routed = true;
    let result = execute(state, &routing, &parts, payload).await;
    log_result(state, &routing, &result, began, request_number);
    result.1
}

/// A request's service and time limits, known once the request is matched to a route.
struct Routing<'a> {
    route: &'a Route,
    service: &'a str,
    id: HeaderValue,
    class: u32,
    key: Option<u16>,
    subject: u32,
    goal: Instant,
    deadline: Instant,
    /// When the caller gives up, regardless of the route's time limit.
    caller_deadline: Instant,
}

/// What is logged about the handling of a request.
struct Record {
    attempts: u32,
    endpoint: Box<str>,
    last_result: &'static str,
    /// Whether the caller was refused before, as far as a dispatcher knows.
    is_return: bool,
}

async fn execute(
    state: &Arc<State>,
    routing: &Routing<'_>,
    parts: &Parts,
    payload: Payload,
) -> (Record, Result<Response<Body>, Error>) {
    let mut record = Record {
        attempts: 0,
        endpoint: "".into(),
        last_result: "",
        is_return: false,
    };
    let mut history = History::default();
    let attempts = run_attempts(state, routing, parts, payload, &mut record, &mut history);
    let result = match state.shutdown.interrupt(attempts).await {
        Some(result) => result,
        None => history.interrupt("stopping", MIN_ATTEMPT_TIME),
    };
    (record, result)
}

async fn run_attempts(
    state: &Arc<State>,
    routing: &Routing<'_>,
    parts: &Parts,
    payload: Payload,
    record: &mut Record,
    history: &mut History,
) -> Result<Response<Body>, Error> {
    let mut payload = Some(payload);
    let mut avoid: Vec<Box<str>> = Vec::new();
    let mut was_sent = false;
    loop {
        let Some(content) = payload.take() else {
            return history.finish("not_kept", MIN_ATTEMPT_TIME);
        };
        let bytes = match &content {
            Payload::Whole(bytes) => bytes.len() as u32,
            Payload::Stream(_) => u32::MAX / 1024,
        };
        let permit_request = PermitRequest {
            is_return: record.is_return,
            ..routing.permit_request(state, bytes, was_sent, avoid.clone())
        };
        let permit =
            match permit_client::request_permit(state, routing.service, permit_request).await {
                permit_client::Answer::Granted(permit) => permit,
                permit_client::Answer::Refused(refusal) => {
                    record.last_result = dispatcher::reason_name(refusal.reason);
                    record.is_return = refusal.is_return;
                    metrics::counter!(
                        "rhubarbpick_refusals_total",
                        "service" => routing.service.to_owned(),
                        "reason" => record.last_result
                    )
                    .increment(1);
                    return history.finish(record.last_result, refusal.retry_after);
                }
            };
        record.endpoint = permit.endpoint.id.clone();
        record.is_return = permit.is_return;
        let endpoint = match current_endpoint(state, &permit.endpoint) {
            Ok(endpoint) => endpoint,
            Err(unusable) => {
                // The dispatcher does not know it yet.
                avoid.push(permit.endpoint.id.clone());
                permit.end(Outcome::Dropped);
                record.attempts += 1;
                if record.attempts >= MAX_ATTEMPTS {
                    return history.finish(unusable.reason, unusable.retry_after);
                }
                payload = Some(content);
                continue;
            }
        };
        let retry_payload = match &content {
            Payload::Whole(bytes) => Some(Payload::Whole(bytes.clone())),
            Payload::Stream(_) => None,
        };
        let call = Call {
            parts,
            id: &routing.id,
            repeat: routing.route.repeat,
            service: routing.service,
            deadline: routing.deadline,
        };
        record.attempts += 1;
        let may_hedge = routing.route.repeat.allows_repeat()
            && history.possible_runs + 2 <= routing.route.attempts;
        history.is_sending = true;
        let (completion, extra_runs) =
            send(state, routing, &call, &endpoint, content, permit, may_hedge).await;
        history.is_sending = false;
        history.possible_runs += extra_runs;
        let may_retry =
            record.attempts < MAX_ATTEMPTS && remaining(routing.deadline) > MIN_ATTEMPT_TIME;
        match completion {
            Completion::Answered(response) => {
                history.possible_runs += 1;
                record.last_result = "answered";
                let should_retry = response.status().is_server_error()
                    && routing.route.repeat.allows_repeat()
                    && history.possible_runs < routing.route.attempts
                    && may_retry;
                if !should_retry {
                    return Ok(response);
                }
                history.last_response = Some(response);
                avoid.push(endpoint.id.clone());
                payload = retry_payload;
                was_sent = true;
            }
            Completion::Shed => {
                record.last_result = "shed";
                if !may_retry || retry_payload.is_none() {
                    return history.finish("shed", MIN_ATTEMPT_TIME);
                }
                avoid.push(endpoint.id.clone());
                payload = retry_payload;
                was_sent = true;
            }
            Completion::NotHolder => {
                record.last_result = "not_holder";
                if !may_retry || retry_payload.is_none() {
                    return history.finish("not_holder", MIN_ATTEMPT_TIME);
                }
                payload = retry_payload;
                was_sent = true;
            }
            Completion::NotSent(reason, payload_back) => {
                record.last_result = reason;
                if !may_retry {
                    return history.finish(reason, MIN_ATTEMPT_TIME);
                }
                avoid.push(endpoint.id.clone());
                payload = Some(payload_back);
            }
            Completion::Broken(_) | Completion::Silent => {
                let reason = match completion {
                    Completion::Broken(reason) => reason,
                    _ => "silent",
                };
                history.possible_runs += 1;
                record.last_result = reason;
                history.last_failure = reason;
                let is_allowed = routing.route.repeat.allows_repeat()
                    && history.possible_runs < routing.route.attempts;
                if !is_allowed || !may_retry {
                    return history.finish(reason, MIN_ATTEMPT_TIME);
                }
                avoid.push(endpoint.id.clone());
                payload = retry_payload;
                was_sent = true;
            }
            Completion::Late => {
                record.last_result = "late";
                return history.last_response.take().ok_or(Error::Late);
            }
        }
    }
}

/// Why a request may not be sent to an endpoint, although there is a permit for it.
struct Unusable {
    reason: &'static str,
    retry_after: Duration,
}

/// Returns the endpoint of a permit as this VM knows it, or else as the dispatcher does.
/// Returns an error if the endpoint was removed or is about to be, or if its zone is evacuated.
fn current_endpoint(state: &State, permitted: &Endpoint) -> Result<Endpoint, Unusable> {
    let view = state.view();
    let now = clock::now();
    let gone = Unusable {
        reason: "endpoint_gone",
        retry_after: MIN_ATTEMPT_TIME,
    };
    let endpoint = match view.endpoint(&permitted.id) {
        None if state.is_removed(&permitted.id) => return Err(gone),
        None => permitted,
        Some(entry) => {
            let limit = state.settings.bounds.drain_timeout.mul_f64(DRAIN_FRACTION);
            let leaving_since = entry.leaving_since;
            if leaving_since.is_some_and(|since| now.since(since) >= limit) {
                return Err(gone);
            }
            &entry.endpoint
        }
    };
    if view.evacuations.is_closed(&endpoint.zone, now) {
        return Err(Unusable {
            reason: dispatcher::reason_name(Reason::Evacuated),
            retry_after: EVACUATION_RETRY,
        });
    }
    Ok(endpoint.clone())
}

/// Sends a request under a permit. If `may_hedge` is set and the response takes far longer than
/// expected, sends the request to a second endpoint too.
///
/// Returns the better result and how many additional endpoints may have run the request.
async fn send(
    state: &Arc<State>,
    routing: &Routing<'_>,
    call: &Call<'_>,
    endpoint: &Endpoint,
    content: Payload,
    permit: permit_client::Permit,
    may_hedge: bool,
) -> (Completion, u32) {
    let hedge_body = match &content {
        Payload::Whole(bytes) => Some(bytes.clone()),
        Payload::Stream(_) => None,
    };
    let delay = hedge_delay(routing, permit.expected).filter(|_| may_hedge);
    let mut original = pin!(attempt::send(state, call, endpoint, content));
    let (Some(delay), Some(hedge_body)) = (delay, hedge_body) else {
        let completion = original.await;
        permit.end(completion.outcome());
        return (completion, 0);
    };
    let waited = timeout(delay, original.as_mut()).await;
    if let Some(completion) = waited {
        permit.end(completion.outcome());
        return (completion, 0);
    }
    let mut hedge = pin!(send_hedge(state, routing, call, endpoint, hedge_body));
    let race = future::or(async { Race::Original(original.as_mut().await) }, async {
        Race::Hedge(hedge.as_mut().await)
    });
    match race.await {
        Race::Original(completion) => {
            permit.end(completion.outcome());
            if completion.is_success() {
                return (completion, 1);
            }
            match hedge.await {
                Some(hedge_completion) => (select_completion(completion, hedge_completion), 1),
                None => (completion, 0),
            }
        }
        Race::Hedge(Some(completion)) if completion.is_success() => {
            permit.end(Outcome::Dropped);
            (completion, 1)
        }
        Race::Hedge(hedge_completion) => {
            let completion = original.await;
            permit.end(completion.outcome());
            match hedge_completion {
                Some(hedge_completion) => (select_completion(completion, hedge_completion), 1),
                None => (completion, 0),
            }
        }
    }
}

/// Chooses between two results of a request: a successful response first, then any response.
fn select_completion(original: Completion, hedge: Completion) -> Completion {
    let is_answer = |completion: &Completion| matches!(completion, Completion::Answered(_));
    if hedge.is_success() && !original.is_success() || is_answer(&hedge) && !is_answer(&original) {
        hedge
    } else {
        original
    }
}

/// Which of two concurrent attempts ended first.
enum Race {
    Original(Completion),
    /// `None` if there was no permit for the second attempt.
    Hedge(Option<Completion>),
}

/// Returns the delay after which a hedged request is sent, or `None` if too little time is left
/// for one.
fn hedge_delay(routing: &Routing<'_>, expected: Duration) -> Option<Duration> {
    let regular = expected.max(MIN_EXPECTED_DURATION) * HEDGE_FACTOR;
    let latest = remaining(routing.deadline).saturating_sub(expected * 3 / 2);
    let delay = regular.min(latest);
    (delay >= expected * 2).then_some(delay)
}

/// Requests another permit and sends the request again; returns `None` without a permit.
async fn send_hedge(
    state: &Arc<State>,
    routing: &Routing<'_>,
    call: &Call<'_>,
    original: &Endpoint,
    content: Bytes,
) -> Option<Completion> {
    let permit_request =
        routing.permit_request(state, content.len() as u32, true, vec![original.id.clone()]);
    let permit_client::Answer::Granted(permit) =
        permit_client::request_permit(state, routing.service, permit_request).await
    else {
        return None;
    };
    let endpoint = current_endpoint(state, &permit.endpoint).ok()?;
    let completion = attempt::send(state, call, &endpoint, Payload::Whole(content)).await;
    permit.end(completion.outcome());
    Some(completion)
}

impl Routing<'_> {
    fn permit_request(
        &self,
        state: &State,
        bytes: u32,
        is_repeat: bool,
        avoid: Vec<Box<str>>,
    ) -> PermitRequest {
        PermitRequest {
            class: self.class,
            key: self.key,
            rank: self.route.rank,
            goal_us: remaining(self.goal).as_micros() as u64,
            left_us: remaining(self.deadline).as_micros() as u64,
            is_repeat,
            is_return: false,
            subject: self.subject,
            patience_us: remaining(self.caller_deadline).as_micros() as u64,
            bytes,
            zone: state.settings.zone.clone(),
            avoid,
        }
    }
}

/// Hashes what a request asks for, to recognize a refused caller that returns.
fn subject(parts: &Parts) -> u32 {
    let mut hash = Xxh3::new();
    hash.update(parts.method.as_str().as_bytes());
    if let Some(host) = parts.headers.get(HOST) {
        hash.update(host.as_bytes());
    }
    let path = parts.uri.path_and_query();
    hash.update(path.map_or("", |path| path.as_str()).as_bytes());
    hash.digest() as u32
}

fn find_route<'a>(manifest: &'a Manifest, parts: &Parts) -> Result<&'a Route, Error> {
    let host = match parts.uri.authority() {
        Some(authority) => authority.as_str(),
        None => {
            let host = parts.headers.get(HOST);
            host.and_then(|host| host.to_str().ok())
                .ok_or(Error::Malformed)?
        }
    };
    let route = manifest.route(host, parts.uri.path());
    route.ok_or(Error::NoRoute)
}

fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Reads a request body, completely unless it is too long to be buffered.
async fn read_payload(
    account: &Arc<Account>,
    mut body: Incoming,
    deadline: Instant,
) -> Result<Payload, Error> {
    if body.is_end_stream() {
        return Ok(Payload::Whole(Bytes::new()));
    }
    let is_long = body.size_hint().lower() > MAX_BUFFERED_BODY_BYTES as u64;
    let beginning = if is_long {
        Bytes::new()
    } else {
        let terms = held_body::Terms {
            purpose: Purpose::Body,
            limit: MAX_BUFFERED_BODY_BYTES,
            deadline,
            max_wait: MAX_MEMORY_WAIT,
        };
        let held = held_body::read(account, &mut body, &terms).await;
        let held = held.map_err(|error| match error {
            held_body::Error::Late => Error::NotRun("body_late", MIN_ATTEMPT_TIME),
            held_body::Error::CutShort => Error::Malformed,
            held_body::Error::NoMemory => Error::NotRun("memory", MEMORY_RETRY_DELAY),
        })?;
        if held.is_complete {
            return Ok(Payload::Whole(held.into_bytes(false)));
        }
        held.into_bytes(true)
    };
    let span = MAX_MEMORY_WAIT.min(remaining(deadline));
    let reserved = account.reserve(Purpose::Body, STREAMING_BYTES, span).await;
    let mut reservation = reserved.ok_or(Error::NotRun("memory", MEMORY_RETRY_DELAY))?;
    reservation.set_held_by_client(true);
    let rest = body.map_err(Into::into).boxed_unsync();
    let body = held_body::reserved(beginning, Some(rest), Some(reservation));
    Ok(Payload::Stream(body))
}

/// Estimates the memory that the head of a request takes while the request is handled.
fn head_bytes(request: &Request<Incoming>) -> usize {
    let fields = request.headers().iter();
    let length: usize = fields
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    // Some fields are copied for each attempt.
    REQUEST_BYTES + 2 * length
}

/// Logs the failure of a request that was not matched to a service or not read to its end.
fn log_unrouted(id: Option<&HeaderValue>, error: &Error) {
    log::info!(
        "event=request_unrouted id={} status={} reason={}",
        id.and_then(|id| id.to_str().ok()).unwrap_or("unreadable"),
        error.status().as_u16(),
        error.name()
    );
}

/// Logs all failures and a sample of the successes.
fn log_result(
    state: &State,
    routing: &Routing<'_>,
    (record, result): &(Record, Result<Response<Body>, Error>),
    began: Instant,
    request_number: u64,
) {
    let elapsed = began.elapsed();
    let (status, reason) = match result {
        Ok(response) => (response.status(), "answered"),
        Err(error) => (error.status(), error.name()),
    };
    metrics::histogram!(
        "rhubarbpick_request_seconds",
        "service" => routing.service.to_owned(),
        "outcome" => reason
    )
    .record(elapsed.as_secs_f64());
    if reason == dispatcher::reason_name(Reason::Evacuated) {
        metrics::counter!(
            "rhubarbpick_evacuation_refusals_total",
            "service" => routing.service.to_owned()
        )
        .increment(1);
    }
    if status.is_success() && request_number % SUCCESS_LOG_INTERVAL != 0 {
        return;
    }
    let view = state.view();
    let version = view
        .manifest
        .as_ref()
        .map_or(0, |manifest| manifest.version);
    let table = view
        .table(routing.service)
        .map_or(0, |(revision, _)| *revision);
    let kind = match routing.route.repeat {
        Idempotency::Idempotent => "idempotent",
        Idempotency::Once => "once",
        Idempotency::Upload => "upload",
    };
    log::info!(
        "event=request id={} route={} service={} kind={kind} key={} status={} reason={reason} \
         last={} tries={} endpoint={} took_ms={} left_ms={} returned={} manifest={version} \
         table={table} age_ms={}",
        routing.id.to_str().unwrap_or("unreadable"),
        routing.route.name,
        routing.service,
        routing.key.map_or(-1, i64::from),
        status.as_u16(),
        record.last_result,
        record.attempts,
        record.endpoint,
        elapsed.as_millis(),
        remaining(routing.deadline).as_millis(),
        record.is_return,
        state.age().as_millis(),
    );
}
