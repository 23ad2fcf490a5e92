//! Load reports, which are served with a lag.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::LoadReport;

#[derive(Debug)]
struct Sample {
    at: Instant,
    report: LoadReport,
}

/// Recent reports, of which the newest that is old enough is served.
#[derive(Debug)]
pub struct LoadHistory {
    lag: Duration,
    samples: VecDeque<Sample>,
}

impl LoadHistory {
    /// Creates an empty history that is served with `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            samples: VecDeque::new(),
        }
    }

    /// Records a sample and drops those that are no longer needed.
    pub fn record(&mut self, report: LoadReport, at: Instant) {
        self.samples.push_back(Sample { at, report });
        while self.samples.len() > 1 && self.samples[1].at + self.lag <= at {
            self.samples.pop_front();
        }
    }

    /// Returns the newest report that is at least the lag old, or the oldest one if
    /// none is.
    #[must_use]
    pub fn lagged(&self, now: Instant) -> Option<&LoadReport> {
        let old_enough = |sample: &&Sample| sample.at + self.lag <= now;
        let newest = self.samples.iter().rev().find(old_enough);
        newest.or(self.samples.front()).map(|sample| &sample.report)
    }
}
