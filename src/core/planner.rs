//! What the planner of a cell does next.
//!
//! [`decide`] looks at the table and at what is known, and returns the next
//! table, the words to ask for, or nothing. The caller stores the table by a
//! conditional update; only if that is known to have taken effect is the
//! change acknowledged and passed on.
//!
//! A planner may be out of date or stopped for a minute at any point: its
//! update then fails, as the stored table is another. Two planners at once
//! therefore cost churn, not safety. What safety rests on is that a shard is
//! given to a new owner only if the old one's hold is over, which
//! [`release::evaluate`] decides.

use crate::core::{
    intent::Record,
    membership::{
        self,
        View, //
    },
    placement::Load,
    release::{
        self,
        acked_version,
        reports_for,
        settled_version,
        Release, //
    },
    renewal::{
        Answer,
        Promise,
        Report, //
    },
    renewers, shard,
    table::{
        Endpoint,
        Index,
        Lease,
        Node,
        Owners,
        Retired,
        Table,
        Transit, //
    },
    time::{
        Instant,
        PEER_SUSPECT_TIMEOUT,
        TAKEOVER_DELAY_STEP, //
    },
    token::Token,
};
use std::time::Duration;

/// Silence after which a process that hears less than half of the others acts.
pub const MINORITY_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait before a takeover.
const TAKEOVER_MAX: Duration = Duration::from_secs(60);

/// Setbacks that still double the wait.
const SETBACKS_MAX: u32 = 8;

/// Most shards revoked for balance in one table.
const BALANCE_MOVES: usize = 64;

/// A report and the renewer that gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The renewer.
    pub node: Node,
    /// What it said.
    pub report: Report,
}

/// A word, valid for the table that the planner holds.
#[derive(Clone, Debug)]
pub struct Commitment {
    /// The renewer.
    pub node: Node,
    /// What it promised.
    pub promise: Promise,
    /// When it was received.
    pub received: Instant,
}

/// Answer of an endpoint that nobody renews.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Endpoint.
    pub endpoint: Index,
    /// What it said.
    pub answer: Answer,
}

/// What the planner knows.
pub struct Inputs<'a> {
    /// Time of the decision.
    pub now: Instant,
    /// Wall clock in milliseconds since 1970, for the trail.
    pub wall_clock_ms: u64,
    /// Identity for the next write.
    pub write_id: u64,
    /// The other processes.
    pub view: &'a View,
    /// Whether this process may judge others by their silence.
    pub may_suspect_peers: bool,
    /// The intent in force.
    pub intent: &'a Record,
    /// Latest report of each renewer on each endpoint.
    pub reports: &'a [Observation],
    /// Words given for this table.
    pub stop_promises: &'a [Commitment],
    /// Answers of absent endpoints.
    pub probes: &'a [Probe],
}

/// A request for a renewer's word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The renewer.
    pub node: Node,
    /// Endpoint to stop renewing.
    pub endpoint: Index,
}

/// What to do next.
#[derive(Clone, Debug, Default)]
pub struct Decision {
    /// Table to store.
    pub next: Option<Table>,
    /// Words to ask for.
    pub stop_requests: Vec<Request>,
    /// When to decide again if nothing else happens.
    pub wake_at: Option<Instant>,
}

/// Makes the first table of a cell.
pub fn create(confirmed: &Record, me: &Node, write_id: u64, wall_clock_ms: u64) -> Table {
    let mut cell = Table {
        name: confirmed.intent.service.clone(),
        token: Token {
            epoch: 1,
            version: 1,
        },
        write_id,
        planner: me.clone(),
        intent: 0,
        endpoints: Vec::new(),
        owners: Owners::new(confirmed.intent.shards),
        transits: Vec::new(),
        trail: Vec::new(),
        trail_paged: 0,
    };
    cell.append_trail(&me.name, wall_clock_ms, "event=cell_created");
    cell
}

/// Makes the table with which `me` takes over from another planner.
pub fn take_over(cell: &Table, me: &Node, write_id: u64, wall_clock_ms: u64) -> Table {
    let mut next = cell.clone();
    next.token = cell.token.next_epoch();
    next.write_id = write_id;
    next.planner = me.clone();
    let text = format!(
        "event=planner_taken_over from={} to={}",
        cell.planner.name, me.name
    );
    next.append_trail(&me.name, wall_clock_ms, text);
    next
}

/// Decides what the planner does next.
pub fn decide(cell: &Table, facts: &Inputs<'_>) -> Decision {
    let mut draft = Draft {
        next: cell.clone(),
        notes: Vec::new(),
        suspects: Vec::new(),
        decision: Decision::default(),
    };
    draft.next.token = cell.token.next_version();
    follow_intent(&mut draft, facts);
    follow_runs(&mut draft, facts);
    follow_losses(&mut draft, cell, facts);
    follow_returns(&mut draft, facts);
    follow_leavers(&mut draft, facts);
    if facts.may_suspect_peers {
        replace_renewers(&mut draft, facts);
    }
    settle_transits(&mut draft, facts);
    place_shards(&mut draft);
    finish(draft, cell, facts)
}

struct Draft {
    next: Table,
    notes: Vec<String>,
    suspects: Vec<Index>,
    decision: Decision,
}

impl Draft {
    fn endpoint(&mut self, key: Index) -> &mut Endpoint {
        &mut self.next.endpoints[usize::from(key.0)]
    }

    fn keys(&self, wanted: impl Fn(&Endpoint) -> bool) -> Vec<Index> {
        let keyed = self.next.indexed_endpoints();
        keyed
            .filter(|(_, found)| wanted(found))
            .map(|(key, _)| key)
            .collect()
    }
}

fn finish(mut draft: Draft, cell: &Table, facts: &Inputs<'_>) -> Decision {
    if draft.notes.is_empty() {
        return draft.decision;
    }
    let me = &facts.view.me().node;
    draft.next.write_id = facts.write_id;
    draft.next.planner = me.clone();
    for note in draft.notes {
        draft.next.append_trail(&me.name, facts.wall_clock_ms, note);
    }
    debug_assert!(draft.next.token > cell.token);
    debug_assert_eq!(draft.next.invariant_violation(), None);
    draft.decision.next = Some(draft.next);
    draft.decision
}

/// Adds the endpoints that the intent names.
fn follow_intent(draft: &mut Draft, facts: &Inputs<'_>) {
    if draft.next.intent >= facts.intent.version {
        return;
    }
    draft.next.intent = facts.intent.version;
    draft.notes.push(format!(
        "event=intent_followed intent={}",
        facts.intent.version
    ));
    for endpoint in &facts.intent.intent.endpoints {
        if draft
            .next
            .find_endpoint(&endpoint.name, endpoint.address)
            .is_some()
        {
            continue;
        }
        draft.next.endpoints.push(Endpoint {
            name: endpoint.name.clone(),
            address: endpoint.address,
            zone: endpoint.zone.clone(),
            state: Lease::Absent,
            incarnation: Default::default(),
            renewers: Vec::new(),
            retired: Vec::new(),
        });
        draft
            .notes
            .push(format!("event=endpoint_added endpoint={}", endpoint.name));
    }
}

fn is_listed(endpoint: &Endpoint, facts: &Inputs<'_>) -> bool {
    let mut endpoints = facts.intent.intent.endpoints.iter();
    endpoints.any(|found| found.name == endpoint.name && found.address == endpoint.address)
}

/// Names the new run of each endpoint whose process was restarted.
///
/// That a later run answers proves the named one dead, so its shards are
/// granted to the new run at once.
fn follow_runs(draft: &mut Draft, facts: &Inputs<'_>) {
    for key in draft.keys(|endpoint| endpoint.state != Lease::Absent) {
        let endpoint = draft.next.endpoint(key);
        let reports = reports_for(endpoint, key, facts);
        let replaced = reports
            .filter_map(|reported| reported.report.replaced_by)
            .max();
        let Some(run) = replaced.filter(|&run| run > endpoint.incarnation) else {
            continue;
        };
        draft.notes.push(format!(
            "event=endpoint_restarted endpoint={} from={} to={}",
            endpoint.name, endpoint.incarnation.0, run.0
        ));
        let endpoint = draft.endpoint(key);
        endpoint.incarnation = run;
        endpoint.retired.clear();
        endpoint.state = Lease::Held;
        draft.next.transits.retain(|transit| transit.from != key);
    }
}

/// Takes the shards of endpoints whose hold is over.
fn follow_losses(draft: &mut Draft, cell: &Table, facts: &Inputs<'_>) {
    for (key, endpoint) in cell.indexed_endpoints() {
        let restarted = draft.next.endpoint(key).incarnation != endpoint.incarnation;
        if endpoint.state == Lease::Absent || restarted || !is_silent(endpoint, key, facts) {
            continue;
        }
        draft.suspects.push(key);
        match release::evaluate(cell, key, facts) {
            Release::AwaitingPromises(nodes) => {
                let asks = nodes.into_iter().map(|node| Request {
                    node,
                    endpoint: key,
                });
                draft.decision.stop_requests.extend(asks);
            }
            Release::At(over) if over <= facts.now => mark_absent(draft, key),
            Release::At(over) => wake(&mut draft.decision, over),
        }
    }
}

fn wake(decision: &mut Decision, at: Instant) {
    decision.wake_at = Some(decision.wake_at.map_or(at, |again| again.min(at)));
}

/// Tells whether every renewer that can be heard finds the endpoint silent.
///
/// Once a renewer has stopped on request the endpoint has to be taken for
/// lost, as nobody may be renewing it.
fn is_silent(endpoint: &Endpoint, key: Index, facts: &Inputs<'_>) -> bool {
    let stopped = facts
        .stop_promises
        .iter()
        .any(|given| given.promise.endpoint == key);
    if stopped {
        return true;
    }
    let heard = |node: &&Node| facts.view.state(node, facts.now) != membership::Liveness::Silent;
    let mut heard_seats = endpoint.renewers.iter().filter(heard).peekable();
    if heard_seats.peek().is_none() {
        return false;
    }
    heard_seats.all(|node| {
        let mut reports = reports_for(endpoint, key, facts);
        reports.any(|reported| reported.node == *node && reported.report.silent)
    })
}

fn mark_absent(draft: &mut Draft, key: Index) {
    let shards = draft.next.owners.shards_of(key);
    for &shard in &shards {
        draft.next.owners.set(shard, None);
    }
    draft.next.transits.retain(|transit| transit.from != key);
    let endpoint = draft.endpoint(key);
    endpoint.state = Lease::Absent;
    endpoint.renewers.clear();
    endpoint.retired.clear();
    let name = endpoint.name.clone();
    draft.notes.push(format!(
        "event=endpoint_lost endpoint={name} shards={} reason=silent",
        shards.len()
    ));
}

/// Takes in absent endpoints that answer again.
fn follow_returns(draft: &mut Draft, facts: &Inputs<'_>) {
    for probe in facts.probes {
        let key = probe.endpoint;
        let endpoint = draft.next.endpoint(key);
        let wanted = is_listed(endpoint, facts) && !probe.answer.leaving;
        let older = probe.answer.incarnation < endpoint.incarnation;
        if endpoint.state != Lease::Absent || !wanted || older {
            continue;
        }
        let seats = renewers::choose(endpoint, key, &[], facts);
        if seats.is_empty() {
            continue;
        }
        let endpoint = draft.endpoint(key);
        endpoint.state = Lease::Held;
        endpoint.incarnation = probe.answer.incarnation;
        endpoint.renewers = seats;
        let name = endpoint.name.clone();
        draft
            .notes
            .push(format!("event=endpoint_held endpoint={name}"));
    }
}

/// Marks endpoints that want to leave or are no longer listed.
fn follow_leavers(draft: &mut Draft, facts: &Inputs<'_>) {
    for key in draft.keys(|endpoint| endpoint.state == Lease::Held) {
        let endpoint = draft.next.endpoint(key);
        let asks = reports_for(endpoint, key, facts).any(|reported| reported.report.leaving);
        if asks || !is_listed(endpoint, facts) {
            let name = endpoint.name.clone();
            draft.endpoint(key).state = Lease::Leaving;
            draft
                .notes
                .push(format!("event=endpoint_leaving endpoint={name}"));
        }
    }
}

/// Gives each endpoint its number of renewers that can be heard.
fn replace_renewers(draft: &mut Draft, facts: &Inputs<'_>) {
    for key in draft.keys(|endpoint| endpoint.state != Lease::Absent) {
        if draft.suspects.contains(&key) {
            continue;
        }
        if let Some(seats) = renewers::reassign(draft.next.endpoint(key), key, facts) {
            seat_renewers(draft, key, seats, facts);
        }
    }
}

/// Seats other renewers; those dropped stay obliged until they are fenced.
fn seat_renewers(draft: &mut Draft, key: Index, seats: Vec<Node>, facts: &Inputs<'_>) {
    let version = draft.next.token.version;
    let acked = acked_version(draft.next.endpoint(key), key, facts);
    let endpoint = draft.endpoint(key);
    let former = std::mem::replace(&mut endpoint.renewers, seats);
    endpoint.retired.retain(|retired| retired.version > acked);
    for node in former {
        if !endpoint.renewers.contains(&node) {
            endpoint.retired.push(Retired { node, version });
        }
    }
    let note = format!("event=renewers_replaced endpoint={}", endpoint.name);
    draft.notes.push(note);
}

/// Frees shards whose former owner has acknowledged their revocation.
fn settle_transits(draft: &mut Draft, facts: &Inputs<'_>) {
    let next = &draft.next;
    let is_open = |transit: &Transit| {
        let endpoint = next.endpoint(transit.from);
        let over = endpoint.state == Lease::Absent;
        !over && settled_version(endpoint, transit.from, facts) < transit.version
    };
    let open: Vec<Transit> = next
        .transits
        .iter()
        .filter(|found| is_open(found))
        .cloned()
        .collect();
    draft.next.transits = open;
}

/// Gives unowned shards to endpoints and revokes what has to move.
fn place_shards(draft: &mut Draft) {
    let suspects = std::mem::take(&mut draft.suspects);
    let usable = draft.keys(|endpoint| endpoint.state == Lease::Held);
    let usable: Vec<Index> = usable
        .into_iter()
        .filter(|key| !suspects.contains(key))
        .collect();
    if usable.is_empty() {
        return;
    }
    let mut load = Load::new(&draft.next.owners, &usable);
    let unowned = unowned(&draft.next);
    for &shard in &unowned {
        let owner = load.take_least();
        draft.next.owners.set(shard, owner);
    }
    if !unowned.is_empty() {
        draft
            .notes
            .push(format!("event=shards_granted shards={}", unowned.len()));
    }
    let leaving = draft.keys(|endpoint| endpoint.state == Lease::Leaving);
    let mut moves: Vec<shard::Shard> = Vec::new();
    for key in leaving {
        moves.extend(draft.next.owners.shards_of(key));
    }
    let pending = draft.next.transits.len() + moves.len();
    if pending == 0 {
        moves.extend(load.excess(&draft.next.owners, BALANCE_MOVES));
    }
    if moves.is_empty() {
        return;
    }
    revoke(draft, &moves);
}

fn unowned(cell: &Table) -> Vec<shard::Shard> {
    let free = cell.owners.iter().filter(|(_, owner)| owner.is_none());
    let waiting = |shard: shard::Shard| {
        let found = cell
            .transits
            .binary_search_by_key(&shard, |transit| transit.shard);
        found.is_ok()
    };
    free.map(|(shard, _)| shard)
        .filter(|&shard| !waiting(shard))
        .collect()
}

fn revoke(draft: &mut Draft, moves: &[shard::Shard]) {
    let version = draft.next.token.version;
    for &shard in moves {
        let Some(from) = draft.next.owners.get(shard) else {
            continue;
        };
        draft.next.owners.set(shard, None);
        draft.next.transits.push(Transit {
            shard,
            from,
            version,
        });
    }
    draft.next.transits.sort_by_key(|transit| transit.shard);
    draft
        .notes
        .push(format!("event=shards_revoked shards={}", moves.len()));
}

/// Returns how long `me` waits before it takes over from a silent planner.
///
/// Candidates wait in the order of their names, so that they rarely race.
pub fn takeover_rank(view: &View, planner: &Node, now: Instant) -> usize {
    let me = &view.me().node;
    let usable = view.usable(now);
    let others = usable.iter().filter(|peer| peer.node != *planner);
    others.take_while(|peer| peer.node != *me).count()
}

/// Tells whether this process is the first of those that may make a new cell.
pub fn may_create_cell(view: &View, now: Instant) -> bool {
    let me = &view.me().node;
    view.usable(now)
        .first()
        .is_some_and(|peer| peer.node == *me)
}

/// Returns the silence after which a candidate takes over from a planner.
///
/// A process that hears less than half of the others is probably the one that
/// is cut off, so it waits longer. So does one that took over before and was
/// superseded by a process that it cannot hear: the two would otherwise take
/// the cell from each other for as long as they are cut off.
pub fn takeover_timeout(rank: usize, hears_most: bool, setbacks: u32) -> Duration {
    let steps = u32::try_from(rank).unwrap_or(u32::MAX);
    let base = if hears_most {
        PEER_SUSPECT_TIMEOUT
    } else {
        MINORITY_TIMEOUT
    };
    let silence = base + TAKEOVER_DELAY_STEP.saturating_mul(steps);
    let factor = 1 << setbacks.min(SETBACKS_MAX);
    silence.saturating_mul(factor).min(TAKEOVER_MAX)
}
