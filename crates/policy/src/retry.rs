//! A budget for retries, so that they never amplify an outage.

/// Part of a retry that each first attempt earns.
const EARNED: f64 = 0.1;
/// Retries that can be saved up.
const CAPACITY: f64 = 50.0;
/// Retries at hand at the start, for routers with little traffic.
const INITIAL: f64 = 10.0;

/// Retries that may still be made. Over any time, retries are at most a tenth
/// of first attempts plus what was saved.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    level: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { level: INITIAL }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.level = (self.level + EARNED).min(CAPACITY);
    }

    /// Takes a retry, if one is left.
    pub fn spend(&mut self) -> bool {
        let may = self.level >= 1.0;
        if may {
            self.level -= 1.0;
        }
        may
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
}
