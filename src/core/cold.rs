//! Limits on the requests that cold endpoints get from all VMs together.
//!
//! An endpoint is cold for some time after its start, and crashes if it gets far
//! more requests than its service allows for cold endpoints. It says how long it
//! stays cold in its entry in the store and in responses. An endpoint that was
//! unreachable, or whose zone was evacuated, is assumed to be cold until it says
//! otherwise. VMs exchange [`Report`]s; the later one wins, so they may be lost or
//! arrive in any order.
//!
//! A token bucket holds the rate of each cold endpoint, with the shares of
//! [`rate_limit`]. It starts empty and saves no more than
//! one request. [`Rule::new`] chooses the rate so that the sum over all VMs stays
//! within the bound while requests are in transit and while two VMs each believe
//! that they are the dispatcher.
//!
//! Designed for services of 46 to 95 endpoints that are cold for 3 s after a
//! restart and take 3 requests per second meanwhile, with at most 12 in any one
//! second, at 200 to 700 requests per second for the service from 75 VMs.

use crate::core::{
    rate_limit,
    time::Instant, //
};
use std::time::Duration;

/// Window in which the requests to a cold endpoint are counted, plus the longest time for which a
/// request is in transit: permits of this time can arrive within one second.
const WINDOW_S: f64 = 1.5;

/// Sum of the shares that all VMs use at worst: two dispatchers that both reach all VMs, a
/// secondary one, and VMs that reach none.
const MAX_TOTAL_SHARE: f64 = 2.3;

/// Requests that the worst case has beyond the rates: one saved in the bucket of each of three
/// dispatchers, and three of VMs without a dispatcher that happen to send together.
const MAX_SAVED: f64 = 6.0;

/// Part of the share for rate limits that VMs without a dispatcher use for cold endpoints. They
/// do not coordinate, so that their sum varies.
const LOCAL_FRACTION: f64 = 0.3;

/// Smallest rate that is applied, in requests per second; without any request it would never be
/// known whether an endpoint is reachable again.
const MIN_RATE: f64 = 0.25;

/// How much later than it was written an entry may be seen. An entry that says nothing of a cold
/// start does not end an assumption that is younger.
const ENTRY_DELAY: Duration = Duration::from_millis(1_000);

/// Rounding error that is ignored when a whole request is counted.
const TOKEN_TOLERANCE: f64 = 1e-6;

/// Maximum number of endpoints that are stored.
const MAX_ENTRIES: usize = 4_096;

/// End of the cold time of an endpoint that has not been reached again.
const NOT_REACHED: Instant = Instant(u64::MAX);

/// Returns the share that a VM uses which reaches no dispatcher.
pub fn local_share(members: usize) -> f64 {
    rate_limit::local_share(members) * LOCAL_FRACTION
}

/// What a service says about its cold endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// How long endpoints are cold after their start.
    pub duration: Duration,
    /// Requests per second that one dispatcher sends to a cold endpoint.
    pub rate: f64,
}

impl Rule {
    /// Creates the rule of a service whose cold endpoints handle `per_s` requests per second and
    /// may get `per_s * factor + tolerance` in any one second.
    pub fn new(duration: Duration, per_s: f64, factor: f64, tolerance: f64) -> Self {
        let allowed = per_s * factor + tolerance - MAX_SAVED;
        let rate = per_s.min(allowed / (MAX_TOTAL_SHARE * WINDOW_S));
        Self {
            duration,
            rate: rate.max(MIN_RATE),
        }
    }
}

record! {
    /// What is known of an endpoint's cold time.
    #[derive(Copy)]
    pub struct Report {
        /// Time until the endpoint is no longer cold, in microseconds; the maximum if it has to be
        /// reached first.
        pub left_us: u64,
        /// Time since this became known, in microseconds.
        pub age_us: u64,
    }
}

/// What an endpoint's entry and the evacuations of its zone say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    until: Instant,
    said_at: Instant,
}

impl Statement {
    /// Returns the statement of an entry that is seen at `now`, after `known`.
    ///
    /// `is_new` tells whether the entry is that of another process than before.
    pub fn of_entry(known: Option<Self>, cold_ms: u64, is_new: bool, now: Instant) -> Self {
        let delay = match cold_ms {
            0 => ENTRY_DELAY,
            _ => Duration::ZERO,
        };
        let entry = Self {
            until: now.after(Duration::from_millis(cold_ms)),
            said_at: Instant(now.0.saturating_sub(delay.as_micros() as u64)),
        };
        match known {
            Some(known) if !is_new && known.said_at >= entry.said_at => known,
            _ => entry,
        }
    }

    /// Returns the statement after the evacuation of the endpoint's zone has ended at `now`.
    pub fn after_evacuation(self, duration: Duration, now: Instant) -> Self {
        Self {
            until: self.until.max(now.after(duration)),
            said_at: now,
        }
    }

    /// Returns the statement as a report.
    pub fn report(self, now: Instant) -> Report {
        Report {
            left_us: self.until.since(now).as_micros() as u64,
            age_us: now.since(self.said_at).as_micros() as u64,
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    endpoint: Box<str>,
    until: Instant,
    said_at: Instant,
    rate: f64,
    /// Requests that may be sent at once, as of `refilled_at`; at most one.
    tokens: f64,
    refilled_at: Instant,
    /// When a request was last counted or turned away.
    used_at: Instant,
}

impl Entry {
    fn is_cold(&self, now: Instant) -> bool {
        now < self.until
    }

    fn tokens(&self, share: f64, now: Instant) -> f64 {
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        (self.tokens + self.rate * share * elapsed_s).min(1.0)
    }

    fn refill(&mut self, share: f64, now: Instant) {
        self.tokens = self.tokens(share, now);
        self.refilled_at = now;
    }
}

/// Cold times and token buckets of endpoints.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// Sorted by endpoint.
    entries: Vec<Entry>,
    share: f64,
    initial_tokens: f64,
}

impl Endpoints {
    /// Creates buckets of which this process uses `share`. They start with `initial_tokens`
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
        let position = self.position(endpoint).ok();
        position.map(|index| &self.entries[index])
    }

    /// Stores a report if it is later than the known one; returns whether the endpoint became
    /// cold by it.
    pub fn merge(&mut self, endpoint: &str, report: Report, rule: Rule, now: Instant) -> bool {
        let said_at = Instant(now.0.saturating_sub(report.age_us));
        let until = match report.left_us {
            u64::MAX => NOT_REACHED,
            left => now.after(Duration::from_micros(left)),
        };
        self.set(endpoint, until, said_at, rule, now)
    }

    /// Records that an endpoint could not be reached; it is cold until it is reached again.
    pub fn on_unreachable(&mut self, endpoint: &str, rule: Rule, now: Instant) -> bool {
        self.set(endpoint, NOT_REACHED, now, rule, now)
    }

    /// Records a response of an endpoint, and for how long it says that it stays cold, if it does.
    pub fn on_response(
        &mut self,
        endpoint: &str,
        said: Option<Duration>,
        rule: Rule,
        now: Instant,
    ) -> bool {
        let is_back = self
            .entry(endpoint)
            .is_some_and(|entry| entry.until == NOT_REACHED);
        let left = match said {
            Some(left) => left.min(rule.duration),
            None if is_back => rule.duration,
            None => return false,
        };
        self.set(endpoint, now.after(left), now, rule, now)
    }

    fn set(
        &mut self,
        endpoint: &str,
        until: Instant,
        said_at: Instant,
        rule: Rule,
        now: Instant,
    ) -> bool {
        let index = self.position(endpoint).unwrap_or_else(|index| {
            let entry = Entry {
                endpoint: endpoint.into(),
                until: Instant::default(),
                said_at: Instant::default(),
                rate: rule.rate,
                tokens: self.initial_tokens,
                refilled_at: now,
                used_at: now,
            };
            self.entries.insert(index, entry);
            index
        });
        let entry = &mut self.entries[index];
        if entry.rate != rule.rate {
            entry.refill(self.share, now);
            entry.rate = rule.rate;
        }
        if said_at <= entry.said_at {
            return false;
        }
        let became_cold = !entry.is_cold(now) && now < until;
        if became_cold {
            entry.tokens = self.initial_tokens;
            entry.refilled_at = now;
        }
        entry.until = until;
        entry.said_at = said_at;
        if self.entries.len() > MAX_ENTRIES {
            let ages = self.entries.iter().enumerate();
            if let Some((oldest, _)) = ages.min_by_key(|(_, entry)| (entry.until, entry.said_at)) {
                self.entries.remove(oldest);
            }
        }
        became_cold
    }

    /// Forgets all endpoints, since their service has no rule.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Returns what is known of an endpoint.
    pub fn report(&self, endpoint: &str, now: Instant) -> Option<Report> {
        self.entry(endpoint).map(|entry| Report {
            left_us: match entry.until {
                NOT_REACHED => u64::MAX,
                until => until.since(now).as_micros() as u64,
            },
            age_us: now.since(entry.said_at).as_micros() as u64,
        })
    }

    /// Returns whether an endpoint is cold, which a process does not know that has `theirs`.
    pub fn is_news(&self, endpoint: &str, theirs: Option<Report>, now: Instant) -> bool {
        let Some(own) = self.report(endpoint, now) else {
            return false;
        };
        let is_unknown =
            theirs.is_none_or(|theirs| theirs.left_us == 0 && own.age_us < theirs.age_us);
        own.left_us > 0 && is_unknown
    }

    /// Returns the number of cold endpoints.
    pub fn count(&self, now: Instant) -> usize {
        let entries = self.entries.iter();
        entries.filter(|entry| entry.is_cold(now)).count()
    }

    /// Returns the rate that this process may use for an endpoint, if that is cold.
    pub fn rate(&self, endpoint: &str, now: Instant) -> Option<f64> {
        let entry = self.entry(endpoint)?;
        entry.is_cold(now).then_some(entry.rate * self.share)
    }

    /// Returns how long a request waits for its turn that has `ahead` others before it.
    pub fn wait(&self, endpoint: &str, ahead: usize, now: Instant) -> Duration {
        let Some(entry) = self.entry(endpoint).filter(|entry| entry.is_cold(now)) else {
            return Duration::ZERO;
        };
        let missing = ahead as f64 + 1.0 - TOKEN_TOLERANCE - entry.tokens(self.share, now);
        let wait = Duration::from_secs_f64((missing / (entry.rate * self.share)).max(0.0));
        wait.min(entry.until.since(now))
    }

    /// Counts a request to an endpoint. Returns `false` if the endpoint is too cold for it.
    pub fn try_take(&mut self, endpoint: &str, now: Instant) -> bool {
        let share = self.share;
        let Ok(index) = self.position(endpoint) else {
            return true;
        };
        let entry = &mut self.entries[index];
        if !entry.is_cold(now) {
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

    /// Sets the share of the rates that this process uses from `now` on.
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
