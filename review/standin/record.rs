//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// One request of a client, and what came of it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at_ms: u64,
    /// When its answer was complete, or when the client gave it up.
    pub ended_ms: u64,
    /// Status of the answer; 0 without a whole one.
    pub status: u16,
    pub is_whole: bool,
    /// Whether the connection had served an earlier request.
    pub is_kept: bool,
    /// Whether the connection ended before a whole answer.
    pub is_closed: bool,
}

/// One run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    /// Length of the body that the server got.
    pub length: usize,
}

struct Inner {
    file: BufWriter<File>,
    runs: Vec<Run>,
    sent: Vec<Sent>,
}

#[derive(Clone)]
pub struct Record {
    began: Instant,
    inner: Arc<Mutex<Inner>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self {
            began: Instant::now(),
            inner: Arc::new(Mutex::new(Inner {
                file,
                runs: Vec::new(),
                sent: Vec::new(),
            })),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut inner = self.inner.lock().unwrap();
        let _ = writeln!(
            inner.file,
            "{:>6} ms  {text}",
            self.began.elapsed().as_millis()
        );
        let _ = inner.file.flush();
    }

    /// Records that a server began to work on a request.
    pub fn run(&self, server: &str, id: &str, length: usize) {
        self.line(&format!(
            "server {server} runs {id} with a body of {length} bytes"
        ));
        let mut inner = self.inner.lock().unwrap();
        inner.runs.push(Run {
            id: id.into(),
            server: server.into(),
            length,
        });
    }

    pub fn sent(&self, sent: Sent) {
        let answer = match (sent.is_whole, sent.status) {
            (true, status) => format!("{status}"),
            (false, _) if sent.is_closed => "the connection ended without a whole answer".into(),
            (false, _) => "no whole answer".into(),
        };
        self.line(&format!(
            "request {} sent at {} ms: {answer} after {} ms",
            sent.id,
            sent.at_ms,
            sent.ended_ms - sent.at_ms
        ));
        self.inner.lock().unwrap().sent.push(sent);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.inner.lock().unwrap().runs.clone()
    }

    pub fn all_sent(&self) -> Vec<Sent> {
        self.inner.lock().unwrap().sent.clone()
    }
}
