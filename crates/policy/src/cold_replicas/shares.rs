//! Shares of gateways in what cold replicas take.
//!
//! All gateways that know the same members compute the same shares, without asking each
//! other. A share that grows is used only when all views of the last two seconds grant
//! it; one that shrinks does so at once. So a gateway has told the others that it takes
//! part before they give anything up, and they have given it up before it is used.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::load_tracker::ReplicaTag;
use crate::rendezvous;

/// Time for which a view must hold before shares that it adds are used. Gateways send a
/// heartbeat at least each 0.7 s where there are 86, so that one is heard even if two are
/// lost.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Longest time between two updates. After a longer one the process was paused, and what
/// it knew has changed unseen.
const MAX_UPDATE_GAP: Duration = Duration::from_secs(1);
/// Time for which a gateway that placed requests keeps its share: the list of advertised
/// gateways changes with the rates.
const PLACING_KEPT: Duration = Duration::from_secs(10);
/// Time for which a gateway that is not heard keeps its share: it may be cut off and
/// still serve requests.
const SILENT_KEPT: Duration = Duration::from_mins(10);

/// A gateway from which this one has heard lately.
#[derive(Debug, Clone, Copy)]
pub struct HeardGateway<'a> {
    /// VM that it runs on.
    pub vm: &'a str,
    /// Whether it places requests.
    pub places_requests: bool,
    /// Whether it is about to stop.
    pub stopping: bool,
}

/// Short form of the name of a gateway's VM.
type MemberId = u64;

#[derive(Debug, Clone, Copy)]
struct Member {
    heard_at: Instant,
    /// When it last said that it places requests.
    placing_at: Option<Instant>,
    stopping: bool,
}

impl Member {
    fn is_kept(&self, now: Instant) -> bool {
        let kept = if self.stopping {
            SETTLE_TIME
        } else {
            SILENT_KEPT
        };
        now.saturating_duration_since(self.heard_at) < kept
    }

    /// Returns whether it placed requests shortly before it was last heard.
    fn places_requests(&self) -> bool {
        self.placing_at
            .is_some_and(|at| self.heard_at.saturating_duration_since(at) < PLACING_KEPT)
    }
}

/// The gateways that share, as this one has known them since a moment.
#[derive(Debug)]
struct View {
    since: Instant,
    sharing: Vec<MemberId>,
}

impl View {
    /// Returns how many of `total` requests a gateway may send to a replica.
    fn share(&self, own: MemberId, replica: ReplicaTag, total: u32) -> u32 {
        if !self.sharing.contains(&own) {
            return 0;
        }
        let weight = |member: &MemberId| (rendezvous::weight(&replica, member), *member);
        let own_weight = weight(&own);
        let before = self.sharing.iter().filter(|m| weight(m) > own_weight);
        let before = u32::try_from(before.count()).unwrap_or(u32::MAX);
        let count = u32::try_from(self.sharing.len()).unwrap_or(u32::MAX);
        total / count + u32::from(before < total % count)
    }
}

/// Which gateways share, over the last two seconds.
#[derive(Debug, Default)]
pub struct Shares {
    own: MemberId,
    members: HashMap<MemberId, Member>,
    /// The views of the last two seconds, the oldest first.
    views: VecDeque<View>,
    updated_at: Option<Instant>,
    heard_share: f64,
}

impl Shares {
    /// Applies which gateways were heard lately. Must be called several times a second:
    /// after a longer time this gateway counts as having heard from nobody.
    pub fn update<'a, I>(&mut self, own: HeardGateway<'_>, heard: I, now: Instant)
    where
        I: Iterator<Item = HeardGateway<'a>>,
    {
        if self.was_paused(now) {
            self.views.clear();
        }
        self.updated_at = Some(now);
        self.own = member_id(own.vm);
        self.record(own, now);
        for gateway in heard {
            self.record(gateway, now);
        }
        self.members.retain(|_, member| member.is_kept(now));
        let placing = self.members.iter().filter(|(_, m)| m.places_requests());
        let mut sharing = placing.map(|(id, _)| *id).collect::<Vec<_>>();
        if sharing.is_empty() {
            sharing.extend(self.members.keys());
        }
        sharing.sort_unstable();
        self.heard_share = self.share_heard_at(&sharing, now);
        if self.views.back().is_none_or(|last| last.sharing != sharing) {
            self.views.push_back(View {
                since: now,
                sharing,
            });
        }
        while self.views.get(1).is_some_and(|v| is_settled(v, now)) {
            self.views.pop_front();
        }
    }

    fn record(&mut self, gateway: HeardGateway<'_>, now: Instant) {
        let id = member_id(gateway.vm);
        let before = self.members.get(&id).and_then(|member| member.placing_at);
        let member = Member {
            heard_at: now,
            placing_at: if gateway.places_requests {
                Some(now)
            } else {
                before
            },
            stopping: gateway.stopping,
        };
        self.members.insert(id, member);
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "counts of gateways are far below 2^52"
    )]
    fn share_heard_at(&self, sharing: &[MemberId], now: Instant) -> f64 {
        let is_heard = |id: &&MemberId| self.members.get(id).is_some_and(|m| m.heard_at == now);
        let heard = sharing.iter().filter(is_heard).count();
        heard as f64 / sharing.len().max(1) as f64
    }

    /// Returns how many of `total` requests this gateway may send to a replica.
    #[must_use]
    pub fn share(&self, replica: ReplicaTag, total: u32, now: Instant) -> u32 {
        if !self.is_settled(now) {
            return 0;
        }
        let granted = self.views.iter();
        let granted = granted.map(|view| view.share(self.own, replica, total));
        granted.min().unwrap_or(0)
    }

    /// Returns whether this gateway has had time to hear from the others.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        !self.was_paused(now) && self.views.front().is_some_and(|view| is_settled(view, now))
    }

    /// Returns how long this gateway still waits to hear from the others.
    #[must_use]
    pub fn settles_in(&self, now: Instant) -> Duration {
        let began = self.views.front().filter(|_| !self.was_paused(now));
        let began = began.map_or(now, |view| view.since);
        (began + SETTLE_TIME).saturating_duration_since(now)
    }

    /// Returns the part of the gateways that share whose heartbeats arrive.
    #[must_use]
    pub fn heard_share(&self) -> f64 {
        self.heard_share
    }

    fn was_paused(&self, now: Instant) -> bool {
        self.updated_at
            .is_none_or(|at| now.saturating_duration_since(at) > MAX_UPDATE_GAP)
    }
}

fn is_settled(view: &View, now: Instant) -> bool {
    now.saturating_duration_since(view.since) >= SETTLE_TIME
}

fn member_id(vm: &str) -> MemberId {
    rendezvous::weight("gateway", vm)
}
