//! Tickets: how a protected request runs at most once.
//!
//! A caller gets a ticket before it sends a protected request and repeats
//! the request under the same ticket. The ticket names the process that
//! issued it, its home. Only the home may run a request under the ticket, and
//! it remembers in a [`Deduplicator`] what it has begun. When the home is lost its
//! memory is lost with it, but so is the only process that would run the
//! ticket: a later run of the home cannot vouch for the ticket and refuses.
//! No store is involved.

use crate::core::{
    table::{
        Incarnation,
        Node, //
    },
    time::Instant,
};
use displaydoc::Display;
use hmac::{
    Hmac,
    KeyInit,
    Mac, //
};
use sha2::Sha256;
use std::{
    collections::VecDeque,
    time::Duration, //
};
use subtle::ConstantTimeEq;

/// How long a ticket is good.
pub const LIFETIME: Duration = Duration::from_secs(600);

/// Most tickets a book remembers.
pub const BOOK_LIMIT: usize = 65_536;

/// Largest body of an answer that is kept for a repeat, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 4096;

/// Bytes of the authentication code that a ticket carries.
const CODE_BYTES: usize = 16;

record! {
    /// A caller's permission to run one protected request.
    pub struct Ticket {
        /// Process that issued the ticket.
        pub home: Node,
        /// When it was issued, on the home's own clock.
        pub issued: Instant,
        /// Number among the tickets of the home.
        pub number: u64,
    }
}

/// Why a ticket is refused.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the ticket is not one that this system issued; get a ticket from /-/tickets
    Forged,
    /// the ticket is older than it may be; get a new ticket
    Expired,
    /// this process remembers as many tickets as it may; try again later
    Full,
}

impl std::error::Error for Error {}

impl Ticket {
    /// Writes the ticket with its authentication code.
    pub fn sign(&self, secret: &[u8]) -> String {
        let text = self.text();
        let code = hex::encode(&code(secret, &text)[..CODE_BYTES]);
        format!("{text}.{code}")
    }

    /// Reads a ticket and checks its authentication code.
    pub fn verify(text: &str, secret: &[u8]) -> Result<Self, Error> {
        let (signed, given) = text.rsplit_once('.').ok_or(Error::Forged)?;
        let given = hex::decode(given).map_err(|_| Error::Forged)?;
        let expected = code(secret, signed);
        if !bool::from(given.ct_eq(&expected[..CODE_BYTES])) {
            return Err(Error::Forged);
        }
        parse(signed).ok_or(Error::Forged)
    }

    fn text(&self) -> String {
        let run = self.home.incarnation.0;
        format!("{}.{run}.{}.{}", self.home.name, self.issued.0, self.number)
    }
}

fn parse(text: &str) -> Option<Ticket> {
    let mut parts = text.split('.');
    let name = parts.next()?;
    let run = parts.next()?.parse().ok()?;
    let issued = Instant(parts.next()?.parse().ok()?);
    let number = parts.next()?.parse().ok()?;
    let home = Node {
        name: name.into(),
        incarnation: Incarnation(run),
    };
    parts.next().is_none().then_some(Ticket {
        home,
        issued,
        number,
    })
}

fn code(secret: &[u8], text: &str) -> Vec<u8> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("any length of secret is allowed");
    mac.update(text.as_bytes());
    mac.finalize().into_bytes().to_vec()
}

/// Answer kept for a caller that repeats its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body; none if it was too large to keep.
    pub body: Option<Box<[u8]>>,
}

/// What became of the request under a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was begun and has not ended.
    Running,
    /// It ran.
    Ran(Answer),
    /// It may have run.
    Unknown,
}

/// What a request under a ticket is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// It is the first and may run.
    Run,
    /// An earlier one was begun; it must not run.
    Duplicate(Outcome),
}

/// What the home of tickets remembers, in the order of their numbers.
#[derive(Clone, Debug, Default)]
pub struct Deduplicator {
    entries: VecDeque<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    number: u64,
    issued: Instant,
    outcome: Outcome,
}

impl Deduplicator {
    /// Begins the request under `ticket` unless it was begun before.
    pub fn begin(&mut self, ticket: &Ticket, now: Instant) -> Result<Disposition, Error> {
        self.forget(now);
        if now.since(ticket.issued) >= LIFETIME {
            return Err(Error::Expired);
        }
        match self.search(ticket.number) {
            Ok(index) => Ok(Disposition::Duplicate(self.entries[index].outcome.clone())),
            Err(_) if self.entries.len() >= BOOK_LIMIT => Err(Error::Full),
            Err(index) => {
                let entry = Entry {
                    number: ticket.number,
                    issued: ticket.issued,
                    outcome: Outcome::Running,
                };
                self.entries.insert(index, entry);
                Ok(Disposition::Run)
            }
        }
    }

    /// Ends a request that certainly did not run; the ticket may be used again.
    pub fn not_run(&mut self, number: u64) {
        if let Ok(index) = self.search(number) {
            self.entries.remove(index);
        }
    }

    /// Ends a request.
    pub fn end(&mut self, number: u64, outcome: Outcome) {
        if let Ok(index) = self.search(number) {
            self.entries[index].outcome = outcome;
        }
    }

    /// Returns the number of tickets remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Forgets tickets that are refused as expired.
    fn forget(&mut self, now: Instant) {
        let is_old = |entry: &Entry| now.since(entry.issued) >= LIFETIME;
        while self.entries.front().is_some_and(is_old) {
            self.entries.pop_front();
        }
    }

    fn search(&self, number: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&number, |entry| entry.number)
    }
}
