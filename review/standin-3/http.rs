//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{Read, Result, Write},
    net::TcpStream,
};

/// Longest head that is read.
const MAX_HEAD: usize = 64 * 1024;

/// A request or a response.
pub struct Message {
    /// First line, without its end.
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Option<()> {
        let mut part = [0; 16 * 1024];
        match self.stream.read(&mut part) {
            Ok(count) if count > 0 => self.buffer.extend_from_slice(&part[..count]),
            _ => return None,
        }
        Some(())
    }

    /// Reads up to a line feed and returns the line without its end.
    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.buffer.len() > MAX_HEAD {
                return None;
            }
            self.fill()?;
        }
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads a whole message; `None` if the connection ends before its end.
    pub fn message(&mut self) -> Option<Message> {
        let start = self.line()?;
        let mut message = Message { start, fields: Vec::new(), body: Vec::new() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            message.fields.push((name.to_owned(), value.trim().to_owned()));
        }
        if message.field("transfer-encoding").is_some() {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16).ok()?;
                let part = self.take(size)?;
                message.body.extend_from_slice(&part);
                self.line()?;
                if size == 0 {
                    return Some(message);
                }
            }
        }
        let length = message.field("content-length").and_then(|text| text.parse().ok());
        message.body = self.take(length.unwrap_or(0))?;
        Some(message)
    }
}

/// Writes the head of a message and the first `count` bytes of its body.
pub fn write_part(
    stream: &mut TcpStream,
    start: &str,
    fields: &str,
    body: &[u8],
    count: usize,
) -> Result<()> {
    let head = format!("{start}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes())?;
    stream.write_all(&body[..count])
}

/// Writes a message whose fields are given as lines, each with its end.
pub fn write(stream: &mut TcpStream, start: &str, fields: &str, body: &[u8]) -> Result<()> {
    let head = format!("{start}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
