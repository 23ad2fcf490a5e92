//! The known replicas under registry outages, restarts and unreadable entries,
//! compared with a simple model of which may be used.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::departures::HeardBy;
use briarhall_policy::departures::KEPT_FOR;
use briarhall_policy::departures::ReplicaProcess;
use briarhall_policy::replicas::MIN_LAPSE_OUTAGE;
use briarhall_policy::replicas::RENEWAL_TIME;
use briarhall_policy::replicas::ReplicaStatus;
use briarhall_policy::replicas::Replicas;
use briarhall_types::ReplicaChange;
use briarhall_types::ReplicaEntry;
use briarhall_types::ReplicaId;
use briarhall_types::ReplicaRecord;
use briarhall_types::StorePosition;
use compact_str::format_compact;

const IDS: u8 = 3;
const STEP: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A replica writes its entry.
    Write {
        id: u8,
        draining: bool,
        readable: bool,
        restarted: bool,
    },
    /// It says in an answer that it leaves, to this gateway or to another one.
    SayLeaving { id: u8, to_peer: bool },
    /// Its entry is removed.
    Remove { id: u8 },
    /// The watch delivers the changes that are outstanding.
    Deliver,
    /// The gateway lists all entries again, as after an outage.
    List,
    /// The registry is unavailable; entries may lapse in a long outage.
    Outage { lapse: bool, long: bool },
    /// Time passes, in units of [`STEP`].
    Advance { steps: u8 },
    /// As much time passes as processes are remembered, or a little less.
    AdvanceLong { less: bool },
}

/// The state of the registry and the gateway's view of it.
struct Simulation {
    now: Instant,
    revision: u64,
    stored: BTreeMap<ReplicaId, ReplicaEntry>,
    undelivered: Vec<ReplicaChange>,
    replicas: Replicas,
    /// Entries that lapsed in the last outage, and when it ended.
    lapsed: BTreeMap<ReplicaId, Instant>,
    /// Starts of the processes.
    started: BTreeMap<ReplicaId, u64>,
    /// Processes that said that they leave, and since when the gateway has not listed
    /// them.
    said_leaving: BTreeMap<(ReplicaId, u64), Option<Instant>>,
}

/// Returns a position in the first era.
fn at(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

fn name(id: u8) -> ReplicaId {
    format_compact!("i-{}", id % IDS)
}

fn record(id: &ReplicaId, draining: bool) -> ReplicaRecord {
    ReplicaRecord {
        id: id.clone(),
        service: "llm".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8_080)),
        zone: "a".into(),
        slots: 16,
        draining,
        warm_up_remaining: Duration::ZERO,
        started_unix_ms: Some(1),
    }
}

impl Simulation {
    fn new() -> Self {
        Self {
            now: Instant::now() + Duration::from_hours(1),
            revision: 1,
            stored: BTreeMap::new(),
            undelivered: Vec::new(),
            replicas: Replicas::default(),
            lapsed: BTreeMap::new(),
            started: BTreeMap::new(),
            said_leaving: BTreeMap::new(),
        }
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Write {
                id,
                draining,
                readable,
                restarted,
            } => {
                let id = name(id);
                self.revision += 1;
                let started = self.started.entry(id.clone()).or_insert(1);
                *started += u64::from(restarted);
                let record = ReplicaRecord {
                    started_unix_ms: Some(*started),
                    ..record(&id, draining)
                };
                let entry = ReplicaEntry {
                    record: readable.then_some(record),
                    position: at(self.revision),
                    id: id.clone(),
                };
                self.stored.insert(id, entry.clone());
                let removed = false;
                self.undelivered.push(ReplicaChange { entry, removed });
            }
            Op::SayLeaving { id, to_peer } => self.say_leaving(&name(id), to_peer),
            Op::Remove { id } => {
                let id = name(id);
                if let Some(mut entry) = self.stored.remove(&id) {
                    self.revision += 1;
                    entry.position = at(self.revision);
                    let removed = true;
                    self.undelivered.push(ReplicaChange { entry, removed });
                }
            }
            Op::Deliver => {
                self.replicas.registry_available(self.now);
                let changes = std::mem::take(&mut self.undelivered);
                self.replicas
                    .apply_changes(changes, at(self.revision), self.now);
            }
            Op::List => self.list(),
            Op::Outage { lapse, long } => self.outage(lapse, long),
            Op::Advance { steps } => {
                self.advance(STEP * u32::from(steps % 40));
            }
            Op::AdvanceLong { less } => {
                let less = if less { STEP } else { Duration::ZERO };
                self.advance(
                    KEPT_FOR
                        .checked_sub(less)
                        .expect("it is longer than a step"),
                );
            }
        }
        self.check();
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.forget_processes();
        self.replicas.expire(self.now);
    }

    /// Forgets the processes that the gateway has not listed for long enough.
    fn forget_processes(&mut self) {
        let (now, replicas) = (self.now, &self.replicas);
        self.said_leaving.retain(|(id, started), unlisted_since| {
            let record = replicas.get(id);
            if record.is_some_and(|r| r.started_unix_ms == Some(*started)) {
                *unlisted_since = Some(now);
            }
            let since = *unlisted_since.get_or_insert(now);
            now.saturating_duration_since(since) < KEPT_FOR
        });
    }

    /// The process that the gateway knows answers that it leaves.
    fn say_leaving(&mut self, id: &ReplicaId, to_peer: bool) {
        let Some(record) = self.replicas.get(id) else {
            return;
        };
        let started_unix_ms = record.started_unix_ms;
        let heard_by = if to_peer {
            HeardBy::Peer
        } else {
            HeardBy::ThisGateway
        };
        let replica = ReplicaProcess {
            id: id.clone(),
            started_unix_ms,
        };
        self.replicas.record_leaving(&replica, heard_by);
        let started = started_unix_ms.expect("every process has a start");
        self.said_leaving.insert((id.clone(), started), None);
    }

    /// Returns whether a process must get no work, as it said that it leaves.
    fn leaves(&self, record: &ReplicaRecord) -> bool {
        let started = record.started_unix_ms.expect("every process has a start");
        self.said_leaving
            .contains_key(&(record.id.clone(), started))
    }

    /// Returns the replica as the registry lists it, if it is ready there.
    fn listed_ready(&self, id: &ReplicaId) -> Option<&ReplicaRecord> {
        let record = self.stored.get(id)?.record.as_ref()?;
        (!record.draining).then_some(record)
    }

    fn list(&mut self) {
        self.undelivered.clear();
        self.replicas.registry_available(self.now);
        let entries = self.stored.values().cloned().collect();
        self.replicas
            .apply_listing(entries, at(self.revision), self.now);
    }

    fn outage(&mut self, lapse: bool, long: bool) {
        // The gateway knows all earlier writes before the outage begins.
        self.list();
        self.replicas.registry_unavailable(self.now);
        if long {
            self.now += MIN_LAPSE_OUTAGE;
        }
        if lapse && long {
            self.revision += 1;
            let usable = self.replicas.usable().map(|r| r.id.clone());
            for id in usable.collect::<Vec<_>>() {
                self.stored.remove(&id);
                self.lapsed.insert(id, self.now);
            }
        }
        self.list();
    }

    fn check(&mut self) {
        let now = self.now;
        let stored = &self.stored;
        self.lapsed.retain(|id, ended| {
            now.saturating_duration_since(*ended) < RENEWAL_TIME && !stored.contains_key(id)
        });
        for replica in self.replicas.usable() {
            assert!(
                !replica.draining,
                "a draining replica is used: {}",
                replica.id
            );
            assert!(
                !self.leaves(replica),
                "{} said that it leaves and is used",
                replica.id
            );
        }
        if !self.undelivered.is_empty() {
            return;
        }
        for id in (0..IDS).map(name) {
            let used = self.replicas.takes_work(&id);
            if let Some(listed) = self.listed_ready(&id) {
                assert_eq!(used, !self.leaves(listed), "{id} is listed as ready");
            } else if self.lapsed.contains_key(&id) {
                let known = self.replicas.get(&id);
                let known = known.expect("it is kept for its renewal time");
                assert_eq!(used, !self.leaves(known), "{id} lapsed in an outage");
            }
        }
    }
}

#[test]
fn only_running_replicas_are_used() {
    briarhall_fuzz::histories::<Op, _>(1..40, |ops| {
        let mut simulation = Simulation::new();
        for op in ops {
            simulation.step(*op);
        }
        // Finally, every entry that lapsed and was not renewed is gone.
        simulation.step(Op::List);
        simulation.step(Op::Advance { steps: 39 });
        for id in (0..IDS).map(name) {
            let listed = simulation.listed_ready(&id);
            let usable = listed.is_some_and(|record| !simulation.leaves(record));
            let used = simulation.replicas.takes_work(&id);
            assert_eq!(used, usable, "{id} at the end");
        }
    });
}

fn entry(id: &str, revision: u64, draining: bool, started: u64) -> ReplicaEntry {
    let id = ReplicaId::from(id);
    let mut record = record(&id, draining);
    record.started_unix_ms = Some(started);
    ReplicaEntry {
        record: Some(record),
        id,
        position: at(revision),
    }
}

#[test]
fn a_restart_under_the_same_id_is_reported() {
    let now = Instant::now();
    let mut replicas = Replicas::default();
    replicas.apply_listing(vec![entry("i-1", 5, false, 100)], at(5), now);
    let events = replicas.apply_listing(vec![entry("i-1", 9, false, 200)], at(9), now);
    assert_eq!(events[0].status, ReplicaStatus::Restarted);
    assert!(replicas.takes_work("i-1"));
}

#[test]
fn an_older_entry_does_not_undo_a_later_one() {
    let now = Instant::now();
    let mut replicas = Replicas::default();
    replicas.apply_listing(vec![entry("i-1", 9, true, 100)], at(9), now);
    let events = replicas.apply_relayed(vec![entry("i-1", 5, false, 100)], &[], at(5), now);
    assert!(events.is_empty());
    assert!(!replicas.takes_work("i-1"));
}

#[test]
fn a_replica_that_a_peer_reports_gone_is_gone_during_an_outage() {
    let now = Instant::now();
    let mut replicas = Replicas::default();
    replicas.apply_listing(vec![entry("i-1", 5, false, 100)], at(5), now);
    replicas.registry_unavailable(now);
    replicas.apply_relayed(Vec::new(), &[], at(8), now);
    assert!(!replicas.takes_work("i-1"));
}

fn leaving(id: &str, started: u64) -> ReplicaProcess {
    ReplicaProcess {
        id: id.into(),
        started_unix_ms: Some(started),
    }
}

/// Guards against requests to a replica that leaves, because the store is away and
/// its entry still says that it is ready.
#[test]
fn a_replica_that_says_it_leaves_gets_no_work_while_its_entry_is_ready() {
    let now = Instant::now();
    let mut replicas = Replicas::default();
    replicas.apply_listing(vec![entry("i-1", 5, false, 100)], at(5), now);
    replicas.registry_unavailable(now);
    let said = replicas.record_leaving(&leaving("i-1", 100), HeardBy::ThisGateway);
    assert_eq!(
        said.map(|event| event.status),
        Some(ReplicaStatus::Draining)
    );
    assert!(!replicas.takes_work("i-1"));
    let again = replicas.record_leaving(&leaving("i-1", 100), HeardBy::ThisGateway);
    assert_eq!(again, None, "it is logged once");
    // The registry lists it as ready, also after it was away.
    replicas.registry_available(now);
    replicas.apply_listing(Vec::new(), at(6), now);
    replicas.apply_listing(vec![entry("i-1", 7, false, 100)], at(7), now);
    assert!(!replicas.takes_work("i-1"));
}

/// Guards against a replica that restarted and is never used again.
#[test]
fn a_new_start_of_a_replica_that_left_takes_work() {
    let now = Instant::now();
    let mut replicas = Replicas::default();
    replicas.apply_listing(vec![entry("i-1", 5, false, 100)], at(5), now);
    replicas.record_leaving(&leaving("i-1", 100), HeardBy::ThisGateway);
    replicas.apply_listing(vec![entry("i-1", 9, false, 200)], at(9), now);
    assert!(replicas.takes_work("i-1"));
    // A late report of the old process.
    let late = replicas.record_leaving(&leaving("i-1", 100), HeardBy::Peer);
    assert_eq!(late, None);
    assert!(replicas.takes_work("i-1"));
}

/// Guards against reports that gateways keep alive by repeating each other's.
#[test]
fn only_what_this_gateway_heard_is_reported() {
    let now = Instant::now();
    let mut replicas = Replicas::default();
    let entries = ["i-1", "i-2"].map(|id| entry(id, 5, false, 100));
    replicas.apply_listing(entries.to_vec(), at(5), now);
    replicas.record_leaving(&leaving("i-1", 100), HeardBy::ThisGateway);
    replicas.record_leaving(&leaving("i-1", 100), HeardBy::Peer);
    replicas.record_leaving(&leaving("i-2", 100), HeardBy::Peer);
    assert!(!replicas.takes_work("i-2"));
    assert_eq!(replicas.own_leaving(), [leaving("i-1", 100)]);
    replicas.apply_listing(vec![entry("i-1", 9, true, 100)], at(9), now);
    assert!(replicas.own_leaving().is_empty(), "the registry says it");
}

/// Guards against a gateway that cannot reach the registry and keeps a replica for
/// ever that the others have dropped.
#[test]
fn an_entry_that_lapsed_at_a_peer_expires_here_too() {
    let now = Instant::now();
    let mut replicas = Replicas::default();
    let entries = vec![entry("i-1", 5, false, 100)];
    replicas.apply_listing(entries.clone(), at(5), now);
    replicas.registry_unavailable(now);
    replicas.apply_relayed(entries, &["i-1".into()], at(8), now);
    assert!(replicas.takes_work("i-1"), "it may be renewed");
    assert!(replicas.expire(now + RENEWAL_TIME / 2).is_empty());
    replicas.expire(now + RENEWAL_TIME);
    assert!(!replicas.takes_work("i-1"));
}

/// Guards against a gateway that begins to read the registry in an outage, takes it for
/// too short for entries to lapse, and drops running replicas.
#[test]
fn an_outage_counts_from_the_last_answer_that_a_peer_had() {
    let now = Instant::now();
    let mut replicas = Replicas::default();
    let entries = vec![entry("i-1", 5, false, 100)];
    replicas.apply_relayed(entries, &[], at(5), now);
    // Its own first call fails later; the last answer of a peer was before.
    replicas.registry_unavailable(now);
    replicas.registry_unavailable(now + MIN_LAPSE_OUTAGE / 2);
    let back = now + MIN_LAPSE_OUTAGE;
    replicas.registry_available(back);
    replicas.apply_listing(Vec::new(), at(8), back);
    assert!(replicas.takes_work("i-1"), "it may be renewed");
    replicas.expire(back + RENEWAL_TIME);
    assert!(!replicas.takes_work("i-1"));
}

/// Guards against a gateway that the registry turned away before it stood by: an entry
/// that a peer reports as lapsed much later must expire, and one that is removed must go
/// at once.
#[test]
fn a_gateway_that_stands_by_again_keeps_no_outage() {
    let now = Instant::now();
    let mut replicas = Replicas::default();
    let entries = ["i-1", "i-2"].map(|id| entry(id, 5, false, 100)).to_vec();
    replicas.apply_listing(entries.clone(), at(5), now);
    replicas.registry_unavailable(now);
    replicas.registry_available(now + MIN_LAPSE_OUTAGE * 4);
    let later = now + MIN_LAPSE_OUTAGE * 8;
    replicas.expire(later);
    replicas.apply_relayed(entries, &["i-1".into()], at(8), later);
    assert!(replicas.takes_work("i-1"), "it may be renewed");
    replicas.expire(later + RENEWAL_TIME);
    assert!(!replicas.takes_work("i-1"));
    replicas.apply_listing(Vec::new(), at(9), later + RENEWAL_TIME);
    assert!(!replicas.takes_work("i-2"), "no outage is known");
}

/// Guards against a process that said that it leaves and gets work as soon as it is
/// listed again, or never again.
#[test]
fn a_process_that_leaves_is_remembered_for_a_time_after_its_entry_went() {
    let now = Instant::now();
    let mut replicas = Replicas::default();
    let entries = ["i-1", "i-2"].map(|id| entry(id, 5, false, 100));
    replicas.apply_listing(entries.to_vec(), at(5), now);
    for id in ["i-1", "i-2"] {
        replicas.record_leaving(&leaving(id, 100), HeardBy::ThisGateway);
    }
    replicas.apply_listing(Vec::new(), at(6), now);
    replicas.expire(now);
    let just_before = now
        + KEPT_FOR
            .checked_sub(STEP)
            .expect("it is longer than a step");
    replicas.expire(just_before);
    replicas.apply_listing(vec![entry("i-1", 7, false, 100)], at(7), just_before);
    assert!(!replicas.takes_work("i-1"));
    replicas.expire(now + KEPT_FOR);
    let both = vec![entry("i-1", 7, false, 100), entry("i-2", 8, false, 100)];
    replicas.apply_listing(both, at(8), now + KEPT_FOR);
    assert!(!replicas.takes_work("i-1"), "it was listed meanwhile");
    assert!(replicas.takes_work("i-2"), "it was not");
}

/// Guards against a process that says again that it leaves, and is forgotten as if it
/// had not (seed 23147 of the histories).
#[test]
fn a_process_that_says_again_that_it_leaves_is_remembered_from_then() {
    let now = Instant::now();
    let mut replicas = Replicas::default();
    replicas.apply_listing(vec![entry("i-1", 5, false, 100)], at(5), now);
    replicas.record_leaving(&leaving("i-1", 100), HeardBy::ThisGateway);
    replicas.expire(now);
    replicas.record_leaving(&leaving("i-1", 100), HeardBy::ThisGateway);
    replicas.apply_listing(Vec::new(), at(6), now);
    replicas.expire(now + KEPT_FOR);
    replicas.apply_listing(vec![entry("i-1", 7, false, 100)], at(7), now + KEPT_FOR);
    assert!(!replicas.takes_work("i-1"));
}
