//! The log on standard output under load, with an output that is slow or blocked.

use rhubarbpick::kernel::async_log;
use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Limit on the volume that OPERATIONS.md states, in lines per second.
const LINES_PER_S: usize = 250;

/// The same limit in bytes per second.
const BYTES_PER_S: usize = 100_000;

/// A line as long as the longest lines of a request.
const LONG_LINE: &str = "event=request id=9c41d07be2a35f68 route=r-hzuabx8 service=fihu72d \
    kind=idempotent key=6454 status=503 reason=full last=full tries=0 endpoint=i-1cc663fc74 \
    took_ms=1 left_ms=2498 returned=true manifest=17 table=796 age_ms=765";

/// An output that records what it is given and pauses before each write.
struct Output {
    written: Arc<Mutex<Vec<u8>>>,
    pause: Duration,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        thread::sleep(self.pause);
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn open(pause: Duration) -> (async_log::Queue, Arc<Mutex<Vec<u8>>>) {
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = Output {
        written: Arc::clone(&written),
        pause,
    };
    (async_log::spawn_writer(Box::new(output)), written)
}

/// Without the flush a process would lose its last lines when it stops.
#[test]
fn flush_waits_until_all_queued_lines_are_written() {
    let (queue, written) = open(Duration::from_millis(5));
    for line in 0..20 {
        queue.push("info", &format_args!("event=line number={line}"));
    }
    queue.push("info", &format_args!("event=stopped"));
    queue.flush(Duration::from_secs(2));
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert!(text.trim_end().ends_with("event=stopped"), "{text}");
}

/// A log reader that has stopped must hold up neither requests nor the end of
/// the process.
#[test]
fn push_and_flush_return_in_time_when_the_output_blocks() {
    let (queue, _taken) = open(Duration::from_secs(3_600));
    let start = Instant::now();
    for line in 0..10_000 {
        queue.push("info", &format_args!("event=line number={line}"));
    }
    assert!(start.elapsed() < Duration::from_millis(500));
    let start = Instant::now();
    queue.flush(Duration::from_millis(100));
    assert!(start.elapsed() < Duration::from_millis(400));
}

/// In an overload every refused request logs a line.
#[test]
fn lines_beyond_the_rate_limit_are_dropped_and_counted() {
    let (queue, written) = open(Duration::ZERO);
    let start = Instant::now();
    let mut pushed = 0;
    while start.elapsed() < Duration::from_millis(3_000) {
        queue.push("info", &format_args!("{LONG_LINE}"));
        pushed += 1;
        if pushed % 50 == 0 {
            thread::sleep(Duration::from_millis(1));
        }
    }
    // The next line that is accepted, in a later second, writes the count first.
    thread::sleep(Duration::from_millis(1_100));
    queue.push("info", &format_args!("event=after"));
    queue.flush(Duration::from_secs(2));
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    // Pushing for 3 s touches up to four seconds of the wall clock; the last line adds one.
    let lines = text.lines().filter(|line| !line.contains("log_dropped"));
    let lines = lines.count();
    assert!(lines <= 4 * LINES_PER_S + 1, "{lines} lines");
    assert!(text.len() <= 4 * BYTES_PER_S, "{} bytes", text.len());
    let notices = text.lines().filter_map(|line| line.split_once("lines="));
    let dropped: usize = notices
        .map(|(_, count)| count.parse::<usize>().unwrap())
        .sum();
    assert_eq!(
        lines + dropped,
        pushed + 1,
        "every line must be written or counted as dropped"
    );
}
