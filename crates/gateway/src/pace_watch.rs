//! Compares what an answer takes with what was predicted for it, as evidence of the pace
//! of its replica.

use std::time::Duration;
use std::time::Instant;

use briarhall_policy::engine::decode_pass_ms;
use briarhall_policy::pace::Observation;
use briarhall_policy::pace::ReportedLoad;
use briarhall_policy::placement::Candidate;
use briarhall_policy::placement::Plan;
use briarhall_types::ReplicaId;
use hyper::StatusCode;

use crate::job::Job;
use crate::replica_stream::StreamItem;
use crate::state::Shared;

/// Share of the time between two events for which the gateway must have waited for the
/// replica: the rest is the client's, who reads slowly.
const MIN_WAITED_SHARE: f64 = 0.5;

/// What was predicted for one send to a replica.
#[derive(Debug, Clone)]
pub struct PaceWatch {
    replica: ReplicaId,
    sent_at: Instant,
    /// Time to the first event; absent where several replicas share the prompt, since the
    /// slow one is not known.
    first_event_ms: Option<f64>,
    /// Time between two events; absent for a call.
    pass_ms: Option<f64>,
    last_event: Option<Instant>,
}

impl PaceWatch {
    /// Creates the watch of a request that is sent now by this plan.
    #[must_use]
    pub fn new(
        job: &Job,
        generated: u64,
        plan: &Plan<ReplicaId>,
        candidates: &[Candidate<ReplicaId>],
        now: Instant,
    ) -> Option<Self> {
        let first = candidates.iter().find(|c| c.key == plan.first)?;
        let prompt = job.prompt(generated);
        let pass_ms = job.engine.as_ref().map(|spec| {
            let tokens = first.load.kv_tokens + prompt.tokens + prompt.max_output;
            decode_pass_ms(spec, first.load.decoding.len() + 1, tokens)
        });
        let is_shared = !plan.helpers.is_empty();
        let predicted = (pass_ms.is_some() && !is_shared).then_some(plan.predicted_ms);
        Some(Self {
            replica: plan.first.clone(),
            sent_at: now,
            first_event_ms: predicted.map(|ms| ms / first.pace),
            pass_ms,
            last_event: None,
        })
    }

    fn observe(&self, shared: &Shared, observation: Observation) {
        let now = Instant::now();
        let mut state = shared.state();
        let before = state.pace.factor(&self.replica, now);
        state.pace.observe(&self.replica, observation, now);
        let pace = state.pace.factor(&self.replica, now);
        drop(state);
        let is_slow = pace > 1.0;
        if is_slow == (before > 1.0) {
            return;
        }
        if is_slow {
            shared.metrics.count("replica_slow");
        }
        log::info!(
            event = "pace",
            replica = self.replica.as_str(),
            slow = is_slow,
            pace;
            "replica became slow, or works as predicted again"
        );
    }

    /// Records that the first event has arrived.
    pub fn first_event(&mut self, shared: &Shared) {
        self.last_event = Some(Instant::now());
        if let Some(predicted_ms) = self.first_event_ms {
            let seen_ms = millis(self.sent_at.elapsed());
            self.observe(
                shared,
                Observation::Time {
                    predicted_ms,
                    seen_ms,
                },
            );
        }
    }

    /// Records what came next in the stream, and how long the gateway waited for it.
    pub fn next_item(&mut self, shared: &Shared, item: &StreamItem, waited: Duration) {
        let StreamItem::Event(event) = item else {
            return;
        };
        if event.is_blank {
            return;
        }
        let now = Instant::now();
        let Some(last) = self.last_event.replace(now) else {
            return;
        };
        let seen = now.saturating_duration_since(last);
        if waited < seen.mul_f64(MIN_WAITED_SHARE) {
            return;
        }
        if let Some(predicted_ms) = self.pass_ms {
            let seen_ms = millis(seen);
            self.observe(
                shared,
                Observation::Time {
                    predicted_ms,
                    seen_ms,
                },
            );
        }
    }

    /// Records that the whole answer of a call has arrived.
    pub fn call_answered(&self, shared: &Shared, job: &Job) {
        if self.pass_ms.is_some() {
            return;
        }
        let seen_ms = millis(self.sent_at.elapsed());
        let mut state = shared.state();
        let now = Instant::now();
        state
            .pace
            .observe_call(&job.service, &self.replica, seen_ms, now);
    }

    /// Records that the replica refused the request.
    pub fn refused(&self, shared: &Shared, status: StatusCode) {
        // With this status another replica answers, which has the address now.
        if status != StatusCode::MISDIRECTED_REQUEST {
            self.observe(shared, Observation::Refusal);
        }
    }

    /// Records the load that the replica reported in an answer with this status.
    pub fn load(&self, shared: &Shared, status: StatusCode, load: Option<ReportedLoad>) {
        if let Some(load) = load.filter(|_| status != StatusCode::MISDIRECTED_REQUEST) {
            self.observe(shared, Observation::Load(load));
        }
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
