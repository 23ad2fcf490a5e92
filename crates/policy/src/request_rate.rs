//! How many requests arrive, as a mean that follows a change within seconds.

use std::time::Duration;
use std::time::Instant;

/// Time in which an old rate loses most of its weight.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Mean rate of arrivals, weighted by age.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestRate {
    per_s: f64,
    as_of: Option<Instant>,
}

impl RequestRate {
    /// Records one arrival.
    pub fn record(&mut self, now: Instant) {
        self.per_s = self.per_s(now) + 1.0 / TIME_CONSTANT.as_secs_f64();
        self.as_of = Some(now);
    }

    /// Returns the arrivals a second.
    #[must_use]
    pub fn per_s(&self, now: Instant) -> f64 {
        let Some(as_of) = self.as_of else {
            return 0.0;
        };
        let elapsed = now.saturating_duration_since(as_of);
        self.per_s * (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
