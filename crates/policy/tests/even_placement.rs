//! Single rules of placement with stale views, and of the pace of engines.

use bolero::TypeGenerator;
use briarhall_policy::load_tracker::DecodingRequest;
use briarhall_policy::load_tracker::Load;
use briarhall_policy::placement;
use briarhall_policy::placement::Candidate;
use briarhall_policy::placement::Length;
use briarhall_policy::placement::Plan;
use briarhall_policy::placement::Prompt;
use briarhall_policy::placement::Urgency;
use briarhall_policy::placement::even;
use briarhall_types::EngineSpec;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SLOTS: usize = 12;
const ENGINES: usize = 40;
/// Prompts that others have placed unseen.
const UNSEEN: usize = 3;

fn spec() -> EngineSpec {
    EngineSpec {
        slots: 12,
        kv_tokens: 197_200,
        stride: 48,
        step_ms: 1.02,
        per_request_ms: 0.002_26,
        context_per_k_ms: 0.004_31,
        prefill_tokens_per_ms: 206.0,
        pairs_per_m_ms: 0.138,
        chunk: 2_048,
    }
}

fn prompt(tokens: u64) -> Prompt {
    let (objective_ms, pause_ms) = match tokens {
        0..=15_000 => (250.0, 250.0),
        15_001..=110_000 => (1_500.0, 600.0),
        _ => (3_000.0, 1_000.0),
    };
    Prompt {
        tokens,
        max_output: 540,
        objective_ms,
        pause_ms,
        deadline_ms: 15_000.0,
    }
}

fn engine(key: usize) -> Candidate<usize> {
    Candidate {
        key,
        order: key as u64,
        slots: SLOTS,
        load: Load::default(),
        penalty: 0.0,
        pace: 1.0,
        same_zone: true,
        only_helps: false,
    }
}

fn idle() -> Vec<Candidate<usize>> {
    (0..ENGINES).map(engine).collect()
}

fn decoding(count: usize) -> Load {
    let tokens = 5_540;
    Load {
        requests: count,
        decoding: vec![
            DecodingRequest {
                pause_ms: 250,
                tokens
            };
            count
        ],
        kv_tokens: u64::from(tokens) * count as u64,
        ..Load::default()
    }
}

fn place(prompt: &Prompt, engines: &[Candidate<usize>], seed: u64) -> Option<Plan<usize>> {
    let spec = spec();
    let mut rng = StdRng::seed_from_u64(seed);
    let plan = match placement::length(&spec, prompt) {
        Length::Short => even::short(&spec, prompt, engines, UNSEEN, &mut rng),
        Length::Medium => even::medium(&spec, prompt, engines, UNSEEN),
        Length::Long => even::long(&spec, prompt, Urgency::Pressing, engines, UNSEEN),
    };
    plan.ok()
}

fn members(plan: &Plan<usize>) -> Vec<usize> {
    let mut all = plan.helpers.clone();
    all.push(plan.first);
    all.sort_unstable();
    all
}

#[derive(Debug, Clone, TypeGenerator)]
struct Fleet {
    /// Decoding requests, backlog, tokens, pace and penalty of each engine.
    engines: Vec<(u8, u8, u16, u8, u8)>,
    tokens: u32,
    seed: u64,
}

/// Guards against plans that no engine can take, whatever the loads and paces.
#[test]
fn a_plan_never_overfills_memory_nor_uses_an_engine_twice() {
    briarhall_fuzz::values::<Fleet, _>(|fleet| {
        let engines = fleet.engines.iter().take(24).enumerate();
        let engines = engines.map(|(key, (count, backlog, kv, pace, penalty))| {
            let mut load = decoding(usize::from(*count) % 15);
            load.kv_tokens = u64::from(*kv) * 3;
            load.backlog_ms = f64::from(*backlog);
            load.long_prefills = usize::from(*backlog > 200);
            Candidate {
                load,
                pace: 1.0 + f64::from(*pace) / 40.0,
                penalty: f64::from(*penalty) / 100.0,
                ..engine(key)
            }
        });
        let engines = engines.collect::<Vec<_>>();
        let prompt = prompt(u64::from(fleet.tokens) % 1_500_000);
        let Some(plan) = place(&prompt, &engines, fleet.seed) else {
            return;
        };
        let all = members(&plan);
        assert!(all.windows(2).all(|pair| pair[0] != pair[1]), "{plan:?}");
        let first = &engines[plan.first].load;
        assert!(first.requests < SLOTS, "{plan:?}");
        let held = if plan.part_tokens == 0 {
            prompt.tokens
        } else {
            plan.part_tokens
        };
        assert!(first.kv_tokens + held <= spec().kv_tokens, "{plan:?}");
        for helper in &plan.helpers {
            let load = &engines[*helper].load;
            assert!(
                load.kv_tokens + plan.part_tokens <= spec().kv_tokens,
                "{plan:?}"
            );
        }
    });
}

/// A slow engine would hold up all others that share the prompt.
#[test]
fn a_slow_engine_shares_no_long_prompt_while_others_are_free() {
    for slow in 0..ENGINES {
        let mut engines = idle();
        engines[slow].pace = 4.0;
        let plan = place(&prompt(190_000), &engines, 1).expect("engines are free");
        assert!(!plan.helpers.is_empty());
        assert!(!members(&plan).contains(&slow), "{plan:?}");
    }
}

/// A slow engine with half of the others' requests has as much work as they have.
#[test]
fn short_prompts_go_to_a_slow_engine_less_often() {
    let mut engines = idle();
    for engine in &mut engines {
        engine.load = decoding(4);
    }
    engines[0].pace = 2.0;
    let plans = (0..400).filter_map(|seed| place(&prompt(5_000), &engines, seed));
    let firsts = plans.map(|plan| plan.first).collect::<Vec<_>>();
    assert_eq!(firsts.len(), 400);
    assert_eq!(firsts.iter().filter(|first| **first == 0).count(), 0);
}

/// A part that an engine prefills delays the events of the requests that decode there.
#[test]
fn parts_keep_off_the_engines_of_short_prompts() {
    let mut engines = idle();
    for engine in &mut engines[..10] {
        engine.load = decoding(4);
    }
    for tokens in [45_000, 190_000] {
        let plan = place(&prompt(tokens), &engines, 1).expect("engines are free");
        assert!(members(&plan)[0] >= 10, "{plan:?}");
    }
    for seed in 0..100 {
        let plan = place(&prompt(5_000), &engines, seed).expect("engines have room");
        assert!(plan.first < 15, "{plan:?}");
    }
}

/// An engine that prefills a long part is no place for a short prompt, also at the front.
#[test]
fn short_prompts_keep_off_engines_that_prefill_a_long_part() {
    let mut engines = idle();
    engines[0].load.long_prefills = 1;
    engines[0].load.prefilling = 1;
    engines[0].load.backlog_ms = 20.0;
    for seed in 0..100 {
        let plan = place(&prompt(5_000), &engines, seed).expect("engines have room");
        assert_ne!(plan.first, 0);
    }
}

/// Calls of a plain service go to a slow replica only when it has less to do.
#[test]
fn calls_go_to_a_slow_replica_only_when_it_has_less_work() {
    let mut replicas = idle();
    replicas[0].pace = 2.0;
    assert_ne!(placement::call(&replicas), Ok(0));
    for replica in &mut replicas[1..] {
        replica.load.requests = 2;
    }
    assert_eq!(placement::call(&replicas), Ok(0));
}

/// An operator sees how unevenly requests are spread.
#[test]
fn the_busiest_replica_is_compared_with_the_mean() {
    let mut replicas = idle();
    assert_eq!(even::busiest_to_mean(&replicas), None);
    replicas[3].load.requests = 2;
    let alone = even::busiest_to_mean(&replicas).expect("requests are in flight");
    assert!((alone - 40.0).abs() < 1e-9, "{alone}");
    for replica in &mut replicas {
        replica.load.requests = 2;
    }
    let even = even::busiest_to_mean(&replicas).expect("requests are in flight");
    assert!((even - 1.0).abs() < 1e-9, "{even}");
}

/// While all engines are idle every gateway would else take the first of the lane.
#[test]
fn short_prompts_spread_over_idle_engines() {
    let engines = idle();
    let plans = (0..400).filter_map(|seed| place(&prompt(5_000), &engines, seed));
    let mut placed = [0; ENGINES];
    for plan in plans {
        placed[plan.first] += 1;
    }
    // The lane of so few prompts has four engines, each of which gets a quarter.
    assert_eq!(placed.iter().sum::<usize>(), 400);
    assert!(placed.iter().all(|count| *count <= 150), "{placed:?}");
}

/// Engines that take no requests leave the lane no smaller: else the few others in it would
/// get all short prompts.
#[test]
fn engines_that_take_no_requests_do_not_count_for_the_lane() {
    let mut engines = idle();
    for engine in &mut engines[..30] {
        engine.load = decoding(8);
    }
    for engine in &mut engines[..15] {
        engine.only_helps = true;
    }
    let plans = (0..400).filter_map(|seed| place(&prompt(5_000), &engines, seed));
    let firsts = plans.map(|plan| plan.first).collect::<Vec<_>>();
    assert_eq!(firsts.len(), 400);
    assert!(firsts.iter().all(|first| *first >= 15));
    let idle_ones = firsts.iter().filter(|first| **first >= 30).count();
    assert!(idle_ones > 200, "{idle_ones}");
}
