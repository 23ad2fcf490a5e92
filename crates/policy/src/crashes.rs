//! Requests that crash the replicas that run them, found by several gateways
//! together.
//!
//! A crashing request comes again with the same path, caller and body. Its
//! connection breaks off, and soon after the replica is gone, starts again or
//! takes no connection. Any request in flight at a replica that crashes looks
//! the same, so one crash says little. Three that follow one another, each with
//! a send that began after the crash before, and no answer between them, say
//! that the request is the cause: an innocent one that is sent again after a
//! crash is answered, and one that many callers send at once does not meet
//! crashes one after the other without an answer in between.
//!
//! The product's routers own their engines and put a suspect alone on one, which
//! takes two crashes ([`suspects`](crate::suspects)). Gateways share replicas
//! with nobody's leave to empty one, so they count.
//!
//! Each gateway tells what it saw itself, crashes and answers; all come to the
//! same verdict from the sum.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::ReplicaId;
use serde::Deserialize;
use serde::Serialize;

use crate::peers::Incarnation;

/// Crashes in a row that block a request: two happen to an innocent request
/// that is sent again while several replicas are lost.
pub const CRASHES_TO_BLOCK: usize = 3;
/// Time between a broken connection and the news that the replica has crashed:
/// its entry lapses after three heartbeats, and it is back after some seconds.
pub const CONFIRM_WITHIN: Duration = Duration::from_secs(10);
/// How long a verdict holds. The request may be tried again after that.
pub const REMEMBER_FOR: Duration = Duration::from_mins(10);
/// How long crashes count that block nothing yet: longer than any client
/// waits before it comes again.
pub const SUSPECT_FOR: Duration = Duration::from_mins(1);
/// Observations that a gateway keeps and tells: what four full replicas had in
/// flight. An observation takes up to 20 bytes, so that all stay under a
/// datagram's usual size.
pub const MAX_OBSERVATIONS: usize = 64;
/// Difference that two gateways' views of one moment may have: ages are told in
/// whole milliseconds and travel for one or two.
const SKEW: Duration = Duration::from_millis(20);
/// Broken sends that wait for the news of a crash: what one replica may have
/// in flight, times the replicas lost at once.
const MAX_BROKEN: usize = 512;

/// Short digest of a request's caller, path and body.
pub type Fingerprint = u64;

/// What was seen of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObservedOutcome {
    /// The replica that ran it crashed.
    Crashed {
        /// Milliseconds from its sending to the break.
        ran_ms: u32,
    },
    /// It was answered, so it crashes nothing.
    Answered,
}

/// What a gateway saw, as it tells others.
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

/// A send whose connection broke off.
#[derive(Debug, Clone)]
struct BrokenSend {
    fingerprint: Fingerprint,
    replica: ReplicaId,
    sent: Instant,
    broke: Instant,
}

/// Crashes and the requests that were in flight.
#[derive(Debug, Default)]
pub struct Crashes {
    broken: VecDeque<BrokenSend>,
    own: VecDeque<TimedObservation>,
    peers: BTreeMap<Incarnation, Vec<TimedObservation>>,
}

impl Crashes {
    /// Returns whether nothing broke off lately, so that no request needs a
    /// look.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.broken.is_empty() && self.own.is_empty() && self.peers.is_empty()
    }

    /// A send broke off while the replica had the request.
    pub fn connection_broken(
        &mut self,
        fingerprint: Fingerprint,
        replica: &ReplicaId,
        sent: Instant,
        now: Instant,
    ) {
        if self.broken.len() == MAX_BROKEN {
            self.broken.pop_front();
        }
        self.broken.push_back(BrokenSend {
            fingerprint,
            replica: replica.clone(),
            sent,
            broke: now,
        });
    }

    /// A replica was found gone, started again or unreachable. Returns how many
    /// requests were in flight when it broke off.
    pub fn crashed(&mut self, replica: &ReplicaId, now: Instant) -> usize {
        let mut in_flight = Vec::new();
        self.broken.retain(|broken| {
            let recent = now.saturating_duration_since(broken.broke) < CONFIRM_WITHIN;
            if recent && broken.replica == *replica {
                in_flight.push(broken.clone());
            }
            recent && broken.replica != *replica
        });
        for broken in &in_flight {
            let ran = broken.broke.saturating_duration_since(broken.sent);
            self.record(TimedObservation {
                fingerprint: broken.fingerprint,
                outcome: ObservedOutcome::Crashed {
                    ran_ms: millis(ran),
                },
                at: broken.broke,
            });
        }
        in_flight.len()
    }

    /// A request was answered, so it crashes nothing.
    pub fn answered(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.broken.retain(|b| b.fingerprint != fingerprint);
        self.own
            .retain(|observed| observed.fingerprint != fingerprint);
        if self.crashes_in_a_row(fingerprint, now) > 0 {
            self.record(TimedObservation {
                fingerprint,
                outcome: ObservedOutcome::Answered,
                at: now,
            });
        }
    }

    /// Takes all that another gateway saw. What a gateway reported before it
    /// went down still counts.
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
        let observed = observations.iter().filter_map(|observation| {
            let age = Duration::from_millis(u64::from(observation.age_ms));
            Some(TimedObservation {
                fingerprint: observation.fingerprint,
                outcome: observation.outcome,
                at: now.checked_sub(age)?,
            })
        });
        self.peers
            .insert(by, observed.take(MAX_OBSERVATIONS).collect());
    }

    /// Returns what this gateway saw itself, to tell the others.
    #[must_use]
    pub fn own(&self, now: Instant) -> Vec<Observation> {
        let fresh = self.own.iter().filter(|observed| observed.is_fresh(now));
        let observations = fresh.map(|observed| Observation {
            fingerprint: observed.fingerprint,
            outcome: observed.outcome,
            age_ms: millis(now.saturating_duration_since(observed.at)),
        });
        observations.collect()
    }

    /// Forgets what is too old.
    pub fn forget(&mut self, now: Instant) {
        self.broken
            .retain(|b| now.saturating_duration_since(b.broke) < CONFIRM_WITHIN);
        let stale = |observed: &TimedObservation| {
            let recent = now.saturating_duration_since(observed.at) < SUSPECT_FOR;
            !observed.is_fresh(now) || !recent && !self.is_blocked(observed.fingerprint, now)
        };
        let all = self.own.iter().chain(self.peers.values().flatten());
        let stale = all.filter(|observed| stale(observed)).copied();
        let stale = stale.collect::<Vec<_>>();
        self.own.retain(|observed| !stale.contains(observed));
        for observed in self.peers.values_mut() {
            observed.retain(|observed| !stale.contains(observed));
        }
        self.peers.retain(|_, observed| !observed.is_empty());
    }

    /// Returns whether a request is taken to crash replicas.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.crashes_in_a_row(fingerprint, now) >= CRASHES_TO_BLOCK
    }

    /// Returns how many crashes a request met one after the other since it was
    /// last answered.
    fn crashes_in_a_row(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        let all = self.own.iter().chain(self.peers.values().flatten());
        let of_request =
            all.filter(|observed| observed.fingerprint == fingerprint && observed.is_fresh(now));
        let mut observed = of_request.copied().collect::<Vec<_>>();
        observed.sort_by_key(|observed| observed.at);
        let mut in_a_row = 0;
        let mut last = None;
        for observed in observed {
            match observed.outcome {
                ObservedOutcome::Answered => {
                    in_a_row = 0;
                    last = None;
                }
                ObservedOutcome::Crashed { ran_ms } => {
                    let sent = observed
                        .at
                        .checked_sub(Duration::from_millis(u64::from(ran_ms)));
                    let after = |last| sent.is_some_and(|sent| sent + SKEW >= last);
                    if last.is_none_or(after) {
                        in_a_row += 1;
                        last = Some(observed.at);
                    }
                }
            }
        }
        in_a_row
    }

    fn record(&mut self, observed: TimedObservation) {
        if self.own.len() == MAX_OBSERVATIONS {
            let now = observed.at;
            let least = self
                .own
                .iter()
                .position(|observed| !self.is_blocked(observed.fingerprint, now));
            self.own.remove(least.unwrap_or(0));
        }
        self.own.push_back(observed);
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
