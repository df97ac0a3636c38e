//! HTTP/1.1 over plain blocking sockets, for servers and clients.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// A request or a response without its first line's meaning.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Length of the body, of which `body` may hold only the end.
    pub length: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| &**value)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Why no message was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection ended before or within the message.
    Closed,
    /// The time limit passed.
    Late,
    /// The bytes are no message.
    Malformed,
}

/// One side of a connection.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> Option<Self> {
        TcpStream::connect_timeout(&address, limit)
            .ok()
            .map(Self::new)
    }

    fn read_more(&mut self, until: Instant) -> Result<usize, Failure> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Failure::Late);
        }
        let _ = self.stream.set_read_timeout(Some(left));
        let mut chunk = [0; 65_536];
        match self.stream.read(&mut chunk) {
            Ok(0) => Err(Failure::Closed),
            Ok(count) => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(count)
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err(Failure::Late)
            }
            Err(_) => Err(Failure::Closed),
        }
    }

    /// Reads a head; also tells whether any byte had arrived before a failure.
    pub fn read_head(&mut self, until: Instant) -> Result<Message, Failure> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            self.read_more(until)?;
        };
        let rest = self.buffer.split_off(end + 4);
        let head = std::mem::replace(&mut self.buffer, rest);
        let text = String::from_utf8_lossy(&head[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Message {
            first_line,
            headers,
            body: Vec::new(),
            length: 0,
        })
    }

    fn read_exact(&mut self, length: usize, until: Instant) -> Result<Vec<u8>, Failure> {
        while self.buffer.len() < length {
            self.read_more(until)?;
        }
        let rest = self.buffer.split_off(length);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    fn read_line(&mut self, until: Instant) -> Result<String, Failure> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                let line = self.read_exact(end + 2, until)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.read_more(until)?;
        }
    }

    /// Reads the body that belongs to a head. At most the last 64 KiB are kept, so that a body
    /// without end does not fill the memory; `length` counts all bytes.
    pub fn read_body(
        &mut self,
        message: &mut Message,
        is_response: bool,
        until: Instant,
    ) -> Result<(), Failure> {
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"));
        if is_chunked {
            loop {
                let line = self.read_line(until)?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16).map_err(|_| Failure::Malformed)?;
                let mut part = self.read_exact(size + 2, until)?;
                part.truncate(size);
                message.length += size;
                if size == 0 {
                    return Ok(());
                }
                message.body.extend_from_slice(&part);
                let excess = message.body.len().saturating_sub(65_536);
                message.body.drain(..excess);
            }
        }
        if let Some(length) = message.header("content-length") {
            let length: usize = length.parse().map_err(|_| Failure::Malformed)?;
            message.body = self.read_exact(length, until)?;
            message.length = length;
            return Ok(());
        }
        if is_response {
            loop {
                message.length += std::mem::take(&mut self.buffer).len();
                match self.read_more(until) {
                    Ok(_) => {}
                    Err(Failure::Closed) => return Ok(()),
                    Err(failure) => return Err(failure),
                }
            }
        }
        Ok(())
    }

    pub fn read_request(&mut self, until: Instant) -> Result<Message, Failure> {
        let mut request = self.read_head(until)?;
        self.read_body(&mut request, false, until)?;
        Ok(request)
    }

    pub fn read_response(&mut self, until: Instant) -> Result<Message, Failure> {
        let mut response = self.read_head(until)?;
        if !response.first_line.starts_with("HTTP/1.") {
            return Err(Failure::Malformed);
        }
        self.read_body(&mut response, true, until)?;
        Ok(response)
    }

    /// Tells whether an idle connection is open and has no bytes that wait.
    pub fn is_idle(&self) -> bool {
        if !self.buffer.is_empty() || self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A listening socket. Closing it resets or closes all its connections, as the end of a process
/// does.
pub struct Listener {
    stop: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Listener {
    pub fn bind(
        address: SocketAddr,
        serve: impl Fn(Connection) + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let socket = TcpListener::bind(address)?;
        socket.set_nonblocking(true)?;
        let stop = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let serve = Arc::new(serve);
        let (accept_stop, accept_streams) = (Arc::clone(&stop), Arc::clone(&streams));
        let thread = thread::spawn(move || {
            while !accept_stop.load(Ordering::SeqCst) {
                match socket.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            accept_streams.lock().unwrap().push(copy);
                        }
                        let serve = Arc::clone(&serve);
                        thread::spawn(move || serve(Connection::new(stream)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Self {
            stop,
            streams,
            thread: Some(thread),
        })
    }

    pub fn close(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.close();
    }
}
