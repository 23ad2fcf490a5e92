//! An admitted client request: what it carries, its deadline and its urgency.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use briarhall_net::Client;
use briarhall_net::Reading;
use briarhall_net::Share;
use briarhall_policy::crashes::Fingerprint;
use briarhall_policy::crashing_parts::PartDigest;
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

use crate::guards::InFlight;
use crate::wire::PromptPartId;
use crate::wire::RequestHead;

/// Objective of a route that states none.
const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);
/// Acceptable pause between events of a route that states none.
const DEFAULT_PAUSE_OBJECTIVE: Duration = Duration::from_secs(1);
/// Shortest time that a client waits for an event.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
/// A client waits for an event for at least this many objectives.
const EVENT_TIMEOUT_OBJECTIVES: u32 = 4;
/// A client waits for an event for at least this many acceptable pauses.
const EVENT_TIMEOUT_PAUSES: u32 = 8;
/// Time limit of a request when neither client nor route states one.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(1);
/// Longest time limit of a request; clients and routes may state times that no clock counts.
const MAX_DEADLINE: Duration = Duration::from_hours(24);
/// Engines that typically share a long prompt under load: half of the maximum.
pub const TYPICAL_PREFILL_ENGINES: usize = 8;
/// Share of an objective that a plan may use; the rest is left for the steps of
/// the first pass.
const PLANNED_OBJECTIVE_SHARE: f64 = 0.85;
/// Share of its time budget after which a waiting prompt goes before others;
/// what is left is enough to prefill and answer it.
const OVERDUE_AFTER_SHARE: f64 = 0.65;
/// Slack in milliseconds below which a waiting prompt is sent at a cost to
/// others: a few checks of the queue.
const PRESSING_SLACK_MS: f64 = 300.0;
/// Output assumed where the request states none, in tokens.
const DEFAULT_OUTPUT_TOKENS: u64 = 1_000;

/// A request that was admitted.
#[derive(Debug)]
pub struct Job {
    /// Parsed head.
    pub head: RequestHead,
    /// Method, forwarded unchanged.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub uri: Uri,
    /// Headers as the client sent them.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Version of the configuration that admitted it.
    pub configuration: ConfigurationVersion,
    /// Route that matched it.
    pub route: Arc<Route>,
    /// Service that the route chose for it.
    pub service: ServiceName,
    /// Performance of the service's engines, if it has engines.
    pub engine: Option<Arc<EngineSpec>>,
    /// Organisation that sent it, where the route needs a key.
    pub organisation: Option<Arc<Organisation>>,
    /// When its head arrived.
    pub arrived: Instant,
    /// When all of it had arrived.
    pub read_at: Instant,
    /// When the client's time limit or the route's ends, whichever is first.
    pub deadline: Instant,
    /// Most replicas that may run it on behalf of this gateway.
    pub max_attempts: u32,
    /// Whether another gateway sent it, which reaches no replica.
    pub is_detoured: bool,
    /// Its [`fingerprint`](Job::fingerprint), once it was asked for.
    pub known_fingerprint: OnceLock<Fingerprint>,
    /// Keeps the request in flight, so that a stopping process waits for it.
    pub in_flight: Arc<InFlight>,
    /// The connection that it came on, for which bytes are held.
    pub client: Arc<Client>,
    /// Its place among the requests.
    pub _place: Share,
}

/// Returns how long a client waits for the first event of a stream, or for the
/// next one: the longest of three times that the platform's clients apply.
#[must_use]
pub fn event_timeout(route: &Route) -> Duration {
    let objective = route.objective.unwrap_or(DEFAULT_OBJECTIVE);
    let pause = route.pause_objective.unwrap_or(DEFAULT_PAUSE_OBJECTIVE);
    let bounds = [
        MIN_EVENT_TIMEOUT,
        objective.saturating_mul(EVENT_TIMEOUT_OBJECTIVES),
        pause.saturating_mul(EVENT_TIMEOUT_PAUSES),
    ];
    let longest = bounds.into_iter().max().unwrap_or(MIN_EVENT_TIMEOUT);
    longest.min(MAX_DEADLINE)
}

/// Returns the deadline of a request.
#[must_use]
pub fn deadline(head: &RequestHead, route: &Route, arrived: Instant) -> Instant {
    let limits = [head.deadline, route.timeout];
    let limit = limits.into_iter().flatten().min();
    arrived + limit.unwrap_or(DEFAULT_DEADLINE).min(MAX_DEADLINE)
}

impl Job {
    /// Returns how its answer is read.
    #[must_use]
    pub fn reading(&self) -> Reading {
        match self.route.kind {
            RouteKind::Streaming => Reading::Stream,
            _ => Reading::Whole,
        }
    }

    /// Returns the time left until the deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the total time for the request, or for its first event where the
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

    /// Returns whether the request may be sent again when an earlier send may
    /// have run.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        match self.route.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.route.resumable,
        }
    }

    /// Returns a digest of what stays the same when the caller retries: caller,
    /// method, path and body. A long body is read once, however often a job that waits
    /// is checked.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        *self
            .known_fingerprint
            .get_or_init(|| self.compute_fingerprint())
    }

    fn compute_fingerprint(&self) -> Fingerprint {
        let caller = self.organisation.as_ref().map_or("", |o| o.name.as_str());
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        let parts = [caller, self.method.as_str(), path].map(str::as_bytes);
        let [caller, method, path] = parts;
        Digest::of_parts(&[caller, method, path, &self.body]).prefix()
    }

    /// Returns the parts of the prompt that other requests may hold too: all but the
    /// last.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPartId] {
        let parts = &self.head.prompt_parts;
        &parts[..parts.len().saturating_sub(1)]
    }

    /// Returns digests of [`shared_parts`](Self::shared_parts).
    #[must_use]
    pub fn part_digests(&self) -> Vec<PartDigest> {
        let parts = self.shared_parts().iter();
        let digests = parts.map(|part| Digest::of(part.as_bytes()).prefix());
        digests.collect()
    }

    /// Returns the time in which the answer, or its first event, is to arrive.
    #[must_use]
    pub fn objective(&self) -> Duration {
        self.route.objective.unwrap_or(DEFAULT_OBJECTIVE)
    }

    /// Returns the longest pause between events that the caller accepts.
    #[must_use]
    pub fn pause_objective(&self) -> Duration {
        self.route
            .pause_objective
            .unwrap_or(DEFAULT_PAUSE_OBJECTIVE)
    }

    /// Returns the organisation's priority, or the route's if it has none.
    #[must_use]
    pub fn priority(&self) -> u32 {
        let organisation = self.organisation.as_ref().and_then(|o| o.priority);
        organisation.unwrap_or(self.route.priority)
    }

    /// Returns the milliseconds until the prompt must be sent to meet its
    /// objective when the typical number of engines share it; negative when it
    /// is late.
    #[must_use]
    pub fn slack_ms(&self, spec: &EngineSpec, prompt: &Prompt) -> f64 {
        let waited = self.arrived.elapsed().as_secs_f64() * 1_000.0;
        let prefill = engine::prefill_ms(spec, prompt.tokens, TYPICAL_PREFILL_ENGINES);
        prompt.objective_ms * PLANNED_OBJECTIVE_SHARE - waited - prefill
    }

    /// Returns the milliseconds until a waiting prompt goes before others
    /// because of its age; negative after that.
    #[must_use]
    pub fn overdue_in_ms(&self) -> f64 {
        let overdue_after = self
            .time_budget()
            .mul_f64(OVERDUE_AFTER_SHARE)
            .as_secs_f64();
        (overdue_after - self.arrived.elapsed().as_secs_f64()) * 1_000.0
    }

    /// Returns the urgency of the prompt when it is first in the queue.
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

    /// Returns what the request needs of an engine, when `generated` tokens of
    /// the answer are to be prefilled again.
    #[must_use]
    pub fn prompt(&self, generated: u64) -> Prompt {
        let objective = self.objective();
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
