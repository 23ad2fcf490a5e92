//! The moment of a planned stop at which requests without an answer get one of the
//! gateway's own.
//!
//! When a process ends, its connections close, and callers whose requests it had read
//! cannot tell whether these ran.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future;

/// Time before the process ends in which the last answers are written: a VM may have a
/// tenth of a core for hundreds of them.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// When requests without an answer get one, once the gateway is stopping.
#[derive(Debug)]
pub struct StopEnd {
    at: OnceLock<Instant>,
    /// Closed when `at` is set.
    set: (Sender<()>, Receiver<()>),
}

impl StopEnd {
    /// Creates one of a gateway that is not stopping.
    pub fn new() -> Self {
        Self {
            at: OnceLock::new(),
            set: async_channel::bounded(1),
        }
    }

    /// Records when the process ends at the latest.
    pub fn set(&self, deadline: Instant) {
        let at = deadline.checked_sub(ANSWER_MARGIN).unwrap_or(deadline);
        self.at.get_or_init(|| at);
        self.set.0.close();
    }

    /// Waits until it is time to answer.
    pub async fn reached(&self) {
        // Nothing is ever sent on the channel; it is only closed.
        let _closed = self.set.1.recv().await;
        match self.at.get() {
            Some(at) => {
                Timer::at(*at).await;
            }
            None => future::pending().await,
        }
    }
}
