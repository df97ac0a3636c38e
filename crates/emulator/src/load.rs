//! Open-loop load.
//!
//! Requests start at times drawn beforehand from a seed, whether or not
//! earlier ones were answered, and latency counts from the intended start. A
//! slow system therefore cannot slow down the load that measures it.

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

/// Path at which tickets are issued.
const TICKETS_PATH: &str = "/-/tickets";

/// Most tries of a caller for one request.
const TRIES: u32 = 8;

/// Pause before a caller repeats a request.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);

/// Connections from the load tool to one entry.
const CONNECTIONS: usize = 512;

fn one() -> f64 {
    1.0
}

/// Requests of one kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Name, for the results.
    pub name: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Start of the path, before the key.
    pub prefix: Box<str>,
    /// End of the path, after the key.
    #[serde(default)]
    pub suffix: Box<str>,
    /// Requests a second.
    pub rate: f64,
    /// Number of keys.
    pub keys: u64,
    /// Exponent of the Zipf law by which keys are drawn; zero draws them evenly.
    #[serde(default)]
    pub zipf: f64,
    /// Bytes in the body.
    #[serde(default)]
    pub body_bytes: usize,
    /// Bytes asked for in the answer; zero asks for an echo.
    #[serde(default)]
    pub answer_bytes: usize,
    /// Service time in milliseconds.
    pub work_ms: u64,
    /// Share of requests that take longer.
    #[serde(default)]
    pub straggler_share: f64,
    /// How many times longer those take.
    #[serde(default = "one")]
    pub straggler_times: f64,
    /// Whether requests are sent under tickets.
    #[serde(default)]
    pub protected: bool,
    /// Whether the rate follows the crest.
    #[serde(default, rename = "cresting")]
    pub bursts: bool,
}

/// A time in which cresting streams send more.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in milliseconds from the start of the load.
    pub from_ms: u64,
    /// End.
    pub to_ms: u64,
    /// Factor on the rates.
    pub times: f64,
}

/// A load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Kinds of requests.
    pub streams: Vec<Stream>,
    /// Crest, if any.
    #[serde(default, rename = "crest")]
    pub burst: Option<Burst>,
    /// Length in milliseconds.
    pub span_ms: u64,
    /// Seed of all random draws.
    pub seed: u64,
}

/// What became of one request.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Record {
    /// Identity of the request.
    pub id: Box<str>,
    /// Index of its stream.
    pub stream: usize,
    /// Outcome that the caller was told last.
    pub outcome: Outcome,
    /// Whether the answer was whole and the request's own.
    pub intact: bool,
    /// Tries.
    pub tries: u32,
    /// Latency from the intended start, in microseconds.
    pub latency_us: u64,
    /// Intended start, in microseconds from the start of the load.
    pub start_us: u64,
}

/// Outcome as callers are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran.
    Ran,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It was refused as wrong.
    Rejected,
}

struct Shared {
    load: Load,
    entries: Vec<SocketAddr>,
    pools: Set,
    next_entry: AtomicUsize,
    records: Mutex<Vec<Record>>,
    open: AtomicUsize,
}

/// A load that is running.
pub struct Run {
    shared: Arc<Shared>,
    tasks: Vec<async_executor::Task<()>>,
}

/// Starts a load on some entries.
pub fn spawn(context: &Context, load: Load, entries: Vec<SocketAddr>) -> Run {
    let shared = Arc::new(Shared {
        pools: Set::new(context, CONNECTIONS),
        entries,
        next_entry: AtomicUsize::new(0),
        records: Mutex::default(),
        open: AtomicUsize::new(0),
        load,
    });
    let streams = 0..shared.load.streams.len();
    let tasks = streams.map(|index| {
        let task = drive(context.clone(), Arc::clone(&shared), index);
        context.start(task)
    });
    Run {
        tasks: tasks.collect(),
        shared,
    }
}

impl Run {
    /// Returns the number of requests that were answered so far.
    pub fn answered(&self) -> usize {
        self.shared.records.lock().unwrap().len()
    }

    /// Waits for the end of the load and for all answers, at most `grace` longer.
    pub async fn finish(self, grace: Duration) -> Vec<Record> {
        for task in self.tasks {
            task.await;
        }
        let answers = async {
            while self.shared.open.load(Ordering::Acquire) > 0 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(grace, answers).await;
        std::mem::take(&mut self.shared.records.lock().unwrap())
    }
}

/// One request as it was drawn.
struct Draw {
    id: Box<str>,
    key: u64,
    work_ms: u64,
    start: Duration,
}

async fn drive(context: Context, shared: Arc<Shared>, index: usize) {
    let stream = shared.load.streams[index].clone();
    let seed = shared
        .load
        .seed
        .wrapping_mul(1_000_003)
        .wrapping_add(index as u64);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let begin = Instant::now();
    let span = Duration::from_millis(shared.load.span_ms);
    let mut at = Duration::ZERO;
    let mut number = 0;
    if stream.rate <= 0.0 {
        return;
    }
    loop {
        let rate = stream.rate * crest_factor(&shared.load, &stream, at);
        let gap: f64 = Exp::new(rate).map_or(1.0, |gap| gap.sample(&mut rng));
        at += Duration::from_secs_f64(gap);
        if at >= span {
            return;
        }
        number += 1;
        let draw = draw(&stream, number, at, shared.load.seed, &mut rng);
        sleep((begin + at).saturating_duration_since(Instant::now())).await;
        shared.open.fetch_add(1, Ordering::AcqRel);
        let task = Arc::clone(&shared);
        context.detach(async move {
            let record = send(&task, index, draw, begin + at).await;
            task.records.lock().unwrap().push(record);
            task.open.fetch_sub(1, Ordering::AcqRel);
        });
    }
}

fn crest_factor(load: &Load, stream: &Stream, at: Duration) -> f64 {
    let at = at.as_millis() as u64;
    match load.burst {
        Some(crest) if stream.bursts && (crest.from_ms..crest.to_ms).contains(&at) => crest.times,
        _ => 1.0,
    }
}

fn draw(stream: &Stream, number: u64, start: Duration, seed: u64, rng: &mut impl Rng) -> Draw {
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
    Draw {
        id: format!("{}-{seed}-{number}", stream.name).into(),
        key,
        work_ms: (stream.work_ms as f64 * times) as u64,
        start,
    }
}

/// What a caller learned from one try.
struct Told {
    outcome: Outcome,
    intact: bool,
    again: bool,
    unsent: bool,
}

async fn send(shared: &Shared, index: usize, draw: Draw, intended: Instant) -> Record {
    let stream = &shared.load.streams[index];
    let ticket = if stream.protected {
        ticket(shared).await
    } else {
        None
    };
    let mut tries = 0;
    let mut told = Told {
        outcome: Outcome::NotRun,
        intact: true,
        again: true,
        unsent: false,
    };
    let mut may_have_run = false;
    while tries < TRIES && told.again && (ticket.is_some() || !stream.protected) {
        if tries > 0 {
            sleep(REPEAT_PAUSE).await;
        }
        tries += 1;
        told = attempt(shared, stream, &draw, ticket.as_deref()).await;
        may_have_run |= told.outcome == Outcome::Unknown;
        told.again &= stream.protected;
    }
    if may_have_run && told.outcome == Outcome::NotRun {
        told.outcome = Outcome::Unknown;
    }
    Record {
        id: draw.id,
        stream: index,
        outcome: told.outcome,
        intact: told.intact,
        tries,
        latency_us: intended.elapsed().as_micros() as u64,
        start_us: draw.start.as_micros() as u64,
    }
}

fn entry(shared: &Shared) -> SocketAddr {
    let next = shared.next_entry.fetch_add(1, Ordering::Relaxed);
    shared.entries[next % shared.entries.len()]
}

#[derive(Deserialize)]
struct Issued {
    ticket: Box<str>,
}

/// Gets a ticket; tries other entries when one does not answer.
async fn ticket(shared: &Shared) -> Option<Box<str>> {
    for _ in 0..TRIES {
        let address = entry(shared);
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
            if let Ok(whole) = response.into_body().collect().await {
                let issued: Result<Issued, _> = serde_json::from_slice(&whole.to_bytes());
                return issued.ok().map(|issued| issued.ticket);
            }
        }
        sleep(REPEAT_PAUSE).await;
    }
    None
}

/// Sends a request as the platform's balancer would: to another entry if one is not there.
async fn attempt(shared: &Shared, stream: &Stream, draw: &Draw, ticket: Option<&str>) -> Told {
    let mut told = attempt_at(shared, entry(shared), stream, draw, ticket).await;
    let mut others = shared.entries.len() - 1;
    while told.unsent && others > 0 {
        others -= 1;
        told = attempt_at(shared, entry(shared), stream, draw, ticket).await;
    }
    told
}

async fn attempt_at(
    shared: &Shared,
    address: SocketAddr,
    stream: &Stream,
    draw: &Draw,
    ticket: Option<&str>,
) -> Told {
    let path = format!(
        "{}key-{}{}?work_ms={}&bytes={}",
        stream.prefix, draw.key, stream.suffix, draw.work_ms, stream.answer_bytes
    );
    let mut request = Request::builder()
        .method(&*stream.method)
        .uri(path)
        .header(HOST, address.to_string())
        .header(REQUEST_ID, &*draw.id);
    if let Some(ticket) = ticket {
        request = request.header(header::TICKET, ticket);
    }
    let body = full(vec![b'b'; stream.body_bytes]);
    let request = request
        .body(body)
        .expect("streams name valid methods and paths");
    let sent = shared
        .pools
        .get(address)
        .send(request, Duration::from_secs(60))
        .await;
    match sent {
        Err(rejected) => Told {
            outcome: if rejected.unsent.is_some() {
                Outcome::NotRun
            } else {
                Outcome::Unknown
            },
            intact: true,
            again: true,
            unsent: rejected.unsent.is_some(),
        },
        Ok(response) => {
            let (parts, body) = response.into_parts();
            let outcome = outcome(parts.status, &parts.headers);
            let whole = body.collect().await;
            let broken = whole.is_err();
            // An answer that visibly broke off is not taken for a whole one.
            let intact = match whole {
                Ok(whole) if outcome == Outcome::Ran => is_own(whole.to_bytes(), stream, &draw.id),
                _ => true,
            };
            Told {
                outcome: if broken { Outcome::Unknown } else { outcome },
                intact,
                again: broken || matches!(outcome, Outcome::NotRun | Outcome::Unknown),
                unsent: false,
            }
        }
    }
}

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

fn is_own(bytes: Bytes, stream: &Stream, id: &str) -> bool {
    if stream.answer_bytes > 0 {
        return bytes.len() == stream.answer_bytes;
    }
    let echo: Result<Echo, _> = serde_json::from_slice(&bytes);
    echo.is_ok_and(|echo| *echo.id == *id && echo.body_bytes == stream.body_bytes)
}

/// Waits until a service answers at every entry, at most `span`.
pub async fn wait_ready(
    context: &Context,
    entries: &[SocketAddr],
    path: &str,
    span: Duration,
) -> bool {
    let pools = Set::new(context, 4);
    let all = async {
        for &address in entries {
            while !answers(&pools, address, path).await {
                sleep(Duration::from_millis(20)).await;
            }
        }
        true
    };
    let limit = async {
        sleep(span).await;
        false
    };
    future::or(all, limit).await
}

async fn answers(pools: &Set, address: SocketAddr, path: &str) -> bool {
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
