//! Evacuation of a zone: requests stop reaching it within the bound, whatever else happens.

use super::*;

/// Time after which no request may reach an evacuated zone.
const BOUND: Duration = Duration::from_secs(3);

/// Zone that is evacuated; the zone of the VMs, which prefer it otherwise.
const ZONE: &str = "a";

/// Starts a system whose first endpoints of each service are in [`ZONE`].
fn start(name: &str, vms: usize) -> System {
    start_in(name, vms, [ZONE, "b", "b"])
}

fn start_in(name: &str, vms: usize, zones: [&str; 3]) -> System {
    let context = Context::spawn(2);
    let bounds = Bounds {
        evacuation_timeout: Some(BOUND),
        ..bounds()
    };
    let contexts = (&context.clone(), context);
    System::start_with(contexts, name, vms, zones, bounds, |_| {})
}

fn set_evacuated(system: &System, is_evacuated: bool) -> Instant {
    let value = is_evacuated.then_some(Value::Evacuation);
    system.store.put(Kind::Evacuation, ZONE, value);
    Instant::now()
}

fn holds_any_key(server: &Server) -> bool {
    (0..=u16::MAX).step_by(64).any(|key| server.holds(key))
}

fn endpoints_in_zone(system: &System) -> impl Iterator<Item = &Arc<Server>> {
    let endpoints = system.keyed.iter().chain(&system.pool);
    endpoints.filter(|server| &*server.endpoint.zone == ZONE)
}

/// Asserts that no request reached the zone after the evacuation that began at `began`.
fn assert_evacuated(system: &System, began: Instant) {
    for server in endpoints_in_zone(system) {
        let late = arrivals(server, began + BOUND).len();
        let id = &server.endpoint.id;
        assert_eq!(
            late, 0,
            "requests reached {id} {BOUND:?} after the evacuation"
        );
    }
}

#[test]
fn no_request_reaches_an_evacuated_zone() {
    let mut system = start("evacuate", 3);
    load(&system, &[0, 1, 2], Instant::now() + Duration::from_secs(1));
    for server in endpoints_in_zone(&system) {
        assert!(!arrivals(server, Instant::now() - BOUND).is_empty());
    }
    let began = set_evacuated(&system, true);
    let share = load(&system, &[0, 1, 2], began + BOUND);
    assert!(share >= 0.95, "only {share:.3} succeeded while keys moved");
    assert!(
        !holds_any_key(&system.keyed[0]),
        "an evacuated endpoint has keys"
    );
    // Neither a VM that starts now nor a new dispatcher knows when the evacuation began.
    let vm = system.add_vm();
    system.routers[0].state.begin_shutdown();
    let end = Instant::now() + Duration::from_secs(3);
    load(&system, &[1, 2, vm], end);
    assert_evacuated(&system, began);

    set_evacuated(&system, false);
    let ended = Instant::now();
    let unused = || {
        let servers = endpoints_in_zone(&system);
        let unused = servers.filter(|server| arrivals(server, ended).is_empty());
        let describe = |server: &Arc<Server>| (server.endpoint.id.clone(), holds_any_key(server));
        unused.map(describe).collect::<Vec<_>>()
    };
    let deadline = Instant::now() + Duration::from_secs(10);
    while Instant::now() < deadline && !unused().is_empty() {
        // Each load begins with the same keys, so a short one asks for a dozen of them only.
        load(
            &system,
            &[1, 2, vm],
            Instant::now() + Duration::from_secs(2),
        );
    }
    assert!(
        unused().is_empty(),
        "endpoints get no requests after the evacuation: {:?}",
        unused()
    );

    let began = set_evacuated(&system, true);
    load(&system, &[1, 2, vm], began + BOUND + Duration::from_secs(1));
    assert_evacuated(&system, began);
}

#[test]
fn evacuation_holds_while_the_store_is_unreachable() {
    // With the store, the only VM also loses its dispatcher and assigns requests by itself.
    let system = start("evacuate-cut", 1);
    load(&system, &[0], Instant::now() + Duration::from_secs(1));
    let began = set_evacuated(&system, true);
    let is_known = || system.routers[0].state.view().evacuations.contains(ZONE);
    assert!(wait_until(BOUND, is_known));
    system.store.set_down(true);
    load(&system, &[0], began + BOUND * 2);
    let state = &system.routers[0].state;
    assert!(state.is_store_unreachable() && state.view().evacuations.contains(ZONE));
    assert_evacuated(&system, began);
}

#[test]
fn permits_of_a_dispatcher_that_does_not_know_the_evacuation_are_not_used() {
    // Guards against permits, also for hedged requests, that a dispatcher with an old copy of the
    // store gives: the VM that sends the request decides.
    let (mut system, dispatcher) = (0..16)
        .find_map(|number| {
            let system = start(&format!("evacuate-unaware-{number}"), 2);
            let service = &system.pool[0].endpoint.service;
            // The first relay gets no changes from other VMs.
            let is_dispatcher = |router: &Router| {
                let view = router.state.view();
                let candidates = permit_client::candidates(&router.state, &view, service);
                candidates[0] == router.state.settings.listen.datagrams
                    && router.state.relay_position() == Some(0)
            };
            let dispatcher = system.routers.iter().position(is_dispatcher)?;
            Some((system, dispatcher))
        })
        .expect("the first relay must be the dispatcher of some service");
    let aware = 1 - dispatcher;
    for _ in 0..12 {
        system.send(aware, Method::GET, "/read/x", None);
    }
    let state = Arc::clone(&system.routers[aware].state);
    let evacuation = Object {
        kind: Kind::Evacuation,
        name: ZONE.into(),
        revision: 1_000_000,
        value: Some(Value::Evacuation),
    };
    state.merge(|mirror| mirror.merge(evacuation));
    let began = Instant::now();
    thread::sleep(BOUND);
    // A slow endpoint in another zone makes its requests be hedged.
    system.pool[1].set_mode(Mode::Silent);
    for _ in 0..8 {
        system.send(aware, Method::GET, "/read/x", None);
        system.send(aware, Method::POST, "/bid/x", None);
        system.read_key(aware, 7);
    }
    let view = system.routers[dispatcher].state.view();
    assert!(
        !view.evacuations.contains(ZONE),
        "the dispatcher must not know the evacuation, so that the test shows anything"
    );
    assert_evacuated(&system, began);
}

#[test]
fn requests_are_refused_if_the_whole_service_is_evacuated() {
    let mut system = start_in("evacuate-all", 2, [ZONE; 3]);
    let began = set_evacuated(&system, true);
    thread::sleep(BOUND);
    for vm in 0..2 {
        let sent = Instant::now();
        let (_, status, body) = system.send(vm, Method::POST, "/bid/x", None);
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(body, "evacuated\n");
        assert_eq!(system.read_key(vm, 7), StatusCode::SERVICE_UNAVAILABLE);
        assert!(sent.elapsed() < Duration::from_millis(200));
    }
    assert_evacuated(&system, began);
    set_evacuated(&system, false);
    let is_served = || system.send(0, Method::POST, "/bid/x", None).1 == StatusCode::OK;
    assert!(wait_until(Duration::from_secs(5), is_served));
}

#[test]
fn evacuations_are_ignored_without_the_bound() {
    // Guards against effects on deployments that do not use evacuations.
    let context = Context::spawn(2);
    let contexts = (&context.clone(), context);
    let zones = [ZONE; 3];
    let mut system = System::start_with(contexts, "evacuate-off", 1, zones, bounds(), |_| {});
    set_evacuated(&system, true);
    thread::sleep(BOUND);
    let (_, status, _) = system.send(0, Method::POST, "/bid/x", None);
    assert_eq!(status, StatusCode::OK);
}
