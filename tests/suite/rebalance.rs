//! Placement of keys by load, against fixed ranges and against the best there is.

use proptest::prelude::*;
use rhubarbpick::core::rebalance::{
    self,
    Move,
    Rates,
    Server,
    Slice,
    KEYS, //
};

/// Rounds in two seconds.
const ROUNDS: usize = 7;

/// Moves of a round, as the planner bounds them.
fn limit(servers: &[Server]) -> usize {
    servers.len() / 3 + 1
}

fn servers(capacities: &[f64]) -> Vec<Server> {
    let server = |&capacity: &f64| Server {
        capacity,
        is_target: true,
    };
    capacities.iter().map(server).collect()
}

/// Requests of a second and a half for each key, as `rate` says.
fn heat(rate: impl Fn(u16) -> f64) -> Rates {
    let mut heat = Rates::default();
    for key in 0..KEYS {
        for _ in 0..(rate(key as u16) * 1.5).round() as usize {
            heat.record(key as u16);
        }
    }
    heat.decay(0.0);
    heat
}

fn apply(slices: &mut Vec<Slice>, moves: &[Move]) {
    for shift in moves {
        let place = slices
            .iter()
            .position(|slice| slice.from <= shift.from && shift.to <= slice.to)
            .expect("a move lies within one slice");
        let old = slices[place];
        let mut parts = Vec::new();
        if old.from < shift.from {
            parts.push(Slice {
                to: shift.from - 1,
                ..old
            });
        }
        parts.push(Slice {
            from: shift.from,
            to: shift.to,
            server: shift.server,
            is_settled: true,
        });
        if shift.to < old.to {
            parts.push(Slice {
                from: shift.to + 1,
                ..old
            });
        }
        slices.splice(place..=place, parts);
    }
}

fn check_cover(slices: &[Slice]) {
    let mut next = 0;
    for slice in slices {
        assert_eq!(usize::from(slice.from), next);
        next = usize::from(slice.to) + 1;
    }
    assert_eq!(next, KEYS);
}

/// Share of the requests that the owners can serve.
fn served(servers: &[Server], slices: &[Slice], heat: &Rates) -> f64 {
    let loads = rebalance::loads(servers, slices, heat);
    let total: f64 = loads.iter().sum();
    let pairs = loads.iter().zip(servers);
    pairs
        .map(|(load, server)| load.min(server.capacity))
        .sum::<f64>()
        / total
}

const SPEEDS: [f64; 9] = [16.0, 26.0, 37.0, 16.0, 26.0, 37.0, 26.0, 26.0, 26.0];

/// A busy area of 3,000 keys with two fifths of the requests, 190 a second in all.
fn busy_area(key: u16) -> f64 {
    if (20_000..23_000).contains(&key) {
        190.0 * 0.4 / 3_000.0 * if key % 100 == 0 { 100.0 } else { 0.0 }
    } else if key % 128 == 0 {
        190.0 * 0.6 / (KEYS as f64 / 128.0)
    } else {
        0.0
    }
}

#[test]
fn a_busy_area_is_spread_within_two_seconds() {
    let servers = servers(&SPEEDS);
    let heat = heat(busy_area);
    let mut slices = rebalance::cut(&servers);
    for _ in 0..ROUNDS {
        let moves = rebalance::round(&servers, &slices, &heat, limit(&servers));
        apply(&mut slices, &moves);
        check_cover(&slices);
    }
    // Capacity is 236 a second, so the best placement serves all.
    let share = served(&servers, &slices, &heat);
    assert!(share >= 0.95, "{share}");
}

#[test]
fn a_hot_key_ends_alone_on_a_fast_endpoint() {
    let servers = servers(&SPEEDS);
    let heat = heat(|key| match key {
        40_000 => 55.0,
        _ if key % 256 == 0 => 100.0 / 256.0,
        _ => 0.0,
    });
    let mut slices = rebalance::cut(&servers);
    let fixed = served(&servers, &slices, &heat);
    for _ in 0..ROUNDS {
        let moves = rebalance::round(&servers, &slices, &heat, limit(&servers));
        apply(&mut slices, &moves);
    }
    let owner = slices.iter().find(|slice| slice.to >= 40_000).unwrap();
    assert_eq!(servers[owner.server].capacity, 37.0);
    // The best there is: the fastest endpoint serves nothing but the key.
    let best = (37.0 + 100.0) / 155.0;
    let share = served(&servers, &slices, &heat);
    assert!(
        share >= best * 0.93,
        "{share} of {best}, fixed ranges {fixed}"
    );
    assert!(share > fixed);
}

#[test]
fn an_endpoint_without_keys_gets_some_in_one_round() {
    let mut all = servers(&SPEEDS);
    all[8].is_target = false;
    let slices = rebalance::cut(&all);
    all[8].is_target = true;
    let moves = rebalance::round(&all, &slices, &heat(busy_area), limit(&all));
    assert!(moves.iter().any(|shift| shift.server == 8));
}

#[test]
fn an_even_load_is_left_alone() {
    let servers = servers(&[26.0; 9]);
    let slices = rebalance::cut(&servers);
    let heat = heat(|key| if key % 64 == 0 { 0.1 } else { 0.0 });
    let mut moved = 0;
    let mut slices = slices;
    for _ in 0..ROUNDS {
        let moves = rebalance::round(&servers, &slices, &heat, limit(&servers));
        moved += moves.len();
        apply(&mut slices, &moves);
    }
    assert!(moved <= 2, "{moved} moves of an even load");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn rounds_keep_the_keys_covered_and_the_slices_few(
        speeds in prop::collection::vec(10.0_f64..40.0, 2..20),
        hot in prop::collection::vec((any::<u16>(), 1.0_f64..60.0), 0..12),
    ) {
        let servers = servers(&speeds);
        let heat = heat(|key| {
            let own = hot.iter().filter(|(other, _)| *other == key);
            own.map(|(_, rate)| rate).sum()
        });
        let mut slices = rebalance::cut(&servers);
        for _ in 0..40 {
            let moves = rebalance::round(&servers, &slices, &heat, limit(&servers));
            apply(&mut slices, &moves);
            check_cover(&slices);
        }
        prop_assert!(slices.len() <= 64 + servers.len() * 16);
    }
}
