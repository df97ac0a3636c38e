//! Orders to endpoints, as the system needs them.

use crate::{
    core::renewal::{
        Answer,
        Order, //
    },
    kernel::http::Boxed,
};
use displaydoc::Display;
use std::net::SocketAddr;

/// What an endpoint answered to an order.
#[derive(Clone, Debug)]
pub struct Reply {
    /// What it says of itself.
    pub answer: Answer,
    /// Whether it obeyed.
    pub obeyed: bool,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// nothing listens at the endpoint's address
    Refused,
    /// the endpoint did not answer
    Silent,
    /// the endpoint's answer is not of this dialect
    Protocol,
}

impl std::error::Error for Error {}

/// Asks an endpoint for its state and its clock.
pub type Hello = Box<dyn Fn(SocketAddr) -> Boxed<Result<Answer, Error>> + Send + Sync>;

/// Gives an endpoint an order.
pub type Command = Box<dyn Fn(SocketAddr, Order) -> Boxed<Result<Reply, Error>> + Send + Sync>;

/// An open order dialect.
pub struct Handle {
    /// Asks for the state.
    pub hello: Hello,
    /// Gives an order.
    pub order: Command,
}
