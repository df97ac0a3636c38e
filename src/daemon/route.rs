//! Where a request is to run, according to the tables held now.

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
        forward::Job,
        state::State, //
    },
};
use futures_lite::future;
use std::net::SocketAddr;

/// Where to send a request.
pub struct Target {
    /// Endpoints that may run it.
    pub servers: Vec<SocketAddr>,
    /// Owner of its shard, for a service with keys.
    pub owner: Option<Owner>,
    /// Process that dispatches for these endpoints.
    pub dispatcher: Node,
}

/// The owner of a request's shard, according to a table.
#[derive(Clone, Copy)]
pub struct Owner {
    /// Endpoint that owns it.
    pub endpoint: table::Index,
    /// Shard.
    pub shard: shard::Shard,
    /// Position of the table.
    pub fence: Token,
}

/// Chooses where to send a request now; none while its shard has no owner.
pub fn choose(state: &State, job: &Job, avoid: Option<&Node>) -> Option<Target> {
    let intent = &job.confirmed.intent;
    if intent.shards == 0 {
        let endpoints = intent.endpoints.iter();
        return Some(Target {
            servers: endpoints.map(|endpoint| endpoint.address).collect(),
            owner: None,
            dispatcher: dispatch::of_service(state, &job.confirmed, avoid),
        });
    }
    let snapshot = state.tables.current();
    let cell = snapshot.cell(&intent.service)?;
    let shard = shard::of_key(job.key.as_bytes(), cell.owners.count());
    let (key, endpoint) = cell.owner(shard)?;
    Some(Target {
        servers: vec![endpoint.address],
        owner: Some(Owner {
            endpoint: key,
            shard,
            fence: cell.token,
        }),
        dispatcher: dispatch::of_endpoint(state, cell, key, avoid),
    })
}

/// Waits until the table gives the target's shard to another endpoint or to none.
pub async fn moved(state: &State, job: &Job, target: &Target) {
    until(state, job, target, |cell, owner| {
        cell.owners.get(owner.shard) != Some(owner.endpoint)
    })
    .await;
}

/// Waits until the table says that the target's endpoint is lost.
pub async fn lost_endpoint(state: &State, job: &Job, target: &Target) {
    let is_lost =
        |cell: &Table, owner: Owner| cell.endpoint(owner.endpoint).state == table::Lease::Absent;
    until(state, job, target, is_lost).await;
}

/// Waits for a table of the target's cell that satisfies `wanted`.
async fn until(state: &State, job: &Job, target: &Target, wanted: impl Fn(&Table, Owner) -> bool) {
    let Some(owner) = target.owner else {
        return future::pending().await;
    };
    loop {
        let change = state.tables.listen();
        let snapshot = state.tables.current();
        let cell = snapshot.cell(&job.confirmed.intent.service);
        if cell.is_some_and(|cell| wanted(cell, owner)) {
            return;
        }
        change.await;
    }
}
