//! A router for servers that own keys exclusively.
//!
//! The library holds everything; the programs in `src/bin` parse a command
//! line and call it. Data flows one way: a caller's request is admitted,
//! routed to the owner of its key and forwarded; an operator's intent becomes
//! a plan, the plan a table, the table grants at the endpoints.
//!
//! - [`core`] decides. It takes time and input as arguments and does no I/O.
//! - [`kernel`] carries: runtime, clocks, HTTP, settings, logs, plug-ins.
//! - [`daemon`] is the running process: it feeds the decisions and acts on them.
//! - [`router`] is the process on the users' platform.
//! - [`edge`] speaks to the outside systems, one module a dialect.
//! - [`ops`] holds one file for each operation that a user sees.

#[macro_use]
mod macros;

pub mod core;
pub mod daemon;
pub mod edge;
pub mod kernel;
pub mod ops;
pub mod router;
