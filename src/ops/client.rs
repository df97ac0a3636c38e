//! HTTP client of the administration API.

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

/// Longest wait for the head of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Reason why an API call failed.
#[derive(Debug, Display)]
pub enum Error {
    /// no response from the administration API at {0}; check the address, or try another VM
    NoResponse(SocketAddr),
    /// refused with status {status}: {text}
    Refused {
        /// HTTP status code.
        status: u16,
        /// Body of the response.
        text: Box<str>,
    },
    /// cannot decode the response; check that the tool and the daemon have compatible versions
    InvalidResponse,
    /// cannot encode the request; check the token and the options for spaces and unprintable text
    InvalidRequest,
}

impl std::error::Error for Error {}

/// Client of the API on one VM, authenticated by an operator token.
pub struct Client {
    pool: Arc<Pool>,
    token: Box<str>,
}

impl Client {
    /// Creates a client of the API at `address`; connects on the first call.
    pub fn open(context: &Context, address: SocketAddr, token: &str) -> Self {
        Self {
            pool: pool::open(context, address, 1),
            token: token.into(),
        }
    }

    /// Sends a request and returns the response body; fails on any status but 200.
    pub async fn call(&self, method: Method, path: &str, body: &str) -> Result<Bytes, Error> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.pool.address().to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .body(full(Bytes::copy_from_slice(body.as_bytes())))
            .map_err(|_| Error::InvalidRequest)?;
        let no_response = || Error::NoResponse(self.pool.address());
        let response = self
            .pool
            .send(request, RESPONSE_TIMEOUT)
            .await
            .map_err(|_| no_response())?;
        let status = response.status();
        let collected = response
            .into_body()
            .collect()
            .await
            .map_err(|_| no_response())?;
        let bytes = collected.to_bytes();
        if status != StatusCode::OK {
            return Err(Error::Refused {
                status: status.as_u16(),
                text: String::from_utf8_lossy(&bytes).into(),
            });
        }
        Ok(bytes)
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Result<Bytes, Error> {
        self.call(Method::GET, path, "").await
    }
}

/// Decodes a JSON response.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|_| Error::InvalidResponse)
}

/// Requests the plan for an intent.
pub async fn plan(client: &Client, intent: &str) -> Result<Plan, Error> {
    let bytes = client.call(Method::POST, "/v1/plans", intent).await?;
    decode(&bytes)
}

/// Confirms the plan with the ID `id`, which was computed for `intent` on version `base`.
pub async fn confirm(client: &Client, intent: &str, id: &str, base: u64) -> Result<Bytes, Error> {
    let path = format!("/v1/confirms?plan={id}&base={base}");
    client.call(Method::POST, &path, intent).await
}

/// Requests the plan for an intent and confirms it at once.
pub async fn plan_and_confirm(client: &Client, intent: &str) -> Result<Bytes, Error> {
    let plan = plan(client, intent).await?;
    confirm(client, intent, &plan.id, plan.base).await
}
