//! Short prompts placed by many gateways, each of which knows the others' work a
//! moment late.

use std::collections::VecDeque;

use briarhall_policy::load_tracker::DecodingRequest;
use briarhall_policy::load_tracker::Load;
use briarhall_policy::placement;
use briarhall_policy::placement::Candidate;
use briarhall_policy::placement::Prompt;
use briarhall_types::EngineSpec;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SLOTS: usize = 10;
const ENGINES: usize = 172;
/// Requests a second at the peak of short questions.
const REQUESTS_PER_S: u64 = 500;
/// Milliseconds until a gateway knows what another one placed.
const VIEW_AGE_MS: u64 = 25;
/// Milliseconds for which an answer occupies a slot.
const ANSWER_MS: u64 = 2_000;
const LENGTH_MS: u64 = 6_000;
const TOKENS: u32 = 5_500;

fn spec() -> EngineSpec {
    EngineSpec {
        slots: 10,
        kv_tokens: 405_000,
        stride: 53,
        step_ms: 1.31,
        per_request_ms: 0.000_917,
        context_per_k_ms: 0.002_13,
        prefill_tokens_per_ms: 154.0,
        pairs_per_m_ms: 0.162,
        chunk: 2_048,
    }
}

fn prompt() -> Prompt {
    Prompt {
        tokens: 4_960,
        max_output: 540,
        objective_ms: 400.0,
        pause_ms: 300.0,
        deadline_ms: 10_000.0,
    }
}

#[derive(Debug, Clone, Copy)]
struct Placed {
    at_ms: u64,
    engine: usize,
}

/// Milliseconds that an engine takes to prefill one of these prompts.
const PREFILL_MS: u64 = 34;

fn candidates(placed: &VecDeque<Placed>, now_ms: u64) -> Vec<Candidate<usize>> {
    let mut loads = vec![Load::default(); ENGINES];
    for p in placed.iter().filter(|p| p.at_ms + VIEW_AGE_MS <= now_ms) {
        let load = &mut loads[p.engine];
        load.requests += 1;
        load.kv_tokens += u64::from(TOKENS);
        load.decoding.push(DecodingRequest {
            pause_ms: 300,
            tokens: TOKENS,
        });
        let left = (p.at_ms + PREFILL_MS).saturating_sub(now_ms);
        load.backlog_ms += f64::from(u32::try_from(left).expect("a short time"));
    }
    let engines = loads.into_iter().enumerate();
    let engines = engines.map(|(key, load)| Candidate {
        key,
        order: key as u64,
        slots: SLOTS,
        load,
        penalty: 0.0,
        pace: 1.0,
        same_zone: true,
        only_helps: false,
    });
    engines.collect()
}

/// What came of a peak.
#[derive(Debug)]
struct Outcome {
    /// Prompts that met two or more others at their engine before a gateway could
    /// know of them.
    piled_up: usize,
    /// Prompts that met an engine without a free slot.
    turned_away: usize,
    total: usize,
}

fn play(unseen: usize) -> Outcome {
    let mut rng = StdRng::seed_from_u64(11);
    let mut placed = VecDeque::<Placed>::new();
    let mut outcome = Outcome {
        piled_up: 0,
        turned_away: 0,
        total: 0,
    };
    for now_ms in 0..LENGTH_MS {
        while placed
            .front()
            .is_some_and(|p| p.at_ms + ANSWER_MS <= now_ms)
        {
            placed.pop_front();
        }
        if rng.random_range(0..1_000) >= REQUESTS_PER_S {
            continue;
        }
        let candidates = candidates(&placed, now_ms);
        let plan = placement::short(&spec(), &prompt(), &candidates, unseen, &mut rng);
        let engine = plan.expect("the fleet has room").first;
        let there = placed.iter().filter(|p| p.engine == engine);
        let recent = there.clone().filter(|p| p.at_ms + VIEW_AGE_MS > now_ms);
        outcome.piled_up += usize::from(recent.count() >= 2);
        outcome.turned_away += usize::from(there.count() >= SLOTS);
        outcome.total += 1;
        placed.push_back(Placed {
            at_ms: now_ms,
            engine,
        });
    }
    outcome
}

/// Pattern: short questions double within seconds while every gateway knows the
/// others' placements 25 ms late. Taking the first engine with room sends each
/// such moment's questions to one engine.
#[test]
fn gateways_with_stale_views_do_not_pile_up_on_one_engine() {
    let unseen = usize::try_from(REQUESTS_PER_S * VIEW_AGE_MS / 1_000).expect("a small number");
    let first_fit = play(0);
    let spread = play(unseen);
    assert!(
        first_fit.piled_up * 4 > first_fit.total,
        "the load shows the pattern: {first_fit:?}"
    );
    assert!(spread.piled_up * 20 < spread.total, "{spread:?}");
    assert!(spread.turned_away * 50 < spread.total, "{spread:?}");
    assert!(
        spread.turned_away <= first_fit.turned_away,
        "{spread:?}, {first_fit:?}"
    );
}
