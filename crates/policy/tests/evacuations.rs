//! Evacuated zones of several gateways, compared with the store that they follow, and
//! single cases of restores, reports and limits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::evacuations::EvacuationChange;
use briarhall_policy::evacuations::EvacuationReport;
use briarhall_policy::evacuations::Evacuations;
use briarhall_policy::evacuations::MAX_REPORTED;
use briarhall_policy::evacuations::MAX_REPORTED_BYTES;
use briarhall_policy::evacuations::RETENTION;
use briarhall_policy::evacuations::RetainedZone;
use briarhall_types::StorePosition;
use briarhall_types::ZoneName;
use compact_str::format_compact;

const ZONES: u8 = 3;
const GATEWAYS: u8 = 3;
const STEP: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// The operator writes the object of a zone.
    Write { zone: u8 },
    /// The operator removes it.
    Remove { zone: u8 },
    /// The store is restored as it was some revisions ago.
    Restore { lost: u8 },
    /// A gateway reads a list, which may be an older one.
    Read { gateway: u8, age: u8 },
    /// A gateway's watch delivers the changes since a revision some changes ago, up to
    /// one that may be an older one as well.
    Watch { gateway: u8, overlap: u8, age: u8 },
    /// A gateway hears what another one reports now.
    Hear { gateway: u8, from: u8 },
    /// A gateway restarts.
    Restart { gateway: u8 },
    /// Time passes, in units of 100 ms.
    Advance { steps: u8 },
}

fn name(zone: u8) -> ZoneName {
    format_compact!("zone-{}", zone % ZONES)
}

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

/// The store, with all lists that it ever had.
#[derive(Debug)]
struct Store {
    position: StorePosition,
    lists: BTreeMap<StorePosition, BTreeSet<ZoneName>>,
    changes: BTreeMap<StorePosition, (ZoneName, bool)>,
}

impl Store {
    fn new() -> Self {
        let position = at(0, 1);
        Self {
            position,
            lists: BTreeMap::from([(position, BTreeSet::new())]),
            changes: BTreeMap::new(),
        }
    }

    fn change(&mut self, zone: ZoneName, removed: bool) {
        let mut list = self.lists[&self.position].clone();
        let is_change = if removed {
            list.remove(&zone)
        } else {
            list.insert(zone.clone());
            true
        };
        if is_change {
            self.position.revision += 1;
            self.lists.insert(self.position, list);
            self.changes.insert(self.position, (zone, removed));
        }
    }

    fn restore(&mut self, lost: u64) {
        let era = self.position.era;
        let first = self.first(era).revision;
        let revision = self.position.revision.saturating_sub(lost).max(first);
        let copy = self.lists[&at(era, revision)].clone();
        self.position = at(era + 1, revision);
        self.lists.insert(self.position, copy);
    }

    /// Returns the first position of an era.
    fn first(&self, era: u64) -> StorePosition {
        let mut positions = self.lists.range(at(era, 0)..);
        *positions.next().expect("an era has a list").0
    }
}

/// What a gateway must know: the latest position that it was told of.
#[derive(Debug)]
struct Told {
    list: Evacuations,
    position: Option<StorePosition>,
    /// When it was first told of the era that it is in, and what was in force before.
    era_began: Option<(Instant, BTreeSet<ZoneName>)>,
}

impl Told {
    fn new() -> Self {
        Self {
            list: Evacuations::new(true),
            position: None,
            era_began: None,
        }
    }

    fn in_force(&self) -> BTreeSet<ZoneName> {
        let zones = (0..ZONES).map(name);
        zones.filter(|zone| self.list.is_evacuated(zone)).collect()
    }

    fn tell(&mut self, position: StorePosition, before: BTreeSet<ZoneName>, now: Instant) {
        if self.position.is_none_or(|known| position.era > known.era) {
            self.era_began = Some((now, before));
        }
        self.position = self.position.max(Some(position));
    }
}

/// Guards against an older copy that ends an evacuation or begins one anew, against one
/// that a restore of the store ends early, and against one that is retained for ever.
#[test]
fn a_gateway_knows_the_latest_list_that_it_was_told_and_keeps_what_a_restore_lost() {
    briarhall_fuzz::histories::<Op, _>(1..60, |ops| {
        let mut now = Instant::now();
        let mut store = Store::new();
        let mut gateways = (0..GATEWAYS).map(|_| Told::new()).collect::<Vec<_>>();
        // Zones that were ever written: only these may be in force.
        let mut written = BTreeSet::new();
        for op in ops {
            let index = |gateway: u8| usize::from(gateway % GATEWAYS);
            match *op {
                Op::Write { zone } => {
                    written.insert(name(zone));
                    store.change(name(zone), false);
                }
                Op::Remove { zone } => store.change(name(zone), true),
                Op::Restore { lost } => store.restore(u64::from(lost % 4)),
                Op::Read { gateway, age } => {
                    let told = &mut gateways[index(gateway)];
                    let (position, list) = store
                        .lists
                        .iter()
                        .rev()
                        .nth(usize::from(age % 4))
                        .unwrap_or((&store.position, &store.lists[&store.position]));
                    let before = told.in_force();
                    told.list
                        .apply_listing(list.iter().cloned(), *position, now);
                    told.tell(*position, before, now);
                }
                Op::Watch {
                    gateway,
                    overlap,
                    age,
                } => {
                    let told = &mut gateways[index(gateway)];
                    let Some(known) = told.position.filter(|p| p.era == store.position.era) else {
                        continue;
                    };
                    let since = at(known.era, known.revision.saturating_sub(overlap.into()));
                    let latest = store.position.revision;
                    let until = at(known.era, latest.saturating_sub(u64::from(age % 4)));
                    let until = until.max(since);
                    let changes = store.changes.range(since..=until);
                    let changes = changes.filter(|(position, _)| **position > since);
                    let changes = changes.map(|(position, (zone, removed))| EvacuationChange {
                        zone: zone.clone(),
                        position: *position,
                        removed: *removed,
                    });
                    told.list
                        .apply_changes(changes.collect::<Vec<_>>(), until, now);
                    told.tell(until, BTreeSet::new(), now);
                }
                Op::Hear { gateway, from } => {
                    let Some(report) = gateways[index(from)].list.report(now) else {
                        continue;
                    };
                    let told = &mut gateways[index(gateway)];
                    let before = told.in_force();
                    told.list.apply_report(&report, now);
                    told.tell(report.position, before, now);
                }
                Op::Restart { gateway } => gateways[index(gateway)] = Told::new(),
                Op::Advance { steps } => now += STEP * u32::from(steps % 64),
            }
            for told in &mut gateways {
                told.list.expire(now);
                check(told, &store, &written, now);
            }
        }
    });
}

fn check(told: &Told, store: &Store, written: &BTreeSet<ZoneName>, now: Instant) {
    assert_eq!(told.list.is_known(), told.position.is_some());
    let in_force = told.in_force();
    let Some(position) = told.position else {
        assert!(in_force.is_empty(), "nothing was told");
        return;
    };
    assert_eq!(told.list.position(), position);
    let listed = &store.lists[&position];
    let report = told.list.report(now).expect("the list is known");
    assert_eq!(&report.zones.into_iter().collect::<BTreeSet<_>>(), listed);
    assert!(in_force.is_superset(listed), "{in_force:?}, {listed:?}");
    assert!(in_force.is_subset(written));
    let (began, before) = told.era_began.as_ref().expect("it was told");
    if now >= *began + RETENTION {
        assert_eq!(&in_force, listed, "retained for too long");
    } else {
        // What was changed since the restore is as the store has it.
        let since = store.first(position.era);
        let changed = store.changes.range(since..=position);
        let changed = changed.map(|(_, (zone, _))| zone).collect::<BTreeSet<_>>();
        let relisted = &store.lists[&since];
        let kept = before.iter().filter(|zone| !changed.contains(zone));
        for zone in kept.filter(|zone| !relisted.contains(*zone)) {
            assert!(in_force.contains(zone), "{zone} was lost by a restore");
        }
    }
    for zone in (0..ZONES).map(name) {
        let both = told.list.ended_at(&zone).is_some() && in_force.contains(&zone);
        assert!(!both, "{zone} is evacuated and has an end");
    }
}

fn known(zones: &[&str], position: StorePosition, now: Instant) -> Evacuations {
    let mut list = Evacuations::new(true);
    list.apply_listing(
        zones.iter().map(|zone| ZoneName::from(*zone)),
        position,
        now,
    );
    list
}

fn change(zone: &str, position: StorePosition, removed: bool) -> EvacuationChange {
    EvacuationChange {
        zone: zone.into(),
        position,
        removed,
    }
}

fn report(zones: &[&str], position: StorePosition) -> EvacuationReport {
    EvacuationReport {
        position,
        zones: zones.iter().map(|zone| ZoneName::from(*zone)).collect(),
        retained: Vec::new(),
    }
}

/// Guards against a deployment without the switch that changes its behaviour or its
/// heartbeats, because another gateway has the switch.
#[test]
fn without_the_switch_nothing_is_known_or_reported() {
    let now = Instant::now();
    let mut list = Evacuations::new(false);
    let position = at(1, 5);
    assert!(list.apply_listing(["a".into()], position, now).is_empty());
    assert!(list.apply_report(&report(&["a"], position), now).is_empty());
    let changes = [change("a", at(1, 6), false)];
    assert!(list.apply_changes(changes, at(1, 6), now).is_empty());
    assert!(!list.is_evacuated("a"));
    assert_eq!(list.report(now), None);
    assert!(list.is_known(), "there is nothing to wait for");
}

/// Guards against a zone that counts as just returned while it is evacuated again, and
/// against an end that is taken for the last but one.
#[test]
fn a_zone_that_is_evacuated_again_has_a_new_end() {
    let now = Instant::now();
    let mut list = known(&["a"], at(0, 5), now);
    assert_eq!(list.ended_at("a"), None);
    let first = now + Duration::from_secs(10);
    let events = list.apply_changes([change("a", at(0, 6), true)], at(0, 6), first);
    assert!(matches!(&*events, [event] if event.zone == "a" && !event.began));
    assert_eq!(list.ended_at("a"), Some(first));
    let again = first + Duration::from_secs(2);
    let events = list.apply_changes([change("a", at(0, 7), false)], at(0, 7), again);
    assert!(matches!(&*events, [event] if event.zone == "a" && event.began));
    assert_eq!(list.ended_at("a"), None);
    let second = again + Duration::from_secs(1);
    list.apply_listing([], at(0, 8), second);
    assert_eq!(list.ended_at("a"), Some(second));
    list.expire(second + Duration::from_hours(1));
    assert_eq!(list.ended_at("a"), None, "ends are not remembered for ever");
}

/// Guards against an evacuation that ends at the gateways whose watch returns late, as
/// what it delivers is older than what they have heard.
#[test]
fn a_late_watch_does_not_take_back_what_was_heard() {
    let now = Instant::now();
    let mut list = known(&[], at(0, 5), now);
    list.apply_report(&report(&["a"], at(0, 8)), now);
    let late = [change("a", at(0, 6), false), change("a", at(0, 7), true)];
    let events = list.apply_changes(late, at(0, 7), now);
    assert!(events.is_empty(), "{events:?}");
    assert!(list.is_evacuated("a"));
    assert_eq!(list.position(), at(0, 8));
}

/// Guards against an evacuation that a gateway forgets because it has restarted just
/// before the store lost it.
#[test]
fn a_new_gateway_hears_what_others_retain() {
    let now = Instant::now();
    let mut list = known(&["a", "b"], at(0, 9), now);
    list.apply_listing(["b".into()], at(1, 4), now);
    let heard_at = now + Duration::from_secs(2);
    let mut new = known(&["b"], at(1, 4), heard_at);
    new.apply_report(&list.report(heard_at).expect("it is known"), heard_at);
    assert!(new.is_evacuated("a"));
    let ends = now + RETENTION;
    new.expire(ends + Duration::from_millis(1));
    assert!(!new.is_evacuated("a"), "no longer than at the others");
    let events = new.apply_report(&report_retaining("a", at(1, 4)), ends + STEP);
    assert!(
        events.is_empty(),
        "gateways do not prolong it for each other"
    );
}

fn report_retaining(zone: &str, position: StorePosition) -> EvacuationReport {
    let zone = zone.into();
    EvacuationReport {
        retained: vec![RetainedZone {
            zone,
            left_ms: u32::MAX,
        }],
        ..report(&[], position)
    }
}

/// Guards against a gateway that has read the restored store, and hears only from one
/// that has not yet.
#[test]
fn a_new_gateway_hears_what_others_had_before_a_restore() {
    let now = Instant::now();
    let mut new = known(&[], at(1, 4), now);
    new.apply_report(&report(&["a"], at(0, 9)), now);
    assert!(new.is_evacuated("a"));
    new.expire(now + RETENTION);
    assert!(!new.is_evacuated("a"));
}

/// Guards against an evacuation that an operator ends after a restore, and that is
/// retained all the same.
#[test]
fn a_removal_after_a_restore_is_in_force_at_once() {
    let now = Instant::now();
    let mut list = known(&["a"], at(0, 9), now);
    list.apply_listing(["a".into()], at(1, 4), now);
    list.apply_changes([change("a", at(1, 5), true)], at(1, 5), now + STEP);
    assert!(!list.is_evacuated("a"));
    list.apply_report(&report_retaining("a", at(1, 4)), now + STEP);
    assert!(!list.is_evacuated("a"), "another gateway is behind");
}

/// Guards against a cut list that is taken for a complete one, and against datagrams
/// without room for anything else.
#[test]
fn a_list_that_is_too_long_is_not_reported() {
    let now = Instant::now();
    let names = |count: usize| (0..count).map(|n| format_compact!("zone-{n}"));
    let mut list = known(&[], at(0, 1), now);
    list.apply_listing(names(MAX_REPORTED), at(0, 2), now);
    assert!(list.report(now).is_some());
    list.apply_listing(names(MAX_REPORTED + 1), at(0, 3), now);
    assert_eq!(list.report(now), None);
    assert!(list.is_evacuated("zone-64"), "it holds here");
    list.apply_listing(["z".repeat(MAX_REPORTED_BYTES + 1).into()], at(0, 4), now);
    assert_eq!(list.report(now), None);
    let mut long = report(&[], at(0, 9));
    long.zones = names(MAX_REPORTED + 1).collect();
    assert!(list.apply_report(&long, now).is_empty());
    assert_eq!(list.position(), at(0, 4));
}

/// Tests how long a zone's evacuation is expected to last when it has lasted for some
/// time: callers get it as `Retry-After`.
macro_rules! expected {
    ($($name:ident: $lasted_ms:literal, $longest_ms:literal => $left_ms:expr),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                let began = Instant::now();
                let list = known(&["a"], at(0, 5), began);
                let now = began + Duration::from_millis($lasted_ms);
                let longest = Duration::from_millis($longest_ms);
                let left = list.expected_left("a", longest, now);
                assert_eq!(left, Some(Duration::from_millis($left_ms)));
                assert_eq!(list.expected_left("b", longest, now), None);
            }
        )+
    };
}

expected! {
    one_that_has_just_begun: 0, 5_000 => 1_000,
    one_that_has_lasted_for_seconds: 3_000, 5_000 => 3_000,
    one_that_has_lasted_for_an_hour: 3_600_000, 5_000 => 5_000,
    a_bound_below_the_shortest: 0, 400 => 400,
}

/// Guards against callers that are sent away for longer than a restore retains a zone.
#[test]
fn a_retained_evacuation_has_a_known_end() {
    let began = Instant::now();
    let mut list = known(&["a"], at(0, 5), began);
    let restored = began + Duration::from_mins(1);
    list.apply_listing([], at(1, 4), restored);
    let now = restored + Duration::from_secs(4);
    let left = list.expected_left("a", Duration::from_mins(1), now);
    assert_eq!(left, Some(Duration::from_secs(1)));
}
