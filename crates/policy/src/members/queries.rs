//! Questions about the routers.

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

/// Time a new router waits to hear from the roster's members before it joins
/// without them.
const JOIN_ALONE_AFTER: Duration = Duration::from_secs(1);

/// Whether a router may admit new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncState {
    /// It may.
    Current,
    /// It knows of a change that it does not hold yet.
    Behind,
    /// It has heard neither from a quorum of the roster nor from the platform.
    Disconnected,
}

impl Members {
    /// Returns what this router answers to a pull.
    #[must_use]
    pub fn answer(&self, now: Instant) -> PullAnswer {
        let heartbeats = self.known.values().map(|known| RelayedHeartbeat {
            heartbeat: known.heartbeat.clone(),
            age_ms: known.made_after.map(|made| age_ms(made, now)),
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

    /// Returns whether this router, holding everything up to `held`, may admit
    /// work now.
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

    /// Returns whether a quorum of the roster was heard lately.
    #[must_use]
    pub fn has_fresh_quorum(&self, roster: &Roster, now: Instant) -> bool {
        roster.is_quorum(|name| self.is_fresh(name, now))
    }

    /// Returns whether the platform confirmed lately that nothing newer is
    /// written.
    #[must_use]
    pub fn platform_confirmed(&self, now: Instant) -> bool {
        let fresh = |at: Instant| now.saturating_duration_since(at) < FRESH_FOR;
        self.confirmed.is_some_and(fresh)
    }

    /// Returns whether a quorum of the roster holds everything up to
    /// `revision`. The change is accepted when [`FRESH_FOR`] has passed since.
    #[must_use]
    pub fn quorum_holds(&self, roster: &Roster, revision: Revision) -> bool {
        let holds = |name: &RouterName| {
            let known = self.known.get(name);
            known.is_some_and(|known| known.heartbeat.held >= revision)
        };
        roster.accepts(holds)
    }

    /// Returns the routers that are live, by name, this one among them.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        let live = move |silent: Duration| silent < LIVE_FOR;
        self.known
            .values()
            .filter(move |known| live(now.saturating_duration_since(known.seen)))
            .map(|known| &known.heartbeat)
    }

    /// Returns the live routers that mean to stay.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        self.live(now).filter(|heartbeat| !heartbeat.draining)
    }

    /// Returns the change that the roster needs, if this router is the one to
    /// write it. Several may think so; the conditional write decides.
    #[must_use]
    pub fn roster_change(&self, roster: &Roster, started: Instant, now: Instant) -> Option<Roster> {
        let first = self.serving(now).find(|h| roster.contains(&h.router));
        let is_first = match first {
            Some(heartbeat) => heartbeat.router == self.me,
            // Members may be about to be heard for the first time.
            None => roster.members.is_empty() || now >= started + JOIN_ALONE_AFTER,
        };
        if !is_first {
            return None;
        }
        let joining = self.serving(now).filter(|h| !roster.contains(&h.router));
        let joining = joining.map(member).collect::<Vec<_>>();
        let leaving = self.silent_members(roster, started, now);
        roster.change(&joining, &leaving)
    }

    /// Only a router that hears a quorum may remove others: to one that is
    /// cut off, everyone else seems silent.
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
            let seen = known.map_or(started, |known| known.seen);
            let draining = known.is_some_and(|known| known.heartbeat.draining);
            draining || now.saturating_duration_since(seen) >= REMOVE_AFTER
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
        let made = self.known.get(name).and_then(|known| known.made_after);
        made.is_some_and(|at| now.saturating_duration_since(at) < FRESH_FOR)
    }
}

/// Returns how a router stands on the roster.
fn member(heartbeat: &Heartbeat) -> Member {
    Member {
        name: heartbeat.router.clone(),
        mesh_address: heartbeat.mesh_address,
        zone: heartbeat.zone.clone(),
    }
}

/// Rounds up, so that news never looks younger than it is.
fn age_ms(made: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(made).as_millis();
    u64::try_from(age).unwrap_or(u64::MAX).saturating_add(1)
}
