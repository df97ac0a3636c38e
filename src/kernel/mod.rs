//! What every part of the system runs on.

pub mod clock;
pub mod connect;
pub mod failure;
pub mod http;
pub mod line;
pub mod lines;
pub mod log;
pub mod plugin;
pub mod pool;
pub mod runtime;
pub mod settings;
pub mod wire;
