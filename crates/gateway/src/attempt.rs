//! One send of a request: where it goes, and what came of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_net::Body;
use briarhall_net::Exchange;
use briarhall_net::Executor;
use briarhall_net::HttpClient;
use briarhall_net::HttpError;
use briarhall_net::Phase as HowFar;
use briarhall_net::timeout;
use briarhall_policy::board::Phase;
use briarhall_policy::board::Work;
use briarhall_policy::board::tag;
use briarhall_policy::engine;
use briarhall_policy::health::Outcome;
use briarhall_policy::line::Waiter;
use briarhall_policy::placement;
use briarhall_policy::placement::Candidate;
use briarhall_policy::placement::Length;
use briarhall_policy::placement::NoPlace;
use briarhall_policy::placement::Plan;
use briarhall_policy::rendezvous;
use briarhall_types::ReplicaId;
use briarhall_types::ReplicaRecord;
use hyper::Request;
use hyper::StatusCode;

use crate::answer::COME_BACK;
use crate::answer::GiveUp;
use crate::job::Job;
use crate::reservation::Reservation;
use crate::state::InLine;
use crate::state::Placed;
use crate::state::Shared;
use crate::state::State;
use crate::state::note_outcome;
use crate::wire::Helper;
use crate::wire::Outgoing;
use crate::wire::ReplyHead;
use crate::wire::Wire;

/// Time to open a connection: a hundred times what one between availability
/// zones takes, and less than a repeated SYN.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Time between two looks for a free place.
const LOOK_AGAIN: Duration = Duration::from_millis(8);
/// Part of a request's time for which it waits for a place; after that it is
/// better off with another gateway, or later.
const PATIENCE: f64 = 0.3;
/// The same for a long prompt, whose place in line would be lost.
const LONG_PATIENCE: f64 = 0.7;
/// Part of the engines that long prompts have on a busy day.
const LONG_LANE: f64 = 0.8;
/// Part of its time left that a long prompt can wait and still be answered.
const LONGEST_WAIT: f64 = 0.45;
/// Sends that were turned away, not run, before the client is told.
const MOST_REFUSALS: u32 = 4;

/// Sends of one client request so far.
#[derive(Debug, Default)]
pub struct Sends {
    /// Sends that may have run.
    pub may_have_run: u32,
    /// Sends that were turned away.
    pub refused: u32,
    /// Replicas not to use again.
    pub tried: Vec<ReplicaId>,
}

impl Sends {
    /// Returns whether the job may be sent once more after a send that was
    /// turned away (`ran` false) or may have run.
    #[must_use]
    pub fn allow_another(&self, job: &Job, ran: bool) -> bool {
        let allowed = self.may_have_run < job.route.max_attempts.max(1);
        let safe = !ran || job.repeatable();
        allowed && safe && self.refused < MOST_REFUSALS && !job.left().is_zero()
    }

    fn any(&self) -> bool {
        self.may_have_run + self.refused > 0
    }

    fn last_word(&self) -> GiveUp {
        if self.may_have_run > 0 {
            GiveUp::AnswerLost
        } else {
            GiveUp::NotRun {
                retry_after: COME_BACK,
            }
        }
    }
}

/// A send with a place on the board.
#[derive(Debug)]
pub struct Place<W>
where
    W: Wire,
{
    /// Where it goes.
    pub replica: ReplicaRecord,
    /// Other replicas that read a part.
    pub helpers: Vec<Helper>,
    /// Predicted time to the first event, in milliseconds.
    pub predicted_ms: f64,
    /// Keeps it on the board.
    pub placed: Placed,
    /// Tokens that each helper holds.
    held_tokens: u64,
    reservation: Option<Reservation<W>>,
}

/// What came of a send.
#[derive(Debug)]
pub enum Sent {
    /// The replica's answer begins.
    Answer(Box<Exchange>, ReplyHead),
    /// It has not run and will not.
    NotRun,
    /// It may have run.
    Lost,
}

/// Finds a place for the job and sends it.
#[derive(Debug, Clone)]
pub struct Sender<W> {
    /// Spells heads.
    pub wire: W,
    /// Opens connections.
    pub client: HttpClient,
    /// Runs what outlives a request.
    pub executor: Executor,
    /// Control state.
    pub shared: Arc<Shared>,
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
    pub async fn place(&self, job: &Job, sends: &Sends, written: u64) -> Result<Place<W>, GiveUp> {
        if sends.any() && !self.may_repeat(job) {
            return Err(sends.last_word());
        }
        if let Some(wait) = self.line_too_long(job, written) {
            log::info!(
                event = "line_too_long",
                request = job.head.id.as_str(),
                service = job.service.as_str(),
                predicted_wait_ms = wait.as_millis();
                "line too long"
            );
            return Err(sends.last_word().come_back_in(wait));
        }
        let in_line = self.join_line(job, written);
        let patience = if in_line.is_some() {
            LONG_PATIENCE
        } else {
            PATIENCE
        };
        let until = (job.arrived + job.whole().mul_f64(patience)).min(job.ends);
        loop {
            let reason = match self.try_place(job, sends, written, in_line.as_ref()) {
                Ok(place) => match self.reserve(job, place).await {
                    Some(place) => return Ok(place),
                    None => NoPlace::Full,
                },
                Err(reason) => reason,
            };
            if reason == NoPlace::TooLarge || Instant::now() + LOOK_AGAIN >= until {
                log::info!(
                    event = "no_place",
                    request = job.head.id.as_str(),
                    service = job.service.as_str(),
                    reason = reason.to_string().as_str(),
                    waited_ms = elapsed_ms(job.arrived);
                    "no place"
                );
                return Err(sends.last_word());
            }
            Timer::after(LOOK_AGAIN).await;
        }
    }

    /// Returns how long a prompt would wait in line, when that is more than it
    /// can: its client is better off coming back.
    fn line_too_long(&self, job: &Job, written: u64) -> Option<Duration> {
        let spec = job.engine.as_ref()?;
        let prompt = job.prompt(written);
        if placement::length(spec, &prompt) != Length::Long {
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
        let work = state.line.work_ms(tag(job.service.as_str()));
        drop(state);
        let own = engine::read_ms(spec, prompt.tokens, 1);
        let wait = Duration::from_secs_f64((work + own) / engines / 1_000.0);
        (wait > job.left().mul_f64(LONGEST_WAIT)).then_some(wait)
    }

    /// Puts a long prompt in line.
    fn join_line(&self, job: &Job, written: u64) -> Option<InLine> {
        let spec = job.engine.as_ref()?;
        let prompt = job.prompt(written);
        if placement::length(spec, &prompt) != Length::Long {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            reason = "times in milliseconds need no more digits"
        )]
        let waiter = Waiter {
            id: rendezvous::weight("request", job.head.id.as_str()),
            service: tag(job.service.as_str()),
            priority: job.rank(),
            slack_ms: job.slack_ms(spec, &prompt) as f32,
            turn_ms: job.turn_ms() as f32,
            read_ms: engine::read_ms(spec, prompt.tokens, 1) as f32,
        };
        Some(InLine::new(&self.shared, waiter))
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
        written: u64,
        in_line: Option<&InLine>,
    ) -> Result<Place<W>, NoPlace> {
        let now = Instant::now();
        let mut state = self.shared.state();
        if in_line.is_some_and(|in_line| !in_line.is_first(&state, now)) {
            return Err(NoPlace::Full);
        }
        let candidates = candidates(&state, job, sends, &self.shared.settings.zone, now);
        let (plan, phase, kv_tokens) = if let Some(spec) = &job.engine {
            let prompt = job.prompt(written);
            let plan = match placement::length(spec, &prompt) {
                Length::Short => placement::short(spec, &prompt, &candidates)?,
                Length::Medium => placement::medium(spec, &prompt, &candidates)?,
                Length::Long => {
                    let urgency = job.urgency(spec, &prompt);
                    placement::long(spec, &prompt, urgency, &candidates)?
                }
            };
            (plan, Phase::Reads, prompt.tokens + prompt.max_output)
        } else {
            let first = placement::call(&candidates)?;
            let plan = Plan {
                first,
                helpers: Vec::new(),
                part_ms: 0.0,
                part_tokens: 0,
                predicted_ms: 0.0,
            };
            (plan, Phase::Call, 0)
        };
        let record = |id: &ReplicaId| state.replicas.get(id).cloned();
        let replica = record(&plan.first).ok_or(NoPlace::NoReplica)?;
        let helpers = plan.helpers.iter().filter_map(record);
        let helpers = helpers.collect::<Vec<_>>();
        let pause = job.engine.as_ref().map(|_| job.pause());
        let work = |id: &ReplicaId| Work {
            replica: tag(id.as_str()),
            phase,
            #[expect(
                clippy::cast_possible_truncation,
                reason = "a time in milliseconds needs no more digits"
            )]
            read_ms: plan.part_ms as f32,
            kv_tokens: u32::try_from(plan.part_tokens).unwrap_or(u32::MAX),
            pause_ms: None,
            age_ms: 0,
        };
        let first = Work {
            kv_tokens: u32::try_from(kv_tokens).unwrap_or(u32::MAX),
            pause_ms: pause.map(|p| u32::try_from(p.as_millis()).unwrap_or(u32::MAX)),
            ..work(&replica.id)
        };
        let parts = helpers.iter().map(|h| work(&h.id)).collect::<Vec<_>>();
        let placed = Placed::new(&self.shared, &mut state, first, &parts);
        let registry = state.replicas.revision();
        let gateways = state.peers.up(now).count() + 1;
        drop(state);
        self.shared.metrics.count("request_placed");
        let waited = job.arrived.elapsed();
        self.shared.metrics.time("request_waited", waited);
        let names = helpers.iter().map(|h| h.id.as_str()).collect::<Vec<_>>();
        let names = names.join(",");
        log::info!(
            event = "placed",
            request = job.head.id.as_str(),
            route = job.route.name.as_str(),
            replica = replica.id.as_str(),
            helpers = names.as_str(),
            configuration = job.configuration,
            registry,
            gateways,
            tokens = job.head.prompt_tokens.unwrap_or(0),
            part_ms = plan.part_ms,
            predicted_ms = plan.predicted_ms,
            waited_ms = elapsed_ms(job.arrived);
            "placed"
        );
        let helpers = helpers.iter().map(|record| Helper {
            address: record.address,
            ticket: None,
        });
        Ok(Place {
            helpers: helpers.collect(),
            replica,
            predicted_ms: plan.predicted_ms,
            placed,
            held_tokens: plan.part_tokens,
            reservation: None,
        })
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

    /// Sends the job to its place and waits for the head of the answer, no
    /// longer than `limit`.
    pub async fn send(
        &self,
        job: &Job,
        place: &Place<W>,
        resume_after: Option<&str>,
        limit: Duration,
        sends: &mut Sends,
    ) -> Sent {
        let id = &place.replica.id;
        sends.tried.push(id.clone());
        let req = self.request(job, place, resume_after);
        let address = place.replica.address;
        let exchange = self.client.start(address, req, CONNECT_LIMIT);
        let exchange = match timeout(limit, exchange).await {
            Ok(Ok(exchange)) => exchange,
            Ok(Err(e)) => return self.failed(job, id, address, &e, sends),
            Err(_elapsed) => {
                note_outcome(&self.shared, id, Outcome::Silent);
                sends.may_have_run += 1;
                log_send(job, id, "silent", limit.as_millis());
                return Sent::Lost;
            }
        };
        let (parts, body) = exchange.reply.into_parts();
        let head = self.wire.reply_head(&parts);
        let exchange = Exchange {
            reply: hyper::Response::from_parts(parts, body),
            connection: exchange.connection,
        };
        if head.answers.as_ref().is_some_and(|a| *a != job.head.id) {
            note_outcome(&self.shared, id, Outcome::Broken);
            sends.may_have_run += 1;
            log_send(job, id, "answer_to_another", 0);
            return Sent::Lost;
        }
        let status = exchange.reply.status();
        if head.not_run || status == StatusCode::MISDIRECTED_REQUEST {
            let at_fault = head.fault_at.as_ref().unwrap_or(id);
            let outcome = if head.fault_at.is_some() {
                Outcome::Unreachable
            } else {
                Outcome::Refused
            };
            note_outcome(&self.shared, at_fault, outcome);
            sends.refused += 1;
            log_send(job, at_fault, "refused", u128::from(status.as_u16()));
            return Sent::NotRun;
        }
        sends.may_have_run += 1;
        if status.is_success() && (!head.signed || head.encoded) {
            note_outcome(&self.shared, id, Outcome::Broken);
            log_send(job, id, "not_the_replicas", u128::from(status.as_u16()));
            return Sent::Lost;
        }
        Sent::Answer(Box::new(exchange), head)
    }

    fn failed(
        &self,
        job: &Job,
        id: &ReplicaId,
        address: SocketAddr,
        e: &HttpError,
        sends: &mut Sends,
    ) -> Sent {
        let before = e.phase() == HowFar::BeforeSend;
        let outcome = if before {
            Outcome::Unreachable
        } else {
            Outcome::Broken
        };
        note_outcome(&self.shared, id, outcome);
        log::info!(
            event = "send_failed",
            request = job.head.id.as_str(),
            replica = id.as_str(),
            address = address.to_string().as_str(),
            error = e.to_string().as_str(),
            after_ms = elapsed_ms(job.arrived);
            "send failed"
        );
        if before {
            sends.refused += 1;
            Sent::NotRun
        } else {
            sends.may_have_run += 1;
            Sent::Lost
        }
    }

    fn request(&self, job: &Job, place: &Place<W>, resume_after: Option<&str>) -> Request<Body> {
        let outgoing = Outgoing {
            deadline: job.head.deadline.map(|_| job.left()),
            replica: &place.replica.id,
            organisation: job.organisation.as_ref().map(|o| o.name.as_str()),
            resume_after,
            helpers: &place.helpers,
        };
        let body = if job.body.is_empty() {
            Body::empty()
        } else {
            Body::whole(job.body.clone())
        };
        let mut req = Request::new(body);
        *req.method_mut() = job.method.clone();
        *req.uri_mut() = job.uri.clone();
        *req.headers_mut() = self.wire.forwarded_headers(&job.headers, &outgoing);
        req
    }
}

fn candidates(
    state: &State,
    job: &Job,
    sends: &Sends,
    zone: &str,
    now: Instant,
) -> Vec<Candidate<ReplicaId>> {
    let loads = state.board.loads(now);
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
        near: record.zone == zone,
    };
    let all = of_service.map(candidate).collect::<Vec<_>>();
    let untried = all.iter().filter(|c| !sends.tried.contains(&c.key));
    let untried = untried.cloned().collect::<Vec<_>>();
    if untried.is_empty() { all } else { untried }
}

fn log_send(job: &Job, id: &ReplicaId, outcome: &str, detail: u128) {
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
