//! Connections to faulty servers, over real sockets.

use http_body_util::BodyExt;
use hyper::{
    Request,
    StatusCode, //
};
use rhubarbpick::kernel::{
    connection::{
        self,
        Error, //
    },
    http::{
        self,
        answer,
        collect,
        full,
        Handler,
        Limits, //
    },
    pool,
    runtime::{
        timeout,
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
        TcpListener,
        TcpStream, //
    },
    sync::Arc,
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Time limit of a call.
const TIME_LIMIT: Duration = Duration::from_secs(3);

/// Bytes that a server may get rid of before the connection is closed: what is read, and the
/// buffers of both sockets.
const MAX_SENT: usize = 16 * 1024 * 1024;

/// Bytes after which a server stops, so that a test without a limit ends.
const END: usize = 512 * 1024 * 1024;

/// Starts a server that answers one request with `head` and then with `filler` until the
/// connection is closed. Returns its address and how many bytes it sent.
fn serve(head: &'static str, filler: &'static str) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        assert!(stream.read(&mut request).unwrap() > 0);
        stream.write_all(head.as_bytes()).unwrap();
        let block = filler.repeat(64 * 1024 / filler.len().max(1));
        let mut sent = 0;
        while sent < END && !block.is_empty() && stream.write_all(block.as_bytes()).is_ok() {
            sent += block.len();
        }
        sent
    });
    (address, server)
}

/// Sends a request and returns the error, and whether a close was announced.
fn call(address: SocketAddr) -> (Option<Error>, bool) {
    let context = Context::spawn(1);
    async_io::block_on(async {
        let connection = connection::open(&context, address, TIME_LIMIT)
            .await
            .unwrap();
        let request = Request::post("/").body(full("{}")).unwrap();
        let response = connection.call(request, TIME_LIMIT).await;
        (response.err(), connection.is_closing())
    })
}

/// Answers whose endless part is no part of a response.
const IDLE_ANSWERS: [(&str, &str); 5] = [
    ("", "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n"),
    ("", "\r\n"),
    ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0"),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1",
        " ",
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "x: y\r\n",
    ),
];

#[test]
fn pooled_connection_does_not_read_bytes_without_end() {
    // Guards against informational responses and chunk sizes without end, which kept a worker
    // thread busy for as long as the server sent them.
    for (head, filler) in IDLE_ANSWERS {
        let (address, server) = serve(head, filler);
        let context = Context::spawn(1);
        let result = async_io::block_on(async {
            let pool = pool::open(&context, address, 1);
            let request = Request::get("/").body(full("")).unwrap();
            let response = pool.send(request, TIME_LIMIT).await.map_err(|_| ())?;
            let body = timeout(TIME_LIMIT, response.into_body().collect()).await;
            body.ok_or(())?.map_err(|_| ())
        });
        assert!(result.is_err(), "{head}");
        let sent = server.join().unwrap();
        assert!(sent < MAX_SENT, "{sent} bytes were taken after {head}");
    }
}

#[test]
fn other_clients_are_served_while_one_sends_bytes_without_end() {
    // Guards against a chunk size with leading zeros without end, which kept a server's only
    // worker thread busy.
    const MAX_RESPONSE_TIME: Duration = Duration::from_secs(1);
    let context = Context::spawn(1);
    let handler: Handler = Arc::new(|request| {
        Box::pin(async move {
            let _ = collect(request.into_body(), MAX_SENT).await;
            answer(StatusCode::OK, "text/plain", "")
        })
    });
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = http::bind(&context, address, Limits::default(), handler).unwrap();
    let address = listener.address;
    let sender = thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        let head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head).unwrap();
        let (zeros, end) = ([b'0'; 64 * 1024], Instant::now() + TIME_LIMIT);
        while Instant::now() < end && stream.write_all(&zeros).is_ok() {}
    });
    thread::sleep(Duration::from_millis(200));
    let pool = pool::open(&Context::spawn(1), address, 1);
    let request = Request::get("/").body(full("")).unwrap();
    let response = async_io::block_on(pool.send(request, MAX_RESPONSE_TIME));
    assert!(response.is_ok(), "no response within {MAX_RESPONSE_TIME:?}");
    sender.join().unwrap();
}

#[test]
fn bytes_without_end_are_not_read() {
    let answers = [
        ("HTTP/1.1 200 OK\r\n\r\n", "x"),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n",
            "x",
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            "8\r\nxxxxxxxx\r\n",
        ),
        ("HTTP/1.1 200 OK\r\nx: ", "x"),
        ("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
        ("HTTP/1.1 100 Continue\r\nx: ", "x"),
    ];
    for (head, filler) in answers.into_iter().chain(IDLE_ANSWERS) {
        let (address, server) = serve(head, filler);
        let (error, _) = call(address);
        assert_eq!(error, Some(Error::Silent), "{head}");
        let sent = server.join().unwrap();
        assert!(sent < MAX_SENT, "{sent} bytes were taken after {head}");
    }
}

#[test]
fn close_is_found_among_several_tokens() {
    for value in ["close", "Close", "keep-alive, close", "close , x"] {
        let head = format!("HTTP/1.1 200 OK\r\nconnection: {value}\r\ncontent-length: 0\r\n\r\n");
        let (address, server) = serve(head.leak(), "");
        assert_eq!(call(address), (None, true), "{value}");
        server.join().unwrap();
    }
}
