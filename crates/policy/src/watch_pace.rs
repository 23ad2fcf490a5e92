//! How soon a watch of the store is called again.
//!
//! Each answer of a watch is a call to the store, and every gateway watches. In a
//! series of changes, as when a service's replicas are replaced one after the
//! other, each change would be a call from each gateway. So a change after a
//! calm time is read at once, and those that follow it share an answer.

use std::time::Duration;
use std::time::Instant;

/// Spaces the calls of one watch.
#[derive(Debug, Clone, Copy)]
pub struct WatchPace {
    min_interval: Duration,
    last_change: Option<Instant>,
}

impl WatchPace {
    /// Creates the pace of a watch that reads a series of changes no more often
    /// than each `min_interval`.
    #[must_use]
    pub fn new(min_interval: Duration) -> Self {
        Self {
            min_interval,
            last_change: None,
        }
    }

    /// Records that a watch has delivered changes, and returns how long to wait
    /// before it is called again.
    pub fn changed(&mut self, now: Instant) -> Duration {
        let in_series = self
            .last_change
            .is_some_and(|last| now.saturating_duration_since(last) < self.min_interval * 2);
        self.last_change = Some(now);
        if in_series {
            self.min_interval
        } else {
            Duration::ZERO
        }
    }
}
