//! Detection by several gateways of a request that crashes replicas, among other
//! requests and replicas that crash on their own.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::crashes::BrokenSend;
use briarhall_policy::crashes::CONFIRM_WITHIN;
use briarhall_policy::crashes::CRASHES_TO_BLOCK;
use briarhall_policy::crashes::Crashes;
use briarhall_policy::crashes::MAX_OBSERVATIONS;
use briarhall_policy::crashes::REMEMBER_FOR;
use briarhall_policy::crashes::SUSPECT_FOR;
use briarhall_types::ReplicaId;

const GATEWAYS: usize = 3;
const REPLICAS: usize = 4;
const REQUESTS: u8 = 5;
/// The request that crashes replicas.
const CRASHING: u8 = 0;
/// Time that a request runs, and step of the clock between operations.
const RUN: Duration = Duration::from_millis(200);

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A caller sends a request to a gateway, which sends it to a replica.
    Send {
        gateway: u8,
        request: u8,
        replica: u8,
    },
    /// A replica answers its requests, or crashes if it has the crashing one.
    Run { replica: u8 },
    /// A replica crashes on its own.
    Crash { replica: u8 },
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    gateway: usize,
    request: u8,
    at: Instant,
}

struct Simulation {
    now: Instant,
    gateways: Vec<Crashes>,
    in_flight: Vec<Vec<Sent>>,
    /// Crashes that each request met since it was last answered, each of a send
    /// after the crash before it.
    crashes_in_a_row: [usize; REQUESTS as usize],
    last_crash: [Option<Instant>; REQUESTS as usize],
    caused_crashes: usize,
}

fn replica(n: usize) -> ReplicaId {
    ReplicaId::from(format!("i-{n}"))
}

fn broken(fingerprint: u64, n: usize, sent_at: Instant, broke_at: Instant) -> BrokenSend {
    BrokenSend {
        fingerprint,
        parts: Vec::new(),
        replica: replica(n),
        sent_at,
        broke_at,
    }
}

impl Simulation {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            gateways: (0..GATEWAYS).map(|_| Crashes::default()).collect(),
            in_flight: vec![Vec::new(); REPLICAS],
            crashes_in_a_row: [0; REQUESTS as usize],
            last_crash: [None; REQUESTS as usize],
            caused_crashes: 0,
        }
    }

    /// Every gateway receives the observations of all others.
    fn gossip(&mut self) {
        for from in 0..GATEWAYS {
            let observations = self.gateways[from].own(self.now);
            for to in (0..GATEWAYS).filter(|to| *to != from) {
                self.gateways[to].set_peer_observations(from as u64, &observations, self.now);
            }
        }
    }

    fn crash(&mut self, n: usize) {
        let in_flight = std::mem::take(&mut self.in_flight[n]);
        for sent in &in_flight {
            let crashes = &mut self.gateways[sent.gateway];
            crashes.connection_broken(broken(u64::from(sent.request), n, sent.at, self.now));
        }
        for sent in &in_flight {
            let request = usize::from(sent.request);
            if self.last_crash[request].is_none_or(|last| sent.at > last) {
                self.crashes_in_a_row[request] += 1;
                self.last_crash[request] = Some(self.now);
            }
        }
        // The crash is confirmed some time after the connections break.
        self.now += RUN;
        for crashes in &mut self.gateways {
            crashes.crashed(&replica(n), self.now);
        }
    }

    fn answer(&mut self, n: usize) {
        for sent in std::mem::take(&mut self.in_flight[n]) {
            let fingerprint = u64::from(sent.request);
            self.gateways[sent.gateway].answered(fingerprint, self.now);
            self.crashes_in_a_row[usize::from(sent.request)] = 0;
            self.last_crash[usize::from(sent.request)] = None;
        }
    }

    fn blocked(&self, request: u8) -> Vec<bool> {
        let all = self.gateways.iter();
        all.map(|crashes| crashes.is_blocked(u64::from(request), self.now))
            .collect()
    }
}

fn check(ops: &[Op]) {
    let mut simulation = Simulation::new();
    for op in ops {
        simulation.now += RUN;
        match *op {
            Op::Send {
                gateway,
                request,
                replica,
            } => {
                let gateway = usize::from(gateway) % GATEWAYS;
                let request = request % REQUESTS;
                let all_in_flight = simulation.in_flight.iter().flatten();
                let copies = all_in_flight.filter(|sent| sent.request == request).count();
                if copies == 0 && !simulation.blocked(request)[gateway] {
                    let at = simulation.now;
                    simulation.in_flight[usize::from(replica) % REPLICAS].push(Sent {
                        gateway,
                        request,
                        at,
                    });
                }
            }
            Op::Run { replica } => {
                let n = usize::from(replica) % REPLICAS;
                if simulation.in_flight[n]
                    .iter()
                    .any(|sent| sent.request == CRASHING)
                {
                    simulation.caused_crashes += 1;
                    simulation.crash(n);
                } else {
                    simulation.answer(n);
                }
            }
            Op::Crash { replica } => simulation.crash(usize::from(replica) % REPLICAS),
        }
        simulation.gossip();
        for request in 0..REQUESTS {
            let expected = simulation.crashes_in_a_row[usize::from(request)] >= CRASHES_TO_BLOCK;
            let blocked = simulation.blocked(request);
            assert!(
                blocked.iter().all(|b| *b == expected),
                "request {request}: expected blocked = {expected}, gateways say {blocked:?}"
            );
        }
        assert!(simulation.caused_crashes <= CRASHES_TO_BLOCK);
    }
}

#[test]
fn all_gateways_block_after_three_crashes_in_a_row_and_never_otherwise() {
    briarhall_fuzz::histories::<Op, _>(1..60, check);
}

/// Records that a replica crashed with the request in flight.
fn record_crash(crashes: &mut Crashes, fingerprint: u64, n: usize, sent: Instant, now: Instant) {
    crashes.connection_broken(broken(fingerprint, n, sent, now));
    crashes.crashed(&replica(n), now);
}

#[test]
fn replicas_lost_at_the_same_moment_block_no_request() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for n in 0..8 {
        record_crash(&mut crashes, 7, n, now, now + RUN);
    }
    assert!(!crashes.is_blocked(7, now + RUN));
}

#[test]
fn a_broken_connection_to_a_running_replica_is_no_crash() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for n in 0..8_u32 {
        let sent = now + RUN * n;
        crashes.connection_broken(broken(7, 1, sent, sent + RUN / 2));
    }
    assert!(!crashes.is_blocked(7, now + RUN * 8));
    // The replica is gone, but long after the connections broke.
    let later = now + RUN * 8 + CONFIRM_WITHIN;
    assert_eq!(crashes.crashed(&replica(1), later).len(), 0);
}

/// Guards against a request that is refused everywhere since one replica broke off its
/// answers, one after the other, and then left.
#[test]
fn a_replica_that_breaks_answers_and_then_leaves_crashed_once() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for n in 0..8_u32 {
        let sent = now + RUN * n;
        crashes.connection_broken(broken(7, 1, sent, sent + RUN / 2));
    }
    let gone = now + RUN * 8;
    let in_flight = crashes.crashed(&replica(1), gone);
    assert!(!crashes.is_blocked(7, gone));
    // Only what broke last can have been there when it ended.
    let last = gone.checked_sub(RUN * 3).expect("a time after the first");
    assert!(in_flight.iter().all(|broken| broken.broke_at > last));
    assert!(!in_flight.is_empty());
}

#[test]
fn a_block_outlives_the_gateway_that_saw_the_crashes() {
    let now = Instant::now();
    let (mut first, mut second) = (Crashes::default(), Crashes::default());
    for n in 0..3_u32 {
        let sent = now + RUN * n;
        record_crash(&mut first, 7, n as usize, sent, sent + RUN / 2);
    }
    let now = now + RUN * 3;
    second.set_peer_observations(1, &first.own(now), now);
    let later = now + SUSPECT_FOR + RUN;
    second.remove_expired(later);
    assert!(second.is_blocked(7, later));
    let expired = now + REMEMBER_FOR;
    second.remove_expired(expired);
    assert!(!second.is_blocked(7, expired));
    assert!(second.is_empty());
}

#[test]
fn a_single_crash_is_forgotten_soon() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    record_crash(&mut crashes, 7, 1, now, now);
    crashes.remove_expired(now + SUSPECT_FOR);
    assert!(crashes.is_empty());
}

#[test]
fn many_single_crashes_do_not_evict_a_blocked_request() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for n in 0..3_u32 {
        let sent = now + RUN * n;
        record_crash(&mut crashes, 7, n as usize, sent, sent + RUN / 2);
    }
    for other in 0..2 * MAX_OBSERVATIONS as u64 {
        record_crash(&mut crashes, 100 + other, 9, now, now + RUN * 4);
    }
    assert!(crashes.is_blocked(7, now + RUN * 4));
    assert!(crashes.own(now + RUN * 4).len() <= MAX_OBSERVATIONS);
}
