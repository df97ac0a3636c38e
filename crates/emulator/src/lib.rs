//! Emulators of the systems around `rhubarbpick`, for tests and experiments.
//!
//! - [`store`] is the platform's object store and list of VMs.
//! - [`endpoint`] is a server that owns keys and checks fence tokens. It writes
//!   a [`ledger`] of what it held and ran, from which tests check the
//!   guarantees; [`holder`] is its side of the lease protocol.
//! - [`proxy`] injects faults into TCP connections.
//! - [`load`] sends open-loop load, and [`summary`] evaluates the results.
//! - [`deployment`] runs a whole system in one process; [`demo`] and
//!   [`experiment`] build on it.
//!
//! All state is kept in memory.

pub mod command;
pub mod demo;
pub mod deployment;
pub mod endpoint;
pub mod experiment;
pub mod forwarder;
pub mod holder;
pub mod ledger;
pub mod load;
pub mod plot;
pub mod proxy;
pub mod store;
pub mod summary;
pub mod support;
