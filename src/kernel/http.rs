//! HTTP servers, and helpers for requests and responses.
//!
//! [`bind`] starts a server and returns its [`Listener`]. Draining the listener
//! closes the listening socket, lets each connection finish the request in
//! flight and then closes the connection.

use crate::{
    core::memory_budget::Purpose,
    kernel::{
        error::Error,
        fair_stream,
        memory::{
            Account,
            Budget, //
        },
        pipeline::{
            self,
            Pipelining, //
        },
        runtime::{
            sleep,
            Context, //
        },
        tcp, //
    },
};
use async_io::Async;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::{
    combinators::UnsyncBoxBody,
    BodyExt,
    Full, //
};
use hyper::{
    body::Incoming,
    header::{
        self,
        HeaderMap,
        HeaderName,
        CONNECTION,
        TE,
        TRANSFER_ENCODING,
        UPGRADE, //
    },
    server::conn::{
        http1,
        http2, //
    },
    service::service_fn,
    Request,
    Response,
    StatusCode, //
};
use smol_hyper::rt::SmolTimer;
use std::{
    convert::Infallible,
    future::Future,
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
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
    },
    time::Duration,
};

/// Error while a body is streamed.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a request or response that this process sends.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// A boxed future that can be sent between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Function that answers a request.
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> BoxFuture<Response<Body>> + Send + Sync>;

/// Start of the connection preface that tells HTTP/2 from HTTP/1.1.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";

/// Pause after a failed accept; without it, accepting would spin while the
/// process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How often a drain checks for open connections, and how often a connection
/// is checked for the rest of an incomplete preface.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of concurrent streams of an HTTP/2 connection with a budget.
const HTTP2_STREAMS: u32 = 100;

/// Bytes that the client of an HTTP/2 connection with a budget may send ahead on a stream, and on
/// all of its streams together.
const HTTP2_STREAM_WINDOW: u32 = 64 * 1024 - 1;
const HTTP2_CONNECTION_WINDOW: u32 = 128 * 1024;

/// Bytes of responses' bodies that the HTTP library takes from each stream ahead of the client.
const HTTP2_SEND_BYTES: usize = 16 * 1024;

/// Bytes that an HTTP/2 connection reserves beyond those of any connection: its window and its
/// buffers for frames.
const HTTP2_BYTES: usize = HTTP2_CONNECTION_WINDOW as usize + 64 * 1024;

/// Limits on what the clients of a server may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time in which a client must send the head of an HTTP/1.1 request,
    /// including the time for which the connection is idle.
    pub head_timeout: Duration,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum number of header fields in an HTTP/1.1 request.
    pub head_fields: usize,
    /// Maximum number of open connections; further ones are closed at once.
    pub max_connections: usize,
    /// Whether HTTP/1.1 responses have a `Date` field.
    pub has_date: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(30),
            head_bytes: 16 * 1024,
            head_fields: 64,
            max_connections: 4096,
            has_date: true,
        }
    }
}

/// A running server.
pub struct Listener {
    /// Address that the listener is bound to.
    pub address: SocketAddr,
    shutdown: async_channel::Sender<()>,
    open_connections: Arc<AtomicUsize>,
}

impl Listener {
    /// Stops accepting connections, waits at most `span` for requests in
    /// flight, and returns the number of connections that are still open.
    pub async fn drain(&self, span: Duration) -> usize {
        self.shutdown.close();
        let idle = async {
            // A connection that was just accepted may not be counted yet.
            sleep(POLL_INTERVAL).await;
            while self.open_connections.load(Ordering::Acquire) > 0 {
                sleep(POLL_INTERVAL).await;
            }
        };
        let limit = sleep(span);
        future::or(idle, limit).await;
        self.open_connections.load(Ordering::Acquire)
    }
}

/// Memory that a server may use for its clients.
#[derive(Clone)]
pub struct Memory {
    /// Budget that its connections reserve from. Handlers get the account of the connection by
    /// [`Account::of`].
    pub budget: Arc<Budget>,
    /// Sizes of the receive and of the send buffer of each socket.
    pub socket_buffers: (usize, usize),
}

/// Starts a server that listens on `address` and answers with `handler`.
pub fn bind(
    context: &Context,
    address: SocketAddr,
    limits: Limits,
    handler: Handler,
) -> Result<Listener, Error> {
    start(context, address, limits, (None, None), handler)
}

/// Starts a server as [`bind`] does, whose clients share `memory` if it is given, and whose
/// pipelined HTTP/1.1 requests are handled concurrently.
pub fn bind_pipelined(
    context: &Context,
    address: SocketAddr,
    limits: Limits,
    memory: Option<Memory>,
    pipelining: Pipelining,
    handler: Handler,
) -> Result<Listener, Error> {
    let shared = (memory, Some(pipelining));
    start(context, address, limits, shared, handler)
}

fn start(
    context: &Context,
    address: SocketAddr,
    limits: Limits,
    (memory, pipelining): (Option<Memory>, Option<Pipelining>),
    handler: Handler,
) -> Result<Listener, Error> {
    let failed = |source| Error::Bind { address, source };
    let socket = Async::<TcpListener>::bind(address).map_err(failed)?;
    if let Some(memory) = &memory {
        // Accepted connections inherit the sizes.
        let (receive, send) = memory.socket_buffers;
        tcp::set_buffer_sizes(&socket, receive, send).map_err(failed)?;
    }
    let address = socket.get_ref().local_addr().map_err(failed)?;
    let (shutdown, shutdown_signal) = async_channel::bounded(1);
    let open_connections = Arc::new(AtomicUsize::new(0));
    let server = Server {
        context: context.clone(),
        limits,
        budget: memory.map(|memory| memory.budget),
        pipelining,
        handler,
        shutdown_signal,
        open_connections: Arc::clone(&open_connections),
    };
    context.detach(accept(socket, server));
    Ok(Listener {
        address,
        shutdown,
        open_connections,
    })
}

/// What the tasks of one server share.
#[derive(Clone)]
struct Server {
    context: Context,
    limits: Limits,
    budget: Option<Arc<Budget>>,
    pipelining: Option<Pipelining>,
    handler: Handler,
    shutdown_signal: async_channel::Receiver<()>,
    open_connections: Arc<AtomicUsize>,
}

async fn accept(socket: Async<TcpListener>, server: Server) {
    loop {
        let accepted = async { Some(socket.accept().await) };
        let shutdown = async {
            let _ = server.shutdown_signal.recv().await;
            None
        };
        match future::or(accepted, shutdown).await {
            None => return,
            Some(Err(_)) => sleep(ACCEPT_RETRY_DELAY).await,
            Some(Ok((stream, _))) => start_connection(stream, &server),
        }
    }
}

fn start_connection(stream: Async<TcpStream>, server: &Server) {
    if server.open_connections.load(Ordering::Acquire) >= server.limits.max_connections {
        return;
    }
    let opened = server.budget.as_ref().map(Budget::open);
    if matches!(opened, Some(None)) {
        // There is no memory for another connection.
        return;
    }
    let opened = opened.flatten();
    let _ = stream.get_ref().set_nodelay(true);
    server.open_connections.fetch_add(1, Ordering::AcqRel);
    let task = server.clone();
    server.context.detach(async move {
        match &opened {
            None => serve_connection(stream, &task, None).await,
            Some(opened) => {
                let account = &opened.account;
                let serve = serve_connection(stream, &task, Some(account));
                future::or(serve, account.closing()).await;
            }
        }
        drop(opened);
        task.open_connections.fetch_sub(1, Ordering::AcqRel);
    });
}

/// Returns a handler that passes the account of its connection to `handler` and counts the
/// requests that are being handled.
fn metered_handler(handler: &Handler, account: Option<&Arc<Account>>) -> Handler {
    let Some(account) = account.cloned() else {
        return Arc::clone(handler);
    };
    let handler = Arc::clone(handler);
    Arc::new(move |mut request| {
        request.extensions_mut().insert(Arc::clone(&account));
        let running = account.begin_request();
        let answer = handler(request);
        Box::pin(async move {
            let response = answer.await;
            drop(running);
            response
        })
    })
}

async fn serve_connection(
    stream: Async<TcpStream>,
    server: &Server,
    account: Option<&Arc<Account>>,
) {
    let service_handler = metered_handler(&server.handler, account);
    let handler = Arc::clone(&service_handler);
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let shutdown = async {
        let _ = server.shutdown_signal.recv().await;
    };
    if is_http2(&stream, server).await {
        let reserved = account.map(|account| account.try_reserve(Purpose::Small, HTTP2_BYTES));
        if matches!(reserved, Some(None)) {
            return;
        }
        let executor = Spawner(server.context.clone());
        let mut builder = http2::Builder::new(executor);
        builder
            .timer(SmolTimer::new())
            .max_header_list_size(server.limits.head_bytes as u32);
        if account.is_some() {
            builder
                .max_concurrent_streams(HTTP2_STREAMS)
                .initial_stream_window_size(HTTP2_STREAM_WINDOW)
                .initial_connection_window_size(HTTP2_CONNECTION_WINDOW)
                .max_send_buf_size(HTTP2_SEND_BYTES);
        }
        let stream = fair_stream::server(stream, account.cloned());
        let connection = builder.serve_connection(fair_stream::io(stream), service);
        let mut connection = pin!(connection);
        let ended = future::or(async { connection.as_mut().await.is_ok() }, async {
            shutdown.await;
            false
        });
        if !ended.await {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
        return;
    }
    let stream = fair_stream::server(stream, account.cloned());
    let mut builder = http1::Builder::new();
    builder
        .auto_date_header(server.limits.has_date)
        .timer(SmolTimer::new())
        .header_read_timeout(server.limits.head_timeout)
        .max_buf_size(server.limits.head_bytes)
        .max_headers(server.limits.head_fields)
        .half_close(false);
    if let Some(pipelining) = &server.pipelining {
        let (context, account) = (&server.context, account.cloned());
        let stream = (stream, account);
        pipeline::serve(
            context,
            stream,
            &builder,
            &service_handler,
            pipelining,
            shutdown,
        )
        .await;
        return;
    }
    let connection = builder.serve_connection(fair_stream::io(stream), service);
    let mut connection = pin!(connection);
    let ended = future::or(
        async {
            let _ = connection.as_mut().await;
            true
        },
        async {
            shutdown.await;
            false
        },
    );
    if !ended.await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Tells whether the client speaks HTTP/2.
///
/// Peeks at the first bytes for the connection preface and leaves them to be
/// read by the protocol's own parser.
async fn is_http2(stream: &Async<TcpStream>, server: &Server) -> bool {
    let mut peeked = [0; HTTP2_PREFACE.len()];
    let peek = async {
        loop {
            match stream.peek(&mut peeked).await {
                Ok(count) if count > 0 && HTTP2_PREFACE.starts_with(&peeked[..count]) => {
                    if count == peeked.len() {
                        return true;
                    }
                    sleep(POLL_INTERVAL).await;
                }
                _ => return false,
            }
        }
    };
    let limit = async {
        sleep(server.limits.head_timeout).await;
        false
    };
    let shutdown = async {
        let _ = server.shutdown_signal.recv().await;
        false
    };
    future::or(peek, future::or(limit, shutdown)).await
}

/// Runs the tasks of HTTP/2 connections on the process's executor.
#[derive(Clone)]
struct Spawner(Context);

impl<F> hyper::rt::Executor<F> for Spawner
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, task: F) {
        self.0.detach(async move {
            task.await;
        });
    }
}

/// Makes a body of bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds a response whose body has the content type `content_type`.
pub fn answer(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type),
    );
    response
}

/// Builds a response with a value encoded as JSON.
pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("response types can be encoded as JSON");
    answer(status, "application/json", text)
}

/// Reads a whole body of at most `limit` bytes; `None` if it is longer or
/// cannot be read to its end.
pub async fn collect<B>(body: B, limit: usize) -> Option<Bytes>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let limited = http_body_util::Limited::new(body, limit);
    limited
        .collect()
        .await
        .ok()
        .map(|collected| collected.to_bytes())
}

/// Hop-by-hop fields, besides those that `Connection` lists.
const HOP_BY_HOP_FIELDS: [HeaderName; 4] = [CONNECTION, TE, TRANSFER_ENCODING, UPGRADE];

/// Removes the hop-by-hop fields, which apply to one connection only and must
/// not be forwarded, including those that `Connection` lists.
pub fn remove_hop_by_hop_fields(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP_FIELDS) {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection", "proxy-authorization"] {
        headers.remove(name);
    }
}

/// Makes a handler of a function that takes a shared state.
pub fn with_state<S, F, A>(state: &Arc<S>, handle: F) -> Handler
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    let state = Arc::clone(state);
    Arc::new(move |request| Box::pin(handle(Arc::clone(&state), request)))
}
