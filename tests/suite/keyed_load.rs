//! Keyed services under the loads of `docs/LOAD.md`, without a network: what callers get.

use crate::support::{
    fixture,
    keyed_load::{
        Caller,
        Hot,
        Kind,
        Load,
        Result,
        World, //
    },
};
use rhubarbpick::core::{
    permit::{
        Dispatcher,
        Id,
        Location,
        Outcome,
        Request, //
    },
    registry::Endpoint,
    retry_limit::Limit,
    time::Instant,
};
use std::{
    collections::VecDeque,
    time::Duration, //
};

fn kind(
    rate: f64,
    work: u64,
    rank: u8,
    (goal, timeout, patience): (u64, u64, u64),
    zones: &[(&'static str, f64)],
) -> Kind {
    Kind {
        rate,
        work: Duration::from_millis(work),
        rank,
        goal: Duration::from_millis(goal),
        timeout: Duration::from_millis(timeout),
        patience: Duration::from_millis(patience),
        zones: zones.to_vec(),
    }
}

fn load(kinds: Vec<Kind>, owners: usize, factors: &[f64]) -> Load {
    Load {
        kinds,
        owners: (0..owners)
            .map(|index| factors[index % factors.len()])
            .collect(),
        slots: 2,
        slow_share: 0.0,
        swing: 0.0,
        hot: Vec::new(),
        seconds: 24.0,
        is_speed_known: false,
        impatient_share: 0.0,
    }
}

/// Balance checks of deployment H.
fn fares() -> Load {
    let zones = [("a", 0.32), ("b", 0.30), ("c", 0.38)];
    let checks = kind(541.0, 160, 1, (600, 1_000, 2_000), &zones);
    Load {
        slow_share: 0.2,
        ..load(vec![checks], 95, &[0.7, 0.7, 1.6])
    }
}

/// Stock lookups and payments of deployment K.
fn tills() -> Load {
    let zones = [("a", 0.34), ("b", 0.33), ("c", 0.33)];
    let lookups = kind(961.0, 110, 2, (400, 800, 1_500), &zones);
    let payments = kind(368.0, 140, 1, (500, 1_000, 2_000), &zones);
    Load {
        swing: 0.55,
        ..load(vec![lookups, payments], 185, &[0.7, 1.0, 1.3, 1.7])
    }
}

/// The load of a smaller deployment with nine owners.
fn nine_owners() -> Load {
    let kinds = vec![kind(88.0, 76, 1, (300, 2_000, 2_000), &[("a", 1.0)])];
    Load {
        swing: 0.4,
        ..load(kinds, 9, &[0.7, 1.0, 1.4])
    }
}

/// The load of a smaller deployment with owners of six slots.
fn six_slots() -> Load {
    let kinds = vec![kind(335.0, 110, 1, (400, 1_500, 1_500), &[("a", 1.0)])];
    Load {
        slots: 6,
        swing: 0.4,
        ..load(kinds, 16, &[0.7, 1.0, 1.4])
    }
}

fn run(load: &Load, seed: u64) -> World {
    let mut world = World::new(load, seed);
    world.run();
    world
}

/// Prints what callers get from these loads; for comparisons of two versions of the code.
#[test]
#[ignore = "prints figures and checks nothing"]
fn figures() {
    let hot = |keys: u16, share: f64| Hot {
        from_s: 12.0,
        until_s: 17.0,
        keys,
        share,
    };
    let hot_tills = |keys, share| Load {
        hot: vec![hot(keys, share)],
        ..tills()
    };
    let mut loads = vec![
        ("fares", fares()),
        (
            "fares, speeds known",
            Load {
                is_speed_known: true,
                ..fares()
            },
        ),
        ("tills", tills()),
        ("tills, one hot key of 16 %", hot_tills(1, 0.16)),
        ("tills, one hot key of 45 %", hot_tills(1, 0.45)),
        ("tills, 60 hot keys of 45 %", hot_tills(60, 0.45)),
        ("tills, 200 hot keys of 45 %", hot_tills(200, 0.45)),
        ("nine owners", nine_owners()),
        ("six slots", six_slots()),
    ];
    let mut storm = tills();
    storm.impatient_share = 0.33;
    for kind in &mut storm.kinds {
        kind.rate *= 1.3;
    }
    loads.push(("tills, impatient, 1.3 times the load", storm));
    let only = std::env::var("LOADS").unwrap_or_default();
    let factor = std::env::var("FACTOR").map_or(1.0, |factor| factor.parse().unwrap());
    for (name, mut load) in loads {
        for kind in &mut load.kinds {
            kind.rate *= factor;
        }
        if !name.contains(&only) {
            continue;
        }
        for seed in 0..2 {
            let world = run(&load, seed);
            let all = |_: &Caller| true;
            println!(
                "{name}, seed {seed}: {}; {} moves, {} rejected, {} grants",
                world.describe(all),
                world.move_count(),
                world.rejected,
                world.grants
            );
            for kind in 0..load.kinds.len() {
                let of_kind = |caller: &Caller| caller.kind == kind;
                println!("    kind {kind}: {}", world.describe(of_kind));
            }
            let fast = |caller: &Caller| caller.owner <= 1.0;
            println!("    fast owners: {}", world.describe(fast));
            let slow = |caller: &Caller| caller.owner > 1.0;
            println!("    slow owners: {}", world.describe(slow));
            if !load.hot.is_empty() {
                let cold = |caller: &Caller| {
                    !caller.is_hot && caller.second > 12.0 && caller.second < 18.0
                };
                println!("    other keys meanwhile: {}", world.describe(cold));
                println!("    hot keys: {}", world.describe(|caller| caller.is_hot));
            }
        }
    }
}

#[test]
fn requests_for_a_hot_key_that_are_served_are_on_time() {
    // Guards against a queue at the owner of a hot key that is so long that what the owner serves
    // is late, although it serves no more requests than with a short one.
    let hot = Hot {
        from_s: 12.0,
        until_s: 17.0,
        keys: 1,
        share: 0.16,
    };
    let load = Load {
        hot: vec![hot],
        ..tills()
    };
    for seed in 0..2 {
        let world = run(&load, seed);
        let count = |result: Result| {
            let hot = world.callers.iter().filter(|caller| caller.is_hot);
            hot.filter(|caller| caller.result == Some(result)).count()
        };
        let (on_time, late) = (count(Result::OnTime), count(Result::Late));
        assert!(
            late * 10 <= on_time,
            "seed {seed}: {late} of the hot key's requests were late and {on_time} on time"
        );
    }
}

const START: Instant = Instant(1_000_000);

fn id(number: u64) -> Id {
    Id {
        requester: "10.1.0.1:7000".parse().unwrap(),
        number,
    }
}

/// A balance check of deployment H.
fn check(key: u16) -> Request {
    Request {
        class: 1,
        key: Some(key),
        rank: 1,
        goal_us: 600_000,
        left_us: 1_000_000,
        is_repeat: false,
        is_return: false,
        subject: u32::from(key),
        patience_us: 2_000_000,
        bytes: 0,
        zone: "a".into(),
        avoid: Vec::new(),
    }
}

fn dispatcher(owners: usize) -> Dispatcher {
    let limit = Limit {
        ratio_permille: 200,
        slack: 56,
        window: Duration::from_secs(10),
    };
    let endpoints: Vec<Endpoint> = (0..owners)
        .map(|index| fixture::endpoint(&format!("i-{index}")))
        .collect();
    let mut dispatcher = Dispatcher::new(limit, START);
    dispatcher.set_role(true, 1, 1, START);
    let listed = endpoints.iter().map(|endpoint| (endpoint, START));
    dispatcher.set_endpoints(listed, START);
    dispatcher
}

/// Lets both owners answer requests one after the other; returns the next number and the time.
fn answer(
    dispatcher: &mut Dispatcher,
    (mut number, mut now): (u64, Instant),
    took: [Duration; 2],
    times: usize,
) -> (u64, Instant) {
    let locate = |key: u16| Location::Held(["i-0", "i-1"][usize::from(key)]);
    for _ in 0..times {
        for (key, took) in took.into_iter().enumerate() {
            number += 1;
            dispatcher
                .submit(id(number), check(key as u16), &locate, now)
                .unwrap();
            dispatcher.dispatch(&locate, now);
            now = now.after(took);
            dispatcher.complete(id(number), Outcome::Answered, took, now);
        }
    }
    (number, now)
}

#[test]
fn request_that_misses_its_goal_at_a_slow_owner_is_not_refused() {
    // Guards against a refusal after most of the goal has passed: the owner was slow for a
    // moment, and the caller still had 400 ms left.
    let mut dispatcher = dispatcher(2);
    let usual = [Duration::from_millis(160); 2];
    let (number, now) = answer(&mut dispatcher, (0, START), usual, 40);
    let locate = |_: u16| Location::Held("i-0");
    let numbers = number + 1..=number + 4;
    for number in numbers.clone() {
        dispatcher
            .submit(id(number), check(0), &locate, now)
            .unwrap();
        dispatcher.dispatch(&locate, now);
    }
    assert_eq!(dispatcher.waiting(), 1);
    for elapsed_ms in (0..=560).step_by(10) {
        let now = now.after(Duration::from_millis(elapsed_ms));
        let decisions = dispatcher.dispatch(&locate, now);
        assert_eq!(decisions.refusals, [], "refused after {elapsed_ms} ms");
    }
    let now = now.after(Duration::from_millis(600));
    let took = Duration::from_millis(600);
    dispatcher.complete(id(*numbers.start()), Outcome::Answered, took, now);
    let decisions = dispatcher.dispatch(&locate, now);
    assert_eq!(decisions.assignments[0].request, id(*numbers.end()));
}

#[test]
fn short_slowdown_of_an_owner_refuses_nobody() {
    // Guards against an estimate that follows the last few answers: a host that was slow for
    // 400 ms counted as three times as slow for seconds, and its callers were refused.
    let mut dispatcher = dispatcher(2);
    let usual = [Duration::from_millis(160); 2];
    let next = answer(&mut dispatcher, (0, START), usual, 40);
    let slow = [Duration::from_millis(480), usual[1]];
    let (number, now) = answer(&mut dispatcher, next, slow, 2);
    let locate = |_: u16| Location::Held("i-0");
    for number in number + 1..=number + 6 {
        let submitted = dispatcher.submit(id(number), check(0), &locate, now);
        submitted.expect("six requests take 480 ms at the usual speed");
        dispatcher.dispatch(&locate, now);
    }
}

#[test]
fn capacity_of_an_owner_does_not_fall_when_requests_wait_at_it() {
    // Guards against counting as service time what a third request waits at an owner for one
    // of its two slots: a busy owner seemed slow, and its keys were moved.
    let mut dispatcher = dispatcher(2);
    let usual = Duration::from_millis(160);
    let (mut number, mut now) = answer(&mut dispatcher, (0, START), [usual; 2], 40);
    let before = dispatcher.capacity("i-0", now).unwrap();
    let locate = |_: u16| Location::Held("i-0");
    let mut running: VecDeque<(u64, Instant, Instant)> = VecDeque::new();
    for _ in 0..60 {
        while dispatcher.running() < 3 {
            number += 1;
            dispatcher
                .submit(id(number), check(0), &locate, now)
                .unwrap();
            dispatcher.dispatch(&locate, now);
            // Two run at a time.
            let begins = running.iter().rev().nth(1).map_or(now, |other| other.2);
            running.push_back((number, now, begins.max(now).after(usual)));
        }
        let (done, granted, ends) = running.pop_front().unwrap();
        now = now.max(ends);
        dispatcher.complete(id(done), Outcome::Answered, now.since(granted), now);
    }
    let after = dispatcher.capacity("i-0", now).unwrap();
    assert!(
        after >= before * 0.95,
        "{after:.1} per s, before {before:.1}"
    );
}
