//! Configuration in force everywhere and never back: routers that gossip over a
//! network that delays, cuts and freezes, against an oracle that knows which
//! changes were reported accepted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::book::Book;
use briarhall_policy::book::ConfigValue;
use briarhall_policy::book::ContractRecord;
use briarhall_policy::book::Entry;
use briarhall_policy::book::ROSTER;
use briarhall_policy::book::Update;
use briarhall_policy::members::FRESH_FOR;
use briarhall_policy::members::Heartbeat;
use briarhall_policy::members::Members;
use briarhall_policy::members::PullAnswer;
use briarhall_policy::members::Roster;
use briarhall_policy::members::Standing;
use briarhall_types::Contract;
use briarhall_types::Objective;
use compact_str::CompactString;
use compact_str::format_compact;

const SLOTS: usize = 4;
const CONTRACT: &str = "contract.tidewire";

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A router asks another; the answer is on its way.
    Ask { from: u8, to: u8 },
    /// The oldest answer on its way to a router arrives.
    Arrive { at: u8 },
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
    /// A process is killed and another starts on its address.
    Restart { slot: u8 },
    /// Time passes, in units of 50 ms.
    Advance { steps: u8 },
    /// Every router asks every other and hears the answer.
    Settle,
}

struct Router {
    name: CompactString,
    book: Book,
    members: Members,
    beat: u64,
    started: Instant,
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
        for _ in 0..SLOTS {
            let router = world.new_router();
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
            book: Book::default(),
            beat: 0,
            started: self.now,
            mail: Vec::new(),
            confirming: None,
            watched: Vec::new(),
        }
    }

    fn apply(&mut self, op: Op) {
        let slot = |n: u8| usize::from(n) % SLOTS;
        match op {
            Op::Ask { from, to } => self.ask(slot(from), slot(to)),
            Op::Arrive { at } => self.arrive(slot(at)),
            Op::Lose { at } => self.routers[slot(at)].mail.clear(),
            Op::Change { by } => self.change(slot(by)),
            Op::Read { by, behind } => {
                let revision = self.revision().saturating_sub(u64::from(behind % 4));
                let update = self.listing(revision);
                self.routers[slot(by)].book.apply(update);
            }
            Op::Confirm { by } => self.confirm(slot(by)),
            Op::Confirmed { at } => self.confirmed(slot(at)),
            Op::SeeToRoster { by } => self.see_to_roster(slot(by)),
            Op::Restart { slot: n } => {
                let router = self.new_router();
                self.routers[slot(n)] = router;
            }
            Op::Advance { steps } => self.now += Duration::from_millis(50) * u32::from(steps),
            Op::Settle => self.settle(),
        }
        for slot in 0..SLOTS {
            self.beat(slot);
            self.watch(slot);
            self.admit(slot);
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
        let router = &mut self.routers[slot];
        router.beat += 1;
        let heartbeat = Heartbeat {
            router: router.name.clone(),
            counter: router.beat,
            held: router.book.held(),
            newest: router.book.newest(),
            caller_address: address(slot),
            mesh_address: address(slot),
            zone: CompactString::const_new("a"),
            draining: false,
        };
        router.members.beat(heartbeat, now);
    }

    fn ask(&mut self, from: usize, to: usize) {
        if from == to {
            return;
        }
        self.beat(to);
        let heartbeat = self.routers[from]
            .members
            .heartbeat(&self.routers[from].name);
        let heartbeat = heartbeat.cloned();
        let held = self.routers[from].book.held();
        let now = self.now;
        let answering = &mut self.routers[to];
        if let Some(heartbeat) = heartbeat {
            answering.members.pushed(heartbeat, now);
        }
        let answer = answering.members.answer(now);
        let update = answering.book.update_since(held);
        self.routers[from].mail.push((now, answer, update));
    }

    fn arrive(&mut self, at: usize) {
        let now = self.now;
        let router = &mut self.routers[at];
        if router.mail.is_empty() {
            return;
        }
        let (asked, answer, update) = router.mail.remove(0);
        router.book.apply(update);
        router.members.pulled(answer, asked, now);
    }

    fn change(&mut self, by: usize) {
        let contract = Contract {
            customer: CompactString::const_new("tidewire"),
            key_digests: Vec::new(),
            objective: Objective::FirstToken,
            weight: 1,
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
        let router = &mut self.routers[at];
        if let Some((asked, revision, update)) = router.confirming.take() {
            router.book.apply(update);
            if router.book.held() >= revision {
                router.members.confirmed(asked);
            }
        }
    }

    fn see_to_roster(&mut self, by: usize) {
        let router = &self.routers[by];
        let roster = router.book.roster();
        let version = router.book.roster_version();
        let change = router
            .members
            .roster_change(&roster, router.started, self.now);
        let settles = roster.is_changing() && router.members.quorum_holds(&roster, version);
        let next = change.or_else(|| settles.then(|| Roster::settled(&roster)));
        if let Some(next) = next
            && version == self.version(ROSTER)
        {
            self.write(ROSTER, ConfigValue::Roster(Arc::new(next)));
        }
    }

    fn settle(&mut self) {
        for from in 0..SLOTS {
            let listing = self.listing(self.revision());
            self.routers[from].book.apply(listing);
            for to in 0..SLOTS {
                self.ask(from, to);
            }
            while !self.routers[from].mail.is_empty() {
                self.arrive(from);
            }
        }
    }

    /// A change is reported accepted when a quorum has held it for as long as
    /// news may be acted on.
    fn watch(&mut self, slot: usize) {
        let now = self.now;
        let router = &mut self.routers[slot];
        let roster = router.book.roster();
        for (version, since) in &mut router.watched {
            let holds = router.members.quorum_holds(&roster, *version);
            if holds && since.is_none() {
                *since = Some(now);
            }
            if since.is_some_and(|since| now >= since + FRESH_FOR) {
                self.accepted = self.accepted.max(*version);
            }
        }
    }

    fn admit(&mut self, slot: usize) {
        let router = &self.routers[slot];
        let roster = router.book.roster();
        let held = router.book.held();
        if router.members.standing(&roster, held, self.now) != Standing::Current {
            return;
        }
        let version = router.book.contract("tidewire").map_or(0, |c| c.version);
        assert!(
            version >= self.accepted,
            "{} admits under {version}, {} is accepted",
            router.name,
            self.accepted,
        );
        let before = self.admitted.entry(router.name.clone()).or_default();
        assert!(version >= *before, "{} went back", router.name);
        *before = version;
    }
}

fn check(ops: &[Op]) {
    let mut world = World::new();
    // A site that has come up, then whatever happens.
    for _ in 0..4 {
        world.apply(Op::Settle);
        world.apply(Op::Advance { steps: 30 });
        world.apply(Op::SeeToRoster { by: 0 });
    }
    world.apply(Op::Settle);
    for op in ops {
        world.apply(*op);
    }
}

macro_rules! never_admits_under_an_older_version {
    ($name:ident, $len:expr) => {
        #[test]
        fn $name() {
            bolero::check!()
                .with_generator(bolero::produce::<Vec<Op>>().with().len($len))
                .for_each(|ops| check(ops));
        }
    };
}

never_admits_under_an_older_version!(short_histories, 0_usize..40);
never_admits_under_an_older_version!(long_histories, 100_usize..300);
