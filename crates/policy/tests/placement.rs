//! Invariants of placement and the queue of long prompts, and their behaviour
//! under typical patterns of load.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::engine::decode_pass_ms;
use briarhall_policy::engine::prefill_ms;
use briarhall_policy::load_tracker::DecodingRequest;
use briarhall_policy::load_tracker::Load;
use briarhall_policy::load_tracker::LoadTracker;
use briarhall_policy::load_tracker::Phase;
use briarhall_policy::load_tracker::Work;
use briarhall_policy::placement;
use briarhall_policy::placement::Candidate;
use briarhall_policy::placement::Length;
use briarhall_policy::placement::PlacementError;
use briarhall_policy::placement::Plan;
use briarhall_policy::placement::Prompt;
use briarhall_policy::placement::Urgency;
use briarhall_policy::prompt_queue::PromptQueue;
use briarhall_policy::prompt_queue::QueuedPrompt;
use briarhall_types::EngineSpec;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SLOTS: usize = 16;
const ENGINES: usize = 21;

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

fn prompt(tokens: u64) -> Prompt {
    let (objective_ms, pause_ms, deadline_ms) = match tokens {
        0..=24_000 => (300.0, 250.0, 10_000.0),
        24_001..=110_000 => (1_500.0, 600.0, 10_000.0),
        _ => (3_000.0, 1_000.0, 15_000.0),
    };
    Prompt {
        tokens,
        max_output: 700,
        objective_ms,
        pause_ms,
        deadline_ms,
    }
}

fn engine(key: usize, load: Load) -> Candidate<usize> {
    Candidate {
        key,
        order: key as u64,
        slots: SLOTS,
        load,
        penalty: 0.0,
        pace: 1.0,
        same_zone: true,
        only_helps: false,
    }
}

fn idle(count: usize) -> Vec<Candidate<usize>> {
    let engines = (0..count).map(|key| engine(key, Load::default()));
    engines.collect()
}

fn with_decoding(count: usize, pause_ms: u32) -> Load {
    let tokens = 5_000;
    Load {
        requests: count,
        decoding: vec![DecodingRequest { pause_ms, tokens }; count],
        kv_tokens: u64::from(tokens) * count as u64,
        ..Load::default()
    }
}

fn place(prompt: &Prompt, candidates: &[Candidate<usize>]) -> Result<Plan<usize>, PlacementError> {
    match placement::length(&spec(), prompt) {
        Length::Short => {
            let mut rng = StdRng::seed_from_u64(prompt.tokens);
            placement::short(&spec(), prompt, candidates, 0, &mut rng)
        }
        Length::Medium => placement::medium(&spec(), prompt, candidates),
        Length::Long => placement::long(&spec(), prompt, Urgency::Late, candidates),
    }
}

#[derive(Debug, Clone, TypeGenerator)]
struct Fleet {
    engines: Vec<(u8, u8, u16, u8)>,
    tokens: u32,
}

#[test]
fn a_plan_never_overfills_memory_nor_uses_an_engine_twice() {
    briarhall_fuzz::values::<Fleet, _>(|fleet| {
        let engines = fleet.engines.iter().take(24).enumerate();
        let engines = engines.map(|(key, (decoding, backlog, kv, penalty))| {
            let mut load = with_decoding(usize::from(*decoding) % 20, 250);
            load.kv_tokens = u64::from(*kv) * 6;
            load.backlog_ms = f64::from(*backlog);
            load.long_prefills = usize::from(*backlog > 100);
            let mut engine = engine(key, load);
            engine.penalty = f64::from(*penalty) / 64.0;
            engine
        });
        let engines = engines.collect::<Vec<_>>();
        let prompt = prompt(u64::from(fleet.tokens) % 1_000_000);
        let Ok(plan) = place(&prompt, &engines) else {
            return;
        };
        let kv = |key: usize| engines[key].load.kv_tokens;
        let parts = plan.helpers.len() as u64 + 1;
        assert!(parts <= 16, "{parts} parts");
        let mut used = plan.helpers.clone();
        used.push(plan.first);
        used.sort_unstable();
        used.dedup();
        assert_eq!(used.len() as u64, parts, "an engine is used twice");
        let first = if plan.part_tokens == 0 {
            prompt.tokens
        } else {
            assert!(
                plan.part_tokens * parts >= prompt.tokens,
                "the parts do not cover the prompt"
            );
            plan.part_tokens
        };
        assert!(kv(plan.first) + first + prompt.max_output <= spec().kv_tokens);
        for helper in &plan.helpers {
            assert!(kv(*helper) + plan.part_tokens <= spec().kv_tokens);
        }
        assert!(engines[plan.first].load.requests < SLOTS);
    });
}

#[test]
fn the_time_of_a_prompt_follows_the_engine_spec() {
    let ms = |tokens, parts| format!("{:.0}", prefill_ms(&spec(), tokens, parts));
    assert_eq!(ms(5_000, 1), "34");
    assert_eq!(ms(45_000, 1), "456");
    assert_eq!(ms(182_000, 1), "3865");
    assert_eq!(ms(182_000, 16), "242");
    assert_eq!(format!("{:.0}", decode_pass_ms(&spec(), 16, 80_000)), "51");
}

/// Many short prompts at once fill engines one after the other, so that the
/// others stay free for long prompts.
#[test]
fn short_prompts_fill_the_front_of_the_order() {
    let mut engines = idle(ENGINES);
    for _ in 0..40 {
        let plan = place(&prompt(5_000), &engines).expect("there is room");
        let load = &mut engines[plan.first].load;
        load.requests += 1;
        load.kv_tokens += 5_700;
        load.decoding.push(DecodingRequest {
            pause_ms: 250,
            tokens: 5_700,
        });
    }
    let used = engines.iter().filter(|e| e.load.requests > 0).count();
    assert!(used <= 4, "{used} engines for forty requests of 16 each");
}

/// A long prompt that arrives while short ones are answered uses engines from the
/// back of the order, and none whose decoding requests it would make late.
#[test]
fn a_long_prompt_avoids_engines_with_decoding_requests_of_short_ones() {
    let mut engines = idle(ENGINES);
    for engine in &mut engines[..3] {
        engine.load = with_decoding(13, 250);
    }
    let plan = place(&prompt(182_000), &engines).expect("engines are free");
    let all = plan.helpers.iter().chain([&plan.first]);
    assert!(all.clone().all(|key| *key >= 3), "{plan:?}");
    assert!(plan.predicted_ms < 1_500.0, "{plan:?}");
}

/// When the load changes from short to long prompts, a long prompt that can still
/// wait does so while every engine has decoding requests with tight pauses.
#[test]
fn a_long_prompt_with_time_waits_for_decoding_requests_to_end() {
    let busy = (0..ENGINES).map(|key| engine(key, with_decoding(12, 250)));
    let busy = busy.collect::<Vec<_>>();
    let placed = placement::long(&spec(), &prompt(182_000), Urgency::CanWait, &busy);
    assert_eq!(placed, Err(PlacementError::Full));
}

/// Under an overload of long prompts, a second part on an engine that prefills
/// one would overtake it, so the prompt waits.
#[test]
fn no_second_long_part_on_an_engine() {
    let mut engines = idle(ENGINES);
    for engine in &mut engines {
        engine.load.long_prefills = 1;
        engine.load.backlog_ms = 20.0;
    }
    assert_eq!(place(&prompt(182_000), &engines), Err(PlacementError::Full));
}

#[test]
fn a_prompt_larger_than_an_engine_is_held_by_several() {
    let plan = place(&prompt(700_000), &idle(ENGINES)).expect("engines are free");
    assert!(plan.part_tokens > 0);
    let parts = plan.helpers.len() as u64 + 1;
    assert!(plan.part_tokens * parts >= 700_000);
    assert_eq!(
        place(&prompt(700_000), &idle(1)),
        Err(PlacementError::TooLarge)
    );
}

#[test]
fn a_medium_prompt_never_waits_in_the_queue() {
    assert_eq!(placement::length(&spec(), &prompt(45_000)), Length::Medium);
    let mut engines = idle(ENGINES);
    for engine in &mut engines {
        engine.load.long_prefills = 1;
        engine.load.backlog_ms = 300.0;
    }
    place(&prompt(45_000), &engines).expect("it is placed at once");
}

fn queued_prompt(id: u64, slack_ms: f32, overdue_in_ms: f32, prefill_ms: f32) -> QueuedPrompt {
    QueuedPrompt {
        id,
        service: 1,
        priority: 1,
        slack_ms,
        overdue_in_ms,
        prefill_ms,
    }
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
struct WaitingPrompt {
    gateway: u8,
    slack: i16,
    overdue_in: i16,
    prefill: u16,
}

/// All gateways agree on the order, so exactly one prompt is first.
#[test]
fn exactly_one_prompt_is_first_in_the_queue() {
    briarhall_fuzz::histories::<WaitingPrompt, _>(1..20, |waiting| {
        let now = Instant::now();
        let mut prompt_queues = (0..3).map(|_| PromptQueue::default()).collect::<Vec<_>>();
        let mut keys = Vec::new();
        for (id, w) in waiting.iter().enumerate() {
            let gateway = usize::from(w.gateway) % prompt_queues.len();
            let queued_prompt = queued_prompt(
                id as u64,
                w.slack.into(),
                w.overdue_in.into(),
                w.prefill.into(),
            );
            keys.push((gateway, prompt_queues[gateway].join(queued_prompt, now)));
        }
        let lists = prompt_queues
            .iter()
            .map(|prompt_queue| prompt_queue.own(now))
            .collect::<Vec<_>>();
        for (to, prompt_queue) in prompt_queues.iter_mut().enumerate() {
            for (from, queued_prompts) in lists.iter().enumerate().filter(|(from, _)| *from != to) {
                prompt_queue.set_peer_prompts(
                    format!("vm-{from}").into(),
                    queued_prompts.clone(),
                    now,
                );
            }
        }
        let first = keys
            .iter()
            .filter(|(gateway, key)| prompt_queues[*gateway].ahead_of(*key, now) == 0);
        assert_eq!(first.count(), 1);
        let mut positions = keys
            .iter()
            .map(|(gateway, key)| prompt_queues[*gateway].ahead_of(*key, now));
        let mut positions = positions.by_ref().collect::<Vec<_>>();
        positions.sort_unstable();
        assert!(
            positions.iter().copied().eq(0..waiting.len()),
            "{positions:?}"
        );
    });
}

#[test]
fn a_prompt_that_waited_for_most_of_its_time_goes_first() {
    let now = Instant::now();
    let mut prompt_queue = PromptQueue::default();
    let overdue = prompt_queue.join(queued_prompt(1, -5_000.0, 400.0, 20_000.0), now);
    for id in 2..8 {
        prompt_queue.join(queued_prompt(id, 1_000.0, 8_000.0, 1_200.0), now);
    }
    assert_eq!(prompt_queue.ahead_of(overdue, now), 6);
    let later = now + Duration::from_millis(401);
    assert_eq!(prompt_queue.ahead_of(overdue, later), 0);
}

#[test]
fn prompts_of_a_gateway_that_is_down_leave_the_queue() {
    let now = Instant::now();
    let mut prompt_queue = PromptQueue::default();
    let own = prompt_queue.join(queued_prompt(9, 1_000.0, 8_000.0, 2_000.0), now);
    prompt_queue.set_peer_prompts(
        "vm-2".into(),
        vec![queued_prompt(1, 1_000.0, 8_000.0, 1_500.0)],
        now,
    );
    assert_eq!(prompt_queue.ahead_of(own, now), 1);
    prompt_queue.retain_peers(|vm| vm != "vm-2");
    assert_eq!(prompt_queue.ahead_of(own, now), 0);
}

fn prefill_work(replica: u32, prefill_ms: f32, pause_ms: Option<u32>) -> Work {
    Work {
        replica,
        phase: Phase::Prefill,
        prefill_ms,
        kv_tokens: 1_000,
        pause_ms,
        age_ms: 0,
    }
}

#[test]
fn a_list_of_work_replaces_the_previous_one() {
    let now = Instant::now();
    let mut load_tracker = LoadTracker::default();
    load_tracker.set_peer_work(
        "vm-2".into(),
        vec![prefill_work(7, 300.0, Some(250)); 3],
        now,
    );
    assert_eq!(load_tracker.loads(now)[&7].requests, 3);
    load_tracker.set_peer_work("vm-2".into(), vec![prefill_work(7, 300.0, Some(250))], now);
    assert_eq!(load_tracker.loads(now)[&7].requests, 1);
    load_tracker.retain_peers(|_| false);
    assert!(load_tracker.loads(now).is_empty());
}

#[test]
fn prompts_are_prefilled_one_after_the_other() {
    let now = Instant::now();
    let mut load_tracker = LoadTracker::default();
    let first = load_tracker.sent(prefill_work(7, 300.0, Some(1_000)), now);
    load_tracker.sent(prefill_work(7, 200.0, None), now);
    let load = &load_tracker.loads(now)[&7];
    assert_eq!(format!("{:.0}", load.backlog_ms), "500");
    assert_eq!(load.requests, 1, "a part uses no slot");
    assert_eq!(load.long_prefills, 2);
    load_tracker.prefilled(first);
    let later = now + Duration::from_millis(100);
    assert_eq!(
        format!("{:.0}", load_tracker.loads(later)[&7].backlog_ms),
        "100"
    );
}

/// Guards against a request that is sent to a replica which takes none now.
#[test]
fn a_replica_that_only_helps_answers_no_request() {
    briarhall_fuzz::values::<(Vec<bool>, u32), _>(|(only_helps, tokens)| {
        let prompt = prompt(u64::from(*tokens % 400_000));
        let mut candidates = idle(only_helps.len().min(20));
        for (candidate, only_helps) in candidates.iter_mut().zip(only_helps) {
            candidate.only_helps = *only_helps;
        }
        let answers = |key: usize| !candidates[key].only_helps;
        let any = candidates.iter().any(|c| !c.only_helps);
        match place(&prompt, &candidates) {
            Ok(plan) => assert!(answers(plan.first), "{plan:?}"),
            Err(_) if prompt.tokens < 20_000 => assert!(!any, "an idle engine takes it"),
            Err(_) => {}
        }
        match placement::call(&candidates) {
            Ok(key) => assert!(answers(key)),
            Err(_) => assert!(!any),
        }
    });
}
