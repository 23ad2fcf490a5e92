//! Counts the answers that callers got and checks them against the records of
//! the stand-ins.

use std::collections::BTreeMap;
use std::time::Duration;

use briarhall_types::LengthClass;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::Answer;
use crate::caller::CallOutcome;
use crate::caller::TopUpAnswer;
use crate::site::Site;
use crate::site::SiteError;

/// Upper bound on the refused completions that are checked against the engines.
const MAX_CHECKED_REFUSALS: usize = 2_000;

/// Upper bound of the latency histogram, in microseconds: one hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// A completion that ended.
#[derive(Debug, Clone)]
pub struct CompletionRecord {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Digest of the prompt.
    pub digest: blake3::Hash,
    /// Index of the customer; customers take turns.
    pub customer: usize,
    /// The answer as the caller saw it.
    pub answer: Answer,
}

/// A copy of a top-up that ended.
#[derive(Debug, Clone)]
pub struct TopUpRecord {
    /// Its idempotency key.
    pub key: String,
    /// The answer as the caller saw it.
    pub top_up: TopUpAnswer,
}

/// All answers of one run.
#[derive(Debug, Clone, Default)]
pub struct Records {
    /// Completions.
    pub completions: Vec<CompletionRecord>,
    /// Top-ups.
    pub top_ups: Vec<TopUpRecord>,
}

/// Percentiles of one class, in milliseconds of real time.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// The counts of one run. `lost`, `doubled`, `crossed` and `untrue_refusals` must
/// be zero.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Counts {
    /// Requests sent.
    pub requests: u64,
    /// Requests with a complete, correct answer.
    pub answered: u64,
    /// Refusals stating that the request did not run.
    pub not_run: u64,
    /// Failures of requests that may have run.
    pub unknown: u64,
    /// Requests without a final answer.
    pub lost: u64,
    /// Idempotency keys whose effect took place more than once.
    pub doubled: u64,
    /// Answers that were incomplete or belonged to another request.
    pub crossed: u64,
    /// Refusals stating that the request did not run although it had.
    pub untrue_refusals: u64,
    /// The first few failures in words.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub examples: Vec<String>,
}

impl Counts {
    /// Returns whether the four counts that must be zero are zero.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.lost + self.doubled + self.crossed + self.untrue_refusals == 0
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.crossed += other.crossed;
        self.untrue_refusals += other.untrue_refusals;
        self.examples.extend(other.examples);
    }

    fn add_example(&mut self, example: String) {
        const MAX_EXAMPLES: usize = 5;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(example);
        }
    }
}

impl Records {
    /// Adds the records of another run.
    pub fn add(&mut self, other: Self) {
        self.completions.extend(other.completions);
        self.top_ups.extend(other.top_ups);
    }

    /// Counts the answers and checks them against the stand-ins of the site.
    ///
    /// # Errors
    ///
    /// Returns an error when a stand-in does not answer.
    pub async fn counts(&self, site: &Site) -> Result<Counts, SiteError> {
        let mut counts = Counts::default();
        for record in &self.completions {
            count_completion(&mut counts, record);
        }
        for record in &self.top_ups {
            count_top_up(&mut counts, record);
        }
        self.check_effects(&mut counts, site).await?;
        self.check_not_run(&mut counts, site).await?;
        Ok(counts)
    }

    async fn check_effects(&self, counts: &mut Counts, site: &Site) -> Result<(), SiteError> {
        let effects = site.effects().await?;
        for (key, effects) in &effects {
            if *effects > 1 {
                counts.doubled += 1;
                counts.add_example(format!("{key} had {effects} effects"));
            }
        }
        let mut by_key = BTreeMap::<&str, Vec<&CallOutcome>>::new();
        for record in &self.top_ups {
            let outcomes = by_key.entry(&record.key).or_default();
            outcomes.push(&record.top_up.outcome);
        }
        for (key, outcomes) in by_key {
            let ran = effects.contains_key(key);
            let all_refused = outcomes.iter().all(|o| matches!(o, CallOutcome::NotRun(_)));
            if ran && all_refused {
                counts.untrue_refusals += 1;
                counts.add_example(format!("{key} ran and was said not to"));
            }
            let answered = outcomes.iter().any(|o| matches!(o, CallOutcome::Answered));
            if answered && !ran {
                counts.crossed += 1;
                counts.add_example(format!("{key} was answered and had no effect"));
            }
        }
        Ok(())
    }

    async fn check_not_run(&self, counts: &mut Counts, site: &Site) -> Result<(), SiteError> {
        let not_run = self.completions.iter();
        let not_run = not_run.filter(|r| matches!(r.answer.outcome, CallOutcome::NotRun(_)));
        for record in not_run.take(MAX_CHECKED_REFUSALS) {
            if site.any_engine_accepted(&record.digest).await? {
                counts.untrue_refusals += 1;
                counts.add_example(format!(
                    "a prompt of {} tokens ran and was said not to",
                    record.tokens
                ));
            }
        }
        Ok(())
    }

    /// Returns percentiles of the time to first token, by class.
    #[must_use]
    pub fn first_token_ms(&self) -> BTreeMap<&'static str, Percentiles> {
        self.first_token_ms_where(|_| true)
    }

    /// Returns percentiles of the time to first token, by class, of the requests
    /// for which `wanted` returns true.
    #[must_use]
    pub fn first_token_ms_where<F>(&self, wanted: F) -> BTreeMap<&'static str, Percentiles>
    where
        F: Fn(&CompletionRecord) -> bool,
    {
        let mut by_class = BTreeMap::new();
        for class in LengthClass::ALL {
            let of_class = |r: &&CompletionRecord| LengthClass::of(r.tokens) == class && wanted(r);
            let times = self.completions.iter().filter(of_class);
            let times = times.filter_map(|record| record.answer.first_token);
            if let Some(percentiles) = percentiles(times) {
                by_class.insert(class.as_str(), percentiles);
            }
        }
        by_class
    }

    /// Returns percentiles of the longest time between two tokens of an answer.
    #[must_use]
    pub fn longest_gap_ms(&self) -> Option<Percentiles> {
        let answered = self.completions.iter();
        let answered = answered.filter(|r| r.answer.outcome == CallOutcome::Answered);
        percentiles(answered.map(|record| record.answer.longest_gap))
    }

    /// Returns percentiles of the time until a top-up is answered.
    #[must_use]
    pub fn top_up_ms(&self) -> Option<Percentiles> {
        let answered = self.top_ups.iter();
        let answered = answered.filter(|r| r.top_up.outcome == CallOutcome::Answered);
        percentiles(answered.map(|record| record.top_up.total))
    }
}

fn count_completion(counts: &mut Counts, record: &CompletionRecord) {
    counts.requests += 1;
    match &record.answer.outcome {
        CallOutcome::Answered => counts.answered += 1,
        CallOutcome::NotRun(_) => counts.not_run += 1,
        CallOutcome::Unknown(_) => counts.unknown += 1,
        CallOutcome::Lost(reason) => {
            counts.lost += 1;
            counts.add_example(format!(
                "a prompt of {} tokens was lost: {reason}",
                record.tokens
            ));
        }
        CallOutcome::WrongAnswer => {
            counts.crossed += 1;
            counts.add_example(format!(
                "a prompt of {} tokens got a wrong answer",
                record.tokens
            ));
        }
    }
}

fn count_top_up(counts: &mut Counts, record: &TopUpRecord) {
    counts.requests += 1;
    match &record.top_up.outcome {
        CallOutcome::Answered => counts.answered += 1,
        CallOutcome::NotRun(_) => counts.not_run += 1,
        CallOutcome::Unknown(_) => counts.unknown += 1,
        CallOutcome::Lost(reason) => {
            counts.lost += 1;
            counts.add_example(format!("top-up {} was lost: {reason}", record.key));
        }
        CallOutcome::WrongAnswer => {
            counts.crossed += 1;
            counts.add_example(format!("top-up {} got a wrong receipt", record.key));
        }
    }
}

/// Returns percentiles of durations, or `None` if there are none.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "times are far below 2^52 microseconds"
)]
pub fn percentiles<I>(times: I) -> Option<Percentiles>
where
    I: Iterator<Item = Duration>,
{
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).ok()?;
    for time in times {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(micros);
    }
    if histogram.is_empty() {
        return None;
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Some(Percentiles {
        count: histogram.len(),
        p50: at(0.50),
        p95: at(0.95),
        p99: at(0.99),
    })
}
