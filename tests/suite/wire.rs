//! Messages between the system's VMs are unchanged by encoding and decoding.

use crate::support::fixture;
use rhubarbpick::{
    core::{
        manifest::{
            Limits,
            Manifest, //
        },
        mirror::{
            Kind,
            Object,
            Value, //
        },
        ownership::{
            Basis,
            Claim,
            Owner,
            Range,
            Table, //
        },
        permit::{
            reported_load::Report,
            Outcome,
            Request, //
        },
        registry::{
            Endpoint,
            Member, //
        },
    },
    kernel::wire::{
        decode,
        encode,
        encode_compact, //
    },
    router::wire::{
        self,
        Datagram,
        Delta,
        Load,
        RateLimit, //
    },
};
use serde::Serialize;
use std::sync::Arc;

fn object(kind: Kind, value: Option<Value>) -> Object {
    Object {
        kind,
        name: "one".into(),
        revision: 7,
        value,
    }
}

#[test]
fn delta_with_objects_of_every_kind_round_trips() {
    let endpoint = fixture::endpoint("i-1");
    let member = Member {
        name: "vm".into(),
        run: 1,
        peers: "10.0.0.1:81".parse().unwrap(),
        datagrams: "10.0.0.1:82".parse().unwrap(),
        zone: "a".into(),
        cpu_millis: 200,
    };
    let manifest = Manifest {
        version: 3,
        services: Vec::new(),
        hosts: Vec::new(),
        limits: Limits {
            head_bytes: 1,
            body_bytes: 2,
            idle_ms: 3,
        },
    };
    let table = Table {
        service: "s".into(),
        claim: Claim {
            node: "vm".into(),
            run: 1,
        },
        earlier: vec![Claim {
            node: "old".into(),
            run: 2,
        }],
        era: 2,
        claim_fence: 3,
        unverified: Some(Basis {
            claim: Claim {
                node: "vm".into(),
                run: 1,
            },
            claim_fence: 2,
            last_fence: 3,
            lease_ms: 1_300,
        }),
        last_fence: 4,
        lease_ms: 1_300,
        ranges: vec![Range {
            from: 0,
            to: 65_535,
            owner: Some(Owner {
                endpoint: "i-1".into(),
                born: 1,
            }),
            previous: None,
            fence: 4,
        }],
    };
    let delta = Delta {
        mirror_id: 1,
        last_change: 2,
        objects: vec![
            object(Kind::Manifest, Some(Value::Manifest(Arc::new(manifest)))),
            object(Kind::Endpoint, Some(Value::Endpoint(Arc::new(endpoint)))),
            object(Kind::Endpoint, Some(Value::Unreadable)),
            object(Kind::Endpoint, None),
            object(Kind::Member, Some(Value::Member(Arc::new(member)))),
            object(Kind::Table, Some(Value::Table(Arc::new(table)))),
            object(Kind::Evacuation, Some(Value::Evacuation)),
        ],
        oldest_era: 1,
        age_ms: 5,
        unavailable_members: vec!["other".into()],
    };
    let decoded: Delta = decode(&encode(&delta)).unwrap();
    assert_eq!(decoded, delta);
}

/// Typical permit of the larger deployments.
mod permit {
    use super::*;

    pub const NUMBER: u64 = 1_790_000_123_456;

    pub fn endpoint() -> Endpoint {
        Endpoint {
            id: "ledger-7f3a91c2".into(),
            service: "ledger".into(),
            address: "10.20.31.44:8080".parse().unwrap(),
            zone: "zone-b".into(),
            born: 1_790_000_000_000,
            ..fixture::endpoint("ledger-7f3a91c2")
        }
    }

    pub fn request() -> Datagram {
        Datagram::Request {
            number: NUMBER,
            service: "ledger".into(),
            request: Request {
                class: 0x9f31_7a2c,
                key: None,
                rank: 1,
                goal_us: 480_000,
                left_us: 1_000_000,
                is_repeat: false,
                is_return: false,
                subject: 0x8a91_2b3c,
                patience_us: 2_000_000,
                bytes: 0,
                zone: "zone-b".into(),
                avoid: Vec::new(),
            },
            lacks_record: false,
        }
    }

    pub fn granted() -> [Datagram; 2] {
        let full = Datagram::Granted {
            number: NUMBER,
            endpoint: Box::new(endpoint()),
            expected_us: 110_000,
            is_return: false,
            rate_limit: None,
            cold: None,
        };
        let known = Datagram::GrantedKnown {
            number: NUMBER,
            hash: endpoint().identity_hash(),
            expected_us: 110_000,
            is_return: false,
            rate_limit: None,
            cold: None,
        };
        [full, known]
    }

    pub fn done(outcome: Outcome, load: Option<Load>) -> Datagram {
        Datagram::Done {
            number: NUMBER,
            service: "ledger".into(),
            outcome,
            took_us: 123_456,
            rate_limit: None,
            load,
            cold: None,
        }
    }

    pub fn load() -> Load {
        Load {
            report: Report {
                running: 1,
                waiting: 0,
                slots: 2,
                slowness: 300,
            },
            age_us: 1_500,
        }
    }
}

#[test]
fn datagrams_of_a_permit_are_small() {
    // Guards against datagrams that repeat what the receiver knows. Of four datagrams for a
    // permit, two thirds cross between zones.
    let length = |datagram: &Datagram| encode_compact(datagram).len();
    let request = length(&permit::request());
    let queued = length(&Datagram::Queued {
        number: permit::NUMBER,
    });
    let [full, known] = permit::granted();
    let (full, known) = (length(&full), length(&known));
    let done = length(&permit::done(Outcome::Answered, None));
    let reporting = length(&permit::done(Outcome::Answered, Some(permit::load())));
    println!(
        "request {request}, queued {queued}, granted {full}, granted without the record {known}, \
         done {done}, done with a report {reporting}"
    );
    // A permit is granted with nothing but its number, the hash and the expected duration, each
    // of up to nine bytes, and a few bytes of structure.
    assert!(known <= 3 * 9 + 8, "{known}");
    // The number, the duration and the name of the service.
    assert!(done <= 9 + 5 + 7 + 12, "{done}");
    assert!(reporting <= done + 16, "{reporting}");
}

#[test]
fn numbers_of_open_permits_are_sent_as_differences() {
    let numbers = vec![
        permit::NUMBER + 9,
        permit::NUMBER,
        permit::NUMBER + 300,
        permit::NUMBER + 2,
        permit::NUMBER + 77,
    ];
    let list = |numbers: Vec<u64>| {
        encode_compact(&Datagram::OpenPermits {
            service: "ledger".into(),
            numbers,
        })
        .len()
    };
    let (before, after) = (
        list(numbers.clone()),
        list(wire::differences(numbers.clone())),
    );
    println!("list of five permits: {before} bytes, as differences {after}");
    assert!(after <= before - 4 * 6, "{after} of {before}");
    let mut sorted = numbers.clone();
    sorted.sort_unstable();
    assert_eq!(wire::sums(wire::differences(numbers)), sorted);
    assert_eq!(wire::sums(wire::differences(Vec::new())), Vec::<u64>::new());
    // A list of another sender cannot end the process.
    assert_eq!(wire::sums(vec![u64::MAX, 1]), [u64::MAX, u64::MAX]);
}

#[test]
fn datagrams_of_a_permit_round_trip() {
    let [full, known] = permit::granted();
    let mut datagrams = vec![permit::request(), full, known];
    for outcome in [
        Outcome::Answered,
        Outcome::Unreachable,
        Outcome::Failed,
        Outcome::Silent,
        Outcome::Late,
        Outcome::Shed,
        Outcome::NotHolder,
        Outcome::Dropped,
    ] {
        datagrams.push(permit::done(outcome, None));
        datagrams.push(permit::done(outcome, Some(permit::load())));
    }
    for datagram in datagrams {
        let decoded: Datagram = decode(&encode_compact(&datagram)).unwrap();
        assert_eq!(decoded, datagram);
    }
}

/// Datagrams of a VM that does not know the fields added last.
#[derive(Serialize)]
enum Earlier {
    #[serde(rename = "Ask")]
    Request {
        number: u64,
        service: Box<str>,
        ask: Request,
    },
    Done {
        number: u64,
        service: Box<str>,
        outcome: Outcome,
        took_us: u64,
        rate_limit: Option<RateLimit>,
    },
}

#[test]
fn datagrams_without_the_added_fields_are_read() {
    let Datagram::Request { request, .. } = permit::request() else {
        unreachable!()
    };
    let earlier = Earlier::Request {
        number: permit::NUMBER,
        service: "ledger".into(),
        ask: request,
    };
    let decoded: Datagram = decode(&encode_compact(&earlier)).unwrap();
    assert_eq!(decoded, permit::request());
    let earlier = Earlier::Done {
        number: permit::NUMBER,
        service: "ledger".into(),
        outcome: Outcome::Shed,
        took_us: 123_456,
        rate_limit: None,
    };
    let decoded: Datagram = decode(&encode_compact(&earlier)).unwrap();
    assert_eq!(decoded, permit::done(Outcome::Shed, None));
}

#[test]
fn hash_of_a_record_tells_processes_and_addresses_apart() {
    // Guards against a permit for another endpoint than the dispatcher chose.
    let one = permit::endpoint();
    let changed = Endpoint {
        is_leaving: true,
        cold_ms: 300,
        ..one.clone()
    };
    assert_eq!(changed.identity_hash(), one.identity_hash());
    let others = [
        Endpoint {
            id: "ledger-7f3a91c3".into(),
            ..one.clone()
        },
        Endpoint {
            service: "settle".into(),
            ..one.clone()
        },
        Endpoint {
            address: "10.20.31.44:8081".parse().unwrap(),
            ..one.clone()
        },
        Endpoint {
            born: one.born + 1,
            ..one.clone()
        },
    ];
    for other in others {
        assert_ne!(other.identity_hash(), one.identity_hash(), "{other:?}");
    }
}
