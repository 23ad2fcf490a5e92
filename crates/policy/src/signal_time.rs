//! Bounds when a signal was sent.
//!
//! Where a process gets little processor time, it may notice a signal long after it was
//! sent, but its time counts from then on. A regular look at the clock shows until when the
//! process certainly had no signal.

use std::time::Duration;
use std::time::Instant;

/// Time between two looks at the clock.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The last looks at the clock.
#[derive(Debug, Clone, Copy)]
pub struct SignalTime {
    last: Instant,
    before_last: Instant,
}

impl SignalTime {
    /// Begins at the start of the process.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            last: now,
            before_last: now,
        }
    }

    /// Records a look at the clock.
    pub fn tick(&mut self, now: Instant) {
        self.before_last = self.last;
        self.last = now;
    }

    /// Returns the earliest time at which a signal can have been sent that is noticed now.
    /// After a time without the processor, the clock may be looked at before the signal is
    /// noticed.
    #[must_use]
    pub fn earliest(&self) -> Instant {
        self.before_last
    }
}
