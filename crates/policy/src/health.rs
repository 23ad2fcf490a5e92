//! A penalty for each replica, from the outcomes of requests sent to it.
//!
//! A replica that fails some of its requests may still pass its health check, so
//! the penalty is based on the requests themselves. It decays, so that a
//! recovered replica is tried again without a probe.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::ReplicaId;

/// Time in which a penalty halves: a crashed replica restarts within some
/// seconds.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Largest sum of penalties.
const MAX_PENALTY: f64 = 4.0;
/// Factor applied to a penalty after an answered request.
const SUCCESS_FACTOR: f64 = 0.6;

/// What happened to a request at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// It was answered.
    Answered,
    /// The replica answered with an error; a few such answers are normal.
    Failed,
    /// The replica refused it without running it.
    Refused,
    /// The connection broke, or the replica sent an invalid answer.
    Broken,
    /// The replica sent nothing for too long.
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

/// Penalties of the replicas that have one.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<ReplicaId, Record>,
}

impl Health {
    /// Records the outcome of a request at a replica.
    pub fn record(&mut self, id: &ReplicaId, outcome: SendOutcome, now: Instant) {
        let penalty = self.penalty(id, now);
        if outcome == SendOutcome::Answered {
            if penalty > 0.0 {
                let penalty = penalty * SUCCESS_FACTOR;
                self.records.insert(id.clone(), Record { penalty, at: now });
            }
            return;
        }
        let penalty = (penalty + outcome.penalty()).min(MAX_PENALTY);
        self.records.insert(id.clone(), Record { penalty, at: now });
    }

    /// Removes the penalty of a replica that is gone or has restarted.
    pub fn forget(&mut self, id: &ReplicaId) {
        self.records.remove(id);
    }

    /// Returns the current penalty of a replica.
    #[must_use]
    pub fn penalty(&self, id: &ReplicaId, now: Instant) -> f64 {
        self.records.get(id).map_or(0.0, |record| {
            let elapsed = now.saturating_duration_since(record.at);
            record.penalty * 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
        })
    }
}
