//! Choice of the renewers: the processes that renew the lease of an endpoint.

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

/// Number of renewers assigned to each endpoint.
pub const RENEWERS_PER_ENDPOINT: usize = 2;

/// Returns the new renewers of an endpoint, or `None` if the present ones stay.
pub fn reassign(endpoint: &Endpoint, index: Index, inputs: &Inputs<'_>) -> Option<Vec<Node>> {
    let me = &inputs.view.me().node;
    // The planner gives up its own renewal only while the endpoint is healthy. If
    // the endpoint may be lost, the promise to stop its renewal is needed.
    let is_healthy =
        reports_for(endpoint, index, inputs).any(|found| found.node == *me && !found.report.silent);
    let excludes_me = is_healthy && can_exclude_planner(inputs);
    let can_stay = |node: &&Node| {
        let is_alive = inputs.view.state(node, inputs.now) == membership::Liveness::Alive;
        is_alive && !(excludes_me && *node == me)
    };
    let kept: Vec<Node> = endpoint.renewers.iter().filter(can_stay).cloned().collect();
    if kept.len() == RENEWERS_PER_ENDPOINT {
        return None;
    }
    let renewers = choose(endpoint, index, &kept, inputs);
    let is_same = renewers.len() == endpoint.renewers.len()
        && renewers.iter().all(|node| endpoint.renewers.contains(node));
    (!renewers.is_empty() && !is_same).then_some(renewers)
}

/// Returns whether there are enough renewers without the planner.
///
/// If a planner fails that is also one of the two renewers of an endpoint, and
/// the endpoint fails too, one promise to stop is missing, so that the end of the
/// lease cannot be proved.
fn can_exclude_planner(inputs: &Inputs<'_>) -> bool {
    inputs.view.usable(inputs.now).len() > RENEWERS_PER_ENDPOINT
}

/// Chooses renewers for an endpoint, keeping `kept`.
///
/// They should not be the planner, and their availability zones should differ
/// from that of the endpoint and from each other, so that a single loss takes
/// at most one of them. If there are too few processes, these preferences are
/// dropped, the last one first.
pub fn choose(endpoint: &Endpoint, index: Index, kept: &[Node], inputs: &Inputs<'_>) -> Vec<Node> {
    let usable = inputs.view.usable(inputs.now);
    let offset = usize::from(index.0);
    let me = &inputs.view.me().node;
    let mut renewers = kept.to_vec();
    while renewers.len() < RENEWERS_PER_ENDPOINT {
        let taken_zones: Vec<&str> = usable
            .iter()
            .filter(|peer| renewers.contains(&peer.node))
            .map(|peer| &*peer.zone)
            .collect();
        let count = usable.len();
        let candidates = usable
            .iter()
            .enumerate()
            .filter(|(_, peer)| !renewers.contains(&peer.node));
        let best = candidates.min_by_key(|(position, peer)| {
            let same_zone = *peer.zone == *endpoint.zone;
            let shared_zone = taken_zones.contains(&&*peer.zone);
            let is_planner = peer.node == *me;
            let rotation = (position + count - offset % count) % count;
            (is_planner, same_zone, shared_zone, rotation)
        });
        let Some((_, peer)) = best else { break };
        renewers.push(peer.node.clone());
    }
    renewers
}
