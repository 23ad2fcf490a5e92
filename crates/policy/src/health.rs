//! How far each replica is to be avoided, from what happened to requests there.
//!
//! A replica that fails part of its requests may pass its health check, so
//! requests themselves are the evidence. A penalty fades, so that a replica
//! that has recovered is tried again without a probe.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::ReplicaId;

/// Time in which a penalty loses half of its weight: a crashed replica is back
/// after some seconds.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// The most that failures add up to.
const CAP: f64 = 4.0;
/// What is left of a penalty after a request that went well.
const AFTER_SUCCESS: f64 = 0.6;

/// What happened to a request at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// It was answered.
    Answered,
    /// The replica said that it failed; a few such answers are ordinary.
    Failed,
    /// The replica turned it away, not run.
    Refused,
    /// It broke off or sent what is no answer.
    Broken,
    /// Nothing came for too long.
    Silent,
    /// No connection could be opened.
    Unreachable,
}

impl SendOutcome {
    /// Returns the name of its counter.
    #[must_use]
    pub fn metric(self) -> &'static str {
        match self {
            Self::Answered => "send_answered",
            Self::Failed => "send_failed",
            Self::Refused => "send_refused",
            Self::Broken => "send_broken",
            Self::Silent => "send_silent",
            Self::Unreachable => "send_unreachable",
        }
    }

    fn penalty(self) -> f64 {
        match self {
            Self::Answered => 0.0,
            Self::Failed => 0.2,
            Self::Refused => 0.4,
            Self::Broken => 1.2,
            Self::Silent => 1.5,
            Self::Unreachable => 2.0,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Record {
    penalty: f64,
    at: Instant,
}

/// Penalties of all replicas that have one.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<ReplicaId, Record>,
}

impl Health {
    /// Records what happened at a replica.
    pub fn record(&mut self, id: &ReplicaId, outcome: SendOutcome, now: Instant) {
        let penalty = self.penalty(id, now);
        if outcome == SendOutcome::Answered {
            if penalty > 0.0 {
                let penalty = penalty * AFTER_SUCCESS;
                self.records.insert(id.clone(), Record { penalty, at: now });
            }
            return;
        }
        let penalty = (penalty + outcome.penalty()).min(CAP);
        self.records.insert(id.clone(), Record { penalty, at: now });
    }

    /// Forgets a replica, which is gone or has started again.
    pub fn forget(&mut self, id: &ReplicaId) {
        self.records.remove(id);
    }

    /// Returns the penalty of a replica now.
    #[must_use]
    pub fn penalty(&self, id: &ReplicaId, now: Instant) -> f64 {
        self.records.get(id).map_or(0.0, |record| {
            let elapsed = now.saturating_duration_since(record.at);
            record.penalty * 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
        })
    }
}
