//! Selects the endpoints to which a request is sent, according to the current tables.

use crate::{
    core::{
        shard,
        table::{
            self,
            Node,
            Table, //
        },
        token::Token,
    },
    daemon::{
        dispatch,
        forward::Call,
        state::State, //
    },
};
use futures_lite::future;
use std::net::SocketAddr;

/// Destination of a request.
pub struct Target {
    /// Addresses of the endpoints that may run it.
    pub addresses: Vec<SocketAddr>,
    /// Owner of its shard, or `None` for a service without keys.
    pub owner: Option<Owner>,
    /// Process that dispatches for these endpoints.
    pub dispatcher: Node,
}

/// Owner of the shard of a request, according to a table.
#[derive(Clone, Copy)]
pub struct Owner {
    /// Endpoint that owns the shard.
    pub endpoint: table::Index,
    /// Shard.
    pub shard: shard::Shard,
    /// Token of the table, which the endpoint uses as a fencing token.
    pub fence: Token,
}

/// Chooses the destination of a request; returns `None` while its shard has no owner.
///
/// `avoid` is a dispatcher that could not be reached.
pub fn choose(state: &State, call: &Call, avoid: Option<&Node>) -> Option<Target> {
    let intent = &call.confirmed.intent;
    if intent.shards == 0 {
        let endpoints = intent.endpoints.iter();
        return Some(Target {
            addresses: endpoints.map(|endpoint| endpoint.address).collect(),
            owner: None,
            dispatcher: dispatch::dispatcher_of_service(state, &call.confirmed, avoid),
        });
    }
    let snapshot = state.tables.current();
    let table = snapshot.cell(&intent.service)?;
    let shard = shard::of_key(call.key.as_bytes(), table.owners.count());
    let (index, endpoint) = table.owner(shard)?;
    Some(Target {
        addresses: vec![endpoint.address],
        owner: Some(Owner {
            endpoint: index,
            shard,
            fence: table.token,
        }),
        dispatcher: dispatch::dispatcher_of_endpoint(state, table, index, avoid),
    })
}

/// Waits until the table assigns the target's shard to another endpoint or to none.
///
/// Never returns for a service without keys.
pub async fn wait_until_moved(state: &State, call: &Call, target: &Target) {
    wait_for_table(state, call, target, |table, owner| {
        table.owners.get(owner.shard) != Some(owner.endpoint)
    })
    .await;
}

/// Waits until the table declares the target's endpoint lost.
///
/// Never returns for a service without keys.
pub async fn wait_until_endpoint_lost(state: &State, call: &Call, target: &Target) {
    let is_endpoint_lost =
        |table: &Table, owner: Owner| table.endpoint(owner.endpoint).state == table::Lease::Absent;
    wait_for_table(state, call, target, is_endpoint_lost).await;
}

/// Waits for a table of the target's service that satisfies `is_wanted`.
async fn wait_for_table(
    state: &State,
    call: &Call,
    target: &Target,
    is_wanted: impl Fn(&Table, Owner) -> bool,
) {
    let Some(owner) = target.owner else {
        return future::pending().await;
    };
    loop {
        let changed = state.tables.listen();
        let snapshot = state.tables.current();
        let table = snapshot.cell(&call.confirmed.intent.service);
        if table.is_some_and(|table| is_wanted(table, owner)) {
            return;
        }
        changed.await;
    }
}
