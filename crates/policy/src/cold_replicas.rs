//! Replicas that have just started, and what all gateways together may send them.
//!
//! A replica that is cold takes a number of requests a second and crashes well above it.
//! Two limits hold while it is known to be cold:
//!
//! - Each gateway has a share of three quarters of the bound, whatever the others do. The
//!   shares add up to no more, so the bound is kept without news of the others' sends.
//! - The sends of all gateways that are known here stay at the rate that the replica
//!   takes. That keeps the mean down, and may be late.
//!
//! A replica may become cold unnoticed, so a warm one gets no request either while what
//! is known to have been sent to it in the last second is near the bound.

mod shares;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::ReplicaId;
use briarhall_types::ReplicaRecord;
use briarhall_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

pub use self::shares::HeardGateway;
pub use self::shares::SETTLE_TIME;
use self::shares::Shares;
use crate::load_tracker::ReplicaTag;
use crate::load_tracker::tag;
use crate::peers::Incarnation;
use crate::replica_limits::LimitedSends;

/// Part of the bound that is shared out while a replica is cold, and that may be known to
/// have been sent to a warm one. The rest is for gateways whose views differ for a moment.
const BOUND_SHARE: f64 = 0.75;
/// Time in which the bound counts requests.
const BOUND_WINDOW: Duration = Duration::from_secs(1);
/// Time in which a gateway sends its share. It is longer than that of the bound, since
/// connections take unequal times to open.
const SHARE_WINDOW: Duration = Duration::from_millis(1_250);
/// Longest time that the requests of a low rate are counted over.
const MAX_WINDOW: Duration = Duration::from_secs(10);
/// Gateways among which one that has heard from nobody divides what a warm replica takes.
const MIN_GATEWAYS: u32 = 10;
/// Time for which other gateways are told what an answer said.
const REPORTED_FOR: Duration = Duration::from_secs(2);
/// Greatest age of an entry of the registry when it reaches a gateway.
const MAX_ENTRY_AGE: Duration = Duration::from_secs(2);
/// Time for which a send is told again and again, as each message may be lost.
const REPEATED_FOR: Duration = Duration::from_millis(80);
/// Longest time for which a replica may say that it is cold.
const MAX_COLD: Duration = Duration::from_hours(1);
/// Time for which the start of a replica that is gone is remembered.
const GONE_KEPT: Duration = Duration::from_mins(10);
/// Sends to one replica within this time are told as one moment.
const MOMENT: Duration = Duration::from_millis(50);
/// Most observations in one report.
const MAX_REPORTED_OBSERVATIONS: usize = 256;
/// Most sends in one report.
const MAX_REPORTED_SENDS: usize = 512;
/// Penalty of a replica that has just started, where 1 stands for one that has just
/// failed. From one half on, placement prefers any warm replica with room.
const COLD_PENALTY: f64 = 0.75;

/// The bound on requests to a cold replica in any one second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Multiple of the rate that the replica takes.
    pub over: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// What the replicas of a service take while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Time for which a replica is cold after a start.
    pub lasts: Duration,
    /// Requests a second that it takes meanwhile.
    pub per_s: f64,
    /// Requests that it may get in any one second.
    pub bound: f64,
}

impl ColdLimit {
    /// Returns the limit of a service whose cold replicas take `per_s` requests a second.
    #[must_use]
    pub fn new(lasts: Duration, per_s: f64, bound: ColdBound) -> Self {
        Self {
            lasts,
            per_s,
            bound: per_s * bound.over + bound.slack,
        }
    }

    /// Returns the part of the bound that known sends may use, in whole requests.
    fn usable(&self) -> u32 {
        whole(self.bound * BOUND_SHARE)
    }

    /// Returns the requests that count, and the time in which they may be sent, for a
    /// gateway that knows this part of all sends.
    fn window(&self, heard_share: f64) -> (u32, Duration) {
        let per_s = self.per_s * heard_share;
        let per_s = per_s.max(1.0 / MAX_WINDOW.as_secs_f64());
        let requests = whole(per_s);
        let length = Duration::from_secs_f64(f64::from(requests) / per_s);
        (requests, length)
    }
}

/// Says why a replica counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdReason {
    /// Its entry in the registry.
    Registry,
    /// Its process is a new one.
    Restart,
    /// An answer of it.
    Answer,
    /// An answer of it to another gateway.
    Peer,
    /// The evacuation of its zone has ended.
    Evacuation,
}

impl ColdReason {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Registry => "registry",
            Self::Restart => "restart",
            Self::Answer => "answer",
            Self::Peer => "peer",
            Self::Evacuation => "evacuation",
        }
    }
}

/// A replica has begun or ceased to count as cold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdEvent {
    /// The replica.
    pub id: ReplicaId,
    /// How long it will be cold; `None` when it has ceased to be.
    pub left: Option<Duration>,
    /// Why it counted as cold.
    pub reason: ColdReason,
}

/// What an answer said of a replica, as a gateway tells the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdObservation {
    /// The replica.
    pub replica: ReplicaTag,
    /// Milliseconds for which it is cold, as of the message; 0 when it is warm.
    pub left_ms: u32,
    /// Milliseconds since the answer, as of the message.
    pub age_ms: u32,
}

/// What a gateway tells the others about replicas of services with cold limits.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// What answers to it said.
    pub observations: Vec<ColdObservation>,
    /// What it sent.
    pub sends: Vec<LimitedSends>,
}

impl ColdReport {
    /// Returns whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty() && self.sends.is_empty()
    }
}

#[derive(Debug, Clone)]
struct Replica {
    id: ReplicaId,
    service: ServiceName,
    started_unix_ms: Option<u64>,
    /// What its entry said last.
    entry_left: Duration,
    cold_until: Option<Instant>,
    reason: ColdReason,
    /// When an answer last said whether it is cold, or its process was new.
    observed_at: Option<Instant>,
    /// Whether that answer was to this gateway.
    own: bool,
    /// Whether the log says that it is cold.
    logged_cold: bool,
    gone_at: Option<Instant>,
}

impl Replica {
    fn left(&self, now: Instant) -> Duration {
        let until = self.cold_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    fn set_cold(&mut self, left: Duration, reason: ColdReason, now: Instant) {
        self.cold_until = Some(now + left.min(MAX_COLD));
        self.reason = reason;
    }
}

/// Requests that another gateway sent at about the same moment.
#[derive(Debug, Clone, Copy)]
struct Sends {
    at: Instant,
    count: u32,
}

/// The replicas that are cold, and the sends that count against their limits.
#[derive(Debug, Default)]
pub struct ColdReplicas {
    limits: HashMap<ServiceName, ColdLimit>,
    replicas: HashMap<ReplicaTag, Replica>,
    own: HashMap<ReplicaTag, VecDeque<Instant>>,
    others: HashMap<Incarnation, HashMap<ReplicaTag, Vec<Sends>>>,
    shares: Shares,
}

impl ColdReplicas {
    /// Replaces the limits of the services that have one.
    pub fn set_limits(&mut self, limits: HashMap<ServiceName, ColdLimit>) {
        self.limits = limits;
    }

    /// Returns whether any service has a limit.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Records what the registry lists of a replica.
    pub fn observe_entry(&mut self, record: &ReplicaRecord, now: Instant) {
        let lasts = self.limits.get(&record.service).map(|limit| limit.lasts);
        let left = record.warm_up_remaining;
        let replica = tag(record.id.as_str());
        let Some(known) = self.replicas.get_mut(&replica) else {
            let mut new = Replica {
                id: record.id.clone(),
                service: record.service.clone(),
                started_unix_ms: record.started_unix_ms,
                entry_left: left,
                cold_until: None,
                reason: ColdReason::Registry,
                observed_at: None,
                own: false,
                logged_cold: false,
                gone_at: None,
            };
            if !left.is_zero() {
                new.set_cold(left, ColdReason::Registry, now);
            }
            self.replicas.insert(replica, new);
            return;
        };
        known.gone_at = None;
        known.service.clone_from(&record.service);
        let before = known.entry_left;
        known.entry_left = left;
        if known.started_unix_ms != record.started_unix_ms {
            known.started_unix_ms = record.started_unix_ms;
            known.observed_at = Some(now);
            known.own = false;
            known.set_cold(
                left.max(lasts.unwrap_or_default()),
                ColdReason::Restart,
                now,
            );
            return;
        }
        let answered = known.observed_at;
        let answer_is_later =
            answered.is_some_and(|at| now.saturating_duration_since(at) < MAX_ENTRY_AGE);
        // A smaller value is of the same start, which is known already.
        if left > before && left > known.left(now) && !answer_is_later {
            known.set_cold(left, ColdReason::Registry, now);
        }
    }

    /// Records that a replica is no longer listed.
    pub fn record_gone(&mut self, id: &ReplicaId, now: Instant) {
        if let Some(known) = self.replicas.get_mut(&tag(id.as_str())) {
            known.gone_at = Some(now);
        }
    }

    /// Records for how long an answer of a process says that it is cold; zero when it is
    /// warm. Returns whether the other gateways need to know at once.
    pub fn observe_answer(
        &mut self,
        id: &ReplicaId,
        started_unix_ms: Option<u64>,
        left: Duration,
        now: Instant,
    ) -> bool {
        let Some(known) = self.replicas.get_mut(&tag(id.as_str())) else {
            return false;
        };
        if known.started_unix_ms != started_unix_ms || !self.limits.contains_key(&known.service) {
            return false;
        }
        let was_cold = !known.left(now).is_zero();
        known.set_cold(left, ColdReason::Answer, now);
        known.observed_at = Some(now);
        known.own = true;
        was_cold == left.is_zero()
    }

    /// Marks replicas whose zone was evacuated until `ended_at` as cold, as far as nothing
    /// later is known of them. It may be called again for the same end.
    pub fn evacuation_ended<'a, I>(&mut self, replicas: I, ended_at: Instant, now: Instant)
    where
        I: Iterator<Item = &'a ReplicaId>,
    {
        for id in replicas {
            let Some(known) = self.replicas.get_mut(&tag(id.as_str())) else {
                continue;
            };
            let Some(limit) = self.limits.get(&known.service) else {
                continue;
            };
            let left = (ended_at + limit.lasts).saturating_duration_since(now);
            let observed_later = known.observed_at.is_some_and(|at| at >= ended_at);
            if left > known.left(now) && !observed_later {
                known.set_cold(left, ColdReason::Evacuation, now);
            }
        }
    }

    /// Applies which gateways were heard lately. Must be called several times a second,
    /// as a gateway that does not was paused.
    pub fn update_gateways<'a, I>(&mut self, own: HeardGateway<'_>, heard: I, now: Instant)
    where
        I: Iterator<Item = HeardGateway<'a>>,
    {
        self.shares.update(own, heard, now);
    }

    /// Records a request, or a part of a prompt, that is sent now.
    pub fn sent(&mut self, replica: ReplicaTag, now: Instant) {
        if self.limit(replica).is_some() {
            self.own.entry(replica).or_default().push_back(now);
        }
    }

    /// Applies the report of a process of another gateway.
    pub fn apply_report(&mut self, incarnation: Incarnation, report: &ColdReport, now: Instant) {
        if !self.is_enabled() {
            return;
        }
        for observation in &report.observations {
            let observed_at = before(now, observation.age_ms);
            let Some(known) = self.replicas.get_mut(&observation.replica) else {
                continue;
            };
            if known.observed_at.is_none_or(|at| observed_at > at) {
                let left = Duration::from_millis(u64::from(observation.left_ms));
                known.set_cold(left, ColdReason::Peer, now);
                known.observed_at = Some(observed_at);
                known.own = false;
            }
        }
        let mut by_replica = HashMap::<ReplicaTag, Vec<Sends>>::new();
        for sends in &report.sends {
            by_replica.entry(sends.replica).or_default().push(Sends {
                at: before(now, sends.age_ms),
                count: sends.count,
            });
        }
        if by_replica.is_empty() {
            self.others.remove(&incarnation);
        } else {
            self.others.insert(incarnation, by_replica);
        }
    }

    /// Returns what to tell the other gateways; nothing where no service has a limit.
    #[must_use]
    pub fn own_report(&self, now: Instant) -> ColdReport {
        if !self.is_enabled() {
            return ColdReport::default();
        }
        let observations = self.replicas.iter().filter_map(|(replica, known)| {
            let age = now.saturating_duration_since(known.observed_at?);
            let is_told = known.own && age < REPORTED_FOR;
            is_told.then(|| ColdObservation {
                replica: *replica,
                left_ms: millis(known.left(now)),
                age_ms: millis(age),
            })
        });
        let mut sends = Vec::new();
        for (replica, own) in &self.own {
            let Some(limit) = self.limit(*replica) else {
                continue;
            };
            let counted = counted_for(limit);
            let mut last = None::<LimitedSends>;
            for at in own.iter().rev() {
                let age = now.saturating_duration_since(*at);
                if age >= counted {
                    break;
                }
                match &mut last {
                    Some(last) if millis(age) < last.age_ms + millis(MOMENT) => last.count += 1,
                    _ => {
                        sends.extend(last);
                        last = Some(LimitedSends {
                            replica: *replica,
                            count: 1,
                            age_ms: millis(age),
                        });
                    }
                }
            }
            sends.extend(last);
        }
        sends.sort_by_key(|sends| sends.age_ms);
        sends.truncate(MAX_REPORTED_SENDS);
        ColdReport {
            observations: observations.take(MAX_REPORTED_OBSERVATIONS).collect(),
            sends,
        }
    }

    /// Returns whether the others may not know yet what this gateway sent to a replica
    /// that is cold.
    #[must_use]
    pub fn is_repeated(&self, now: Instant) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < REPEATED_FOR;
        let mut own = self.own.iter();
        own.any(|(replica, sends)| {
            sends.back().is_some_and(is_recent) && self.is_cold(*replica, now)
        })
    }

    /// Removes what no longer counts, and returns which replicas have begun or ceased to
    /// be cold, for the log.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<ColdEvent> {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.own.retain(|_, sends| {
            while sends.front().is_some_and(|at| age(*at) > MAX_WINDOW) {
                sends.pop_front();
            }
            !sends.is_empty()
        });
        self.others.retain(|_, by_replica| {
            by_replica.retain(|_, sends| sends.iter().any(|sends| age(sends.at) <= MAX_WINDOW));
            !by_replica.is_empty()
        });
        self.replicas
            .retain(|_, known| known.gone_at.is_none_or(|at| age(at) < GONE_KEPT));
        let mut events = Vec::new();
        for known in self.replicas.values_mut() {
            let left = known.left(now);
            let is_cold = !left.is_zero() && self.limits.contains_key(&known.service);
            if is_cold != known.logged_cold {
                known.logged_cold = is_cold;
                events.push(ColdEvent {
                    id: known.id.clone(),
                    left: is_cold.then_some(left),
                    reason: known.reason,
                });
            }
        }
        events
    }

    /// Returns how long this gateway sends nothing to a replica, or `None` if it may now.
    #[must_use]
    pub fn time_left(&self, replica: ReplicaTag, now: Instant) -> Option<Duration> {
        let limit = self.limit(replica)?;
        let cold = self.replicas.get(&replica)?.left(now);
        let left = if cold.is_zero() {
            self.warm_time_left(replica, limit, now)
        } else {
            self.cold_time_left(replica, limit, cold, now)
        };
        (!left.is_zero()).then_some(left)
    }

    fn cold_time_left(
        &self,
        replica: ReplicaTag,
        limit: &ColdLimit,
        cold: Duration,
        now: Instant,
    ) -> Duration {
        let share = self.shares.share(replica, limit.usable(), now);
        if share == 0 {
            let settles_in = self.shares.settles_in(now);
            return if settles_in.is_zero() {
                cold
            } else {
                cold.min(settles_in)
            };
        }
        let own = self.own.get(&replica).into_iter().flatten().rev();
        let own_full_since = own.copied().nth(index(share));
        let own_left = time_until(own_full_since, SHARE_WINDOW, now);
        let (requests, length) = limit.window(self.shares.heard_share());
        let all_left = time_until(self.full_since(replica, requests), length, now);
        own_left.max(all_left).min(cold)
    }

    fn warm_time_left(&self, replica: ReplicaTag, limit: &ColdLimit, now: Instant) -> Duration {
        let usable = limit.usable();
        let requests = if self.shares.is_settled(now) {
            usable
        } else {
            (usable / MIN_GATEWAYS).max(1)
        };
        time_until(self.full_since(replica, requests), BOUND_WINDOW, now)
    }

    /// Returns how much placement avoids a replica: less and less until it is warm.
    #[must_use]
    pub fn penalty(&self, replica: ReplicaTag, now: Instant) -> f64 {
        let (Some(limit), Some(known)) = (self.limit(replica), self.replicas.get(&replica)) else {
            return 0.0;
        };
        let lasts = limit.lasts.as_secs_f64().max(f64::MIN_POSITIVE);
        let left = known.left(now).as_secs_f64() / lasts;
        COLD_PENALTY * left.min(1.0)
    }

    /// Returns whether a replica is known to be cold.
    #[must_use]
    pub fn is_cold(&self, replica: ReplicaTag, now: Instant) -> bool {
        let known = self.replicas.get(&replica);
        let is_cold = known.is_some_and(|known| !known.left(now).is_zero());
        is_cold && self.limit(replica).is_some()
    }

    /// Returns how many replicas are known to be cold.
    #[must_use]
    pub fn count(&self, now: Instant) -> usize {
        let listed = self.replicas.iter().filter(|(_, r)| r.gone_at.is_none());
        listed.filter(|(tag, _)| self.is_cold(**tag, now)).count()
    }

    /// Returns the requests a second that a replica takes, while it is cold.
    #[must_use]
    pub fn per_s(&self, replica: ReplicaTag, now: Instant) -> Option<f64> {
        let limit = self.limit(replica)?;
        self.is_cold(replica, now).then_some(limit.per_s)
    }

    fn limit(&self, replica: ReplicaTag) -> Option<&ColdLimit> {
        if self.limits.is_empty() {
            return None;
        }
        self.limits.get(&self.replicas.get(&replica)?.service)
    }

    /// Returns since when the last `requests` sends that are known were made, if there are
    /// as many.
    fn full_since(&self, replica: ReplicaTag, requests: u32) -> Option<Instant> {
        let own = self.own.get(&replica).into_iter().flatten();
        let own = own.map(|at| Sends { at: *at, count: 1 });
        let others = self.others.values().filter_map(|of| of.get(&replica));
        let mut sends = own.chain(others.flatten().copied()).collect::<Vec<_>>();
        sends.sort_by_key(|sends| std::cmp::Reverse(sends.at));
        let mut count = 0_u32;
        let oldest = sends.into_iter().find(|sends| {
            count = count.saturating_add(sends.count);
            count >= requests
        });
        oldest.map(|sends| sends.at)
    }
}

/// Returns the time for which a send counts against a limit.
fn counted_for(limit: &ColdLimit) -> Duration {
    let (_, length) = limit.window(1.0);
    length.max(SHARE_WINDOW)
}

fn time_until(full_since: Option<Instant>, length: Duration, now: Instant) -> Duration {
    full_since.map_or(Duration::ZERO, |at| {
        (at + length).saturating_duration_since(now)
    })
}

/// Returns the position of the oldest of the last `count` sends.
fn index(count: u32) -> usize {
    usize::try_from(count.saturating_sub(1)).unwrap_or(usize::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and the number is positive"
)]
fn whole(number: f64) -> u32 {
    (number as u32).max(1)
}

fn before(now: Instant, age_ms: u32) -> Instant {
    let age = Duration::from_millis(u64::from(age_ms));
    now.checked_sub(age).unwrap_or(now)
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
