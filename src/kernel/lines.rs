//! Log lines on standard output that never hold a request up.
//!
//! Lines go through a bounded queue to a thread of their own. When the reader
//! is slower than the writers, lines are dropped and counted, and the count is
//! written when there is room again. A rate bound keeps the volume in check.

use crate::kernel::{
    clock,
    failure::Error, //
};
use flexi_logger::{
    writers::LogWriter,
    DeferredNow,
    Logger,
    LoggerHandle, //
};
use log::Record;
use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        mpsc::{
            sync_channel,
            Receiver,
            SyncSender, //
        },
        Arc,
    },
    thread,
};

/// Lines that may wait for the reader.
const QUEUE: usize = 1_024;

/// Most lines written in a second: the bound on volume, about 50 KB/s.
const LINES_PER_S: u64 = 250;

/// Milliseconds in a second.
const SECOND_MS: u64 = 1_000;

struct Writer {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    second: AtomicU64,
    written: AtomicU64,
}

/// Starts the log on standard output; it runs as long as the handle lives.
pub fn open(level: &str) -> Result<LoggerHandle, Error> {
    open_to(level, Box::new(io::stdout()))
}

/// Starts the log on `out`.
pub fn open_to(level: &str, out: Box<dyn Write + Send>) -> Result<LoggerHandle, Error> {
    let writer = Writer::spawn(out);
    Logger::try_with_str(level)
        .and_then(|logger| logger.log_to_writer(Box::new(writer)).start())
        .map_err(|source| Error::Log { source })
}

impl Writer {
    fn spawn(out: Box<dyn Write + Send>) -> Self {
        let (lines, queue) = sync_channel(QUEUE);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || copy(&queue, out, &counted))
            .expect("the system refuses to start a thread");
        Self {
            lines,
            dropped,
            second: AtomicU64::new(0),
            written: AtomicU64::new(0),
        }
    }

    fn has_room(&self, now_ms: u64) -> bool {
        let second = now_ms / SECOND_MS;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
        }
        self.written.fetch_add(1, Ordering::Relaxed) < LINES_PER_S
    }
}

impl LogWriter for Writer {
    fn write(&self, _: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let time = clock::wall_millis();
        let level = record.level().as_str().to_ascii_lowercase();
        let line = format!("time_ms={time} level={level} {}\n", record.args());
        if !self.has_room(time) || self.lines.try_send(line.into_bytes()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

fn copy(queue: &Receiver<Vec<u8>>, mut out: Box<dyn Write + Send>, dropped: &AtomicU64) {
    while let Ok(line) = queue.recv() {
        let lost = dropped.swap(0, Ordering::Relaxed);
        let note = format!(
            "time_ms={} level=warn event=log_dropped lines={lost}\n",
            clock::wall_millis()
        );
        let written = if lost > 0 {
            out.write_all(note.as_bytes())
        } else {
            Ok(())
        };
        // Nobody is left to tell when the reader has gone.
        if written.and_then(|()| out.write_all(&line)).is_err() {
            return;
        }
        let _ = out.flush();
    }
}
