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
/// Time to read that is not worth sharing, in milliseconds.
const SHARE_FROM_MS: f64 = 60.0;

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

/// Chooses engines for a prompt.
///
/// # Errors
///
/// Returns [`NoPlace`] when it must wait or can never run.
pub fn prompt<K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    candidates: &[Candidate<K>],
) -> Result<Plan<K>, NoPlace>
where
    K: Clone,
{
    if candidates.is_empty() {
        return Err(NoPlace::NoReplica);
    }
    if !fits(spec, prompt, 0) {
        return Err(NoPlace::TooLarge);
    }
    let mut ordered = candidates.iter().collect::<Vec<_>>();
    ordered.sort_by_key(|candidate| candidate.order);
    let whole_ms = read_ms(spec, prompt.tokens, 1);
    if whole_ms <= SHARE_FROM_MS.max(prompt.pause_ms * 0.3) {
        short(spec, prompt, whole_ms, &ordered)
    } else {
        long(spec, prompt, &ordered)
    }
}

fn short<K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    read: f64,
    ordered: &[&Candidate<K>],
) -> Result<Plan<K>, NoPlace>
where
    K: Clone,
{
    let fits =
        |c: &&&Candidate<K>| fits(spec, prompt, c.load.kv_tokens) && c.load.requests < c.slots;
    let predicted = |c: &Candidate<K>| first_event_ms(spec, c, read);
    let good = |c: &&&Candidate<K>| {
        c.penalty < 0.5
            && filled(c) < FILL
            && predicted(c) < prompt.objective_ms * MARGIN
            && pass_ms(spec, c, read) < prompt.pause_ms * MARGIN
            && !stretched(spec, c, read)
    };
    let first_fit = ordered.iter().filter(fits).find(good);
    let cost = |c: &Candidate<K>| {
        predicted(c) / prompt.objective_ms.max(1.0) + filled(c) + c.penalty * 2.0
    };
    let least_bad = || {
        let fitting = ordered.iter().filter(fits);
        fitting.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    };
    let chosen = first_fit.or_else(least_bad).ok_or(NoPlace::Full)?;
    Ok(Plan {
        first: chosen.key.clone(),
        helpers: Vec::new(),
        part_ms: read,
        predicted_ms: predicted(chosen),
    })
}

fn long<K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    ordered: &[&Candidate<K>],
) -> Result<Plan<K>, NoPlace>
where
    K: Clone,
{
    let mut best: Option<(f64, Plan<K>)> = None;
    let most = MOST_PARTS.min(ordered.len());
    for parts in [1, 2, 3, 4, 6, 8, 10, 12, 14, 16] {
        if parts > most {
            break;
        }
        let Some((cost, plan)) = gang(spec, prompt, ordered, parts) else {
            continue;
        };
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, plan));
        }
    }
    best.map(|(_, plan)| plan).ok_or(NoPlace::Full)
}

/// Takes the `parts` engines that bear a part with the least harm, and says
/// what that costs.
fn gang<K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    ordered: &[&Candidate<K>],
    parts: usize,
) -> Option<(f64, Plan<K>)>
where
    K: Clone,
{
    let part = read_ms(spec, prompt.tokens, parts);
    let worth = worth(prompt);
    let count = ordered.len();
    let mut rated = ordered.iter().enumerate();
    let mut rated = rated
        .by_ref()
        .map(|(place, candidate)| {
            let ready = first_event_ms(spec, candidate, part);
            let harm = harm(spec, candidate, part) + candidate.penalty * worth;
            // The back of the order first, where nothing else decides.
            let place = ratio(count - place, count);
            let rate = harm + ready / prompt.objective_ms.max(1.0) * worth * 0.2 + place * 0.3;
            (rate, harm, ready, *candidate)
        })
        .collect::<Vec<_>>();
    rated.sort_by(|a, b| a.0.total_cmp(&b.0));
    let holds =
        |c: &Candidate<K>| fits(spec, prompt, c.load.kv_tokens) && c.load.requests < c.slots;
    let first = rated.iter().position(|(_, _, _, c)| holds(c))?;
    let first = rated.remove(first);
    rated.truncate(parts - 1);
    let all = || rated.iter().chain([&first]);
    let predicted = all().map(|(_, _, ready, _)| *ready).fold(0.0, f64::max);
    let harm = all().map(|(_, harm, _, _)| *harm).sum::<f64>();
    let late = predicted / (prompt.objective_ms * MARGIN).max(1.0);
    let late = if late > 1.0 {
        0.75 + (late - 1.0) * 0.1
    } else {
        late * 0.1
    };
    let cost = harm + worth * late;
    let plan = Plan {
        first: first.3.key.clone(),
        helpers: rated.iter().map(|(_, _, _, c)| c.key.clone()).collect(),
        part_ms: part,
        predicted_ms: predicted,
    };
    Some((cost, plan))
}

/// What a prompt is worth against a short one: callers of long ones have
/// waited longer for what they need, and their work costs more to repeat.
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn worth(prompt: &Prompt) -> f64 {
    1.0 + prompt.tokens as f64 / 10_000.0
}

fn fits(spec: &EngineSpec, prompt: &Prompt, held: u64) -> bool {
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    let wanted = (held + prompt.tokens + prompt.max_output) as f64;
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    let room = spec.kv_tokens as f64 * KV_FILL;
    wanted <= room
}

fn filled<K>(candidate: &Candidate<K>) -> f64 {
    ratio(candidate.load.requests, candidate.slots.max(1))
}

/// Duration of the next pass when `read` more is read in it.
fn pass_ms<K>(spec: &EngineSpec, candidate: &Candidate<K>, read: f64) -> f64 {
    let load = &candidate.load;
    write_pass_ms(spec, load.pauses_ms.len(), load.kv_tokens) + load.backlog_ms + read
}

/// Time to the first event: half of the pass that runs, then what waits, then
/// the own part and the steps of its pass.
fn first_event_ms<K>(spec: &EngineSpec, candidate: &Candidate<K>, read: f64) -> f64 {
    let load = &candidate.load;
    let write = write_pass_ms(spec, load.pauses_ms.len(), load.kv_tokens);
    let running = if load.requests > 0 { write / 2.0 } else { 0.0 };
    running + load.backlog_ms + read + write
}

/// Returns whether `read` more would make an event of a writer late.
fn stretched<K>(spec: &EngineSpec, candidate: &Candidate<K>, read: f64) -> bool {
    let pass = pass_ms(spec, candidate, read);
    let pauses = candidate.load.pauses_ms.iter();
    pauses
        .min()
        .is_some_and(|least| pass > f64::from(*least) * MARGIN)
}

/// Writers that `read` more would make late, of those that are not yet.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of writers are far below 2^52"
)]
fn harm<K>(spec: &EngineSpec, candidate: &Candidate<K>, read: f64) -> f64 {
    let before = pass_ms(spec, candidate, 0.0);
    let after = pass_ms(spec, candidate, read);
    let late = |pass: f64| {
        let pauses = candidate.load.pauses_ms.iter();
        pauses.filter(|p| pass > f64::from(**p) * MARGIN).count() as f64
    };
    late(after) - late(before) * 0.5
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of replicas are far below 2^52"
)]
fn ratio(a: usize, b: usize) -> f64 {
    a as f64 / b.max(1) as f64
}
