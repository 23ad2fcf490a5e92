//! Many gateways share one retry budget without coordination; the sum over all of
//! them stays within the bound in every window of its length.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::window_budget::BudgetBound;
use briarhall_policy::window_budget::WindowBudget;

const GATEWAYS: usize = 7;
const BOUND: BudgetBound = BudgetBound {
    window: Duration::from_secs(10),
    ratio: 0.2,
    extra: 102.0,
};

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// Requests arrive at a gateway.
    Arrive { at: u8, requests: u8 },
    /// A gateway asks for some retries.
    Retry { at: u8, times: u8 },
    /// Time passes, in units of 100 ms.
    Advance { steps: u8 },
}

#[test]
fn the_sum_stays_within_the_bound_in_every_window() {
    briarhall_fuzz::histories::<Op, _>(1..60, |ops| {
        let mut now = Instant::now();
        let mut budgets = vec![WindowBudget::new(BOUND); GATEWAYS];
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for op in ops {
            match *op {
                Op::Arrive {
                    at,
                    requests: count,
                } => {
                    for _ in 0..count {
                        budgets[usize::from(at) % GATEWAYS].record_request(now);
                        requests.push(now);
                    }
                }
                Op::Retry { at, times } => {
                    for _ in 0..times {
                        if budgets[usize::from(at) % GATEWAYS].spend(GATEWAYS, now) {
                            retries.push(now);
                        }
                    }
                }
                Op::Advance { steps } => now += Duration::from_millis(100) * u32::from(steps),
            }
        }
        for end in &retries {
            let start = end.checked_sub(BOUND.window).unwrap_or(*end);
            let within = |times: &[Instant], from: Instant| {
                let counted = times.iter().filter(|t| **t > from && **t <= *end);
                u32::try_from(counted.count()).expect("few")
            };
            let earned = f64::from(within(&requests, start)) * BOUND.ratio;
            let spent = f64::from(within(&retries, start));
            assert!(
                spent <= earned + BOUND.extra,
                "{spent} retries, {earned} earned"
            );
        }
    });
}

#[test]
fn a_gateway_without_requests_can_still_retry() {
    let mut budget = WindowBudget::new(BOUND);
    assert!(budget.spend(GATEWAYS, Instant::now()));
}
