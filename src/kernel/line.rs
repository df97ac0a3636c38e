//! One kept HTTP/1.1 connection for calls that follow each other.
//!
//! The caller learns when the connection ended without notice, which a pool
//! would hide by opening another one.

use crate::kernel::{
    connect,
    http::Body,
    runtime::{
        timeout,
        Context, //
    },
};
use async_lock::Mutex;
use bytes::Bytes;
use displaydoc::Display;
use http_body_util::BodyExt;
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

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// no connection could be made
    Unreachable,
    /// the connection had ended before the call was sent
    Ended,
    /// no answer came in time, or the connection broke before it came
    Silent,
}

impl std::error::Error for Error {}

/// An open connection.
pub struct Line {
    sender: Mutex<SendRequest<Body>>,
    is_closed: Arc<AtomicBool>,
    is_closing: AtomicBool,
}

/// Connects within `span`; closing drops what was not delivered yet.
pub async fn open(context: &Context, address: SocketAddr, span: Duration) -> Result<Line, Error> {
    let connecting = connect::open(context.source(), address);
    let stream = match timeout(span, connecting).await {
        Some(Ok(stream)) => stream,
        _ => return Err(Error::Unreachable),
    };
    let prepared = stream
        .get_ref()
        .set_nodelay(true)
        .and_then(|()| connect::reset_on_close(&stream));
    prepared.map_err(|_| Error::Unreachable)?;
    let (sender, connection) = http1::handshake(FuturesIo::new(stream))
        .await
        .map_err(|_| Error::Unreachable)?;
    let is_closed = Arc::new(AtomicBool::new(false));
    let ended = Arc::clone(&is_closed);
    context.detach(async move {
        // How the connection ended is seen by the call that it fails.
        let _ = connection.await;
        ended.store(true, Ordering::Release);
    });
    Ok(Line {
        sender: Mutex::new(sender),
        is_closed,
        is_closing: AtomicBool::new(false),
    })
}

impl Line {
    /// Tells whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Acquire)
    }

    /// Tells whether the other side said that it would close the connection.
    pub fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Acquire)
    }

    /// Sends a request and reads the whole answer within `span`.
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
            let response = sender.try_send_request(request).await;
            let response = response.map_err(|mut failure| match failure.take_message() {
                Some(_) => Error::Ended,
                None => Error::Silent,
            })?;
            let (parts, body) = response.into_parts();
            let whole = body.collect().await.map_err(|_| Error::Silent)?;
            Ok(Response::from_parts(parts, whole.to_bytes()))
        };
        let response = timeout(span, exchange)
            .await
            .unwrap_or(Err(Error::Silent))?;
        let closes = response
            .headers()
            .get_all(CONNECTION)
            .iter()
            .any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes {
            self.is_closing.store(true, Ordering::Release);
        }
        Ok(response)
    }
}
