//! Updates to the view from the heartbeats of other routers.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::RouterName;
use serde::Deserialize;
use serde::Serialize;

use super::Heartbeat;
use super::KnownRouter;
use super::Members;

/// Time without a new heartbeat after which a router is removed from the view.
const REMOVE_FROM_VIEW_AFTER: Duration = Duration::from_mins(1);

/// A heartbeat relayed by another router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedHeartbeat {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// Maximum age of the heartbeat when the answer was written, in
    /// milliseconds; `None` when it is not known.
    pub age_ms: Option<u64>,
}

/// Answer to a pull.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullAnswer {
    /// Heartbeats that the answering router knows, including its own.
    pub heartbeats: Vec<RelayedHeartbeat>,
}

impl Members {
    /// Creates the view of a router that knows only itself.
    #[must_use]
    pub fn new(me: RouterName) -> Self {
        Self {
            me,
            known: BTreeMap::new(),
            confirmed_at: None,
        }
    }

    /// Sets this router's own heartbeat.
    pub fn set_own_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) {
        let known = KnownRouter {
            heartbeat,
            made_after: Some(now),
            last_seen: now,
        };
        self.known.insert(self.me.clone(), known);
    }

    /// Applies the answer to a pull that was sent at `sent_at`.
    pub fn apply_pull(&mut self, answer: PullAnswer, sent_at: Instant, now: Instant) {
        for relayed in answer.heartbeats {
            let made_after = relayed
                .age_ms
                .and_then(|age| sent_at.checked_sub(Duration::from_millis(age)));
            self.record(relayed.heartbeat, made_after, now);
        }
        self.remove_silent(now);
    }

    /// Applies a heartbeat that another router sent without a pull. Its content
    /// is used, but it never counts as fresh, because its transit time is not
    /// known.
    pub fn apply_push(&mut self, heartbeat: Heartbeat, now: Instant) {
        self.record(heartbeat, None, now);
    }

    /// Records that, as confirmed by the platform, this router holds everything
    /// written before `requested_at`.
    pub fn record_confirmation(&mut self, requested_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    fn record(&mut self, heartbeat: Heartbeat, made_after: Option<Instant>, now: Instant) {
        if heartbeat.router == self.me {
            return;
        }
        let Some(known) = self.known.get_mut(&heartbeat.router) else {
            let name = heartbeat.router.clone();
            let known = KnownRouter {
                heartbeat,
                made_after,
                last_seen: now,
            };
            self.known.insert(name, known);
            return;
        };
        // The newer of the two heartbeats, which is kept, was made after both
        // times, so the later one applies to it.
        known.made_after = known.made_after.max(made_after);
        if heartbeat.counter > known.heartbeat.counter {
            known.heartbeat = heartbeat;
            known.last_seen = now;
        }
    }

    fn remove_silent(&mut self, now: Instant) {
        let me = &self.me;
        self.known.retain(|name, known| {
            name == me || now.saturating_duration_since(known.last_seen) < REMOVE_FROM_VIEW_AFTER
        });
    }
}
