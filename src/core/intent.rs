//! What an operator states about a service.
//!
//! An intent is written in YAML. [`Intent::check`] refuses what could not be
//! served and names the field, what was found and what is allowed.

use displaydoc::Display;
use std::net::SocketAddr;

/// Most shards a service may be divided into.
///
/// A table stores two bytes a shard and has to fit the store's megabyte.
pub const SHARDS_MAX: u32 = 262_144;

/// Most endpoints of one service.
pub const ENDPOINTS_MAX: usize = 1024;

record! {
    /// An endpoint that may own keys of the service.
    #[serde(deny_unknown_fields)]
    pub struct Endpoint {
        /// Name, unique in the service.
        pub name: Box<str>,
        /// Where it takes requests and orders.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: Box<str>,
        /// Whether it refuses orders and requests with an older fence token.
        #[serde(default = "yes")]
        pub checks_fences: bool,
    }

    /// A kind of request.
    #[serde(deny_unknown_fields)]
    pub struct Class {
        /// Name, unique in the service.
        pub name: Box<str>,
        /// HTTP method.
        pub method: Box<str>,
        /// Last part of the path, such as `/bids`; empty matches any path.
        #[serde(default)]
        pub suffix: Box<str>,
        /// Whether a request of the class must run at most once.
        #[serde(default)]
        pub protected: bool,
        /// Whether a request may be sent again when its outcome is unknown.
        #[serde(default)]
        pub repeatable: bool,
        /// Time within which the answer must begin, in milliseconds.
        pub deadline_ms: u64,
        /// Order of shedding under overload: the highest rank goes first.
        #[serde(default)]
        pub rank: u8,
    }

    /// A service and how it is to be served.
    #[serde(deny_unknown_fields)]
    pub struct Intent {
        /// Name, unique among all services.
        pub service: Box<str>,
        /// Operator that owns the service.
        pub operator: Box<str>,
        /// Start of the paths that belong to the service, such as `/catalogue/`.
        pub prefix: Box<str>,
        /// Number of shards that the keys are divided into; zero for a service without keys.
        #[serde(default)]
        pub shards: u32,
        /// Requests that one endpoint runs at a time.
        pub slots: u32,
        /// Connections that one endpoint takes from the whole system.
        pub connections: u32,
        /// Endpoints.
        pub endpoints: Vec<Endpoint>,
        /// Kinds of requests; the first that matches counts.
        pub classes: Vec<Class>,
    }

    /// An intent that was confirmed.
    pub struct Record {
        /// Grows by one with each confirm.
        pub version: u64,
        /// Plan that was confirmed.
        pub plan: Box<str>,
        /// Operator who confirmed it.
        pub by: Box<str>,
        /// Wall clock in milliseconds since 1970.
        pub time_ms: u64,
        /// What is in force.
        pub intent: Intent,
    }
}

fn yes() -> bool {
    true
}

/// Why an intent is refused.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// {field} is {found}; allowed is {allowed}
    Field {
        /// Field.
        field: Box<str>,
        /// What was found.
        found: Box<str>,
        /// What is allowed.
        allowed: &'static str,
    },
    /// the intent is not valid YAML for a service: {0}
    Syntax(Box<str>),
}

impl std::error::Error for Error {}

impl Intent {
    /// Reads and checks an intent.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let parsed: Result<Self, _> = serde_norway::from_str(text);
        let intent = parsed.map_err(|error| Error::Syntax(error.to_string().into()))?;
        intent.check()?;
        Ok(intent)
    }

    /// Refuses what could not be served.
    pub fn check(&self) -> Result<(), Error> {
        check_name("service", &self.service)?;
        check_name("operator", &self.operator)?;
        let prefix = &self.prefix;
        let framed = prefix.len() > 1 && prefix.starts_with('/') && prefix.ends_with('/');
        expect(
            framed,
            "prefix",
            prefix,
            "a path that starts and ends with /",
        )?;
        expect(
            self.shards <= SHARDS_MAX,
            "shards",
            self.shards,
            "0 to 262144",
        )?;
        expect(
            (1..=1024).contains(&self.slots),
            "slots",
            self.slots,
            "1 to 1024",
        )?;
        let connections = self.connections;
        let allowed = (1..=65_536).contains(&connections);
        expect(allowed, "connections", connections, "1 to 65536")?;
        let count = self.endpoints.len();
        expect(
            count <= ENDPOINTS_MAX,
            "endpoints",
            count,
            "up to 1024 entries",
        )?;
        for endpoint in &self.endpoints {
            check_name("endpoints.name", &endpoint.name)?;
            check_name("endpoints.zone", &endpoint.zone)?;
            let safe = self.shards == 0 || endpoint.checks_fences;
            let allowed = "true for a service with keys";
            expect(safe, "endpoints.checks_fences", "false", allowed)?;
        }
        let names = self.endpoints.iter().map(|endpoint| &endpoint.name);
        check_unique("endpoints.name", names.collect())?;
        let addresses = self.endpoints.iter().map(|endpoint| endpoint.address);
        check_unique("endpoints.address", addresses.collect())?;
        expect(
            !self.classes.is_empty(),
            "classes",
            "empty",
            "at least one class",
        )?;
        check_unique(
            "classes.name",
            self.classes.iter().map(|class| &class.name).collect(),
        )?;
        for class in &self.classes {
            check_class(class)?;
        }
        Ok(())
    }

    /// Returns the place of a request's class in the list.
    pub fn class_index(&self, method: &str, path: &str) -> Option<usize> {
        let mut classes = self.classes.iter();
        classes.position(|class| *class.method == *method && path.ends_with(&*class.suffix))
    }

    /// Returns the key in a path of this service: the part after the prefix.
    pub fn key<'a>(&self, path: &'a str) -> Option<&'a str> {
        let rest = path.strip_prefix(&*self.prefix)?;
        let end = rest.find('/').unwrap_or(rest.len());
        Some(&rest[..end]).filter(|key| !key.is_empty())
    }
}

fn check_class(class: &Class) -> Result<(), Error> {
    check_name("classes.name", &class.name)?;
    let deadline = class.deadline_ms;
    let allowed = (1..=3_600_000).contains(&deadline);
    expect(allowed, "classes.deadline_ms", deadline, "1 to 3600000")?;
    let both = class.protected && class.repeatable;
    expect(
        !both,
        "classes.repeatable",
        "true",
        "false where protected is true",
    )
}

fn check_name(field: &str, name: &str) -> Result<(), Error> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    let good = (1..=64).contains(&name.len()) && name.bytes().all(plain);
    expect(good, field, name, "1 to 64 letters, digits, - or _")
}

fn check_unique<T: Ord + ToString>(field: &str, mut values: Vec<T>) -> Result<(), Error> {
    values.sort();
    let twice = values.windows(2).find(|pair| pair[0] == pair[1]);
    let found = twice.map_or_else(String::new, |pair| pair[0].to_string());
    expect(twice.is_none(), field, found, "each value once")
}

fn expect(
    good: bool,
    field: &str,
    found: impl ToString,
    allowed: &'static str,
) -> Result<(), Error> {
    if good {
        return Ok(());
    }
    Err(Error::Field {
        field: field.into(),
        found: found.to_string().into(),
        allowed,
    })
}
