//! A penalty for each replica, from the outcomes of requests sent to it.
//!
//! A replica that fails some of its requests may still pass its health check, so
//! the penalty is based on the requests themselves. It decays, so that a
//! recovered replica is tried again without a probe.
//!
//! Gateways tell each other which replicas just failed them, so that a crashed
//! replica costs the fleet a few requests and not some at every gateway.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::ReplicaId;
use serde::Deserialize;
use serde::Serialize;

use crate::load_tracker::ReplicaTag;
use crate::load_tracker::tag;

/// Penalty from which other gateways are told.
const REPORTED_FROM: f64 = 0.8;
/// Most replicas in one report.
const MAX_REPORTED: usize = 32;
/// A gateway that more than one in this many of the known replicas failed is
/// probably cut off itself and reports none.
const CREDIBLE_SHARE: usize = 4;
/// Time after a failure for which it is reported.
const REPORTED_FOR: Duration = Duration::from_secs(1);
/// Time in which a penalty halves: a crashed replica restarts within some
/// seconds.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Largest sum of penalties.
const MAX_PENALTY: f64 = 4.0;
/// Factor applied to a penalty after an answered request.
const SUCCESS_FACTOR: f64 = 0.6;

/// What happened to a request at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
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

impl Record {
    fn at(self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at);
        self.penalty * 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

/// A replica that failed requests of one gateway, as it tells the others.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FailedRequests {
    /// The replica.
    pub replica: ReplicaTag,
    /// Its penalty as of the message.
    pub penalty: f32,
}

/// Penalties of the replicas that have one.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<ReplicaId, Record>,
    /// What other gateways reported.
    reported: HashMap<ReplicaTag, Record>,
}

impl Health {
    /// Records the outcome of a request at a replica.
    pub fn record(&mut self, id: &ReplicaId, outcome: SendOutcome, now: Instant) {
        let penalty = self.own_penalty(id, now);
        if outcome == SendOutcome::Answered {
            if penalty > 0.0 {
                let penalty = penalty * SUCCESS_FACTOR;
                self.records.insert(id.clone(), Record { penalty, at: now });
            }
            if let Some(record) = self.reported.get_mut(&tag(id.as_str())) {
                record.penalty *= SUCCESS_FACTOR;
            }
            return;
        }
        let penalty = (penalty + outcome.penalty()).min(MAX_PENALTY);
        self.records.insert(id.clone(), Record { penalty, at: now });
    }

    /// Removes the penalty of a replica that is gone or has restarted.
    pub fn forget(&mut self, id: &ReplicaId) {
        self.records.remove(id);
        self.reported.remove(&tag(id.as_str()));
    }

    /// Removes what sends of this gateway have shown, as its own links were at fault.
    pub fn forget_own(&mut self) {
        self.records.clear();
    }

    /// Returns the replicas, of the `replicas` known ones, that failed requests of
    /// this gateway, to tell the others.
    #[must_use]
    pub fn own(&self, replicas: usize, now: Instant) -> Vec<FailedRequests> {
        let failed = self.records.iter();
        let failed = failed.map(|(id, record)| (id, record.at(now), record.at));
        let failed = failed.filter(|(_, penalty, _)| *penalty >= REPORTED_FROM);
        let failed = failed.collect::<Vec<_>>();
        if failed.len() * CREDIBLE_SHARE > replicas {
            return Vec::new();
        }
        let recent = failed
            .into_iter()
            .filter(|(_, _, at)| now.saturating_duration_since(*at) < REPORTED_FOR);
        #[expect(clippy::cast_possible_truncation, reason = "a penalty is small")]
        let reports = recent.map(|(id, penalty, _)| FailedRequests {
            replica: tag(id.as_str()),
            penalty: penalty as f32,
        });
        reports.take(MAX_REPORTED).collect()
    }

    /// Applies the report of another gateway.
    pub fn apply_report(&mut self, report: &[FailedRequests], now: Instant) {
        if report.is_empty() {
            return;
        }
        self.reported
            .retain(|_, record| record.at(now) >= REPORTED_FROM / 4.0);
        for failed in report {
            let penalty = f64::from(failed.penalty).clamp(0.0, MAX_PENALTY);
            let known = self.reported.get(&failed.replica);
            if known.is_none_or(|record| record.at(now) < penalty) {
                let record = Record { penalty, at: now };
                self.reported.insert(failed.replica, record);
            }
        }
    }

    /// Returns the current penalty of a replica.
    #[must_use]
    pub fn penalty(&self, id: &ReplicaId, now: Instant) -> f64 {
        let reported = if self.reported.is_empty() {
            None
        } else {
            self.reported.get(&tag(id.as_str()))
        };
        let reported = reported.map_or(0.0, |record| record.at(now));
        reported.max(self.own_penalty(id, now))
    }

    fn own_penalty(&self, id: &ReplicaId, now: Instant) -> f64 {
        self.records.get(id).map_or(0.0, |record| record.at(now))
    }
}
