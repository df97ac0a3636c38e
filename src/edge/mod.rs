//! Interfaces to external systems, and the protocols that implement them.
//!
//! - [`store`], [`order`] and [`vms`] are interfaces that
//!   [`daemon`](crate::daemon) uses: the store of objects with entity tags,
//!   renewal orders to endpoints, and the platform's list of VMs.
//!   [`store_http`], [`order_http`] and [`vms_http`] implement them over HTTP.
//! - [`objects`], [`lease`] and [`fields`] are interfaces that
//!   [`router`](crate::router) uses: the store of versioned objects, grants of
//!   keys to endpoints, and the names of header fields. The crate in
//!   `platform/` implements them.
//! - [`peer`] and [`header`] define what the system's own processes send to
//!   each other and the header fields that the system sets.
//!
//! Each implementation is a dialect that registers itself, see
//! [`plugin`](crate::kernel::plugin). The decisions in [`core`](crate::core)
//! depend on none of them.

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
