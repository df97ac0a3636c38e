//! Renewal orders over HTTP with JSON: the dialect `http-json`.
//!
//! - `GET /-/order` returns the endpoint's state.
//! - `POST /-/order` sends an order. The response is the endpoint's state, with
//!   status 200 if it accepted the order and 409 if it did not.

use crate::{
    core::{
        renewal::{
            Answer,
            Order, //
        },
        time::ORDER_TIMEOUT,
    },
    edge::order::{
        Client,
        Error,
        Reply, //
    },
    kernel::{
        http::full,
        plugin::{
            Dialect,
            Factory, //
        },
        pool::{
            Error as PoolError,
            Set, //
        },
        runtime::{
            timeout,
            Context, //
        },
    },
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    header,
    Method,
    Request,
    StatusCode, //
};
use std::{
    net::SocketAddr,
    sync::Arc, //
};

/// Maximum number of connections to one endpoint.
const CONNECTIONS: usize = 1;

inventory::submit! {
    Dialect { name: "http-json", factory: Factory::Order(open) }
}

fn open(context: &Context) -> Client {
    let pools = Arc::new(Set::new(context, CONNECTIONS));
    let state_pools = Arc::clone(&pools);
    Client {
        fetch_state: Box::new(move |address| {
            Box::pin(fetch_state(Arc::clone(&state_pools), address))
        }),
        send_order: Box::new(move |address, order| {
            Box::pin(send_order(Arc::clone(&pools), address, order))
        }),
    }
}

async fn fetch_state(pools: Arc<Set>, address: SocketAddr) -> Result<Answer, Error> {
    let reply = call(&pools, address, Method::GET, Bytes::new()).await?;
    Ok(reply.answer)
}

async fn send_order(pools: Arc<Set>, address: SocketAddr, order: Order) -> Result<Reply, Error> {
    let body = serde_json::to_vec(&order).expect("orders can be encoded as JSON");
    call(&pools, address, Method::POST, body.into()).await
}

async fn call(
    pools: &Set,
    address: SocketAddr,
    method: Method,
    body: Bytes,
) -> Result<Reply, Error> {
    let request = Request::builder()
        .method(method)
        .uri("/-/order")
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(full(body))
        .expect("the path and the header fields are valid");
    let exchange = async {
        let sent = pools.get(address).send(request, ORDER_TIMEOUT).await;
        let response = sent.map_err(|rejected| match rejected.error {
            PoolError::Refused => Error::Refused,
            _ => Error::Silent,
        })?;
        let obeyed = match response.status() {
            StatusCode::OK => true,
            StatusCode::CONFLICT => false,
            _ => return Err(Error::Protocol),
        };
        let collected = response
            .into_body()
            .collect()
            .await
            .map_err(|_| Error::Silent)?;
        let answer = serde_json::from_slice(&collected.to_bytes()).map_err(|_| Error::Protocol)?;
        Ok(Reply { answer, obeyed })
    };
    timeout(ORDER_TIMEOUT, exchange)
        .await
        .unwrap_or(Err(Error::Silent))
}
