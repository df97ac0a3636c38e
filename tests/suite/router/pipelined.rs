//! Pipelined requests at the listener for callers.

use super::{
    stand_in::{
        wait_until,
        Mode, //
    },
    System,
};
use std::{
    collections::BTreeSet,
    io::{
        Read,
        Write, //
    },
    net::TcpStream,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Time limit for requests to reach endpoints.
const TIME_LIMIT: Duration = Duration::from_secs(3);

/// Time in which a request that is not held back reaches an endpoint.
const MARGIN: Duration = Duration::from_millis(300);

fn request(id: &str, path: &str, fields: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: host\r\nx-id: {id}\r\nx-deadline: 3000\r\n{fields}\r\n")
}

fn connect(system: &System) -> TcpStream {
    let stream = TcpStream::connect(system.caller_address(0)).unwrap();
    stream.set_read_timeout(Some(TIME_LIMIT)).unwrap();
    stream
}

/// Identities of the requests that endpoints have run.
fn runs(system: &System) -> BTreeSet<Box<str>> {
    let servers = system.pool.iter().chain(&system.keyed);
    let runs = servers.flat_map(|server| server.runs.lock().unwrap().clone());
    runs.collect()
}

#[test]
fn only_repeatable_requests_of_a_connection_run_at_the_same_time() {
    // Guards against pipelined requests that wait for each other, and against a request that must
    // not be repeated and is lost with the connection on which it was sent beside others.
    let system = System::start("pipelined", 1);
    for server in &system.pool {
        server.set_mode(Mode::Silent);
    }
    let mut once = connect(&system);
    let text = request("first", "/bid/x", "") + &request("second", "/read/x", "");
    once.write_all(text.as_bytes()).unwrap();
    assert!(wait_until(TIME_LIMIT, || runs(&system).contains("first")));
    thread::sleep(MARGIN);
    assert!(!runs(&system).contains("second"));
    let known = runs(&system);
    let sent = ["/read/a", "/read/b", "/read/c", "/bid/d", "/read/e"];
    let text: String = sent.iter().map(|path| request(path, path, "")).collect();
    let mut stream = connect(&system);
    stream.write_all(text.as_bytes()).unwrap();
    let new = || &runs(&system) - &known;
    assert!(wait_until(TIME_LIMIT, || new().len() >= 3));
    thread::sleep(MARGIN);
    let expected: BTreeSet<Box<str>> = sent[..3].iter().map(|&path| path.into()).collect();
    assert_eq!(new(), expected);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let system = System::start("pipelined-order", 1);
    let mut text = String::new();
    for index in 0..8 {
        text += &request(&format!("read-{index}"), "/read/x", "");
    }
    text += &request("last", "/read/x", "connection: close\r\n");
    let mut stream = connect(&system);
    let began = Instant::now();
    stream.write_all(text.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    println!("took {:?}", began.elapsed());
    let ids = answer.split("answer to ").skip(1);
    let ids: Vec<&str> = ids.map(|text| text.split("HTTP").next().unwrap()).collect();
    let mut expected: Vec<String> = (0..8).map(|index| format!("read-{index}")).collect();
    expected.push("last".into());
    assert_eq!(ids, expected);
}

#[test]
fn process_that_is_leaving_starts_no_pipelined_requests() {
    // Guards against requests that run although the response before them closes the connection.
    let system = System::start("pipelined-leaving", 1);
    system.routers[0].state.begin_shutdown();
    let text = request("first", "/read/x", "") + &request("second", "/read/x", "");
    let mut stream = connect(&system);
    stream.write_all(text.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    thread::sleep(MARGIN);
    assert!(!runs(&system).contains("second"));
}
