//! Tests of the whole system, one module a feature.

mod account;
mod admin;
mod budget;
mod copy;
mod explore;
mod holder;
mod holding;
mod lines;
mod overload;
mod ownership;
mod permit;
mod plan;
mod request_path;
mod router;
mod spread;
mod support;
mod table;
mod ticket;
mod wire;
