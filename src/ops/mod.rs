//! Command lines of the programs.
//!
//! - [`serve`] runs the daemon `rhubarbpickd`.
//! - [`router`] runs the router process on the users' platform.
//! - [`command`] parses the command line of the operators' tool `rhubarbpick`
//!   and calls the module of the subcommand. Subcommands that need the
//!   administration API call it through [`client`].
//! - [`signal`] waits for the signals that stop a process or reload its settings.

pub mod audit;
pub mod check;
pub mod client;
pub mod command;
pub mod confirm;
pub mod explain;
pub mod plan;
pub mod router;
pub mod serve;
pub mod services;
pub mod signal;
pub mod status;
pub mod why;
