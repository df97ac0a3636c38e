//! Registration records that another writer made or damaged.

use rhubarbpick::core::{
    mirror::{
        Kind,
        Mirror,
        Object,
        Value, //
    },
    registry::Endpoint,
};
use std::sync::Arc;

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "service".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "a".into(),
        slots: 2,
        is_leaving: false,
        cold_ms: 0,
        born: 1,
    }
}

/// Returns the content of a mirror after it has received a record.
fn merged(endpoint: Endpoint) -> Value {
    let mut mirror = Mirror::default();
    let name = endpoint.id.clone();
    let is_new = mirror.merge(Object {
        kind: Kind::Endpoint,
        name: name.clone(),
        revision: 1,
        value: Some(Value::Endpoint(Arc::new(endpoint))),
    });
    assert!(is_new);
    let object = mirror.get(Kind::Endpoint, &name);
    object.expect("the record exists").value.clone().unwrap()
}

#[test]
fn record_that_no_request_can_be_addressed_to_names_no_endpoint() {
    // Guards against records in which the id of a sound endpoint is followed by a byte that no
    // header can hold, or by a space, which the receiver removes.
    let long = "x".repeat(70_000);
    let mut unusable: Vec<Endpoint> = ["", "i-1\u{1}", "i-1 ", "i-\n1", "i-\u{e9}", &long]
        .map(endpoint)
        .into();
    unusable.push(Endpoint {
        zone: long.as_str().into(),
        ..endpoint("i-1")
    });
    unusable.push(Endpoint {
        service: long.as_str().into(),
        ..endpoint("i-1")
    });
    unusable.push(Endpoint {
        address: ([127, 0, 0, 1], 0).into(),
        ..endpoint("i-1")
    });
    for endpoint in unusable {
        let id: String = endpoint.id.chars().take(8).collect();
        assert_eq!(merged(endpoint), Value::Unreadable, "{id:?}");
    }
    assert!(matches!(merged(endpoint("i-7f3a91c2")), Value::Endpoint(_)));
}
