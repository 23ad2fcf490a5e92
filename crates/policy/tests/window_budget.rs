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
/// Just less than a window.
const ALMOST_A_WINDOW: Duration = Duration::from_millis(9_900);

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// Requests arrive at a gateway.
    Arrive { at: u8, requests: u8 },
    /// Many requests arrive at a gateway.
    ArriveMany { at: u8, tens: u8 },
    /// A gateway asks for some retries.
    Retry { at: u8, times: u8 },
    /// All gateways ask for as many retries as they have left.
    RetryAll,
    /// A new process takes a gateway's place, once in a window at most.
    Restart { at: u8 },
    /// Time passes, in units of 100 ms.
    Advance { steps: u8 },
    /// [`ALMOST_A_WINDOW`] passes.
    AdvanceWindow,
}

struct Gateway {
    budget: WindowBudget,
    started: Instant,
}

impl Gateway {
    fn start(now: Instant) -> Self {
        Self {
            budget: WindowBudget::new(BOUND),
            started: now,
        }
    }
}

/// All gateways, and when their requests arrived and their retries were sent.
struct Site {
    now: Instant,
    gateways: Vec<Gateway>,
    requests: Vec<Instant>,
    retries: Vec<Instant>,
}

impl Site {
    fn new() -> Self {
        let now = Instant::now() + Duration::from_hours(1);
        let a_window_ago = before(now, BOUND.window);
        Self {
            now,
            gateways: (0..GATEWAYS)
                .map(|_| Gateway::start(a_window_ago))
                .collect(),
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Arrive { at, requests } => self.arrive(usize::from(at), u32::from(requests)),
            Op::ArriveMany { at, tens } => self.arrive(usize::from(at), u32::from(tens) * 10),
            Op::Retry { at, times } => self.retry(usize::from(at), u32::from(times)),
            Op::RetryAll => {
                for at in 0..GATEWAYS {
                    self.retry(at, u32::MAX);
                }
            }
            Op::Restart { at } => self.restart(usize::from(at)),
            Op::Advance { steps } => self.now += Duration::from_millis(100) * u32::from(steps),
            Op::AdvanceWindow => self.now += ALMOST_A_WINDOW,
        }
    }

    fn arrive(&mut self, at: usize, requests: u32) {
        for _ in 0..requests {
            let gateway = &mut self.gateways[at % GATEWAYS];
            gateway.budget.record_request(self.now);
            self.requests.push(self.now);
        }
    }

    /// Retries so many times, or until the gateway has none left.
    fn retry(&mut self, at: usize, times: u32) {
        let gateway = &mut self.gateways[at % GATEWAYS];
        for _ in 0..times {
            if !gateway.budget.spend(GATEWAYS, self.now) {
                return;
            }
            self.retries.push(self.now);
        }
    }

    fn restart(&mut self, at: usize) {
        let gateway = &mut self.gateways[at % GATEWAYS];
        if self.now.saturating_duration_since(gateway.started) >= BOUND.window {
            *gateway = Gateway::start(self.now);
        }
    }

    /// Checks the windows that end with a retry, or when requests cease to count:
    /// between these, no window has more retries or fewer requests.
    fn check(&self) {
        let mut arrivals = self.requests.clone();
        arrivals.dedup();
        let windows = [BOUND.window, BOUND.window * 3 / 2, BOUND.window * 2];
        let ceased = arrivals
            .iter()
            .flat_map(|at| windows.map(|time| *at + time));
        let mut ends = self.retries.clone();
        ends.dedup();
        ends.extend(ceased);
        for end in &ends {
            // Requests count in the window, in the one before it and in the one half
            // a window before it, whichever has most.
            let earlier = [Duration::ZERO, BOUND.window / 2, BOUND.window];
            let earned = earlier.map(|earlier| within(&self.requests, before(*end, earlier)));
            let earned = f64::from(earned.into_iter().max().expect("three windows"));
            let earned = earned * BOUND.ratio;
            let spent = f64::from(within(&self.retries, *end));
            assert!(
                spent <= earned + BOUND.extra,
                "{spent} retries, {earned} earned"
            );
        }
    }
}

fn before(at: Instant, by: Duration) -> Instant {
    at.checked_sub(by).expect("histories begin after an hour")
}

/// Counts the times, of which none is before an earlier one, in the window that ends
/// at `end`.
fn within(times: &[Instant], end: Instant) -> u32 {
    let start = before(end, BOUND.window);
    let until = |at: Instant| times.partition_point(|time| *time <= at);
    u32::try_from(until(end) - until(start)).expect("few")
}

#[test]
fn the_sum_stays_within_the_bound_in_every_window() {
    briarhall_fuzz::histories::<Op, _>(1..60, |ops| {
        let mut site = Site::new();
        for op in ops {
            site.step(*op);
        }
        site.check();
    });
}

/// Guards against too many retries when the clients move from some gateways to the
/// others: both groups retry in one window, each for requests of a window of its own.
#[test]
fn clients_that_move_to_other_gateways_do_not_double_the_retries() {
    let mut site = Site::new();
    let (first, second) = (0..GATEWAYS / 2, GATEWAYS / 2..GATEWAYS);
    for gateways in [first, second] {
        for at in gateways.clone() {
            site.arrive(at, 300);
        }
        site.step(Op::AdvanceWindow);
        for at in gateways {
            site.retry(at, u32::MAX);
        }
    }
    site.check();
}

/// Guards against too many retries when all gateways are killed: the new processes do
/// not know what those before them have sent.
#[test]
fn gateways_that_restart_do_not_double_the_retries() {
    let mut site = Site::new();
    let all_retry = |site: &mut Site| {
        for at in 0..GATEWAYS {
            site.arrive(at, 20);
            site.retry(at, u32::MAX);
        }
    };
    all_retry(&mut site);
    for at in 0..GATEWAYS {
        site.restart(at);
    }
    all_retry(&mut site);
    site.check();
}

#[test]
fn a_gateway_without_requests_can_still_retry() {
    let mut budget = WindowBudget::new(BOUND);
    assert!(budget.spend(GATEWAYS, Instant::now()));
}
