//! Looks at the clock regularly, so that a signal that is noticed late is not taken for one
//! that was sent late.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use async_io::Timer;
use briarhall_net::Executor;
use briarhall_policy::signal_time::SignalTime;
use briarhall_policy::signal_time::TICK_INTERVAL;

/// Looks at the clock for the life of the process.
#[derive(Debug, Clone)]
pub struct SignalClock {
    time: Arc<Mutex<SignalTime>>,
}

impl SignalClock {
    /// Begins to look at the clock.
    pub fn start(executor: &Executor) -> Self {
        let time = SignalTime::new(Instant::now());
        let clock = Self {
            time: Arc::new(Mutex::new(time)),
        };
        let running = clock.clone();
        executor.keep_running("signal_clock", move || running.clone().run());
        clock
    }

    async fn run(self) {
        loop {
            Timer::after(TICK_INTERVAL).await;
            self.time().tick(Instant::now());
        }
    }

    /// Returns the earliest time at which a signal can have been sent that is noticed now.
    pub fn earliest(&self) -> Instant {
        self.time().earliest()
    }

    fn time(&self) -> MutexGuard<'_, SignalTime> {
        self.time.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
