//! Medium and long prompts: how many engines prefill one, and which.

use briarhall_types::EngineSpec;

use super::Candidate;
use super::HEALTHY_BELOW_PENALTY;
use super::MAX_SLOT_FILL;
use super::PREDICTION_MARGIN;
use super::PlacementError;
use super::Plan;
use super::Prompt;
use super::cost::delay_cost;
use super::cost::first_event_ms;
use super::cost::fits;
use super::cost::fits_in_memory;
use super::cost::ratio;
use super::cost::weight;
use super::in_order;
use crate::engine::prefill_ms;
use crate::load_tracker::DecodingRequest;

/// Most engines that may share one prompt: the wire format carries sixteen
/// helpers.
const MAX_PARTS: usize = 16;
/// Numbers of parts that are compared.
const PART_COUNTS: [usize; 10] = [1, 2, 3, 4, 6, 8, 10, 12, 14, 16];
/// Longest accepted pause, in milliseconds, with which a request cannot decode
/// beside long prefills.
pub(super) const TIGHT_PAUSE_MS: u32 = 400;
/// Engines reserved for short prompts, as a multiple of those they need now.
const SHORT_LANE_HEADROOM: f64 = 1.25;
/// Backlog, in milliseconds, up to which an engine counts as free for a long
/// prompt: two short prompts.
const FREE_BACKLOG_MS: f64 = 80.0;
/// Time to generate an answer after its first event, in milliseconds: twenty
/// events of one pass each.
const ANSWER_DECODE_MS: f64 = 1_500.0;
/// Longest prefill time of one part, as a multiple of the pause that callers of
/// such prompts accept. Waiting for more engines would leave those that are free
/// idle.
const MAX_PART_TO_PAUSE: f64 = 1.5;
/// Cost of one more part, relative to a short prompt's weight: it is another
/// engine that may fail, and it adds a step.
const PART_COST: f64 = 0.02;
/// Cost of an engine's penalty, relative to the prompt's weight: an engine that
/// just broke two connections costs about as much as the prompt.
const PENALTY_WEIGHT: f64 = 0.5;
/// Cost of a position at the front of the order: less than a third of one short
/// prompt made late.
const FRONT_WEIGHT: f64 = 0.3;
/// Fraction of a prompt's weight that a missed objective costs.
const LATE_COST: f64 = 0.75;
/// Fraction of a prompt's weight that is added for each further objective time by
/// which the answer is late: a late answer is still better sooner than later.
const LATER_COST: f64 = 0.1;
/// Fraction of a prompt's weight between an immediate answer and one just in
/// time.
const IN_TIME_COST: f64 = 0.2;
/// Tokens added to what a helper holds, for rounding to memory blocks.
const PART_SLACK_TOKENS: u64 = 64;

/// Chooses engines for a medium prompt, which never waits.
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

/// Returns the largest number of parts that this many engines can run.
fn max_part_count(engines: usize) -> usize {
    let parts = PART_COUNTS.iter().filter(|parts| **parts <= engines);
    parts.max().copied().unwrap_or(1)
}

/// Returns the plan of the lowest cost over all numbers of parts.
fn cheapest<K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    engines: &[(usize, &Candidate<K>)],
) -> Option<CostedPlan<K>>
where
    K: Clone,
{
    let plans = PART_COUNTS
        .iter()
        .take_while(|parts| **parts <= engines.len());
    let plans = plans.filter_map(|parts| plan_with_parts(spec, prompt, engines, *parts));
    plans.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

/// Returns the number of engines at the front of the order that are reserved for
/// short prompts: as many as the decoding requests in flight with tight pauses
/// need, and some for those that will arrive soon.
fn short_lane_size<K>(ordered: &[&Candidate<K>]) -> usize {
    let is_tight = |request: &&DecodingRequest| request.pause_ms <= TIGHT_PAUSE_MS;
    let tight = |c: &&Candidate<K>| c.load.decoding.iter().filter(is_tight).count();
    let decoding = ordered.iter().map(tight).sum::<usize>();
    let slots = ordered.iter().map(|c| c.slots).sum::<usize>();
    let fraction = ratio(decoding, slots) / MAX_SLOT_FILL * SHORT_LANE_HEADROOM;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a fraction of a small count"
    )]
    let size = (fraction * ratio(ordered.len(), 1)).ceil() as usize;
    // Each lane has at least one engine if there are two or more.
    size.clamp(1, ordered.len().saturating_sub(1).max(1))
}

/// How urgent the long prompt that is first in the queue has become.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// It can still meet its objective later.
    CanWait,
    /// It meets its objective only if it is sent now.
    Pressing,
    /// It misses its objective even if it is sent now.
    Late,
    /// It has waited for most of its time and must run soon or not at all.
    Overdue,
}

impl Urgency {
    /// Returns the fraction of a prompt's weight that is gained by sending it now
    /// instead of later: a late answer keeps about a quarter of its value.
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
/// Returns [`PlacementError::Full`] when waiting is better than any engines that
/// are free now, and [`PlacementError::TooLarge`] when no number of engines can
/// hold the prompt.
pub fn long<K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    urgency: Urgency,
    candidates: &[Candidate<K>],
) -> Result<Plan<K>, PlacementError>
where
    K: Clone,
{
    long_beside(spec, prompt, urgency, candidates, short_lane_size)
}

/// Chooses engines for the long prompt that is first in the queue, behind the lane of
/// short prompts at the front of the order.
pub(super) fn long_beside<K, L>(
    spec: &EngineSpec,
    prompt: &Prompt,
    urgency: Urgency,
    candidates: &[Candidate<K>],
    lane_size: L,
) -> Result<Plan<K>, PlacementError>
where
    K: Clone,
    L: Fn(&[&Candidate<K>]) -> usize,
{
    let ordered = in_order(candidates)?;
    let max_parts = MAX_PARTS.min(ordered.len());
    let smallest = prompt.tokens / (max_parts as u64).max(1) + prompt.max_output;
    if !fits_in_memory(spec, smallest) {
        return Err(PlacementError::TooLarge);
    }
    let short_lane_size = lane_size(&ordered);
    let free = ordered.into_iter().enumerate().skip(short_lane_size);
    let free = free.filter(|(_, c)| is_free(c));
    let free = free.collect::<Vec<_>>();
    let long_lane_size = candidates.len() - short_lane_size;
    let best = cheapest(spec, prompt, &free).ok_or(PlacementError::Full)?;
    let plan = best.plan;
    if plan.predicted_ms + ANSWER_DECODE_MS > prompt.deadline_ms {
        return Err(PlacementError::Full);
    }
    if best.delay_cost > weight(prompt.tokens) * urgency.gain() {
        return Err(PlacementError::Full);
    }
    if urgency == Urgency::Overdue {
        return Ok(plan);
    }
    // A part must not block an engine for much longer than callers of such
    // prompts accept to pause, unless the long lane has no more engines to share
    // it.
    let parts = plan.helpers.len() + 1;
    if plan.part_ms > prompt.pause_ms * MAX_PART_TO_PAUSE && parts < max_part_count(long_lane_size)
    {
        return Err(PlacementError::Full);
    }
    let too_slow = plan.predicted_ms > prompt.objective_ms * PREDICTION_MARGIN;
    if too_slow && urgency == Urgency::CanWait {
        return Err(PlacementError::Full);
    }
    Ok(plan)
}

/// A plan with its cost.
struct CostedPlan<K> {
    /// Delay to other requests, lateness of the prompt and number of parts.
    cost: f64,
    /// Summed weight of the decoding requests that become late.
    delay_cost: f64,
    plan: Plan<K>,
}

/// Plans a prompt over the `parts` engines with the lowest cost.
fn plan_with_parts<K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    free: &[(usize, &Candidate<K>)],
    parts: usize,
) -> Option<CostedPlan<K>>
where
    K: Clone,
{
    let part_ms = prefill_ms(spec, prompt.tokens, parts);
    let best = by_cost(spec, prompt, free, part_ms);
    let members = choose_members(spec, prompt, &best, parts)?;
    let all = || members.helpers.iter().copied().chain([members.first]);
    let predicted_ms = all().map(|c| first_event_ms(spec, c, part_ms));
    let predicted_ms = predicted_ms.fold(0.0, f64::max);
    let delay_cost = all().map(|c| delay_cost(spec, c, part_ms)).sum::<f64>();
    let lateness = lateness_cost(prompt, part_ms, predicted_ms);
    let plan = Plan {
        first: members.first.key.clone(),
        helpers: members.helpers.iter().map(|c| c.key.clone()).collect(),
        part_ms,
        part_tokens: members.held_tokens,
        predicted_ms,
    };
    Some(CostedPlan {
        cost: delay_cost + weight(prompt.tokens) * lateness + ratio(parts, 1) * PART_COST,
        delay_cost,
        plan,
    })
}

/// Orders engines by the cost of a part there: the delay to other requests, the
/// risk of a failure, the time until the part is prefilled and the position.
fn by_cost<'a, K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    free: &[(usize, &'a Candidate<K>)],
    part_ms: f64,
) -> Vec<&'a Candidate<K>> {
    let weight = weight(prompt.tokens);
    let cost = |(position, candidate): &(usize, &Candidate<K>)| {
        let ready = first_event_ms(spec, candidate, part_ms) / prompt.objective_ms.max(1.0);
        let risk = candidate.penalty * weight * PENALTY_WEIGHT;
        // Prefers the back of the order between otherwise equal engines.
        let front = ratio(free.len().saturating_sub(*position), free.len());
        delay_cost(spec, candidate, part_ms) + risk + ready + front * FRONT_WEIGHT
    };
    let mut with_cost = free.iter().map(|c| (cost(c), c.1)).collect::<Vec<_>>();
    with_cost.sort_by(|a, b| a.0.total_cmp(&b.0));
    with_cost
        .into_iter()
        .map(|(_, candidate)| candidate)
        .collect()
}

/// Engines that share a prompt.
struct Members<'a, K> {
    first: &'a Candidate<K>,
    helpers: Vec<&'a Candidate<K>>,
    /// Tokens that each helper holds; 0 when the first holds all.
    held_tokens: u64,
}

/// Chooses the best engines whose memory suffices. When none can hold the whole
/// prompt, each holds its part.
fn choose_members<'a, K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    best: &[&'a Candidate<K>],
    parts: usize,
) -> Option<Members<'a, K>> {
    let part_tokens = prompt.tokens / (parts as u64) + PART_SLACK_TOKENS;
    let first_with_room = |tokens: u64| {
        let wanted = tokens + prompt.max_output;
        let suits =
            |c: &&Candidate<K>| fits(spec, wanted, c) && c.load.requests < c.slots && !c.only_helps;
        best.iter().position(suits)
    };
    let (first, held_tokens) = match first_with_room(prompt.tokens) {
        Some(first) => (first, 0),
        None => (first_with_room(part_tokens)?, part_tokens),
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

/// Returns the fraction of a prompt's weight that its delay costs: little while
/// it meets its objective, most of it afterwards, and more when its parts block
/// engines for longer than the accepted pause.
fn lateness_cost(prompt: &Prompt, part_ms: f64, predicted_ms: f64) -> f64 {
    let used = predicted_ms / (prompt.objective_ms * PREDICTION_MARGIN).max(1.0);
    let late = if used > 1.0 {
        LATE_COST + (used - 1.0) * LATER_COST
    } else {
        used * IN_TIME_COST
    };
    if part_ms > prompt.pause_ms * PREDICTION_MARGIN {
        late + part_ms / prompt.pause_ms.max(1.0)
    } else {
        late
    }
}

/// Returns whether a part of a long prompt may be sent to an engine.
fn is_free<K>(candidate: &Candidate<K>) -> bool {
    let load = &candidate.load;
    load.long_prefills == 0
        && load.backlog_ms <= FREE_BACKLOG_MS
        && candidate.penalty < HEALTHY_BELOW_PENALTY
}
