//! Short prompts: one of the first engines of the order that have capacity for one
//! more.
//!
//! The loads that a gateway knows lack what the others placed a moment ago. If all
//! took the very first engine with room, they would take the same one, so each
//! chooses among as many as others may have taken in the meantime.

use briarhall_types::EngineSpec;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::Candidate;
use super::HEALTHY_BELOW_PENALTY;
use super::MAX_SLOT_FILL;
use super::PREDICTION_MARGIN;
use super::PlacementError;
use super::Plan;
use super::Prompt;
use super::cost::delays_decoding;
use super::cost::first_event_ms;
use super::cost::fits;
use super::cost::pass_ms;
use super::cost::slot_utilization;
use super::in_order;
use crate::engine::prefill_ms;

/// Cost of a penalty, where a whole objective or a full engine costs 1.
const PENALTY_WEIGHT: f64 = 2.0;
/// Engines among which a gateway chooses for each prompt that others may have
/// placed unseen.
const ENGINES_PER_UNSEEN: usize = 4;
/// Fraction of an objective that first-fit tries before it accepts any engine
/// within the prediction margin.
const PREFERRED_OBJECTIVE_FRACTION: f64 = 0.45;

/// Chooses an engine for a short prompt when other gateways have placed about
/// `unseen` prompts that the candidates' loads do not contain yet.
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
    let fits = |c: &&&Candidate<K>| {
        fits(spec, prompt.tokens + prompt.max_output, c)
            && c.load.requests < c.slots
            && !c.only_helps
    };
    let predicted = |c: &Candidate<K>| first_event_ms(spec, c, prefill);
    let within = |c: &Candidate<K>, objective_fraction: f64| {
        c.penalty < HEALTHY_BELOW_PENALTY
            && slot_utilization(c) < MAX_SLOT_FILL
            && predicted(c) < prompt.objective_ms * objective_fraction
            && pass_ms(spec, c, prefill) < prompt.pause_ms * PREDICTION_MARGIN
            && !delays_decoding(spec, c, prefill)
    };
    let mut first_fits = |fraction: f64| {
        let with_room = ordered.iter().filter(fits).filter(|c| within(c, fraction));
        let two = with_room
            .take(1 + unseen * ENGINES_PER_UNSEEN)
            .sample(rng, 2);
        two.into_iter()
            .min_by(|a, b| predicted(a).total_cmp(&predicted(b)))
    };
    let first_fit = first_fits(PREFERRED_OBJECTIVE_FRACTION);
    let first_fit = first_fit.or_else(|| first_fits(PREDICTION_MARGIN));
    let cost = |c: &Candidate<K>| {
        predicted(c) / prompt.objective_ms.max(1.0)
            + slot_utilization(c)
            + c.penalty * PENALTY_WEIGHT
    };
    let cheapest = || {
        let fitting = ordered.iter().filter(fits);
        fitting.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    };
    let chosen = first_fit.or_else(cheapest).ok_or(PlacementError::Full)?;
    Ok(Plan {
        first: chosen.key.clone(),
        helpers: Vec::new(),
        part_ms: prefill,
        part_tokens: 0,
        predicted_ms: predicted(chosen),
    })
}
