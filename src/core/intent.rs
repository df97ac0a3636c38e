//! Intents: the declarative configuration of a service, written by its operator.
//!
//! An intent is a YAML document. [`Intent::check`] rejects values that cannot
//! be served; the error names the field, the value found and the values allowed.

use displaydoc::Display;
use std::net::SocketAddr;

/// Maximum number of shards of a service.
///
/// The ownership table stores two bytes per shard and has to fit into a store
/// object, which holds at most one megabyte.
pub const MAX_SHARDS: u32 = 262_144;

/// Maximum number of endpoints of a service.
pub const MAX_ENDPOINTS: usize = 1024;

record! {
    /// A server process that handles requests of the service and can own keys.
    #[serde(deny_unknown_fields)]
    pub struct Endpoint {
        /// Name, unique within the service.
        pub name: Box<str>,
        /// Address at which it receives requests and orders.
        pub address: SocketAddr,
        /// Availability zone.
        pub zone: Box<str>,
        /// Whether it rejects orders and requests whose fencing token is out of date.
        #[serde(default = "yes")]
        pub checks_fences: bool,
    }

    /// A class of requests that are handled alike.
    #[serde(deny_unknown_fields)]
    pub struct Class {
        /// Name, unique within the service.
        pub name: Box<str>,
        /// HTTP method.
        pub method: Box<str>,
        /// Suffix of the path, such as `/bids`; an empty suffix matches any path.
        #[serde(default)]
        pub suffix: Box<str>,
        /// Whether a request must run at most once, even if the caller sends it again.
        #[serde(default)]
        pub protected: bool,
        /// Whether a request may be retried when its outcome is unknown.
        #[serde(default)]
        pub repeatable: bool,
        /// Time until the first byte of the response is due, in milliseconds.
        pub deadline_ms: u64,
        /// Shedding order under overload; requests with the highest rank are shed first.
        #[serde(default)]
        pub rank: u8,
    }

    /// A service and the way in which it is served.
    #[serde(deny_unknown_fields)]
    pub struct Intent {
        /// Name, unique among all services.
        pub service: Box<str>,
        /// Operator that owns the service.
        pub operator: Box<str>,
        /// Path prefix of the service, such as `/catalogue/`.
        pub prefix: Box<str>,
        /// Number of shards into which the keys are divided; zero for a service without keys.
        #[serde(default)]
        pub shards: u32,
        /// Maximum number of concurrent requests per endpoint.
        pub slots: u32,
        /// Maximum number of connections per endpoint, summed over all VMs.
        pub connections: u32,
        /// Endpoints that serve the requests.
        pub endpoints: Vec<Endpoint>,
        /// Request classes; the first one that matches a request applies.
        pub classes: Vec<Class>,
    }

    /// An intent as it was confirmed by an operator.
    pub struct Record {
        /// Version, incremented with each confirmation.
        pub version: u64,
        /// Identifier of the plan that was confirmed.
        pub plan: Box<str>,
        /// Operator who confirmed it.
        pub by: Box<str>,
        /// Time of the confirmation, in milliseconds since the Unix epoch.
        pub time_ms: u64,
        /// The confirmed intent.
        pub intent: Intent,
    }
}

fn yes() -> bool {
    true
}

/// Reason why an intent is rejected.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// {field} is {found}; allowed is {allowed}
    Field {
        /// Path of the field, such as `classes.name`.
        field: Box<str>,
        /// Value found.
        found: Box<str>,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// the intent is not valid YAML for a service: {0}
    Syntax(Box<str>),
}

impl std::error::Error for Error {}

impl Intent {
    /// Parses and checks an intent.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let parsed: Result<Self, _> = serde_norway::from_str(text);
        let intent = parsed.map_err(|error| Error::Syntax(error.to_string().into()))?;
        intent.check()?;
        Ok(intent)
    }

    /// Checks all fields and returns the first error.
    pub fn check(&self) -> Result<(), Error> {
        check_name("service", &self.service)?;
        check_name("operator", &self.operator)?;
        let prefix = &self.prefix;
        let is_valid = prefix.len() > 1 && prefix.starts_with('/') && prefix.ends_with('/');
        require(
            is_valid,
            "prefix",
            prefix,
            "a path that starts and ends with /",
        )?;
        require(
            self.shards <= MAX_SHARDS,
            "shards",
            self.shards,
            "0 to 262144",
        )?;
        require(
            (1..=1024).contains(&self.slots),
            "slots",
            self.slots,
            "1 to 1024",
        )?;
        let connections = self.connections;
        let is_valid = (1..=65_536).contains(&connections);
        require(is_valid, "connections", connections, "1 to 65536")?;
        let count = self.endpoints.len();
        require(
            count <= MAX_ENDPOINTS,
            "endpoints",
            count,
            "up to 1024 entries",
        )?;
        for endpoint in &self.endpoints {
            check_name("endpoints.name", &endpoint.name)?;
            check_name("endpoints.zone", &endpoint.zone)?;
            let is_valid = self.shards == 0 || endpoint.checks_fences;
            let allowed = "true for a service with keys";
            require(is_valid, "endpoints.checks_fences", "false", allowed)?;
        }
        let names = self.endpoints.iter().map(|endpoint| &endpoint.name);
        check_unique("endpoints.name", names.collect())?;
        let addresses = self.endpoints.iter().map(|endpoint| endpoint.address);
        check_unique("endpoints.address", addresses.collect())?;
        require(
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

    /// Returns the index of the first class that matches a request.
    pub fn class_index(&self, method: &str, path: &str) -> Option<usize> {
        let mut classes = self.classes.iter();
        classes.position(|class| *class.method == *method && path.ends_with(&*class.suffix))
    }

    /// Returns the key in a path of this service: the path segment after the prefix.
    pub fn key<'a>(&self, path: &'a str) -> Option<&'a str> {
        let rest = path.strip_prefix(&*self.prefix)?;
        let end = rest.find('/').unwrap_or(rest.len());
        Some(&rest[..end]).filter(|key| !key.is_empty())
    }
}

fn check_class(class: &Class) -> Result<(), Error> {
    check_name("classes.name", &class.name)?;
    let deadline = class.deadline_ms;
    let is_valid = (1..=3_600_000).contains(&deadline);
    require(is_valid, "classes.deadline_ms", deadline, "1 to 3600000")?;
    let conflicts = class.protected && class.repeatable;
    require(
        !conflicts,
        "classes.repeatable",
        "true",
        "false where protected is true",
    )
}

fn check_name(field: &str, name: &str) -> Result<(), Error> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    let is_valid = (1..=64).contains(&name.len()) && name.bytes().all(is_allowed);
    require(is_valid, field, name, "1 to 64 letters, digits, - or _")
}

fn check_unique<T: Ord + ToString>(field: &str, mut values: Vec<T>) -> Result<(), Error> {
    values.sort();
    let duplicate = values.windows(2).find(|pair| pair[0] == pair[1]);
    let found = duplicate.map_or_else(String::new, |pair| pair[0].to_string());
    require(
        duplicate.is_none(),
        field,
        found,
        "a value that is unique within the service",
    )
}

fn require(
    is_valid: bool,
    field: &str,
    found: impl ToString,
    allowed: &'static str,
) -> Result<(), Error> {
    if is_valid {
        return Ok(());
    }
    Err(Error::Field {
        field: field.into(),
        found: found.to_string().into(),
        allowed,
    })
}
