//! Many gateways that place requests of many organisations on engines without room for
//! all. Each knows what the others sent and what waits there 5 to 300 ms late.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use briarhall_policy::shares_in_shortage::Asking;
use briarhall_policy::shares_in_shortage::Claim;
use briarhall_policy::shares_in_shortage::Lane;
use briarhall_policy::shares_in_shortage::Reason;
use briarhall_policy::shares_in_shortage::SharesInShortage;
use briarhall_policy::shares_in_shortage::ShortageReport;
use briarhall_policy::shares_in_shortage::Verdict;
use briarhall_policy::shares_in_shortage::WaitKey;
use briarhall_policy::size_classes::SizeClasses;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

const GATEWAYS: usize = 14;
const ORGANISATIONS: u32 = 24;
const SERVICE: u32 = 7;
/// Milliseconds between two attempts to place a waiting request.
const STEP_MS: u64 = 8;
/// Milliseconds between two reports of a gateway.
const REPORT_MS: u64 = 64;
/// Limits of the age of a report when it arrives, in milliseconds.
const VIEW_AGE_MS: std::ops::Range<u64> = 5..300;
/// Slots of the service: eight engines.
const SLOTS: usize = 96;
/// Milliseconds for which an answer occupies a slot, two seconds on average, and its
/// cost: a twelfth of an engine.
const ANSWER_MS: std::ops::Range<u64> = 1_000..3_000;
const COST_MS: f64 = 200.0;
/// Requests a second that the slots carry.
const CARRIED_PER_S: f64 = 48.0;
/// Time for which a request waits for room.
const PATIENCE_MS: u64 = 600;
/// Time before the outcome is measured.
const WARM_UP_MS: u64 = 5_000;
/// No organisation is served less than this part of the mean.
const MIN_OF_MEAN: f64 = 0.25;
/// Points by which a more urgent kind may be served less.
const RANK_TOLERANCE: f64 = 0.05;
/// Part of the capacity that must be used where it is wanted, for "nothing is wasted".
const MIN_USED: f64 = 0.95;

/// Arrivals of one organisation in one kind.
#[derive(Debug, Clone, Copy)]
struct Flow {
    organisation: u32,
    priority: u32,
    per_s: f64,
    /// Slots' worth of memory of a large request; a tenth of a kind's are large.
    large_slots: usize,
    lane: Lane,
    /// Arrives only in every second ten seconds: `Some(0)` in the first, and so on.
    phase: Option<u64>,
}

const FLOW: Flow = Flow {
    organisation: 0,
    priority: 0,
    per_s: 1.0,
    large_slots: 1,
    lane: Lane::Slots,
    phase: None,
};

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    arrived: usize,
    served: usize,
    held: usize,
    refused_at_once: usize,
}

impl Count {
    fn add(&mut self, other: Self) {
        self.arrived += other.arrived;
        self.served += other.served;
        self.held += other.held;
        self.refused_at_once += other.refused_at_once;
    }

    #[expect(clippy::cast_precision_loss, reason = "counts of a short test")]
    fn share(&self) -> f64 {
        self.served as f64 / self.arrived.max(1) as f64
    }
}

struct Request {
    claim: Claim,
    slots: usize,
    large: bool,
    largest_tenth: bool,
    arrived: u64,
    key: WaitKey,
}

#[derive(Default)]
struct Gateway {
    shares: SharesInShortage,
    sizes: SizeClasses,
    waiting: Vec<Request>,
    /// Reports under way, with the time of their arrival and the sender.
    inbox: Vec<(u64, u64, ShortageReport)>,
}

/// Counts by claim and whether a request is in the largest tenth.
type Counts = BTreeMap<(Claim, bool), Count>;

struct World {
    rng: StdRng,
    start: Instant,
    gateways: Vec<Gateway>,
    /// Ends of the answers under way, with their slots.
    running: Vec<(u64, usize)>,
    counts: Counts,
    used_slot_ms: u64,
    with_shares: bool,
    lost: f64,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now() + Duration::from_hours(1),
            gateways: (0..GATEWAYS).map(|_| Gateway::default()).collect(),
            running: Vec::new(),
            counts: Counts::new(),
            used_slot_ms: 0,
            with_shares: true,
            lost: 0.0,
        }
    }

    fn free(&self) -> usize {
        let used = self.running.iter().map(|(_, slots)| slots).sum::<usize>();
        SLOTS.saturating_sub(used)
    }

    fn asking(&self, request: &Request, patience: bool) -> Asking {
        Asking {
            claim: request.claim,
            large: request.large,
            free: self.free(),
            slots: SLOTS,
            capacity: None,
            patience: patience.then_some(Duration::from_millis(PATIENCE_MS)),
        }
    }

    fn play(&mut self, flows: &[Flow], length_ms: u64) {
        for ms in (0..length_ms).step_by(usize::try_from(STEP_MS).expect("a small number")) {
            let now = self.start + Duration::from_millis(ms);
            self.running.retain(|(end, _)| *end > ms);
            self.deliver(ms, now);
            self.arrive(flows, ms, now);
            self.place(ms, now);
            if ms % REPORT_MS == 0 {
                self.report(ms, now);
            }
            if ms >= WARM_UP_MS {
                let used = SLOTS - self.free();
                self.used_slot_ms += used as u64 * STEP_MS;
            }
        }
    }

    fn deliver(&mut self, ms: u64, now: Instant) {
        for gateway in &mut self.gateways {
            let inbox = std::mem::take(&mut gateway.inbox);
            for (at, from, report) in inbox {
                if at <= ms {
                    gateway.shares.apply_report(from, report, now);
                } else {
                    gateway.inbox.push((at, from, report));
                }
            }
        }
    }

    fn report(&mut self, ms: u64, now: Instant) {
        for from in 0..GATEWAYS {
            self.gateways[from].shares.remove_expired(now);
            let Some(report) = self.gateways[from].shares.report(now) else {
                continue;
            };
            for to in (0..GATEWAYS).filter(|to| *to != from) {
                let at = ms + self.rng.random_range(VIEW_AGE_MS);
                let lost = self.rng.random::<f64>() < self.lost;
                let inbox = &mut self.gateways[to].inbox;
                // A report that arrives after a later one is stale, and is ignored.
                let stale = inbox
                    .iter()
                    .any(|(other, of, _)| *of == from as u64 && *other > at);
                if !lost && !stale {
                    inbox.push((at, from as u64, report.clone()));
                }
            }
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "a few milliseconds")]
    fn arrive(&mut self, flows: &[Flow], ms: u64, now: Instant) {
        for flow in flows {
            if flow.phase.is_some_and(|phase| ms / 10_000 % 2 != phase) {
                continue;
            }
            let mut expected = flow.per_s * STEP_MS as f64 / 1_000.0;
            while expected > 0.0 {
                if self.rng.random::<f64>() < expected {
                    self.arrive_one(flow, ms, now);
                }
                expected -= 1.0;
            }
        }
    }

    fn arrive_one(&mut self, flow: &Flow, ms: u64, now: Instant) {
        let claim = Claim {
            service: SERVICE,
            lane: flow.lane,
            priority: flow.priority,
            organisation: flow.organisation,
        };
        let size = self.rng.random_range(0..1_000_u64);
        let slots = if size >= 900 { flow.large_slots } else { 1 };
        let cost = COST_MS * f64::from(u32::try_from(slots).expect("a small number"));
        let to = self.rng.random_range(0..GATEWAYS);
        let gateway = &mut self.gateways[to];
        let large = gateway.sizes.record(flow.priority, size);
        gateway.shares.ask(claim, cost, now);
        let patience = Duration::from_millis(PATIENCE_MS);
        let mut request = Request {
            claim,
            slots,
            large,
            largest_tenth: size >= 900,
            arrived: ms,
            key: WaitKey::default(),
        };
        let asking = self.asking(&request, true);
        let gateway = &mut self.gateways[to];
        let verdict = gateway.shares.verdict(&asking, now);
        let mut count = Count {
            arrived: 1,
            held: usize::from(verdict != Verdict::Admit),
            ..Count::default()
        };
        if self.with_shares && matches!(verdict, Verdict::Refuse(..)) {
            count.refused_at_once = 1;
            gateway.shares.found_no_room(claim, now);
        } else {
            let large_at = request.large.then(|| now + patience / 4);
            request.key = gateway.shares.wait(claim, cost, large_at);
            gateway.waiting.push(request);
        }
        self.count(claim, size >= 900, ms, count);
    }

    fn count(&mut self, claim: Claim, largest: bool, ms: u64, count: Count) {
        if ms >= WARM_UP_MS {
            let counts = self.counts.entry((claim, largest)).or_default();
            counts.add(count);
        }
    }

    fn place(&mut self, ms: u64, now: Instant) {
        let mut turns = (0..GATEWAYS).collect::<Vec<_>>();
        turns.shuffle(&mut self.rng);
        for at in turns {
            let mut waiting = std::mem::take(&mut self.gateways[at].waiting);
            waiting.shuffle(&mut self.rng);
            for request in waiting {
                let asking = self.asking(&request, false);
                let free = self.free();
                let gateway = &mut self.gateways[at];
                let verdict = gateway.shares.verdict(&asking, now);
                let admitted = !self.with_shares || verdict == Verdict::Admit;
                let cost = COST_MS * f64::from(u32::try_from(request.slots).expect("small"));
                if admitted && request.slots <= free {
                    gateway.shares.record(request.claim, cost, now);
                    gateway.shares.leave(request.key);
                    let end = ms + self.rng.random_range(ANSWER_MS);
                    self.running.push((end, request.slots));
                    let served = Count {
                        served: 1,
                        ..Count::default()
                    };
                    self.count(
                        request.claim,
                        request.largest_tenth,
                        request.arrived,
                        served,
                    );
                } else {
                    if admitted {
                        gateway.shares.found_no_room(request.claim, now);
                    }
                    if ms >= request.arrived + PATIENCE_MS {
                        gateway.shares.found_no_room(request.claim, now);
                        gateway.shares.leave(request.key);
                    } else {
                        gateway.waiting.push(request);
                    }
                }
            }
        }
    }

    fn sum<F>(&self, of: F) -> Count
    where
        F: Fn(&Claim, bool) -> bool,
    {
        let mut sum = Count::default();
        for ((claim, largest), count) in &self.counts {
            if of(claim, *largest) {
                sum.add(*count);
            }
        }
        sum
    }

    fn organisation(&self, organisation: u32) -> Count {
        self.sum(|claim, _| claim.organisation == organisation)
    }

    fn all(&self) -> Count {
        self.sum(|_, _| true)
    }

    #[expect(clippy::cast_precision_loss, reason = "a count of a short test")]
    fn utilization(&self, length_ms: u64) -> f64 {
        let offered = SLOTS as u64 * (length_ms - WARM_UP_MS);
        self.used_slot_ms as f64 / offered as f64
    }

    fn assert_no_organisation_is_starved(&self) {
        let mean = self.all().share();
        for organisation in 0..ORGANISATIONS {
            let served = self.organisation(organisation).share();
            assert!(
                served >= mean * MIN_OF_MEAN,
                "organisation {organisation} is served {served:.3} of its requests, all {mean:.3}"
            );
        }
    }
}

fn flows(per_s: f64) -> Vec<Flow> {
    let flow = |organisation| Flow {
        organisation,
        per_s,
        ..FLOW
    };
    (0..ORGANISATIONS).map(flow).collect()
}

/// Requests of one organisation that arrive a second in a flood: four times what the
/// service carries.
const FLOOD_PER_S: f64 = 200.0;

/// Load: 23 organisations want 72% of what the service carries, and a flood of the
/// twenty-fourth four times as much.
fn flood(seed: u64, lost: f64, with_shares: bool) -> World {
    let mut flows = flows(1.5);
    flows[0].per_s = FLOOD_PER_S;
    let mut world = World::new(seed);
    world.lost = lost;
    world.with_shares = with_shares;
    world.play(&flows, 40_000);
    world
}

fn others_in_flood(world: &World) -> Count {
    world.sum(|claim, _| claim.organisation != 0)
}

/// Guards against requests that find no place without any order: the organisation that
/// sends most gets most.
#[test]
fn without_shares_a_flood_takes_the_room_of_the_others() {
    let world = flood(1, 0.0, false);
    let others = others_in_flood(&world).share();
    assert!(others < 0.5, "the load shows the pattern: {others:.3}");
}

macro_rules! flood_leaves_the_others_their_share {
    ($name:ident, $seed:expr, $lost:expr) => {
        #[test]
        fn $name() {
            let world = flood($seed, $lost, true);
            let others = others_in_flood(&world).share();
            let flooding = world.organisation(0);
            let used = world.utilization(40_000);
            // They want less than an equal share, so all of it is theirs.
            assert!(others >= 0.95, "others are served {others:.3}");
            assert!(used >= MIN_USED, "used {used:.3} of the slots");
            assert!(
                flooding.refused_at_once * 2 > flooding.arrived,
                "most of the flood is told at once: {flooding:?}"
            );
            world.assert_no_organisation_is_starved();
        }
    };
}

flood_leaves_the_others_their_share!(flood_of_one_organisation, 1, 0.0);
flood_leaves_the_others_their_share!(flood_with_a_third_of_the_reports_lost, 2, 0.33);

/// Load: three large organisations send most of what arrives, and there is room for all.
/// Guards against shares that hold back a large organisation without a shortage.
#[test]
fn large_organisations_are_not_held_back_while_there_is_room() {
    let mut flows = flows(0.4);
    for flow in &mut flows[..3] {
        flow.per_s = 7.5;
    }
    let mut world = World::new(3);
    world.play(&flows, 40_000);
    let all = world.all();
    assert!(world.utilization(40_000) > 0.6, "the load is high");
    assert_eq!(all.held, 0, "{all:?}");
    assert_eq!(all.served, all.arrived, "{all:?}");
}

/// Load: three large organisations send two thirds of twice what the service carries.
/// Guards against shares so equal that a large organisation is hardly served.
#[test]
fn large_organisations_are_served_in_a_shortage() {
    let mut flows = flows(CARRIED_PER_S * 2.0 / 3.0 / 21.0);
    for flow in &mut flows[..3] {
        flow.per_s = CARRIED_PER_S * 4.0 / 9.0;
    }
    let mut world = World::new(4);
    world.play(&flows, 40_000);
    world.assert_no_organisation_is_starved();
    let used = world.utilization(40_000);
    assert!(used >= MIN_USED, "used {used:.3} of the slots");
}

/// Load: every organisation sends both kinds, one more urgent than the other, together
/// 1.5 times what the service carries; the less urgent kind alone fills it. Guards
/// against a more urgent request that is turned away while a less urgent one is served.
#[test]
fn rank_goes_before_share() {
    let mut flows = flows(0.8 * CARRIED_PER_S / f64::from(ORGANISATIONS));
    let less_urgent = flows.clone().into_iter().map(|flow| Flow {
        priority: 1,
        per_s: 0.7 * CARRIED_PER_S / f64::from(ORGANISATIONS),
        ..flow
    });
    flows.extend(less_urgent.collect::<Vec<_>>());
    // One organisation has far more urgent requests than its share.
    flows[0].per_s *= 3.0;
    let mut world = World::new(5);
    world.play(&flows, 40_000);
    let served = |priority| world.sum(|c, _| c.priority == priority).share();
    let (more, less) = (served(0), served(1));
    let used = world.utilization(40_000);
    assert!(
        more >= 0.95,
        "more urgent {more:.3}: there is room for all of them"
    );
    assert!(more + RANK_TOLERANCE >= less, "{more:.3}, {less:.3}");
    assert!(used >= MIN_USED, "used {used:.3} of the slots");
}

/// Load: twice what the service carries; a tenth of the requests need four times the
/// room. Guards against small requests that take each slot before a large one fits.
#[test]
fn largest_tenth_is_served_half_as_often_as_the_kind() {
    let mut flows = flows(1.6 * CARRIED_PER_S / f64::from(ORGANISATIONS));
    for flow in &mut flows {
        flow.large_slots = 4;
    }
    let served = |with_shares| {
        let mut world = World::new(6);
        world.with_shares = with_shares;
        world.play(&flows, 40_000);
        let largest = world.sum(|_, largest| largest).share();
        (largest, world.all().share())
    };
    let (largest, all) = served(false);
    assert!(
        largest < 0.5 * all,
        "the load shows the pattern: {largest:.3}, {all:.3}"
    );
    let (largest, all) = served(true);
    assert!(largest >= 0.5 * all, "{largest:.3}, {all:.3}");
}

/// Load: every ten seconds the requests change between many short ones of all
/// organisations and few of a more urgent kind, which need eight slots each. Guards
/// against usage of the last surge that decides the next one.
#[test]
fn surges_that_change_every_ten_seconds() {
    let short = flows(2.0 * CARRIED_PER_S / f64::from(ORGANISATIONS));
    let mut all = Vec::new();
    for flow in short {
        all.push(Flow {
            phase: Some(0),
            ..flow
        });
        all.push(Flow {
            phase: Some(1),
            priority: 1,
            per_s: flow.per_s / 2.0,
            large_slots: 8,
            ..flow
        });
    }
    // One organisation sends short requests also beside the others' surge.
    all[0].phase = None;
    all[0].per_s *= 4.0;
    let mut world = World::new(7);
    world.play(&all, 65_000);
    world.assert_no_organisation_is_starved();
    let used = world.utilization(65_000);
    assert!(used >= MIN_USED, "used {used:.3} of the slots");
}

fn claim(organisation: u32, lane: Lane) -> Claim {
    Claim {
        service: SERVICE,
        lane,
        priority: 0,
        organisation,
    }
}

fn asking(claim: Claim, patience_ms: Option<u64>) -> Asking {
    Asking {
        claim,
        large: false,
        free: 0,
        slots: 0,
        capacity: None,
        patience: patience_ms.map(Duration::from_millis),
    }
}

/// Load: a flood of 100 requests is refused within a second. Guards against callers that
/// all come back at the same moment, or before there is room.
#[test]
fn callers_told_a_time_come_back_spread_out() {
    let now = Instant::now();
    let mut shares = SharesInShortage::default();
    let flooding = claim(1, Lane::Slots);
    for _ in 0..200 {
        shares.ask(flooding, COST_MS, now);
    }
    for _ in 0..50 {
        shares.record(flooding, COST_MS, now);
    }
    let wait = Duration::from_millis(400);
    let mut by_250_ms = BTreeMap::<u128, usize>::new();
    for n in 0..100 {
        let now = now + Duration::from_millis(10 * n);
        let asking = asking(flooding, None);
        let after = shares.next_return(&asking, COST_MS, wait, GATEWAYS, now);
        assert!(after >= wait, "{after:?}: too early");
        assert!(after <= Duration::from_secs(12), "{after:?}: too late");
        let at = after + Duration::from_millis(10 * n);
        *by_250_ms.entry(at.as_millis() / 250).or_default() += 1;
    }
    let most = by_250_ms.values().max().copied().unwrap_or_default();
    // Spread evenly over five seconds, 100 callers are 5 in 250 ms.
    assert!(most <= 15, "{by_250_ms:?}");
}

/// Guards against a prompt that waits although it cannot meet its time, and against one
/// that is refused because of another organisation's queue.
#[test]
fn long_prompt_that_cannot_meet_its_time_is_told_at_once_when_it_could() {
    let now = Instant::now();
    let mut shares = SharesInShortage::default();
    let (flooding, other) = (claim(1, Lane::Engines), claim(2, Lane::Engines));
    for _ in 0..40 {
        shares.ask(flooding, 4_000.0, now);
        shares.wait(flooding, 4_000.0, None);
    }
    shares.ask(other, 4_000.0, now);
    shares.found_no_room(flooding, now);
    let of = |claim| Asking {
        capacity: Some(8.0),
        ..asking(claim, Some(5_000))
    };
    let Verdict::Refuse(Reason::Share, wait) = shares.verdict(&of(flooding), now) else {
        panic!("160 s of work on 8 engines takes longer than 5 s");
    };
    assert!((18.0..24.0).contains(&wait.as_secs_f64()), "{wait:?}");
    assert_eq!(shares.verdict(&of(other), now), Verdict::Admit);
}

/// Guards against shares that act without a shortage, and messages about it.
#[test]
fn nothing_is_held_or_reported_without_a_shortage() {
    let now = Instant::now();
    let mut shares = SharesInShortage::default();
    for organisation in 0..3 {
        let claim = claim(organisation, Lane::Slots);
        shares.ask(claim, COST_MS, now);
        shares.record(claim, COST_MS, now);
        shares.wait(claim, COST_MS, None);
        let verdict = shares.verdict(&asking(claim, Some(0)), now);
        assert_eq!(verdict, Verdict::Admit);
    }
    assert_eq!(shares.report(now), None);
    shares.found_no_room(claim(1, Lane::Slots), now);
    assert!(shares.report(now).is_some());
    let later = now + Duration::from_secs(1);
    assert_eq!(shares.report(later), None, "the shortage is over");
}

/// Guards against usage that vanishes with the gateway that reported it, and against
/// requests that wait there for ever.
#[test]
fn silent_gateway_counts_until_its_usage_has_decayed() {
    let now = Instant::now();
    let (mut silent, mut shares) = (SharesInShortage::default(), SharesInShortage::default());
    let (above, below) = (claim(1, Lane::Slots), claim(2, Lane::Slots));
    for _ in 0..10 {
        silent.ask(above, COST_MS, now);
        silent.record(above, COST_MS, now);
    }
    silent.ask(below, COST_MS * 10.0, now);
    silent.wait(below, COST_MS, None);
    silent.found_no_room(below, now);
    let report = silent.report(now).expect("a shortage");
    shares.apply_report(1, report, now);
    let held = Verdict::Behind(Reason::Share);
    assert_eq!(shares.verdict(&asking(above, None), now), held);
    let later = now + Duration::from_millis(700);
    assert_eq!(shares.verdict(&asking(above, None), later), Verdict::Admit);
    shares.wait(below, COST_MS, None);
    assert_eq!(
        shares.verdict(&asking(above, None), later + Duration::from_millis(16)),
        held
    );
}

/// Guards against a report that is larger than its part of a heartbeat.
#[test]
fn report_holds_at_most_64_entries() {
    let now = Instant::now();
    let mut shares = SharesInShortage::default();
    for organisation in 0..200 {
        shares.ask(
            claim(organisation, Lane::Slots),
            f64::from(organisation),
            now,
        );
    }
    shares.found_no_room(claim(0, Lane::Slots), now);
    let report = shares.report(now).expect("a shortage");
    assert_eq!(report.usage.len(), 64);
    assert!(report.is_valid());
    assert!(report.usage.iter().all(|usage| usage.wanted_ms >= 136.0));
}
