//! Open-loop load generator.
//!
//! Requests start at times from a seeded random number generator, whether or
//! not earlier ones were answered, and latency is measured from the intended
//! start. This avoids coordinated omission: a slow system cannot slow down the
//! load that measures it.

use crate::endpoint::REQUEST_ID;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::{
    header::HOST,
    HeaderMap,
    Method,
    Request,
    StatusCode, //
};
use rand::{
    Rng,
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use rand_distr::{
    Distribution,
    Exp,
    Zipf, //
};
use rhubarbpick::{
    edge::header,
    kernel::{
        http::full,
        pool::Set,
        runtime::{
            sleep,
            timeout,
            Context, //
        },
    },
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        Arc, Mutex,
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Path at which an entry issues tickets.
const TICKETS_PATH: &str = "/-/tickets";

/// Most attempts of a caller per request, and to get its ticket.
const ATTEMPTS_MAX: u32 = 8;

/// Pause of a caller between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Most connections from the load generator to one entry.
const ENTRY_CONNECTIONS: usize = 512;

fn default_straggler_times() -> f64 {
    1.0
}

/// A stream of similar requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Name, for the results.
    pub name: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Part of the path before the key.
    pub prefix: Box<str>,
    /// Part of the path after the key.
    #[serde(default)]
    pub suffix: Box<str>,
    /// Mean number of requests per second; arrivals are a Poisson process.
    pub rate: f64,
    /// Number of keys.
    pub keys: u64,
    /// Exponent of the Zipf distribution of the keys; zero for a uniform distribution.
    #[serde(default)]
    pub zipf: f64,
    /// Size of the request body.
    #[serde(default)]
    pub body_bytes: usize,
    /// Size of the requested response; zero requests an echo.
    #[serde(default)]
    pub answer_bytes: usize,
    /// Service time at the endpoint, in milliseconds.
    pub work_ms: u64,
    /// Share of requests that are stragglers, with a longer service time, from 0 to 1.
    #[serde(default)]
    pub straggler_share: f64,
    /// Factor on the service time of stragglers.
    #[serde(default = "default_straggler_times")]
    pub straggler_times: f64,
    /// Whether requests are sent with a ticket and retried with the same ticket.
    #[serde(default)]
    pub protected: bool,
    /// Whether the rate rises during the burst of the load.
    #[serde(default, rename = "cresting")]
    pub bursts: bool,
}

/// Interval in which the streams marked for it send at a multiple of their rate.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in milliseconds since the start of the load.
    pub from_ms: u64,
    /// End, in milliseconds since the start of the load.
    pub to_ms: u64,
    /// Factor on the rate.
    pub times: f64,
}

/// Description of a load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Streams, which are sent concurrently.
    pub streams: Vec<Stream>,
    /// Burst, if there is one.
    #[serde(default, rename = "crest")]
    pub burst: Option<Burst>,
    /// Duration in milliseconds.
    pub span_ms: u64,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// Result of one request.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Record {
    /// ID of the request.
    pub id: Box<str>,
    /// Index of its stream in the load.
    pub stream: usize,
    /// Outcome as far as the caller knows after its last attempt.
    pub outcome: Outcome,
    /// False if a success response did not have the body that the request asked for.
    pub intact: bool,
    /// Number of attempts.
    pub tries: u32,
    /// Latency from the intended start, in microseconds.
    pub latency_us: u64,
    /// Intended start, in microseconds since the start of the load.
    pub start_us: u64,
}

/// Outcome of a request as a caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran.
    Ran,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request was rejected as invalid.
    Rejected,
}

struct Shared {
    load: Load,
    entries: Vec<SocketAddr>,
    pools: Set,
    next_entry: AtomicUsize,
    records: Mutex<Vec<Record>>,
    in_flight: AtomicUsize,
}

/// Handle of a load that is being sent.
pub struct Run {
    shared: Arc<Shared>,
    tasks: Vec<async_executor::Task<()>>,
}

/// Starts to send a load to `entries`, which take turns.
pub fn spawn(context: &Context, load: Load, entries: Vec<SocketAddr>) -> Run {
    let shared = Arc::new(Shared {
        pools: Set::new(context, ENTRY_CONNECTIONS),
        entries,
        next_entry: AtomicUsize::new(0),
        records: Mutex::default(),
        in_flight: AtomicUsize::new(0),
        load,
    });
    let streams = 0..shared.load.streams.len();
    let tasks = streams.map(|index| {
        let task = run_stream(context.clone(), Arc::clone(&shared), index);
        context.start(task)
    });
    Run {
        tasks: tasks.collect(),
        shared,
    }
}

impl Run {
    /// Returns the number of requests that have a result so far.
    pub fn completed(&self) -> usize {
        self.shared.records.lock().unwrap().len()
    }

    /// Waits until all requests are sent, then at most `grace` for their results.
    ///
    /// Requests without a result by then have no record.
    pub async fn finish(self, grace: Duration) -> Vec<Record> {
        for task in self.tasks {
            task.await;
        }
        let drained = async {
            while self.shared.in_flight.load(Ordering::Acquire) > 0 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(grace, drained).await;
        std::mem::take(&mut self.shared.records.lock().unwrap())
    }
}

/// A request that the generator has drawn.
struct Arrival {
    id: Box<str>,
    key: u64,
    work_ms: u64,
    start: Duration,
}

/// Sends the requests of one stream until the end of the load.
async fn run_stream(context: Context, shared: Arc<Shared>, index: usize) {
    let stream = shared.load.streams[index].clone();
    let seed = shared
        .load
        .seed
        .wrapping_mul(1_000_003)
        .wrapping_add(index as u64);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let started = Instant::now();
    let span = Duration::from_millis(shared.load.span_ms);
    let mut at = Duration::ZERO;
    let mut number = 0;
    if stream.rate <= 0.0 {
        return;
    }
    loop {
        let rate = stream.rate * burst_factor(&shared.load, &stream, at);
        let gap: f64 = Exp::new(rate).map_or(1.0, |gap| gap.sample(&mut rng));
        at += Duration::from_secs_f64(gap);
        if at >= span {
            return;
        }
        number += 1;
        let arrival = draw_arrival(&stream, number, at, shared.load.seed, &mut rng);
        sleep((started + at).saturating_duration_since(Instant::now())).await;
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        let request_shared = Arc::clone(&shared);
        context.detach(async move {
            let record = send(&request_shared, index, arrival, started + at).await;
            request_shared.records.lock().unwrap().push(record);
            request_shared.in_flight.fetch_sub(1, Ordering::AcqRel);
        });
    }
}

fn burst_factor(load: &Load, stream: &Stream, at: Duration) -> f64 {
    let at = at.as_millis() as u64;
    match load.burst {
        Some(burst) if stream.bursts && (burst.from_ms..burst.to_ms).contains(&at) => burst.times,
        _ => 1.0,
    }
}

/// Draws the key and the service time of the next request.
fn draw_arrival(
    stream: &Stream,
    number: u64,
    start: Duration,
    seed: u64,
    rng: &mut impl Rng,
) -> Arrival {
    let keys = stream.keys.max(1);
    let key = if stream.zipf > 0.0 {
        Zipf::new(keys as f64, stream.zipf).map_or(0, |zipf| zipf.sample(rng) as u64)
    } else {
        rng.random_range(0..keys)
    };
    let is_straggler = rng.random_bool(stream.straggler_share.clamp(0.0, 1.0));
    let times = if is_straggler {
        stream.straggler_times
    } else {
        1.0
    };
    Arrival {
        id: format!("{}-{seed}-{number}", stream.name).into(),
        key,
        work_ms: (stream.work_ms as f64 * times) as u64,
        start,
    }
}

/// Result of one attempt.
struct Attempt {
    outcome: Outcome,
    intact: bool,
    may_retry: bool,
    is_unsent: bool,
}

/// Sends a request as a caller would, with a ticket and retries if it is protected.
async fn send(shared: &Shared, index: usize, arrival: Arrival, intended_start: Instant) -> Record {
    let stream = &shared.load.streams[index];
    let ticket = if stream.protected {
        get_ticket(shared).await
    } else {
        None
    };
    let mut tries = 0;
    let mut last = Attempt {
        outcome: Outcome::NotRun,
        intact: true,
        may_retry: true,
        is_unsent: false,
    };
    let mut may_have_run = false;
    while tries < ATTEMPTS_MAX && last.may_retry && (ticket.is_some() || !stream.protected) {
        if tries > 0 {
            sleep(RETRY_PAUSE).await;
        }
        tries += 1;
        last = attempt(shared, stream, &arrival, ticket.as_deref()).await;
        may_have_run |= last.outcome == Outcome::Unknown;
        last.may_retry &= stream.protected;
    }
    if may_have_run && last.outcome == Outcome::NotRun {
        last.outcome = Outcome::Unknown;
    }
    Record {
        id: arrival.id,
        stream: index,
        outcome: last.outcome,
        intact: last.intact,
        tries,
        latency_us: intended_start.elapsed().as_micros() as u64,
        start_us: arrival.start.as_micros() as u64,
    }
}

/// Returns the entry for the next attempt, round-robin.
fn next_entry(shared: &Shared) -> SocketAddr {
    let next = shared.next_entry.fetch_add(1, Ordering::Relaxed);
    shared.entries[next % shared.entries.len()]
}

#[derive(Deserialize)]
struct Issued {
    ticket: Box<str>,
}

/// Gets a ticket; tries the next entry if one does not respond.
async fn get_ticket(shared: &Shared) -> Option<Box<str>> {
    for _ in 0..ATTEMPTS_MAX {
        let address = next_entry(shared);
        let request = Request::builder()
            .method(Method::POST)
            .uri(TICKETS_PATH)
            .header(HOST, address.to_string())
            .body(full(Bytes::new()))
            .expect("the path is valid");
        let sent = shared
            .pools
            .get(address)
            .send(request, Duration::from_secs(1))
            .await;
        if let Ok(response) = sent {
            if let Ok(collected) = response.into_body().collect().await {
                let issued: Result<Issued, _> = serde_json::from_slice(&collected.to_bytes());
                return issued.ok().map(|issued| issued.ticket);
            }
        }
        sleep(RETRY_PAUSE).await;
    }
    None
}

/// Makes one attempt; like the platform's load balancer, tries the next entry if one cannot
/// be reached.
async fn attempt(
    shared: &Shared,
    stream: &Stream,
    arrival: &Arrival,
    ticket: Option<&str>,
) -> Attempt {
    let mut result = attempt_at(shared, next_entry(shared), stream, arrival, ticket).await;
    let mut others = shared.entries.len() - 1;
    while result.is_unsent && others > 0 {
        others -= 1;
        result = attempt_at(shared, next_entry(shared), stream, arrival, ticket).await;
    }
    result
}

async fn attempt_at(
    shared: &Shared,
    address: SocketAddr,
    stream: &Stream,
    arrival: &Arrival,
    ticket: Option<&str>,
) -> Attempt {
    let path = format!(
        "{}key-{}{}?work_ms={}&bytes={}",
        stream.prefix, arrival.key, stream.suffix, arrival.work_ms, stream.answer_bytes
    );
    let mut request = Request::builder()
        .method(&*stream.method)
        .uri(path)
        .header(HOST, address.to_string())
        .header(REQUEST_ID, &*arrival.id);
    if let Some(ticket) = ticket {
        request = request.header(header::TICKET, ticket);
    }
    let body = full(vec![b'b'; stream.body_bytes]);
    let request = request
        .body(body)
        .expect("the method and path of the stream are valid");
    let sent = shared
        .pools
        .get(address)
        .send(request, Duration::from_secs(60))
        .await;
    match sent {
        Err(failed) => Attempt {
            outcome: if failed.unsent.is_some() {
                Outcome::NotRun
            } else {
                Outcome::Unknown
            },
            intact: true,
            may_retry: true,
            is_unsent: failed.unsent.is_some(),
        },
        Ok(response) => {
            let (parts, body) = response.into_parts();
            let outcome = outcome(parts.status, &parts.headers);
            let collected = body.collect().await;
            let is_incomplete = collected.is_err();
            // A response that visibly ended early cannot be mistaken for a complete one, so it
            // does not count as damaged.
            let intact = match collected {
                Ok(collected) if outcome == Outcome::Ran => {
                    is_expected(collected.to_bytes(), stream, &arrival.id)
                }
                _ => true,
            };
            Attempt {
                outcome: if is_incomplete {
                    Outcome::Unknown
                } else {
                    outcome
                },
                intact,
                may_retry: is_incomplete || matches!(outcome, Outcome::NotRun | Outcome::Unknown),
                is_unsent: false,
            }
        }
    }
}

/// Returns the outcome that a response reports.
fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let field = headers.get(header::OUTCOME);
    let text = field
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    match text {
        header::RAN if status.is_success() => Outcome::Ran,
        header::RAN => Outcome::Rejected,
        header::NOT_RUN if status == StatusCode::SERVICE_UNAVAILABLE => Outcome::NotRun,
        header::NOT_RUN => Outcome::Rejected,
        _ => Outcome::Unknown,
    }
}

#[derive(Deserialize)]
struct Echo {
    id: Box<str>,
    body_bytes: usize,
}

/// Returns whether a response body is the one that the request asked for.
fn is_expected(bytes: Bytes, stream: &Stream, id: &str) -> bool {
    if stream.answer_bytes > 0 {
        return bytes.len() == stream.answer_bytes;
    }
    let echo: Result<Echo, _> = serde_json::from_slice(&bytes);
    echo.is_ok_and(|echo| *echo.id == *id && echo.body_bytes == stream.body_bytes)
}

/// Waits at most `span` until `path` gets a success response at every entry, and returns whether
/// it did.
pub async fn wait_ready(
    context: &Context,
    entries: &[SocketAddr],
    path: &str,
    span: Duration,
) -> bool {
    let pools = Set::new(context, 4);
    let all_ready = async {
        for &address in entries {
            while !is_ready(&pools, address, path).await {
                sleep(Duration::from_millis(20)).await;
            }
        }
        true
    };
    let time_out = async {
        sleep(span).await;
        false
    };
    future::or(all_ready, time_out).await
}

async fn is_ready(pools: &Set, address: SocketAddr, path: &str) -> bool {
    let request = Request::builder()
        .uri(path)
        .header(HOST, address.to_string())
        .header(REQUEST_ID, "probe")
        .body(full(Bytes::new()))
        .expect("the path is valid");
    let sent = pools
        .get(address)
        .send(request, Duration::from_secs(2))
        .await;
    let Ok(response) = sent else { return false };
    response.status() == StatusCode::OK && response.into_body().collect().await.is_ok()
}
