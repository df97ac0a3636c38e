//! Which requests of one connection may run concurrently.

use crate::{
    kernel::pipeline::Pipelining,
    router::state::State, //
};
use hyper::{
    header::HeaderValue,
    Uri, //
};
use std::sync::Arc;

/// Requests of one connection that run beside the one whose turn it is. Callers send some eight
/// requests at once.
const MAX_REQUESTS: usize = 15;

/// Bytes in responses that wait for their turn from which no more requests are started: the
/// longest response that is read whole.
const MAX_BYTES: usize = 256 * 1024;

/// Returns the limits on pipelined requests.
pub fn pipelining(state: &Arc<State>) -> Pipelining {
    let state = Arc::clone(state);
    Pipelining {
        max_requests: MAX_REQUESTS,
        max_bytes: MAX_BYTES,
        may_overlap: Arc::new(move |uri, host| may_overlap(&state, uri, host)),
    }
}

/// Returns whether a request is known to be repeatable. A process that is leaving starts no more
/// requests, as the response to the first one announces the end of the connection.
fn may_overlap(state: &State, uri: &Uri, host: Option<&HeaderValue>) -> bool {
    if state.is_leaving() {
        return false;
    }
    let host = match uri.authority() {
        Some(authority) => Some(authority.as_str()),
        None => host.and_then(|host| host.to_str().ok()),
    };
    let view = state.view();
    let route = view
        .manifest
        .as_ref()
        .zip(host)
        .and_then(|(manifest, host)| manifest.route(host, uri.path()));
    route.is_some_and(|route| route.repeat.allows_repeat())
}
