//! What is asked of a fleet, and what its engines are like.

use briarhall_policy::placement;
use briarhall_policy::placement::Length;
use briarhall_policy::placement::Prompt;
use briarhall_policy::rendezvous;
use briarhall_types::EngineSpec;

/// Slots of an engine.
pub const SLOTS: usize = 12;
/// Time at the start that is not measured, in milliseconds: the fleet fills.
pub const FILL_MS: u64 = 2_000;
/// Age of views, in milliseconds, that gateways assume without the delays of links.
pub const ASSUMED_AGE_MS: u64 = 22;

/// Engine of a customer whose views are stale.
pub fn spec() -> EngineSpec {
    EngineSpec {
        slots: 12,
        kv_tokens: 197_200,
        stride: 48,
        step_ms: 1.02,
        per_request_ms: 0.002_26,
        context_per_k_ms: 0.004_31,
        prefill_tokens_per_ms: 206.0,
        pairs_per_m_ms: 0.138,
        chunk: 2_048,
    }
}

/// Prompts of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    pub per_s: f64,
    pub tokens: u64,
    pub objective_ms: f64,
    pub pause_ms: f64,
    /// Events of the answer, one a pass.
    pub events: u64,
}

impl Demand {
    pub fn prompt(&self) -> Prompt {
        Prompt {
            tokens: self.tokens,
            max_output: self.events * 48,
            objective_ms: self.objective_ms,
            pause_ms: self.pause_ms,
            deadline_ms: 15_000.0,
        }
    }

    pub fn length(&self) -> Length {
        placement::length(&spec(), &self.prompt())
    }
}

pub const fn short(per_s: f64, events: u64) -> Demand {
    Demand {
        per_s,
        tokens: 5_000,
        objective_ms: 250.0,
        pause_ms: 250.0,
        events,
    }
}

/// Longer prompts of the first customer.
pub const MEDIUM: Demand = Demand {
    per_s: 7.8,
    tokens: 45_000,
    objective_ms: 1_500.0,
    pause_ms: 600.0,
    events: 11,
};
pub const LONGEST: Demand = Demand {
    per_s: 4.8,
    tokens: 190_000,
    objective_ms: 3_000.0,
    pause_ms: 1_000.0,
    events: 11,
};

/// A fleet and its load.
#[derive(Debug, Clone)]
pub struct Pattern {
    pub engines: usize,
    /// Gateways that place requests.
    pub gateways: u64,
    /// Ages of the youngest and of the oldest view, in milliseconds.
    pub ages_ms: (u64, u64),
    pub demands: Vec<Demand>,
    /// One in so many engines is slow for the second half, by `pace`.
    pub slow_one_in: Option<usize>,
    pub pace: f64,
    /// One in so many engines is evacuated for the second half.
    pub evacuated_one_in: Option<usize>,
}

impl Pattern {
    pub fn pace(&self, engine: usize, now_ms: u64) -> f64 {
        let slow = self.slow_one_in.is_some_and(|n| engine.is_multiple_of(n));
        if slow && now_ms >= FILL_MS {
            self.pace
        } else {
            1.0
        }
    }

    pub fn is_evacuated(&self, engine: usize, now_ms: u64) -> bool {
        let chosen = self.evacuated_one_in;
        now_ms >= FILL_MS && chosen.is_some_and(|n| engine.is_multiple_of(n))
    }

    /// Returns how late a gateway learns of the others' work.
    pub fn age_ms(&self, gateway: u64) -> u64 {
        let (youngest, oldest) = self.ages_ms;
        youngest + rendezvous::weight("age", &gateway) % (oldest - youngest + 1)
    }

    pub fn per_s(&self) -> f64 {
        self.demands.iter().map(|d| d.per_s).sum()
    }

    pub fn placed_in(&self, ms: u64) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small count"
        )]
        let count = (self.per_s() * float(ms) / 1_000.0) as usize;
        count.saturating_sub(1)
    }
}
#[expect(
    clippy::cast_precision_loss,
    reason = "counts and times are far below 2^52"
)]
pub fn float(n: u64) -> f64 {
    n as f64
}
