//! A small HTTP/1.1 reader and writer for both sides of a connection.

use std::{
    io::{Read, Result, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    time::Duration,
};

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

/// Head of a message; header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> Option<u16> {
        let rest = self.first_line.strip_prefix("HTTP/1.1 ")?;
        rest.get(..3)?.parse().ok()
    }

    pub fn length(&self) -> Option<usize> {
        self.field("content-length")?.parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.field("transfer-encoding")
            .is_some_and(|value| value.ends_with("chunked"))
    }

    pub fn closes(&self) -> bool {
        self.field("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// What reading a message led to.
#[derive(Debug)]
pub enum Received<T> {
    Message(T),
    /// The peer closed the connection, or no byte came in time.
    Closed,
    /// The bytes are no message.
    Garbage(String),
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> bool {
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&bytes[..count]);
                true
            }
            _ => false,
        }
    }

    /// Reads a head whose first line has to pass `is_valid`.
    pub fn read_head(&mut self, is_valid: impl Fn(&str) -> bool) -> Received<Head> {
        loop {
            if let Some(end) = self
                .buffer
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n")
            {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                if !is_valid(&first_line) {
                    return Received::Garbage(shorten(&text));
                }
                let fields = lines.filter_map(|line| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.to_ascii_lowercase(), value.trim().to_owned()))
                });
                let fields = fields.collect();
                self.buffer.drain(..end + 4);
                return Received::Message(Head { first_line, fields });
            }
            if !self.fill() {
                return match self.buffer.is_empty() {
                    true => Received::Closed,
                    false => Received::Garbage(shorten(&String::from_utf8_lossy(&self.buffer))),
                };
            }
        }
    }

    /// Reads the body that a head announces; `None` if it ends early.
    pub fn read_body(&mut self, head: &Head) -> Option<Vec<u8>> {
        if !head.is_chunked() {
            return self.take(head.length().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let line = loop {
                match self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                    Some(end) => break end,
                    None if self.fill() => {}
                    None => return None,
                }
            };
            let text = String::from_utf8_lossy(&self.buffer[..line]).into_owned();
            let size = usize::from_str_radix(text.split(';').next()?.trim(), 16).ok()?;
            self.buffer.drain(..line + 2);
            body.extend(self.take(size)?);
            self.take(2)?;
            if size == 0 {
                return Some(body);
            }
        }
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads a request.
    pub fn read_request(&mut self) -> Option<Head> {
        match self.read_head(|line| line.ends_with(" HTTP/1.1")) {
            Received::Message(head) => Some(head),
            _ => None,
        }
    }

    /// Reads a response with its body.
    pub fn read_response(&mut self) -> Received<(Head, Option<Vec<u8>>)> {
        match self.read_head(|line| line.starts_with("HTTP/1.1 ")) {
            Received::Message(head) => {
                let body = self.read_body(&head);
                Received::Message((head, body))
            }
            Received::Closed => Received::Closed,
            Received::Garbage(text) => Received::Garbage(text),
        }
    }
}

fn shorten(text: &str) -> String {
    text.chars().take(60).collect()
}

/// Returns a port on which nothing listens, followed by `more` others, for TCP and UDP.
pub fn free_ports(ip: Ipv4Addr, more: u16) -> u16 {
    let mut port = 20_000 + (std::process::id() % 9_000) as u16;
    loop {
        let are_free = (port..=port + more).all(|port| {
            TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok()
        });
        if are_free {
            return port;
        }
        port = port % 30_000 + 20 + more;
    }
}
