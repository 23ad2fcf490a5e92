//! When to read from another gateway what this one's own watch does not deliver.
//!
//! A gateway reads from one that is ahead once its own watch has had time to deliver
//! the same. A read that brings nothing new, as the other one cannot be reached or has
//! it no longer, is repeated at growing intervals: when the store turns many gateways
//! away, all of them ask the few that it serves. A gateway that stays behind all the same
//! reads the store itself: those that have the news may be gone, or too slow to pass it on.

use std::time::Duration;
use std::time::Instant;

/// Shortest time between two reads.
pub const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two reads that bring nothing new: below the time in which a
/// change must be in force, so that the next gateway that is asked can still deliver it.
pub const MAX_INTERVAL: Duration = Duration::from_millis(800);
/// Time without a byte after which a read is given up. As long as bytes come it goes on: one
/// that begins anew transfers again what it had.
pub const MAX_SILENCE: Duration = Duration::from_millis(600);
/// Part of the time in which changes must be in force that a read may take as a whole.
pub const LIMIT_DIVISOR: u32 = 2;
/// Part of the time in which changes must be in force that a gateway stays behind, beyond
/// what its own watch has to deliver, before it reads the store itself. Heartbeats take a
/// quarter of that time to bring the news, and the read is to end in the rest.
const STORE_AFTER_DIVISOR: u32 = 6;
/// Longest time between two reads of the store. A gateway may name a position that the store
/// does not have.
pub const MAX_STORE_INTERVAL: Duration = Duration::from_secs(10);

/// Spaces the reads of one object or list.
#[derive(Debug, Clone, Copy)]
pub struct PeerReads {
    grace: Duration,
    /// Shortest time between two reads that bring something new.
    series_interval: Duration,
    /// When the next read of a series of changes may begin.
    series_next: Option<Instant>,
    behind_since: Option<Instant>,
    interval: Duration,
    next: Option<Instant>,
    /// When the last read began.
    began: Option<Instant>,
    /// Since when this gateway is behind and no read has brought anything.
    stale_since: Option<Instant>,
    /// When the store is to be read again, and the time since the last read of it.
    store_next: Option<(Instant, Duration)>,
}

impl PeerReads {
    /// Creates the pace of an object that this gateway's own watch has `grace` to
    /// deliver.
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            series_interval: Duration::ZERO,
            series_next: None,
            behind_since: None,
            interval: MIN_INTERVAL,
            next: None,
            began: None,
            stale_since: None,
            store_next: None,
        }
    }

    /// Sets the time that this gateway's own watch has, and the shortest time between two
    /// reads of a series of changes.
    pub fn set_pace(&mut self, grace: Duration, series_interval: Duration) {
        self.grace = grace;
        self.series_interval = series_interval;
    }

    /// Returns whether to read now, if this gateway is behind another one.
    pub fn due(&mut self, is_behind: bool, now: Instant) -> bool {
        if !is_behind {
            self.behind_since = None;
            self.interval = MIN_INTERVAL;
            self.next = None;
            self.stale_since = None;
            self.store_next = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        self.stale_since.get_or_insert(now);
        let grace_over = now.saturating_duration_since(since) >= self.grace;
        let is_due = |at: Option<Instant>| at.is_none_or(|at| now >= at);
        grace_over && is_due(self.next) && is_due(self.series_next)
    }

    /// Records the beginning of a read.
    pub fn begin(&mut self, now: Instant) {
        self.began = Some(now);
    }

    /// Returns whether this gateway has been behind for so long that it has to read the
    /// store itself, as changes must be in force within this time. If it is still behind, it
    /// is to do so again at growing intervals.
    pub fn store_due(&mut self, in_force_within: Duration, now: Instant) -> bool {
        let Some(since) = self.stale_since else {
            return false;
        };
        let wait = in_force_within / STORE_AFTER_DIVISOR;
        let is_over = now.saturating_duration_since(since) >= self.grace + wait;
        let is_due = is_over && self.store_next.is_none_or(|(at, _)| now >= at);
        if is_due {
            let last = self.store_next.map_or(wait / 2, |(_, interval)| interval);
            let interval = (last * 2).min(MAX_STORE_INTERVAL);
            self.store_next = Some((now + interval, interval));
        }
        is_due
    }

    /// Returns for how long this gateway has known that it is behind, if it is.
    #[must_use]
    pub fn behind_for(&self, now: Instant) -> Option<Duration> {
        let since = self.behind_since?;
        Some(now.saturating_duration_since(since))
    }

    /// Records the end of a read, and whether it brought something new.
    pub fn record(&mut self, is_new: bool, now: Instant) {
        if is_new {
            self.interval = MIN_INTERVAL;
            self.series_next = Some(now + self.series_interval);
            // What is newer than the answer was written after the read began.
            self.stale_since = self.began;
            self.store_next = None;
        }
        self.next = Some(now + self.interval);
        self.interval = (self.interval * 2).min(MAX_INTERVAL);
    }
}
