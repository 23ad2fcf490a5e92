//! Mixed load of short prompts, long documents and top-ups with random arrival
//! times. The same seed gives the same load.

use std::time::Duration;

use briarhall_types::BYTES_PER_TOKEN;
use briarhall_types::LengthClass;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Fraction of completions in each class, and its range of prompt lengths in
/// tokens.
const CLASSES: [ClassLoad; 4] = [
    ClassLoad::new(0.70, 1_000, 4_000),
    ClassLoad::new(0.20, 4_000, 30_000),
    ClassLoad::new(0.08, 30_000, 100_000),
    ClassLoad::new(0.02, 100_000, 390_000),
];
/// Approximate cost of generating one token, in tokens of prefill.
const PREFILL_TOKENS_PER_DECODED_TOKEN: f64 = 4.0;

#[derive(Debug, Clone, Copy)]
struct ClassLoad {
    fraction: f64,
    min: u64,
    max: u64,
}

impl ClassLoad {
    const fn new(fraction: f64, min: u64, max: u64) -> Self {
        Self { fraction, min, max }
    }
}

/// Kind of a request, with its sizes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// A completion.
    Completion {
        /// Tokens of the prompt.
        tokens: u64,
        /// Tokens to generate.
        max_tokens: u64,
    },
    /// A top-up, sent to several routers at once under one idempotency key.
    TopUp {
        /// Number of routers that it is sent to.
        copies: usize,
    },
}

/// A request and its arrival time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start of the load.
    pub at: Duration,
    /// Sequence number, unique within a load.
    pub number: u64,
    /// Index of the customer; customers take turns.
    pub customer: usize,
    /// Kind of the request.
    pub kind: RequestKind,
}

/// Parameters of a load.
#[derive(Debug, Clone)]
pub struct LoadSpec {
    /// Seed of the random generator.
    pub seed: u64,
    /// Time over which requests arrive.
    pub duration: Duration,
    /// Prefill capacity of the fleet, in tokens per second of real time.
    pub capacity: f64,
    /// Prefill work of a prompt beyond its length, in tokens per squared token.
    pub quadratic_cost: f64,
    /// Fraction of the capacity to use.
    pub load_fraction: f64,
    /// Top-ups per second.
    pub top_ups_per_second: f64,
    /// Number of prompts of a million tokens.
    pub giants: u64,
    /// Number of customers.
    pub customers: usize,
}

/// Generates the requests of a load, in order of arrival.
#[must_use]
pub fn arrivals(spec: &LoadSpec) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(spec.seed);
    let mut arrivals = Vec::new();
    let rate = spec.load_fraction * spec.capacity / mean_prefill_tokens(spec.quadratic_cost);
    for at in arrival_times(&mut rng, rate, spec.duration) {
        let tokens = prompt_tokens(&mut rng);
        let max_tokens = rng.random_range(16..64);
        arrivals.push((at, RequestKind::Completion { tokens, max_tokens }));
    }
    for at in arrival_times(&mut rng, spec.top_ups_per_second, spec.duration) {
        let copies = if rng.random_bool(0.2) { 2 } else { 1 };
        arrivals.push((at, RequestKind::TopUp { copies }));
    }
    for i in 0..spec.giants {
        let at = spec.duration.mul_f64(0.2) + Duration::from_millis(i * 50);
        let kind = RequestKind::Completion {
            tokens: 1_000_000,
            max_tokens: 32,
        };
        arrivals.push((at, kind));
    }
    arrivals.sort_by_key(|(at, _)| *at);
    let numbered = arrivals.into_iter().zip(0..);
    numbered
        .map(|((at, kind), number)| Arrival {
            at,
            number,
            customer: usize::try_from(number).unwrap_or(0) % spec.customers.max(1),
            kind,
        })
        .collect()
}

/// Returns the load without prompts of the long classes. The other requests keep
/// their arrival times.
#[must_use]
pub fn without_long(arrivals: &[Arrival]) -> Vec<Arrival> {
    let is_long = |arrival: &&Arrival| match arrival.kind {
        RequestKind::Completion { tokens, .. } => LengthClass::of(tokens) >= LengthClass::Long,
        RequestKind::TopUp { .. } => false,
    };
    arrivals.iter().filter(|a| !is_long(a)).cloned().collect()
}

/// Generates a prompt of `tokens` tokens that no other request has.
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

fn arrival_times(rng: &mut StdRng, rate: f64, duration: Duration) -> Vec<Duration> {
    let mut times = Vec::new();
    if rate <= 0.0 {
        return times;
    }
    let mut seconds = 0.0;
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        seconds -= uniform.ln() / rate;
        if seconds >= duration.as_secs_f64() {
            return times;
        }
        times.push(Duration::from_secs_f64(seconds));
    }
}

fn prompt_tokens(rng: &mut StdRng) -> u64 {
    let mut position = rng.random_range(0.0..1.0);
    for class in CLASSES {
        if position < class.fraction {
            return rng.random_range(class.min..class.max);
        }
        position -= class.fraction;
    }
    CLASSES[0].min
}

#[expect(clippy::cast_precision_loss, reason = "lengths are far below 2^52")]
fn mean_prefill_tokens(quadratic_cost: f64) -> f64 {
    let means = CLASSES.iter().map(|class| {
        let (min, max) = (class.min as f64, class.max as f64);
        let mean_square = (max * max + max * min + min * min) / 3.0;
        class.fraction * (f64::midpoint(min, max) + quadratic_cost * mean_square)
    });
    means.sum::<f64>() + 40.0 * PREFILL_TOKENS_PER_DECODED_TOKEN
}
