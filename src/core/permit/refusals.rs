//! Recognizes refused callers that retry.
//!
//! A refused caller retries once at most, so its retry is served before the first
//! visits of other late callers. Requests carry no mark of a retry. A retry is
//! recognized by three things: it requests the same, its caller gives up at the
//! same moment, and it comes when the caller was told to retry. One that comes
//! sooner gets no precedence. The deadline alone proves nothing, as callers differ
//! in how long they wait. Each refusal matches one retry, so that the many callers
//! of a hot key are not all taken for refused ones.

use crate::core::{
    permit::Request,
    time::Instant, //
};
use std::time::Duration;

/// Tolerance in comparing when a caller gives up. The computed moment differs
/// between tries by the network delay to the VM and the VM's wait for its processor.
const TOLERANCE: Duration = Duration::from_millis(30);

/// How long after the time that it was told a caller may retry; it may have to
/// connect twice.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of stored refusals: those of a few seconds of overload, in 150 kB.
const MAX_REFUSALS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Refusal {
    subject: u32,
    gives_up_at: Instant,
    retry_at: Instant,
    goal: Instant,
}

/// Refusals whose callers may still retry.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Sorted by subject.
    refusals: Vec<Refusal>,
}

impl History {
    /// Records the refusal of a request that was to be answered by `goal` and whose
    /// caller was told to retry after `retry_after`.
    pub fn record(
        &mut self,
        request: &Request,
        goal: Instant,
        retry_after: Duration,
        now: Instant,
    ) {
        if self.refusals.len() >= MAX_REFUSALS {
            self.refusals
                .retain(|refusal| refusal.retry_at.after(MAX_RETRY_DELAY) > now);
        }
        if self.refusals.len() >= MAX_REFUSALS {
            return;
        }
        let index = self.first_index(request.subject);
        self.refusals.insert(
            index,
            Refusal {
                subject: request.subject,
                gives_up_at: gives_up_at(request, now),
                retry_at: now.after(retry_after),
                goal,
            },
        );
    }

    /// Removes the refusal that a retry matches and returns the goal of the refused
    /// request.
    pub fn take(&mut self, request: &Request, now: Instant) -> Option<Instant> {
        let gives_up_at = gives_up_at(request, now);
        let first = self.first_index(request.subject);
        let same_subject = self.refusals[first..].iter().enumerate();
        let same_subject =
            same_subject.take_while(|(_, refusal)| refusal.subject == request.subject);
        let due = same_subject.filter(|(_, refusal)| {
            let is_due = refusal.retry_at <= now.after(TOLERANCE);
            is_due && now <= refusal.retry_at.after(MAX_RETRY_DELAY)
        });
        let candidates =
            due.map(|(offset, refusal)| (distance(refusal.gives_up_at, gives_up_at), offset));
        let (difference, offset) = candidates.min()?;
        (difference <= TOLERANCE).then(|| self.refusals.remove(first + offset).goal)
    }

    fn first_index(&self, subject: u32) -> usize {
        self.refusals
            .partition_point(|refusal| refusal.subject < subject)
    }
}

fn distance(one: Instant, other: Instant) -> Duration {
    one.since(other).max(other.since(one))
}

fn gives_up_at(request: &Request, now: Instant) -> Instant {
    now.after(Duration::from_micros(request.patience_us))
}
