//! Time that a prompt takes on an engine with continuous batching.
//!
//! An engine works in passes. A pass with decoding requests runs a fixed number
//! of steps, each of which generates one token for each of them and prefills up
//! to a chunk of waiting prompts. So every prefill beside them lengthens the
//! pause between their events.

use std::time::Duration;

use briarhall_types::EngineSpec;

/// Longest time that is computed from the figures of an engine: longer than any request. They
/// may be anything.
const MAX_PREDICTION_MS: f64 = 3_600_000.0;

/// Returns the time to prefill a prompt of `tokens` alone, in milliseconds,
/// when `parts` engines share it evenly.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "an engine has at most sixteen helpers"
)]
pub fn prefill_ms(spec: &EngineSpec, tokens: u64, parts: usize) -> f64 {
    prefill_from_ms(spec, 0, tokens) / parts.max(1) as f64
}

/// Returns the time to prefill `tokens` of a prompt after `before` earlier tokens
/// of it, in milliseconds.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
pub fn prefill_from_ms(spec: &EngineSpec, before: u64, tokens: u64) -> f64 {
    let (before, tokens) = (before as f64, tokens as f64);
    let linear = tokens / spec.prefill_tokens_per_ms.max(f64::EPSILON);
    let pairs = tokens * (before + tokens / 2.0);
    linear + pairs / 1e6 * spec.pairs_per_m_ms
}

/// Returns the duration of a pass that prefills nothing, in milliseconds, with
/// `decoding` requests whose contexts add up to `context` tokens.
#[must_use]
pub fn decode_pass_ms(spec: &EngineSpec, decoding: usize, context: u64) -> f64 {
    f64::from(spec.stride.max(1)) * step_ms(spec, decoding, context)
}

/// Returns the duration of one step of such a pass, in milliseconds.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
pub fn step_ms(spec: &EngineSpec, decoding: usize, context: u64) -> f64 {
    let contexts = context as f64 / 1_000.0 * spec.context_per_k_ms;
    spec.step_ms + decoding as f64 * spec.per_request_ms + contexts
}

/// Returns a time that was computed from the figures of an engine, in milliseconds.
#[must_use]
pub fn predicted_time(ms: f64) -> Duration {
    let ms = if ms.is_nan() {
        0.0
    } else {
        ms.clamp(0.0, MAX_PREDICTION_MS)
    };
    Duration::from_secs_f64(ms / 1_000.0)
}
