//! Stateful fuzzing with bolero's generators and fixed seeds.
//!
//! bolero's own test engine draws new seeds on each run, so its result can change
//! from run to run. This crate checks the histories of seeds 0, 1, 2 … instead,
//! which are the same on every machine. `BRIARHALL_FUZZ_SEEDS` sets the number of
//! seeds. A failing history is shortened by removing steps.

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

const DEFAULT_SEEDS: u64 = 2_000;
const SEEDS_VARIABLE: &str = "BRIARHALL_FUZZ_SEEDS";

/// Checks one history of steps for each seed, of a length within `len`.
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
            let shortened = shorten(&check, history);
            eprintln!("seed {seed}, {} steps:", shortened.len());
            for step in &shortened {
                eprintln!("    {step:?},");
            }
            check(&shortened);
            panic!("seed {seed} failed, but its shortened history passed");
        }
    }
}

/// Checks one value for each seed.
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
    let setting = env::var(SEEDS_VARIABLE).ok();
    setting
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEEDS)
}

fn generate<G>(generator: &G, seed: u64) -> G::Output
where
    G: ValueGenerator,
{
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut driver = Rng::new(rng, &Options::default());
    let value = generator.generate(&mut driver);
    value.expect("a generator with a random source returns a value")
}

fn fails<T, F>(check: &F, history: &[T]) -> bool
where
    F: Fn(&[T]),
{
    panic::catch_unwind(AssertUnwindSafe(|| check(history))).is_err()
}

/// Removes ranges of steps, halving their length, as long as the remaining history
/// still fails.
fn shorten<T, F>(check: &F, mut history: Vec<T>) -> Vec<T>
where
    T: Clone,
    F: Fn(&[T]),
{
    let hook = panic::take_hook();
    panic::set_hook(Box::new(|_| {}));
    let mut range_len = history.len().div_ceil(2);
    while range_len > 0 {
        let mut start = 0;
        while start < history.len() {
            let end = (start + range_len).min(history.len());
            let mut remaining = history.clone();
            remaining.drain(start..end);
            if fails(check, &remaining) {
                history = remaining;
            } else {
                start = end;
            }
        }
        range_len /= 2;
    }
    panic::set_hook(hook);
    history
}
