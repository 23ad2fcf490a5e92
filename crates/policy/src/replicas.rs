//! The replicas that may be used, as the registry lists them.
//!
//! A replica whose entry vanishes is gone at once, with one exception: entries
//! lapse while the registry itself is away, and a replica that lives renews its
//! entry within moments of the registry's return. Until then the old entry
//! holds.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::ReplicaChange;
use briarhall_types::ReplicaEntry;
use briarhall_types::ReplicaId;
use briarhall_types::ReplicaRecord;
use briarhall_types::Revision;

/// Time that living replicas need to renew entries that lapsed while the
/// registry was away: the platform promises about two seconds.
pub const RENEWAL: Duration = Duration::from_secs(2);
/// Shortest outage in which an entry can lapse: two heartbeats of a second and
/// a little, where three missed ones remove an entry.
pub const SHORTEST_LAPSE: Duration = Duration::from_millis(2_400);

#[derive(Debug, Clone)]
struct Held {
    entry: ReplicaEntry,
    /// The registry no longer lists it, but its outage may be the reason.
    lapsed: bool,
}

/// Whether a missing entry may only have lapsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lapses {
    Possible,
    No,
}

/// What a change did to the status of one replica, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaEvent {
    /// The replica.
    pub id: ReplicaId,
    /// What changed.
    pub status: ReplicaStatus,
    /// Revision that told.
    pub revision: Revision,
}

/// Status of a replica as one gateway knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// It takes work.
    Ready,
    /// It takes no new work.
    Draining,
    /// It started again under its id.
    Restarted,
    /// It is gone.
    Gone,
    /// Its entry vanished during an outage of the registry.
    Lapsed,
    /// Its entry cannot be used.
    Unusable,
}

impl ReplicaStatus {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "leaving",
            Self::Restarted => "restarted",
            Self::Gone => "gone",
            Self::Lapsed => "lapsed",
            Self::Unusable => "unusable",
        }
    }
}

/// The replicas one gateway knows of.
#[derive(Debug, Default)]
pub struct Replicas {
    held: BTreeMap<ReplicaId, Held>,
    revision: Revision,
    outage_since: Option<Instant>,
    lapse_until: Option<Instant>,
}

impl Replicas {
    /// Takes a whole listing of the registry, unless a later one is known.
    pub fn listed(
        &mut self,
        entries: Vec<ReplicaEntry>,
        revision: Revision,
        now: Instant,
    ) -> Vec<ReplicaEvent> {
        let lapses = self.lapses(now);
        self.take(entries, revision, lapses)
    }

    /// Takes what another gateway believes, unless it is older. That gateway
    /// has already held on to what may only have lapsed.
    pub fn relayed(&mut self, entries: Vec<ReplicaEntry>, revision: Revision) -> Vec<ReplicaEvent> {
        self.take(entries, revision, Lapses::No)
    }

    fn take(
        &mut self,
        entries: Vec<ReplicaEntry>,
        revision: Revision,
        lapses: Lapses,
    ) -> Vec<ReplicaEvent> {
        if revision < self.revision {
            return Vec::new();
        }
        let listed = entries.iter().map(|e| e.id.clone());
        let listed = listed.collect::<HashSet<_>>();
        let missing = self.held.keys().filter(|id| !listed.contains(*id));
        let missing = missing.cloned().collect::<Vec<_>>();
        let mut events = Vec::new();
        for id in missing {
            events.extend(self.vanished(&id, revision, lapses));
        }
        for entry in entries {
            events.extend(self.put(entry));
        }
        self.revision = revision;
        events
    }

    /// Takes the changes up to `revision`.
    pub fn changed(
        &mut self,
        changes: Vec<ReplicaChange>,
        revision: Revision,
        now: Instant,
    ) -> Vec<ReplicaEvent> {
        let lapses = self.lapses(now);
        let mut events = Vec::new();
        for change in changes {
            if change.removed {
                let id = change.entry.id;
                events.extend(self.vanished(&id, change.entry.revision, lapses));
            } else {
                events.extend(self.put(change.entry));
            }
        }
        self.revision = self.revision.max(revision);
        events
    }

    /// The registry did not answer.
    pub fn registry_unavailable(&mut self, now: Instant) {
        self.outage_since.get_or_insert(now);
    }

    /// The registry answers again.
    pub fn registry_available(&mut self, now: Instant) {
        if let Some(since) = self.outage_since.take()
            && now.saturating_duration_since(since) >= SHORTEST_LAPSE
        {
            self.lapse_until = Some(now + RENEWAL);
        }
    }

    /// Drops lapsed entries whose time to be renewed is over.
    pub fn expire(&mut self, now: Instant) -> Vec<ReplicaEvent> {
        if self.outage_since.is_some() || self.lapse_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.lapse_until = None;
        let lapsed = self.held.values().filter(|held| held.lapsed);
        let lapsed = lapsed.map(|held| held.entry.id.clone()).collect::<Vec<_>>();
        let revision = self.revision;
        let gone = lapsed.into_iter().map(|id| {
            self.held.remove(&id);
            event(id, ReplicaStatus::Gone, revision)
        });
        gone.collect()
    }

    /// Returns the revision of the last change or listing.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the replicas that take new work.
    pub fn usable(&self) -> impl Iterator<Item = &ReplicaRecord> {
        let records = self.held.values().filter_map(|h| h.entry.record.as_ref());
        records.filter(|record| !record.draining)
    }

    /// Returns one replica, also while it drains.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&ReplicaRecord> {
        self.held.get(id)?.entry.record.as_ref()
    }

    /// Returns whether a replica takes new work.
    #[must_use]
    pub fn takes_work(&self, id: &str) -> bool {
        self.get(id).is_some_and(|record| !record.draining)
    }

    /// Returns all entries that are held, for other gateways.
    #[must_use]
    pub fn entries(&self) -> Vec<ReplicaEntry> {
        self.held.values().map(|held| held.entry.clone()).collect()
    }

    fn lapses(&self, now: Instant) -> Lapses {
        let renewing = self.lapse_until.is_some_and(|until| now < until);
        if self.outage_since.is_some() || renewing {
            Lapses::Possible
        } else {
            Lapses::No
        }
    }

    fn put(&mut self, entry: ReplicaEntry) -> Option<ReplicaEvent> {
        let id = entry.id.clone();
        let revision = entry.revision;
        let before = self.held.get(&id);
        if before.is_some_and(|held| held.entry.revision > revision) {
            return None;
        }
        let status = match (
            before.and_then(|held| held.entry.record.as_ref()),
            &entry.record,
        ) {
            (_, None) => ReplicaStatus::Unusable,
            (Some(old), Some(new)) if old.started_unix_ms != new.started_unix_ms => {
                ReplicaStatus::Restarted
            }
            (_, Some(new)) if new.draining => ReplicaStatus::Draining,
            _ => ReplicaStatus::Ready,
        };
        let same = before.is_some_and(|held| held.entry.record == entry.record && !held.lapsed);
        let lapsed = false;
        self.held.insert(id.clone(), Held { entry, lapsed });
        (!same).then(|| event(id, status, revision))
    }

    fn vanished(
        &mut self,
        id: &ReplicaId,
        revision: Revision,
        lapses: Lapses,
    ) -> Option<ReplicaEvent> {
        let held = self.held.get_mut(id)?;
        let may_return = held.entry.record.as_ref().is_some_and(|r| !r.draining);
        if lapses == Lapses::Possible && may_return {
            held.lapsed = true;
            return Some(event(id.clone(), ReplicaStatus::Lapsed, revision));
        }
        self.held.remove(id);
        Some(event(id.clone(), ReplicaStatus::Gone, revision))
    }
}

fn event(id: ReplicaId, status: ReplicaStatus, revision: Revision) -> ReplicaEvent {
    ReplicaEvent {
        id,
        status,
        revision,
    }
}
