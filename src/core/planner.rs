//! Decisions of the planner of a table.
//!
//! [`decide`] takes the current table and all observations, and returns a
//! [`Decision`]: the next table if it has to change, the requests to renewers to
//! stop renewing an endpoint's lease, and the time of the next decision. Each of
//! them may be missing. The caller stores the table by a conditional update, and
//! only acknowledges and publishes the change once the update is known to have
//! succeeded.
//!
//! At any point, a planner may be suspended for any length of time, for example
//! a minute, or work from an outdated table. Its update then fails, because the
//! stored table is a different one. Two concurrent planners therefore cause extra
//! table changes but do not endanger safety.
//!
//! Safety means that a shard gets a new owner only after the old one has provably
//! lost it. There are three proofs:
//!
//! - The lease of the old owner has expired; [`release::evaluate`] determines when.
//! - The old owner has acknowledged the revocation of the shard and completed all
//!   requests on it; [`settled_version`] tells.
//! - The process of the old owner has ended, because a later incarnation of it has
//!   answered.

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

/// Time for which a process must have heard less than half of all processes, counting itself,
/// before it treats missing heartbeats of peers as failures.
///
/// It is also the basis of such a process's [`takeover_timeout`].
pub const MINORITY_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest silence of a planner that is required before a takeover.
const MAX_TAKEOVER_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of failed takeovers after which [`takeover_timeout`] is no longer doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// Most shards that one update of the table revokes for balance.
const MAX_BALANCING_MOVES: usize = 64;

/// A renewer's report on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The renewer.
    pub node: Node,
    /// What it reported.
    pub report: Report,
}

/// A [`Promise`] as the planner received it, with its sender and arrival time.
///
/// It is valid only while the table for which the planner requested it is the current one.
#[derive(Clone, Debug)]
pub struct Commitment {
    /// The renewer.
    pub node: Node,
    /// What it promised.
    pub promise: Promise,
    /// When it was received.
    pub received: Instant,
}

/// The answer to a probe of an endpoint that has no lease.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Endpoint.
    pub endpoint: Index,
    /// Its answer.
    pub answer: Answer,
}

/// Everything that a decision depends on, besides the table.
pub struct Inputs<'a> {
    /// Time of the decision.
    pub now: Instant,
    /// Wall clock in milliseconds since 1970, for the audit trail.
    pub wall_clock_ms: u64,
    /// Unique identifier of the next write, stored in the table. If the response to a write is
    /// lost, it shows whether the stored table is the written one.
    pub write_id: u64,
    /// Liveness of the other processes.
    pub view: &'a View,
    /// Whether this process may treat missing heartbeats of peers as failures.
    ///
    /// The caller sets it to false while this process hears less than half of all processes,
    /// but not for longer than [`MINORITY_TIMEOUT`].
    pub may_suspect_peers: bool,
    /// The intent in effect.
    pub intent: &'a Record,
    /// Latest report of each renewer on each endpoint.
    pub reports: &'a [Observation],
    /// Promises of renewers to stop, given for this table.
    pub stop_promises: &'a [Commitment],
    /// Answers of absent endpoints to probes.
    pub probes: &'a [Probe],
}

/// A request to a renewer to stop renewing an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The renewer.
    pub node: Node,
    /// The endpoint.
    pub endpoint: Index,
}

/// What the caller has to do next.
#[derive(Clone, Debug, Default)]
pub struct Decision {
    /// Table to store.
    pub next: Option<Table>,
    /// Renewers to ask to stop.
    pub stop_requests: Vec<Request>,
    /// When to decide again if no input changes before.
    pub wake_at: Option<Instant>,
}

/// Returns the first table of a service.
pub fn create(record: &Record, me: &Node, write_id: u64, wall_clock_ms: u64) -> Table {
    let mut table = Table {
        name: record.intent.service.clone(),
        token: Token {
            epoch: 1,
            version: 1,
        },
        write_id,
        planner: me.clone(),
        intent: 0,
        endpoints: Vec::new(),
        owners: Owners::new(record.intent.shards),
        transits: Vec::new(),
        trail: Vec::new(),
        trail_paged: 0,
    };
    table.append_trail(&me.name, wall_clock_ms, "event=cell_created");
    table
}

/// Returns the table that makes `me` the planner instead of another process.
pub fn take_over(table: &Table, me: &Node, write_id: u64, wall_clock_ms: u64) -> Table {
    let mut next = table.clone();
    next.token = table.token.next_epoch();
    next.write_id = write_id;
    next.planner = me.clone();
    let text = format!(
        "event=planner_taken_over from={} to={}",
        table.planner.name, me.name
    );
    next.append_trail(&me.name, wall_clock_ms, text);
    next
}

/// Decides what the planner of `table` does next.
pub fn decide(table: &Table, inputs: &Inputs<'_>) -> Decision {
    let mut draft = Draft {
        next: table.clone(),
        events: Vec::new(),
        suspects: Vec::new(),
        decision: Decision::default(),
    };
    draft.next.token = table.token.next_version();
    add_listed_endpoints(&mut draft, inputs);
    follow_restarts(&mut draft, inputs);
    handle_silent_endpoints(&mut draft, table, inputs);
    admit_endpoints(&mut draft, inputs);
    mark_leaving_endpoints(&mut draft, inputs);
    if inputs.may_suspect_peers {
        replace_renewers(&mut draft, inputs);
    }
    complete_transits(&mut draft, inputs);
    place_shards(&mut draft);
    finish(draft, table, inputs)
}

/// The next table and decision under construction.
struct Draft {
    next: Table,
    /// Entries for the audit trail. The next table is stored only if there are any. The only
    /// change without an entry is the completion of transits; if the freed shards cannot be
    /// assigned at once, the next decision completes the transits again.
    events: Vec<String>,
    /// Endpoints that may be lost.
    suspects: Vec<Index>,
    decision: Decision,
}

impl Draft {
    fn endpoint(&mut self, index: Index) -> &mut Endpoint {
        &mut self.next.endpoints[usize::from(index.0)]
    }

    fn indices(&self, predicate: impl Fn(&Endpoint) -> bool) -> Vec<Index> {
        let indexed = self.next.indexed_endpoints();
        indexed
            .filter(|(_, found)| predicate(found))
            .map(|(index, _)| index)
            .collect()
    }
}

fn finish(mut draft: Draft, table: &Table, inputs: &Inputs<'_>) -> Decision {
    if draft.events.is_empty() {
        return draft.decision;
    }
    let me = &inputs.view.me().node;
    draft.next.write_id = inputs.write_id;
    draft.next.planner = me.clone();
    for event in draft.events {
        draft
            .next
            .append_trail(&me.name, inputs.wall_clock_ms, event);
    }
    debug_assert!(draft.next.token > table.token);
    debug_assert_eq!(draft.next.invariant_violation(), None);
    draft.decision.next = Some(draft.next);
    draft.decision
}

/// Adds the endpoints that a new version of the intent lists.
fn add_listed_endpoints(draft: &mut Draft, inputs: &Inputs<'_>) {
    if draft.next.intent >= inputs.intent.version {
        return;
    }
    draft.next.intent = inputs.intent.version;
    draft.events.push(format!(
        "event=intent_followed intent={}",
        inputs.intent.version
    ));
    for endpoint in &inputs.intent.intent.endpoints {
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
            .events
            .push(format!("event=endpoint_added endpoint={}", endpoint.name));
    }
}

fn is_listed(endpoint: &Endpoint, inputs: &Inputs<'_>) -> bool {
    let mut endpoints = inputs.intent.intent.endpoints.iter();
    endpoints.any(|found| found.name == endpoint.name && found.address == endpoint.address)
}

/// Records the new incarnation of each endpoint whose process was restarted.
///
/// An answer from a later incarnation proves that the recorded one has ended. The shards of the
/// endpoint therefore pass to the new incarnation at once, and shards in transit from the
/// endpoint are free to be assigned.
fn follow_restarts(draft: &mut Draft, inputs: &Inputs<'_>) {
    for index in draft.indices(|endpoint| endpoint.state != Lease::Absent) {
        let endpoint = draft.next.endpoint(index);
        let reports = reports_for(endpoint, index, inputs);
        let replacement = reports
            .filter_map(|observation| observation.report.replaced_by)
            .max();
        let Some(incarnation) =
            replacement.filter(|&incarnation| incarnation > endpoint.incarnation)
        else {
            continue;
        };
        draft.events.push(format!(
            "event=endpoint_restarted endpoint={} from={} to={}",
            endpoint.name, endpoint.incarnation.0, incarnation.0
        ));
        let endpoint = draft.endpoint(index);
        endpoint.incarnation = incarnation;
        endpoint.retired.clear();
        endpoint.state = Lease::Held;
        draft.next.transits.retain(|transit| transit.from != index);
    }
}

/// Handles endpoints that count as silent.
///
/// Requests the missing promises of their renewers to stop. Once the end of the lease is known,
/// schedules a decision for that time, which then marks the endpoint as absent and so leaves
/// its shards unowned.
fn handle_silent_endpoints(draft: &mut Draft, table: &Table, inputs: &Inputs<'_>) {
    for (index, endpoint) in table.indexed_endpoints() {
        let is_restarted = draft.next.endpoint(index).incarnation != endpoint.incarnation;
        if endpoint.state == Lease::Absent || is_restarted || !is_silent(endpoint, index, inputs) {
            continue;
        }
        draft.suspects.push(index);
        match release::evaluate(table, index, inputs) {
            Release::AwaitingPromises(nodes) => {
                let requests = nodes.into_iter().map(|node| Request {
                    node,
                    endpoint: index,
                });
                draft.decision.stop_requests.extend(requests);
            }
            Release::At(expiry) if expiry <= inputs.now => mark_absent(draft, index),
            Release::At(expiry) => schedule_wake(&mut draft.decision, expiry),
        }
    }
}

fn schedule_wake(decision: &mut Decision, at: Instant) {
    decision.wake_at = Some(decision.wake_at.map_or(at, |wake_at| wake_at.min(at)));
}

/// Returns whether an endpoint counts as silent.
///
/// It does if heartbeats arrive from at least one of its renewers and each renewer from which
/// they arrive reports it as silent. It also does once any renewer has promised to stop,
/// because then possibly no process renews its lease.
fn is_silent(endpoint: &Endpoint, index: Index, inputs: &Inputs<'_>) -> bool {
    let has_stopped = inputs
        .stop_promises
        .iter()
        .any(|commitment| commitment.promise.endpoint == index);
    if has_stopped {
        return true;
    }
    let is_heard =
        |node: &&Node| inputs.view.state(node, inputs.now) != membership::Liveness::Silent;
    let mut heard_renewers = endpoint.renewers.iter().filter(is_heard).peekable();
    if heard_renewers.peek().is_none() {
        return false;
    }
    heard_renewers.all(|node| {
        let mut reports = reports_for(endpoint, index, inputs);
        reports.any(|observation| observation.node == *node && observation.report.silent)
    })
}

fn mark_absent(draft: &mut Draft, index: Index) {
    let shards = draft.next.owners.shards_of(index);
    for &shard in &shards {
        draft.next.owners.set(shard, None);
    }
    draft.next.transits.retain(|transit| transit.from != index);
    let endpoint = draft.endpoint(index);
    endpoint.state = Lease::Absent;
    endpoint.renewers.clear();
    endpoint.retired.clear();
    let name = endpoint.name.clone();
    draft.events.push(format!(
        "event=endpoint_lost endpoint={name} shards={} reason=silent",
        shards.len()
    ));
}

/// Grants leases to absent endpoints that answer probes, both new ones and ones that were lost.
fn admit_endpoints(draft: &mut Draft, inputs: &Inputs<'_>) {
    for probe in inputs.probes {
        let index = probe.endpoint;
        let endpoint = draft.next.endpoint(index);
        let is_wanted = is_listed(endpoint, inputs) && !probe.answer.leaving;
        let is_older_incarnation = probe.answer.incarnation < endpoint.incarnation;
        if endpoint.state != Lease::Absent || !is_wanted || is_older_incarnation {
            continue;
        }
        let renewers = renewers::choose(endpoint, index, &[], inputs);
        if renewers.is_empty() {
            continue;
        }
        let endpoint = draft.endpoint(index);
        endpoint.state = Lease::Held;
        endpoint.incarnation = probe.answer.incarnation;
        endpoint.renewers = renewers;
        let name = endpoint.name.clone();
        draft
            .events
            .push(format!("event=endpoint_held endpoint={name}"));
    }
}

/// Marks endpoints that are shutting down or no longer listed in the intent.
fn mark_leaving_endpoints(draft: &mut Draft, inputs: &Inputs<'_>) {
    for index in draft.indices(|endpoint| endpoint.state == Lease::Held) {
        let endpoint = draft.next.endpoint(index);
        let is_leaving =
            reports_for(endpoint, index, inputs).any(|observation| observation.report.leaving);
        if is_leaving || !is_listed(endpoint, inputs) {
            let name = endpoint.name.clone();
            draft.endpoint(index).state = Lease::Leaving;
            draft
                .events
                .push(format!("event=endpoint_leaving endpoint={name}"));
        }
    }
}

/// Replaces renewers that are no longer alive.
fn replace_renewers(draft: &mut Draft, inputs: &Inputs<'_>) {
    for index in draft.indices(|endpoint| endpoint.state != Lease::Absent) {
        if draft.suspects.contains(&index) {
            continue;
        }
        if let Some(renewers) = renewers::reassign(draft.next.endpoint(index), index, inputs) {
            set_renewers(draft, index, renewers, inputs);
        }
    }
}

/// Sets the renewers of an endpoint.
///
/// Removed renewers are kept as retired until the endpoint has acknowledged a
/// table without them, because it may obey them until then.
fn set_renewers(draft: &mut Draft, index: Index, renewers: Vec<Node>, inputs: &Inputs<'_>) {
    let version = draft.next.token.version;
    let acked = acked_version(draft.next.endpoint(index), index, inputs);
    let endpoint = draft.endpoint(index);
    let previous = std::mem::replace(&mut endpoint.renewers, renewers);
    endpoint.retired.retain(|retired| retired.version > acked);
    for node in previous {
        if !endpoint.renewers.contains(&node) {
            endpoint.retired.push(Retired { node, version });
        }
    }
    let event = format!("event=renewers_replaced endpoint={}", endpoint.name);
    draft.events.push(event);
}

/// Completes transits whose previous owner has completed the revocation or is absent, so that
/// it has no lease.
fn complete_transits(draft: &mut Draft, inputs: &Inputs<'_>) {
    let next = &draft.next;
    let is_pending = |transit: &Transit| {
        let endpoint = next.endpoint(transit.from);
        let is_absent = endpoint.state == Lease::Absent;
        !is_absent && settled_version(endpoint, transit.from, inputs) < transit.version
    };
    let pending: Vec<Transit> = next
        .transits
        .iter()
        .filter(|found| is_pending(found))
        .cloned()
        .collect();
    draft.next.transits = pending;
}

/// Assigns unowned shards to endpoints, and revokes shards that have to move.
///
/// The shards of leaving endpoints have to move. While there are none of these and no transits,
/// endpoints with more than an even share give up the excess. Only endpoints that are neither
/// absent, leaving nor silent are assigned shards or give up an excess; if there are none,
/// nothing changes.
fn place_shards(draft: &mut Draft) {
    let suspects = std::mem::take(&mut draft.suspects);
    let targets = draft.indices(|endpoint| endpoint.state == Lease::Held);
    let targets: Vec<Index> = targets
        .into_iter()
        .filter(|index| !suspects.contains(index))
        .collect();
    if targets.is_empty() {
        return;
    }
    let mut load = Load::new(&draft.next.owners, &targets);
    let assignable = assignable(&draft.next);
    for &shard in &assignable {
        let owner = load.assign_to_least_loaded();
        draft.next.owners.set(shard, owner);
    }
    if !assignable.is_empty() {
        draft
            .events
            .push(format!("event=shards_granted shards={}", assignable.len()));
    }
    let leaving = draft.indices(|endpoint| endpoint.state == Lease::Leaving);
    let mut moves: Vec<shard::Shard> = Vec::new();
    for index in leaving {
        moves.extend(draft.next.owners.shards_of(index));
    }
    let pending = draft.next.transits.len() + moves.len();
    if pending == 0 {
        moves.extend(load.excess_shards(&draft.next.owners, MAX_BALANCING_MOVES));
    }
    if moves.is_empty() {
        return;
    }
    revoke(draft, &moves);
}

/// Returns the unowned shards that are not in transit.
fn assignable(table: &Table) -> Vec<shard::Shard> {
    let unowned = table.owners.iter().filter(|(_, owner)| owner.is_none());
    let is_in_transit = |shard: shard::Shard| {
        let found = table
            .transits
            .binary_search_by_key(&shard, |transit| transit.shard);
        found.is_ok()
    };
    unowned
        .map(|(shard, _)| shard)
        .filter(|&shard| !is_in_transit(shard))
        .collect()
}

/// Revokes shards from their owners. Each is in transit until its previous owner has completed
/// the revocation.
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
        .events
        .push(format!("event=shards_revoked shards={}", moves.len()));
}

/// Returns the rank of this process among the candidates for taking over.
///
/// Candidates are ranked by name and wait longer with each rank, so that they
/// rarely race.
pub fn takeover_rank(view: &View, planner: &Node, now: Instant) -> usize {
    let me = &view.me().node;
    let usable = view.usable(now);
    let others = usable.iter().filter(|peer| peer.node != *planner);
    others.take_while(|peer| peer.node != *me).count()
}

/// Returns whether this process may create a missing table: the first one by name of the
/// processes that it considers alive.
pub fn may_create_table(view: &View, now: Instant) -> bool {
    let me = &view.me().node;
    view.usable(now)
        .first()
        .is_some_and(|peer| peer.node == *me)
}

/// Returns the silence of a planner after which a candidate takes over from it.
///
/// A process that hears less than half of all processes is probably the partitioned one, so it
/// waits longer.
///
/// A takeover has failed if the process was afterwards replaced as planner by one that it
/// cannot hear. Each failed takeover doubles the timeout, because the two processes would
/// otherwise take over from each other for as long as the partition lasts.
pub fn takeover_timeout(rank: usize, hears_at_least_half: bool, failed_takeovers: u32) -> Duration {
    let delay_steps = u32::try_from(rank).unwrap_or(u32::MAX);
    let base = if hears_at_least_half {
        PEER_SUSPECT_TIMEOUT
    } else {
        MINORITY_TIMEOUT
    };
    let silence = base + TAKEOVER_DELAY_STEP.saturating_mul(delay_steps);
    let factor = 1 << failed_takeovers.min(MAX_BACKOFF_DOUBLINGS);
    silence.saturating_mul(factor).min(MAX_TAKEOVER_TIMEOUT)
}
