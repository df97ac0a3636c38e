//! Cold endpoints get few requests from all VMs together.

use super::*;

/// Requests per second that a cold endpoint handles.
const PER_S: f64 = 3.0;

/// How long endpoints are cold after their start.
const COLD_TIME: Duration = Duration::from_secs(3);

/// Starts a system whose services limit the requests to cold endpoints.
fn start(name: &str, vms: usize) -> System {
    let context = Context::spawn(2);
    let bounds = Bounds {
        evacuation_timeout: Some(Duration::from_secs(3)),
        ..bounds()
    };
    let contexts = (&context.clone(), context);
    System::start_with(contexts, name, vms, ["a"; 3], bounds, |manifest| {
        for service in &mut manifest.services {
            service.cold_ms = COLD_TIME.as_millis() as u64;
            service.cold_per_1000_s = Some((PER_S * 1_000.0) as u64);
        }
    })
}

/// Returns the first endpoints of both services.
fn firsts(system: &System) -> [&Arc<Server>; 2] {
    [&system.keyed[0], &system.pool[0]]
}

/// Writes the entry of an endpoint that was started again.
fn put_restarted(system: &System, server: &Server) {
    let endpoint = Endpoint {
        born: 2,
        cold_ms: COLD_TIME.as_millis() as u64,
        ..server.endpoint.clone()
    };
    let value = Value::Endpoint(Arc::new(endpoint));
    system
        .store
        .put(Kind::Endpoint, &server.endpoint.id, Some(value));
}

/// Asserts that an endpoint got no more requests in any second from `since` to `until` than it
/// may get while it is cold.
fn assert_cold_limit(server: &Server, since: Instant, until: Instant) {
    let mut counted = arrivals(server, since);
    counted.retain(|at| *at < until);
    let allowed = PER_S * 1.5 + 8.0;
    for (index, first) in counted.iter().enumerate() {
        let in_second = counted[index..].iter();
        let count = in_second
            .take_while(|at| **at < *first + Duration::from_secs(1))
            .count();
        assert!(
            count as f64 <= allowed,
            "{} got {count} requests in a second; allowed {allowed}",
            server.endpoint.id
        );
    }
}

#[test]
fn endpoint_that_starts_cold_gets_few_requests() {
    let system = start("cold-entry", 4);
    let vms = [0, 1, 2, 3];
    load(&system, &vms, Instant::now() + Duration::from_secs(1));
    let began = Instant::now();
    for server in firsts(&system) {
        put_restarted(&system, server);
    }
    load(&system, &vms, began + COLD_TIME);
    for server in firsts(&system) {
        // The first second has the requests that were on their way.
        assert_cold_limit(server, began, began + COLD_TIME);
    }
    let warm = Instant::now();
    load(&system, &vms, warm + COLD_TIME);
    let count = arrivals(&system.pool[0], warm).len();
    // More than the limit of a cold endpoint lets through.
    assert!(count > 20, "only {count} requests in 3 s once it is warm");
}

#[test]
fn endpoint_that_says_that_it_is_cold_gets_few_requests() {
    let system = start("cold-again", 4);
    let vms = [0, 1, 2, 3];
    load(&system, &vms, Instant::now() + Duration::from_secs(1));
    let began = Instant::now();
    for server in firsts(&system) {
        server.set_cold(COLD_TIME);
    }
    load(&system, &vms, began + COLD_TIME);
    for server in firsts(&system) {
        assert_cold_limit(server, began, began + COLD_TIME);
    }
}

#[test]
fn limit_of_a_cold_endpoint_holds_when_dispatchers_are_replaced() {
    let mut system = start("cold-replaced", 3);
    load(&system, &[0, 1, 2], Instant::now() + Duration::from_secs(1));
    let began = Instant::now();
    for server in firsts(&system) {
        put_restarted(&system, server);
    }
    load(&system, &[0, 1, 2], began + Duration::from_millis(500));
    // Each new VM becomes the dispatcher once those before it are gone.
    for vm in 0..2 {
        let added = system.add_vm();
        system.routers[vm].state.begin_shutdown();
        load(
            &system,
            &[2, added],
            Instant::now() + Duration::from_secs(1),
        );
    }
    for server in firsts(&system) {
        assert_cold_limit(server, began, began + COLD_TIME);
    }
}

#[test]
fn limit_of_a_cold_endpoint_holds_without_a_dispatcher() {
    // With the store, the only VM also loses its dispatcher and assigns requests by itself.
    let system = start("cold-cut", 1);
    load(&system, &[0; 4], Instant::now() + Duration::from_secs(1));
    system.store.set_down(true);
    load(&system, &[0; 4], Instant::now() + Duration::from_secs(3));
    assert!(system.routers[0].state.is_store_unreachable());
    let began = Instant::now();
    for server in firsts(&system) {
        server.set_cold(COLD_TIME);
    }
    load(&system, &[0; 4], began + COLD_TIME);
    for server in firsts(&system) {
        assert_cold_limit(server, began, began + COLD_TIME);
    }
}

#[test]
fn endpoints_are_cold_after_an_evacuation() {
    let system = start("cold-evacuated", 3);
    system
        .store
        .put(Kind::Evacuation, "a", Some(Value::Evacuation));
    thread::sleep(Duration::from_secs(3));
    system.store.put(Kind::Evacuation, "a", None);
    let ended = Instant::now();
    load(&system, &[0, 1, 2], ended + COLD_TIME);
    for server in system.keyed.iter().chain(&system.pool) {
        assert_cold_limit(server, ended, ended + COLD_TIME);
        assert!(!arrivals(server, ended).is_empty());
    }
}

#[test]
fn vm_that_starts_later_knows_for_how_long_endpoints_are_cold() {
    // Guards against a VM that starts, becomes the dispatcher and takes all endpoints for cold
    // whose entries were last written at their own start.
    for number in 0..6 {
        let mut system = start(&format!("cold-late-{number}"), 3);
        put_restarted(&system, &system.pool[0]);
        thread::sleep(COLD_TIME);
        let vm = system.add_vm();
        let state = Arc::clone(&system.routers[vm].state);
        assert!(wait_until(READY_TIMEOUT, || state.is_ready()));
        thread::sleep(Duration::from_millis(200));
        if state.relay_position().is_some_and(|position| position < 2) {
            // It may have read the entry from the store.
            continue;
        }
        let endpoint = &system.pool[0].endpoint;
        assert!(!state.is_cold(endpoint), "the endpoint is warm by now");
        return;
    }
    panic!("no VM got the entry from another one");
}
