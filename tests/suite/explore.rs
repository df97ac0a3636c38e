//! Exhaustive search of the ownership logic at small size.
//!
//! Four processes, of which two may plan, two endpoints and one shard. The
//! product's own code decides: [`planner::decide`], [`Renewal`] and the
//! endpoint's [`Holder`]. The search orders everything else as badly as it
//! can: anyone may pause at any step, orders arrive late, answers are lost,
//! updates take effect late, processes and endpoints restart, planners suspect
//! whom they like. After each step no two endpoints may hold the shard.

mod world;

use self::world::{
    actions,
    start,
    step,
    violation,
    Action,
    Scope,
    Store,
    World,
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

/// States after which one search stops.
const STATES_MAX: usize = 200_000;

/// A renewer of both endpoints was replaced; only the planner knows.
const REPLACED: [Action; 1] = [Action::Plan(0, None, Some(2), Store::Answers)];

/// The other renewer and the first endpoint know as well.
const ACKNOWLEDGED: [Action; 3] = [
    Action::Plan(0, None, Some(2), Store::Answers),
    Action::Read(3),
    Action::Renew(3, 0),
];

/// The planner has asked the replacement, which has not read the table, for its word.
const ASKED_TOO_EARLY: [Action; 6] = [
    Action::Plan(0, None, Some(2), Store::Answers),
    Action::Read(3),
    Action::Renew(3, 0),
    Action::Ask(0, 1, 0),
    Action::Ask(0, 3, 0),
    Action::Tick,
];

/// Both renewers have given their words; the replaced one knows nothing.
const FORMER_UNAWARE: [Action; 7] = [
    Action::Plan(0, None, Some(2), Store::Answers),
    Action::Read(3),
    Action::Renew(3, 0),
    Action::Read(1),
    Action::Ask(0, 1, 0),
    Action::Ask(0, 3, 0),
    Action::Tick,
];

/// Both renewers have given their words; the replaced one may still be obeyed.
const FORMER_NOT_FENCED: [Action; 6] = [
    Action::Plan(0, None, Some(2), Store::Answers),
    Action::Read(1),
    Action::Read(3),
    Action::Ask(0, 1, 0),
    Action::Ask(0, 3, 0),
    Action::Tick,
];

/// The replaced renewer has renewed last and then read the table.
const FORMER_RENEWED_LAST: [Action; 9] = [
    Action::Plan(0, None, Some(2), Store::Answers),
    Action::Tick,
    Action::Tick,
    Action::Renew(2, 0),
    Action::Renew(2, 0),
    Action::Read(2),
    Action::Read(1),
    Action::Read(3),
    Action::Ask(0, 2, 0),
];

/// A renewer has renewed last and was then restarted.
const RENEWED_THEN_GONE: [Action; 6] = [
    Action::Tick,
    Action::Tick,
    Action::Renew(2, 0),
    Action::Renew(2, 0),
    Action::RestartNode(2),
    Action::Learn(0, 2),
];

/// The shard moved by lapse while work on it was under way.
const MOVED_UNDER_WORK: [Action; 6] = [
    Action::Begin(0),
    Action::Ask(0, 2, 0),
    Action::Ask(0, 3, 0),
    Action::Tick,
    Action::Tick,
    Action::Plan(0, Some(0), None, Store::Answers),
];

/// Random schedules beyond the reach of the search, and their length.
const WALKS: u64 = 6_000;
const WALK_STEPS: usize = 70;

fn fingerprint(world: &World) -> u128 {
    let mut hasher = Xxh3::new();
    world.now.hash(&mut hasher);
    world.store.digest.hash(&mut hasher);
    if let Some(late) = &world.late {
        (late.expected, late.next.digest).hash(&mut hasher);
    }
    for process in &world.processes {
        process.node.incarnation.hash(&mut hasher);
        process.cell.digest.hash(&mut hasher);
        process.seats.hash(&mut hasher);
        format!("{:?}{:?}", process.words, process.gone).hash(&mut hasher);
    }
    world.holders.hash(&mut hasher);
    format!("{:?}", world.flight).hash(&mut hasher);
    let counts = [world.node_restarts, world.endpoint_restarts, world.leaves];
    counts.hash(&mut hasher);
    world.work.hash(&mut hasher);
    hasher.digest128()
}

/// Visits all states that a scope allows, breadth first, up to a number.
fn search(scope: &Scope) -> String {
    let mut seen = HashSet::new();
    let mut parents: Vec<(usize, Action)> = vec![(0, Action::Tick)];
    let begin = scope.prefix.iter().fold(start(), |world, &action| {
        // A step that the rules forbid leaves the world as it is.
        step(&world, action).unwrap_or(world)
    });
    let mut queue = VecDeque::from([(begin, 0usize, 0usize)]);
    let mut deepest = 0;
    let mut whole = true;
    while let Some((world, index, depth)) = queue.pop_front() {
        for action in actions(&world, scope) {
            let Some(next) = step(&world, action) else {
                continue;
            };
            if seen.len() >= STATES_MAX {
                whole = false;
                continue;
            }
            if !seen.insert(fingerprint(&next)) {
                continue;
            }
            parents.push((index, action));
            deepest = deepest.max(depth + 1);
            let number = parents.len() - 1;
            if let Some(text) = violation(&next) {
                panic!("{}: {text} after {:?}", scope.name, path(&parents, number));
            }
            queue.push_back((next, number, depth + 1));
        }
    }
    let reach = if whole {
        "all states"
    } else {
        "stopped at the limit"
    };
    let states = seen.len();
    format!(
        "{}: {states} states, {reach}, the deepest schedule has {deepest} steps",
        scope.name
    )
}

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
fn no_schedule_gives_a_shard_two_owners() {
    let _turn = support::turn();
    let none = Scope::default();
    let scopes = [
        Scope {
            name: "pauses only",
            ..none
        },
        Scope {
            name: "late orders",
            late_orders: true,
            ..none
        },
        Scope {
            name: "late updates",
            late_updates: true,
            ..none
        },
        Scope {
            name: "moved and moved back",
            both_ways: true,
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
            replace: true,
            ..none
        },
        Scope {
            name: "endpoint restarted",
            endpoint_restart: true,
            ..none
        },
        Scope {
            name: "endpoint leaves",
            leave: true,
            work: true,
            ..none
        },
        Scope {
            name: "renewer replaced",
            replace: true,
            prefix: &REPLACED,
            ..none
        },
        Scope {
            name: "replacement acknowledged",
            prefix: &ACKNOWLEDGED,
            ..none
        },
        Scope {
            name: "word asked too early",
            prefix: &ASKED_TOO_EARLY,
            ..none
        },
        Scope {
            name: "former renewer unaware",
            prefix: &FORMER_UNAWARE,
            ..none
        },
        Scope {
            name: "former renewer not fenced",
            prefix: &FORMER_NOT_FENCED,
            ..none
        },
        Scope {
            name: "former renewer renewed last",
            prefix: &FORMER_RENEWED_LAST,
            ..none
        },
        Scope {
            name: "renewer gone after renewing",
            prefix: &RENEWED_THEN_GONE,
            ..none
        },
        Scope {
            name: "work under way when the shard moved",
            work: true,
            prefix: &MOVED_UNDER_WORK,
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
fn no_long_random_schedule_gives_a_shard_two_owners() {
    let _turn = support::turn();
    let mut moves = 0;
    let mut steps = 0u64;
    for seed in 0..WALKS {
        let (walked, moved) = walk(seed);
        steps += walked;
        moves += moved;
    }
    println!("{WALKS} schedules, {steps} steps, {moves} moves of the shard");
    assert!(
        moves > WALKS / 20,
        "the schedules hardly move the shard: {moves}"
    );
}

/// Takes random steps; returns their number and how often the shard moved.
fn walk(seed: u64) -> (u64, u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = start();
    let mut path = Vec::new();
    let mut moves = 0;
    for _ in 0..WALK_STEPS {
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
