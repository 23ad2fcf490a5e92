//! A budget for retries, so that they never amplify an outage.

use std::time::Instant;

/// Part of a retry that each first attempt earns.
const EARNED: f64 = 0.1;
/// Retries earned each second whatever the traffic, so that a quiet router can
/// still bring its last requests to an end.
const EARNED_PER_SECOND: f64 = 2.0;
/// Retries that can be saved up.
const CAPACITY: f64 = 50.0;
/// Retries at hand at the start.
const INITIAL: f64 = 10.0;

/// Retries that may still be made. Over any time, retries are at most a tenth
/// of first attempts, two for each second, and what was saved.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    level: f64,
    at: Instant,
}

impl RetryBudget {
    /// Creates a budget with a few retries at hand.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            level: INITIAL,
            at: now,
        }
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.add(EARNED);
    }

    /// Takes a retry, if one is left.
    pub fn spend(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.at);
        self.at = now;
        self.add(elapsed.as_secs_f64() * EARNED_PER_SECOND);
        let may = self.level >= 1.0;
        if may {
            self.level -= 1.0;
        }
        may
    }

    /// Gives back a retry that was refused before it ran.
    pub fn give_back(&mut self) {
        self.add(1.0);
    }

    /// Returns the whole retries left.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the level is between 0 and the capacity"
    )]
    pub fn left(&self) -> u32 {
        self.level as u32
    }

    fn add(&mut self, retries: f64) {
        self.level = (self.level + retries).min(CAPACITY);
    }
}
