//! Rate limits that endpoints name in their responses.
//!
//! An endpoint in need says how many requests per second it takes from all VMs
//! together, and says so in each response for as long as it is in need. Every
//! VM stores what each endpoint said last. VMs exchange [`Report`]s, and the
//! later one wins, so they may be lost or arrive in any order.
//!
//! A token bucket holds each limit. The primary dispatcher of a service uses
//! the rate for the VMs that it reaches. Other dispatchers, and VMs that reach
//! no dispatcher, use a small share, so that the sum stays near the limit while
//! VMs are lost or cut off. Buckets start without a whole request: a new
//! dispatcher does not know what its predecessor sent just before. Each VM's
//! own bucket starts at another level, so that VMs which lose their dispatcher
//! together do not send at the same moment.

use crate::core::time::Instant;
use std::time::Duration;

/// Share that a dispatcher uses that is not the primary one of its service.
const SECONDARY_SHARE: f64 = 0.15;

/// Share that all VMs together use that reach no dispatcher.
const LOCAL_SHARE: f64 = 0.5;

/// Smallest share that the primary dispatcher uses, however few VMs it reaches.
const MIN_PRIMARY_SHARE: f64 = 0.5;

/// Time over which unused requests are saved, beyond a single request.
const BURST_DURATION: Duration = Duration::from_millis(250);

/// Smallest rate that is applied, in requests per second; a response is the only way to learn
/// that a limit has ended.
const MIN_PER_S: f64 = 0.25;

/// Largest rate that is stored, in thousandths of a request per second.
const MAX_PER_1000_S: f64 = 1e9;

/// Rounding error that is ignored when a whole request is counted.
const TOKEN_TOLERANCE: f64 = 1e-6;

/// Maximum number of endpoints that are stored.
const MAX_ENTRIES: usize = 4_096;

record! {
    /// What an endpoint said about its limit.
    #[derive(Copy)]
    pub struct Report {
        /// Limit in requests per 1,000 seconds; `None` if the endpoint named none.
        pub per_1000_s: Option<u64>,
        /// Time since it said so, in microseconds.
        pub age_us: u64,
    }
}

/// Parses a limit in requests per second; returns it in requests per 1,000 seconds.
pub fn parse(text: &str) -> Option<u64> {
    let per_s: f64 = text.trim().parse().ok()?;
    let is_valid = per_s.is_finite() && per_s >= 0.0;
    is_valid.then(|| (per_s * 1_000.0).min(MAX_PER_1000_S) as u64)
}

/// Returns the share of the limits that a dispatcher uses which reaches `reached` of `members`
/// VMs.
pub fn dispatcher_share(is_primary: bool, reached: usize, members: usize) -> f64 {
    if !is_primary {
        return SECONDARY_SHARE;
    }
    let share = reached as f64 / members.max(1) as f64;
    share.clamp(MIN_PRIMARY_SHARE, 1.0)
}

/// Returns the share that a VM uses which reaches no dispatcher.
pub fn local_share(members: usize) -> f64 {
    LOCAL_SHARE / members.max(1) as f64
}

#[derive(Clone, Debug)]
struct Entry {
    endpoint: Box<str>,
    per_1000_s: Option<u64>,
    said_at: Instant,
    /// Requests that may be sent at once, as of `refilled_at`.
    tokens: f64,
    refilled_at: Instant,
    /// When a request was last counted or turned away.
    used_at: Instant,
}

impl Entry {
    /// Returns the rate that this process uses, in requests per second.
    fn rate(&self, share: f64) -> Option<f64> {
        let per_s = self.per_1000_s? as f64 / 1_000.0;
        Some(per_s.max(MIN_PER_S) * share)
    }

    fn tokens(&self, rate: f64, now: Instant) -> f64 {
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        let capacity = 1.0 + rate * BURST_DURATION.as_secs_f64();
        (self.tokens + rate * elapsed_s).min(capacity)
    }

    fn refill(&mut self, share: f64, now: Instant) {
        if let Some(rate) = self.rate(share) {
            self.tokens = self.tokens(rate, now);
        }
        self.refilled_at = now;
    }
}

/// Limits of the endpoints that ever named one.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Sorted by endpoint.
    entries: Vec<Entry>,
    share: f64,
    initial_tokens: f64,
}

impl Limits {
    /// Creates limits of which this process uses `share`. Buckets start with `initial_tokens`
    /// requests, less than one.
    pub fn new(share: f64, initial_tokens: f64) -> Self {
        Self {
            entries: Vec::new(),
            share,
            initial_tokens,
        }
    }

    fn position(&self, endpoint: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (*entry.endpoint).cmp(endpoint))
    }

    fn entry(&self, endpoint: &str) -> Option<&Entry> {
        self.position(endpoint)
            .ok()
            .map(|index| &self.entries[index])
    }

    /// Stores a report if it is later than the known one; returns whether the limit changed.
    pub fn merge(&mut self, endpoint: &str, report: Report, now: Instant) -> bool {
        let said_at = Instant(now.0.saturating_sub(report.age_us));
        let index = match self.position(endpoint) {
            Ok(index) => index,
            Err(_) if report.per_1000_s.is_none() => return false,
            Err(index) => {
                let entry = Entry {
                    endpoint: endpoint.into(),
                    per_1000_s: None,
                    said_at: Instant::default(),
                    tokens: self.initial_tokens,
                    refilled_at: now,
                    used_at: now,
                };
                self.entries.insert(index, entry);
                index
            }
        };
        let share = self.share;
        let entry = &mut self.entries[index];
        if said_at <= entry.said_at {
            return false;
        }
        entry.said_at = said_at;
        if entry.per_1000_s == report.per_1000_s {
            return false;
        }
        entry.refill(share, now);
        if entry.per_1000_s.is_none() {
            entry.tokens = self.initial_tokens;
        }
        entry.per_1000_s = report.per_1000_s;
        self.remove_oldest();
        true
    }

    fn remove_oldest(&mut self) {
        if self.entries.len() <= MAX_ENTRIES {
            return;
        }
        let ages = self.entries.iter().enumerate();
        if let Some((index, _)) = ages.min_by_key(|(_, entry)| entry.said_at) {
            self.entries.remove(index);
        }
    }

    /// Returns what an endpoint said last, if it ever named a limit.
    pub fn report(&self, endpoint: &str, now: Instant) -> Option<Report> {
        self.entry(endpoint).map(|entry| Report {
            per_1000_s: entry.per_1000_s,
            age_us: now.since(entry.said_at).as_micros() as u64,
        })
    }

    /// Returns whether an endpoint has a limit that a process does not know which has `theirs`.
    pub fn is_news(&self, endpoint: &str, theirs: Option<Report>, now: Instant) -> bool {
        let Some(own) = self.report(endpoint, now) else {
            return false;
        };
        let is_unlimited =
            theirs.is_none_or(|theirs| theirs.per_1000_s.is_none() && own.age_us < theirs.age_us);
        own.per_1000_s.is_some() && is_unlimited
    }

    /// Returns the rate that this process may use, in requests per second.
    pub fn rate(&self, endpoint: &str) -> Option<f64> {
        self.entry(endpoint)?.rate(self.share)
    }

    /// Returns how long a request waits for its turn that has `ahead` others before it.
    pub fn wait(&self, endpoint: &str, ahead: usize, now: Instant) -> Duration {
        let Some(entry) = self.entry(endpoint) else {
            return Duration::ZERO;
        };
        let Some(rate) = entry.rate(self.share) else {
            return Duration::ZERO;
        };
        let missing = ahead as f64 + 1.0 - TOKEN_TOLERANCE - entry.tokens(rate, now);
        Duration::from_secs_f64((missing / rate).max(0.0))
    }

    /// Counts a request to an endpoint. Returns `false` if the limit does not allow it.
    pub fn try_take(&mut self, endpoint: &str, now: Instant) -> bool {
        let share = self.share;
        let Ok(index) = self.position(endpoint) else {
            return true;
        };
        let entry = &mut self.entries[index];
        if entry.per_1000_s.is_none() {
            return true;
        }
        entry.refill(share, now);
        entry.used_at = now;
        let is_allowed = entry.tokens >= 1.0 - TOKEN_TOLERANCE;
        if is_allowed {
            entry.tokens -= 1.0;
        }
        is_allowed
    }

    /// Sets the share of the limits that this process uses from `now` on.
    pub fn set_share(&mut self, share: f64, now: Instant) {
        for entry in &mut self.entries {
            entry.refill(self.share, now);
        }
        self.share = share;
    }

    /// Resets the bucket of an endpoint that was not used for longer than `idle`.
    pub fn restart_after(&mut self, endpoint: &str, idle: Duration, now: Instant) {
        let initial_tokens = self.initial_tokens;
        if let Ok(index) = self.position(endpoint) {
            let entry = &mut self.entries[index];
            if now.since(entry.used_at) > idle {
                entry.tokens = initial_tokens;
                entry.refilled_at = now;
            }
        }
    }
}
