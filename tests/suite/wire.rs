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
        registry::Member,
    },
    kernel::wire::{
        decode,
        encode, //
    },
    router::wire::Delta,
};
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
