//! Tests of what callers get when endpoints send faulty responses.

use super::{
    faulty_endpoint::{
        self,
        chunked_head,
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
    io::{
        Read,
        Write, //
    },
    net::TcpStream,
    sync::{
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
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

/// Time by which a request has to end, counted from its sending: the route's limit and the half
/// second that the platform's users allow.
const MAX_REQUEST_TIME: Duration = Duration::from_millis(3_500);

/// Sends a request over a plain socket, which the test reads.
fn open_request(system: &System, path: &str, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(system.caller_address(0)).unwrap();
    let head =
        format!("GET {path} HTTP/1.1\r\nhost: host\r\nx-id: {id}\r\nx-deadline: 9000\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

/// Reads until the connection ends; returns what was read.
fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    stream.set_read_timeout(Some(MAX_REQUEST_TIME * 2)).unwrap();
    // A reset is an end too.
    let _ = stream.read_to_end(&mut bytes);
    bytes
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

#[test]
fn response_without_an_end_is_broken_off_at_the_deadline() {
    // Guards against bodies that were forwarded past every time limit, also to a caller that does
    // not read.
    let broken_off = Arc::new(Mutex::new(Vec::new()));
    let ends = Arc::clone(&broken_off);
    let (system, _) = start("endless-body", 1, move |exchange| {
        let began = Instant::now();
        let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
        let mut is_open = exchange.write(chunked_head(exchange.endpoint, exchange.id));
        while is_open && began.elapsed() < MAX_REQUEST_TIME * 2 {
            is_open = exchange.write(&chunk);
            thread::sleep(Duration::from_millis(5));
        }
        ends.lock().unwrap().push(began.elapsed());
        false
    });
    let _unread = open_request(&system, "/read/x", "unread");
    let began = Instant::now();
    let bytes = read_to_end(&mut open_request(&system, "/read/x", "read"));
    let elapsed = began.elapsed();
    assert!(
        elapsed <= MAX_REQUEST_TIME,
        "the response lasted {elapsed:?}"
    );
    assert!(bytes.starts_with(b"HTTP/1.1 200 "));
    assert!(
        !bytes.ends_with(b"0\r\n\r\n"),
        "the response looks complete"
    );
    let are_ended = || broken_off.lock().unwrap().len() == 2;
    assert!(wait_until(MAX_REQUEST_TIME * 2, are_ended));
    for elapsed in broken_off.lock().unwrap().iter() {
        assert!(
            *elapsed <= MAX_REQUEST_TIME,
            "the endpoint sent for {elapsed:?}"
        );
    }
}

#[test]
fn status_that_promises_not_run_is_not_forwarded_without_a_proof() {
    // Guards against an endpoint that runs a request and responds with a status by which callers
    // are promised that it did not run.
    for status in [408, 429, 503] {
        let (system, runs) = start(&format!("unproven-{status}"), 2, move |exchange| {
            exchange.run();
            exchange.write(format!(
                "HTTP/1.1 {status} Status\r\nx-id: {}\r\nx-signature: {}\r\ncontent-length: 0\r\n\
                 \r\n",
                exchange.id, exchange.endpoint
            ))
        });
        assert_bids_run_once(&system, &runs, 3);
    }
}

/// How the body of a response is delimited.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    /// By the end of the connection, unless that is a reset.
    Connection,
}

/// Returns a complete response and the length of its head.
fn framed_response(framing: Framing, endpoint: &str, id: &str) -> (String, usize) {
    let body = format!("answer to {id}");
    let fields = format!("x-id: {id}\r\nx-signature: {endpoint}\r\n");
    let (field, body) = match framing {
        Framing::Length => (format!("content-length: {}\r\n", body.len()), body),
        Framing::Chunks => {
            let chunks = format!(
                "4\r\nansw\r\n{:x}\r\n{}\r\n0\r\n\r\n",
                body.len() - 4,
                &body[4..]
            );
            ("transfer-encoding: chunked\r\n".into(), chunks)
        }
        Framing::Connection => ("connection: close\r\n".into(), body),
    };
    let head = format!("HTTP/1.1 200 OK\r\n{fields}{field}\r\n");
    let length = head.len();
    (head + &body, length)
}

#[test]
fn response_that_is_cut_at_any_byte_is_not_forwarded_as_complete() {
    // Guards against a success with an empty or short body, framed as whole.
    for framing in [Framing::Length, Framing::Chunks, Framing::Connection] {
        for is_reset in [false, true] {
            let name = format!("cut-{framing:?}-{is_reset}").to_lowercase();
            let cuts = Arc::new(AtomicUsize::new(0));
            let count = Arc::clone(&cuts);
            let seen = Arc::new(Mutex::new(Vec::<Box<str>>::new()));
            // Cuts the response to the first try of a request after as many bytes as its path says.
            let (system, _) = start(&name, 2, move |exchange| {
                let mut seen = seen.lock().unwrap();
                let is_first = !seen.iter().any(|id| **id == *exchange.id);
                seen.push(exchange.id.into());
                drop(seen);
                let (response, head) = framed_response(framing, exchange.endpoint, exchange.id);
                let cut: usize = exchange.id.rsplit('-').next().unwrap().parse().unwrap();
                // Without a reset, the end of the connection is the end of the body.
                let is_complete =
                    matches!(framing, Framing::Connection) && !is_reset && cut >= head;
                if is_first && cut < response.len() && !is_complete {
                    count.fetch_add(1, Ordering::SeqCst);
                    if is_reset {
                        exchange.reset_on_close();
                    }
                    exchange.write(&response[..cut]);
                    return false;
                }
                exchange.write(&response) && !matches!(framing, Framing::Connection)
            });
            // Longer than each of the responses; the last ones are not cut.
            for cut in 0..180 {
                let id = format!("{name}-{cut}");
                let (status, body) = system.send_as(&id, 0, Method::GET, "/read/x", None);
                if status.is_success() {
                    assert_eq!(body, format!("answer to {id}"), "cut after {cut} bytes");
                }
                system.send_as("whole-999", 0, Method::GET, "/read/x", None);
            }
            let cuts = cuts.load(Ordering::SeqCst);
            assert!(cuts > 90, "{name}: only {cuts} responses were cut");
        }
    }
}

/// How the body of an upload is delimited.
#[derive(Clone, Copy, Debug)]
enum Upload {
    Length,
    Chunks,
}

/// Sends an upload over a plain socket, from a thread of its own, and returns what the router sends
/// until the connection ends, and after which time.
fn upload(system: &System, id: &str, framing: Upload, length: usize) -> (Vec<u8>, Duration) {
    const CHUNK_BYTES: usize = 50_000;
    let mut stream = TcpStream::connect(system.caller_address(0)).unwrap();
    let field = match framing {
        Upload::Length => format!("content-length: {length}"),
        Upload::Chunks => "transfer-encoding: chunked".into(),
    };
    let head = format!(
        "POST /bid/x HTTP/1.1\r\nhost: host\r\nx-id: {id}\r\nx-deadline: 9000\r\n\
         connection: close\r\n{field}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    match framing {
        Upload::Length => bytes.resize(bytes.len() + length, b'x'),
        Upload::Chunks => {
            for start in (0..length).step_by(CHUNK_BYTES) {
                let size = CHUNK_BYTES.min(length - start);
                bytes.extend_from_slice(format!("{size:x}\r\n").as_bytes());
                bytes.resize(bytes.len() + size, b'x');
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
    }
    let began = Instant::now();
    let mut writer = stream.try_clone().unwrap();
    let writing = thread::spawn(move || {
        // The router may close the connection before the end.
        let _ = writer.write_all(&bytes);
    });
    let response = read_to_end(&mut stream);
    let elapsed = began.elapsed();
    drop(stream);
    writing.join().unwrap();
    (response, elapsed)
}

/// Returns the status of a response that a caller received, if it received one.
fn status_of(response: &[u8]) -> Option<u16> {
    let text = response.strip_prefix(b"HTTP/1.1 ")?;
    std::str::from_utf8(text.get(..3)?).ok()?.parse().ok()
}

/// Returns whether a caller can take a response for a complete one.
fn is_complete(response: &[u8]) -> bool {
    let end = response.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let Some(end) = end else {
        return false;
    };
    let head = String::from_utf8_lossy(&response[..end]).to_lowercase();
    let body = &response[end + 4..];
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    match length.map(|length| length.parse::<usize>().unwrap()) {
        Some(length) => body.len() >= length,
        None if head.contains("transfer-encoding: chunked") => body.ends_with(b"0\r\n\r\n"),
        None => true,
    }
}

/// Lengths of uploads, of which the shortest are buffered and the others forwarded.
const UPLOAD_BYTES: [usize; 4] = [100_000, 400_000, 1_500_000, 8_000_000];

#[test]
fn part_of_a_response_that_is_reset_during_an_upload_is_not_forwarded_as_complete() {
    // Guards against an endpoint that responds at once without a length, sends a part of the body
    // and resets the connection while the upload is still being written.
    for part in [0, 1, 2_000, 300_000] {
        for pause in [0, 30] {
            let (system, _) = start(&format!("reset-{part}-{pause}"), 2, move |exchange| {
                exchange.run();
                let head = format!(
                    "HTTP/1.1 200 OK\r\nx-id: {}\r\nx-signature: {}\r\n\r\n",
                    exchange.id, exchange.endpoint
                );
                exchange.write(head + &"y".repeat(part));
                thread::sleep(Duration::from_millis(pause));
                exchange.reset_on_close();
                false
            });
            for length in UPLOAD_BYTES {
                for framing in [Upload::Length, Upload::Chunks] {
                    let id = format!("upload-{length}-{framing:?}");
                    let (response, _) = upload(&system, &id, framing, length);
                    let is_success =
                        status_of(&response).is_some_and(|status| (200..300).contains(&status));
                    assert!(
                        !is_success || !is_complete(&response),
                        "{id} got a part of {part} bytes as a complete response"
                    );
                }
            }
        }
    }
}

#[test]
fn invalid_status_is_not_forwarded() {
    // Guards against a status that callers cannot interpret, and that some take for a success.
    let invalid = [
        "000",
        "000 OK",
        "001 X",
        "042 X",
        "099 X",
        "99 X",
        "7 X",
        "100 X",
        "101 X",
        "102 X",
        "103 X",
        "199 X",
        "600 X",
        "601 X",
        "700 X",
        "999 X",
        "1000 X",
        "2000 X",
        "20 X",
        "2x0 X",
        "abc X",
        "OK",
        "+20 X",
        "+200 X",
        "-20 X",
        "-200 X",
        "2 00 X",
        "",
        " ",
        "20\u{660} X",
    ];
    for (number, line) in invalid.into_iter().enumerate() {
        let (system, runs) = start(&format!("status-{number}"), 2, move |exchange| {
            exchange.run();
            let head = format!(
                "HTTP/1.1 {line}\r\nx-id: {}\r\nx-signature: {}\r\ncontent-length: 2\r\n\r\n",
                exchange.id, exchange.endpoint
            );
            exchange.write(head + "ok");
            false
        });
        let mut request = open_request(&system, "/read/x", "read");
        let response = read_response(&mut request);
        let status = status_of(&response);
        assert!(
            matches!(status, Some(502 | 504)),
            "the status {line:?} was answered by {status:?}"
        );
        assert!(
            !response.ends_with(b"ok"),
            "the body of {line:?} was forwarded"
        );
        let status = send_bid(&system, &runs, "bid").as_u16();
        assert!(
            matches!(status, 502 | 504),
            "the status {line:?} was answered by {status}"
        );
    }
}

/// Reads a response with a length; returns what was read.
fn read_response(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut piece = [0; 4_096];
    stream.set_read_timeout(Some(MAX_REQUEST_TIME * 2)).unwrap();
    while bytes.is_empty() || !is_complete(&bytes) {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(count) => bytes.extend_from_slice(&piece[..count]),
        }
    }
    bytes
}

#[test]
fn upload_is_answered_as_soon_as_the_endpoint_has_closed_its_connection() {
    // Guards against an answer that came only at the deadline, although the endpoint had read the
    // upload and closed the connection at once.
    for is_reset in [false, true] {
        let (system, runs) = start(&format!("closes-{is_reset}"), 2, move |exchange| {
            exchange.run();
            exchange.read_body();
            if is_reset {
                exchange.reset_on_close();
            }
            false
        });
        for length in [10, 1_000, 100_000, 1_000_000, 4_000_000] {
            for try_number in 0..4 {
                let id = format!("upload-{length}-{try_number}");
                let (response, elapsed) = upload(&system, &id, Upload::Length, length);
                assert_eq!(status_of(&response), Some(502), "{id} after {elapsed:?}");
                // The deadline is at 3 s.
                let limit = Duration::from_millis(1_500);
                assert!(elapsed < limit, "{id} was answered after {elapsed:?}");
                let runs = runs.lock().unwrap();
                assert_eq!(runs.iter().filter(|run| ***run == *id).count(), 1);
            }
        }
    }
}
