//! Handles calls to plain services.

use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_endpoint::ServiceReply;
use briarhall_endpoint::ServiceRequest;
use briarhall_mesh::StoredResult;
use briarhall_net::Body;
use briarhall_net::FailurePoint;
use briarhall_net::HttpError;
use briarhall_net::problem;
use briarhall_policy::fleet::EndpointKey;
use briarhall_policy::fleet::Requirements;
use briarhall_types::Digest;
use briarhall_types::Outcome;
use briarhall_types::Problem;
use briarhall_types::new_id;
use compact_str::CompactString;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;

use super::Traffic;
use super::deadline::Deadline;
use super::idempotency;
use super::idempotency::KeyClaim;
use super::request;
use super::request::RepeatPolicy;
use super::response::with_outcome;
use crate::control::AdmitCall;
use crate::control::Admitted;
use crate::control::AttemptEnd;
use crate::control::CallName;
use crate::control::Msg;
use crate::control::RouteCall;
use crate::control::RouteError;
use crate::control::Routed;

/// Time limit of one attempt of a repeatable call, after which another endpoint
/// is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// `Retry-After` of a call that ran out of time.
const DEADLINE_RETRY: Duration = Duration::from_secs(1);
/// Largest reply kept for callers that send the same idempotency key again.
const MAX_KEPT_BYTES: usize = 64 * 1024;

#[derive(Debug)]
struct ServiceJob {
    service: CompactString,
    req: ServiceRequest,
    admitted: Admitted,
    deadline: Deadline,
    exclude: Vec<EndpointKey>,
    may_have_run: bool,
}

impl Traffic {
    pub(super) async fn service(&self, req: Request<Incoming>) -> Response<Body> {
        let arrived = Instant::now();
        match self.begin_service(req, arrived).await {
            Ok(reply) => reply,
            Err(e) => problem(&e),
        }
    }

    async fn begin_service(
        &self,
        req: Request<Incoming>,
        arrived: Instant,
    ) -> Result<Response<Body>, Problem> {
        let key = request::key(req.headers())?;
        let repeat_policy = request::repeat_policy(req.headers())?;
        let (service, path) = service_path(&req)?;
        let method = req.method().clone();
        let content_type = req.headers().get(CONTENT_TYPE);
        let content_type = content_type
            .and_then(|v| v.to_str().ok())
            .map(str::to_owned);
        let (body, hold) = request::body(req).await?;
        let content = Digest::of_parts(&[
            method.as_str().as_bytes(),
            service.as_bytes(),
            path.as_bytes(),
            &body,
        ]);
        let call = AdmitCall {
            key,
            call: CallName::Service(service.clone()),
            tokens: 0,
            max_tokens: 0,
            content,
        };
        let admitted = self.control.ask(|reply| Msg::Admit(call, reply)).await?;
        let job = ServiceJob {
            service,
            req: ServiceRequest {
                method,
                path,
                content_type,
                idempotency_key: repeat_policy.idempotency_key.clone(),
                attempt: new_id().to_string(),
                body,
            },
            deadline: Deadline::after(arrived, admitted.time_limit),
            admitted,
            exclude: Vec::new(),
            may_have_run: false,
        };
        // The call continues when its caller disconnects: it may have taken
        // effect, and a caller that sends the key again needs its result.
        let traffic = self.clone();
        let (tx, rx) = async_channel::bounded(1);
        let run = async move {
            let reply = Box::pin(traffic.finish_service(job, repeat_policy, content, arrived));
            let _gone = tx.try_send(reply.await);
            drop(hold);
        };
        self.executor.detach(run);
        let no_answer = || Problem::unknown(500, "internal", "the request ended without an answer");
        rx.recv().await.map_err(|_closed| no_answer())
    }

    async fn finish_service(
        &self,
        job: ServiceJob,
        repeat_policy: RepeatPolicy,
        content: Digest,
        arrived: Instant,
    ) -> Response<Body> {
        let request_key = job.admitted.request_key;
        let customer = job.admitted.customer.clone();
        let service = job.service.clone();
        let result = if job.admitted.repeatable && !repeat_policy.forbidden {
            self.call_repeatable(job).await
        } else {
            self.call_at_most_once(job, &repeat_policy, content).await
        };
        self.control.send(Msg::RequestEnded(request_key)).await;
        self.metrics.time("service", arrived.elapsed());
        let outcome = match &result {
            Ok(_) => Outcome::Answered,
            Err(failure) => failure.outcome,
        };
        self.metrics.count(outcome.as_str());
        log::info!(customer = customer.as_str(), service = service.as_str(), outcome = outcome.as_str(); "service call ended");
        match result {
            Ok(reply) => to_response(reply),
            Err(failure) => problem(&failure),
        }
    }

    async fn call_repeatable(&self, mut job: ServiceJob) -> Result<ServiceReply, Problem> {
        loop {
            let limit = job.deadline.left_up_to(ATTEMPT_TIMEOUT);
            match self.attempt_service(&mut job, limit).await? {
                Ok(reply) => return Ok(reply),
                Err(_may_run_again) => {}
            }
        }
    }

    async fn call_at_most_once(
        &self,
        job: ServiceJob,
        repeat_policy: &RepeatPolicy,
        content: Digest,
    ) -> Result<ServiceReply, Problem> {
        let call = format!("service/{}", job.service);
        let customer = &job.admitted.customer;
        let claimed =
            idempotency::claim(self, customer, &call, repeat_policy, content, job.deadline);
        let claim = match claimed.await {
            KeyClaim::Granted(claim) => claim,
            KeyClaim::Refused(failure) => return Err(failure),
            KeyClaim::Duplicate(result) => return from_result(result),
        };
        let result = self.send_once(job).await;
        let stored = match &result {
            Ok(reply) => stored_result(reply),
            Err(failure) => idempotency::failed_result(failure),
        };
        self.control.send(Msg::ClaimEnded(claim, stored)).await;
        result
    }

    /// Makes attempts until one of them may have run.
    async fn send_once(&self, mut job: ServiceJob) -> Result<ServiceReply, Problem> {
        loop {
            let limit = job.deadline.left();
            match self.attempt_service(&mut job, limit).await? {
                Ok(reply) => return Ok(reply),
                Err(FailurePoint::BeforeSend) => {}
                Err(FailurePoint::AfterSend) => {
                    let detail =
                        "the service did not answer; the call may have run and is not sent again";
                    return Err(Problem::unknown(504, "service-lost", detail));
                }
            }
        }
    }

    /// Makes one attempt. The inner error says whether it failed before or after
    /// the call was sent; the outer one ends the request.
    async fn attempt_service(
        &self,
        job: &mut ServiceJob,
        limit: Duration,
    ) -> Result<Result<ServiceReply, FailurePoint>, Problem> {
        if job.deadline.has_passed() {
            return Err(job.out_of_time());
        }
        let routed = match self.choose_service_endpoint(job).await {
            Ok(routed) => routed,
            Err(RouteError::Refused(failure)) => return Err(failure.unknown_if(job.may_have_run)),
            Err(RouteError::RetryAfter(pause)) => {
                Timer::after(job.deadline.left_up_to(pause)).await;
                return Ok(Err(FailurePoint::BeforeSend));
            }
        };
        let sent = self
            .services
            .call(routed.record.address, job.req.clone(), limit);
        let result = sent.await;
        let (end, result) = match result {
            Ok(reply) => (AttemptEnd::Done, Ok(reply)),
            Err(e) => (attempt_end(&e), Err(e.failure_point())),
        };
        self.attempt_ended(&routed, end).await;
        if let Err(failure_point) = result {
            job.may_have_run |= failure_point == FailurePoint::AfterSend;
            job.exclude.push(routed.endpoint);
        }
        Ok(result)
    }

    async fn choose_service_endpoint(&self, job: &mut ServiceJob) -> Result<Routed, RouteError> {
        let call = RouteCall {
            request_key: job.admitted.request_key,
            requirements: Requirements {
                serves: job.service.clone(),
                tokens: 0,
                max_tokens: 0,
                objective: job.admitted.objective,
                exclude: job.exclude.clone(),
            },
            fingerprint: job.admitted.fingerprint,
            is_retry: job.may_have_run,
            time_left: job.deadline.left(),
        };
        let routed = self.control.ask(|reply| Msg::Route(call, reply)).await;
        if let Err(RouteError::RetryAfter(_)) = &routed {
            job.exclude.clear();
        }
        routed
    }
}

impl ServiceJob {
    fn out_of_time(&self) -> Problem {
        let detail = "the call's time limit has passed";
        let failure = if self.may_have_run {
            Problem::unknown(504, "deadline", detail)
        } else {
            Problem::not_run(503, "deadline", detail)
        };
        failure.retry_after(DEADLINE_RETRY)
    }
}

/// Splits `/services/{name}/{path}`.
fn service_path(req: &Request<Incoming>) -> Result<(CompactString, String), Problem> {
    let path = req.uri().path_and_query().map_or("", |p| p.as_str());
    let rest = path.strip_prefix("/services/").unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    if name.is_empty() {
        return Err(request::bad_request("name a service: /services/NAME/PATH"));
    }
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    Ok((CompactString::from(name), path))
}

fn attempt_end(e: &HttpError) -> AttemptEnd {
    match e {
        // A slow service is not counted as failed.
        HttpError::Elapsed { .. } => AttemptEnd::Abandoned,
        _ => AttemptEnd::Failed,
    }
}

fn to_response(reply: ServiceReply) -> Response<Body> {
    let mut response = Response::new(Body::full(reply.body));
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = reply
        .content_type
        .and_then(|v| HeaderValue::from_str(&v).ok());
    if let Some(content_type) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    with_outcome(response, Outcome::Answered)
}

fn stored_result(reply: &ServiceReply) -> StoredResult {
    let text = std::str::from_utf8(&reply.body).ok();
    let text = text.filter(|text| text.len() <= MAX_KEPT_BYTES);
    StoredResult {
        outcome: Outcome::Answered,
        status: reply.status,
        content_type: reply.content_type.clone(),
        body: text.map(str::to_owned),
    }
}

fn from_result(result: StoredResult) -> Result<ServiceReply, Problem> {
    if result.outcome != Outcome::Answered {
        return Err(idempotency::duplicate_problem(&result));
    }
    match result.body {
        Some(body) => Ok(ServiceReply {
            status: result.status,
            content_type: result.content_type,
            body: body.into(),
        }),
        None => Err(Problem::unknown(
            409,
            "answered-before",
            "the call with this `Idempotency-Key` was answered before; its reply was not kept",
        )),
    }
}
