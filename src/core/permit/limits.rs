//! Limits on what endpoints get beyond their slots: rate limits that they name, cold endpoints,
//! and evacuations.

use crate::core::{
    cold,
    permit::{
        endpoint::State,
        Dispatcher, //
    },
    rate_limit::{
        self,
        Report, //
    },
    time::Instant,
};

impl Dispatcher {
    /// Sets whether this is the dispatcher that requesting VMs try first, and how many of the
    /// `members` it reaches.
    pub fn set_role(&mut self, is_primary: bool, reached: usize, members: usize, now: Instant) {
        self.is_primary = is_primary;
        let share = rate_limit::dispatcher_share(is_primary, reached, members);
        self.rate_limits.set_share(share, now);
        self.cold.set_share(share, now);
    }

    /// Stores what an endpoint said about its rate limit.
    pub fn merge_rate_limit(&mut self, endpoint: &str, report: Report, now: Instant) {
        self.rate_limits.merge(endpoint, report, now);
    }

    /// Returns what an endpoint said last about its rate limit, if it ever named one.
    pub fn rate_limit(&self, endpoint: &str, now: Instant) -> Option<Report> {
        self.rate_limits.report(endpoint, now)
    }

    /// Returns how long a request waits because of the rate limit of an endpoint, with `ahead`
    /// others before it.
    pub(super) fn rate_wait_us(&self, endpoint: &State, ahead: usize, now: Instant) -> f64 {
        let by_limit = self.rate_limits.wait(&endpoint.id, ahead, now);
        let wait = by_limit.max(self.cold.wait(&endpoint.id, ahead, now));
        wait.as_micros() as f64
    }

    /// Returns the requests per second that an endpoint may get from this dispatcher, if they are
    /// limited.
    pub(super) fn max_rate(&self, endpoint: &str, now: Instant) -> Option<f64> {
        let by_limit = self.rate_limits.rate(endpoint);
        let by_cold = self.cold.rate(endpoint, now);
        match (by_limit, by_cold) {
            (Some(by_limit), Some(by_cold)) => Some(by_limit.min(by_cold)),
            _ => by_limit.or(by_cold),
        }
    }

    /// Stores what is known of the cold time of an endpoint.
    pub fn merge_cold(
        &mut self,
        endpoint: &str,
        report: cold::Report,
        rule: cold::Rule,
        now: Instant,
    ) {
        self.cold.merge(endpoint, report, rule, now);
    }

    /// Returns what is known of the cold time of an endpoint.
    pub fn cold(&self, endpoint: &str, now: Instant) -> Option<cold::Report> {
        self.cold.report(endpoint, now)
    }

    /// Returns the number of cold endpoints whose requests are limited.
    pub fn cold_count(&self, now: Instant) -> usize {
        self.cold.count(now)
    }

    /// Ends all limits of cold endpoints, since the service has no rule for them.
    pub fn clear_cold(&mut self) {
        self.cold.clear();
    }

    /// Sets which endpoints are in an evacuated zone and get no permits unless they own keys.
    pub fn set_evacuated(&mut self, is_evacuated: impl Fn(&str) -> bool) {
        for endpoint in &mut self.endpoints {
            endpoint.is_evacuated = is_evacuated(&endpoint.zone);
        }
    }

    /// Returns whether all endpoints that could get requests are in evacuated zones.
    pub(super) fn is_evacuated(&self) -> bool {
        let endpoints = self.endpoints.iter();
        let mut open = endpoints.filter(|endpoint| endpoint.is_listed && !endpoint.is_leaving);
        let first = open.next();
        first.is_some_and(|first| first.is_evacuated) && open.all(|endpoint| endpoint.is_evacuated)
    }
}
