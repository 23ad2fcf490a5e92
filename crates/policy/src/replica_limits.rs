//! Limits that replicas name for the requests which they take from all gateways
//! together.
//!
//! A limit holds for as long as the answers of a replica name it; an answer without one
//! lifts it. Gateways tell each other which limits they heard and what they sent to
//! replicas that have one. Each keeps the limit for the sum, so that it can be used up by
//! whichever gateways get the requests.
//!
//! News of a send takes a moment. When room for one more request comes up, all gateways
//! know it at the same time, so they take turns: each waits until those before it could
//! have told that they used it.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::load_tracker::ReplicaTag;
use crate::peers::Incarnation;

/// Time whose requests may come at once.
const BURST: Duration = Duration::from_secs(2);
/// Longest time without a request: only an answer shows that a limit has been raised or
/// lifted.
const MAX_INTERVAL: Duration = Duration::from_secs(10);
/// Longest wait for a turn.
pub const MAX_TURN: Duration = Duration::from_millis(500);
/// Time for which other gateways are told of an observation.
const REPORTED_FOR: Duration = Duration::from_secs(2);
/// Time for which a send is told again and again, as each message may be lost.
const REPEATED_FOR: Duration = Duration::from_millis(80);
/// Time between two messages meanwhile.
pub const REPEAT_INTERVAL: Duration = Duration::from_millis(20);
/// Most limits in one report.
const MAX_REPORTED_LIMITS: usize = 256;
/// Most sends in one report.
const MAX_REPORTED_SENDS: usize = 1_024;
/// Sends to one replica within this part of its window are counted as one moment.
const MOMENTS_PER_WINDOW: u32 = 8;
/// Furthest time to which the return of callers is spread.
const MAX_RETURN: Duration = Duration::from_secs(5);

/// Returns the time that a gateway leaves each one whose turn comes before its own: a
/// send is known everywhere `known_after` it, and again after its first repetition.
#[must_use]
pub fn turn_step(known_after: Duration) -> Duration {
    known_after + REPEAT_INTERVAL
}

/// A limit that a gateway heard of, as it tells the others.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitObservation {
    /// The replica.
    pub replica: ReplicaTag,
    /// Requests a second; `None` when it was lifted.
    pub per_s: Option<f32>,
    /// Milliseconds since the answer that said so, as of the message.
    pub age_ms: u32,
}

/// Requests that a gateway sent to a replica with a limit, as it tells the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitedSends {
    /// The replica.
    pub replica: ReplicaTag,
    /// Requests sent at about the same moment.
    pub count: u32,
    /// Milliseconds since the last of them, as of the message.
    pub age_ms: u32,
}

#[derive(Debug, Clone, Copy)]
struct Limit {
    per_s: Option<f64>,
    observed_at: Instant,
    /// Whether an answer to this gateway said so.
    own: bool,
}

/// Requests that were sent at about the same moment.
#[derive(Debug, Clone, Copy)]
struct Sends {
    /// When the first was sent.
    since: Instant,
    /// When the last was sent, as of which all are counted.
    at: Instant,
    count: u32,
}

/// Time in which a replica takes a number of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Window {
    requests: u32,
    length: Duration,
}

impl Window {
    fn new(per_s: f64) -> Self {
        let per_s = per_s.max(1.0 / MAX_INTERVAL.as_secs_f64());
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the cast saturates, and the rate is positive"
        )]
        let requests = ((per_s * BURST.as_secs_f64()) as u32).max(1);
        Self {
            requests,
            length: Duration::from_secs_f64(f64::from(requests) / per_s),
        }
    }
}

/// The limits in force, and the sends that count against them.
#[derive(Debug, Default)]
pub struct ReplicaLimits {
    limits: HashMap<ReplicaTag, Limit>,
    own: HashMap<ReplicaTag, VecDeque<Sends>>,
    /// Sends of the processes of other gateways, the last ones first.
    others: HashMap<Incarnation, HashMap<ReplicaTag, Vec<Sends>>>,
    /// When the last caller was told to come back, for each service.
    last_return: HashMap<u32, Instant>,
}

impl ReplicaLimits {
    /// Records the requests a second that an answer of a replica names as its limit, if
    /// it names one. Returns whether that is news.
    pub fn observe(&mut self, replica: ReplicaTag, per_s: Option<f64>, now: Instant) -> bool {
        let known = self.limits.get(&replica);
        if known.is_none() && per_s.is_none() {
            return false;
        }
        let news = known.is_none_or(|known| known.per_s != per_s);
        let limit = Limit {
            per_s,
            observed_at: now,
            own: true,
        };
        self.limits.insert(replica, limit);
        news
    }

    /// Applies what another gateway heard, unless something later is known.
    pub fn apply_observations(&mut self, observations: &[LimitObservation], now: Instant) {
        for observation in observations {
            let observed_at = before(now, observation.age_ms);
            let known = self.limits.get(&observation.replica);
            let is_later = known.map_or(observation.per_s.is_some(), |known| {
                observed_at > known.observed_at
            });
            if is_later {
                let limit = Limit {
                    per_s: observation.per_s.map(f64::from),
                    observed_at,
                    own: false,
                };
                self.limits.insert(observation.replica, limit);
            }
        }
    }

    /// Records a request that is sent now.
    pub fn sent(&mut self, replica: ReplicaTag, now: Instant) {
        let Some(window) = self.window(replica, 1.0) else {
            return;
        };
        let moment = window.length / MOMENTS_PER_WINDOW;
        let sends = self.own.entry(replica).or_default();
        match sends.back_mut() {
            Some(last) if now.saturating_duration_since(last.since) < moment => {
                last.count += 1;
                last.at = now;
            }
            _ => sends.push_back(Sends {
                since: now,
                at: now,
                count: 1,
            }),
        }
    }

    /// Replaces the sends of a process of another gateway.
    pub fn set_peer_sends(
        &mut self,
        incarnation: Incarnation,
        sends: &[LimitedSends],
        now: Instant,
    ) {
        let mut by_replica = HashMap::<ReplicaTag, Vec<Sends>>::new();
        for sends in sends {
            let at = before(now, sends.age_ms);
            by_replica.entry(sends.replica).or_default().push(Sends {
                since: at,
                at,
                count: sends.count,
            });
        }
        for sends in by_replica.values_mut() {
            sends.sort_by_key(|sends| std::cmp::Reverse(sends.at));
        }
        if by_replica.is_empty() {
            self.others.remove(&incarnation);
        } else {
            self.others.insert(incarnation, by_replica);
        }
    }

    /// Forgets the limit of a replica whose process is gone or a new one.
    pub fn forget(&mut self, replica: ReplicaTag) {
        self.limits.remove(&replica);
        self.own.remove(&replica);
    }

    /// Removes sends that no window holds any more, and news that is told to nobody.
    pub fn remove_expired(&mut self, now: Instant) {
        let kept = MAX_INTERVAL + MAX_TURN;
        let is_kept = |sends: &Sends| now.saturating_duration_since(sends.at) < kept;
        self.own.retain(|_, sends| {
            sends.retain(is_kept);
            !sends.is_empty()
        });
        self.others.retain(|_, by_replica| {
            by_replica.retain(|_, sends| sends.iter().any(is_kept));
            !by_replica.is_empty()
        });
        self.limits.retain(|_, limit| {
            limit.per_s.is_some() || now.saturating_duration_since(limit.observed_at) < kept
        });
        self.last_return.retain(|_, at| *at > now);
    }

    /// Returns what this gateway heard lately, to tell the others.
    #[must_use]
    pub fn own_observations(&self, now: Instant) -> Vec<LimitObservation> {
        let age = |limit: &Limit| now.saturating_duration_since(limit.observed_at);
        let own = self.limits.iter().filter(|(_, limit)| limit.own);
        let recent = own.filter(|(_, limit)| age(limit) < REPORTED_FOR);
        #[expect(clippy::cast_possible_truncation, reason = "f32 is precise enough")]
        let observations = recent.map(|(replica, limit)| LimitObservation {
            replica: *replica,
            per_s: limit.per_s.map(|per_s| per_s as f32),
            age_ms: millis(age(limit)),
        });
        observations.take(MAX_REPORTED_LIMITS).collect()
    }

    /// Returns this gateway's sends that still count, the last ones first.
    #[must_use]
    pub fn own_sends(&self, now: Instant) -> Vec<LimitedSends> {
        let mut reported = Vec::new();
        for (replica, sends) in &self.own {
            let Some(window) = self.window(*replica, 1.0) else {
                continue;
            };
            // Where some gateways are not heard, the others use longer windows.
            let counted = (window.length * 2).min(MAX_INTERVAL) + MAX_TURN;
            let sends = sends.iter().map(|sends| LimitedSends {
                replica: *replica,
                count: sends.count,
                age_ms: millis(now.saturating_duration_since(sends.at)),
            });
            reported.extend(sends.filter(|sends| sends.age_ms < millis(counted)));
        }
        reported.sort_by_key(|sends| sends.age_ms);
        reported.truncate(MAX_REPORTED_SENDS);
        reported
    }

    /// Returns whether the others may not know yet what this gateway sent.
    #[must_use]
    pub fn is_repeated(&self, now: Instant) -> bool {
        let last = self.own.values().filter_map(|sends| sends.back());
        let mut ages = last.map(|sends| now.saturating_duration_since(sends.at));
        ages.any(|age| age < REPEATED_FOR)
    }

    /// Returns whether no replica has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the requests a second that a replica takes, if it has a limit.
    #[must_use]
    pub fn per_s(&self, replica: ReplicaTag) -> Option<f64> {
        self.limits.get(&replica)?.per_s
    }

    /// Returns how long this gateway sends nothing to a replica, or `None` if it may now.
    ///
    /// `heard` is the share of the known gateways whose sends are known here; a gateway
    /// that is cut off from others leaves them their part of the limit. `turn` returns how
    /// long this gateway lets others go first.
    pub fn time_left<F>(
        &self,
        replica: ReplicaTag,
        heard: f64,
        now: Instant,
        turn: F,
    ) -> Option<Duration>
    where
        F: FnOnce() -> Duration,
    {
        let window = self.window(replica, heard)?;
        let free_at = self.full_since(replica, window.requests)? + window.length;
        if now >= free_at + MAX_TURN {
            return None;
        }
        let left = (free_at + turn().min(MAX_TURN)).saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns when the callers of a service whose replicas are all used up come back:
    /// the first after `wait`, the others one after the other, `interval` apart.
    pub fn next_return(
        &mut self,
        service: u32,
        wait: Duration,
        interval: Duration,
        now: Instant,
    ) -> Duration {
        let first = now + wait;
        let after_last = self.last_return.get(&service).map(|last| *last + interval);
        let next = after_last.map_or(first, |at| at.max(first));
        let next = if next > now + MAX_RETURN.max(wait) {
            first
        } else {
            next
        };
        self.last_return.insert(service, next);
        next.saturating_duration_since(now)
    }

    fn window(&self, replica: ReplicaTag, heard: f64) -> Option<Window> {
        self.per_s(replica).map(|per_s| Window::new(per_s * heard))
    }

    /// Returns since when the last `requests` sends were made, if there are as many.
    fn full_since(&self, replica: ReplicaTag, requests: u32) -> Option<Instant> {
        let own = self.own.get(&replica).into_iter().flatten().rev();
        let others = self.others.values().filter_map(|of| of.get(&replica));
        let mut sends = own.chain(others.flatten()).copied().collect::<Vec<_>>();
        sends.sort_by_key(|sends| std::cmp::Reverse(sends.at));
        let mut count = 0_u32;
        let oldest = sends.into_iter().find(|sends| {
            count = count.saturating_add(sends.count);
            count >= requests
        });
        oldest.map(|sends| sends.at)
    }
}

fn before(now: Instant, age_ms: u32) -> Instant {
    let age = Duration::from_millis(u64::from(age_ms));
    now.checked_sub(age).unwrap_or(now)
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
