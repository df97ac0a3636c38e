//! Stopping the process without losing requests.
//!
//! After the signal to stop, the VM first serves as before, because the load
//! balancer still sends it callers. Requests that arrive after this notice
//! period, on connections that were open before, are rejected at once: another
//! VM can serve them, while this one might have to break them off. Shortly
//! before the process ends, requests that still have no response get one from
//! this VM, which says whether they may have run.

use crate::kernel::runtime::sleep;
use event_listener::Event;
use futures_lite::future;
use std::{
    future::Future,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        OnceLock, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// How long the VM serves as before.
///
/// The load balancer stops sending after two failed readiness checks, which are one second
/// apart.
const NOTICE: Duration = Duration::from_millis(2_300);

/// Time between the last responses and the end of the process, at most.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// Time between the end of the process and the end of the grace period, at most.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Steps of a shutdown, as times since the signal to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// From when on new requests are rejected.
    pub rejects_at: Duration,
    /// When all requests have a response.
    pub answers_by: Duration,
    /// When the process ends.
    pub exits_at: Duration,
}

impl Schedule {
    /// Divides a grace period. Endpoints get at least five sixths of it for their responses.
    pub fn new(grace_period: Duration) -> Self {
        let exits_at = grace_period - EXIT_MARGIN.min(grace_period / 12);
        Self {
            rejects_at: NOTICE.min(grace_period / 2),
            answers_by: exits_at - ANSWER_MARGIN.min(grace_period / 24),
            exits_at,
        }
    }
}

/// Progress of a shutdown.
#[derive(Default)]
pub struct Shutdown {
    answers_by: OnceLock<Instant>,
    is_rejecting: AtomicBool,
    /// Whether the time for responses of endpoints is over.
    is_over: AtomicBool,
    /// Notified when it is over.
    over: Event,
}

impl Shutdown {
    /// Carries out a schedule that begins now; does not return.
    pub async fn run(&self, schedule: Schedule) {
        self.answers_by
            .get_or_init(|| Instant::now() + schedule.answers_by);
        sleep(schedule.rejects_at).await;
        self.is_rejecting.store(true, Ordering::Release);
        sleep(schedule.answers_by - schedule.rejects_at).await;
        self.is_over.store(true, Ordering::Release);
        self.over.notify(usize::MAX);
        future::pending().await
    }

    /// Returns a request's deadline, which is not after the time by which it is answered.
    pub fn limit(&self, deadline: Instant) -> Instant {
        let answers_by = self.answers_by.get();
        answers_by.map_or(deadline, |&answers_by| deadline.min(answers_by))
    }

    /// Returns whether requests that were not sent to an endpoint yet are rejected.
    pub fn is_rejecting(&self) -> bool {
        self.is_rejecting.load(Ordering::Acquire)
    }

    /// Runs `task`, but not beyond the time by which requests are answered. Returns `None` then.
    pub async fn interrupt<T>(&self, task: impl Future<Output = T>) -> Option<T> {
        let over = async {
            let listener = self.over.listen();
            if !self.is_over.load(Ordering::Acquire) {
                listener.await;
            }
            None
        };
        future::or(async { Some(task.await) }, over).await
    }
}
