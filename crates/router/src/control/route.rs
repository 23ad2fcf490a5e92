//! Chooses endpoints and handles the end of attempts: retries, endpoint
//! failures and suspect requests.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use briarhall_policy::fleet::AttemptKey;
use briarhall_policy::fleet::Choice;
use briarhall_policy::fleet::EndpointKey;
use briarhall_policy::fleet::NoEndpoint;
use briarhall_policy::fleet::OpenEngines;
use briarhall_policy::fleet::Requirements;
use briarhall_policy::fleet::is_long;
use briarhall_policy::gang;
use briarhall_policy::gang::GangError;
use briarhall_policy::gang::Part;
use briarhall_policy::policies::Policy;
use briarhall_policy::suspects::AffectedRequest;
use briarhall_policy::suspects::Suspicion;
use briarhall_types::Objective;
use briarhall_types::Problem;

use super::AttemptEnd;
use super::Control;
use super::GangPart;
use super::GangPlan;
use super::RouteCall;
use super::RouteError;
use super::Routed;
use super::RunningAttempt;
use super::Wakeup;
use super::admit::request_blocked;

/// Delay before retrying a request that found every endpoint down.
const ALL_DOWN_RETRY: Duration = Duration::from_millis(200);
/// Delay before retrying a request that found the retry budget spent.
const BUDGET_RETRY: Duration = Duration::from_millis(500);
/// Interval at which a long prompt that waits for an engine asks again.
const OPEN_ENGINE_POLL: Duration = Duration::from_millis(20);
/// Prefill rate assumed where none is known, in tokens per second.
const DEFAULT_PREFILL_TOKENS_PER_S: u64 = 10_000;
/// Multiple of its prefill time that a waiting long prompt is allowed, relative
/// to other waiting long prompts, under the objective `short-slowdown`.
const QUEUE_SHORT_SLOWDOWN_FACTOR: u64 = 2;
/// Multiple of its prefill time that a prompt is allowed at the engine under the
/// objective `first-token`, which weighs all prompt lengths alike.
const FIRST_TOKEN_FACTOR: u64 = 4;
/// Multiple of its prefill time that a prompt is allowed at the engine under the
/// objective `short-slowdown`, which gives short requests more weight.
const SHORT_SLOWDOWN_FACTOR: u64 = 24;

impl Control {
    pub(super) fn route(&mut self, call: &RouteCall, now: Instant) -> Result<Routed, RouteError> {
        let suspicion = self.suspects.suspicion(&call.fingerprint);
        if suspicion == Some(Suspicion::Blocked) {
            return Err(RouteError::Refused(request_blocked()));
        }
        let choice = self.choose(call, now)?;
        if call.is_retry && !self.retries.spend(now) {
            self.metrics.count("retry.budget_spent");
            return Err(RouteError::RetryAfter(BUDGET_RETRY));
        }
        self.deadline_queue.leave(&call.request_key);
        let attempt = self.fleet.sent(choice.key, &call.requirements, now);
        let isolated = suspicion == Some(Suspicion::Suspect);
        self.running.insert(
            attempt,
            RunningAttempt {
                endpoint: choice.key,
                fingerprint: call.fingerprint,
                isolated,
                is_retry: call.is_retry,
            },
        );
        let priority = self.priority(&call.requirements, choice.record.prefill_rate);
        Ok(Routed {
            attempt,
            endpoint: choice.key,
            record: choice.record,
            isolated,
            priority,
        })
    }

    fn choose(&mut self, call: &RouteCall, now: Instant) -> Result<Choice, RouteError> {
        if self.settings.policy == Policy::Lanes && is_long(call.requirements.tokens) {
            return self.choose_open(call, now);
        }
        let choice = self.fleet.choose(&call.requirements, &mut self.rng, now);
        let choice = choice.map_err(|e| no_endpoint(e, &call.requirements))?;
        if !call.is_retry {
            check_time(choice.first_token, call.time_left)?;
        }
        Ok(choice)
    }

    /// Chooses an engine for a long prompt, or makes it wait until an engine is
    /// open and the prompt is among the first in the deadline queue.
    fn choose_open(&mut self, call: &RouteCall, now: Instant) -> Result<Choice, RouteError> {
        let open_engines = self.fleet.open_engines(&call.requirements, now);
        let open_engines = open_engines.map_err(|e| no_endpoint(e, &call.requirements))?;
        if !call.is_retry && !self.deadline_queue.contains(&call.request_key) {
            check_time(
                self.wait_for_open_engine(call, &open_engines, now),
                call.time_left,
            )?;
        }
        let rate = open_engines
            .best
            .as_ref()
            .map_or(0, |best| best.record.prefill_rate);
        let factor = match call.requirements.objective {
            Objective::ShortSlowdown => QUEUE_SHORT_SLOWDOWN_FACTOR,
            Objective::FirstToken => 1,
        };
        let deadline = virtual_deadline(call.requirements.tokens * factor, rate);
        self.deadline_queue
            .enter(call.request_key, deadline, call.requirements.tokens);
        match open_engines.best {
            Some(choice)
                if self
                    .deadline_queue
                    .is_among_first(&call.request_key, open_engines.open) =>
            {
                Ok(choice)
            }
            _ => Err(RouteError::RetryAfter(OPEN_ENGINE_POLL)),
        }
    }

    /// Predicts the time to the first token from all queued tokens, assuming
    /// that every other router has as many waiting as this one.
    fn wait_for_open_engine(
        &self,
        call: &RouteCall,
        open_engines: &OpenEngines,
        now: Instant,
    ) -> Duration {
        let routers = self.members.serving(now).count().max(1) as u64;
        let waiting = self.deadline_queue.tokens() * routers + open_engines.queued;
        let rate = open_engines.rate.max(DEFAULT_PREFILL_TOKENS_PER_S);
        Duration::from_millis((waiting + call.requirements.tokens) * 1_000 / rate)
    }

    pub(super) fn gang(&mut self, call: &RouteCall, now: Instant) -> Result<GangPlan, GangError> {
        let memories = self.fleet.engine_memory(&call.requirements, now);
        let total = call.requirements.tokens + call.requirements.max_tokens;
        let parts = gang::choose(&memories, total)?;
        let lead = parts.first().and_then(|part| self.fleet.record(part.key));
        let rate = lead.map_or(0, |record| record.prefill_rate);
        let priority = self.priority(&call.requirements, rate * parts.len() as u64);
        let parts = parts
            .into_iter()
            .filter_map(|part| self.gang_part(call, &part, now));
        Ok(GangPlan {
            parts: parts.collect(),
            priority,
        })
    }

    fn gang_part(&mut self, call: &RouteCall, part: &Part, now: Instant) -> Option<GangPart> {
        let address = self.fleet.record(part.key)?.address;
        let requirements = Requirements {
            tokens: part.tokens,
            max_tokens: 0,
            ..call.requirements.clone()
        };
        let attempt = self.fleet.sent(part.key, &requirements, now);
        self.running.insert(
            attempt,
            RunningAttempt {
                endpoint: part.key,
                fingerprint: call.fingerprint,
                isolated: false,
                is_retry: false,
            },
        );
        Some(GangPart {
            attempt,
            address,
            tokens: part.tokens,
            allowance: part.allowance,
        })
    }

    /// Returns a virtual deadline in milliseconds since the epoch; engines run
    /// the earliest first. A long prompt is allowed more time, so short ones
    /// overtake it, but its deadline is fixed, so it moves ahead as it waits.
    /// The baseline policies serve in order of arrival.
    fn priority(&self, requirements: &Requirements, rate: u64) -> i64 {
        let factor = match (self.settings.policy, requirements.objective) {
            (Policy::Lanes, Objective::ShortSlowdown) => SHORT_SLOWDOWN_FACTOR,
            (Policy::Lanes, Objective::FirstToken) => FIRST_TOKEN_FACTOR,
            _ => 0,
        };
        virtual_deadline(requirements.tokens * factor, rate)
    }

    pub(super) fn attempt_ended(&mut self, key: AttemptKey, end: AttemptEnd, now: Instant) {
        let running = self.running.get(&key).copied();
        if let Some(running) = running {
            match end {
                AttemptEnd::Done => self.suspects.record_completed(&running.fingerprint),
                AttemptEnd::Abandoned => {}
                AttemptEnd::Full => self.refund_retry(running),
                AttemptEnd::Draining => {
                    self.refund_retry(running);
                    self.fleet.set_draining(running.endpoint);
                }
                AttemptEnd::Failed => self.fleet.failed(running.endpoint, now),
                AttemptEnd::Died => {
                    self.fleet.failed(running.endpoint, now);
                    self.endpoint_died(running.endpoint, now);
                }
            }
        }
        self.running.remove(&key);
        self.fleet.ended(key);
    }

    /// Refunds the retry to the budget: a refusal costs the endpoint nothing, so
    /// it does not count as a retry.
    fn refund_retry(&mut self, running: RunningAttempt) {
        if running.is_retry {
            self.retries.refund();
        }
    }

    /// Treats every attempt of this router at the endpoint as affected by the
    /// death. They are removed together, so that attempts that report the same
    /// death later are not counted again.
    fn endpoint_died(&mut self, endpoint: EndpointKey, now: Instant) {
        let died = |running: &RunningAttempt| running.endpoint == endpoint;
        let keys = self.running.iter().filter(|(_, r)| died(r));
        let keys = keys.map(|(key, _)| *key).collect::<Vec<_>>();
        let affected = keys.iter().filter_map(|key| self.running.remove(key));
        let affected = affected
            .map(|running| AffectedRequest {
                fingerprint: running.fingerprint,
                isolated: running.isolated,
            })
            .collect::<Vec<_>>();
        let notices = self.suspects.engine_crashed(&affected, now);
        self.metrics.count("endpoint.died");
        log::warn!(suspects = notices.len(); "engine process ended");
        self.notices.extend(notices);
        self.wake(Wakeup::Notices);
    }
}

/// Refuses a request whose first token would come after its deadline, with the
/// time after which the queue will be short enough as `Retry-After`.
fn check_time(first_token: Duration, time_left: Duration) -> Result<(), RouteError> {
    if first_token <= time_left {
        return Ok(());
    }
    let detail = "the queue is longer than the request's time limit";
    let problem = Problem::not_run(503, "overloaded", detail);
    Err(RouteError::Refused(
        problem.retry_after(first_token.checked_sub(time_left).unwrap()),
    ))
}

fn no_endpoint(e: NoEndpoint, requirements: &Requirements) -> RouteError {
    match e {
        NoEndpoint::Unknown => {
            let detail = format!("no endpoint runs `{}` now", requirements.serves);
            let problem = Problem::not_run(503, "no-endpoint", detail);
            RouteError::Refused(problem.retry_after(Duration::from_secs(1)))
        }
        NoEndpoint::AllDown => RouteError::RetryAfter(ALL_DOWN_RETRY),
    }
}

/// Returns the time, in milliseconds since the epoch, by which `tokens` tokens
/// would be prefilled at `rate` tokens per second if the prefill began now.
fn virtual_deadline(tokens: u64, rate: u64) -> i64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now = now.unwrap_or_default().as_millis();
    let rate = if rate == 0 {
        DEFAULT_PREFILL_TOKENS_PER_S
    } else {
        rate
    };
    let allowance = tokens * 1_000 / rate;
    i64::try_from(now + u128::from(allowance)).unwrap_or(i64::MAX)
}
