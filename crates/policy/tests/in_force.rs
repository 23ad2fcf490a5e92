//! Configuration in force everywhere and never back: routers that gossip over a
//! network that delays, cuts and freezes, against an oracle that knows which
//! changes were reported accepted.

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

/// Places that a router can run in.
const SLOTS: usize = 6;
/// Places in which one runs at the start.
const STARTED: usize = 4;
const CONTRACT: &str = "contract.tidewire";

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A router asks the others of a group; their answers are on the way.
    Ask { from: u8, group: u8 },
    /// What is on its way to a router arrives, with the configuration or
    /// without.
    Arrive { at: u8, updates: bool },
    /// All answers on their way to a router are lost.
    Lose { at: u8 },
    /// An operator changes the contract through a router.
    Change { by: u8 },
    /// A router reads the platform, `behind` writes late.
    Read { by: u8, behind: u8 },
    /// A router that hears nobody asks the platform for confirmation: its
    /// write, then a listing at least as new.
    Confirm { by: u8 },
    /// What comes of the listing arrives.
    Confirmed { at: u8 },
    /// A router sees to the roster.
    SeeToRoster { by: u8 },
    /// A process is killed, if one runs, and another starts on its address.
    Restart { slot: u8 },
    /// A router is told to stop; it serves on for the rest of the test.
    Drain { slot: u8 },
    /// Time passes, in units of 50 ms.
    Advance { steps: u8 },
    /// The routers of a group ask each other and hear the answers; the others
    /// are cut off.
    Settle { group: u8 },
    /// The same, and one of them reads the platform first.
    Spread { group: u8, reader: u8 },
}

struct Router {
    name: CompactString,
    config_store: ConfigStore,
    members: Members,
    beat: u64,
    started: Instant,
    runs: bool,
    draining: bool,
    /// Heartbeats of those that asked, on the way.
    pushes: Vec<Heartbeat>,
    mail: Vec<(Instant, PullAnswer, Update)>,
    confirming: Option<(Instant, u64, Update)>,
    /// Changes this router watches until they are accepted.
    watched: Vec<(u64, Option<Instant>)>,
}

struct World {
    now: Instant,
    /// Every write to the platform, by revision.
    writes: BTreeMap<u64, (CompactString, ConfigValue)>,
    routers: Vec<Router>,
    incarnations: u32,
    /// Newest version of the contract that was reported accepted.
    accepted: u64,
    /// Newest version each incarnation has admitted under.
    admitted: BTreeMap<CompactString, u64>,
}

fn address(slot: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + u16::try_from(slot).unwrap()))
}

/// Every router.
const ALL: u8 = 0b11_1111;

/// The slots of a group, given as bits.
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
            router.runs = slot < STARTED;
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
            beat: 0,
            started: self.now,
            runs: true,
            draining: false,
            pushes: Vec::new(),
            mail: Vec::new(),
            confirming: None,
            watched: Vec::new(),
        }
    }

    fn apply(&mut self, op: Op) {
        let slot = |n: u8| usize::from(n) % SLOTS;
        match op {
            Op::Ask { from, group } => {
                for to in members_of(group) {
                    self.ask(slot(from), to);
                }
            }
            Op::Arrive { at, updates } => self.arrive(slot(at), updates),
            Op::Lose { at } => self.routers[slot(at)].mail.clear(),
            Op::Change { by } => self.change(slot(by)),
            Op::Read { by, behind } => {
                let revision = self.revision().saturating_sub(u64::from(behind % 4));
                let update = self.listing(revision);
                self.routers[slot(by)].config_store.apply(update);
            }
            Op::Confirm { by } => self.confirm(slot(by)),
            Op::Confirmed { at } => self.confirmed(slot(at)),
            Op::SeeToRoster { by } => self.see_to_roster(slot(by)),
            Op::Restart { slot: n } => {
                let router = self.new_router();
                self.routers[slot(n)] = router;
            }
            Op::Drain { slot: n } => self.routers[slot(n)].draining = true,
            Op::Advance { steps } => self.now += Duration::from_millis(50) * u32::from(steps % 48),
            Op::Settle { group } => self.settle(group),
            Op::Spread { group, reader } => {
                let listing = self.listing(self.revision());
                if let Some(reader) = members_of(group).nth(usize::from(reader) % SLOTS) {
                    self.routers[reader].config_store.apply(listing);
                }
                self.settle(group);
                self.settle(group);
            }
        }
        for slot in 0..SLOTS {
            if self.routers[slot].runs {
                self.beat(slot);
                self.watch(slot);
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

    /// Everything as of a revision.
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

    fn beat(&mut self, slot: usize) {
        let now = self.now;
        let own = &mut self.routers[slot];
        own.beat += 1;
        let heartbeat = Heartbeat {
            router: own.name.clone(),
            counter: own.beat,
            held: own.config_store.held(),
            newest: own.config_store.newest(),
            caller_address: address(slot),
            mesh_address: address(slot),
            zone: CompactString::const_new("a"),
            draining: own.draining,
        };
        own.members.set_own_heartbeat(heartbeat, now);
    }

    fn ask(&mut self, from: usize, to: usize) {
        if from == to || !self.routers[from].runs || !self.routers[to].runs {
            return;
        }
        self.beat(to);
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
        self.routers[from].mail.push((now, answer, update));
    }

    fn arrive(&mut self, at: usize, updates: bool) {
        let now = self.now;
        let own = &mut self.routers[at];
        for (asked, answer, update) in std::mem::take(&mut own.mail) {
            if updates {
                own.config_store.apply(update);
            }
            own.members.pulled(answer, asked, now);
        }
        for heartbeat in std::mem::take(&mut own.pushes) {
            own.members.pushed(heartbeat, now);
        }
    }

    fn change(&mut self, by: usize) {
        if !self.routers[by].runs {
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
        // The write that asks is a revision of its own, of another kind.
        let listing = self.listing(self.revision());
        let revision = self.revision();
        self.routers[by].confirming = Some((self.now, revision, listing));
    }

    fn confirmed(&mut self, at: usize) {
        let own = &mut self.routers[at];
        if let Some((asked, revision, update)) = own.confirming.take() {
            own.config_store.apply(update);
            if own.config_store.held() >= revision {
                own.members.confirmed(asked);
            }
        }
    }

    fn see_to_roster(&mut self, by: usize) {
        let own = &self.routers[by];
        if !own.runs {
            return;
        }
        let roster = own.config_store.roster();
        let version = own.config_store.roster_version();
        let change = own.members.roster_change(&roster, own.started, self.now);
        let settles = roster.is_changing() && own.members.quorum_holds(&roster, version);
        let next = change.or_else(|| settles.then(|| Roster::settled(&roster)));
        if let Some(next) = next
            && version == self.version(ROSTER)
        {
            self.write(ROSTER, ConfigValue::Roster(Arc::new(next)));
        }
    }

    fn settle(&mut self, group: u8) {
        for from in members_of(group) {
            for to in members_of(group) {
                self.ask(from, to);
            }
            self.arrive(from, true);
        }
    }

    /// A change is reported accepted when a quorum has held it for as long as
    /// news may be acted on.
    fn watch(&mut self, slot: usize) {
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
            "{} admits under {version}, {} is accepted",
            own.name,
            self.accepted,
        );
        let before = self.admitted.entry(own.name.clone()).or_default();
        assert!(version >= *before, "{} went back", own.name);
        *before = version;
    }
}

/// A site that has come up.
fn started() -> World {
    let mut world = World::new();
    for _ in 0..4 {
        world.apply(Op::Spread {
            group: ALL,
            reader: 0,
        });
        world.apply(Op::Advance { steps: 30 });
        world.apply(Op::SeeToRoster { by: 0 });
    }
    world.apply(Op::Spread {
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

/// Answers asked for before a change and heard long after it are old news.
#[test]
fn late_answers_count_from_when_they_were_asked() {
    let mut world = started();
    world.apply(Op::Ask {
        from: 3,
        group: ALL,
    });
    world.apply(Op::Change { by: 0 });
    world.apply(Op::Spread {
        group: 0b0111,
        reader: 0,
    });
    world.apply(Op::Advance { steps: 41 });
    world.apply(Op::Settle { group: 0b0111 });
    assert!(
        world.accepted > 0,
        "the change is accepted without router 3"
    );
    world.apply(Op::Arrive {
        at: 3,
        updates: false,
    });
}

/// Whoever hears of a change stops until it holds it.
#[test]
fn news_of_a_change_without_the_change_stops_admission() {
    let mut world = started();
    world.apply(Op::Change { by: 0 });
    world.apply(Op::Spread {
        group: 0b0111,
        reader: 0,
    });
    world.apply(Op::Advance { steps: 41 });
    assert!(
        world.accepted > 0,
        "the change is accepted without router 3"
    );
    world.apply(Op::Ask {
        from: 3,
        group: ALL,
    });
    world.apply(Op::Arrive {
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
