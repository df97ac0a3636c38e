//! Stand-in for an endpoint: a server with slots that owns keys exclusively.
//!
//! Work takes as long as the request's `work_ms` parameter says, in one of a
//! fixed number of slots that are given out in the order of arrival. The
//! answer echoes the request's identity, or has as many bytes as the `bytes`
//! parameter says.

use crate::{
    holder::Holder,
    ledger::{
        self,
        Event,
        Ledger, //
    },
    support::number,
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

/// Largest order in bytes.
const ORDER_LIMIT: usize = 4 * 1024 * 1024;

/// Header field in which a caller names its request.
pub const REQUEST_ID: &str = "request-id";

/// What an endpoint is like.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, for the answers.
    pub name: Box<str>,
    /// Requests that run at a time.
    pub slots: usize,
    /// Whether work needs a held shard.
    pub keyed: bool,
    /// Whether all work is refused, as by a server that sheds its load.
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

/// Protected requests that took effect here.
#[derive(Default)]
struct Tickets {
    seen: Vec<Box<str>>,
}

/// A running endpoint.
pub struct Endpoint {
    /// Address that it listens on.
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

/// Starts an endpoint.
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
    ledger.note(&Event::Start {
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
    let for_handler = Arc::clone(&shared);
    let handler: http::Handler =
        Arc::new(move |request| Box::pin(handle(Arc::clone(&for_handler), request)));
    let listener = http::bind(context, address, Limits::default(), handler)?;
    Ok(Endpoint {
        address: listener.address,
        shared,
        listener,
    })
}

impl Endpoint {
    /// Returns the number of pieces of work that arrived, refused ones included.
    pub fn arrivals(&self) -> u64 {
        self.shared.arrivals.load(Ordering::Relaxed)
    }

    /// Returns the tickets of the protected requests that took effect here.
    pub fn tickets(&self) -> Vec<Box<str>> {
        self.shared.tickets.lock().unwrap().seen.clone()
    }

    /// Closes without being emptied.
    pub async fn close(self, span: Duration) {
        self.listener.drain(span).await;
    }

    /// Asks to be emptied, waits until it is, and closes.
    pub async fn drain(self, span: Duration) {
        start_leaving(&self.shared);
        let emptied = async {
            while !self.shared.holder.lock().unwrap().is_empty() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        rhubarbpick::kernel::runtime::timeout(span, emptied).await;
        self.listener.drain(span).await;
    }
}

fn start_leaving(shared: &Shared) {
    shared.holder.lock().unwrap().leave();
    shared.ledger.note(&Event::Leave { at: clock::now().0 });
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/-/order") => {
            let answer = shared.holder.lock().unwrap().answer(clock::now());
            json(StatusCode::OK, &answer)
        }
        (&Method::POST, "/-/order") => obey(&shared, request).await,
        (&Method::POST, "/-/leave") => {
            start_leaving(&shared);
            answer(StatusCode::OK, "text/plain", "leaving\n")
        }
        _ => work(&shared, request).await,
    }
}

async fn obey(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let bytes = collect(request.into_body(), ORDER_LIMIT)
        .await
        .unwrap_or_default();
    let Ok(order) = serde_json::from_slice::<Order>(&bytes) else {
        return answer(StatusCode::BAD_REQUEST, "text/plain", "not an order\n");
    };
    let mut holder = shared.holder.lock().unwrap();
    let before = (holder.shards(), holder.expires());
    let now = clock::now();
    let obeyed = holder.apply(&order, now);
    let until = holder.expires().0;
    if obeyed.is_ok() {
        let shards = holder.shards();
        let event = if shards == before.0 && now < before.1 {
            Event::Renew { at: now.0, until }
        } else {
            Event::Hold {
                at: now.0,
                until,
                token: order.token,
                shards,
            }
        };
        shared.ledger.note(&event);
    }
    let status = if obeyed.is_ok() {
        StatusCode::OK
    } else {
        StatusCode::CONFLICT
    };
    json(status, &holder.answer(clock::now()))
}

/// Work that was begun; ends when dropped, also when the caller leaves.
struct Running<'a> {
    shared: &'a Shared,
    number: Option<u64>,
    id: Box<str>,
    shard: Option<u32>,
    start: u64,
    ran: bool,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut holder = self.shared.holder.lock().unwrap();
        self.shared.ledger.note(&Event::Run {
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

impl Running<'_> {
    /// Lets the work take effect if it still may.
    fn commit(&mut self) -> bool {
        let holder = self.shared.holder.lock().unwrap();
        let may = match self.number {
            Some(number) => holder.may_commit(number, clock::now()),
            None => true,
        };
        self.ran = may;
        may
    }
}

async fn work(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let span = Duration::from_millis(number(&request, "work_ms"));
    let length = number(&request, "bytes") as usize;
    let (parts, mut body) = request.into_parts();
    shared.arrivals.fetch_add(1, Ordering::Relaxed);
    if shared.settings.sheds {
        return not_run(StatusCode::SERVICE_UNAVAILABLE);
    }
    let _slot = shared.slots.acquire().await;
    let Some(mut running) = begin(shared, &parts.headers) else {
        return not_run(StatusCode::MISDIRECTED_REQUEST);
    };
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return answer(
                StatusCode::BAD_REQUEST,
                "text/plain",
                "the body broke off\n",
            );
        };
        received += frame.data_ref().map_or(0, |data| data.len() as u64);
    }
    sleep(span).await;
    if !running.commit() {
        return not_run(StatusCode::MISDIRECTED_REQUEST);
    }
    let id = running.id.clone();
    drop(running);
    if let Some(ticket) = parts.headers.get(header::TICKET) {
        let ticket = ticket.to_str().unwrap_or_default();
        shared.tickets.lock().unwrap().seen.push(ticket.into());
    }
    if length > 0 {
        return answer(
            StatusCode::OK,
            "application/octet-stream",
            vec![b'x'; length],
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

fn begin<'a>(shared: &'a Shared, headers: &HeaderMap) -> Option<Running<'a>> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let id: Box<str> = text(REQUEST_ID).unwrap_or_default().into();
    let mut holder = shared.holder.lock().unwrap();
    let now = clock::now();
    let mut shard = None;
    let mut number = None;
    if shared.settings.keyed {
        shard = Some(text(header::SHARD)?.parse().ok()?);
        let fence = Token::parse(text(header::FENCE)?)?;
        number = Some(holder.begin_work(shard?, fence, now).ok()?);
    }
    Some(Running {
        shared,
        number,
        id,
        shard,
        start: now.0,
        ran: false,
    })
}

fn not_run(status: StatusCode) -> Response<Body> {
    let mut response = answer(status, "text/plain", "not run\n");
    let value = HeaderValue::from_static(header::NOT_RUN);
    response.headers_mut().insert(header::OUTCOME, value);
    response
}
