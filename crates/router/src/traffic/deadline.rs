//! The time by which a request must have ended.

use std::time::Duration;
use std::time::Instant;

/// The time by which a request must have ended.
#[derive(Debug, Clone, Copy)]
pub struct Deadline(Instant);

impl Deadline {
    /// Creates a deadline `limit` after `start`.
    #[must_use]
    pub fn after(start: Instant, limit: Duration) -> Self {
        Self(start + limit)
    }

    /// Returns the time left, zero when it has passed.
    #[must_use]
    pub fn left(self) -> Duration {
        self.0.saturating_duration_since(Instant::now())
    }

    /// Returns whether it has passed.
    #[must_use]
    pub fn has_passed(self) -> bool {
        self.left().is_zero()
    }

    /// Returns the time left, but no more than `most`.
    #[must_use]
    pub fn left_up_to(self, most: Duration) -> Duration {
        self.left().min(most)
    }
}
