//! A persistent HTTP/1.1 client connection for consecutive requests.
//!
//! Unlike a pool, which would silently open another connection, it reports
//! when the connection was closed without notice, for example because the
//! server restarted.

use crate::kernel::{
    fair_stream::{
        self,
        Meter,
        MAX_BUFFER_BYTES, //
    },
    http::Body,
    runtime::{
        timeout,
        Context, //
    },
    tcp, //
};
use async_lock::Mutex;
use bytes::Bytes;
use displaydoc::Display;
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    client::conn::http1::{
        self,
        SendRequest, //
    },
    header::CONNECTION,
    Request,
    Response, //
};
use smol_hyper::rt::FuturesIo;
use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
    },
    time::Duration,
};

/// Longest response body that is read. A faulty server may send bytes without end.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Why a call got no response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// cannot connect
    Unreachable,
    /// the connection was closed before the request was sent
    Ended,
    /// no response within the time limit, one that is too long, or the connection broke before
    /// it was complete
    Silent,
}

impl std::error::Error for Error {}

/// An open connection.
pub struct Connection {
    sender: Mutex<SendRequest<Body>>,
    meter: Meter,
    is_closed: Arc<AtomicBool>,
    is_closing: AtomicBool,
}

/// Connects to `address` within `span`.
///
/// Closing the connection discards undelivered data and resets it.
pub async fn open(
    context: &Context,
    address: SocketAddr,
    span: Duration,
) -> Result<Connection, Error> {
    let connecting = tcp::open(context.source_address(), address);
    let stream = match timeout(span, connecting).await {
        Some(Ok(stream)) => stream,
        _ => return Err(Error::Unreachable),
    };
    let prepared = stream
        .get_ref()
        .set_nodelay(true)
        .and_then(|()| tcp::reset_on_close(&stream));
    prepared.map_err(|_| Error::Unreachable)?;
    let (stream, meter) = fair_stream::client(stream);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(FuturesIo::new(stream))
        .await
        .map_err(|_| Error::Unreachable)?;
    let is_closed = Arc::new(AtomicBool::new(false));
    let closed_flag = Arc::clone(&is_closed);
    context.detach(async move {
        // The call that fails reports the error.
        let _ = connection.await;
        closed_flag.store(true, Ordering::Release);
    });
    Ok(Connection {
        sender: Mutex::new(sender),
        meter,
        is_closed,
        is_closing: AtomicBool::new(false),
    })
}

impl Connection {
    /// Tells whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Acquire)
    }

    /// Tells whether a response announced with `Connection: close` that the
    /// server closes the connection.
    pub fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Acquire)
    }

    /// Sends a request and reads the whole response within `span`.
    pub async fn call(
        &self,
        request: Request<Body>,
        span: Duration,
    ) -> Result<Response<Bytes>, Error> {
        if self.is_closed() {
            return Err(Error::Ended);
        }
        let exchange = async {
            let mut sender = self.sender.lock().await;
            if sender.ready().await.is_err() {
                return Err(Error::Ended);
            }
            self.meter.reset();
            let response = sender.try_send_request(request).await;
            let response = response.map_err(|mut failure| match failure.take_message() {
                Some(_) => Error::Ended,
                None => Error::Silent,
            })?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, MAX_BODY_BYTES);
            let collected = body.collect().await.map_err(|_| Error::Silent)?;
            Ok(Response::from_parts(parts, collected.to_bytes()))
        };
        let response = timeout(span, exchange)
            .await
            .unwrap_or(Err(Error::Silent))?;
        let announces_close = response
            .headers()
            .get_all(CONNECTION)
            .iter()
            .flat_map(|value| value.as_bytes().split(|&byte| byte == b','))
            .any(|token| token.trim_ascii().eq_ignore_ascii_case(b"close"));
        if announces_close {
            self.is_closing.store(true, Ordering::Release);
        }
        Ok(response)
    }
}
