//! Pools of HTTP/1.1 client connections, one pool for each address.
//!
//! A pool limits how many connections are in use at once. A connection returns
//! to the pool only when the response on it has been read to its end. If a
//! response is dropped before that, the connection is closed, which tells the
//! server that the request was cancelled.
//!
//! A request without a response yields a [`Failure`], which says whether the
//! request may have reached the server.

use crate::kernel::{
    fair_stream::{
        self,
        Meter,
        MAX_BUFFER_BYTES, //
    },
    http::{
        Body,
        BodyError, //
    },
    runtime::{
        timeout,
        Context, //
    },
    tcp, //
};
use async_lock::{
    Semaphore,
    SemaphoreGuardArc, //
};
use bytes::Bytes;
use displaydoc::Display;
use hyper::{
    body::{
        Body as _,
        Frame,
        Incoming,
        SizeHint, //
    },
    client::conn::http1::{
        self,
        SendRequest, //
    },
    Request, Response,
};
use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    task::{
        self,
        Poll, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Time within which an idle connection must be ready for a request; otherwise
/// another one is used.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Limit on the time for a request, so that adding it to the present does not
/// overflow.
const MAX_SPAN: Duration = Duration::from_secs(3_600);

/// Why a request got no response.
#[derive(Debug, Display)]
pub enum Error {
    /// connection refused
    Refused,
    /// cannot connect
    Unreachable,
    /// no connection of the pool became free within the time limit
    Exhausted,
    /// the connection broke before the response
    Broken,
    /// the server stopped acknowledging data before the response
    Silent,
    /// no response within the time limit
    Late,
}

impl std::error::Error for Error {}

/// A request that got no response.
#[derive(Debug)]
pub struct Failure {
    /// Why it got none.
    pub error: Error,
    /// The request, if it was certainly not sent.
    pub unsent: Option<Request<Body>>,
    /// Whether the connection had been used for another request before.
    pub is_reused: bool,
}

impl Failure {
    fn unsent(error: Error, request: Request<Body>) -> Box<Self> {
        Box::new(Self {
            error,
            unsent: Some(request),
            is_reused: false,
        })
    }

    fn sent(error: Error, is_reused: bool) -> Box<Self> {
        Box::new(Self {
            error,
            unsent: None,
            is_reused,
        })
    }
}

/// Limits of one pool.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Maximum number of connections in use at once.
    pub max_connections: usize,
    /// Time for which an idle connection may be reused.
    pub idle_timeout: Duration,
    /// How long sent data may stay unacknowledged (`TCP_USER_TIMEOUT`); unlimited
    /// if there is none.
    pub ack_timeout: Option<Duration>,
    /// Time limit for connecting.
    pub connect_timeout: Duration,
    /// Size of a connection's receive buffer (`SO_RCVBUF`); left to the operating system if there
    /// is none.
    pub receive_buffer: Option<usize>,
}

impl Config {
    /// Allows `max_connections` connections in use at once, without time limits.
    pub fn without_timeouts(max_connections: usize) -> Self {
        Self {
            max_connections,
            idle_timeout: Duration::MAX,
            ack_timeout: None,
            connect_timeout: Duration::MAX,
            receive_buffer: None,
        }
    }
}

/// Which requests a connection may be used for after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any request.
    Any,
    /// Any but the one that was sent, as a late copy of the response to it would be taken for
    /// the response to its repetition.
    Others,
    /// None.
    Never,
}

/// Decides from the head of a response how its connection may be used.
pub type Check<'a> = dyn Fn(&Response<Incoming>) -> Reuse + Send + Sync + 'a;

/// Maximum number of requests for which a connection must not be used; one with more is closed.
const MAX_EXCLUDED: usize = 32;

/// Conditions of an exchange.
pub struct Terms<'a> {
    /// Identity of the request; the same if it is sent again.
    pub identity: u64,
    /// Time limit for the head of the response.
    pub span: Duration,
    /// Longest idle time after which a connection is reused.
    pub max_idle_time: Duration,
    /// Decides how the connection may be used after the response.
    pub check: &'a Check<'a>,
}

/// Pools by address, each created when it is first needed.
pub struct Set {
    context: Context,
    config: Config,
    max_idle_count: AtomicUsize,
    pools: Mutex<Vec<Arc<Pool>>>,
}

impl Set {
    /// Creates an empty set, whose pools allow `connections` connections in use
    /// at once.
    pub fn new(context: &Context, connections: usize) -> Self {
        Self::with_config(context, Config::without_timeouts(connections))
    }

    /// Creates an empty set, whose pools have the limits `config`.
    pub fn with_config(context: &Context, config: Config) -> Self {
        Self {
            context: context.clone(),
            config,
            max_idle_count: AtomicUsize::new(usize::MAX),
            pools: Mutex::new(Vec::new()),
        }
    }

    /// Sets the maximum number of idle connections of each pool.
    ///
    /// Excess connections are closed one at a time, as others are returned.
    pub fn set_max_idle(&self, count: usize) {
        if self.max_idle_count.swap(count, Ordering::Relaxed) == count {
            return;
        }
        for pool in self.pools.lock().unwrap().iter() {
            pool.max_idle_count.store(count, Ordering::Relaxed);
        }
    }

    /// Closes connections that have been idle for too long, and removes the pools
    /// that have no idle connection and are not in use.
    pub fn evict_idle(&self) {
        let mut pools = self.pools.lock().unwrap();
        pools.retain(|pool| {
            let mut idle = pool.idle.lock().unwrap();
            idle.retain(|idle| {
                idle.since.elapsed() < pool.config.idle_timeout && !idle.line.sender.is_closed()
            });
            !idle.is_empty() || Arc::strong_count(pool) > 1
        });
    }

    /// Returns the pool of `address`; creates it if there is none.
    pub fn get(&self, address: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap();
        match pools.binary_search_by_key(&address, |pool| pool.address) {
            Ok(index) => Arc::clone(&pools[index]),
            Err(index) => {
                let pool = open_with(&self.context, address, self.config);
                let max_idle_count = self.max_idle_count.load(Ordering::Relaxed);
                pool.max_idle_count.store(max_idle_count, Ordering::Relaxed);
                pools.insert(index, Arc::clone(&pool));
                pool
            }
        }
    }
}

/// Pool of the connections to one address.
pub struct Pool {
    context: Context,
    address: SocketAddr,
    config: Config,
    max_idle_count: AtomicUsize,
    idle: Mutex<Vec<Idle>>,
    permits: Arc<Semaphore>,
    in_use: Arc<AtomicUsize>,
}

struct Idle {
    line: Line,
    since: Instant,
}

/// An open connection.
struct Line {
    sender: SendRequest<Body>,
    meter: Meter,
    /// Identities of the requests for which it must not be used.
    excluded: Vec<u64>,
}

/// Creates a pool without time limits; connections are opened when needed.
pub fn open(context: &Context, address: SocketAddr, connections: usize) -> Arc<Pool> {
    open_with(context, address, Config::without_timeouts(connections))
}

/// Creates a pool with the limits `config`; connections are opened when needed.
pub fn open_with(context: &Context, address: SocketAddr, config: Config) -> Arc<Pool> {
    Arc::new(Pool {
        context: context.clone(),
        address,
        config,
        max_idle_count: AtomicUsize::new(usize::MAX),
        idle: Mutex::new(Vec::new()),
        permits: Arc::new(Semaphore::new(config.max_connections)),
        in_use: Arc::default(),
    })
}

impl Pool {
    /// Returns the address to which the pool connects.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits at most `span` for a permit to use a connection.
    pub async fn reserve(&self, span: Duration) -> Option<Permit> {
        let guard = timeout(span, self.permits.acquire_arc()).await?;
        self.in_use.fetch_add(1, Ordering::Relaxed);
        Some(Permit {
            in_use: Arc::clone(&self.in_use),
            _guard: guard,
        })
    }

    /// Returns the number of connections in use.
    pub fn in_use(&self) -> usize {
        self.in_use.load(Ordering::Relaxed)
    }

    /// Sends a request and waits at most `span` for the head of the response.
    pub async fn send(
        self: &Arc<Self>,
        request: Request<Body>,
        span: Duration,
    ) -> Result<Response<Stream>, Box<Failure>> {
        let deadline = Instant::now() + span;
        match self.reserve(span).await {
            Some(permit) => self.send_with(permit, request, left(deadline)).await,
            None => Err(Failure::unsent(Error::Exhausted, request)),
        }
    }

    /// Sends a request under a permit and waits at most `span` for the head of
    /// the response.
    pub async fn send_with(
        self: &Arc<Self>,
        permit: Permit,
        request: Request<Body>,
        span: Duration,
    ) -> Result<Response<Stream>, Box<Failure>> {
        let terms = Terms {
            identity: 0,
            span,
            max_idle_time: Duration::MAX,
            check: &|_| Reuse::Any,
        };
        self.exchange(permit, request, &terms).await
    }

    /// Sends a request as [`send_with`](Self::send_with) does, on a connection that `terms`
    /// allow.
    pub async fn exchange(
        self: &Arc<Self>,
        permit: Permit,
        mut request: Request<Body>,
        terms: &Terms<'_>,
    ) -> Result<Response<Stream>, Box<Failure>> {
        let deadline = Instant::now() + terms.span.min(MAX_SPAN);
        loop {
            let (mut line, is_reused) = match self.connection(left(deadline), terms).await {
                Ok(connection) => connection,
                Err(failure) => return Err(Failure::unsent(failure, request)),
            };
            line.meter.reset();
            let sent = timeout(left(deadline), line.sender.try_send_request(request)).await;
            match sent {
                None => return Err(Failure::sent(Error::Late, is_reused)),
                Some(Ok(response)) => {
                    let reuse = (terms.check)(&response);
                    if reuse == Reuse::Others {
                        line.excluded.push(terms.identity);
                    }
                    let checkout = Checkout {
                        pool: Arc::clone(self),
                        is_reusable: reuse != Reuse::Never && line.excluded.len() <= MAX_EXCLUDED,
                        line,
                        permit,
                    };
                    return Ok(response.map(|body| Stream::new(body, checkout, is_reused)));
                }
                Some(Err(mut error)) => match error.take_message() {
                    Some(unsent) if is_reused => request = unsent,
                    Some(unsent) => return Err(Failure::unsent(Error::Unreachable, unsent)),
                    None => {
                        let failure = if is_timeout(error.error()) {
                            Error::Silent
                        } else {
                            Error::Broken
                        };
                        return Err(Failure::sent(failure, is_reused));
                    }
                },
            }
        }
    }

    /// Takes an idle connection, or opens one; also tells whether it was used
    /// before.
    async fn connection(&self, span: Duration, terms: &Terms<'_>) -> Result<(Line, bool), Error> {
        loop {
            let Some(mut line) = self.take_idle(terms) else {
                break;
            };
            if let Some(Ok(())) = timeout(READY_TIMEOUT, line.sender.ready()).await {
                return Ok((line, true));
            }
        }
        let connected = timeout(span.min(self.config.connect_timeout), self.connect()).await;
        let line = connected.unwrap_or(Err(Error::Unreachable))?;
        Ok((line, false))
    }

    /// Takes the most recently used of the idle connections that `terms` allow.
    fn take_idle(&self, terms: &Terms<'_>) -> Option<Line> {
        let mut idle = self.idle.lock().unwrap();
        if idle.last()?.since.elapsed() > self.config.idle_timeout {
            idle.clear();
            return None;
        }
        let index = idle
            .iter()
            .rposition(|idle| !idle.line.excluded.contains(&terms.identity))?;
        let idle_time = idle[index].since.elapsed();
        let is_allowed = idle_time <= terms.max_idle_time.min(self.config.idle_timeout);
        is_allowed.then(|| idle.remove(index).line)
    }

    fn return_idle(&self, line: Line) {
        let mut idle = self.idle.lock().unwrap();
        let max_count = self.max_idle_count.load(Ordering::Relaxed);
        if max_count == 0 || line.sender.is_closed() {
            return;
        }
        if idle.len() >= max_count {
            idle.remove(0);
        }
        idle.push(Idle {
            line,
            since: Instant::now(),
        });
    }

    async fn connect(&self) -> Result<Line, Error> {
        let stream = tcp::open(self.context.source_address(), self.address)
            .await
            .map_err(|error| match error.kind() {
                io::ErrorKind::ConnectionRefused => Error::Refused,
                _ => Error::Unreachable,
            })?;
        let _ = stream.get_ref().set_nodelay(true);
        if let Some(ack_timeout) = self.config.ack_timeout {
            tcp::set_user_timeout(&stream, ack_timeout).map_err(|_| Error::Unreachable)?;
        }
        if let Some(size) = self.config.receive_buffer {
            tcp::set_receive_buffer_size(&stream, size).map_err(|_| Error::Unreachable)?;
        }
        let (stream, meter) = fair_stream::client(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(fair_stream::io(stream))
            .await
            .map_err(|_| Error::Unreachable)?;
        self.context.detach(async move {
            let _ = connection.await;
        });
        Ok(Line {
            sender,
            meter,
            excluded: Vec::new(),
        })
    }
}

/// Tells whether a connection was closed because sent data stayed unacknowledged.
fn is_timeout(error: &hyper::Error) -> bool {
    let mut next = std::error::Error::source(error);
    while let Some(source) = next {
        let io = source.downcast_ref::<io::Error>();
        if io.is_some_and(|io| io.kind() == io::ErrorKind::TimedOut) {
            return true;
        }
        next = source.source();
    }
    false
}

fn left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

/// Permission to use a connection; returned to the pool when dropped.
pub struct Permit {
    in_use: Arc<AtomicUsize>,
    _guard: SemaphoreGuardArc,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.in_use.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The connection of a response that is being read.
struct Checkout {
    pool: Arc<Pool>,
    line: Line,
    permit: Permit,
    is_reusable: bool,
}

/// Body of a response; returns its connection to the pool when read to the end.
pub struct Stream {
    body: Incoming,
    meter: Meter,
    checkout: Option<Box<Checkout>>,
    is_reused: bool,
}

impl Stream {
    fn new(body: Incoming, checkout: Checkout, is_reused: bool) -> Self {
        let meter = checkout.line.meter.clone();
        meter.reset();
        let mut stream = Self {
            body,
            meter,
            checkout: Some(Box::new(checkout)),
            is_reused,
        };
        if stream.body.is_end_stream() {
            stream.release();
        }
        stream
    }

    /// Tells whether the connection had been used for another request before.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    fn release(&mut self) {
        let Some(checkout) = self.checkout.take() else {
            return;
        };
        if checkout.is_reusable {
            checkout.pool.return_idle(checkout.line);
        }
        drop(checkout.permit);
    }
}

impl hyper::body::Body for Stream {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match polled {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                self.release();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                self.checkout = None;
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.meter.reset();
                if self.body.is_end_stream() {
                    self.release();
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
