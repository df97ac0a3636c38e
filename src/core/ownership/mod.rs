//! Who owns which keys, and what the planner does about it.
//!
//! A service's keys are a line of ranges in one table, an object of the
//! platform's store that is replaced only under its revision. The table also
//! names the planner that holds the claim. A planner grants what the table
//! says, renews it, and changes it; `docs/design/platform.md` has the reasons.
//!
//! - A grant runs from its arrival, so the planner counts a hold from the time
//!   it sent the grant, and adds the way there and the slowest clock.
//! - Keys leave an owner that answers by a release, and one that does not when
//!   its hold is over. Only then does the next owner get a grant.
//! - Each change of owner takes a fence above all earlier ones, written before
//!   it is used. A new planner raises the fence at every owner, after which
//!   the old planner's renewals are refused there.
//! - A planner grants only within a bounded time after its claim was confirmed.

mod order;
mod table;

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

use crate::core::{
    rebalance::{
        self,
        Rates,
        Server,
        Slice, //
    },
    registry::Endpoint,
    time::Instant,
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Shortest time for which keys are granted.
const HOLD_MIN: Duration = Duration::from_millis(1_300);

/// Longest time for which keys are granted, whatever the endpoints allow.
const HOLD_MAX: Duration = Duration::from_millis(5_200);

/// Renewals in the time of one grant.
const RENEWALS: u32 = 4;

/// Most grants that one planner sends, a second.
const GRANTS_PER_S: u64 = 320;

/// Part by which an endpoint's clock may run slow, in hundredths: the platform's bound.
const SLOW_CLOCK_PERCENT: u32 = 2;

/// Time after which an unanswered order is given up and its connection reset.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// Granularity of timers.
const TIMER_MARGIN: Duration = Duration::from_millis(20);

/// How long a planner grants after its claim was last confirmed.
///
/// Longer than the store's outages seen, so that keys stay served in one.
pub const CLAIM_VALIDITY: Duration = Duration::from_secs(12);

/// Silence from which an endpoint gets no more grants until it answers again.
const SILENCE: Duration = Duration::from_millis(380);

/// How often a silent endpoint is asked whether it is back.
const PROBE_PERIOD: Duration = Duration::from_millis(150);

/// How often a silent endpoint without keys is asked.
const IDLE_PROBE_PERIOD: Duration = Duration::from_millis(1_000);

/// How often keys are placed anew by load.
const ROUND_PERIOD: Duration = Duration::from_millis(300);

/// Endpoints for each move of a round.
const SERVERS_PER_MOVE: usize = 3;

/// How long moved keys stay where they are.
const MOVE_REST: Duration = Duration::from_millis(700);

/// Time without a new endpoint after which the keys are cut for the first time.
const ROSTER_REST: Duration = Duration::from_millis(500);

/// Capacity assumed of an endpoint that has not served yet, in requests a second.
const UNKNOWN_CAPACITY: f64 = 20.0;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Replace the table.
    Write(Table),
    /// Send grants, one after the other, up to the first that fails.
    Grant(Arc<Endpoint>, Vec<Grant>),
    /// Take keys back.
    Release(Arc<Endpoint>, Release),
    /// Find out whether an endpoint answers, by a release of no effect.
    Probe(Arc<Endpoint>, Release),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The owner before may hold the keys until then.
    Settling {
        previous: Owner,
        until: Instant,
        is_asked: bool,
    },
    /// The owner may be granted the keys.
    Granting,
    /// The owner has them.
    Held,
}

#[derive(Clone, Debug)]
struct Piece {
    from: u16,
    to: u16,
    owner: Option<Owner>,
    fence: u64,
    phase: Phase,
    /// When any hold of the present owner is over.
    bound: Instant,
    /// The same without the grant that is under way, if one is.
    settled_bound: Option<Instant>,
    handover: Option<Box<str>>,
    changed: Instant,
}

#[derive(Clone, Debug)]
struct Seat {
    endpoint: Arc<Endpoint>,
    is_listed: bool,
    is_busy: bool,
    /// Whether what it is busy with is a grant.
    is_granting: bool,
    next: Instant,
    silent_since: Option<Instant>,
    needs_fence: bool,
}

impl Seat {
    fn is_silent(&self, now: Instant) -> bool {
        self.silent_since
            .is_some_and(|since| now.since(since) >= SILENCE)
    }

    fn owner(&self) -> Owner {
        Owner {
            endpoint: self.endpoint.id.clone(),
            born: self.endpoint.born,
        }
    }
}

#[derive(Clone, Debug)]
struct Edit {
    from: u16,
    to: u16,
    owner: Option<Owner>,
    previous: Option<Owner>,
    fence: u64,
}

/// State of a piece as requests need to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status<'a> {
    /// The endpoint has the key.
    Held(&'a str),
    /// The endpoint is to get it in a moment.
    Moving(&'a str),
    /// Nobody has it for about so long.
    Unowned(Duration),
}

/// A planner that holds the claim.
#[derive(Clone, Debug)]
pub struct Planner {
    table: Table,
    revision: u64,
    pieces: Vec<Piece>,
    seats: Vec<Seat>,
    confirmed: Instant,
    /// Revision at which this planner took the claim.
    claimed_at: u64,
    /// Planners before this one that may still grant.
    foreign: Vec<Claim>,
    /// Until when they may.
    foreign_until: Instant,
    hold_max: Duration,
    edits: Vec<Edit>,
    last_fence: u64,
    is_writing: bool,
    is_outdated: bool,
    retry_write: Instant,
    next_round: Instant,
    /// When an endpoint was last seen for the first time.
    joined: Instant,
    moves: u64,
}

impl Planner {
    /// Starts from a table that was written with this planner's claim.
    pub fn new(table: Table, revision: u64, hold_max: Duration, now: Instant) -> Self {
        let foreign = if table.earlier.is_empty() {
            Duration::ZERO
        } else {
            CLAIM_VALIDITY
        };
        let foreign_until = now.after(foreign);
        let bound = foreign_until.after(over(hold_max.min(HOLD_MAX)));
        let pieces = table.ranges.iter().map(|range| Piece {
            from: range.from,
            to: range.to,
            owner: range.owner.clone(),
            fence: range.fence,
            phase: match &range.previous {
                Some(previous) => Phase::Settling {
                    previous: previous.clone(),
                    until: bound,
                    is_asked: false,
                },
                None => Phase::Granting,
            },
            bound,
            settled_bound: None,
            handover: None,
            changed: now,
        });
        Self {
            pieces: pieces.collect(),
            seats: Vec::new(),
            confirmed: now,
            claimed_at: revision,
            foreign: table.earlier.clone(),
            foreign_until,
            hold_max,
            edits: Vec::new(),
            last_fence: table.last_fence,
            is_writing: false,
            is_outdated: false,
            retry_write: now,
            next_round: now,
            joined: now,
            moves: 0,
            revision,
            table,
        }
    }

    /// Learns that a planner before this one grants no more, as it has seen the
    /// table at `revision`. What it saw before this claim says nothing: it may
    /// have planned again since.
    pub fn on_predecessor_yielded(&mut self, claim: &Claim, revision: u64, now: Instant) {
        if revision >= self.claimed_at {
            self.remove_ended_predecessors(&|other| other == claim, now);
        }
    }

    /// Learns which planners before this one grant no more; with the last of
    /// them gone, what they granted is over after the longest hold.
    pub fn remove_ended_predecessors(&mut self, is_gone: &dyn Fn(&Claim) -> bool, now: Instant) {
        if self.foreign.is_empty() || now >= self.foreign_until {
            return;
        }
        self.foreign.retain(|claim| !is_gone(claim));
        if !self.foreign.is_empty() {
            return;
        }
        self.foreign_until = now;
        let latest = now.after(over(self.hold_max.min(HOLD_MAX)));
        for piece in &mut self.pieces {
            piece.bound = piece.bound.min(latest);
            piece.settled_bound = piece.settled_bound.map(|bound| bound.min(latest));
            if let Phase::Settling { until, .. } = &mut piece.phase {
                *until = (*until).min(latest);
            }
        }
    }

    /// Returns how long planners before this one may still grant.
    pub fn predecessors_expire_in(&self, now: Instant) -> Duration {
        self.foreign_until.since(now)
    }

    /// Returns the table in force.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the revision of the table in force.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns how many changes of owner were written.
    pub fn move_count(&self) -> u64 {
        self.moves
    }

    /// Returns the number of pieces, and how many of them are held.
    pub fn range_counts(&self) -> (usize, usize) {
        let held = self
            .pieces
            .iter()
            .filter(|piece| piece.phase == Phase::Held);
        (self.pieces.len(), held.count())
    }

    /// Notes that the claim held at `at`.
    pub fn confirm_claim(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(at);
    }

    /// Forgets all confirmations, as after a suspension of this VM.
    pub fn expire_claim(&mut self) {
        self.confirmed = Instant::default();
    }

    /// Returns how long ago the claim was last confirmed.
    pub fn claim_age(&self, now: Instant) -> Duration {
        now.since(self.confirmed)
    }

    /// Notes that the store holds a table that this planner did not write.
    pub fn set_outdated(&mut self) {
        self.is_outdated = true;
        self.expire_claim();
    }

    /// Tells whether the store holds a table that this planner did not write.
    pub fn is_outdated(&self) -> bool {
        self.is_outdated
    }

    /// Tells whether the claim was confirmed lately enough to act on it.
    pub fn is_claim_valid(&self, now: Instant) -> bool {
        now.since(self.confirmed) < CLAIM_VALIDITY
    }

    /// Returns where a key is.
    pub fn key_status(&self, key: u16, now: Instant) -> Status<'_> {
        let place = self.pieces.partition_point(|piece| piece.to < key);
        let Some(piece) = self.pieces.get(place) else {
            return Status::Unowned(HOLD_MIN);
        };
        let Some(owner) = &piece.owner else {
            return Status::Unowned(HOLD_MIN);
        };
        let seat = self.seat(&owner.endpoint);
        if seat.is_some_and(|seat| seat.is_silent(now)) {
            return Status::Unowned(now_to(piece.bound, now) + TIMER_MARGIN);
        }
        match &piece.phase {
            // Not renewed in time, as when the store is down and a fence is needed.
            Phase::Held if now >= piece.bound => Status::Unowned(HOLD_MIN),
            Phase::Held => Status::Held(&owner.endpoint),
            Phase::Granting => Status::Moving(&owner.endpoint),
            Phase::Settling {
                until, previous, ..
            } => {
                let silent = self
                    .seat(&previous.endpoint)
                    .is_none_or(|seat| seat.silent_since.is_some());
                if silent {
                    Status::Unowned(now_to(*until, now) + TIMER_MARGIN)
                } else {
                    Status::Moving(&owner.endpoint)
                }
            }
        }
    }

    fn seat(&self, endpoint: &str) -> Option<&Seat> {
        let place = self.find(endpoint).ok()?;
        Some(&self.seats[place])
    }

    fn seat_mut(&mut self, endpoint: &str) -> Option<&mut Seat> {
        let place = self.find(endpoint).ok()?;
        Some(&mut self.seats[place])
    }

    fn find(&self, endpoint: &str) -> Result<usize, usize> {
        self.seats
            .binary_search_by(|seat| (*seat.endpoint.id).cmp(endpoint))
    }

    /// Returns for how long keys are granted.
    ///
    /// With many pieces the grants are longer, so that renewing them stays
    /// within a number of orders a second.
    pub fn hold(&self) -> Duration {
        let pieces = self.pieces.len() as u64;
        let period = Duration::from_millis(pieces * 1000 / GRANTS_PER_S);
        (period * RENEWALS)
            .max(HOLD_MIN)
            .min(self.hold_max)
            .min(HOLD_MAX)
    }

    /// Decides what to do now.
    ///
    /// `roster` lists the endpoints of the service, sorted by identity, and
    /// `capacity` says what an endpoint can serve.
    pub fn tick(
        &mut self,
        roster: &[Arc<Endpoint>],
        heat: &Rates,
        capacity: &dyn Fn(&str) -> Option<f64>,
        now: Instant,
    ) -> Vec<Action> {
        self.seat_endpoints(roster, now);
        let mut steps = Vec::new();
        if !self.is_claim_valid(now) {
            return steps;
        }
        self.settle(now);
        if !self.is_writing && now >= self.retry_write {
            self.edit(heat, capacity, now);
            if !self.edits.is_empty() {
                self.is_writing = true;
                steps.push(Action::Write(self.edited(now)));
            }
        }
        self.release(&mut steps);
        self.grant(&mut steps, now);
        steps
    }

    fn seat_endpoints(&mut self, roster: &[Arc<Endpoint>], now: Instant) {
        for seat in &mut self.seats {
            seat.is_listed = false;
        }
        for endpoint in roster {
            match self.find(&endpoint.id) {
                Ok(index) => {
                    let seat = &mut self.seats[index];
                    seat.is_listed = true;
                    if seat.endpoint.born != endpoint.born {
                        seat.silent_since = None;
                        seat.needs_fence = false;
                    }
                    seat.endpoint = Arc::clone(endpoint);
                }
                Err(index) => {
                    self.joined = now;
                    let seat = Seat {
                        endpoint: Arc::clone(endpoint),
                        is_listed: true,
                        is_busy: false,
                        is_granting: false,
                        next: now,
                        silent_since: None,
                        needs_fence: false,
                    };
                    self.seats.insert(index, seat);
                }
            }
        }
        let pieces = &self.pieces;
        self.seats.retain(|seat| {
            seat.is_listed
                || seat.is_busy
                || pieces.iter().any(|piece| piece.names(&seat.endpoint.id))
        });
    }

    /// Ends the wait for owners whose hold is over.
    fn settle(&mut self, now: Instant) {
        for index in 0..self.pieces.len() {
            let Phase::Settling {
                previous, until, ..
            } = &self.pieces[index].phase
            else {
                continue;
            };
            let seat = self.seat(&previous.endpoint);
            // A later life proves that the one before is gone.
            let is_reborn =
                seat.is_some_and(|seat| seat.is_listed && seat.endpoint.born != previous.born);
            // A grant on its way may still prolong the hold.
            let is_over = now >= *until && seat.is_none_or(|seat| !seat.is_granting);
            if is_over || is_reborn {
                self.begin_granting(index, None, now);
            }
        }
    }

    fn begin_granting(&mut self, index: usize, handover: Option<Box<str>>, now: Instant) {
        let piece = &mut self.pieces[index];
        piece.phase = Phase::Granting;
        piece.handover = handover;
        if let Some(owner) = piece.owner.clone() {
            if let Some(seat) = self.seat_mut(&owner.endpoint) {
                seat.next = now;
            }
        }
    }

    fn edit(&mut self, heat: &Rates, capacity: &dyn Fn(&str) -> Option<f64>, now: Instant) {
        self.edits.clear();
        let servers = self.servers(capacity, now);
        if self.pieces.iter().all(|piece| piece.owner.is_none()) {
            if now.since(self.joined) < ROSTER_REST {
                return;
            }
            for slice in rebalance::cut(&servers) {
                let owner = self.seats[slice.server].owner();
                self.push(slice.from, slice.to, Some(owner), None);
            }
            return;
        }
        let mut loads = self.loads(heat);
        for index in 0..self.pieces.len() {
            self.edit_piece(index, heat, &servers, &mut loads, now);
        }
        if self.edits.is_empty() && now >= self.next_round {
            self.next_round = now.after(ROUND_PERIOD);
            self.edit_by_load(heat, &servers, now);
        }
    }

    fn servers(&self, capacity: &dyn Fn(&str) -> Option<f64>, now: Instant) -> Vec<Server> {
        let servers = self.seats.iter().map(|seat| Server {
            capacity: capacity(&seat.endpoint.id)
                .unwrap_or(UNKNOWN_CAPACITY)
                .max(0.1),
            is_target: seat.is_listed
                && !seat.endpoint.is_leaving
                && seat.silent_since.is_none()
                && !seat.is_silent(now),
        });
        servers.collect()
    }

    fn loads(&self, heat: &Rates) -> Vec<f64> {
        let mut loads = vec![0.0; self.seats.len()];
        for piece in &self.pieces {
            let place = piece.owner.as_ref().map(|owner| self.find(&owner.endpoint));
            if let Some(Ok(place)) = place {
                loads[place] += heat.rate(piece.from, piece.to);
            }
        }
        loads
    }

    /// Gives a piece another owner, or its owner another fence, if it needs one.
    fn edit_piece(
        &mut self,
        index: usize,
        heat: &Rates,
        servers: &[Server],
        loads: &mut [f64],
        now: Instant,
    ) {
        let piece = &self.pieces[index];
        let (from, to) = (piece.from, piece.to);
        let rate = heat.rate(from, to);
        let mut choose = || {
            let target = rebalance::least(servers, loads, rate)?;
            loads[target] += rate;
            Some(target)
        };
        let Some(owner) = piece.owner.clone() else {
            if let Some(target) = choose() {
                let owner = self.seats[target].owner();
                self.push(from, to, Some(owner), None);
            }
            return;
        };
        let Some(seat) = self.seat(&owner.endpoint) else {
            // Never seen by this planner: nothing can be asked of it.
            if now >= piece.bound {
                if let Some(target) = choose() {
                    let owner = self.seats[target].owner();
                    self.push(from, to, Some(owner), None);
                }
            }
            return;
        };
        if seat.is_listed && seat.endpoint.born != owner.born {
            let owner = seat.owner();
            let previous = self.previous(index);
            self.push(from, to, Some(owner), previous);
            return;
        }
        let is_lost = !seat.is_listed || seat.is_silent(now);
        let is_over = now >= piece.bound && !seat.is_busy;
        let is_settling = matches!(piece.phase, Phase::Settling { .. });
        if is_lost && is_over && !is_settling {
            if let Some(target) = choose() {
                let owner = self.seats[target].owner();
                self.push(from, to, Some(owner), None);
            }
        } else if (seat.endpoint.is_leaving || !seat.is_listed)
            && !is_settling
            && !seat.is_silent(now)
        {
            if let Some(target) = choose() {
                let next = self.seats[target].owner();
                self.push(from, to, Some(next), Some(owner));
            }
        } else if is_settling && is_lost && is_over {
            // The next owner was lost before it got the keys, as far as this
            // planner knows; under another one it may have got them.
            if let Some(target) = choose() {
                let next = self.seats[target].owner();
                let previous = self.previous(index);
                self.push(from, to, Some(next), previous);
            }
        } else if seat.needs_fence {
            let previous = self.previous(index);
            self.push(from, to, Some(owner), previous);
        }
    }

    fn previous(&self, index: usize) -> Option<Owner> {
        match &self.pieces[index].phase {
            Phase::Settling { previous, .. } => Some(previous.clone()),
            _ => None,
        }
    }

    fn edit_by_load(&mut self, heat: &Rates, servers: &[Server], now: Instant) {
        let slices: Vec<Slice> = self
            .pieces
            .iter()
            .filter_map(|piece| {
                let owner = piece.owner.as_ref()?;
                Some(Slice {
                    from: piece.from,
                    to: piece.to,
                    server: self.find(&owner.endpoint).ok()?,
                    is_settled: piece.phase == Phase::Held && now.since(piece.changed) >= MOVE_REST,
                })
            })
            .collect();
        let limit = servers.len() / SERVERS_PER_MOVE + 1;
        for shift in rebalance::round(servers, &slices, heat, limit) {
            let piece = self.pieces.partition_point(|piece| piece.to < shift.from);
            let previous = self.pieces[piece].owner.clone();
            let owner = self.seats[shift.server].owner();
            self.push(shift.from, shift.to, Some(owner), previous);
        }
    }

    fn push(&mut self, from: u16, to: u16, owner: Option<Owner>, previous: Option<Owner>) {
        self.last_fence += 1;
        self.edits.push(Edit {
            from,
            to,
            owner,
            previous,
            fence: self.last_fence,
        });
    }

    /// Returns the table with the edits made.
    fn edited(&self, now: Instant) -> Table {
        let mut pieces = self.pieces.clone();
        for edit in &self.edits {
            apply(&mut pieces, edit, Instant::default());
        }
        join(&mut pieces);
        Table {
            service: self.table.service.clone(),
            claim: self.table.claim.clone(),
            earlier: if now < self.foreign_until {
                self.foreign.clone()
            } else {
                Vec::new()
            },
            last_fence: self.last_fence,
            ranges: pieces.iter().map(Piece::range).collect(),
        }
    }

    /// Takes over a table that was written.
    ///
    /// `sent` is when the write was begun; the claim held then.
    pub fn on_table_written(&mut self, table: Table, revision: u64, sent: Instant, now: Instant) {
        self.is_writing = false;
        self.confirm_claim(sent);
        let edits = std::mem::take(&mut self.edits);
        for edit in &edits {
            let place = self.pieces.partition_point(|piece| piece.to < edit.from);
            let old = self.pieces[place].owner.clone();
            if old.is_some() && old != edit.owner {
                self.moves += 1;
            }
            apply(&mut self.pieces, edit, now);
            let Some(owner) = &edit.owner else { continue };
            if let Some(seat) = self.seat_mut(&owner.endpoint) {
                seat.needs_fence = false;
                seat.next = now;
            }
        }
        join(&mut self.pieces);
        self.table = table;
        self.revision = revision;
    }

    /// Drops the edits of a table that was not written.
    pub fn on_write_failed(&mut self, again: Instant) {
        self.is_writing = false;
        self.edits.clear();
        self.retry_write = again;
    }

    /// Tells whether a write under way gives the piece to another without
    /// expecting its present owner to hold it.
    ///
    /// The write may take effect at any time, even if its answer is lost, so
    /// the present owner must not get the piece meanwhile: nobody would ask it
    /// to release what the write does not name it for.
    fn is_given_away(&self, piece: &Piece) -> bool {
        self.edits.iter().any(|edit| {
            let is_apart = edit.to < piece.from || piece.to < edit.from;
            !is_apart && edit.owner != piece.owner && edit.previous != piece.owner
        })
    }

    fn release(&mut self, steps: &mut Vec<Action>) {
        for index in 0..self.pieces.len() {
            let piece = &self.pieces[index];
            let Phase::Settling {
                previous,
                is_asked: false,
                ..
            } = &piece.phase
            else {
                continue;
            };
            let Some(seat) = self.seat(&previous.endpoint) else {
                continue;
            };
            // A grant on its way could arrive after the release.
            if seat.is_busy {
                continue;
            }
            let order = Release {
                from: piece.from,
                to: piece.to,
                fence: piece.fence,
            };
            steps.push(Action::Release(Arc::clone(&seat.endpoint), order));
            if let Phase::Settling { is_asked, .. } = &mut self.pieces[index].phase {
                *is_asked = true;
            }
        }
    }

    fn grant(&mut self, steps: &mut Vec<Action>, now: Instant) {
        let hold = self.hold();
        for place in 0..self.seats.len() {
            let seat = &self.seats[place];
            if seat.is_busy || now < seat.next {
                continue;
            }
            let owner = seat.owner();
            let is_granted = |piece: &&Piece| {
                piece.owner.as_ref() == Some(&owner)
                    && !matches!(piece.phase, Phase::Settling { .. })
                    && !self.is_given_away(piece)
            };
            let own = self.pieces.iter().filter(is_granted);
            if seat.is_silent(now) || seat.needs_fence {
                let has_keys = own.count() > 0;
                let order = Release {
                    from: 0,
                    to: 0,
                    fence: 0,
                };
                if seat.needs_fence && !seat.is_silent(now) {
                    continue;
                }
                if !seat.is_listed && !has_keys {
                    continue;
                }
                steps.push(Action::Probe(Arc::clone(&seat.endpoint), order));
                let seat = &mut self.seats[place];
                seat.is_busy = true;
                let period = if has_keys {
                    PROBE_PERIOD
                } else {
                    IDLE_PROBE_PERIOD
                };
                seat.next = now.after(period);
                continue;
            }
            let mut grants: Vec<(bool, Grant)> = own
                .map(|piece| {
                    let grant = Grant {
                        from: piece.from,
                        to: piece.to,
                        fence: piece.fence,
                        duration: hold,
                        handover: piece.handover.clone(),
                    };
                    (piece.phase == Phase::Held, grant)
                })
                .collect();
            if grants.is_empty() {
                continue;
            }
            // Until its answer is known, a grant counts as taken.
            let end = now.after(over(hold) + ORDER_TIMEOUT * 2);
            for (_, grant) in &grants {
                let place = self.pieces.partition_point(|piece| piece.to < grant.from);
                let piece = &mut self.pieces[place];
                piece.settled_bound.get_or_insert(piece.bound);
                piece.bound = piece.bound.max(end);
            }
            grants.sort_by_key(|(is_held, _)| *is_held);
            let grants = grants.into_iter().map(|(_, grant)| grant).collect();
            steps.push(Action::Grant(Arc::clone(&seat.endpoint), grants));
            let seat = &mut self.seats[place];
            seat.is_busy = true;
            seat.is_granting = true;
            seat.next = now.after(hold / RENEWALS);
        }
    }

    /// Takes in what came of grants to an endpoint.
    pub fn on_grant_results(&mut self, endpoint: &str, results: &[Completion], now: Instant) {
        for piece in &mut self.pieces {
            let owner = piece.owner.as_ref();
            if owner.is_some_and(|owner| *owner.endpoint == *endpoint) {
                piece.bound = piece.settled_bound.take().unwrap_or(piece.bound);
            }
        }
        for result in results {
            self.note_grant(endpoint, result, now);
        }
        let is_good = results
            .iter()
            .all(|result| matches!(result.outcome, Outcome::Done(_)));
        let is_ended = results
            .iter()
            .any(|result| result.outcome == Outcome::Ended);
        let is_fenced = results
            .iter()
            .any(|result| result.outcome == Outcome::Fenced);
        let has_news = self.pieces.iter().any(|piece| {
            piece.phase == Phase::Granting
                && piece
                    .owner
                    .as_ref()
                    .is_some_and(|owner| *owner.endpoint == *endpoint)
        });
        let Some(seat) = self.seat_mut(endpoint) else {
            return;
        };
        seat.is_busy = false;
        seat.is_granting = false;
        if is_good {
            seat.silent_since = None;
            if has_news {
                seat.next = now;
            }
            return;
        }
        if is_ended || is_fenced {
            seat.needs_fence = true;
        }
        if is_ended {
            return;
        }
        seat.silent_since.get_or_insert(now);
        seat.next = now;
        if is_fenced {
            // A newer planner may exist: nothing more before the claim is seen again.
            seat.silent_since = None;
            self.expire_claim();
        }
    }

    fn note_grant(&mut self, endpoint: &str, result: &Completion, now: Instant) {
        let grant = &result.grant;
        let was_sent = matches!(result.outcome, Outcome::Done(_) | Outcome::Silent);
        if !was_sent {
            return;
        }
        let is_done = matches!(result.outcome, Outcome::Done(_));
        for piece in &mut self.pieces {
            let is_owner = piece
                .owner
                .as_ref()
                .is_some_and(|owner| *owner.endpoint == *endpoint);
            if piece.to < grant.from || grant.to < piece.from {
                continue;
            }
            // Pieces may have been cut or joined since the grant was sent.
            let is_inside = grant.from <= piece.from && piece.to <= grant.to;
            let end = end_of(result);
            if let Phase::Settling {
                previous, until, ..
            } = &mut piece.phase
            {
                if *previous.endpoint == *endpoint {
                    *until = (*until).max(end);
                }
                continue;
            }
            if !is_owner {
                continue;
            }
            if is_done && is_inside && piece.fence == grant.fence {
                // Any other planner's grants are fenced off from here on.
                piece.bound = end;
                if piece.phase == Phase::Granting {
                    piece.phase = Phase::Held;
                    piece.changed = now;
                }
                piece.handover = None;
            } else {
                piece.bound = piece.bound.max(end);
            }
        }
    }

    /// Takes in the answer to a release.
    pub fn on_release_outcome(
        &mut self,
        endpoint: &str,
        order: Release,
        answer: &Outcome,
        now: Instant,
    ) {
        for index in 0..self.pieces.len() {
            let piece = &mut self.pieces[index];
            let is_inside = order.from <= piece.from && piece.to <= order.to;
            let Phase::Settling {
                previous, is_asked, ..
            } = &mut piece.phase
            else {
                continue;
            };
            if !is_inside || *previous.endpoint != *endpoint {
                continue;
            }
            match answer {
                Outcome::Done(handover) => self.begin_granting(index, handover.clone(), now),
                _ => *is_asked = false,
            }
        }
        if let Some(seat) = self.seat_mut(endpoint) {
            match answer {
                Outcome::Done(_) => seat.silent_since = None,
                Outcome::Ended => seat.needs_fence = true,
                _ => {
                    seat.silent_since.get_or_insert(now);
                }
            }
        }
    }

    /// Takes in the answer to a probe.
    pub fn on_probe_outcome(&mut self, endpoint: &str, answer: &Outcome, now: Instant) {
        let Some(seat) = self.seat_mut(endpoint) else {
            return;
        };
        seat.is_busy = false;
        if matches!(answer, Outcome::Done(_)) {
            seat.silent_since = None;
            seat.next = now;
        } else {
            seat.silent_since.get_or_insert(now);
        }
    }

    /// Notes that an endpoint does not hold what it should.
    pub fn on_not_holder(&mut self, endpoint: &str, now: Instant) {
        if let Some(seat) = self.seat_mut(endpoint) {
            seat.next = seat.next.min(now);
        }
    }
}

impl Piece {
    fn names(&self, endpoint: &str) -> bool {
        let is = |owner: &Owner| *owner.endpoint == *endpoint;
        let is_previous = match &self.phase {
            Phase::Settling { previous, .. } => is(previous),
            _ => false,
        };
        is_previous || self.owner.as_ref().is_some_and(is)
    }

    fn range(&self) -> Range {
        Range {
            from: self.from,
            to: self.to,
            owner: self.owner.clone(),
            previous: match &self.phase {
                Phase::Settling { previous, .. } => Some(previous.clone()),
                _ => None,
            },
            fence: self.fence,
        }
    }
}

/// Makes an edit: cuts the pieces at its ends and changes what lies between.
fn apply(pieces: &mut Vec<Piece>, edit: &Edit, now: Instant) {
    split(pieces, edit.from);
    if let Some(next) = edit.to.checked_add(1) {
        split(pieces, next);
    }
    for piece in pieces.iter_mut() {
        if piece.from < edit.from || piece.to > edit.to {
            continue;
        }
        piece.fence = edit.fence;
        if piece.owner == edit.owner {
            // The same owner under a higher fence: it keeps what it has.
            continue;
        }
        piece.handover = None;
        piece.changed = now;
        let previous = edit.previous.clone();
        let until = match &piece.phase {
            Phase::Settling { until, .. } => (*until).max(piece.bound),
            _ => piece.bound,
        };
        piece.phase = match previous {
            Some(previous) => Phase::Settling {
                previous,
                until,
                is_asked: false,
            },
            None => Phase::Granting,
        };
        piece.bound = now;
        piece.settled_bound = None;
        piece.owner = edit.owner.clone();
    }
}

fn split(pieces: &mut Vec<Piece>, at: u16) {
    let place = pieces.partition_point(|piece| piece.to < at);
    if place >= pieces.len() || pieces[place].from == at {
        return;
    }
    let mut second = pieces[place].clone();
    second.from = at;
    pieces[place].to = at - 1;
    pieces.insert(place + 1, second);
}

/// Joins neighbours of one owner that are held.
///
/// The joined piece keeps the fence of the first; its next grant is a renewal
/// of the one and no more than that for the other, so both must be equal.
fn join(pieces: &mut Vec<Piece>) {
    let mut index = 0;
    while index + 1 < pieces.len() {
        let (first, second) = (&pieces[index], &pieces[index + 1]);
        let is_same = first.owner == second.owner
            && first.fence == second.fence
            && first.phase == Phase::Held
            && second.phase == Phase::Held;
        if is_same {
            let bound = first.bound.max(second.bound);
            let settled_bound = first.settled_bound.max(second.settled_bound);
            let changed = first.changed.max(second.changed);
            let to = second.to;
            pieces.remove(index + 1);
            let piece = &mut pieces[index];
            piece.to = to;
            piece.bound = bound;
            piece.settled_bound = settled_bound;
            piece.changed = changed;
        } else {
            index += 1;
        }
    }
}

/// Returns the span after whose end a grant of `hold` is over, from its sending.
fn over(hold: Duration) -> Duration {
    hold + hold * SLOW_CLOCK_PERCENT / 100 + ORDER_TIMEOUT + TIMER_MARGIN
}

/// Returns when a grant is over at the latest.
///
/// A planner short of processor time reads an answer, or gives a connection up,
/// later than [`ORDER_TIMEOUT`]; the order may have arrived as late as that.
fn end_of(result: &Completion) -> Instant {
    let hold = result.grant.duration;
    let usual = result.sent.after(over(hold));
    let latest = result
        .completed
        .after(over(hold).saturating_sub(ORDER_TIMEOUT));
    usual.max(latest)
}

fn now_to(at: Instant, now: Instant) -> Duration {
    at.since(now)
}
