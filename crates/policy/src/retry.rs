//! A budget for retries, so that they never amplify an outage.

use std::time::Instant;

/// Retries earned by each first attempt.
const EARNED_PER_ATTEMPT: f64 = 0.1;
/// Retries earned each second regardless of traffic, so that a router with little
/// traffic can still complete its last requests.
const EARNED_PER_SECOND: f64 = 2.0;
/// Most retries that can be saved.
const MAX_SAVED_RETRIES: f64 = 50.0;
/// Retries available at the start.
const INITIAL_RETRIES: f64 = 10.0;

/// Retries that may still be made. Over any period, retries are at most the sum
/// of a tenth of the first attempts, two per second and the saved retries.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    level: f64,
    updated_at: Instant,
}

impl RetryBudget {
    /// Creates a budget with the initial retries.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            level: INITIAL_RETRIES,
            updated_at: now,
        }
    }

    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.add(EARNED_PER_ATTEMPT);
    }

    /// Takes one retry and returns true, or returns false if none is left.
    pub fn spend(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = now;
        self.add(elapsed.as_secs_f64() * EARNED_PER_SECOND);
        let allowed = self.level >= 1.0;
        if allowed {
            self.level -= 1.0;
        }
        allowed
    }

    /// Returns a retry to the budget that was refused before it ran.
    pub fn refund(&mut self) {
        self.add(1.0);
    }

    /// Returns the number of retries left, rounded down.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the level is between 0 and `MAX_SAVED_RETRIES`"
    )]
    pub fn left(&self) -> u32 {
        self.level as u32
    }

    fn add(&mut self, retries: f64) {
        self.level = (self.level + retries).min(MAX_SAVED_RETRIES);
    }
}
