//! Pipelined HTTP/1.1 requests, over real sockets.
//!
//! The handler answers `/MS/...` after that many milliseconds with the path; `/once/...` must not
//! run beside another request.

use hyper::{
    body::Incoming,
    header::{
        HeaderValue,
        CONNECTION, //
    },
    Request,
    Response,
    StatusCode, //
};
use proptest::prelude::*;
use rhubarbpick::kernel::{
    http::{
        self,
        answer,
        collect,
        Body,
        Limits,
        Listener, //
    },
    pipeline::{
        Pipelining,
        Scanner, //
    },
    runtime::{
        sleep,
        Context, //
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
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Longest wait for bytes of a response.
const TIMEOUT: Duration = Duration::from_secs(5);

/// What the handler of a server has done.
#[derive(Default)]
struct Log {
    begun: Vec<String>,
    done: Vec<String>,
    dropped: Vec<String>,
    running: usize,
    most_running: usize,
    is_once_running: bool,
    /// Requests that ran beside a `/once/` request.
    overlapped: Vec<String>,
}

struct Run {
    log: Arc<Mutex<Log>>,
    path: String,
    is_done: bool,
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut log = self.log.lock().unwrap();
        log.running -= 1;
        let path = self.path.clone();
        match self.is_done {
            true => log.done.push(path),
            false => log.dropped.push(path),
        }
    }
}

async fn handle(log: Arc<Mutex<Log>>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let mut run = {
        let mut locked = log.lock().unwrap();
        let is_once = path.starts_with("/once/");
        if locked.running > 0 && (is_once || locked.is_once_running) {
            locked.overlapped.push(path.clone());
        }
        locked.is_once_running = is_once;
        locked.begun.push(path.clone());
        locked.running += 1;
        locked.most_running = locked.most_running.max(locked.running);
        drop(locked);
        Run {
            log: Arc::clone(&log),
            path: path.clone(),
            is_done: false,
        }
    };
    let body = collect(request.into_body(), 1 << 20).await;
    let number = path.split('/').find_map(|part| part.parse().ok());
    sleep(Duration::from_millis(number.unwrap_or(0))).await;
    run.is_done = true;
    let length = body.map_or(0, |body| body.len());
    let mut text = format!("{path} {length}\n");
    if path.ends_with("/large") {
        text.push_str(&"x".repeat(100_000));
    }
    let mut response = answer(StatusCode::OK, "text/plain", text);
    if path.ends_with("/close") {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

struct Server {
    _context: Context,
    listener: Listener,
    log: Arc<Mutex<Log>>,
}

impl Server {
    fn start(max_requests: usize, max_bytes: usize) -> Self {
        let pipelining = Pipelining {
            max_requests,
            max_bytes,
            may_overlap: Arc::new(|uri, _| !uri.path().starts_with("/once/")),
        };
        Self::start_with(Some(pipelining))
    }

    /// Starts a server that handles the requests of a connection one after another.
    fn start_plain() -> Self {
        Self::start_with(None)
    }

    fn start_with(pipelining: Option<Pipelining>) -> Self {
        let context = Context::spawn(2);
        let log = Arc::new(Mutex::new(Log::default()));
        let handler = http::with_state(&log, handle_shared);
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let limits = Limits {
            head_timeout: Duration::from_millis(1_500),
            has_date: false,
            ..Limits::default()
        };
        let listener = match pipelining {
            None => http::bind(&context, address, limits, handler),
            Some(pipelining) => {
                http::bind_pipelined(&context, address, limits, None, pipelining, handler)
            }
        };
        Self {
            _context: context,
            listener: listener.unwrap(),
            log,
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.listener.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    /// Sends bytes and returns all that comes until the server closes the connection.
    fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        stream.write_all(bytes).unwrap();
        read_all(&mut stream)
    }

    fn begun(&self) -> Vec<String> {
        self.log.lock().unwrap().begun.clone()
    }
}

async fn handle_shared(log: Arc<Mutex<Log>>, request: Request<Incoming>) -> Response<Body> {
    handle(log, request).await
}

/// Waits until a condition holds; returns whether it does.
fn wait_until(condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + TIMEOUT;
    while !condition() && Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
    }
    condition()
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads until `count` heads of responses have come, and the bodies of up to a line.
fn read_responses(stream: &mut TcpStream, count: usize) -> String {
    let mut text = String::new();
    let mut buffer = [0; 65_536];
    while text.matches("HTTP/1.1 ").count() < count || !text.ends_with('\n') {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(length) => text.push_str(&String::from_utf8_lossy(&buffer[..length])),
        }
    }
    text
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

fn last(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
}

/// Paths in the bodies of responses, in order.
fn paths(text: &str) -> Vec<&str> {
    let lines = text.lines().filter(|line| line.starts_with('/'));
    lines.map(|line| line.split(' ').next().unwrap()).collect()
}

#[test]
fn pipelined_requests_run_at_the_same_time() {
    // Guards against requests that run one after another: eight of 200 ms took 1,603 ms.
    let server = Server::start(15, 1 << 20);
    let mut stream = server.connect();
    let mut requests: String = (0..7).map(|index| get(&format!("/200/{index}"))).collect();
    requests += &last("/200/7");
    let began = Instant::now();
    stream.write_all(requests.as_bytes()).unwrap();
    let text = read_all(&mut stream);
    let took = began.elapsed();
    println!("took {took:?}");
    let expected: Vec<String> = (0..8).map(|index| format!("/200/{index}")).collect();
    assert_eq!(paths(&text), expected);
    assert!(took < Duration::from_millis(1_000), "{took:?}");
    assert_eq!(server.log.lock().unwrap().most_running, 8);
}

#[test]
fn requests_in_packets_of_their_own_run_at_the_same_time() {
    // Guards against a look-ahead that sees only what arrives with the first request.
    let server = Server::start(15, 1 << 20);
    let mut stream = server.connect();
    for index in 0..8 {
        stream
            .write_all(get(&format!("/1000/{index}")).as_bytes())
            .unwrap();
        thread::sleep(Duration::from_millis(10));
    }
    let text = read_responses(&mut stream, 8);
    assert_eq!(paths(&text).len(), 8);
    assert_eq!(server.log.lock().unwrap().most_running, 8);
}

#[test]
fn connection_that_pipelined_can_do_so_again() {
    // Guards against a position that is lost after pipelined requests or bodies.
    let server = Server::start(15, 1 << 20);
    let mut stream = server.connect();
    let post = "POST /0/p HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello";
    for _ in 0..3 {
        server.log.lock().unwrap().most_running = 0;
        stream.write_all(post.as_bytes()).unwrap();
        assert!(read_responses(&mut stream, 1).contains("/0/p 5\n"));
        stream.write_all(get("/0/s").as_bytes()).unwrap();
        read_responses(&mut stream, 1);
        let requests = format!("{}{}{}", get("/300/a"), get("/300/b"), get("/300/c"));
        stream.write_all(requests.as_bytes()).unwrap();
        assert_eq!(paths(&read_responses(&mut stream, 3)).len(), 3);
        assert_eq!(server.log.lock().unwrap().most_running, 3);
    }
}

#[test]
fn responses_are_in_the_order_of_the_requests() {
    // Guards against responses that are sent when they are available.
    let server = Server::start(15, 1 << 20);
    let paths_sent = ["/300/a", "/0/b", "/100/c", "/0/d"];
    let requests: String = paths_sent.iter().map(|path| get(path)).collect();
    let mut stream = server.connect();
    stream.write_all(requests.as_bytes()).unwrap();
    let text = read_responses(&mut stream, 4);
    assert_eq!(paths(&text), paths_sent);
    // The requests that take no time run on threads of their own, so either may end first.
    let mut done = server.log.lock().unwrap().done.clone();
    done[..2].sort();
    assert_eq!(done, ["/0/b", "/0/d", "/100/c", "/300/a"]);
}

#[test]
fn requests_that_must_not_be_repeated_run_alone() {
    // Guards against a request that runs beside others and is lost with their connection.
    let server = Server::start(15, 1 << 20);
    let sent = [
        "/100/a",
        "/100/b",
        "/once/100/c",
        "/100/d",
        "/once/100/e",
        "/100/f",
        "/100/g",
    ];
    let requests: String = sent.iter().map(|path| get(path)).collect();
    let mut stream = server.connect();
    stream.write_all(requests.as_bytes()).unwrap();
    let text = read_responses(&mut stream, sent.len());
    assert_eq!(paths(&text), sent);
    let log = server.log.lock().unwrap();
    assert_eq!(log.most_running, 2);
    assert_eq!(log.begun, sent);
    assert_eq!(log.overlapped, [""; 0]);
}

#[test]
fn requests_with_a_body_wait_and_so_do_those_behind() {
    // Guards against requests that overtake one whose end is not certain.
    let middles = [
        "POST /300/p HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello",
        "GET /300/p HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello",
        "POST /300/p HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "POST /300/p HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 5\r\n\r\nhello",
        "GET /300/p HTTP/1.1\r\nhost: a\r\nupgrade: websocket\r\n\r\n",
    ];
    for middle in middles {
        let server = Server::start(15, 1 << 20);
        let requests = format!("{}{}{middle}{}", get("/300/a"), get("/300/b"), last("/0/c"));
        let text = server.exchange(requests.as_bytes());
        assert_eq!(
            paths(&text),
            ["/300/a", "/300/b", "/300/p", "/0/c"],
            "{middle}"
        );
        let log = server.log.lock().unwrap();
        assert_eq!(
            log.begun,
            ["/300/a", "/300/b", "/300/p", "/0/c"],
            "{middle}"
        );
        assert_eq!(log.done[2..], ["/300/p", "/0/c"], "{middle}");
        assert_eq!(log.most_running, 2, "{middle}");
    }
}

#[test]
fn malformed_request_is_refused_after_those_before_it_are_answered() {
    let server = Server::start(15, 1 << 20);
    let requests = format!(
        "{}GET /bad path HTTP/1.1\r\n\r\n{}",
        get("/200/a"),
        get("/0/hidden")
    );
    let text = server.exchange(requests.as_bytes());
    let refusal = text
        .find("HTTP/1.1 400 ")
        .expect("the second one is refused");
    assert!(text.find("/200/a").unwrap() < refusal, "{text}");
    assert_eq!(server.begun(), ["/200/a"]);
}

#[test]
fn nothing_runs_behind_a_response_that_closes_the_connection() {
    // Guards against requests that run although their caller has to send them again.
    let closing = [
        last("/200/a"),
        "GET /200/a HTTP/1.1\r\nhost: a\r\nconnection: close\r\nconnection: keep-alive\r\n\r\n"
            .to_owned(),
        "GET /200/a HTTP/1.0\r\nhost: a\r\n\r\n".to_owned(),
        "GET /200/a HTTP/1.1\r\nhost: a\r\nConnection: x, Close\r\n\r\n".to_owned(),
    ];
    for first in closing {
        let server = Server::start(15, 1 << 20);
        let text = server.exchange(format!("{first}{}", get("/0/b")).as_bytes());
        assert_eq!(paths(&text), ["/200/a"], "{first}");
        thread::sleep(Duration::from_millis(50));
        assert_eq!(server.begun(), ["/200/a"], "{first}");
    }
}

#[test]
fn requests_that_were_started_are_answered_although_an_earlier_response_closes() {
    // Guards against requests that ran and whose responses are lost.
    let server = Server::start(15, 1 << 20);
    let requests = format!("{}{}{}", get("/200/close"), get("/0/b"), get("/100/close"));
    let text = server.exchange(requests.as_bytes());
    assert_eq!(paths(&text), ["/200/close", "/0/b", "/100/close"]);
    assert_eq!(text.matches("connection: close").count(), 1, "{text}");
}

#[test]
fn work_for_a_caller_that_has_left_is_dropped() {
    let server = Server::start(15, 1 << 20);
    let mut stream = server.connect();
    let requests: String = (0..5).map(|index| get(&format!("/9000/{index}"))).collect();
    stream.write_all(requests.as_bytes()).unwrap();
    assert!(wait_until(|| server.begun().len() == 5));
    drop(stream);
    assert!(wait_until(|| server.log.lock().unwrap().dropped.len() == 5));
}

#[test]
fn number_of_requests_at_the_same_time_is_bounded() {
    let server = Server::start(3, 1 << 20);
    let mut stream = server.connect();
    let requests: String = (0..400).map(|index| get(&format!("/5/{index}"))).collect();
    stream.write_all(requests.as_bytes()).unwrap();
    let text = read_responses(&mut stream, 400);
    let expected: Vec<String> = (0..400).map(|index| format!("/5/{index}")).collect();
    assert_eq!(paths(&text), expected);
    let most_running = server.log.lock().unwrap().most_running;
    assert!((2..=4).contains(&most_running), "{most_running}");
}

#[test]
fn bytes_of_responses_that_wait_for_their_turn_are_bounded() {
    // Guards against requests that are started although large responses wait already.
    let server = Server::start(15, 150_000);
    let mut stream = server.connect();
    stream.write_all(get("/1500/a").as_bytes()).unwrap();
    for index in 1..=10 {
        let request = get(&format!("/0/{index}/large"));
        stream.write_all(request.as_bytes()).unwrap();
        thread::sleep(Duration::from_millis(30));
    }
    thread::sleep(Duration::from_millis(300));
    // Two responses of 100,000 bytes reach the bound; a third request may be running by then.
    let begun = server.begun().len();
    assert!((3..=4).contains(&begun), "{begun} requests were begun");
    let mut length = 0;
    let mut buffer = [0; 65_536];
    while length < 10 * 100_000 {
        length += stream.read(&mut buffer).unwrap();
    }
    assert_eq!(server.begun().len(), 11);
}

#[test]
fn responses_that_a_caller_does_not_read_do_not_pile_up() {
    // Guards against requests that are run for a caller that reads no responses.
    let server = Server::start(4, 150_000);
    let mut stream = server.connect();
    let requests: String = (0..200)
        .map(|index| get(&format!("/{index}/0/large")))
        .collect();
    let requests = requests.replace("GET /", "GET /0/");
    stream.write_all(requests.as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(700));
    // Buffers of the sockets take some megabytes of 20.
    let done = server.log.lock().unwrap().done.len();
    assert!(done < 120, "{done} responses were made");
    let mut length = 0;
    let mut buffer = [0; 65_536];
    while length < 200 * 100_000 {
        length += stream.read(&mut buffer).unwrap();
    }
    assert_eq!(server.begun().len(), 200);
}

#[test]
fn drain_answers_the_requests_that_were_started() {
    let server = Server::start(15, 1 << 20);
    let mut stream = server.connect();
    let requests: String = (0..4)
        .map(|index| get(&format!("/{}/x", 300 + index * 100)))
        .collect();
    stream.write_all(requests.as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(100));
    let reader = thread::spawn(move || {
        // The last request arrives during the drain.
        thread::sleep(Duration::from_millis(100));
        stream.write_all(get("/0/late").as_bytes()).unwrap();
        read_all(&mut stream)
    });
    let left = async_io::block_on(server.listener.drain(Duration::from_secs(3)));
    let text = reader.join().unwrap();
    assert_eq!(left, 0);
    assert_eq!(
        paths(&text)[..4],
        ["/300/x", "/400/x", "/500/x", "/600/x"],
        "{text}"
    );
    let answered = paths(&text).len();
    assert_eq!(
        server.begun().len(),
        answered,
        "a request that ran is answered"
    );
    assert_eq!(text.matches("connection: close").count(), 1, "{text}");
}

#[test]
fn head_request_in_the_middle_has_no_body() {
    let server = Server::start(15, 1 << 20);
    let head = "HEAD /100/b HTTP/1.1\r\nhost: a\r\n\r\n";
    let text = server.exchange(format!("{}{head}{}", get("/100/a"), last("/0/c")).as_bytes());
    assert_eq!(paths(&text), ["/100/a", "/0/c"]);
    assert_eq!(text.matches("HTTP/1.1 200 ").count(), 3);
}

/// Bytes whose requests a server may read in a wrong way.
fn doubtful_requests() -> Vec<String> {
    let hidden = get("/0/hidden");
    let first = get("/50/first");
    let length = hidden.len();
    let fields = "POST /0/p HTTP/1.1\r\nhost: a\r\n";
    let long = "x".repeat(20_000);
    let mut all = vec![
        format!("GET /0/g HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n{hidden}"),
        format!("{fields}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd{hidden}"),
        format!("{fields}content-length: {length}\r\ncontent-length: {length}\r\n\r\n{hidden}"),
        format!("{fields}content-length: {length}, {length}\r\n\r\n{hidden}"),
        format!("{fields}content-length: +{length}\r\n\r\n{hidden}"),
        format!("{fields}content-length: -1\r\n\r\n{hidden}"),
        format!("{fields}content-length: 99999999999999999999999\r\n\r\n{hidden}"),
        format!("{fields}content-length : {length}\r\n\r\n{hidden}"),
        format!("{fields}x: y\r\n content-length: {length}\r\n\r\n{hidden}"),
        format!("{fields}x: y\rcontent-length: {length}\r\n\r\n{hidden}"),
        format!("{fields}x: y\ncontent-length: {length}\r\n\r\n{hidden}"),
        format!("{fields}x: y\r\n\ncontent-length: {length}\r\n\r\n{hidden}"),
        format!("{fields}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}"),
        format!("{fields}transfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n0\r\n\r\n{hidden}"),
        format!("{fields}transfer-encoding: identity\r\n\r\n{hidden}"),
        format!("{fields}transfer-encoding: xchunked\r\n\r\n{hidden}"),
        format!("{fields}Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{hidden}\r\n0\r\n\r\n"),
        format!("\r\n\r\n{hidden}"),
        format!("\n{hidden}"),
        format!("GET /0/g HTTP/1.1\nhost: a\n\n{hidden}"),
        format!("GET  /0/g HTTP/1.1\r\nhost: a\r\n\r\n{hidden}"),
        format!("GET /0/g HTTP/1.1 \r\nhost: a\r\n\r\n{hidden}"),
        format!("GET /0/g HTTP/2.0\r\nhost: a\r\n\r\n{hidden}"),
        format!("get /0/g HTTP/1.1\r\nhost: a\r\n\r\n{hidden}"),
        format!("CONNECT a:80 HTTP/1.1\r\nhost: a\r\n\r\n{hidden}"),
        format!("GET /0/g\r\n\r\n{hidden}"),
        format!("GET /0/g HTTP/1.1\r\nhost: a\r\nx\0: y\r\n\r\n{hidden}"),
        format!("GET /0/g HTTP/1.1\r\nhost: a\r\nx: y\0\r\n\r\n{hidden}"),
        format!("GET /0/g HTTP/1.1\r\nhost: a\r\nx: {long}\r\n\r\n{hidden}"),
        format!(
            "GET /0/g HTTP/1.1\r\nhost: a\r\n{}\r\n{hidden}",
            "x: y\r\n".repeat(80)
        ),
        format!("GET /0/{long} HTTP/1.1\r\nhost: a\r\n\r\n{hidden}"),
        format!("GET /0/g HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n\r\n{hidden}"),
        "GET /0/g HTTP/1.1\r\nhost: a\r\nx".to_owned(),
    ];
    let behind: Vec<String> = all.iter().map(|text| format!("{first}{text}")).collect();
    all.extend(behind);
    for text in &mut all {
        text.push_str(&last("/0/last"));
    }
    all
}

#[test]
fn doubtful_requests_are_read_as_without_pipelining() {
    // Guards against smuggled requests: what runs and what is answered is the same as on a server
    // on which the HTTP library alone reads the connection.
    for text in doubtful_requests() {
        let (plain, pipelined) = (Server::start_plain(), Server::start(15, 1 << 20));
        let expected = plain.exchange(text.as_bytes());
        let found = pipelined.exchange(text.as_bytes());
        let shown = &text[..text.len().min(200)];
        assert_eq!(found, expected, "{shown:?}");
        assert_eq!(pipelined.begun(), plain.begun(), "{shown:?}");
    }
}

#[test]
fn head_of_a_pipelined_request_must_arrive_in_time() {
    // Guards against connections that are held open by the start of a second request.
    let server = Server::start(15, 1 << 20);
    let mut stream = server.connect();
    stream
        .write_all(format!("{}GET /0", get("/100/a")).as_bytes())
        .unwrap();
    let began = Instant::now();
    let text = read_all(&mut stream);
    assert_eq!(paths(&text), ["/100/a"]);
    let took = began.elapsed();
    assert!(took < Duration::from_millis(3_000), "{took:?}");
}

#[test]
fn heads_of_all_lengths_are_found() {
    // Guards against an end of a line that is missed at the border of a block.
    for length in 1..80 {
        let first = get(&format!("/{}", "a".repeat(length)));
        let field = format!("GET /b HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(length));
        let text = format!("{first}{field}{first}");
        let mut lengths = Vec::new();
        Scanner::default().feed(text.as_bytes(), |head, _| lengths.push(head.len()));
        assert_eq!(lengths, [first.len(), field.len(), first.len()]);
    }
}

proptest! {
    #[test]
    fn heads_are_found_however_the_bytes_are_split(cuts in prop::collection::vec(0usize..400, 0..12)) {
        // Guards against heads that are missed, or found within a body, at the border of a read.
        let post = "POST /p HTTP/1.1\r\nhost: a\r\ncontent-length: 38\r\n\r\n";
        let body = "GET /hidden HTTP/1.1\r\nhost: abcdef\r\n\r\n";
        prop_assert_eq!(body.len(), 38);
        let text = format!("{}{}{post}{body}{}{post}{body}{}", get("/a"), get("/b"), get("/c"), get("/d"));
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(text.len())).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let mut scanner = Scanner::default();
        let mut found = Vec::new();
        for pair in cuts.windows(2) {
            scanner.feed(&text.as_bytes()[pair[0]..pair[1]], |head, can_start| {
                let head = String::from_utf8(head.to_vec()).unwrap();
                found.push((head.split(' ').nth(1).unwrap().to_owned(), can_start));
            });
        }
        let expected = [("/a", true), ("/b", true), ("/p", false), ("/c", true), ("/p", false), ("/d", true)];
        let expected = expected.map(|(path, can_start)| (path.to_owned(), can_start));
        prop_assert_eq!(found, expected);
    }
}
