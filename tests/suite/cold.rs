//! Limits on the requests of cold endpoints.
//!
//! The load of the simulation: more requests than a cold endpoint may get, at every VM, at any
//! time, in transit for up to half a second.

use crate::support::fixture;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use rhubarbpick::core::{
    cold::{
        self,
        Endpoints,
        Report,
        Rule,
        Statement, //
    },
    permit::{
        Dispatcher,
        Id,
        Location,
        Request, //
    },
    rate_limit,
    retry_limit::Limit,
    time::Instant,
};
use std::time::Duration;

/// Requests per second that a cold endpoint handles, and what it may get in any one second.
const PER_S: f64 = 3.0;
const FACTOR: f64 = 1.5;
const TOLERANCE: f64 = 8.0;

const COLD_TIME: Duration = Duration::from_secs(3);

/// Longest time for which a request is in transit.
const TRANSIT_TIME: Duration = Duration::from_millis(500);

const START: Instant = Instant(1_000_000_000);

const COLD: Report = Report {
    left_us: 3_000_000,
    age_us: 0,
};

fn rule() -> Rule {
    Rule::new(COLD_TIME, PER_S, FACTOR, TOLERANCE)
}

/// Returns the largest number of permits in a window as long as a second and the transit time.
fn most_in_window(permits: &mut [Instant]) -> usize {
    permits.sort_unstable();
    let window = Duration::from_secs(1) + TRANSIT_TIME;
    let counts = (0..permits.len()).map(|index| {
        let in_window = permits[index..].iter();
        let first = permits[index];
        in_window.take_while(|at| at.since(first) < window).count()
    });
    counts.max().unwrap_or(0)
}

#[test]
fn sum_over_all_vms_stays_within_the_bound() {
    // Two VMs each believe that they are the dispatcher and reach all others, a third one is a
    // secondary dispatcher, and the remaining ones have none.
    const MEMBERS: usize = 75;
    for per_s in [1.0, 3.0, 10.0, 50.0] {
        let rule = Rule::new(COLD_TIME, per_s, FACTOR, TOLERANCE);
        for seed in 0..20 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let primary = rate_limit::dispatcher_share(true, MEMBERS, MEMBERS);
            let secondary = rate_limit::dispatcher_share(false, 0, 0);
            let mut vms = vec![
                Endpoints::new(primary, 0.0),
                Endpoints::new(primary, 0.0),
                Endpoints::new(secondary, 0.0),
            ];
            for _ in 3..MEMBERS {
                let share = cold::local_share(MEMBERS);
                vms.push(Endpoints::new(share, rng.random()));
            }
            let mut permits = Vec::new();
            for vm in &mut vms {
                vm.merge("i-1", COLD, rule, START);
            }
            for step in 0..600 {
                let now = START.after(Duration::from_millis(step * 5));
                for vm in &mut vms {
                    if rng.random::<f64>() < 0.9 && vm.try_take("i-1", now) {
                        permits.push(now);
                    }
                }
            }
            let allowed = per_s * FACTOR + TOLERANCE;
            let most = most_in_window(&mut permits);
            assert!(
                most as f64 <= allowed,
                "{most} requests at a rate of {per_s} per second, allowed {allowed}; seed {seed}"
            );
            assert!(most >= 1);
        }
    }
}

#[test]
fn one_dispatcher_uses_half_of_the_rate() {
    // Guards against a limit that is kept by sending next to nothing.
    let mut endpoints = Endpoints::new(1.0, 0.0);
    endpoints.merge("i-1", COLD, rule(), START);
    let times = (0..3_000).map(|ms| START.after(Duration::from_millis(ms)));
    let sent = times.filter(|&now| endpoints.try_take("i-1", now)).count();
    assert!(
        sent as f64 >= PER_S * COLD_TIME.as_secs_f64() * 0.5,
        "{sent}"
    );
    let warm = START.after(COLD_TIME);
    assert!((0..100).all(|_| endpoints.try_take("i-1", warm)));
}

#[test]
fn endpoint_that_was_unreachable_is_cold_after_its_return() {
    let mut endpoints = Endpoints::new(1.0, 0.0);
    let mut now = START;
    assert!(endpoints.on_unreachable("i-1", rule(), now));
    now = now.after(Duration::from_secs(60));
    assert!(endpoints.rate("i-1", now).is_some(), "not reached yet");
    endpoints.on_response("i-1", None, rule(), now);
    let before = now.after(COLD_TIME - Duration::from_millis(10));
    assert!(endpoints.rate("i-1", before).is_some());
    assert!(endpoints.rate("i-1", now.after(COLD_TIME)).is_none());
    // Further responses do not make it cold again.
    endpoints.on_response("i-1", None, rule(), before);
    assert!(endpoints.rate("i-1", now.after(COLD_TIME)).is_none());
}

#[test]
fn later_report_wins() {
    // Guards against reports of other VMs that arrive late.
    let mut endpoints = Endpoints::new(1.0, 0.0);
    let later = START.after(Duration::from_secs(2));
    endpoints.on_unreachable("i-1", rule(), later);
    let old = Report {
        left_us: 0,
        age_us: 1_000_000,
    };
    endpoints.merge("i-1", old, rule(), later);
    assert!(endpoints.rate("i-1", later).is_some());
    let mut other = Endpoints::new(1.0, 0.0);
    let report = endpoints.report("i-1", later).unwrap();
    assert!(other.is_news("i-1", None, later) != endpoints.is_news("i-1", None, later));
    other.merge("i-1", report, rule(), later);
    assert!(other.rate("i-1", later.after(COLD_TIME * 9)).is_some());
    assert!(!endpoints.is_news("i-1", Some(report), later));
    let new = Report {
        left_us: 0,
        age_us: 0,
    };
    other.merge("i-1", new, rule(), later.after(Duration::from_secs(1)));
    assert!(other
        .rate("i-1", later.after(Duration::from_secs(1)))
        .is_none());
}

#[test]
fn response_cannot_make_an_endpoint_cold_for_longer_than_a_start_takes() {
    let mut endpoints = Endpoints::new(1.0, 0.0);
    endpoints.on_response("i-1", Some(Duration::MAX), rule(), START);
    assert!(endpoints.rate("i-1", START).is_some());
    assert!(endpoints.rate("i-1", START.after(COLD_TIME)).is_none());
}

#[test]
fn entry_written_before_an_event_does_not_end_the_cold_time() {
    let is_cold = |statement: Statement, now: Instant| statement.report(now).left_us > 0;
    let entry = Statement::of_entry(None, 0, false, START);
    let ended = START.after(Duration::from_secs(10));
    let after = entry.after_evacuation(COLD_TIME, ended);
    assert!(is_cold(after, ended));
    // Seen shortly after the end, so possibly written before it.
    let soon = ended.after(Duration::from_millis(300));
    let seen = Statement::of_entry(Some(after), 0, false, soon);
    assert!(is_cold(seen, soon));
    let later = ended.after(Duration::from_millis(1_500));
    let seen = Statement::of_entry(Some(after), 0, false, later);
    assert!(!is_cold(seen, later));
    let restarted = Statement::of_entry(Some(after), 3_000, true, soon);
    assert!(is_cold(restarted, soon.after(Duration::from_millis(2_900))));
}

fn dispatcher() -> Dispatcher {
    let limit = Limit {
        ratio_permille: 200,
        slack: 56,
        window: Duration::from_secs(10),
    };
    let endpoints = ["i-1", "i-2"].map(fixture::endpoint);
    let mut dispatcher = Dispatcher::new(limit, START);
    dispatcher.set_role(true, 1, 1, START);
    let listed = endpoints.iter().map(|endpoint| (endpoint, START));
    dispatcher.set_endpoints(listed, START);
    dispatcher
}

fn request(key: Option<u16>) -> Request {
    Request {
        class: 1,
        key,
        rank: 1,
        goal_us: 400_000,
        left_us: 2_000_000,
        is_repeat: false,
        is_return: false,
        subject: 0,
        patience_us: 2_000_000,
        bytes: 0,
        zone: "a".into(),
        avoid: Vec::new(),
    }
}

/// Submits a request every 10 ms, which runs for 10 ms; returns how many ran at `i-1`.
fn requests_at_cold(dispatcher: &mut Dispatcher, key: Option<u16>, began: Instant) -> usize {
    use rhubarbpick::core::permit::Outcome;
    let locate = |_: u16| Location::Held("i-1");
    let mut count = 0;
    for step in 0..200 {
        let now = began.after(Duration::from_millis(step * 10));
        let id = Id {
            requester: "10.1.0.1:7000".parse().unwrap(),
            number: now.0,
        };
        let _ = dispatcher.submit(id, request(key), &locate, now);
        for assignment in dispatcher.dispatch(&locate, now).assignments {
            count += usize::from(&*assignment.endpoint == "i-1");
            let took = Duration::from_millis(10);
            let end = now.after(Duration::from_millis(5));
            dispatcher.complete(assignment.request, Outcome::Answered, took, end);
        }
    }
    count
}

#[test]
fn dispatcher_limits_requests_to_a_cold_endpoint() {
    for key in [None, Some(7)] {
        let mut dispatcher = dispatcher();
        dispatcher.merge_cold("i-1", COLD, rule(), START);
        assert_eq!(dispatcher.cold_count(START), 1);
        let count = requests_at_cold(&mut dispatcher, key, START);
        assert!((1..=8).contains(&count), "{count} in 2 s, key {key:?}");
        let capacity = dispatcher.capacity("i-1", START).unwrap();
        assert!(
            capacity <= PER_S,
            "the planner counts on {capacity} per second"
        );
        let warm = START.after(COLD_TIME);
        let count = requests_at_cold(&mut dispatcher, key, warm);
        assert!(count > 50, "{count} in 2 s once it is warm, key {key:?}");
    }
}

#[test]
fn service_without_a_rule_is_not_limited() {
    let mut dispatcher = dispatcher();
    dispatcher.merge_cold("i-1", COLD, rule(), START);
    dispatcher.clear_cold();
    assert!(requests_at_cold(&mut dispatcher, Some(7), START) > 50);
}
