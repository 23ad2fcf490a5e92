//! Token bucket of the stand-in's rate limits.

use std::time::Duration;
use std::time::Instant;

/// A token bucket that holds one second's worth.
#[derive(Debug)]
pub struct RateLimit {
    per_second: f64,
    tokens: f64,
    at: Instant,
}

impl RateLimit {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(per_second: f64, now: Instant) -> Self {
        Self {
            per_second,
            tokens: per_second,
            at: now,
        }
    }

    /// Takes `amount`, or tells how long to wait for it.
    ///
    /// # Errors
    ///
    /// Returns the time after which the amount can be had.
    pub fn take(&mut self, amount: f64, now: Instant) -> Result<(), Duration> {
        let gained = now.duration_since(self.at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(self.per_second);
        self.at = now;
        if self.tokens >= amount {
            self.tokens -= amount;
            return Ok(());
        }
        let missing = amount - self.tokens;
        Err(Duration::from_secs_f64(missing / self.per_second))
    }
}
