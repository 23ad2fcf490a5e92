//! Executor threads.
//!
//! Traffic runs on several threads that share one executor; control state runs
//! on a thread with an executor of its own, so that neither can starve the
//! other.

use std::any::Any;
use std::fmt;
use std::future::pending;
use std::io;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_executor::Executor as AsyncExecutor;
use async_executor::Task;
use async_io::Timer;
use futures_lite::FutureExt;
use thiserror::Error;
use tokio::runtime::Builder;
use tokio::runtime::EnterGuard;
use tokio::runtime::Runtime;

/// Delay after the end of a task that is to run for the life of the process: one that ends at
/// once must not use up the processor.
const RESTART_DELAY: Duration = Duration::from_millis(100);

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

    /// Starts a task that runs to completion without a handle. A panic in it is logged and ends
    /// nothing else.
    pub fn detach<F>(&self, fut: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let caught = async {
            if let Err(panic) = AssertUnwindSafe(fut).catch_unwind().await {
                let reason = panic_text(panic.as_ref());
                log::error!(event = "task_panicked", reason; "a task has panicked");
            }
        };
        self.inner.spawn(caught).detach();
    }

    /// Starts a task that is to run for the life of the process. When it ends or panics, that
    /// is logged and `start` is called again.
    pub fn keep_running<S, F>(&self, task: &'static str, start: S)
    where
        S: Fn() -> F + Send + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        self.detach(async move {
            loop {
                let ended = AssertUnwindSafe(start()).catch_unwind().await;
                let reason = match &ended {
                    Ok(()) => "it returned",
                    Err(panic) => panic_text(panic.as_ref()),
                };
                log::error!(event = "task_ended", task, reason; "a task that runs for the life of the process has ended; starting it again");
                Timer::after(RESTART_DELAY).await;
            }
        });
    }

    /// Runs the executor on this thread until `fut` ends.
    pub fn block_on<F>(&self, fut: F) -> F::Output
    where
        F: Future,
    {
        async_io::block_on(self.inner.run(fut))
    }
}

/// Returns the message of a panic.
fn panic_text(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
    text.unwrap_or("no message")
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
