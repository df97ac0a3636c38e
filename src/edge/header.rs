//! Names and values of the header fields that the system sets.
//!
//! All of them start with [`PREFIX`], except [`TICKET`], which callers set. An
//! entry VM removes every field with the prefix from callers' requests, so that
//! callers cannot forge them.

/// Prefix of the field names that only the system may set.
pub const PREFIX: &str = "x-rhubarbpick-";

/// Fencing token of the table by which the request was routed.
pub const FENCE: &str = "x-rhubarbpick-fence";

/// Shard of the request's key.
pub const SHARD: &str = "x-rhubarbpick-shard";

/// Time left until the response must begin, in milliseconds.
pub const DEADLINE: &str = "x-rhubarbpick-deadline-ms";

/// Class of the request.
pub const CLASS: &str = "x-rhubarbpick-class";

/// Whether the request ran: [`RAN`], [`NOT_RUN`] or [`UNKNOWN`].
pub const OUTCOME: &str = "x-rhubarbpick-ran";

/// Shared secret by which the system's processes authenticate each other.
pub const SECRET: &str = "x-rhubarbpick-secret";

/// Endpoint to which the receiving peer forwards the request.
pub const DISPATCH: &str = "x-rhubarbpick-dispatch";

/// Ticket of a protected request, set by the caller.
pub const TICKET: &str = "idempotency-key";

/// The request ran.
pub const RAN: &str = "ran";

/// The request did not run.
pub const NOT_RUN: &str = "not-run";

/// The request may have run.
pub const UNKNOWN: &str = "unknown";
