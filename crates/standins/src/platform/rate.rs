//! Token bucket for the stand-in's rate limits.

use std::time::Duration;
use std::time::Instant;

/// A token bucket whose capacity is the tokens of one second.
#[derive(Debug)]
pub struct RateLimit {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(per_second: f64, now: Instant) -> Self {
        Self {
            per_second,
            tokens: per_second,
            refilled_at: now,
        }
    }

    /// Takes `amount` tokens if the bucket has them.
    ///
    /// # Errors
    ///
    /// Returns how long to wait until the bucket has them.
    pub fn take(&mut self, amount: f64, now: Instant) -> Result<(), Duration> {
        let gained = now.duration_since(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(self.per_second);
        self.refilled_at = now;
        if self.tokens >= amount {
            self.tokens -= amount;
            return Ok(());
        }
        let missing = amount - self.tokens;
        Err(Duration::from_secs_f64(missing / self.per_second))
    }
}
