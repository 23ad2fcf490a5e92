//! Placement over engines whose known loads are older than the time between two
//! placements.
//!
//! Short prompts are spread evenly over the engines at the front of the order, as many
//! as they need with a moderate number of requests each. Medium and long prompts use the
//! others, since every part that an engine prefills delays the events of the requests
//! that decode there. Within the lane a gateway takes the least loaded of a few engines
//! that it draws at random, fewer the more prompts others have placed unseen: if all took
//! the least loaded engine of the lane, they would take the same one.

use briarhall_types::EngineSpec;
use rand::Rng;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;

use super::Candidate;
use super::HEALTHY_BELOW_PENALTY;
use super::PREDICTION_MARGIN;
use super::PlacementError;
use super::Plan;
use super::Prompt;
use super::cost::delays_decoding;
use super::cost::first_event_ms;
use super::cost::fits;
use super::cost::pass_ms;
use super::cost::ratio;
use super::cost::slot_utilization;
use super::in_order;
use super::long::TIGHT_PAUSE_MS;
use super::long::Urgency;
use super::long::long_beside;
use crate::engine::prefill_ms;
use crate::load_tracker::DecodingRequest;

/// Fraction of the slots of the short prompts' engines that is in use when their number
/// is right. A larger lane is more even, and takes engines from the longest prompts, which
/// are worth fifteen times as much to their callers.
const LANE_FILL: f64 = 0.68;
/// Fraction of the slots of a smaller lane up to which engines are left to the long
/// prompts, which need them whole.
const MAX_LANE_FILL: f64 = 0.8;
/// Engines left to long prompts, as a multiple of those that prefill one now.
const LONG_LANE_HEADROOM: f64 = 1.5;
/// Fewest engines that short prompts use, where there are so many: one in the lane
/// would get every prompt that gateways place at the same moment.
const MIN_LANE: usize = 4;
/// Cost of a penalty, where a whole objective or a full engine costs 1.
const PENALTY_WEIGHT: f64 = 2.0;
/// Fewest engines that are compared, however stale the loads are: of two, one is mostly
/// not among the busiest.
const MIN_COMPARED: usize = 2;
/// Most engines that are compared, however fresh the loads seem: they lack also what has
/// ended unseen, and each more would make the choices of gateways more alike.
const MAX_COMPARED: usize = 4;

/// Returns the requests in flight at the busiest replica, relative to the mean, or `None`
/// when none are in flight.
#[must_use]
pub fn busiest_to_mean<K>(candidates: &[Candidate<K>]) -> Option<f64> {
    let requests = candidates.iter().map(|c| c.load.requests);
    let all = requests.clone().sum::<usize>();
    let busiest = requests.max().filter(|_| all > 0)?;
    Some(ratio(busiest * candidates.len(), all))
}

/// Returns whether an engine runs, or prefills a part of, another prompt than a short one.
fn has_other<K>(candidate: &Candidate<K>) -> bool {
    let mut decoding = candidate.load.decoding.iter();
    candidate.load.long_prefills > 0 || decoding.any(|r| r.pause_ms > TIGHT_PAUSE_MS)
}

/// Returns how many engines at the front of the order short prompts use: at most half of
/// them beside other prompts, while that is enough.
fn lane_size<K>(ordered: &[&Candidate<K>], unseen: usize, beside_other: bool) -> usize {
    let is_tight = |request: &&DecodingRequest| request.pause_ms <= TIGHT_PAUSE_MS;
    let tight = |c: &&Candidate<K>| c.load.decoding.iter().filter(is_tight).count();
    let requests = ordered.iter().map(tight).sum::<usize>() + unseen;
    let with_fill = |fill: f64| {
        let mut slots_left = ratio(requests, 1) / fill;
        let enough = ordered.iter().position(|c| {
            if !c.only_helps && c.penalty < HEALTHY_BELOW_PENALTY {
                slots_left -= ratio(c.slots, 1) / c.pace;
            }
            slots_left <= 0.0
        });
        enough.map_or(ordered.len(), |last| last + 1)
    };
    let mut beside_long = ordered.len();
    if beside_other || ordered.iter().any(|c| has_other(c)) {
        let long = ordered.iter().filter(|c| c.load.long_prefills > 0).count();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a multiple of a small count"
        )]
        let long = (ratio(long, 1) * LONG_LANE_HEADROOM).ceil() as usize;
        let half = ordered.len() / 2;
        beside_long = ordered.len().saturating_sub(long).min(half);
    }
    let size = with_fill(LANE_FILL).min(beside_long.max(with_fill(MAX_LANE_FILL)));
    size.max(MIN_LANE).min(ordered.len())
}

/// Returns how many engines at the front of the order parts of other prompts keep off.
fn kept_off<K>(ordered: &[&Candidate<K>], unseen: usize) -> usize {
    // Long prompts have at least one engine if there are two or more.
    lane_size(ordered, unseen, true).min(ordered.len().saturating_sub(1))
}

/// Chooses an engine for a short prompt when other gateways have placed about `unseen`
/// prompts that the candidates' loads do not contain yet.
///
/// # Errors
///
/// Returns [`PlacementError`] when there is no engine or none has room.
pub fn short<K, R>(
    spec: &EngineSpec,
    prompt: &Prompt,
    candidates: &[Candidate<K>],
    unseen: usize,
    rng: &mut R,
) -> Result<Plan<K>, PlacementError>
where
    K: Clone,
    R: Rng,
{
    let prefill = prefill_ms(spec, prompt.tokens, 1);
    let ordered = in_order(candidates)?;
    let lane = lane_size(&ordered, unseen, false);
    let fits = |c: &&Candidate<K>| {
        fits(spec, prompt.tokens + prompt.max_output, c)
            && c.load.requests < c.slots
            && !c.only_helps
    };
    let predicted = |c: &Candidate<K>| first_event_ms(spec, c, prefill);
    let in_time = |c: &&Candidate<K>| {
        c.penalty < HEALTHY_BELOW_PENALTY
            && c.load.long_prefills == 0
            && predicted(c) < prompt.objective_ms * PREDICTION_MARGIN
            && pass_ms(spec, c, prefill) < prompt.pause_ms * PREDICTION_MARGIN
            && !delays_decoding(spec, c, prefill)
    };
    let (front, back) = ordered.split_at(lane);
    let drawn = [front, back].into_iter().find_map(|engines| {
        let open = engines.iter().copied().filter(fits).filter(in_time);
        least_loaded(&open.collect::<Vec<_>>(), prefill, unseen, rng)
    });
    let cost = |c: &Candidate<K>| {
        predicted(c) / prompt.objective_ms.max(1.0)
            + slot_utilization(c)
            + c.penalty * PENALTY_WEIGHT
    };
    let chosen = drawn.or_else(|| {
        let fitting = ordered.iter().copied().filter(fits);
        fitting.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    });
    let chosen = chosen.ok_or(PlacementError::Full)?;
    Ok(Plan {
        first: chosen.key.clone(),
        helpers: Vec::new(),
        part_ms: prefill,
        part_tokens: 0,
        predicted_ms: predicted(chosen),
    })
}

/// Draws as many engines as leave one for each prompt that others may have placed unseen,
/// and returns the one with the least work.
fn least_loaded<'a, K, R>(
    engines: &[&'a Candidate<K>],
    prefill: f64,
    unseen: usize,
    rng: &mut R,
) -> Option<&'a Candidate<K>>
where
    R: Rng,
{
    let compared = (engines.len() / (unseen + 1)).clamp(MIN_COMPARED, MAX_COMPARED);
    // The prompts that wait there delay the first event, so they count twice.
    let work = |c: &Candidate<K>| {
        let waiting = c.load.backlog_ms / prefill.max(1.0);
        (ratio(c.load.requests, 1) + 1.0 + waiting) * c.pace
    };
    let mut drawn = engines.iter().copied().sample(rng, compared);
    // A sample keeps the order, and of equals the first would always be taken.
    drawn.shuffle(rng);
    drawn.into_iter().min_by(|a, b| work(a).total_cmp(&work(b)))
}

/// Chooses engines for a medium prompt, which never waits: those that short prompts do
/// not use, while these answer in time.
///
/// # Errors
///
/// Returns [`PlacementError::Full`] when no engine has room.
pub fn medium<K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    candidates: &[Candidate<K>],
    unseen: usize,
) -> Result<Plan<K>, PlacementError>
where
    K: Clone,
{
    let ordered = in_order(candidates)?;
    let behind = ordered[kept_off(&ordered, unseen)..]
        .iter()
        .map(|c| (*c).clone());
    let behind = behind.collect::<Vec<_>>();
    match super::medium(spec, prompt, &behind) {
        Ok(plan) if plan.predicted_ms < prompt.objective_ms * PREDICTION_MARGIN => Ok(plan),
        _ => super::medium(spec, prompt, candidates),
    }
}

/// Chooses engines for the long prompt that is first in the queue, behind those of the
/// short prompts.
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
    unseen: usize,
) -> Result<Plan<K>, PlacementError>
where
    K: Clone,
{
    long_beside(spec, prompt, urgency, candidates, |ordered| {
        kept_off(ordered, unseen)
    })
}
