//! Pure decisions.
//!
//! Nothing here reads a clock, opens a socket or draws a random number. Each
//! function takes the time and what is known as arguments, so that tests can
//! drive it through schedules that a network would rarely show.

pub mod caller_wait;
pub mod dispatch;
pub mod intent;
pub mod log_trace;
pub mod manifest;
pub mod membership;
pub mod mirror;
pub mod ownership;
pub mod permit;
pub mod placement;
pub mod plan;
pub mod planner;
pub mod rebalance;
pub mod registry;
pub mod release;
pub mod rendezvous;
pub mod renewal;
pub mod renewers;
pub mod retry_budget;
pub mod retry_limit;
pub mod shard;
pub mod table;
pub mod ticket;
pub mod time;
pub mod token;
