//! Tests of the whole system, one module a feature.

mod admin;
mod async_log;
mod budget;
mod connection;
mod copy;
mod explore;
mod holder;
mod keyed_limits;
mod log_trace;
mod overload;
mod ownership;
mod ownership_simulation;
mod permit;
mod pipeline;
mod plan;
mod rate_limit;
mod rebalance;
mod registry;
mod request_path;
mod roles;
mod router;
mod support;
mod table;
mod takeover;
mod ticket;
mod wire;
