//! Decides who gets memory that is held for callers, and who has to give it back.
//!
//! Designed for clients that are not trusted: hundreds of connections that each send almost a whole
//! body and stop, that trickle, or that do not read their responses, beside callers that send small
//! requests at some hundreds per second. Small holdings are never kept waiting by large ones, and
//! responses not by request bodies, as each kind may use the memory up to a higher limit.

use std::time::Duration;

/// Share of the memory limit of the process that is held for callers by default, in percent.
///
/// The rest is for the state of the platform, the allocator's losses and the buffers of sockets.
const DEFAULT_SHARE_PERCENT: u64 = 45;

/// Part of the budget up to which request bodies are accepted, in percent.
const BODY_PERCENT: usize = 60;

/// Part of the budget up to which responses are accepted, in percent.
const RESPONSE_PERCENT: usize = 80;

/// Time without progress from which a client may have to give back what it holds.
///
/// Callers that send at 32 kB/s or more make progress at least that often.
pub const MIN_STALL: Duration = Duration::from_millis(500);

/// Number of bytes sent or received that count as progress. A client that trickles makes none.
pub const PROGRESS_BYTES: usize = 16 * 1024;

/// Part of the time for which memory is held that counts as time without progress, as a divisor.
const HOLDING_DIVISOR: u32 = 8;

/// Bounds on the sizes of the buffers of callers' sockets.
const MIN_RECEIVE_BUFFER: usize = 8 * 1024;
const MIN_SEND_BUFFER: usize = 16 * 1024;
const MAX_SOCKET_BUFFER: usize = 64 * 1024;

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Body of a request, of which nothing has been sent to an endpoint.
    Body,
    /// Body of a response.
    Response,
    /// A connection or the head of a request.
    Small,
}

/// Limits on the number of bytes held for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Limit on the sum of all purposes.
    pub total: usize,
}

impl Limits {
    /// Derives the limits from the memory limit of the process, unless `total` sets them.
    pub fn new(memory_bytes: u64, total: Option<u64>) -> Self {
        let total = total.unwrap_or(memory_bytes / 100 * DEFAULT_SHARE_PERCENT);
        Self {
            total: usize::try_from(total).unwrap_or(usize::MAX / 100),
        }
    }

    /// Returns the number of bytes in use, of all purposes, up to which `purpose` gets more.
    pub fn of(&self, purpose: Purpose) -> usize {
        match purpose {
            Purpose::Body => self.total / 100 * BODY_PERCENT,
            Purpose::Response => self.total / 100 * RESPONSE_PERCENT,
            Purpose::Small => self.total,
        }
    }

    /// Returns whether `purpose` may get `bytes` more while `used` bytes are in use.
    pub fn allows(&self, purpose: Purpose, used: usize, bytes: usize) -> bool {
        used.saturating_add(bytes) <= self.of(purpose)
    }
}

/// Returns the sizes of the receive and of the send buffer of the sockets of `connections` callers.
///
/// The buffers of all of them together get an eighth of the memory limit each, within bounds
/// between which ordinary requests and responses need no further wait.
pub fn socket_buffers(memory_bytes: u64, connections: u64) -> (usize, usize) {
    let share = (memory_bytes / 8 / connections.max(1)) as usize;
    (
        share.clamp(MIN_RECEIVE_BUFFER, MAX_SOCKET_BUFFER),
        share.clamp(MIN_SEND_BUFFER, MAX_SOCKET_BUFFER),
    )
}

/// A client that holds memory until it sends or reads more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Identity of its connection.
    pub id: u64,
    /// Number of bytes that are held until it makes progress.
    pub held: usize,
    /// Time since its last progress.
    pub stalled: Duration,
    /// Time for which it has held memory without a break.
    pub holding: Duration,
}

impl Holder {
    /// Returns the time without progress that the client is charged with.
    ///
    /// One that always makes just enough progress is charged with a part of the time for which it
    /// holds memory, so that it cannot keep it indefinitely.
    fn charged(&self) -> Duration {
        self.stalled.max(self.holding / HOLDING_DIVISOR)
    }
}

/// Selects the clients whose connections are closed so that `wanted` bytes become free.
///
/// Those that hold the most memory for the longest time without progress come first. Clients that
/// have made progress lately are not selected.
pub fn select(holders: &[Holder], wanted: usize) -> Vec<u64> {
    let is_stalled = |holder: &&Holder| holder.held > 0 && holder.charged() >= MIN_STALL;
    let mut candidates: Vec<&Holder> = holders.iter().filter(is_stalled).collect();
    let cost = |holder: &Holder| holder.held as u128 * holder.charged().as_millis();
    candidates.sort_by_key(|holder| std::cmp::Reverse(cost(holder)));
    let mut freed = 0;
    let mut selected = Vec::new();
    for holder in candidates {
        if freed >= wanted {
            break;
        }
        freed += holder.held;
        selected.push(holder.id);
    }
    selected
}
