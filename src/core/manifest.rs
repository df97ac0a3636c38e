//! What an operator has put in force: services, routes and limits.
//!
//! A manifest is taken whole. Versions only go forward; whoever holds one
//! keeps the highest that it has seen.

use std::cmp::Reverse;

record! {
    /// One version of the configuration.
    pub struct Manifest {
        /// Version; a higher one replaces a lower one.
        pub version: u64,
        /// Services, sorted by name.
        pub services: Vec<Service>,
        /// Hosts, sorted by name.
        pub hosts: Vec<Host>,
        /// Bounds on what a caller may send.
        pub limits: Limits,
    }

    /// A set of endpoints that run the same work.
    pub struct Service {
        /// Name.
        pub name: Box<str>,
        /// Whether each key belongs to one endpoint.
        pub is_keyed: bool,
        /// Most connections to one endpoint, all VMs together.
        pub connections: u32,
    }

    /// The routes of one host.
    pub struct Host {
        /// Name, without a port.
        pub name: Box<str>,
        /// Routes, those with the longest prefix first.
        pub routes: Vec<Route>,
    }

    /// How requests under a path prefix are handled.
    pub struct Route {
        /// Name.
        pub name: Box<str>,
        /// Start of the paths; ends with a slash.
        pub prefix: Box<str>,
        /// What may be repeated.
        pub repeat: Idempotency,
        /// Longest time that a caller is kept waiting, in milliseconds.
        pub timeout_ms: u64,
        /// Response time that is aimed at, in milliseconds.
        pub goal_ms: u64,
        /// Rank; 0 goes first.
        pub rank: u8,
        /// Most endpoints that one request may run on.
        pub attempts: u32,
        /// Services that share the requests by weight.
        pub parts: Vec<Target>,
    }

    /// A service's share of a route.
    pub struct Target {
        /// Service.
        pub service: Box<str>,
        /// Weight among the parts of the route.
        pub weight: u32,
    }

    /// Bounds on what a caller may send.
    pub struct Limits {
        /// Largest request head, in bytes.
        pub head_bytes: usize,
        /// Largest request body, in bytes.
        pub body_bytes: u64,
        /// How long a connection may stay idle, in milliseconds.
        pub idle_ms: u64,
    }
}

key! {
    /// Whether a request may run more than once.
    pub enum Idempotency {
        /// It may.
        Idempotent,
        /// It may not.
        Once,
        /// It may not, and its body is large.
        Upload,
    }
}

impl Idempotency {
    /// Tells whether a request may run more than once.
    pub fn allows_repeat(self) -> bool {
        self == Self::Idempotent
    }
}

impl Manifest {
    /// Sorts what is looked up by name or prefix.
    pub fn sort(&mut self) {
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.hosts.sort_by(|a, b| a.name.cmp(&b.name));
        for host in &mut self.hosts {
            host.routes.sort_by_key(|route| Reverse(route.prefix.len()));
        }
    }

    /// Finds the route of a path: the longest prefix of its host that begins it.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let found = self
            .hosts
            .binary_search_by(|host| (*host.name).cmp(name))
            .ok()?;
        let routes = &self.hosts[found].routes;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Finds a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|service| (*service.name).cmp(name));
        found.ok().map(|index| &self.services[index])
    }
}

/// Deals the requests of a route out to its parts by weight.
///
/// Smooth weighted round robin: after any number of requests each part has
/// its share to within one request.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    credits: Vec<i64>,
}

impl RoundRobin {
    /// Starts with credits as if `offset` requests had been dealt.
    pub fn new(parts: &[Target], offset: usize) -> Self {
        let mut dealer = Self::default();
        let total: usize = parts.iter().map(|part| part.weight as usize).sum();
        for _ in 0..offset % total.max(1) {
            dealer.next(parts);
        }
        dealer
    }

    /// Chooses the part of the next request; `None` if no part has a weight.
    pub fn next(&mut self, parts: &[Target]) -> Option<usize> {
        self.credits.resize(parts.len(), 0);
        let mut total = 0;
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += i64::from(part.weight);
            total += i64::from(part.weight);
        }
        let weighted = (0..parts.len()).filter(|&index| parts[index].weight > 0);
        let best = weighted.max_by_key(|&index| (self.credits[index], Reverse(index)))?;
        self.credits[best] -= total;
        Some(best)
    }
}
