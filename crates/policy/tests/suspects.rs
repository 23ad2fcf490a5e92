//! A request that crashes engines, among other requests, at several routers.

use std::collections::BTreeMap;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::suspects::AffectedRequest;
use briarhall_policy::suspects::Suspects;
use briarhall_policy::suspects::Suspicion;
use briarhall_types::Digest;

const ROUTERS: usize = 3;
const ENGINES: usize = 4;
const REQUESTS: u8 = 6;
/// The request that crashes engines.
const CRASHING: u8 = 0;
const MAX_CRASHES: usize = 2;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A caller sends a request to a router, which puts it on an engine.
    Send { router: u8, request: u8, engine: u8 },
    /// An engine completes its requests, or crashes if it has the crashing one.
    Run { engine: u8 },
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    router: usize,
    request: u8,
    isolated: bool,
}

#[derive(Default)]
struct Simulation {
    engines: BTreeMap<usize, Vec<Sent>>,
    crash_count: usize,
}

fn fingerprint(request: u8) -> Digest {
    Digest::of(&[request])
}

/// Whether the caller of the crashing request waits for an answer before it
/// sends it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Caller {
    OneAtATime,
    CopiesAtOnce,
}

fn check(ops: &[Op], caller: Caller) {
    let now = Instant::now();
    let mut simulation = Simulation::default();
    let mut routers = (0..ROUTERS)
        .map(|_| Suspects::default())
        .collect::<Vec<_>>();
    for op in ops {
        match *op {
            Op::Send {
                router,
                request,
                engine,
            } => {
                let router = usize::from(router) % ROUTERS;
                let request = request % REQUESTS;
                let is_crashing = |sent: &Sent| sent.request == CRASHING;
                if caller == Caller::OneAtATime
                    && request == CRASHING
                    && simulation.engines.values().flatten().any(is_crashing)
                {
                    continue;
                }
                let suspicion = routers[router].suspicion(&fingerprint(request));
                if suspicion == Some(Suspicion::Blocked) {
                    continue;
                }
                let isolated = suspicion == Some(Suspicion::Suspect);
                let on_engine = simulation
                    .engines
                    .entry(usize::from(engine) % ENGINES)
                    .or_default();
                // An isolated request needs an idle engine, and while it runs, nothing
                // else starts there.
                let reserved = on_engine.iter().any(|sent| sent.isolated);
                if reserved || isolated && !on_engine.is_empty() {
                    continue;
                }
                on_engine.push(Sent {
                    router,
                    request,
                    isolated,
                });
            }
            Op::Run { engine } => {
                let ran = simulation.engines.remove(&(usize::from(engine) % ENGINES));
                run(
                    &mut routers,
                    ran.unwrap_or_default(),
                    &mut simulation.crash_count,
                    now,
                );
            }
        }
    }
}

fn run(routers: &mut [Suspects], ran: Vec<Sent>, crash_count: &mut usize, now: Instant) {
    let crashes = ran.iter().any(|sent| sent.request == CRASHING);
    if !crashes {
        for sent in ran {
            routers[sent.router].record_completed(&fingerprint(sent.request));
        }
        return;
    }
    *crash_count += 1;
    let mut notices = Vec::new();
    for (n, router) in routers.iter_mut().enumerate() {
        let affected = ran
            .iter()
            .filter(|sent| sent.router == n)
            .map(|sent| AffectedRequest {
                fingerprint: fingerprint(sent.request),
                isolated: sent.isolated,
            });
        notices.extend(router.engine_crashed(&affected.collect::<Vec<_>>(), now));
    }
    for router in routers.iter_mut() {
        for notice in &notices {
            router.apply_notice(notice, now);
        }
        for request in 1..REQUESTS {
            let suspicion = router.suspicion(&fingerprint(request));
            assert_ne!(
                suspicion,
                Some(Suspicion::Blocked),
                "request {request} does not crash engines"
            );
        }
    }
}

macro_rules! no_other_request_is_blocked {
    ($name:ident, $caller:expr) => {
        #[test]
        fn $name() {
            briarhall_fuzz::histories(0..200, |ops: &[Op]| check(ops, $caller));
        }
    };
}

no_other_request_is_blocked!(sent_one_at_a_time, Caller::OneAtATime);
no_other_request_is_blocked!(copies_sent_at_once, Caller::CopiesAtOnce);

/// A crashing request that is sent repeatedly, one at a time, crashes two engines
/// and no more.
#[test]
fn a_crashing_request_crashes_two_engines() {
    let now = Instant::now();
    let mut routers = (0..ROUTERS)
        .map(|_| Suspects::default())
        .collect::<Vec<_>>();
    let mut crash_count = 0;
    for attempt in 0..20 {
        let router = attempt % ROUTERS;
        let suspicion = routers[router].suspicion(&fingerprint(CRASHING));
        if suspicion == Some(Suspicion::Blocked) {
            continue;
        }
        let sent = Sent {
            router,
            request: CRASHING,
            isolated: suspicion.is_some(),
        };
        run(&mut routers, vec![sent], &mut crash_count, now);
    }
    assert_eq!(crash_count, MAX_CRASHES);
}
