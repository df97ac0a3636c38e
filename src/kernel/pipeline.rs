//! Concurrent handling of pipelined HTTP/1.1 requests.
//!
//! The HTTP library handles the requests of a connection one after another. It remains the only
//! one that parses requests and writes responses, so its limits, timeouts and checks apply
//! unchanged and responses are in order. Beside it, a [`Scanner`] finds the heads of the
//! requests that the library has not reached yet, and their handlers are started early. When the
//! library reaches such a request, it gets the response of the handler that was started.
//!
//! The scanner accepts only heads that leave no doubt about where they end and that no body
//! follows. All other requests wait until those before them are answered, and so do all requests
//! after them. A connection without pipelining passes through without a copy.
//!
//! Designed for callers that send some eight requests of 45 to 200 ms at once on a connection.

use crate::{
    core::memory_budget::Purpose,
    kernel::{
        fair_stream,
        http::{
            Body,
            Handler, //
        },
        memory::{
            Account,
            Reservation, //
        },
        runtime, //
    },
};
use async_executor::Task;
use futures_lite::io::{
    AsyncRead,
    AsyncWrite,
    Cursor, //
};
use hyper::{
    body::{
        Body as _,
        Incoming, //
    },
    header::{
        HeaderMap,
        HeaderValue,
        CONNECTION,
        HOST, //
    },
    server::conn::http1,
    service::service_fn,
    Method,
    Request,
    Response,
    Uri, //
};
use smol_hyper::rt::FuturesIo;
use std::{
    collections::VecDeque,
    convert::Infallible,
    future::{
        pending,
        poll_fn,
        Future, //
    },
    io::{
        self,
        IoSlice, //
    },
    mem,
    pin::{
        pin,
        Pin, //
    },
    sync::{
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    task::{
        Context,
        Poll,
        Waker, //
    },
};

/// Longest head that the scanner accepts. The HTTP library accepts longer ones.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Most bytes that are read from a connection before the HTTP library asks for them.
const MAX_AHEAD_BYTES: usize = 16 * 1024;

/// Most bytes in heads of requests that wait to be started. Requests beyond them are not started
/// early.
const MAX_QUEUED_BYTES: usize = 32 * 1024;

/// Most requests that wait to be started. No more requests of a connection that exceeds it are
/// started early, so that many short heads cannot occupy much memory.
const MAX_QUEUED_REQUESTS: usize = 256;

/// Size of one read ahead.
const READ_BYTES: usize = 4 * 1024;

/// Bytes that a started request is taken to hold beside its response: its task, which waits for a
/// permit or an endpoint, and its head.
const TASK_BYTES: usize = 16 * 1024;

/// Function that tells from a request's target and `Host` field whether it may run concurrently
/// with other requests of its connection.
pub type MayOverlap = Arc<dyn Fn(&Uri, Option<&HeaderValue>) -> bool + Send + Sync>;

/// Limits on the requests of one connection that are started early.
#[derive(Clone)]
pub struct Pipelining {
    /// Maximum number of requests that have been started early and not been reached yet.
    pub max_requests: usize,
    /// Number of bytes in responses that wait for their turn from which no more requests are
    /// started. The responses to requests that are running then may still be added.
    pub max_bytes: usize,
    /// Tells which requests may run concurrently.
    pub may_overlap: MayOverlap,
}

/// Serves an HTTP/1.1 connection until it ends. When `shutdown` ends, the connection is closed
/// after the requests that have been started are answered.
pub async fn serve(
    context: &runtime::Context,
    (stream, account): (fair_stream::Stream, Option<Arc<Account>>),
    builder: &http1::Builder,
    handler: &Handler,
    pipelining: &Pipelining,
    shutdown: impl Future<Output = ()>,
) {
    let shared = Arc::new(Mutex::new(Shared {
        stream,
        account,
        reserved: None,
        ahead: Vec::new(),
        scanner: Scanner::default(),
        heads: VecDeque::new(),
        queued_bytes: 0,
        unqueued: 0,
        started: VecDeque::new(),
        current: None,
        is_busy: false,
        is_closing: false,
        limit_hit: false,
        held_bytes: Arc::default(),
    }));
    let service = service_fn(|request: Request<Incoming>| {
        let started = shared.lock().unwrap().next(&request);
        let plain = started.is_none().then(|| handler(request));
        let shared = &shared;
        async move {
            let mut response = match (started, plain) {
                (Some(started), _) => started.finish().await,
                (None, Some(plain)) => plain.await,
                (None, None) => unreachable!("a request that was not started early is handled"),
            };
            shared.lock().unwrap().on_response(&mut response);
            Ok::<_, Infallible>(response)
        }
    });
    let starter = Starter {
        context,
        builder,
        handler,
        pipelining,
    };
    let stream = fair_stream::io(SharedStream(Arc::clone(&shared)));
    let mut connection = pin!(builder.serve_connection(stream, service));
    let mut shutdown = pin!(shutdown);
    let mut is_draining = false;
    let mut is_shut_down = false;
    poll_fn(|context| loop {
        if !is_draining && shutdown.as_mut().poll(context).is_ready() {
            is_draining = true;
            shared.lock().unwrap().is_closing = true;
        }
        let may_shut_down = |is_shut_down: bool| {
            is_draining && !is_shut_down && shared.lock().unwrap().started.is_empty()
        };
        if may_shut_down(is_shut_down) {
            connection.as_mut().graceful_shutdown();
            is_shut_down = true;
        }
        if connection.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        let mut shared = shared.lock().unwrap();
        shared.start_requests(&starter);
        match shared.read_ahead(context) {
            Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(()),
            Poll::Ready(Ok(_)) => {}
            Poll::Pending => {
                drop(shared);
                if !may_shut_down(is_shut_down) {
                    return Poll::Pending;
                }
            }
        }
    })
    .await;
}

/// A request that was started before the HTTP library reached it.
struct Started {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    task: Task<Response<Body>>,
    held_bytes: Arc<HeldBytes>,
    _reserved: Option<Reservation>,
}

impl Started {
    /// Whether the request that the HTTP library has reached is the one that was started.
    fn is(&self, request: &Request<Incoming>) -> bool {
        self.method == *request.method()
            && self.uri == *request.uri()
            && self.headers == *request.headers()
    }

    async fn finish(self) -> Response<Body> {
        self.task.await
    }
}

/// Bytes of one response that waits for its turn, as a part of those of its connection.
struct HeldBytes {
    own: AtomicUsize,
    total: Arc<AtomicUsize>,
}

impl HeldBytes {
    fn add(&self, count: usize) {
        self.own.fetch_add(count, Ordering::Relaxed);
        self.total.fetch_add(count, Ordering::Relaxed);
    }

    fn release(&self) {
        let own = self.own.swap(0, Ordering::Relaxed);
        self.total.fetch_sub(own, Ordering::Relaxed);
    }
}

/// What is needed to start a request.
struct Starter<'a> {
    context: &'a runtime::Context,
    builder: &'a http1::Builder,
    handler: &'a Handler,
    pipelining: &'a Pipelining,
}

impl Starter<'_> {
    /// Parses a head with the HTTP library, by a connection of its own that is not continued.
    fn parse(&self, head: Vec<u8>) -> Option<Request<Incoming>> {
        let slot = Mutex::new(None);
        let service = service_fn(|request: Request<Incoming>| {
            *slot.lock().unwrap() = Some(request);
            pending::<Result<Response<Body>, Infallible>>()
        });
        let mut builder = self.builder.clone();
        let stream = FuturesIo::new(Cursor::new(head));
        {
            let connection = builder
                .header_read_timeout(None)
                .serve_connection(stream, service);
            let _ = pin!(connection).poll(&mut Context::from_waker(Waker::noop()));
        }
        let request = slot.into_inner().unwrap()?;
        request.body().is_end_stream().then_some(request)
    }

    fn may_overlap(&self, uri: &Uri, host: Option<&HeaderValue>) -> bool {
        (self.pipelining.may_overlap)(uri, host)
    }

    fn start(
        &self,
        request: Request<Incoming>,
        total: &Arc<AtomicUsize>,
        reserved: Option<Reservation>,
    ) -> Started {
        metrics::counter!("rhubarbpick_pipelined_requests_total").increment(1);
        let held_bytes = Arc::new(HeldBytes {
            own: AtomicUsize::new(0),
            total: Arc::clone(total),
        });
        let (method, uri) = (request.method().clone(), request.uri().clone());
        let headers = request.headers().clone();
        let handler = Arc::clone(self.handler);
        let task_bytes = Arc::clone(&held_bytes);
        let task = self.context.start(async move {
            let response = handler(request).await;
            task_bytes.add(response.body().size_hint().lower() as usize);
            response
        });
        Started {
            method,
            uri,
            headers,
            task,
            held_bytes,
            _reserved: reserved,
        }
    }
}

/// Target of the request that the HTTP library handles.
struct Current {
    uri: Uri,
    host: Option<HeaderValue>,
    has_body: bool,
}

/// State of a connection, shared by the stream, the service and the task of the connection.
struct Shared {
    stream: fair_stream::Stream,
    account: Option<Arc<Account>>,
    /// Memory for what is read ahead; kept for as long as the connection is open.
    reserved: Option<Reservation>,
    /// Bytes that were read before the HTTP library asked for them.
    ahead: Vec<u8>,
    scanner: Scanner,
    /// Requests that were found and neither started nor reached: the head, or `None` if the
    /// request has to wait.
    heads: VecDeque<Option<Vec<u8>>>,
    /// Number of bytes in `heads`.
    queued_bytes: usize,
    /// Number of requests found that the HTTP library reaches before those in `heads`.
    unqueued: usize,
    /// Requests that were started and not reached, which precede those in `heads`.
    started: VecDeque<Started>,
    current: Option<Current>,
    /// Whether the handler of the current request runs.
    is_busy: bool,
    /// Whether no more requests are started, because the connection is going to be closed.
    is_closing: bool,
    /// Whether a limit on this connection was reached and has been reported.
    limit_hit: bool,
    /// Number of bytes in responses that wait for their turn.
    held_bytes: Arc<AtomicUsize>,
}

impl Shared {
    /// Passes bytes of the connection to the scanner.
    fn scan(&mut self, bytes: &[u8]) {
        let Self {
            scanner,
            heads,
            queued_bytes,
            unqueued,
            started,
            is_busy,
            ..
        } = self;
        scanner.feed(bytes, |head, can_start| {
            if *unqueued == 0 && !*is_busy && heads.is_empty() && started.is_empty() {
                *unqueued = 1;
                return;
            }
            let is_kept = can_start && *queued_bytes + head.len() <= MAX_QUEUED_BYTES;
            if is_kept {
                *queued_bytes += head.len();
            }
            heads.push_back(is_kept.then(|| head.to_vec()));
        });
        if heads.len() > MAX_QUEUED_REQUESTS {
            scanner.give_up();
        }
    }

    /// Records that the HTTP library has reached a request, and returns it if it was started.
    fn next(&mut self, request: &Request<Incoming>) -> Option<Started> {
        self.is_busy = true;
        self.current = Some(Current {
            uri: request.uri().clone(),
            host: request.headers().get(HOST).cloned(),
            has_body: !request.body().is_end_stream(),
        });
        if self.unqueued > 0 {
            self.unqueued -= 1;
            return None;
        }
        let Some(started) = self.started.pop_front() else {
            let head = self.heads.pop_front();
            self.queued_bytes -= head.flatten().map_or(0, |head| head.len());
            return None;
        };
        started.held_bytes.release();
        if started.is(request) {
            return Some(started);
        }
        log::warn!("event=pipeline_mismatch");
        self.started.clear();
        self.heads.clear();
        self.queued_bytes = 0;
        self.scanner.give_up();
        None
    }

    /// Records that the current request has a response.
    fn on_response(&mut self, response: &mut Response<Body>) {
        self.is_busy = false;
        if !response.headers().contains_key(CONNECTION) {
            return;
        }
        if self.started.is_empty() {
            self.is_closing = true;
        } else {
            // The requests that were started are answered before the connection is closed.
            response.headers_mut().remove(CONNECTION);
        }
    }

    /// Starts requests behind the current one, as far as the limits allow.
    fn start_requests(&mut self, starter: &Starter<'_>) {
        if self.heads.is_empty() || self.unqueued > 0 || self.is_closing {
            return;
        }
        let Some(current) = &self.current else { return };
        if current.has_body || !starter.may_overlap(&current.uri, current.host.as_ref()) {
            return;
        }
        while let Some(Some(head)) = self.heads.front_mut() {
            let pipelining = starter.pipelining;
            let limit = if self.started.len() >= pipelining.max_requests {
                Some("requests")
            } else if self.held_bytes.load(Ordering::Relaxed) >= pipelining.max_bytes {
                Some("bytes")
            } else {
                None
            };
            if let Some(limit) = limit {
                if !self.limit_hit {
                    self.limit_hit = true;
                    metrics::counter!("rhubarbpick_pipeline_limited_total", "limit" => limit)
                        .increment(1);
                    log::info!("event=pipeline_limited limit={limit}");
                }
                return;
            }
            let reserved = self.account.as_ref();
            let reserved = reserved.map(|account| account.try_reserve(Purpose::Small, TASK_BYTES));
            if matches!(reserved, Some(None)) {
                // The HTTP library reaches the request later.
                return;
            }
            let head = mem::take(head);
            self.queued_bytes -= head.len();
            let request = starter
                .parse(head)
                .filter(|request| starter.may_overlap(request.uri(), request.headers().get(HOST)));
            let Some(request) = request else {
                // The request waits until those before it are answered.
                self.heads[0] = None;
                return;
            };
            self.heads.pop_front();
            let started = starter.start(request, &self.held_bytes, reserved.flatten());
            self.started.push_back(started);
        }
    }

    /// Reserves memory for what is read ahead; without it, the requests that have not been read
    /// wait until the HTTP library asks for them.
    fn reserve(&mut self) -> bool {
        let Some(account) = &self.account else {
            return true;
        };
        if self.reserved.is_none() {
            let bytes = MAX_AHEAD_BYTES + MAX_QUEUED_BYTES;
            self.reserved = account.try_reserve(Purpose::Small, bytes);
        }
        self.reserved.is_some()
    }

    /// Reads bytes before the HTTP library asks for them, which it does not do while it has a
    /// request that it has not reached. A result of 0 means that the caller has disconnected.
    fn read_ahead(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let is_pipelined = !self.heads.is_empty() || !self.started.is_empty();
        if !is_pipelined || self.ahead.len() >= MAX_AHEAD_BYTES || !self.reserve() {
            return Poll::Pending;
        }
        let mut buffer = [0; READ_BYTES];
        let polled = Pin::new(&mut self.stream).poll_read(context, &mut buffer);
        if let Poll::Ready(Ok(count)) = polled {
            self.ahead.extend_from_slice(&buffer[..count]);
            self.scan(&buffer[..count]);
        }
        polled
    }
}

/// The stream of a connection, as the HTTP library uses it.
struct SharedStream(Arc<Mutex<Shared>>);

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut shared = self.0.lock().unwrap();
        if !shared.ahead.is_empty() {
            let count = buffer.len().min(shared.ahead.len());
            buffer[..count].copy_from_slice(&shared.ahead[..count]);
            shared.ahead.drain(..count);
            return Poll::Ready(Ok(count));
        }
        let polled = Pin::new(&mut shared.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(count)) = polled {
            shared.scan(&buffer[..count]);
        }
        polled
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.lock().unwrap().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.lock().unwrap().stream).poll_write_vectored(context, slices)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.lock().unwrap().stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.lock().unwrap().stream).poll_close(context)
    }
}

/// Position of a [`Scanner`] in the bytes of a connection.
#[derive(Debug, Default)]
enum Position {
    /// In the head of a request, of which these bytes have been seen.
    Head(Vec<u8>),
    /// In a body of which this many bytes are left.
    Body(u64),
    /// Unknown. It stays unknown for the rest of the connection.
    #[default]
    Unknown,
}

/// Finds the heads of requests in the bytes of a connection.
#[derive(Debug)]
pub struct Scanner(Position);

impl Default for Scanner {
    fn default() -> Self {
        Self(Position::Head(Vec::new()))
    }
}

impl Scanner {
    /// Takes the next bytes and calls `on_head` with each head that is complete, and with whether
    /// the request may be started before those before it are answered.
    pub fn feed(&mut self, bytes: &[u8], mut on_head: impl FnMut(&[u8], bool)) {
        let mut joined;
        let mut bytes = bytes;
        if let Position::Head(partial) = &mut self.0 {
            if !partial.is_empty() {
                joined = mem::take(partial);
                joined.extend_from_slice(bytes);
                bytes = &joined;
            }
        }
        while !bytes.is_empty() {
            match &mut self.0 {
                Position::Unknown => return,
                Position::Body(left) => {
                    let count = (*left).min(bytes.len() as u64);
                    *left -= count;
                    bytes = &bytes[count as usize..];
                }
                Position::Head(_) => match parse_head(bytes) {
                    Parsed::Incomplete if bytes.len() < MAX_HEAD_BYTES => {
                        self.0 = Position::Head(bytes.to_vec());
                        return;
                    }
                    Parsed::Incomplete | Parsed::Unclear => self.give_up(),
                    Parsed::Complete {
                        length,
                        body,
                        is_last,
                    } => {
                        on_head(&bytes[..length], body.is_none());
                        bytes = &bytes[length..];
                        if is_last {
                            self.give_up();
                        } else if let Some(body) = body {
                            self.0 = Position::Body(body);
                        }
                    }
                },
            }
            if matches!(self.0, Position::Body(0)) {
                self.0 = Position::Head(Vec::new());
            }
        }
    }

    /// Finds no more heads.
    pub fn give_up(&mut self) {
        self.0 = Position::Unknown;
    }
}

/// Result of [`parse_head`].
enum Parsed {
    /// The head does not end within the bytes.
    Incomplete,
    /// The head is not plain enough to say where the request ends.
    Unclear,
    /// Length of the head, and of the body if one is announced.
    Complete {
        length: usize,
        body: Option<u64>,
        /// Whether the connection is closed after the response.
        is_last: bool,
    },
}

/// Parses the head at the start of `bytes`.
///
/// Accepts a part of what the HTTP library accepts: lines that end with CR LF, HTTP/1.1, no
/// folded fields, at most one length and no field that changes how the request or the connection
/// ends.
fn parse_head(bytes: &[u8]) -> Parsed {
    let mut length = 0;
    let mut body = None;
    let mut is_last = false;
    loop {
        let rest = &bytes[length..];
        let Some(end) = find_newline(rest) else {
            return Parsed::Incomplete;
        };
        let Some((b'\r', line)) = rest[..end].split_last() else {
            return Parsed::Unclear;
        };
        let is_first = length == 0;
        length += end + 1;
        if is_first {
            if !is_request_line(line) {
                return Parsed::Unclear;
            }
            continue;
        }
        if line.is_empty() {
            return Parsed::Complete {
                length,
                body,
                is_last,
            };
        }
        let Some(colon) = line.iter().position(|&byte| byte == b':') else {
            return Parsed::Unclear;
        };
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        if name.is_empty() || !name.iter().all(is_token) || !is_value(value) {
            return Parsed::Unclear;
        }
        let value = value.trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            body = match parse_length(value) {
                Some(value) if body.is_none() => Some(value),
                _ => return Parsed::Unclear,
            };
        } else if name.eq_ignore_ascii_case(b"connection") {
            if value.eq_ignore_ascii_case(b"close") {
                is_last = true;
            } else if !value.eq_ignore_ascii_case(b"keep-alive") {
                return Parsed::Unclear;
            }
        } else {
            let unclear: [&[u8]; 3] = [b"transfer-encoding", b"expect", b"upgrade"];
            if unclear.iter().any(|other| name.eq_ignore_ascii_case(other)) {
                return Parsed::Unclear;
            }
        }
    }
}

fn is_request_line(line: &[u8]) -> bool {
    let mut parts = line.split(|&byte| byte == b' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return false;
    };
    let is_method = !method.is_empty() && method.iter().all(u8::is_ascii_uppercase);
    let is_target = !target.is_empty() && target.iter().all(u8::is_ascii_graphic);
    is_method && method != b"CONNECT" && is_target && version == b"HTTP/1.1"
}

/// Finds the first line feed, a block at a time, as every head is searched.
fn find_newline(bytes: &[u8]) -> Option<usize> {
    const BLOCK: usize = 16;
    let mut blocks = bytes.chunks_exact(BLOCK);
    let has_newline = |block: &[u8]| {
        block
            .iter()
            .fold(false, |found, &byte| found | (byte == b'\n'))
    };
    let skipped = blocks.position(has_newline);
    let start = skipped.unwrap_or(bytes.len() / BLOCK) * BLOCK;
    let place = bytes[start..].iter().position(|&byte| byte == b'\n');
    place.map(|place| start + place)
}

/// Characters of field names.
const TOKENS: [bool; 256] = {
    let punctuation = b"!#$%&'*+-.^_`|~";
    let mut tokens = [false; 256];
    let mut byte = 0;
    while byte < 256 {
        tokens[byte] = (byte as u8).is_ascii_alphanumeric();
        byte += 1;
    }
    let mut index = 0;
    while index < punctuation.len() {
        tokens[punctuation[index] as usize] = true;
        index += 1;
    }
    tokens
};

fn is_token(byte: &u8) -> bool {
    TOKENS[usize::from(*byte)]
}

/// Returns whether a field's value has no control characters but tabs, and ASCII only.
fn is_value(value: &[u8]) -> bool {
    // Without an early end, so that several bytes are compared at once.
    value.iter().fold(true, |is_valid, &byte| {
        is_valid & ((b' '..=b'~').contains(&byte) | (byte == b'\t'))
    })
}

/// Parses a length; `None` if it is not a plain number of up to 15 digits.
fn parse_length(value: &[u8]) -> Option<u64> {
    let is_plain = (1..=15).contains(&value.len()) && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok()?;
    is_plain.then(|| text.parse().ok())?
}
