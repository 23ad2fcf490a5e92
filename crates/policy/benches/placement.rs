//! Cost of a gateway's decisions at today's size of 7 gateways in front of 21
//! engines and at larger sizes, up to complete lists from every gateway at the
//! target scale.

use std::time::Duration;
use std::time::Instant;

use briarhall_policy::load_tracker::LoadTracker;
use briarhall_policy::load_tracker::Phase;
use briarhall_policy::load_tracker::Work;
use briarhall_policy::placement;
use briarhall_policy::placement::Candidate;
use briarhall_policy::placement::Prompt;
use briarhall_policy::placement::Urgency;
use briarhall_types::EngineSpec;
use compact_str::format_compact;
use divan::Bencher;
use divan::black_box;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Numbers of gateways.
const GATEWAYS: [u32; 4] = [7, 30, 100, 350];
/// Pieces of work in flight at each gateway: ten requests a second that last two
/// seconds, and the parts of some long prompts.
const WORK_PER_GATEWAY: u32 = 60;
/// Approximate number of engines per gateway at the target scale.
const ENGINES_PER_GATEWAY: u32 = 15;

fn main() {
    divan::main();
}

fn spec() -> EngineSpec {
    EngineSpec {
        slots: 16,
        kv_tokens: 405_000,
        stride: 34,
        step_ms: 1.31,
        per_request_ms: 0.000_917,
        context_per_k_ms: 0.002_13,
        prefill_tokens_per_ms: 154.0,
        pairs_per_m_ms: 0.162,
        chunk: 2_048,
    }
}

fn work_list(gateway: u32, engines: u32) -> Vec<Work> {
    let work = |n: u32| Work {
        replica: (gateway * 31 + n * 7) % engines,
        phase: if n.is_multiple_of(4) {
            Phase::Prefill
        } else {
            Phase::Decode
        },
        prefill_ms: 30.0,
        kv_tokens: 5_700,
        pause_ms: Some(250),
        age_ms: n * 20,
    };
    (0..WORK_PER_GATEWAY).map(work).collect()
}

fn load_tracker(gateways: u32, now: Instant) -> LoadTracker {
    let mut load_tracker = LoadTracker::default();
    for gateway in 0..gateways {
        let engines = gateways * ENGINES_PER_GATEWAY;
        load_tracker.set_peer_work(
            format_compact!("vm-{gateway}"),
            work_list(gateway, engines),
            now,
        );
    }
    load_tracker
}

/// Loads of all engines, computed once for each placement.
#[divan::bench(args = GATEWAYS)]
fn loads(bencher: Bencher<'_, '_>, gateways: u32) {
    let now = Instant::now();
    let load_tracker = load_tracker(gateways, now);
    let later = now + Duration::from_millis(20);
    bencher.bench_local(|| black_box(load_tracker.loads(black_box(later))));
}

/// List of work in one heartbeat of another gateway.
#[divan::bench]
fn take_a_list(bencher: Bencher<'_, '_>) {
    let now = Instant::now();
    let mut load_tracker = load_tracker(7, now);
    bencher
        .with_inputs(|| work_list(3, 105))
        .bench_local_values(|work_list| load_tracker.set_peer_work("vm-3".into(), work_list, now));
}

fn candidates(count: u32) -> Vec<Candidate<u32>> {
    let now = Instant::now();
    let loads = load_tracker(count.div_ceil(ENGINES_PER_GATEWAY), now).loads(now);
    let candidate = |key: u32| Candidate {
        key,
        order: u64::from(key),
        slots: 16,
        load: loads.get(&key).cloned().unwrap_or_default(),
        penalty: 0.0,
        pace: 1.0,
        same_zone: true,
        only_helps: false,
    };
    (0..count).map(candidate).collect()
}

fn prompt(tokens: u64) -> Prompt {
    Prompt {
        tokens,
        max_output: 700,
        objective_ms: 3_000.0,
        pause_ms: 1_000.0,
        deadline_ms: 15_000.0,
    }
}

/// A short prompt among the engines of one service.
#[divan::bench(args = [21, 290])]
fn short(bencher: Bencher<'_, '_>, engines: u32) {
    let candidates = candidates(engines);
    let prompt = prompt(5_000);
    let mut rng = StdRng::seed_from_u64(1);
    bencher.bench_local(|| placement::short(&spec(), black_box(&prompt), &candidates, 0, &mut rng));
}

/// A long prompt among the engines of one service.
#[divan::bench(args = [21, 290])]
fn long(bencher: Bencher<'_, '_>, engines: u32) {
    let candidates = candidates(engines);
    let prompt = prompt(182_000);
    bencher
        .bench_local(|| placement::long(&spec(), black_box(&prompt), Urgency::Late, &candidates));
}
