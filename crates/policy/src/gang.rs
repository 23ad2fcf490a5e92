//! Prompts that need the memory of several engines.
//!
//! A gang of engines is chosen whole: parts are sized by what each engine has
//! free, never more than half of its memory, so that short requests keep room
//! everywhere. Reservations are taken in the order of the engines' names, all
//! or none; whoever finds one refused lets go of everything and comes back
//! later, so two such prompts never wait for each other.

use briarhall_types::EndpointName;

use crate::fleet::EndpointKey;

/// Part of an engine's memory that all gangs together may hold.
const MAX_PART_OF_ENGINE: f64 = 0.5;
/// Smallest part worth another engine, in tokens.
const MIN_PART_TOKENS: u64 = 16_384;
/// Engines in one gang at the most.
const MAX_ENGINES: usize = 16;

/// What one engine could give.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineMemory {
    /// The engine.
    pub key: EndpointKey,
    /// Its name.
    pub name: EndpointName,
    /// Its memory, in tokens.
    pub capacity: u64,
    /// Tokens held, as far as known.
    pub used: u64,
    /// Tokens held by reservations, as far as known.
    pub reserved: u64,
    /// Whether it takes work now.
    pub usable: bool,
}

/// One engine's part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The engine.
    pub key: EndpointKey,
    /// Its name.
    pub name: EndpointName,
    /// Tokens of the prompt it holds.
    pub tokens: u64,
    /// Tokens that all gangs together may hold there.
    pub allowance: u64,
}

/// Why no gang can be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GangError {
    /// Not now; memory may become free.
    NoRoom,
    /// Never, with the engines there are.
    TooLarge,
}

/// Chooses engines for `tokens` tokens of prompt, in the order in which their
/// reservations must be taken.
///
/// # Errors
///
/// Returns whether waiting can help.
pub fn choose(memories: &[EngineMemory], tokens: u64) -> Result<Vec<Part>, GangError> {
    let mut whole = memories.iter().map(largest_part).collect::<Vec<_>>();
    whole.sort_unstable_by(|a, b| b.cmp(a));
    if whole.iter().take(MAX_ENGINES).sum::<u64>() < tokens {
        return Err(GangError::TooLarge);
    }
    let mut by_free = memories
        .iter()
        .map(|memory| (free_part(memory), memory))
        .collect::<Vec<_>>();
    by_free.sort_by(|(a, x), (b, y)| b.cmp(a).then_with(|| x.name.cmp(&y.name)));
    let mut left = tokens;
    let mut parts = Vec::new();
    for (free, memory) in by_free.into_iter().take(MAX_ENGINES) {
        if left == 0 || free < MIN_PART_TOKENS.min(left).max(1) {
            break;
        }
        let tokens = free.min(left);
        left -= tokens;
        parts.push(Part {
            key: memory.key,
            name: memory.name.clone(),
            tokens,
            allowance: largest_part(memory),
        });
    }
    if left > 0 {
        return Err(GangError::NoRoom);
    }
    parts.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(parts)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a part of a token count far below 2^52"
)]
fn largest_part(memory: &EngineMemory) -> u64 {
    (memory.capacity as f64 * MAX_PART_OF_ENGINE) as u64
}

fn free_part(memory: &EngineMemory) -> u64 {
    if !memory.usable {
        return 0;
    }
    let by_gangs = largest_part(memory).saturating_sub(memory.reserved);
    by_gangs.min(memory.capacity.saturating_sub(memory.used))
}
