//! Handler of requests from peers, the other processes of the system.
//!
//! Every request has to carry the shared secret. Requests of callers that a peer
//! forwards arrive here too and are passed on to [`entry`].

use crate::{
    daemon::{
        beat,
        entry,
        state::State, //
    },
    edge::{
        header,
        peer::{
            self,
            Fetch,
            Fetched,
            Heartbeat,
            Stop, //
        },
    },
    kernel::{
        clock,
        http::{
            answer,
            collect,
            full,
            Body, //
        },
        wire,
    },
};
use hyper::{
    body::Incoming,
    Request,
    Response,
    StatusCode, //
};
use serde::Serialize;
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Maximum size of a message; leaves ample room for a table.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Responds to a peer.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    if !is_peer(&state, &request) {
        return answer(
            StatusCode::FORBIDDEN,
            "text/plain",
            "the shared secret is missing or wrong; check that all VMs have the same one\n",
        );
    }
    if request.headers().contains_key(header::DISPATCH) {
        return entry::handle_forwarded(state, request).await;
    }
    let path: Box<str> = request.uri().path().into();
    let Some(bytes) = collect(request.into_body(), MAX_MESSAGE_BYTES).await else {
        return answer(
            StatusCode::BAD_REQUEST,
            "text/plain",
            "cannot read the message: it was cut off or exceeds 4 MiB\n",
        );
    };
    let response = match &*path {
        peer::HEARTBEAT_PATH => {
            wire::decode(&bytes).map(|heartbeat| on_heartbeat(&state, heartbeat))
        }
        peer::FETCH_PATH => wire::decode(&bytes).map(|fetch| on_fetch(&state, &fetch)),
        peer::TABLE_PATH => wire::decode(&bytes).map(|table| {
            state.adopt_cell(table);
            encode_response(&())
        }),
        peer::INTENT_PATH => wire::decode(&bytes).map(|record| {
            state.adopt_intent(record);
            encode_response(&())
        }),
        peer::STOP_PATH => wire::decode(&bytes).map(|stop| on_stop(&state, &stop)),
        _ => {
            return answer(
                StatusCode::NOT_FOUND,
                "text/plain",
                "no such path; the processes may run different versions\n",
            )
        }
    };
    response
        .unwrap_or_else(|error| answer(StatusCode::BAD_REQUEST, "text/plain", format!("{error}\n")))
}

fn is_peer(state: &State, request: &Request<Incoming>) -> bool {
    let secret = request.headers().get(header::SECRET);
    secret.is_some_and(|secret| secret.as_bytes().ct_eq(state.secret.as_bytes()).into())
}

fn encode_response<T: Serialize>(value: &T) -> Response<Body> {
    answer(StatusCode::OK, "application/msgpack", wire::encode(value))
}

fn on_heartbeat(state: &Arc<State>, heartbeat: Heartbeat) -> Response<Body> {
    let body = wire::encode_compact(&beat::answer(state, heartbeat));
    Response::new(full(body))
}

fn on_fetch(state: &State, fetch: &Fetch) -> Response<Body> {
    let snapshot = state.tables.current();
    let fetched = Fetched {
        cell: snapshot.cell(&fetch.service).map(|table| (**table).clone()),
        intent: snapshot
            .intent(&fetch.service)
            .map(|record| (**record).clone()),
    };
    encode_response(&fetched)
}

fn on_stop(state: &State, stop: &Stop) -> Response<Body> {
    let stopped = state.renewer.stop(stop, clock::now());
    log::info!(
        "event=renewal_stopped cell={} token={} endpoint={} promised={}",
        stop.cell,
        stop.token,
        stop.endpoint.0,
        stopped.promise.is_some()
    );
    encode_response(&stopped)
}
