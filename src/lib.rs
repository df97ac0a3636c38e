//! A router for servers that own keys exclusively.
//!
//! The binaries in `src/bin` are thin wrappers around this library.
//!
//! A caller's request is admitted, routed to the endpoint that owns its key
//! and forwarded. An operator's intent becomes a plan; a confirmed plan becomes
//! an ownership table, from which the endpoints are granted their shards.
//!
//! - [`core`] makes the decisions. Its functions take the time and all input as
//!   arguments and do no I/O.
//! - [`kernel`] provides the runtime, clocks, HTTP, settings, logs and plug-ins.
//! - [`daemon`] is the process on an entry VM: it collects the input for the
//!   decisions in [`core`] and carries them out.
//! - [`router`] is the process on each VM of the users' platform.
//! - [`edge`] contains the protocols of external systems, one module per dialect.
//! - [`ops`] contains the command lines of the programs.

#[macro_use]
mod macros;

pub mod core;
pub mod daemon;
pub mod edge;
pub mod kernel;
pub mod ops;
pub mod router;
