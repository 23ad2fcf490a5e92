//! Cost of decisions at the target scale: 5,200 replicas of 18 models, 350
//! routers, 330 customers.

use std::time::Duration;
use std::time::Instant;

use briarhall_policy::claims::Chain;
use briarhall_policy::claims::Claim;
use briarhall_policy::claims::Step;
use briarhall_policy::fleet::Fleet;
use briarhall_policy::fleet::Requirements;
use briarhall_policy::limits::Share;
use briarhall_policy::limits::Usage;
use briarhall_policy::members::Heartbeat;
use briarhall_policy::members::Member;
use briarhall_policy::members::Members;
use briarhall_policy::members::Roster;
use briarhall_policy::policies::Policy;
use briarhall_policy::share_allocator::CallKey;
use briarhall_policy::share_allocator::Demand;
use briarhall_policy::share_allocator::ShareAllocator;
use briarhall_types::CallLimits;
use briarhall_types::Digest;
use briarhall_types::EndpointKind;
use briarhall_types::EndpointRecord;
use briarhall_types::EndpointState;
use briarhall_types::LoadReport;
use briarhall_types::Objective;
use compact_str::CompactString;
use compact_str::format_compact;
use divan::Bencher;
use divan::black_box;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const MODELS: usize = 18;
const REPLICAS: [usize; 3] = [520, 1_560, 5_200];
const ROUTERS: [usize; 3] = [35, 105, 350];

fn main() {
    divan::main();
}

fn fleet(replicas: usize) -> Fleet {
    let mut fleet = Fleet::new(Policy::Lanes, Duration::from_millis(300));
    let record = |n: usize| EndpointRecord {
        name: format_compact!("engine-{n}"),
        kind: EndpointKind::Engine,
        serves: format_compact!("model-{}", n % MODELS),
        address: ([127, 0, 0, 1], 80).into(),
        zone: CompactString::const_new("a"),
        state: EndpointState::Live,
        kv_tokens: 400_000,
        prefill_rate: 16_700,
    };
    fleet.set_endpoints((0..replicas).map(record).collect());
    let now = Instant::now();
    for n in 0..replicas {
        let report = LoadReport {
            queued_tokens: (n as u64 * 7_919) % 50_000,
            kv_used: (n as u64 * 104_729) % 300_000,
            ..LoadReport::default()
        };
        fleet.report(&format_compact!("engine-{n}"), report, now);
    }
    fleet
}

fn requirements(tokens: u64) -> Requirements {
    Requirements {
        serves: CompactString::const_new("model-3"),
        tokens,
        max_tokens: 200,
        objective: Objective::ShortSlowdown,
        exclude: Vec::new(),
    }
}

#[divan::bench(args = REPLICAS)]
fn route_a_short_request(bencher: Bencher<'_, '_>, replicas: usize) {
    let mut fleet = fleet(replicas);
    let mut rng = SmallRng::seed_from_u64(1);
    let requirements = requirements(2_000);
    let now = Instant::now();
    bencher.bench_local(|| {
        let choice = fleet
            .choose(&requirements, &mut rng, now)
            .expect("there are engines");
        let attempt = fleet.sent(choice.key, &requirements, now);
        fleet.ended(attempt);
    });
}

#[divan::bench(args = REPLICAS)]
fn look_for_an_opening_for_a_long_one(bencher: Bencher<'_, '_>, replicas: usize) {
    let fleet = fleet(replicas);
    let requirements = requirements(200_000);
    let now = Instant::now();
    bencher.bench_local(|| black_box(fleet.open_engines(&requirements, now)).is_ok());
}

fn heartbeat(n: usize, counter: u64) -> Heartbeat {
    Heartbeat {
        router: format_compact!("zone-a/{n:032}"),
        counter,
        held: 1_000,
        newest: 1_000,
        caller_address: ([127, 0, 0, 1], 80).into(),
        mesh_address: ([127, 0, 0, 1], 81).into(),
        zone: CompactString::const_new("zone-a"),
        draining: false,
    }
}

fn members(routers: usize) -> (Members, Roster) {
    let now = Instant::now();
    let mut members = Members::new(heartbeat(0, 0).router);
    members.set_own_heartbeat(heartbeat(0, 1), now);
    for n in 1..routers {
        members.apply_push(heartbeat(n, 1), now);
    }
    let member = |n| Member {
        name: heartbeat(n, 0).router,
        mesh_address: ([127, 0, 0, 1], 81).into(),
        zone: CompactString::const_new("zone-a"),
    };
    let roster = Roster {
        members: (0..routers).map(member).collect(),
        ..Roster::default()
    };
    (members, roster)
}

#[divan::bench(args = ROUTERS)]
fn standing(bencher: Bencher<'_, '_>, routers: usize) {
    let (members, roster) = members(routers);
    let now = Instant::now();
    bencher.bench_local(|| black_box(members.sync_state(&roster, 1_000, now)));
}

#[divan::bench(args = ROUTERS)]
fn answer_a_pull_and_take_it(bencher: Bencher<'_, '_>, routers: usize) {
    let (members, _) = members(routers);
    let (mut other, _) = self::members(routers);
    let now = Instant::now();
    bencher.bench_local(|| other.apply_pull(members.answer(now), now, now));
}

#[divan::bench(args = [16, 64, 350])]
fn report_to_a_sharer(bencher: Bencher<'_, '_>, routers: usize) {
    let mut allocator = ShareAllocator::default();
    let limits = CallLimits {
        requests_per_second: 1_000,
        tokens_per_second: None,
        in_flight: 1_000,
    };
    let demand = |arrivals| Demand {
        key: CallKey {
            customer: CompactString::const_new("tidewire"),
            call: CompactString::const_new("model/airtime"),
        },
        arrivals,
        grant_number: 0,
        exclusive_ms: 10_000,
    };
    let now = Instant::now();
    for n in 0..routers {
        let name = format_compact!("router-{n}");
        allocator.report(&name, &demand(10.0), &limits, routers, now);
    }
    let name = CompactString::const_new("router-0");
    let mut time = now;
    bencher.bench_local(|| {
        // Advances the clock, so that grants expire as in operation.
        time += Duration::from_millis(300);
        black_box(allocator.report(&name, &demand(20.0), &limits, routers, time))
    });
}

#[divan::bench]
fn admit_under_a_limit(bencher: Bencher<'_, '_>) {
    let limits = CallLimits {
        requests_per_second: 1_000_000,
        tokens_per_second: Some(1_000_000_000),
        in_flight: 1_000,
    };
    let mut usage = Usage::new(limits, Share::full(&limits), Instant::now());
    bencher.bench_local(|| {
        let admitted = usage.admit(1_000, Instant::now());
        usage.ended();
        admitted.is_ok()
    });
}

/// A batch of claims through a chain whose writes succeed at once.
#[divan::bench(args = [1, 100, 1_000])]
fn decide_a_batch_of_claims(bencher: Bencher<'_, '_>, claims: u128) {
    let mut chain = Chain::default();
    let mut next = 0_u128;
    bencher.bench_local(|| {
        let now = Instant::now();
        for _ in 0..claims {
            next += 1;
            let key = Digest::of(&next.to_le_bytes());
            let claim = Claim {
                id: briarhall_types::new_id(),
                key,
                request: key,
                holder: CompactString::const_new("router-0"),
                instead_of: None,
            };
            chain.submit(claim);
        }
        loop {
            match chain.step(now, 0) {
                Step::Load => drop(chain.loaded(Vec::new(), now)),
                Step::Write(..) => drop(chain.written(now)),
                _ => break,
            }
        }
        chain.take_discarded()
    });
}
