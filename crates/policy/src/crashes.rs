//! Detection of requests that crash the replicas that run them, from what all
//! gateways observe.
//!
//! A crashing request is repeated with the same path, caller and body. Its
//! connection breaks, and soon after the replica is gone, has restarted or
//! accepts no connection. Every request in flight at a replica that crashes
//! looks the same, so one crash is weak evidence. Three crashes in a row, each
//! of a send that began after the crash before it, with no answer in between,
//! show that the request is the cause: a request that is not the cause is
//! answered when it is sent again after a crash, and one that many callers send
//! at the same time does not meet consecutive crashes without an answer in
//! between.
//!
//! The product's routers own their engines and isolate a suspect on one, which
//! takes two crashes ([`suspects`](crate::suspects)). Gateways share their
//! replicas and may not empty one, so they count crashes.
//!
//! Each gateway sends the others the crashes and answers that it observed
//! itself, so all reach the same decision from the same observations.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::ReplicaId;
use serde::Deserialize;
use serde::Serialize;

use crate::crashing_parts::PartDigest;
use crate::peers::Incarnation;

/// Crashes in a row that block a request: two can happen to a request that is not
/// the cause, when it is sent again while several replicas are lost.
pub const CRASHES_TO_BLOCK: usize = 3;
/// Longest time between a broken connection and the confirmation that the replica
/// has crashed: its entry lapses after three heartbeats, and it restarts after
/// some seconds.
pub const CONFIRM_WITHIN: Duration = Duration::from_secs(10);
/// Time within which the connections to a replica break that crashes.
const BROKEN_AT_ONCE: Duration = Duration::from_millis(200);
/// How long a request stays blocked. It may be tried again after that.
pub const REMEMBER_FOR: Duration = Duration::from_mins(10);
/// How long crashes count that have not blocked a request yet: longer than any
/// client waits before it repeats a request.
pub const SUSPECT_FOR: Duration = Duration::from_mins(1);
/// Observations that a gateway keeps and sends: the requests in flight at four
/// full replicas. An observation takes up to 20 bytes, so all of them stay below
/// the usual size of a datagram.
pub const MAX_OBSERVATIONS: usize = 64;
/// Tolerance when two gateways' times are compared: ages are sent in whole
/// milliseconds and are in transit for one or two.
pub(crate) const TIME_TOLERANCE: Duration = Duration::from_millis(20);
/// Broken sends that wait for the confirmation of a crash: what one replica may
/// have in flight, times the replicas lost at once.
const MAX_BROKEN: usize = 512;

/// Short digest of a request's caller, path and body.
pub type Fingerprint = u64;

/// What a gateway observed of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObservedOutcome {
    /// The replica that ran it crashed.
    Crashed {
        /// Milliseconds from its sending to the broken connection.
        ran_ms: u32,
    },
    /// It was answered, so it does not crash replicas.
    Answered,
}

/// An observation, as gateways send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What happened.
    #[serde(rename = "what")]
    pub outcome: ObservedOutcome,
    /// Milliseconds since the answer, or since the connection broke.
    pub age_ms: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TimedObservation {
    fingerprint: Fingerprint,
    outcome: ObservedOutcome,
    at: Instant,
}

impl TimedObservation {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < REMEMBER_FOR
    }
}

/// A send whose connection broke.
#[derive(Debug, Clone)]
pub struct BrokenSend {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt that may be the cause: none once an answer was begun.
    pub parts: Vec<PartDigest>,
    /// Where it was sent.
    pub replica: ReplicaId,
    /// When it was sent.
    pub sent_at: Instant,
    /// When the connection broke.
    pub broke_at: Instant,
}

/// Observed crashes and the requests that were in flight at them.
#[derive(Debug, Default)]
pub struct Crashes {
    broken: VecDeque<BrokenSend>,
    own: VecDeque<TimedObservation>,
    peers: BTreeMap<Incarnation, Vec<TimedObservation>>,
}

impl Crashes {
    /// Returns whether no connection broke lately, so that no request has to be
    /// checked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.broken.is_empty() && self.own.is_empty() && self.peers.is_empty()
    }

    /// Records that a connection broke while the replica had the request.
    pub fn connection_broken(&mut self, broken: BrokenSend) {
        if self.broken.len() == MAX_BROKEN {
            self.broken.pop_front();
        }
        self.broken.push_back(broken);
    }

    /// Records that a replica was found gone, restarted or unreachable. Returns this
    /// gateway's requests that were in flight when it crashed.
    pub fn crashed(&mut self, replica: &ReplicaId, now: Instant) -> Vec<BrokenSend> {
        let mut in_flight = Vec::new();
        self.broken.retain(|broken| {
            let recent = now.saturating_duration_since(broken.broke_at) < CONFIRM_WITHIN;
            if recent && broken.replica == *replica {
                in_flight.push(broken.clone());
            }
            recent && broken.replica != *replica
        });
        // What broke earlier was not there at the crash: the replica ran on.
        let last = in_flight.iter().map(|broken| broken.broke_at).max();
        in_flight.retain(|broken| {
            last.is_some_and(|last| {
                last.saturating_duration_since(broken.broke_at) < BROKEN_AT_ONCE
            })
        });
        // A request that was there several times has met one crash.
        let latest = in_flight
            .iter()
            .map(|broken| (broken.fingerprint, broken))
            .collect::<BTreeMap<_, _>>();
        let latest = latest.into_values().cloned().collect::<Vec<_>>();
        for broken in &latest {
            let ran = broken.broke_at.saturating_duration_since(broken.sent_at);
            self.record(TimedObservation {
                fingerprint: broken.fingerprint,
                outcome: ObservedOutcome::Crashed {
                    ran_ms: millis(ran),
                },
                at: broken.broke_at,
            });
        }
        in_flight
    }

    /// Records that a request was answered, so it does not crash replicas.
    pub fn answered(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.broken.retain(|b| b.fingerprint != fingerprint);
        self.own
            .retain(|observation| observation.fingerprint != fingerprint);
        if self.crashes_in_a_row(fingerprint, now) > 0 {
            self.record(TimedObservation {
                fingerprint,
                outcome: ObservedOutcome::Answered,
                at: now,
            });
        }
    }

    /// Replaces the observations of another gateway. What a gateway reported
    /// before it went down still counts.
    pub fn set_peer_observations(
        &mut self,
        by: Incarnation,
        observations: &[Observation],
        now: Instant,
    ) {
        if observations.is_empty() {
            self.peers.remove(&by);
            return;
        }
        let timed = observations.iter().filter_map(|observation| {
            let age = Duration::from_millis(u64::from(observation.age_ms));
            Some(TimedObservation {
                fingerprint: observation.fingerprint,
                outcome: observation.outcome,
                at: now.checked_sub(age)?,
            })
        });
        self.peers
            .insert(by, timed.take(MAX_OBSERVATIONS).collect());
    }

    /// Returns what this gateway observed itself, to send to the others.
    #[must_use]
    pub fn own(&self, now: Instant) -> Vec<Observation> {
        let fresh = self
            .own
            .iter()
            .filter(|observation| observation.is_fresh(now));
        let observations = fresh.map(|observation| Observation {
            fingerprint: observation.fingerprint,
            outcome: observation.outcome,
            age_ms: millis(now.saturating_duration_since(observation.at)),
        });
        observations.collect()
    }

    /// Removes observations that are too old.
    pub fn remove_expired(&mut self, now: Instant) {
        self.broken
            .retain(|b| now.saturating_duration_since(b.broke_at) < CONFIRM_WITHIN);
        let stale = |observation: &TimedObservation| {
            let recent = now.saturating_duration_since(observation.at) < SUSPECT_FOR;
            !observation.is_fresh(now) || !recent && !self.is_blocked(observation.fingerprint, now)
        };
        let all = self.own.iter().chain(self.peers.values().flatten());
        let stale = all.filter(|observation| stale(observation)).copied();
        let stale = stale.collect::<Vec<_>>();
        self.own.retain(|observation| !stale.contains(observation));
        for observations in self.peers.values_mut() {
            observations.retain(|observation| !stale.contains(observation));
        }
        self.peers
            .retain(|_, observations| !observations.is_empty());
    }

    /// Returns whether a request is blocked because it crashes replicas.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.crashes_in_a_row(fingerprint, now) >= CRASHES_TO_BLOCK
    }

    /// Returns how many crashes a request met in a row since it was last
    /// answered.
    fn crashes_in_a_row(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        let all = self.own.iter().chain(self.peers.values().flatten());
        let of_request = all.filter(|observation| {
            observation.fingerprint == fingerprint && observation.is_fresh(now)
        });
        let mut observations = of_request.copied().collect::<Vec<_>>();
        observations.sort_by_key(|observation| observation.at);
        let mut in_a_row = 0;
        let mut last = None;
        for observation in observations {
            match observation.outcome {
                ObservedOutcome::Answered => {
                    in_a_row = 0;
                    last = None;
                }
                ObservedOutcome::Crashed { ran_ms } => {
                    let sent = observation
                        .at
                        .checked_sub(Duration::from_millis(u64::from(ran_ms)));
                    let after = |last| sent.is_some_and(|sent| sent + TIME_TOLERANCE >= last);
                    if last.is_none_or(after) {
                        in_a_row += 1;
                        last = Some(observation.at);
                    }
                }
            }
        }
        in_a_row
    }

    fn record(&mut self, observation: TimedObservation) {
        if self.own.len() == MAX_OBSERVATIONS {
            let now = observation.at;
            let evicted = self
                .own
                .iter()
                .position(|observation| !self.is_blocked(observation.fingerprint, now));
            self.own.remove(evicted.unwrap_or(0));
        }
        self.own.push_back(observation);
    }
}

/// Returns whole milliseconds, as observations hold them.
pub(crate) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
