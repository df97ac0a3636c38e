//! Log on standard output that never blocks the threads that log.
//!
//! Lines go through a bounded queue to a writer thread. Lines are
//! dropped and counted when the queue is full, because the reader of standard
//! output is too slow, or when the rate limit is exceeded. The count is written
//! before the next line.

use crate::kernel::{
    clock,
    error::Error, //
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

/// Maximum number of lines that wait to be written.
const QUEUE_LINES: usize = 1_024;

/// Maximum number of lines per second, which keeps the volume within 100 KB/s.
const MAX_LINES_PER_S: u64 = 250;

const MS_PER_S: u64 = 1_000;

/// How long a process waits at its end until the queued lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Keeps the log of the process open; writes the queued lines when dropped.
pub struct Guard {
    _logger: LoggerHandle,
    queue: Arc<Queue>,
}

/// Starts the log on standard output; it runs until the guard is dropped.
pub fn init(level: &str) -> Result<Guard, Error> {
    let queue = Arc::new(spawn_writer(Box::new(io::stdout())));
    let logger = Logger::try_with_str(level)
        .and_then(|logger| {
            let writer = Writer {
                queue: Arc::clone(&queue),
            };
            logger.log_to_writer(Box::new(writer)).start()
        })
        .map_err(|source| Error::Log { source })?;
    Ok(Guard {
        _logger: logger,
        queue,
    })
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.queue.flush(FLUSH_TIMEOUT);
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
    /// Asks for a message when all lines before it are written.
    Flush(SyncSender<()>),
}

/// Sending end of the queue of log lines.
pub struct Queue {
    items: SyncSender<Item>,
    /// Lines dropped since the count was last written.
    dropped: Arc<AtomicU64>,
    /// Second of the wall clock to which `pushed` applies.
    second: AtomicU64,
    /// Lines pushed in that second, dropped ones included.
    pushed: AtomicU64,
}

/// Starts a thread that writes the lines of a new queue to `out`.
pub fn spawn_writer(out: Box<dyn Write + Send>) -> Queue {
    let (items, queue) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let thread_dropped = Arc::clone(&dropped);
    thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(&queue, out, &thread_dropped))
        .expect("failed to start the log thread; check the limit on threads");
    Queue {
        items,
        dropped,
        second: AtomicU64::new(0),
        pushed: AtomicU64::new(0),
    }
}

impl Queue {
    /// Adds a line, or drops and counts it; never blocks.
    pub fn push(&self, level: &str, text: &fmt::Arguments<'_>) {
        let time = clock::wall_millis();
        let line = format!("time_ms={time} level={level} {text}\n");
        let item = Item::Line(line.into_bytes());
        if !self.is_within_rate_limit(time) || self.items.try_send(item).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all lines pushed so far are written, at most `span`.
    pub fn flush(&self, span: Duration) {
        let (done, flushed) = sync_channel(1);
        // If the queue is full, the reader is stalled and waiting is of no use.
        if self.items.try_send(Item::Flush(done)).is_ok() {
            // On a time-out, or if the writer thread has ended, the lines are lost.
            let _ = flushed.recv_timeout(span);
        }
    }

    fn is_within_rate_limit(&self, now_ms: u64) -> bool {
        let second = now_ms / MS_PER_S;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.pushed.store(0, Ordering::Relaxed);
        }
        self.pushed.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_S
    }
}

fn write_lines(queue: &Receiver<Item>, mut out: Box<dyn Write + Send>, dropped: &AtomicU64) {
    while let Ok(item) = queue.recv() {
        let line = match item {
            Item::Line(line) => line,
            Item::Flush(done) => {
                // The receiver may have timed out.
                let _ = done.try_send(());
                continue;
            }
        };
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        let notice = format!(
            "time_ms={} level=warn event=log_dropped lines={dropped_lines}\n",
            clock::wall_millis()
        );
        let written = if dropped_lines > 0 {
            out.write_all(notice.as_bytes())
        } else {
            Ok(())
        };
        // When the reader has closed its end, the error cannot be reported.
        if written.and_then(|()| out.write_all(&line)).is_err() {
            return;
        }
        let _ = out.flush();
    }
}
