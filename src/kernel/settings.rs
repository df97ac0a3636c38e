//! Settings of the daemon, read from a YAML file and checked.

use crate::{
    core::dispatch,
    kernel::failure::Error, //
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
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Messages of the other processes of the system.
    pub peers: SocketAddr,
    /// Address under which the peers reach the peer listener, if it is another.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// The operators' API.
    pub admin: SocketAddr,
    /// Health, readiness and metrics.
    pub health: SocketAddr,
}

impl Listen {
    /// Returns the address under which the peers reach this process.
    pub fn reached_at(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peers)
    }
}

/// An outside system and how to speak to it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Outside {
    /// Name of the dialect.
    pub dialect: Box<str>,
    /// Address.
    pub address: SocketAddr,
}

/// How requests find a slot of an endpoint.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Dispatch {
    /// One queue for each endpoint or pool, by rank and deadline.
    #[default]
    Rank,
    /// One queue for each endpoint or pool, by arrival.
    Arrival,
    /// Each entry sends to the less busy of two endpoints, as far as it knows.
    TwoChoices,
    /// Each entry sends to any endpoint.
    Random,
}

impl Dispatch {
    /// Tells whether one process queues for all entries.
    pub fn is_queued(self) -> bool {
        matches!(self, Self::Rank | Self::Arrival)
    }

    /// Returns the order of the queues.
    pub fn order(self) -> dispatch::Discipline {
        match self {
            Self::Rank => dispatch::Discipline::Rank,
            _ => dispatch::Discipline::Arrival,
        }
    }
}

/// Settings of one daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM, unique among all.
    pub name: Box<str>,
    /// Availability zone of the VM.
    pub zone: Box<str>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The platform's object store.
    pub store: Outside,
    /// The platform's list of VMs.
    pub vms: Outside,
    /// Dialect of the orders to endpoints.
    pub orders: Box<str>,
    /// Peer listeners of other VMs; one that answers is enough.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// File with the secret that all VMs share.
    pub secret_file: Box<str>,
    /// File with the operators' tokens.
    pub operators_file: Box<str>,
    /// Address from which this VM speaks to others, if it has several.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// Level of the log: error, warn, info, debug or trace.
    #[serde(default = "default_log")]
    pub log: Box<str>,
    /// Worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Longest time that a shutdown waits for requests in flight, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// How requests find a slot: rank, arrival, two-choices or random.
    #[serde(default)]
    pub dispatch: Dispatch,
    /// Number of entry VMs that share the endpoints' connections.
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

/// Shortest secret, in bytes.
const SECRET_MIN: usize = 16;

/// Reads and checks the settings in the file `path`.
pub fn read(path: &str) -> Result<Settings, Error> {
    let text = read_file(path)?;
    let parsed: Result<Settings, _> = serde_norway::from_str(&text);
    let settings = parsed.map_err(|error| Error::Settings {
        path: path.into(),
        detail: error.to_string().into(),
    })?;
    check(&settings).map_err(|detail| Error::Settings {
        path: path.into(),
        detail: with_line(&text, &detail).into(),
    })?;
    Ok(settings)
}

/// Reads the secret that the processes share.
pub fn read_secret(path: &str) -> Result<Box<str>, Error> {
    let text = read_file(path)?;
    let secret = text.trim();
    let plain = secret.bytes().all(|byte| byte.is_ascii_graphic());
    if secret.len() < SECRET_MIN || !plain {
        return Err(Error::Settings {
            path: path.into(),
            detail: "the secret must be at least 16 printable characters".into(),
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

/// A field, what was found in it and what is allowed.
struct Finding {
    field: &'static str,
    found: String,
    allowed: &'static str,
}

fn check(settings: &Settings) -> Result<(), Finding> {
    check_name("name", &settings.name)?;
    check_name("zone", &settings.zone)?;
    let levels = ["error", "warn", "info", "debug", "trace"];
    let known = levels.contains(&&*settings.log);
    expect(
        known,
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
    let twice = addresses
        .windows(2)
        .find(|pair| pair[0] == pair[1] && pair[0].port() != 0);
    let found = twice.map_or_else(String::new, |pair| pair[0].to_string());
    expect(
        twice.is_none(),
        "listen",
        found,
        "a different address for each listener",
    )
}

fn check_name(field: &'static str, name: &str) -> Result<(), Finding> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    let good = (1..=64).contains(&name.len()) && name.bytes().all(plain);
    expect(good, field, name, "1 to 64 letters, digits, - or _")
}

fn expect(
    good: bool,
    field: &'static str,
    found: impl ToString,
    allowed: &'static str,
) -> Result<(), Finding> {
    if good {
        return Ok(());
    }
    Err(Finding {
        field,
        found: found.to_string(),
        allowed,
    })
}

fn with_line(text: &str, finding: &Finding) -> String {
    let Finding {
        field,
        found,
        allowed,
    } = finding;
    let start = format!("{field}:");
    let line = text.lines().position(|line| line.starts_with(&start));
    let place = line.map_or_else(String::new, |index| format!("line {}: ", index + 1));
    format!("{place}{field} is {found}; allowed is {allowed}")
}
