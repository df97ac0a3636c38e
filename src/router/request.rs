//! Taking in callers' requests.
//!
//! A request is matched to a route and a service, waits for a permit, is sent
//! to the endpoint that the permit names, and answered. What failed is tried
//! again only if it certainly did not run or may run twice, and only within
//! the route's attempts, the time left and the service's bound on repeats.

use crate::{
    core::{
        manifest::{
            Idempotency,
            Manifest,
            Route, //
        },
        permit::{
            Outcome,
            Request as PermitRequest, //
        },
        registry::Endpoint,
    },
    kernel::{
        clock,
        http::{
            remove_hop_fields,
            Body, //
        },
        runtime::timeout, //
    },
    router::{
        attempt::{
            self,
            left,
            Job,
            Payload,
            Prefixed,
            Try, //
        },
        dispatcher,
        error_response::Reply,
        permit_client,
        state::State, //
    },
};
use bytes::{
    Bytes,
    BytesMut, //
};
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

/// Time that a caller without a deadline is taken to wait.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Longest deadline that is believed.
const DEADLINE_MAX_MS: u64 = 600_000;

/// Bodies up to this length are kept, so that the request can be sent again, in bytes.
const KEPT_BODY: usize = 1024 * 1024;

/// Part of the goal that a request loses on its way from and to the caller.
const CALLER_WAY: Duration = Duration::from_millis(16);

/// Most tries of one request, whatever did not run.
const TRIES_MAX: u32 = 5;

/// Time that has to be left for another try.
const TRY_MIN: Duration = Duration::from_millis(30);

/// A second endpoint is tried after so many times the expected time.
const SECOND_FACTOR: u32 = 4;

/// Least expected time that this is counted from.
const SECOND_MIN: Duration = Duration::from_millis(50);

/// Part of the time to drain after which a leaving endpoint gets no request.
const DRAIN_PART: f64 = 0.6;

/// A successful request in so many is logged.
const LOG_ONE_IN: u64 = 256;

/// Answers a caller.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let began = Instant::now();
    let count = state.counts.requests.fetch_add(1, Ordering::Relaxed);
    // The HTTP library drops a Content-Length beside chunks, so such a request
    // cannot be told from one without; what follows it is not read.
    let is_last = request.headers().contains_key(TRANSFER_ENCODING) || state.is_leaving();
    let mut guard = Left {
        state: Arc::clone(&state),
        is_answered: false,
    };
    let mut response = match take(&state, request, began, count).await {
        Ok(response) => {
            state.counts.answered.fetch_add(1, Ordering::Relaxed);
            response
        }
        Err(reply) => {
            let counter = match reply {
                Reply::NotRun(..) | Reply::NotConfigured => &state.counts.refused,
                _ => &state.counts.failed,
            };
            counter.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("rhubarbpick_own_answers_total", "reason" => reply.name())
                .increment(1);
            reply.response()
        }
    };
    guard.is_answered = true;
    if is_last {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Counts a caller that leaves before its answer.
struct Left {
    state: Arc<State>,
    is_answered: bool,
}

impl Drop for Left {
    fn drop(&mut self) {
        if !self.is_answered {
            self.state.counts.left.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn take(
    state: &Arc<State>,
    request: Request<Incoming>,
    began: Instant,
    count: u64,
) -> Result<Response<Body>, Reply> {
    let (mut parts, body) = request.into_parts();
    state.wait_for_copy().await;
    let view = state.view();
    let Some(manifest) = &view.manifest else {
        return Err(Reply::NotConfigured);
    };
    let route = find(manifest, &parts)?;
    let id = parts.headers.get(&state.fields.request_id).cloned();
    let id = id.ok_or(Reply::Malformed)?;
    let deadline_ms = number(&parts.headers, &state.fields.deadline)
        .unwrap_or(DEFAULT_DEADLINE_MS)
        .min(DEADLINE_MAX_MS);
    let key = number(&parts.headers, &state.fields.key);
    let length = number(&parts.headers, &CONTENT_LENGTH);
    if length.is_some_and(|length| length > manifest.limits.body_bytes) {
        return Err(Reply::TooLarge);
    }
    let part = state.deal(route, manifest.version);
    let part = part.ok_or(Reply::NotRun("no_weight", TRY_MIN))?;
    let service = &route.parts[part].service;
    let is_keyed = view.is_keyed(service);
    remove_hop_fields(&mut parts.headers);
    parts.headers.remove(EXPECT);
    let limit = Duration::from_millis(deadline_ms.min(route.timeout_ms));
    let end = began + limit;
    let payload = payload(body, end).await?;
    let class = dispatcher::class(route.repeat, route.rank, route.goal_ms);
    let spent = state.spent(class, deadline_ms);
    let goal = Duration::from_millis(route.goal_ms).saturating_sub(spent + CALLER_WAY);
    let work = Work {
        route,
        service,
        id,
        class,
        key: key.filter(|_| is_keyed).map(|key| key as u16),
        subject: subject(&parts),
        goal_end: began + goal,
        end,
        patience_end: began + Duration::from_millis(deadline_ms),
    };
    let result = run(state, &work, &parts, payload).await;
    note(state, &work, &result, began, count);
    result.1
}

/// What is known of a request once it is matched to a service.
struct Work<'a> {
    route: &'a Route,
    service: &'a str,
    id: HeaderValue,
    class: u32,
    key: Option<u16>,
    subject: u32,
    goal_end: Instant,
    end: Instant,
    /// When its caller gives up, whatever the route allows.
    patience_end: Instant,
}

/// What was done for a request, and its answer.
struct Trail {
    tries: u32,
    endpoint: Box<str>,
    last: &'static str,
    /// Whether the caller was refused before, as far as a dispatcher knows.
    is_return: bool,
}

async fn run(
    state: &Arc<State>,
    work: &Work<'_>,
    parts: &Parts,
    payload: Payload,
) -> (Trail, Result<Response<Body>, Reply>) {
    let mut trail = Trail {
        tries: 0,
        endpoint: "".into(),
        last: "",
        is_return: false,
    };
    let answer = run_tries(state, work, parts, payload, &mut trail).await;
    (trail, answer)
}

async fn run_tries(
    state: &Arc<State>,
    work: &Work<'_>,
    parts: &Parts,
    payload: Payload,
    trail: &mut Trail,
) -> Result<Response<Body>, Reply> {
    let mut payload = Some(payload);
    let mut avoid: Vec<Box<str>> = Vec::new();
    let mut is_sent = false;
    let mut past = Past::default();
    loop {
        let Some(content) = payload.take() else {
            return past.give_up("not_kept", TRY_MIN);
        };
        let bytes = match &content {
            Payload::Whole(bytes) => bytes.len() as u32,
            Payload::Stream(_) => u32::MAX / 1024,
        };
        let ask = PermitRequest {
            is_return: trail.is_return,
            ..work.ask(state, bytes, is_sent, avoid.clone())
        };
        let permit = match permit_client::ask(state, work.service, ask).await {
            permit_client::Answer::Go(permit) => permit,
            permit_client::Answer::No(refusal) => {
                trail.last = dispatcher::reason_name(refusal.reason);
                trail.is_return = refusal.is_return;
                metrics::counter!(
                    "rhubarbpick_refusals_total",
                    "service" => work.service.to_owned(),
                    "reason" => trail.last
                )
                .increment(1);
                return past.give_up(trail.last, refusal.retry_after);
            }
        };
        trail.endpoint = permit.endpoint.id.clone();
        trail.is_return = permit.is_return;
        let Some(endpoint) = target(state, &permit.endpoint) else {
            // The dispatcher does not know yet that it has gone or is leaving.
            avoid.push(permit.endpoint.id.clone());
            permit.end(Outcome::Dropped);
            trail.tries += 1;
            if trail.tries >= TRIES_MAX {
                return past.give_up("endpoint_gone", TRY_MIN);
            }
            payload = Some(content);
            continue;
        };
        let kept = match &content {
            Payload::Whole(bytes) => Some(Payload::Whole(bytes.clone())),
            Payload::Stream(_) => None,
        };
        let job = Job {
            parts,
            id: &work.id,
            repeat: work.route.repeat,
            service: work.service,
            end: work.end,
        };
        trail.tries += 1;
        let may_run_twice =
            work.route.repeat.allows_repeat() && past.runs + 2 <= work.route.attempts;
        let (tried, extra_runs) =
            send(state, work, &job, &endpoint, content, permit, may_run_twice).await;
        past.runs += extra_runs;
        let may_again = trail.tries < TRIES_MAX && left(work.end) > TRY_MIN;
        match tried {
            Try::Answered(response) => {
                past.runs += 1;
                trail.last = "answered";
                let is_worth_another = response.status().is_server_error()
                    && work.route.repeat.allows_repeat()
                    && past.runs < work.route.attempts
                    && may_again;
                if !is_worth_another {
                    return Ok(response);
                }
                past.answer = Some(response);
                avoid.push(endpoint.id.clone());
                payload = kept;
                is_sent = true;
            }
            Try::Shed => {
                trail.last = "shed";
                if !may_again || kept.is_none() {
                    return past.give_up("shed", TRY_MIN);
                }
                avoid.push(endpoint.id.clone());
                payload = kept;
                is_sent = true;
            }
            Try::NotHolder => {
                trail.last = "not_holder";
                if !may_again || kept.is_none() {
                    return past.give_up("not_holder", TRY_MIN);
                }
                payload = kept;
                is_sent = true;
            }
            Try::Unsent(why, back) => {
                trail.last = why;
                if !may_again {
                    return past.give_up(why, TRY_MIN);
                }
                avoid.push(endpoint.id.clone());
                payload = Some(back);
            }
            Try::Broken(_) | Try::Silent => {
                let why = match tried {
                    Try::Broken(why) => why,
                    _ => "silent",
                };
                past.runs += 1;
                trail.last = why;
                past.why = why;
                let is_allowed =
                    work.route.repeat.allows_repeat() && past.runs < work.route.attempts;
                if !is_allowed || !may_again {
                    return past.give_up(why, TRY_MIN);
                }
                avoid.push(endpoint.id.clone());
                payload = kept;
                is_sent = true;
            }
            Try::Late => {
                trail.last = "late";
                return past.answer.ok_or(Reply::Late);
            }
        }
    }
}

/// Returns the endpoint of a permit as it is known here, or else as the
/// dispatcher knows it; `None` if it has gone or is about to.
fn target(state: &State, named: &Endpoint) -> Option<Endpoint> {
    let view = state.view();
    let Some(listed) = view.endpoint(&named.id) else {
        return (!state.is_removed(&named.id)).then(|| named.clone());
    };
    let limit = state.settings.bounds.drain_timeout.mul_f64(DRAIN_PART);
    let now = clock::now();
    let is_open = listed
        .leaving_since
        .is_none_or(|since| now.since(since) < limit);
    is_open.then(|| (*listed.endpoint).clone())
}

/// What endpoints may have done for a request already.
#[derive(Default)]
struct Past {
    /// Endpoints that may have run it.
    runs: u32,
    /// How the last of them failed it.
    why: &'static str,
    /// A failure that one of them answered.
    answer: Option<Response<Body>>,
}

impl Past {
    /// Ends a request that is not tried again.
    ///
    /// An answer that an endpoint made is delivered, and only what no endpoint
    /// can have run is said not to have run.
    fn give_up(self, reason: &'static str, after: Duration) -> Result<Response<Body>, Reply> {
        match self.answer {
            Some(response) => Ok(response),
            None if self.runs > 0 && self.why.is_empty() => Err(Reply::Unknown(reason)),
            None if self.runs > 0 => Err(Reply::Unknown(self.why)),
            None => Err(Reply::NotRun(reason, after)),
        }
    }
}

/// Sends a request under a permit; if the answer takes far longer than it
/// should and the request `may_run_twice`, sends it to a second endpoint too.
///
/// Returns what came of it, and how many more endpoints may have run it.
async fn send(
    state: &Arc<State>,
    work: &Work<'_>,
    job: &Job<'_>,
    endpoint: &Endpoint,
    content: Payload,
    permit: permit_client::Permit,
    may_run_twice: bool,
) -> (Try, u32) {
    let spare = match &content {
        Payload::Whole(bytes) => Some(bytes.clone()),
        Payload::Stream(_) => None,
    };
    let delay = second_delay(work, permit.expected).filter(|_| may_run_twice);
    let mut first = pin!(attempt::send(state, job, endpoint, content));
    let (Some(delay), Some(spare)) = (delay, spare) else {
        let tried = first.await;
        permit.end(tried.outcome());
        return (tried, 0);
    };
    let waited = timeout(delay, first.as_mut()).await;
    if let Some(tried) = waited {
        permit.end(tried.outcome());
        return (tried, 0);
    }
    let mut second = pin!(send_second(state, work, job, endpoint, spare));
    let race = future::or(async { Race::First(first.as_mut().await) }, async {
        Race::Second(second.as_mut().await)
    });
    match race.await {
        Race::First(tried) => {
            permit.end(tried.outcome());
            if tried.is_good() {
                return (tried, 1);
            }
            match second.await {
                Some(other) => (better(tried, other), 1),
                None => (tried, 0),
            }
        }
        Race::Second(Some(tried)) if tried.is_good() => {
            permit.end(Outcome::Dropped);
            (tried, 1)
        }
        Race::Second(other) => {
            let tried = first.await;
            permit.end(tried.outcome());
            match other {
                Some(other) => (better(tried, other), 1),
                None => (tried, 0),
            }
        }
    }
}

/// Chooses between two tries of a request: an answer, a good one above all.
fn better(first: Try, second: Try) -> Try {
    let is_answer = |tried: &Try| matches!(tried, Try::Answered(_));
    if second.is_good() && !first.is_good() || is_answer(&second) && !is_answer(&first) {
        second
    } else {
        first
    }
}

/// Which of two tries ended first.
enum Race {
    First(Try),
    /// `None` if there was no permit for it.
    Second(Option<Try>),
}

/// Returns after which time a second endpoint is tried, if enough time is left.
fn second_delay(work: &Work<'_>, expected: Duration) -> Option<Duration> {
    let usual = expected.max(SECOND_MIN) * SECOND_FACTOR;
    let latest = left(work.end).saturating_sub(expected * 3 / 2);
    let delay = usual.min(latest);
    (delay >= expected * 2).then_some(delay)
}

/// Asks for a second permit and sends the request again; `None` without a permit.
async fn send_second(
    state: &Arc<State>,
    work: &Work<'_>,
    job: &Job<'_>,
    first: &Endpoint,
    content: Bytes,
) -> Option<Try> {
    let ask = work.ask(state, content.len() as u32, true, vec![first.id.clone()]);
    let permit_client::Answer::Go(permit) = permit_client::ask(state, work.service, ask).await
    else {
        return None;
    };
    let endpoint = target(state, &permit.endpoint)?;
    let tried = attempt::send(state, job, &endpoint, Payload::Whole(content)).await;
    permit.end(tried.outcome());
    Some(tried)
}

impl Work<'_> {
    fn ask(
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
            goal_us: left(self.goal_end).as_micros() as u64,
            left_us: left(self.end).as_micros() as u64,
            is_repeat,
            is_return: false,
            subject: self.subject,
            patience_us: left(self.patience_end).as_micros() as u64,
            bytes,
            zone: state.settings.zone.clone(),
            avoid,
        }
    }
}

/// Hashes what a request asks for.
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

fn find<'a>(manifest: &'a Manifest, parts: &Parts) -> Result<&'a Route, Reply> {
    let host = match parts.uri.authority() {
        Some(authority) => authority.as_str(),
        None => {
            let host = parts.headers.get(HOST);
            host.and_then(|host| host.to_str().ok())
                .ok_or(Reply::Malformed)?
        }
    };
    let route = manifest.route(host, parts.uri.path());
    route.ok_or(Reply::NoRoute)
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Reads a request body, whole if it is not too long to be kept.
async fn payload(body: Incoming, end: Instant) -> Result<Payload, Reply> {
    if body.is_end_stream() {
        return Ok(Payload::Whole(Bytes::new()));
    }
    let is_long = body.size_hint().lower() > KEPT_BODY as u64;
    if is_long {
        return Ok(Payload::Stream(body.map_err(Into::into).boxed_unsync()));
    }
    let mut body = body;
    let mut read = BytesMut::new();
    loop {
        let frame = timeout(left(end), body.frame()).await;
        let frame = match frame {
            None => return Err(Reply::NotRun("body_late", TRY_MIN)),
            Some(None) => return Ok(Payload::Whole(read.freeze())),
            Some(Some(Err(_))) => return Err(Reply::Malformed),
            Some(Some(Ok(frame))) => frame,
        };
        if let Ok(data) = frame.into_data() {
            read.extend_from_slice(&data);
        }
        if read.len() > KEPT_BODY {
            let body = Prefixed {
                prefix: Some(read.freeze()),
                rest: body.map_err(Into::into).boxed_unsync(),
            };
            return Ok(Payload::Stream(body.boxed_unsync()));
        }
    }
}

/// Logs what was decided: every failure, and a sample of the successes.
fn note(
    state: &State,
    work: &Work<'_>,
    (trail, answer): &(Trail, Result<Response<Body>, Reply>),
    began: Instant,
    count: u64,
) {
    let took = began.elapsed();
    let (status, reason) = match answer {
        Ok(response) => (response.status(), "answered"),
        Err(reply) => (reply.status(), reply.name()),
    };
    metrics::histogram!(
        "rhubarbpick_request_seconds",
        "service" => work.service.to_owned(),
        "outcome" => reason
    )
    .record(took.as_secs_f64());
    if status.is_success() && count % LOG_ONE_IN != 0 {
        return;
    }
    let view = state.view();
    let version = view
        .manifest
        .as_ref()
        .map_or(0, |manifest| manifest.version);
    let table = view
        .table(work.service)
        .map_or(0, |(revision, _)| *revision);
    let kind = match work.route.repeat {
        Idempotency::Idempotent => "idempotent",
        Idempotency::Once => "once",
        Idempotency::Upload => "upload",
    };
    log::info!(
        "event=request id={} route={} service={} kind={kind} key={} status={} reason={reason} \
         last={} tries={} endpoint={} took_ms={} left_ms={} returned={} manifest={version} \
         table={table} age_ms={}",
        work.id.to_str().unwrap_or("unreadable"),
        work.route.name,
        work.service,
        work.key.map_or(-1, i64::from),
        status.as_u16(),
        trail.last,
        trail.tries,
        trail.endpoint,
        took.as_millis(),
        left(work.end).as_millis(),
        trail.is_return,
        state.age().as_millis(),
    );
}
