//! Callers that were refused and return.
//!
//! Answers a wave of returning callers, who have one more try at the most. A
//! caller that returns asks for the same thing, gives up at the same moment, and
//! comes when it was told to; one that comes sooner gets no better place. Its
//! deadline alone tells nothing, as callers differ in how long they wait. Each
//! refusal stands for one return, so many callers of one hot key are not all
//! taken for those that were refused.

use crate::core::{
    permit::Request,
    time::Instant, //
};
use std::time::Duration;

/// How far the moment at which a caller gives up seems to move from one try to
/// the next: the way to a VM, and that VM's wait for its processor.
const TOLERANCE: Duration = Duration::from_millis(30);

/// How long after it was to return a caller may come: it may have to connect twice.
const RETURN_WITHIN: Duration = Duration::from_millis(500);

/// Most refusals that are remembered; those of seconds of a crest, in 150 kB.
const REFUSALS_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Refusal {
    subject: u32,
    gives_up: Instant,
    due: Instant,
    goal: Instant,
}

/// Refusals of callers that may return.
#[derive(Clone, Debug, Default)]
pub struct Recall {
    /// Sorted by subject.
    refusals: Vec<Refusal>,
}

impl Recall {
    /// Notes that a request was refused whose answer was to come by `goal`, and
    /// that its caller was told to return after `retry_after`.
    pub fn note(&mut self, ask: &Request, goal: Instant, retry_after: Duration, now: Instant) {
        if self.refusals.len() >= REFUSALS_MAX {
            self.refusals
                .retain(|refusal| refusal.due.after(RETURN_WITHIN) > now);
        }
        if self.refusals.len() >= REFUSALS_MAX {
            return;
        }
        let index = self.first(ask.subject);
        self.refusals.insert(
            index,
            Refusal {
                subject: ask.subject,
                gives_up: gives_up(ask, now),
                due: now.after(retry_after),
                goal,
            },
        );
    }

    /// Takes out the refusal of a caller that returns; tells by when it was to
    /// be answered.
    pub fn take(&mut self, ask: &Request, now: Instant) -> Option<Instant> {
        let gives_up = gives_up(ask, now);
        let first = self.first(ask.subject);
        let same = self.refusals[first..].iter().enumerate();
        let same = same.take_while(|(_, refusal)| refusal.subject == ask.subject);
        let fitting = same.filter(|(_, refusal)| {
            let is_due = refusal.due <= now.after(TOLERANCE);
            is_due && now <= refusal.due.after(RETURN_WITHIN)
        });
        let apart = fitting.map(|(offset, refusal)| (distance(refusal.gives_up, gives_up), offset));
        let (apart, offset) = apart.min()?;
        (apart <= TOLERANCE).then(|| self.refusals.remove(first + offset).goal)
    }

    fn first(&self, subject: u32) -> usize {
        self.refusals
            .partition_point(|refusal| refusal.subject < subject)
    }
}

fn distance(one: Instant, other: Instant) -> Duration {
    one.since(other).max(other.since(one))
}

fn gives_up(ask: &Request, now: Instant) -> Instant {
    now.after(Duration::from_micros(ask.patience_us))
}
