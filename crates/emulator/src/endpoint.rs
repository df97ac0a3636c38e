//! Emulator of an endpoint: a server with slots that owns keys exclusively.
//!
//! A request occupies one of a fixed number of slots, which are assigned in
//! order of arrival, for the time in its `work_ms` parameter. The response
//! echoes the request's ID, or has the size in the `bytes` parameter.

use crate::{
    holder::Holder,
    ledger::{
        self,
        Event,
        Ledger, //
    },
    support::numeric_parameter,
};
use async_lock::Semaphore;
use http_body_util::BodyExt;
use hyper::{
    body::Incoming,
    header::HeaderValue,
    HeaderMap,
    Method,
    Request,
    Response,
    StatusCode, //
};
use rhubarbpick::{
    core::{
        renewal::Order,
        table::Incarnation,
        token::Token, //
    },
    edge::header,
    kernel::{
        clock,
        error::Error,
        http::{
            self,
            answer,
            collect,
            json,
            Body,
            Limits,
            Listener, //
        },
        runtime::{
            sleep,
            Context, //
        },
    },
};
use serde::Serialize;
use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc, Mutex,
    },
    time::Duration,
};

/// Largest body of an order.
const ORDER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Header field in which a caller sends the ID of its request.
pub const REQUEST_ID: &str = "request-id";

/// Settings of an endpoint.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, which the responses contain.
    pub name: Box<str>,
    /// Number of requests that run concurrently.
    pub slots: usize,
    /// Whether a request runs only if its shard is held.
    pub keyed: bool,
    /// Whether all requests are refused with status 503, as by a server that sheds load.
    pub sheds: bool,
}

struct Shared {
    settings: Settings,
    holder: Mutex<Holder>,
    slots: Semaphore,
    ledger: Ledger,
    tickets: Mutex<Tickets>,
    arrivals: AtomicU64,
}

/// Tickets of the protected requests that took effect here.
#[derive(Default)]
struct Tickets {
    committed: Vec<Box<str>>,
}

/// Handle of a running endpoint.
pub struct Endpoint {
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    listener: Listener,
}

#[derive(Serialize)]
struct Echo<'a> {
    endpoint: &'a str,
    id: &'a str,
    path: &'a str,
    body_bytes: u64,
}

/// Starts an endpoint on `address`.
///
/// The ledger is appended to the file `ledger`, if one is given.
pub fn bind(
    context: &Context,
    address: SocketAddr,
    settings: Settings,
    ledger: Option<&Path>,
) -> Result<Endpoint, Error> {
    let run = clock::wall_micros();
    let ledger = ledger::open(ledger).map_err(|source| Error::Read {
        path: "the ledger".into(),
        source,
    })?;
    ledger.append(&Event::Start {
        at: clock::now().0,
        run,
    });
    let shared = Arc::new(Shared {
        slots: Semaphore::new(settings.slots),
        settings,
        holder: Mutex::new(Holder::new(Incarnation(run))),
        ledger,
        tickets: Mutex::default(),
        arrivals: AtomicU64::new(0),
    });
    let handler_shared = Arc::clone(&shared);
    let handler: http::Handler =
        Arc::new(move |request| Box::pin(handle(Arc::clone(&handler_shared), request)));
    let listener = http::bind(context, address, Limits::default(), handler)?;
    Ok(Endpoint {
        address: listener.address,
        shared,
        listener,
    })
}

impl Endpoint {
    /// Returns the number of callers' requests that arrived, refused ones included.
    pub fn arrivals(&self) -> u64 {
        self.shared.arrivals.load(Ordering::Relaxed)
    }

    /// Returns one ticket for each time that a protected request took effect here.
    pub fn tickets(&self) -> Vec<Box<str>> {
        self.shared.tickets.lock().unwrap().committed.clone()
    }

    /// Closes the listener while shards may still be held; waits at most `span` for requests
    /// in flight.
    pub async fn close(self, span: Duration) {
        self.listener.drain(span).await;
    }

    /// Asks that the shards be moved away, waits at most `span` until none is held and no
    /// request runs, and closes the listener.
    pub async fn drain(self, span: Duration) {
        start_leaving(&self.shared);
        let drained = async {
            while !self.shared.holder.lock().unwrap().is_empty() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        rhubarbpick::kernel::runtime::timeout(span, drained).await;
        self.listener.drain(span).await;
    }
}

fn start_leaving(shared: &Shared) {
    shared.holder.lock().unwrap().leave();
    shared.ledger.append(&Event::Leave { at: clock::now().0 });
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/-/order") => {
            let answer = shared.holder.lock().unwrap().answer(clock::now());
            json(StatusCode::OK, &answer)
        }
        (&Method::POST, "/-/order") => apply_order(&shared, request).await,
        (&Method::POST, "/-/leave") => {
            start_leaving(&shared);
            answer(StatusCode::OK, "text/plain", "leaving\n")
        }
        _ => serve(&shared, request).await,
    }
}

async fn apply_order(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let bytes = collect(request.into_body(), ORDER_MAX_BYTES)
        .await
        .unwrap_or_default();
    let Ok(order) = serde_json::from_slice::<Order>(&bytes) else {
        return answer(
            StatusCode::BAD_REQUEST,
            "text/plain",
            "the body is not a valid order\n",
        );
    };
    let mut holder = shared.holder.lock().unwrap();
    let previous = (holder.shards(), holder.expires());
    let now = clock::now();
    let result = holder.apply(&order, now);
    let until = holder.expires().0;
    if result.is_ok() {
        let shards = holder.shards();
        let event = if shards == previous.0 && now < previous.1 {
            Event::Renew { at: now.0, until }
        } else {
            Event::Hold {
                at: now.0,
                until,
                token: order.token,
                shards,
            }
        };
        shared.ledger.append(&event);
    }
    let status = if result.is_ok() {
        StatusCode::OK
    } else {
        StatusCode::CONFLICT
    };
    json(status, &holder.answer(clock::now()))
}

/// A request that has started.
///
/// It ends when dropped, also when the caller closes the connection.
struct Execution<'a> {
    shared: &'a Shared,
    number: Option<u64>,
    id: Box<str>,
    shard: Option<u32>,
    start: u64,
    ran: bool,
}

impl Drop for Execution<'_> {
    fn drop(&mut self) {
        let mut holder = self.shared.holder.lock().unwrap();
        self.shared.ledger.append(&Event::Run {
            id: self.id.clone(),
            shard: self.shard,
            start: self.start,
            end: clock::now().0,
            ran: self.ran,
        });
        if let Some(number) = self.number {
            holder.end_work(number);
        }
    }
}

impl Execution<'_> {
    /// Marks the request as run if it may still take effect, and returns whether it may.
    fn commit(&mut self) -> bool {
        let holder = self.shared.holder.lock().unwrap();
        let is_allowed = match self.number {
            Some(number) => holder.may_commit(number, clock::now()),
            None => true,
        };
        self.ran = is_allowed;
        is_allowed
    }
}

async fn serve(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let work_time = Duration::from_millis(numeric_parameter(&request, "work_ms"));
    let response_bytes = numeric_parameter(&request, "bytes") as usize;
    let (parts, mut body) = request.into_parts();
    shared.arrivals.fetch_add(1, Ordering::Relaxed);
    if shared.settings.sheds {
        return not_run_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let _slot = shared.slots.acquire().await;
    let Some(mut execution) = begin(shared, &parts.headers) else {
        return not_run_response(StatusCode::MISDIRECTED_REQUEST);
    };
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return answer(
                StatusCode::BAD_REQUEST,
                "text/plain",
                "the request body ended early\n",
            );
        };
        received += frame.data_ref().map_or(0, |data| data.len() as u64);
    }
    sleep(work_time).await;
    if !execution.commit() {
        return not_run_response(StatusCode::MISDIRECTED_REQUEST);
    }
    let id = execution.id.clone();
    drop(execution);
    if let Some(ticket) = parts.headers.get(header::TICKET) {
        let ticket = ticket.to_str().unwrap_or_default();
        shared.tickets.lock().unwrap().committed.push(ticket.into());
    }
    if response_bytes > 0 {
        return answer(
            StatusCode::OK,
            "application/octet-stream",
            vec![b'x'; response_bytes],
        );
    }
    let echo = Echo {
        endpoint: &shared.settings.name,
        id: &id,
        path: parts.uri.path(),
        body_bytes: received,
    };
    json(StatusCode::OK, &echo)
}

/// Starts a request; `None` if the service is keyed and the request must not run here.
fn begin<'a>(shared: &'a Shared, headers: &HeaderMap) -> Option<Execution<'a>> {
    let field = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let id: Box<str> = field(REQUEST_ID).unwrap_or_default().into();
    let mut holder = shared.holder.lock().unwrap();
    let now = clock::now();
    let mut shard = None;
    let mut number = None;
    if shared.settings.keyed {
        shard = Some(field(header::SHARD)?.parse().ok()?);
        let fence = Token::parse(field(header::FENCE)?)?;
        number = Some(holder.begin_work(shard?, fence, now).ok()?);
    }
    Some(Execution {
        shared,
        number,
        id,
        shard,
        start: now.0,
        ran: false,
    })
}

fn not_run_response(status: StatusCode) -> Response<Body> {
    let mut response = answer(status, "text/plain", "the request did not run\n");
    let value = HeaderValue::from_static(header::NOT_RUN);
    response.headers_mut().insert(header::OUTCOME, value);
    response
}
