//! From an intent to a plan, and from a plan to a confirmed intent.
//!
//! A plan names the version that it was drawn on. Its identity is a digest
//! of that version and the intent, so any process can check a confirm
//! without having kept the plan.

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
    /// What would change if the intent were confirmed.
    pub struct Plan {
        /// Identity, to be given when confirming.
        pub id: Box<str>,
        /// Service.
        pub service: Box<str>,
        /// Version of the intent in force that the plan was drawn on.
        pub base: u64,
        /// Changes, one line each.
        pub changes: Vec<Box<str>>,
        /// Shards that change their owner.
        pub shards_moved: u32,
        /// What the operator should know before confirming.
        pub warnings: Vec<Box<str>>,
    }
}

/// What becomes of a confirm.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The intent is to be stored.
    Store(Box<Record>),
    /// The same plan is in force already.
    AlreadyApplied(u64),
}

/// Why a plan or a confirm is refused.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the number of shards cannot change from {from} to {to}; create a new service instead
    Shards {
        /// Number in force.
        from: u32,
        /// Number asked for.
        to: u32,
    },
    /// the service belongs to operator {0}
    Operator(Box<str>),
    /// prefix {prefix} overlaps that of service {other}; choose another prefix
    Prefix {
        /// Prefix asked for.
        prefix: Box<str>,
        /// Service that has it.
        other: Box<str>,
    },
    /// the plan is for another intent; send the intent that was planned
    Intent,
    /// the plan was drawn on version {drawn} but version {current} is in force; plan again
    BaseChanged {
        /// Version of the plan.
        drawn: u64,
        /// Version in force.
        current: u64,
    },
}

impl std::error::Error for Error {}

/// Draws the plan that leads from what is in force to `intent`.
pub fn build(
    current: Option<&Record>,
    others: &[&Record],
    cell: Option<&Table>,
    intent: &Intent,
) -> Result<Plan, Error> {
    allow(current, others, intent)?;
    let base = current.map_or(0, |confirmed| confirmed.version);
    let changes = changes(current.map(|confirmed| &confirmed.intent), intent);
    Ok(Plan {
        id: identity(base, intent),
        service: intent.service.clone(),
        base,
        changes,
        shards_moved: cell.map_or(intent.shards, |cell| shards_moved(cell, intent)),
        warnings: warnings(intent),
    })
}

/// Decides about the confirm of plan `id`, drawn on version `base`.
pub fn confirm(
    current: Option<&Record>,
    others: &[&Record],
    intent: &Intent,
    id: &str,
    base: u64,
    by: &str,
    time_ms: u64,
) -> Result<Outcome, Error> {
    if *identity(base, intent) != *id {
        return Err(Error::Intent);
    }
    if let Some(confirmed) = current.filter(|confirmed| *confirmed.plan == *id) {
        return Ok(Outcome::AlreadyApplied(confirmed.version));
    }
    let version = current.map_or(0, |confirmed| confirmed.version);
    if version != base {
        return Err(Error::BaseChanged {
            drawn: base,
            current: version,
        });
    }
    allow(current, others, intent)?;
    Ok(Outcome::Store(Box::new(Record {
        version: version + 1,
        plan: id.into(),
        by: by.into(),
        time_ms,
        intent: intent.clone(),
    })))
}

fn allow(current: Option<&Record>, others: &[&Record], intent: &Intent) -> Result<(), Error> {
    if let Some(confirmed) = current {
        if confirmed.intent.operator != intent.operator {
            return Err(Error::Operator(confirmed.intent.operator.clone()));
        }
        if confirmed.intent.shards != intent.shards {
            return Err(Error::Shards {
                from: confirmed.intent.shards,
                to: intent.shards,
            });
        }
    }
    let overlap = others.iter().find(|other| {
        let theirs = &other.intent;
        let overlaps = theirs.prefix.starts_with(&*intent.prefix)
            || intent.prefix.starts_with(&*theirs.prefix);
        theirs.service != intent.service && overlaps
    });
    match overlap {
        None => Ok(()),
        Some(other) => Err(Error::Prefix {
            prefix: intent.prefix.clone(),
            other: other.intent.service.clone(),
        }),
    }
}

fn identity(base: u64, intent: &Intent) -> Box<str> {
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
    for (field, from, to) in fields {
        if from != to {
            lines.push(format!("change {field} from {from} to {to}").into());
        }
    }
    if current.classes != intent.classes {
        lines.push("change the classes of requests".into());
    }
    lines
}

/// Counts the shards whose owners the intent no longer names or that newcomers take.
fn shards_moved(cell: &Table, intent: &Intent) -> u32 {
    let is_kept = |name: &str| {
        intent
            .endpoints
            .iter()
            .any(|endpoint| *endpoint.name == *name)
    };
    let kept = cell
        .indexed_endpoints()
        .filter(|(_, endpoint)| is_kept(&endpoint.name))
        .count() as u32;
    let newcomers = (intent.endpoints.len() as u32).saturating_sub(kept);
    let leaving = cell
        .indexed_endpoints()
        .filter(|(_, endpoint)| !is_kept(&endpoint.name));
    let leaving = leaving.filter(|(_, endpoint)| endpoint.state != Lease::Absent);
    let forced: u32 = leaving
        .map(|(key, _)| cell.owners.shards_of(key).len() as u32)
        .sum();
    let total = kept + newcomers;
    let share = intent.shards.checked_div(total).unwrap_or(0);
    forced.max(share * newcomers)
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
