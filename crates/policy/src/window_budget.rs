//! A budget for sending requests again that many gateways keep without
//! talking.
//!
//! The bound holds for the whole deployment in every span of a fixed length:
//! repeats are at most a part of the requests, and a fixed number. Each gateway
//! keeps to that part of its own requests and to its share of the number, so
//! the sum holds whoever counts.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Part of the allowance that is used, since spans are cut by clocks that
/// differ and gateways that are starting are not yet counted.
const SAFETY: f64 = 0.75;

/// The bound for the whole deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetBound {
    /// Length of the span.
    pub window: Duration,
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside those.
    pub extra: f64,
}

/// One gateway's part of the budget for one service.
#[derive(Debug, Clone)]
pub struct WindowBudget {
    bound: BudgetBound,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl WindowBudget {
    /// Creates a budget that nothing was spent of.
    #[must_use]
    pub fn new(bound: BudgetBound) -> Self {
        Self {
            bound,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Notes a request of a client.
    pub fn arrived(&mut self, now: Instant) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat, if one is left to this gateway among `gateways`.
    pub fn spend(&mut self, gateways: usize, now: Instant) -> bool {
        self.forget(now);
        if self.left(gateways) < 1.0 {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Returns the repeats left.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "counts of seconds of traffic are far below 2^52"
    )]
    pub fn left(&self, gateways: usize) -> f64 {
        let earned = self.bound.ratio * self.requests.len() as f64;
        let share = self.bound.extra / gateways.max(1) as f64;
        (earned + share) * SAFETY - self.repeats.len() as f64
    }

    fn forget(&mut self, now: Instant) {
        let window = self.bound.window;
        for times in [&mut self.requests, &mut self.repeats] {
            while let Some(first) = times.front() {
                if now.saturating_duration_since(*first) < window {
                    break;
                }
                times.pop_front();
            }
        }
    }
}
