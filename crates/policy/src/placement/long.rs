//! Medium and long prompts: how many engines prefill one, and which.

use briarhall_types::EngineSpec;

use super::Candidate;
use super::FILL;
use super::MARGIN;
use super::PlacementError;
use super::Plan;
use super::Prompt;
use super::SOUND;
use super::cost::first_event_ms;
use super::cost::fits;
use super::cost::harm;
use super::cost::holds;
use super::cost::ratio;
use super::cost::worth;
use super::in_order;
use crate::engine::prefill_ms;
use crate::load_tracker::DecodingRequest;

/// Engines that may share one prompt: the wire carries sixteen helpers.
const MOST_PARTS: usize = 16;
/// Numbers of parts that are weighed.
const PARTS: [usize; 10] = [1, 2, 3, 4, 6, 8, 10, 12, 14, 16];
/// Pause up to which a request cannot decode beside long prefills, in
/// milliseconds.
const TIGHT_PAUSE_MS: u32 = 400;
/// Engines that are kept for short prompts, against those they need now.
const LANE_SPARE: f64 = 1.25;
/// Waiting work up to which an engine counts as free for a long prompt: two
/// short prompts.
const FREE_BACKLOG_MS: f64 = 80.0;
/// Time to write an answer after its first event, in milliseconds: twenty
/// events of one pass each.
const TO_WRITE_MS: f64 = 1_500.0;
/// Longest part, against the pause that callers of such prompts accept. Waiting
/// for more engines leaves those that are free idle.
const LONGEST_PART: f64 = 1.5;
/// Cost of one more part, against a short prompt's worth: another engine that
/// may fail, and a step of its own.
const PART_COST: f64 = 0.02;
/// Weight of an engine's penalty against the prompt's worth: one that just broke
/// off two requests costs as much as the prompt.
const PENALTY_WEIGHT: f64 = 0.5;
/// Weight of the place in the order, below a third of one short prompt made late.
const FRONT_WEIGHT: f64 = 0.3;
/// Part of a prompt's worth that a missed objective costs.
const LATE_LOSS: f64 = 0.75;
/// Added for each objective more: soon is better also when late.
const LATER_LOSS: f64 = 0.1;
/// Part of a prompt's worth between an answer at once and one just in time.
const EARLY_LOSS: f64 = 0.2;
/// Added to what a helper holds, for rounding to blocks.
const PART_SLACK_TOKENS: u64 = 64;

/// Chooses engines for a medium prompt, now.
///
/// # Errors
///
/// Returns [`PlacementError::Full`] when no engine has room.
pub fn medium<K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    candidates: &[Candidate<K>],
) -> Result<Plan<K>, PlacementError>
where
    K: Clone,
{
    let all = in_order(candidates)?.into_iter().enumerate();
    let all = all.collect::<Vec<_>>();
    let best = cheapest(spec, prompt, &all);
    best.map(|best| best.plan).ok_or(PlacementError::Full)
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
/// many as the decoding requests in flight whose callers bear no long pauses
/// need, and some for those about to come.
fn short_lane<K>(ordered: &[&Candidate<K>]) -> usize {
    let is_tight = |request: &&DecodingRequest| request.pause_ms <= TIGHT_PAUSE_MS;
    let tight = |c: &&Candidate<K>| c.load.decoding.iter().filter(is_tight).count();
    let decoding = ordered.iter().map(tight).sum::<usize>();
    let slots = ordered.iter().map(|c| c.slots).sum::<usize>();
    let part = ratio(decoding, slots) / FILL * LANE_SPARE;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a small count"
    )]
    let lane = (part * ratio(ordered.len(), 1)).ceil() as usize;
    // Both lanes keep an engine.
    lane.clamp(1, ordered.len().saturating_sub(1).max(1))
}

/// How urgent the long prompt that is first in the queue has become.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// It can still meet its objective later.
    CanWait,
    /// It meets its objective only if it is sent now.
    Pressing,
    /// It misses its objective.
    Late,
    /// It has waited so long that it must run now or never.
    Overdue,
}

impl Urgency {
    /// Part of a prompt's worth that sending it now is worth more than sending
    /// it later: a late answer keeps about a quarter.
    fn gain(self) -> f64 {
        match self {
            Self::CanWait | Self::Late => 0.25,
            Self::Pressing => 0.75,
            Self::Overdue => 0.5,
        }
    }
}

/// Chooses engines for the long prompt that is first in the queue.
///
/// # Errors
///
/// Returns [`PlacementError::Full`] when waiting is better than any engines
/// now.
pub fn long<K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    urgency: Urgency,
    candidates: &[Candidate<K>],
) -> Result<Plan<K>, PlacementError>
where
    K: Clone,
{
    let ordered = in_order(candidates)?;
    let most = MOST_PARTS.min(ordered.len());
    let smallest = prompt.tokens / (most as u64).max(1) + prompt.max_output;
    if !holds(spec, smallest) {
        return Err(PlacementError::TooLarge);
    }
    let lane = short_lane(&ordered);
    let free = ordered.into_iter().enumerate().skip(lane);
    let free = free.filter(|(_, c)| is_free(c));
    let free = free.collect::<Vec<_>>();
    let lane_size = candidates.len() - lane;
    let best = cheapest(spec, prompt, &free).ok_or(PlacementError::Full)?;
    let plan = best.plan;
    if plan.predicted_ms + TO_WRITE_MS > prompt.deadline_ms {
        return Err(PlacementError::Full);
    }
    if best.harm > worth(prompt.tokens) * urgency.gain() {
        return Err(PlacementError::Full);
    }
    if urgency == Urgency::Overdue {
        return Ok(plan);
    }
    // A part must not hold an engine up for much longer than callers of such
    // prompts accept to pause, or it takes all engines there are.
    let parts = plan.helpers.len() + 1;
    if plan.part_ms > prompt.pause_ms * LONGEST_PART && parts < most_parts(lane_size) {
        return Err(PlacementError::Full);
    }
    let too_slow = plan.predicted_ms > prompt.objective_ms * MARGIN;
    if too_slow && urgency == Urgency::CanWait {
        return Err(PlacementError::Full);
    }
    Ok(plan)
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
    let part = prefill_ms(spec, prompt.tokens, parts);
    let best = by_harm(spec, prompt, free, part);
    let members = members(spec, prompt, &best, parts)?;
    let all = || members.helpers.iter().copied().chain([members.first]);
    let predicted = all().map(|c| first_event_ms(spec, c, part));
    let predicted = predicted.fold(0.0, f64::max);
    let harm = all().map(|c| harm(spec, c, part)).sum::<f64>();
    let lateness = lateness(prompt, part, predicted);
    let plan = Plan {
        first: members.first.key.clone(),
        helpers: members.helpers.iter().map(|c| c.key.clone()).collect(),
        part_ms: part,
        part_tokens: members.held_tokens,
        predicted_ms: predicted,
    };
    Some(Rated {
        cost: harm + worth(prompt.tokens) * lateness + ratio(parts, 1) * PART_COST,
        harm,
        plan,
    })
}

/// Orders engines by what a part there harms, then by how soon it is prefilled.
fn by_harm<'a, K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    free: &[(usize, &'a Candidate<K>)],
    part: f64,
) -> Vec<&'a Candidate<K>> {
    let worth = worth(prompt.tokens);
    let rate = |(place, candidate): &(usize, &Candidate<K>)| {
        let ready = first_event_ms(spec, candidate, part) / prompt.objective_ms.max(1.0);
        let risk = candidate.penalty * worth * PENALTY_WEIGHT;
        // The back of the order first, where nothing else decides.
        let front = ratio(free.len().saturating_sub(*place), free.len());
        harm(spec, candidate, part) + risk + ready + front * FRONT_WEIGHT
    };
    let mut rated = free.iter().map(|c| (rate(c), c.1)).collect::<Vec<_>>();
    rated.sort_by(|a, b| a.0.total_cmp(&b.0));
    rated.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Engines that share a prompt.
struct Members<'a, K> {
    first: &'a Candidate<K>,
    helpers: Vec<&'a Candidate<K>>,
    /// Tokens that each helper holds; none when the first holds all.
    held_tokens: u64,
}

/// Takes the best engines whose memory suffices. When none holds the prompt
/// whole, each holds its part.
fn members<'a, K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    best: &[&'a Candidate<K>],
    parts: usize,
) -> Option<Members<'a, K>> {
    let part = prompt.tokens / (parts as u64) + PART_SLACK_TOKENS;
    let answers = |tokens: u64| {
        let wanted = tokens + prompt.max_output;
        let suits = |c: &&Candidate<K>| fits(spec, wanted, c) && c.load.requests < c.slots;
        best.iter().position(suits)
    };
    let (first, held_tokens) = match answers(prompt.tokens) {
        Some(first) => (first, 0),
        None => (answers(part)?, part),
    };
    let others = best.iter().enumerate().filter(|(at, _)| *at != first);
    let others = others.map(|(_, candidate)| *candidate);
    let helpers = others.filter(|c| held_tokens == 0 || fits(spec, held_tokens, c));
    let helpers = helpers.take(parts - 1).collect::<Vec<_>>();
    let enough = helpers.len() + 1 == parts;
    enough.then(|| Members {
        first: best[first],
        helpers,
        held_tokens,
    })
}

/// Part of a prompt's worth that is lost to time: little while it meets its
/// objective, most of it after, and more when its parts hold engines up.
fn lateness(prompt: &Prompt, part: f64, predicted: f64) -> f64 {
    let used = predicted / (prompt.objective_ms * MARGIN).max(1.0);
    let late = if used > 1.0 {
        LATE_LOSS + (used - 1.0) * LATER_LOSS
    } else {
        used * EARLY_LOSS
    };
    if part > prompt.pause_ms * MARGIN {
        late + part / prompt.pause_ms.max(1.0)
    } else {
        late
    }
}

/// Returns whether a long part may be sent there.
fn is_free<K>(candidate: &Candidate<K>) -> bool {
    let load = &candidate.load;
    load.long_prefills == 0 && load.backlog_ms <= FREE_BACKLOG_MS && candidate.penalty < SOUND
}
