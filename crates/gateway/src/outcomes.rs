//! Records what sends to replicas have shown, in the control state, the log and the
//! counters.

use std::time::Instant;

use briarhall_net::ReadWithinError;
use briarhall_policy::crashes::BrokenSend;
use briarhall_policy::departures::HeardBy;
use briarhall_policy::departures::ReplicaProcess;
use briarhall_policy::health::SendOutcome;
use briarhall_policy::load_tracker::tag;
use briarhall_types::ReplicaId;
use hyper::StatusCode;

use crate::job::Job;
use crate::state::Shared;
use crate::wire::ReplicaNotice;

/// Why a whole answer could not be read.
#[derive(Debug, Clone, Copy)]
pub enum UnreadAnswer<'a> {
    /// It broke off, or is too long.
    Broken(&'a ReadWithinError),
    /// It did not end in time.
    Silent,
}

/// Records what a process of a replica said about itself in an answer with this
/// status.
pub fn record_notice(
    shared: &Shared,
    process: &ReplicaProcess,
    status: StatusCode,
    notice: ReplicaNotice,
) {
    // With this status another replica answers, which has the address now.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if let Some(pause) = notice.pause {
        let left = shared
            .state()
            .pauses
            .ask(&process.id, pause, Instant::now());
        shared.metrics.count("replica_pause");
        log::info!(
            event = "pause",
            replica = process.id.as_str(),
            asked_ms = pause.as_millis(),
            pause_ms = left.as_millis();
            "replica wants no requests for a time"
        );
    }
    if let Some(left) = notice.cold_left {
        let process = (&process.id, process.started_unix_ms);
        let mut state = shared.state();
        let cold = &mut state.cold_replicas;
        let is_news = cold.observe_answer(process.0, process.1, left, Instant::now());
        drop(state);
        if is_news {
            shared.request_heartbeat();
        }
    }
    if notice.leaving {
        record_leaving(shared, process);
    }
}

/// Records the limit that an answer to a request names; one without lifts it.
pub fn record_limit(
    shared: &Shared,
    process: &ReplicaProcess,
    status: StatusCode,
    per_s: Option<f64>,
) {
    // With this status another replica answers, which has the address now.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let replica = tag(process.id.as_str());
    let now = Instant::now();
    if !shared.state().replica_limits.observe(replica, per_s, now) {
        return;
    }
    shared.request_heartbeat();
    shared.metrics.count("replica_limit_changed");
    log::info!(
        event = "limit",
        replica = process.id.as_str(),
        per_s;
        "replica names, changes or lifts its limit on requests from all gateways"
    );
}

fn record_leaving(shared: &Shared, process: &ReplicaProcess) {
    let mut state = shared.state();
    let heard_by = HeardBy::ThisGateway;
    let Some(event) = state.replicas.record_leaving(process, heard_by) else {
        return;
    };
    state.record_replica_events(&[event], "answer");
    drop(state);
    shared.metrics.count("replica_leaving");
    shared.request_heartbeat();
}

/// Records the outcome of a send to a replica.
pub fn record_outcome(shared: &Shared, id: &ReplicaId, outcome: SendOutcome) {
    shared.metrics.count(outcome.metric());
    shared.state().health.record(id, outcome, Instant::now());
}

/// Records that a send failed for which the replica or this gateway's links may be at
/// fault.
pub fn record_failure(shared: &Shared, id: &ReplicaId, outcome: SendOutcome) {
    record_outcome(shared, id, outcome);
    shared.state().reach.doubt(Instant::now());
    shared.request_replica_check(id, outcome);
}

/// Where a request was sent.
#[derive(Debug, Clone, Copy)]
pub struct SentTo<'a> {
    /// The replica, or the gateway that sends it on.
    pub id: &'a ReplicaId,
    /// When.
    pub at: Instant,
    /// Whether it is a gateway.
    pub by_detour: bool,
}

/// How far a replica got with the answer that it is writing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// Nothing, or so little that it may have crashed as it began.
    Nothing,
    /// Enough to show that it could begin.
    Some,
}

impl Written {
    /// Events of a stream that show that a replica could begin: it may crash while it
    /// writes the first.
    const EVENTS: u64 = 2;

    /// Returns how far a replica got that has sent so many events.
    #[must_use]
    pub fn events(events: u64) -> Self {
        if events < Self::EVENTS {
            Self::Nothing
        } else {
            Self::Some
        }
    }
}

/// Records the outcome of a request that a replica may have begun to run, also
/// as evidence of whether the request, or a part of its prompt, crashes replicas.
pub fn record_run(
    shared: &Shared,
    job: &Job,
    sent_to: SentTo<'_>,
    outcome: SendOutcome,
    written: Written,
) {
    let now = Instant::now();
    let SentTo { id, at, by_detour } = sent_to;
    if by_detour {
        // The other gateway records what its replicas show.
        shared.state().peer_health.record(id, outcome, now);
        return;
    }
    match outcome {
        SendOutcome::Broken | SendOutcome::Silent => record_failure(shared, id, outcome),
        _ => record_outcome(shared, id, outcome),
    }
    match outcome {
        SendOutcome::Broken => {
            let parts = match written {
                Written::Nothing => job.part_digests(),
                Written::Some => Vec::new(),
            };
            shared.state().crashes.connection_broken(BrokenSend {
                fingerprint: job.fingerprint(),
                parts,
                replica: id.clone(),
                sent_at: at,
                broke_at: now,
            });
        }
        SendOutcome::Answered | SendOutcome::Failed => {
            if !shared.state().crashes.is_empty() {
                let fingerprint = job.fingerprint();
                shared.state().crashes.answered(fingerprint, now);
            }
            record_written(shared, job);
        }
        SendOutcome::Refused | SendOutcome::Silent | SendOutcome::Unreachable => {}
    }
}

/// Records that a replica could begin an answer, so that no part of the prompt crashes
/// replicas.
pub fn record_written(shared: &Shared, job: &Job) {
    if shared.state().crashing_parts.is_empty() {
        return;
    }
    let parts = job.part_digests();
    shared.state().crashing_parts.wrote(&parts, Instant::now());
}

/// Records that the whole answer of a replica, which is no stream, could not be read.
pub fn record_unread_answer(
    shared: &Shared,
    job: &Job,
    sent_to: SentTo<'_>,
    why: UnreadAnswer<'_>,
) {
    let error = match why {
        // The replica is not at fault.
        UnreadAnswer::Broken(e @ ReadWithinError::NoMemory { .. }) => {
            shared.metrics.count("answer_no_memory");
            e.to_string()
        }
        UnreadAnswer::Broken(e) => {
            record_run(shared, job, sent_to, SendOutcome::Broken, Written::Nothing);
            e.to_string()
        }
        UnreadAnswer::Silent => {
            record_run(shared, job, sent_to, SendOutcome::Silent, Written::Nothing);
            "it did not end in time".to_owned()
        }
    };
    log::info!(
        event = "answer_broken",
        request = job.head.id.as_str(),
        replica = sent_to.id.as_str(),
        error = error.as_str();
        "cannot read the complete answer"
    );
}
