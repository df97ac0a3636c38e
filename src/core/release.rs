//! Proof that the lease of an endpoint has ended.
//!
//! The safety of shard moves depends on this module: a shard is assigned to a
//! new owner only after the lease of the old one has provably ended. Either it
//! has expired and no renewer can have extended it, or the endpoint itself has
//! acknowledged the revocation.

use crate::core::{
    planner::{
        Inputs,
        Observation, //
    },
    table::{
        Endpoint,
        Index,
        Node,
        Table, //
    },
    time::{
        expiry_bound,
        Instant,
        LEASE_DURATION, //
    },
};

/// What a planner can prove about the end of an endpoint's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Release {
    /// The end is unknown until these renewers have promised to stop.
    AwaitingPromises(Vec<Node>),
    /// The lease ends at this time at the latest.
    At(Instant),
}

/// Determines when the lease of a silent endpoint ends.
///
/// Every renewer whose orders the endpoint may still accept must have promised
/// to stop, or its incarnation must be known to be gone. A promise bounds the
/// lease by the time at which the renewer received its newest stamp. Of an
/// incarnation that is gone it is only known that it received its last stamp
/// before the planner learned that it is gone.
pub fn evaluate(table: &Table, index: Index, inputs: &Inputs<'_>) -> Release {
    let endpoint = table.endpoint(index);
    let mut missing = Vec::new();
    let mut expiry = Instant::default();
    for node in possible_renewers(endpoint, index, inputs) {
        let commitment = inputs.stop_promises.iter().find(|commitment| {
            commitment.node == *node
                && commitment.promise.endpoint == index
                && commitment.promise.incarnation == endpoint.incarnation
        });
        let start = match (commitment, inputs.view.gone_since(node)) {
            (Some(commitment), _) => match commitment.promise.age_us {
                None => continue,
                Some(age) => Instant(commitment.received.0.saturating_sub(age)),
            },
            (None, Some(learned_at)) => learned_at,
            (None, None) => {
                missing.push(node.clone());
                continue;
            }
        };
        expiry = expiry.max(start.after(expiry_bound(LEASE_DURATION)));
    }
    if missing.is_empty() {
        Release::At(expiry)
    } else {
        Release::AwaitingPromises(missing)
    }
}

/// Iterates over the renewers whose orders an endpoint may still accept.
fn possible_renewers<'a>(
    endpoint: &'a Endpoint,
    index: Index,
    inputs: &'a Inputs<'_>,
) -> impl Iterator<Item = &'a Node> {
    let acked = acked_version(endpoint, index, inputs);
    let retired = endpoint.retired.iter();
    let unfenced = retired.filter(move |retired| retired.version > acked);
    endpoint
        .renewers
        .iter()
        .chain(unfenced.map(|retired| &retired.node))
}

/// Returns the highest table version that the endpoint's incarnation has acknowledged.
pub fn acked_version(endpoint: &Endpoint, index: Index, inputs: &Inputs<'_>) -> u64 {
    let reports = reports_for(endpoint, index, inputs);
    reports
        .map(|observation| observation.report.acked.version)
        .max()
        .unwrap_or(0)
}

/// Returns the highest table version whose revocations the endpoint's incarnation
/// has completed.
pub fn settled_version(endpoint: &Endpoint, index: Index, inputs: &Inputs<'_>) -> u64 {
    let reports = reports_for(endpoint, index, inputs);
    reports
        .map(|observation| observation.report.settled.version)
        .max()
        .unwrap_or(0)
}

/// Iterates over the reports on the endpoint's incarnation.
pub fn reports_for<'a>(
    endpoint: &'a Endpoint,
    index: Index,
    inputs: &'a Inputs<'_>,
) -> impl Iterator<Item = &'a Observation> {
    inputs.reports.iter().filter(move |observation| {
        observation.report.endpoint == index
            && observation.report.incarnation == endpoint.incarnation
    })
}
