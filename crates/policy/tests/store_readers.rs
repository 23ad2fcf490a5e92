//! Which gateways of a deployment read the store, through loads and failures of a site
//! of 86 gateways in three zones.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::peers::HEARTBEAT_INTERVAL;
use briarhall_policy::peers::regular_interval;
use briarhall_policy::store_checks::StoreChecks;
use briarhall_policy::store_readers::ALL_READ_UP_TO;
use briarhall_policy::store_readers::MAX_HEARD_AGE;
use briarhall_policy::store_readers::MIN_READERS;
use briarhall_policy::store_readers::MIN_READING;
use briarhall_policy::store_readers::OwnPlace;
use briarhall_policy::store_readers::ReadCause;
use briarhall_policy::store_readers::ReaderChange;
use briarhall_policy::store_readers::ReaderReport;
use briarhall_policy::store_readers::StoreReaders;
use briarhall_policy::store_readers::StoreReading;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time in which changes must be in force.
const IN_FORCE: Duration = Duration::from_secs(3);
/// Time between two decisions, and step of the model.
const STEP: Duration = Duration::from_millis(50);
const GATEWAYS: usize = 86;
const ZONES: usize = 3;
/// The first gateways are those that the directory names.
const ADVERTISED: usize = 12;
/// Time in which a deployment that has started comes to rest.
const SETTLING: Duration = Duration::from_secs(3);
const DAY: Duration = Duration::from_secs(48);

struct Gateway {
    readers: StoreReaders,
    up: bool,
    advertised: bool,
    next_heartbeat: Duration,
    next_check: Duration,
    /// The last report of each other gateway.
    heard: Vec<Option<ReaderReport>>,
    changes: Vec<(Duration, ReaderChange)>,
}

/// A site whose gateways hear each other at the interval of those that stand by.
struct Site {
    start: Instant,
    at: Duration,
    gateways: Vec<Gateway>,
    rng: StdRng,
    /// Part of the heartbeats that are lost.
    loss: f64,
    /// Zone that is cut from the others.
    cut_zone: Option<usize>,
    /// Whether the store answers a gateway.
    answers: fn(usize) -> bool,
}

impl Site {
    fn new(gateways: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(11);
        let interval = regular_interval(gateways);
        let gateway = |n: usize| Gateway {
            readers: StoreReaders::new(ALL_READ_UP_TO, IN_FORCE),
            up: true,
            advertised: n < ADVERTISED,
            next_heartbeat: interval.mul_f64(rng.random::<f64>()),
            next_check: IN_FORCE.mul_f64(rng.random::<f64>() / 4.0),
            heard: vec![None; gateways],
            changes: Vec::new(),
        };
        Self {
            start: Instant::now(),
            at: Duration::ZERO,
            gateways: (0..gateways).map(gateway).collect(),
            rng,
            loss: 0.0,
            cut_zone: None,
            answers: |_| true,
        }
    }

    /// Returns a site in which all but the advertised gateways stand by.
    fn settled() -> Self {
        let mut site = Self::new(GATEWAYS);
        site.run(SETTLING);
        assert_eq!(site.reading(), ADVERTISED, "the others stand by");
        site
    }

    fn zone(gateway: usize) -> usize {
        // Zone 0 has three of the advertised gateways.
        if gateway < 3 {
            0
        } else if gateway < ADVERTISED {
            1 + gateway % 2
        } else {
            gateway % ZONES
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.at + time;
        while self.at < end {
            self.step();
            self.at += STEP;
        }
    }

    fn step(&mut self) {
        let now = self.start + self.at;
        let count = self.gateways.len();
        let checks = StoreChecks::new(IN_FORCE);
        for n in 0..count {
            let gateway = &mut self.gateways[n];
            if !gateway.up {
                continue;
            }
            if gateway.readers.reads() && self.at >= gateway.next_check {
                gateway.next_check = self.at + checks.interval();
                if (self.answers)(n) {
                    gateway.readers.record_answer(now);
                }
            }
            if self.at >= gateway.next_heartbeat {
                gateway.next_heartbeat = self.at + regular_interval(count);
                let report = gateway.readers.report(gateway.advertised, now);
                let report = report.map(|reading| ReaderReport {
                    heard_at: now,
                    reading,
                });
                self.deliver(n, report);
            }
        }
        for gateway in self.gateways.iter_mut().filter(|g| g.up) {
            let own = OwnPlace {
                gateways: count,
                advertised: gateway.advertised,
            };
            let heard = gateway.heard.iter().copied().flatten();
            let change = gateway.readers.decide(own, heard, now);
            gateway.changes.extend(change.map(|c| (self.at, c)));
        }
    }

    fn deliver(&mut self, from: usize, report: Option<ReaderReport>) {
        for to in (0..self.gateways.len()).filter(|to| *to != from) {
            let is_cut = self
                .cut_zone
                .is_some_and(|zone| (Self::zone(from) == zone) != (Self::zone(to) == zone));
            if !is_cut && self.rng.random::<f64>() >= self.loss {
                self.gateways[to].heard[from] = report;
            }
        }
    }

    fn reading(&self) -> usize {
        let up = self.gateways.iter().filter(|g| g.up);
        up.filter(|g| g.readers.reads()).count()
    }

    /// Returns how many gateways that are up read the lists in the store.
    fn reading_lists(&self) -> usize {
        let up = self.gateways.iter().filter(|g| g.up);
        up.filter(|g| g.readers.reads_lists()).count()
    }

    fn changes_since(&self, since: Duration) -> usize {
        let changes = self.gateways.iter().flat_map(|g| &g.changes);
        changes.filter(|(at, _)| *at >= since).count()
    }
}

/// Load: 86 gateways on a calm day of 48 s. Guards against gateways that stand by and
/// call the store.
fn calm_day_of_86_gateways() {
    let mut site = Site::settled();
    site.run(DAY);
    assert_eq!(site.reading(), ADVERTISED);
    assert_eq!(site.changes_since(SETTLING), 0, "nothing changes");
}

/// Failure: a third of the heartbeats is lost. Guards against gateways that read the
/// store for no other reason.
fn a_third_of_the_heartbeats_is_lost() {
    let mut site = Site::settled();
    site.loss = 1.0 / 3.0;
    let mut reading = 0;
    let steps = 960;
    for _ in 0..steps {
        site.run(STEP);
        reading += site.reading();
    }
    let mean = reading / steps;
    assert!(mean <= GATEWAYS / 4, "{mean} gateways read the store");
}

/// Failure: all readers die at once. Guards against gateways that hear of nothing new.
fn all_readers_die_at_once() {
    let mut site = Site::settled();
    for gateway in &mut site.gateways[..ADVERTISED] {
        gateway.up = false;
    }
    site.run(MAX_HEARD_AGE + STEP * 2);
    assert_eq!(site.reading(), GATEWAYS - ADVERTISED, "everybody reads");
    // The directory names others after a while.
    for gateway in &mut site.gateways[ADVERTISED..2 * ADVERTISED] {
        gateway.advertised = true;
    }
    site.run(MIN_READING + SETTLING);
    assert_eq!(site.reading(), ADVERTISED, "the others stand by again");
}

/// Failure: a zone is cut from the others, with three of the readers. Guards against its
/// gateways standing by with too few readers, and against the others reading all.
fn a_zone_is_cut_off() {
    let mut site = Site::settled();
    site.cut_zone = Some(0);
    site.run(MAX_HEARD_AGE + STEP * 2);
    for (n, gateway) in site.gateways.iter().enumerate() {
        let expected = n < ADVERTISED || Site::zone(n) == 0;
        assert_eq!(gateway.readers.reads(), expected, "gateway {n}");
    }
    site.cut_zone = None;
    site.run(MIN_READING + SETTLING);
    assert_eq!(site.reading(), ADVERTISED);
}

/// Failure: the store turns the readers away and serves the others. Guards against
/// changes that nobody reads in time, and against gateways that stand by in turns as
/// long as it lasts.
fn the_store_turns_the_readers_away() {
    let mut site = Site::settled();
    let since = site.at;
    site.answers = |gateway| gateway >= ADVERTISED;
    // The rest of the time is for the read, and for readers that learn of it.
    site.run(IN_FORCE / 2);
    assert_eq!(site.reading(), GATEWAYS);
    site.run(DAY);
    assert_eq!(site.reading(), GATEWAYS);
    assert_eq!(site.changes_since(since), GATEWAYS - ADVERTISED);
}

/// Failure: the store turns a few readers away. Guards against all others calling it.
fn the_store_turns_some_readers_away() {
    let mut site = Site::settled();
    site.answers = |gateway| gateway >= ADVERTISED / 3;
    site.run(DAY);
    assert_eq!(site.reading(), ADVERTISED);
}

/// Failure: the store is away for some seconds, and entries may lapse. Guards against a
/// gateway that takes the outage for shorter than it was.
fn an_outage_of_the_store_counts_from_the_last_answer() {
    let mut site = Site::settled();
    site.answers = |_| false;
    let began = site.start + site.at;
    site.run(IN_FORCE / 2);
    assert_eq!(site.reading(), GATEWAYS);
    for gateway in &site.gateways[ADVERTISED..] {
        let Some((_, ReaderChange::Reads { silent_since, .. })) = gateway.changes.last() else {
            panic!("{:?}", gateway.changes);
        };
        let since = silent_since.expect("readers had answers");
        assert!(since <= began, "not later than it began");
        assert!(began.saturating_duration_since(since) <= MAX_HEARD_AGE);
    }
    site.answers = |_| true;
    site.run(MIN_READING + SETTLING);
    assert_eq!(site.reading(), ADVERTISED);
}

/// Failure: the store is away for all. Guards against calls of all gateways that are in
/// vain: those that stood by check the store, and read the lists once it has answered.
fn lists_are_read_in_an_outage_once_the_store_has_answered() {
    let mut site = Site::settled();
    site.answers = |_| false;
    site.run(DAY);
    assert_eq!(site.reading(), GATEWAYS);
    assert_eq!(site.reading_lists(), ADVERTISED);
    site.answers = |_| true;
    // Each checks at every quarter of the time.
    site.run(IN_FORCE / 4 + STEP);
    assert_eq!(site.reading_lists(), GATEWAYS);
}

/// Failure: the directory names a gateway just when an outage has begun. Guards against
/// one that takes the outage for shorter than it was.
fn a_gateway_that_is_named_in_an_outage_knows_when_it_began() {
    let mut site = Site::settled();
    site.answers = |_| false;
    let began = site.start + site.at;
    site.run(MAX_HEARD_AGE / 2);
    site.gateways[ADVERTISED].advertised = true;
    site.run(STEP);
    let change = site.gateways[ADVERTISED].changes.last();
    let Some((_, ReaderChange::Reads { silent_since, .. })) = change else {
        panic!("{change:?}");
    };
    assert!(silent_since.is_some_and(|since| since <= began));
}

/// Failure: a process is paused for some seconds, and then receives heartbeats that have
/// waited in its socket. Guards against trust in what they say.
fn a_paused_process_reads_at_once() {
    let mut site = Site::settled();
    let paused = GATEWAYS - 1;
    site.gateways[paused].up = false;
    site.run(Duration::from_secs(4));
    let waiting = site.gateways[paused].heard.clone();
    let now = site.start + site.at;
    let fresh = waiting.into_iter().map(|report| {
        report.map(|report| ReaderReport {
            heard_at: now,
            ..report
        })
    });
    site.gateways[paused].heard = fresh.collect();
    site.gateways[paused].up = true;
    site.run(STEP);
    let last = site.gateways[paused].changes.last();
    let expected = ReaderChange::Reads {
        cause: ReadCause::Paused,
        silent_since: None,
    };
    assert_eq!(last.map(|(_, change)| *change), Some(expected));
    site.run(MIN_READING.saturating_sub(STEP * 2));
    assert!(site.gateways[paused].readers.reads());
    site.run(SETTLING);
    assert!(!site.gateways[paused].readers.reads());
}

/// Failure: the store turns one reader away. Guards against a reader that waits for a
/// watch that the store does not serve, and one of a small deployment that does not.
fn a_reader_that_the_store_turns_away_waits_for_no_watch() {
    for (gateways, waits) in [(GATEWAYS, false), (ALL_READ_UP_TO, true)] {
        let mut site = Site::new(gateways);
        site.run(SETTLING);
        let now = site.start + site.at;
        assert!(site.gateways[0].readers.expects_changes(now));
        site.answers = |gateway| gateway > 0;
        site.run(IN_FORCE / 2);
        let now = site.start + site.at;
        assert_eq!(site.gateways[0].readers.expects_changes(now), waits);
        assert!(site.gateways[1].readers.expects_changes(now));
    }
}

/// Load: the requests grow and shrink, and the directory names others. Guards against a
/// gateway that takes clients and stands by, and against lists that are read each time.
fn the_advertised_set_changes() {
    let mut site = Site::settled();
    let newly = ADVERTISED;
    for _ in 0..8 {
        site.gateways[newly].advertised = true;
        site.run(STEP);
        assert!(site.gateways[newly].readers.reads());
        site.gateways[newly].advertised = false;
        site.run(Duration::from_secs(2));
    }
    assert_eq!(site.gateways[newly].changes.len(), 2, "by and reads");
    // One that is named no longer stands by after a while.
    site.gateways[0].advertised = false;
    site.run(MIN_READING + STEP * 2);
    assert_eq!(site.reading(), ADVERTISED - 1);
}

/// Load: deployments of different sizes. Guards against a change of the calls of those
/// that are small.
fn small_deployments_read_as_before() {
    for gateways in [1, 9, 30, ALL_READ_UP_TO] {
        let mut site = Site::new(gateways);
        site.run(DAY);
        assert_eq!(site.reading(), gateways);
        assert_eq!(site.changes_since(Duration::ZERO), 0);
    }
    let mut site = Site::new(ALL_READ_UP_TO + 1);
    site.run(SETTLING);
    assert_eq!(site.reading(), ADVERTISED);
}

/// Load: hundreds of gateways, whose heartbeats are too rare to stand by. Guards against
/// lists that are read again and again.
fn rare_heartbeats_do_not_cause_reads() {
    let mut site = Site::new(350);
    site.run(DAY);
    let most = site.gateways.iter().map(|g| g.changes.len()).max();
    // Each change to reading is followed by ten seconds without.
    assert!(most <= Some(2 * 5), "{most:?} changes");
}

fn report(heard_at: Instant, advertised: bool, answer_age_ms: u32) -> ReaderReport {
    ReaderReport {
        heard_at,
        reading: StoreReading {
            advertised,
            answer_age_ms: Some(answer_age_ms),
        },
    }
}

/// Load: one gateway of a large deployment restarts. Guards against one that watches the
/// store though others do and have the lists.
fn a_gateway_that_has_just_started_stands_by_at_once() {
    let now = Instant::now();
    let own = OwnPlace {
        gateways: GATEWAYS,
        advertised: false,
    };
    let mut readers = StoreReaders::new(ALL_READ_UP_TO, IN_FORCE);
    assert!(readers.reads(), "nobody has been heard");
    let few = vec![report(now, true, 100); MIN_READERS - 1];
    assert_eq!(readers.decide(own, few, now), None);
    let enough = vec![report(now, true, 100); MIN_READERS];
    let change = readers.decide(own, enough, now + HEARTBEAT_INTERVAL);
    assert_eq!(change, Some(ReaderChange::StandsBy));
    assert_eq!(readers.report(false, now), None);
}

/// Failure: the other readers only read for a while, or the store never answered them.
/// Guards against gateways that stand by because of each other.
fn only_advertised_readers_with_answers_count() {
    let now = Instant::now();
    let own = OwnPlace {
        gateways: GATEWAYS,
        advertised: false,
    };
    let mut readers = StoreReaders::new(ALL_READ_UP_TO, IN_FORCE);
    let passing = vec![report(now, false, 100); GATEWAYS];
    assert_eq!(readers.decide(own, passing, now), None);
    let silent = ReaderReport {
        heard_at: now,
        reading: StoreReading {
            advertised: true,
            answer_age_ms: None,
        },
    };
    assert_eq!(readers.decide(own, vec![silent; GATEWAYS], now), None);
    let old = vec![report(now, true, u32::MAX); GATEWAYS];
    assert_eq!(readers.decide(own, old, now), None);
    assert!(readers.reads());
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
struct Step {
    after_ms: u8,
    readers: u8,
    gateways: u8,
    advertised: bool,
}

/// Guards against a gateway that begins to read and stops again within ten seconds, or
/// that stands by though a condition fails.
fn check_history(steps: &[Step]) {
    let mut now = Instant::now();
    let mut readers = StoreReaders::new(ALL_READ_UP_TO, IN_FORCE);
    let mut began = None;
    for step in steps {
        // Most steps are short enough to come to the end of the ten seconds in.
        now += Duration::from_millis(u64::from(step.after_ms) * 4);
        let heard = usize::from(step.readers % 64);
        let own = OwnPlace {
            gateways: usize::from(step.gateways) + 20,
            advertised: step.advertised && step.readers % 4 == 0,
        };
        let reports = vec![report(now, true, 100); heard];
        match readers.decide(own, reports, now) {
            Some(ReaderChange::Reads { .. }) => began = Some(now),
            Some(ReaderChange::StandsBy) => {
                let read_for = began.map(|at| now.saturating_duration_since(at));
                assert!(read_for.is_none_or(|time| time >= MIN_READING));
            }
            None => {}
        }
        let required = own.gateways <= ALL_READ_UP_TO || own.advertised || heard < MIN_READERS;
        assert!(readers.reads() || !required, "{step:?}");
    }
}

fn flapping_is_bounded() {
    briarhall_fuzz::histories::<Step, _>(1..400, check_history);
}

macro_rules! cases {
    ($($name:ident),+ $(,)?) => {
        mod tests {
            $(
                #[test]
                fn $name() {
                    super::$name();
                }
            )+
        }
    };
}

cases!(
    calm_day_of_86_gateways,
    a_third_of_the_heartbeats_is_lost,
    all_readers_die_at_once,
    a_zone_is_cut_off,
    the_store_turns_the_readers_away,
    the_store_turns_some_readers_away,
    an_outage_of_the_store_counts_from_the_last_answer,
    lists_are_read_in_an_outage_once_the_store_has_answered,
    a_gateway_that_is_named_in_an_outage_knows_when_it_began,
    a_paused_process_reads_at_once,
    a_reader_that_the_store_turns_away_waits_for_no_watch,
    the_advertised_set_changes,
    small_deployments_read_as_before,
    rare_heartbeats_do_not_cause_reads,
    a_gateway_that_has_just_started_stands_by_at_once,
    only_advertised_readers_with_answers_count,
    flapping_is_bounded,
);
