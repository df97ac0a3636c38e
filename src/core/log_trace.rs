//! Selects the log lines of several VMs that explain the outcome of a request.
//!
//! These are the lines of the request itself, the events of its service and its
//! endpoint around that time, and events that affect a whole VM. They are ordered
//! by time.

/// Time before and after a request in which other events are included, in milliseconds.
const CONTEXT_MS: u64 = 2_000;

/// Events that may explain a failure of any service.
const SYSTEM_EVENTS: [&str; 11] = [
    "absent",
    "claim_lost",
    "claim_taken",
    "draining",
    "log_dropped",
    "relay_lost",
    "standstill",
    "started",
    "store_back",
    "store_lost",
    "store_read",
];

/// A log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// File that the line was read from.
    pub source: Box<str>,
    /// Text of the line.
    pub text: Box<str>,
}

impl Line {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut words = self.text.split(' ');
        words
            .find_map(|word| word.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    }

    fn time_ms(&self) -> Option<u64> {
        self.field("time_ms")?.parse().ok()
    }
}

/// Returns the lines related to the request `id`, ordered by time.
pub fn related_lines(id: &str, lines: &[Line]) -> Vec<Line> {
    let is_own = |line: &&Line| line.field("id") == Some(id);
    let own: Vec<&Line> = lines.iter().filter(is_own).collect();
    let mut related: Vec<Line> = own.iter().map(|line| (*line).clone()).collect();
    for request in &own {
        let Some(end_ms) = request.time_ms() else {
            continue;
        };
        let took_ms: u64 = request
            .field("took_ms")
            .and_then(|took_ms| took_ms.parse().ok())
            .unwrap_or(0);
        let from_ms = end_ms.saturating_sub(took_ms + CONTEXT_MS);
        let context = lines.iter().filter(|line| {
            let time_ms = line.time_ms().unwrap_or(0);
            (from_ms..=end_ms + CONTEXT_MS).contains(&time_ms) && explains(line, request)
        });
        related.extend(context.cloned());
    }
    related.sort_by_key(|line| line.time_ms());
    related.dedup();
    related
}

/// Tells whether a line may explain the outcome of a request.
fn explains(line: &Line, request: &Line) -> bool {
    let event = line.field("event").unwrap_or_default();
    if event == "request" || event == "summary" {
        return false;
    }
    let is_same = |name: &str| {
        let value = request.field(name).filter(|value| !value.is_empty());
        value.is_some() && line.field(name) == value
    };
    is_same("endpoint") || is_same("service") || SYSTEM_EVENTS.contains(&event)
}
