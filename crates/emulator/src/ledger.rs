//! Log of what an endpoint held and ran, from which tests check ownership.
//!
//! The file has one JSON object per line. All times are microseconds of the
//! machine's boot-time clock, so the ledgers of several endpoints on one
//! machine can be compared.

use rhubarbpick::core::token::Token;
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    fs::{
        File,
        OpenOptions, //
    },
    io::{
        self,
        Write, //
    },
    path::Path,
    sync::Mutex,
};

/// An entry of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The process started.
    Start {
        /// Time of the event.
        at: u64,
        /// Incarnation of the process.
        run: u64,
    },
    /// The endpoint accepted an order and holds exactly these shards.
    Hold {
        /// Time of the event.
        at: u64,
        /// Time at which the grant expires.
        until: u64,
        /// Token of the table that the order follows.
        token: Token,
        /// Shards that are held.
        shards: Vec<u32>,
    },
    /// The endpoint accepted an order that changed only the expiry of the grant.
    Renew {
        /// Time of the event.
        at: u64,
        /// Time at which the grant expires.
        until: u64,
    },
    /// A request ended.
    Run {
        /// ID that the caller gave the request.
        id: Box<str>,
        /// Shard of the key, if the service is keyed.
        shard: Option<u32>,
        /// Time at which it started.
        start: u64,
        /// Time at which it took effect or was abandoned.
        end: u64,
        /// Whether it took effect.
        ran: bool,
    },
    /// The endpoint asked that its shards be moved away.
    Leave {
        /// Time of the event.
        at: u64,
    },
}

/// Writer of a ledger.
pub struct Ledger {
    file: Option<Mutex<File>>,
}

/// Opens a ledger that appends to the file `path`; without a path, events are discarded.
pub fn open(path: Option<&Path>) -> io::Result<Ledger> {
    let open = |path| OpenOptions::new().create(true).append(true).open(path);
    let file = path.map(open).transpose()?;
    Ok(Ledger {
        file: file.map(Mutex::new),
    })
}

impl Ledger {
    /// Appends an event.
    pub fn append(&self, event: &Event) {
        let Some(file) = &self.file else { return };
        let mut line = serde_json::to_vec(event).expect("an event is encodable as JSON");
        line.push(b'\n');
        // One write per line, so that a killed process leaves no partial line.
        let _ = file.lock().unwrap().write_all(&line);
    }
}

/// Reads a ledger; skips lines that a killed process left incomplete.
pub fn read(path: &Path) -> io::Result<Vec<Event>> {
    let text = std::fs::read_to_string(path)?;
    let lines = text.lines();
    Ok(lines
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect())
}
