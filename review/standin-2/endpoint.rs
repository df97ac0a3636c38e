//! Stand-in for endpoints: accepts connections and passes each request to a function.

use crate::{
    http::{free_ports, Connection, Head},
    system::platform,
};
use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::Duration,
};

/// Answers one request; returns whether the connection is kept.
pub type Serve = Arc<dyn Fn(&mut Connection, &Head) -> bool + Send + Sync>;

/// Starts an endpoint with the given id, which serves as long as the process runs.
pub fn start(id: &str, serve: Serve) -> SocketAddr {
    let listener =
        TcpListener::bind((platform(), free_ports(platform(), 0))).expect("no free port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    let id = id.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, serve) = (id.clone(), Arc::clone(&serve));
            thread::spawn(move || {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
                let mut connection = Connection::new(stream);
                while let Some(head) = connection.read_request() {
                    if head
                        .field("target-instance")
                        .is_some_and(|target| target != id)
                    {
                        let _ = connection.read_body(&head);
                        let head = format!(
                            "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                        );
                        if !connection.write(head.as_bytes()) {
                            return;
                        }
                        continue;
                    }
                    if !serve(&mut connection, &head) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Returns the identity of a request.
pub fn id_of(head: &Head) -> String {
    head.field("attempt-id").unwrap_or_default().to_owned()
}

/// Returns the path of a request.
pub fn path_of(head: &Head) -> &str {
    head.first_line.split(' ').nth(1).unwrap_or("/")
}

/// Returns the fields that each answer to a request has.
pub fn fields(head: &Head) -> String {
    let id = id_of(head);
    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: 3e1b.07.{id}\r\n")
}

/// Returns a sound answer.
pub fn answer(head: &Head, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{}Content-Length: {}\r\n\r\n", fields(head), body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
