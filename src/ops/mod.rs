//! Operations that a user sees, one file each.
//!
//! [`serve`] is the daemon; the others are commands of the operators' tool,
//! which speak to the administration API through [`client`].

pub mod audit;
pub mod check;
pub mod client;
pub mod command;
pub mod confirm;
pub mod explain;
pub mod plan;
pub mod router;
pub mod serve;
pub mod services;
pub mod signal;
pub mod status;
pub mod why;
