//! Whether the store answers, by checks at a regular interval.
//!
//! A call that waits for a change looks the same whether nothing has changed or the
//! store has dropped the call: connections stay open through an outage of the store,
//! and all gateways wait alike. So each gateway checks with calls that are answered at
//! once. When the store answers again, whatever was called before is called anew.

use std::time::Duration;
use std::time::Instant;

/// Part of the time in which changes must be in force that passes between two checks.
const INTERVAL_DIVISOR: u32 = 4;
/// Part of that time in which a check must be answered. With the interval it leaves
/// the last quarter for the calls that are made anew.
const LIMIT_DIVISOR: u32 = 2;

/// What a check has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreChange {
    /// The store no longer answers.
    Lost,
    /// The store answers again, so long after the first check that failed.
    Back {
        /// Time since that check was made.
        lost_for: Duration,
    },
}

/// Spaces the checks and judges their outcomes.
#[derive(Debug, Clone, Copy)]
pub struct StoreChecks {
    in_force_within: Duration,
    lost_since: Option<Instant>,
}

impl StoreChecks {
    /// Creates the checks of a store whose changes must be in force within this time.
    #[must_use]
    pub fn new(in_force_within: Duration) -> Self {
        Self {
            in_force_within,
            lost_since: None,
        }
    }

    /// Returns the time from the end of a check to the next one.
    #[must_use]
    pub fn interval(&self) -> Duration {
        self.in_force_within / INTERVAL_DIVISOR
    }

    /// Returns the time in which a check must be answered.
    #[must_use]
    pub fn limit(&self) -> Duration {
        self.in_force_within / LIMIT_DIVISOR
    }

    /// Records whether the check that was made at `made_at` was answered by `now`.
    pub fn record(
        &mut self,
        answered: bool,
        made_at: Instant,
        now: Instant,
    ) -> Option<StoreChange> {
        match (answered, self.lost_since) {
            (false, None) => {
                self.lost_since = Some(made_at);
                Some(StoreChange::Lost)
            }
            (true, Some(since)) => {
                self.lost_since = None;
                let lost_for = now.saturating_duration_since(since);
                Some(StoreChange::Back { lost_for })
            }
            _ => None,
        }
    }
}
