//! Consumers, each with a connection of its own for each request.

use crate::{
    http::{self, Reader},
    record::Record,
};
use std::{
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request of a consumer.
pub struct Request<'a> {
    pub front: SocketAddr,
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub key: Option<u16>,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

/// What came of a request.
pub struct Answer {
    /// Status; 0 if there is no whole answer.
    pub status: u16,
    /// Whether the answer says that its backend leaves.
    pub is_leaving: bool,
}

/// Sends a request and waits for its answer.
pub fn send(request: &Request<'_>, record: &Record) -> Answer {
    let Request { front, method, path, host, id, deadline_ms, .. } = request;
    let mut fields =
        format!("Host: {host}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n");
    if let Some(key) = request.key {
        fields.push_str(&format!("Shard-Key: {key}\r\n"));
    }
    record.line(format_args!("send id={id} front={front}"));
    let exchange = || {
        let limit = Duration::from_millis(deadline_ms + 500);
        let mut stream = TcpStream::connect_timeout(front, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        let start = format!("{method} {path} HTTP/1.1");
        http::write(&mut stream, &start, &fields, request.body).ok()?;
        Reader::new(stream).message()
    };
    let answer = exchange();
    let status = answer.as_ref().map_or(0, |answer| answer.status());
    let is_leaving = answer.as_ref().is_some_and(|answer| answer.field("server-leaving").is_some());
    let reason = answer.map_or_else(String::new, |answer| {
        let own = answer.field("server-signature").is_none();
        let text = String::from_utf8_lossy(&answer.body).trim().to_owned();
        if own { format!(" reason={text}") } else { String::new() }
    });
    record.line(format_args!("answer id={id} status={status} leaving={is_leaving}{reason}"));
    Answer { status, is_leaving }
}
