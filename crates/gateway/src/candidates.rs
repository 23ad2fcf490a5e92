//! What a placement starts from: the replicas that may run a request, and the work
//! that it would give them.

use std::time::Duration;
use std::time::Instant;

use briarhall_policy::load_tracker::Phase;
use briarhall_policy::load_tracker::Work;
use briarhall_policy::load_tracker::tag;
use briarhall_policy::placement::Candidate;
use briarhall_policy::placement::Plan;
use briarhall_policy::rendezvous;
use briarhall_types::ReplicaId;
use briarhall_types::ReplicaRecord;

use crate::attempt::Attempts;
use crate::cold::ColdChoice;
use crate::gossip;
use crate::job::Job;
use crate::limits_in_force::LimitsInForce;
use crate::settings::Settings;
use crate::state::State;

/// Time from a change at a gateway until another one has applied its heartbeat,
/// beyond the pause between two heartbeats.
pub const HEARTBEAT_DELAY: Duration = Duration::from_millis(4);

/// Returns about how many requests other gateways have placed since the heartbeats
/// that the loads here come from, beyond the one that an engine with room bears.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small number, not negative"
)]
pub fn unseen_placements(state: &State, now: Instant) -> usize {
    let placing = state.peers.up(now).filter(|p| p.places_requests);
    let (count, per_s) = placing.fold((0, 0.0), |(count, per_s), p| {
        (count + 1, per_s + f64::from(p.requests_per_s))
    });
    let age = gossip::send_interval(count) + HEARTBEAT_DELAY;
    let unseen = (per_s * age.as_secs_f64()) as usize;
    unseen.saturating_sub(1)
}

/// Returns the work of the replica that answers.
pub fn first_work(job: &Job, generated: u64, plan: &Plan<ReplicaId>) -> Work {
    if job.engine.is_none() {
        return Work {
            phase: Phase::Call,
            ..part_work(&plan.first, plan)
        };
    }
    let prompt = job.prompt(generated);
    let tokens = prompt.tokens + prompt.max_output;
    let pause_ms = u32::try_from(job.pause_objective().as_millis()).unwrap_or(u32::MAX);
    Work {
        kv_tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        pause_ms: Some(pause_ms),
        ..part_work(&plan.first, plan)
    }
}

/// Returns the work of a replica that prefills a part of the prompt.
pub fn part_work(id: &ReplicaId, plan: &Plan<ReplicaId>) -> Work {
    Work {
        replica: tag(id.as_str()),
        phase: Phase::Prefill,
        #[expect(
            clippy::cast_possible_truncation,
            reason = "f32 is precise enough for times in milliseconds"
        )]
        prefill_ms: plan.part_ms as f32,
        kv_tokens: u32::try_from(plan.part_tokens).unwrap_or(u32::MAX),
        pause_ms: None,
        age_ms: 0,
    }
}

/// The replicas that may run a request.
#[derive(Debug)]
pub struct Candidates {
    /// What placement chooses among.
    pub replicas: Vec<Candidate<ReplicaId>>,
    /// Whether others get nothing now because they are, or may be, cold.
    pub cold_limit_held: bool,
}

/// Returns the replicas of the job's service that work for this gateway, without those in
/// evacuated zones, and without those that were tried if there are others.
pub fn candidates(
    state: &State,
    job: &Job,
    attempts: &Attempts,
    settings: &Settings,
    now: Instant,
) -> Candidates {
    let loads = state.load_tracker.loads(now);
    let limits = LimitsInForce::new(state, &settings.vm, now);
    let of_service = state.available(&job.service);
    let of_service = of_service.filter(|record| !state.pauses.is_paused(&record.id, now));
    let of_service = of_service.collect::<Vec<_>>();
    let cold = ColdChoice::new(&state.cold_replicas, &of_service, now);
    let of_service = of_service.iter().copied();
    let of_service = of_service.filter(|record| !cold.is_held(&record.id));
    let candidate = |record: &ReplicaRecord| Candidate {
        key: record.id.clone(),
        order: rendezvous::weight(job.service.as_str(), record.id.as_str()),
        slots: usize::try_from(record.slots).unwrap_or(usize::MAX),
        load: loads
            .get(&tag(record.id.as_str()))
            .cloned()
            .unwrap_or_default(),
        penalty: state.health.penalty(&record.id, now) + cold.penalty(&record.id),
        pace: state.pace.factor(&record.id, now),
        same_zone: record.zone == settings.zone,
        only_helps: limits.time_left(&record.id).is_some(),
    };
    let all = of_service.map(candidate).collect::<Vec<_>>();
    let cold_limit_held = cold.holds_any();
    let untried = all.iter().filter(|c| !attempts.tried.contains(&c.key));
    let untried = untried.cloned().collect::<Vec<_>>();
    Candidates {
        replicas: if untried.iter().all(|c| c.only_helps) {
            all
        } else {
            untried
        },
        cold_limit_held,
    }
}
