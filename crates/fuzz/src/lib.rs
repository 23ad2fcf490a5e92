//! Stateful fuzzing with bolero's generators and fixed seeds.
//!
//! bolero's own test engine draws new seeds on each run, so its verdict can
//! change from run to run. Here the histories of seeds 0, 1, 2 … are checked,
//! the same everywhere; `BRIARHALL_FUZZ_SEEDS` asks for more of them. A history
//! that fails is made as short as it can be by leaving out steps.

use std::env;
use std::fmt::Debug;
use std::ops::Range;
use std::panic;
use std::panic::AssertUnwindSafe;

use bolero::TypeGenerator;
use bolero::ValueGenerator;
use bolero::generator::bolero_generator::driver::Options;
use bolero::generator::bolero_generator::driver::Rng;
use bolero::produce;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const SEEDS: u64 = 2_000;
const SEEDS_VARIABLE: &str = "BRIARHALL_FUZZ_SEEDS";

/// Checks histories of steps, each of a length within `len`.
///
/// # Panics
///
/// Panics with the seed and the shortened history when `check` panics.
pub fn histories<T, F>(len: Range<usize>, check: F)
where
    T: TypeGenerator + Clone + Debug + 'static,
    F: Fn(&[T]),
{
    let generator = produce::<Vec<T>>().with().len(len);
    for seed in 0..seeds() {
        let history = generate(&generator, seed);
        if fails(&check, &history) {
            let short = shorten(&check, history);
            eprintln!("seed {seed}, {} steps:", short.len());
            for step in &short {
                eprintln!("    {step:?},");
            }
            check(&short);
            panic!("seed {seed} failed, and its shortened history did not");
        }
    }
}

/// Checks single values.
///
/// # Panics
///
/// Panics with the seed and the value when `check` panics.
pub fn values<T, F>(check: F)
where
    T: TypeGenerator + Debug + 'static,
    F: Fn(&T),
{
    for seed in 0..seeds() {
        let value = generate(&produce::<T>(), seed);
        if panic::catch_unwind(AssertUnwindSafe(|| check(&value))).is_err() {
            eprintln!("seed {seed}: {value:?}");
            check(&value);
        }
    }
}

fn seeds() -> u64 {
    let asked = env::var(SEEDS_VARIABLE).ok();
    asked.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

fn generate<G>(generator: &G, seed: u64) -> G::Output
where
    G: ValueGenerator,
{
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut driver = Rng::new(rng, &Options::default());
    let value = generator.generate(&mut driver);
    value.expect("a generator with a random source gives a value")
}

fn fails<T, F>(check: &F, history: &[T]) -> bool
where
    F: Fn(&[T]),
{
    panic::catch_unwind(AssertUnwindSafe(|| check(history))).is_err()
}

/// Leaves out ever smaller runs of steps as long as the rest fails.
fn shorten<T, F>(check: &F, mut history: Vec<T>) -> Vec<T>
where
    T: Clone,
    F: Fn(&[T]),
{
    let hook = panic::take_hook();
    panic::set_hook(Box::new(|_| {}));
    let mut run = history.len().div_ceil(2);
    while run > 0 {
        let mut at = 0;
        while at < history.len() {
            let end = (at + run).min(history.len());
            let mut rest = history.clone();
            rest.drain(at..end);
            if fails(check, &rest) {
                history = rest;
            } else {
                at = end;
            }
        }
        run /= 2;
    }
    panic::set_hook(hook);
    history
}
