//! Baseline policies choose by their rules and never a full engine.

use std::collections::BTreeSet;

use bolero::TypeGenerator;
use briarhall_policy::load_tracker::Load;
use briarhall_policy::placement;
use briarhall_policy::placement::Candidate;
use briarhall_policy::placement::PlacementError;
use briarhall_policy::placement::Prompt;
use briarhall_policy::policies::Policy;
use briarhall_types::EngineSpec;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SLOTS: usize = 16;
const KV_TOKENS: u64 = 400_000;
const BASELINES: [Policy; 4] = [
    Policy::RoundRobin,
    Policy::LeastRequests,
    Policy::LeastTokens,
    Policy::TwoChoices,
];

fn spec() -> EngineSpec {
    EngineSpec {
        slots: 16,
        kv_tokens: KV_TOKENS,
        stride: 34,
        step_ms: 1.31,
        per_request_ms: 0.000_917,
        context_per_k_ms: 0.002_13,
        prefill_tokens_per_ms: 154.0,
        pairs_per_m_ms: 0.162,
        chunk: 2_048,
    }
}

fn prompt(tokens: u64) -> Prompt {
    Prompt {
        tokens,
        max_output: 700,
        objective_ms: 300.0,
        pause_ms: 250.0,
        deadline_ms: 10_000.0,
    }
}

fn engines(requests: &[usize], backlogs: &[u8]) -> Vec<Candidate<usize>> {
    let loads = requests.iter().zip(backlogs).enumerate();
    let engines = loads.map(|(key, (requests, backlog))| Candidate {
        key,
        order: key as u64,
        slots: SLOTS,
        load: Load {
            requests: *requests,
            backlog_ms: f64::from(*backlog),
            ..Load::default()
        },
        penalty: 0.0,
        pace: 1.0,
        same_zone: true,
        only_helps: false,
    });
    engines.collect()
}

#[derive(Debug, Clone, TypeGenerator)]
struct Fleet {
    engines: Vec<(u8, u8)>,
    tokens: u32,
    choice_index: u16,
    seed: u64,
}

#[test]
fn a_baseline_chooses_by_its_rule_and_never_a_full_engine() {
    briarhall_fuzz::values::<Fleet, _>(|fleet| {
        let requests = fleet.engines.iter().map(|(r, _)| usize::from(*r) % 20);
        let requests = requests.collect::<Vec<_>>();
        let backlogs = fleet.engines.iter().map(|(_, b)| *b).collect::<Vec<_>>();
        let engines = engines(&requests, &backlogs);
        let prompt = prompt(u64::from(fleet.tokens) % (2 * KV_TOKENS));
        let choice_index = usize::from(fleet.choice_index);
        let open = (0..engines.len()).filter(|n| requests[*n] < SLOTS);
        let open = open.collect::<Vec<_>>();
        for policy in BASELINES {
            let mut rng = SmallRng::seed_from_u64(fleet.seed);
            let plan =
                placement::baseline(policy, &spec(), &prompt, &engines, choice_index, &mut rng);
            let chosen = match plan {
                Ok(plan) => plan.first,
                Err(PlacementError::NoReplica) => {
                    assert!(engines.is_empty());
                    continue;
                }
                Err(PlacementError::TooLarge) => {
                    assert!(prompt.tokens + prompt.max_output > KV_TOKENS);
                    continue;
                }
                Err(PlacementError::Full) => {
                    assert!(open.is_empty());
                    continue;
                }
            };
            assert!(requests[chosen] < SLOTS, "{policy:?} chose a full engine");
            let least = match policy {
                Policy::LeastRequests => open.iter().all(|n| requests[*n] >= requests[chosen]),
                Policy::LeastTokens => open.iter().all(|n| backlogs[*n] >= backlogs[chosen]),
                Policy::RoundRobin => chosen == open[choice_index % open.len()],
                Policy::TwoChoices | Policy::Lanes => true,
            };
            assert!(least, "{policy:?} chose {chosen}");
        }
    });
}

#[test]
fn two_choices_reach_every_engine_and_avoid_the_worst() {
    let mut requests = vec![4; 10];
    requests[3] = 15;
    let engines = engines(&requests, &[0; 10]);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut draw = || {
        let policy = Policy::TwoChoices;
        placement::baseline(policy, &spec(), &prompt(5_000), &engines, 0, &mut rng)
    };
    let drawn = (0..500).map(|_| draw().expect("there is room").first);
    let drawn = drawn.collect::<Vec<_>>();
    let reached = drawn.iter().collect::<BTreeSet<_>>();
    assert_eq!(reached.len(), 10);
    // It is chosen only when it is drawn twice: 5 times of 500 are expected.
    assert!(drawn.iter().filter(|key| **key == 3).count() < 15);
}

/// Tests the name of each policy in settings and on the command line.
macro_rules! names {
    ($($name:ident: $text:literal => $policy:expr),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                assert_eq!($text.parse::<Policy>(), Ok($policy));
                let quoted = format!("\"{}\"", $text);
                assert_eq!(serde_json::from_str::<Policy>(&quoted).ok(), Some($policy));
            }
        )+
    };
}

names! {
    round_robin: "round-robin" => Policy::RoundRobin,
    least_requests: "least-requests" => Policy::LeastRequests,
    least_tokens: "least-tokens" => Policy::LeastTokens,
    two_choices: "two-choices" => Policy::TwoChoices,
    lanes: "lanes" => Policy::Lanes,
}

#[test]
fn an_unknown_name_is_refused_with_the_valid_ones() {
    let refused = "fastest".parse::<Policy>().expect_err("it is not a policy");
    assert!(refused.to_string().contains("two-choices"));
}
