//! Decision logic without I/O.
//!
//! Nothing here reads a clock, opens a socket or draws a random number. Time
//! and state are passed in as arguments, so that tests can run schedules that
//! are rare on a real network.

pub mod caller_wait;
pub mod cold;
pub mod dispatch;
pub mod evacuation;
pub mod intent;
pub mod log_trace;
pub mod manifest;
pub mod membership;
pub mod memory_budget;
pub mod mirror;
pub mod ownership;
pub mod permit;
pub mod placement;
pub mod plan;
pub mod planner;
pub mod rate_limit;
pub mod rebalance;
pub mod registry;
pub mod release;
pub mod rendezvous;
pub mod renewal;
pub mod renewers;
pub mod retry_budget;
pub mod retry_limit;
pub mod revision;
pub mod roles;
pub mod shard;
pub mod table;
pub mod ticket;
pub mod time;
pub mod token;
