//! Baseline policies: a whole prompt goes to one engine, by a rule that ignores
//! its length.

use briarhall_types::EngineSpec;
use rand::Rng;
use rand::RngExt;

use super::Candidate;
use super::PlacementError;
use super::Plan;
use super::Prompt;
use super::cost::first_event_ms;
use super::in_order;
use crate::engine::prefill_ms;
use crate::policies::Policy;

/// Chooses an engine by a baseline policy; `choice_index` counts the choices of
/// this gateway.
///
/// # Errors
///
/// Returns [`PlacementError`] when there is no engine, every engine is full, or
/// the prompt exceeds an engine's memory.
pub fn baseline<K, R>(
    policy: Policy,
    spec: &EngineSpec,
    prompt: &Prompt,
    candidates: &[Candidate<K>],
    choice_index: usize,
    rng: &mut R,
) -> Result<Plan<K>, PlacementError>
where
    K: Clone,
    R: Rng,
{
    let ordered = in_order(candidates)?;
    if prompt.tokens + prompt.max_output > spec.kv_tokens {
        return Err(PlacementError::TooLarge);
    }
    let open = ordered.into_iter();
    let open = open.filter(|c| c.load.requests < c.slots && !c.only_helps);
    let open = open.collect::<Vec<_>>();
    if open.is_empty() {
        return Err(PlacementError::Full);
    }
    let fewest = |c: &&&Candidate<K>| c.load.requests;
    let chosen = match policy {
        // `Policy::Lanes` is handled by `short`, `medium` and `long`.
        Policy::RoundRobin | Policy::Lanes => open.get(choice_index % open.len()),
        Policy::LeastRequests => open.iter().min_by_key(fewest),
        Policy::LeastTokens => {
            let backlog = |c: &&&Candidate<K>| c.load.backlog_ms;
            open.iter().min_by(|a, b| backlog(a).total_cmp(&backlog(b)))
        }
        Policy::TwoChoices => {
            let mut draw = || &open[rng.random_range(0..open.len())];
            [draw(), draw()].into_iter().min_by_key(fewest)
        }
    };
    let chosen = chosen.ok_or(PlacementError::Full)?;
    let prefill = prefill_ms(spec, prompt.tokens, 1);
    Ok(Plan {
        first: chosen.key.clone(),
        helpers: Vec::new(),
        part_ms: prefill,
        part_tokens: 0,
        predicted_ms: first_event_ms(spec, chosen, prefill),
    })
}
