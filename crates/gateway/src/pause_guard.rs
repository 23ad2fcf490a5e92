//! Holds what a gateway would send on knowledge from before a pause of its process.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use async_io::Timer;
use briarhall_net::Metrics;
use briarhall_policy::resumption::List;
use briarhall_policy::resumption::Resumption;
use briarhall_policy::resumption::TICK_INTERVAL;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Time between two looks at whether the store has confirmed what is known: a read of the
/// store takes some milliseconds.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Notices pauses of the process. Cloning it is cheap.
#[derive(Debug, Clone)]
pub struct PauseGuard {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    resumption: Mutex<Resumption>,
    /// Have what follows the store read it anew.
    followers: Vec<Sender<()>>,
    metrics: Metrics,
}

impl PauseGuard {
    /// Creates a guard that has these followers of the store read these lists anew after a
    /// pause.
    #[must_use]
    pub fn new(lists: &[List], followers: Vec<Sender<()>>, metrics: Metrics) -> Self {
        Self {
            inner: Arc::new(Inner {
                resumption: Mutex::new(Resumption::new(lists)),
                followers,
                metrics,
            }),
        }
    }

    /// Looks at the clock at a regular interval.
    pub async fn run(self) {
        loop {
            drop(self.tick());
            Timer::after(TICK_INTERVAL).await;
        }
    }

    /// Waits until what this gateway knows is confirmed since its last pause.
    pub async fn confirmed(&self) {
        while !self.tick().is_confirmed(Instant::now()) {
            Timer::after(CONFIRMATION_CHECK_INTERVAL).await;
        }
    }

    /// Records the outcome of a complete read of a list, which began at `began`.
    pub fn record_read(&self, list: List, is_answered: bool, began: Instant) {
        self.tick().record_read(list, is_answered, began);
    }

    /// Returns whether the process stood still since `at`.
    #[must_use]
    pub fn has_paused_since(&self, at: Instant) -> bool {
        self.tick().has_paused_since(at)
    }

    /// Returns whether input that is read now may have waited in a pause.
    #[must_use]
    pub fn may_be_backlog(&self) -> bool {
        self.tick().may_be_backlog(Instant::now())
    }

    fn tick(&self) -> MutexGuard<'_, Resumption> {
        let inner = &self.inner;
        let resumption = inner.resumption.lock();
        let mut resumption = resumption.unwrap_or_else(PoisonError::into_inner);
        if let Some(pause) = resumption.tick(clock(), Instant::now()) {
            inner.metrics.count("resumed");
            let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
            log::warn!(event = "resumed", pause_ms; "this process stood still; reading the store again before anything is sent");
            for follower in &inner.followers {
                // A full channel means that it is about to read.
                let _already_asked = follower.try_send(());
            }
        }
        resumption
    }
}

/// Returns the time since the VM started, with the time for which it was suspended.
fn clock() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or(0),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    )
}
