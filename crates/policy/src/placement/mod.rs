//! Which replicas run a request, and how many of them prefill its prompt.
//!
//! Engines are kept in one order that every gateway computes alike. Prompts
//! whose callers bear no long pauses fill the engines from the front of the
//! order, one after the other; long prompts take engines from its back and are
//! cut into parts. So the engines part into a lane for short prompts and one
//! for long ones by themselves, and the border follows the load within moments.

mod baseline;
mod cost;
mod long;
mod short;

use briarhall_types::EngineSpec;
use thiserror::Error;

pub use self::baseline::baseline;
pub use self::long::Urgency;
pub use self::long::long;
pub use self::long::medium;
pub use self::short::short;
use crate::engine::prefill_ms;
use crate::load_tracker::Load;

/// Part of an engine's slots that first-fit fills: other gateways place at the
/// same moment.
const FILL: f64 = 0.85;
/// Part of an objective that a prediction may use, as predictions are rough.
const MARGIN: f64 = 0.8;
/// Penalty below which a replica counts as sound.
const SOUND: f64 = 0.5;
/// Prefill time from which several engines share a prompt: a third of the
/// pause of 250 ms that callers of short prompts accept.
const MEDIUM_FROM_MS: f64 = 80.0;
/// Prefill time from which a prompt waits in the queue: shared by eight engines
/// it takes half of such a pause.
const LONG_FROM_MS: f64 = 1_000.0;

/// Cost of another availability zone, against a full replica: it decides between
/// equals only.
const FAR: f64 = 0.05;

/// What a prompt needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prompt {
    /// Tokens to prefill.
    pub tokens: u64,
    /// Tokens to generate at the most.
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
    pub same_zone: bool,
}

/// Where a prompt goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan<K> {
    /// Gets the request and generates the answer.
    pub first: K,
    /// Prefill a part each.
    pub helpers: Vec<K>,
    /// Time to prefill one part, in milliseconds.
    pub part_ms: f64,
    /// Tokens that each helper holds for the prompt; none when the first
    /// replica holds it whole.
    pub part_tokens: u64,
    /// Predicted time to the first event, in milliseconds.
    pub predicted_ms: f64,
}

/// No place for a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PlacementError {
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
/// Returns [`PlacementError`] when there is none.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of requests are far below 2^52"
)]
pub fn call<K>(candidates: &[Candidate<K>]) -> Result<K, PlacementError>
where
    K: Clone,
{
    let cost = |candidate: &Candidate<K>| {
        let taken = candidate.load.requests as f64 / candidate.slots.max(1) as f64;
        let far = if candidate.same_zone { 0.0 } else { FAR };
        taken + candidate.penalty + far
    };
    let best = candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
    best.map(|best| best.key.clone())
        .ok_or(PlacementError::NoReplica)
}

/// How a prompt is placed, by the time it takes to prefill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Length {
    /// One engine prefills it between two events of its decoding requests.
    Short,
    /// Several engines prefill it at once, and nobody waits for it.
    Medium,
    /// It would hold engines up, so it waits in the queue for free ones.
    Long,
}

/// Returns how a prompt is placed.
#[must_use]
pub fn length(spec: &EngineSpec, prompt: &Prompt) -> Length {
    let whole = prefill_ms(spec, prompt.tokens, 1);
    if whole <= MEDIUM_FROM_MS {
        Length::Short
    } else if whole <= LONG_FROM_MS {
        Length::Medium
    } else {
        Length::Long
    }
}

fn in_order<K>(candidates: &[Candidate<K>]) -> Result<Vec<&Candidate<K>>, PlacementError> {
    if candidates.is_empty() {
        return Err(PlacementError::NoReplica);
    }
    let mut ordered = candidates.iter().collect::<Vec<_>>();
    ordered.sort_by_key(|candidate| candidate.order);
    Ok(ordered)
}
