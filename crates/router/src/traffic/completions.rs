//! Handles completion requests: admits them, claims the idempotency key of those
//! that must not run twice, and makes attempts until the request is answered,
//! refused or out of time.

use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_endpoint::EngineError;
use briarhall_endpoint::Lease;
use briarhall_endpoint::RefusalKind;
use briarhall_endpoint::wire::CompletionCall;
use briarhall_endpoint::wire::KvPart;
use briarhall_endpoint::wire::ReserveCall;
use briarhall_net::Body;
use briarhall_net::problem;
use briarhall_policy::fleet::EndpointKey;
use briarhall_policy::fleet::Requirements;
use briarhall_types::Digest;
use briarhall_types::Problem;
use briarhall_types::RequestId;
use briarhall_types::RouterName;
use briarhall_types::new_id;
use bytes::Bytes;
use compact_str::CompactString;
use compact_str::format_compact;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use super::Traffic;
use super::attempt;
use super::attempt::Attempt;
use super::attempt::AttemptOutcome;
use super::deadline::Deadline;
use super::idempotency;
use super::idempotency::KeyClaim;
use super::request;
use super::request::Completion;
use super::request::Form;
use super::request::RepeatPolicy;
use super::response::ResponseWriter;
use crate::control::AdmitCall;
use crate::control::Admitted;
use crate::control::AttemptEnd;
use crate::control::CallName;
use crate::control::Msg;
use crate::control::RouteCall;
use crate::control::RouteError;
use crate::control::Routed;

/// How long the lease of an attempt outlasts its deadline. The router cancels
/// the attempt at the deadline; the lease covers a router that no longer can.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// Shortest delay before another attempt when engines are down or full.
const FULL_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// `Retry-After` of a request that ran out of time.
const DEADLINE_RETRY: Duration = Duration::from_secs(1);
/// Time limit for reserving or releasing an engine for a suspect.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(1);

/// A completion request in progress.
#[derive(Debug)]
pub struct Job {
    pub(super) req: Completion,
    pub(super) admitted: Admitted,
    pub(super) deadline: Deadline,
    pub(super) exclude: Vec<EndpointKey>,
    /// Whether some endpoint may have run part of it.
    pub(super) may_have_run: bool,
    pub(super) repeatable: bool,
}

/// Why a request is not answered: the problem to send to its caller, or `None`
/// if the caller disconnected.
pub type GivenUp = Option<Problem>;

impl Traffic {
    pub(super) async fn completion(&self, req: Request<Incoming>, form: Form) -> Response<Body> {
        let arrived = Instant::now();
        match self.begin(req, form, arrived).await {
            Ok(reply) => reply,
            Err(e) => problem(&e),
        }
    }

    async fn begin(
        &self,
        req: Request<Incoming>,
        form: Form,
        arrived: Instant,
    ) -> Result<Response<Body>, Problem> {
        let key = request::key(req.headers())?;
        let repeat_policy = request::repeat_policy(req.headers())?;
        let (body, hold) = request::body(req).await?;
        let req = request::completion(form, &body)?;
        let content = Digest::of_parts(&[req.model.as_bytes(), req.prompt.as_bytes()]);
        let call = AdmitCall {
            key,
            call: CallName::Model(CompactString::from(req.model.as_str())),
            tokens: req.tokens,
            max_tokens: req.max_tokens,
            content,
        };
        let admitted = self.control.ask(|reply| Msg::Admit(call, reply)).await?;
        let id = new_id();
        let (writer, head) = ResponseWriter::new(id, &req);
        let job = Job {
            deadline: Deadline::after(arrived, admitted.time_limit),
            exclude: Vec::new(),
            may_have_run: false,
            repeatable: admitted.repeatable && !repeat_policy.forbidden,
            req,
            admitted,
        };
        // The request runs in a task of its own, so that it is also cleaned up
        // when its caller disconnects.
        let traffic = self.clone();
        self.executor.detach(async move {
            traffic
                .finish_job(id, job, repeat_policy, writer, arrived)
                .await;
            drop(hold);
        });
        let no_answer = || Problem::unknown(500, "internal", "the request ended without an answer");
        head.recv().await.map_err(|_closed| no_answer())
    }

    async fn finish_job(
        &self,
        id: RequestId,
        job: Job,
        repeat_policy: RepeatPolicy,
        writer: ResponseWriter,
        arrived: Instant,
    ) {
        let request_key = job.admitted.request_key;
        let customer = job.admitted.customer.clone();
        let outcome = if job.repeatable {
            Box::pin(self.answer_repeatable(job, writer)).await
        } else {
            Box::pin(self.answer_at_most_once(job, repeat_policy, writer)).await
        };
        self.control.send(Msg::RequestEnded(request_key)).await;
        self.metrics.count(outcome);
        self.metrics.time("request", arrived.elapsed());
        log::info!(request = id.to_string().as_str(), customer = customer.as_str(), outcome = outcome; "completion ended");
    }

    async fn answer_repeatable(&self, mut job: Job, mut writer: ResponseWriter) -> &'static str {
        match self.attempts(&mut job, &mut writer).await {
            Ok(()) => {
                // A caller that disconnects now counts as answered.
                let _gone = writer.finish().await;
                "answered"
            }
            Err(None) => "caller-gone",
            Err(Some(failure)) => {
                writer.fail(&failure).await;
                failure.outcome.as_str()
            }
        }
    }

    /// Claims the idempotency key before any attempt. If another request has
    /// claimed it, its result is the answer, and nothing runs a second time.
    async fn answer_at_most_once(
        &self,
        mut job: Job,
        repeat_policy: RepeatPolicy,
        writer: ResponseWriter,
    ) -> &'static str {
        let call = format!("model/{}", job.req.model);
        let content = Digest::of(job.req.prompt.as_bytes());
        let claimed = idempotency::claim(
            self,
            &job.admitted.customer,
            &call,
            &repeat_policy,
            content,
            job.deadline,
        );
        let claim = match claimed.await {
            KeyClaim::Granted(claim) => claim,
            KeyClaim::Refused(failure) => {
                writer.fail(&failure).await;
                return failure.outcome.as_str();
            }
            KeyClaim::Duplicate(result) => {
                // The answer itself was not kept, only its outcome.
                let failure = idempotency::duplicate_problem(&result);
                writer.fail(&failure).await;
                return failure.outcome.as_str();
            }
        };
        job.repeatable = false;
        let mut writer = writer;
        let (outcome, result) = match self.attempts(&mut job, &mut writer).await {
            Ok(()) => {
                let _gone = writer.finish().await;
                ("answered", idempotency::answered_result())
            }
            Err(given_up) => {
                let failure =
                    given_up.unwrap_or_else(|| idempotency::caller_gone(job.may_have_run));
                writer.fail(&failure).await;
                (
                    failure.outcome.as_str(),
                    idempotency::failed_result(&failure),
                )
            }
        };
        self.control.send(Msg::ClaimEnded(claim, result)).await;
        outcome
    }

    /// Makes attempts until the whole answer is sent.
    pub(super) async fn attempts(
        &self,
        job: &mut Job,
        writer: &mut ResponseWriter,
    ) -> Result<(), GivenUp> {
        loop {
            if job.deadline.has_passed() {
                return Err(Some(job.out_of_time()));
            }
            let outcome = if self.needs_gang(job).await {
                self.gang_attempt(job, writer).await?
            } else {
                self.single_attempt(job, writer).await?
            };
            job.may_have_run |= outcome.may_have_run();
            match outcome {
                AttemptOutcome::Complete => return Ok(()),
                AttemptOutcome::CallerGone => return Err(None),
                AttemptOutcome::Deadline => return Err(Some(job.out_of_time())),
                AttemptOutcome::Refused(RefusalKind::Invalid) => {
                    return Err(Some(job.refused(not_understood())));
                }
                AttemptOutcome::Refused(_) | AttemptOutcome::NotSent(_) => {}
                AttemptOutcome::Lost(_) if job.repeatable => {}
                AttemptOutcome::Lost(_) => return Err(Some(endpoint_lost())),
            }
        }
    }

    async fn single_attempt(
        &self,
        job: &mut Job,
        writer: &mut ResponseWriter,
    ) -> Result<AttemptOutcome, GivenUp> {
        let routed = match self.choose_endpoint(job).await {
            Ok(routed) => routed,
            Err(RouteError::Refused(failure)) => return Err(Some(job.refused(failure))),
            Err(RouteError::RetryAfter(pause)) => {
                self.pause(job, writer, pause).await?;
                return Ok(AttemptOutcome::Refused(RefusalKind::Full));
            }
        };
        let isolation = match self.isolate_if_suspect(job, &routed).await {
            Ok(isolation) => isolation,
            Err(outcome) => {
                job.exclude.push(routed.endpoint);
                self.attempt_ended(&routed, outcome.attempt_end()).await;
                self.pause(job, writer, FULL_RETRY_PAUSE).await?;
                return Ok(outcome);
            }
        };
        let attempt = Attempt {
            id: new_id(),
            address: routed.record.address,
            body: job.body(
                writer.tokens(),
                routed.priority,
                isolation.clone(),
                Vec::new(),
            ),
            key: routed.attempt,
            lease: job.lease(&self.router),
        };
        let outcome = attempt::run(self, &attempt, writer, job.deadline).await;
        self.attempt_ended(&routed, outcome.attempt_end()).await;
        if let Some(name) = isolation {
            self.release_isolation(&routed, &name).await;
        }
        match outcome {
            AttemptOutcome::Refused(_) | AttemptOutcome::NotSent(_) | AttemptOutcome::Lost(_) => {
                job.exclude.push(routed.endpoint);
            }
            _ => {}
        }
        Ok(outcome)
    }

    async fn choose_endpoint(&self, job: &mut Job) -> Result<Routed, RouteError> {
        let call = job.route_call();
        let routed = self.control.ask(|reply| Msg::Route(call, reply)).await;
        if let Err(RouteError::RetryAfter(_)) = &routed {
            // All remaining endpoints were tried; allow all of them again.
            job.exclude.clear();
        }
        routed
    }

    /// Reserves all memory of an engine for a suspect, so that it runs alone.
    /// The engine grants this only when nothing else holds memory; requests that
    /// arrive in the meantime wait for memory and do not start.
    async fn isolate_if_suspect(
        &self,
        job: &Job,
        routed: &Routed,
    ) -> Result<Option<CompactString>, AttemptOutcome> {
        if !routed.isolated {
            return Ok(None);
        }
        let lease = job.lease(&self.router);
        let reservation = ReserveCall {
            name: format_compact!("probation-{}", new_id()),
            tokens: routed.record.kv_tokens,
            owner: lease.owner,
            lease_ms: u64::try_from(lease.duration.as_millis()).unwrap_or(u64::MAX),
        };
        let address = routed.record.address;
        let reserved = self
            .engines
            .reserve(address, &reservation, ISOLATION_TIMEOUT)
            .await;
        match reserved {
            Ok(()) => Ok(Some(reservation.name)),
            Err(EngineError::Refused { .. }) => Err(AttemptOutcome::Refused(RefusalKind::Full)),
            Err(_) => {
                // The reservation may exist although the call failed.
                self.release_isolation(routed, &reservation.name).await;
                Err(AttemptOutcome::NotSent(AttemptEnd::Failed))
            }
        }
    }

    async fn release_isolation(&self, routed: &Routed, name: &str) {
        let address = routed.record.address;
        let released = self.engines.release(address, name, ISOLATION_TIMEOUT).await;
        if let Err(e) = released {
            log::debug!(error = e.to_string().as_str(); "cannot release an engine reserved for a suspect");
        }
    }

    pub(super) async fn attempt_ended(&self, routed: &Routed, end: AttemptEnd) {
        self.control
            .send(Msg::AttemptEnded(routed.attempt, end))
            .await;
    }

    /// Waits before the next attempt.
    ///
    /// # Errors
    ///
    /// Returns `None` if the caller disconnects.
    pub(super) async fn pause(
        &self,
        job: &Job,
        writer: &mut ResponseWriter,
        pause: Duration,
    ) -> Result<(), GivenUp> {
        let pause = job.deadline.left_up_to(pause.max(FULL_RETRY_PAUSE));
        let gone = async {
            writer.caller_gone().await;
            true
        };
        let elapsed = async {
            Timer::after(pause).await;
            false
        };
        let gone = futures_lite::future::or(gone, elapsed).await;
        if gone || writer.keep_alive_if_due().await.is_err() {
            return Err(None);
        }
        Ok(())
    }
}

impl Job {
    pub(super) fn route_call(&self) -> RouteCall {
        RouteCall {
            request_key: self.admitted.request_key,
            requirements: Requirements {
                serves: CompactString::from(self.req.model.as_str()),
                tokens: self.req.tokens,
                max_tokens: self.req.max_tokens,
                objective: self.admitted.objective,
                exclude: self.exclude.clone(),
            },
            fingerprint: self.admitted.fingerprint,
            is_retry: self.may_have_run,
            time_left: self.deadline.left(),
        }
    }

    pub(super) fn body(
        &self,
        from: u64,
        priority: i64,
        reservation: Option<CompactString>,
        kv_parts: Vec<KvPart>,
    ) -> Bytes {
        let call = CompletionCall {
            model: CompactString::from(self.req.model.as_str()),
            prompt: self.req.prompt.clone(),
            max_tokens: self.req.max_tokens,
            priority,
            resume_from: from,
            reservation,
            kv_parts,
        };
        Bytes::from(serde_json::to_vec(&call).unwrap_or_default())
    }

    pub(super) fn lease(&self, owner: &RouterName) -> Lease {
        Lease {
            owner: owner.clone(),
            duration: self.deadline.left() + LEASE_MARGIN,
        }
    }

    fn out_of_time(&self) -> Problem {
        let detail = "the request's time limit has passed";
        let failure = if self.may_have_run {
            Problem::unknown(504, "deadline", detail)
        } else {
            Problem::not_run(503, "deadline", detail)
        };
        failure.retry_after(DEADLINE_RETRY)
    }

    /// Changes the outcome of a refusal if an earlier attempt may have run.
    pub(super) fn refused(&self, failure: Problem) -> Problem {
        failure.unknown_if(self.may_have_run)
    }
}

fn not_understood() -> Problem {
    let detail = "the engine does not understand the request";
    Problem::not_run(400, "bad-request", detail)
}

fn endpoint_lost() -> Problem {
    let detail = "the endpoint was lost; the request may have run and is not sent again";
    Problem::unknown(502, "endpoint-lost", detail)
}
