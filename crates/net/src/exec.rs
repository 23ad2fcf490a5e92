//! Executor threads.
//!
//! Traffic runs on several threads that share one executor; control state runs
//! on a thread with an executor of its own, so that neither can starve the
//! other.

use std::fmt;
use std::future::pending;
use std::io;
use std::sync::Arc;
use std::thread;

use async_executor::Executor as AsyncExecutor;
use async_executor::Task;
use thiserror::Error;
use tokio::runtime::Builder;
use tokio::runtime::EnterGuard;
use tokio::runtime::Runtime;

/// A handle to an executor; cloning it is cheap.
#[derive(Clone, Default)]
pub struct Executor {
    inner: Arc<AsyncExecutor<'static>>,
}

impl fmt::Debug for Executor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Executor").finish_non_exhaustive()
    }
}

impl Executor {
    /// Starts a task and returns its handle.
    pub fn spawn<F>(&self, fut: F) -> Task<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.inner.spawn(fut)
    }

    /// Starts a task that runs to completion without a handle.
    pub fn detach<F>(&self, fut: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.inner.spawn(fut).detach();
    }

    /// Runs the executor on this thread until `fut` ends.
    pub fn block_on<F>(&self, fut: F) -> F::Output
    where
        F: Future,
    {
        async_io::block_on(self.inner.run(fut))
    }
}

/// An error that occurs when a thread cannot be started.
#[derive(Debug, Error)]
#[error(
    "cannot start thread `{name}`: {source}; lower `traffic_threads` or raise the process limit"
)]
pub struct SpawnThreadsError {
    name: String,
    source: io::Error,
}

/// Threads that run one executor until the process exits.
#[derive(Debug)]
pub struct Threads;

impl Threads {
    /// Starts `count` threads named `name` that run `executor`.
    ///
    /// # Errors
    ///
    /// Returns an error when the operating system cannot start a thread.
    pub fn start(
        name: &str,
        count: usize,
        executor: &Executor,
        timers: &Arc<TimerRuntime>,
    ) -> Result<(), SpawnThreadsError> {
        for _ in 0..count {
            let executor = executor.clone();
            let timers = Arc::clone(timers);
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || {
                    let _guard = timers.enter();
                    executor.block_on(pending::<()>());
                })
                .map_err(|source| SpawnThreadsError {
                    name: name.to_owned(),
                    source,
                })?;
        }
        Ok(())
    }
}

/// A Tokio runtime that provides the timer that tarpc needs and runs no tasks.
#[derive(Debug)]
pub struct TimerRuntime {
    rt: Runtime,
}

impl TimerRuntime {
    /// Starts the timer thread.
    ///
    /// # Errors
    ///
    /// Returns an error when the operating system cannot start a thread.
    pub fn start() -> Result<Arc<Self>, SpawnThreadsError> {
        let rt = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_time()
            .thread_name("timers")
            .build()
            .map_err(|source| SpawnThreadsError {
                name: "timers".to_owned(),
                source,
            })?;
        Ok(Arc::new(Self { rt }))
    }

    /// Makes the timer available on this thread until the guard is dropped.
    pub fn enter(&self) -> EnterGuard<'_> {
        self.rt.enter()
    }

    /// Runs `fut` on this thread with the timer available.
    pub fn block_on<F>(&self, executor: &Executor, fut: F) -> F::Output
    where
        F: Future,
    {
        let _guard = self.enter();
        executor.block_on(fut)
    }
}
