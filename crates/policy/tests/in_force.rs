//! Configuration changes: routers gossip over a network that delays and drops
//! messages and cuts routers off. An oracle checks that no router admits requests
//! under a contract older than the last one reported as accepted, or older than
//! one under which it admitted requests before.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::config_store::ConfigStore;
use briarhall_policy::config_store::ConfigValue;
use briarhall_policy::config_store::ContractRecord;
use briarhall_policy::config_store::Entry;
use briarhall_policy::config_store::ROSTER;
use briarhall_policy::config_store::Update;
use briarhall_policy::members::FRESH_FOR;
use briarhall_policy::members::Heartbeat;
use briarhall_policy::members::Members;
use briarhall_policy::members::PullAnswer;
use briarhall_policy::members::Roster;
use briarhall_policy::members::SyncState;
use briarhall_types::Contract;
use briarhall_types::Objective;
use compact_str::CompactString;
use compact_str::format_compact;

/// Number of slots in which a router can run.
const SLOTS: usize = 6;
/// Number of slots in which a router runs at the start.
const STARTED: usize = 4;
const CONTRACT: &str = "contract.tidewire";

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A router pulls from the others of a group; their answers are in transit.
    Pull { from: u8, group: u8 },
    /// The messages in transit to a router arrive, with or without the
    /// configuration.
    Deliver { at: u8, updates: bool },
    /// All answers in transit to a router are lost.
    Lose { at: u8 },
    /// An operator changes the contract through a router.
    Change { by: u8 },
    /// A router reads the platform's state as of up to three writes ago.
    Read { by: u8, behind: u8 },
    /// A router requests confirmation from the platform: a write, then a listing
    /// at least as new.
    Confirm { by: u8 },
    /// The listing of the confirmation arrives.
    Confirmed { at: u8 },
    /// A router writes the roster, if it needs a change.
    UpdateRoster { by: u8 },
    /// A process is killed, if one runs, and another starts at its address.
    Restart { slot: u8 },
    /// A router starts draining; it keeps running for the rest of the test.
    Drain { slot: u8 },
    /// Time advances, in units of 50 ms.
    Advance { steps: u8 },
    /// The routers of a group pull from each other and receive the answers; the
    /// other routers are cut off.
    Exchange { group: u8 },
    /// One router of a group reads the platform, then the group exchanges twice.
    ReadAndExchange { group: u8, reader: u8 },
}

struct Router {
    name: CompactString,
    config_store: ConfigStore,
    members: Members,
    counter: u64,
    started: Instant,
    is_running: bool,
    draining: bool,
    /// Heartbeats of pulling routers in transit to this one.
    pushes: Vec<Heartbeat>,
    /// Answers in transit to this router, with the time of their pull.
    answers: Vec<(Instant, PullAnswer, Update)>,
    confirming: Option<(Instant, u64, Update)>,
    /// Changes that this router watches until they are accepted, with the time
    /// since which a quorum has held them.
    watched: Vec<(u64, Option<Instant>)>,
}

struct World {
    now: Instant,
    /// Every write to the platform, by revision.
    writes: BTreeMap<u64, (CompactString, ConfigValue)>,
    routers: Vec<Router>,
    incarnations: u32,
    /// Newest version of the contract that was reported as accepted.
    accepted: u64,
    /// Newest version under which each incarnation has admitted requests.
    admitted: BTreeMap<CompactString, u64>,
}

fn address(slot: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + u16::try_from(slot).unwrap()))
}

/// Group of all slots.
const ALL: u8 = 0b11_1111;

/// Returns the slots of a group, whose bits select them.
fn members_of(group: u8) -> impl Iterator<Item = usize> {
    (0..SLOTS).filter(move |slot| group >> slot & 1 == 1)
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: Instant::now() + Duration::from_hours(1),
            writes: BTreeMap::new(),
            routers: Vec::new(),
            incarnations: 0,
            accepted: 0,
            admitted: BTreeMap::new(),
        };
        for slot in 0..SLOTS {
            let mut router = world.new_router();
            router.is_running = slot < STARTED;
            world.routers.push(router);
        }
        world
    }

    fn new_router(&mut self) -> Router {
        self.incarnations += 1;
        let name = format_compact!("router-{:03}", self.incarnations);
        Router {
            members: Members::new(name.clone()),
            name,
            config_store: ConfigStore::default(),
            counter: 0,
            started: self.now,
            is_running: true,
            draining: false,
            pushes: Vec::new(),
            answers: Vec::new(),
            confirming: None,
            watched: Vec::new(),
        }
    }

    fn apply(&mut self, op: Op) {
        let slot = |n: u8| usize::from(n) % SLOTS;
        match op {
            Op::Pull { from, group } => {
                for to in members_of(group) {
                    self.pull(slot(from), to);
                }
            }
            Op::Deliver { at, updates } => self.deliver(slot(at), updates),
            Op::Lose { at } => self.routers[slot(at)].answers.clear(),
            Op::Change { by } => self.change(slot(by)),
            Op::Read { by, behind } => {
                let revision = self.revision().saturating_sub(u64::from(behind % 4));
                let update = self.listing(revision);
                self.routers[slot(by)].config_store.apply(update);
            }
            Op::Confirm { by } => self.confirm(slot(by)),
            Op::Confirmed { at } => self.confirmed(slot(at)),
            Op::UpdateRoster { by } => self.update_roster(slot(by)),
            Op::Restart { slot: n } => {
                let router = self.new_router();
                self.routers[slot(n)] = router;
            }
            Op::Drain { slot: n } => self.routers[slot(n)].draining = true,
            Op::Advance { steps } => self.now += Duration::from_millis(50) * u32::from(steps % 48),
            Op::Exchange { group } => self.exchange(group),
            Op::ReadAndExchange { group, reader } => {
                let listing = self.listing(self.revision());
                if let Some(reader) = members_of(group).nth(usize::from(reader) % SLOTS) {
                    self.routers[reader].config_store.apply(listing);
                }
                self.exchange(group);
                self.exchange(group);
            }
        }
        for slot in 0..SLOTS {
            if self.routers[slot].is_running {
                self.update_heartbeat(slot);
                self.check_accepted(slot);
                self.admit(slot);
            }
        }
    }

    fn revision(&self) -> u64 {
        self.writes.keys().next_back().copied().unwrap_or(0)
    }

    fn write(&mut self, name: &str, value: ConfigValue) -> u64 {
        let revision = self.revision() + 1;
        self.writes.insert(revision, (name.into(), value));
        revision
    }

    fn version(&self, name: &str) -> u64 {
        let of_name = self.writes.iter().filter(|(_, (n, _))| n == name);
        of_name.map(|(revision, _)| *revision).max().unwrap_or(0)
    }

    /// Returns the full configuration as of a revision.
    fn listing(&self, revision: u64) -> Update {
        let mut entries = BTreeMap::new();
        for (version, (name, value)) in self.writes.range(..=revision) {
            let entry = Entry {
                version: *version,
                value: Some(value.clone()),
            };
            entries.insert(name.clone(), entry);
        }
        Update {
            since: 0,
            up_to: revision,
            entries,
        }
    }

    fn update_heartbeat(&mut self, slot: usize) {
        let now = self.now;
        let own = &mut self.routers[slot];
        own.counter += 1;
        let heartbeat = Heartbeat {
            router: own.name.clone(),
            counter: own.counter,
            held: own.config_store.held(),
            newest: own.config_store.newest(),
            caller_address: address(slot),
            mesh_address: address(slot),
            zone: CompactString::const_new("a"),
            draining: own.draining,
        };
        own.members.set_own_heartbeat(heartbeat, now);
    }

    fn pull(&mut self, from: usize, to: usize) {
        if from == to || !self.routers[from].is_running || !self.routers[to].is_running {
            return;
        }
        self.update_heartbeat(to);
        let heartbeat = self.routers[from]
            .members
            .heartbeat(&self.routers[from].name);
        let heartbeat = heartbeat.cloned();
        let held = self.routers[from].config_store.held();
        let now = self.now;
        let answering = &mut self.routers[to];
        answering.pushes.extend(heartbeat);
        let answer = answering.members.answer(now);
        let update = answering.config_store.update_since(held);
        self.routers[from].answers.push((now, answer, update));
    }

    fn deliver(&mut self, at: usize, updates: bool) {
        let now = self.now;
        let own = &mut self.routers[at];
        for (sent_at, answer, update) in std::mem::take(&mut own.answers) {
            if updates {
                own.config_store.apply(update);
            }
            own.members.apply_pull(answer, sent_at, now);
        }
        for heartbeat in std::mem::take(&mut own.pushes) {
            own.members.apply_push(heartbeat, now);
        }
    }

    fn change(&mut self, by: usize) {
        if !self.routers[by].is_running {
            return;
        }
        let contract = Contract {
            customer: CompactString::const_new("tidewire"),
            key_digests: Vec::new(),
            objective: Objective::FirstToken,
            idempotency_window: Duration::from_mins(10),
            models: Vec::new(),
            services: Vec::new(),
        };
        let record = ContractRecord {
            change: CompactString::const_new("change"),
            operator: CompactString::const_new("alice"),
            contract: Arc::new(contract),
        };
        let version = self.write(CONTRACT, ConfigValue::Contract(record));
        self.routers[by].watched.push((version, None));
    }

    fn confirm(&mut self, by: usize) {
        // The write that requests the confirmation is an object of another kind
        // and not part of the configuration.
        let listing = self.listing(self.revision());
        let revision = self.revision();
        self.routers[by].confirming = Some((self.now, revision, listing));
    }

    fn confirmed(&mut self, at: usize) {
        let own = &mut self.routers[at];
        if let Some((requested_at, revision, update)) = own.confirming.take() {
            own.config_store.apply(update);
            if own.config_store.held() >= revision {
                own.members.record_confirmation(requested_at);
            }
        }
    }

    fn update_roster(&mut self, by: usize) {
        let own = &self.routers[by];
        if !own.is_running {
            return;
        }
        let roster = own.config_store.roster();
        let version = own.config_store.roster_version();
        let change = own.members.roster_change(&roster, own.started, self.now);
        let is_accepted = roster.is_changing() && own.members.quorum_holds(&roster, version);
        let next = change.or_else(|| is_accepted.then(|| Roster::without_previous(&roster)));
        if let Some(next) = next
            && version == self.version(ROSTER)
        {
            self.write(ROSTER, ConfigValue::Roster(Arc::new(next)));
        }
    }

    fn exchange(&mut self, group: u8) {
        for from in members_of(group) {
            for to in members_of(group) {
                self.pull(from, to);
            }
            self.deliver(from, true);
        }
    }

    /// Reports a watched change as accepted when [`FRESH_FOR`] has passed since a
    /// quorum first held it.
    fn check_accepted(&mut self, slot: usize) {
        let now = self.now;
        let own = &mut self.routers[slot];
        let roster = own.config_store.roster();
        for (version, since) in &mut own.watched {
            let holds = own.members.quorum_holds(&roster, *version);
            if holds && since.is_none() {
                *since = Some(now);
            }
            if since.is_some_and(|since| now >= since + FRESH_FOR) {
                self.accepted = self.accepted.max(*version);
            }
        }
    }

    fn admit(&mut self, slot: usize) {
        let own = &self.routers[slot];
        let roster = own.config_store.roster();
        let held = own.config_store.held();
        if own.members.sync_state(&roster, held, self.now) != SyncState::Current {
            return;
        }
        let version = own
            .config_store
            .contract("tidewire")
            .map_or(0, |c| c.version);
        assert!(
            version >= self.accepted,
            "{} admits under version {version} after version {} was accepted",
            own.name,
            self.accepted,
        );
        let previous = self.admitted.entry(own.name.clone()).or_default();
        assert!(
            version >= *previous,
            "{} admits under version {version} after version {previous}",
            own.name,
        );
        *previous = version;
    }
}

/// Returns a world whose started routers are all on the roster.
fn started() -> World {
    let mut world = World::new();
    for _ in 0..4 {
        world.apply(Op::ReadAndExchange {
            group: ALL,
            reader: 0,
        });
        world.apply(Op::Advance { steps: 30 });
        world.apply(Op::UpdateRoster { by: 0 });
    }
    world.apply(Op::ReadAndExchange {
        group: ALL,
        reader: 0,
    });
    assert_eq!(
        world.routers[0].config_store.roster().members.len(),
        STARTED
    );
    world
}

fn check(ops: &[Op]) {
    let mut world = started();
    for op in ops {
        world.apply(*op);
    }
}

macro_rules! never_admits_under_an_older_version {
    ($name:ident, $len:expr) => {
        #[test]
        fn $name() {
            briarhall_fuzz::histories($len, check);
        }
    };
}

never_admits_under_an_older_version!(short_histories, 0..40);
never_admits_under_an_older_version!(long_histories, 100..300);

/// An answer to a pull from before a change can arrive after the change was
/// accepted. Its age must count from the time of the pull, or router 3 would
/// admit requests under the old contract.
#[test]
fn age_of_late_answers_counts_from_the_pull() {
    let mut world = started();
    world.apply(Op::Pull {
        from: 3,
        group: ALL,
    });
    world.apply(Op::Change { by: 0 });
    world.apply(Op::ReadAndExchange {
        group: 0b0111,
        reader: 0,
    });
    world.apply(Op::Advance { steps: 41 });
    world.apply(Op::Exchange { group: 0b0111 });
    assert!(
        world.accepted > 0,
        "the change is accepted without router 3"
    );
    world.apply(Op::Deliver {
        at: 3,
        updates: false,
    });
}

/// A router can learn of a change from a heartbeat before it receives the change.
/// It must not admit requests until it holds the change.
#[test]
fn known_change_that_is_not_held_stops_admission() {
    let mut world = started();
    world.apply(Op::Change { by: 0 });
    world.apply(Op::ReadAndExchange {
        group: 0b0111,
        reader: 0,
    });
    world.apply(Op::Advance { steps: 41 });
    assert!(
        world.accepted > 0,
        "the change is accepted without router 3"
    );
    world.apply(Op::Pull {
        from: 3,
        group: ALL,
    });
    world.apply(Op::Deliver {
        at: 3,
        updates: false,
    });
    let own = &world.routers[3];
    let roster = own.config_store.roster();
    let sync_state = own
        .members
        .sync_state(&roster, own.config_store.held(), world.now);
    assert_eq!(sync_state, SyncState::Behind);
}
