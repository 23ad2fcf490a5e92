//! Short prompts: the first engine of the order that bears one more.

use briarhall_types::EngineSpec;

use super::Candidate;
use super::FILL;
use super::MARGIN;
use super::PlacementError;
use super::Plan;
use super::Prompt;
use super::SOUND;
use super::cost::filled;
use super::cost::first_event_ms;
use super::cost::fits;
use super::cost::pass_ms;
use super::cost::stretched;
use super::in_order;
use crate::engine::prefill_ms;

/// Weight of a penalty against a whole objective or a full engine.
const PENALTY_WEIGHT: f64 = 2.0;
/// Part of an objective within which a short prompt takes the first engine
/// that offers it.
const QUICK: f64 = 0.45;

/// Chooses an engine for a short prompt.
///
/// # Errors
///
/// Returns [`PlacementError`] when it must wait or can never run.
pub fn short<K>(
    spec: &EngineSpec,
    prompt: &Prompt,
    candidates: &[Candidate<K>],
) -> Result<Plan<K>, PlacementError>
where
    K: Clone,
{
    let prefill = prefill_ms(spec, prompt.tokens, 1);
    let ordered = in_order(candidates)?;
    let fits = |c: &&&Candidate<K>| {
        fits(spec, prompt.tokens + prompt.max_output, c) && c.load.requests < c.slots
    };
    let predicted = |c: &Candidate<K>| first_event_ms(spec, c, prefill);
    let within = |c: &Candidate<K>, part_of_objective: f64| {
        c.penalty < SOUND
            && filled(c) < FILL
            && predicted(c) < prompt.objective_ms * part_of_objective
            && pass_ms(spec, c, prefill) < prompt.pause_ms * MARGIN
            && !stretched(spec, c, prefill)
    };
    let first_fit = |part: f64| ordered.iter().filter(fits).find(|c| within(c, part));
    let first_fit = || first_fit(QUICK).or_else(|| first_fit(MARGIN));
    let cost = |c: &Candidate<K>| {
        predicted(c) / prompt.objective_ms.max(1.0) + filled(c) + c.penalty * PENALTY_WEIGHT
    };
    let least_bad = || {
        let fitting = ordered.iter().filter(fits);
        fitting.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    };
    let chosen = first_fit().or_else(least_bad).ok_or(PlacementError::Full)?;
    Ok(Plan {
        first: chosen.key.clone(),
        helpers: Vec::new(),
        part_ms: prefill,
        part_tokens: 0,
        predicted_ms: predicted(chosen),
    })
}
