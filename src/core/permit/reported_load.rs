//! Load that endpoints report in their responses.
//!
//! Designed for endpoints with two slots whose hosts are slow for a fifth of the
//! time, three times as slow for 400 ms at a time, and which may have requests of
//! other dispatchers. Services whose endpoints report nothing are not affected.
//!
//! A report has the numbers of running requests, waiting requests and slots, and
//! optionally the time that work takes on the host at this moment, in percent of the
//! usual time. A report is ignored if it is
//!
//! - unreadable: not three or four numbers that are separated by commas;
//! - impossible: without slots, with more running requests than slots, or with a
//!   number beyond the limits below;
//! - stale: older than [`MAX_AGE`], or older than a report that is known.
//!
//! A response without a report changes nothing: what the endpoint reported before
//! holds until it is stale.

use crate::core::{
    permit::{
        endpoint::State,
        Dispatcher,
        Id, //
    },
    time::Instant,
};
use std::time::Duration;

/// Age above which a report is ignored.
pub const MAX_AGE: Duration = Duration::from_millis(1_000);

/// How long a host is slow at a time.
pub const SLOW_PERIOD: Duration = Duration::from_millis(400);

/// Largest number of slots that is believed; a record of an endpoint holds as many.
const MAX_SLOTS: u32 = u16::MAX as u32;

/// Largest number of waiting requests that is believed; queues of endpoints hold a few.
const MAX_WAITING: u32 = 100_000;

/// Range of the slowness that is believed, in percent.
const SLOWNESS_RANGE: (u32, u32) = (10, 5_000);

/// Slowness of a host that works at its usual speed, in percent.
const USUAL_SLOWNESS: u32 = 100;

/// Slowness above which a host counts as slow in metrics.
const SLOW_HOST: f64 = 1.5;

/// Reports that are kept of an endpoint; those of about a second.
const MAX_HISTORY: usize = 8;

/// Maximum number of endpoints whose reports a VM keeps.
const MAX_ENTRIES: usize = 4_096;

record! {
    /// Load that an endpoint reported.
    #[derive(Copy)]
    pub struct Report {
        /// Running requests.
        pub running: u32,
        /// Waiting requests.
        pub waiting: u32,
        /// Slots.
        pub slots: u32,
        /// How long work takes, in percent of the usual time.
        pub slowness: u32,
    }
}

/// Why a report is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It is not three or four numbers that are separated by commas.
    Unreadable,
    /// Its numbers cannot be true.
    Impossible,
}

impl Error {
    /// Returns its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreadable => "unreadable",
            Self::Impossible => "impossible",
        }
    }
}

/// Parses a report.
pub fn parse(text: &str) -> Result<Report, Error> {
    let mut numbers = [0, 0, 0, USUAL_SLOWNESS];
    let mut count = 0;
    for part in text.split(',') {
        let number = numbers.get_mut(count).ok_or(Error::Unreadable)?;
        *number = parse_number(part)?;
        count += 1;
    }
    if count < 3 {
        return Err(Error::Unreadable);
    }
    let [running, waiting, slots, slowness] = numbers;
    let report = Report {
        running,
        waiting,
        slots,
        slowness,
    };
    match report.is_possible() {
        true => Ok(report),
        false => Err(Error::Impossible),
    }
}

/// Parses a number; one that is too large for its type is readable, but impossible.
fn parse_number(text: &str) -> Result<u32, Error> {
    let text = text.trim_matches([' ', '\t']);
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Error::Unreadable);
    }
    Ok(text.parse().unwrap_or(u32::MAX))
}

impl Report {
    /// Tells whether the numbers can be true.
    pub fn is_possible(&self) -> bool {
        let (min_slowness, max_slowness) = SLOWNESS_RANGE;
        (1..=MAX_SLOTS).contains(&self.slots)
            && self.running <= self.slots
            && self.waiting <= MAX_WAITING
            && (min_slowness..=max_slowness).contains(&self.slowness)
    }

    fn slowness(&self) -> f64 {
        f64::from(self.slowness) / f64::from(USUAL_SLOWNESS)
    }
}

/// Load of one endpoint, as its dispatcher knows it.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Latest reports with the times at which the endpoint sent them, in order.
    history: Vec<(Instant, Report)>,
    /// Requests that did not come from this dispatcher, as of the latest report.
    others: f64,
}

impl Load {
    /// Stores a report of an endpoint with `slots`, which had `own` permits of this dispatcher
    /// when it sent the report. Returns whether the report is used.
    pub fn record(
        &mut self,
        report: Report,
        age: Duration,
        (slots, own): (usize, usize),
        now: Instant,
    ) -> bool {
        let at = Instant(now.0.saturating_sub(age.as_micros() as u64));
        let is_latest = self.history.last().is_none_or(|&(last, _)| last < at);
        let is_possible = report.is_possible() && report.running as usize <= slots;
        if age > MAX_AGE || !is_latest || !is_possible {
            return false;
        }
        if self.history.len() >= MAX_HISTORY {
            self.history.remove(0);
        }
        self.history.push((at, report));
        self.others = (f64::from(report.running + report.waiting) - own as f64).max(0.0);
        true
    }

    /// Returns the latest report and its age, unless it is stale.
    fn latest(&self, now: Instant) -> Option<(Report, Duration)> {
        let &(at, report) = self.history.last()?;
        let age = now.since(at);
        (age <= MAX_AGE).then_some((report, age))
    }

    /// Returns how slow the host is expected to be, as a multiple of its usual service times.
    ///
    /// A moment of slowness that was reported some time ago has ended with a likelihood that grows
    /// with the age of the report.
    pub fn host_slowness(&self, now: Instant) -> f64 {
        let Some((report, age)) = self.latest(now) else {
            return 1.0;
        };
        let left = SLOW_PERIOD.saturating_sub(age).as_secs_f64() / SLOW_PERIOD.as_secs_f64();
        1.0 + (report.slowness() - 1.0) * left
    }

    /// Returns how long work of `work_us` takes that starts now, if its host is as slow as it
    /// reported for as long as that is likely to last.
    pub fn duration_us(&self, work_us: f64, now: Instant) -> f64 {
        let Some((report, age)) = self.latest(now) else {
            return work_us;
        };
        let slowness = report.slowness();
        // A report comes at any time within the slow period, so half of what is left remains, and
        // the period has ended with the likelihood that it is over.
        let left_us = SLOW_PERIOD.saturating_sub(age).as_micros() as f64;
        let slow_us = left_us * left_us / (2.0 * SLOW_PERIOD.as_micros() as f64);
        let done_us = slow_us / slowness;
        if done_us >= work_us {
            work_us * slowness
        } else {
            slow_us + work_us - done_us
        }
    }

    /// Returns the number of requests at the endpoint that did not come from this dispatcher, if
    /// each takes `service_us`.
    pub fn others(&self, service_us: f64, now: Instant) -> f64 {
        let Some((_, age)) = self.latest(now) else {
            return 0.0;
        };
        let left = 1.0 - age.as_micros() as f64 / service_us.max(1.0);
        self.others * left.max(0.0)
    }

    /// Returns how long a request that ended now would have taken on a host at its usual speed.
    ///
    /// At each moment of the request the host is taken to have been as slow as the nearest report
    /// says. Reports from longer before the request than a slow period lasts say nothing about it.
    pub fn usual_us(&self, took_us: f64, now: Instant) -> f64 {
        let end_us = now.0 as f64;
        let begin_us = end_us - took_us;
        let oldest_us = begin_us - SLOW_PERIOD.as_micros() as f64;
        let first = self
            .history
            .partition_point(|(at, _)| (at.0 as f64) < oldest_us);
        let history = &self.history[first..];
        if history.is_empty() {
            return took_us;
        }
        let mut usual_us = 0.0;
        let mut from_us = begin_us;
        for (index, (at, report)) in history.iter().enumerate() {
            let next = history.get(index + 1);
            let until_us = next.map_or(end_us, |(next, _)| (at.0 as f64 + next.0 as f64) / 2.0);
            let until_us = until_us.min(end_us);
            if until_us > from_us {
                usual_us += (until_us - from_us) / report.slowness();
                from_us = until_us;
            }
        }
        usual_us
    }
}

#[derive(Clone, Debug)]
struct Entry {
    endpoint: Box<str>,
    at: Instant,
    report: Result<Report, Error>,
}

/// Latest reports of endpoints, as a VM read them.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    /// Sorted by endpoint.
    entries: Vec<Entry>,
}

impl Reports {
    /// Stores what an endpoint reported now; an unusable report replaces the one before. Returns
    /// whether the endpoint's reports begin or end to be unusable.
    pub fn record(&mut self, endpoint: &str, report: Result<Report, Error>, now: Instant) -> bool {
        let entry = Entry {
            endpoint: endpoint.into(),
            at: now,
            report,
        };
        if let Ok(index) = self.position(endpoint) {
            let was_usable = self.entries[index].report.is_ok();
            self.entries[index] = entry;
            return was_usable != report.is_ok();
        }
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.retain(|entry| now.since(entry.at) <= MAX_AGE);
        }
        if self.entries.len() < MAX_ENTRIES {
            let index = self.position(endpoint).unwrap_or_else(|index| index);
            self.entries.insert(index, entry);
        }
        report.is_err()
    }

    /// Returns the latest report of an endpoint and its age, unless it is stale.
    pub fn latest(&self, endpoint: &str, now: Instant) -> Option<(Report, Duration)> {
        let entry = &self.entries[self.position(endpoint).ok()?];
        let age = now.since(entry.at);
        (age <= MAX_AGE).then_some((entry.report.ok()?, age))
    }

    fn position(&self, endpoint: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (*entry.endpoint).cmp(endpoint))
    }
}

impl Dispatcher {
    /// Stores the load that the endpoint of a permit reported `age` ago, before the permit ends.
    /// Returns whether the report is used.
    pub fn record_load(&mut self, id: Id, report: Report, age: Duration, now: Instant) -> bool {
        let holds_permit =
            |endpoint: &&mut State| endpoint.permits.iter().any(|other| other.id == id);
        let Some(endpoint) = self.endpoints.iter_mut().find(holds_permit) else {
            return false;
        };
        let at = Instant(now.0.saturating_sub(age.as_micros() as u64));
        let own = endpoint
            .permits
            .iter()
            .filter(|permit| permit.granted_at <= at);
        let own = own.count();
        endpoint
            .reported_load
            .record(report, age, (endpoint.slots, own), now)
    }

    /// Returns how many listed endpoints have reported their load lately, and how many of these
    /// have slow hosts.
    pub fn reporting_counts(&self, now: Instant) -> (usize, usize) {
        let listed = self.endpoints.iter().filter(|endpoint| endpoint.is_listed);
        let reporting = listed.filter(|endpoint| endpoint.reported_load.latest(now).is_some());
        let slow = reporting
            .clone()
            .filter(|endpoint| endpoint.host_slowness(now) > SLOW_HOST);
        (reporting.clone().count(), slow.count())
    }
}
