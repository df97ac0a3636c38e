//! Messages between the VMs of the system.
//!
//! Permits and heartbeats are sent as datagrams: a lost one is repeated after
//! some milliseconds and does not delay others. Changes of the store's state
//! may be long and are sent over HTTP.
//!
//! Variants and fields with a `serde(rename)` attribute keep their encoded
//! names.

use crate::core::{
    cold,
    mirror::Object,
    ownership::History,
    permit::{
        reported_load,
        Outcome,
        Reason,
        Request, //
    },
    rate_limit::Report,
    registry::Endpoint,
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Path under which a peer serves the store's state.
pub const STATE_PATH: &str = "/state";

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Requests a permit; repeated until there is a reply.
    #[serde(rename = "Ask")]
    Request {
        /// Number of the request, unique at the sender.
        number: u64,
        /// Name of the service.
        service: Box<str>,
        /// What the permit is for.
        #[serde(rename = "ask")]
        request: Request,
        /// Whether the sender lacks the record of the endpoint that it has a permit for.
        #[serde(default)]
        lacks_record: bool,
    },
    /// Reply: the request is queued.
    Queued {
        /// Number of the request.
        number: u64,
    },
    /// Reply: the request may be sent to an endpoint.
    #[serde(rename = "Go")]
    Granted {
        /// Number of the request.
        number: u64,
        /// Endpoint, complete because the receiver may not know it yet.
        endpoint: Box<Endpoint>,
        /// Expected duration at the endpoint, in microseconds.
        expected_us: u64,
        /// Whether the caller was refused before.
        is_return: bool,
        /// What the sender knows of the endpoint's rate limit.
        rate_limit: Option<Report>,
        /// What the sender knows of the endpoint's cold time.
        #[serde(default)]
        cold: Option<cold::Report>,
    },
    /// The same as `Granted`, for receivers that know the record of the endpoint. One that does not
    /// repeats its request with `lacks_record`.
    #[serde(rename = "G")]
    GrantedKnown {
        /// Number of the request.
        number: u64,
        /// Hash of the endpoint's record ([`Endpoint::identity_hash`]).
        hash: u64,
        /// Expected duration at the endpoint, in microseconds.
        expected_us: u64,
        /// Whether the caller was refused before.
        is_return: bool,
        /// What the sender knows of the endpoint's rate limit.
        rate_limit: Option<Report>,
        /// What the sender knows of the endpoint's cold time.
        #[serde(default)]
        cold: Option<cold::Report>,
    },
    /// Reply: the request gets no permit.
    #[serde(rename = "No")]
    Refused {
        /// Number of the request.
        number: u64,
        /// Reason.
        reason: Reason,
        /// Time after which capacity is expected, in milliseconds.
        retry_ms: u32,
        /// Whether the caller was refused before.
        is_return: bool,
    },
    /// Reply: the sender does not dispatch for the service.
    #[serde(rename = "Elsewhere")]
    NotDispatcher {
        /// Number of the request.
        number: u64,
    },
    /// A permit has ended, or its request no longer waits.
    Done {
        /// Number of the request.
        number: u64,
        /// Name of the service.
        service: Box<str>,
        /// How the permit ended.
        #[serde(with = "outcome")]
        outcome: Outcome,
        /// Duration at the endpoint, in microseconds.
        took_us: u64,
        /// What the sender knows of the rate limit of the permit's endpoint.
        rate_limit: Option<RateLimit>,
        /// What the permit's endpoint reported lately of its load.
        #[serde(default)]
        load: Option<Load>,
        /// What the sender knows of the cold time of the permit's endpoint.
        #[serde(default)]
        cold: Option<Cold>,
    },
    /// All permits of a service that the sender has open at the receiver.
    #[serde(rename = "O")]
    OpenPermits {
        /// Name of the service.
        service: Box<str>,
        /// Numbers of the requests, each as the difference to the one before ([`differences`]).
        numbers: Vec<u64>,
    },
    /// The sender has taken the planner claim that a process of the receiver held; that process
    /// has to stop granting keys and to reply with `Yielded`.
    Claimed {
        /// Name of the service.
        service: Box<str>,
        /// Run of the receiver's process that held the claim.
        run: u64,
        /// Revision of the table with the sender's claim.
        revision: u64,
    },
    /// The sender no longer holds its planner claim on a service and grants no more of its
    /// keys.
    #[serde(rename = "Yield")]
    Yielded {
        /// Name of the service.
        service: Box<str>,
        /// Run of the sender's process, under which it held the claim.
        run: u64,
        /// Revision of the service's table that the sender has last seen.
        revision: u64,
        /// What the sender tells of the time before.
        history: History,
    },
    /// The sender is alive.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
}

/// Encodes an outcome as a number, which takes one byte instead of up to twelve.
mod outcome {
    use super::Outcome;
    use serde::{
        de::Error,
        Deserialize,
        Deserializer,
        Serializer, //
    };

    const ALL: [Outcome; 8] = [
        Outcome::Answered,
        Outcome::Unreachable,
        Outcome::Failed,
        Outcome::Silent,
        Outcome::Late,
        Outcome::Shed,
        Outcome::NotHolder,
        Outcome::Dropped,
    ];

    /// Earlier versions send the name.
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Form {
        Code(usize),
        Name(Outcome),
    }

    pub fn serialize<S: Serializer>(outcome: &Outcome, serializer: S) -> Result<S::Ok, S::Error> {
        let code = ALL.iter().position(|other| other == outcome);
        serializer.serialize_u8(code.unwrap_or(ALL.len()) as u8)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Outcome, D::Error> {
        match Form::deserialize(deserializer)? {
            Form::Name(outcome) => Ok(outcome),
            Form::Code(code) => {
                let outcome = ALL.get(code).copied();
                outcome.ok_or_else(|| D::Error::custom("unknown outcome"))
            }
        }
    }
}

/// Returns the difference of each number to the one before in ascending order; small numbers are
/// encoded in fewer bytes.
pub fn differences(mut numbers: Vec<u64>) -> Vec<u64> {
    numbers.sort_unstable();
    let mut last = 0;
    for number in &mut numbers {
        (*number, last) = (*number - last, *number);
    }
    numbers
}

/// Returns the numbers with these differences.
pub fn sums(mut differences: Vec<u64>) -> Vec<u64> {
    let mut last: u64 = 0;
    for number in &mut differences {
        last = last.saturating_add(*number);
        *number = last;
    }
    differences
}

record! {
    /// Sent periodically to show that a VM is alive.
    pub struct Heartbeat {
        /// Name of the VM.
        pub name: Box<str>,
        /// Run of its process.
        pub run: u64,
        /// Whether the VM is shutting down.
        pub is_leaving: bool,
        /// Whether the VM reaches the platform's store.
        pub has_store: bool,
    }

    /// What an endpoint said about its rate limit.
    pub struct RateLimit {
        /// Identity of the endpoint.
        pub endpoint: Box<str>,
        /// What it said.
        pub report: Report,
    }

    /// Load that an endpoint reported.
    #[derive(Copy)]
    pub struct Load {
        /// What it reported.
        pub report: reported_load::Report,
        /// Time since it did, in microseconds.
        pub age_us: u64,
    }

    /// What is known of the cold time of an endpoint.
    pub struct Cold {
        /// Identity of the endpoint.
        pub endpoint: Box<str>,
        /// What is known.
        pub report: cold::Report,
    }

    /// Requests the changes that the sender does not have.
    pub struct Query {
        /// Identifies the mirror by the run of its process; changes are numbered per mirror.
        #[serde(rename = "copy")]
        pub mirror_id: u64,
        /// Last change of that mirror that the sender has.
        #[serde(rename = "number")]
        pub last_change: u64,
        /// Unavailable members, as last reported to the sender.
        #[serde(rename = "absent")]
        pub unavailable_members: Vec<Box<str>>,
    }

    /// Changes of a relay's mirror of the store.
    pub struct Delta {
        /// Identifies the mirror by the run of its process; changes are numbered per mirror.
        #[serde(rename = "copy")]
        pub mirror_id: u64,
        /// Number of the mirror's last change.
        #[serde(rename = "number")]
        pub last_change: u64,
        /// Objects that changed since the queried change.
        pub objects: Vec<Object>,
        /// Oldest era of the store from which the mirror has objects.
        pub oldest_era: u64,
        /// Time since the mirror matched the store, in milliseconds.
        pub age_ms: u64,
        /// Members that are silent, leaving, or cut off from the store.
        #[serde(rename = "absent")]
        pub unavailable_members: Vec<Box<str>>,
    }
}
