//! Whether what a process knows still holds after it stood still.
//!
//! A process may be stopped, and its VM suspended, for any time. What it knew before may
//! no longer hold: keys were revoked, replicas drain, permissions ended. So it reads the
//! store anew, and acts on nothing until it has. If the store does not answer either, it
//! acts on what other gateways had time to tell it since.

use std::time::Duration;
use std::time::Instant;

/// Time between two looks at the clock.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two looks that counts as a pause. News takes up to 2 s to arrive,
/// and none may be ignored for 3 s.
pub const MIN_PAUSE: Duration = Duration::from_secs(1);
/// Time in which other gateways tell of news if the store does not answer: two heartbeats
/// and a read from one that is ahead.
const PEERS_TIME: Duration = Duration::from_secs(1);
/// Longest time to wait for the store.
const STORE_TIME: Duration = Duration::from_secs(2);
/// Time in which input that waited in the pause is read.
const BACKLOG_TIME: Duration = Duration::from_millis(50);

/// A list in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum List {
    /// The configuration.
    Configuration,
    /// The replicas.
    Replicas,
    /// The evacuated availability zones.
    Evacuations,
}

/// What is known of a list since the last pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Known {
    #[default]
    Confirmed,
    Unconfirmed,
    /// The store did not answer.
    Unanswered,
}

/// The pauses of one process.
#[derive(Debug, Default)]
pub struct Resumption {
    /// The clock at the last look.
    ticked_at: Option<Duration>,
    /// When the last pause ended.
    resumed_at: Option<Instant>,
    /// The lists that are followed.
    lists: Vec<(List, Known)>,
}

impl Resumption {
    /// Creates the state of a process that follows these lists.
    #[must_use]
    pub fn new(lists: &[List]) -> Self {
        let lists = lists.iter().map(|list| (*list, Known::Confirmed));
        Self {
            lists: lists.collect(),
            ..Self::default()
        }
    }

    /// Looks at a clock that also runs while the VM is suspended. Returns the length of
    /// the pause that has just ended, if there was one.
    pub fn tick(&mut self, clock: Duration, now: Instant) -> Option<Duration> {
        let before = self.ticked_at.replace(clock)?;
        let pause = clock.saturating_sub(before);
        if pause < MIN_PAUSE {
            return None;
        }
        self.resumed_at = Some(now);
        for (_, known) in &mut self.lists {
            *known = Known::Unconfirmed;
        }
        Some(pause)
    }

    /// Records the outcome of a complete read of a list, which began at `began`.
    pub fn record_read(&mut self, list: List, is_answered: bool, began: Instant) {
        if self.resumed_at.is_none_or(|at| began < at) {
            return;
        }
        let mut lists = self.lists.iter_mut();
        let Some((_, known)) = lists.find(|(followed, _)| *followed == list) else {
            return;
        };
        if is_answered {
            *known = Known::Confirmed;
        } else if *known == Known::Unconfirmed {
            *known = Known::Unanswered;
        }
    }

    /// Returns whether the process may act on what it knows.
    #[must_use]
    pub fn is_confirmed(&self, now: Instant) -> bool {
        let Some(resumed_at) = self.resumed_at else {
            return true;
        };
        let since = now.saturating_duration_since(resumed_at);
        self.lists.iter().all(|(_, known)| match known {
            Known::Confirmed => true,
            Known::Unanswered => since >= PEERS_TIME,
            Known::Unconfirmed => since >= STORE_TIME,
        })
    }

    /// Returns whether a pause has ended since `at`.
    #[must_use]
    pub fn has_paused_since(&self, at: Instant) -> bool {
        self.resumed_at.is_some_and(|resumed| resumed >= at)
    }

    /// Returns whether input that is read now may have waited in a pause.
    #[must_use]
    pub fn may_be_backlog(&self, now: Instant) -> bool {
        self.resumed_at
            .is_some_and(|at| now.saturating_duration_since(at) < BACKLOG_TIME)
    }
}
