//! Which replicas run a request, and how many of them prefill its prompt.
//!
//! Every gateway computes the same order of the engines. Prompts whose callers
//! accept no long pauses fill the engines from the front of the order, one after
//! the other; long prompts use engines from its back and are split into parts.
//! So a lane for short prompts and one for long prompts form without
//! coordination, and the boundary between them follows the load.

mod baseline;
mod cost;
pub mod even;
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

/// Fraction of an engine's slots that first-fit uses, since other gateways place
/// requests at the same moment.
const MAX_SLOT_FILL: f64 = 0.85;
/// Fraction of an objective or pause that a prediction may use, since
/// predictions are rough.
const PREDICTION_MARGIN: f64 = 0.8;
/// Penalty below which a replica counts as healthy.
const HEALTHY_BELOW_PENALTY: f64 = 0.5;
/// Prefill time, in milliseconds, above which several engines share a prompt: a
/// third of the pause of 250 ms that callers of short prompts accept.
const MEDIUM_FROM_MS: f64 = 80.0;
/// Prefill time, in milliseconds, above which a prompt waits in the queue: shared
/// by eight engines it takes half of such a pause.
const LONG_FROM_MS: f64 = 1_000.0;

/// Cost of a replica in another availability zone, where a full replica costs 1:
/// it decides only between nearly equal replicas.
const OTHER_ZONE_COST: f64 = 0.05;

/// Size and time limits of a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prompt {
    /// Tokens to prefill.
    pub tokens: u64,
    /// Most tokens to generate.
    pub max_output: u64,
    /// Objective for the time to the first event, in milliseconds.
    pub objective_ms: f64,
    /// Longest pause that the caller accepts, in milliseconds.
    pub pause_ms: f64,
    /// Time until the caller gives up, in milliseconds.
    pub deadline_ms: f64,
}

/// A replica that may be chosen.
#[derive(Debug, Clone)]
pub struct Candidate<K> {
    /// The caller's key for the replica.
    pub key: K,
    /// Position in the order that every gateway computes alike.
    pub order: u64,
    /// Requests it runs at once.
    pub slots: usize,
    /// Its current load.
    pub load: Load,
    /// How much to avoid it: 0 for a healthy replica, 1 or more for one that
    /// just failed.
    pub penalty: f64,
    /// Time that work takes there, relative to an engine that runs as its operator
    /// measured: 1 for such an engine, 2 for one that is half as fast.
    pub pace: f64,
    /// Whether it runs in this gateway's availability zone.
    pub same_zone: bool,
    /// Whether it takes no request now, but may prefill a part of one that another
    /// replica answers.
    pub only_helps: bool,
}

/// The replicas chosen for a prompt.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan<K> {
    /// Replica that receives the request and generates the answer.
    pub first: K,
    /// Replicas that prefill one part each.
    pub helpers: Vec<K>,
    /// Time to prefill one part, in milliseconds.
    pub part_ms: f64,
    /// Tokens that each helper holds for the prompt; 0 when the first replica
    /// holds the whole prompt.
    pub part_tokens: u64,
    /// Predicted time to the first event, in milliseconds.
    pub predicted_ms: f64,
}

/// Reason why a request cannot be placed now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PlacementError {
    /// No replica accepts work.
    #[error("no replica takes work")]
    NoReplica,
    /// Every replica is full.
    #[error("every replica is full")]
    Full,
    /// The prompt exceeds the replicas' memory, even if nothing else runs.
    #[error("the prompt is larger than any replica's memory")]
    TooLarge,
}

/// Chooses a replica for a call of a plain service: the least loaded relative to
/// its slots, and one in the same availability zone between equals.
///
/// # Errors
///
/// Returns [`PlacementError::NoReplica`] when there is no replica.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of requests are far below 2^52"
)]
pub fn call<K>(candidates: &[Candidate<K>]) -> Result<K, PlacementError>
where
    K: Clone,
{
    let cost = |candidate: &Candidate<K>| {
        let work = (candidate.load.requests + 1) as f64 * candidate.pace - 1.0;
        let utilization = work / candidate.slots.max(1) as f64;
        let zone_cost = if candidate.same_zone {
            0.0
        } else {
            OTHER_ZONE_COST
        };
        utilization + candidate.penalty + zone_cost
    };
    let open = candidates.iter().filter(|c| !c.only_helps);
    let best = open.min_by(|a, b| cost(a).total_cmp(&cost(b)));
    best.map(|best| best.key.clone())
        .ok_or(PlacementError::NoReplica)
}

/// Class of a prompt by its prefill time, which decides how it is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Length {
    /// One engine prefills it between two events of its decoding requests.
    Short,
    /// Several engines prefill it at once, and it does not wait in the queue.
    Medium,
    /// It would block engines, so it waits in the queue for free ones.
    Long,
}

/// Returns the length class of a prompt.
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
