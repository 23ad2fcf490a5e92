//! Medium and long prompts: how many engines read one, and which.

use briarhall_types::EngineSpec;

use super::Candidate;
use super::FILL;
use super::MARGIN;
use super::NoPlace;
use super::Plan;
use super::Prompt;
use super::SOUND;
use super::cost::first_event_ms;
use super::cost::fits;
use super::cost::harm;
use super::cost::has_slot;
use super::cost::holds;
use super::cost::ratio;
use super::cost::worth;
use super::in_order;
use crate::board::Writer;
use crate::engine::read_ms;

/// Engines that may share one prompt: the wire carries sixteen helpers.
const MOST_PARTS: usize = 16;
/// Numbers of parts that are weighed.
const PARTS: [usize; 10] = [1, 2, 3, 4, 6, 8, 10, 12, 14, 16];
/// Pause up to which a writer cannot run beside long reads, in milliseconds.
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
/// Added to what a helper holds, for rounding to blocks.
const PART_SLACK_TOKENS: u64 = 64;

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
