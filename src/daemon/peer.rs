//! The listener for the other processes of the system.

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

/// Largest message in bytes: a table with room to spare.
const MESSAGE_LIMIT: usize = 4 * 1024 * 1024;

/// Answers a peer.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    if !is_peer(&state, &request) {
        return answer(
            StatusCode::FORBIDDEN,
            "text/plain",
            "the shared secret is wrong\n",
        );
    }
    if request.headers().contains_key(header::DISPATCH) {
        return entry::handle_forwarded(state, request).await;
    }
    let path: Box<str> = request.uri().path().into();
    let Some(bytes) = collect(request.into_body(), MESSAGE_LIMIT).await else {
        return answer(
            StatusCode::BAD_REQUEST,
            "text/plain",
            "the message is too long\n",
        );
    };
    let answered = match &*path {
        peer::HEARTBEAT_PATH => wire::decode(&bytes).map(|beat| take_beat(&state, beat)),
        peer::FETCH_PATH => wire::decode(&bytes).map(|wish| give(&state, &wish)),
        peer::TABLE_PATH => wire::decode(&bytes).map(|cell| {
            state.adopt_cell(cell);
            message(&())
        }),
        peer::INTENT_PATH => wire::decode(&bytes).map(|confirmed| {
            state.adopt_intent(confirmed);
            message(&())
        }),
        peer::STOP_PATH => wire::decode(&bytes).map(|stop| take_stop(&state, &stop)),
        _ => {
            return answer(
                StatusCode::NOT_FOUND,
                "text/plain",
                "there is no such message\n",
            )
        }
    };
    answered
        .unwrap_or_else(|error| answer(StatusCode::BAD_REQUEST, "text/plain", format!("{error}\n")))
}

fn is_peer(state: &State, request: &Request<Incoming>) -> bool {
    let given = request.headers().get(header::SECRET);
    given.is_some_and(|given| given.as_bytes().ct_eq(state.secret.as_bytes()).into())
}

fn message<T: Serialize>(value: &T) -> Response<Body> {
    answer(StatusCode::OK, "application/msgpack", wire::encode(value))
}

fn take_beat(state: &Arc<State>, heartbeat: Heartbeat) -> Response<Body> {
    let answer = wire::encode_compact(&beat::answer(state, heartbeat));
    Response::new(full(answer))
}

fn give(state: &State, wish: &Fetch) -> Response<Body> {
    let snapshot = state.tables.current();
    let fetched = Fetched {
        cell: snapshot.cell(&wish.service).map(|cell| (**cell).clone()),
        intent: snapshot
            .intent(&wish.service)
            .map(|confirmed| (**confirmed).clone()),
    };
    message(&fetched)
}

fn take_stop(state: &State, stop: &Stop) -> Response<Body> {
    let stopped = state.renewer.stop(stop, clock::now());
    log::info!(
        "event=renewal_stopped cell={} token={} endpoint={} promised={}",
        stop.cell,
        stop.token,
        stop.endpoint.0,
        stopped.promise.is_some()
    );
    message(&stopped)
}
