//! The replicas that may be used, as the registry lists them.
//!
//! A replica whose entry is removed counts as gone at once, with one exception:
//! entries lapse while the registry itself is unavailable, and a running replica
//! renews its entry soon after the registry is available again. Until then the
//! old entry is used.
//!
//! A replica that leaves also says so in its answers, which may be earlier than the
//! registry. That holds for its process, whatever the registry lists afterwards.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::ReplicaChange;
use briarhall_types::ReplicaEntry;
use briarhall_types::ReplicaId;
use briarhall_types::ReplicaRecord;
use briarhall_types::Revision;
use serde::Deserialize;
use serde::Serialize;

/// Time for which a replica that said it leaves is remembered after its entry was
/// removed: a registry that returns from an outage may list it once more.
pub const LEAVING_KEPT_FOR: Duration = Duration::from_mins(1);
/// Most replicas that one heartbeat reports as leaving.
const MAX_LEAVING_REPORTED: usize = 64;
/// Time that running replicas need to renew entries that lapsed while the
/// registry was unavailable: the platform promises about two seconds.
pub const RENEWAL_TIME: Duration = Duration::from_secs(2);
/// Shortest outage of the registry in which an entry can lapse. Three missed
/// heartbeats remove an entry; this is two heartbeat intervals of one second and
/// some margin.
pub const MIN_LAPSE_OUTAGE: Duration = Duration::from_millis(2_400);

#[derive(Debug, Clone)]
struct ListedReplica {
    entry: ReplicaEntry,
    /// The registry no longer lists it, but an outage may be the reason.
    lapsed: bool,
}

/// A process of a replica that said in an answer that it leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReplica {
    /// The replica.
    pub id: ReplicaId,
    /// Start of its process in Unix milliseconds, if its entry has one.
    pub started_unix_ms: Option<u64>,
}

/// Who heard a replica say that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeardBy {
    /// This gateway, which reports it to the others.
    ThisGateway,
    /// Another gateway.
    Peer,
}

#[derive(Debug, Clone)]
struct LeavingNotice {
    started_unix_ms: Option<u64>,
    heard_by: HeardBy,
    /// When the registry was first found not to list it.
    unlisted_since: Option<Instant>,
}

/// Whether a missing entry may have lapsed in an outage of the registry while
/// its replica still runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lapses {
    Possible,
    Impossible,
}

/// A change of one replica's status, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaEvent {
    /// The replica.
    pub id: ReplicaId,
    /// Its new status.
    pub status: ReplicaStatus,
    /// Revision of the registry that reported it.
    pub revision: Revision,
}

/// Status of a replica as one gateway knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// It accepts work.
    Ready,
    /// It accepts no new work.
    Draining,
    /// It restarted under the same id.
    Restarted,
    /// It is gone.
    Gone,
    /// Its entry was missing during or after an outage of the registry.
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

/// The replicas that one gateway knows.
#[derive(Debug, Default)]
pub struct Replicas {
    by_id: BTreeMap<ReplicaId, ListedReplica>,
    leaving: BTreeMap<ReplicaId, LeavingNotice>,
    revision: Revision,
    outage_since: Option<Instant>,
    renewal_until: Option<Instant>,
}

impl Replicas {
    /// Applies a complete listing of the registry, unless a later one is known.
    pub fn apply_listing(
        &mut self,
        entries: Vec<ReplicaEntry>,
        revision: Revision,
        now: Instant,
    ) -> Vec<ReplicaEvent> {
        let lapses = self.lapses(now);
        self.apply(entries, revision, lapses)
    }

    /// Applies the entries of another gateway, unless they are older. That
    /// gateway has already kept entries that may only have lapsed.
    pub fn apply_relayed(
        &mut self,
        entries: Vec<ReplicaEntry>,
        revision: Revision,
    ) -> Vec<ReplicaEvent> {
        self.apply(entries, revision, Lapses::Impossible)
    }

    fn apply(
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
        let missing = self.by_id.keys().filter(|id| !listed.contains(*id));
        let missing = missing.cloned().collect::<Vec<_>>();
        let mut events = Vec::new();
        for id in missing {
            events.extend(self.remove(&id, revision, lapses));
        }
        for entry in entries {
            events.extend(self.upsert(entry));
        }
        self.revision = revision;
        events
    }

    /// Applies the changes up to `revision`.
    pub fn apply_changes(
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
                events.extend(self.remove(&id, change.entry.revision, lapses));
            } else {
                events.extend(self.upsert(change.entry));
            }
        }
        self.revision = self.revision.max(revision);
        events
    }

    /// Records that the registry did not answer.
    pub fn registry_unavailable(&mut self, now: Instant) {
        self.outage_since.get_or_insert(now);
    }

    /// Records that the registry answers again.
    pub fn registry_available(&mut self, now: Instant) {
        if let Some(since) = self.outage_since.take()
            && now.saturating_duration_since(since) >= MIN_LAPSE_OUTAGE
        {
            self.renewal_until = Some(now + RENEWAL_TIME);
        }
    }

    /// Records that a process said that it leaves, unless the registry lists another
    /// process under its id or none.
    pub fn record_leaving(
        &mut self,
        replica: &LeavingReplica,
        heard_by: HeardBy,
    ) -> Option<ReplicaEvent> {
        let record = self.get(&replica.id)?;
        if record.started_unix_ms != replica.started_unix_ms {
            return None;
        }
        let new = !record.draining && !self.is_leaving(record);
        let notice = LeavingNotice {
            started_unix_ms: replica.started_unix_ms,
            heard_by,
            unlisted_since: None,
        };
        match self.leaving.get_mut(&replica.id) {
            Some(known) if known.started_unix_ms == replica.started_unix_ms => {
                if heard_by == HeardBy::ThisGateway {
                    known.heard_by = heard_by;
                }
            }
            _ => {
                self.leaving.insert(replica.id.clone(), notice);
            }
        }
        new.then(|| event(replica.id.clone(), ReplicaStatus::Draining, self.revision))
    }

    /// Returns what this gateway heard of replicas that leave and that the registry
    /// lists as ready.
    #[must_use]
    pub fn own_leaving(&self) -> Vec<LeavingReplica> {
        let own = self.usable_if_listed().filter(|record| {
            let notice = self.leaving.get(&record.id);
            notice.is_some_and(|notice| {
                notice.heard_by == HeardBy::ThisGateway
                    && notice.started_unix_ms == record.started_unix_ms
            })
        });
        let own = own.map(|record| LeavingReplica {
            id: record.id.clone(),
            started_unix_ms: record.started_unix_ms,
        });
        own.take(MAX_LEAVING_REPORTED).collect()
    }

    fn is_leaving(&self, record: &ReplicaRecord) -> bool {
        let notice = self.leaving.get(&record.id);
        notice.is_some_and(|notice| notice.started_unix_ms == record.started_unix_ms)
    }

    fn expire_leaving(&mut self, now: Instant) {
        let listed = &self.by_id;
        self.leaving.retain(|id, notice| {
            if listed.contains_key(id) {
                notice.unlisted_since = None;
                return true;
            }
            let since = *notice.unlisted_since.get_or_insert(now);
            now.saturating_duration_since(since) < LEAVING_KEPT_FOR
        });
    }

    /// Removes lapsed entries that were not renewed in time.
    pub fn expire(&mut self, now: Instant) -> Vec<ReplicaEvent> {
        self.expire_leaving(now);
        if self.outage_since.is_some() || self.renewal_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.renewal_until = None;
        let lapsed = self.by_id.values().filter(|listed| listed.lapsed);
        let lapsed = lapsed
            .map(|listed| listed.entry.id.clone())
            .collect::<Vec<_>>();
        let revision = self.revision;
        let gone = lapsed.into_iter().map(|id| {
            self.by_id.remove(&id);
            event(id, ReplicaStatus::Gone, revision)
        });
        gone.collect()
    }

    /// Returns the revision of the last change or listing.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the replicas that accept new work.
    pub fn usable(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.usable_if_listed()
            .filter(|record| !self.is_leaving(record))
    }

    /// Returns the replicas that the registry lists as accepting new work.
    fn usable_if_listed(&self) -> impl Iterator<Item = &ReplicaRecord> {
        let records = self
            .by_id
            .values()
            .filter_map(|listed| listed.entry.record.as_ref());
        records.filter(|record| !record.draining)
    }

    /// Returns one replica, even while it is draining.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&ReplicaRecord> {
        self.by_id.get(id)?.entry.record.as_ref()
    }

    /// Returns the replica that listens on an address.
    #[must_use]
    pub fn at_address(&self, address: SocketAddr) -> Option<&ReplicaRecord> {
        let mut records = self
            .by_id
            .values()
            .filter_map(|listed| listed.entry.record.as_ref());
        records.find(|record| record.address == address)
    }

    /// Returns whether a replica accepts new work.
    #[must_use]
    pub fn takes_work(&self, id: &str) -> bool {
        self.get(id)
            .is_some_and(|record| !record.draining && !self.is_leaving(record))
    }

    /// Returns all entries, for other gateways.
    #[must_use]
    pub fn entries(&self) -> Vec<ReplicaEntry> {
        self.by_id
            .values()
            .map(|listed| listed.entry.clone())
            .collect()
    }

    fn lapses(&self, now: Instant) -> Lapses {
        let renewing = self.renewal_until.is_some_and(|until| now < until);
        if self.outage_since.is_some() || renewing {
            Lapses::Possible
        } else {
            Lapses::Impossible
        }
    }

    fn upsert(&mut self, entry: ReplicaEntry) -> Option<ReplicaEvent> {
        let id = entry.id.clone();
        let revision = entry.revision;
        let before = self.by_id.get(&id);
        if before.is_some_and(|listed| listed.entry.revision > revision) {
            return None;
        }
        let status = match (
            before.and_then(|listed| listed.entry.record.as_ref()),
            &entry.record,
        ) {
            (_, None) => ReplicaStatus::Unusable,
            (Some(old), Some(new)) if old.started_unix_ms != new.started_unix_ms => {
                ReplicaStatus::Restarted
            }
            (_, Some(new)) if new.draining => ReplicaStatus::Draining,
            _ => ReplicaStatus::Ready,
        };
        let same =
            before.is_some_and(|listed| listed.entry.record == entry.record && !listed.lapsed);
        let lapsed = false;
        self.by_id
            .insert(id.clone(), ListedReplica { entry, lapsed });
        (!same).then(|| event(id, status, revision))
    }

    fn remove(
        &mut self,
        id: &ReplicaId,
        revision: Revision,
        lapses: Lapses,
    ) -> Option<ReplicaEvent> {
        let listed = self.by_id.get_mut(id)?;
        let may_return = listed.entry.record.as_ref().is_some_and(|r| !r.draining);
        if lapses == Lapses::Possible && may_return {
            listed.lapsed = true;
            return Some(event(id.clone(), ReplicaStatus::Lapsed, revision));
        }
        self.by_id.remove(id);
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
