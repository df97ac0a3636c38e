//! Copies of the store, the choice of VMs, routes, and the bound on repeats.

use rhubarbpick::core::{
    manifest::{
        Host,
        Idempotency,
        Limits,
        Manifest,
        RoundRobin,
        Route,
        Target, //
    },
    mirror::{
        Kind,
        Mirror,
        Object,
        Value, //
    },
    registry::Member,
    rendezvous,
    revision::compose,
};
use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

fn object(name: &str, revision: u64, value: Option<Value>) -> Object {
    Object {
        kind: Kind::Endpoint,
        name: name.into(),
        revision,
        value,
    }
}

fn present(name: &str, revision: u64) -> Object {
    object(name, revision, Some(Value::Unreadable))
}

#[test]
fn an_older_object_never_replaces_a_newer_one() {
    let mut mirror = Mirror::default();
    assert!(mirror.merge(present("one", 5)));
    assert!(!mirror.merge(present("one", 4)));
    assert!(!mirror.merge(object("one", 5, None)));
    assert!(mirror.merge(object("one", 6, None)));
    assert!(!mirror.merge(present("one", 5)));
    assert!(mirror.get(Kind::Endpoint, "one").is_none());
    assert!(mirror.merge(present("one", 6)), "made anew at once");
}

#[test]
fn a_stale_list_removes_nothing_that_is_newer() {
    let mut mirror = Mirror::default();
    mirror.merge(present("one", 5));
    mirror.merge(present("two", 9));
    mirror.merge_list(Kind::Endpoint, Vec::new(), 7, true);
    assert!(mirror.get(Kind::Endpoint, "one").is_none());
    assert!(mirror.get(Kind::Endpoint, "two").is_some());
}

#[test]
fn a_list_after_an_outage_removes_nothing() {
    let mut mirror = Mirror::default();
    mirror.merge(present("one", 5));
    mirror.merge_list(Kind::Endpoint, vec![present("two", 8)], 9, false);
    assert!(mirror.get(Kind::Endpoint, "one").is_some());
}

#[test]
fn changes_are_passed_on_once() {
    let mut mirror = Mirror::default();
    mirror.merge(present("one", 5));
    let known = mirror.last_change();
    mirror.merge(present("two", 6));
    let news = mirror.changes_since(known);
    assert_eq!(news.len(), 1);
    assert_eq!(&*news[0].name, "two");
    assert!(mirror.changes_since(mirror.last_change()).is_empty());
}

fn config(version: u64, revision: u64) -> Object {
    let manifest = Manifest {
        version,
        services: Vec::new(),
        hosts: Vec::new(),
        limits: Limits {
            head_bytes: 1,
            body_bytes: 1,
            idle_ms: 1,
        },
    };
    Object {
        kind: Kind::Manifest,
        name: "main".into(),
        revision,
        value: Some(Value::Manifest(Arc::new(manifest))),
    }
}

fn config_version(mirror: &Mirror) -> u64 {
    match &mirror.get(Kind::Manifest, "main").unwrap().value {
        Some(Value::Manifest(manifest)) => manifest.version,
        other => panic!("{other:?}"),
    }
}

#[test]
fn configuration_does_not_go_back_when_the_store_is_restored() {
    let mut mirror = Mirror::default();
    mirror.merge(config(8, compose(1, 50)));
    mirror.merge_list(
        Kind::Manifest,
        vec![config(6, compose(2, 40))],
        compose(2, 45),
        true,
    );
    assert_eq!(mirror.era(), 2);
    assert_eq!(config_version(&mirror), 8);
    // The number of this change was also given out before the restore.
    assert!(mirror.merge(config(9, compose(2, 46))));
    assert_eq!(config_version(&mirror), 9);
    // Another VM still has an object from before.
    assert!(!mirror.merge(config(8, compose(1, 50))));
    assert_eq!(config_version(&mirror), 9);
}

#[test]
fn list_of_a_restored_store_neither_removes_nor_revives_objects_until_it_is_settled() {
    let mut mirror = Mirror::default();
    mirror.merge(present("lost", compose(1, 50)));
    mirror.merge(present("gone", compose(1, 30)));
    mirror.merge(object("gone", compose(1, 51), None));
    let restored = || vec![present("gone", compose(2, 30))];
    mirror.merge_list(Kind::Endpoint, restored(), compose(2, 45), false);
    assert!(mirror.get(Kind::Endpoint, "lost").is_some());
    assert!(mirror.get(Kind::Endpoint, "gone").is_none());
    mirror.merge_list(Kind::Endpoint, restored(), compose(2, 46), true);
    assert!(mirror.get(Kind::Endpoint, "lost").is_none());
    assert!(mirror.get(Kind::Endpoint, "gone").is_some());
}

fn member(name: &str, zone: &str, cpu_millis: u32) -> Member {
    Member {
        name: name.into(),
        run: 1,
        peers: "10.0.0.1:1".parse().unwrap(),
        datagrams: "10.0.0.1:2".parse().unwrap(),
        zone: zone.into(),
        cpu_millis,
    }
}

#[test]
fn relays_are_large_and_in_different_zones() {
    let mut members = Vec::new();
    for index in 0..12 {
        let zone = ["a", "b", "c", "d"][index % 4];
        let cpu = if index < 8 { 500 } else { 100 };
        members.push(member(&format!("vm-{index}"), zone, cpu));
    }
    let relays = rendezvous::select_relays(&members, 3, |_| true);
    let mut zones: Vec<&str> = relays.iter().map(|relay| &*relay.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    assert_eq!(zones.len(), 3);
    assert!(relays.iter().all(|relay| relay.cpu_millis == 500));
    let lost = relays[0].name.clone();
    let others = rendezvous::select_relays(&members, 3, |member| member.name != lost);
    assert_eq!(
        others[0].name, relays[1].name,
        "the others keep their places"
    );
}

#[test]
fn a_member_that_goes_moves_only_its_own_jobs() {
    let members: Vec<Member> = (0..10)
        .map(|index| member(&format!("vm-{index}"), "a", 200))
        .collect();
    for job in ["one", "two", "three", "four"] {
        let first = rendezvous::rank_members(&members, job)[0].name.clone();
        let left: Vec<Member> = members
            .iter()
            .filter(|member| member.name != first && *member.name != *"vm-3")
            .cloned()
            .collect();
        if *first != *"vm-3" {
            let rest: Vec<Member> = members
                .iter()
                .filter(|member| *member.name != *"vm-3")
                .cloned()
                .collect();
            assert_eq!(rendezvous::rank_members(&rest, job)[0].name, first);
        }
        assert_ne!(rendezvous::rank_members(&left, job)[0].name, first);
    }
}

fn route(prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        prefix: prefix.into(),
        repeat: Idempotency::Idempotent,
        timeout_ms: 1_000,
        goal_ms: 300,
        rank: 1,
        attempts: 2,
        parts: Vec::new(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let mut manifest = Manifest {
        version: 1,
        services: Vec::new(),
        hosts: vec![
            Host {
                name: "two.example".into(),
                routes: vec![route("/")],
            },
            Host {
                name: "one.example".into(),
                routes: vec![route("/a/"), route("/a/b/")],
            },
        ],
        limits: Limits {
            head_bytes: 1,
            body_bytes: 1,
            idle_ms: 1,
        },
    };
    manifest.sort();
    let name = |host, path| manifest.route(host, path).map(|route| &*route.name);
    assert_eq!(name("one.example", "/a/b/c"), Some("/a/b/"));
    assert_eq!(name("one.example:8080", "/a/c"), Some("/a/"));
    assert_eq!(name("one.example", "/ab"), None);
    assert_eq!(name("two.example", "/x"), Some("/"));
    assert_eq!(name("other.example", "/a/b/"), None);
}

#[test]
fn parts_get_their_share_of_any_run_of_requests() {
    let part = |weight| Target {
        service: "s".into(),
        weight,
    };
    let parts = [part(90), part(10), part(0)];
    let mut dealer = RoundRobin::new(&parts, 37);
    let mut counts = [0; 3];
    for _ in 0..300 {
        counts[dealer.next(&parts).unwrap()] += 1;
    }
    assert_eq!(counts, [270, 30, 0]);
}

#[test]
fn parts_with_large_weights_get_their_share_without_delay() {
    // Guards against processes that stopped for seconds at a new version of the manifest: a start
    // state was reached by playing as many requests as the weights add up to.
    const REQUESTS: usize = 1_000;
    let weight_sets: [&[u32]; 5] = [
        &[1_000_000_000, 50_000_000],
        &[999_999_937, 500_000_003, 1],
        &[u32::MAX; 8],
        &[u32::MAX, 0, 1],
        &[0, 0],
    ];
    let offsets = [0, 1, 1_796_664_563_000_123, usize::MAX];
    let began = Instant::now();
    for weights in weight_sets {
        let parts = weights.iter().map(|&weight| Target {
            service: "s".into(),
            weight,
        });
        let parts: Vec<Target> = parts.collect();
        let total: u64 = weights.iter().copied().map(u64::from).sum();
        for offset in offsets {
            let mut round_robin = RoundRobin::new(&parts, offset);
            let mut counts = vec![0; parts.len()];
            for _ in 0..REQUESTS {
                match round_robin.next(&parts) {
                    Some(index) => counts[index] += 1,
                    None => assert_eq!(total, 0),
                }
            }
            for (&count, &weight) in counts.iter().zip(weights) {
                let share = REQUESTS as f64 * f64::from(weight) / (total as f64).max(1.0);
                assert!(
                    (f64::from(count) - share).abs() < 2.0,
                    "{counts:?} of {weights:?} from {offset}"
                );
                assert!(weight > 0 || count == 0);
            }
        }
    }
    let took = began.elapsed();
    assert!(took < Duration::from_millis(500), "{took:?}");
}
