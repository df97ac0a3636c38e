//! Requests at a VM that is stopped as planned.

use super::{
    bounds,
    wait_until,
    Mode,
    System, //
};
use async_io::block_on;
use rhubarbpick::{
    kernel::runtime::Context,
    router::{
        shutdown::Schedule,
        Router, //
    },
};
use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Time limit of the routes, longer than the grace period.
const ROUTE_TIMEOUT_MS: u64 = 9_000;

/// Time within which a request that is not served is rejected.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(500);

fn start(name: &str) -> System {
    let context = Context::spawn(2);
    let contexts = (&context.clone(), context);
    System::start_with(contexts, name, 1, ["a"; 3], bounds(), |manifest| {
        for host in &mut manifest.hosts {
            for route in &mut host.routes {
                route.timeout_ms = ROUTE_TIMEOUT_MS;
            }
        }
    })
}

fn schedule() -> Schedule {
    Schedule::new(bounds().grace_period)
}

/// Stops a VM; the thread ends when its process would.
fn stop(router: Router) -> JoinHandle<()> {
    thread::spawn(move || {
        block_on(router.drain());
    })
}

fn head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: host\r\nx-id: {id}\r\nx-deadline: {ROUTE_TIMEOUT_MS}\r\n"
    )
}

/// Returns all bytes of a connection, and when the first ones arrived.
fn read_all(mut stream: TcpStream) -> (String, Option<Instant>) {
    let limit = Duration::from_millis(2 * ROUTE_TIMEOUT_MS);
    stream.set_read_timeout(Some(limit)).unwrap();
    let mut first = [0];
    let arrival = matches!(stream.read(&mut first), Ok(1)).then(Instant::now);
    let mut bytes = first[..usize::from(arrival.is_some())].to_vec();
    // A reset is an end too.
    let _ = stream.read_to_end(&mut bytes);
    (String::from_utf8_lossy(&bytes).into(), arrival)
}

fn connect(address: SocketAddr, bytes: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.write_all(bytes.as_bytes()).unwrap();
    stream
}

fn has_run(system: &System, id: &str) -> bool {
    let mut servers = system.pool.iter();
    servers.any(|server| server.runs.lock().unwrap().iter().any(|run| **run == *id))
}

#[test]
fn request_that_arrives_late_in_the_grace_period_is_not_passed_on() {
    // Guards against requests that were taken from open connections after the notice period,
    // passed on, and cut without a response at the end of the grace period.
    let mut system = start("stop-late");
    for server in &system.pool {
        server.set_mode(Mode::Silent);
    }
    let address = system.caller_address(0);
    let unused: Vec<TcpStream> = (0..4).map(|_| connect(address, "")).collect();
    let partial: Vec<TcpStream> = (0..4)
        .map(|index| {
            connect(
                address,
                &head("POST", "/bid/x", &format!("partial-{index}")),
            )
        })
        .collect();
    let body_outstanding: Vec<TcpStream> = (0..4)
        .map(|index| {
            let head = head("POST", "/bid/x", &format!("body-{index}"));
            connect(address, &format!("{head}content-length: 4\r\n\r\nab"))
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    let began = Instant::now();
    let process = stop(system.routers.remove(0));
    thread::sleep(schedule().rejects_at + Duration::from_millis(600));

    let sent = Instant::now();
    let mut requests = Vec::new();
    let late = |name: &str, index: usize| format!("{name}-{index}");
    for (index, mut stream) in unused.into_iter().enumerate() {
        let head = head("POST", "/bid/x", &late("unused", index));
        // The VM may have closed a connection that it never read from.
        let _ = stream.write_all(format!("{head}\r\n").as_bytes());
        requests.push((late("unused", index), stream));
    }
    for (index, mut stream) in partial.into_iter().enumerate() {
        stream.write_all(b"\r\n").unwrap();
        requests.push((late("partial", index), stream));
    }
    for (index, mut stream) in body_outstanding.into_iter().enumerate() {
        stream.write_all(b"cd").unwrap();
        requests.push((late("body", index), stream));
    }
    for (id, stream) in requests {
        let (response, arrival) = read_all(stream);
        let is_unused = id.starts_with("unused");
        assert!(!has_run(&system, &id), "{id} was passed on");
        if is_unused && response.is_empty() {
            continue;
        }
        assert!(response.starts_with("HTTP/1.1 503 "), "{id}: {response:?}");
        assert!(response.contains("retry-after: "), "{id}: {response:?}");
        let took = arrival.unwrap().duration_since(sent);
        assert!(took < REJECTION_TIMEOUT, "{id} took {took:?}");
    }
    process.join().unwrap();
    assert!(began.elapsed() <= bounds().grace_period);
}

#[test]
fn requests_without_a_response_at_the_end_of_the_grace_period_get_one() {
    // Guards against requests with a long time limit whose connections were closed without a
    // response when the process ended.
    let mut system = start("stop-waiting");
    for server in &system.pool {
        server.set_mode(Mode::Silent);
    }
    let address = system.caller_address(0);
    // More than the endpoints run at a time, so that some wait in the queue.
    let requests: Vec<(String, TcpStream)> = (0..24)
        .map(|index| {
            let id = format!("waiting-{index}");
            let head = head("POST", "/bid/x", &id);
            let stream = connect(address, &format!("{head}\r\n"));
            (id, stream)
        })
        .collect();
    let is_any_running = || has_run(&system, "waiting-0");
    assert!(wait_until(Duration::from_secs(2), is_any_running));
    let readers = requests
        .into_iter()
        .map(|(id, stream)| thread::spawn(move || (id, read_all(stream))));
    let readers: Vec<_> = readers.collect();
    let began = Instant::now();
    let process = stop(system.routers.remove(0));
    process.join().unwrap();
    let ended = Instant::now();
    assert!(ended.duration_since(began) <= bounds().grace_period);
    let mut unanswered = Vec::new();
    let mut ran = 0;
    for reader in readers {
        let (id, (response, arrival)) = reader.join().unwrap();
        if arrival.is_none_or(|arrival| arrival > ended) {
            unanswered.push(id);
            continue;
        }
        let has_run = has_run(&system, &id);
        ran += usize::from(has_run);
        let is_rejected = response.starts_with("HTTP/1.1 503 ");
        assert!(!(has_run && is_rejected), "{id} ran and got {response:?}");
        if has_run {
            // Endpoints keep most of the grace period for their responses.
            let waited = arrival.unwrap().duration_since(began);
            assert!(
                waited >= bounds().grace_period * 5 / 6,
                "{id} was broken off after {waited:?}"
            );
        }
    }
    assert_eq!(unanswered, [""; 0], "no response when the process ended");
    assert!(ran > 0);
}

#[test]
fn steps_of_a_shutdown_fit_into_any_grace_period() {
    for millis in [0, 1, 10, 500, 1_000, 2_000, 3_000, 6_000, 30_000, 600_000] {
        let grace_period = Duration::from_millis(millis);
        let schedule = Schedule::new(grace_period);
        assert!(schedule.rejects_at <= schedule.answers_by, "{schedule:?}");
        assert!(schedule.answers_by <= schedule.exits_at, "{schedule:?}");
        assert!(schedule.exits_at <= grace_period, "{schedule:?}");
        assert!(schedule.answers_by >= grace_period * 5 / 6, "{schedule:?}");
    }
}
