//! State-space search of the ownership logic in a small system.
//!
//! The system has four processes, of which two can be planners, two endpoints
//! and one shard. The decisions are made by the production code:
//! [`planner::decide`], [`Renewal`] and the endpoint's [`Holder`]. The search
//! explores the possible sequences of all other events: any participant pauses
//! at any step, orders arrive late, responses are lost, updates take effect
//! late, processes and endpoints restart, and planners suspect any endpoint.
//! After each step at most one endpoint may own the shard.

mod world;

use self::world::{
    actions,
    start,
    step,
    violation,
    Action,
    Scope,
    World,
    Write,
    ALL,
    SHARD, //
};
use crate::support;
use rand::{
    seq::IndexedRandom,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use rhubarbpick::core::shard;
use std::{
    collections::{
        HashSet,
        VecDeque, //
    },
    hash::Hash,
    panic::resume_unwind,
    thread, //
};
use xxhash_rust::xxh3::Xxh3;

/// Maximum number of states that one search visits.
const MAX_STATES: usize = 200_000;

/// A renewer of both endpoints was replaced; only the planner knows the new table.
const RENEWER_REPLACED: [Action; 1] = [Action::Plan(0, None, Some(2), Write::Acknowledged)];

/// The other renewer and the first endpoint know the new table too.
const REPLACEMENT_ACKNOWLEDGED: [Action; 3] = [
    Action::Plan(0, None, Some(2), Write::Acknowledged),
    Action::ReadTable(3),
    Action::Renew(3, 0),
];

/// The planner has requested a promise from the new renewer, which has not read the
/// table yet.
const PROMISE_REQUESTED_EARLY: [Action; 6] = [
    Action::Plan(0, None, Some(2), Write::Acknowledged),
    Action::ReadTable(3),
    Action::Renew(3, 0),
    Action::RequestPromise(0, 1, 0),
    Action::RequestPromise(0, 3, 0),
    Action::Tick,
];

/// Both renewers have promised to stop; the replaced one does not know the table.
const FORMER_RENEWER_OUTDATED: [Action; 7] = [
    Action::Plan(0, None, Some(2), Write::Acknowledged),
    Action::ReadTable(3),
    Action::Renew(3, 0),
    Action::ReadTable(1),
    Action::RequestPromise(0, 1, 0),
    Action::RequestPromise(0, 3, 0),
    Action::Tick,
];

/// Both renewers have promised to stop; the endpoint may still accept orders of the
/// replaced one.
const FORMER_RENEWER_NOT_FENCED: [Action; 6] = [
    Action::Plan(0, None, Some(2), Write::Acknowledged),
    Action::ReadTable(1),
    Action::ReadTable(3),
    Action::RequestPromise(0, 1, 0),
    Action::RequestPromise(0, 3, 0),
    Action::Tick,
];

/// The replaced renewer sent the last order and then read the table.
const FORMER_RENEWER_SENT_LAST: [Action; 9] = [
    Action::Plan(0, None, Some(2), Write::Acknowledged),
    Action::Tick,
    Action::Tick,
    Action::Renew(2, 0),
    Action::Renew(2, 0),
    Action::ReadTable(2),
    Action::ReadTable(1),
    Action::ReadTable(3),
    Action::RequestPromise(0, 2, 0),
];

/// A renewer sent the last order and was then restarted.
const RENEWER_GONE: [Action; 6] = [
    Action::Tick,
    Action::Tick,
    Action::Renew(2, 0),
    Action::Renew(2, 0),
    Action::RestartNode(2),
    Action::LearnGone(0, 2),
];

/// The shard was reassigned after its lease expired, while a request on it was running.
const MOVED_WHILE_RUNNING: [Action; 6] = [
    Action::Begin(0),
    Action::RequestPromise(0, 2, 0),
    Action::RequestPromise(0, 3, 0),
    Action::Tick,
    Action::Tick,
    Action::Plan(0, Some(0), None, Write::Acknowledged),
];

/// Number of random schedules, which are longer than those of the search.
const RANDOM_SCHEDULES: u64 = 6_000;

/// Number of steps in a random schedule.
const SCHEDULE_STEPS: usize = 70;

/// Returns a hash of a state, by which the search recognises visited states.
fn fingerprint(world: &World) -> u128 {
    let mut hasher = Xxh3::new();
    world.now.hash(&mut hasher);
    world.store.digest.hash(&mut hasher);
    if let Some(update) = &world.delayed_update {
        (update.expected, update.next.digest).hash(&mut hasher);
    }
    for process in &world.processes {
        process.node.incarnation.hash(&mut hasher);
        process.table.digest.hash(&mut hasher);
        process.renewals.hash(&mut hasher);
        format!("{:?}{:?}", process.commitments, process.gone).hash(&mut hasher);
    }
    world.holders.hash(&mut hasher);
    format!("{:?}", world.delayed_order).hash(&mut hasher);
    let counts = [world.node_restarts, world.endpoint_restarts, world.leaves];
    counts.hash(&mut hasher);
    world.work.hash(&mut hasher);
    hasher.digest128()
}

/// Visits the states that a scope allows in breadth-first order, up to [`MAX_STATES`].
fn search(scope: &Scope) -> String {
    let mut seen = HashSet::new();
    let mut parents: Vec<(usize, Action)> = vec![(0, Action::Tick)];
    let initial = scope.prefix.iter().fold(start(), |world, &action| {
        // An action without effect leaves the state unchanged.
        step(&world, action).unwrap_or(world)
    });
    let mut queue = VecDeque::from([(initial, 0usize, 0usize)]);
    let mut max_depth = 0;
    let mut is_complete = true;
    while let Some((world, index, depth)) = queue.pop_front() {
        for action in actions(&world, scope) {
            let Some(next) = step(&world, action) else {
                continue;
            };
            if seen.len() >= MAX_STATES {
                is_complete = false;
                continue;
            }
            if !seen.insert(fingerprint(&next)) {
                continue;
            }
            parents.push((index, action));
            max_depth = max_depth.max(depth + 1);
            let number = parents.len() - 1;
            if let Some(text) = violation(&next) {
                panic!("{}: {text} after {:?}", scope.name, path(&parents, number));
            }
            queue.push_back((next, number, depth + 1));
        }
    }
    let extent = if is_complete {
        "all states"
    } else {
        "stopped at the limit"
    };
    let states = seen.len();
    format!(
        "{}: {states} states, {extent}, the deepest schedule has {max_depth} steps",
        scope.name
    )
}

/// Returns the actions that lead to the state `index`.
fn path(parents: &[(usize, Action)], mut index: usize) -> Vec<Action> {
    let mut path = Vec::new();
    while index != 0 {
        path.push(parents[index].1);
        index = parents[index].0;
    }
    path.reverse();
    path
}

#[test]
fn no_reachable_state_has_two_owners_of_a_shard() {
    let _guard = support::turn();
    let none = Scope::default();
    let scopes = [
        Scope {
            name: "pauses only",
            ..none
        },
        Scope {
            name: "delayed orders",
            delayed_orders: true,
            ..none
        },
        Scope {
            name: "delayed updates",
            delayed_updates: true,
            ..none
        },
        Scope {
            name: "moved and moved back",
            suspect_both: true,
            ..none
        },
        Scope {
            name: "two planners",
            takeover: true,
            ..none
        },
        Scope {
            name: "renewer restarted",
            node_restart: true,
            replace_renewer: true,
            ..none
        },
        Scope {
            name: "endpoint restarted",
            endpoint_restart: true,
            ..none
        },
        Scope {
            name: "endpoint leaves",
            endpoint_leave: true,
            work: true,
            ..none
        },
        Scope {
            name: "renewer replaced",
            replace_renewer: true,
            prefix: &RENEWER_REPLACED,
            ..none
        },
        Scope {
            name: "replacement acknowledged",
            prefix: &REPLACEMENT_ACKNOWLEDGED,
            ..none
        },
        Scope {
            name: "promise requested too early",
            prefix: &PROMISE_REQUESTED_EARLY,
            ..none
        },
        Scope {
            name: "former renewer without the new table",
            prefix: &FORMER_RENEWER_OUTDATED,
            ..none
        },
        Scope {
            name: "former renewer not fenced",
            prefix: &FORMER_RENEWER_NOT_FENCED,
            ..none
        },
        Scope {
            name: "last order from the former renewer",
            prefix: &FORMER_RENEWER_SENT_LAST,
            ..none
        },
        Scope {
            name: "renewer gone after its last order",
            prefix: &RENEWER_GONE,
            ..none
        },
        Scope {
            name: "request running when the shard moved",
            work: true,
            prefix: &MOVED_WHILE_RUNNING,
            ..none
        },
        ALL,
    ];
    let searches = scopes.map(|scope| thread::spawn(move || search(&scope)));
    for search in searches {
        println!(
            "{}",
            search.join().unwrap_or_else(|panic| resume_unwind(panic))
        );
    }
}

#[test]
fn no_random_schedule_leads_to_two_owners_of_a_shard() {
    let _guard = support::turn();
    let mut moves = 0;
    let mut steps = 0u64;
    for seed in 0..RANDOM_SCHEDULES {
        let (schedule_steps, schedule_moves) = run_schedule(seed);
        steps += schedule_steps;
        moves += schedule_moves;
    }
    println!("{RANDOM_SCHEDULES} schedules, {steps} steps, {moves} moves of the shard");
    assert!(
        moves > RANDOM_SCHEDULES / 20,
        "the shard moved only {moves} times in {RANDOM_SCHEDULES} schedules"
    );
}

/// Runs a random schedule; returns its number of steps and how often the shard moved.
fn run_schedule(seed: u64) -> (u64, u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = start();
    let mut path = Vec::new();
    let mut moves = 0;
    for _ in 0..SCHEDULE_STEPS {
        let choices = actions(&world, &ALL);
        let Some(&action) = choices.choose(&mut rng) else {
            break;
        };
        let Some(next) = step(&world, action) else {
            continue;
        };
        let before = world.store.owners.get(shard::Shard(SHARD));
        let after = next.store.owners.get(shard::Shard(SHARD));
        moves += u64::from(after.is_some() && before != after);
        path.push(action);
        if let Some(text) = violation(&next) {
            panic!("seed {seed}: {text} after {path:?}");
        }
        world = next;
    }
    (path.len() as u64, moves)
}
