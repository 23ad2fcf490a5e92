//! Detection by several gateways of a part of prompts that crashes engines, among sound
//! requests that share the rest with it, and engines that crash on their own.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::crashes::REMEMBER_FOR;
use briarhall_policy::crashes::SUSPECT_FOR;
use briarhall_policy::crashing_parts::CRASHES_TO_BLOCK;
use briarhall_policy::crashing_parts::CRASHES_TO_SUSPEND;
use briarhall_policy::crashing_parts::CrashingParts;
use briarhall_policy::crashing_parts::MAX_OBSERVATIONS;
use briarhall_policy::crashing_parts::SUSPEND_FOR;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Part that crashes engines.
const POISON: u64 = 1;
/// First part of all prompts.
const FIRST: u64 = 2;
/// First of the documents that sound requests ask about.
const DOCUMENTS: u64 = 100;

const STEP: Duration = Duration::from_millis(10);
/// Time in which gateways have to notice a change.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Crashes under one part after which few requests with it may still reach engines.
const CRASHES: usize = 5;
/// Requests with such a part that may still reach engines.
const MAX_SENDS_AFTER: usize = 3;

/// A fleet and its load.
#[derive(Debug, Clone, Copy)]
struct Load {
    gateways: usize,
    engines: usize,
    sound_per_s: f64,
    documents: u64,
    poison_per_s: f64,
    /// Engines that crash on their own, a second.
    crashes_per_s: f64,
    /// From a crash until the gateways that had requests there know of it.
    confirmed_after: Duration,
    /// From an observation until all gateways have heard of it.
    heard_after: Duration,
}

/// A small fleet with a crashing part in a sixth of its requests.
const SMALL_FLEET: Load = Load {
    gateways: 9,
    engines: 14,
    sound_per_s: 28.0,
    documents: 40,
    poison_per_s: 5.0,
    crashes_per_s: 0.0,
    confirmed_after: Duration::from_millis(20),
    heard_after: Duration::from_millis(60),
};

#[derive(Debug, Clone)]
struct Sent {
    gateway: usize,
    parts: Vec<u64>,
    at: Instant,
    prefilled_at: Instant,
    has_written: bool,
    is_resent: bool,
}

/// What became of the requests.
#[derive(Debug, Default)]
struct Outcome {
    crash_times: Vec<Instant>,
    poison_sends: Vec<Instant>,
    /// When sound requests arrived, and whether they were refused.
    sound: Vec<(Instant, bool)>,
}

impl Outcome {
    /// Returns how many requests with the part were sent after the engines' fifth crash
    /// and the time to notice it.
    fn sends_after(&self) -> usize {
        let Some(fifth) = self.crash_times.get(CRASHES - 1) else {
            return 0;
        };
        let late = self.poison_sends.iter();
        late.filter(|at| **at > *fifth + STABLE_WINDOW).count()
    }

    /// Returns the shares of sound requests that were sent: of all, and of those that
    /// arrived when the gateways have had time to notice.
    fn sound_served(&self) -> (f64, f64) {
        let last = self.crash_times.iter().take(CRASHES).max().copied();
        let share = |from: Option<Instant>| {
            let sound = self.sound.iter();
            let sound = sound.filter(|(at, _)| from.is_none_or(|from| *at > from));
            let (all, refused) = sound.fold((0.0, 0.0), |(all, refused), (_, is_refused)| {
                (all + 1.0, refused + f64::from(u8::from(*is_refused)))
            });
            1.0 - refused / f64::max(all, 1.0)
        };
        (
            share(None),
            share(last.map(|last| last + STABLE_WINDOW * 2)),
        )
    }
}

struct Fleet {
    load: Load,
    rng: StdRng,
    now: Instant,
    gateways: Vec<CrashingParts>,
    engines: Vec<Vec<Sent>>,
    up_at: Vec<Instant>,
    /// Crashes that are not yet known: when they will be, the engine, the request and when
    /// it broke off.
    unconfirmed: Vec<(Instant, u32, Sent, Instant)>,
    outcome: Outcome,
}

impl Fleet {
    fn new(load: Load, seed: u64) -> Self {
        let now = Instant::now();
        Self {
            load,
            rng: StdRng::seed_from_u64(seed),
            now,
            gateways: (0..load.gateways)
                .map(|_| CrashingParts::default())
                .collect(),
            engines: vec![Vec::new(); load.engines],
            up_at: vec![now; load.engines],
            unconfirmed: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn happens(&mut self, per_s: f64) -> bool {
        self.rng.random_bool((per_s * STEP.as_secs_f64()).min(1.0))
    }

    fn arrive(&mut self, parts: Vec<u64>, is_resent: bool) {
        let gateway = self.rng.random_range(0..self.load.gateways);
        let is_poison = parts.contains(&POISON);
        let refused = self.gateways[gateway].refusal(&parts, self.now).is_some();
        if !is_poison && !is_resent {
            self.outcome.sound.push((self.now, refused));
        }
        let up = (0..self.load.engines).filter(|n| self.up_at[*n] <= self.now);
        let up = up.collect::<Vec<_>>();
        if refused || up.is_empty() {
            return;
        }
        if is_poison {
            self.outcome.poison_sends.push(self.now);
        }
        let engine = up[self.rng.random_range(0..up.len())];
        let prefill = Duration::from_millis(self.rng.random_range(60..350));
        self.engines[engine].push(Sent {
            gateway,
            parts,
            at: self.now,
            prefilled_at: self.now + prefill,
            has_written: false,
            is_resent,
        });
    }

    fn crash(&mut self, engine: usize) {
        self.up_at[engine] = self.now + Duration::from_millis(self.rng.random_range(1200..4000));
        self.outcome.crash_times.push(self.now);
        for sent in std::mem::take(&mut self.engines[engine]) {
            if !sent.is_resent && !sent.has_written {
                self.arrive(sent.parts.clone(), true);
            }
            let known_at = self.now + self.load.confirmed_after;
            let replica = u32::try_from(engine).expect("few engines");
            self.unconfirmed.push((known_at, replica, sent, self.now));
        }
    }

    fn run_engines(&mut self) {
        for engine in 0..self.load.engines {
            let now = self.now;
            let ready = |sent: &Sent| sent.prefilled_at <= now;
            let is_poison = |sent: &Sent| sent.parts.contains(&POISON);
            if self.engines[engine]
                .iter()
                .any(|s| ready(s) && is_poison(s))
            {
                self.crash(engine);
                continue;
            }
            for sent in &mut self.engines[engine] {
                if ready(sent) && !sent.has_written {
                    sent.has_written = true;
                    self.gateways[sent.gateway].wrote(&sent.parts, now);
                }
            }
            let end = Duration::from_secs(2);
            self.engines[engine].retain(|sent| sent.prefilled_at + end > now);
        }
    }

    fn confirm(&mut self) {
        let now = self.now;
        let (known, unknown) = std::mem::take(&mut self.unconfirmed)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, ..)| *at <= now);
        self.unconfirmed = unknown;
        for (_, replica, sent, crashed_at) in known {
            if !sent.has_written {
                self.gateways[sent.gateway].crashed(replica, &sent.parts, sent.at, crashed_at);
            }
        }
    }

    fn gossip(&mut self) {
        let now = self.now;
        let all = self.gateways.iter_mut().map(|gateway| gateway.own(now));
        for (from, observations) in all.collect::<Vec<_>>().iter().enumerate() {
            for to in (0..self.gateways.len()).filter(|to| *to != from) {
                self.gateways[to].set_peer_observations(from as u64, observations, self.now);
            }
        }
        for gateway in &mut self.gateways {
            gateway.remove_expired(self.now);
        }
    }

    fn run(mut self, time: Duration) -> Outcome {
        let end = self.now + time;
        let mut heard_at = self.now;
        while self.now < end {
            if self.happens(self.load.sound_per_s) {
                let document = DOCUMENTS + self.rng.random_range(0..self.load.documents);
                self.arrive(vec![FIRST, document], false);
            }
            if self.happens(self.load.poison_per_s) {
                let document = DOCUMENTS + self.rng.random_range(0..self.load.documents);
                self.arrive(vec![FIRST, POISON, document], false);
            }
            if self.happens(self.load.crashes_per_s) {
                let engine = self.rng.random_range(0..self.load.engines);
                if self.up_at[engine] <= self.now {
                    self.crash(engine);
                }
            }
            self.run_engines();
            self.confirm();
            if self.now >= heard_at {
                self.gossip();
                heard_at = self.now + self.load.heard_after;
            }
            self.now += STEP;
        }
        self.outcome
    }
}

fn check_load(load: Load, seeds: u64) {
    check_load_for(Duration::from_secs(25), load, seeds);
}

fn check_load_for(time: Duration, load: Load, seeds: u64) {
    for seed in 0..seeds {
        let outcome = Fleet::new(load, seed).run(time);
        let after = outcome.sends_after();
        assert!(after <= MAX_SENDS_AFTER, "seed {seed}: {after} sends after");
        let (_, served) = outcome.sound_served();
        assert!(served > 0.9, "seed {seed}: {served} of sound requests sent");
    }
}

macro_rules! loads {
    ($($(#[$guard:meta])* $name:ident($seeds:expr): $load:expr,)*) => {$(
        $(#[$guard])*
        #[test]
        fn $name() {
            check_load($load, $seeds);
        }
    )*};
}

loads! {
    /// Guards against engines that crash one after the other under one part of many prompts.
    a_part_in_a_sixth_of_the_questions_is_found(60): SMALL_FLEET,
    /// Guards against the same where the part comes rarely, so that much else crashes beside it.
    a_rare_part_is_found(60): Load { poison_per_s: 0.7, ..SMALL_FLEET },
    /// Guards against the same where all engines crash at once.
    a_part_in_most_questions_is_found(60): Load { poison_per_s: 60.0, ..SMALL_FLEET },
    /// Guards against refusing what sound requests share with the part, where they are rare.
    a_part_among_few_sound_requests_is_found(60): Load { sound_per_s: 3.0, documents: 4, ..SMALL_FLEET },
    /// Guards against the same in a fleet of many gateways, each of which sees little.
    a_part_at_many_gateways_is_found(3): Load {
        gateways: 95, engines: 172, sound_per_s: 234.0, documents: 300, poison_per_s: 30.0,
        heard_after: Duration::from_millis(300), ..SMALL_FLEET
    },
    /// Guards against taking engines that crash on their own for the work of a part.
    a_part_is_found_while_engines_crash_on_their_own(60): Load { crashes_per_s: 0.5, ..SMALL_FLEET },
}

/// Guards against a part that comes too rarely for three crashes in a minute, and takes an
/// engine each time for as long as it comes.
#[test]
fn a_part_that_comes_every_half_minute_is_found() {
    let load = Load {
        poison_per_s: 1.0 / 25.0,
        ..SMALL_FLEET
    };
    check_load_for(Duration::from_mins(8), load, 8);
}

/// Guards against refusing sound requests because engines crash on their own.
#[test]
fn engines_that_crash_on_their_own_suspend_hardly_anything() {
    let load = Load {
        poison_per_s: 0.0,
        crashes_per_s: 2.0,
        ..SMALL_FLEET
    };
    for seed in 0..60 {
        let outcome = Fleet::new(load, seed).run(Duration::from_secs(25));
        let (served, _) = outcome.sound_served();
        assert!(
            served > 0.98,
            "seed {seed}: {served} of sound requests sent"
        );
    }
}

/// Time that a request runs, and step of the clock in the cases below.
const RUN: Duration = Duration::from_millis(200);

/// Returns the parts for which a request is refused.
fn refused_parts(parts: &mut CrashingParts, held: &[u64], now: Instant) -> Option<Vec<u64>> {
    let refusal = parts.refusal(held, now)?;
    assert!(!refusal.time_left.is_zero());
    Some(refusal.parts)
}

/// Records crashes of different replicas, one after the other, each with these parts.
fn crash_in_a_row(parts: &mut CrashingParts, crashes: &[&[u64]], from: Instant) -> Instant {
    let mut now = from;
    for (n, present) in crashes.iter().enumerate() {
        let replica = u32::try_from(n).expect("few crashes");
        parts.crashed(replica, present, now, now + RUN / 2);
        now += RUN;
    }
    now
}

#[test]
fn a_part_is_refused_after_three_crashes_in_a_row_and_tried_again() {
    let mut parts = CrashingParts::default();
    let crashes: [&[u64]; CRASHES_TO_SUSPEND] = [&[POISON, 7], &[POISON, 8], &[POISON, 9]];
    let now = crash_in_a_row(&mut parts, &crashes, Instant::now());
    assert_eq!(
        refused_parts(&mut parts, &[POISON, 3], now),
        Some(vec![POISON])
    );
    assert_eq!(
        refused_parts(&mut parts, &[7, 8, 9], now),
        None,
        "explained by the other"
    );
    assert_eq!(
        refused_parts(&mut parts, &[POISON], now + SUSPEND_FOR),
        None
    );
}

#[test]
fn a_part_is_blocked_after_five_crashes_and_remembered() {
    let mut parts = CrashingParts::default();
    let crashes: [&[u64]; CRASHES_TO_BLOCK] = [&[POISON]; CRASHES_TO_BLOCK];
    let now = crash_in_a_row(&mut parts, &crashes, Instant::now());
    let later = now + SUSPECT_FOR;
    parts.remove_expired(later);
    assert_eq!(
        refused_parts(&mut parts, &[POISON], later),
        Some(vec![POISON])
    );
    let expired = now + REMEMBER_FOR;
    parts.remove_expired(expired);
    assert_eq!(refused_parts(&mut parts, &[POISON], expired), None);
    assert!(parts.is_empty());
}

/// Guards against a block that ends with the gateways that saw the crashes.
#[test]
fn a_block_is_passed_on_by_gateways_that_saw_no_crash() {
    let mut all = [(); 3].map(|()| CrashingParts::default());
    let crashes: [&[u64]; CRASHES_TO_BLOCK] = [&[POISON]; CRASHES_TO_BLOCK];
    let now = crash_in_a_row(&mut all[0], &crashes, Instant::now());
    let first = all[0].own(now);
    all[1].set_peer_observations(1, &first, now);
    let second = all[1].own(now + SUSPECT_FOR);
    all[2].set_peer_observations(2, &second, now + SUSPECT_FOR);
    assert!(refused_parts(&mut all[2], &[POISON], now + SUSPECT_FOR).is_some());
}

/// Guards against two parts that are refused because they came together.
#[test]
fn of_two_parts_that_come_together_only_both_at_once_are_refused() {
    let mut parts = CrashingParts::default();
    let crashes: [&[u64]; CRASHES_TO_BLOCK] = [&[POISON, 7]; CRASHES_TO_BLOCK];
    let now = crash_in_a_row(&mut parts, &crashes, Instant::now());
    assert_eq!(
        refused_parts(&mut parts, &[POISON, 7], now),
        Some(vec![POISON, 7])
    );
    assert_eq!(refused_parts(&mut parts, &[7], now), None);
    assert_eq!(refused_parts(&mut parts, &[POISON], now), None);
    // The answer to a request with one of them tells which it is.
    parts.wrote(&[7], now);
    assert_eq!(
        refused_parts(&mut parts, &[POISON], now),
        Some(vec![POISON])
    );
    assert_eq!(refused_parts(&mut parts, &[7], now), None);
}

#[test]
fn replicas_lost_at_the_same_moment_count_once() {
    let now = Instant::now();
    let mut parts = CrashingParts::default();
    for replica in 0..8 {
        parts.crashed(replica, &[7], now, now + RUN);
    }
    assert_eq!(refused_parts(&mut parts, &[7], now + RUN), None);
}

#[test]
fn one_crash_that_several_gateways_saw_counts_once() {
    let mut now = Instant::now();
    let mut parts = CrashingParts::default();
    for _ in 0..2 {
        for replica in [1, 2, 1, 2] {
            parts.crashed(replica, &[7], now, now + RUN / 2);
        }
        now += RUN;
    }
    assert_eq!(refused_parts(&mut parts, &[7], now), None);
}

#[test]
fn what_a_gateway_keeps_is_bounded() {
    let now = Instant::now();
    let mut parts = CrashingParts::default();
    for n in 0..10 * MAX_OBSERVATIONS as u64 {
        parts.crashed(9, &[100 + n], now, now + RUN);
    }
    assert_eq!(parts.own(now + RUN).len(), MAX_OBSERVATIONS);
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A replica crashes with requests of these parts, as bits, one for each gateway.
    Crash { held: [u8; 2] },
    /// A gateway sees an answer to a request with these parts.
    Write { gateway: u8, held: u8 },
    /// Time passes, in steps of half a second.
    Wait { steps: u8 },
}

fn parts_of(held: u8) -> Vec<u64> {
    (0..4).filter(|n| held & (1 << n) != 0).collect()
}

/// Plays a history at two gateways that hear each other at once. Each crash hits sends
/// that began after the one before it.
fn check(ops: &[Op]) {
    let mut gateways = [CrashingParts::default(), CrashingParts::default()];
    let mut now = Instant::now();
    // The crashes at which each part was present since an answer on it was last written.
    let mut since_written = BTreeMap::<u64, BTreeSet<u32>>::new();
    for (n, op) in ops.iter().enumerate() {
        let replica = u32::try_from(n).expect("few operations");
        now += RUN;
        match *op {
            Op::Crash { held } => {
                for (gateway, held) in gateways.iter_mut().zip(held) {
                    gateway.crashed(replica, &parts_of(held), now, now + RUN / 2);
                }
                for part in parts_of(held[0] | held[1]) {
                    since_written.entry(part).or_default().insert(replica);
                }
                now += RUN;
            }
            Op::Write { gateway, held } => {
                gateways[usize::from(gateway) % 2].wrote(&parts_of(held), now);
                for part in parts_of(held) {
                    since_written.remove(&part);
                }
            }
            Op::Wait { steps } => now += Duration::from_millis(500) * u32::from(steps % 4),
        }
        for (from, to) in [(0, 1), (1, 0)] {
            let observations = gateways[from].own(now);
            gateways[to].set_peer_observations(from as u64, &observations, now);
        }
        for held in 1..16 {
            let parts = parts_of(held);
            let refused = gateways.each_mut().map(|g| refused_parts(g, &parts, now));
            assert_eq!(refused[0], refused[1], "the gateways agree");
            let Some(causes) = &refused[0] else {
                continue;
            };
            // What was answered since, or met fewer crashes, is no cause.
            let crashes = |part: &u64| since_written.get(part).map_or(0, BTreeSet::len);
            assert!(causes.iter().all(|part| parts.contains(part)));
            assert!(
                causes
                    .iter()
                    .any(|part| crashes(part) >= CRASHES_TO_SUSPEND),
                "{causes:?} refused by {since_written:?}"
            );
            assert!(causes.iter().all(|part| crashes(part) > 0));
        }
    }
    // A part with at least twice as many crashes since its last answer as any other is
    // refused.
    let most = since_written
        .iter()
        .max_by_key(|(_, crashes)| crashes.len());
    if let Some((part, crashes)) = most {
        let others = since_written.iter().filter(|(other, _)| *other != part);
        let next = others.map(|(_, crashes)| crashes.len()).max().unwrap_or(0);
        if crashes.len() >= CRASHES_TO_BLOCK && crashes.len() >= next * 2 {
            assert!(refused_parts(&mut gateways[0], &[*part], now).is_some());
        }
    }
}

#[test]
fn no_part_is_refused_that_was_answered_or_is_explained() {
    briarhall_fuzz::histories::<Op, _>(1..40, check);
}
