//! Settings of the daemon `rhubarbpickd`: reads them from a YAML file and
//! validates them.

use crate::{
    core::dispatch,
    kernel::error::Error, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    fs,
    net::{
        IpAddr,
        SocketAddr, //
    },
};

/// Addresses that the daemon listens on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Listener for callers' requests.
    pub callers: SocketAddr,
    /// Listener for messages from the system's other processes.
    pub peers: SocketAddr,
    /// Address under which peers reach the peer listener, if it differs from
    /// `peers`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Listener for the operators' API.
    pub admin: SocketAddr,
    /// Listener for health, readiness and metrics.
    pub health: SocketAddr,
}

impl Listen {
    /// Returns the address under which peers reach this process.
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peers)
    }
}

/// An external system and its protocol.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Provider {
    /// Name of the protocol implementation, see
    /// [`Dialect`](crate::kernel::plugin::Dialect).
    pub dialect: Box<str>,
    /// Address of the system.
    pub address: SocketAddr,
}

/// How a request is assigned to an endpoint slot.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Dispatch {
    /// One queue per endpoint, or per service without keys, ordered by rank and
    /// deadline.
    #[default]
    Rank,
    /// One queue per endpoint, or per service without keys, in order of arrival.
    Arrival,
    /// Each entry VM sends to the less loaded of two random endpoints, judged by
    /// its own requests.
    TwoChoices,
    /// Each entry VM sends to a random endpoint.
    Random,
}

impl Dispatch {
    /// Tells whether one process queues the requests of all entry VMs.
    pub fn is_queued(self) -> bool {
        matches!(self, Self::Rank | Self::Arrival)
    }

    /// Returns the queue discipline.
    pub fn discipline(self) -> dispatch::Discipline {
        match self {
            Self::Rank => dispatch::Discipline::Rank,
            _ => dispatch::Discipline::Arrival,
        }
    }
}

/// Settings of a daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM, unique among all VMs.
    pub name: Box<str>,
    /// Availability zone of the VM.
    pub zone: Box<str>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The platform's store of objects with entity tags.
    pub store: Provider,
    /// The platform's list of VMs.
    pub vms: Provider,
    /// Dialect of the renewal orders to endpoints.
    pub orders: Box<str>,
    /// Peer listeners of other VMs; one that is reachable is enough.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// File with the secret shared by all VMs.
    pub secret_file: Box<str>,
    /// File with the operators' tokens.
    pub operators_file: Box<str>,
    /// Source address of outgoing connections, for a VM with several addresses.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// Log level: error, warn, info, debug or trace.
    #[serde(default = "default_log")]
    pub log: Box<str>,
    /// Number of worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// How long a shutdown waits for requests in flight, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// How requests are assigned to slots: rank, arrival, two-choices or random.
    #[serde(default)]
    pub dispatch: Dispatch,
    /// Number of entry VMs that share the endpoints' connection limits.
    #[serde(default = "default_entries")]
    pub entries: u32,
}

fn default_log() -> Box<str> {
    "info".into()
}

fn default_threads() -> usize {
    2
}

fn default_drain_ms() -> u64 {
    10_000
}

fn default_entries() -> u32 {
    10
}

/// Minimum length of the secret.
const SECRET_MIN_BYTES: usize = 16;

/// Reads and validates the settings file `path`.
pub fn read(path: &str) -> Result<Settings, Error> {
    let text = read_file(path)?;
    let parsed: Result<Settings, _> = serde_norway::from_str(&text);
    let settings = parsed.map_err(|error| Error::Settings {
        path: path.into(),
        detail: error.to_string().into(),
    })?;
    check(&settings).map_err(|violation| Error::Settings {
        path: path.into(),
        detail: describe(&text, &violation).into(),
    })?;
    Ok(settings)
}

/// Reads the secret that the system's processes share.
pub fn read_secret(path: &str) -> Result<Box<str>, Error> {
    let text = read_file(path)?;
    let secret = text.trim();
    let is_printable = secret.bytes().all(|byte| byte.is_ascii_graphic());
    if secret.len() < SECRET_MIN_BYTES || !is_printable {
        return Err(Error::Settings {
            path: path.into(),
            detail: "the secret must have at least 16 printable ASCII characters and no spaces"
                .into(),
        });
    }
    Ok(secret.into())
}

/// Reads a text file.
pub fn read_file(path: &str) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.into(),
        source,
    })
}

/// A field with a value that is not allowed.
struct Violation {
    field: &'static str,
    found: String,
    allowed: &'static str,
}

fn check(settings: &Settings) -> Result<(), Violation> {
    check_name("name", &settings.name)?;
    check_name("zone", &settings.zone)?;
    let levels = ["error", "warn", "info", "debug", "trace"];
    let is_known = levels.contains(&&*settings.log);
    expect(
        is_known,
        "log",
        &settings.log,
        "error, warn, info, debug or trace",
    )?;
    let threads = settings.threads;
    expect((1..=64).contains(&threads), "threads", threads, "1 to 64")?;
    let drain = settings.drain_ms;
    expect(
        (1..=600_000).contains(&drain),
        "drain_ms",
        drain,
        "1 to 600000",
    )?;
    let entries = settings.entries;
    expect(
        (1..=16_000).contains(&entries),
        "entries",
        entries,
        "1 to 16000",
    )?;
    let listen = &settings.listen;
    let mut addresses = [listen.callers, listen.peers, listen.admin, listen.health];
    addresses.sort_unstable();
    let duplicate = addresses
        .windows(2)
        .find(|pair| pair[0] == pair[1] && pair[0].port() != 0);
    let found = duplicate.map_or_else(String::new, |pair| pair[0].to_string());
    expect(
        duplicate.is_none(),
        "listen",
        found,
        "a different address for each listener",
    )
}

fn check_name(field: &'static str, name: &str) -> Result<(), Violation> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    let is_valid = (1..=64).contains(&name.len()) && name.bytes().all(is_allowed);
    expect(is_valid, field, name, "1 to 64 letters, digits, - or _")
}

fn expect(
    is_valid: bool,
    field: &'static str,
    found: impl ToString,
    allowed: &'static str,
) -> Result<(), Violation> {
    if is_valid {
        return Ok(());
    }
    Err(Violation {
        field,
        found: found.to_string(),
        allowed,
    })
}

fn describe(text: &str, violation: &Violation) -> String {
    let Violation {
        field,
        found,
        allowed,
    } = violation;
    let start = format!("{field}:");
    let line = text.lines().position(|line| line.starts_with(&start));
    let place = line.map_or_else(String::new, |index| format!("line {}: ", index + 1));
    format!("{place}{field} is {found}; allowed is {allowed}")
}
