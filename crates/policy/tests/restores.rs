//! Several gateways and a registry that is restored from older copies, compared with
//! what each gateway has been told and with the true order of all writes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::departures::KEPT_FOR;
use briarhall_policy::replicas::RENEWAL_TIME;
use briarhall_policy::replicas::ReplicaEvent;
use briarhall_policy::replicas::ReplicaStatus;
use briarhall_policy::replicas::Replicas;
use briarhall_types::ReplicaChange;
use briarhall_types::ReplicaEntry;
use briarhall_types::ReplicaId;
use briarhall_types::ReplicaRecord;
use briarhall_types::StorePosition;
use compact_str::format_compact;

const IDS: u8 = 4;
const GATEWAYS: u8 = 3;
const STEP: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A new process starts under an id and writes that it is ready.
    Start { id: u8 },
    /// A process that runs writes that it is ready, or that it drains.
    Write { id: u8, draining: bool },
    /// An entry is removed: its process has left, or was silent for too long.
    Remove { id: u8 },
    /// The registry is copied.
    Copy,
    /// It is restored from the last copy.
    Restore,
    /// A gateway's watch delivers what has changed; in another era it lists instead.
    Watch { gateway: u8 },
    /// A gateway lists all entries.
    List { gateway: u8 },
    /// A gateway reads what another one knows.
    Relay { from: u8, to: u8 },
    /// Time passes.
    Advance { steps: u8 },
}

/// Number of a write in the true order of all writes.
type WriteNumber = u64;

#[derive(Debug, Clone, Default)]
struct Registry {
    position: StorePosition,
    entries: BTreeMap<ReplicaId, ReplicaEntry>,
    changes: Vec<ReplicaChange>,
}

struct Gateway {
    replicas: Replicas,
    /// Processes that it knows to drain or to be gone, since which write, and when it
    /// learned of that.
    left: BTreeMap<(ReplicaId, u64), (WriteNumber, Instant)>,
}

struct Simulation {
    now: Instant,
    registry: Registry,
    copy: Option<Registry>,
    writes: WriteNumber,
    /// The write that each entry comes from.
    entry_writes: BTreeMap<StorePosition, WriteNumber>,
    /// The last write before each state of the registry.
    writes_until: BTreeMap<StorePosition, WriteNumber>,
    starts: BTreeMap<ReplicaId, u64>,
    gateways: Vec<Gateway>,
}

fn name(id: u8) -> ReplicaId {
    format_compact!("i-{}", id % IDS)
}

fn started(record: &ReplicaRecord) -> u64 {
    record.started_unix_ms.expect("every process has a start")
}

impl Simulation {
    fn new() -> Self {
        let gateway = |_| Gateway {
            replicas: Replicas::default(),
            left: BTreeMap::new(),
        };
        Self {
            now: Instant::now(),
            registry: Registry::default(),
            copy: None,
            writes: 0,
            entry_writes: BTreeMap::new(),
            writes_until: BTreeMap::from([(StorePosition::default(), 0)]),
            starts: BTreeMap::new(),
            gateways: (0..GATEWAYS).map(gateway).collect(),
        }
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Start { id } => {
                *self.starts.entry(name(id)).or_default() += 1;
                self.write(&name(id), false);
            }
            Op::Write { id, draining } => self.write(&name(id), draining),
            Op::Remove { id } => self.remove(&name(id)),
            Op::Copy => self.copy = Some(self.registry.clone()),
            Op::Restore => self.restore(),
            Op::Watch { gateway } => self.watch(usize::from(gateway % GATEWAYS)),
            Op::List { gateway } => self.list(usize::from(gateway % GATEWAYS)),
            Op::Relay { from, to } => {
                self.relay(usize::from(from % GATEWAYS), usize::from(to % GATEWAYS));
            }
            Op::Advance { steps } => self.advance(STEP * u32::from(steps % 30)),
        }
        self.check();
    }

    fn next_position(&mut self) -> StorePosition {
        self.writes += 1;
        self.registry.position.revision += 1;
        let position = self.registry.position;
        self.writes_until.insert(position, self.writes);
        position
    }

    fn write(&mut self, id: &ReplicaId, draining: bool) {
        let Some(start) = self.starts.get(id).copied() else {
            return;
        };
        let position = self.next_position();
        self.entry_writes.insert(position, self.writes);
        let record = ReplicaRecord {
            id: id.clone(),
            service: "llm".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 8_080)),
            zone: "a".into(),
            slots: 16,
            draining,
            warm_up_remaining: Duration::ZERO,
            started_unix_ms: Some(start),
        };
        let entry = ReplicaEntry {
            id: id.clone(),
            position,
            record: Some(record),
        };
        self.registry.entries.insert(id.clone(), entry.clone());
        let removed = false;
        self.registry.changes.push(ReplicaChange { entry, removed });
    }

    fn remove(&mut self, id: &ReplicaId) {
        let Some(mut entry) = self.registry.entries.remove(id) else {
            return;
        };
        entry.position = self.next_position();
        let removed = true;
        self.registry.changes.push(ReplicaChange { entry, removed });
    }

    /// Replaces the registry by the copy. Its entries keep their revisions, in a new
    /// era.
    fn restore(&mut self) {
        let Some(copy) = self.copy.clone() else {
            return;
        };
        let era = self.registry.position.era + 1;
        self.registry = copy;
        let position = &mut self.registry.position;
        position.era = era;
        self.writes_until.insert(*position, self.writes);
        let entries = self.registry.entries.values_mut();
        let changes = self.registry.changes.iter_mut().map(|c| &mut c.entry);
        for entry in entries.chain(changes) {
            let write = self.entry_writes.get(&entry.position).copied();
            entry.position.era = era;
            if let Some(write) = write {
                self.entry_writes.insert(entry.position, write);
            }
        }
    }

    fn watch(&mut self, gateway: usize) {
        let since = self.gateways[gateway].replicas.position();
        if since.era != self.registry.position.era {
            self.list(gateway);
            return;
        }
        let changes = self.registry.changes.iter();
        let changes = changes.filter(|change| change.entry.position > since);
        let changes = changes.cloned().collect::<Vec<_>>();
        let (position, now) = (self.registry.position, self.now);
        let delivered = changes.clone();
        self.apply(gateway, &delivered, |replicas| {
            replicas.apply_changes(changes, position, now)
        });
    }

    fn list(&mut self, gateway: usize) {
        let entries = self.registry.entries.values().cloned().collect::<Vec<_>>();
        let (position, now) = (self.registry.position, self.now);
        self.apply(gateway, &[], |replicas| {
            replicas.apply_listing(entries, position, now)
        });
        let known = self.gateways[gateway].replicas.position();
        assert_eq!(
            known, position,
            "a list of the registry is the latest state"
        );
    }

    fn relay(&mut self, from: usize, to: usize) {
        let sender = &self.gateways[from].replicas;
        let (entries, lapsed) = (sender.entries(), sender.lapsed());
        let (position, now) = (sender.position(), self.now);
        self.apply(to, &[], |replicas| {
            replicas.apply_relayed(entries, &lapsed, position, now)
        });
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        let now = self.now;
        for gateway in 0..self.gateways.len() {
            self.apply(gateway, &[], |replicas| replicas.expire(now));
        }
    }

    /// Applies something at a gateway, and keeps what it was told.
    fn apply<F>(&mut self, gateway: usize, delivered: &[ReplicaChange], apply: F)
    where
        F: FnOnce(&mut Replicas) -> Vec<ReplicaEvent>,
    {
        let replicas = &mut self.gateways[gateway].replicas;
        let before = replicas.position();
        let known = replicas.entries();
        let used = replicas.usable().cloned().collect::<Vec<_>>();
        let events = apply(replicas);
        let after = replicas.position();
        assert!(before <= after, "a gateway goes back");
        if after.era > before.era {
            let listed = replicas.entries();
            for process in used {
                let id = &process.id;
                let entry = listed.iter().find(|entry| entry.id == *id);
                let record = entry.and_then(|entry| entry.record.as_ref());
                let kept = record.is_some_and(|record| started(record) >= started(&process));
                assert!(kept, "{id} has no time to write its entry again");
            }
        }
        for event in events {
            let write = match event.status {
                ReplicaStatus::Draining => self.entry_writes.get(&event.position),
                ReplicaStatus::Gone => self.writes_until.get(&event.position),
                _ => continue,
            };
            let write = write.copied().expect("every position has a write");
            // A process that is gone was known before, or came in the same changes.
            let delivered = delivered.iter().map(|change| &change.entry);
            let mut delivered = delivered.filter(|entry| entry.position == event.position);
            let entries = self.gateways[gateway].replicas.entries();
            let mut all = entries.iter().chain(&known);
            let entry = delivered.find(|entry| entry.id == event.id);
            let entry = entry.or_else(|| all.find(|entry| entry.id == event.id));
            let record = entry.and_then(|entry| entry.record.as_ref());
            let start = started(record.expect("every entry is readable"));
            self.learn_left(gateway, (event.id, start), write);
        }
        // A process that another one has followed under its id has left.
        for entry in self.gateways[gateway].replicas.entries() {
            let write = self.entry_writes[&entry.position];
            let record = entry.record.expect("every entry is readable");
            let before = known.iter().find(|known| known.id == entry.id);
            let before = before.and_then(|known| known.record.as_ref());
            if let Some(before) = before.filter(|known| started(known) != started(&record)) {
                self.learn_left(gateway, (entry.id, started(before)), write);
            }
        }
        // A process that has written since that it is ready has not left.
        let Gateway { replicas, left } = &mut self.gateways[gateway];
        for entry in replicas.entries() {
            let write = self.entry_writes[&entry.position];
            let record = entry.record.expect("every entry is readable");
            let process = (record.id.clone(), started(&record));
            if !record.draining && left.get(&process).is_some_and(|(at, _)| write > *at) {
                left.remove(&process);
            }
        }
    }

    fn learn_left(&mut self, gateway: usize, process: (ReplicaId, u64), write: WriteNumber) {
        let left = &mut self.gateways[gateway].left;
        let known = left.entry(process).or_insert((0, self.now));
        if write >= known.0 {
            *known = (write, self.now);
        }
    }

    fn check(&self) {
        for gateway in &self.gateways {
            for entry in gateway.replicas.entries() {
                let record = entry.record.expect("every entry is readable");
                if !gateway.replicas.takes_work(&entry.id) {
                    continue;
                }
                assert!(!record.draining, "{} drains and is used", entry.id);
                let process = (entry.id.clone(), started(&record));
                let Some((left, at)) = gateway.left.get(&process) else {
                    continue;
                };
                let write = self.entry_writes[&entry.position];
                let forgotten = self.now.saturating_duration_since(*at) >= KEPT_FOR;
                assert!(
                    write > *left || forgotten,
                    "{} left at write {left} and is used by its write {write}",
                    entry.id
                );
            }
        }
    }
}

/// Guards against requests to processes that have left, gateways that go back or stay
/// behind, and running replicas that are dropped, however the news of restores spread.
#[test]
fn restores_bring_back_no_process_that_left_and_lose_none_that_runs() {
    briarhall_fuzz::histories::<Op, _>(1..60, |ops| {
        let mut simulation = Simulation::new();
        for op in ops {
            simulation.step(*op);
        }
        // All gateways read the registry, then the processes write their entries.
        for gateway in 0..GATEWAYS {
            simulation.step(Op::List { gateway });
        }
        let running = simulation.starts.keys().cloned().collect::<Vec<_>>();
        for id in &running {
            simulation.write(id, false);
        }
        for gateway in 0..GATEWAYS {
            simulation.step(Op::Watch { gateway });
        }
        simulation.advance(RENEWAL_TIME);
        simulation.check();
        for gateway in &simulation.gateways {
            let used = gateway.replicas.usable().map(|record| record.id.clone());
            assert_eq!(used.collect::<Vec<_>>(), running);
        }
    });
}
