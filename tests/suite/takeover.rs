//! How soon keys are served again when their planner is replaced.
//!
//! Drives planners directly: endpoints that are reachable answer each order at once,
//! all others never do, and the store accepts each table.

use crate::support::fixture;
use rhubarbpick::core::{
    ownership::{
        Action,
        Claim,
        Completion,
        History,
        Outcome,
        Planner,
        Status,
        Table,
        CLAIM_VALIDITY, //
    },
    rebalance::Rates,
    registry::Endpoint,
    revision::compose,
    time::Instant,
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Longest lease that the platform allows.
const MAX_LEASE: Duration = Duration::from_secs(10);

const NO_HISTORY: History = History {
    planned: None,
    uptime_ms: u64::MAX,
};

const TICK: Duration = Duration::from_millis(25);

struct World {
    now: Instant,
    revision: u64,
    table: Table,
    endpoints: Vec<Arc<Endpoint>>,
    /// Id of the endpoint that no longer answers.
    unreachable: Box<str>,
}

fn claim(run: u64) -> Claim {
    Claim {
        node: "vm".into(),
        run,
    }
}

impl World {
    /// Returns a world with its first planner, whose run is 1.
    fn new(endpoints: usize) -> (Self, Planner) {
        let endpoints =
            (0..endpoints).map(|index| Arc::new(fixture::endpoint(&format!("i-{index:03}"))));
        let now = Instant(1_000_000);
        let table = Table::claimed(None, "s", claim(1), 0, &[], &|_| false);
        let planner = Planner::new(table.clone(), 1, MAX_LEASE, now);
        let world = Self {
            now,
            revision: 1,
            table,
            endpoints: endpoints.collect(),
            unreachable: "".into(),
        };
        (world, planner)
    }

    /// Takes the claim from the previous planner, which may still be running.
    fn take_claim(&mut self, run: u64) -> Planner {
        self.revision += 1;
        self.table = Table::claimed(Some(&self.table), "s", claim(run), 0, &[], &|_| false);
        Planner::new(self.table.clone(), self.revision, MAX_LEASE, self.now)
    }

    /// Takes the claim after the store was restored to a state that has `table`.
    fn take_claim_of_restored(&mut self, run: u64, table: &Table) -> Planner {
        let others = [claim(1)];
        self.table = Table::claimed(Some(table), "s", claim(run), 1, &others, &|_| false);
        self.revision = compose(1, self.revision);
        Planner::new(self.table.clone(), self.revision, MAX_LEASE, self.now)
    }

    fn run(&mut self, planner: &mut Planner, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.step(planner);
        }
    }

    fn step(&mut self, planner: &mut Planner) {
        for action in self.tick(planner) {
            self.perform(planner, action);
        }
    }

    fn tick(&mut self, planner: &mut Planner) -> Vec<Action> {
        self.now = self.now.after(TICK);
        let capacity = |_: &str| Some(20.0);
        planner.tick(&self.endpoints, &Rates::default(), &capacity, self.now)
    }

    fn perform(&mut self, planner: &mut Planner, action: Action) {
        let now = self.now;
        let outcome = |endpoint: &Endpoint| {
            if endpoint.id == self.unreachable {
                Outcome::Unreachable
            } else {
                Outcome::Done(None)
            }
        };
        match action {
            Action::Write(table) => {
                self.revision += 1;
                self.table = table.clone();
                planner.on_table_written(table, self.revision, now, now);
            }
            Action::Grant(endpoint, grants) => {
                let completions = grants.into_iter().map(|grant| Completion {
                    grant,
                    sent: now,
                    completed: now,
                    outcome: outcome(&endpoint),
                });
                let completions: Vec<Completion> = completions.collect();
                planner.on_grant_results(&endpoint.id, &completions, now);
            }
            Action::Release(endpoint, order) => {
                planner.on_release_outcome(&endpoint.id, order, &outcome(&endpoint), now);
            }
            Action::Probe(endpoint, _) => {
                planner.on_probe_outcome(&endpoint.id, &outcome(&endpoint), now);
            }
        }
    }

    fn unowned_keys(&self, planner: &Planner) -> usize {
        let is_held = |key: u16| matches!(planner.key_status(key, self.now), Status::Held(_));
        (0..=u16::MAX).filter(|&key| !is_held(key)).count()
    }
}

#[test]
fn keys_of_an_unreachable_endpoint_move_soon_after_the_planner_yielded() {
    // An endpoint is cut off while its planner cannot write to the store, and another VM
    // takes the claim. The planner stops as soon as it learns of that. Its leases were
    // short, so the keys must not wait for the longest lease that any planner may grant.
    let (mut world, mut planner) = World::new(16);
    world.run(&mut planner, Duration::from_secs(4));
    assert_eq!(world.unowned_keys(&planner), 0);
    let lease = planner.lease_duration();
    world.unreachable = "i-003".into();
    let mut successor = world.take_claim(2);
    assert_eq!(successor.predecessors(world.now), [claim(1)]);
    let revision = successor.claim_revision();
    assert!(planner.on_successor_claimed(revision));
    assert!(!planner.is_claim_valid(world.now), "a planner that yielded");
    successor.on_predecessor_yielded(&claim(1), revision, NO_HISTORY, world.now);
    assert!(successor.predecessors(world.now).is_empty());
    let yielded = world.now;
    while world.unowned_keys(&successor) > 0 {
        world.step(&mut successor);
        assert!(world.now.since(yielded) < Duration::from_secs(20));
    }
    let waited = world.now.since(yielded);
    assert!(waited >= lease, "{waited:?}: the lease may still run");
    assert!(waited < lease + Duration::from_millis(700), "{waited:?}");
}

/// Runs a planner, loses what it wrote after `table` and lets a successor take the claim.
/// Returns how long the keys were unowned.
fn unowned_time_after_restore(is_table_lost: bool, uptime_ms: u64) -> Duration {
    let (mut world, mut planner) = World::new(16);
    world.run(&mut planner, Duration::from_secs(2));
    let copied = world.table.clone();
    if is_table_lost {
        // The keys of an endpoint move to the others.
        world.endpoints.remove(3);
        world.run(&mut planner, Duration::from_secs(3));
        assert!(world.table.last_fence > copied.last_fence);
    }
    assert_eq!(world.unowned_keys(&planner), 0);
    let began = world.now;
    let mut successor = world.take_claim_of_restored(2, &copied);
    let revision = successor.claim_revision();
    successor.on_own_history(NO_HISTORY, began);
    assert!(planner.on_successor_claimed(revision));
    let history = History {
        planned: planner.planned(began),
        uptime_ms,
    };
    successor.on_predecessor_yielded(&claim(1), revision, history, began);
    while world.unowned_keys(&successor) > 0 {
        world.step(&mut successor);
        assert!(world.now.since(began) < Duration::from_secs(20));
    }
    world.now.since(began)
}

#[test]
fn keys_are_granted_at_once_if_a_restored_store_lost_no_move() {
    let time = unowned_time_after_restore(false, u64::MAX);
    assert!(time < Duration::from_millis(200), "{time:?}");
}

#[test]
fn leases_run_out_before_keys_are_granted_if_a_restored_store_may_have_lost_moves() {
    const LEASE: Duration = Duration::from_millis(1_300);
    const LONGEST_LEASE: Duration = Duration::from_millis(5_200);
    let time = unowned_time_after_restore(true, u64::MAX);
    assert!(time > LEASE, "{time:?}, though a move was lost");
    assert!(time < LEASE * 2, "{time:?}, though no lease was longer");
    let time = unowned_time_after_restore(false, 1_000);
    assert!(
        time > LONGEST_LEASE - Duration::from_millis(1_000),
        "{time:?}, though an earlier run may have moved keys"
    );
}

#[test]
fn keys_are_granted_in_time_after_a_restore_though_a_vm_is_lost() {
    // The platform's users allow this time for a recovery.
    const RECOVERY_TIME: Duration = Duration::from_secs(15);
    let (mut world, mut planner) = World::new(16);
    world.run(&mut planner, Duration::from_secs(2));
    let began = world.now;
    let copied = world.table.clone();
    let mut successor = world.take_claim_of_restored(2, &copied);
    successor.on_own_history(NO_HISTORY, began);
    while world.unowned_keys(&successor) > 0 {
        successor.confirm_claim(world.now);
        world.step(&mut successor);
        let time = world.now.since(began);
        assert!(
            time < RECOVERY_TIME,
            "{} keys",
            world.unowned_keys(&successor)
        );
    }
}

#[test]
fn keys_are_granted_soon_after_all_vms_were_started_during_a_restore() {
    // The soak expects a recovery within this time.
    const RECOVERY_TIME: Duration = Duration::from_secs(7);
    let (mut world, mut planner) = World::new(16);
    world.run(&mut planner, Duration::from_secs(2));
    let began = world.now;
    let copied = world.table.clone();
    let others = [Claim::unknown()];
    let has_ended = |ended: &Claim| *ended == claim(1);
    world.table = Table::claimed(Some(&copied), "s", claim(2), 1, &others, &has_ended);
    world.revision = compose(1, world.revision);
    let mut successor = Planner::new(world.table.clone(), world.revision, MAX_LEASE, began);
    successor.on_own_history(NO_HISTORY, began);
    while world.unowned_keys(&successor) > 0 {
        successor.confirm_claim(world.now);
        world.step(&mut successor);
        let time = world.now.since(began);
        assert!(
            time < RECOVERY_TIME,
            "no VM knows what preceded the restore"
        );
    }
}

#[test]
fn planner_yields_only_after_its_last_grant_has_ended() {
    // A VM that is short of CPU time sends a grant late. Its successor must not count the
    // lease from a yield that was sent before the grant.
    let (mut world, mut planner) = World::new(4);
    world.run(&mut planner, Duration::from_secs(1));
    let mut grants = Vec::new();
    while grants.is_empty() {
        grants = world.tick(&mut planner);
        grants.retain(|action| matches!(action, Action::Grant(..)));
    }
    let revision = planner.revision() + 1;
    assert!(
        !planner.on_successor_claimed(revision),
        "a grant is pending"
    );
    assert!(!planner.is_claim_valid(world.now));
    for grant in grants {
        world.perform(&mut planner, grant);
    }
    assert!(planner.on_successor_claimed(revision));
}

#[test]
fn leases_grow_only_after_the_table_allows_it() {
    // With many ranges, leases become longer. The successor of a planner must never see a
    // table that allows less than what was granted.
    let (mut world, mut planner) = World::new(500);
    for _ in 0..200 {
        world.step(&mut planner);
        assert!(planner.lease_duration() <= world.table.longest_lease());
    }
    assert!(planner.lease_duration() > Duration::from_secs(4));
    assert_eq!(world.unowned_keys(&planner), 0);
}

#[test]
fn leases_become_shorter_before_the_claim_expires() {
    // A successor that cannot reach the planner counts its last lease as the shortest one.
    const SHORTEST_LEASE: Duration = Duration::from_millis(1_300);
    let (mut world, mut planner) = World::new(500);
    for _ in 0..200 {
        world.step(&mut planner);
    }
    assert!(planner.lease_duration() > Duration::from_secs(4));
    planner.confirm_claim(world.now);
    let confirmed = world.now;
    let mut last_grant = confirmed;
    while world.now < confirmed.after(CLAIM_VALIDITY * 2) {
        for action in world.tick(&mut planner) {
            match &action {
                // The store accepts nothing any more.
                Action::Write(_) => continue,
                Action::Grant(_, grants) => {
                    last_grant = world.now;
                    let latest = confirmed.after(CLAIM_VALIDITY + SHORTEST_LEASE);
                    // The clock of an endpoint may run 2 % slow.
                    let end = |duration: Duration| world.now.after(duration * 102 / 100);
                    let mut durations = grants.iter().map(|grant| grant.duration);
                    assert!(durations
                        .all(|duration| end(duration) <= latest.after(SHORTEST_LEASE * 2 / 100)));
                }
                _ => {}
            }
            world.perform(&mut planner, action);
        }
    }
    assert!(last_grant > confirmed.after(CLAIM_VALIDITY - SHORTEST_LEASE));
}

#[test]
fn notice_of_an_earlier_claim_does_not_end_a_planner() {
    // The sender took the claim before this planner did, and its notice came late.
    let (mut world, _) = World::new(4);
    let mut planner = world.take_claim(2);
    world.run(&mut planner, Duration::from_secs(1));
    assert!(!planner.on_successor_claimed(planner.claim_revision() - 1));
    assert!(planner.is_claim_valid(world.now));
}

#[test]
fn planner_that_must_confirm_its_claim_sends_no_grants_just_after_boot() {
    // The clock counts from the boot of the VM, which may be less than the validity of a
    // claim ago.
    let (mut world, mut planner) = World::new(4);
    world.run(&mut planner, Duration::from_secs(1));
    planner.expire_claim();
    assert!(!planner.is_claim_valid(world.now));
}
