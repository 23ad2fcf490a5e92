//! Many gateways spend one budget without talking, against the sum over all of
//! them in every span of its length.

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
    /// A gateway would send some again.
    Repeat { at: u8, times: u8 },
    /// Time passes, in units of 100 ms.
    Advance { steps: u8 },
}

#[test]
fn the_sum_keeps_the_bound_in_every_window() {
    briarhall_fuzz::histories::<Op, _>(1..60, |ops| {
        let mut now = Instant::now();
        let mut budgets = vec![WindowBudget::new(BOUND); GATEWAYS];
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for op in ops {
            match *op {
                Op::Arrive {
                    at,
                    requests: count,
                } => {
                    for _ in 0..count {
                        budgets[usize::from(at) % GATEWAYS].arrived(now);
                        requests.push(now);
                    }
                }
                Op::Repeat { at, times } => {
                    for _ in 0..times {
                        if budgets[usize::from(at) % GATEWAYS].spend(GATEWAYS, now) {
                            repeats.push(now);
                        }
                    }
                }
                Op::Advance { steps } => now += Duration::from_millis(100) * u32::from(steps),
            }
        }
        for end in &repeats {
            let start = end.checked_sub(BOUND.window).unwrap_or(*end);
            let within = |times: &[Instant], from: Instant| {
                let counted = times.iter().filter(|t| **t > from && **t <= *end);
                u32::try_from(counted.count()).expect("few")
            };
            let earned = f64::from(within(&requests, start)) * BOUND.ratio;
            let spent = f64::from(within(&repeats, start));
            assert!(
                spent <= earned + BOUND.extra,
                "{spent} repeats, {earned} earned"
            );
        }
    });
}

#[test]
fn a_quiet_gateway_can_still_repeat() {
    let mut budget = WindowBudget::new(BOUND);
    assert!(budget.spend(GATEWAYS, Instant::now()));
}
