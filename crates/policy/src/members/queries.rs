//! Queries on the view of the routers.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::Revision;
use briarhall_types::RouterName;

use super::FRESH_FOR;
use super::Heartbeat;
use super::LIVE_FOR;
use super::Member;
use super::Members;
use super::PullAnswer;
use super::REMOVE_AFTER;
use super::RelayedHeartbeat;
use super::Roster;

/// Time that a new router waits for heartbeats of the roster's members before it
/// joins without them.
const JOIN_WITHOUT_MEMBERS_AFTER: Duration = Duration::from_secs(1);

/// Whether a router may admit new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncState {
    /// It holds every change it knows of and may admit work.
    Current,
    /// It knows of a change that it does not hold yet.
    Behind,
    /// It has neither fresh heartbeats from a quorum of the roster nor a recent
    /// confirmation by the platform.
    Disconnected,
}

impl Members {
    /// Returns this router's answer to a pull.
    #[must_use]
    pub fn answer(&self, now: Instant) -> PullAnswer {
        let heartbeats = self.known.values().map(|known| RelayedHeartbeat {
            heartbeat: known.heartbeat.clone(),
            age_ms: known.made_after.map(|made_after| age_ms(made_after, now)),
        });
        PullAnswer {
            heartbeats: heartbeats.collect(),
        }
    }

    /// Returns the heartbeat of a router.
    #[must_use]
    pub fn heartbeat(&self, name: &str) -> Option<&Heartbeat> {
        self.known.get(name).map(|known| &known.heartbeat)
    }

    /// Returns whether this router, which holds every change up to `held`, may
    /// admit work now.
    #[must_use]
    pub fn sync_state(&self, roster: &Roster, held: Revision, now: Instant) -> SyncState {
        if held < self.newest() {
            return SyncState::Behind;
        }
        if self.platform_confirmed(now) || self.has_fresh_quorum(roster, now) {
            return SyncState::Current;
        }
        SyncState::Disconnected
    }

    /// Returns whether there are fresh heartbeats from a quorum of the roster.
    #[must_use]
    pub fn has_fresh_quorum(&self, roster: &Roster, now: Instant) -> bool {
        roster.is_quorum(|name| self.is_fresh(name, now))
    }

    /// Returns whether the platform confirmed within [`FRESH_FOR`] that no newer
    /// change is written.
    #[must_use]
    pub fn platform_confirmed(&self, now: Instant) -> bool {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < FRESH_FOR;
        self.confirmed_at.is_some_and(is_fresh)
    }

    /// Returns whether a quorum of the roster holds every change up to
    /// `revision`. The change is accepted [`FRESH_FOR`] after that is first so.
    #[must_use]
    pub fn quorum_holds(&self, roster: &Roster, revision: Revision) -> bool {
        let holds = |name: &RouterName| {
            let known = self.known.get(name);
            known.is_some_and(|known| known.heartbeat.held >= revision)
        };
        roster.accepts(holds)
    }

    /// Returns the heartbeats of the live routers, including this one, ordered
    /// by name.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        let is_live = move |silent_for: Duration| silent_for < LIVE_FOR;
        self.known
            .values()
            .filter(move |known| is_live(now.saturating_duration_since(known.last_seen)))
            .map(|known| &known.heartbeat)
    }

    /// Returns the heartbeats of the live routers that are not draining.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        self.live(now).filter(|heartbeat| !heartbeat.draining)
    }

    /// Returns the roster to write, if it needs a change and this router is the
    /// one to write it. Several routers may come to that conclusion; the
    /// conditional write lets only one succeed.
    #[must_use]
    pub fn roster_change(&self, roster: &Roster, started: Instant, now: Instant) -> Option<Roster> {
        let first = self.serving(now).find(|h| roster.contains(&h.router));
        let is_first = match first {
            Some(heartbeat) => heartbeat.router == self.me,
            // The first heartbeats of members may still arrive.
            None => roster.members.is_empty() || now >= started + JOIN_WITHOUT_MEMBERS_AFTER,
        };
        if !is_first {
            return None;
        }
        let joining = self.serving(now).filter(|h| !roster.contains(&h.router));
        let joining = joining.map(member).collect::<Vec<_>>();
        let leaving = self.silent_members(roster, started, now);
        roster.change(&joining, &leaving)
    }

    /// Returns the members to remove. Only a router with fresh heartbeats from a
    /// quorum may remove others: to a disconnected router all others seem
    /// silent.
    fn silent_members(
        &self,
        roster: &Roster,
        started: Instant,
        now: Instant,
    ) -> BTreeSet<RouterName> {
        if !self.has_fresh_quorum(roster, now) {
            return BTreeSet::new();
        }
        let is_silent = |name: &RouterName| {
            let known = self.known.get(name);
            let last_seen = known.map_or(started, |known| known.last_seen);
            let draining = known.is_some_and(|known| known.heartbeat.draining);
            draining || now.saturating_duration_since(last_seen) >= REMOVE_AFTER
        };
        let names = roster.members.iter().map(|member| &member.name);
        names
            .filter(|name| **name != self.me && is_silent(name))
            .cloned()
            .collect()
    }

    fn newest(&self) -> Revision {
        let newest = self.known.values().map(|known| known.heartbeat.newest);
        newest.max().unwrap_or(0)
    }

    fn is_fresh(&self, name: &RouterName, now: Instant) -> bool {
        if *name == self.me {
            return true;
        }
        let made_after = self.known.get(name).and_then(|known| known.made_after);
        made_after.is_some_and(|at| now.saturating_duration_since(at) < FRESH_FOR)
    }
}

/// Returns the roster entry of a router.
fn member(heartbeat: &Heartbeat) -> Member {
    Member {
        name: heartbeat.router.clone(),
        mesh_address: heartbeat.mesh_address,
        zone: heartbeat.zone.clone(),
    }
}

/// Returns the age in milliseconds, rounded up, so that a heartbeat never seems
/// newer than it is.
fn age_ms(made_after: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(made_after).as_millis();
    u64::try_from(age).unwrap_or(u64::MAX).saturating_add(1)
}
