//! Availability zones that are evacuated: nothing is sent to their replicas.
//!
//! The list comes from the store, or from another gateway whose copy is newer. It stays
//! in force while the store is away. A store that was restored from a copy may lack an
//! evacuation that it has acknowledged, until the operator writes it again; what was in
//! force before the restore therefore stays in force for a time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::mem;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::StorePosition;
use briarhall_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// Time for which an evacuation stays in force that a restored store lacks. Operators
/// write it again within this time.
pub const RETENTION: Duration = Duration::from_secs(5);
/// Most zones in a report: deployments have a few, and a datagram has room for these
/// beside the other lists.
pub const MAX_REPORTED: usize = 64;
/// Most bytes of names in a report: an eighth of a datagram.
pub const MAX_REPORTED_BYTES: usize = 4 * 1024;
/// Time for which the end of an evacuation is remembered. No replica is cold for longer.
const REMEMBERED: Duration = Duration::from_mins(10);
/// Shortest expected rest of an evacuation: operators end one by hand.
const MIN_EXPECTED_LEFT: Duration = Duration::from_secs(1);

/// A change of the list in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The zone.
    pub zone: ZoneName,
    /// Position of the change.
    pub position: StorePosition,
    /// Whether the object was removed.
    pub removed: bool,
}

/// The list as one gateway reports it to the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// Position up to which the list is complete.
    pub position: StorePosition,
    /// All zones that the store lists.
    pub zones: Vec<ZoneName>,
    /// Zones that the store no longer lists since it was restored from a copy.
    pub retained: Vec<RetainedZone>,
}

/// A zone that stays evacuated for a time after a restore.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedZone {
    /// The zone.
    pub zone: ZoneName,
    /// Milliseconds until it no longer is.
    pub left_ms: u32,
}

/// An evacuation that has begun or ended, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationEvent {
    /// The zone.
    pub zone: ZoneName,
    /// Whether it has begun.
    pub began: bool,
    /// Position of the list that decided.
    pub position: StorePosition,
}

/// The evacuated zones that one gateway knows.
#[derive(Debug, Default)]
pub struct Evacuations {
    enabled: bool,
    known: bool,
    position: StorePosition,
    /// Last position of the era before.
    previous: StorePosition,
    /// Zones that the store lists at `position`.
    listed: BTreeSet<ZoneName>,
    /// Until when zones stay evacuated that were in force before the store was
    /// restored; `None` for those that were written or removed since.
    retained: BTreeMap<ZoneName, Option<Instant>>,
    /// Until when zones may be retained in this era.
    retention_ends: Option<Instant>,
    /// All evacuated zones, and since when.
    in_force: BTreeMap<ZoneName, Instant>,
    /// When evacuations ended.
    ended: BTreeMap<ZoneName, Instant>,
    changes: u64,
}

impl Evacuations {
    /// Creates a list that is not yet known, or one that stays empty if evacuations are
    /// not enabled.
    #[must_use]
    pub fn new(enabled: bool) -> Self {
        Self {
            enabled,
            ..Self::default()
        }
    }

    /// Applies a complete list, unless a later one is known.
    pub fn apply_listing<I>(
        &mut self,
        zones: I,
        position: StorePosition,
        now: Instant,
    ) -> Vec<EvacuationEvent>
    where
        I: IntoIterator<Item = ZoneName>,
    {
        if !self.enabled || (self.known && position < self.position) {
            return Vec::new();
        }
        if !self.known || position.era > self.position.era {
            self.begin_era(now);
        }
        let zones = zones.into_iter().collect::<BTreeSet<_>>();
        let before = mem::replace(&mut self.listed, zones);
        let written = before.union(&self.listed).cloned().collect::<Vec<_>>();
        for zone in written {
            self.settle(zone, now);
        }
        self.known = true;
        self.position = position;
        self.refresh(now)
    }

    /// Applies the changes up to `position`, unless they do not follow the list that is
    /// known. Changes that the list already includes are left out.
    pub fn apply_changes<I>(
        &mut self,
        changes: I,
        position: StorePosition,
        now: Instant,
    ) -> Vec<EvacuationEvent>
    where
        I: IntoIterator<Item = EvacuationChange>,
    {
        if !self.enabled || !self.known || position.era != self.position.era {
            return Vec::new();
        }
        let known_to = self.position;
        let new = changes.into_iter().filter(|c| c.position > known_to);
        for change in new {
            if change.removed {
                self.listed.remove(&change.zone);
            } else {
                self.listed.insert(change.zone.clone());
            }
            self.settle(change.zone, now);
        }
        self.position = self.position.max(position);
        self.refresh(now)
    }

    /// Applies the list that another gateway reports, unless a later one is known.
    pub fn apply_report(
        &mut self,
        report: &EvacuationReport,
        now: Instant,
    ) -> Vec<EvacuationEvent> {
        let names = report.zones.len().max(report.retained.len());
        if !self.enabled || names > MAX_REPORTED {
            return Vec::new();
        }
        let is_newer = !self.known || report.position > self.position;
        let mut events = if is_newer {
            self.apply_listing(report.zones.iter().cloned(), report.position, now)
        } else {
            Vec::new()
        };
        if report.position.era == self.position.era {
            for retained in &report.retained {
                let until = now + Duration::from_millis(retained.left_ms.into());
                self.retain(&retained.zone, until, now);
            }
        } else if report.position > self.previous {
            // The other gateway has not yet seen the restore, and knew more before it.
            for zone in &report.zones {
                self.retain(zone, now + RETENTION, now);
            }
        }
        events.extend(self.refresh(now));
        events
    }

    /// Ends the evacuations that were retained for long enough.
    pub fn expire(&mut self, now: Instant) -> Vec<EvacuationEvent> {
        if !self.retains(now) {
            self.retained.clear();
        }
        self.ended
            .retain(|_, at| now.saturating_duration_since(*at) < REMEMBERED);
        self.refresh(now)
    }

    /// Returns whether nothing may be sent to the replicas of a zone.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.in_force.contains_key(zone)
    }

    /// Returns when the last evacuation of a zone ended as far as this gateway knows,
    /// unless the zone is evacuated now.
    #[must_use]
    pub fn ended_at(&self, zone: &str) -> Option<Instant> {
        self.ended.get(zone).copied()
    }

    /// Returns whether the list was read or heard since the process started. Where
    /// evacuations are not enabled there is nothing to know.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.known || !self.enabled
    }

    /// Returns the position up to which the list is complete.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Returns the number of evacuations that began or ended so far.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns how long the evacuation of a zone is expected to last from now on, at most
    /// `longest`. Nobody knows when an operator ends it; one that has lasted for some time
    /// is expected to last about as long again.
    #[must_use]
    pub fn expected_left(&self, zone: &str, longest: Duration, now: Instant) -> Option<Duration> {
        let since = self.in_force.get(zone)?;
        let left = match self.retained.get(zone) {
            Some(Some(until)) => until.saturating_duration_since(now),
            _ => now.saturating_duration_since(*since).max(MIN_EXPECTED_LEFT),
        };
        Some(left.min(longest))
    }

    /// Returns the list for other gateways, unless it is not known or too long.
    #[must_use]
    pub fn report(&self, now: Instant) -> Option<EvacuationReport> {
        let bytes = self.in_force.keys().map(ZoneName::len).sum::<usize>();
        let fits = self.in_force.len() <= MAX_REPORTED && bytes <= MAX_REPORTED_BYTES;
        if !self.enabled || !self.known || !fits {
            return None;
        }
        let retained = self.retained.iter().filter_map(|(zone, until)| {
            let left = until.as_ref()?.saturating_duration_since(now);
            let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            let zone = zone.clone();
            (left_ms > 0).then_some(RetainedZone { zone, left_ms })
        });
        Some(EvacuationReport {
            position: self.position,
            zones: self.listed.iter().cloned().collect(),
            retained: retained.collect(),
        })
    }

    /// Begins an era: what was in force is retained.
    fn begin_era(&mut self, now: Instant) {
        let until = now + RETENTION;
        self.previous = self.position;
        let in_force = self.zones(now).into_iter();
        self.retained = in_force.map(|zone| (zone, Some(until))).collect();
        self.listed.clear();
        self.retention_ends = Some(until);
    }

    fn retains(&self, now: Instant) -> bool {
        self.retention_ends.is_some_and(|ends| now < ends)
    }

    /// Retains a zone that another gateway had in force, unless this gateway knows better.
    /// The end is never extended, so gateways cannot prolong it for each other.
    fn retain(&mut self, zone: &ZoneName, until: Instant, now: Instant) {
        let Some(ends) = self.retention_ends.filter(|ends| now < *ends) else {
            return;
        };
        if !self.listed.contains(zone) && self.retained.len() < MAX_REPORTED {
            let until = until.min(ends);
            self.retained.entry(zone.clone()).or_insert(Some(until));
        }
    }

    /// Records that a zone was written or removed in this era.
    fn settle(&mut self, zone: ZoneName, now: Instant) {
        if self.retains(now) {
            self.retained.insert(zone, None);
        } else {
            self.retained.remove(&zone);
        }
    }

    /// Returns the zones that the store lists or that are retained.
    fn zones(&self, now: Instant) -> BTreeSet<ZoneName> {
        let retained = self.retained.iter();
        let retained = retained.filter(|(_, until)| until.is_some_and(|until| now < until));
        let zones = self.listed.iter().chain(retained.map(|(zone, _)| zone));
        zones.cloned().collect()
    }

    /// Brings the zones in force up to date, and returns what has begun and ended.
    fn refresh(&mut self, now: Instant) -> Vec<EvacuationEvent> {
        let zones = self.zones(now);
        let over = self.in_force.keys().filter(|zone| !zones.contains(*zone));
        let over = over.cloned().collect::<Vec<_>>();
        let position = self.position;
        let mut events = Vec::new();
        for zone in over {
            self.in_force.remove(&zone);
            self.ended.insert(zone.clone(), now);
            events.push(EvacuationEvent {
                zone,
                began: false,
                position,
            });
        }
        for zone in zones {
            if self.in_force.contains_key(&zone) {
                continue;
            }
            self.in_force.insert(zone.clone(), now);
            self.ended.remove(&zone);
            events.push(EvacuationEvent {
                zone,
                began: true,
                position,
            });
        }
        self.changes += events.len() as u64;
        events
    }
}
