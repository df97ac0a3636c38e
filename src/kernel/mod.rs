//! Infrastructure that all other modules share.
//!
//! Clocks, the task executor, HTTP servers and clients, connection pools,
//! logging, settings, and the registry of protocol implementations.

pub mod clock;
pub mod failure;
pub mod http;
pub mod line;
pub mod lines;
pub mod log;
pub mod plugin;
pub mod pool;
pub mod runtime;
pub mod settings;
pub mod tcp;
pub mod wire;
