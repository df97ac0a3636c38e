//! Tests of what callers get when endpoints send faulty responses.

use super::{
    faulty_endpoint::{
        self,
        rejection,
        Exchange,
        Runs, //
    },
    stand_in::wait_until,
    System, //
};
use hyper::{
    Method,
    StatusCode, //
};
use rhubarbpick::core::mirror::Kind;
use std::{
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::Duration, //
};

/// Time limit for a change of the endpoints to be known.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a router and replaces the endpoints of the service without keys by `count` faulty ones,
/// all of which respond in the same way.
fn start(
    name: &str,
    count: usize,
    respond: impl Fn(&mut Exchange<'_>) -> bool + Clone + Send + Sync + 'static,
) -> (System, Runs) {
    let system = System::start(name, 1);
    let service = &system.pool[0].endpoint.service;
    for server in &system.pool {
        system.store.put(Kind::Endpoint, &server.endpoint.id, None);
    }
    let runs = Runs::default();
    for index in 0..count {
        let id = format!("{name}-faulty-{index}");
        faulty_endpoint::start(&system.store, &id, service, &runs, respond.clone());
    }
    let is_replaced = || {
        let view = system.routers[0].state.view();
        let mut endpoints = view.endpoints_of(service);
        view.endpoints_of(service).count() == count
            && endpoints.all(|entry| entry.endpoint.id.contains("faulty"))
    };
    assert!(wait_until(NOTICE_TIMEOUT, is_replaced));
    (system, runs)
}

/// Statuses that promise callers that their requests have not run.
const NOT_RUN: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Time after which endpoints that rejected a request get others again, and have begun to run
/// what was sent to them.
const PAUSE: Duration = Duration::from_millis(80);

/// Sends requests that must not run twice.
fn assert_bids_run_once(system: &System, runs: &Runs, count: usize) {
    for number in 0..count {
        send_bid(system, runs, &format!("bid-{number}"));
    }
}

/// Sends a request that must not run twice and returns the status.
///
/// Asserts that it did not run twice, and not at all if the status says so.
fn send_bid(system: &System, runs: &Runs, id: &str) -> StatusCode {
    let (status, _) = system.send_as(id, 0, Method::POST, "/bid/x", None);
    thread::sleep(PAUSE);
    let runs = runs.lock().unwrap();
    let ran = runs.iter().filter(|run| ***run == *id).count();
    assert!(ran <= 1, "{id} ran {ran} times and got {status}");
    assert!(
        ran == 0 || !NOT_RUN.contains(&status),
        "{id} ran and got {status}"
    );
    status
}

#[test]
fn late_copy_of_a_misdirected_response_is_not_taken_for_another_one() {
    // Guards against requests that ran at two endpoints, or ran and were reported as not run: a
    // second copy of the 421 to one request was taken for the response to the next.
    let (system, runs) = start("late-421", 2, |exchange| match exchange.earlier {
        [] => exchange.write(rejection(421, exchange.id)),
        [rejected] if **rejected != *exchange.id => {
            let copy = rejection(421, rejected);
            exchange.run();
            exchange.write(copy) && exchange.finish()
        }
        _ => exchange.serve(),
    });
    assert_bids_run_once(&system, &runs, 12);
}

/// Starts endpoints that reject each request the first time that they see it, and send a copy of
/// that response if the request comes again on the same connection.
fn start_repeating(name: &str, status: u16) -> (System, Runs) {
    let seen = Arc::new(Mutex::new(Vec::<Box<str>>::new()));
    start(name, 1, move |exchange| {
        let mut seen = seen.lock().unwrap();
        if !seen.iter().any(|id| **id == *exchange.id) {
            seen.push(exchange.id.into());
            return exchange.write(rejection(status, exchange.id));
        }
        drop(seen);
        exchange.run();
        if exchange.earlier.iter().any(|id| **id == *exchange.id) {
            exchange.write(rejection(status, exchange.id));
        }
        exchange.finish()
    })
}

#[test]
fn late_copy_of_a_rejection_is_not_taken_for_the_response_to_a_second_try() {
    // Guards against a second try on the connection of the first: a copy of the first response
    // has the right identity, but the second try was running.
    let (system, runs) = start_repeating("late-same-421", 421);
    assert_bids_run_once(&system, &runs, 6);
}

#[test]
fn late_copy_of_a_rejection_is_not_taken_for_the_response_to_a_caller_that_returns() {
    // As before, with a caller that sends its request again under the same identity.
    let (system, runs) = start_repeating("late-same-503", 503);
    for number in 0..6 {
        let id = format!("bid-{number}");
        for _ in 0..3 {
            if send_bid(&system, &runs, &id).is_success() {
                break;
            }
        }
    }
}

#[test]
fn late_copy_of_a_rejection_without_an_identity_is_not_taken_for_another_response() {
    let (system, runs) = start("late-anonymous", 1, |exchange| {
        let anonymous = "HTTP/1.1 503 Status\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        match exchange.earlier {
            [] => exchange.write(anonymous),
            [.., last] if **last != *exchange.id => {
                exchange.run();
                exchange.write(anonymous) && exchange.finish()
            }
            _ => exchange.serve(),
        }
    });
    assert_bids_run_once(&system, &runs, 6);
}
