//! The manifest: services, routes and limits that an operator has deployed.
//!
//! A manifest is replaced as a whole, never merged. Each process keeps the
//! manifest with the highest version that it has seen.

use std::cmp::Reverse;

record! {
    /// One version of the routing configuration.
    pub struct Manifest {
        /// Version; a higher version replaces a lower one.
        pub version: u64,
        /// Services, sorted by name.
        pub services: Vec<Service>,
        /// Hosts, sorted by name.
        pub hosts: Vec<Host>,
        /// Limits on incoming requests.
        pub limits: Limits,
    }

    /// A set of endpoints that handle the same requests.
    pub struct Service {
        /// Name, unique among the services.
        pub name: Box<str>,
        /// Whether each key is owned by a single endpoint.
        pub is_keyed: bool,
        /// Maximum number of connections per endpoint, summed over all VMs.
        pub connections: u32,
        /// How long an endpoint is cold after its start, in milliseconds.
        #[serde(default)]
        pub cold_ms: u64,
        /// Requests per 1,000 seconds that a cold endpoint handles, if that is limited.
        #[serde(default)]
        pub cold_per_1000_s: Option<u64>,
    }

    /// A virtual host and its routes.
    pub struct Host {
        /// Host name without a port.
        pub name: Box<str>,
        /// Routes, sorted by descending length of their prefixes.
        pub routes: Vec<Route>,
    }

    /// Handling of the requests under a path prefix.
    pub struct Route {
        /// Name of the route.
        pub name: Box<str>,
        /// Path prefix; ends with a slash.
        pub prefix: Box<str>,
        /// Whether a request may run more than once.
        pub repeat: Idempotency,
        /// Maximum time that a caller waits for the response, in milliseconds.
        pub timeout_ms: u64,
        /// Target response time, in milliseconds.
        pub goal_ms: u64,
        /// Priority; requests of rank 0 are dispatched first.
        pub rank: u8,
        /// Maximum number of endpoints on which one request may run.
        pub attempts: u32,
        /// Services among which the requests are split by weight.
        pub parts: Vec<Target>,
    }

    /// A service that gets a share of the requests of a route.
    pub struct Target {
        /// Name of the service.
        pub service: Box<str>,
        /// Weight relative to the other targets of the route.
        pub weight: u32,
    }

    /// Limits on incoming requests and connections.
    pub struct Limits {
        /// Maximum size of a request head, in bytes.
        pub head_bytes: usize,
        /// Maximum size of a request body, in bytes.
        pub body_bytes: u64,
        /// Time after which an idle connection is closed, in milliseconds.
        pub idle_ms: u64,
    }
}

key! {
    /// Whether a request may run more than once.
    pub enum Idempotency {
        /// The request may run more than once.
        Idempotent,
        /// The request must run at most once.
        Once,
        /// The request must run at most once and has a large body.
        Upload,
    }
}

impl Idempotency {
    /// Returns whether a request may run more than once.
    pub fn allows_repeat(self) -> bool {
        self == Self::Idempotent
    }
}

impl Manifest {
    /// Sorts services, hosts and routes into the order that the look-ups rely on.
    pub fn sort(&mut self) {
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.hosts.sort_by(|a, b| a.name.cmp(&b.name));
        for host in &mut self.hosts {
            host.routes.sort_by_key(|route| Reverse(route.prefix.len()));
        }
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let found = self
            .hosts
            .binary_search_by(|host| (*host.name).cmp(name))
            .ok()?;
        let routes = &self.hosts[found].routes;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|service| (*service.name).cmp(name));
        found.ok().map(|index| &self.services[index])
    }
}

/// Splits the requests of a route among its targets by weight.
///
/// Uses smooth weighted round robin: after any number of requests, each target
/// has received its share to within two requests.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    credits: Vec<i64>,
}

impl RoundRobin {
    /// Creates a state in which `offset` requests have been split as evenly as possible.
    ///
    /// The time that it takes does not depend on the weights.
    pub fn new(targets: &[Target], offset: usize) -> Self {
        let total: u128 = targets.iter().map(|target| u128::from(target.weight)).sum();
        let Some(requests) = (offset as u128).checked_rem(total) else {
            return Self::default();
        };
        // Each target first gets the whole requests of its share. What it is short of then is its
        // credit, in parts of a request.
        let credit = |target: &Target| requests * u128::from(target.weight) % total;
        let mut credits: Vec<i64> = targets.iter().map(|target| credit(target) as i64).collect();
        let total = total as i64;
        let left = credits.iter().sum::<i64>() / total;
        let mut by_credit: Vec<usize> = (0..targets.len()).collect();
        by_credit.sort_by_key(|&index| Reverse(credits[index]));
        for &index in &by_credit[..left as usize] {
            credits[index] -= total;
        }
        Self { credits }
    }

    /// Returns the index of the target for the next request, or `None` if all weights are zero.
    pub fn next(&mut self, targets: &[Target]) -> Option<usize> {
        self.credits.resize(targets.len(), 0);
        let mut total = 0;
        for (credit, target) in self.credits.iter_mut().zip(targets) {
            *credit += i64::from(target.weight);
            total += i64::from(target.weight);
        }
        let weighted = (0..targets.len()).filter(|&index| targets[index].weight > 0);
        let best = weighted.max_by_key(|&index| (self.credits[index], Reverse(index)))?;
        self.credits[best] -= total;
        Some(best)
    }
}
