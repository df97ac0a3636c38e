//! Connections to one address, reused between requests.
//!
//! The pool bounds how many connections are open at once. A connection goes
//! back only when the answer on it has been read to its end; when an answer
//! is dropped half-way the connection is closed, which the other side sees
//! as a cancellation.
//!
//! A [`Failure`] says whether the request can have reached the other side.

use crate::kernel::{
    connect,
    http::{
        Body,
        BodyError, //
    },
    runtime::{
        timeout,
        Context, //
    },
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
use smol_hyper::rt::FuturesIo;
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

/// How long an idle connection may take to become ready before it is given up.
const READY_WAIT: Duration = Duration::from_millis(5);

/// Longest wait that can be added to the present.
const LONGEST: Duration = Duration::from_secs(3_600);

/// Why a request got no answer.
#[derive(Debug, Display)]
pub enum Failure {
    /// nothing listens at the address
    Refused,
    /// no connection could be made
    Unreachable,
    /// no connection became free in time
    Busy,
    /// the connection broke before the answer came
    Broken,
    /// the connection fell silent before the answer came
    Silent,
    /// no answer came in time
    Late,
}

impl std::error::Error for Failure {}

/// A request that got no answer.
#[derive(Debug)]
pub struct Rejected {
    /// Why.
    pub failure: Failure,
    /// The request, if it certainly never left this process.
    pub unsent: Option<Request<Body>>,
    /// Whether the connection had carried another request before.
    pub is_reused: bool,
}

impl Rejected {
    fn unsent(failure: Failure, request: Request<Body>) -> Box<Self> {
        Box::new(Self {
            failure,
            unsent: Some(request),
            is_reused: false,
        })
    }

    fn sent(failure: Failure, is_reused: bool) -> Box<Self> {
        Box::new(Self {
            failure,
            unsent: None,
            is_reused,
        })
    }
}

/// How connections to one address are kept.
#[derive(Clone, Copy, Debug)]
pub struct Keep {
    /// Most connections open at once.
    pub connections: usize,
    /// How long an idle connection is kept.
    pub idle: Duration,
    /// How long sent bytes may stay unconfirmed.
    pub silence: Option<Duration>,
    /// How long connecting may take.
    pub connect: Duration,
}

impl Keep {
    /// Keeps up to `connections` connections for as long as they last.
    pub fn unbounded(connections: usize) -> Self {
        Self {
            connections,
            idle: Duration::MAX,
            silence: None,
            connect: Duration::MAX,
        }
    }
}

/// Tells whether an answer belongs to the request that it came for.
pub type Check<'a> = dyn Fn(&Response<Incoming>) -> bool + Send + Sync + 'a;

/// Pools by address, made when first needed.
pub struct Set {
    context: Context,
    keep: Keep,
    idle_max: AtomicUsize,
    pools: Mutex<Vec<Arc<Pool>>>,
}

impl Set {
    /// Starts without pools; each will have up to `connections` connections.
    pub fn new(context: &Context, connections: usize) -> Self {
        Self::open(context, Keep::unbounded(connections))
    }

    /// Starts without pools; each will keep its connections as `keep` says.
    pub fn open(context: &Context, keep: Keep) -> Self {
        Self {
            context: context.clone(),
            keep,
            idle_max: AtomicUsize::new(usize::MAX),
            pools: Mutex::new(Vec::new()),
        }
    }

    /// Bounds the idle connections of each pool from now on.
    pub fn set_idle_max(&self, count: usize) {
        if self.idle_max.swap(count, Ordering::Relaxed) == count {
            return;
        }
        for pool in self.pools.lock().unwrap().iter() {
            pool.idle_max.store(count, Ordering::Relaxed);
        }
    }

    /// Closes what has been idle too long and forgets pools without connections.
    pub fn sweep(&self) {
        let mut pools = self.pools.lock().unwrap();
        pools.retain(|pool| {
            let mut idle = pool.idle.lock().unwrap();
            idle.retain(|idle| idle.since.elapsed() < pool.keep.idle && !idle.sender.is_closed());
            !idle.is_empty() || Arc::strong_count(pool) > 1
        });
    }

    /// Returns the pool of `address`.
    pub fn get(&self, address: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap();
        match pools.binary_search_by_key(&address, |pool| pool.address) {
            Ok(index) => Arc::clone(&pools[index]),
            Err(index) => {
                let pool = open_with(&self.context, address, self.keep);
                let idle_max = self.idle_max.load(Ordering::Relaxed);
                pool.idle_max.store(idle_max, Ordering::Relaxed);
                pools.insert(index, Arc::clone(&pool));
                pool
            }
        }
    }
}

/// Connections to one address.
pub struct Pool {
    context: Context,
    address: SocketAddr,
    keep: Keep,
    idle_max: AtomicUsize,
    idle: Mutex<Vec<Idle>>,
    permits: Arc<Semaphore>,
    busy: Arc<AtomicUsize>,
}

struct Idle {
    sender: SendRequest<Body>,
    since: Instant,
}

/// Opens a pool; connections are made when first needed.
pub fn open(context: &Context, address: SocketAddr, connections: usize) -> Arc<Pool> {
    open_with(context, address, Keep::unbounded(connections))
}

/// Opens a pool that keeps its connections as `keep` says.
pub fn open_with(context: &Context, address: SocketAddr, keep: Keep) -> Arc<Pool> {
    Arc::new(Pool {
        context: context.clone(),
        address,
        keep,
        idle_max: AtomicUsize::new(usize::MAX),
        idle: Mutex::new(Vec::new()),
        permits: Arc::new(Semaphore::new(keep.connections)),
        busy: Arc::default(),
    })
}

impl Pool {
    /// Returns the address that the pool connects to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits at most `span` for the right to use a connection.
    pub async fn reserve(&self, span: Duration) -> Option<Permit> {
        let guard = timeout(span, self.permits.acquire_arc()).await?;
        self.busy.fetch_add(1, Ordering::Relaxed);
        Some(Permit {
            busy: Arc::clone(&self.busy),
            _guard: guard,
        })
    }

    /// Returns the number of connections in use.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }

    /// Sends a request and waits at most `span` for the head of the answer.
    pub async fn send(
        self: &Arc<Self>,
        request: Request<Body>,
        span: Duration,
    ) -> Result<Response<Answer>, Box<Rejected>> {
        let end = Instant::now() + span;
        match self.reserve(span).await {
            Some(permit) => self.send_with(permit, request, left(end)).await,
            None => Err(Rejected::unsent(Failure::Busy, request)),
        }
    }

    /// Sends a request on a reserved connection and waits at most `span` for
    /// the head of the answer.
    pub async fn send_with(
        self: &Arc<Self>,
        permit: Permit,
        request: Request<Body>,
        span: Duration,
    ) -> Result<Response<Answer>, Box<Rejected>> {
        let is_any = |_: &Response<Incoming>| true;
        self.exchange(permit, request, span, Duration::MAX, &is_any)
            .await
    }

    /// Sends a request as [`send_with`](Self::send_with) does, on a connection
    /// that was idle for at most `fresh`, and keeps the connection only if the
    /// answer passes `check`.
    pub async fn exchange(
        self: &Arc<Self>,
        permit: Permit,
        mut request: Request<Body>,
        span: Duration,
        fresh: Duration,
        check: &Check<'_>,
    ) -> Result<Response<Answer>, Box<Rejected>> {
        let end = Instant::now() + span.min(LONGEST);
        loop {
            let (mut sender, reused) = match self.connection(left(end), fresh).await {
                Ok(connection) => connection,
                Err(failure) => return Err(Rejected::unsent(failure, request)),
            };
            let attempt = timeout(left(end), sender.try_send_request(request)).await;
            match attempt {
                None => return Err(Rejected::sent(Failure::Late, reused)),
                Some(Ok(response)) => {
                    let is_kept = check(&response);
                    return Ok(self.wrap(response, sender, permit, is_kept));
                }
                Some(Err(mut failure)) => match failure.take_message() {
                    Some(unsent) if reused => request = unsent,
                    Some(unsent) => return Err(Rejected::unsent(Failure::Unreachable, unsent)),
                    None => {
                        let failure = if is_timeout(failure.error()) {
                            Failure::Silent
                        } else {
                            Failure::Broken
                        };
                        return Err(Rejected::sent(failure, reused));
                    }
                },
            }
        }
    }

    async fn connection(
        &self,
        span: Duration,
        fresh: Duration,
    ) -> Result<(SendRequest<Body>, bool), Failure> {
        loop {
            let Some(mut sender) = self.take_idle(fresh) else {
                break;
            };
            if let Some(Ok(())) = timeout(READY_WAIT, sender.ready()).await {
                return Ok((sender, true));
            }
        }
        let made = timeout(span.min(self.keep.connect), self.connect()).await;
        let sender = made.unwrap_or(Err(Failure::Unreachable))?;
        Ok((sender, false))
    }

    /// Takes the connection that was used last, if it was idle for at most `fresh`.
    fn take_idle(&self, fresh: Duration) -> Option<SendRequest<Body>> {
        let mut idle = self.idle.lock().unwrap();
        let age = idle.last()?.since.elapsed();
        if age > self.keep.idle {
            idle.clear();
            return None;
        }
        (age <= fresh).then(|| idle.pop().map(|idle| idle.sender))?
    }

    fn give_back(&self, sender: SendRequest<Body>) {
        let mut idle = self.idle.lock().unwrap();
        let most = self.idle_max.load(Ordering::Relaxed);
        if most == 0 || sender.is_closed() {
            return;
        }
        if idle.len() >= most {
            idle.remove(0);
        }
        idle.push(Idle {
            sender,
            since: Instant::now(),
        });
    }

    async fn connect(&self) -> Result<SendRequest<Body>, Failure> {
        let stream = connect::open(self.context.source(), self.address)
            .await
            .map_err(|error| match error.kind() {
                io::ErrorKind::ConnectionRefused => Failure::Refused,
                _ => Failure::Unreachable,
            })?;
        let _ = stream.get_ref().set_nodelay(true);
        if let Some(silence) = self.keep.silence {
            connect::limit_silence(&stream, silence).map_err(|_| Failure::Unreachable)?;
        }
        let (sender, connection) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(|_| Failure::Unreachable)?;
        self.context.detach(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn wrap(
        self: &Arc<Self>,
        response: Response<Incoming>,
        sender: SendRequest<Body>,
        permit: Permit,
        is_kept: bool,
    ) -> Response<Answer> {
        response.map(|body| {
            let mut answer = Answer {
                body,
                lease: Some(Lease {
                    pool: Arc::clone(self),
                    sender,
                    permit,
                    is_kept,
                }),
            };
            if answer.body.is_end_stream() {
                answer.release();
            }
            answer
        })
    }
}

/// Tells whether a connection ended since sent bytes stayed unconfirmed.
fn is_timeout(error: &hyper::Error) -> bool {
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        let io = inner.downcast_ref::<io::Error>();
        if io.is_some_and(|io| io.kind() == io::ErrorKind::TimedOut) {
            return true;
        }
        cause = inner.source();
    }
    false
}

fn left(end: Instant) -> Duration {
    end.saturating_duration_since(Instant::now())
}

/// The right to use a connection; given back when dropped.
pub struct Permit {
    busy: Arc<AtomicUsize>,
    _guard: SemaphoreGuardArc,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

struct Lease {
    pool: Arc<Pool>,
    sender: SendRequest<Body>,
    permit: Permit,
    is_kept: bool,
}

/// Body of an answer; gives its connection back when read to the end.
pub struct Answer {
    body: Incoming,
    lease: Option<Lease>,
}

impl Answer {
    fn release(&mut self) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        if lease.is_kept {
            lease.pool.give_back(lease.sender);
        }
        drop(lease.permit);
    }
}

impl hyper::body::Body for Answer {
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
                self.lease = None;
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(Some(Ok(frame))) => {
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
