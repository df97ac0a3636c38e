//! Tickets, which make a protected request run at most once.
//!
//! A caller requests a ticket before it sends a protected request, and sends
//! every repetition of the request with the same ticket. The ticket names the
//! process that issued it, its home. Only the home may run a request with the
//! ticket, and its [`Deduplicator`] keeps in memory which requests it has begun.
//! If the home is lost, this memory is lost, but so is the only process that
//! could run the request: a later incarnation of the home does not know whether
//! the request ran, and rejects the ticket. No store is involved.

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

/// Time for which a ticket is valid.
pub const LIFETIME: Duration = Duration::from_secs(600);

/// Maximum number of tickets that a deduplicator stores.
pub const MAX_ENTRIES: usize = 65_536;

/// Maximum size of a response body that is stored for duplicates of the request.
pub const MAX_STORED_BODY_BYTES: usize = 4096;

/// Length of the truncated message authentication code in a ticket.
const MAC_BYTES: usize = 16;

record! {
    /// A caller's permission to run one protected request.
    pub struct Ticket {
        /// Process that issued the ticket.
        pub home: Node,
        /// When it was issued, on the clock of the home.
        pub issued: Instant,
        /// Number, unique among the tickets of the home.
        pub number: u64,
    }
}

/// Reason why a ticket is rejected.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the ticket was not issued by this system; request one with POST /-/tickets
    Forged,
    /// the ticket is older than 600 s; request a new one with POST /-/tickets
    Expired,
    /// this process already stores the maximum of 65536 tickets; try again later
    Full,
}

impl std::error::Error for Error {}

impl Ticket {
    /// Encodes the ticket with its message authentication code.
    pub fn sign(&self, secret: &[u8]) -> String {
        let text = self.text();
        let mac = hex::encode(&mac(secret, &text)[..MAC_BYTES]);
        format!("{text}.{mac}")
    }

    /// Checks the message authentication code of an encoded ticket and decodes it.
    pub fn verify(text: &str, secret: &[u8]) -> Result<Self, Error> {
        let (signed, given) = text.rsplit_once('.').ok_or(Error::Forged)?;
        let given = hex::decode(given).map_err(|_| Error::Forged)?;
        let expected = mac(secret, signed);
        if !bool::from(given.ct_eq(&expected[..MAC_BYTES])) {
            return Err(Error::Forged);
        }
        parse(signed).ok_or(Error::Forged)
    }

    fn text(&self) -> String {
        let incarnation = self.home.incarnation.0;
        format!(
            "{}.{incarnation}.{}.{}",
            self.home.name, self.issued.0, self.number
        )
    }
}

fn parse(text: &str) -> Option<Ticket> {
    let mut parts = text.split('.');
    let name = parts.next()?;
    let incarnation = parts.next()?.parse().ok()?;
    let issued = Instant(parts.next()?.parse().ok()?);
    let number = parts.next()?.parse().ok()?;
    let home = Node {
        name: name.into(),
        incarnation: Incarnation(incarnation),
    };
    parts.next().is_none().then_some(Ticket {
        home,
        issued,
        number,
    })
}

fn mac(secret: &[u8], text: &str) -> Vec<u8> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(secret).expect("HMAC accepts secrets of any length");
    mac.update(text.as_bytes());
    mac.finalize().into_bytes().to_vec()
}

/// Response stored for duplicates of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body, or `None` if it was too large to store.
    pub body: Option<Box<[u8]>>,
}

/// Outcome of the request with a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is still running.
    Running,
    /// It ran.
    Ran(Answer),
    /// It may have run.
    Unknown,
}

/// Decision on a request with a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// It is the first request with the ticket and may run.
    Run,
    /// An earlier request with the ticket was begun, so this one must not run.
    Duplicate(Outcome),
}

/// Outcomes of the requests begun with the tickets of this process, sorted by the
/// number of the ticket.
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
    /// Begins the request with `ticket` unless one was begun before.
    pub fn begin(&mut self, ticket: &Ticket, now: Instant) -> Result<Disposition, Error> {
        self.remove_expired(now);
        if now.since(ticket.issued) >= LIFETIME {
            return Err(Error::Expired);
        }
        match self.search(ticket.number) {
            Ok(index) => Ok(Disposition::Duplicate(self.entries[index].outcome.clone())),
            Err(_) if self.entries.len() >= MAX_ENTRIES => Err(Error::Full),
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

    /// Ends a request that certainly did not run, so that the ticket can be used again.
    pub fn not_run(&mut self, number: u64) {
        if let Ok(index) = self.search(number) {
            self.entries.remove(index);
        }
    }

    /// Ends a request that ran or may have run.
    pub fn end(&mut self, number: u64, outcome: Outcome) {
        if let Ok(index) = self.search(number) {
            self.entries[index].outcome = outcome;
        }
    }

    /// Returns the number of stored tickets.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no ticket is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes expired tickets; [`Self::begin`] rejects them without an entry.
    fn remove_expired(&mut self, now: Instant) {
        let is_expired = |entry: &Entry| now.since(entry.issued) >= LIFETIME;
        while self.entries.front().is_some_and(is_expired) {
            self.entries.pop_front();
        }
    }

    fn search(&self, number: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&number, |entry| entry.number)
    }
}
