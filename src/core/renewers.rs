//! Which processes renew an endpoint.

use crate::core::{
    membership,
    planner::Inputs,
    release::reports_for,
    table::{
        Endpoint,
        Index,
        Node, //
    },
};

/// Renewers that each endpoint is given.
pub const SEATS: usize = 2;

/// Returns the renewers that an endpoint should have, if they are others than it has.
pub fn reassign(endpoint: &Endpoint, key: Index, facts: &Inputs<'_>) -> Option<Vec<Node>> {
    let me = &facts.view.me().node;
    // A seat on an endpoint that may be lost stays with who can vouch for it.
    let is_well =
        reports_for(endpoint, key, facts).any(|found| found.node == *me && !found.report.silent);
    let spares_me = is_well && can_spare_planner(facts);
    let is_good = |node: &&Node| {
        let is_alive = facts.view.state(node, facts.now) == membership::Liveness::Alive;
        is_alive && !(spares_me && *node == me)
    };
    let kept: Vec<Node> = endpoint.renewers.iter().filter(is_good).cloned().collect();
    if kept.len() == SEATS {
        return None;
    }
    let seats = choose(endpoint, key, &kept, facts);
    let is_same = seats.len() == endpoint.renewers.len()
        && seats.iter().all(|node| endpoint.renewers.contains(node));
    (!seats.is_empty() && !is_same).then_some(seats)
}

/// Tells whether there are enough renewers without the planner.
///
/// A planner that renews would be lost together with one of an endpoint's two
/// renewers; if the endpoint is lost too, nobody could vouch for its hold.
fn can_spare_planner(facts: &Inputs<'_>) -> bool {
    facts.view.usable(facts.now).len() > SEATS
}

/// Chooses renewers for an endpoint, keeping `kept`.
///
/// They should not be the planner, and in other availability zones than the
/// endpoint and each other, so that one loss takes one of them at most. With
/// too few processes these wishes give way, the last one first.
pub fn choose(endpoint: &Endpoint, key: Index, kept: &[Node], facts: &Inputs<'_>) -> Vec<Node> {
    let usable = facts.view.usable(facts.now);
    let spread = usize::from(key.0);
    let me = &facts.view.me().node;
    let mut seats = kept.to_vec();
    while seats.len() < SEATS {
        let taken: Vec<&str> = usable
            .iter()
            .filter(|peer| seats.contains(&peer.node))
            .map(|peer| &*peer.zone)
            .collect();
        let count = usable.len();
        let candidates = usable
            .iter()
            .enumerate()
            .filter(|(_, peer)| !seats.contains(&peer.node));
        let best = candidates.min_by_key(|(index, peer)| {
            let same_zone = *peer.zone == *endpoint.zone;
            let shared_zone = taken.contains(&&*peer.zone);
            let is_planner = peer.node == *me;
            let turn = (index + count - spread % count) % count;
            (is_planner, same_zone, shared_zone, turn)
        });
        let Some((_, peer)) = best else { break };
        seats.push(peer.node.clone());
    }
    seats
}
