//! Pauses that replicas ask this gateway for when they turn a request away.
//!
//! A pause binds only the gateway that was asked: a replica under load spreads the
//! load over those that send it. It is not lifted by a later answer, as the replica
//! may still work off what it had.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::ReplicaId;

/// Longest pause that is kept. A replica that asks for hours is tried again after
/// this, and can ask again.
pub const MAX_PAUSE: Duration = Duration::from_mins(5);

/// The pauses that have not ended.
#[derive(Debug, Default)]
pub struct Pauses {
    ends: HashMap<ReplicaId, Instant>,
}

impl Pauses {
    /// Records that a replica asks for a pause, and returns how long it lasts from
    /// now. A longer one that it asked for earlier stays.
    pub fn ask(&mut self, id: &ReplicaId, wait: Duration, now: Instant) -> Duration {
        self.ends.retain(|_, end| *end > now);
        let asked = now + wait.min(MAX_PAUSE);
        let end = self.ends.entry(id.clone()).or_insert(asked);
        *end = asked.max(*end);
        end.saturating_duration_since(now)
    }

    /// Returns whether a replica wants nothing now.
    #[must_use]
    pub fn is_paused(&self, id: &str, now: Instant) -> bool {
        self.left(id, now).is_some()
    }

    /// Returns when the first of these replicas takes requests again, unless one of
    /// them does now or there is none.
    #[must_use]
    pub fn shortest<'a, I>(&self, ids: I, now: Instant) -> Option<Duration>
    where
        I: IntoIterator<Item = &'a ReplicaId>,
    {
        let mut shortest = None;
        for id in ids {
            let left = self.left(id, now)?;
            shortest = Some(shortest.map_or(left, |other: Duration| other.min(left)));
        }
        shortest
    }

    /// Removes the pause of a replica whose process is a new one.
    pub fn forget(&mut self, id: &str) {
        self.ends.remove(id);
    }

    /// Returns how long a replica still wants nothing.
    #[must_use]
    pub fn left(&self, id: &str, now: Instant) -> Option<Duration> {
        let end = self.ends.get(id)?;
        let left = end.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }
}
