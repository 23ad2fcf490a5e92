//! Detection of parts of prompts that crash the replicas that begin an answer on them,
//! from what all gateways observe.
//!
//! Requests that share such a part may differ in all else, and sound requests share the
//! rest with them. So crashes are counted by part. A part on which an answer was written
//! is not the cause of an earlier crash. Of the others, the cause was present at every
//! crash, and whatever else was present is explained by it: the part with most crashes
//! is taken first, and its crashes no longer count against others.
//!
//! While another part has more than half as many crashes, only requests that hold both
//! are refused: the next crash or answer of one alone tells which it is.
//!
//! As with whole requests ([`crashes`](crate::crashes)), crashes count in a row, each of
//! a send after the crash before it, so that replicas lost at one moment count once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::Digest;
use briarhall_types::ReplicaId;
use serde::Deserialize;
use serde::Serialize;

use crate::crashes::REMEMBER_FOR;
use crate::crashes::SUSPECT_FOR;
use crate::crashes::TIME_TOLERANCE;
use crate::crashes::millis;
use crate::peers::Incarnation;

/// Crashes in a row after which requests with a part are refused for a time.
pub const CRASHES_TO_SUSPEND: usize = 3;
/// How long, after the last of them. Then they are tried again.
pub const SUSPEND_FOR: Duration = Duration::from_secs(2);
/// Crashes, in a row or not, after which a suspended part is blocked for
/// [`REMEMBER_FOR`].
pub const CRASHES_TO_BLOCK: usize = 5;
/// A part is refused alone if it has at least this many times the crashes in a row of
/// any other part that was present with it.
const LEAD_FACTOR: usize = 2;
/// Crashes of one replica within this time are the same crash, seen by several gateways.
const SAME_CRASH: Duration = Duration::from_millis(500);
/// Observations of each kind that a gateway keeps and sends.
pub const MAX_OBSERVATIONS: usize = 64;
/// Difference from which a crash that another gateway reports is later than the one
/// known: ages grow with each gateway that passes them on.
const LATER: Duration = Duration::from_secs(1);

/// Short digest of a part's id.
pub type PartDigest = u64;
/// Short digest of a replica's id.
pub type ReplicaDigest = u32;

/// Returns the digest of a replica's id, the same at all gateways.
#[must_use]
pub fn replica_digest(id: &ReplicaId) -> ReplicaDigest {
    let digest = Digest::of(id.as_bytes()).prefix();
    #[expect(
        clippy::cast_possible_truncation,
        reason = "any 32 bits of a digest are a digest"
    )]
    let short = digest as ReplicaDigest;
    short
}

/// What a gateway observed of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartOutcome {
    /// A replica crashed before it had written an answer on it.
    Crashed {
        /// The replica.
        replica: ReplicaDigest,
        /// Milliseconds from the sending of the request to the broken connection.
        ran_ms: u32,
    },
    /// A replica wrote an answer on it.
    Wrote,
    /// It is blocked. The age is that of its last crash.
    Blocked,
}

/// An observation, as gateways send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartObservation {
    /// The part.
    pub part: PartDigest,
    /// What happened.
    #[serde(rename = "what")]
    pub outcome: PartOutcome,
    /// Milliseconds since it happened.
    pub age_ms: u32,
}

/// A crash of a replica that had a request with the part and had not begun its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Crash {
    part: PartDigest,
    replica: ReplicaDigest,
    sent_at: Instant,
    at: Instant,
}

/// What one gateway observed.
#[derive(Debug, Default)]
struct Observed {
    crashes: VecDeque<Crash>,
    /// When an answer was last written on a part that was suspected.
    wrote: BTreeMap<PartDigest, Instant>,
}

/// Parts of which one is the cause of crashes at which all of them were present.
#[derive(Debug)]
struct Suspects {
    parts: BTreeSet<PartDigest>,
    crashes: usize,
    last_crash: Instant,
}

/// Why a request is not sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The part that crashes replicas, or the parts of which one does.
    pub parts: Vec<PartDigest>,
    /// How long such requests are refused from now on.
    pub time_left: Duration,
}

/// Crashes by part, and the parts that are refused because of them.
#[derive(Debug, Default)]
pub struct CrashingParts {
    own: Observed,
    peers: BTreeMap<Incarnation, Observed>,
    suspects: Vec<Suspects>,
    /// Blocked parts, by their last crash.
    blocked: BTreeMap<PartDigest, Instant>,
    /// Other parts that were present at several crashes that no blocked part explains.
    repeated: BTreeSet<PartDigest>,
    /// Whether the last three do not yet follow from all observations.
    is_stale: bool,
}

impl CrashingParts {
    /// Returns whether no crash was observed lately, so that no request has to be
    /// checked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocked.is_empty() && self.all_crashes().next().is_none()
    }

    /// Records that a replica crashed that had a request with these parts, and had not
    /// begun an answer to it.
    pub fn crashed(
        &mut self,
        replica: ReplicaDigest,
        parts: &[PartDigest],
        sent_at: Instant,
        at: Instant,
    ) {
        for part in parts {
            self.own.crashes.push_back(Crash {
                part: *part,
                replica,
                sent_at,
                at,
            });
            if self.own.crashes.len() > MAX_OBSERVATIONS {
                self.own.evict();
            }
        }
        self.is_stale = true;
    }

    /// Records that a replica has written an answer to a request with these parts.
    pub fn wrote(&mut self, parts: &[PartDigest], now: Instant) {
        let suspected = parts.iter().filter(|part| {
            let mut crashes = self.all_crashes();
            self.blocked.contains_key(*part) || crashes.any(|crash| crash.part == **part)
        });
        let suspected = suspected.copied().collect::<Vec<_>>();
        for part in &suspected {
            self.own.wrote.insert(*part, now);
        }
        self.is_stale |= !suspected.is_empty();
    }

    /// Replaces the observations of another gateway. What a gateway reported before it
    /// went down still counts.
    pub fn set_peer_observations(
        &mut self,
        by: Incarnation,
        observations: &[PartObservation],
        now: Instant,
    ) {
        let known = self.peers.remove(&by);
        if observations.is_empty() {
            self.is_stale |= known.is_some();
            return;
        }
        let mut observed = Observed::default();
        let mut blocked = Vec::new();
        for observation in observations.iter().take(3 * MAX_OBSERVATIONS) {
            let part = observation.part;
            let ago = |ms: u32| now.checked_sub(Duration::from_millis(u64::from(ms)));
            let Some(at) = ago(observation.age_ms) else {
                continue;
            };
            match observation.outcome {
                PartOutcome::Crashed { replica, ran_ms } => {
                    let Some(sent_at) = ago(observation.age_ms.saturating_add(ran_ms)) else {
                        continue;
                    };
                    observed.crashes.push_back(Crash {
                        part,
                        replica,
                        sent_at,
                        at,
                    });
                }
                PartOutcome::Wrote => {
                    observed.wrote.insert(part, at);
                }
                PartOutcome::Blocked => blocked.push((part, at)),
            }
        }
        // What is repeated keeps the time at which it was first heard.
        match known {
            Some(known) if known.is_repeated_by(&observed) => {
                self.peers.insert(by, known);
            }
            _ => {
                self.peers.insert(by, observed);
                self.is_stale = true;
            }
        }
        for (part, last_crash) in blocked {
            self.hear_blocked(part, last_crash);
        }
    }

    fn hear_blocked(&mut self, part: PartDigest, last_crash: Instant) {
        let known = self.blocked.get(&part);
        if known.is_none_or(|known| last_crash.saturating_duration_since(*known) > LATER) {
            self.blocked.insert(part, last_crash);
            self.is_stale = true;
        }
    }

    /// Returns what this gateway observed itself and the parts that are blocked, to send
    /// to the others.
    #[must_use]
    pub fn own(&mut self, now: Instant) -> Vec<PartObservation> {
        self.update();
        let age = |at: Instant| millis(now.saturating_duration_since(at));
        let crashes = self.own.crashes.iter().map(|crash| PartObservation {
            part: crash.part,
            outcome: PartOutcome::Crashed {
                replica: crash.replica,
                ran_ms: millis(crash.at.saturating_duration_since(crash.sent_at)),
            },
            age_ms: age(crash.at),
        });
        let wrote = self.own.wrote.iter().map(|(part, at)| PartObservation {
            part: *part,
            outcome: PartOutcome::Wrote,
            age_ms: age(*at),
        });
        let blocked = self.blocked.iter().map(|(part, at)| PartObservation {
            part: *part,
            outcome: PartOutcome::Blocked,
            age_ms: age(*at),
        });
        let blocked = blocked.take(MAX_OBSERVATIONS);
        let observations = blocked.chain(wrote.take(MAX_OBSERVATIONS)).chain(crashes);
        observations.collect()
    }

    /// Returns why and for how long a request with these parts must not be sent.
    pub fn refusal(&mut self, parts: &[PartDigest], now: Instant) -> Option<Refusal> {
        self.update();
        let left = |since: Instant, time: Duration| {
            time.checked_sub(now.saturating_duration_since(since))
                .filter(|left| !left.is_zero())
        };
        let blocked = parts.iter().find_map(|part| {
            Some(Refusal {
                parts: vec![*part],
                time_left: left(*self.blocked.get(part)?, REMEMBER_FOR)?,
            })
        });
        blocked.or_else(|| {
            self.suspects.iter().find_map(|suspects| {
                let time = if suspects.crashes >= CRASHES_TO_BLOCK {
                    REMEMBER_FOR
                } else {
                    SUSPEND_FOR
                };
                let held = suspects.parts.iter().all(|part| parts.contains(part));
                held.then_some(Refusal {
                    parts: suspects.parts.iter().copied().collect(),
                    time_left: left(suspects.last_crash, time)?,
                })
            })
        })
    }

    /// Removes observations that are too old.
    pub fn remove_expired(&mut self, now: Instant) {
        if self.is_empty() && self.own.wrote.is_empty() {
            return;
        }
        self.update();
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_kept = |crash: &Crash| {
            let kept_for = if self.repeated.contains(&crash.part) {
                REMEMBER_FOR
            } else {
                SUSPECT_FOR
            };
            age(crash.at) < kept_for
        };
        let before = self.all_crashes().count() + self.blocked.len();
        self.blocked.retain(|_, at| age(*at) < REMEMBER_FOR);
        for observed in self.peers.values_mut() {
            observed.crashes.retain(is_kept);
        }
        self.own.crashes.retain(is_kept);
        self.own.wrote.retain(|_, at| age(*at) < SUSPECT_FOR);
        self.peers
            .retain(|_, o| !o.crashes.is_empty() || !o.wrote.is_empty());
        self.is_stale |= self.all_crashes().count() + self.blocked.len() != before;
    }

    fn all_crashes(&self) -> impl Iterator<Item = &Crash> {
        let peers = self.peers.values().flat_map(|peer| &peer.crashes);
        self.own.crashes.iter().chain(peers)
    }

    /// Decides anew which parts are suspected and which are blocked.
    fn update(&mut self) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        let mut wrote = self.own.wrote.clone();
        for (part, at) in self.peers.values().flat_map(|peer| &peer.wrote) {
            let latest = wrote.entry(*part).or_insert(*at);
            *latest = (*latest).max(*at);
        }
        let is_cleared = |part: &PartDigest, at: Instant| wrote.get(part).is_some_and(|w| *w >= at);
        self.blocked.retain(|part, at| !is_cleared(part, *at));
        self.own
            .crashes
            .retain(|crash| !is_cleared(&crash.part, crash.at));
        let crashes = self.all_crashes();
        let crashes = crashes.filter(|crash| !is_cleared(&crash.part, crash.at));
        let mut presence = Presence::new(crashes.copied().collect());
        for part in self.blocked.keys() {
            presence.explain_by(*part);
        }
        self.repeated = presence.repeated();
        self.suspects = presence.suspects();
        for suspects in &self.suspects {
            if suspects.parts.len() == 1 && suspects.crashes >= CRASHES_TO_BLOCK {
                let parts = suspects.parts.iter();
                self.blocked
                    .extend(parts.map(|part| (*part, suspects.last_crash)));
            }
        }
    }
}

impl Observed {
    /// Removes the oldest crash of the part with the fewest: the cause has many.
    fn evict(&mut self) {
        let mut counts = BTreeMap::<PartDigest, usize>::new();
        for crash in &self.crashes {
            *counts.entry(crash.part).or_default() += 1;
        }
        let crashes = self.crashes.iter().enumerate();
        let oldest = crashes.min_by_key(|(n, crash)| (counts[&crash.part], *n));
        let oldest = oldest.map(|(n, _)| n);
        self.crashes.remove(oldest.unwrap_or(0));
    }

    /// Returns whether a later report says the same.
    fn is_repeated_by(&self, later: &Self) -> bool {
        let crashes = self.crashes.iter().map(|c| (c.part, c.replica));
        let wrote = self.wrote.iter().zip(&later.wrote);
        self.wrote.len() == later.wrote.len()
            && crashes.eq(later.crashes.iter().map(|c| (c.part, c.replica)))
            && { wrote }.all(|((a, a_at), (b, b_at))| a == b && *b_at <= *a_at + TIME_TOLERANCE)
    }
}

/// Which parts were present at which crashes.
struct Presence {
    /// When each crash was first seen, oldest first.
    times: Vec<Instant>,
    /// By part and crash, when the last request with the part was sent before it.
    sent: BTreeMap<PartDigest, BTreeMap<usize, Instant>>,
}

impl Presence {
    fn new(mut crashes: Vec<Crash>) -> Self {
        crashes.sort_by_key(|crash| crash.at);
        let mut times = Vec::<Instant>::new();
        let mut last_of = BTreeMap::<ReplicaDigest, usize>::new();
        let mut sent = BTreeMap::<PartDigest, BTreeMap<usize, Instant>>::new();
        for crash in crashes {
            let last = last_of.get(&crash.replica).copied();
            let is_same = |n: &usize| crash.at.saturating_duration_since(times[*n]) < SAME_CRASH;
            let number = last.filter(is_same).unwrap_or(times.len());
            if number == times.len() {
                times.push(crash.at);
                last_of.insert(crash.replica, number);
            }
            let of_part = sent.entry(crash.part).or_default();
            let latest = of_part.entry(number).or_insert(crash.sent_at);
            *latest = (*latest).max(crash.sent_at);
        }
        Self { times, sent }
    }

    /// Removes the crashes at which a part was present.
    fn explain_by(&mut self, part: PartDigest) {
        let explained = self.sent.remove(&part).unwrap_or_default();
        for of_part in self.sent.values_mut() {
            of_part.retain(|crash, _| !explained.contains_key(crash));
        }
    }

    fn repeated(&self) -> BTreeSet<PartDigest> {
        let repeated = self.sent.iter().filter(|(_, of_part)| of_part.len() > 1);
        repeated.map(|(part, _)| *part).collect()
    }

    /// Returns how many crashes were in a row, each of a send after the one before.
    fn in_a_row(&self, of_part: &BTreeMap<usize, Instant>) -> usize {
        let mut last = None;
        let mut in_a_row = 0;
        for (crash, sent_at) in of_part {
            if last.is_none_or(|last| *sent_at + TIME_TOLERANCE >= last) {
                in_a_row += 1;
                last = Some(self.times[*crash]);
            }
        }
        in_a_row
    }

    /// Takes the likeliest causes one after the other, until the crashes left suspect
    /// nothing.
    fn suspects(mut self) -> Vec<Suspects> {
        let mut all = Vec::new();
        loop {
            let rows = self
                .sent
                .iter()
                .map(|(part, of)| (*part, self.in_a_row(of)));
            let rows = rows.collect::<BTreeMap<_, _>>();
            let first = self
                .sent
                .iter()
                .max_by_key(|(part, of)| (rows[*part], of.len(), **part));
            let Some((first, present)) = first else {
                return all;
            };
            let in_a_row = rows[first];
            if in_a_row < CRASHES_TO_SUSPEND {
                return all;
            }
            let close = self.sent.iter().filter(|(part, of)| {
                let beside = of.keys().any(|crash| present.contains_key(crash));
                beside && rows[*part] * LEAD_FACTOR > in_a_row
            });
            let last = present.keys().next_back().map(|crash| self.times[*crash]);
            let first = *first;
            all.extend(last.map(|last_crash| Suspects {
                parts: close.map(|(part, _)| *part).collect(),
                crashes: present.len(),
                last_crash,
            }));
            self.explain_by(first);
        }
    }
}
