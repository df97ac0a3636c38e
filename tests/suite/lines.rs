//! The log under load, with readers that are slow or have stopped.

use rhubarbpick::kernel::lines;
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

/// Bound on the volume that OPERATIONS.md states, in lines a second.
const LINES_PER_S: usize = 250;

/// The same in bytes a second.
const BYTES_PER_S: usize = 100_000;

/// A line as long as the longest ones of a request.
const LONG: &str = "event=request id=9c41d07be2a35f68 route=r-hzuabx8 service=fihu72d \
    kind=idempotent key=6454 status=503 reason=full last=full tries=0 endpoint=i-1cc663fc74 \
    took_ms=1 left_ms=2498 returned=true manifest=17 table=796 age_ms=765";

/// A reader that takes its time for each line.
struct Reader {
    taken: Arc<Mutex<Vec<u8>>>,
    pause: Duration,
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        thread::sleep(self.pause);
        self.taken.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn open(pause: Duration) -> (lines::Queue, Arc<Mutex<Vec<u8>>>) {
    let taken = Arc::new(Mutex::new(Vec::new()));
    let reader = Reader {
        taken: Arc::clone(&taken),
        pause,
    };
    (lines::spawn(Box::new(reader)), taken)
}

#[test]
fn the_last_lines_of_a_process_are_written() {
    let (queue, taken) = open(Duration::from_millis(5));
    for line in 0..20 {
        queue.push("info", &format_args!("event=line number={line}"));
    }
    queue.push("info", &format_args!("event=stopped"));
    queue.flush(Duration::from_secs(2));
    let text = String::from_utf8(taken.lock().unwrap().clone()).unwrap();
    assert!(text.trim_end().ends_with("event=stopped"), "{text}");
}

#[test]
fn a_reader_that_has_stopped_holds_nothing_up() {
    let (queue, _taken) = open(Duration::from_secs(3_600));
    let began = Instant::now();
    for line in 0..10_000 {
        queue.push("info", &format_args!("event=line number={line}"));
    }
    assert!(began.elapsed() < Duration::from_millis(500));
    let began = Instant::now();
    queue.flush(Duration::from_millis(100));
    assert!(began.elapsed() < Duration::from_millis(400));
}

#[test]
fn a_storm_of_refusals_stays_within_the_bound_and_what_is_dropped_is_counted() {
    let (queue, taken) = open(Duration::ZERO);
    let began = Instant::now();
    let mut pushed = 0;
    while began.elapsed() < Duration::from_millis(3_000) {
        queue.push("info", &format_args!("{LONG}"));
        pushed += 1;
        if pushed % 50 == 0 {
            thread::sleep(Duration::from_millis(1));
        }
    }
    // The next second has room for the count.
    thread::sleep(Duration::from_millis(1_100));
    queue.push("info", &format_args!("event=after"));
    queue.flush(Duration::from_secs(2));
    let text = String::from_utf8(taken.lock().unwrap().clone()).unwrap();
    // Three seconds touch four seconds of the clock, and one line comes after.
    let lines = text.lines().filter(|line| !line.contains("log_dropped"));
    let lines = lines.count();
    assert!(lines <= 4 * LINES_PER_S + 1, "{lines} lines");
    assert!(text.len() <= 4 * BYTES_PER_S, "{} bytes", text.len());
    let notes = text.lines().filter_map(|line| line.split_once("lines="));
    let dropped: usize = notes.map(|(_, lost)| lost.parse::<usize>().unwrap()).sum();
    assert_eq!(
        lines + dropped,
        pushed + 1,
        "every line is written or counted"
    );
}
