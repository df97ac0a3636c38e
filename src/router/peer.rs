//! State that the VMs pass on to each other.

use crate::{
    core::{
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
        pool::Keep,
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
use http_body_util::BodyExt;
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

/// How connections to peers are kept.
pub const KEEP: Keep = Keep {
    connections: 64,
    idle: Duration::from_secs(5),
    silence: Some(ANSWER_WAIT),
    connect: ANSWER_WAIT,
};

/// How long a relay holds a poll when nothing changes.
const HOLD: Duration = Duration::from_millis(400);

/// How long its answer may take beyond that.
const ANSWER_WAIT: Duration = Duration::from_millis(250);

/// Largest poll, in bytes.
const POLL_MAX: usize = 64 * 1024;

/// What this VM has of another one's copy.
pub struct Copy {
    relay: SocketAddr,
    copy: u64,
    number: u64,
}

/// Answers a peer.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != STATE_PATH {
        return answer(StatusCode::NOT_FOUND, "text/plain", "no such path\n");
    }
    let Some(bytes) = collect(request.into_body(), POLL_MAX).await else {
        return answer(StatusCode::BAD_REQUEST, "text/plain", "unreadable\n");
    };
    let poll: Query = match decode(&bytes) {
        Ok(poll) => poll,
        Err(error) => {
            log::warn!("event=poll_unreadable why=\"{error}\"");
            return answer(StatusCode::BAD_REQUEST, "text/plain", "unreadable\n");
        }
    };
    let end = sleep(HOLD);
    let news = async {
        loop {
            let changed = state.changed.listen();
            let is_new = poll.mirror_id != state.run
                || state.number() != poll.number
                || state.absent() != poll.absent;
            if is_new {
                return;
            }
            changed.await;
        }
    };
    future::or(news, end).await;
    let since = if poll.mirror_id == state.run {
        poll.number
    } else {
        0
    };
    let (number, objects) = state.changes(since);
    let reply = wire::Delta {
        mirror_id: state.run,
        last_change: number,
        objects,
        age_ms: state.age().as_millis() as u64,
        unavailable_members: state.absent(),
    };
    answer(StatusCode::OK, "application/msgpack", encode(&reply))
}

/// Polls a relay once; false if it does not answer.
pub async fn follow(state: &Arc<State>, relay: &Member, copies: &mut Vec<Copy>) -> bool {
    let known = copies.iter().position(|copy| copy.relay == relay.peers);
    let (copy, number) = known.map_or((0, 0), |index| (copies[index].copy, copies[index].number));
    let poll = Query {
        mirror_id: copy,
        number,
        absent: state.told(),
    };
    let began = clock::now();
    let Some(reply) = call(state, relay.peers, &poll).await else {
        log::info!("event=relay_lost relay={}", relay.name);
        state.suspect(relay.datagrams);
        return false;
    };
    let age = Duration::from_millis(reply.age_ms) + clock::now().since(began).min(ANSWER_WAIT) / 2;
    state.merge(|mirror| {
        let mut is_changed = false;
        for object in reply.objects {
            is_changed |= mirror.merge(object);
        }
        is_changed
    });
    let now = clock::now();
    state.set_fresh(Instant(now.0.saturating_sub(age.as_micros() as u64)));
    if !state.hears_all() {
        state.set_told(reply.unavailable_members);
    }
    let entry = Copy {
        relay: relay.peers,
        copy: reply.mirror_id,
        number: reply.last_change,
    };
    match known {
        Some(index) => copies[index] = entry,
        None => copies.push(entry),
    }
    true
}

async fn call(state: &Arc<State>, address: SocketAddr, poll: &Query) -> Option<wire::Delta> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(STATE_PATH)
        .header(hyper::header::HOST, address.to_string())
        .body(full(encode(poll)))
        .ok()?;
    let span = HOLD + ANSWER_WAIT;
    let pool = state.peer_pools.get(address);
    let exchange = async {
        let response = pool.send(request, span).await.ok()?;
        let whole = response.into_body().collect().await.ok()?;
        decode(&whole.to_bytes()).ok()
    };
    timeout(span, exchange).await?
}
