//! Prompts that need the memory of several engines.
//!
//! The engines of a gang are chosen together. A part is sized by the free memory
//! of its engine and is never more than half of the engine's memory, which leaves
//! memory for short requests everywhere. Reservations are made in the order of
//! the engines' names, all or none: if one is refused, the router releases all of
//! them and retries later, so two such prompts never deadlock.

use briarhall_types::EndpointName;

use crate::fleet::EndpointKey;

/// Fraction of an engine's memory that all gangs together may hold.
const MAX_MEMORY_FRACTION: f64 = 0.5;
/// Smallest part for which another engine is added, unless fewer tokens remain.
const MIN_PART_TOKENS: u64 = 16_384;
/// Maximum number of engines in one gang.
const MAX_ENGINES: usize = 16;

/// Memory of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineMemory {
    /// The engine.
    pub key: EndpointKey,
    /// Its name.
    pub name: EndpointName,
    /// KV memory of the engine, in tokens.
    pub capacity: u64,
    /// Estimated number of tokens held.
    pub used: u64,
    /// Estimated number of tokens held by reservations.
    pub reserved: u64,
    /// Whether the engine accepts work now.
    pub usable: bool,
}

/// One engine's part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The engine.
    pub key: EndpointKey,
    /// Its name.
    pub name: EndpointName,
    /// Number of tokens of the prompt that it holds.
    pub tokens: u64,
    /// Number of tokens that all gangs together may hold on the engine.
    pub allowance: u64,
}

/// Reason why no gang can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GangError {
    /// Too little memory is free now; more may become free.
    InsufficientMemory,
    /// The prompt exceeds what the known engines can ever hold.
    TooLarge,
}

/// Chooses engines for a prompt of `tokens` tokens and returns the parts in the
/// order in which their reservations must be made.
///
/// # Errors
///
/// Returns [`GangError::InsufficientMemory`] when a later retry may succeed, and
/// [`GangError::TooLarge`] otherwise.
pub fn choose(memories: &[EngineMemory], tokens: u64) -> Result<Vec<Part>, GangError> {
    let mut largest_parts = memories.iter().map(largest_part).collect::<Vec<_>>();
    largest_parts.sort_unstable_by(|a, b| b.cmp(a));
    if largest_parts.iter().take(MAX_ENGINES).sum::<u64>() < tokens {
        return Err(GangError::TooLarge);
    }
    let mut by_free = memories
        .iter()
        .map(|memory| (free_part(memory), memory))
        .collect::<Vec<_>>();
    by_free.sort_by(|(a, x), (b, y)| b.cmp(a).then_with(|| x.name.cmp(&y.name)));
    let mut remaining = tokens;
    let mut parts = Vec::new();
    for (free, memory) in by_free.into_iter().take(MAX_ENGINES) {
        if remaining == 0 || free < MIN_PART_TOKENS.min(remaining).max(1) {
            break;
        }
        let tokens = free.min(remaining);
        remaining -= tokens;
        parts.push(Part {
            key: memory.key,
            name: memory.name.clone(),
            tokens,
            allowance: largest_part(memory),
        });
    }
    if remaining > 0 {
        return Err(GangError::InsufficientMemory);
    }
    parts.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(parts)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a fraction of a token count far below 2^52"
)]
fn largest_part(memory: &EngineMemory) -> u64 {
    (memory.capacity as f64 * MAX_MEMORY_FRACTION) as u64
}

fn free_part(memory: &EngineMemory) -> u64 {
    if !memory.usable {
        return 0;
    }
    let free_for_gangs = largest_part(memory).saturating_sub(memory.reserved);
    free_for_gangs.min(memory.capacity.saturating_sub(memory.used))
}
