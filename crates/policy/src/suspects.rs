//! Requests that may crash whatever engine runs them.
//!
//! When an engine dies, everything that ran on it is suspect. A suspect runs
//! next in isolation: alone on an engine that has nothing else, under a
//! reservation of all its memory, which the engine itself keeps. If the engine
//! dies, the isolated request is blocked and refused at every router. So
//! one request costs the fleet two engines: the first, and the one of its
//! isolation.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::Digest;
use serde::Deserialize;
use serde::Serialize;

/// How long a verdict is remembered.
pub const REMEMBER_FOR: Duration = Duration::from_mins(10);

/// Digest of a request's customer, model and prompt.
pub type Fingerprint = Digest;

/// How far a request is under suspicion. Later ones are graver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Suspicion {
    /// It ran on an engine that died.
    Suspect,
    /// It ran alone on an engine that died.
    #[serde(rename = "convicted")]
    Blocked,
}

/// A verdict as routers tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionNotice {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The verdict.
    pub suspicion: Suspicion,
    /// Milliseconds since it was given.
    pub age_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    suspicion: Suspicion,
    at: Instant,
}

/// A request that ran on an engine when it died.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AffectedRequest {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it was isolated there.
    pub isolated: bool,
}

/// The suspects that one router knows of.
#[derive(Debug, Default)]
pub struct Suspects {
    records: HashMap<Fingerprint, Record>,
}

impl Suspects {
    /// Takes the death of an engine with everything this router ran on it, and
    /// returns what the other routers should know.
    pub fn engine_died(&mut self, ran: &[AffectedRequest], now: Instant) -> Vec<SuspicionNotice> {
        let notices = ran.iter().map(|request| SuspicionNotice {
            fingerprint: request.fingerprint,
            suspicion: if request.isolated {
                Suspicion::Blocked
            } else {
                Suspicion::Suspect
            },
            age_ms: 0,
        });
        let notices = notices.collect::<Vec<_>>();
        for notice in &notices {
            self.record(notice.fingerprint, notice.suspicion, now);
        }
        notices
    }

    /// A request ran to its end, so it crashes nothing.
    pub fn cleared(&mut self, fingerprint: &Fingerprint) {
        if self.suspicion(fingerprint) == Some(Suspicion::Suspect) {
            self.records.remove(fingerprint);
        }
    }

    /// Takes what another router told.
    pub fn apply_notice(&mut self, notice: &SuspicionNotice, now: Instant) {
        let age = Duration::from_millis(notice.age_ms);
        if let Some(at) = now.checked_sub(age)
            && age < REMEMBER_FOR
        {
            self.record(notice.fingerprint, notice.suspicion, at);
        }
    }

    /// Forgets what is too old.
    pub fn forget(&mut self, now: Instant) {
        self.records
            .retain(|_, r| now.saturating_duration_since(r.at) < REMEMBER_FOR);
    }

    /// Returns whether a request is under suspicion.
    #[must_use]
    pub fn suspicion(&self, fingerprint: &Fingerprint) -> Option<Suspicion> {
        self.records.get(fingerprint).map(|r| r.suspicion)
    }

    /// Returns all blocked requests, for routers that missed the notice.
    #[must_use]
    pub fn blocked(&self, now: Instant) -> Vec<SuspicionNotice> {
        let blocked = self
            .records
            .iter()
            .filter(|(_, record)| record.suspicion == Suspicion::Blocked);
        blocked
            .map(|(fingerprint, record)| SuspicionNotice {
                fingerprint: *fingerprint,
                suspicion: record.suspicion,
                age_ms: millis(now.saturating_duration_since(record.at)),
            })
            .collect()
    }

    fn record(&mut self, fingerprint: Fingerprint, suspicion: Suspicion, at: Instant) {
        let held = self.records.entry(fingerprint);
        let held = held.or_insert(Record { suspicion, at });
        held.suspicion = held.suspicion.max(suspicion);
        held.at = held.at.max(at);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
