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
    fmt,
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
    time::Duration,
};

/// Lines that may wait for the reader.
const QUEUE: usize = 1_024;

/// Most lines written in a second: the bound on volume, at most 100 KB/s.
const LINES_PER_S: u64 = 250;

/// Milliseconds in a second.
const SECOND_MS: u64 = 1_000;

/// Longest time for which the end of a process waits for its last lines.
const LAST_LINES: Duration = Duration::from_millis(300);

/// The log of this process; its last lines are written when it is dropped.
pub struct Handle {
    _logger: LoggerHandle,
    queue: Arc<Queue>,
}

/// Starts the log on standard output; it runs as long as the handle lives.
pub fn open(level: &str) -> Result<Handle, Error> {
    let queue = Arc::new(spawn(Box::new(io::stdout())));
    let logger = Logger::try_with_str(level)
        .and_then(|logger| {
            let writer = Writer {
                queue: Arc::clone(&queue),
            };
            logger.log_to_writer(Box::new(writer)).start()
        })
        .map_err(|source| Error::Log { source })?;
    Ok(Handle {
        _logger: logger,
        queue,
    })
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.queue.flush(LAST_LINES);
    }
}

struct Writer {
    queue: Arc<Queue>,
}

impl LogWriter for Writer {
    fn write(&self, _: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let level = record.level().as_str().to_ascii_lowercase();
        self.queue.push(&level, record.args());
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

enum Item {
    Line(Vec<u8>),
    /// Says so when all lines before it are written.
    Mark(SyncSender<()>),
}

/// Lines on their way to the reader.
pub struct Queue {
    items: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
    second: AtomicU64,
    written: AtomicU64,
}

/// Starts a thread that writes lines to `out`.
pub fn spawn(out: Box<dyn Write + Send>) -> Queue {
    let (items, queue) = sync_channel(QUEUE);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&dropped);
    thread::Builder::new()
        .name("log".into())
        .spawn(move || copy(&queue, out, &counted))
        .expect("the system refuses to start a thread");
    Queue {
        items,
        dropped,
        second: AtomicU64::new(0),
        written: AtomicU64::new(0),
    }
}

impl Queue {
    /// Adds a line, or counts it as dropped; never waits.
    pub fn push(&self, level: &str, text: &fmt::Arguments<'_>) {
        let time = clock::wall_millis();
        let line = format!("time_ms={time} level={level} {text}\n");
        let item = Item::Line(line.into_bytes());
        if !self.has_room(time) || self.items.try_send(item).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines so far are written, at most `span`.
    pub fn flush(&self, span: Duration) {
        let (done, written) = sync_channel(1);
        // A queue that is full has no reader to wait for.
        if self.items.try_send(Item::Mark(done)).is_ok() {
            // The time is up, or the reader has gone: the lines are lost either way.
            let _ = written.recv_timeout(span);
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

fn copy(queue: &Receiver<Item>, mut out: Box<dyn Write + Send>, dropped: &AtomicU64) {
    while let Ok(item) = queue.recv() {
        let line = match item {
            Item::Line(line) => line,
            Item::Mark(done) => {
                // Who asked may have stopped waiting.
                let _ = done.try_send(());
                continue;
            }
        };
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
