//! Whether a gateway reaches replicas at all.
//!
//! A send that fails says little about one's own links: its replica may be down. So a
//! failure is followed by health checks of a few other replicas, unless another send was
//! answered since. If none of them answers, the gateway takes itself to be cut off, until
//! one answers again. Meanwhile nothing that fails is held against replicas.
//!
//! A connection that is accepted proves nothing: a proxy whose server is out of reach
//! accepts too.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IteratorRandom;

/// Other replicas that are tried after a failure.
pub const CHECKED_REPLICAS: usize = 3;
/// Time between two attempts to reach replicas while the gateway is cut off.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time after a failure in which a check must show whether others are reached. Later
/// failures count as those of replicas until the next check.
const MAX_DOUBT: Duration = Duration::from_secs(1);

/// Shortest time without the head of an answer after which the links are checked: calls of
/// plain services take a quarter of it, and a cut must be known within 3 s.
const MIN_UNANSWERED: Duration = Duration::from_secs(1);
/// The same as a multiple of the time that the answer is predicted to take.
const UNANSWERED_PREDICTION_FACTOR: u32 = 2;

/// Returns how long a send may go without the head of an answer before the links are
/// checked, if no later send is answered either.
#[must_use]
pub fn unanswered_limit(predicted: Duration) -> Duration {
    let limit = predicted.saturating_mul(UNANSWERED_PREDICTION_FACTOR);
    limit.max(MIN_UNANSWERED)
}

/// What a gateway knows of its links to replicas.
#[derive(Debug, Default)]
pub struct Reach {
    cut_off: bool,
    /// When a send failed whose cause is not known yet.
    doubted_at: Option<Instant>,
    /// When the last connection was opened on which a replica answered.
    reached_at: Option<Instant>,
    /// When the last answer to a send arrived.
    answered_at: Option<Instant>,
}

impl Reach {
    /// Records that a send failed, whoever is at fault.
    pub fn doubt(&mut self, now: Instant) {
        if !self.is_doubtful(now) {
            self.doubted_at = Some(now);
        }
    }

    /// Records that the head of an answer to a send arrived.
    pub fn answered(&mut self, now: Instant) {
        self.answered_at = self.answered_at.max(Some(now));
    }

    /// Returns whether a replica has answered on a connection that was opened at `since`
    /// or later.
    #[must_use]
    pub fn has_reached_since(&self, since: Instant) -> bool {
        self.reached_at.is_some_and(|at| at >= since)
    }

    /// Records that a replica answered on a connection that was opened at `opened_at`.
    /// Returns whether the gateway was cut off.
    pub fn reached(&mut self, opened_at: Instant) -> bool {
        self.reached_at = self.reached_at.max(Some(opened_at));
        if self.doubted_at.is_some_and(|at| at <= opened_at) {
            self.doubted_at = None;
        }
        std::mem::take(&mut self.cut_off)
    }

    /// Records that of all replicas tried since `began` none answered. Returns whether the
    /// gateway is cut off, and was not before.
    ///
    /// Replicas may be too busy to answer a health check in time. An answer to any send
    /// that arrived meanwhile shows that the links work.
    pub fn none_reached(&mut self, began: Instant) -> bool {
        self.doubted_at = None;
        let was_answered = self.answered_at.is_some_and(|at| at >= began);
        if self.cut_off || was_answered || self.has_reached_since(began) {
            return false;
        }
        self.cut_off = true;
        true
    }

    /// Returns whether this gateway reaches no replica.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.cut_off
    }

    /// Returns whether a failure may be due to this gateway's own links.
    #[must_use]
    pub fn is_doubtful(&self, now: Instant) -> bool {
        let doubted = self
            .doubted_at
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_DOUBT);
        self.cut_off || doubted
    }
}

/// Draws the replicas that a check tries.
pub fn checked<T, I, R>(others: I, rng: &mut R) -> Vec<T>
where
    I: IntoIterator<Item = T>,
    R: Rng,
{
    others.into_iter().sample(rng, CHECKED_REPLICAS)
}
