//! Requests that must not run twice.
//!
//! The idempotency key is claimed before anything is sent. Only the holder of
//! the claim sends the request, once; other requests with the key get the
//! holder's result, or an error if it is not known.

use std::time::Duration;

use briarhall_mesh::ClaimReply;
use briarhall_mesh::ClaimRequest;
use briarhall_mesh::MeshPeer;
use briarhall_mesh::ResultReply;
use briarhall_mesh::ResultRequest;
use briarhall_mesh::StoredResult;
use briarhall_policy::claims::ActiveClaim;
use briarhall_policy::claims::Claim;
use briarhall_policy::claims::ClaimId;
use briarhall_policy::claims::ClaimStatus;
use briarhall_types::Digest;
use briarhall_types::Outcome;
use briarhall_types::Problem;
use briarhall_types::RouterName;
use briarhall_types::new_id;

use super::Traffic;
use super::deadline::Deadline;
use super::request::RepeatPolicy;
use super::request::bad_request;
use crate::control::ClaimAnswer;
use crate::control::Msg;

/// Time for a claim to be decided.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for another router to write a claim.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(400);
/// `Retry-After` of a request whose key could not be claimed.
const UNDECIDED_RETRY: Duration = Duration::from_secs(2);
/// Longest wait for a result in one call to the holder.
const RESULT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit of a call for a result, beyond the wait that the call asks for.
const RESULT_CALL_MARGIN: Duration = Duration::from_millis(500);

/// Result of claiming an idempotency key.
#[derive(Debug)]
pub enum KeyClaim {
    /// The claim is granted; the request may be sent, once.
    Granted(ClaimId),
    /// Another request holds the key, and ended with this result.
    Duplicate(StoredResult),
    /// The request is refused and not run here.
    Refused(Problem),
}

enum Decision {
    Granted,
    Taken(Taken),
    Undecided,
}

struct Taken {
    id: ClaimId,
    holder: RouterName,
    same_request: bool,
}

/// Claims the idempotency key of a request.
pub async fn claim(
    traffic: &Traffic,
    customer: &str,
    call: &str,
    repeat_policy: &RepeatPolicy,
    request: Digest,
    deadline: Deadline,
) -> KeyClaim {
    let Some(key) = &repeat_policy.idempotency_key else {
        let detail = "a request that must not run twice needs an `Idempotency-Key`";
        return KeyClaim::Refused(bad_request(detail));
    };
    let parts = [customer.as_bytes(), call.as_bytes(), key.as_bytes()];
    let key = Digest::of_parts(&parts);
    let mut instead_of = None;
    loop {
        let claim = Claim {
            id: new_id(),
            key,
            request,
            holder: traffic.router.clone(),
            instead_of,
        };
        let id = claim.id;
        traffic.control.send(Msg::ClaimStarted(id)).await;
        match decide(traffic, claim, deadline).await {
            // The process may have been paused since; check the time again
            // before anything is sent.
            Decision::Granted if deadline.has_passed() => {
                let failure = Problem::not_run(503, "deadline", "the time limit has passed");
                return abandon_claim(traffic, id, failure).await;
            }
            Decision::Granted => return KeyClaim::Granted(id),
            Decision::Undecided => {
                let detail = "the platform cannot record the key now; nothing was sent";
                let failure = Problem::not_run(503, "not-recorded", detail);
                return abandon_claim(traffic, id, failure.retry_after(UNDECIDED_RETRY)).await;
            }
            Decision::Taken(taken) if !taken.same_request => {
                let detail = "the `Idempotency-Key` was used for another request; choose a new one";
                return abandon_claim(traffic, id, Problem::not_run(422, "key-reused", detail))
                    .await;
            }
            Decision::Taken(taken) => {
                let ended = wait_for_result(traffic, &taken, deadline).await;
                record_not_sent(traffic, id).await;
                match ended {
                    Some(result) if result.outcome == Outcome::NotRun => {
                        instead_of = Some(taken.id);
                    }
                    Some(result) => return KeyClaim::Duplicate(result),
                    None => return KeyClaim::Refused(may_have_run_before()),
                }
            }
        }
    }
}

/// Gives up a claim. This router then never sends the request under it, even if
/// the claim is granted later.
async fn abandon_claim(traffic: &Traffic, claim: ClaimId, failure: Problem) -> KeyClaim {
    record_not_sent(traffic, claim).await;
    KeyClaim::Refused(failure)
}

async fn record_not_sent(traffic: &Traffic, claim: ClaimId) {
    let not_run = Problem::not_run(503, "not-sent", "the request was not sent");
    let ended = Msg::ClaimEnded(claim, failed_result(&not_run));
    traffic.control.send(ended).await;
}

async fn decide(traffic: &Traffic, claim: Claim, deadline: Deadline) -> Decision {
    let key = claim.key;
    let writer = traffic
        .control
        .ask(|reply| Msg::ClaimWriter(key, reply))
        .await;
    if let Some(address) = writer {
        let req = ClaimRequest {
            claim: claim.clone(),
            limit_ms: u64::try_from(FORWARD_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
        };
        let call = |peer: MeshPeer| async move { peer.claim(req, FORWARD_TIMEOUT).await };
        match traffic.peers.call(address, call).await {
            Ok(ClaimReply::Granted) => return Decision::Granted,
            Ok(ClaimReply::Taken {
                id,
                holder,
                same_request,
            }) => {
                return Decision::Taken(Taken {
                    id,
                    holder,
                    same_request,
                });
            }
            // The claim may have been written; it can be submitted again,
            // because the chain recognises its id.
            Ok(ClaimReply::Undecided) | Err(_) => {}
        }
    }
    decide_locally(traffic, claim, deadline).await
}

async fn decide_locally(traffic: &Traffic, claim: Claim, deadline: Deadline) -> Decision {
    let until = std::time::Instant::now() + deadline.left_up_to(CLAIM_TIMEOUT);
    let request = claim.request;
    let answer = traffic
        .control
        .ask(|reply| Msg::Claim(claim, until, reply))
        .await;
    match answer {
        ClaimAnswer::Decided(ClaimStatus::Granted) => Decision::Granted,
        ClaimAnswer::Decided(ClaimStatus::Taken(active)) => Decision::Taken(taken(active, request)),
        ClaimAnswer::Decided(ClaimStatus::Void) | ClaimAnswer::Undecided => Decision::Undecided,
    }
}

fn taken(active: ActiveClaim, request: Digest) -> Taken {
    Taken {
        id: active.id,
        holder: active.holder,
        same_request: active.request == request,
    }
}

/// Asks the holder of a claim how its request ended, until the deadline.
async fn wait_for_result(
    traffic: &Traffic,
    taken: &Taken,
    deadline: Deadline,
) -> Option<StoredResult> {
    while !deadline.has_passed() {
        let wait = deadline.left_up_to(RESULT_TIMEOUT);
        let reply = if taken.holder == traffic.router {
            local_result(traffic, taken.id, wait).await
        } else {
            remote_result(traffic, taken, wait).await
        };
        match reply {
            ResultReply::Ended(result) => return Some(result),
            ResultReply::Running => {}
            ResultReply::Unknown => return None,
        }
    }
    None
}

/// Waits for the result of a claim that this router holds.
pub async fn local_result(traffic: &Traffic, claim: ClaimId, wait: Duration) -> ResultReply {
    let ask = traffic.control.ask(|reply| Msg::ClaimResult(claim, reply));
    match briarhall_net::timeout(wait, ask).await {
        Ok(Some(result)) => ResultReply::Ended(result),
        Ok(None) => ResultReply::Unknown,
        Err(_elapsed) => ResultReply::Running,
    }
}

async fn remote_result(traffic: &Traffic, taken: &Taken, wait: Duration) -> ResultReply {
    let holder = taken.holder.clone();
    let address = traffic
        .control
        .ask(|reply| Msg::MeshAddress(holder, reply))
        .await;
    let Some(address) = address else {
        return ResultReply::Unknown;
    };
    let req = ResultRequest {
        claim: taken.id,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
    };
    let limit = wait + RESULT_CALL_MARGIN;
    let call = |peer: MeshPeer| async move { peer.result(req, limit).await };
    let reply = traffic.peers.call(address, call).await;
    reply.unwrap_or(ResultReply::Unknown)
}

/// Returns the result of a request that was answered.
pub fn answered_result() -> StoredResult {
    StoredResult {
        outcome: Outcome::Answered,
        status: 200,
        content_type: None,
        body: None,
    }
}

/// Returns the result of a request that failed.
pub fn failed_result(failure: &Problem) -> StoredResult {
    StoredResult {
        outcome: failure.outcome,
        status: failure.status,
        content_type: Some(Problem::MEDIA_TYPE.to_owned()),
        body: serde_json::to_string(failure).ok(),
    }
}

/// Returns the problem of a request whose caller disconnected.
pub fn caller_gone(may_have_run: bool) -> Problem {
    let detail = "the caller went away";
    if may_have_run {
        Problem::unknown(499, "caller-gone", detail)
    } else {
        Problem::not_run(499, "caller-gone", detail)
    }
}

/// Returns the problem for a caller whose key belongs to a request that has run
/// and whose answer was not kept.
pub fn duplicate_problem(result: &StoredResult) -> Problem {
    match result.outcome {
        Outcome::Answered => {
            let detail = "the request with this `Idempotency-Key` was answered before";
            Problem::unknown(409, "answered-before", detail)
        }
        Outcome::NotRun | Outcome::Unknown => may_have_run_before(),
    }
}

fn may_have_run_before() -> Problem {
    let detail = "a request with this `Idempotency-Key` was accepted before and may have run";
    Problem::unknown(409, "may-have-run", detail)
}
