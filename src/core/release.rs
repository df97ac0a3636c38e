//! When the hold of an endpoint is over.
//!
//! All safety of moves rests here: a shard is given to a new owner only after
//! the old one's hold is proved to be over, by a lapse that no renewer can
//! have extended, or by the endpoint's own acknowledgement.

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
        lapse,
        Instant,
        LEASE_DURATION, //
    },
};

/// State of an endpoint's hold as far as a planner can prove it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Release {
    /// The words of these renewers are missing.
    AwaitingPromises(Vec<Node>),
    /// The hold is over at this time.
    At(Instant),
}

/// Decides when the hold of a silent endpoint is over.
///
/// Every renewer that the endpoint may still obey has to have promised to
/// stop, or its run has to be proved gone. A promise bounds the hold by the
/// newest stamp that the renewer had; of a run that is gone it is only known
/// that it received its last stamp before that was learned.
pub fn evaluate(cell: &Table, key: Index, facts: &Inputs<'_>) -> Release {
    let endpoint = cell.endpoint(key);
    let mut missing = Vec::new();
    let mut over = Instant::default();
    for node in obliged(endpoint, key, facts) {
        let given = facts.stop_promises.iter().find(|given| {
            given.node == *node
                && given.promise.endpoint == key
                && given.promise.incarnation == endpoint.incarnation
        });
        let from = match (given, facts.view.gone_since(node)) {
            (Some(given), _) => match given.promise.age_us {
                None => continue,
                Some(age) => Instant(given.received.0.saturating_sub(age)),
            },
            (None, Some(learned)) => learned,
            (None, None) => {
                missing.push(node.clone());
                continue;
            }
        };
        over = over.max(from.after(lapse(LEASE_DURATION)));
    }
    if missing.is_empty() {
        Release::At(over)
    } else {
        Release::AwaitingPromises(missing)
    }
}

/// Walks the renewers that an endpoint may still obey.
fn obliged<'a>(
    endpoint: &'a Endpoint,
    key: Index,
    facts: &'a Inputs<'_>,
) -> impl Iterator<Item = &'a Node> {
    let acked = acked_version(endpoint, key, facts);
    let retired = endpoint.retired.iter();
    let unfenced = retired.filter(move |retired| retired.version > acked);
    endpoint
        .renewers
        .iter()
        .chain(unfenced.map(|retired| &retired.node))
}

/// Returns the highest version that this run of the endpoint has acknowledged.
pub fn acked_version(endpoint: &Endpoint, key: Index, facts: &Inputs<'_>) -> u64 {
    let reports = reports_for(endpoint, key, facts);
    reports
        .map(|reported| reported.report.acked.version)
        .max()
        .unwrap_or(0)
}

/// Returns the highest version whose revocations this run has completed.
pub fn settled_version(endpoint: &Endpoint, key: Index, facts: &Inputs<'_>) -> u64 {
    let reports = reports_for(endpoint, key, facts);
    reports
        .map(|reported| reported.report.settled.version)
        .max()
        .unwrap_or(0)
}

/// Walks the reports on this run of the endpoint.
pub fn reports_for<'a>(
    endpoint: &'a Endpoint,
    key: Index,
    facts: &'a Inputs<'_>,
) -> impl Iterator<Item = &'a Observation> {
    facts.reports.iter().filter(move |reported| {
        reported.report.endpoint == key && reported.report.incarnation == endpoint.incarnation
    })
}
