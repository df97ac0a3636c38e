//! Task executor and timers.
//!
//! A [`Context`] is passed to everything that spawns tasks. There is no global
//! executor, so that a test or the emulator can run several systems in one
//! process.

use async_executor::Executor;
use std::{
    future::Future,
    net::IpAddr,
    sync::Arc,
    thread,
    time::Duration, //
};

/// Handle of an executor, with the source address of outgoing connections.
///
/// Clones share the executor.
#[derive(Clone)]
pub struct Context {
    executor: Arc<Executor<'static>>,
    source_address: Option<IpAddr>,
}

impl Context {
    /// Creates an executor with `threads` worker threads.
    pub fn spawn(threads: usize) -> Self {
        let executor = Arc::new(Executor::new());
        for index in 0..threads {
            let executor = Arc::clone(&executor);
            thread::Builder::new()
                .name(format!("worker-{index}"))
                .spawn(move || async_io::block_on(executor.run(std::future::pending::<()>())))
                .expect("failed to start a worker thread; check the limit on threads");
        }
        Self {
            executor,
            source_address: None,
        }
    }

    /// Returns a handle of the same executor with another source address of
    /// outgoing connections; without one the operating system chooses it.
    pub fn with_source_address(&self, source_address: Option<IpAddr>) -> Self {
        Self {
            executor: Arc::clone(&self.executor),
            source_address,
        }
    }

    /// Returns the source address of outgoing connections, if it is set.
    pub fn source_address(&self) -> Option<IpAddr> {
        self.source_address
    }

    /// Spawns `task`, which runs to its end in the background.
    pub fn detach(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Spawns `task` and returns its handle; dropping the handle cancels the task.
    pub fn start<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> async_executor::Task<T> {
        self.executor.spawn(task)
    }
}

/// Waits for `span`.
pub async fn sleep(span: Duration) {
    async_io::Timer::after(span).await;
}

/// Runs `work` for at most `span`; returns `None` if it did not finish in time.
pub async fn timeout<T>(span: Duration, work: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(work.await) };
    let limit = async {
        sleep(span).await;
        None
    };
    futures_lite::future::or(work, limit).await
}
