//! What callers saw, counted and checked against what really happened.

use std::collections::BTreeMap;
use std::time::Duration;

use briarhall_types::LengthClass;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::Answer;
use crate::caller::TopUp;
use crate::caller::Verdict;
use crate::site::Site;
use crate::site::SiteError;

/// Not-run completions checked against the engines, at the most.
const MAX_CHECKED: usize = 2_000;

/// Longest time told apart, in microseconds.
const LONGEST_MICROS: u64 = 3_600_000_000;

/// A completion that ended.
#[derive(Debug, Clone)]
pub struct CompletionRecord {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Digest of the prompt.
    pub digest: blake3::Hash,
    /// Which customer, by turn.
    pub customer: usize,
    /// What the caller saw.
    pub answer: Answer,
}

/// A top-up that ended; one for each copy.
#[derive(Debug, Clone)]
pub struct TopUpRecord {
    /// The key.
    pub key: String,
    /// What the caller saw.
    pub top_up: TopUp,
}

/// Everything callers saw in one run.
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
    /// How many.
    pub count: u64,
    /// Half are below.
    pub p50: f64,
    /// 95 in 100 are below.
    pub p95: f64,
    /// 99 in 100 are below.
    pub p99: f64,
}

/// The counts of one run. The last four must be zero.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Counts {
    /// Requests sent.
    pub requests: u64,
    /// Whole answers.
    pub answered: u64,
    /// Refusals that say nothing ran.
    pub not_run: u64,
    /// Failures that may have run.
    pub unknown: u64,
    /// Requests without a final answer.
    pub lost: u64,
    /// Keys that had their effect more than once.
    pub doubled: u64,
    /// Answers that were not whole or not their own.
    pub crossed: u64,
    /// Refusals that said nothing ran, and it had.
    pub untrue_refusals: u64,
    /// Examples of what went wrong, for whoever looks into it.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub examples: Vec<String>,
}

impl Counts {
    /// Returns whether nothing was lost, doubled, crossed or untrue.
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

    fn note(&mut self, example: String) {
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

    /// Counts what callers saw and checks it against the site.
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
                counts.note(format!("{key} had {effects} effects"));
            }
        }
        let mut by_key = BTreeMap::<&str, Vec<&Verdict>>::new();
        for record in &self.top_ups {
            let verdicts = by_key.entry(&record.key).or_default();
            verdicts.push(&record.top_up.verdict);
        }
        for (key, verdicts) in by_key {
            let ran = effects.contains_key(key);
            let denied = verdicts.iter().all(|v| matches!(v, Verdict::NotRun(_)));
            if ran && denied {
                counts.untrue_refusals += 1;
                counts.note(format!("{key} ran and was said not to"));
            }
            let answered = verdicts.iter().any(|v| matches!(v, Verdict::Answered));
            if answered && !ran {
                counts.crossed += 1;
                counts.note(format!("{key} was answered and had no effect"));
            }
        }
        Ok(())
    }

    async fn check_not_run(&self, counts: &mut Counts, site: &Site) -> Result<(), SiteError> {
        let not_run = self.completions.iter();
        let not_run = not_run.filter(|r| matches!(r.answer.verdict, Verdict::NotRun(_)));
        for record in not_run.take(MAX_CHECKED) {
            if site.any_engine_took(&record.digest).await? {
                counts.untrue_refusals += 1;
                counts.note(format!(
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
        self.first_token_where(|_| true)
    }

    /// Returns the same for some of the requests.
    #[must_use]
    pub fn first_token_where<F>(&self, wanted: F) -> BTreeMap<&'static str, Percentiles>
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
        let answered = answered.filter(|r| r.answer.verdict == Verdict::Answered);
        percentiles(answered.map(|record| record.answer.longest_gap))
    }

    /// Returns percentiles of the time of a top-up.
    #[must_use]
    pub fn top_up_ms(&self) -> Option<Percentiles> {
        let answered = self.top_ups.iter();
        let answered = answered.filter(|r| r.top_up.verdict == Verdict::Answered);
        percentiles(answered.map(|record| record.top_up.total))
    }
}

fn count_completion(counts: &mut Counts, record: &CompletionRecord) {
    counts.requests += 1;
    match &record.answer.verdict {
        Verdict::Answered => counts.answered += 1,
        Verdict::NotRun(_) => counts.not_run += 1,
        Verdict::Unknown(_) => counts.unknown += 1,
        Verdict::Lost(reason) => {
            counts.lost += 1;
            counts.note(format!(
                "a prompt of {} tokens was lost: {reason}",
                record.tokens
            ));
        }
        Verdict::Crossed => {
            counts.crossed += 1;
            counts.note(format!(
                "a prompt of {} tokens got a wrong answer",
                record.tokens
            ));
        }
    }
}

fn count_top_up(counts: &mut Counts, record: &TopUpRecord) {
    counts.requests += 1;
    match &record.top_up.verdict {
        Verdict::Answered => counts.answered += 1,
        Verdict::NotRun(_) => counts.not_run += 1,
        Verdict::Unknown(_) => counts.unknown += 1,
        Verdict::Lost(reason) => {
            counts.lost += 1;
            counts.note(format!("top-up {} was lost: {reason}", record.key));
        }
        Verdict::Crossed => {
            counts.crossed += 1;
            counts.note(format!("top-up {} got a wrong receipt", record.key));
        }
    }
}

/// Returns percentiles of some times, nothing when there are none.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "times are far below 2^52 microseconds"
)]
pub fn percentiles<I>(times: I) -> Option<Percentiles>
where
    I: Iterator<Item = Duration>,
{
    let mut histogram = Histogram::<u64>::new_with_bounds(1, LONGEST_MICROS, 3).ok()?;
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
