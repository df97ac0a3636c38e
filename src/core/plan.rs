//! Planning a change of a service's intent, and confirming it.
//!
//! A plan shows what an intent would change, relative to the version of the
//! intent that is in effect. Its identity is a digest of that base version and
//! the new intent, so any process can check a confirm request without having
//! stored the plan.

use crate::core::{
    intent::{
        Intent,
        Record, //
    },
    table::{
        Lease,
        Table, //
    },
};
use displaydoc::Display;
use xxhash_rust::xxh3::xxh3_128;

record! {
    /// The changes that confirming an intent would make.
    pub struct Plan {
        /// Identity, which a confirm request has to name.
        pub id: Box<str>,
        /// Name of the service.
        pub service: Box<str>,
        /// Version of the intent that the plan is based on; 0 for a new service.
        pub base: u64,
        /// Descriptions of the changes, one line each.
        pub changes: Vec<Box<str>>,
        /// Estimated number of shards that change their owner.
        pub shards_moved: u32,
        /// Risks that the operator should know before confirming.
        pub warnings: Vec<Box<str>>,
    }
}

/// The result of a valid confirm request.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record to store.
    Store(Box<Record>),
    /// The plan was confirmed before, as this version.
    AlreadyApplied(u64),
}

/// Reasons to refuse a plan or a confirm request.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the number of shards cannot change from {from} to {to}; create a new service instead
    Shards {
        /// Current number.
        from: u32,
        /// Requested number.
        to: u32,
    },
    /// the service belongs to operator {0}; only that operator may change it
    Operator(Box<str>),
    /// prefix {prefix} overlaps the prefix of service {other}; choose another prefix
    Prefix {
        /// Requested prefix.
        prefix: Box<str>,
        /// Service with an overlapping prefix.
        other: Box<str>,
    },
    /// the plan does not match the intent and base version; send those that were planned
    Intent,
    /// the plan is based on version {planned} but version {current} is in effect; make a new plan
    BaseChanged {
        /// Base version of the plan.
        planned: u64,
        /// Version in effect.
        current: u64,
    },
}

impl std::error::Error for Error {}

/// Makes the plan that changes a service from its current intent to `intent`.
pub fn build(
    current: Option<&Record>,
    others: &[&Record],
    table: Option<&Table>,
    intent: &Intent,
) -> Result<Plan, Error> {
    validate(current, others, intent)?;
    let base = current.map_or(0, |record| record.version);
    let changes = changes(current.map(|record| &record.intent), intent);
    Ok(Plan {
        id: plan_id(base, intent),
        service: intent.service.clone(),
        base,
        changes,
        shards_moved: table.map_or(intent.shards, |table| shards_moved(table, intent)),
        warnings: warnings(intent),
    })
}

/// Checks a request to confirm plan `id` of `intent` with base version `base`.
pub fn confirm(
    current: Option<&Record>,
    others: &[&Record],
    intent: &Intent,
    id: &str,
    base: u64,
    by: &str,
    time_ms: u64,
) -> Result<Outcome, Error> {
    if *plan_id(base, intent) != *id {
        return Err(Error::Intent);
    }
    if let Some(record) = current.filter(|record| *record.plan == *id) {
        return Ok(Outcome::AlreadyApplied(record.version));
    }
    let version = current.map_or(0, |record| record.version);
    if version != base {
        return Err(Error::BaseChanged {
            planned: base,
            current: version,
        });
    }
    validate(current, others, intent)?;
    Ok(Outcome::Store(Box::new(Record {
        version: version + 1,
        plan: id.into(),
        by: by.into(),
        time_ms,
        intent: intent.clone(),
    })))
}

fn validate(current: Option<&Record>, others: &[&Record], intent: &Intent) -> Result<(), Error> {
    if let Some(record) = current {
        if record.intent.operator != intent.operator {
            return Err(Error::Operator(record.intent.operator.clone()));
        }
        if record.intent.shards != intent.shards {
            return Err(Error::Shards {
                from: record.intent.shards,
                to: intent.shards,
            });
        }
    }
    let overlap = others.iter().find(|other| {
        let other_intent = &other.intent;
        let overlaps = other_intent.prefix.starts_with(&*intent.prefix)
            || intent.prefix.starts_with(&*other_intent.prefix);
        other_intent.service != intent.service && overlaps
    });
    match overlap {
        None => Ok(()),
        Some(other) => Err(Error::Prefix {
            prefix: intent.prefix.clone(),
            other: other.intent.service.clone(),
        }),
    }
}

fn plan_id(base: u64, intent: &Intent) -> Box<str> {
    let mut text = serde_json::to_string(intent).expect("an intent holds only encodable types");
    text.push_str(&base.to_string());
    format!("{:032x}", xxh3_128(text.as_bytes())).into()
}

fn changes(current: Option<&Intent>, intent: &Intent) -> Vec<Box<str>> {
    let mut lines: Vec<Box<str>> = Vec::new();
    let Some(current) = current else {
        lines.push(format!("create service {}", intent.service).into());
        for endpoint in &intent.endpoints {
            lines.push(format!("add endpoint {} at {}", endpoint.name, endpoint.address).into());
        }
        return lines;
    };
    for endpoint in &intent.endpoints {
        if !current.endpoints.contains(endpoint) {
            lines.push(format!("add endpoint {} at {}", endpoint.name, endpoint.address).into());
        }
    }
    for endpoint in &current.endpoints {
        if !intent.endpoints.contains(endpoint) {
            lines.push(format!("drain endpoint {} at {}", endpoint.name, endpoint.address).into());
        }
    }
    let fields = [
        (
            "prefix",
            current.prefix.to_string(),
            intent.prefix.to_string(),
        ),
        ("slots", current.slots.to_string(), intent.slots.to_string()),
        (
            "connections",
            current.connections.to_string(),
            intent.connections.to_string(),
        ),
    ];
    for (name, from, to) in fields {
        if from != to {
            lines.push(format!("change {name} from {from} to {to}").into());
        }
    }
    if current.classes != intent.classes {
        lines.push("change the classes of requests".into());
    }
    lines
}

/// Estimates how many shards change their owner.
///
/// These are the shards of endpoints that the intent no longer lists, or an
/// even share for each endpoint that it adds, whichever is more.
fn shards_moved(table: &Table, intent: &Intent) -> u32 {
    let is_listed = |name: &str| {
        intent
            .endpoints
            .iter()
            .any(|endpoint| *endpoint.name == *name)
    };
    let kept = table
        .indexed_endpoints()
        .filter(|(_, endpoint)| is_listed(&endpoint.name))
        .count() as u32;
    let added = (intent.endpoints.len() as u32).saturating_sub(kept);
    let removed = table
        .indexed_endpoints()
        .filter(|(_, endpoint)| !is_listed(&endpoint.name));
    let removed = removed.filter(|(_, endpoint)| endpoint.state != Lease::Absent);
    let from_removed: u32 = removed
        .map(|(key, _)| table.owners.shards_of(key).len() as u32)
        .sum();
    let endpoint_count = kept + added;
    let shards_per_endpoint = intent.shards.checked_div(endpoint_count).unwrap_or(0);
    from_removed.max(shards_per_endpoint * added)
}

fn warnings(intent: &Intent) -> Vec<Box<str>> {
    let mut lines: Vec<Box<str>> = Vec::new();
    let mut zones: Vec<&str> = intent
        .endpoints
        .iter()
        .map(|endpoint| &*endpoint.zone)
        .collect();
    zones.sort_unstable();
    zones.dedup();
    if intent.endpoints.is_empty() {
        lines.push("the service has no endpoint; every request will be refused".into());
    } else if zones.len() == 1 {
        lines.push("all endpoints are in one availability zone; its loss stops the service".into());
    }
    if intent.classes.iter().all(|class| !class.protected) {
        lines.push("no class is protected; repeated requests may run twice".into());
    }
    lines
}
