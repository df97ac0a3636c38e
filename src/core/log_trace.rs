//! What log lines of several VMs tell of one request.
//!
//! The request's own lines come first; then what its VM, its service and its
//! endpoint went through shortly before. Lines are ordered by their time.

/// How long before and after a request other events are told, in milliseconds.
const AROUND_MS: u64 = 2_000;

/// Events that may explain a failure, whatever service they name.
const COMMON: [&str; 11] = [
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
    /// Where it was read.
    pub source: Box<str>,
    /// Its text.
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

/// Chooses the lines that tell of the request `id`, ordered by time.
pub fn related_lines(id: &str, lines: &[Line]) -> Vec<Line> {
    let is_own = |line: &&Line| line.field("id") == Some(id);
    let own: Vec<&Line> = lines.iter().filter(is_own).collect();
    let mut told: Vec<Line> = own.iter().map(|line| (*line).clone()).collect();
    for request in &own {
        let Some(end) = request.time_ms() else {
            continue;
        };
        let took: u64 = request
            .field("took_ms")
            .and_then(|took| took.parse().ok())
            .unwrap_or(0);
        let from = end.saturating_sub(took + AROUND_MS);
        let around = lines.iter().filter(|line| {
            let time = line.time_ms().unwrap_or(0);
            (from..=end + AROUND_MS).contains(&time) && explains(line, request)
        });
        told.extend(around.cloned());
    }
    told.sort_by_key(|line| line.time_ms());
    told.dedup();
    told
}

/// Tells whether a line may explain what became of a request.
fn explains(line: &Line, request: &Line) -> bool {
    let event = line.field("event").unwrap_or_default();
    if event == "request" || event == "summary" {
        return false;
    }
    let names = |name: &str| {
        let value = request.field(name).filter(|value| !value.is_empty());
        value.is_some() && line.field(name) == value
    };
    names("endpoint") || names("service") || COMMON.contains(&event)
}
