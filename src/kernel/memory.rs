//! Memory that is held for callers, counted in bytes for the whole process.
//!
//! Whatever buffers something for a caller reserves its bytes first, from the [`Account`] of the
//! caller's connection. Dropping a [`Reservation`] returns them. The rules are in
//! [`memory_budget`](crate::core::memory_budget).

use crate::{
    core::memory_budget::{
        self,
        Holder,
        Limits,
        Purpose,
        PROGRESS_BYTES, //
    },
    kernel::runtime::{
        sleep,
        timeout, //
    },
};
use event_listener::Event;
use futures_lite::future;
use hyper::http::Extensions;
use std::{
    sync::{
        atomic::{
            AtomicBool,
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
        Arc,
        Mutex,
        OnceLock,
        Weak, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Bytes that an open connection is taken to hold: its tasks and the first read buffer.
const CONNECTION_BYTES: usize = 16 * 1024;

/// Interval at which stalled clients are looked for while others wait for memory.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of checks without a waiting client after which memory counts as available again.
const QUIET_CHECKS: u32 = 10;

/// Interval at which a waiting client tries again although nothing became free; memory that
/// was too little for the one that was notified may suffice for it.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Bytes held for callers, and who holds them.
pub struct Budget {
    limits: Limits,
    started: Instant,
    used: AtomicUsize,
    /// Bytes that clients wait for.
    wanted: AtomicUsize,
    /// Bytes refused without a wait since the last check.
    missed: AtomicUsize,
    released: Event,
    pressure: Event,
    accounts: Mutex<Vec<(u64, Weak<Account>)>>,
    next_id: AtomicU64,
    refused: AtomicU64,
    closed: AtomicU64,
}

impl Budget {
    /// Creates a budget of which nothing is in use.
    pub fn new(limits: Limits) -> Arc<Self> {
        Arc::new(Self {
            limits,
            started: Instant::now(),
            used: AtomicUsize::new(0),
            wanted: AtomicUsize::new(0),
            missed: AtomicUsize::new(0),
            released: Event::new(),
            pressure: Event::new(),
            accounts: Mutex::default(),
            next_id: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            closed: AtomicU64::new(0),
        })
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Opens an account for a connection, unless there is no memory for another one.
    pub fn open(self: &Arc<Self>) -> Option<Open> {
        let account = Arc::new(Account::new(self));
        let base = account.try_reserve(Purpose::Small, CONNECTION_BYTES)?;
        let entry = (account.id, Arc::downgrade(&account));
        // Ids may be drawn by two threads in one order and entered in the other.
        let mut accounts = self.accounts.lock().unwrap();
        let index = accounts.partition_point(|(id, _)| *id < account.id);
        accounts.insert(index, entry);
        drop(accounts);
        Some(Open {
            account,
            _base: base,
        })
    }

    fn try_take(&self, purpose: Purpose, bytes: usize) -> bool {
        let used = self.used.fetch_add(bytes, Ordering::Relaxed);
        let is_allowed = self.limits.allows(purpose, used, bytes);
        if !is_allowed {
            self.used.fetch_sub(bytes, Ordering::Relaxed);
        }
        is_allowed
    }

    fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Release);
        if self.wanted.load(Ordering::Acquire) > 0 {
            self.released.notify_additional(1);
        }
    }

    /// Waits at most `span` until `bytes` are taken; returns whether they are.
    async fn take(&self, purpose: Purpose, bytes: usize, span: Duration) -> bool {
        if self.try_take(purpose, bytes) {
            return true;
        }
        let _wanted = Wanted::new(self, bytes);
        let taken = timeout(span, async {
            loop {
                let released = self.released.listen();
                if self.try_take(purpose, bytes) {
                    return;
                }
                future::or(released, sleep(RETRY_INTERVAL)).await;
            }
        });
        let is_taken = taken.await.is_some();
        if is_taken {
            // What is left may suffice for the next one.
            self.released.notify_additional(1);
        } else {
            self.count_refusal(purpose);
        }
        is_taken
    }

    fn count_refusal(&self, purpose: Purpose) {
        self.refused.fetch_add(1, Ordering::Relaxed);
        let purpose = match purpose {
            Purpose::Body => "body",
            Purpose::Response => "response",
            Purpose::Small => "small",
        };
        metrics::counter!("rhubarbpick_memory_refusals_total", "purpose" => purpose).increment(1);
    }

    /// Closes the connections that have to give back what they hold.
    fn close_stalled(&self, wanted: usize) {
        let accounts = self.accounts.lock().unwrap();
        let now = self.started.elapsed();
        let holders: Vec<Holder> = accounts
            .iter()
            .filter_map(|(_, account)| account.upgrade())
            .map(|account| account.holder(now))
            .collect();
        for id in memory_budget::select(&holders, wanted) {
            let index = accounts.binary_search_by_key(&id, |(id, _)| *id);
            let account = index.ok().and_then(|index| accounts[index].1.upgrade());
            if let Some(account) = account {
                account.close();
                self.closed.fetch_add(1, Ordering::Relaxed);
                metrics::counter!("rhubarbpick_memory_closed_connections_total").increment(1);
            }
        }
    }

    /// Records the number of bytes in use.
    pub fn record(&self) {
        metrics::gauge!("rhubarbpick_memory_held_bytes").set(self.used() as f64);
    }
}

/// Closes connections of stalled clients while others wait for memory, and logs when memory is
/// exhausted and when it is available again.
pub async fn supervise(budget: Arc<Budget>) {
    let is_short =
        || budget.wanted.load(Ordering::Acquire) > 0 || budget.missed.load(Ordering::Acquire) > 0;
    loop {
        let pressure = budget.pressure.listen();
        if !is_short() {
            pressure.await;
        }
        let (refused, closed) = (
            budget.refused.load(Ordering::Relaxed),
            budget.closed.load(Ordering::Relaxed),
        );
        log::warn!(
            "event=memory_exhausted held={} limit={} wanted={}",
            budget.used(),
            budget.limits.total,
            budget.wanted.load(Ordering::Relaxed)
        );
        let mut quiet = 0;
        while quiet < QUIET_CHECKS {
            sleep(CHECK_INTERVAL).await;
            budget.record();
            let wanted = budget.wanted.load(Ordering::Acquire);
            let wanted = wanted.saturating_add(budget.missed.swap(0, Ordering::AcqRel));
            if wanted == 0 {
                quiet += 1;
            } else {
                quiet = 0;
                budget.close_stalled(wanted);
            }
        }
        log::info!(
            "event=memory_available held={} refused={} closed={}",
            budget.used(),
            budget.refused.load(Ordering::Relaxed) - refused,
            budget.closed.load(Ordering::Relaxed) - closed
        );
    }
}

/// Bytes that a client waits for.
struct Wanted<'a> {
    budget: &'a Budget,
    bytes: usize,
}

impl<'a> Wanted<'a> {
    fn new(budget: &'a Budget, bytes: usize) -> Self {
        budget.wanted.fetch_add(bytes, Ordering::AcqRel);
        budget.pressure.notify(1);
        Self { budget, bytes }
    }
}

impl Drop for Wanted<'_> {
    fn drop(&mut self) {
        self.budget.wanted.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// The account of an open connection; it is removed from the budget when dropped.
pub struct Open {
    /// Account to reserve from.
    pub account: Arc<Account>,
    _base: Reservation,
}

impl Drop for Open {
    fn drop(&mut self) {
        let mut accounts = self.account.budget.accounts.lock().unwrap();
        if let Ok(index) = accounts.binary_search_by_key(&self.account.id, |(id, _)| *id) {
            accounts.remove(index);
        }
    }
}

/// What is held for one connection.
pub struct Account {
    id: u64,
    budget: Arc<Budget>,
    /// Bytes held until the client sends or reads more.
    held: AtomicUsize,
    /// When `held` last rose from zero, in milliseconds since the budget was created.
    held_since_ms: AtomicU64,
    /// Bytes sent and received since the last progress.
    moved: AtomicUsize,
    /// Time of the last progress, in milliseconds since the budget was created.
    progress_ms: AtomicU64,
    /// Requests that are being handled, and all so far.
    requests: AtomicUsize,
    all_requests: AtomicUsize,
    is_closing: AtomicBool,
    closing: Event,
}

impl Account {
    fn new(budget: &Arc<Budget>) -> Self {
        Self {
            id: budget.next_id.fetch_add(1, Ordering::Relaxed),
            held: AtomicUsize::new(0),
            held_since_ms: AtomicU64::new(0),
            moved: AtomicUsize::new(0),
            progress_ms: AtomicU64::new(budget.started.elapsed().as_millis() as u64),
            requests: AtomicUsize::new(0),
            all_requests: AtomicUsize::new(0),
            is_closing: AtomicBool::new(false),
            closing: Event::new(),
            budget: Arc::clone(budget),
        }
    }

    /// Returns the account of the connection that a request came on, or one without a limit if
    /// its server has no budget.
    pub fn of(extensions: &Extensions) -> Arc<Self> {
        static UNLIMITED: OnceLock<Arc<Budget>> = OnceLock::new();
        match extensions.get::<Arc<Self>>() {
            Some(account) => Arc::clone(account),
            None => {
                let limits = Limits::new(0, Some(u64::MAX));
                let budget = UNLIMITED.get_or_init(|| Budget::new(limits));
                Arc::new(Self::new(budget))
            }
        }
    }

    /// Reserves bytes if they are available now.
    pub fn try_reserve(self: &Arc<Self>, purpose: Purpose, bytes: usize) -> Option<Reservation> {
        if self.budget.try_take(purpose, bytes) {
            return Some(Reservation {
                account: Arc::clone(self),
                bytes,
                is_held_by_client: false,
            });
        }
        self.budget.count_refusal(purpose);
        self.budget.missed.fetch_add(bytes, Ordering::AcqRel);
        self.budget.pressure.notify(1);
        None
    }

    /// Waits at most `span` for bytes to become available, and reserves them.
    pub async fn reserve(
        self: &Arc<Self>,
        purpose: Purpose,
        bytes: usize,
        span: Duration,
    ) -> Option<Reservation> {
        let is_taken = self.budget.take(purpose, bytes, span).await;
        is_taken.then(|| Reservation {
            account: Arc::clone(self),
            bytes,
            is_held_by_client: false,
        })
    }

    /// Records progress of the client, or that its next step is due from now on.
    pub fn mark_progress(&self) {
        let now = self.budget.started.elapsed().as_millis() as u64;
        self.progress_ms.store(now, Ordering::Relaxed);
        self.moved.store(0, Ordering::Relaxed);
    }

    /// Counts bytes that the client sent or received.
    pub fn record_moved(&self, bytes: usize) {
        if self.moved.fetch_add(bytes, Ordering::Relaxed) + bytes >= PROGRESS_BYTES {
            self.mark_progress();
        }
    }

    /// Counts a request until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> Running {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.all_requests.fetch_add(1, Ordering::Relaxed);
        Running(Arc::clone(self))
    }

    /// Returns the number of requests of the connection that are being handled, and of all of
    /// them so far.
    pub fn requests(&self) -> (usize, usize) {
        (
            self.requests.load(Ordering::Relaxed),
            self.all_requests.load(Ordering::Relaxed),
        )
    }

    fn holder(&self, now: Duration) -> Holder {
        let since = |millis: &AtomicU64| {
            now.saturating_sub(Duration::from_millis(millis.load(Ordering::Relaxed)))
        };
        Holder {
            id: self.id,
            held: self.held.load(Ordering::Relaxed),
            stalled: since(&self.progress_ms),
            holding: since(&self.held_since_ms),
        }
    }

    fn add_held(&self, bytes: usize) {
        if self.held.fetch_add(bytes, Ordering::Relaxed) == 0 {
            let now = self.budget.started.elapsed().as_millis() as u64;
            self.held_since_ms.store(now, Ordering::Relaxed);
        }
    }

    fn close(&self) {
        self.is_closing.store(true, Ordering::Release);
        self.closing.notify(usize::MAX);
    }

    /// Waits until the connection has to be closed.
    pub async fn closing(&self) {
        loop {
            let closing = self.closing.listen();
            if self.is_closing.load(Ordering::Acquire) {
                return;
            }
            closing.await;
        }
    }
}

/// A request that is being handled.
pub struct Running(Arc<Account>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reserved bytes, which are returned when it is dropped.
pub struct Reservation {
    account: Arc<Account>,
    bytes: usize,
    is_held_by_client: bool,
}

impl Reservation {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Waits at most `span` for more bytes; returns whether they were added.
    pub async fn grow(&mut self, purpose: Purpose, bytes: usize, span: Duration) -> bool {
        let is_taken = self.account.budget.take(purpose, bytes, span).await;
        if is_taken {
            self.add(bytes);
        }
        is_taken
    }

    /// Adds bytes if they are available now; returns whether they are.
    pub fn try_grow(&mut self, purpose: Purpose, bytes: usize) -> bool {
        let Some(mut more) = self.account.try_reserve(purpose, bytes) else {
            return false;
        };
        more.bytes = 0;
        self.add(bytes);
        true
    }

    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        if self.is_held_by_client {
            self.account.add_held(bytes);
        }
    }

    /// Sets whether the bytes are held until the client sends or reads more; such a client may
    /// have to give them back.
    pub fn set_held_by_client(&mut self, is_held: bool) {
        match (self.is_held_by_client, is_held) {
            (false, true) => {
                self.account.add_held(self.bytes);
                self.account.mark_progress();
            }
            (true, false) => {
                self.account.held.fetch_sub(self.bytes, Ordering::Relaxed);
            }
            _ => {}
        }
        self.is_held_by_client = is_held;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.is_held_by_client {
            self.account.held.fetch_sub(self.bytes, Ordering::Relaxed);
        }
        self.account.budget.give_back(self.bytes);
    }
}
