//! Limits across routers: grants arrive late, get lost or arrive out of order, and
//! two allocators grant shares at the same time. Checks that the shares in use
//! never add up to more than the contract's limit.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::limits::Share;
use briarhall_policy::share_allocator::CallKey;
use briarhall_policy::share_allocator::Demand;
use briarhall_policy::share_allocator::Grant;
use briarhall_policy::share_allocator::GrantState;
use briarhall_policy::share_allocator::ShareAllocator;
use briarhall_policy::share_allocator::floor_share;
use briarhall_types::CallLimits;
use briarhall_types::RouterName;
use compact_str::CompactString;
use compact_str::format_compact;

const ROUTERS: usize = 4;
const ALLOCATORS: usize = 2;
/// Tolerance for rounding in the sum of the rates, as a fraction of the limit.
const ROUNDING_TOLERANCE: f64 = 1e-9;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A router reports its demand; the grant is in transit.
    Report { router: u8, allocator: u8 },
    /// The oldest grant in transit to a router arrives.
    DeliverOldest { router: u8 },
    /// The newest grant in transit to a router arrives before the others.
    DeliverNewest { router: u8 },
    /// The newest grant in transit to a router is lost.
    Lose { router: u8 },
    /// The arrivals at a router change.
    Traffic { router: u8, arrivals: u8 },
    /// Every router reports to one allocator and receives its grant.
    ReportAll { allocator: u8 },
    /// Time advances, in units of 25 ms.
    Advance { steps: u8 },
}

struct Router {
    name: RouterName,
    grant_state: GrantState,
    arrivals: f64,
    /// Grants in transit, with the time of the report and the allocator.
    grants: Vec<(Instant, usize, Grant)>,
}

struct World {
    now: Instant,
    limits: CallLimits,
    routers: Vec<Router>,
    allocators: Vec<ShareAllocator>,
}

fn key() -> CallKey {
    CallKey {
        customer: CompactString::const_new("tidewire"),
        call: CompactString::const_new("service/topup"),
    }
}

fn allocator_name(allocator: usize) -> RouterName {
    format_compact!("allocator-{allocator}")
}

impl World {
    fn new(in_flight: u32) -> Self {
        let router = |n| Router {
            name: format_compact!("router-{n}"),
            grant_state: GrantState::default(),
            arrivals: 0.0,
            grants: Vec::new(),
        };
        Self {
            now: Instant::now() + Duration::from_hours(1),
            limits: CallLimits {
                requests_per_second: 100,
                tokens_per_second: None,
                in_flight,
            },
            routers: (0..ROUTERS).map(router).collect(),
            allocators: (0..ALLOCATORS).map(|_| ShareAllocator::default()).collect(),
        }
    }

    fn apply(&mut self, op: Op) {
        let router = |n: u8| usize::from(n) % ROUTERS;
        match op {
            Op::Report {
                router: n,
                allocator,
            } => {
                self.report(router(n), usize::from(allocator) % ALLOCATORS);
            }
            Op::DeliverOldest { router: n } => self.deliver(router(n), 0),
            Op::DeliverNewest { router: n } => {
                let newest = self.routers[router(n)].grants.len().saturating_sub(1);
                self.deliver(router(n), newest);
            }
            Op::Lose { router: n } => {
                self.routers[router(n)].grants.pop();
            }
            Op::Traffic {
                router: n,
                arrivals,
            } => {
                self.routers[router(n)].arrivals = f64::from(arrivals);
            }
            Op::ReportAll { allocator } => {
                for n in 0..ROUTERS {
                    self.report(n, usize::from(allocator) % ALLOCATORS);
                    let newest = self.routers[n].grants.len() - 1;
                    self.deliver(n, newest);
                }
            }
            Op::Advance { steps } => self.now += Duration::from_millis(25) * u32::from(steps % 40),
        }
        self.check();
    }

    fn report(&mut self, router: usize, allocator: usize) {
        let own = &mut self.routers[router];
        let demand = Demand {
            key: key(),
            arrivals: own.arrivals,
            grant_number: own.grant_state.grant_number(&allocator_name(allocator)),
            exclusive_ms: own
                .grant_state
                .record_report(&allocator_name(allocator), self.now),
        };
        let grant =
            self.allocators[allocator].report(&own.name, &demand, &self.limits, ROUTERS, self.now);
        own.grants.push((self.now, allocator, grant));
    }

    fn deliver(&mut self, router: usize, index: usize) {
        let own = &mut self.routers[router];
        if index < own.grants.len() {
            let (sent_at, allocator, grant) = own.grants.remove(index);
            own.grant_state
                .apply(&grant, &allocator_name(allocator), sent_at);
        }
    }

    fn in_force(&self, router: &Router) -> Share {
        let floor = floor_share(&self.limits, ROUTERS);
        router.grant_state.share(self.now).unwrap_or(floor)
    }

    fn check(&self) {
        let shares = self.routers.iter().map(|router| self.in_force(router));
        let shares = shares.collect::<Vec<_>>();
        let rate = shares.iter().map(|share| share.rate).sum::<f64>();
        assert!(
            rate <= 1.0 + ROUNDING_TOLERANCE,
            "rates add up to {rate}: {shares:?}"
        );
        let in_flight = shares.iter().map(|share| share.in_flight).sum::<u32>();
        assert!(
            in_flight <= self.limits.in_flight,
            "{in_flight} in flight: {shares:?}"
        );
    }
}

macro_rules! never_over_the_limit {
    ($name:ident, $in_flight:expr) => {
        #[test]
        fn $name() {
            briarhall_fuzz::histories(0..300, |ops: &[Op]| {
                let mut world = World::new($in_flight);
                for op in ops {
                    world.apply(*op);
                }
            });
        }
    };
}

never_over_the_limit!(one_in_flight, 1);
never_over_the_limit!(few_in_flight, 7);
never_over_the_limit!(many_in_flight, 1_000);

/// A router that receives all traffic gets nearly all of the limit within
/// seconds.
#[test]
fn router_with_all_traffic_gets_most_of_the_limit() {
    let mut world = World::new(100);
    world.apply(Op::Traffic {
        router: 0,
        arrivals: 50,
    });
    for _ in 0..10 {
        world.apply(Op::ReportAll { allocator: 0 });
        world.apply(Op::Advance { steps: 12 });
    }
    world.apply(Op::ReportAll { allocator: 0 });
    assert!(world.in_force(&world.routers[0]).rate > 0.8);
    world.apply(Op::Traffic {
        router: 0,
        arrivals: 0,
    });
    world.apply(Op::Traffic {
        router: 1,
        arrivals: 50,
    });
    for _ in 0..3 {
        world.apply(Op::ReportAll { allocator: 0 });
        world.apply(Op::Advance { steps: 12 });
    }
    world.apply(Op::ReportAll { allocator: 0 });
    assert!(world.in_force(&world.routers[1]).rate > 0.8);
}
