//! Replication of the store's state from the relays to the other VMs.
//!
//! A VM sends a relay a long poll with the last change that it has. The relay
//! responds with all later changes as soon as there are any.

use crate::{
    core::{
        mirror::{
            Object,
            Value, //
        },
        registry::Member,
        time::Instant, //
    },
    kernel::{
        clock,
        http::{
            answer,
            collect,
            full,
            Body, //
        },
        pool::Config,
        runtime::{
            sleep,
            timeout, //
        },
        wire::{
            decode,
            encode, //
        },
    },
    router::{
        state::State,
        wire::{
            self,
            Query,
            STATE_PATH, //
        },
    },
};
use futures_lite::future;
use hyper::{
    body::Incoming,
    Method,
    Request,
    Response,
    StatusCode, //
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

/// Settings of the connection pools to peers.
pub const POOL_CONFIG: Config = Config {
    max_connections: 64,
    idle_timeout: Duration::from_secs(5),
    ack_timeout: Some(RESPONSE_TIMEOUT),
    connect_timeout: RESPONSE_TIMEOUT,
    receive_buffer: None,
};

/// How long a relay delays the response to a poll while nothing changes.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// How long the response may take beyond [`POLL_TIMEOUT`].
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest query.
const MAX_QUERY_BYTES: usize = 64 * 1024;

/// Largest response to a query. The whole state of a deployment takes a few megabytes.
const MAX_DELTA_BYTES: usize = 32 * 1024 * 1024;

/// Position up to which this VM has the changes of a relay's mirror.
pub struct Cursor {
    relay: SocketAddr,
    mirror_id: u64,
    last_change: u64,
}

/// Handles a peer's query.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != STATE_PATH {
        return answer(StatusCode::NOT_FOUND, "text/plain", "no such path\n");
    }
    let Some(bytes) = collect(request.into_body(), MAX_QUERY_BYTES).await else {
        return answer(StatusCode::BAD_REQUEST, "text/plain", "unreadable\n");
    };
    let query: Query = match decode(&bytes) {
        Ok(query) => query,
        Err(error) => {
            log::warn!("event=poll_unreadable why=\"{error}\"");
            return answer(StatusCode::BAD_REQUEST, "text/plain", "unreadable\n");
        }
    };
    let timer = sleep(POLL_TIMEOUT);
    let change = async {
        loop {
            let changed = state.changed.listen();
            let has_changes = query.mirror_id != state.run
                || state.last_change() != query.last_change
                || state.unavailable_members() != query.unavailable_members;
            if has_changes {
                return;
            }
            changed.await;
        }
    };
    future::or(change, timer).await;
    let since = if query.mirror_id == state.run {
        query.last_change
    } else {
        0
    };
    let (last_change, mut objects) = state.changes_since(since);
    update_cold_times(&state, &mut objects);
    let delta = wire::Delta {
        mirror_id: state.run,
        last_change,
        objects,
        oldest_era: state.oldest_era(),
        age_ms: state.age().as_millis() as u64,
        unavailable_members: state.unavailable_members(),
    };
    answer(StatusCode::OK, "application/msgpack", encode(&delta))
}

/// Sets for how long endpoints are cold to what is left of it, as the receiver does not know when
/// their entries were written, or that a zone was evacuated.
fn update_cold_times(state: &State, objects: &mut [Object]) {
    let view = state.view();
    let now = clock::now();
    for object in objects {
        let Some(Value::Endpoint(endpoint)) = &mut object.value else {
            continue;
        };
        let has_rule = state.cold_rule(&view, &endpoint.service).is_some();
        let Some(entry) = view.endpoint(&endpoint.id).filter(|_| has_rule) else {
            continue;
        };
        let left_ms = entry.cold.report(now).left_us.div_ceil(1_000);
        if endpoint.cold_ms != left_ms {
            Arc::make_mut(endpoint).cold_ms = left_ms;
        }
    }
}

/// Polls a relay once; returns `false` if it does not respond.
pub async fn poll(state: &Arc<State>, relay: &Member, cursors: &mut Vec<Cursor>) -> bool {
    let index = cursors
        .iter()
        .position(|cursor| cursor.relay == relay.peers);
    let (mirror_id, last_change) = index.map_or((0, 0), |index| {
        (cursors[index].mirror_id, cursors[index].last_change)
    });
    let query = Query {
        mirror_id,
        last_change,
        unavailable_members: state.reported_unavailable(),
    };
    let began = clock::now();
    let Some(delta) = send_query(state, relay.peers, &query).await else {
        log::info!("event=relay_lost relay={}", relay.name);
        state.suspect(relay.datagrams);
        return false;
    };
    let age =
        Duration::from_millis(delta.age_ms) + clock::now().since(began).min(RESPONSE_TIMEOUT) / 2;
    state.merge(|mirror| {
        let mut is_changed = false;
        for object in delta.objects {
            is_changed |= mirror.merge(object);
        }
        is_changed
    });
    state.set_oldest_era(delta.oldest_era);
    let now = clock::now();
    let matched_at = Instant(now.0.saturating_sub(age.as_micros() as u64));
    state.set_synced_at(matched_at);
    state.set_evacuations_known_at(matched_at);
    if !state.receives_all_heartbeats() {
        state.set_reported_unavailable(delta.unavailable_members);
    }
    let cursor = Cursor {
        relay: relay.peers,
        mirror_id: delta.mirror_id,
        last_change: delta.last_change,
    };
    match index {
        Some(index) => cursors[index] = cursor,
        None => cursors.push(cursor),
    }
    true
}

async fn send_query(state: &Arc<State>, address: SocketAddr, query: &Query) -> Option<wire::Delta> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(STATE_PATH)
        .header(hyper::header::HOST, address.to_string())
        .body(full(encode(query)))
        .ok()?;
    let time_limit = POLL_TIMEOUT + RESPONSE_TIMEOUT;
    let pool = state.peer_pools.get(address);
    let exchange = async {
        let response = pool.send(request, time_limit).await.ok()?;
        let bytes = collect(response.into_body(), MAX_DELTA_BYTES).await?;
        decode(&bytes).ok()
    };
    timeout(time_limit, exchange).await?
}
