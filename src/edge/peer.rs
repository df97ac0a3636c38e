//! Messages between the system's own processes.
//!
//! They are encoded as MessagePack and sent in HTTP POST requests to the peer
//! listener. Every request carries the shared secret.

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
pub const HEARTBEAT_PATH: &str = "/peer/beat";

/// Path to which newer tables are sent.
pub const TABLE_PATH: &str = "/peer/table";

/// Path to which newer intents are sent.
pub const INTENT_PATH: &str = "/peer/intent";

/// Path for fetching tables and intents.
pub const FETCH_PATH: &str = "/peer/fetch";

/// Path for asking a renewer to stop renewing an endpoint.
pub const STOP_PATH: &str = "/peer/stop";

/// Path to which callers' requests are forwarded.
pub const FORWARD_PATH: &str = "/forward";

record! {
    /// Version of the table of a cell that a process holds.
    pub struct Replica {
        /// Cell.
        pub cell: Box<str>,
        /// Token of the table.
        pub token: Token,
    }

    /// Version of the intent of a service that a process holds.
    pub struct Version {
        /// Service.
        pub service: Box<str>,
        /// Version of the intent.
        pub version: u64,
    }

    /// Reports of a process on the endpoints of a cell that it renews.
    pub struct Reports {
        /// Cell.
        pub cell: Box<str>,
        /// One report for each endpoint.
        pub reports: Vec<Report>,
    }

    /// The peers, tables and intents that a process knows.
    pub struct Inventory {
        /// Live processes that it knows, itself included, sorted by name.
        pub peers: Vec<Peer>,
        /// Versions of its tables, sorted by cell.
        pub tables: Vec<Replica>,
        /// Versions of its intents, sorted by service.
        pub intents: Vec<Version>,
    }

    /// A heartbeat, and the answer to one.
    ///
    /// While both sides hold the same, their digests agree and the lists are
    /// omitted, so that the size of a heartbeat does not grow with the system.
    pub struct Heartbeat {
        /// Sender.
        pub from: Peer,
        /// Digest of the sender's lists.
        pub digest: u64,
        /// The sender's lists; none if the receiver's last digest was the same.
        pub lists: Option<Inventory>,
        /// Reports on endpoints of the cells that the receiver plans; none if
        /// they are the same as in the last heartbeat that it answered.
        pub reports: Option<Vec<Reports>>,
    }

    /// Request for the table and the intent of a service.
    pub struct Fetch {
        /// Name of the service, and of its cell.
        pub service: Box<str>,
    }

    /// Response to a [`Fetch`].
    pub struct Fetched {
        /// Table, if the responder holds one.
        pub cell: Option<Table>,
        /// Intent, if the responder holds one.
        pub intent: Option<Record>,
    }

    /// Request to a renewer to promise that it has stopped renewing an endpoint.
    pub struct Stop {
        /// Cell.
        pub cell: Box<str>,
        /// Token of the requesting planner's table.
        pub token: Token,
        /// Endpoint to stop renewing.
        pub endpoint: Index,
        /// Run of the endpoint's process.
        pub incarnation: Incarnation,
    }

    /// Response to a [`Stop`].
    pub struct Stopped {
        /// The promise; none if the renewer holds another table.
        #[serde(rename = "word")]
        pub promise: Option<Promise>,
    }
}

/// Why a call to a peer failed.
#[derive(Debug, Display)]
pub enum Error {
    /// no response from the peer
    Silent,
    /// the peer rejected the message with status {0}; check that all VMs have the same secret
    Refused(u16),
    /// cannot read the peer's response
    Message(wire::Error),
}

impl std::error::Error for Error {}

/// Sends a message to a peer and waits at most `span` for the response.
pub async fn call<Q: Serialize, A: DeserializeOwned>(
    pool: &Arc<Pool>,
    secret: &str,
    path: &str,
    message: &Q,
    span: Duration,
) -> Result<A, Error> {
    call_encoded(pool, secret, path, wire::encode(message), span).await
}

/// Sends an encoded message to a peer and waits at most `span` for the response.
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
        .expect("the path and the secret are valid in an HTTP request");
    let exchange = async {
        let response = pool.send(request, span).await.map_err(|_| Error::Silent)?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(Error::Refused(status.as_u16()));
        }
        let collected = response
            .into_body()
            .collect()
            .await
            .map_err(|_| Error::Silent)?;
        wire::decode(&collected.to_bytes()).map_err(Error::Message)
    };
    timeout(span, exchange).await.unwrap_or(Err(Error::Silent))
}
