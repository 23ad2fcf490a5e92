//! News of other routers.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::RouterName;
use serde::Deserialize;
use serde::Serialize;

use super::Heartbeat;
use super::Known;
use super::Members;

/// Heartbeats kept of routers that have fallen silent.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// A heartbeat passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedHeartbeat {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// How long ago, at the most, it was made when the answer was written;
    /// nothing when that is not known.
    pub age_ms: Option<u64>,
}

/// Answer to a pull.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullAnswer {
    /// What the answering router knows, its own heartbeat among it.
    pub heartbeats: Vec<RelayedHeartbeat>,
}

impl Members {
    /// Creates the view of a router that knows only itself.
    #[must_use]
    pub fn new(me: RouterName) -> Self {
        Self {
            me,
            known: BTreeMap::new(),
            confirmed: None,
        }
    }

    /// Takes this router's own heartbeat.
    pub fn set_own_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) {
        let known = Known {
            heartbeat,
            made_after: Some(now),
            seen: now,
        };
        self.known.insert(self.me.clone(), known);
    }

    /// Takes the answer to a pull that was asked at `asked`.
    pub fn pulled(&mut self, answer: PullAnswer, asked: Instant, now: Instant) {
        for relayed in answer.heartbeats {
            let made_after = relayed
                .age_ms
                .and_then(|age| asked.checked_sub(Duration::from_millis(age)));
            self.learn(relayed.heartbeat, made_after, now);
        }
        self.forget(now);
    }

    /// Takes a heartbeat that another router sent unasked. It counts as news,
    /// never as fresh: how long it was on the way is not known.
    pub fn pushed(&mut self, heartbeat: Heartbeat, now: Instant) {
        self.learn(heartbeat, None, now);
    }

    /// Notes that everything written before `asked` is held, as the platform
    /// itself confirmed.
    pub fn confirmed(&mut self, asked: Instant) {
        self.confirmed = self.confirmed.max(Some(asked));
    }

    fn learn(&mut self, heartbeat: Heartbeat, made_after: Option<Instant>, now: Instant) {
        if heartbeat.router == self.me {
            return;
        }
        let Some(known) = self.known.get_mut(&heartbeat.router) else {
            let name = heartbeat.router.clone();
            let known = Known {
                heartbeat,
                made_after,
                seen: now,
            };
            self.known.insert(name, known);
            return;
        };
        // Whichever of the two was made later, both were made after either
        // time, so the later time holds for what is kept.
        known.made_after = known.made_after.max(made_after);
        if heartbeat.counter > known.heartbeat.counter {
            known.heartbeat = heartbeat;
            known.seen = now;
        }
    }

    fn forget(&mut self, now: Instant) {
        let me = &self.me;
        self.known.retain(|name, known| {
            name == me || now.saturating_duration_since(known.seen) < FORGET_AFTER
        });
    }
}
