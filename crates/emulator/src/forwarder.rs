//! A bare forwarder: the same HTTP stack as an entry, without its decisions.

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

/// Connections to the other side.
const CONNECTIONS: usize = 1024;

/// Time for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts to forward every request to `target`.
pub fn bind(context: &Context, address: SocketAddr, target: SocketAddr) -> Result<Listener, Error> {
    let pool = pool::open(context, target, CONNECTIONS);
    let handler: http::Handler = Arc::new(move |request| {
        let pool = Arc::clone(&pool);
        Box::pin(async move {
            let request = request.map(|body| body.map_err(Into::into).boxed_unsync());
            match pool.send(request, TIMEOUT).await {
                Ok(response) => response.map(|body| body.boxed_unsync()),
                Err(_) => answer(StatusCode::BAD_GATEWAY, "text/plain", "no answer\n"),
            }
        })
    });
    http::bind(context, address, Limits::default(), handler)
}
