//! What a prompt costs a replica, and the requests that decode there.

use briarhall_types::EngineSpec;

use super::Candidate;
use super::MARGIN;
use crate::engine::decode_pass_ms;
use crate::load_tracker::DecodingRequest;

/// Tokens that are worth as much as a short prompt's answer by itself: its cost
/// to repeat grows with them.
const TOKENS_OF_WORTH: f64 = 10_000.0;
/// Part of an engine's memory that is used; the rest is for answers that grow
/// longer than was asked for.
const KV_FILL: f64 = 0.95;

/// What a prompt is worth against a short one: callers of long ones have
/// waited longer for what they need, and their work costs more to repeat.
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
pub(super) fn worth(tokens: u64) -> f64 {
    1.0 + tokens as f64 / TOKENS_OF_WORTH
}

/// Returns whether a candidate's memory has room for `tokens` more.
pub(super) fn fits<K>(spec: &EngineSpec, tokens: u64, candidate: &Candidate<K>) -> bool {
    holds(spec, candidate.load.kv_tokens + tokens)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
pub(super) fn holds(spec: &EngineSpec, tokens: u64) -> bool {
    tokens as f64 <= spec.kv_tokens as f64 * KV_FILL
}

pub(super) fn filled<K>(candidate: &Candidate<K>) -> f64 {
    ratio(candidate.load.requests, candidate.slots.max(1))
}

/// Duration of the next pass when `prefill` more is prefilled in it.
pub(super) fn pass_ms<K>(spec: &EngineSpec, candidate: &Candidate<K>, prefill: f64) -> f64 {
    let load = &candidate.load;
    decode_pass_ms(spec, load.decoding.len(), load.kv_tokens) + load.backlog_ms + prefill
}

/// Time to the first event: half of the pass that runs, then what waits, then
/// the own part and the steps of its pass.
pub(super) fn first_event_ms<K>(spec: &EngineSpec, candidate: &Candidate<K>, prefill: f64) -> f64 {
    let load = &candidate.load;
    let decode = decode_pass_ms(spec, load.decoding.len(), load.kv_tokens);
    let running = if load.requests > 0 { decode / 2.0 } else { 0.0 };
    running + load.backlog_ms + prefill + decode
}

/// Returns whether `prefill` more would make an event of a decoding request
/// late.
pub(super) fn stretched<K>(spec: &EngineSpec, candidate: &Candidate<K>, prefill: f64) -> bool {
    let pass = pass_ms(spec, candidate, prefill);
    let mut decoding = candidate.load.decoding.iter();
    decoding.any(|request| is_late(pass, *request))
}

/// Worth of the decoding requests that `prefill` more would make late, of those
/// that are not yet.
pub(super) fn harm<K>(spec: &EngineSpec, candidate: &Candidate<K>, prefill: f64) -> f64 {
    let before = pass_ms(spec, candidate, 0.0);
    let after = pass_ms(spec, candidate, prefill);
    let decoding = candidate.load.decoding.iter();
    let harmed = decoding.filter(|r| is_late(after, **r) && !is_late(before, **r));
    harmed.map(|r| worth(u64::from(r.tokens))).sum()
}

pub(super) fn is_late(pass: f64, request: DecodingRequest) -> bool {
    pass > f64::from(request.pause_ms) * MARGIN
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of replicas are far below 2^52"
)]
pub(super) fn ratio(a: usize, b: usize) -> f64 {
    a as f64 / b.max(1) as f64
}
