//! Messages between the VMs of the system.
//!
//! Permits and heartbeats are datagrams: losing one costs a repeat after some
//! milliseconds, and none waits behind another. The state of the store goes
//! over HTTP, as it may be long.

use crate::core::{
    mirror::Object,
    permit::{
        Outcome,
        Reason,
        Request, //
    },
    registry::Endpoint,
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Path of the state at a peer.
pub const STATE_PATH: &str = "/state";

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Asks for a permit, or again for one that was asked for.
    Ask {
        /// Number of the request at the asker.
        number: u64,
        /// Service.
        service: Box<str>,
        /// What is asked for.
        ask: Request,
    },
    /// The request waits.
    Queued {
        /// Number of the request.
        number: u64,
    },
    /// The request may be sent.
    Go {
        /// Number of the request.
        number: u64,
        /// Endpoint; the receiver may not know it yet.
        endpoint: Box<Endpoint>,
        /// How long the endpoint is expected to take, in microseconds.
        expected_us: u64,
        /// Whether the caller was refused before.
        is_return: bool,
    },
    /// The request gets no permit.
    No {
        /// Number of the request.
        number: u64,
        /// Why.
        reason: Reason,
        /// When there will be room, in milliseconds.
        retry_ms: u32,
        /// Whether the caller was refused before.
        is_return: bool,
    },
    /// The receiver hands out no permits for the service.
    Elsewhere {
        /// Number of the request.
        number: u64,
    },
    /// A permit has ended.
    Done {
        /// Number of the request.
        number: u64,
        /// Service.
        service: Box<str>,
        /// How.
        outcome: Outcome,
        /// How long the endpoint was at it, in microseconds.
        took_us: u64,
    },
    /// The sender's open permits.
    Open {
        /// Service.
        service: Box<str>,
        /// Numbers of the requests.
        numbers: Vec<u64>,
    },
    /// The sender's planner grants no more keys of a service.
    Yield {
        /// Service.
        service: Box<str>,
        /// Run of the sender's process.
        run: u64,
        /// Revision of the table that the sender has seen.
        revision: u64,
    },
    /// The sender is alive.
    Beat(Beat),
}

record! {
    /// A sign of life.
    pub struct Beat {
        /// Name of the VM.
        pub name: Box<str>,
        /// Run of its process.
        pub run: u64,
        /// Whether it is stopping.
        pub is_leaving: bool,
        /// Whether it reaches the platform's store.
        pub has_store: bool,
    }

    /// Asks for the state that the sender does not have.
    pub struct Query {
        /// Copy whose changes are counted.
        #[serde(rename = "copy")]
        pub mirror_id: u64,
        /// Last change that the sender has of it.
        pub number: u64,
        /// Members that it was told are absent.
        pub absent: Vec<Box<str>>,
    }

    /// State of the store.
    pub struct Delta {
        /// Copy whose changes are counted.
        #[serde(rename = "copy")]
        pub mirror_id: u64,
        /// Last change.
        #[serde(rename = "number")]
        pub last_change: u64,
        /// Objects that changed.
        pub objects: Vec<Object>,
        /// How long ago the copy was as the store is, in milliseconds.
        pub age_ms: u64,
        /// Members that are silent, leaving, or cut off from the store.
        #[serde(rename = "absent")]
        pub unavailable_members: Vec<Box<str>>,
    }
}
