//! The request that crashes replicas, among innocent ones and replicas that
//! crash by themselves, as several gateways see it.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
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
/// The one that crashes replicas.
const CULPRIT: u8 = 0;
/// Longest that a request runs, and longest step of the clock between ops.
const RUN: Duration = Duration::from_millis(200);

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A caller sends a request to a gateway, which sends it to a replica.
    Send {
        gateway: u8,
        request: u8,
        replica: u8,
    },
    /// A replica runs what it has; with the culprit in flight it crashes.
    Run { replica: u8 },
    /// A replica crashes by itself.
    Crash { replica: u8 },
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    gateway: usize,
    request: u8,
    at: Instant,
}

struct World {
    now: Instant,
    gateways: Vec<Crashes>,
    in_flight: Vec<Vec<Sent>>,
    /// Crashes that each request met since it was last answered, each with a
    /// send after the one before.
    met: [usize; REQUESTS as usize],
    last_met: [Option<Instant>; REQUESTS as usize],
    caused: usize,
}

fn replica(n: usize) -> ReplicaId {
    ReplicaId::from(format!("i-{n}"))
}

impl World {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            gateways: (0..GATEWAYS).map(|_| Crashes::default()).collect(),
            in_flight: vec![Vec::new(); REPLICAS],
            met: [0; REQUESTS as usize],
            last_met: [None; REQUESTS as usize],
            caused: 0,
        }
    }

    /// Everybody hears everybody.
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
            crashes.connection_broken(u64::from(sent.request), &replica(n), sent.at, self.now);
        }
        for sent in &in_flight {
            let request = usize::from(sent.request);
            if self.last_met[request].is_none_or(|last| sent.at > last) {
                self.met[request] += 1;
                self.last_met[request] = Some(self.now);
            }
        }
        // The news comes a while after.
        self.now += RUN;
        for crashes in &mut self.gateways {
            crashes.crashed(&replica(n), self.now);
        }
    }

    fn answer(&mut self, n: usize) {
        for sent in std::mem::take(&mut self.in_flight[n]) {
            let fingerprint = u64::from(sent.request);
            self.gateways[sent.gateway].answered(fingerprint, self.now);
            self.met[usize::from(sent.request)] = 0;
            self.last_met[usize::from(sent.request)] = None;
        }
    }

    fn blocked(&self, request: u8) -> Vec<bool> {
        let all = self.gateways.iter();
        all.map(|crashes| crashes.is_blocked(u64::from(request), self.now))
            .collect()
    }
}

fn check(ops: &[Op]) {
    let mut world = World::new();
    for op in ops {
        world.now += RUN;
        match *op {
            Op::Send {
                gateway,
                request,
                replica,
            } => {
                let gateway = usize::from(gateway) % GATEWAYS;
                let request = request % REQUESTS;
                let under_way = world.in_flight.iter().flatten();
                let copies = under_way.filter(|sent| sent.request == request).count();
                if copies == 0 && !world.blocked(request)[gateway] {
                    let at = world.now;
                    world.in_flight[usize::from(replica) % REPLICAS].push(Sent {
                        gateway,
                        request,
                        at,
                    });
                }
            }
            Op::Run { replica } => {
                let n = usize::from(replica) % REPLICAS;
                if world.in_flight[n]
                    .iter()
                    .any(|sent| sent.request == CULPRIT)
                {
                    world.caused += 1;
                    world.crash(n);
                } else {
                    world.answer(n);
                }
            }
            Op::Crash { replica } => world.crash(usize::from(replica) % REPLICAS),
        }
        world.gossip();
        for request in 0..REQUESTS {
            let expected = world.met[usize::from(request)] >= CRASHES_TO_BLOCK;
            let verdicts = world.blocked(request);
            assert!(
                verdicts.iter().all(|v| *v == expected),
                "request {request}: {verdicts:?}"
            );
        }
        assert!(world.caused <= CRASHES_TO_BLOCK);
    }
}

#[test]
fn all_gateways_convict_after_three_crashes_in_a_row_and_nothing_else() {
    briarhall_fuzz::histories::<Op, _>(1..60, check);
}

/// Lets a request meet a crash.
fn meet(crashes: &mut Crashes, fingerprint: u64, n: usize, sent: Instant, now: Instant) {
    crashes.connection_broken(fingerprint, &replica(n), sent, now);
    crashes.crashed(&replica(n), now);
}

#[test]
fn replicas_lost_at_one_moment_convict_nobody() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for n in 0..8 {
        meet(&mut crashes, 7, n, now, now + RUN);
    }
    assert!(!crashes.is_blocked(7, now + RUN));
}

#[test]
fn a_broken_connection_to_a_replica_that_lives_is_no_crash() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for n in 0..8_u32 {
        let sent = now + RUN * n;
        crashes.connection_broken(7, &replica(1), sent, sent + RUN / 2);
    }
    assert!(!crashes.is_blocked(7, now + RUN * 8));
    // It went away long after.
    let later = now + RUN * 8 + CONFIRM_WITHIN;
    assert_eq!(crashes.crashed(&replica(1), later), 0);
}

#[test]
fn a_verdict_outlives_the_gateway_that_saw_the_crashes() {
    let now = Instant::now();
    let (mut first, mut second) = (Crashes::default(), Crashes::default());
    for n in 0..3_u32 {
        let sent = now + RUN * n;
        meet(&mut first, 7, n as usize, sent, sent + RUN / 2);
    }
    let now = now + RUN * 3;
    second.set_peer_observations(1, &first.own(now), now);
    let later = now + SUSPECT_FOR + RUN;
    second.forget(later);
    assert!(second.is_blocked(7, later));
    let over = now + REMEMBER_FOR;
    second.forget(over);
    assert!(!second.is_blocked(7, over));
    assert!(second.is_empty());
}

#[test]
fn a_single_crash_is_forgotten_soon() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    meet(&mut crashes, 7, 1, now, now);
    crashes.forget(now + SUSPECT_FOR);
    assert!(crashes.is_empty());
}

#[test]
fn many_bystanders_do_not_push_a_culprit_out() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for n in 0..3_u32 {
        let sent = now + RUN * n;
        meet(&mut crashes, 7, n as usize, sent, sent + RUN / 2);
    }
    for bystander in 0..2 * MAX_OBSERVATIONS as u64 {
        meet(&mut crashes, 100 + bystander, 9, now, now + RUN * 4);
    }
    assert!(crashes.is_blocked(7, now + RUN * 4));
    assert!(crashes.own(now + RUN * 4).len() <= MAX_OBSERVATIONS);
}
