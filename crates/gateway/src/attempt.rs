//! Sends a request to a replica once, and classifies the result.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use briarhall_net::Body;
use briarhall_net::Exchange;
use briarhall_net::Executor;
use briarhall_net::FailurePoint;
use briarhall_net::HttpClient;
use briarhall_net::HttpError;
use briarhall_net::is_merged_head;
use briarhall_policy::departures::ReplicaProcess;
use briarhall_policy::engine;
use briarhall_policy::health::SendOutcome;
use briarhall_types::ReplicaId;
use hyper::Request;
use hyper::StatusCode;
use hyper::http::response;

use crate::job::Job;
use crate::outcomes::Written;
use crate::outcomes::record_failure;
use crate::outcomes::record_limit;
use crate::outcomes::record_notice;
use crate::outcomes::record_outcome;
use crate::outcomes::record_run;
use crate::patience::Patience;
use crate::patience::Silent;
use crate::pause_guard::PauseGuard;
use crate::place::Placement;
use crate::reach_check::await_head;
use crate::reach_check::record_answered;
use crate::request_error::DEFAULT_RETRY_AFTER;
use crate::request_error::RequestError;
use crate::state::Shared;
use crate::wire::FailedReplica;
use crate::wire::ForwardedRequest;
use crate::wire::ReplyHead;
use crate::wire::UnsendableHeader;
use crate::wire::Wire;

/// Time limit for opening a connection: a hundred times what one between
/// availability zones takes, and less than the time until a SYN is
/// retransmitted.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of sends that did not run after which the client gets an error.
const MAX_REFUSALS: u32 = 4;

/// Sends of one client request so far.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Sends that may have run.
    pub may_have_run: u32,
    /// Sends that did not run: refused by the replica, or failed before the
    /// request was sent.
    pub refused: u32,
    /// Sends that reached a replica, whatever came of them.
    pub reached: u32,
    /// Replicas that were tried; others are preferred.
    pub tried: Vec<ReplicaId>,
}

impl Attempts {
    /// Records that the job is sent to a replica now.
    fn begin(&mut self, job: &Job, id: &ReplicaId) {
        self.tried.push(id.clone());
        job.in_flight.sent(id);
    }

    /// Returns whether the job may be sent once more after a send that may have
    /// run or, if `may_have_run` is false, did not run.
    #[must_use]
    pub fn allow_another(&self, job: &Job, may_have_run: bool) -> bool {
        let allowed = self.may_have_run < job.max_attempts;
        let safe = !may_have_run || job.is_retryable();
        allowed && safe && self.refused < MAX_REFUSALS && !job.time_left().is_zero()
    }

    /// Returns whether the next send draws on the retry budget: a replica may have seen
    /// an earlier one.
    #[must_use]
    pub fn is_retry(&self) -> bool {
        self.reached > 0
    }

    /// Returns the error for the client when nothing more can be sent.
    #[must_use]
    pub fn final_error(&self) -> RequestError {
        if self.may_have_run > 0 {
            RequestError::AnswerLost
        } else {
            RequestError::NotRun {
                retry_after: DEFAULT_RETRY_AFTER,
            }
        }
    }
}

/// Result of a send.
#[derive(Debug)]
pub enum SendResult {
    /// The head of the replica's answer arrived.
    Answer(Box<Exchange>, ReplyHead),
    /// The request has not run and will not.
    NotRun,
    /// The request may have run, and its answer is lost.
    MayHaveRun,
    /// Another gateway, asked for a detour, gave up on the request.
    GivenUp(RequestError),
}

/// Chooses replicas for jobs and sends the jobs to them.
#[derive(Debug, Clone)]
pub struct Dispatcher<W> {
    /// Reads and writes heads.
    pub wire: W,
    /// Opens connections.
    pub client: HttpClient,
    /// Runs tasks that outlive a request.
    pub executor: Executor,
    /// Control state.
    pub shared: Arc<Shared>,
    /// Notices pauses of the process.
    pub pause_guard: PauseGuard,
}

impl<W> Dispatcher<W>
where
    W: Wire,
{
    /// Sends the job to the chosen replica and waits for the head of the
    /// answer.
    pub async fn send(
        &self,
        job: &Job,
        placement: &Placement<W>,
        resume_after: Option<&str>,
        patience: Patience<'_>,
        attempts: &mut Attempts,
    ) -> SendResult {
        let id = &placement.replica.id;
        if self.is_evacuated(job, placement) {
            return SendResult::NotRun;
        }
        if self.pause_guard.has_paused_since(placement.placed_at) {
            // Its replicas may drain by now, and memory reserved for it may be lost.
            attempts.refused += 1;
            log_failed_send(job, id, "paused", 0);
            return SendResult::NotRun;
        }
        attempts.begin(job, id);
        if let Some(detour) = placement.detour {
            let sent =
                self.send_by_detour(job, placement, detour, resume_after, patience, attempts);
            return sent.await;
        }
        let opened_at = Instant::now();
        let req = match self.request(job, placement, resume_after) {
            Ok(req) => req,
            Err(e) => return record_unsendable(job, id, e, attempts),
        };
        let address = placement.replica.address;
        let exchange = self
            .client
            .start(address, req, CONNECT_TIMEOUT, job.reading());
        let predicted = engine::predicted_time(placement.predicted_ms);
        let exchange = await_head(&self.shared, opened_at, predicted, exchange);
        let limit = patience.limit();
        let exchange = match patience.wait(exchange).await {
            Ok(Ok(exchange)) => exchange,
            Ok(Err(e)) => return self.record_failure(job, placement, &e, attempts),
            Err(Silent) => {
                record_failure(&self.shared, id, SendOutcome::Silent);
                attempts.may_have_run += 1;
                attempts.reached += 1;
                log_failed_send(job, id, "silent", limit.as_millis());
                return SendResult::MayHaveRun;
            }
        };
        attempts.reached += 1;
        record_answered(&self.shared, opened_at);
        let (parts, body) = exchange.reply.into_parts();
        if let Some(why) = not_an_answer(&parts) {
            record_outcome(&self.shared, id, SendOutcome::Broken);
            attempts.may_have_run += 1;
            log_failed_send(job, id, why, u128::from(parts.status.as_u16()));
            return SendResult::MayHaveRun;
        }
        let head = self.wire.reply_head(&parts);
        let process = ReplicaProcess {
            id: id.clone(),
            started_unix_ms: placement.replica.started_unix_ms,
        };
        record_notice(&self.shared, &process, parts.status, head.notice);
        record_limit(
            &self.shared,
            &process,
            parts.status,
            head.notice.limit_per_s,
        );
        if let Some(watch) = &placement.pace_watch {
            watch.load(&self.shared, parts.status, head.notice.load);
        }
        let exchange = Exchange {
            reply: hyper::Response::from_parts(parts, body),
            connection: exchange.connection,
        };
        let status = exchange.reply.status();
        let is_refusal = head.not_run || status == StatusCode::MISDIRECTED_REQUEST;
        let misdelivered = match &head.request_id {
            Some(answered) => (*answered != job.head.id).then_some("answer_to_another"),
            // It may be a late copy of any answer.
            None => (is_refusal || status.is_success()).then_some("answer_to_none"),
        };
        if let Some(misdelivered) = misdelivered {
            // The replica answered another request, so it is alive and this is
            // not evidence of a crash.
            record_outcome(&self.shared, id, SendOutcome::Broken);
            attempts.may_have_run += 1;
            log_failed_send(job, id, misdelivered, u128::from(status.as_u16()));
            return SendResult::MayHaveRun;
        }
        if is_refusal {
            return self.record_refusal(job, placement, status, &head, attempts);
        }
        attempts.may_have_run += 1;
        if status.is_success() && (!head.signed || head.content_encoded) {
            record_outcome(&self.shared, id, SendOutcome::Broken);
            log_failed_send(job, id, "not_the_replicas", u128::from(status.as_u16()));
            return SendResult::MayHaveRun;
        }
        SendResult::Answer(Box::new(exchange), head)
    }

    /// Records that the replica refused the request, as itself or as another one that it
    /// names has failed.
    fn record_refusal(
        &self,
        job: &Job,
        placement: &Placement<W>,
        status: StatusCode,
        head: &ReplyHead,
        attempts: &mut Attempts,
    ) -> SendResult {
        let id = &placement.replica.id;
        let failed = head.failed_replica.as_ref();
        let failed = failed.and_then(|failed| self.replica_id(failed));
        let at_fault = match failed {
            Some(other) if other != *id => {
                record_outcome(&self.shared, &other, SendOutcome::Unreachable);
                self.shared.state().record_crash(&other, "unreachable");
                other
            }
            _ => {
                record_outcome(&self.shared, id, SendOutcome::Refused);
                if let Some(watch) = &placement.pace_watch {
                    watch.refused(&self.shared, status);
                }
                id.clone()
            }
        };
        attempts.refused += 1;
        log_failed_send(job, &at_fault, "refused", u128::from(status.as_u16()));
        SendResult::NotRun
    }

    /// Returns the id of a replica that another one names, unless its address is
    /// no longer in the registry.
    fn replica_id(&self, failed: &FailedReplica) -> Option<ReplicaId> {
        match failed {
            FailedReplica::Id(id) => Some(id.clone()),
            FailedReplica::At(address) => {
                let state = self.shared.state();
                let record = state.replicas.at_address(*address);
                record.map(|record| record.id.clone())
            }
        }
    }

    fn record_failure(
        &self,
        job: &Job,
        placement: &Placement<W>,
        e: &HttpError,
        attempts: &mut Attempts,
    ) -> SendResult {
        let id = &placement.replica.id;
        let address = placement.replica.address;
        let before_send = e.failure_point() == FailurePoint::BeforeSend;
        if before_send {
            record_failure(&self.shared, id, SendOutcome::Unreachable);
        } else {
            record_run(
                &self.shared,
                job,
                placement.sent_to(),
                SendOutcome::Broken,
                Written::Nothing,
            );
        }
        log::info!(
            event = "send_failed",
            request = job.head.id.as_str(),
            replica = id.as_str(),
            address = address.to_string().as_str(),
            error = e.to_string().as_str(),
            after_ms = elapsed_ms(job.arrived);
            "send failed"
        );
        if before_send {
            attempts.refused += 1;
            SendResult::NotRun
        } else {
            attempts.may_have_run += 1;
            attempts.reached += 1;
            SendResult::MayHaveRun
        }
    }

    fn request(
        &self,
        job: &Job,
        placement: &Placement<W>,
        resume_after: Option<&str>,
    ) -> Result<Request<Body>, UnsendableHeader> {
        let forwarded = ForwardedRequest {
            deadline: job.head.deadline.map(|_| job.time_left()),
            replica: &placement.replica.id,
            organisation: job.organisation.as_ref().map(|o| o.name.as_str()),
            resume_after,
            helpers: &placement.helpers,
        };
        let body = if job.body.is_empty() {
            Body::empty()
        } else {
            Body::full(job.body.clone())
        };
        let mut req = Request::new(body);
        *req.method_mut() = job.method.clone();
        *req.uri_mut() = job.uri.clone();
        *req.headers_mut() = self.wire.forwarded_headers(&job.headers, &forwarded)?;
        Ok(req)
    }
}

/// Returns why a head is not that of one answer, if it is not.
fn not_an_answer(parts: &response::Parts) -> Option<&'static str> {
    if is_merged_head(parts) {
        Some("merged_head")
    } else if parts.status.is_informational() {
        // Passed on, it would end HTTP on the client's connection too.
        Some("protocol_switched")
    } else {
        None
    }
}

/// Records a request that was not sent, since one of its headers could not be.
pub fn record_unsendable(
    job: &Job,
    to: &str,
    e: UnsendableHeader,
    attempts: &mut Attempts,
) -> SendResult {
    attempts.refused += 1;
    log::warn!(
        event = "header_unsendable",
        request = job.head.id.as_str(),
        to,
        name = e.0;
        "not sending a request: {e}"
    );
    SendResult::NotRun
}

pub fn log_failed_send(job: &Job, id: &ReplicaId, outcome: &str, detail: u128) {
    log::info!(
        event = "send_failed",
        request = job.head.id.as_str(),
        replica = id.as_str(),
        outcome,
        detail,
        after_ms = elapsed_ms(job.arrived);
        "send failed"
    );
}

/// Returns whole milliseconds since `since`, for logs.
pub fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
