//! What a prompt costs an engine that batches continuously.
//!
//! An engine works in passes. A pass that has writers runs a fixed number of
//! steps, each of which writes one token for every writer and reads up to a
//! chunk of waiting prompts. So whatever is read beside writers stretches the
//! pause between their events.

use briarhall_types::EngineSpec;

/// Returns the time to read a prompt of `tokens` alone, in milliseconds, when
/// `parts` engines share it evenly.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "an engine has at most sixteen helpers"
)]
pub fn read_ms(spec: &EngineSpec, tokens: u64, parts: usize) -> f64 {
    read_from_ms(spec, 0, tokens) / parts.max(1) as f64
}

/// Returns the time to read `tokens` of a prompt when `before` tokens of it come
/// earlier, in milliseconds.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
pub fn read_from_ms(spec: &EngineSpec, before: u64, tokens: u64) -> f64 {
    let (before, tokens) = (before as f64, tokens as f64);
    let linear = tokens / spec.read_per_ms.max(f64::EPSILON);
    let pairs = tokens * (before + tokens / 2.0);
    linear + pairs / 1e6 * spec.pairs_per_m_ms
}

/// Returns the duration of a pass that reads nothing, in milliseconds, with
/// `writers` whose contexts add up to `context` tokens.
#[must_use]
pub fn write_pass_ms(spec: &EngineSpec, writers: usize, context: u64) -> f64 {
    f64::from(spec.stride.max(1)) * step_ms(spec, writers, context)
}

/// Returns the duration of one step of such a pass, in milliseconds.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
pub fn step_ms(spec: &EngineSpec, writers: usize, context: u64) -> f64 {
    let contexts = context as f64 / 1_000.0 * spec.context_per_k_ms;
    spec.step_ms + writers as f64 * spec.per_writer_ms + contexts
}
