//! Mixed load: quick questions, long documents and top-ups, arriving at random
//! and alike for the same seed.

use std::time::Duration;

use briarhall_types::BYTES_PER_TOKEN;
use briarhall_types::LengthClass;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Part of requests in each class, and its range of prompt lengths in tokens.
const CLASSES: [ClassLoad; 4] = [
    ClassLoad::new(0.70, 1_000, 4_000),
    ClassLoad::new(0.20, 4_000, 30_000),
    ClassLoad::new(0.08, 30_000, 100_000),
    ClassLoad::new(0.02, 100_000, 390_000),
];
/// Tokens of prefill that generating one token costs an engine, about.
const DECODE_TOKEN_COST: f64 = 4.0;

#[derive(Debug, Clone, Copy)]
struct ClassLoad {
    part: f64,
    min: u64,
    max: u64,
}

impl ClassLoad {
    const fn new(part: f64, min: u64, max: u64) -> Self {
        Self { part, min, max }
    }
}

/// What arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Item {
    /// A completion.
    Completion {
        /// Tokens of the prompt.
        tokens: u64,
        /// Tokens to generate.
        max_tokens: u64,
    },
    /// A top-up, sent to this many routers at once under one key.
    TopUp {
        /// How many routers get it.
        copies: usize,
    },
}

/// Something that arrives at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Since the start.
    pub at: Duration,
    /// Number, unique within a load.
    pub number: u64,
    /// Which customer, by turn.
    pub customer: usize,
    /// What arrives.
    pub item: Item,
}

/// How much of what.
#[derive(Debug, Clone)]
pub struct LoadSpec {
    /// Same seed, same load.
    pub seed: u64,
    /// How long.
    pub duration: Duration,
    /// Prefill capacity of the fleet, in tokens a second of real time.
    pub capacity: f64,
    /// Tokens that a prompt costs beyond its length, for each token squared.
    pub squared: f64,
    /// Part of the capacity to use.
    pub part: f64,
    /// Top-ups a second.
    pub top_ups_per_second: f64,
    /// Prompts of a million tokens.
    pub giants: u64,
    /// Customers.
    pub customers: usize,
}

/// Makes a load.
#[must_use]
pub fn arrivals(spec: &LoadSpec) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(spec.seed);
    let mut arrivals = Vec::new();
    let rate = spec.part * spec.capacity / mean_work(spec.squared);
    for at in times(&mut rng, rate, spec.duration) {
        let tokens = prompt_tokens(&mut rng);
        let max_tokens = rng.random_range(16..64);
        arrivals.push((at, Item::Completion { tokens, max_tokens }));
    }
    for at in times(&mut rng, spec.top_ups_per_second, spec.duration) {
        let copies = if rng.random_bool(0.2) { 2 } else { 1 };
        arrivals.push((at, Item::TopUp { copies }));
    }
    for i in 0..spec.giants {
        let at = spec.duration.mul_f64(0.2) + Duration::from_millis(i * 50);
        let item = Item::Completion {
            tokens: 1_000_000,
            max_tokens: 32,
        };
        arrivals.push((at, item));
    }
    arrivals.sort_by_key(|(at, _)| *at);
    let numbered = arrivals.into_iter().zip(0..);
    numbered
        .map(|((at, item), number)| Arrival {
            at,
            number,
            customer: usize::try_from(number).unwrap_or(0) % spec.customers.max(1),
            item,
        })
        .collect()
}

/// Leaves out prompts of the long classes; the rest arrives as before.
#[must_use]
pub fn without_long(arrivals: &[Arrival]) -> Vec<Arrival> {
    let is_long = |arrival: &&Arrival| match arrival.item {
        Item::Completion { tokens, .. } => LengthClass::of(tokens) >= LengthClass::Long,
        Item::TopUp { .. } => false,
    };
    arrivals.iter().filter(|a| !is_long(a)).cloned().collect()
}

/// Makes a prompt of `tokens` tokens that no other request has.
#[must_use]
pub fn prompt(run: &str, number: u64, tokens: u64) -> String {
    let bytes = usize::try_from(tokens * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
    let head = format!("request {number} of {run}: ");
    let filler = blake3::hash(head.as_bytes()).to_hex();
    let mut prompt = head;
    while prompt.len() < bytes {
        prompt.push_str(&filler);
    }
    prompt.truncate(bytes);
    prompt
}

fn times(rng: &mut StdRng, rate: f64, duration: Duration) -> Vec<Duration> {
    let mut times = Vec::new();
    if rate <= 0.0 {
        return times;
    }
    let mut at = 0.0;
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at -= uniform.ln() / rate;
        if at >= duration.as_secs_f64() {
            return times;
        }
        times.push(Duration::from_secs_f64(at));
    }
}

fn prompt_tokens(rng: &mut StdRng) -> u64 {
    let mut at = rng.random_range(0.0..1.0);
    for class in CLASSES {
        if at < class.part {
            return rng.random_range(class.min..class.max);
        }
        at -= class.part;
    }
    CLASSES[0].min
}

#[expect(clippy::cast_precision_loss, reason = "lengths are far below 2^52")]
fn mean_work(squared: f64) -> f64 {
    let means = CLASSES.iter().map(|class| {
        let (min, max) = (class.min as f64, class.max as f64);
        let mean_square = (max * max + max * min + min * min) / 3.0;
        class.part * (f64::midpoint(min, max) + squared * mean_square)
    });
    means.sum::<f64>() + 40.0 * DECODE_TOKEN_COST
}
