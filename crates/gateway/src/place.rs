//! A place for a request: which replicas, and when.

use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_policy::crashes::CRASHES_TO_BLOCK;
use briarhall_policy::engine;
use briarhall_policy::load_tracker::Phase;
use briarhall_policy::load_tracker::Work;
use briarhall_policy::load_tracker::tag;
use briarhall_policy::placement;
use briarhall_policy::placement::Candidate;
use briarhall_policy::placement::Length;
use briarhall_policy::placement::PlacementError;
use briarhall_policy::placement::Plan;
use briarhall_policy::placement::Prompt;
use briarhall_policy::policies::Policy;
use briarhall_policy::prompt_queue::QueuedPrompt;
use briarhall_policy::rendezvous;
use briarhall_types::EngineSpec;
use briarhall_types::ReplicaId;
use briarhall_types::ReplicaRecord;
use briarhall_types::Revision;

use crate::answer::GiveUp;
use crate::attempt::Sender;
use crate::attempt::Sends;
use crate::attempt::elapsed_ms;
use crate::job::Job;
use crate::job::USUAL_PARTS;
use crate::reservation::Reservation;
use crate::state::QueuePosition;
use crate::state::State;
use crate::state::WorkGuard;
use crate::wire::Helper;
use crate::wire::Wire;

/// Time between two looks for a free place.
const LOOK_AGAIN: Duration = Duration::from_millis(8);
/// Part of a request's time for which it waits for a place; after that it is
/// better off with another gateway, or later.
const PATIENCE: f64 = 0.3;
/// The same for a long prompt, whose place in the queue would be lost.
const LONG_PATIENCE: f64 = 0.8;
/// Part of the engines that long prompts have on a busy day.
const LONG_LANE: f64 = 0.8;
/// Part of its time left that a long prompt can wait and still be answered.
const LONGEST_WAIT: f64 = 0.45;
/// Time that a call of a plain service takes at the most, mostly.
const CALL_TIME: Duration = Duration::from_millis(300);
/// Time to write an answer: forty events of a pass of 50 ms each.
const STREAM_TIME: Duration = Duration::from_secs(2);
/// When a request that crashes replicas may come back: its verdict holds far
/// longer, and no client's deadline is later.
const COME_BACK_CRASHER: Duration = Duration::from_mins(1);

/// A send with a place in the load tracker.
#[derive(Debug)]
pub struct Place<W>
where
    W: Wire,
{
    /// Where it goes.
    pub replica: ReplicaRecord,
    /// Other replicas that prefill a part.
    pub helpers: Vec<Helper>,
    /// Predicted time to the first event, in milliseconds.
    pub predicted_ms: f64,
    /// When it was found; the request is sent at once.
    pub since: Instant,
    /// Keeps it in the load tracker.
    pub work_guard: WorkGuard,
    /// Tokens that each helper holds.
    held_tokens: u64,
    reservation: Option<Reservation<W>>,
}

impl<W> Sender<W>
where
    W: Wire,
{
    /// Waits for a place.
    ///
    /// # Errors
    ///
    /// Returns the answer for the client when there is none in time.
    pub async fn place(
        &self,
        job: &Job,
        sends: &Sends,
        generated: u64,
    ) -> Result<Place<W>, GiveUp> {
        if self.crashes_replicas(job) {
            return Err(sends.last_word().come_back_in(COME_BACK_CRASHER));
        }
        if sends.any() && !self.may_repeat(job) {
            return Err(sends.last_word());
        }
        if let Some(wait) = self.queue_too_long(job, generated) {
            log_queue_too_long(job, wait);
            return Err(sends.last_word().come_back_in(wait));
        }
        let queue_position = self.join_queue(job, generated);
        let patience = if queue_position.is_some() {
            LONG_PATIENCE
        } else {
            PATIENCE
        };
        let until = (job.arrived + job.whole().mul_f64(patience)).min(job.ends);
        loop {
            if self.ends_too_soon(job, generated) {
                note_no_place(job, "the gateway ends too soon");
                return Err(sends.last_word());
            }
            let reason = match self.try_place(job, sends, generated, queue_position.as_ref()) {
                Ok(place) => match self.reserve(job, place).await {
                    Some(place) => return Ok(place),
                    None => PlacementError::Full,
                },
                Err(reason) => reason,
            };
            if reason == PlacementError::TooLarge || Instant::now() + LOOK_AGAIN >= until {
                note_no_place(job, &reason.to_string());
                return Err(sends.last_word());
            }
            Timer::after(LOOK_AGAIN).await;
        }
    }

    /// Returns whether the request is taken to crash the replicas that run it.
    fn crashes_replicas(&self, job: &Job) -> bool {
        if self.shared.state().crashes.is_empty() {
            return false;
        }
        let fingerprint = job.fingerprint();
        let state = self.shared.state();
        let blocked = state.crashes.is_blocked(fingerprint, Instant::now());
        drop(state);
        if blocked {
            self.shared.metrics.count("request_crashes_replicas");
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

    /// Returns whether this gateway is about to end before an answer could be
    /// whole. Its client is better off with another gateway, and can be told so
    /// as long as nothing was sent.
    fn ends_too_soon(&self, job: &Job, generated: u64) -> bool {
        let Some(ends_at) = self.shared.state().ends_at else {
            return false;
        };
        let needed = job.engine.as_ref().map_or(CALL_TIME, |spec| {
            let tokens = job.prompt(generated).tokens;
            let prefill = engine::prefill_ms(spec, tokens, USUAL_PARTS);
            STREAM_TIME + Duration::from_secs_f64(prefill / 1_000.0)
        });
        Instant::now() + needed > ends_at
    }

    fn waits_in_queue(&self, spec: &EngineSpec, prompt: &Prompt) -> bool {
        let in_lanes = self.shared.settings.placement == Policy::Lanes;
        in_lanes && placement::length(spec, prompt) == Length::Long
    }

    /// Returns how long a prompt would wait in the queue, when that is more
    /// than it can: its client is better off coming back.
    fn queue_too_long(&self, job: &Job, generated: u64) -> Option<Duration> {
        let spec = job.engine.as_ref()?;
        let prompt = job.prompt(generated);
        if !self.waits_in_queue(spec, &prompt) {
            return None;
        }
        let state = self.shared.state();
        let engines = state.replicas.usable();
        let engines = engines.filter(|record| record.service == job.service);
        #[expect(
            clippy::cast_precision_loss,
            reason = "counts of replicas are far below 2^52"
        )]
        let engines = engines.count().max(1) as f64 * LONG_LANE;
        let work = state.prompt_queue.work_ms(tag(job.service.as_str()));
        drop(state);
        let own = engine::prefill_ms(spec, prompt.tokens, 1);
        let wait = Duration::from_secs_f64((work + own) / engines / 1_000.0);
        (wait > job.left().mul_f64(LONGEST_WAIT)).then_some(wait)
    }

    /// Puts a long prompt in the queue.
    fn join_queue(&self, job: &Job, generated: u64) -> Option<QueuePosition> {
        let spec = job.engine.as_ref()?;
        let prompt = job.prompt(generated);
        if !self.waits_in_queue(spec, &prompt) {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            reason = "times in milliseconds need no more digits"
        )]
        let queued_prompt = QueuedPrompt {
            id: rendezvous::weight("request", job.head.id.as_str()),
            service: tag(job.service.as_str()),
            priority: job.rank(),
            slack_ms: job.slack_ms(spec, &prompt) as f32,
            overdue_in_ms: job.overdue_in_ms() as f32,
            prefill_ms: engine::prefill_ms(spec, prompt.tokens, 1) as f32,
        };
        Some(QueuePosition::new(&self.shared, queued_prompt))
    }

    fn may_repeat(&self, job: &Job) -> bool {
        let mut state = self.shared.state();
        let gateways = state.gateways();
        let budget = state.budget(&job.service, &self.shared.settings);
        let may = budget.spend(gateways, Instant::now());
        drop(state);
        self.shared.metrics.count(if may {
            "repeat_allowed"
        } else {
            "repeat_denied"
        });
        if !may {
            log::info!(
                event = "no_budget",
                request = job.head.id.as_str(),
                service = job.service.as_str(),
                gateways;
                "no budget to send again"
            );
        }
        may
    }

    fn try_place(
        &self,
        job: &Job,
        sends: &Sends,
        generated: u64,
        queue_position: Option<&QueuePosition>,
    ) -> Result<Place<W>, PlacementError> {
        let now = Instant::now();
        let mut state = self.shared.state();
        if queue_position.is_some_and(|queue_position| !queue_position.is_first(&state, now)) {
            return Err(PlacementError::Full);
        }
        let candidates = candidates(&state, job, sends, &self.shared.settings.zone, now);
        let plan = match (self.shared.settings.placement, &job.engine) {
            (Policy::Lanes, _) | (_, None) => choose(job, generated, &candidates)?,
            (policy, Some(spec)) => {
                let turn = state.next_turn();
                let prompt = job.prompt(generated);
                placement::baseline(policy, spec, &prompt, &candidates, turn, &mut rand::rng())?
            }
        };
        let record = |id: &ReplicaId| state.replicas.get(id).cloned();
        let replica = record(&plan.first).ok_or(PlacementError::NoReplica)?;
        let helpers = plan.helpers.iter().filter_map(record);
        let helpers = helpers.collect::<Vec<_>>();
        let first = first_work(job, generated, &plan);
        let parts = plan.helpers.iter().map(|id| part_work(id, &plan));
        let parts = parts.collect::<Vec<_>>();
        let work_guard = WorkGuard::new(&self.shared, &mut state, first, &parts);
        let known = Known {
            registry: state.replicas.revision(),
            gateways: state.peers.up(now).count() + 1,
        };
        drop(state);
        self.note_placed(job, &plan, &known);
        let helpers = helpers.iter().map(|record| Helper {
            address: record.address,
            ticket: None,
        });
        Ok(Place {
            helpers: helpers.collect(),
            replica,
            predicted_ms: plan.predicted_ms,
            since: now,
            work_guard,
            held_tokens: plan.part_tokens,
            reservation: None,
        })
    }

    fn note_placed(&self, job: &Job, plan: &Plan<ReplicaId>, known: &Known) {
        let metrics = &self.shared.metrics;
        metrics.count("request_placed");
        metrics.time("request_waited", job.arrived.elapsed());
        let helpers = plan.helpers.join(",");
        log::info!(
            event = "placed",
            request = job.head.id.as_str(),
            route = job.route.name.as_str(),
            replica = plan.first.as_str(),
            helpers = helpers.as_str(),
            configuration = job.configuration,
            registry = known.registry,
            gateways = known.gateways,
            tokens = job.head.prompt_tokens.unwrap_or(0),
            part_ms = plan.part_ms,
            predicted_ms = plan.predicted_ms,
            waited_ms = elapsed_ms(job.arrived);
            "placed"
        );
    }

    /// Sets memory aside at the helpers of a place, where the plan needs it.
    /// Returns nothing when they do not grant it.
    async fn reserve(&self, job: &Job, mut place: Place<W>) -> Option<Place<W>> {
        if place.held_tokens > 0 {
            let reservation = Reservation::take(
                self.wire.clone(),
                self.client.clone(),
                self.executor.clone(),
                &mut place.helpers,
                place.held_tokens,
                &job.head.id,
            );
            place.reservation = Some(reservation.await?);
        }
        Some(place)
    }
}

fn log_queue_too_long(job: &Job, wait: Duration) {
    log::info!(
        event = "line_too_long",
        request = job.head.id.as_str(),
        service = job.service.as_str(),
        predicted_wait_ms = wait.as_millis();
        "queue too long"
    );
}

fn note_no_place(job: &Job, reason: &str) {
    log::info!(
        event = "no_place",
        request = job.head.id.as_str(),
        service = job.service.as_str(),
        reason,
        waited_ms = elapsed_ms(job.arrived);
        "no place"
    );
}

/// What a gateway knew when it chose.
struct Known {
    registry: Revision,
    gateways: usize,
}

fn choose(
    job: &Job,
    generated: u64,
    candidates: &[Candidate<ReplicaId>],
) -> Result<Plan<ReplicaId>, PlacementError> {
    let Some(spec) = &job.engine else {
        return Ok(Plan {
            first: placement::call(candidates)?,
            helpers: Vec::new(),
            part_ms: 0.0,
            part_tokens: 0,
            predicted_ms: 0.0,
        });
    };
    let prompt = job.prompt(generated);
    match placement::length(spec, &prompt) {
        Length::Short => placement::short(spec, &prompt, candidates),
        Length::Medium => placement::medium(spec, &prompt, candidates),
        Length::Long => {
            let urgency = job.urgency(spec, &prompt);
            placement::long(spec, &prompt, urgency, candidates)
        }
    }
}

/// The work of the replica that answers.
fn first_work(job: &Job, generated: u64, plan: &Plan<ReplicaId>) -> Work {
    if job.engine.is_none() {
        return Work {
            phase: Phase::Call,
            ..part_work(&plan.first, plan)
        };
    }
    let prompt = job.prompt(generated);
    let tokens = prompt.tokens + prompt.max_output;
    let pause_ms = u32::try_from(job.pause().as_millis()).unwrap_or(u32::MAX);
    Work {
        kv_tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        pause_ms: Some(pause_ms),
        ..part_work(&plan.first, plan)
    }
}

/// The work of a replica that prefills a part.
fn part_work(id: &ReplicaId, plan: &Plan<ReplicaId>) -> Work {
    Work {
        replica: tag(id.as_str()),
        phase: Phase::Prefill,
        #[expect(
            clippy::cast_possible_truncation,
            reason = "a time in milliseconds needs no more digits"
        )]
        prefill_ms: plan.part_ms as f32,
        kv_tokens: u32::try_from(plan.part_tokens).unwrap_or(u32::MAX),
        pause_ms: None,
        age_ms: 0,
    }
}

fn candidates(
    state: &State,
    job: &Job,
    sends: &Sends,
    zone: &str,
    now: Instant,
) -> Vec<Candidate<ReplicaId>> {
    let loads = state.load_tracker.loads(now);
    let of_service = state.replicas.usable();
    let of_service = of_service.filter(|record| record.service == job.service);
    let candidate = |record: &ReplicaRecord| Candidate {
        key: record.id.clone(),
        order: rendezvous::weight(job.service.as_str(), record.id.as_str()),
        slots: usize::try_from(record.slots).unwrap_or(usize::MAX),
        load: loads
            .get(&tag(record.id.as_str()))
            .cloned()
            .unwrap_or_default(),
        penalty: state.health.penalty(&record.id, now),
        same_zone: record.zone == zone,
    };
    let all = of_service.map(candidate).collect::<Vec<_>>();
    let untried = all.iter().filter(|c| !sends.tried.contains(&c.key));
    let untried = untried.cloned().collect::<Vec<_>>();
    if untried.is_empty() { all } else { untried }
}
