//! Requests that crash the replicas that run them, found by several gateways
//! together.
//!
//! A crashing request comes again with the same path, caller and body. Its
//! connection breaks off, and soon after the replica is gone, starts again or
//! takes no connection. Any request on board of a replica that crashes looks
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

/// Crashes in a row that convict: two happen to an innocent request that is
/// sent again while several replicas are lost.
pub const CRASHES_TO_CONVICT: usize = 3;
/// Time between a broken connection and the news that the replica has crashed:
/// its entry lapses after three heartbeats, and it is back after some seconds.
pub const CONFIRM_WITHIN: Duration = Duration::from_secs(10);
/// How long a verdict holds. The request may be tried again after that.
pub const REMEMBER_FOR: Duration = Duration::from_mins(10);
/// How long crashes count that convict nothing yet: longer than any client
/// waits before it comes again.
pub const SUSPECT_FOR: Duration = Duration::from_mins(1);
/// Signs that a gateway keeps and tells: what four full replicas had on board.
/// A sign takes up to 20 bytes, so that all stay under a datagram's usual size.
pub const MAX_SIGNS: usize = 64;
/// Difference that two gateways' views of one moment may have: ages are told in
/// whole milliseconds and travel for one or two.
const SKEW: Duration = Duration::from_millis(20);
/// Broken sends that wait for the news of a crash: what one replica may have
/// on board, times the replicas lost at once.
const MAX_BROKEN: usize = 512;

/// Short digest of a request's caller, path and body.
pub type Fingerprint = u64;

/// What was seen of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
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
pub struct Sign {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What happened.
    pub what: What,
    /// Milliseconds since the answer, or since the connection broke.
    pub age_ms: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Seen {
    fingerprint: Fingerprint,
    what: What,
    at: Instant,
}

impl Seen {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < REMEMBER_FOR
    }
}

/// A send whose connection broke off.
#[derive(Debug, Clone)]
struct Broken {
    fingerprint: Fingerprint,
    replica: ReplicaId,
    sent: Instant,
    broke: Instant,
}

/// Crashes and the requests that were on board.
#[derive(Debug, Default)]
pub struct Crashes {
    broken: VecDeque<Broken>,
    own: VecDeque<Seen>,
    told: BTreeMap<Incarnation, Vec<Seen>>,
}

impl Crashes {
    /// Returns whether nothing broke off lately, so that no request needs a
    /// look.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.broken.is_empty() && self.own.is_empty() && self.told.is_empty()
    }

    /// A send broke off while the replica had the request.
    pub fn broke_off(
        &mut self,
        fingerprint: Fingerprint,
        replica: &ReplicaId,
        sent: Instant,
        now: Instant,
    ) {
        if self.broken.len() == MAX_BROKEN {
            self.broken.pop_front();
        }
        self.broken.push_back(Broken {
            fingerprint,
            replica: replica.clone(),
            sent,
            broke: now,
        });
    }

    /// A replica was found gone, started again or unreachable. Returns how many
    /// requests were on board when it broke off.
    pub fn crashed(&mut self, replica: &ReplicaId, now: Instant) -> usize {
        let mut on_board = Vec::new();
        self.broken.retain(|broken| {
            let recent = now.saturating_duration_since(broken.broke) < CONFIRM_WITHIN;
            if recent && broken.replica == *replica {
                on_board.push(broken.clone());
            }
            recent && broken.replica != *replica
        });
        for broken in &on_board {
            let ran = broken.broke.saturating_duration_since(broken.sent);
            self.note(Seen {
                fingerprint: broken.fingerprint,
                what: What::Crashed {
                    ran_ms: millis(ran),
                },
                at: broken.broke,
            });
        }
        on_board.len()
    }

    /// A request was answered, so it crashes nothing.
    pub fn answered(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.broken.retain(|b| b.fingerprint != fingerprint);
        self.own.retain(|seen| seen.fingerprint != fingerprint);
        if self.crashes_in_a_row(fingerprint, now) > 0 {
            self.note(Seen {
                fingerprint,
                what: What::Answered,
                at: now,
            });
        }
    }

    /// Takes all that another gateway saw. What a gateway told before it went
    /// down still counts.
    pub fn told(&mut self, by: Incarnation, signs: &[Sign], now: Instant) {
        if signs.is_empty() {
            self.told.remove(&by);
            return;
        }
        let seen = signs.iter().filter_map(|sign| {
            let age = Duration::from_millis(u64::from(sign.age_ms));
            Some(Seen {
                fingerprint: sign.fingerprint,
                what: sign.what,
                at: now.checked_sub(age)?,
            })
        });
        self.told.insert(by, seen.take(MAX_SIGNS).collect());
    }

    /// Returns what this gateway saw itself, to tell the others.
    #[must_use]
    pub fn own(&self, now: Instant) -> Vec<Sign> {
        let fresh = self.own.iter().filter(|seen| seen.is_fresh(now));
        let signs = fresh.map(|seen| Sign {
            fingerprint: seen.fingerprint,
            what: seen.what,
            age_ms: millis(now.saturating_duration_since(seen.at)),
        });
        signs.collect()
    }

    /// Forgets what is too old.
    pub fn forget(&mut self, now: Instant) {
        self.broken
            .retain(|b| now.saturating_duration_since(b.broke) < CONFIRM_WITHIN);
        let stale = |seen: &Seen| {
            let recent = now.saturating_duration_since(seen.at) < SUSPECT_FOR;
            !seen.is_fresh(now) || !recent && !self.convicted(seen.fingerprint, now)
        };
        let all = self.own.iter().chain(self.told.values().flatten());
        let stale = all.filter(|seen| stale(seen)).copied();
        let stale = stale.collect::<Vec<_>>();
        self.own.retain(|seen| !stale.contains(seen));
        for seen in self.told.values_mut() {
            seen.retain(|seen| !stale.contains(seen));
        }
        self.told.retain(|_, seen| !seen.is_empty());
    }

    /// Returns whether a request is taken to crash replicas.
    #[must_use]
    pub fn convicted(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.crashes_in_a_row(fingerprint, now) >= CRASHES_TO_CONVICT
    }

    /// Returns how many crashes a request met one after the other since it was
    /// last answered.
    fn crashes_in_a_row(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        let all = self.own.iter().chain(self.told.values().flatten());
        let of_request = all.filter(|seen| seen.fingerprint == fingerprint && seen.is_fresh(now));
        let mut seen = of_request.copied().collect::<Vec<_>>();
        seen.sort_by_key(|seen| seen.at);
        let mut in_a_row = 0;
        let mut last = None;
        for seen in seen {
            match seen.what {
                What::Answered => {
                    in_a_row = 0;
                    last = None;
                }
                What::Crashed { ran_ms } => {
                    let sent = seen
                        .at
                        .checked_sub(Duration::from_millis(u64::from(ran_ms)));
                    let after = |last| sent.is_some_and(|sent| sent + SKEW >= last);
                    if last.is_none_or(after) {
                        in_a_row += 1;
                        last = Some(seen.at);
                    }
                }
            }
        }
        in_a_row
    }

    fn note(&mut self, seen: Seen) {
        if self.own.len() == MAX_SIGNS {
            let now = seen.at;
            let least = self
                .own
                .iter()
                .position(|seen| !self.convicted(seen.fingerprint, now));
            self.own.remove(least.unwrap_or(0));
        }
        self.own.push_back(seen);
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
