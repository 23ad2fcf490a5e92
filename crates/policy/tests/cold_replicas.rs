//! Cold replicas: single gateways, and fleets whose gateways hear of each other late,
//! against the bound on what a cold replica may get in any second.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::cold_replicas::ColdBound;
use briarhall_policy::cold_replicas::ColdLimit;
use briarhall_policy::cold_replicas::ColdObservation;
use briarhall_policy::cold_replicas::ColdReplicas;
use briarhall_policy::cold_replicas::ColdReport;
use briarhall_policy::cold_replicas::HeardGateway;
use briarhall_policy::cold_replicas::SETTLE_TIME;
use briarhall_policy::load_tracker::tag;
use briarhall_policy::peers::HEARTBEAT_INTERVAL;
use briarhall_policy::peers::regular_interval;
use briarhall_policy::replica_limits::LimitedSends;
use briarhall_policy::replica_limits::REPEAT_INTERVAL;
use briarhall_types::ReplicaId;
use briarhall_types::ReplicaRecord;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;

const SERVICE: &str = "llm";
const SECOND: Duration = Duration::from_secs(1);
/// Bounds of the settings.
const OVER: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Part of what cold replicas take that must be used where it is wanted.
const USED: f64 = 0.7;

fn limits(per_s: f64, lasts: Duration) -> HashMap<briarhall_types::ServiceName, ColdLimit> {
    let bound = ColdBound {
        over: OVER,
        slack: SLACK,
    };
    let limit = ColdLimit::new(lasts, per_s, bound);
    HashMap::from([(SERVICE.into(), limit)])
}

fn record(id: &str, zone: usize, born: u64, left: Duration) -> ReplicaRecord {
    ReplicaRecord {
        id: id.into(),
        service: SERVICE.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        zone: format!("zone-{zone}").into(),
        slots: 12,
        draining: false,
        warm_up_remaining: left,
        started_unix_ms: Some(born),
    }
}

fn heard(vm: &str) -> HeardGateway<'_> {
    HeardGateway {
        vm,
        places_requests: true,
        stopping: false,
    }
}

fn most_in(window: Duration, sends: &[Instant]) -> usize {
    let counts = sends.iter().enumerate().map(|(n, first)| {
        let in_window = sends[n..].iter().take_while(|at| **at < *first + window);
        in_window.count()
    });
    counts.max().unwrap_or(0)
}

#[expect(clippy::cast_precision_loss, reason = "counts of requests are small")]
fn as_f64(count: usize) -> f64 {
    count as f64
}

/// What happens to the gateways of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// All processes start again when the replicas have become cold.
    Restart,
    /// Three groups of gateways do not hear each other from the beginning.
    Cut,
    /// A third of the gateways is paused for three seconds while replicas are cold.
    Pause,
}

/// How gateways learn that replicas are cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// The registry lists new processes, up to two seconds late.
    Registry,
    /// Only answers say so.
    Answers,
}

/// A fleet, replicas that become cold, and requests for them.
#[derive(Debug, Clone, Copy)]
struct Load {
    gateways: usize,
    /// Gateways that place requests; the others stand by.
    placing: usize,
    replicas: usize,
    /// Replicas that become cold, the first of the list.
    cold: usize,
    lasts: Duration,
    per_s: f64,
    /// Requests a second for the service, before and after replicas become cold.
    wanted_per_s: [f64; 2],
    /// Least and greatest age of what gateways hear of each other, in milliseconds.
    delay_ms: [u64; 2],
    lost_percent: u32,
    fault: Fault,
    source: Source,
    seeds: u64,
}

/// The second customer: a zone of its replicas comes back cold at the peak of a surge.
const ZONE: Load = Load {
    gateways: 14,
    placing: 14,
    replicas: 18,
    cold: 6,
    lasts: Duration::from_secs(3),
    per_s: 17.0,
    wanted_per_s: [80.0, 900.0],
    delay_ms: [5, 40],
    lost_percent: 0,
    fault: Fault::None,
    source: Source::Registry,
    seeds: 6,
};

const STEP: Duration = Duration::from_millis(5);
/// When the replicas become cold; the gateways know each other by then.
const COLD_AT: Duration = Duration::from_secs(4);
/// When the fault begins that replicas meet while they are cold.
const FAULT_AT: Duration = Duration::from_millis(4_500);
const PAUSE: Duration = Duration::from_secs(3);
/// Greatest age of an entry of the registry when a gateway gets it.
const MAX_ENTRY_AGE: Duration = Duration::from_secs(2);
/// Time for which a request waits for a replica before it is refused.
const WAIT: Duration = Duration::from_millis(200);
/// Greatest time from a send until the request arrives.
const MAX_LINK_MS: u64 = 6;

struct Gateway {
    vm: String,
    incarnation: u64,
    cold: ColdReplicas,
    /// When each other one was heard, and when it sent what was heard last.
    peers: HashMap<usize, (Instant, Instant)>,
    waiting: Vec<Instant>,
    /// When it gets the entries of the replicas that have become cold.
    entries_at: Instant,
    told_at: Instant,
}

struct Message {
    sent: Instant,
    arrives: Instant,
    from: usize,
    to: usize,
    incarnation: u64,
    report: ColdReport,
}

struct Fleet<'a> {
    load: &'a Load,
    ids: Vec<ReplicaId>,
    began: Instant,
    rng: StdRng,
    gateways: Vec<Gateway>,
    messages: Vec<Message>,
    /// Answers that say how long a replica is cold: when, to whom, from which.
    answers: Vec<(Instant, usize, usize)>,
    arrivals: Vec<Vec<Instant>>,
}

impl<'a> Fleet<'a> {
    fn new(load: &'a Load, seed: u64) -> Self {
        let began = Instant::now() + Duration::from_hours(1);
        let mut rng = StdRng::seed_from_u64(seed);
        let ids = (0..load.replicas).map(|n| ReplicaId::from(format!("i-{n}")));
        let ids = ids.collect::<Vec<_>>();
        let late = MAX_ENTRY_AGE.as_secs_f64();
        let gateways = (0..load.gateways).map(|n| {
            let mut gateway = Gateway {
                vm: format!("vm-{n}"),
                incarnation: n as u64,
                cold: ColdReplicas::default(),
                peers: HashMap::new(),
                waiting: Vec::new(),
                entries_at: began + COLD_AT + Duration::from_secs_f64(rng.random_range(0.0..late)),
                told_at: began,
            };
            gateway.start(load, &ids, began);
            gateway
        });
        let gateways = gateways.collect();
        Self {
            load,
            arrivals: vec![Vec::new(); ids.len()],
            ids,
            began,
            rng,
            gateways,
            messages: Vec::new(),
            answers: Vec::new(),
        }
    }

    fn cold_at(&self) -> Instant {
        self.began + COLD_AT
    }

    fn cold_until(&self) -> Instant {
        self.cold_at() + self.load.lasts
    }

    fn is_cold(&self, replica: usize, now: Instant) -> bool {
        replica < self.load.cold && now >= self.cold_at() && now < self.cold_until()
    }

    /// Returns whether a gateway is stopped by a signal.
    fn is_paused(&self, gateway: usize, now: Instant) -> bool {
        let from = self.began + FAULT_AT;
        let paused = now >= from && now < from + PAUSE;
        self.load.fault == Fault::Pause && gateway.is_multiple_of(3) && paused
    }

    fn play(&mut self) {
        let end = self.cold_until() + SECOND;
        let mut now = self.began;
        let mut restarts = self.load.fault == Fault::Restart;
        while now < end {
            now += STEP;
            if restarts && now >= self.began + FAULT_AT {
                restarts = false;
                self.restart(now);
            }
            self.deliver(now);
            self.arrive(now);
            let mut order = (0..self.gateways.len()).collect::<Vec<_>>();
            order.shuffle(&mut self.rng);
            for gateway in order {
                if !self.is_paused(gateway, now) {
                    self.run(gateway, now);
                }
            }
        }
    }

    fn restart(&mut self, now: Instant) {
        for gateway in &mut self.gateways {
            gateway.incarnation += 1_000;
            gateway.cold = ColdReplicas::default();
            gateway.peers.clear();
            gateway.waiting.clear();
            gateway.start(self.load, &self.ids, now);
            // The registry lists processes that are known to be cold by now.
            gateway.entries_at = now;
        }
    }

    fn deliver(&mut self, now: Instant) {
        let messages = std::mem::take(&mut self.messages);
        let (due, later): (Vec<_>, Vec<_>) = messages.into_iter().partition(|m| m.arrives <= now);
        self.messages = later;
        for message in due {
            let gateway = &mut self.gateways[message.to];
            let last = gateway.peers.get(&message.from);
            // As heartbeats do that have overtaken each other.
            if last.is_some_and(|(_, sent)| *sent > message.sent) {
                continue;
            }
            gateway.peers.insert(message.from, (now, message.sent));
            let cold = &mut gateway.cold;
            cold.apply_report(message.incarnation, &message.report, now);
        }
        let answers = std::mem::take(&mut self.answers);
        let (due, later): (Vec<_>, Vec<_>) = answers.into_iter().partition(|(at, ..)| *at <= now);
        self.answers = later;
        for (_, gateway, replica) in due {
            let left = if self.is_cold(replica, now) {
                self.cold_until() - now
            } else {
                Duration::ZERO
            };
            let is_new = self.load.source == Source::Registry && replica < self.load.cold;
            let known = now >= self.gateways[gateway].entries_at;
            let born = u64::from(is_new && known);
            let cold = &mut self.gateways[gateway].cold;
            cold.observe_answer(&self.ids[replica], Some(born), left, now);
        }
    }

    /// Lets requests arrive at the gateways that place them.
    fn arrive(&mut self, now: Instant) {
        let per_s = self.load.wanted_per_s[usize::from(now >= self.cold_at())];
        let mut expected = per_s * STEP.as_secs_f64();
        while expected > 0.0 {
            if self.rng.random_bool(expected.min(1.0)) {
                let gateway = self.rng.random_range(0..self.load.placing);
                self.gateways[gateway].waiting.push(now);
            }
            expected -= 1.0;
        }
    }

    fn run(&mut self, n: usize, now: Instant) {
        let load = self.load;
        let is_listed = |replica: usize, known: bool| {
            // The processes before have gone when the new ones are listed.
            let replaced = load.source == Source::Registry && replica < load.cold;
            !replaced || known
        };
        let is_up = |at: &Instant| now.saturating_duration_since(*at) < HEARTBEAT_INTERVAL * 4;
        let gateway = &mut self.gateways[n];
        if now >= gateway.entries_at && load.source == Source::Registry {
            let left = (self.began + COLD_AT + load.lasts).saturating_duration_since(now);
            for id in &self.ids[..load.cold] {
                gateway.cold.observe_entry(&record(id, 0, 1, left), now);
            }
        }
        let up = gateway.peers.iter().filter(|(_, (at, _))| is_up(at));
        let up = up.map(|(n, _)| (*n, format!("vm-{n}")));
        let up = up.collect::<Vec<_>>();
        let others = up.iter().map(|(n, vm)| HeardGateway {
            places_requests: *n < load.placing,
            ..heard(vm)
        });
        let own = HeardGateway {
            places_requests: n < load.placing,
            ..heard(&gateway.vm)
        };
        let mut changed = false;
        let mut waiting = std::mem::take(&mut gateway.waiting);
        waiting.retain(|since| now.saturating_duration_since(*since) < WAIT);
        while !waiting.is_empty() {
            let known = now >= gateway.entries_at;
            let listed = (0..self.ids.len()).filter(|r| is_listed(*r, known));
            let open = listed.filter(|r| {
                let replica = tag(self.ids[*r].as_str());
                gateway.cold.time_left(replica, now).is_none()
            });
            let open = open.collect::<Vec<_>>();
            let Some(replica) = open.choose(&mut self.rng).copied() else {
                break;
            };
            waiting.pop();
            changed = true;
            gateway.cold.sent(tag(self.ids[replica].as_str()), now);
            let link = Duration::from_millis(self.rng.random_range(0..MAX_LINK_MS));
            self.arrivals[replica].push(now + link);
            let answer = Duration::from_millis(self.rng.random_range(40..250));
            self.answers.push((now + link + answer, n, replica));
        }
        gateway.waiting = waiting;
        // As the gossip task does: after changes, at short intervals after sends, and
        // regularly.
        let interval = if gateway.cold.is_repeated(now) {
            REPEAT_INTERVAL
        } else {
            regular_interval(load.gateways)
        };
        let least = Duration::from_micros(1_400) * u32::try_from(load.placing).expect("few");
        let interval = if changed { least } else { interval.max(least) };
        if now < gateway.told_at + interval {
            return;
        }
        gateway.told_at = now;
        gateway.cold.remove_expired(now);
        gateway.cold.update_gateways(own, others, now);
        let report = gateway.cold.own_report(now);
        let incarnation = gateway.incarnation;
        for to in 0..load.gateways {
            let is_cut = load.fault == Fault::Cut && to % 3 != n % 3 && now > self.began + COLD_AT;
            let is_lost = self.rng.random_range(0..100) < load.lost_percent;
            if to == n || is_cut || is_lost {
                continue;
            }
            let delay = self.rng.random_range(load.delay_ms[0]..=load.delay_ms[1]);
            self.messages.push(Message {
                sent: now,
                arrives: now + Duration::from_millis(delay),
                from: n,
                to,
                incarnation,
                report: report.clone(),
            });
        }
    }
}

impl Gateway {
    fn start(&mut self, load: &Load, ids: &[ReplicaId], now: Instant) {
        self.cold.set_limits(limits(load.per_s, load.lasts));
        for id in ids {
            let record = record(id, 0, 0, Duration::ZERO);
            self.cold.observe_entry(&record, now);
        }
    }
}

impl Load {
    /// Plays the load, checks the bound in every second, and returns the part of what cold
    /// replicas take that was used once the gateways could know of them.
    #[track_caller]
    fn check(self) -> f64 {
        let bound = self.per_s * OVER + SLACK;
        let mut used = 0.0;
        for seed in 0..self.seeds {
            let mut fleet = Fleet::new(&self, seed);
            fleet.play();
            let known_at = match self.fault {
                Fault::Restart => fleet.began + FAULT_AT + SETTLE_TIME + SECOND,
                Fault::Pause => fleet.began + FAULT_AT + PAUSE + SETTLE_TIME,
                _ => fleet.cold_at() + MAX_ENTRY_AGE,
            };
            let counted = fleet.cold_until() - known_at;
            for replica in 0..self.cold {
                let mut arrivals = fleet.arrivals[replica].clone();
                arrivals.sort_unstable();
                arrivals.retain(|at| fleet.is_cold(replica, *at));
                let most = as_f64(most_in(SECOND, &arrivals));
                assert!(
                    most <= bound,
                    "seed {seed}, replica {replica}: {most} in a second, {bound} allowed"
                );
                let known = arrivals.iter().filter(|at| **at >= known_at).count();
                used += as_f64(known) / counted.as_secs_f64() / self.per_s / as_f64(self.cold);
            }
        }
        #[expect(clippy::cast_precision_loss, reason = "a few seeds")]
        let seeds = self.seeds as f64;
        used / seeds
    }
}

/// Names a test for each load, and the part of the limit that must be used at least.
macro_rules! loads {
    ($($(#[$doc:meta])* $name:ident: $load:expr, $used:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let used = $load.check();
                assert!(used >= $used, "{used} of the limit is used");
            }
        )+
    };
}

loads! {
    /// Pattern: a zone comes back cold at the peak of a surge.
    a_zone_comes_back_cold_at_the_peak_of_a_surge: ZONE, USED;
    /// Pattern: all three zones come back cold at once, and all requests are for them.
    all_zones_come_back_cold_at_once: Load { cold: 18, ..ZONE }, USED;
    /// Pattern: all gateways restart while replicas are cold, and know nothing.
    a_fleet_whose_gateways_all_restart: Load {
        cold: 18, lasts: Duration::from_secs(8), fault: Fault::Restart, ..ZONE
    }, USED;
    /// Pattern: 86 gateways restart while replicas are cold; 14 of them place requests.
    a_large_fleet_whose_gateways_all_restart: Load {
        gateways: 86, cold: 18, lasts: Duration::from_secs(8), fault: Fault::Restart,
        seeds: 2, ..ZONE
    }, USED;
    /// Pattern: three groups of gateways do not hear each other.
    gateways_that_are_cut_off_from_each_other: Load {
        cold: 18, lasts: Duration::from_secs(8), fault: Fault::Cut, ..ZONE
    }, USED;
    /// Pattern: a third of the gateways is paused for three seconds and resumes with the
    /// requests and views of before.
    gateways_that_resume_after_a_pause: Load {
        cold: 18, lasts: Duration::from_secs(13), fault: Fault::Pause, ..ZONE
    }, USED;
    /// Pattern: a limit of 2 a second, where all of 86 gateways place requests.
    a_limit_of_two_a_second_with_86_gateways: Load {
        gateways: 86, placing: 86, replicas: 12, cold: 12, per_s: 2.0,
        lasts: Duration::from_secs(8), wanted_per_s: [20.0, 400.0], seeds: 2, ..ZONE
    }, USED;
    /// Pattern: a limit of 2 a second, where 14 of 86 gateways place requests.
    a_limit_of_two_a_second_with_14_gateways_that_place_requests: Load {
        gateways: 86, replicas: 12, cold: 12, per_s: 2.0, lasts: Duration::from_secs(8),
        wanted_per_s: [20.0, 200.0], seeds: 2, ..ZONE
    }, USED;
    /// Pattern: views are 5 to 300 ms old, and a third of the heartbeats is lost.
    late_views_and_lost_heartbeats: Load {
        delay_ms: [5, 300], lost_percent: 33, ..ZONE
    }, USED;
    /// Pattern: the same for all zones and 86 gateways.
    late_views_and_lost_heartbeats_in_a_large_fleet: Load {
        gateways: 86, cold: 18, delay_ms: [5, 300], lost_percent: 33, seeds: 2, ..ZONE
    }, USED;
    /// Pattern: the same while all gateways restart.
    late_views_and_lost_heartbeats_while_all_gateways_restart: Load {
        gateways: 86, cold: 18, lasts: Duration::from_secs(8), fault: Fault::Restart,
        delay_ms: [5, 300], lost_percent: 33, seeds: 2, ..ZONE
    }, USED;
    /// Pattern: the same with a limit of 2 a second.
    late_views_and_lost_heartbeats_with_a_limit_of_two_a_second: Load {
        gateways: 86, placing: 86, replicas: 12, cold: 12, per_s: 2.0,
        lasts: Duration::from_secs(8), wanted_per_s: [20.0, 400.0],
        delay_ms: [5, 300], lost_percent: 33, seeds: 2, ..ZONE
    }, USED;
    /// Pattern: warm replicas of a busy service turn cold, and only their answers say so.
    warm_replicas_that_turn_cold_unnoticed: Load {
        source: Source::Answers, wanted_per_s: [150.0, 400.0], ..ZONE
    }, USED;
    /// Pattern: the same with late views.
    warm_replicas_that_turn_cold_unnoticed_with_late_views: Load {
        source: Source::Answers, wanted_per_s: [150.0, 400.0],
        delay_ms: [5, 300], lost_percent: 33, ..ZONE
    }, USED;
}

fn id(n: usize) -> ReplicaId {
    ReplicaId::from(format!("i-{n}"))
}

const LASTS: Duration = Duration::from_secs(3);

/// Returns a gateway that is the only one, knows two warm replicas and has settled.
fn settled() -> (ColdReplicas, Instant) {
    let began = Instant::now() + Duration::from_hours(1);
    let mut cold = ColdReplicas::default();
    cold.set_limits(limits(17.0, LASTS));
    for n in 0..2 {
        cold.observe_entry(&record(&id(n), n, 1, Duration::ZERO), began);
    }
    let mut now = began;
    while now <= began + SETTLE_TIME {
        cold.update_gateways(heard("vm-0"), std::iter::empty(), now);
        now += HEARTBEAT_INTERVAL;
    }
    (cold, now)
}

fn is_cold(cold: &ColdReplicas, n: usize, now: Instant) -> bool {
    cold.is_cold(tag(id(n).as_str()), now)
}

/// Sends as much as is allowed at one moment.
fn send_all(cold: &mut ColdReplicas, n: usize, now: Instant) -> usize {
    let replica = tag(id(n).as_str());
    let mut sent = 0;
    while cold.time_left(replica, now).is_none() {
        cold.sent(replica, now);
        sent += 1;
    }
    sent
}

/// Guards against a gateway that holds back requests, or tells others anything, where no
/// service has a limit.
#[test]
fn without_a_limit_nothing_is_held_or_told() {
    let (mut cold, now) = settled();
    cold.set_limits(HashMap::new());
    cold.observe_entry(&record(&id(0), 0, 2, LASTS), now);
    let replica = tag(id(0).as_str());
    for _ in 0..1_000 {
        assert_eq!(cold.time_left(replica, now), None);
        cold.sent(replica, now);
    }
    cold.observe_answer(&id(0), Some(2), LASTS, now);
    assert!(cold.own_report(now).is_empty());
    assert!(cold.remove_expired(now).is_empty());
    assert!(!cold.is_repeated(now));
    assert_eq!(cold.count(now), 0);
    assert!(cold.penalty(replica, now).abs() < f64::EPSILON);
}

/// Guards against a warm replica that turns cold while it gets more than a cold one may.
#[test]
fn a_warm_replica_gets_no_more_than_three_quarters_of_the_bound() {
    let (mut cold, now) = settled();
    assert_eq!(send_all(&mut cold, 0, now), 22);
    let left = cold.time_left(tag(id(0).as_str()), now);
    assert_eq!(left, Some(SECOND));
    // What others have sent counts as well.
    let sends = [LimitedSends {
        replica: tag(id(1).as_str()),
        count: 20,
        age_ms: 100,
    }];
    let report = ColdReport {
        observations: Vec::new(),
        sends: sends.to_vec(),
    };
    cold.apply_report(9, &report, now);
    assert_eq!(send_all(&mut cold, 1, now), 2);
}

/// Guards against a gateway that has just started, or was paused, and sends as if it knew
/// what the others do.
#[test]
fn a_gateway_that_heard_nobody_sends_nothing_to_a_cold_replica() {
    let began = Instant::now() + Duration::from_hours(1);
    let mut cold = ColdReplicas::default();
    cold.set_limits(limits(17.0, LASTS));
    cold.observe_entry(&record(&id(0), 0, 1, LASTS), began);
    cold.observe_entry(&record(&id(1), 0, 1, Duration::ZERO), began);
    cold.update_gateways(heard("vm-0"), std::iter::empty(), began);
    assert_eq!(send_all(&mut cold, 0, began), 0);
    assert_eq!(
        cold.time_left(tag(id(0).as_str()), began),
        Some(SETTLE_TIME)
    );
    assert_eq!(send_all(&mut cold, 1, began), 2, "a tenth of 22");
    let (mut cold, now) = settled();
    cold.observe_answer(&id(0), Some(1), LASTS, now);
    assert!(send_all(&mut cold, 0, now) > 0);
    let resumed = now + SECOND + SECOND / 2;
    assert_eq!(send_all(&mut cold, 0, resumed), 0);
    cold.update_gateways(heard("vm-0"), std::iter::empty(), resumed);
    assert_eq!(send_all(&mut cold, 0, resumed), 0);
}

/// Guards against a process that is taken for the one before it, and against an old entry
/// that makes a warm replica cold again.
#[test]
fn a_replica_is_cold_by_its_entry_its_start_and_its_answers() {
    let (mut cold, now) = settled();
    cold.observe_entry(&record(&id(0), 0, 1, LASTS), now);
    assert!(is_cold(&cold, 0, now));
    let events = cold.remove_expired(now);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].left, Some(LASTS));
    // Its answers are later than its entry.
    assert!(cold.observe_answer(&id(0), Some(1), Duration::ZERO, now));
    assert!(!is_cold(&cold, 0, now));
    cold.observe_entry(&record(&id(0), 0, 1, LASTS + SECOND), now + SECOND);
    assert!(!is_cold(&cold, 0, now + SECOND));
    assert_eq!(cold.remove_expired(now)[0].left, None);
    // A new process is cold even if its entry does not say so, whatever the old one said.
    cold.observe_entry(&record(&id(0), 0, 2, Duration::ZERO), now);
    assert!(is_cold(&cold, 0, now + LASTS * 9 / 10));
    assert!(!is_cold(&cold, 0, now + LASTS));
    assert!(!cold.observe_answer(&id(0), Some(1), Duration::ZERO, now));
    assert!(is_cold(&cold, 0, now));
    // It comes back under its id after it was gone.
    let later = now + SECOND * 10;
    cold.record_gone(&id(0), later);
    cold.remove_expired(later);
    cold.observe_entry(&record(&id(0), 0, 3, Duration::ZERO), later);
    assert!(is_cold(&cold, 0, later));
}

/// Guards against what another gateway heard before this one, or of no replica at all.
#[test]
fn the_last_answer_to_any_gateway_counts() {
    let (mut cold, now) = settled();
    let say = |left_ms, age_ms| ColdReport {
        observations: vec![
            ColdObservation {
                replica: tag(id(0).as_str()),
                left_ms,
                age_ms,
            },
            ColdObservation {
                replica: 7,
                left_ms,
                age_ms,
            },
        ],
        sends: Vec::new(),
    };
    cold.observe_answer(&id(0), Some(1), LASTS, now);
    let told = cold.own_report(now + SECOND);
    assert_eq!(told.observations.len(), 1);
    assert_eq!(told.observations[0].left_ms, 2_000);
    cold.apply_report(9, &say(0, 1_500), now + SECOND);
    assert!(is_cold(&cold, 0, now + SECOND), "that answer came before");
    cold.apply_report(9, &say(0, 500), now + SECOND);
    assert!(!is_cold(&cold, 0, now + SECOND));
    cold.apply_report(9, &say(u32::MAX, 0), now + SECOND);
    assert!(is_cold(&cold, 0, now + SECOND * 2));
    assert!(cold.own_report(now + SECOND).observations.is_empty());
}

/// Guards against replicas of a zone that became cold just before its evacuation ended,
/// when their entries do not say so yet.
#[test]
fn replicas_count_as_cold_after_the_evacuation_of_their_zone() {
    let (mut cold, now) = settled();
    let ended_at = now;
    let ids = [id(0), id(2)];
    cold.evacuation_ended(ids.iter(), ended_at, now);
    assert!(is_cold(&cold, 0, now));
    assert!(!is_cold(&cold, 1, now), "it is in another zone");
    assert_eq!(cold.remove_expired(now)[0].reason.as_str(), "evacuation");
    // An answer since then says that it is warm, and stays the last word.
    let later = now + SECOND / 2;
    cold.observe_answer(&id(0), Some(1), Duration::ZERO, later);
    cold.evacuation_ended(ids.iter(), ended_at, later);
    assert!(!is_cold(&cold, 0, later));
    // An answer from before the end does not show what has happened since.
    let (mut cold, now) = settled();
    cold.observe_answer(&id(0), Some(1), Duration::ZERO, now);
    let ended_at = now + SECOND;
    cold.evacuation_ended(ids.iter(), ended_at, ended_at + SECOND);
    assert!(is_cold(&cold, 0, ended_at + LASTS * 9 / 10));
    assert!(!is_cold(&cold, 0, ended_at + LASTS));
}

/// Guards against a replica that is avoided until a moment and gets everything after it.
#[test]
fn placement_avoids_a_cold_replica_less_and_less() {
    let (mut cold, now) = settled();
    cold.observe_answer(&id(0), Some(1), LASTS, now);
    let replica = tag(id(0).as_str());
    let penalties = (0..=6).map(|n| cold.penalty(replica, now + LASTS / 6 * n));
    let penalties = penalties.collect::<Vec<_>>();
    assert!(penalties[0] > 0.5, "{penalties:?}");
    assert!(
        penalties.windows(2).all(|pair| pair[0] > pair[1]),
        "{penalties:?}"
    );
    assert!(penalties[6].abs() < f64::EPSILON, "{penalties:?}");
}

/// Guards against shares that add up to more than the bound, or that leave most of it to
/// gateways which place no requests.
#[test]
fn shares_add_up_to_three_quarters_of_the_bound() {
    for gateways in [1_usize, 2, 9, 14, 22, 23, 86, 350] {
        let vms = (0..gateways).map(|n| format!("vm-{n}")).collect::<Vec<_>>();
        let placing = gateways.div_ceil(6);
        let all = || {
            vms.iter().enumerate().map(|(n, vm)| HeardGateway {
                places_requests: n < placing,
                ..heard(vm)
            })
        };
        let mut total = 0;
        for own in all() {
            let began = Instant::now() + Duration::from_hours(1);
            let mut cold = ColdReplicas::default();
            // The rate of a second allows more than the bound, so that shares decide.
            let limit = ColdLimit {
                lasts: LASTS,
                per_s: 100.0,
                bound: 30.5,
            };
            cold.set_limits(HashMap::from([(SERVICE.into(), limit)]));
            cold.observe_entry(&record("i-0", 0, 1, LASTS * 2), began);
            for n in 0..8 {
                let others = all().filter(|other| other.vm != own.vm);
                cold.update_gateways(own, others, began + HEARTBEAT_INTERVAL * n);
            }
            let sent = send_all(&mut cold, 0, began + HEARTBEAT_INTERVAL * 7);
            assert!(sent == 0 || own.places_requests);
            total += sent;
        }
        assert_eq!(total, 22, "{gateways} gateways");
    }
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    Entry { born: u8, left: u8 },
    Gone,
    Answer { born: u8, left: u8 },
    Hear { left: u32, age: u16, count: u32 },
    Evacuated { ago: u8 },
    Tick { others: u8, placing: bool },
    Send,
    Advance { steps: u8 },
}

/// Guards against a panic, and against a gateway that sends a cold replica more than the
/// bound, whatever it hears.
#[test]
fn no_history_lets_one_gateway_exceed_the_bound() {
    briarhall_fuzz::histories::<Op, _>(1..80, |ops| {
        let mut now = Instant::now() + Duration::from_hours(1);
        let mut cold = ColdReplicas::default();
        cold.set_limits(limits(2.0, LASTS));
        let replica = tag(id(0).as_str());
        let left = |steps: u8| Duration::from_millis(50) * u32::from(steps);
        let mut sends = Vec::new();
        for op in ops {
            match *op {
                Op::Entry { born, left: steps } => {
                    let record = record(&id(0), 0, born.into(), left(steps));
                    cold.observe_entry(&record, now);
                }
                Op::Gone => cold.record_gone(&id(0), now),
                Op::Answer { born, left: steps } => {
                    cold.observe_answer(&id(0), Some(born.into()), left(steps), now);
                }
                Op::Hear { left, age, count } => {
                    let report = ColdReport {
                        observations: vec![ColdObservation {
                            replica,
                            left_ms: left,
                            age_ms: age.into(),
                        }],
                        sends: vec![LimitedSends {
                            replica,
                            count,
                            age_ms: age.into(),
                        }],
                    };
                    cold.apply_report(1, &report, now);
                }
                Op::Evacuated { ago } => {
                    let ended_at = now.checked_sub(left(ago)).expect("the clock runs");
                    cold.evacuation_ended([id(0)].iter(), ended_at, now);
                }
                Op::Tick { others, placing } => {
                    let vms = (0..others % 4).map(|n| format!("vm-{n}"));
                    let vms = vms.collect::<Vec<_>>();
                    let others = vms.iter().map(|vm| HeardGateway {
                        places_requests: placing,
                        ..heard(vm)
                    });
                    cold.update_gateways(heard("own"), others, now);
                    cold.remove_expired(now);
                    let report = cold.own_report(now);
                    assert!(report.sends.iter().all(|sends| sends.count > 0));
                }
                Op::Send => {
                    if cold.time_left(replica, now).is_none() {
                        if cold.per_s(replica, now).is_some() {
                            sends.push(now);
                        }
                        cold.sent(replica, now);
                    }
                }
                Op::Advance { steps } => now += left(steps % 16),
            }
        }
        assert!(most_in(SECOND, &sends) <= 8);
    });
}
