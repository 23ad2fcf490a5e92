//! Requests that go to a replica by way of another gateway, as this one reaches none.
//!
//! The other gateway gets the request as its client sent it, and places it as its own.
//! Whatever it answers without a replica says whether the request has run.

use std::time::Duration;
use std::time::Instant;

use briarhall_net::Body;
use briarhall_net::Exchange;
use briarhall_net::FailurePoint;
use briarhall_policy::detours;
use briarhall_policy::health::SendOutcome;
use briarhall_policy::reach::RECHECK_INTERVAL;
use briarhall_types::ReplicaRecord;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::http::response;

use crate::attempt::Attempts;
use crate::attempt::CONNECT_TIMEOUT;
use crate::attempt::Dispatcher;
use crate::attempt::SendResult;
use crate::attempt::elapsed_ms;
use crate::attempt::log_failed_send;
use crate::attempt::record_unsendable;
use crate::guards::WorkGuard;
use crate::job::Job;
use crate::patience::Patience;
use crate::place::Placement;
use crate::request_error::DEFAULT_RETRY_AFTER;
use crate::request_error::RequestError;
use crate::wire::UnsendableHeader;
use crate::wire::Wire;

/// Header of a request that another gateway sends on, with the number of replicas that
/// may run it, and of an answer that is that gateway's own.
pub const DETOUR: HeaderName = HeaderName::from_static("briarhall-detour");
/// Status of a gateway that cannot send on a request: it has not run.
pub const CANNOT_SEND_ON: StatusCode = StatusCode::MISDIRECTED_REQUEST;

/// Another gateway that sends on a request.
#[derive(Debug, Clone, Copy)]
pub struct Detour {
    /// Replicas that may run the request there.
    pub max_attempts: u32,
}

impl<W> Dispatcher<W>
where
    W: Wire,
{
    /// Chooses a gateway that sends on the request, if this one reaches no replica, or
    /// may not, as the last send of the request failed for an unknown cause.
    ///
    /// # Errors
    ///
    /// Returns the error for the client when no other gateway reaches any either, or
    /// when the request has taken a detour already.
    pub fn place_detour(
        &self,
        job: &Job,
        attempts: &Attempts,
    ) -> Result<Option<Placement<W>>, RequestError> {
        let now = Instant::now();
        let state = self.shared.state();
        let is_cut_off = state.reach.is_cut_off();
        let may_be = attempts.refused > 0 && !job.is_detoured && state.reach.is_doubtful(now);
        if !is_cut_off && !may_be {
            return Ok(None);
        }
        let refusal = || match attempts.final_error() {
            RequestError::NotRun { .. } => RequestError::CutOff {
                retry_after: RECHECK_INTERVAL,
            },
            other => other,
        };
        if job.is_detoured {
            return Err(refusal());
        }
        let tried = |vm: &str| attempts.tried.iter().any(|id| id == vm);
        let peer = detours::choose(
            state.peers.serving(now),
            state.held_configuration(),
            |p| tried(&p.vm),
            |p| state.peer_health.penalty(&p.vm, now),
            &mut rand::rng(),
        );
        let peer = peer.cloned();
        drop(state);
        let Some(peer) = peer else {
            return if is_cut_off { Err(refusal()) } else { Ok(None) };
        };
        self.shared.metrics.count("request_detoured");
        log::info!(
            event = "detour",
            request = job.head.id.as_str(),
            peer = peer.vm.as_str(),
            waited_ms = elapsed_ms(job.arrived);
            "this gateway reaches no replica; another one sends the request on"
        );
        Ok(Some(Placement {
            replica: ReplicaRecord {
                id: peer.vm,
                service: job.service.clone(),
                address: peer.relay_address,
                zone: peer.zone,
                slots: 0,
                draining: false,
                warm_up_remaining: Duration::ZERO,
                started_unix_ms: None,
            },
            helpers: Vec::new(),
            predicted_ms: 0.0,
            placed_at: now,
            work_guard: WorkGuard::of_others(&self.shared),
            detour: Some(Detour {
                max_attempts: job.max_attempts.saturating_sub(attempts.may_have_run),
            }),
            tokens_per_helper: 0,
            reservation: None,
            pace_watch: None,
        }))
    }

    /// Sends the job to the gateway that was chosen, and waits for the head of the answer.
    pub async fn send_by_detour(
        &self,
        job: &Job,
        placement: &Placement<W>,
        detour: Detour,
        resume_after: Option<&str>,
        patience: Patience<'_>,
        attempts: &mut Attempts,
    ) -> SendResult {
        let peer = &placement.replica.id;
        let req = match self.detour_request(job, detour, resume_after) {
            Ok(req) => req,
            Err(e) => return record_unsendable(job, peer, e, attempts),
        };
        let exchange = self.client.start(
            placement.replica.address,
            req,
            CONNECT_TIMEOUT,
            job.reading(),
        );
        let exchange = match patience.wait(exchange).await {
            Ok(Ok(exchange)) => exchange,
            Ok(Err(e)) if e.failure_point() == FailurePoint::BeforeSend => {
                self.record_peer(job, placement, SendOutcome::Unreachable, 0);
                attempts.refused += 1;
                return SendResult::NotRun;
            }
            failed => {
                let outcome = match failed {
                    Ok(Err(_broken)) => SendOutcome::Broken,
                    _ => SendOutcome::Silent,
                };
                self.record_peer(job, placement, outcome, 0);
                // It may have sent the request to as many replicas.
                attempts.may_have_run += detour.max_attempts.max(1);
                attempts.reached += 1;
                return SendResult::MayHaveRun;
            }
        };
        let Exchange { reply, connection } = exchange;
        let (parts, body) = reply.into_parts();
        let head = self.wire.reply_head(&parts);
        if parts.headers.contains_key(DETOUR) {
            return self.record_peer_answer(job, placement, &parts, attempts);
        }
        attempts.may_have_run += 1;
        attempts.reached += 1;
        if head
            .request_id
            .as_ref()
            .is_some_and(|id| *id != job.head.id)
        {
            self.record_peer(job, placement, SendOutcome::Broken, 0);
            return SendResult::MayHaveRun;
        }
        self.shared
            .state()
            .peer_health
            .record(peer, SendOutcome::Answered, Instant::now());
        let exchange = Exchange {
            reply: Response::from_parts(parts, body),
            connection,
        };
        SendResult::Answer(Box::new(exchange), head)
    }

    /// Records an answer of the other gateway itself.
    fn record_peer_answer(
        &self,
        job: &Job,
        placement: &Placement<W>,
        parts: &response::Parts,
        attempts: &mut Attempts,
    ) -> SendResult {
        let given_up = match parts.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Some(RequestError::NotRun {
                    retry_after: retry_after(&parts.headers).unwrap_or(DEFAULT_RETRY_AFTER),
                })
            }
            StatusCode::GATEWAY_TIMEOUT => Some(RequestError::DeadlineExceeded),
            StatusCode::BAD_GATEWAY => Some(RequestError::AnswerLost),
            // It cannot send it on, or its configuration is another one.
            _ => None,
        };
        match given_up {
            Some(RequestError::NotRun { retry_after }) if attempts.may_have_run > 0 => {
                let e = attempts.final_error().with_retry_after(retry_after);
                SendResult::GivenUp(e)
            }
            Some(e) => SendResult::GivenUp(e),
            None => {
                let status = u128::from(parts.status.as_u16());
                self.record_peer(job, placement, SendOutcome::Refused, status);
                attempts.refused += 1;
                SendResult::NotRun
            }
        }
    }

    fn record_peer(&self, job: &Job, placement: &Placement<W>, outcome: SendOutcome, detail: u128) {
        let peer = &placement.replica.id;
        let mut state = self.shared.state();
        state.peer_health.record(peer, outcome, Instant::now());
        drop(state);
        self.shared.metrics.count("detour_failed");
        log_failed_send(job, peer, outcome.metric(), detail);
    }

    fn detour_request(
        &self,
        job: &Job,
        detour: Detour,
        resume_after: Option<&str>,
    ) -> Result<Request<Body>, UnsendableHeader> {
        let body = if job.body.is_empty() {
            Body::empty()
        } else {
            Body::full(job.body.clone())
        };
        let mut req = Request::new(body);
        *req.method_mut() = job.method.clone();
        *req.uri_mut() = job.uri.clone();
        let deadline = job.time_left();
        let mut headers = self
            .wire
            .detour_headers(&job.headers, deadline, resume_after)?;
        headers.insert(DETOUR, HeaderValue::from(detour.max_attempts));
        *req.headers_mut() = headers;
        Ok(req)
    }
}

/// Marks an answer as this gateway's own, of a request that another one asked it to send
/// on.
pub fn mark_own(mut reply: Response<Body>) -> Response<Body> {
    reply
        .headers_mut()
        .insert(DETOUR, HeaderValue::from_static("own"));
    reply
}

/// Returns the number of replicas that may run a request which another gateway sends, if
/// it is one.
pub fn max_attempts(headers: &HeaderMap) -> Option<u32> {
    headers.get(DETOUR)?.to_str().ok()?.parse().ok()
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
