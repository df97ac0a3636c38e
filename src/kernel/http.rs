//! HTTP servers.
//!
//! [`bind`] returns a running [`Listener`]. Draining it closes the listening
//! socket, lets each connection finish the request in flight and then closes
//! the connection.

use crate::kernel::{
    failure::Error,
    runtime::{
        sleep,
        Context, //
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
use smol_hyper::rt::{
    FuturesIo,
    SmolTimer, //
};
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

/// Error inside a streamed body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a message that this process writes.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// A future that may move between threads.
pub type Boxed<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Answers one request.
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> Boxed<Response<Body>> + Send + Sync>;

/// Connection preface that tells HTTP/2 from HTTP/1.1.
const H2_PREFACE: &[u8] = b"PRI * HTTP/2.0";

/// Pause after a failed accept, so that a lack of descriptors is no busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How often a drain looks whether the last connection has ended.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// Bounds on what one caller may make this process hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time a caller may take to send a request head, idle time included.
    pub head_time: Duration,
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Most header fields in a request.
    pub head_fields: usize,
    /// Most connections open at once.
    pub connections: usize,
    /// Whether answers carry the date.
    pub has_date: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_time: Duration::from_secs(30),
            head_bytes: 16 * 1024,
            head_fields: 64,
            connections: 4096,
            has_date: true,
        }
    }
}

/// A running server.
pub struct Listener {
    /// Address that the listener is bound to.
    pub address: SocketAddr,
    drain: async_channel::Sender<()>,
    open: Arc<AtomicUsize>,
}

impl Listener {
    /// Stops accepting, waits at most `span` for requests in flight, and
    /// returns the number of connections that were still open then.
    pub async fn drain(&self, span: Duration) -> usize {
        self.drain.close();
        let idle = async {
            // A connection may just be on its way out of the accept loop.
            sleep(DRAIN_POLL).await;
            while self.open.load(Ordering::Acquire) > 0 {
                sleep(DRAIN_POLL).await;
            }
        };
        let limit = sleep(span);
        future::or(idle, limit).await;
        self.open.load(Ordering::Acquire)
    }
}

/// Starts to serve `handler` on `address`.
pub fn bind(
    context: &Context,
    address: SocketAddr,
    limits: Limits,
    handler: Handler,
) -> Result<Listener, Error> {
    let failed = |source| Error::Bind { address, source };
    let socket = Async::<TcpListener>::bind(address).map_err(failed)?;
    let address = socket.get_ref().local_addr().map_err(failed)?;
    let (drain, draining) = async_channel::bounded(1);
    let open = Arc::new(AtomicUsize::new(0));
    let server = Server {
        context: context.clone(),
        limits,
        handler,
        draining,
        open: Arc::clone(&open),
    };
    context.detach(accept(socket, server));
    Ok(Listener {
        address,
        drain,
        open,
    })
}

#[derive(Clone)]
struct Server {
    context: Context,
    limits: Limits,
    handler: Handler,
    draining: async_channel::Receiver<()>,
    open: Arc<AtomicUsize>,
}

async fn accept(socket: Async<TcpListener>, server: Server) {
    loop {
        let accepted = async { Some(socket.accept().await) };
        let drained = async {
            let _ = server.draining.recv().await;
            None
        };
        match future::or(accepted, drained).await {
            None => return,
            Some(Err(_)) => sleep(ACCEPT_PAUSE).await,
            Some(Ok((stream, _))) => start_connection(stream, &server),
        }
    }
}

fn start_connection(stream: Async<TcpStream>, server: &Server) {
    if server.open.load(Ordering::Acquire) >= server.limits.connections {
        return;
    }
    let _ = stream.get_ref().set_nodelay(true);
    server.open.fetch_add(1, Ordering::AcqRel);
    let task = server.clone();
    server.context.detach(async move {
        serve_connection(stream, &task).await;
        task.open.fetch_sub(1, Ordering::AcqRel);
    });
}

async fn serve_connection(stream: Async<TcpStream>, server: &Server) {
    let handler = Arc::clone(&server.handler);
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let drained = async {
        let _ = server.draining.recv().await;
    };
    if is_http2(&stream, server).await {
        let executor = Spawner(server.context.clone());
        let connection = http2::Builder::new(executor)
            .timer(SmolTimer::new())
            .max_header_list_size(server.limits.head_bytes as u32)
            .serve_connection(FuturesIo::new(stream), service);
        let mut connection = pin!(connection);
        let ended = future::or(async { connection.as_mut().await.is_ok() }, async {
            drained.await;
            false
        });
        if !ended.await {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
        return;
    }
    let connection = http1::Builder::new()
        .auto_date_header(server.limits.has_date)
        .timer(SmolTimer::new())
        .header_read_timeout(server.limits.head_time)
        .max_buf_size(server.limits.head_bytes)
        .max_headers(server.limits.head_fields)
        .half_close(false)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = future::or(
        async {
            let _ = connection.as_mut().await;
            true
        },
        async {
            drained.await;
            false
        },
    );
    if !ended.await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Looks at the first bytes without taking them.
async fn is_http2(stream: &Async<TcpStream>, server: &Server) -> bool {
    let mut start = [0; H2_PREFACE.len()];
    let peek = async {
        loop {
            match stream.peek(&mut start).await {
                Ok(count) if count > 0 && H2_PREFACE.starts_with(&start[..count]) => {
                    if count == start.len() {
                        return true;
                    }
                    sleep(DRAIN_POLL).await;
                }
                _ => return false,
            }
        }
    };
    let limit = async {
        sleep(server.limits.head_time).await;
        false
    };
    let drained = async {
        let _ = server.draining.recv().await;
        false
    };
    future::or(peek, future::or(limit, drained)).await
}

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

/// Wraps bytes as a body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds an answer with a body of a given type.
pub fn answer(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    response
}

/// Builds an answer that carries a value as JSON.
pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("answers hold only encodable types");
    answer(status, "application/json", text)
}

/// Reads a whole body of at most `limit` bytes; `None` if it is longer or breaks off.
pub async fn collect(body: Incoming, limit: usize) -> Option<Bytes> {
    let limited = http_body_util::Limited::new(body, limit);
    limited.collect().await.ok().map(|whole| whole.to_bytes())
}

/// Fields that concern one connection only.
const HOP_FIELDS: [HeaderName; 4] = [CONNECTION, TE, TRANSFER_ENCODING, UPGRADE];

/// Removes the fields that concern one connection only.
pub fn remove_hop_fields(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in listed.iter().chain(&HOP_FIELDS) {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection", "proxy-authorization"] {
        headers.remove(name);
    }
}

/// Makes a handler of a function that shares a state.
pub fn with_state<S, F, A>(state: &Arc<S>, handle: F) -> Handler
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    let state = Arc::clone(state);
    Arc::new(move |request| Box::pin(handle(Arc::clone(&state), request)))
}
