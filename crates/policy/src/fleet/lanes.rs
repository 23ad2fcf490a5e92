//! Lanes by prompt length, whose border follows the load.

use std::time::Duration;
use std::time::Instant;

/// Prompts longer than this go to the long lane.
pub const LANE_BORDER_TOKENS: u64 = 30_000;

/// Time in which past work loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Tokens of prefill that generating one token costs an engine, about.
const DECODE_TOKEN_COST: f64 = 4.0;

/// Work seen lately in each lane.
#[derive(Debug, Clone, Default)]
pub struct Lanes {
    short_work: f64,
    long_work: f64,
    at: Option<Instant>,
}

impl Lanes {
    /// Notes a request.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    pub fn record(&mut self, tokens: u64, max_tokens: u64, now: Instant) {
        self.decay(now);
        let work = tokens as f64 + max_tokens as f64 * DECODE_TOKEN_COST;
        if is_long(tokens) {
            self.long_work += work;
        } else {
            self.short_work += work;
        }
    }

    /// Returns how many of `endpoints` endpoints belong to the long lane. Each
    /// lane keeps at least one as long as there is work for it.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a part of a small count"
    )]
    pub fn long_endpoints(&self, endpoints: usize) -> usize {
        let total = self.short_work + self.long_work;
        if endpoints < 2 || total <= 0.0 {
            return 0;
        }
        let part = self.long_work / total;
        let wanted = (endpoints as f64 * part).round() as usize;
        wanted.clamp(usize::from(self.long_work > 0.0), endpoints - 1)
    }

    fn decay(&mut self, now: Instant) {
        if let Some(at) = self.at {
            let elapsed = now.saturating_duration_since(at);
            let factor = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
            self.short_work *= factor;
            self.long_work *= factor;
        }
        self.at = Some(now);
    }
}

/// Returns whether a prompt belongs to the long lane.
#[must_use]
pub fn is_long(tokens: u64) -> bool {
    tokens > LANE_BORDER_TOKENS
}
