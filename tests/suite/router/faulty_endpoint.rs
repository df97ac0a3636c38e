//! Endpoint that writes what a test tells it to, byte by byte.
//!
//! It uses plain sockets, so that it can send responses that an HTTP library would not.

use super::stand_in::{
    free_address,
    Store, //
};
use rhubarbpick::core::{
    mirror::{
        Kind,
        Value, //
    },
    registry::Endpoint,
};
use rustix::net::sockopt::set_socket_linger;
use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::Duration,
};

/// Identities of the requests that endpoints began to run, in order.
pub type Runs = Arc<Mutex<Vec<Box<str>>>>;

/// A request that arrived at a faulty endpoint.
pub struct Exchange<'a> {
    /// Identity of the request.
    pub id: &'a str,
    /// Id of the endpoint.
    pub endpoint: &'a str,
    /// Identities of the requests before it on the same connection.
    pub earlier: &'a [Box<str>],
    /// Length of the request's body, if its head tells.
    pub body_length: Option<usize>,
    stream: &'a mut TcpStream,
    runs: &'a Runs,
}

impl Exchange<'_> {
    /// Records that the endpoint began to run the request.
    pub fn run(&self) {
        self.runs.lock().unwrap().push(self.id.into());
    }

    /// Writes bytes; returns whether the router still reads them.
    pub fn write(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        self.stream.write_all(bytes.as_ref()).is_ok()
    }

    /// Reads the body of the request, as long as its head says.
    pub fn read_body(&mut self) {
        let mut body = vec![0; self.body_length.unwrap_or_default()];
        // What the router does not send is missing in the test's result.
        let _ = self.stream.read_exact(&mut body);
    }

    /// Resets the connection when it is closed, so that what was written may be lost.
    pub fn reset_on_close(&self) {
        set_socket_linger(&*self.stream, Some(Duration::ZERO)).unwrap();
    }

    /// Runs the request and responds to it.
    pub fn serve(&mut self) -> bool {
        self.run();
        self.finish()
    }

    /// Responds to a request that began to run.
    pub fn finish(&mut self) -> bool {
        thread::sleep(Duration::from_millis(20));
        self.write(success(self.endpoint, self.id))
    }
}

/// Returns a response to a request that was not run.
pub fn rejection(status: u16, id: &str) -> String {
    format!("HTTP/1.1 {status} Status\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n")
}

/// Returns the response to a request that was run.
pub fn success(endpoint: &str, id: &str) -> String {
    let body = format!("answer to {id}");
    format!("{}{body}", success_head(endpoint, id, body.len()))
}

/// Returns the head of such a response.
pub fn success_head(endpoint: &str, id: &str, length: usize) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: {endpoint}\r\ncontent-length: {length}\r\n\
         \r\n"
    )
}

/// Returns the head of such a response whose body comes in chunks.
pub fn chunked_head(endpoint: &str, id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: {endpoint}\r\ntransfer-encoding: chunked\r\n\
         \r\n"
    )
}

/// Starts an endpoint and registers it in the store.
///
/// `respond` handles a request and returns whether the connection stays open.
pub fn start(
    store: &Store,
    id: &str,
    service: &str,
    runs: &Runs,
    respond: impl Fn(&mut Exchange<'_>) -> bool + Send + Sync + 'static,
) -> Endpoint {
    let endpoint = Endpoint {
        id: id.into(),
        service: service.into(),
        address: free_address(),
        zone: "a".into(),
        slots: 2,
        is_leaving: false,
        cold_ms: 0,
        born: 1,
    };
    let listener = TcpListener::bind(endpoint.address).unwrap();
    let (id, runs, respond) = (endpoint.id.clone(), Arc::clone(runs), Arc::new(respond));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (id, runs, respond) = (id.clone(), Arc::clone(&runs), Arc::clone(&respond));
            thread::spawn(move || serve(stream.unwrap(), &id, &runs, &*respond));
        }
    });
    let value = Value::Endpoint(Arc::new(endpoint.clone()));
    store.put(Kind::Endpoint, &endpoint.id, Some(value));
    endpoint
}

fn serve(
    mut stream: TcpStream,
    endpoint: &str,
    runs: &Runs,
    respond: &dyn Fn(&mut Exchange<'_>) -> bool,
) {
    let _ = stream.set_nodelay(true);
    let mut earlier = Vec::new();
    while let Some(head) = read_head(&mut stream) {
        let id = field(&head, "x-id").unwrap_or_default();
        let length = field(&head, "content-length");
        let mut exchange = Exchange {
            id,
            body_length: length.and_then(|length| length.parse().ok()),
            endpoint,
            earlier: &earlier,
            stream: &mut stream,
            runs,
        };
        if !respond(&mut exchange) {
            return;
        }
        earlier.push(id.into());
    }
}

/// Reads the head of a request; returns `None` at the end of the connection.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    Some(String::from_utf8(bytes).expect("the router sends text"))
}

fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.split("\r\n");
    lines.find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}
