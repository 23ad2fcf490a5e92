//! Lanes of endpoints by prompt length, whose sizes follow the load.

use std::time::Duration;
use std::time::Instant;

/// Prompts with more tokens than this belong to the long lane.
pub const LANE_BORDER_TOKENS: u64 = 30_000;

/// Half-life of the weight of past work.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Approximate cost to an engine of generating one token, in tokens of prefill.
const DECODE_COST_PREFILL_TOKENS: f64 = 4.0;

/// Recent work in each lane, in tokens of prefill.
#[derive(Debug, Clone, Default)]
pub struct Lanes {
    short_work: f64,
    long_work: f64,
    updated_at: Option<Instant>,
}

impl Lanes {
    /// Records a request.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    pub fn record(&mut self, tokens: u64, max_tokens: u64, now: Instant) {
        self.decay(now);
        let work = tokens as f64 + max_tokens as f64 * DECODE_COST_PREFILL_TOKENS;
        if is_long(tokens) {
            self.long_work += work;
        } else {
            self.short_work += work;
        }
    }

    /// Returns how many of `endpoints` endpoints belong to the long lane. With two
    /// or more endpoints, the short lane keeps at least one, and so does the long
    /// lane while it has recent work.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a fraction of a small count"
    )]
    pub fn long_endpoints(&self, endpoints: usize) -> usize {
        let total = self.short_work + self.long_work;
        if endpoints < 2 || total <= 0.0 {
            return 0;
        }
        let long_fraction = self.long_work / total;
        let wanted = (endpoints as f64 * long_fraction).round() as usize;
        wanted.clamp(usize::from(self.long_work > 0.0), endpoints - 1)
    }

    fn decay(&mut self, now: Instant) {
        if let Some(updated_at) = self.updated_at {
            let elapsed = now.saturating_duration_since(updated_at);
            let factor = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
            self.short_work *= factor;
            self.long_work *= factor;
        }
        self.updated_at = Some(now);
    }
}

/// Returns whether a prompt belongs to the long lane.
#[must_use]
pub fn is_long(tokens: u64) -> bool {
    tokens > LANE_BORDER_TOKENS
}
