//! The replicas that may be used, as the registry lists them.
//!
//! A replica whose entry is removed counts as gone at once, with one exception:
//! entries lapse while the registry itself is unavailable, and a running replica
//! renews its entry soon after the registry is available again. Until then the
//! old entry is used.
//!
//! A replica that leaves also says so in its answers, which may be earlier than the
//! registry. That holds for its process, whatever the registry lists afterwards.
//!
//! The registry may be restored from a copy some seconds old. It then lists
//! processes as ready that have left since, and lacks those that have registered
//! since; they write their entries again.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::ReplicaChange;
use briarhall_types::ReplicaEntry;
use briarhall_types::ReplicaId;
use briarhall_types::ReplicaRecord;
use briarhall_types::StorePosition;

use crate::departures::Departures;
use crate::departures::HeardBy;
use crate::departures::Listed;
use crate::departures::ReplicaProcess;

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

/// How an entry arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// In a list, which may come from a copy of the registry.
    Listed,
    /// As a change, which the replica wrote in this era.
    Written,
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
    /// Position of the registry that reported it.
    pub position: StorePosition,
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
    departures: Departures,
    position: StorePosition,
    /// Position of the first list of its era.
    era_began: StorePosition,
    outage_since: Option<Instant>,
    renewal_until: Option<Instant>,
    /// When another gateway's list was last applied.
    relayed_at: Option<Instant>,
}

impl Replicas {
    /// Applies a complete listing of the registry, unless a later one is known.
    pub fn apply_listing(
        &mut self,
        entries: Vec<ReplicaEntry>,
        position: StorePosition,
        now: Instant,
    ) -> Vec<ReplicaEvent> {
        let lapses = self.lapses(now);
        self.apply(entries, position, lapses, now)
    }

    /// Applies the entries of another gateway, unless they are older. They include
    /// the `lapsed` ones, which that gateway keeps until they are renewed or expire.
    pub fn apply_relayed(
        &mut self,
        entries: Vec<ReplicaEntry>,
        lapsed: &[ReplicaId],
        position: StorePosition,
        now: Instant,
    ) -> Vec<ReplicaEvent> {
        if position < self.position {
            return Vec::new();
        }
        self.relayed_at = Some(now);
        let events = self.apply(entries, position, Lapses::Impossible, now);
        for id in lapsed {
            if let Some(listed) = self.by_id.get_mut(id) {
                listed.lapsed = true;
                self.renewal_until.get_or_insert(now + RENEWAL_TIME);
            }
        }
        events
    }

    fn apply(
        &mut self,
        entries: Vec<ReplicaEntry>,
        position: StorePosition,
        mut lapses: Lapses,
        now: Instant,
    ) -> Vec<ReplicaEvent> {
        if position < self.position {
            return Vec::new();
        }
        let restored = position.era > self.position.era;
        if restored {
            self.era_began = position;
        }
        if restored && !self.by_id.is_empty() {
            // What was written since the copy is written again.
            self.renewal_until = Some(now + RENEWAL_TIME);
            lapses = Lapses::Possible;
        }
        let listed = entries.iter().map(|e| e.id.clone());
        let listed = listed.collect::<HashSet<_>>();
        let missing = self.by_id.keys().filter(|id| !listed.contains(*id));
        let missing = missing.cloned().collect::<Vec<_>>();
        let mut events = Vec::new();
        for id in missing {
            events.extend(self.remove(&id, position, lapses, now));
        }
        for entry in entries {
            events.extend(self.upsert(entry, Delivery::Listed, now));
        }
        self.position = position;
        events
    }

    /// Applies the changes up to `position`, unless they do not follow the list that
    /// is known.
    pub fn apply_changes(
        &mut self,
        changes: Vec<ReplicaChange>,
        position: StorePosition,
        now: Instant,
    ) -> Vec<ReplicaEvent> {
        if position.era != self.position.era {
            return Vec::new();
        }
        let lapses = self.lapses(now);
        let mut events = Vec::new();
        for change in changes {
            if change.removed {
                let id = change.entry.id;
                events.extend(self.remove(&id, change.entry.position, lapses, now));
            } else {
                events.extend(self.upsert(change.entry, Delivery::Written, now));
            }
        }
        self.position = self.position.max(position);
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
        process: &ReplicaProcess,
        heard_by: HeardBy,
    ) -> Option<ReplicaEvent> {
        let record = self.get(&process.id)?;
        if record.started_unix_ms != process.started_unix_ms {
            return None;
        }
        let new = !record.draining && !self.departures.includes(record);
        self.departures.record_said(process, heard_by);
        new.then(|| event(process.id.clone(), ReplicaStatus::Draining, self.position))
    }

    /// Returns what this gateway heard of replicas that leave and that the registry
    /// lists as ready.
    #[must_use]
    pub fn own_leaving(&self) -> Vec<ReplicaProcess> {
        let is_listed_ready = |process: &&ReplicaProcess| {
            let record = self.get(&process.id);
            record.is_some_and(|r| !r.draining && r.started_unix_ms == process.started_unix_ms)
        };
        let own = self.departures.heard_here().filter(is_listed_ready);
        own.take(MAX_LEAVING_REPORTED).cloned().collect()
    }

    fn expire_departures(&mut self, now: Instant) {
        let by_id = &self.by_id;
        let listed = |process: &ReplicaProcess| {
            let listed = by_id.get(&process.id);
            let record = listed.and_then(|listed| listed.entry.record.as_ref());
            match record {
                Some(record) if record.started_unix_ms != process.started_unix_ms => Listed::No,
                Some(record) if record.draining => Listed::Draining,
                Some(_) => Listed::Ready,
                None => Listed::No,
            }
        };
        self.departures.expire(listed, now);
    }

    /// Removes lapsed entries that were not renewed in time.
    pub fn expire(&mut self, now: Instant) -> Vec<ReplicaEvent> {
        self.expire_departures(now);
        // A gateway that reaches the registry has sent its list in the outage.
        let is_relayed = |since: Instant| self.relayed_at.is_some_and(|at| at >= since);
        let registry_silent = self.outage_since.is_some_and(|since| !is_relayed(since));
        if registry_silent || self.renewal_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.renewal_until = None;
        let lapsed = self.by_id.values().filter(|listed| listed.lapsed);
        let lapsed = lapsed
            .map(|listed| listed.entry.id.clone())
            .collect::<Vec<_>>();
        let position = self.position;
        let mut events = Vec::new();
        for id in lapsed {
            events.extend(self.remove(&id, position, Lapses::Impossible, now));
        }
        events
    }

    /// Returns the position of the last change or listing.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Returns the replicas that accept new work.
    pub fn usable(&self) -> impl Iterator<Item = &ReplicaRecord> {
        let records = self
            .by_id
            .values()
            .filter_map(|listed| listed.entry.record.as_ref());
        records.filter(|record| !record.draining && !self.departures.includes(record))
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
            .is_some_and(|record| !record.draining && !self.departures.includes(record))
    }

    /// Returns all entries, for other gateways.
    #[must_use]
    pub fn entries(&self) -> Vec<ReplicaEntry> {
        self.by_id
            .values()
            .map(|listed| listed.entry.clone())
            .collect()
    }

    /// Returns the entries that the registry does not list and that have not expired.
    #[must_use]
    pub fn lapsed(&self) -> Vec<ReplicaId> {
        let lapsed = self.by_id.iter().filter(|(_, listed)| listed.lapsed);
        lapsed.map(|(id, _)| id.clone()).collect()
    }

    fn lapses(&self, now: Instant) -> Lapses {
        let renewing = self.renewal_until.is_some_and(|until| now < until);
        if self.outage_since.is_some() || renewing {
            Lapses::Possible
        } else {
            Lapses::Impossible
        }
    }

    fn upsert(
        &mut self,
        entry: ReplicaEntry,
        delivery: Delivery,
        now: Instant,
    ) -> Option<ReplicaEvent> {
        let id = entry.id.clone();
        let position = entry.position;
        let newer = |listed: &ListedReplica| listed.entry.position > position;
        if self.by_id.get(&id).is_some_and(newer) {
            return None;
        }
        let left = match &entry.record {
            Some(record) => {
                self.update_departures(record, position, delivery, now);
                self.departures.includes(record)
            }
            None => false,
        };
        if let Some(old) = self.process_before(&entry) {
            if self.is_older_process(&entry, left) && self.takes_work(&id) {
                // A copy of before lists the process that this one has followed.
                let listed = self.by_id.get_mut(&id)?;
                listed.lapsed = true;
                return Some(event(id, ReplicaStatus::Lapsed, position));
            }
            self.departures.record_registered(&old, position, now);
        }
        let before = self.by_id.get(&id);
        let status = match (
            before.and_then(|listed| listed.entry.record.as_ref()),
            &entry.record,
        ) {
            (_, None) => ReplicaStatus::Unusable,
            (Some(old), Some(new)) if old.started_unix_ms != new.started_unix_ms => {
                ReplicaStatus::Restarted
            }
            (_, Some(new)) if new.draining || left => ReplicaStatus::Draining,
            _ => ReplicaStatus::Ready,
        };
        let same =
            before.is_some_and(|listed| listed.entry.record == entry.record && !listed.lapsed);
        let lapsed = false;
        self.by_id
            .insert(id.clone(), ListedReplica { entry, lapsed });
        (!same).then(|| event(id, status, position))
    }

    /// Applies what the registry lists of a process to what is known of departures.
    fn update_departures(
        &mut self,
        record: &ReplicaRecord,
        position: StorePosition,
        delivery: Delivery,
        now: Instant,
    ) {
        let process = ReplicaProcess::from(record);
        if record.draining {
            self.departures.record_registered(&process, position, now);
            return;
        }
        let era_began = self.era_began;
        self.departures.clear_registered(&process, |left_at| {
            // The first list of an era may come from a copy of before.
            let written_in_era = delivery == Delivery::Written || position > era_began;
            position > left_at && (position.era == left_at.era || written_in_era)
        });
    }

    /// Returns the process that is known under the id of this entry, if the entry has
    /// another one.
    fn process_before(&self, entry: &ReplicaEntry) -> Option<ReplicaProcess> {
        let old = ReplicaProcess::from(self.get(&entry.id)?);
        let new = ReplicaProcess::from(entry.record.as_ref()?);
        (old != new).then_some(old)
    }

    /// Returns whether an entry of a later era than the known one lists a process that
    /// started before the known one, or one as ready that has `left`.
    fn is_older_process(&self, entry: &ReplicaEntry, left: bool) -> bool {
        let (Some(known), Some(record)) = (self.by_id.get(&entry.id), &entry.record) else {
            return false;
        };
        let started = |entry: &ReplicaEntry| entry.record.as_ref()?.started_unix_ms;
        let started_before = match (started(entry), started(&known.entry)) {
            (Some(new), Some(old)) => new < old,
            _ => false,
        };
        let had_left = left && !record.draining;
        entry.position.era > known.entry.position.era && (had_left || started_before)
    }

    fn remove(
        &mut self,
        id: &ReplicaId,
        position: StorePosition,
        lapses: Lapses,
        now: Instant,
    ) -> Option<ReplicaEvent> {
        let listed = self.by_id.get_mut(id)?;
        let may_return = listed.entry.record.as_ref().is_some_and(|r| !r.draining);
        if lapses == Lapses::Possible && may_return {
            listed.lapsed = true;
            return Some(event(id.clone(), ReplicaStatus::Lapsed, position));
        }
        let removed = self.by_id.remove(id)?;
        if let Some(record) = &removed.entry.record {
            let process = ReplicaProcess::from(record);
            self.departures.record_registered(&process, position, now);
        }
        Some(event(id.clone(), ReplicaStatus::Gone, position))
    }
}

fn event(id: ReplicaId, status: ReplicaStatus, position: StorePosition) -> ReplicaEvent {
    ReplicaEvent {
        id,
        status,
        position,
    }
}
