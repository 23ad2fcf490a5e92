//! The way of a change from the store to each gateway of a large deployment, in virtual time:
//! watches of the readers, heartbeats, reads from other gateways over their links, reads of
//! the store, proofs that a watch has delivered everything. Each link of that way may be sound
//! by itself while the whole is late.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use briarhall_policy::delivery::Deliveries;
use briarhall_policy::peer_reads::LIMIT_DIVISOR;
use briarhall_policy::peer_reads::MAX_SILENCE;
use briarhall_policy::peer_reads::PeerReads;
use briarhall_policy::peers::HEARTBEAT_INTERVAL;
use briarhall_policy::peers::HeldConfiguration;
use briarhall_policy::peers::Peers;
use briarhall_policy::peers::Presence;
use briarhall_policy::peers::regular_interval;
use briarhall_policy::resumption::List;
use briarhall_policy::store_checks::StoreChecks;
use briarhall_policy::store_readers::ALL_READ_UP_TO;
use briarhall_policy::store_readers::OwnPlace;
use briarhall_policy::store_readers::StoreReaders;
use briarhall_types::StorePosition;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Gateways of most tests.
const GATEWAYS: usize = 100;
/// The first gateways are those that the directory names.
const ADVERTISED: usize = 12;
/// Of these, the ones with fast links.
const LARGE: usize = 6;
const ZONES: usize = 3;
/// Bytes a second of the links of large VMs, of small ones, and of the store.
const LARGE_LINK: f64 = 25e6;
const SMALL_LINK: f64 = 2.5e6;
const STORE_LINK: f64 = 125e6;
/// Part of a document that is left of it in the coding in which gateways send it.
const DEFLATED_PART: f64 = 0.25;
const STEP: Duration = Duration::from_millis(10);
/// Time between two looks of a gateway at what the others have, and between two decisions
/// whether it reads the store.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which changes must be in force.
const IN_FORCE: Duration = Duration::from_secs(3);
/// The same in a small deployment, and in one of hundreds of gateways.
const IN_FORCE_SMALL: Duration = Duration::from_secs(2);
const IN_FORCE_AIM: Duration = Duration::from_secs(10);
const SERIES_INTERVAL: Duration = Duration::from_millis(300);
const OWN_WATCH_GRACE: Duration = Duration::from_millis(950);
/// Time from a call to the first byte of its answer.
const ROUND_TRIP: Duration = Duration::from_millis(20);
/// Time from a read of the store's last position to the heartbeat that tells of it.
const ANNOUNCED_AFTER: Duration = Duration::from_millis(50);
/// Time in which a connection must be established.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Time until the deployment has come to rest.
const SETTLING: Duration = Duration::from_secs(5);
const SEEDS: u64 = 3;

/// What is wrong with a gateway for the others, or with its own ways to the news.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Fault {
    #[default]
    None,
    /// Its process has ended, and the system refuses connections to it.
    Killed,
    /// It stands still or is cut off: nothing comes from it.
    Silent,
    /// Its heartbeats go out, and nothing else does.
    OneWay,
    /// It refuses what others ask of it.
    Full,
    /// Its watch delivers nothing, while its checks are answered.
    Deaf,
    /// The store turns it away.
    TurnedAway,
}

/// Where a document comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum From {
    Store,
    Gateway(usize),
}

/// A document on its way to a gateway.
#[derive(Debug, Clone, Copy)]
struct Transfer {
    from: From,
    version: u64,
    began: Duration,
    bytes: f64,
    last_byte: Duration,
}

struct Gateway {
    fault: Fault,
    peers: Peers,
    deliveries: Deliveries,
    readers: StoreReaders,
    reads: PeerReads,
    version: u64,
    sequence: u64,
    next_heartbeat: Duration,
    next_placing_heartbeat: Duration,
    next_check: Duration,
    next_look: Duration,
    from_peer: Option<Transfer>,
    from_store: Option<Transfer>,
    /// Position of the store at which that began.
    reading_to: u64,
    /// Version that the store has delivered or is delivering; `None` before a whole read.
    watched: Option<u64>,
    read_store: bool,
    /// When the store answers a call for changes.
    asked: Option<Duration>,
}

impl Gateway {
    fn is_up(&self) -> bool {
        !matches!(self.fault, Fault::Killed | Fault::Silent)
    }

    fn hears_store(&self) -> bool {
        self.is_up() && self.fault != Fault::TurnedAway
    }
}

fn position(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

fn link(gateway: usize) -> f64 {
    if gateway < LARGE {
        LARGE_LINK
    } else {
        SMALL_LINK
    }
}

/// A deployment.
#[derive(Debug, Clone, Copy)]
struct Plan {
    gateways: usize,
    advertised: usize,
    in_force: Duration,
    document_bytes: f64,
    /// Time between two changes of other kinds in the store, if there are any.
    other_changes: Option<Duration>,
    /// Whether gateways look for proofs that watches have delivered everything.
    proofs: bool,
}

impl Plan {
    fn with_document(document_bytes: f64) -> Self {
        Self {
            gateways: GATEWAYS,
            advertised: ADVERTISED,
            in_force: IN_FORCE,
            document_bytes,
            other_changes: None,
            proofs: true,
        }
    }
}

/// Calls to the store, of all gateways together.
#[derive(Debug, Clone, Copy, Default)]
struct Calls {
    /// Checks whose answer may be old, which cost a tenth of another call.
    checks: u32,
    /// Checks that read the last position.
    confirmations: u32,
    /// Calls for the changes of the document that do not wait.
    asked: u32,
}

impl Calls {
    /// Returns what they cost, in calls for what is current.
    fn price(self) -> f64 {
        f64::from(self.checks) / 10.0 + f64::from(self.confirmations + self.asked)
    }
}

struct Site {
    plan: Plan,
    start: Instant,
    at: Duration,
    version: u64,
    /// Last position of the store.
    revision: u64,
    next_other_change: Option<Duration>,
    calls: Calls,
    gateways: Vec<Gateway>,
    rng: StdRng,
}

impl Site {
    fn settled(plan: Plan, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let interval = regular_interval(plan.gateways);
        let gateway = |_| Gateway {
            fault: Fault::None,
            peers: Peers::default(),
            deliveries: Deliveries::new(&[List::Configuration], plan.in_force),
            readers: StoreReaders::new(ALL_READ_UP_TO, plan.in_force),
            reads: PeerReads::new(OWN_WATCH_GRACE),
            version: 1,
            sequence: 0,
            next_heartbeat: interval.mul_f64(rng.random::<f64>()),
            next_placing_heartbeat: HEARTBEAT_INTERVAL.mul_f64(rng.random::<f64>()),
            next_check: plan.in_force.mul_f64(rng.random::<f64>() / 4.0),
            next_look: LOOK_INTERVAL.mul_f64(rng.random::<f64>()),
            from_peer: None,
            from_store: None,
            reading_to: 0,
            watched: Some(1),
            read_store: false,
            asked: None,
        };
        let gateways = (0..plan.gateways).map(gateway).collect();
        let mut site = Self {
            plan,
            start: Instant::now(),
            at: Duration::ZERO,
            version: 1,
            revision: 1,
            next_other_change: plan.other_changes,
            calls: Calls::default(),
            gateways,
            rng,
        };
        for gateway in &mut site.gateways {
            let at = position(site.revision);
            gateway.deliveries.record_complete(List::Configuration, at);
        }
        site.run(SETTLING);
        site
    }

    /// Returns how many gateways read the store.
    fn reading(&self) -> usize {
        self.gateways.iter().filter(|g| g.readers.reads()).count()
    }

    fn run(&mut self, time: Duration) {
        let end = self.at + time;
        while self.at < end {
            if let Some((at, interval)) = self.next_other_change.zip(self.plan.other_changes)
                && self.at >= at
            {
                self.revision += 1;
                self.next_other_change = Some(at + interval);
            }
            for n in 0..self.gateways.len() {
                if self.gateways[n].is_up() {
                    self.step(n);
                }
            }
            self.carry();
            self.at += STEP;
        }
    }

    fn step(&mut self, n: usize) {
        let (at, now) = (self.at, self.start + self.at);
        let (all, placing) = (self.plan.gateways, self.plan.advertised);
        if at >= self.gateways[n].next_heartbeat {
            self.gateways[n].next_heartbeat = at + regular_interval(all);
            self.gateways[n].next_placing_heartbeat = at + HEARTBEAT_INTERVAL;
            self.send_heartbeat(n, all);
        } else if at >= self.gateways[n].next_placing_heartbeat {
            self.gateways[n].next_placing_heartbeat = at + HEARTBEAT_INTERVAL;
            self.send_heartbeat(n, placing);
        }
        let checks = StoreChecks::new(self.plan.in_force);
        let revision = self.revision;
        let gateway = &mut self.gateways[n];
        if gateway.readers.reads() && at >= gateway.next_check {
            gateway.next_check = at + checks.interval();
            let readers = gateway.peers.heard_readers(now) + 1;
            let confirms =
                self.plan.proofs && gateway.deliveries.confirms(readers, now, &mut self.rng);
            if confirms {
                self.calls.confirmations += 1;
            } else {
                self.calls.checks += 1;
            }
            if gateway.hears_store() {
                gateway.readers.record_answer(now);
                if confirms {
                    let at = position(revision);
                    gateway.deliveries.record_check(at, true, now, now);
                    gateway.next_heartbeat = self.at + ANNOUNCED_AFTER;
                }
            }
        }
        if at >= gateway.next_look {
            gateway.next_look = at + LOOK_INTERVAL;
            self.look(n);
        }
        self.follow(n);
    }

    fn presence(&mut self, n: usize) -> Presence {
        let now = self.start + self.at;
        let gateway = &mut self.gateways[n];
        gateway.sequence += 1;
        let [high, low] = u16::try_from(n).expect("few gateways").to_be_bytes();
        let address = SocketAddr::from(([127, 0, high, low], 1));
        Presence {
            vm: format!("vm-{n}").into(),
            incarnation: 1,
            sequence: gateway.sequence,
            gossip_address: address,
            relay_address: address,
            client_address: address,
            zone: format!("zone-{}", n % ZONES).into(),
            ready: true,
            stopping: false,
            millicores: 120,
            requests_per_s: 0,
            places_requests: false,
            cut_off: false,
            configuration: HeldConfiguration {
                version: gateway.version,
                position: StorePosition::default(),
            },
            replicas: StorePosition::default(),
            store: gateway.readers.report(n < self.plan.advertised, now),
        }
    }

    /// Sends a heartbeat to the first gateways.
    fn send_heartbeat(&mut self, from: usize, first: usize) {
        let now = self.start + self.at;
        let presence = self.presence(from);
        let report = self.gateways[from].deliveries.report(now);
        let report = report.filter(|_| self.plan.proofs);
        let interval = regular_interval(self.plan.gateways);
        for (to, gateway) in self.gateways.iter_mut().take(first).enumerate() {
            if to == from || !gateway.is_up() {
                continue;
            }
            gateway.peers.update(presence.clone(), interval, now);
            if let Some(report) = &report {
                let has_all = gateway.version >= presence.configuration.version;
                gateway.deliveries.apply_report(report, |_| has_all, now);
            }
        }
    }

    /// Decides whether a gateway reads the store, and from whom else it reads.
    fn look(&mut self, n: usize) {
        let (at, now) = (self.at, self.start + self.at);
        let gateway = &mut self.gateways[n];
        let held = HeldConfiguration {
            version: gateway.version,
            position: StorePosition::default(),
        };
        let (grace, series) = if gateway.readers.expects_changes(now) {
            (OWN_WATCH_GRACE, Duration::ZERO)
        } else {
            (Duration::ZERO, SERIES_INTERVAL)
        };
        gateway.reads.set_pace(grace, series);
        let zone = format!("zone-{}", n % ZONES);
        let from = gateway
            .peers
            .newer_configuration(held, &zone, now, &mut self.rng);
        let from = from.map(|p| p.relay_address);
        let is_due = gateway.reads.due(from.is_some(), now);
        if gateway.reads.store_due(self.plan.in_force, now) {
            gateway.readers.record_behind(now);
            gateway.read_store = true;
        }
        let own = OwnPlace {
            gateways: gateway.peers.count() + 1,
            advertised: n < self.plan.advertised,
        };
        let reports = gateway.peers.store_readers().collect::<Vec<_>>();
        if gateway.readers.decide(own, reports, now).is_some() {
            gateway.watched = None;
            gateway.from_store = None;
        }
        let readers = gateway.peers.heard_readers(now) + 1;
        if self.plan.proofs && gateway.readers.reads_lists() && gateway.asked.is_none() {
            let due = gateway.deliveries.due(readers, now, &mut self.rng);
            if !due.is_empty() {
                self.calls.asked += 1;
                gateway.asked = gateway.hears_store().then_some(at + ROUND_TRIP);
            }
        }
        if let Some(SocketAddr::V4(from)) = from
            && is_due
            && gateway.from_peer.is_none()
        {
            let [_, _, high, low] = from.ip().octets();
            let from = usize::from(u16::from_be_bytes([high, low]));
            gateway.reads.begin(now);
            let version = self.gateways[from].version;
            self.gateways[n].from_peer = Some(Transfer {
                from: From::Gateway(from),
                version,
                began: at,
                bytes: 0.0,
                last_byte: at,
            });
        }
    }

    /// Has the store deliver what a gateway watches or reads.
    fn follow(&mut self, n: usize) {
        let (at, version, revision) = (self.at, self.version, self.revision);
        let gateway = &mut self.gateways[n];
        if gateway.asked.is_some_and(|answered_at| at >= answered_at) {
            gateway.asked = None;
            let delivered = gateway.watched == Some(version) || gateway.version == version;
            if delivered && gateway.from_store.is_none() {
                let at = position(revision);
                gateway.deliveries.record_complete(List::Configuration, at);
            } else if gateway.from_store.is_none() {
                gateway.read_store = true;
            }
        }
        if !gateway.readers.reads_lists() || !gateway.hears_store() {
            gateway.from_store = None;
            return;
        }
        if gateway.from_store.is_some() {
            return;
        }
        let is_read = gateway.watched.is_none() || std::mem::take(&mut gateway.read_store);
        let is_change = gateway.watched.is_some_and(|watched| watched < version);
        if is_read || (is_change && gateway.fault != Fault::Deaf) {
            gateway.watched = Some(version);
            gateway.from_store = Some(Transfer {
                from: From::Store,
                version,
                began: at,
                bytes: 0.0,
                last_byte: at,
            });
            gateway.reading_to = revision;
        }
    }

    /// Carries all documents on by one step.
    fn carry(&mut self) {
        let (at, now) = (self.at, self.start + self.at);
        let transfers = self
            .gateways
            .iter()
            .flat_map(|g| [g.from_peer, g.from_store]);
        let mut leaving = vec![0_u32; self.gateways.len()];
        let mut from_store = 0;
        for transfer in transfers.flatten() {
            match transfer.from {
                From::Store => from_store += 1,
                From::Gateway(n) => leaving[n] += 1,
            }
        }
        let faults = self.gateways.iter().map(|g| g.fault).collect::<Vec<_>>();
        for (n, gateway) in self.gateways.iter_mut().enumerate() {
            if !gateway.is_up() {
                continue;
            }
            let arriving = [gateway.from_peer, gateway.from_store];
            let arriving = arriving.iter().flatten().count();
            let inward = link(n) / f64::from(u32::try_from(arriving.max(1)).expect("two"));
            let carried = |transfer: &mut Transfer, outward: f64| {
                if at >= transfer.began + ROUND_TRIP {
                    transfer.bytes += inward.min(outward) * STEP.as_secs_f64();
                    transfer.last_byte = at;
                }
            };
            if let Some(transfer) = &mut gateway.from_store {
                carried(transfer, STORE_LINK / f64::from(from_store));
                if transfer.bytes >= self.plan.document_bytes {
                    gateway.version = gateway.version.max(transfer.version);
                    gateway.from_store = None;
                    let at = position(gateway.reading_to);
                    gateway.deliveries.record_complete(List::Configuration, at);
                }
            }
            let Some(transfer) = &mut gateway.from_peer else {
                continue;
            };
            let From::Gateway(from) = transfer.from else {
                continue;
            };
            let age = at.saturating_sub(transfer.began);
            let is_over = match faults[from] {
                Fault::Killed | Fault::Full => age >= ROUND_TRIP,
                Fault::Silent | Fault::OneWay => age >= CONNECT_LIMIT,
                _ => {
                    carried(transfer, link(from) / f64::from(leaving[from]));
                    let silence = at.saturating_sub(transfer.last_byte);
                    silence >= MAX_SILENCE || age >= self.plan.in_force / LIMIT_DIVISOR
                }
            };
            let is_whole = transfer.bytes >= self.plan.document_bytes * DEFLATED_PART;
            if is_over || is_whole {
                let is_new = is_whole && transfer.version > gateway.version;
                if is_new {
                    gateway.version = transfer.version;
                }
                let (vm, failed) = (format!("vm-{from}"), !is_whole);
                gateway.from_peer = None;
                gateway.reads.record(is_new, now);
                if failed {
                    gateway.peers.record_failed_read(&vm, now);
                }
            }
        }
    }

    /// Changes the document, and returns how many gateways that are up do not have it when
    /// it must be in force.
    fn late_after_change(&mut self, strikes: impl Fn(&mut Self), after: Duration) -> usize {
        self.version += 1;
        self.revision += 1;
        self.run(after);
        strikes(self);
        self.run(self.plan.in_force.saturating_sub(after));
        let version = self.version;
        let up = self.gateways.iter().filter(|g| g.is_up());
        // Nothing reaches it, so nobody can expect it to know.
        let reachable = up.filter(|g| g.fault != Fault::OneWay);
        reachable.filter(|g| g.version < version).count()
    }
}

/// Readers that a fault strikes at the moment at which they may have told of a change.
fn strike(fault: Fault, which: std::ops::Range<usize>) -> impl Fn(&mut Site) {
    move |site| {
        for gateway in &mut site.gateways[which.clone()] {
            gateway.fault = fault;
        }
    }
}

/// A document of 100 kB, and one of a megabyte.
const SMALL: f64 = 1e5;
const LARGEST: f64 = 1e6;

/// Plays a series of changes, the fault at the second, and counts who is late with any.
fn plays_in_time(document_bytes: f64, fault: Fault, which: std::ops::Range<usize>, after_ms: u64) {
    for seed in 0..SEEDS {
        let mut site = Site::settled(Plan::with_document(document_bytes), seed);
        assert_eq!(site.reading(), ADVERTISED, "the others stand by");
        let after = Duration::from_millis(after_ms);
        let late = site.late_after_change(|_| (), after);
        assert_eq!(late, 0, "late with the first change, seed {seed}");
        let late = site.late_after_change(strike(fault, which.clone()), after);
        assert_eq!(
            late, 0,
            "late with the change beside the fault, seed {seed}"
        );
        let late = site.late_after_change(|_| (), after);
        assert_eq!(late, 0, "late with the change after it, seed {seed}");
    }
}

macro_rules! in_time {
    ($($(#[$guard:meta])* $name:ident: ($bytes:expr, $fault:ident, $which:expr, $after_ms:literal),)*) => {
        $(
            $(#[$guard])*
            #[test]
            fn $name() {
                plays_in_time($bytes, Fault::$fault, $which, $after_ms);
            }
        )*
    };
}

in_time! {
    /// Load: no fault. Guards against gateways that take a large document from each other,
    /// over slow links, for longer than it may take.
    a_large_document_without_a_fault: (LARGEST, None, 0..0, 0),
    /// Guards against the same with a small one.
    a_small_document_without_a_fault: (SMALL, None, 0..0, 0),
    /// Failure: all readers are killed when the others have heard of the change. Guards
    /// against gateways that go on asking them.
    readers_are_killed: (LARGEST, Killed, 0..ADVERTISED, 400),
    /// Guards against the same with readers whose VMs lose power or stand still.
    readers_fall_silent: (LARGEST, Silent, 0..ADVERTISED, 400),
    /// Guards against the same early, when few have heard.
    readers_fall_silent_early: (SMALL, Silent, 0..ADVERTISED, 100),
    /// Failure: the heartbeats of readers arrive, and connections to them hang.
    readers_can_not_be_reached: (LARGEST, OneWay, 0..ADVERTISED, 200),
    /// Failure: the readers refuse what they are asked for.
    readers_refuse: (LARGEST, Full, 0..ADVERTISED, 200),
    /// Failure: the watches of all but one reader deliver nothing, while checks are answered.
    all_watches_but_one_are_dropped: (LARGEST, Deaf, 1..GATEWAYS, 0),
    /// Failure: the watches of all gateways deliver nothing, while checks are answered.
    all_watches_are_dropped: (LARGEST, Deaf, 0..GATEWAYS, 0),
    /// Guards against the same with a small document, as the change is on its way.
    all_watches_are_dropped_beside_a_change: (SMALL, Deaf, 0..GATEWAYS, 20),
    /// Failure: the store turns all readers away.
    the_store_turns_the_readers_away: (LARGEST, TurnedAway, 0..ADVERTISED, 0),
    /// Failure: the store turns most readers away.
    the_store_turns_most_readers_away: (SMALL, TurnedAway, 0..9, 0),
    /// Failure: gateways of two zones that stand by are cut off; the others ask nobody there
    /// for longer than they have.
    others_that_have_the_news_fall_silent: (LARGEST, Silent, ADVERTISED..70, 900),
}

/// Deployments of 2, 48 and 350 gateways, each with the time in which changes must be in
/// force there, and the calls a second that its store answers.
const TWO: (Plan, u32) = (
    Plan {
        gateways: 2,
        advertised: 2,
        in_force: IN_FORCE_SMALL,
        document_bytes: SMALL,
        other_changes: None,
        proofs: true,
    },
    2_000,
);
const FORTY_EIGHT: (Plan, u32) = (
    Plan {
        gateways: 48,
        advertised: 12,
        in_force: IN_FORCE,
        ..TWO.0
    },
    6_000,
);
const THREE_HUNDRED_AND_FIFTY: (Plan, u32) = (
    Plan {
        gateways: 350,
        advertised: 87,
        in_force: IN_FORCE_AIM,
        ..TWO.0
    },
    16_000,
);

/// Time between two changes of other kinds, in a store in which much goes on.
const OTHER_CHANGES: Duration = Duration::from_millis(500);
const COUNTED: Duration = Duration::from_secs(10);
/// Part of the calls that a store answers that may go to proofs.
const RATE_DIVISOR: f64 = 100.0;

/// Returns the calls a second, their price, and the calls of proofs.
fn calls_per_s(plan: Plan) -> (f64, f64) {
    let mut site = Site::settled(plan, 0);
    site.calls = Calls::default();
    site.run(COUNTED);
    let proofs = f64::from(site.calls.confirmations + site.calls.asked);
    let time = COUNTED.as_secs_f64();
    (site.calls.price() / time, proofs / time)
}

/// Asserts that all know a change in time whose watches are all deaf, and how many calls
/// proofs cost.
fn proves_in_time((plan, reads_per_s): (Plan, u32)) {
    let busy = Plan {
        other_changes: Some(OTHER_CHANGES),
        ..plan
    };
    for plan in [plan, busy] {
        let (price, proofs) = calls_per_s(plan);
        let without = Plan {
            proofs: false,
            ..plan
        };
        let (before, _) = calls_per_s(without);
        println!(
            "{} gateways, other changes each {:?}: calls a second cost {price:.1} instead of {before:.1}; {proofs:.1} for proofs",
            plan.gateways, plan.other_changes,
        );
        let most = f64::from(reads_per_s) / RATE_DIVISOR;
        assert!(proofs <= most, "{proofs} calls a second for proofs");
    }
    for (plan, seed) in [(plan, 0), (busy, 1), (busy, 2)] {
        let mut site = Site::settled(plan, seed);
        strike(Fault::Deaf, 0..plan.gateways)(&mut site);
        for round in 0..2 {
            let late = site.late_after_change(|_| (), Duration::ZERO);
            assert_eq!(late, 0, "late with change {round}, seed {seed}");
        }
    }
}

macro_rules! proofs {
    ($($(#[$guard:meta])* $name:ident: $deployment:expr,)*) => {
        $(
            $(#[$guard])*
            #[test]
            fn $name() {
                proves_in_time($deployment);
            }
        )*
    };
}

proofs! {
    /// Guards against proofs that are late or cost much where two gateways prove for each other.
    two_deaf_gateways_know_a_change: TWO,
    /// Guards against the same where all of many read the store.
    forty_eight_deaf_gateways_know_a_change: FORTY_EIGHT,
    /// Guards against the same at the size of the aim.
    three_hundred_and_fifty_deaf_gateways_know_a_change: THREE_HUNDRED_AND_FIFTY,
}
