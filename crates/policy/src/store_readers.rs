//! Which gateways read the store.
//!
//! Each call to the store has a price, and in a large deployment most gateways stand
//! by. Those that the directory names read the store; the others learn from them which
//! positions the store has reached, and read what is newer from one of them. A gateway
//! that stands by reads the store as soon as it no longer hears enough readers that the
//! store answers, or does not get from them what they have.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::advertised::MIN_ADVERTISED;

/// Most gateways of a deployment in which each of them reads the store. Above it at
/// least three quarters stand by.
pub const ALL_READ_UP_TO: usize = 4 * MIN_ADVERTISED;
/// Fewest readers that a gateway must hear to stand by: no change is missed when the
/// store has dropped the watches of some of them.
pub const MIN_READERS: usize = 4;
/// Longest time since a heartbeat of a reader that is heard, in seconds.
pub const MAX_HEARD_AGE: Duration = Duration::from_secs(1);
/// Shortest time for which a gateway that had to read the store goes on: each beginning
/// costs the complete lists.
pub const MIN_READING: Duration = Duration::from_secs(10);
/// Part of the time in which changes must be in force, in percent, that may have passed
/// since the store answered a reader. Readers check the store at each quarter of that
/// time, and at 86 gateways heartbeats are almost another quarter apart. The rest is for
/// the first read of a gateway that has stood by, and for readers that the store turns
/// away and that read from it.
const MAX_ANSWER_AGE_PERCENT: u32 = 45;

/// What a gateway that reads the store reports of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreReading {
    /// Whether the directory names the gateway, so that it does not stand by next.
    pub advertised: bool,
    /// Milliseconds since the store answered it, if it ever did.
    pub answer_age_ms: Option<u32>,
}

/// A report of another gateway that can serve requests, and so has all lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderReport {
    /// When it was heard.
    pub heard_at: Instant,
    /// What it reported.
    pub reading: StoreReading,
}

impl ReaderReport {
    fn answered_at(&self) -> Option<Instant> {
        let age = Duration::from_millis(self.reading.answer_age_ms?.into());
        self.heard_at.checked_sub(age)
    }
}

/// What a gateway knows of itself and of the size of its deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnPlace {
    /// Gateways that are known, this one included.
    pub gateways: usize,
    /// Whether the directory names this gateway.
    pub advertised: bool,
}

/// Why a gateway has to read the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadCause {
    /// The deployment is small.
    FewGateways,
    /// The directory names it.
    Advertised,
    /// Its process was paused, and what was heard before or meanwhile may be old.
    Paused,
    /// It hears too few readers that the store answers.
    FewReaders,
    /// It knows that others have something newer, and does not get it from them.
    Behind,
}

impl ReadCause {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FewGateways => "few_gateways",
            Self::Advertised => "advertised",
            Self::Paused => "paused",
            Self::FewReaders => "few_readers",
            Self::Behind => "behind",
        }
    }
}

/// A change of whether a gateway reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderChange {
    /// It reads the store from now on.
    Reads {
        /// Why.
        cause: ReadCause,
        /// When the store answered a reader last, if it may have been away since.
        silent_since: Option<Instant>,
    },
    /// It stands by from now on.
    StandsBy,
}

/// Decides whether one gateway reads the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreReaders {
    all_read_up_to: usize,
    max_answer_age: Duration,
    /// Whether gateways of the deployment may stand by, as of the last decision.
    is_large: bool,
    reads: bool,
    /// Whether the gateway has stood by since its process started.
    has_stood_by: bool,
    /// When it last had to read the store, once it has stood by.
    required_at: Option<Instant>,
    decided_at: Option<Instant>,
    answered_at: Option<Instant>,
    /// Since when it reads because it hears too few readers. The store may be away for all
    /// of them, so it is checked before the lists are read.
    probes_since: Option<Instant>,
    /// When it was last behind for too long.
    behind_at: Option<Instant>,
}

impl StoreReaders {
    /// Creates the state of a process that reads the store, as each does at its start.
    /// Changes must be in force within this time.
    #[must_use]
    pub fn new(all_read_up_to: usize, in_force_within: Duration) -> Self {
        Self {
            all_read_up_to,
            max_answer_age: in_force_within * MAX_ANSWER_AGE_PERCENT / 100,
            is_large: false,
            reads: true,
            has_stood_by: false,
            required_at: None,
            decided_at: None,
            answered_at: None,
            probes_since: None,
            behind_at: None,
        }
    }

    /// Returns whether this gateway reads the store.
    #[must_use]
    pub fn reads(&self) -> bool {
        self.reads
    }

    /// Returns whether this gateway reads the lists in the store. One that hears too few
    /// readers does so once the store has answered a check: in an outage, calls of all
    /// gateways would be in vain.
    #[must_use]
    pub fn reads_lists(&self) -> bool {
        let has_answered = |since: Instant| self.answered_at.is_some_and(|at| at >= since);
        self.reads && self.probes_since.is_none_or(has_answered)
    }

    /// Returns whether this gateway's own watch may deliver a change. It may not for a time
    /// after it has not, and in a large deployment once the store has not answered for long.
    #[must_use]
    pub fn expects_changes(&self, now: Instant) -> bool {
        let is_recent = |at: Option<Instant>, max: Duration| {
            at.is_some_and(|at| now.saturating_duration_since(at) < max)
        };
        self.reads
            && !is_recent(self.behind_at, MIN_READING)
            && (!self.is_large || is_recent(self.answered_at, self.max_answer_age))
    }

    /// Records that the store answered a call of this gateway.
    pub fn record_answer(&mut self, now: Instant) {
        self.answered_at = self.answered_at.max(Some(now));
    }

    /// Records that this gateway has been behind others for too long.
    pub fn record_behind(&mut self, now: Instant) {
        self.behind_at = Some(now);
    }

    /// Returns what this gateway reports to the others, unless it stands by.
    #[must_use]
    pub fn report(&self, advertised: bool, now: Instant) -> Option<StoreReading> {
        let age = |at: Instant| {
            let age = now.saturating_duration_since(at).as_millis();
            u32::try_from(age).unwrap_or(u32::MAX)
        };
        self.reads.then(|| StoreReading {
            advertised,
            answer_age_ms: self.answered_at.map(age),
        })
    }

    /// Decides anew by what was heard, and returns what has changed. To be called several
    /// times a second: a longer gap shows that the process was paused.
    pub fn decide<I>(&mut self, own: OwnPlace, reports: I, now: Instant) -> Option<ReaderChange>
    where
        I: IntoIterator<Item = ReaderReport>,
    {
        let last = self.decided_at.replace(now);
        let is_old = |at: Instant, max: Duration| now.saturating_duration_since(at) >= max;
        let was_paused = last.is_some_and(|at| is_old(at, MAX_HEARD_AGE));
        let mut readers = 0;
        let mut last_answer = None;
        for report in reports {
            let answered_at = report.answered_at();
            last_answer = last_answer.max(answered_at);
            let answers = answered_at.is_some_and(|at| !is_old(at, self.max_answer_age));
            let is_heard = !is_old(report.heard_at, MAX_HEARD_AGE);
            readers += usize::from(report.reading.advertised && is_heard && answers);
        }
        let is_behind = self
            .behind_at
            .is_some_and(|at| last.is_none_or(|last| at >= last));
        self.is_large = own.gateways > self.all_read_up_to;
        let cause = if !self.is_large {
            Some(ReadCause::FewGateways)
        } else if own.advertised {
            Some(ReadCause::Advertised)
        } else if was_paused {
            Some(ReadCause::Paused)
        } else if readers < MIN_READERS {
            Some(ReadCause::FewReaders)
        } else if is_behind {
            Some(ReadCause::Behind)
        } else {
            None
        };
        if let Some(cause) = cause {
            if self.has_stood_by {
                self.required_at = Some(now);
            }
            // After a pause the last answer that was heard of says nothing about the
            // store, and entries that were removed meanwhile must not be kept. Where it is
            // the others that do not pass on the news, the store was not away.
            let was_away = !matches!(cause, ReadCause::Paused | ReadCause::Behind);
            let silent_since = last_answer.filter(|_| was_away);
            let begins = !std::mem::replace(&mut self.reads, true);
            if cause != ReadCause::FewReaders {
                self.probes_since = None;
            } else if begins {
                self.probes_since = Some(now);
            }
            return begins.then_some(ReaderChange::Reads {
                cause,
                silent_since,
            });
        }
        let goes_on = self.required_at.is_some_and(|at| !is_old(at, MIN_READING));
        if !self.reads || goes_on {
            return None;
        }
        self.reads = false;
        self.has_stood_by = true;
        Some(ReaderChange::StandsBy)
    }
}
