//! Which replicas run a request, and how many of them read its prompt.
//!
//! Engines are kept in one order that every gateway computes alike. Prompts
//! whose callers bear no long pauses fill the engines from the front of the
//! order, one after the other; long prompts take engines from its back and are
//! cut into parts. So the engines part into a lane for short prompts and one
//! for long ones by themselves, and the border follows the load within moments.

use briarhall_types::EngineSpec;
use thiserror::Error;

use crate::board::Load;
use crate::board::Writer;
use crate::engine::read_ms;
use crate::engine::write_pass_ms;

/// Part of an engine's slots that first-fit fills: other gateways place at the
/// same moment.
const FILL: f64 = 0.85;
/// Part of an objective that a prediction may use, as predictions are rough.
const MARGIN: f64 = 0.8;
/// Part of an engine's memory that is used; the rest is for answers that grow
/// longer than was asked for.
const KV_FILL: f64 = 0.95;
/// Engines that may share one prompt: the wire carries sixteen helpers.
const MOST_PARTS: usize = 16;
/// Numbers of parts that are weighed.
const PARTS: [usize; 10] = [1, 2, 3, 4, 6, 8, 10, 12, 14, 16];
/// Time to read from which several engines share a prompt: a third of the
/// pause of 250 ms that callers of short prompts accept.
const MEDIUM_FROM_MS: f64 = 80.0;
/// Time to read from which a prompt waits in line: shared by eight engines it
/// takes half of such a pause.
const LONG_FROM_MS: f64 = 1_000.0;
/// Pause up to which a writer cannot run beside long reads, in milliseconds.
const TIGHT_PAUSE_MS: u32 = 400;
/// Engines that are kept for short prompts, against those they need now.
const LANE_SPARE: f64 = 1.25;
/// Part of an objective within which a short prompt takes the first engine
/// that offers it.
const QUICK: f64 = 0.45;
/// Waiting work up to which an engine counts as free for a long prompt: two
/// short prompts.
const FREE_BACKLOG_MS: f64 = 80.0;
/// Penalty below which a replica counts as sound.
const SOUND: f64 = 0.5;
/// Time to write an answer after its first event, in milliseconds: twenty
/// events of one pass each.
const TO_WRITE_MS: f64 = 1_500.0;
/// Longest part, against the pause that callers of such prompts accept. Waiting
/// for more engines leaves those that are free idle.
const LONGEST_PART: f64 = 1.5;
/// Cost of one more part, against a short prompt's worth: another engine that
/// may fail, and a step of its own.
const PART_COST: f64 = 0.02;
/// Added to what a helper holds, for rounding to blocks.
const PART_SLACK_TOKENS: u64 = 64;

/// What a prompt needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prompt {
    /// Tokens to read.
    pub tokens: u64,
    /// Tokens to write at the most.
    pub max_output: u64,
    /// Time to the first event that the caller hopes for, in milliseconds.
    pub objective_ms: f64,
    /// Longest pause that the caller accepts, in milliseconds.
    pub pause_ms: f64,
    /// Time until the caller leaves, in milliseconds.
    pub deadline_ms: f64,
}

/// A replica that may be chosen.
#[derive(Debug, Clone)]
pub struct Candidate<K> {
    /// What the caller knows it by.
    pub key: K,
    /// Place in the order that every gateway computes alike.
    pub order: u64,
    /// Requests it runs at once.
    pub slots: usize,
    /// What it has.
    pub load: Load,
    /// How much it is to be avoided: 0 for a sound one, 1 and more for one that
    /// just failed.
    pub penalty: f64,
    /// Whether it runs in this gateway's availability zone.
    pub near: bool,
}

/// Where a prompt goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan<K> {
    /// Gets the request and writes the answer.
    pub first: K,
    /// Read a part each.
    pub helpers: Vec<K>,
    /// Time to read one part, in milliseconds.
    pub part_ms: f64,
    /// Tokens that each helper holds for the prompt; none when the first
    /// replica holds it whole.
    pub part_tokens: u64,
    /// Predicted time to the first event, in milliseconds.
    pub predicted_ms: f64,
}

/// No place for a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoPlace {
    /// There is no replica to use.
    #[error("no replica takes work")]
    NoReplica,
    /// Every replica is full.
    #[error("every replica is full")]
    Full,
    /// No replica's memory can hold it, whatever else runs.
    #[error("the prompt is larger than any replica's memory")]
    TooLarge,
}

/// Chooses a replica for a call of a plain service: the least loaded for its
/// size, near ones first among equals.
///
/// # Errors
///
/// Returns [`NoPlace`] when there is none.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of requests are far below 2^52"
)]
pub fn call<K>(candidates: &[Candidate<K>]) -> Result<K, NoPlace>
where
    K: Clone,
{
    let cost = |candidate: &Candidate<K>| {
        let taken = candidate.load.requests as f64 / candidate.slots.max(1) as f64;
        let far = if candidate.near { 0.0 } else { 0.05 };
        taken + candidate.penalty + far
    };
    let best = candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
    best.map(|best| best.key.clone()).ok_or(NoPlace::NoReplica)
}

/// How a prompt is placed, by the time it takes to read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Length {
    /// One engine reads it between two events of its writers.
    Short,
    /// Several engines read it at once, and nobody waits for it.
    Medium,
    /// It would hold engines up, so it waits in line for free ones.
    Long,
}

/// Returns how a prompt is placed.
#[must_use]
pub fn length(spec: &EngineSpec, prompt: &Prompt) -> Length {
    let whole = read_ms(spec, prompt.tokens, 1);
    if whole <= MEDIUM_FROM_MS {
        Length::Short
    } else if whole <= LONG_FROM_MS {
        Length::Medium
    } else {
        Length::Long
    }
}

/// Chooses an engine for a short prompt.
///
/// # Errors
///
/// Returns [`NoPlace`] when it must wait or can never run.
pub fn short<K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    candidates: &[Candidate<K>],
) -> Result<Plan<K>, NoPlace>
where
    K: Clone,
{
    let read = read_ms(spec, prompt.tokens, 1);
    let ordered = in_order(candidates)?;
    let fits = |c: &&&Candidate<K>| {
        fits(spec, prompt.tokens + prompt.max_output, c) && c.load.requests < c.slots
    };
    let predicted = |c: &Candidate<K>| first_event_ms(spec, c, read);
    let within = |c: &Candidate<K>, part_of_objective: f64| {
        c.penalty < SOUND
            && filled(c) < FILL
            && predicted(c) < prompt.objective_ms * part_of_objective
            && pass_ms(spec, c, read) < prompt.pause_ms * MARGIN
            && !stretched(spec, c, read)
    };
    let first_fit = |part: f64| ordered.iter().filter(fits).find(|c| within(c, part));
    let first_fit = || first_fit(QUICK).or_else(|| first_fit(MARGIN));
    let cost = |c: &Candidate<K>| {
        predicted(c) / prompt.objective_ms.max(1.0) + filled(c) + c.penalty * 2.0
    };
    let least_bad = || {
        let fitting = ordered.iter().filter(fits);
        fitting.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    };
    let chosen = first_fit().or_else(least_bad).ok_or(NoPlace::Full)?;
    Ok(Plan {
        first: chosen.key.clone(),
        helpers: Vec::new(),
        part_ms: read,
        part_tokens: 0,
        predicted_ms: predicted(chosen),
    })
}

/// Chooses engines for a medium prompt, now.
///
/// # Errors
///
/// Returns [`NoPlace::Full`] when no engine has room.
pub fn medium<K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    candidates: &[Candidate<K>],
) -> Result<Plan<K>, NoPlace>
where
    K: Clone,
{
    let all = in_order(candidates)?.into_iter().enumerate();
    let all = all.collect::<Vec<_>>();
    let best = cheapest(spec, prompt, &all);
    best.map(|best| best.plan).ok_or(NoPlace::Full)
}

/// Returns the most parts that this many engines can take.
fn most_parts(engines: usize) -> usize {
    let parts = PARTS.iter().filter(|parts| **parts <= engines);
    parts.max().copied().unwrap_or(1)
}

fn cheapest<K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    engines: &[(usize, &Candidate<K>)],
) -> Option<Rated<K>>
where
    K: Clone,
{
    let plans = PARTS.iter().take_while(|parts| **parts <= engines.len());
    let plans = plans.filter_map(|parts| gang(spec, prompt, engines, *parts));
    plans.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

/// Engines at the front of the order that long prompts leave to short ones: as
/// many as the writers in flight whose callers bear no long pauses need, and
/// some for those about to come.
fn short_lane<K>(ordered: &[&Candidate<K>]) -> usize {
    let is_tight = |writer: &&Writer| writer.pause_ms <= TIGHT_PAUSE_MS;
    let tight = |c: &&Candidate<K>| c.load.writers.iter().filter(is_tight).count();
    let writers = ordered.iter().map(tight).sum::<usize>();
    let slots = ordered.iter().map(|c| c.slots).sum::<usize>();
    let part = ratio(writers, slots) / FILL * LANE_SPARE;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a small count"
    )]
    let lane = (part * ratio(ordered.len(), 1)).ceil() as usize;
    // Both lanes keep an engine.
    lane.clamp(1, ordered.len().saturating_sub(1).max(1))
}

/// How urgent the long prompt that is first in line has become.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// It can still meet its objective later.
    CanWait,
    /// It meets its objective only if it is sent now.
    Pressing,
    /// It misses its objective.
    Late,
    /// It has waited so long that it must run now or never.
    Last,
}

impl Urgency {
    /// Part of a prompt's worth that sending it now is worth more than sending
    /// it later: a late answer keeps about a quarter.
    fn gain(self) -> f64 {
        match self {
            Self::CanWait | Self::Late => 0.25,
            Self::Pressing => 0.75,
            Self::Last => 0.5,
        }
    }
}

/// Chooses engines for the long prompt that is first in line.
///
/// # Errors
///
/// Returns [`NoPlace::Full`] when waiting is better than any engines now.
pub fn long<K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    urgency: Urgency,
    candidates: &[Candidate<K>],
) -> Result<Plan<K>, NoPlace>
where
    K: Clone,
{
    let ordered = in_order(candidates)?;
    let most = MOST_PARTS.min(ordered.len());
    let smallest = prompt.tokens / (most as u64).max(1) + prompt.max_output;
    if !holds(spec, smallest) {
        return Err(NoPlace::TooLarge);
    }
    let lane = short_lane(&ordered);
    let free = ordered.into_iter().enumerate().skip(lane);
    let free = free.filter(|(_, c)| is_free(c));
    let free = free.collect::<Vec<_>>();
    let lane_size = candidates.len() - lane;
    let best = cheapest(spec, prompt, &free).ok_or(NoPlace::Full)?;
    let plan = best.plan;
    if plan.predicted_ms + TO_WRITE_MS > prompt.deadline_ms {
        return Err(NoPlace::Full);
    }
    if best.harm > worth(prompt.tokens) * urgency.gain() {
        return Err(NoPlace::Full);
    }
    if urgency == Urgency::Last {
        return Ok(plan);
    }
    // A part must not hold an engine up for much longer than callers of such
    // prompts accept to pause, or it takes all engines there are.
    let parts = plan.helpers.len() + 1;
    if plan.part_ms > prompt.pause_ms * LONGEST_PART && parts < most_parts(lane_size) {
        return Err(NoPlace::Full);
    }
    let too_slow = plan.predicted_ms > prompt.objective_ms * MARGIN;
    if too_slow && urgency == Urgency::CanWait {
        return Err(NoPlace::Full);
    }
    Ok(plan)
}

fn in_order<K>(candidates: &[Candidate<K>]) -> Result<Vec<&Candidate<K>>, NoPlace> {
    if candidates.is_empty() {
        return Err(NoPlace::NoReplica);
    }
    let mut ordered = candidates.iter().collect::<Vec<_>>();
    ordered.sort_by_key(|candidate| candidate.order);
    Ok(ordered)
}

/// A plan with what it costs.
struct Rated<K> {
    cost: f64,
    /// Short prompts' answers that become late.
    harm: f64,
    plan: Plan<K>,
}

/// Takes the `parts` engines that bear a part with the least harm.
fn gang<K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    free: &[(usize, &Candidate<K>)],
    parts: usize,
) -> Option<Rated<K>>
where
    K: Clone,
{
    let part = read_ms(spec, prompt.tokens, parts);
    let part_tokens = prompt.tokens / (parts as u64) + PART_SLACK_TOKENS;
    let worth = worth(prompt.tokens);
    let count = free.len();
    let rate = |(place, candidate): &(usize, &Candidate<K>)| {
        let ready = first_event_ms(spec, candidate, part);
        let harm = harm(spec, candidate, part) + candidate.penalty * worth * 0.5;
        // The back of the order first, where nothing else decides.
        let front = ratio(count.saturating_sub(*place), count);
        harm + ready / prompt.objective_ms.max(1.0) + front * 0.3
    };
    let mut rated = free.iter().map(|c| (rate(c), c.1)).collect::<Vec<_>>();
    rated.sort_by(|a, b| a.0.total_cmp(&b.0));
    let whole = prompt.tokens + prompt.max_output;
    let alone = rated
        .iter()
        .position(|(_, c)| fits(spec, whole, c) && has_slot(c));
    let (first, held) = if let Some(first) = alone {
        (first, 0)
    } else {
        // No engine holds it whole: each holds its part.
        let own = part_tokens + prompt.max_output;
        let first = rated
            .iter()
            .position(|(_, c)| fits(spec, own, c) && has_slot(c))?;
        (first, part_tokens)
    };
    let (_, first) = rated.remove(first);
    let helpers = rated.iter().map(|(_, c)| *c);
    let helpers = helpers.filter(|c| held == 0 || fits(spec, held, c));
    let helpers = helpers.take(parts - 1).collect::<Vec<_>>();
    if helpers.len() + 1 < parts {
        return None;
    }
    let all = || helpers.iter().copied().chain([first]);
    let predicted = all().map(|c| first_event_ms(spec, c, part));
    let predicted = predicted.fold(0.0, f64::max);
    let harm = all().map(|c| harm(spec, c, part)).sum::<f64>();
    let late = predicted / (prompt.objective_ms * MARGIN).max(1.0);
    let late = if late > 1.0 {
        0.75 + (late - 1.0) * 0.1
    } else {
        late * 0.2
    };
    let too_long = if part > prompt.pause_ms * MARGIN {
        part / prompt.pause_ms.max(1.0)
    } else {
        0.0
    };
    let plan = Plan {
        first: first.key.clone(),
        helpers: helpers.iter().map(|c| c.key.clone()).collect(),
        part_ms: part,
        part_tokens: held,
        predicted_ms: predicted,
    };
    Some(Rated {
        cost: harm + worth * (late + too_long) + ratio(parts, 1) * PART_COST,
        harm,
        plan,
    })
}

/// Returns whether a long part may be sent there.
fn is_free<K>(candidate: &Candidate<K>) -> bool {
    let load = &candidate.load;
    load.long_reads == 0 && load.backlog_ms <= FREE_BACKLOG_MS && candidate.penalty < SOUND
}

fn has_slot<K>(candidate: &Candidate<K>) -> bool {
    candidate.load.requests < candidate.slots
}

/// What a prompt is worth against a short one: callers of long ones have
/// waited longer for what they need, and their work costs more to repeat.
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn worth(tokens: u64) -> f64 {
    1.0 + tokens as f64 / 10_000.0
}

/// Returns whether a candidate's memory has room for `tokens` more.
fn fits<K>(spec: &EngineSpec, tokens: u64, candidate: &Candidate<K>) -> bool {
    holds(spec, candidate.load.kv_tokens + tokens)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn holds(spec: &EngineSpec, tokens: u64) -> bool {
    tokens as f64 <= spec.kv_tokens as f64 * KV_FILL
}

fn filled<K>(candidate: &Candidate<K>) -> f64 {
    ratio(candidate.load.requests, candidate.slots.max(1))
}

/// Duration of the next pass when `read` more is read in it.
fn pass_ms<K>(spec: &EngineSpec, candidate: &Candidate<K>, read: f64) -> f64 {
    let load = &candidate.load;
    write_pass_ms(spec, load.writers.len(), load.kv_tokens) + load.backlog_ms + read
}

/// Time to the first event: half of the pass that runs, then what waits, then
/// the own part and the steps of its pass.
fn first_event_ms<K>(spec: &EngineSpec, candidate: &Candidate<K>, read: f64) -> f64 {
    let load = &candidate.load;
    let write = write_pass_ms(spec, load.writers.len(), load.kv_tokens);
    let running = if load.requests > 0 { write / 2.0 } else { 0.0 };
    running + load.backlog_ms + read + write
}

/// Returns whether `read` more would make an event of a writer late.
fn stretched<K>(spec: &EngineSpec, candidate: &Candidate<K>, read: f64) -> bool {
    let pass = pass_ms(spec, candidate, read);
    let mut writers = candidate.load.writers.iter();
    writers.any(|writer| is_late(pass, *writer))
}

/// Worth of the writers that `read` more would make late, of those that are
/// not yet.
fn harm<K>(spec: &EngineSpec, candidate: &Candidate<K>, read: f64) -> f64 {
    let before = pass_ms(spec, candidate, 0.0);
    let after = pass_ms(spec, candidate, read);
    let writers = candidate.load.writers.iter();
    let harmed = writers.filter(|w| is_late(after, **w) && !is_late(before, **w));
    harmed.map(|w| worth(u64::from(w.tokens))).sum()
}

fn is_late(pass: f64, writer: Writer) -> bool {
    pass > f64::from(writer.pause_ms) * MARGIN
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of replicas are far below 2^52"
)]
fn ratio(a: usize, b: usize) -> f64 {
    a as f64 / b.max(1) as f64
}
