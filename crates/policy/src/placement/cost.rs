//! Cost of a prompt to a replica and to the requests that decode there.

use briarhall_types::EngineSpec;

use super::Candidate;
use super::PREDICTION_MARGIN;
use crate::engine::decode_pass_ms;
use crate::load_tracker::DecodingRequest;

/// Tokens that add one to a prompt's weight, since the cost to repeat a request
/// grows with its tokens.
const TOKENS_PER_WEIGHT: f64 = 10_000.0;
/// Fraction of an engine's memory that may be used; the rest is for answers that
/// grow longer than was asked for.
const MAX_KV_FILL: f64 = 0.95;

/// Returns the weight of a prompt relative to a very short one: callers of long
/// prompts have waited longer, and their work costs more to repeat.
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
pub(super) fn weight(tokens: u64) -> f64 {
    1.0 + tokens as f64 / TOKENS_PER_WEIGHT
}

/// Returns whether a candidate's memory has room for `tokens` more.
pub(super) fn fits<K>(spec: &EngineSpec, tokens: u64, candidate: &Candidate<K>) -> bool {
    fits_in_memory(spec, candidate.load.kv_tokens + tokens)
}

/// Returns whether `tokens` in all fit into an engine's memory.
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
pub(super) fn fits_in_memory(spec: &EngineSpec, tokens: u64) -> bool {
    tokens as f64 <= spec.kv_tokens as f64 * MAX_KV_FILL
}

/// Returns the fraction of a candidate's slots that are in use; those of a slow engine
/// are in use for longer and count as more.
pub(super) fn slot_utilization<K>(candidate: &Candidate<K>) -> f64 {
    ratio(candidate.load.requests, candidate.slots.max(1)) * candidate.pace
}

/// Returns the duration of the next pass with `prefill` more milliseconds of
/// prefill in it, in milliseconds.
pub(super) fn pass_ms<K>(spec: &EngineSpec, candidate: &Candidate<K>, prefill: f64) -> f64 {
    let load = &candidate.load;
    let decode = decode_pass_ms(spec, load.decoding.len(), load.kv_tokens);
    (decode + load.backlog_ms + prefill) * candidate.pace
}

/// Returns the predicted time to the first event, in milliseconds: half of the
/// running pass, then the backlog, then this prompt's own prefill and the steps
/// of its pass.
pub(super) fn first_event_ms<K>(spec: &EngineSpec, candidate: &Candidate<K>, prefill: f64) -> f64 {
    let load = &candidate.load;
    let decode = decode_pass_ms(spec, load.decoding.len(), load.kv_tokens);
    let running = if load.requests > 0 { decode / 2.0 } else { 0.0 };
    (running + load.backlog_ms + prefill + decode) * candidate.pace
}

/// Returns whether `prefill` more milliseconds of prefill would make an event of
/// a decoding request late.
pub(super) fn delays_decoding<K>(
    spec: &EngineSpec,
    candidate: &Candidate<K>,
    prefill: f64,
) -> bool {
    let pass = pass_ms(spec, candidate, prefill);
    let mut decoding = candidate.load.decoding.iter();
    decoding.any(|request| is_late(pass, *request))
}

/// Returns the summed weight of the decoding requests that are in time now and
/// that `prefill` more milliseconds of prefill would make late.
pub(super) fn delay_cost<K>(spec: &EngineSpec, candidate: &Candidate<K>, prefill: f64) -> f64 {
    let before = pass_ms(spec, candidate, 0.0);
    let after = pass_ms(spec, candidate, prefill);
    let decoding = candidate.load.decoding.iter();
    let delayed = decoding.filter(|r| is_late(after, **r) && !is_late(before, **r));
    delayed.map(|r| weight(u64::from(r.tokens))).sum()
}

/// Returns whether a pass of this duration exceeds the caller's longest pause,
/// with a margin.
pub(super) fn is_late(pass: f64, request: DecodingRequest) -> bool {
    pass > f64::from(request.pause_ms) * PREDICTION_MARGIN
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of replicas, requests and parts are far below 2^52"
)]
pub(super) fn ratio(a: usize, b: usize) -> f64 {
    a as f64 / b.max(1) as f64
}
