//! Tests of the whole system, one module a feature.

mod admin;
mod budget;
mod explore;
mod holder;
mod holding;
mod overload;
mod ownership;
mod plan;
mod request_path;
mod support;
mod ticket;
mod wire;
