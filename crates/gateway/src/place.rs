//! Chooses the replicas that run a request, and waits until they can take it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_policy::engine;
use briarhall_policy::load_tracker::tag;
use briarhall_policy::placement;
use briarhall_policy::placement::Candidate;
use briarhall_policy::placement::Length;
use briarhall_policy::placement::PlacementError;
use briarhall_policy::placement::Plan;
use briarhall_policy::placement::even;
use briarhall_policy::policies::Policy;
use briarhall_policy::prompt_queue::QueuedPrompt;
use briarhall_policy::rendezvous;
use briarhall_types::ReplicaId;
use briarhall_types::ReplicaRecord;
use briarhall_types::Revision;

use crate::attempt::Attempts;
use crate::attempt::Dispatcher;
use crate::attempt::elapsed_ms;
use crate::candidates::Candidates;
use crate::candidates::candidates;
use crate::candidates::first_work;
use crate::candidates::part_work;
use crate::candidates::unseen_placements;
use crate::detour::Detour;
use crate::even_load::StaleViews;
use crate::even_load::record_busiest;
use crate::guards::QueuePosition;
use crate::guards::WorkGuard;
use crate::job::Job;
use crate::outcomes::SentTo;
use crate::pace_watch::PaceWatch;
use crate::request_error::DEFAULT_RETRY_AFTER;
use crate::request_error::RequestError;
use crate::reservation::EngineCalls;
use crate::reservation::Reservation;
use crate::shortage::Contender;
use crate::shortage::EngineRequest;
use crate::shortage::View;
use crate::state::State;
use crate::wire::Helper;
use crate::wire::Wire;

/// Time between two attempts to place a waiting request.
const PLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(8);
/// Share of its time budget for which a request waits for a replica; the rest
/// is left for the client to try another gateway or to retry later.
const WAIT_SHARE: f64 = 0.3;
/// The same for a long prompt; it waits longer because a retry loses its
/// position in the queue.
const LONG_PROMPT_WAIT_SHARE: f64 = 0.8;

/// The replicas chosen for one send. Their work stays in the load tracker, and
/// helpers' memory stays reserved, until this is dropped.
#[derive(Debug)]
pub struct Placement<W>
where
    W: Wire,
{
    /// Replica that answers.
    pub replica: ReplicaRecord,
    /// Other replicas that prefill a part of the prompt.
    pub helpers: Vec<Helper>,
    /// Predicted time to the first event, in milliseconds.
    pub predicted_ms: f64,
    /// When the replicas were chosen; the request is sent at once.
    pub placed_at: Instant,
    /// Keeps the work in the load tracker.
    pub work_guard: WorkGuard,
    /// Set where `replica` is not one but a gateway that sends the request on.
    pub detour: Option<Detour>,
    /// Tokens of the prompt that each helper holds in memory.
    pub tokens_per_helper: u64,
    /// Keeps the memory.
    pub reservation: Option<Reservation<W>>,
    /// Compares the answer with what was predicted, where paces are observed.
    pub pace_watch: Option<PaceWatch>,
}

impl<W> Placement<W>
where
    W: Wire,
{
    /// Returns where the request is sent.
    #[must_use]
    pub fn sent_to(&self) -> SentTo<'_> {
        SentTo {
            id: &self.replica.id,
            at: self.placed_at,
            by_detour: self.detour.is_some(),
        }
    }

    /// Returns how many replicas may run the request by this send.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.detour.map_or(1, |detour| detour.max_attempts)
    }
}

impl<W> Dispatcher<W>
where
    W: Wire,
{
    /// Chooses replicas for the job, and waits until they can take it.
    /// `generated` tokens of the answer are to be prefilled again.
    ///
    /// # Errors
    ///
    /// Returns the error for the client when no replica can take the job in
    /// time, or when it must not be sent again.
    pub async fn place(
        &self,
        job: &Job,
        attempts: &Attempts,
        generated: u64,
    ) -> Result<Placement<W>, RequestError> {
        if attempts.may_have_run == 0 {
            job.in_flight.not_run();
        }
        self.pause_guard.confirmed().await;
        let mut limit_wait_ends = None;
        let refused = self.crashes_replicas(job);
        let refused = refused.or_else(|| self.all_evacuated(job, attempts));
        let unavailable = || self.time_to_wait_out(job, attempts, &mut limit_wait_ends);
        if let Some(wait) = refused.or_else(unavailable) {
            return Err(attempts.final_error().with_retry_after(wait));
        }
        self.refuse_if_stopping(job, attempts, generated, None)?;
        if attempts.is_retry() && !self.spend_retry_budget(job) {
            return Err(attempts.final_error());
        }
        if let Some(detour) = self.place_detour(job, attempts)? {
            return Ok(detour);
        }
        let mut contender = self.contender(job, attempts, generated);
        if let Some(wait) = self.long_queue_refusal(job, generated, contender.as_mut()) {
            return Err(attempts.final_error().with_retry_after(wait));
        }
        let mut queue_position = self.join_queue(job, generated);
        let wait_share = if queue_position.is_some() {
            LONG_PROMPT_WAIT_SHARE
        } else {
            WAIT_SHARE
        };
        let until = (job.arrived + job.time_budget().mul_f64(wait_share)).min(job.deadline);
        if let Some(contender) = &mut contender {
            let patience = until.saturating_duration_since(Instant::now());
            if let Some(wait) = contender.enter(&view(&self.shared.state()), patience) {
                return Err(attempts.final_error().with_retry_after(wait));
            }
        }
        let waits_in_queue = queue_position.is_some();
        loop {
            self.refuse_if_stopping(job, attempts, generated, None)?;
            self.pause_guard.confirmed().await;
            // What has been learnt while the job waits.
            if let Some(detour) = self.place_detour(job, attempts)? {
                return Ok(detour);
            }
            let refused = self.crashes_replicas(job);
            let refused = refused.or_else(|| self.all_evacuated(job, attempts));
            let unavailable = || self.time_to_wait_out(job, attempts, &mut limit_wait_ends);
            if let Some(wait) = refused.or_else(unavailable) {
                return Err(attempts.final_error().with_retry_after(wait));
            }
            if contender.as_mut().is_some_and(Contender::take_news) {
                self.shared.request_heartbeat();
            }
            let behind = contender
                .as_mut()
                .is_some_and(|contender| contender.is_behind(&view(&self.shared.state())));
            if behind {
                // At the head of the queue it would hold up those that go first.
                queue_position = None;
            } else if waits_in_queue && queue_position.is_none() {
                queue_position = self.join_queue(job, generated);
            }
            let placed = if behind {
                Err(PlacementError::Full)
            } else {
                self.try_place(job, attempts, generated, queue_position.as_ref())
            };
            let reason = match placed {
                Ok(placement) => match self.reserve(job, placement).await {
                    Some(placement) => {
                        let predicted_ms = Some(placement.predicted_ms);
                        self.refuse_if_stopping(job, attempts, generated, predicted_ms)?;
                        if let Some(contender) = &contender {
                            contender.placed();
                        }
                        return Ok(placement);
                    }
                    None => PlacementError::Full,
                },
                Err(reason) => reason,
            };
            if let Some(contender) = contender.as_mut().filter(|_| !behind) {
                contender.not_placed(reason, Instant::now());
            }
            if reason == PlacementError::TooLarge
                || Instant::now() + PLACEMENT_RETRY_INTERVAL >= until
            {
                log_no_place(job, &reason.to_string());
                let error = attempts.final_error();
                return Err(match &mut contender {
                    Some(contender) => {
                        let wait = contender.gives_up(&view(&self.shared.state()), reason);
                        error.with_retry_after(wait)
                    }
                    None => error,
                });
            }
            Timer::after(PLACEMENT_RETRY_INTERVAL).await;
        }
    }

    /// Refuses the job if this gateway may stop before the answer is complete. A stream of
    /// which `generated` tokens have been sent is resumed in any case: a refusal would cut
    /// it at once.
    fn refuse_if_stopping(
        &self,
        job: &Job,
        attempts: &Attempts,
        generated: u64,
        first_event_ms: Option<f64>,
    ) -> Result<(), RequestError> {
        if generated == 0 && self.stops_too_soon(job, first_event_ms) {
            log_no_place(job, "the gateway ends too soon");
            let wait = self.return_after_stop().unwrap_or(DEFAULT_RETRY_AFTER);
            return Err(attempts.final_error().with_retry_after(wait));
        }
        Ok(())
    }

    /// Returns after which time the caller may come back when the queue of long prompts is
    /// too long to answer in time and the request may not join it all the same.
    fn long_queue_refusal(
        &self,
        job: &Job,
        generated: u64,
        contender: Option<&mut Contender>,
    ) -> Option<Duration> {
        let wait = self.queue_too_long(job, generated)?;
        let Some(contender) = contender else {
            log_queue_too_long(job, wait);
            return Some(wait);
        };
        let state = self.shared.state();
        if contender.may_join_long_queue(&view(&state)) {
            return None;
        }
        log_queue_too_long(job, wait);
        Some(contender.spread(&view(&state), wait))
    }

    /// Records that a job asks for engine time. Returns `None` for one to which no share
    /// applies: without organisations, of a plain service, where no hard load is expected,
    /// or which may have run, as only this gateway can still give its answer.
    fn contender(&self, job: &Job, attempts: &Attempts, generated: u64) -> Option<Contender> {
        let spec = job.engine.as_ref()?;
        if attempts.may_have_run > 0 || generated > 0 {
            return None;
        }
        if self.shared.settings.placement != Policy::Lanes {
            return None;
        }
        let state = self.shared.state();
        let current = state.current_configuration.as_ref()?;
        if !current.table.requires_key() || !current.table.expects_hard_load() {
            return None;
        }
        let organisation = job.organisation.as_ref();
        let request = EngineRequest {
            id: job.head.id.as_str(),
            service: &job.service,
            route: job.route.name.as_str(),
            organisation: organisation.map_or("", |o| o.name.as_str()),
            priority: job.priority(),
            spec,
            prompt: job.prompt(0),
            arrived: job.arrived,
            is_new: attempts.tried.is_empty(),
        };
        Some(Contender::new(
            &state.shortage,
            &self.shared.metrics,
            &request,
        ))
    }

    /// Adds a long prompt to the queue; other prompts do not wait in it.
    fn join_queue(&self, job: &Job, generated: u64) -> Option<QueuePosition> {
        let spec = job.engine.as_ref()?;
        let prompt = job.prompt(generated);
        if !self.waits_in_queue(spec, &prompt) {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            reason = "f32 is precise enough for times in milliseconds"
        )]
        let queued_prompt = QueuedPrompt {
            id: rendezvous::weight("request", job.head.id.as_str()),
            service: tag(job.service.as_str()),
            priority: job.priority(),
            slack_ms: job.slack_ms(spec, &prompt) as f32,
            overdue_in_ms: job.overdue_in_ms() as f32,
            prefill_ms: engine::prefill_ms(spec, prompt.tokens, 1) as f32,
        };
        Some(QueuePosition::new(&self.shared, queued_prompt))
    }

    fn spend_retry_budget(&self, job: &Job) -> bool {
        let mut state = self.shared.state();
        let gateways = state.gateways();
        let budget = state.budget(&job.service, &self.shared.settings);
        let allowed = budget.spend(gateways, Instant::now());
        drop(state);
        self.shared.metrics.count(if allowed {
            "repeat_allowed"
        } else {
            "repeat_denied"
        });
        if !allowed {
            log::info!(
                event = "no_budget",
                request = job.head.id.as_str(),
                service = job.service.as_str(),
                gateways;
                "retry budget of the service is spent"
            );
        }
        allowed
    }

    fn try_place(
        &self,
        job: &Job,
        attempts: &Attempts,
        generated: u64,
        queue_position: Option<&QueuePosition>,
    ) -> Result<Placement<W>, PlacementError> {
        let now = Instant::now();
        let mut state = self.shared.state();
        if queue_position.is_some_and(|queue_position| !queue_position.is_first(&state, now)) {
            return Err(PlacementError::Full);
        }
        let Candidates {
            replicas: candidates,
            cold_limit_held,
        } = candidates(&state, job, attempts, &self.shared.settings, now);
        if cold_limit_held {
            self.shared.metrics.count("cold_limit_held");
        }
        let views = StaleViews::new(&state, &self.shared.settings.zone, now);
        let plan = match (self.shared.settings.placement, &job.engine) {
            (Policy::Lanes, _) | (_, None) => {
                let plan = if let Some(views) = views {
                    choose_even(job, generated, &candidates, views.unseen)
                } else {
                    let unseen = unseen_placements(&state, now);
                    choose(job, generated, &candidates, unseen)
                };
                plan.map_err(|e| match e {
                    // The replicas that get nothing now have memory as well.
                    PlacementError::TooLarge if cold_limit_held => PlacementError::Full,
                    e => e,
                })?
            }
            (policy, Some(spec)) => {
                let round_robin = state.next_round_robin();
                let prompt = job.prompt(generated);
                placement::baseline(
                    policy,
                    spec,
                    &prompt,
                    &candidates,
                    round_robin,
                    &mut rand::rng(),
                )?
            }
        };
        let watch = |_| PaceWatch::new(job, generated, &plan, &candidates, now);
        let pace_watch = views.and_then(watch);
        let record = |id: &ReplicaId| state.replicas.get(id).cloned();
        let replica = record(&plan.first).ok_or(PlacementError::NoReplica)?;
        let helpers = plan.helpers.iter().filter_map(record);
        let helpers = helpers.collect::<Vec<_>>();
        let first = first_work(job, generated, &plan);
        let parts = plan.helpers.iter().map(|id| part_work(id, &plan));
        let parts = parts.collect::<Vec<_>>();
        let first_tag = tag(plan.first.as_str());
        state.replica_limits.sent(first_tag, now);
        state.cold_replicas.sent(first_tag, now);
        for id in &plan.helpers {
            state.cold_replicas.sent(tag(id.as_str()), now);
        }
        let work_guard = WorkGuard::new(&self.shared, &mut state, first, &parts);
        let known = KnownState {
            registry_revision: state.replicas.position().revision,
            gateways: state.peers.up(now).count() + 1,
        };
        drop(state);
        if views.is_some() {
            record_busiest(&self.shared.metrics, &job.service, &candidates);
        }
        self.record_placement(job, &plan, &known);
        let helpers = helpers.iter().map(|record| Helper {
            replica: record.id.clone(),
            address: record.address,
            reservation_id: None,
        });
        Ok(Placement {
            helpers: helpers.collect(),
            replica,
            predicted_ms: plan.predicted_ms,
            placed_at: now,
            work_guard,
            detour: None,
            tokens_per_helper: plan.part_tokens,
            reservation: None,
            pace_watch,
        })
    }

    fn record_placement(&self, job: &Job, plan: &Plan<ReplicaId>, known: &KnownState) {
        let metrics = &self.shared.metrics;
        metrics.count("request_placed");
        let waited = job.arrived.elapsed();
        metrics.time("request_waited", waited);
        metrics.time(length_metric(job), waited);
        let helpers = plan.helpers.join(",");
        log::info!(
            event = "placed",
            request = job.head.id.as_str(),
            route = job.route.name.as_str(),
            replica = plan.first.as_str(),
            helpers = helpers.as_str(),
            configuration = job.configuration,
            registry = known.registry_revision,
            gateways = known.gateways,
            tokens = job.head.prompt_tokens.unwrap_or(0),
            output_tokens = job.head.output_tokens.unwrap_or(0),
            shared_parts = job.shared_parts().join(",").as_str(),
            part_ms = plan.part_ms,
            predicted_ms = plan.predicted_ms,
            waited_ms = elapsed_ms(job.arrived);
            "request placed"
        );
        if let Some(time) = self.time_in_stop(job, Some(plan.predicted_ms)) {
            log::info!(
                event = "placed_in_stop",
                request = job.head.id.as_str(),
                needed_ms = time.needed.as_millis(),
                left_ms = time.left.as_millis();
                "request placed while this gateway stops"
            );
        }
    }

    /// Reserves memory at the helpers, where the plan needs it. Returns `None`
    /// unless all of them grant it.
    async fn reserve(&self, job: &Job, mut placement: Placement<W>) -> Option<Placement<W>> {
        if placement.tokens_per_helper > 0 {
            let reservation = Reservation::acquire(
                EngineCalls {
                    shared: Arc::clone(&self.shared),
                    wire: self.wire.clone(),
                    client: self.client.clone(),
                },
                self.executor.clone(),
                &mut placement.helpers,
                placement.tokens_per_helper,
                &job.head.id,
            );
            placement.reservation = Some(reservation.await?);
        }
        Some(placement)
    }
}

/// Returns what a contender needs of the control state.
fn view(state: &State) -> View<'_> {
    let now = Instant::now();
    View {
        replicas: &state.replicas,
        load_tracker: &state.load_tracker,
        pauses: &state.pauses,
        gateways: state.peers.serving(now).count() + 1,
        now,
    }
}

/// Returns the name of the metric of the waits of a job's length class.
fn length_metric(job: &Job) -> &'static str {
    let Some(spec) = &job.engine else {
        return "request_waited_call";
    };
    match placement::length(spec, &job.prompt(0)) {
        Length::Short => "request_waited_short",
        Length::Medium => "request_waited_medium",
        Length::Long => "request_waited_long",
    }
}

fn log_queue_too_long(job: &Job, wait: Duration) {
    log::info!(
        event = "line_too_long",
        request = job.head.id.as_str(),
        service = job.service.as_str(),
        tokens = job.head.prompt_tokens.unwrap_or(0),
        predicted_wait_ms = wait.as_millis();
        "predicted wait in the prompt queue is too long"
    );
}

fn log_no_place(job: &Job, reason: &str) {
    log::info!(
        event = "no_place",
        request = job.head.id.as_str(),
        service = job.service.as_str(),
        reason,
        tokens = job.head.prompt_tokens.unwrap_or(0),
        waited_ms = elapsed_ms(job.arrived);
        "no replica can take the request in time"
    );
}

/// State that a placement was based on, for the log.
struct KnownState {
    registry_revision: Revision,
    gateways: usize,
}

fn choose(
    job: &Job,
    generated: u64,
    candidates: &[Candidate<ReplicaId>],
    unseen: usize,
) -> Result<Plan<ReplicaId>, PlacementError> {
    let Some(spec) = &job.engine else {
        return choose_for_call(candidates);
    };
    let prompt = job.prompt(generated);
    match placement::length(spec, &prompt) {
        Length::Short => placement::short(spec, &prompt, candidates, unseen, &mut rand::rng()),
        Length::Medium => placement::medium(spec, &prompt, candidates),
        Length::Long => {
            let urgency = job.urgency(spec, &prompt);
            placement::long(spec, &prompt, urgency, candidates)
        }
    }
}

/// Chooses as [`choose`] does, where gateways know each other's work late.
fn choose_even(
    job: &Job,
    generated: u64,
    candidates: &[Candidate<ReplicaId>],
    unseen: usize,
) -> Result<Plan<ReplicaId>, PlacementError> {
    let Some(spec) = &job.engine else {
        return choose_for_call(candidates);
    };
    let prompt = job.prompt(generated);
    match placement::length(spec, &prompt) {
        Length::Short => even::short(spec, &prompt, candidates, unseen, &mut rand::rng()),
        Length::Medium => even::medium(spec, &prompt, candidates, unseen),
        Length::Long => {
            let urgency = job.urgency(spec, &prompt);
            even::long(spec, &prompt, urgency, candidates, unseen)
        }
    }
}

fn choose_for_call(candidates: &[Candidate<ReplicaId>]) -> Result<Plan<ReplicaId>, PlacementError> {
    Ok(Plan {
        first: placement::call(candidates)?,
        helpers: Vec::new(),
        part_ms: 0.0,
        part_tokens: 0,
        predicted_ms: 0.0,
    })
}
