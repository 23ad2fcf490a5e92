//! A small model of engines with passes, and of gateways that learn of each other's
//! work late.

use std::collections::VecDeque;

use briarhall_policy::engine::decode_pass_ms;
use briarhall_policy::load_tracker::DecodingRequest;
use briarhall_policy::load_tracker::Load;
use briarhall_policy::placement::Candidate;
use briarhall_policy::placement::Length;
use briarhall_policy::placement::Plan;
use briarhall_policy::placement::Urgency;
use briarhall_policy::rendezvous;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::load::Demand;
use crate::load::FILL_MS;
use crate::load::Pattern;
use crate::load::SLOTS;
use crate::load::float;
use crate::load::spec;
use crate::ways::View;
use crate::ways::Way;

/// Length of a window in which loads are compared, in milliseconds.
const WINDOW_MS: u64 = 250;
/// Length of a run in milliseconds.
const LENGTH_MS: u64 = 8_000;
/// Longest time for which a prompt waits for engines, in milliseconds.
const MAX_WAIT_MS: u64 = 2_400;
/// Wait after which one of the longest prompts is pressing, in milliseconds: what is left
/// of its objective is its prefill by eight engines and little more.
const PRESSING_MS: u64 = 1_800;
/// Time between two attempts to place a prompt, in milliseconds.
const RETRY_MS: u64 = 8;
/// Delay after an engine refused a prompt, in milliseconds.
const REFUSAL_MS: u64 = 10;
/// Prefill of a part that counts as long, in milliseconds, as in the load tracker.
const LONG_PREFILL_MS: f64 = 100.0;
/// Time after which gateways know the pace of an engine, in milliseconds.
const PACE_DELAY_MS: u64 = 1_000;

/// What came of a pattern.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Requests in flight at the busiest engine relative to the mean, mean over windows.
    pub busiest: f64,
    /// Time from the arrival of a short prompt to its first event, 99th percentile.
    pub p99_ms: f64,
    /// Fraction of short prompts whose first event was late.
    pub late: f64,
    /// Fraction of short prompts with a pause that was too long.
    pub paused: f64,
    /// Fraction of sends that met a full engine while another had room.
    pub refused: f64,
    /// Fraction of longer prompts with a late first event, or none.
    pub long_late: f64,
}

#[derive(Debug)]
struct Request {
    gateway: u64,
    demand: Demand,
    arrived_ms: u64,
    first_ms: Option<u64>,
    last_ms: u64,
    events: u64,
    parts_left: usize,
    paused: bool,
}

/// Work of one engine for a request, as gateways report it.
#[derive(Debug)]
struct Work {
    request: usize,
    engine: usize,
    answers: bool,
    sent_ms: u64,
    prefill_ms: f64,
    tokens: u64,
    prefilled_ms: Option<u64>,
    ended_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct Engine {
    /// Answers that it generates, by their work.
    decoding: Vec<usize>,
    /// Work that waits to be prefilled, with the milliseconds left.
    waiting: VecDeque<(usize, f64)>,
    /// Work whose prefill ends with the pass.
    prefilled: Vec<usize>,
    pass_ends_ms: Option<u64>,
    /// Requests that it answers.
    requests: usize,
}

#[derive(Debug)]
struct Fleet<'a> {
    pattern: &'a Pattern,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    works: Vec<Work>,
    /// Work before this one has ended for all views.
    oldest: usize,
    now_ms: u64,
}

impl Fleet<'_> {
    /// Ends the passes that are due, and begins new ones.
    fn advance(&mut self) {
        for at in 0..self.engines.len() {
            let ends = self.engines[at].pass_ends_ms;
            if ends.is_some_and(|ends| ends > self.now_ms) {
                continue;
            }
            if ends.is_some() {
                self.end_pass(at);
            }
            self.begin_pass(at);
        }
    }

    fn end_pass(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let mut engine = std::mem::take(&mut self.engines[at]);
        engine.pass_ends_ms = None;
        for work in std::mem::take(&mut engine.prefilled) {
            self.works[work].prefilled_ms = Some(now_ms);
            let request = &mut self.requests[self.works[work].request];
            request.parts_left -= 1;
            if !self.works[work].answers {
                self.works[work].ended_ms = Some(now_ms);
            }
            engine
                .decoding
                .extend(self.works[work].answers.then_some(work));
        }
        let mut ended = 0;
        let (works, requests) = (&mut self.works, &mut self.requests);
        engine.decoding.retain(|work| {
            let request = &mut requests[works[*work].request];
            if request.parts_left > 0 {
                return true;
            }
            if request.first_ms.is_none() {
                request.first_ms = Some(now_ms);
            } else {
                let pause = float(now_ms - request.last_ms);
                request.paused |= pause > request.demand.pause_ms;
            }
            request.last_ms = now_ms;
            request.events += 1;
            let goes_on = request.events < request.demand.events;
            if !goes_on {
                works[*work].ended_ms = Some(now_ms);
                ended += 1;
            }
            goes_on
        });
        engine.requests -= ended;
        self.engines[at] = engine;
    }

    fn begin_pass(&mut self, at: usize) {
        let spec = spec();
        let pace = self.pattern.pace(at, self.now_ms);
        let engine = &mut self.engines[at];
        if engine.decoding.is_empty() && engine.waiting.is_empty() {
            return;
        }
        // A pass prefills one chunk in each of its steps.
        let most = f64::from(spec.stride * spec.chunk) / spec.prefill_tokens_per_ms;
        let mut prefill = 0.0;
        while let Some((work, left)) = engine.waiting.front_mut() {
            let done = left.min(most - prefill);
            prefill += done;
            *left -= done;
            if *left > 0.0 {
                break;
            }
            engine.prefilled.push(*work);
            engine.waiting.pop_front();
        }
        let answered = engine.prefilled.iter().filter(|w| self.works[**w].answers);
        let decoding = engine.decoding.iter().chain(answered);
        let tokens = decoding.clone().map(|w| self.works[*w].tokens).sum();
        let count = decoding.count();
        let decode = if count > 0 {
            decode_pass_ms(&spec, count, tokens)
        } else {
            0.0
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the duration of a pass in milliseconds"
        )]
        let duration = ((prefill + decode) * pace).ceil() as u64;
        engine.pass_ends_ms = Some(self.now_ms + duration.max(1));
    }

    fn send(&mut self, gateway: u64, demand: Demand, arrived_ms: u64, plan: &Plan<usize>) {
        let request = self.requests.len();
        self.requests.push(Request {
            gateway,
            demand,
            arrived_ms,
            first_ms: None,
            last_ms: 0,
            events: 0,
            parts_left: plan.helpers.len() + 1,
            paused: false,
        });
        let all = demand.tokens + demand.events * 48;
        for (n, at) in [plan.first].iter().chain(&plan.helpers).enumerate() {
            let work = self.works.len();
            self.works.push(Work {
                request,
                engine: *at,
                answers: n == 0,
                sent_ms: self.now_ms,
                prefill_ms: plan.part_ms,
                tokens: if n == 0 { all } else { plan.part_tokens },
                prefilled_ms: None,
                ended_ms: None,
            });
            self.engines[*at].waiting.push_back((work, plan.part_ms));
        }
        self.engines[plan.first].requests += 1;
    }

    /// Returns the engines with their loads as a gateway knows them.
    fn view(&mut self, gateway: u64, waited_ms: u64) -> View {
        let (now_ms, age_ms) = (self.now_ms, self.pattern.age_ms(gateway));
        let oldest_ms = self.pattern.ages_ms.1;
        let gone = |w: &Work| w.ended_ms.is_some_and(|e| e + oldest_ms <= now_ms);
        while self.works.get(self.oldest).is_some_and(gone) {
            self.oldest += 1;
        }
        let mut loads = vec![Load::default(); self.engines.len()];
        let mut free_at = vec![0.0_f64; self.engines.len()];
        for work in &self.works[self.oldest..] {
            let request = &self.requests[work.request];
            let known_ms = if request.gateway == gateway {
                now_ms
            } else {
                now_ms.saturating_sub(age_ms)
            };
            let is_known = |at: Option<u64>| at.is_some_and(|at| at <= known_ms);
            if work.sent_ms > known_ms || is_known(work.ended_ms) {
                continue;
            }
            let load = &mut loads[work.engine];
            load.kv_tokens += work.tokens;
            if work.answers {
                load.requests += 1;
                load.decoding.push(DecodingRequest {
                    #[expect(
                        clippy::cast_possible_truncation,
                        clippy::cast_sign_loss,
                        reason = "a whole number of milliseconds"
                    )]
                    pause_ms: request.demand.pause_ms as u32,
                    tokens: u32::try_from(work.tokens).expect("a prompt's tokens"),
                });
            }
            if !is_known(work.prefilled_ms) {
                let free = &mut free_at[work.engine];
                *free = free.max(float(work.sent_ms)) + work.prefill_ms;
                load.prefilling += 1;
                load.long_prefills += usize::from(work.prefill_ms >= LONG_PREFILL_MS);
                load.backlog_ms = (*free - float(now_ms)).max(work.prefill_ms / 10.0);
            }
        }
        let engines = loads.into_iter().enumerate();
        let engines = engines.filter(|(key, _)| !self.pattern.is_evacuated(*key, now_ms));
        let candidates = engines.map(|(key, load)| Candidate {
            key,
            order: rendezvous::weight("service", &key),
            slots: SLOTS,
            load,
            penalty: 0.0,
            pace: self.pattern.pace(key, now_ms.saturating_sub(PACE_DELAY_MS)),
            same_zone: true,
            only_helps: false,
        });
        View {
            gateway,
            now_ms,
            age_ms,
            urgency: if waited_ms < PRESSING_MS {
                Urgency::CanWait
            } else {
                Urgency::Pressing
            },
            candidates: candidates.collect(),
        }
    }

    fn has_room(&self) -> bool {
        let usable = |at: &usize| !self.pattern.is_evacuated(*at, self.now_ms);
        let mut usable = (0..self.engines.len()).filter(usable);
        usable.any(|at| self.engines[at].requests < SLOTS)
    }
}

/// A prompt that waits to be sent.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    gateway: u64,
    demand: Demand,
    arrived_ms: u64,
    next_ms: u64,
}

pub fn run(pattern: &Pattern, way: Way, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet {
        pattern,
        engines: (0..pattern.engines).map(|_| Engine::default()).collect(),
        requests: Vec::new(),
        works: Vec::new(),
        oldest: 0,
        now_ms: 0,
    };
    let mut outcome = Outcome::default();
    let mut queue = Vec::<Waiting>::new();
    let (mut sends, mut refused, mut abandoned) = (0, 0, 0);
    let mut window = vec![0.0; pattern.engines];
    let mut ratios = Vec::new();
    for now_ms in 0..LENGTH_MS {
        fleet.now_ms = now_ms;
        fleet.advance();
        for demand in &pattern.demands {
            if rng.random::<f64>() < demand.per_s / 1_000.0 {
                queue.push(Waiting {
                    gateway: rng.random_range(0..pattern.gateways),
                    demand: *demand,
                    arrived_ms: now_ms,
                    next_ms: now_ms,
                });
            }
        }
        let measured = now_ms >= FILL_MS;
        let mut waiting = Vec::new();
        for mut prompt in queue {
            if prompt.next_ms > now_ms {
                waiting.push(prompt);
                continue;
            }
            let view = fleet.view(prompt.gateway, now_ms - prompt.arrived_ms);
            match way.choose(pattern, &prompt.demand, &view, &mut rng) {
                None if now_ms > prompt.arrived_ms + MAX_WAIT_MS => {
                    abandoned += usize::from(prompt.arrived_ms >= FILL_MS);
                }
                None => {
                    prompt.next_ms = now_ms + RETRY_MS;
                    waiting.push(prompt);
                }
                Some(plan) if fleet.engines[plan.first].requests >= SLOTS => {
                    sends += usize::from(measured);
                    refused += usize::from(measured && fleet.has_room());
                    prompt.next_ms = now_ms + REFUSAL_MS;
                    waiting.push(prompt);
                }
                Some(plan) => {
                    sends += usize::from(measured);
                    fleet.send(prompt.gateway, prompt.demand, prompt.arrived_ms, &plan);
                }
            }
        }
        queue = waiting;
        for (at, engine) in fleet.engines.iter().enumerate() {
            window[at] += float(engine.requests as u64);
        }
        if now_ms % WINDOW_MS == WINDOW_MS - 1 {
            let usable = |at: &usize| !pattern.is_evacuated(*at, now_ms);
            let loads = (0..pattern.engines).filter(usable).map(|at| window[at]);
            let loads = loads.collect::<Vec<_>>();
            let mean = loads.iter().sum::<f64>() / float(loads.len() as u64);
            if measured {
                ratios.push(loads.iter().copied().fold(0.0, f64::max) / mean);
            }
            window.fill(0.0);
        }
    }
    let (mut shorts, mut longer, mut long_late) = (0, abandoned, abandoned);
    let (mut late, mut paused) = (0, 0);
    let mut first_ms = Vec::new();
    // Those that arrive later may be unanswered at the end.
    let judged = FILL_MS..LENGTH_MS - 3_000;
    for request in &fleet.requests {
        if !judged.contains(&request.arrived_ms) {
            continue;
        }
        let first = request.first_ms.unwrap_or(LENGTH_MS) - request.arrived_ms;
        let is_late = usize::from(float(first) > request.demand.objective_ms);
        if request.demand.length() == Length::Short {
            shorts += 1;
            late += is_late;
            paused += usize::from(request.paused);
            first_ms.push(first);
        } else {
            longer += 1;
            long_late += is_late;
        }
    }
    first_ms.sort_unstable();
    let share = |part: usize, all: usize| float(part as u64) / float(all.max(1) as u64);
    outcome.p99_ms = float(first_ms[first_ms.len() * 99 / 100]);
    outcome.late = share(late, shorts);
    outcome.paused = share(paused, shorts);
    outcome.refused = share(refused, sends);
    outcome.long_late = share(long_late, longer);
    outcome.busiest = ratios.iter().sum::<f64>() / float(ratios.len() as u64);
    outcome
}
