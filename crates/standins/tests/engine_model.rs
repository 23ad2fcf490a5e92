//! The stand-in engine's timing matches the model with which gateways place
//! prompts.

use std::time::Duration;

use bolero::TypeGenerator;
use briarhall_policy::engine;
use briarhall_standins::engine::Limits;
use briarhall_standins::engine::Model;
use briarhall_standins::engine::Progress;
use briarhall_standins::engine::Simulation;
use briarhall_standins::engine::Submission;
use compact_str::CompactString;
use compact_str::format_compact;

const KV_TOKENS: u64 = 405_000;
/// Largest relative error of a predicted time, as the milestone requires.
const MAX_RELATIVE_ERROR: f64 = 0.10;

fn simulation(model: Model) -> Simulation {
    let limits = Limits {
        kv_tokens: KV_TOKENS,
        ..Limits::default()
    };
    Simulation::new(model, limits)
}

fn prompt(id: &str, tokens: u64, max_tokens: u64) -> Submission {
    Submission {
        id: CompactString::from(id),
        priority: 5,
        prompt_tokens: tokens,
        whole_tokens: tokens,
        max_tokens,
        resume_from: 0,
        reservation: None,
        chain: Vec::new(),
    }
}

/// Reserves memory for a part of a prompt, and submits it.
fn submit_part(engine: &mut Simulation, name: &str, tokens: u64, whole: u64) {
    let name = CompactString::from(name);
    engine
        .reserve(name.clone(), tokens, "gateway".into())
        .expect("there is memory");
    let part = Submission {
        whole_tokens: whole,
        reservation: Some(name.clone()),
        max_tokens: 0,
        ..prompt(&name, tokens, 0)
    };
    engine.submit(part).expect("it is reserved");
}

/// Runs passes until `done`, and returns how long that takes.
fn run_until<F>(engine: &mut Simulation, mut done: F) -> Duration
where
    F: FnMut(&Progress) -> bool,
{
    let mut elapsed = Duration::ZERO;
    for _ in 0..100_000 {
        let pass = engine.begin_pass().expect("it has work");
        elapsed += pass;
        if engine.end_pass().iter().any(&mut done) {
            return elapsed;
        }
    }
    panic!("it never ended");
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn assert_close(seen: f64, predicted: f64) {
    let error = (seen / predicted - 1.0).abs();
    assert!(
        error <= MAX_RELATIVE_ERROR,
        "seen {seen} ms, predicted {predicted} ms"
    );
}

/// Defines a test for each length of a prompt that is prefilled by one engine.
macro_rules! prefill_alone {
    ($($name:ident: $tokens:literal),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                let mut engine = simulation(Model::Sheet);
                engine.submit(prompt("p", $tokens, 1)).expect("it fits");
                let seen = run_until(&mut engine, |p| p.prefilled);
                let spec = Model::Sheet.spec();
                // Each pass that only prefills has one step.
                let passes = f64::from($tokens / spec.chunk + 1);
                let steps = passes * engine::step_ms(&spec, 0, 0);
                assert_close(milliseconds(seen), engine::prefill_ms(&spec, $tokens, 1) + steps);
            }
        )+
    };
}

prefill_alone! {
    prefill_alone_5_000: 5_000,
    prefill_alone_45_000: 45_000,
    prefill_alone_182_000: 182_000,
    prefill_alone_400_000: 400_000,
}

/// Defines a test for each number of engines that share a prompt of 182,000
/// tokens.
macro_rules! prefill_together {
    ($($name:ident: $parts:literal),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                let spec = Model::Sheet.spec();
                let (whole, part) = (182_000, 182_000 / $parts);
                let mut engine = simulation(Model::Sheet);
                submit_part(&mut engine, "part", part, whole);
                let seen = run_until(&mut engine, |p| p.done);
                let steps = u32::try_from(part / u64::from(spec.chunk) + 1).map_or(0.0, f64::from);
                let steps = steps * engine::step_ms(&spec, 0, 0);
                let predicted = engine::prefill_ms(&spec, whole, $parts);
                assert_close(milliseconds(seen), predicted + steps);
            }
        )+
    };
}

prefill_together! {
    two_engines_prefill_together: 2,
    four_engines_prefill_together: 4,
    sixteen_engines_prefill_together: 16,
}

/// Returns an engine where `count` requests with prompts of 5,000 tokens decode.
fn with_decoding(count: usize) -> Simulation {
    let mut engine = simulation(Model::Sheet);
    for n in 0..count {
        let id = format_compact!("decoding-{n}");
        engine.submit(prompt(&id, 5_000, 5_000)).expect("it fits");
    }
    let mut begun = 0;
    run_until(&mut engine, |progress| {
        begun += usize::from(progress.prefilled);
        begun == count
    });
    engine
}

#[test]
fn decoding_requests_wait_for_a_pass() {
    let mut engine = with_decoding(16);
    let pass = engine.begin_pass().expect("it decodes");
    let predicted = engine::decode_pass_ms(&Model::Sheet.spec(), 16, 16 * 5_000);
    assert_close(milliseconds(pass), predicted);
    for progress in engine.end_pass() {
        assert!(
            progress.produced > 34,
            "a pass generates a token in each step"
        );
    }
}

#[test]
fn prefill_lengthens_the_pass_of_decoding_requests() {
    let spec = Model::Sheet.spec();
    let mut engine = with_decoding(8);
    engine.submit(prompt("long", 45_000, 1)).expect("it fits");
    let pass = engine.begin_pass().expect("it decodes");
    let decode = engine::decode_pass_ms(&spec, 8, 8 * 5_000);
    // All of the prefill is within the chunks of one pass.
    let prefill = engine::prefill_ms(&spec, 45_000, 1);
    assert_close(milliseconds(pass), decode + prefill);
}

#[test]
fn a_part_for_another_engine_is_prefilled_before_own_prompts() {
    let mut engine = simulation(Model::Sheet);
    engine.submit(prompt("own", 100_000, 1)).expect("it fits");
    let first = engine.begin_pass();
    assert!(first.is_some() && engine.end_pass().is_empty());
    submit_part(&mut engine, "part", 20_000, 40_000);
    let mut order = Vec::new();
    run_until(&mut engine, |progress| {
        order.push(progress.id.clone());
        order.len() == 2
    });
    assert_eq!(order, ["part", "own"]);
}

#[test]
fn no_more_requests_run_than_it_has_slots() {
    let mut engine = simulation(Model::Sheet);
    for n in 0..40 {
        let id = format_compact!("p-{n}");
        engine.submit(prompt(&id, 1_000, 500)).expect("it waits");
    }
    let slots = Model::Sheet.spec().slots as usize;
    while engine.begin_pass().is_some() {
        assert!(engine.running().count() <= slots);
        engine.end_pass();
    }
    assert_eq!(engine.counts().finished, 40);
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    Submit { tokens: u32, answer: u8 },
    Part { tokens: u16, parts: u8 },
    Cancel { which: u8 },
    Release { which: u8 },
    Pass,
}

/// Checks that the memory in use is what running requests and reservations hold,
/// never exceeds the capacity, and is all freed at the end.
fn check_memory(model: Model, ops: &[Op]) {
    let mut engine = simulation(model);
    let mut ids = Vec::new();
    let mut names = Vec::new();
    for (n, op) in ops.iter().enumerate() {
        match *op {
            Op::Submit { tokens, answer } => {
                let id = format_compact!("p-{n}");
                let tokens = u64::from(tokens) % KV_TOKENS;
                let submitted = engine.submit(prompt(&id, tokens, u64::from(answer)));
                if submitted.is_ok() {
                    ids.push(id);
                }
            }
            Op::Part { tokens, parts } => {
                let name = format_compact!("part-{n}");
                let tokens = u64::from(tokens) + 1;
                if engine.reserve(name.clone(), tokens, "g".into()).is_ok() {
                    let whole = tokens * (u64::from(parts) % 16 + 1);
                    let part = Submission {
                        whole_tokens: whole,
                        reservation: Some(name.clone()),
                        ..prompt(&name, tokens, 0)
                    };
                    engine.submit(part).expect("it is reserved");
                    names.push(name);
                }
            }
            Op::Cancel { which } if !ids.is_empty() => {
                engine.cancel(&ids[usize::from(which) % ids.len()]);
            }
            Op::Release { which } if !names.is_empty() => {
                engine.release(&names[usize::from(which) % names.len()]);
            }
            Op::Cancel { .. } | Op::Release { .. } => {}
            Op::Pass => {
                if engine.begin_pass().is_some() {
                    engine.end_pass();
                }
            }
        }
        let held = engine.running().map(|(_, tokens)| tokens).sum::<u64>();
        let reserved = engine.reservations().values().map(|r| r.tokens);
        let load = engine.load();
        assert_eq!(load.kv_used, held + reserved.sum::<u64>());
        assert!(load.kv_used <= KV_TOKENS);
    }
    for name in &names {
        engine.release(name);
    }
    let mut passes = 0;
    while engine.begin_pass().is_some() {
        engine.end_pass();
        passes += 1;
        assert!(passes < 1_000_000, "it never comes to an end");
    }
    assert_eq!(engine.load().kv_used, 0);
    assert_eq!(engine.load().requests, 0);
}

#[test]
fn memory_of_the_sheets_engine_comes_back() {
    briarhall_fuzz::histories::<Op, _>(1..40, |ops| check_memory(Model::Sheet, ops));
}

#[test]
fn memory_of_the_plain_engine_comes_back() {
    briarhall_fuzz::histories::<Op, _>(1..40, |ops| check_memory(Model::Plain, ops));
}
