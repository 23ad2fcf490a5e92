//! Load reports, shown with a lag.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::LoadReport;

#[derive(Debug)]
struct Sample {
    at: Instant,
    report: LoadReport,
}

/// Reports taken lately; shows the newest that is old enough.
#[derive(Debug)]
pub struct LoadHistory {
    lag: Duration,
    samples: VecDeque<Sample>,
}

impl LoadHistory {
    /// Creates an empty history shown with `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            samples: VecDeque::new(),
        }
    }

    /// Takes a sample.
    pub fn record(&mut self, report: LoadReport, at: Instant) {
        self.samples.push_back(Sample { at, report });
        while self.samples.len() > 1 && self.samples[1].at + self.lag <= at {
            self.samples.pop_front();
        }
    }

    /// Returns the newest sample that is at least the lag old.
    #[must_use]
    pub fn shown(&self, now: Instant) -> Option<&LoadReport> {
        let old_enough = |sample: &&Sample| sample.at + self.lag <= now;
        let shown = self.samples.iter().rev().find(old_enough);
        shown.or(self.samples.front()).map(|sample| &sample.report)
    }
}
