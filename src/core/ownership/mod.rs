//! Exclusive ownership of key ranges by endpoints.
//!
//! Each service has one [`Table`] that divides its keys into ranges and names
//! the owner of each range. The table is an object in the platform's store and
//! is only replaced by compare-and-swap on its revision. It also names the VM
//! that holds the claim, which is the right to act as [`Planner`]. The planner
//! leases ranges to their owners as the table says, renews the leases, and
//! writes a new table before it changes an owner. `docs/design/platform.md`
//! gives the reasons for this design.
//!
//! At most one endpoint holds a key at any time, because of these rules:
//!
//! - A lease runs from the arrival of the grant at the endpoint. The planner
//!   therefore bounds its end by the time at which it sent the grant, the
//!   longest delivery time and the slowest permitted clock.
//! - A reachable owner gives up keys by a release; the lease of an unreachable
//!   owner has to expire. Only then is the next owner granted the keys. This also
//!   holds for an owner that was restarted: a grant that was sent late may have
//!   reached the new process, which accepts any fencing token at first.
//! - Each change of owner gets a fencing token above all earlier ones, which is
//!   stored before it is used. A new planner raises the token at every owner,
//!   so the owner refuses further renewals by the previous planner.
//! - A planner sends grants only for a bounded time after its claim was last
//!   confirmed.
//! - If the store was restored from an old copy, keys may be held that the table
//!   gives to others. The next planner therefore grants nothing until each other
//!   process has told that it stopped planning, and what it planned. If the table
//!   does not include all of that, or a process was started lately or does not
//!   answer, it waits until all leases from before have expired. Its fencing
//!   tokens are above all those of earlier eras of the store.
//! - No lease is longer than the table allows. A planner that needs longer ones
//!   writes a table that allows them first, so its successor knows how long the
//!   leases of endpoints that it cannot reach may last.

mod changes;
mod history;
mod order;
mod table;

pub use history::{
    is_restored,
    possible_planners,
    Basis,
    History,
    Planned, //
};
pub use order::{
    Completion,
    Grant,
    Outcome,
    Release, //
};
pub use table::{
    Claim,
    Owner,
    Range,
    Table, //
};

use crate::core::{rebalance::Rates, registry::Endpoint, time::Instant};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Shortest lease of a key range.
const MIN_LEASE_DURATION: Duration = Duration::from_millis(1_300);

/// Longest lease of a key range, even if endpoints allow more.
const MAX_LEASE_DURATION: Duration = Duration::from_millis(5_200);

/// Number of renewals sent within one lease duration.
const RENEWALS_PER_LEASE: u32 = 4;

/// Highest rate of grants sent by one planner.
const MAX_GRANTS_PER_S: u64 = 320;

/// Percentage by which an endpoint's clock may run slow, as bounded by the platform.
const MAX_CLOCK_DRIFT_PERCENT: u32 = 2;

/// Time after which an unanswered order fails and its connection is reset.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// Allowance for the granularity of timers.
const TIMER_MARGIN: Duration = Duration::from_millis(20);

/// How long a planner may send grants after its claim was last confirmed.
///
/// Longer than the store outages seen so far, so that leases are still renewed
/// during an outage.
pub const CLAIM_VALIDITY: Duration = Duration::from_secs(12);

/// Time within which the other VMs usually tell what they planned before a restore of the store.
const VERIFICATION_TIME: Duration = Duration::from_millis(250);

/// Time without an answer after which an endpoint gets no grants until it answers a probe.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(380);

/// Interval between probes of a silent endpoint that owns keys.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Interval between probes of a silent endpoint that owns no keys.
const IDLE_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// A side effect that the caller performs for the planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Replaces the table in the store.
    Write(Table),
    /// Sends grants in sequence and stops at the first that fails.
    Grant(Arc<Endpoint>, Vec<Grant>),
    /// Asks an endpoint to release keys.
    Release(Arc<Endpoint>, Release),
    /// Tests whether an endpoint answers, by a release that has no effect.
    Probe(Arc<Endpoint>, Release),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The previous owner may hold the keys until `expires_at`.
    Revoking {
        previous: Owner,
        expires_at: Instant,
        is_release_sent: bool,
    },
    /// The owner may be granted the keys but has not confirmed a grant.
    Granting,
    /// The owner holds the keys.
    Held,
}

/// A key range and the state of its lease.
#[derive(Clone, Debug)]
struct Segment {
    from: u16,
    to: u16,
    owner: Option<Owner>,
    fence: u64,
    phase: Phase,
    /// Time by which all leases of the current owner have expired.
    lease_end: Instant,
    /// `lease_end` without the pending grant, if there is one.
    prior_lease_end: Option<Instant>,
    handover: Option<Box<str>>,
    changed_at: Instant,
}

/// Communication state of an endpoint.
#[derive(Clone, Debug)]
struct Session {
    endpoint: Arc<Endpoint>,
    is_listed: bool,
    is_order_pending: bool,
    /// Whether the pending order is a grant.
    is_grant_pending: bool,
    /// Earliest time of the next order.
    next_order: Instant,
    silent_since: Option<Instant>,
    /// Whether grants have to wait for a table with higher fencing tokens.
    needs_new_fence: bool,
}

impl Session {
    fn is_silent(&self, now: Instant) -> bool {
        self.silent_since
            .is_some_and(|since| now.since(since) >= SILENCE_TIMEOUT)
    }

    fn owner(&self) -> Owner {
        Owner {
            endpoint: self.endpoint.id.clone(),
            born: self.endpoint.born,
        }
    }
}

/// A planned change to the table.
#[derive(Clone, Debug)]
struct Change {
    from: u16,
    to: u16,
    owner: Option<Owner>,
    previous: Option<Owner>,
    fence: u64,
}

/// Ownership of a key, as needed to dispatch requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status<'a> {
    /// The endpoint holds the key.
    Held(&'a str),
    /// The endpoint is about to get the key.
    Moving(&'a str),
    /// No endpoint holds the key for about this long.
    Unowned(Duration),
}

/// State machine of the VM that holds the claim of a service.
///
/// It performs no I/O: [`Planner::tick`] returns the [`Action`]s to perform,
/// and their results are passed back to the `on_*` methods.
#[derive(Clone, Debug)]
pub struct Planner {
    table: Table,
    revision: u64,
    segments: Vec<Segment>,
    sessions: Vec<Session>,
    /// When the claim was last known to be valid; `None` if that has to be found out.
    claim_confirmed: Option<Instant>,
    /// Revision at which this planner took the claim.
    claim_revision: u64,
    /// Earlier planners that may still send grants.
    predecessors: Vec<Claim>,
    /// Time by which the last of them has to stop.
    predecessors_until: Instant,
    /// Time until which no keys are granted, since they may have owners that an unverified table
    /// does not name.
    barred_until: Instant,
    /// Time by which all leases have expired that the basis of an unverified table may not include,
    /// as far as other processes have told.
    diverged_until: Instant,
    claimed_at: Instant,
    max_lease_duration: Duration,
    /// Changes of the table that is being written.
    changes: Vec<Change>,
    last_fence: u64,
    is_write_pending: bool,
    is_outdated: bool,
    next_write: Instant,
    next_rebalancing: Instant,
    /// When the latest new endpoint was first seen.
    last_join: Instant,
    move_count: u64,
}

impl Planner {
    /// Creates a planner from the stored table that contains its claim.
    pub fn new(table: Table, revision: u64, max_lease_duration: Duration, now: Instant) -> Self {
        let predecessor_wait = if table.earlier.is_empty() {
            Duration::ZERO
        } else {
            CLAIM_VALIDITY
        };
        let predecessors_until = now.after(predecessor_wait);
        let longest_lease = match table.earlier.is_empty() {
            true => table.longest_lease(),
            // What is granted just before the claim expires, see `lease_limit`.
            false => MIN_LEASE_DURATION,
        };
        let lease_end = predecessors_until.after(max_time_to_expiry(longest_lease));
        let segments = table.ranges.iter().map(|range| Segment {
            from: range.from,
            to: range.to,
            owner: range.owner.clone(),
            fence: range.fence,
            phase: match &range.previous {
                Some(previous) => Phase::Revoking {
                    previous: previous.clone(),
                    expires_at: lease_end,
                    is_release_sent: false,
                },
                None => Phase::Granting,
            },
            lease_end,
            prior_lease_end: None,
            handover: None,
            changed_at: now,
        });
        Self {
            segments: segments.collect(),
            sessions: Vec::new(),
            claim_confirmed: Some(now),
            claim_revision: revision,
            predecessors: table.earlier.clone(),
            predecessors_until,
            barred_until: match table.unverified {
                Some(_) => lease_end,
                None => Instant::default(),
            },
            diverged_until: now,
            claimed_at: now,
            max_lease_duration,
            changes: Vec::new(),
            last_fence: table.last_fence,
            is_write_pending: false,
            is_outdated: false,
            next_write: now,
            next_rebalancing: now,
            last_join: now,
            move_count: 0,
            revision,
            table,
        }
    }

    /// Handles the notice of an earlier planner that it has stopped sending
    /// grants after it read the table at `revision`.
    ///
    /// A notice with a revision before this planner's claim is ignored, since
    /// its sender may have taken the claim again after that revision.
    pub fn on_predecessor_yielded(
        &mut self,
        claim: &Claim,
        revision: u64,
        history: History,
        now: Instant,
    ) {
        if revision < self.claim_revision || !self.predecessors.contains(claim) {
            return;
        }
        self.verify(claim, history, now);
        self.remove_predecessors(&|other| other == claim, now);
    }

    /// Checks the basis of an unverified table against what this process planned before it took
    /// the claim.
    pub fn on_own_history(&mut self, history: History, now: Instant) {
        self.verify(&self.table.claim.clone(), history, now);
        if self.predecessors.is_empty() {
            self.finish_verification(now);
        }
    }

    /// Returns what this planner may have leased; `None` if it has not granted any keys yet.
    pub fn planned(&self, now: Instant) -> Option<Planned> {
        (now >= self.barred_until).then_some(Planned {
            last_fence: self.table.last_fence,
            lease_ms: self.table.lease_ms,
        })
    }

    fn verify(&mut self, planner: &Claim, history: History, now: Instant) {
        let Some(basis) = &mut self.table.unverified else {
            return;
        };
        // An earlier run of the VM may have granted keys until the present one was started.
        let uptime = Duration::from_millis(history.uptime_ms);
        let mut time_to_expiry = max_time_to_expiry(MAX_LEASE_DURATION).saturating_sub(uptime);
        if let Some(planned) = history.planned {
            basis.lease_ms = basis.lease_ms.max(planned.lease_ms);
            if !basis.includes(planner, planned) {
                let lease_duration = Duration::from_millis(planned.lease_ms);
                time_to_expiry = time_to_expiry.max(max_time_to_expiry(lease_duration));
            }
        }
        self.diverged_until = self.diverged_until.max(now.after(time_to_expiry));
    }

    /// Ends the wait for other processes after a restore of the store; what remains is to wait
    /// for the leases that the table may not include.
    fn finish_verification(&mut self, now: Instant) {
        if let Some(basis) = &self.table.unverified {
            self.table.lease_ms = basis.lease_ms;
            self.barred_until = self.diverged_until.max(now);
        }
    }

    /// Removes the earlier planners of which the process has ended.
    ///
    /// They cannot tell any more what they planned.
    pub fn remove_ended_predecessors(&mut self, has_ended: &dyn Fn(&Claim) -> bool, now: Instant) {
        if self.table.unverified.is_some() && self.predecessors.iter().any(has_ended) {
            let latest = now.after(max_time_to_expiry(MAX_LEASE_DURATION));
            self.diverged_until = self.diverged_until.max(latest);
        }
        self.remove_predecessors(has_ended, now);
    }

    /// Removes the earlier planners that can no longer send grants.
    ///
    /// Once none is left, all leases that they granted expire within the longest
    /// lease that the table allows.
    fn remove_predecessors(&mut self, has_ended: &dyn Fn(&Claim) -> bool, now: Instant) {
        if self.predecessors.is_empty() || now >= self.predecessors_until {
            return;
        }
        self.predecessors.retain(|claim| !has_ended(claim));
        if !self.predecessors.is_empty() {
            return;
        }
        self.predecessors_until = now;
        self.finish_verification(now);
        let latest = now.after(max_time_to_expiry(self.table.longest_lease()));
        let latest = latest.max(self.diverged_until);
        for segment in &mut self.segments {
            segment.lease_end = segment.lease_end.min(latest);
            segment.prior_lease_end = segment
                .prior_lease_end
                .map(|lease_end| lease_end.min(latest));
            if let Phase::Revoking { expires_at, .. } = &mut segment.phase {
                *expires_at = (*expires_at).min(latest);
            }
        }
    }

    /// Returns the earlier planners that may still send grants.
    pub fn predecessors(&self, now: Instant) -> &[Claim] {
        if now < self.predecessors_until {
            &self.predecessors
        } else {
            &[]
        }
    }

    /// Handles the notice of a newer planner that it took the claim at `revision`.
    ///
    /// Returns whether no grant of this planner can arrive at an endpoint any more.
    pub fn on_successor_claimed(&mut self, revision: u64) -> bool {
        if revision > self.revision {
            self.set_outdated();
        }
        self.is_outdated && !self.has_pending_grants()
    }

    /// Returns whether grants were sent of which the outcome is not known yet.
    pub fn has_pending_grants(&self) -> bool {
        self.sessions.iter().any(|session| session.is_grant_pending)
    }

    /// Returns how long earlier planners may still send grants.
    pub fn predecessors_expire_in(&self, now: Instant) -> Duration {
        self.predecessors_until.since(now)
    }

    /// Returns the current table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the revision of the current table.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision at which this planner took the claim.
    pub fn claim_revision(&self) -> u64 {
        self.claim_revision
    }

    /// Returns the number of owner changes written so far.
    pub fn move_count(&self) -> u64 {
        self.move_count
    }

    /// Returns the number of ranges, and how many of them are held.
    pub fn range_counts(&self) -> (usize, usize) {
        let held = self
            .segments
            .iter()
            .filter(|segment| segment.phase == Phase::Held);
        (self.segments.len(), held.count())
    }

    /// Records that the claim was valid at `at`.
    pub fn confirm_claim(&mut self, at: Instant) {
        self.claim_confirmed = self.claim_confirmed.max(Some(at));
    }

    /// Treats the claim as unconfirmed, for example after this VM was suspended.
    pub fn expire_claim(&mut self) {
        self.claim_confirmed = None;
    }

    /// Returns the time since the claim was last confirmed.
    pub fn claim_age(&self, now: Instant) -> Duration {
        self.claim_confirmed
            .map_or(Duration::MAX, |confirmed| now.since(confirmed))
    }

    /// Records that the store contains a table that this planner did not write.
    pub fn set_outdated(&mut self) {
        self.is_outdated = true;
        self.expire_claim();
    }

    /// Returns whether the store contains a table that this planner did not write.
    pub fn is_outdated(&self) -> bool {
        self.is_outdated
    }

    /// Returns whether the claim was confirmed recently enough to act on it.
    pub fn is_claim_valid(&self, now: Instant) -> bool {
        !self.is_outdated && self.claim_age(now) < CLAIM_VALIDITY
    }

    /// Returns the ownership of a key.
    pub fn key_status(&self, key: u16, now: Instant) -> Status<'_> {
        if now < self.barred_until {
            let verified_at = self.claimed_at.after(VERIFICATION_TIME);
            let is_verifying = !self.predecessors(now).is_empty() && now < verified_at;
            let until = match is_verifying {
                true => verified_at.max(self.diverged_until),
                false => self.barred_until.after(TIMER_MARGIN),
            };
            return Status::Unowned(time_until(until, now));
        }
        let index = self.segments.partition_point(|segment| segment.to < key);
        let Some(segment) = self.segments.get(index) else {
            return Status::Unowned(MIN_LEASE_DURATION);
        };
        let Some(owner) = &segment.owner else {
            return Status::Unowned(MIN_LEASE_DURATION);
        };
        let session = self.session(&owner.endpoint);
        if session.is_some_and(|session| session.is_silent(now)) {
            return Status::Unowned(time_until(segment.lease_end, now) + TIMER_MARGIN);
        }
        match &segment.phase {
            // The lease was not renewed in time, for example because a new fencing
            // token was needed while the store was down.
            Phase::Held if now >= segment.lease_end => Status::Unowned(MIN_LEASE_DURATION),
            Phase::Held => Status::Held(&owner.endpoint),
            Phase::Granting => Status::Moving(&owner.endpoint),
            Phase::Revoking {
                expires_at,
                previous,
                ..
            } => {
                let is_silent = self
                    .session(&previous.endpoint)
                    .is_none_or(|session| session.silent_since.is_some());
                if is_silent {
                    Status::Unowned(time_until(*expires_at, now) + TIMER_MARGIN)
                } else {
                    Status::Moving(&owner.endpoint)
                }
            }
        }
    }

    fn session(&self, endpoint: &str) -> Option<&Session> {
        let index = self.find_session(endpoint).ok()?;
        Some(&self.sessions[index])
    }

    fn session_mut(&mut self, endpoint: &str) -> Option<&mut Session> {
        let index = self.find_session(endpoint).ok()?;
        Some(&mut self.sessions[index])
    }

    fn find_session(&self, endpoint: &str) -> Result<usize, usize> {
        self.sessions
            .binary_search_by(|session| (*session.endpoint.id).cmp(endpoint))
    }

    /// Returns the longest lease that may be granted now; `None` if none may.
    ///
    /// Leases become shorter before the claim expires, so that a planner that cannot reach this
    /// one knows when the last of them ends, however long leases are.
    pub fn lease_limit(&self, now: Instant) -> Option<Duration> {
        let remaining = CLAIM_VALIDITY.checked_sub(self.claim_age(now))?;
        // The clock of an endpoint measures it.
        let remaining = remaining * 100 / (100 + MAX_CLOCK_DRIFT_PERCENT);
        self.is_claim_valid(now)
            .then_some(remaining + MIN_LEASE_DURATION)
    }

    /// Returns the duration of new leases.
    pub fn lease_duration(&self) -> Duration {
        self.wanted_lease_duration(self.segments.len())
            .min(self.table.longest_lease())
    }

    /// Returns the duration of leases that suits a number of segments.
    ///
    /// It grows with that number, up to the longest lease, to limit the rate of
    /// renewals.
    fn wanted_lease_duration(&self, segments: usize) -> Duration {
        let period = Duration::from_millis(segments as u64 * 1000 / MAX_GRANTS_PER_S);
        (period * RENEWALS_PER_LEASE)
            .max(MIN_LEASE_DURATION)
            .min(self.max_lease_duration)
            .min(MAX_LEASE_DURATION)
    }

    /// Advances the state machine and returns the actions to perform.
    ///
    /// `endpoints` lists the registered endpoints of the service, sorted by
    /// identity. `capacity` returns the requests per second that an endpoint
    /// can serve.
    pub fn tick(
        &mut self,
        endpoints: &[Arc<Endpoint>],
        rates: &Rates,
        capacity: &dyn Fn(&str) -> Option<f64>,
        now: Instant,
    ) -> Vec<Action> {
        self.update_sessions(endpoints, now);
        let mut actions = Vec::new();
        if !self.is_claim_valid(now) || now < self.barred_until {
            return actions;
        }
        self.finish_revocations(now);
        if !self.is_write_pending && now >= self.next_write {
            self.plan_changes(rates, capacity, now);
            if !self.changes.is_empty() || self.table.unverified.is_some() {
                self.is_write_pending = true;
                actions.push(Action::Write(self.changed_table(now)));
            }
        }
        self.release(&mut actions);
        self.grant(&mut actions, now);
        actions
    }

    fn update_sessions(&mut self, endpoints: &[Arc<Endpoint>], now: Instant) {
        for session in &mut self.sessions {
            session.is_listed = false;
        }
        for endpoint in endpoints {
            match self.find_session(&endpoint.id) {
                Ok(index) => {
                    let session = &mut self.sessions[index];
                    session.is_listed = true;
                    if session.endpoint.born != endpoint.born {
                        session.silent_since = None;
                        session.needs_new_fence = false;
                    }
                    session.endpoint = Arc::clone(endpoint);
                }
                Err(index) => {
                    self.last_join = now;
                    let session = Session {
                        endpoint: Arc::clone(endpoint),
                        is_listed: true,
                        is_order_pending: false,
                        is_grant_pending: false,
                        next_order: now,
                        silent_since: None,
                        needs_new_fence: false,
                    };
                    self.sessions.insert(index, session);
                }
            }
        }
        let segments = &self.segments;
        self.sessions.retain(|session| {
            session.is_listed
                || session.is_order_pending
                || segments
                    .iter()
                    .any(|segment| segment.references(&session.endpoint.id))
        });
    }

    /// Ends the revocation of segments whose previous owner holds no lease any more.
    fn finish_revocations(&mut self, now: Instant) {
        for index in 0..self.segments.len() {
            let Phase::Revoking {
                previous,
                expires_at,
                ..
            } = &self.segments[index].phase
            else {
                continue;
            };
            let session = self.session(&previous.endpoint);
            // A pending grant may still extend the lease. It may do so even after a restart of
            // the endpoint, which forgets all fencing tokens, so a restart does not end a lease.
            if now >= *expires_at && session.is_none_or(|session| !session.is_grant_pending) {
                self.begin_granting(index, None, now);
            }
        }
    }

    fn begin_granting(&mut self, index: usize, handover: Option<Box<str>>, now: Instant) {
        let segment = &mut self.segments[index];
        segment.phase = Phase::Granting;
        segment.handover = handover;
        if let Some(owner) = segment.owner.clone() {
            if let Some(session) = self.session_mut(&owner.endpoint) {
                session.next_order = now;
            }
        }
    }

    /// Returns the table with the planned changes applied.
    fn changed_table(&self, now: Instant) -> Table {
        let mut segments = self.segments.clone();
        for change in &self.changes {
            apply_change(&mut segments, change, Instant::default());
        }
        merge_adjacent(&mut segments);
        let wanted_lease_ms = self.wanted_lease_duration(segments.len()).as_millis() as u64;
        // All leases from before have expired if other processes never told about theirs.
        let is_all_expired = self.table.unverified.is_some() && !self.predecessors.is_empty();
        let longest_lease_ms = match is_all_expired {
            true => wanted_lease_ms,
            false => self.table.lease_ms.max(wanted_lease_ms),
        };
        Table {
            service: self.table.service.clone(),
            claim: self.table.claim.clone(),
            era: self.table.era,
            claim_fence: self.table.claim_fence,
            unverified: None,
            earlier: self.predecessors(now).to_vec(),
            last_fence: self.last_fence,
            lease_ms: longest_lease_ms,
            ranges: segments.iter().map(Segment::to_range).collect(),
        }
    }

    /// Handles the successful write of a table.
    ///
    /// `sent` is when the write began; the claim was valid then.
    pub fn on_table_written(&mut self, table: Table, revision: u64, sent: Instant, now: Instant) {
        self.is_write_pending = false;
        self.confirm_claim(sent);
        let changes = std::mem::take(&mut self.changes);
        for change in &changes {
            let index = self
                .segments
                .partition_point(|segment| segment.to < change.from);
            let old_owner = self.segments[index].owner.clone();
            if old_owner.is_some() && old_owner != change.owner {
                self.move_count += 1;
            }
            apply_change(&mut self.segments, change, now);
            let Some(owner) = &change.owner else { continue };
            if let Some(session) = self.session_mut(&owner.endpoint) {
                session.needs_new_fence = false;
                session.next_order = now;
            }
        }
        merge_adjacent(&mut self.segments);
        self.table = table;
        self.revision = revision;
    }

    /// Discards the changes of a table that was not written.
    pub fn on_write_failed(&mut self, retry_at: Instant) {
        self.is_write_pending = false;
        self.changes.clear();
        self.next_write = retry_at;
    }

    /// Returns whether a pending write gives the segment to another owner
    /// without naming its current owner as the previous one.
    ///
    /// The write may take effect at any time, even if its answer is lost. The
    /// current owner must not be granted the segment meanwhile: the new table
    /// would not name it as a possible holder, so no planner would send it a
    /// release.
    fn is_reassigned(&self, segment: &Segment) -> bool {
        self.changes.iter().any(|change| {
            let is_disjoint = change.to < segment.from || segment.to < change.from;
            !is_disjoint && change.owner != segment.owner && change.previous != segment.owner
        })
    }

    fn release(&mut self, actions: &mut Vec<Action>) {
        for index in 0..self.segments.len() {
            let segment = &self.segments[index];
            let Phase::Revoking {
                previous,
                is_release_sent: false,
                ..
            } = &segment.phase
            else {
                continue;
            };
            let Some(session) = self.session(&previous.endpoint) else {
                continue;
            };
            // A pending grant could arrive after the release.
            if session.is_order_pending {
                continue;
            }
            let order = Release {
                from: segment.from,
                to: segment.to,
                fence: segment.fence,
            };
            actions.push(Action::Release(Arc::clone(&session.endpoint), order));
            if let Phase::Revoking {
                is_release_sent, ..
            } = &mut self.segments[index].phase
            {
                *is_release_sent = true;
            }
        }
    }

    fn grant(&mut self, actions: &mut Vec<Action>, now: Instant) {
        let Some(lease_limit) = self.lease_limit(now) else {
            return;
        };
        let lease_duration = self.lease_duration().min(lease_limit);
        for index in 0..self.sessions.len() {
            let session = &self.sessions[index];
            if session.is_order_pending || now < session.next_order {
                continue;
            }
            let owner = session.owner();
            let is_grantable = |segment: &&Segment| {
                segment.owner.as_ref() == Some(&owner)
                    && !matches!(segment.phase, Phase::Revoking { .. })
                    && !self.is_reassigned(segment)
            };
            let owned = self.segments.iter().filter(is_grantable);
            if session.is_silent(now) || session.needs_new_fence {
                let has_keys = owned.count() > 0;
                let order = Release {
                    from: 0,
                    to: 0,
                    fence: 0,
                };
                if session.needs_new_fence && !session.is_silent(now) {
                    continue;
                }
                if !session.is_listed && !has_keys {
                    continue;
                }
                actions.push(Action::Probe(Arc::clone(&session.endpoint), order));
                let session = &mut self.sessions[index];
                session.is_order_pending = true;
                let period = if has_keys {
                    PROBE_INTERVAL
                } else {
                    IDLE_PROBE_INTERVAL
                };
                session.next_order = now.after(period);
                continue;
            }
            let mut grants: Vec<(bool, Grant)> = owned
                .map(|segment| {
                    let grant = Grant {
                        from: segment.from,
                        to: segment.to,
                        fence: segment.fence,
                        duration: lease_duration,
                        handover: segment.handover.clone(),
                    };
                    (segment.phase == Phase::Held, grant)
                })
                .collect();
            if grants.is_empty() {
                continue;
            }
            // A grant counts as accepted until its outcome is known.
            let assumed_end = now.after(max_time_to_expiry(lease_duration) + ORDER_TIMEOUT * 2);
            for (_, grant) in &grants {
                let index = self
                    .segments
                    .partition_point(|segment| segment.to < grant.from);
                let segment = &mut self.segments[index];
                segment.prior_lease_end.get_or_insert(segment.lease_end);
                segment.lease_end = segment.lease_end.max(assumed_end);
            }
            grants.sort_by_key(|(is_held, _)| *is_held);
            let grants = grants.into_iter().map(|(_, grant)| grant).collect();
            actions.push(Action::Grant(Arc::clone(&session.endpoint), grants));
            let session = &mut self.sessions[index];
            session.is_order_pending = true;
            session.is_grant_pending = true;
            session.next_order = now.after(lease_duration / RENEWALS_PER_LEASE);
        }
    }

    /// Handles the completions of grants sent to an endpoint.
    pub fn on_grant_results(&mut self, endpoint: &str, completions: &[Completion], now: Instant) {
        for segment in &mut self.segments {
            let owner = segment.owner.as_ref();
            if owner.is_some_and(|owner| *owner.endpoint == *endpoint) {
                segment.lease_end = segment.prior_lease_end.take().unwrap_or(segment.lease_end);
            }
        }
        for completion in completions {
            self.apply_completion(endpoint, completion, now);
        }
        let is_all_done = completions
            .iter()
            .all(|completion| matches!(completion.outcome, Outcome::Done(_)));
        let has_connection_ended = completions
            .iter()
            .any(|completion| completion.outcome == Outcome::Ended);
        let is_fenced = completions
            .iter()
            .any(|completion| completion.outcome == Outcome::Fenced);
        let has_ungranted = self.segments.iter().any(|segment| {
            segment.phase == Phase::Granting
                && segment
                    .owner
                    .as_ref()
                    .is_some_and(|owner| *owner.endpoint == *endpoint)
        });
        let Some(session) = self.session_mut(endpoint) else {
            return;
        };
        session.is_order_pending = false;
        session.is_grant_pending = false;
        if completions.is_empty() {
            return;
        }
        if is_all_done {
            session.silent_since = None;
            if has_ungranted {
                session.next_order = now;
            }
            return;
        }
        if has_connection_ended || is_fenced {
            session.needs_new_fence = true;
        }
        if has_connection_ended {
            return;
        }
        session.silent_since.get_or_insert(now);
        session.next_order = now;
        if is_fenced {
            // There may be a newer planner: no more grants until the claim is confirmed.
            session.silent_since = None;
            self.expire_claim();
        }
    }

    fn apply_completion(&mut self, endpoint: &str, completion: &Completion, now: Instant) {
        let grant = &completion.grant;
        let may_have_arrived = matches!(completion.outcome, Outcome::Done(_) | Outcome::Silent);
        if !may_have_arrived {
            return;
        }
        let is_done = matches!(completion.outcome, Outcome::Done(_));
        for segment in &mut self.segments {
            let is_owner = segment
                .owner
                .as_ref()
                .is_some_and(|owner| *owner.endpoint == *endpoint);
            if segment.to < grant.from || grant.to < segment.from {
                continue;
            }
            // Segments may have been split or merged since the grant was sent.
            let is_contained = grant.from <= segment.from && segment.to <= grant.to;
            let expiry = latest_expiry(completion);
            if let Phase::Revoking {
                previous,
                expires_at,
                ..
            } = &mut segment.phase
            {
                if *previous.endpoint == *endpoint {
                    *expires_at = (*expires_at).max(expiry);
                }
                continue;
            }
            if !is_owner {
                continue;
            }
            if is_done && is_contained && segment.fence == grant.fence {
                // From now on the endpoint refuses the grants of earlier planners.
                segment.lease_end = expiry;
                if segment.phase == Phase::Granting {
                    segment.phase = Phase::Held;
                    segment.changed_at = now;
                }
                segment.handover = None;
            } else {
                segment.lease_end = segment.lease_end.max(expiry);
            }
        }
    }

    /// Handles the outcome of a release.
    pub fn on_release_outcome(
        &mut self,
        endpoint: &str,
        order: Release,
        outcome: &Outcome,
        now: Instant,
    ) {
        for index in 0..self.segments.len() {
            let segment = &mut self.segments[index];
            let is_contained = order.from <= segment.from && segment.to <= order.to;
            let Phase::Revoking {
                previous,
                is_release_sent,
                ..
            } = &mut segment.phase
            else {
                continue;
            };
            if !is_contained || *previous.endpoint != *endpoint {
                continue;
            }
            match outcome {
                Outcome::Done(handover) => self.begin_granting(index, handover.clone(), now),
                _ => *is_release_sent = false,
            }
        }
        if let Some(session) = self.session_mut(endpoint) {
            match outcome {
                Outcome::Done(_) => session.silent_since = None,
                Outcome::Ended => session.needs_new_fence = true,
                _ => {
                    session.silent_since.get_or_insert(now);
                }
            }
        }
    }

    /// Handles the outcome of a probe.
    pub fn on_probe_outcome(&mut self, endpoint: &str, outcome: &Outcome, now: Instant) {
        let Some(session) = self.session_mut(endpoint) else {
            return;
        };
        session.is_order_pending = false;
        if matches!(outcome, Outcome::Done(_)) {
            session.silent_since = None;
            session.next_order = now;
        } else {
            session.silent_since.get_or_insert(now);
        }
    }

    /// Handles a request that was refused because the endpoint does not hold the key.
    ///
    /// Its grants are sent again at once.
    pub fn on_not_holder(&mut self, endpoint: &str, now: Instant) {
        if let Some(session) = self.session_mut(endpoint) {
            session.next_order = session.next_order.min(now);
        }
    }
}

impl Segment {
    fn references(&self, endpoint: &str) -> bool {
        let is = |owner: &Owner| *owner.endpoint == *endpoint;
        let is_previous = match &self.phase {
            Phase::Revoking { previous, .. } => is(previous),
            _ => false,
        };
        is_previous || self.owner.as_ref().is_some_and(is)
    }

    fn to_range(&self) -> Range {
        Range {
            from: self.from,
            to: self.to,
            owner: self.owner.clone(),
            previous: match &self.phase {
                Phase::Revoking { previous, .. } => Some(previous.clone()),
                _ => None,
            },
            fence: self.fence,
        }
    }
}

/// Splits the segments at the ends of a change and applies it to those between.
fn apply_change(segments: &mut Vec<Segment>, change: &Change, now: Instant) {
    split_at(segments, change.from);
    if let Some(next) = change.to.checked_add(1) {
        split_at(segments, next);
    }
    for segment in segments.iter_mut() {
        if segment.from < change.from || segment.to > change.to {
            continue;
        }
        segment.fence = change.fence;
        if segment.owner == change.owner {
            // Only the fencing token rises, so the owner keeps its lease.
            continue;
        }
        segment.handover = None;
        segment.changed_at = now;
        let previous = change.previous.clone();
        let expires_at = match &segment.phase {
            Phase::Revoking { expires_at, .. } => (*expires_at).max(segment.lease_end),
            _ => segment.lease_end,
        };
        segment.phase = match previous {
            Some(previous) => Phase::Revoking {
                previous,
                expires_at,
                is_release_sent: false,
            },
            None => Phase::Granting,
        };
        // An earlier planner may have granted the keys to the new run of the same endpoint.
        let endpoint = |owner: &Option<Owner>| owner.as_ref().map(|owner| owner.endpoint.clone());
        if endpoint(&segment.owner) != endpoint(&change.owner) {
            segment.lease_end = now;
        }
        segment.prior_lease_end = None;
        segment.owner = change.owner.clone();
    }
}

fn split_at(segments: &mut Vec<Segment>, at: u16) {
    let index = segments.partition_point(|segment| segment.to < at);
    if index >= segments.len() || segments[index].from == at {
        return;
    }
    let mut second = segments[index].clone();
    second.from = at;
    segments[index].to = at - 1;
    segments.insert(index + 1, second);
}

/// Merges adjacent held segments of the same owner.
///
/// The merged segment is renewed under a single fencing token, so segments are
/// merged only if their tokens are equal.
fn merge_adjacent(segments: &mut Vec<Segment>) {
    let mut index = 0;
    while index + 1 < segments.len() {
        let (first, second) = (&segments[index], &segments[index + 1]);
        let is_mergeable = first.owner == second.owner
            && first.fence == second.fence
            && first.phase == Phase::Held
            && second.phase == Phase::Held;
        if is_mergeable {
            let lease_end = first.lease_end.max(second.lease_end);
            let prior_lease_end = first.prior_lease_end.max(second.prior_lease_end);
            let changed_at = first.changed_at.max(second.changed_at);
            let to = second.to;
            segments.remove(index + 1);
            let segment = &mut segments[index];
            segment.to = to;
            segment.lease_end = lease_end;
            segment.prior_lease_end = prior_lease_end;
            segment.changed_at = changed_at;
        } else {
            index += 1;
        }
    }
}

/// Returns the time from sending a grant until its lease has certainly expired.
fn max_time_to_expiry(duration: Duration) -> Duration {
    duration + duration * MAX_CLOCK_DRIFT_PERCENT / 100 + ORDER_TIMEOUT + TIMER_MARGIN
}

/// Returns the time at which the lease of a grant has certainly expired.
///
/// A planner that is short of CPU time may read the answer or close the
/// connection later than [`ORDER_TIMEOUT`], and the order may have arrived as
/// late as that.
fn latest_expiry(completion: &Completion) -> Instant {
    let duration = completion.grant.duration;
    let expected = completion.sent.after(max_time_to_expiry(duration));
    let latest = completion
        .completed
        .after(max_time_to_expiry(duration).saturating_sub(ORDER_TIMEOUT));
    expected.max(latest)
}

fn time_until(at: Instant, now: Instant) -> Duration {
    at.since(now)
}
