//! Client of the administration API.

use crate::{
    core::plan::Plan,
    kernel::{
        http::full,
        pool::{
            self,
            Pool, //
        },
        runtime::Context,
    },
};
use bytes::Bytes;
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::{
    header::{
        AUTHORIZATION,
        HOST, //
    },
    Method,
    Request,
    StatusCode, //
};
use serde::de::DeserializeOwned;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

/// Time for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Why a call failed.
#[derive(Debug, Display)]
pub enum Error {
    /// the administration API at {0} did not answer; check the address, or try another VM
    Silent(SocketAddr),
    /// refused with status {status}: {text}
    Refused {
        /// HTTP status.
        status: u16,
        /// Explanation.
        text: Box<str>,
    },
    /// the answer cannot be read; the tool and the daemon must be of compatible versions
    Answer,
    /// the token cannot be sent; it must be printable text
    Token,
}

impl std::error::Error for Error {}

/// An open client.
pub struct Client {
    pool: Arc<Pool>,
    token: Box<str>,
}

impl Client {
    /// Opens a client of the API at `address`.
    pub fn open(context: &Context, address: SocketAddr, token: &str) -> Self {
        Self {
            pool: pool::open(context, address, 1),
            token: token.into(),
        }
    }

    /// Calls the API and returns the answer's text.
    pub async fn call(&self, method: Method, path: &str, body: &str) -> Result<Bytes, Error> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.pool.address().to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .body(full(Bytes::copy_from_slice(body.as_bytes())))
            .map_err(|_| Error::Token)?;
        let silent = || Error::Silent(self.pool.address());
        let response = self
            .pool
            .send(request, TIMEOUT)
            .await
            .map_err(|_| silent())?;
        let status = response.status();
        let whole = response.into_body().collect().await.map_err(|_| silent())?;
        let bytes = whole.to_bytes();
        if status != StatusCode::OK {
            return Err(Error::Refused {
                status: status.as_u16(),
                text: String::from_utf8_lossy(&bytes).into(),
            });
        }
        Ok(bytes)
    }

    /// Reads a resource.
    pub async fn get(&self, path: &str) -> Result<Bytes, Error> {
        self.call(Method::GET, path, "").await
    }
}

/// Reads an answer.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|_| Error::Answer)
}

/// Asks for the plan of an intent.
pub async fn plan(client: &Client, intent: &str) -> Result<Plan, Error> {
    let bytes = client.call(Method::POST, "/v1/plans", intent).await?;
    decode(&bytes)
}

/// Confirms a plan of an intent.
pub async fn confirm(client: &Client, intent: &str, id: &str, base: u64) -> Result<Bytes, Error> {
    let path = format!("/v1/confirms?plan={id}&base={base}");
    client.call(Method::POST, &path, intent).await
}

/// Asks for the plan of an intent and confirms it.
pub async fn plan_and_confirm(client: &Client, intent: &str) -> Result<Bytes, Error> {
    let plan = plan(client, intent).await?;
    confirm(client, intent, &plan.id, plan.base).await
}
