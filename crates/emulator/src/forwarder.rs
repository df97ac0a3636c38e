//! A plain HTTP forwarder, the baseline for measuring an entry.
//!
//! It uses the same HTTP stack as an entry, but neither admits, routes nor
//! retries requests.

use http_body_util::BodyExt;
use hyper::StatusCode;
use rhubarbpick::kernel::{
    error::Error,
    http::{
        self,
        answer,
        Limits,
        Listener, //
    },
    pool,
    runtime::Context,
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

/// Most connections to the target.
const TARGET_CONNECTIONS: usize = 1024;

/// Longest wait for the head of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a forwarder that sends every request to `target`.
pub fn bind(context: &Context, address: SocketAddr, target: SocketAddr) -> Result<Listener, Error> {
    let pool = pool::open(context, target, TARGET_CONNECTIONS);
    let handler: http::Handler = Arc::new(move |request| {
        let pool = Arc::clone(&pool);
        Box::pin(async move {
            let request = request.map(|body| body.map_err(Into::into).boxed_unsync());
            match pool.send(request, RESPONSE_TIMEOUT).await {
                Ok(response) => response.map(|body| body.boxed_unsync()),
                Err(_) => answer(
                    StatusCode::BAD_GATEWAY,
                    "text/plain",
                    "no response from the target\n",
                ),
            }
        })
    });
    http::bind(context, address, Limits::default(), handler)
}
