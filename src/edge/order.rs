//! Interface for sending renewal orders to endpoints.

use crate::{
    core::renewal::{
        Answer,
        Order, //
    },
    kernel::http::BoxFuture,
};
use displaydoc::Display;
use std::net::SocketAddr;

/// An endpoint's answer to an order.
#[derive(Clone, Debug)]
pub struct Reply {
    /// State that the endpoint reports.
    pub answer: Answer,
    /// Whether the endpoint accepted the order.
    pub obeyed: bool,
}

/// Why there is no usable answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// connection to the endpoint refused
    Refused,
    /// no answer from the endpoint
    Silent,
    /// unexpected response from the endpoint; check that the dialect matches the endpoint
    Protocol,
}

impl std::error::Error for Error {}

/// Asks an endpoint for its state and a reading of its clock.
pub type FetchState = Box<dyn Fn(SocketAddr) -> BoxFuture<Result<Answer, Error>> + Send + Sync>;

/// Sends an order to an endpoint.
pub type SendOrder =
    Box<dyn Fn(SocketAddr, Order) -> BoxFuture<Result<Reply, Error>> + Send + Sync>;

/// Client for renewal orders.
pub struct Client {
    /// Asks for the state of an endpoint.
    pub fetch_state: FetchState,
    /// Sends an order.
    pub send_order: SendOrder,
}
