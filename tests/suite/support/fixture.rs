//! Values that several tests start from.

use rhubarbpick::core::registry::Endpoint;

/// Returns an endpoint of service `s` with two slots.
pub fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "s".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 2,
        is_leaving: false,
        cold_ms: 0,
        born: 1,
    }
}
