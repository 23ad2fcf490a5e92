//! Ways of choosing an engine, compared on a small model of engines with passes and of
//! gateways that learn of each other's work late.

use std::collections::VecDeque;

use briarhall_policy::engine::decode_pass_ms;
use briarhall_policy::load_tracker::DecodingRequest;
use briarhall_policy::load_tracker::Load;
use briarhall_policy::placement;
use briarhall_policy::placement::Candidate;
use briarhall_policy::placement::Length;
use briarhall_policy::placement::Plan;
use briarhall_policy::placement::Prompt;
use briarhall_policy::placement::Urgency;
use briarhall_policy::placement::even;
use briarhall_policy::rendezvous;
use briarhall_types::EngineSpec;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;

const SLOTS: usize = 12;
/// Seeds of the runs over which figures are averaged.
const SEEDS: [u64; 4] = [11, 12, 13, 14];
/// Length of a window in which loads are compared, in milliseconds.
const WINDOW_MS: u64 = 250;
/// Time at the start that is not measured, in milliseconds: the fleet fills.
const FILL_MS: u64 = 2_000;
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
/// Age of views, in milliseconds, that gateways assume without the delays of links.
const ASSUMED_AGE_MS: u64 = 22;
/// Prefill of a part that counts as long, in milliseconds, as in the load tracker.
const LONG_PREFILL_MS: f64 = 100.0;

/// Engine of a customer whose views are stale.
fn spec() -> EngineSpec {
    EngineSpec {
        slots: 12,
        kv_tokens: 197_200,
        stride: 48,
        step_ms: 1.02,
        per_request_ms: 0.002_26,
        context_per_k_ms: 0.004_31,
        prefill_tokens_per_ms: 206.0,
        pairs_per_m_ms: 0.138,
        chunk: 2_048,
    }
}

/// Prompts of one kind.
#[derive(Debug, Clone, Copy)]
struct Demand {
    per_s: f64,
    tokens: u64,
    objective_ms: f64,
    pause_ms: f64,
    /// Events of the answer, one a pass.
    events: u64,
}

impl Demand {
    fn prompt(&self) -> Prompt {
        Prompt {
            tokens: self.tokens,
            max_output: self.events * 48,
            objective_ms: self.objective_ms,
            pause_ms: self.pause_ms,
            deadline_ms: 15_000.0,
        }
    }

    fn length(&self) -> Length {
        placement::length(&spec(), &self.prompt())
    }
}

const fn short(per_s: f64, events: u64) -> Demand {
    Demand {
        per_s,
        tokens: 5_000,
        objective_ms: 250.0,
        pause_ms: 250.0,
        events,
    }
}

/// Longer prompts of the first customer.
const MEDIUM: Demand = Demand {
    per_s: 7.8,
    tokens: 45_000,
    objective_ms: 1_500.0,
    pause_ms: 600.0,
    events: 11,
};
const LONGEST: Demand = Demand {
    per_s: 4.8,
    tokens: 190_000,
    objective_ms: 3_000.0,
    pause_ms: 1_000.0,
    events: 11,
};

/// A fleet and its load.
#[derive(Debug, Clone)]
struct Pattern {
    engines: usize,
    /// Gateways that place requests.
    gateways: u64,
    /// Ages of the youngest and of the oldest view, in milliseconds.
    ages_ms: (u64, u64),
    demands: Vec<Demand>,
    /// One in so many engines is slow for the second half, by `pace`.
    slow_one_in: Option<usize>,
    pace: f64,
    /// One in so many engines is evacuated for the second half.
    evacuated_one_in: Option<usize>,
}

impl Pattern {
    fn pace(&self, engine: usize, now_ms: u64) -> f64 {
        let slow = self.slow_one_in.is_some_and(|n| engine.is_multiple_of(n));
        if slow && now_ms >= FILL_MS {
            self.pace
        } else {
            1.0
        }
    }

    fn is_evacuated(&self, engine: usize, now_ms: u64) -> bool {
        let chosen = self.evacuated_one_in;
        now_ms >= FILL_MS && chosen.is_some_and(|n| engine.is_multiple_of(n))
    }

    /// Returns how late a gateway learns of the others' work.
    fn age_ms(&self, gateway: u64) -> u64 {
        let (youngest, oldest) = self.ages_ms;
        youngest + rendezvous::weight("age", &gateway) % (oldest - youngest + 1)
    }

    fn per_s(&self) -> f64 {
        self.demands.iter().map(|d| d.per_s).sum()
    }

    fn placed_in(&self, ms: u64) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small count"
        )]
        let count = (self.per_s() * float(ms) / 1_000.0) as usize;
        count.saturating_sub(1)
    }
}

/// A way of choosing an engine for a short prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// `placement::short`, as it is without the switch.
    Today,
    /// The better of two random engines.
    TwoChoices,
    /// The least loaded engine of a subset of eight, with bounded load.
    Subsets,
    /// The least loaded engine among those whose turn is this gateway's.
    Turns,
    /// A draw weighted by predicted room, over all engines.
    RoomOfAll,
    /// `placement::even`: such a draw within the lane of short prompts.
    Even,
}

const WAYS: [Way; 6] = [
    Way::Today,
    Way::TwoChoices,
    Way::Subsets,
    Way::Turns,
    Way::RoomOfAll,
    Way::Even,
];

/// Engines of a gateway's subset.
const SUBSET: usize = 8;
/// Load above which an engine of a subset is passed over, relative to the mean.
const SUBSET_BOUND: f64 = 1.25;
/// Time for which an engine's turn stays with one gateway, in milliseconds: a heartbeat.
const TURN_MS: u64 = 25;

/// What a gateway knows when it chooses.
struct View {
    gateway: u64,
    now_ms: u64,
    age_ms: u64,
    urgency: Urgency,
    candidates: Vec<Candidate<usize>>,
}

impl Way {
    fn choose<R>(
        self,
        pattern: &Pattern,
        demand: &Demand,
        view: &View,
        rng: &mut R,
    ) -> Option<Plan<usize>>
    where
        R: Rng,
    {
        let (spec, prompt) = (spec(), demand.prompt());
        let candidates = &view.candidates;
        let unseen = pattern.placed_in(view.age_ms);
        let length = demand.length();
        if self == Self::Even {
            let plan = match length {
                Length::Short => even::short(&spec, &prompt, candidates, unseen, rng),
                Length::Medium => even::medium(&spec, &prompt, candidates, unseen),
                Length::Long => even::long(&spec, &prompt, view.urgency, candidates, unseen),
            };
            return plan.ok();
        }
        match length {
            Length::Medium => return placement::medium(&spec, &prompt, candidates).ok(),
            Length::Long => {
                return placement::long(&spec, &prompt, view.urgency, candidates).ok();
            }
            Length::Short => {}
        }
        if self == Self::Today {
            let unseen = pattern.placed_in(ASSUMED_AGE_MS);
            return placement::short(&spec, &prompt, candidates, unseen, rng).ok();
        }
        let load = |c: &Candidate<usize>| (float(c.load.requests as u64) + 1.0) * c.pace;
        let free = |c: &&Candidate<usize>| c.load.requests < c.slots;
        let open = candidates.iter().filter(free).collect::<Vec<_>>();
        let least = |among: &mut dyn Iterator<Item = &&Candidate<usize>>| {
            among
                .min_by(|a, b| load(a).total_cmp(&load(b)))
                .map(|c| c.key)
        };
        let first = match self {
            Self::TwoChoices => {
                let mut two = open.iter().sample(rng, 2);
                // A sample keeps the order, and of equals the first would be taken.
                two.shuffle(rng);
                least(&mut two.into_iter())
            }
            Self::Subsets => {
                let mean = open.iter().map(|c| load(c)).sum::<f64>() / float(open.len() as u64);
                let mut ranked = open.clone();
                ranked.sort_by_key(|c| rendezvous::weight(&view.gateway, &c.key));
                let bounded = ranked.iter().filter(|c| load(c) <= mean * SUBSET_BOUND);
                least(&mut bounded.take(SUBSET)).or_else(|| least(&mut ranked.iter()))
            }
            Self::Turns => {
                let turn = view.now_ms / TURN_MS;
                let owner = |c: &&&Candidate<usize>| {
                    rendezvous::weight(&turn, &c.key) % pattern.gateways == view.gateway
                };
                let own = least(&mut open.iter().filter(owner));
                own.or_else(|| open.iter().choose(rng).map(|c| c.key))
            }
            _ => {
                let room = |c: &Candidate<usize>| {
                    let free = (1.0 - load(c) / float(c.slots as u64 + 1)).max(0.0);
                    free * free / c.pace
                };
                let total = open.iter().map(|c| room(c)).sum::<f64>();
                let mut left = rng.random::<f64>() * total;
                let drawn = open.iter().find(|c| {
                    left -= room(c);
                    left < 0.0
                });
                drawn.or(open.last()).map(|c| c.key)
            }
        };
        first.map(|first| Plan {
            first,
            helpers: Vec::new(),
            part_ms: briarhall_policy::engine::prefill_ms(&spec, prompt.tokens, 1),
            part_tokens: 0,
            predicted_ms: 0.0,
        })
    }
}

/// What came of a pattern.
#[derive(Debug, Default)]
struct Outcome {
    /// Requests in flight at the busiest engine relative to the mean, mean over windows.
    busiest: f64,
    /// Time from the arrival of a short prompt to its first event, 99th percentile.
    p99_ms: f64,
    /// Fraction of short prompts whose first event was late.
    late: f64,
    /// Fraction of short prompts with a pause that was too long.
    paused: f64,
    /// Fraction of sends that met a full engine while another had room.
    refused: f64,
    /// Fraction of longer prompts with a late first event, or none.
    long_late: f64,
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

/// Time after which gateways know the pace of an engine, in milliseconds.
const PACE_DELAY_MS: u64 = 1_000;

/// A prompt that waits to be sent.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    gateway: u64,
    demand: Demand,
    arrived_ms: u64,
    next_ms: u64,
}

fn run(pattern: &Pattern, way: Way, seed: u64) -> Outcome {
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

#[expect(
    clippy::cast_precision_loss,
    reason = "counts and times are far below 2^52"
)]
fn float(n: u64) -> f64 {
    n as f64
}

/// Short prompts alone, with more than half of the slots in use.
fn peak(gateways: u64) -> Pattern {
    Pattern {
        engines: 78,
        gateways,
        ages_ms: (5, 300),
        demands: vec![short(280.0, 25)],
        slow_one_in: None,
        pace: 1.0,
        evacuated_one_in: None,
    }
}

/// The prompts of the first customer at its usual rates.
fn mixed() -> Pattern {
    Pattern {
        gateways: 13,
        ages_ms: (10, 40),
        demands: vec![short(114.0, 11), MEDIUM, LONGEST],
        ..peak(13)
    }
}

/// The same with answers so long that short prompts are in flight at most engines.
fn mixed_long_answers() -> Pattern {
    Pattern {
        demands: vec![short(114.0, 30), MEDIUM, LONGEST],
        ..mixed()
    }
}

/// Half as many of the longest prompts again.
fn surge_of_longest() -> Pattern {
    let longest = Demand {
        per_s: LONGEST.per_s * 1.5,
        ..LONGEST
    };
    Pattern {
        demands: vec![short(114.0, 30), MEDIUM, longest],
        ..mixed()
    }
}

/// Twice as many short prompts.
fn surge_of_short() -> Pattern {
    Pattern {
        demands: vec![short(228.0, 30), MEDIUM, LONGEST],
        ..mixed()
    }
}

/// Short prompts alone, where gateways hear of each other within a heartbeat and the
/// delay of a link between zones.
fn calm() -> Pattern {
    Pattern {
        ages_ms: (10, 40),
        ..peak(13)
    }
}

/// Short prompts alone, with most slots in use.
fn nearly_full() -> Pattern {
    Pattern {
        demands: vec![short(390.0, 25)],
        ..peak(86)
    }
}

/// A third of the engines becomes slow.
fn third_slow() -> Pattern {
    Pattern {
        demands: vec![short(190.0, 25)],
        slow_one_in: Some(3),
        pace: 2.0,
        ..peak(86)
    }
}

/// A third of the engines is evacuated.
fn third_evacuated() -> Pattern {
    Pattern {
        demands: vec![short(190.0, 25)],
        evacuated_one_in: Some(3),
        ..peak(86)
    }
}

fn patterns() -> Vec<(&'static str, Pattern)> {
    vec![
        ("9 gateways", peak(9)),
        ("86 gateways", peak(86)),
        ("350 gateways", peak(350)),
        ("a third slow by 2", third_slow()),
        ("a third evacuated", third_evacuated()),
        ("nearly full", nearly_full()),
        ("13 gateways in time", calm()),
        ("all lengths", mixed()),
        ("all lengths, long answers", mixed_long_answers()),
        ("surge of the longest", surge_of_longest()),
        ("surge of short", surge_of_short()),
    ]
}

/// Returns the means of a few runs.
fn mean_of(pattern: &Pattern, way: Way) -> Outcome {
    let runs = SEEDS.map(|seed| run(pattern, way, seed));
    let mean = |value: fn(&Outcome) -> f64| {
        runs.iter().map(value).sum::<f64>() / float(SEEDS.len() as u64)
    };
    Outcome {
        busiest: mean(|o| o.busiest),
        p99_ms: mean(|o| o.p99_ms),
        late: mean(|o| o.late),
        paused: mean(|o| o.paused),
        refused: mean(|o| o.refused),
        long_late: mean(|o| o.long_late),
    }
}

fn percent(part: f64) -> f64 {
    part * 100.0
}

fn print_row(name: &str, way: Way, o: &Outcome) {
    println!(
        "| {name} | {way:?} | {:.2} | {:.0} | {:.1} | {:.1} | {:.1} | {:.1} |",
        o.busiest,
        o.p99_ms,
        percent(o.late),
        percent(o.paused),
        percent(o.refused),
        percent(o.long_late)
    );
}

/// Prints the table of the design note (`--ignored --nocapture`).
#[test]
#[ignore = "prints the figures of the design note and checks nothing"]
fn print_table() {
    for (name, pattern) in patterns() {
        for way in WAYS {
            print_row(name, way, &mean_of(&pattern, way));
        }
    }
}

/// Most requests in flight at the busiest engine, relative to the mean, on a day without
/// a fault.
const MAX_BUSIEST: f64 = 1.4;
/// The same with a third of the engines slow or away.
const MAX_BUSIEST_AT_FAULTS: f64 = 2.0;

fn assert_busiest(pattern: &Pattern, bound: f64) {
    let outcome = mean_of(pattern, Way::Even);
    assert!(outcome.busiest <= bound, "{outcome:?}");
}

macro_rules! busiest {
    ($($(#[$doc:meta])* $name:ident: $pattern:expr, $bound:expr;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            assert_busiest(&$pattern, $bound);
        })*
    };
}

busiest! {
    /// Pattern: a steady peak of short prompts, heartbeats without delay. All gateways
    /// take the engine that seemed least loaded.
    load_is_even_with_views_of_40_ms: calm(), MAX_BUSIEST;
    /// Pattern: the same with views of 5 to 300 ms.
    load_is_even_with_9_gateways: peak(9), MAX_BUSIEST;
    /// Pattern: the same, more gateways than prompts within the age of a view.
    load_is_even_with_86_gateways: peak(86), MAX_BUSIEST;
    /// Pattern: the same, most gateways place less than one prompt a second.
    load_is_even_with_350_gateways: peak(350), MAX_BUSIEST;
    /// Pattern: a third of the engines takes twice as long from one moment on. They
    /// fill up, since requests stay there for longer.
    load_is_even_with_a_third_slow: third_slow(), MAX_BUSIEST_AT_FAULTS;
    /// Pattern: a third of the engines is evacuated at a moment. Its load meets the
    /// engines that are next in the order.
    load_is_even_with_a_third_evacuated: third_evacuated(), MAX_BUSIEST_AT_FAULTS;
}

/// Pattern: short prompts fill most slots, so that an engine that several gateways take
/// at the same moment refuses some of them while others have room.
#[test]
fn full_engines_refuse_less_than_half_as_often() {
    let before = mean_of(&nearly_full(), Way::Today);
    let even = mean_of(&nearly_full(), Way::Even);
    assert!(even.refused * 2.0 <= before.refused, "{even:?}, {before:?}");
}

/// Pattern: short, medium and the longest prompts at the rates of a usual day. Parts of
/// longer prompts at engines where short prompts decode make their events late.
#[test]
fn short_prompts_are_in_time_beside_long_ones() {
    for pattern in [mixed(), mixed_long_answers()] {
        let outcome = mean_of(&pattern, Way::Even);
        assert!(outcome.late <= 0.01, "{outcome:?}");
        assert!(outcome.paused <= 0.01, "{outcome:?}");
        assert!(outcome.long_late <= 0.01, "{outcome:?}");
    }
}
