//! How fast each replica works, relative to what is expected of it, from answers and
//! refusals alone.
//!
//! An unseen prompt lengthens one pass of an engine, while a slow engine lengthens all of
//! them. So the shortest of the times of the last moments counts, each relative to the
//! time that was predicted for it. One quick answer therefore shows at once that a
//! replica has recovered.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::ReplicaId;
use briarhall_types::ServiceName;

/// Time in which all answers must be slow for a replica to count as slow; with the answer
/// that shows it, this is less than a second.
const WINDOW: Duration = Duration::from_millis(700);
/// Fewest answers in the window from which a replica counts as slow.
const MIN_TIMES: usize = 2;
/// Most times that are kept of one replica: some pauses of each of its slots.
const MAX_TIMES: usize = 64;
/// Time relative to the predicted one up to which a replica is not slow, since
/// predictions are rough.
const TOLERANCE: f64 = 1.25;
/// Time relative to the predicted one below which an event was held back together with
/// the one before it and shows nothing.
const HELD_BACK: f64 = 0.5;
/// Time in which a pace that nothing confirms loses half of its weight, so that a replica
/// that gets no requests for its pace is tried again.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// The same for refusals and reported queues, which end as soon as requests do.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(300);
/// What a refusal adds to the pace: a replica that refuses has more work than was known.
const REFUSAL: f64 = 0.5;
/// Greatest pace: a replica that seems slower still gets some requests, which show when
/// it has recovered.
const MAX_PACE: f64 = 8.0;
/// Calls of a service from which the median is taken.
const MEDIAN_OF: usize = 63;
/// Fewest calls of a service from which a median is known.
const MIN_CALLS: usize = 15;

/// What a replica says of its own load in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// What was observed of a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Observation {
    /// A part of an answer took a time.
    Time {
        /// Time that was predicted for a replica that is not slow, in milliseconds.
        predicted_ms: f64,
        /// Time that it took, in milliseconds.
        seen_ms: f64,
    },
    /// It refused a request.
    Refusal,
    /// It reported its load.
    Load(ReportedLoad),
}

/// A value that loses weight with time.
#[derive(Debug, Clone, Copy)]
struct Decaying {
    value: f64,
    as_of: Instant,
    half_life: Duration,
}

impl Decaying {
    fn at(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.as_of);
        let half_lives = age.as_secs_f64() / self.half_life.as_secs_f64();
        self.value * 0.5_f64.powf(half_lives)
    }
}

#[derive(Debug, Default)]
struct Observed {
    times: VecDeque<(Instant, f64)>,
    /// Time beyond the predicted one, relative to it.
    excess: Option<Decaying>,
    refusals: Option<Decaying>,
    queue: Option<Decaying>,
}

impl Observed {
    fn add_time(&mut self, ratio: f64, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > WINDOW;
        while self.times.len() >= MAX_TIMES || self.times.front().is_some_and(|t| is_old(t.0)) {
            self.times.pop_front();
        }
        self.times.push_back((now, ratio));
        let shortest = self.times.iter().map(|t| t.1).fold(f64::MAX, f64::min);
        let measured = if shortest > TOLERANCE {
            shortest - 1.0
        } else {
            0.0
        };
        let before = self.excess.map_or(0.0, |excess| excess.at(now));
        let is_known = self.times.len() >= MIN_TIMES || measured < before;
        self.excess = Some(Decaying {
            value: if is_known { measured } else { before },
            as_of: now,
            half_life: HALF_LIFE,
        });
    }

    fn pace(&self, now: Instant) -> f64 {
        let at = |part: Option<Decaying>| part.map_or(0.0, |part| part.at(now));
        let excess = at(self.excess) + at(self.refusals) + at(self.queue);
        // A rest of an earlier pace that is too small to matter.
        if excess < TOLERANCE - 1.0 {
            1.0
        } else {
            (1.0 + excess).min(MAX_PACE)
        }
    }
}

/// The paces of replicas.
#[derive(Debug, Default)]
pub struct Pace {
    replicas: HashMap<ReplicaId, Observed>,
    calls: HashMap<ServiceName, VecDeque<f64>>,
}

impl Pace {
    /// Records what was observed of a replica.
    pub fn observe(&mut self, id: &ReplicaId, observation: Observation, now: Instant) {
        let observed = self.replicas.entry(id.clone()).or_default();
        let report = |value: f64| {
            Some(Decaying {
                value,
                as_of: now,
                half_life: REPORT_HALF_LIFE,
            })
        };
        match observation {
            Observation::Time {
                predicted_ms,
                seen_ms,
            } => {
                let ratio = seen_ms / predicted_ms;
                if ratio.is_finite() && ratio >= HELD_BACK {
                    observed.add_time(ratio, now);
                }
            }
            Observation::Refusal => {
                let before = observed.refusals.map_or(0.0, |before| before.at(now));
                observed.refusals = report(before + REFUSAL);
            }
            Observation::Load(load) => {
                let queue = f64::from(load.waiting) / f64::from(load.slots.max(1));
                observed.queue = report(queue.min(MAX_PACE));
            }
        }
    }

    /// Records the time of a call of a plain service, whose prediction is the median of
    /// the service's last calls.
    pub fn observe_call(
        &mut self,
        service: &ServiceName,
        id: &ReplicaId,
        seen_ms: f64,
        now: Instant,
    ) {
        let calls = self.calls.entry(service.clone()).or_default();
        if calls.len() >= MEDIAN_OF {
            calls.pop_front();
        }
        calls.push_back(seen_ms);
        if calls.len() < MIN_CALLS {
            return;
        }
        let mut sorted = calls.iter().copied().collect::<Vec<_>>();
        sorted.sort_by(f64::total_cmp);
        let observation = Observation::Time {
            predicted_ms: sorted[sorted.len() / 2],
            seen_ms,
        };
        self.observe(id, observation, now);
    }

    /// Returns the time that work takes at a replica, relative to one that works as
    /// predicted: 1 for such a replica, and for one of which nothing is known.
    #[must_use]
    pub fn factor(&self, id: &ReplicaId, now: Instant) -> f64 {
        let observed = self.replicas.get(id);
        observed.map_or(1.0, |observed| observed.pace(now))
    }

    /// Forgets a replica that is gone, or whose process is another one.
    pub fn forget(&mut self, id: &ReplicaId) {
        self.replicas.remove(id);
    }
}
