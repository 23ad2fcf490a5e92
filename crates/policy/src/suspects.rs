//! Requests that may crash every engine that runs them.
//!
//! When an engine crashes, all requests that ran on it become suspects. A suspect
//! runs next in isolation: alone on an engine that runs nothing else, under a
//! reservation of all its memory. The engine itself keeps the reservation. If
//! that engine crashes too, the request is blocked and refused at every router.
//! So one request costs the fleet two engines: the first, and the one on which it
//! was isolated.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::Digest;
use serde::Deserialize;
use serde::Serialize;

/// How long a suspicion is remembered.
pub const REMEMBER_FOR: Duration = Duration::from_mins(10);

/// Digest of a request's customer, model and prompt.
pub type Fingerprint = Digest;

/// Degree of suspicion of a request, in increasing order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Suspicion {
    /// It ran on an engine that crashed.
    Suspect,
    /// It ran alone on an engine that crashed.
    #[serde(rename = "convicted")]
    Blocked,
}

/// A suspicion, as routers send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionNotice {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Its degree of suspicion.
    pub suspicion: Suspicion,
    /// Milliseconds since the crash.
    pub age_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    suspicion: Suspicion,
    at: Instant,
}

/// A request that ran on an engine when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AffectedRequest {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it was isolated there.
    pub isolated: bool,
}

/// The suspects and blocked requests that one router knows.
#[derive(Debug, Default)]
pub struct Suspects {
    records: HashMap<Fingerprint, Record>,
}

impl Suspects {
    /// Records the crash of an engine with the requests of this router that ran on
    /// it, and returns the notices for the other routers.
    pub fn engine_crashed(
        &mut self,
        ran: &[AffectedRequest],
        now: Instant,
    ) -> Vec<SuspicionNotice> {
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

    /// Records that a request ran to its end, so it does not crash engines. A
    /// blocked request stays blocked.
    pub fn record_completed(&mut self, fingerprint: &Fingerprint) {
        if self.suspicion(fingerprint) == Some(Suspicion::Suspect) {
            self.records.remove(fingerprint);
        }
    }

    /// Applies another router's notice.
    pub fn apply_notice(&mut self, notice: &SuspicionNotice, now: Instant) {
        let age = Duration::from_millis(notice.age_ms);
        if let Some(at) = now.checked_sub(age)
            && age < REMEMBER_FOR
        {
            self.record(notice.fingerprint, notice.suspicion, at);
        }
    }

    /// Removes suspicions that are too old.
    pub fn remove_expired(&mut self, now: Instant) {
        self.records
            .retain(|_, r| now.saturating_duration_since(r.at) < REMEMBER_FOR);
    }

    /// Returns the suspicion of a request, if there is one.
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
        let record = self.records.entry(fingerprint);
        let record = record.or_insert(Record { suspicion, at });
        record.suspicion = record.suspicion.max(suspicion);
        record.at = record.at.max(at);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
