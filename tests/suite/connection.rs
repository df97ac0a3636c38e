//! Connections to faulty servers, over real sockets.

use hyper::Request;
use rhubarbpick::kernel::{
    connection::{
        self,
        Error, //
    },
    http::full,
    runtime::Context, //
};
use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration,
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
    for (head, filler) in answers {
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
