//! A retry budget that many gateways share without coordination.
//!
//! The bound holds for the whole deployment in every window of a fixed length:
//! retries are at most a fraction of the requests plus a fixed number. Each
//! gateway stays within half of that fraction of its own requests and half of its
//! share of the fixed number, so the sum over all gateways stays within the bound.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Fraction of the bound that is used. In one window of the deployment some gateways
/// may retry for requests of that window and others for those of the window before,
/// and a process that restarts does not know what the one before it has sent.
const SAFETY_FACTOR: f64 = 0.5;

/// The bound for the whole deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetBound {
    /// Length of the window.
    pub window: Duration,
    /// Retries per request.
    pub ratio: f64,
    /// Retries in addition to those.
    pub extra: f64,
}

/// One gateway's share of the budget for one service.
#[derive(Debug, Clone)]
pub struct WindowBudget {
    bound: BudgetBound,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl WindowBudget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(bound: BudgetBound) -> Self {
        Self {
            bound,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a client's request.
    pub fn record_request(&mut self, now: Instant) {
        self.remove_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one retry and returns true, or returns false if this gateway, one of
    /// `gateways`, has none left.
    pub fn spend(&mut self, gateways: usize, now: Instant) -> bool {
        self.remove_expired(now);
        if self.left(gateways) < 1.0 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the retries left to this gateway, one of `gateways`.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "counts of seconds of traffic are far below 2^52"
    )]
    pub fn left(&self, gateways: usize) -> f64 {
        let earned = self.bound.ratio * self.requests.len() as f64;
        let share = self.bound.extra / gateways.max(1) as f64;
        (earned + share) * SAFETY_FACTOR - self.retries.len() as f64
    }

    fn remove_expired(&mut self, now: Instant) {
        let window = self.bound.window;
        for times in [&mut self.requests, &mut self.retries] {
            while let Some(first) = times.front() {
                if now.saturating_duration_since(*first) < window {
                    break;
                }
                times.pop_front();
            }
        }
    }
}
