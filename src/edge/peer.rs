//! Messages between the system's own processes.
//!
//! They travel as MessagePack in HTTP POST requests to the peer listener.
//! Every request shows the shared secret.

use crate::{
    core::{
        intent::Record,
        membership::Peer,
        renewal::{
            Promise,
            Report, //
        },
        table::{
            Incarnation,
            Index,
            Table, //
        },
        token::Token,
    },
    edge::header,
    kernel::{
        http::full,
        pool::Pool,
        runtime::timeout,
        wire, //
    },
};
use bytes::Bytes;
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::{
    header::HOST,
    Method,
    Request,
    StatusCode, //
};
use serde::{
    de::DeserializeOwned,
    Serialize, //
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Path of heartbeats.
pub const BEAT_PATH: &str = "/peer/beat";

/// Path for taking in a table.
pub const TABLE_PATH: &str = "/peer/table";

/// Path for taking in an intent.
pub const INTENT_PATH: &str = "/peer/intent";

/// Path for reading tables and intents.
pub const FETCH_PATH: &str = "/peer/fetch";

/// Path for asking a renewer to stop.
pub const STOP_PATH: &str = "/peer/stop";

/// Path for passing a caller's request on.
pub const FORWARD_PATH: &str = "/forward";

record! {
    /// Which table of a cell a process holds.
    pub struct Held {
        /// Cell.
        pub cell: Box<str>,
        /// Table.
        pub token: Token,
    }

    /// Which intent of a service a process holds.
    pub struct Known {
        /// Service.
        pub service: Box<str>,
        /// Version.
        pub version: u64,
    }

    /// What a process reports on the endpoints of a cell that it renews.
    pub struct Reports {
        /// Cell.
        pub cell: Box<str>,
        /// One for each endpoint.
        pub reports: Vec<Report>,
    }

    /// What a process holds.
    pub struct Lists {
        /// Processes that it knows, itself included, sorted by name.
        pub peers: Vec<Peer>,
        /// Tables that it holds, sorted by cell.
        pub tables: Vec<Held>,
        /// Intents that it holds, sorted by service.
        pub intents: Vec<Known>,
    }

    /// A heartbeat, and the answer to one.
    ///
    /// As long as both sides hold the same, the digests agree and the lists
    /// stay out, so that a heartbeat does not grow with the system.
    pub struct Beat {
        /// Sender.
        pub from: Peer,
        /// Digest of what the sender holds.
        pub digest: u64,
        /// What it holds; none if the receiver is thought to hold the same.
        pub lists: Option<Lists>,
        /// Reports for the receiver, which plans the cells; none if unchanged
        /// since the last one that it answered.
        pub reports: Option<Vec<Reports>>,
    }

    /// A wish to read a table and the intent of a service.
    pub struct Fetch {
        /// Name of the service and its cell.
        pub service: Box<str>,
    }

    /// A table and an intent.
    pub struct Fetched {
        /// Table, if there is one.
        pub cell: Option<Table>,
        /// Intent, if there is one.
        pub intent: Option<Record>,
    }

    /// A wish for a renewer's word.
    pub struct Stop {
        /// Cell.
        pub cell: Box<str>,
        /// Table of the asking planner.
        pub token: Token,
        /// Endpoint to stop renewing.
        pub endpoint: Index,
        /// Run of the endpoint's process.
        pub incarnation: Incarnation,
    }

    /// Answer to a [`Stop`].
    pub struct Stopped {
        /// The word; none if the renewer follows another table.
        pub word: Option<Promise>,
    }
}

/// Why a peer gave no answer.
#[derive(Debug, Display)]
pub enum Error {
    /// the peer did not answer
    Silent,
    /// the peer refused with status {0}; check that all VMs have the same secret
    Refused(u16),
    /// the peer's answer cannot be read
    Message(wire::Error),
}

impl std::error::Error for Error {}

/// Sends a message and waits at most `span` for the answer.
pub async fn call<Q: Serialize, A: DeserializeOwned>(
    pool: &Arc<Pool>,
    secret: &str,
    path: &str,
    message: &Q,
    span: Duration,
) -> Result<A, Error> {
    call_encoded(pool, secret, path, wire::encode(message), span).await
}

/// Sends a message that is encoded already.
pub async fn call_encoded<A: DeserializeOwned>(
    pool: &Arc<Pool>,
    secret: &str,
    path: &str,
    message: Bytes,
    span: Duration,
) -> Result<A, Error> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, pool.address().to_string())
        .header(header::SECRET, secret)
        .body(full(message))
        .expect("paths and secrets are valid in a request");
    let exchange = async {
        let response = pool.send(request, span).await.map_err(|_| Error::Silent)?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(Error::Refused(status.as_u16()));
        }
        let whole = response
            .into_body()
            .collect()
            .await
            .map_err(|_| Error::Silent)?;
        wire::decode(&whole.to_bytes()).map_err(Error::Message)
    };
    timeout(span, exchange).await.unwrap_or(Err(Error::Silent))
}
