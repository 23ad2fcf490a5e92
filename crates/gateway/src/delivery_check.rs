//! Has the changes of a list asked for when it may not be complete.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use briarhall_policy::resumption::List;

use crate::state::Shared;

/// Part of the time in which changes must be in force that passes between two looks at
/// whether the lists are complete.
const INTERVAL_DIVISOR: u32 = 20;

/// Looks at a regular interval whether each list is complete.
#[derive(Debug, Clone)]
pub struct DeliveryCheck {
    shared: Arc<Shared>,
    followers: Vec<(List, Sender<Duration>)>,
}

impl DeliveryCheck {
    /// Creates a check that nobody follows yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            followers: Vec::new(),
        }
    }

    /// Returns a receiver for the task that follows a list.
    pub fn doubts(&mut self, list: List) -> Receiver<Duration> {
        let (tx, rx) = async_channel::bounded(1);
        self.followers.push((list, tx));
        rx
    }

    /// Looks for the life of the process.
    pub async fn run(self) {
        let interval = self.shared.settings.in_force_within / INTERVAL_DIVISOR;
        loop {
            Timer::after(interval).await;
            for (list, limit) in self.due(Instant::now()) {
                let followers = self.followers.iter().filter(|(l, _)| *l == list);
                for (_, follower) in followers {
                    // A full channel means that the list is about to be asked for.
                    let _already_told = follower.try_send(limit);
                }
            }
        }
    }

    fn due(&self, now: Instant) -> Vec<(List, Duration)> {
        let mut state = self.shared.state();
        let state = &mut *state;
        if !state.store_readers.reads_lists() {
            return Vec::new();
        }
        let readers = state.peers.heard_readers(now) + 1;
        state.deliveries.due(readers, now, &mut rand::rng())
    }
}
