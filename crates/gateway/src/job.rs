//! A client's request on its way through the gateway.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use briarhall_policy::crashes::Fingerprint;
use briarhall_policy::engine;
use briarhall_policy::placement::Prompt;
use briarhall_policy::placement::Urgency;
use briarhall_types::ConfigurationVersion;
use briarhall_types::Digest;
use briarhall_types::EngineSpec;
use briarhall_types::Organisation;
use briarhall_types::Route;
use briarhall_types::RouteKind;
use briarhall_types::ServiceName;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;

use crate::state::InFlight;
use crate::wire::RequestHead;

/// Objective of a route that states none.
const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);
/// Acceptable pause of a route that states none.
const DEFAULT_PAUSE_OBJECTIVE: Duration = Duration::from_secs(1);
/// A client waits at least so long for an event.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
/// A client waits for an event as long as so many of its objectives.
const EVENT_TIMEOUT_OBJECTIVES: u32 = 4;
/// A client waits for an event as long as so many acceptable pauses.
const EVENT_TIMEOUT_PAUSES: u32 = 8;
/// Time a request may take when neither client nor route states one.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(1);
/// Engines that share a long prompt on a busy day: half of the most.
pub const TYPICAL_PREFILL_ENGINES: usize = 8;
/// Part of an objective that a plan may use; the rest is for the steps of the
/// first pass.
const PLANNED_OBJECTIVE_SHARE: f64 = 0.85;
/// Part of its time after which a waiting prompt goes before others; what is
/// left is enough to prefill and answer it.
const OVERDUE_AFTER: f64 = 0.65;
/// Slack below which a waiting prompt is sent at a cost to others, in
/// milliseconds: a few looks at the queue.
const PRESSING_SLACK_MS: f64 = 300.0;
/// Output assumed where the request states none, in tokens.
const DEFAULT_OUTPUT_TOKENS: u64 = 1_000;

/// A request that was admitted.
#[derive(Debug)]
pub struct Job {
    /// What its head says.
    pub head: RequestHead,
    /// Method, passed on as it is.
    pub method: Method,
    /// Path and query, passed on as they are.
    pub uri: Uri,
    /// Headers as the client sent them.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Version of the configuration that admitted it.
    pub configuration: ConfigurationVersion,
    /// Route that it takes.
    pub route: Arc<Route>,
    /// Service that the route chose for it.
    pub service: ServiceName,
    /// Speed of the service's engines, unless it is a plain service.
    pub engine: Option<Arc<EngineSpec>>,
    /// Who sent it.
    pub organisation: Option<Arc<Organisation>>,
    /// When its head had come.
    pub arrived: Instant,
    /// When its client leaves or its route's time is over.
    pub deadline: Instant,
    /// Keeps the process from stopping.
    pub _in_flight: InFlight,
}

/// Returns how long a client waits for the first event of a stream, or for the
/// next one: the longest of three bounds that the platform's clients keep to.
#[must_use]
pub fn event_timeout(route: &Route) -> Duration {
    let objective = route.objective.unwrap_or(DEFAULT_OBJECTIVE);
    let pause = route.pause_objective.unwrap_or(DEFAULT_PAUSE_OBJECTIVE);
    let bounds = [
        MIN_EVENT_TIMEOUT,
        objective * EVENT_TIMEOUT_OBJECTIVES,
        pause * EVENT_TIMEOUT_PAUSES,
    ];
    bounds.into_iter().max().unwrap_or(MIN_EVENT_TIMEOUT)
}

/// Returns when a request's time is over.
#[must_use]
pub fn deadline(head: &RequestHead, route: &Route, arrived: Instant) -> Instant {
    let limits = [head.deadline, route.timeout];
    let limit = limits.into_iter().flatten().min();
    arrived + limit.unwrap_or(DEFAULT_DEADLINE)
}

impl Job {
    /// Returns the time left.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns all the time that the request had, to its first event where its
    /// answer is a stream.
    #[must_use]
    pub fn time_budget(&self) -> Duration {
        let time_budget = self.deadline.saturating_duration_since(self.arrived);
        if self.route.kind == RouteKind::Streaming {
            time_budget.min(event_timeout(&self.route))
        } else {
            time_budget
        }
    }

    /// Returns whether it may be sent again when an earlier send may have run.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        match self.route.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.route.resumable,
        }
    }

    /// Returns what stays the same when its caller sends it again: caller,
    /// method, path and body.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        let caller = self.organisation.as_ref().map_or("", |o| o.name.as_str());
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        let parts = [caller, self.method.as_str(), path].map(str::as_bytes);
        let [caller, method, path] = parts;
        Digest::of_parts(&[caller, method, path, &self.body]).prefix()
    }

    /// Returns the longest pause that its caller accepts.
    #[must_use]
    pub fn pause_objective(&self) -> Duration {
        self.route
            .pause_objective
            .unwrap_or(DEFAULT_PAUSE_OBJECTIVE)
    }

    /// Returns its rank, the organisation's before the route's.
    #[must_use]
    pub fn priority(&self) -> u32 {
        let organisation = self.organisation.as_ref().and_then(|o| o.priority);
        organisation.unwrap_or(self.route.priority)
    }

    /// Returns the milliseconds until it must be sent to meet its objective,
    /// when as many engines share it as usually do; negative when it is late.
    #[must_use]
    pub fn slack_ms(&self, spec: &EngineSpec, prompt: &Prompt) -> f64 {
        let waited = self.arrived.elapsed().as_secs_f64() * 1_000.0;
        let prefill = engine::prefill_ms(spec, prompt.tokens, TYPICAL_PREFILL_ENGINES);
        prompt.objective_ms * PLANNED_OBJECTIVE_SHARE - waited - prefill
    }

    /// Returns the milliseconds until it has waited for most of its time.
    #[must_use]
    pub fn overdue_in_ms(&self) -> f64 {
        let overdue_after = self.time_budget().mul_f64(OVERDUE_AFTER).as_secs_f64();
        (overdue_after - self.arrived.elapsed().as_secs_f64()) * 1_000.0
    }

    /// Returns how urgent it is when it is first in the queue.
    #[must_use]
    pub fn urgency(&self, spec: &EngineSpec, prompt: &Prompt) -> Urgency {
        if self.overdue_in_ms() < 0.0 {
            Urgency::Overdue
        } else {
            match self.slack_ms(spec, prompt) {
                slack if slack > PRESSING_SLACK_MS => Urgency::CanWait,
                slack if slack > 0.0 => Urgency::Pressing,
                _ => Urgency::Late,
            }
        }
    }

    /// Returns what it needs of an engine, when `generated` tokens of the
    /// answer are to be prefilled again.
    #[must_use]
    pub fn prompt(&self, generated: u64) -> Prompt {
        let objective = self.route.objective.unwrap_or(DEFAULT_OBJECTIVE);
        let pause = self.pause_objective();
        Prompt {
            tokens: self.head.prompt_tokens.unwrap_or(0) + generated,
            max_output: self.head.output_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
            objective_ms: objective.as_secs_f64() * 1_000.0,
            pause_ms: pause.as_secs_f64() * 1_000.0,
            deadline_ms: self.time_left().as_secs_f64() * 1_000.0,
        }
    }
}
