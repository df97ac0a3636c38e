//! Dialects of the outside systems.
//!
//! [`store`], [`order`] and [`vms`], and for the users' platform [`objects`],
//! [`lease`] and [`fields`], say what the system needs; each of the modules
//! beside them, and the crate in `platform/`, speaks one dialect and registers
//! itself. The decisions
//! in [`core`](crate::core) know none of them.

pub mod fields;
pub mod header;
pub mod lease;
pub mod objects;
pub mod order;
pub mod order_http;
pub mod peer;
pub mod store;
pub mod store_http;
pub mod vms;
pub mod vms_http;
