//! Infrastructure that all other modules share.
//!
//! Clocks, the task executor, HTTP servers and clients, connection pools,
//! logging, settings, and the registry of protocol implementations.

pub mod async_log;
pub mod clock;
pub mod connection;
pub mod error;
pub mod fair_stream;
pub mod http;
pub mod memory;
pub mod pipeline;
pub mod plugin;
pub mod pool;
pub mod runtime;
pub mod settings;
pub mod stderr_log;
pub mod tcp;
pub mod wire;
