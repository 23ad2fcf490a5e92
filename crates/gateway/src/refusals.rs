//! Requests that this gateway refuses before they are placed, and when their callers may
//! come back.

use std::time::Duration;
use std::time::Instant;

use briarhall_policy::answer_times::Client;
use briarhall_policy::answer_times::ExpectedAnswer;
use briarhall_policy::crashes::CRASHES_TO_BLOCK;
use briarhall_policy::crashing_parts::Refusal;
use briarhall_policy::engine;
use briarhall_policy::load_tracker::tag;
use briarhall_policy::placement;
use briarhall_policy::placement::Length;
use briarhall_policy::placement::Prompt;
use briarhall_policy::policies::Policy;
use briarhall_policy::return_after_stop::RESTART_TIME;
use briarhall_policy::return_after_stop::time_to_return;
use briarhall_policy::routes::RouteTable;
use briarhall_types::EngineSpec;
use briarhall_types::ReplicaId;
use briarhall_types::RouteKind;

use crate::attempt::Attempts;
use crate::attempt::Dispatcher;
use crate::job::Job;
use crate::job::TYPICAL_PREFILL_ENGINES;
use crate::limits_in_force::LimitsInForce;
use crate::shortage::LONG_PROMPT_ENGINE_SHARE;
use crate::wire::Wire;

/// Share of its remaining time for which a long prompt can wait in the queue
/// and still be answered in time.
const MAX_QUEUE_WAIT_SHARE: f64 = 0.45;
/// Share of its time budget for which a request waits where all replicas have used up
/// their limits, if one takes it by then.
const LIMIT_WAIT_SHARE: f64 = 0.1;
/// Longest such wait.
const MAX_LIMIT_WAIT: Duration = Duration::from_millis(200);
/// The same where replicas are cold: all gateways compete for their places, so that most
/// waits are in vain.
const MAX_COLD_WAIT: Duration = Duration::from_millis(50);
/// `Retry-After` of a request that crashes replicas. The request is blocked for
/// far longer, but no client's deadline is later than this.
const CRASHER_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Time for an answer while this gateway stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeInStop {
    /// Time that the answer may take.
    pub needed: Duration,
    /// Time until it has to end.
    pub left: Duration,
}

impl<W> Dispatcher<W>
where
    W: Wire,
{
    /// Returns how long the request is refused because it crashes the replicas that
    /// run it, or because a part of its prompt does.
    pub fn crashes_replicas(&self, job: &Job) -> Option<Duration> {
        let wait = if self.is_blocked(job) {
            CRASHER_RETRY_AFTER
        } else {
            self.part_refused_for(job)?
        };
        self.shared.metrics.count("request_crashes_replicas");
        Some(wait)
    }

    fn is_blocked(&self, job: &Job) -> bool {
        if self.shared.state().crashes.is_empty() {
            return false;
        }
        let fingerprint = job.fingerprint();
        let state = self.shared.state();
        let blocked = state.crashes.is_blocked(fingerprint, Instant::now());
        drop(state);
        if blocked {
            log::warn!(
                event = "crasher",
                request = job.head.id.as_str(),
                fingerprint,
                crashes = CRASHES_TO_BLOCK;
                "every replica that ran this request has crashed"
            );
        }
        blocked
    }

    fn part_refused_for(&self, job: &Job) -> Option<Duration> {
        if self.shared.state().crashing_parts.is_empty() {
            return None;
        }
        let digests = job.part_digests();
        let mut state = self.shared.state();
        let refusal = state.crashing_parts.refusal(&digests, Instant::now());
        drop(state);
        let Refusal { parts, time_left } = refusal?;
        let named = job.shared_parts().iter().zip(&digests);
        let named = named.filter(|(_, digest)| parts.contains(digest));
        let named = named.map(|(part, _)| part.as_str()).collect::<Vec<_>>();
        log::warn!(
            event = "crashing_part",
            request = job.head.id.as_str(),
            parts = named.join(",").as_str(),
            refused_ms = time_left.as_millis();
            "replicas crash under requests with this part of a prompt, or these together"
        );
        Some(time_left)
    }

    /// Returns the time after which the client may come back when no replica of the
    /// service takes a request from this gateway now, since all want a pause or have
    /// used up their limits. A request that may have run waits here instead: only this
    /// gateway can still give an answer. So does one whose turn comes in a moment, until
    /// `limit_wait_ends`. A long prompt waits in its queue for a limit.
    pub fn time_to_wait_out(
        &self,
        job: &Job,
        attempts: &Attempts,
        limit_wait_ends: &mut Option<Instant>,
    ) -> Option<Duration> {
        if attempts.may_have_run > 0 {
            return None;
        }
        let now = Instant::now();
        let mut state = self.shared.state();
        let limits = LimitsInForce::new(&state, &self.shared.settings.vm, now);
        let replicas = state.available(&job.service);
        let ids = replicas.map(|record| &record.id).collect::<Vec<_>>();
        if let Some(pause) = state.pauses.shortest(ids.iter().copied(), now) {
            drop(state);
            log::info!(
                event = "all_pause",
                request = job.head.id.as_str(),
                service = job.service.as_str(),
                pause_ms = pause.as_millis();
                "every replica of the service wants no requests for a time"
            );
            return Some(pause);
        }
        let is_limited = !state.replica_limits.is_empty() || state.cold_replicas.is_enabled();
        if !is_limited || self.queues(job) {
            return None;
        }
        let left = |id: &&ReplicaId| limits.wait(id).max(state.pauses.left(id, now));
        let left = ids.iter().map(left).collect::<Option<Vec<_>>>()?;
        let first = left.into_iter().min()?;
        if limit_wait_ends.is_some_and(|end| now < end) {
            return None;
        }
        let any_cold = ids.iter().any(|id| limits.is_cold(id));
        let interval = limits.return_interval(ids.into_iter());
        let service = tag(job.service.as_str());
        let wait = state
            .replica_limits
            .next_return(service, first, interval, now);
        drop(state);
        let longest = job.time_budget().mul_f64(LIMIT_WAIT_SHARE);
        let longest = longest.min(if any_cold {
            MAX_COLD_WAIT
        } else {
            MAX_LIMIT_WAIT
        });
        if limit_wait_ends.is_none() && wait <= longest {
            *limit_wait_ends = Some(now + longest);
            return None;
        }
        self.shared.metrics.count("limits_used_up");
        log::info!(
            event = "all_limited",
            request = job.head.id.as_str(),
            service = job.service.as_str(),
            free_ms = first.as_millis(),
            wait_ms = wait.as_millis();
            "every replica of the service has used up its limit"
        );
        Some(wait)
    }

    /// Returns whether the prompt waits in the queue for engines.
    fn queues(&self, job: &Job) -> bool {
        let spec = job.engine.as_ref();
        spec.is_some_and(|spec| self.waits_in_queue(spec, &job.prompt(0)))
    }

    /// Returns whether this gateway may stop before the answer is complete. An error then
    /// lets the client try another gateway, as long as nothing was sent. `first_event_ms`
    /// is the predicted time to the first event, where the replica is chosen.
    pub fn stops_too_soon(&self, job: &Job, first_event_ms: Option<f64>) -> bool {
        self.time_in_stop(job, first_event_ms)
            .is_some_and(|time| time.needed > time.left)
    }

    /// Returns after which time a client may come back that this gateway refuses because it
    /// stops, if no other one serves.
    pub fn return_after_stop(&self) -> Option<Duration> {
        let now = Instant::now();
        let state = self.shared.state();
        let stop = state.stop?;
        if state.peers.serving(now).next().is_some() {
            return None;
        }
        let own = stop.deadline + RESTART_TIME;
        let longest_stop = self.shared.settings.grace + RESTART_TIME;
        let others = state.peers.first_return(longest_stop, now);
        let serving_at = others.map_or(own, |at| at.min(own));
        Some(time_to_return(stop.unaware_until, serving_at, now))
    }

    /// Returns the time for an answer, if this gateway is stopping.
    pub fn time_in_stop(&self, job: &Job, first_event_ms: Option<f64>) -> Option<TimeInStop> {
        let now = Instant::now();
        let state = self.shared.state();
        let stop = state.stop?;
        let client = if job.arrived < stop.unaware_until {
            Client::Unaware
        } else {
            Client::Late
        };
        let expected = expected_answer(job, first_event_ms);
        let (route, time_left) = (&job.route.name, job.time_left());
        let needed = state
            .answer_times
            .time_needed(route, expected, client, time_left, now);
        let until = match client {
            Client::Unaware => stop.deadline,
            Client::Late => stop.late_answers_until,
        };
        Some(TimeInStop {
            needed,
            left: until.saturating_duration_since(now),
        })
    }

    /// Returns whether a prompt is so long that it waits in the queue for engines.
    pub fn waits_in_queue(&self, spec: &EngineSpec, prompt: &Prompt) -> bool {
        let in_lanes = self.shared.settings.placement == Policy::Lanes;
        in_lanes && placement::length(spec, prompt) == Length::Long
    }

    /// Returns the predicted wait of a prompt in the queue when it is too long
    /// to answer the prompt in time. The client gets it as `Retry-After`.
    pub fn queue_too_long(&self, job: &Job, generated: u64) -> Option<Duration> {
        let spec = job.engine.as_ref()?;
        let prompt = job.prompt(generated);
        if !self.waits_in_queue(spec, &prompt) {
            return None;
        }
        let state = self.shared.state();
        let engines = state.available(&job.service);
        #[expect(
            clippy::cast_precision_loss,
            reason = "counts of replicas are far below 2^52"
        )]
        let engines = engines.count().max(1) as f64 * LONG_PROMPT_ENGINE_SHARE;
        let service = tag(job.service.as_str());
        let current = state.current_configuration.as_ref();
        let in_shares = |table: &RouteTable| table.requires_key() && table.expects_hard_load();
        let work = if current.is_some_and(|current| in_shares(&current.table)) {
            state.prompt_queue.work_before_ms(service, job.priority())
        } else {
            state.prompt_queue.work_ms(service)
        };
        drop(state);
        let own = engine::prefill_ms(spec, prompt.tokens, 1);
        let wait = engine::predicted_time((work + own) / engines);
        (wait > job.time_left().mul_f64(MAX_QUEUE_WAIT_SHARE)).then_some(wait)
    }
}

/// Returns what is known of the answer to a job that is not sent yet.
fn expected_answer(job: &Job, first_event_ms: Option<f64>) -> ExpectedAnswer {
    if job.route.kind != RouteKind::Streaming {
        return ExpectedAnswer::Call {
            objective: job.objective(),
        };
    }
    let first_event = job.engine.as_ref().map_or(job.objective(), |spec| {
        let tokens = job.prompt(0).tokens;
        let prefill_ms = engine::prefill_ms(spec, tokens, TYPICAL_PREFILL_ENGINES);
        engine::predicted_time(first_event_ms.unwrap_or(prefill_ms))
    });
    ExpectedAnswer::Stream { first_event }
}
