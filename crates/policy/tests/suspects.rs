//! The request that crashes engines, among innocent ones, at several routers.

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
/// The one that crashes engines.
const CULPRIT: u8 = 0;
const MOST_DEATHS: usize = 2;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A caller sends a request to a router, which puts it on an engine.
    Send { router: u8, request: u8, engine: u8 },
    /// An engine runs what it has; with the culprit there it dies.
    Run { engine: u8 },
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    router: usize,
    request: u8,
    isolated: bool,
}

#[derive(Default)]
struct World {
    engines: BTreeMap<usize, Vec<Sent>>,
    deaths: usize,
}

fn fingerprint(request: u8) -> Digest {
    Digest::of(&[request])
}

/// Whether the culprit's caller waits for an answer before it sends again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Caller {
    OneAtATime,
    CopiesAtOnce,
}

fn check(ops: &[Op], caller: Caller) {
    let now = Instant::now();
    let mut world = World::default();
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
                let under_way = |sent: &Sent| sent.request == CULPRIT;
                if caller == Caller::OneAtATime
                    && request == CULPRIT
                    && world.engines.values().flatten().any(under_way)
                {
                    continue;
                }
                let suspicion = routers[router].suspicion(&fingerprint(request));
                if suspicion == Some(Suspicion::Blocked) {
                    continue;
                }
                let isolated = suspicion == Some(Suspicion::Suspect);
                let here = world
                    .engines
                    .entry(usize::from(engine) % ENGINES)
                    .or_default();
                // All memory of an idle engine, or none; then nothing else starts there.
                let locked = here.iter().any(|sent| sent.isolated);
                if locked || isolated && !here.is_empty() {
                    continue;
                }
                here.push(Sent {
                    router,
                    request,
                    isolated,
                });
            }
            Op::Run { engine } => {
                let ran = world.engines.remove(&(usize::from(engine) % ENGINES));
                run(
                    &mut routers,
                    ran.unwrap_or_default(),
                    &mut world.deaths,
                    now,
                );
            }
        }
    }
}

fn run(routers: &mut [Suspects], ran: Vec<Sent>, deaths: &mut usize, now: Instant) {
    let dies = ran.iter().any(|sent| sent.request == CULPRIT);
    if !dies {
        for sent in ran {
            routers[sent.router].cleared(&fingerprint(sent.request));
        }
        return;
    }
    *deaths += 1;
    let mut notices = Vec::new();
    for (n, router) in routers.iter_mut().enumerate() {
        let affected = ran
            .iter()
            .filter(|sent| sent.router == n)
            .map(|sent| AffectedRequest {
                fingerprint: fingerprint(sent.request),
                isolated: sent.isolated,
            });
        notices.extend(router.engine_died(&affected.collect::<Vec<_>>(), now));
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
                "request {request} is innocent"
            );
        }
    }
}

macro_rules! nobody_innocent_is_convicted {
    ($name:ident, $caller:expr) => {
        #[test]
        fn $name() {
            briarhall_fuzz::histories(0..200, |ops: &[Op]| check(ops, $caller));
        }
    };
}

nobody_innocent_is_convicted!(sent_one_at_a_time, Caller::OneAtATime);
nobody_innocent_is_convicted!(copies_sent_at_once, Caller::CopiesAtOnce);

/// Sent again and again, one at a time, it costs two engines and no more.
#[test]
fn a_culprit_costs_two_engines() {
    let now = Instant::now();
    let mut routers = (0..ROUTERS)
        .map(|_| Suspects::default())
        .collect::<Vec<_>>();
    let mut deaths = 0;
    for attempt in 0..20 {
        let router = attempt % ROUTERS;
        let suspicion = routers[router].suspicion(&fingerprint(CULPRIT));
        if suspicion == Some(Suspicion::Blocked) {
            continue;
        }
        let sent = Sent {
            router,
            request: CULPRIT,
            isolated: suspicion.is_some(),
        };
        run(&mut routers, vec![sent], &mut deaths, now);
    }
    assert_eq!(deaths, MOST_DEATHS);
}
