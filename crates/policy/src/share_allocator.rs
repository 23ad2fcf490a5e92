//! Shares of a contract's limits, moved to where the traffic is.
//!
//! For each customer one router, named by rendezvous hashing, is the allocator.
//! Every router reports its demand to it and gets a grant that lasts a short
//! time. The allocator never lets grants that may still be in force, together
//! with the floor that each router may always use, add up to more than the
//! limit:
//!
//! * a router without a grant uses its floor and nothing more;
//! * what was granted counts until it has run out or the router has reported
//!   that it holds a later grant;
//! * a router's part of the pool is shared out only once it has reported here
//!   and nowhere else for long enough, by its own word, that whatever another
//!   allocator gave out of it has run out.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::CallLimits;
use briarhall_types::CustomerName;
use briarhall_types::RouterName;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::limits::Share;

/// Life of a grant, from the moment its router asked.
pub const GRANT_LIFE: Duration = Duration::from_secs(1);
/// Longest time a report may be on its way.
pub const REPORT_LIMIT: Duration = Duration::from_millis(500);
/// Time after which nothing is left of what a router's last allocator gave: it
/// counts the router for the life of a grant after its last report, and what it
/// gives then lasts as long again.
const ALONE_FOR: Duration = Duration::from_millis(2_500);
/// Part of each limit that is split evenly and needs no grant.
pub const FLOOR: f64 = 0.2;

/// One kind of call by one customer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallKey {
    /// The customer.
    pub customer: CustomerName,
    /// `model/NAME` or `service/NAME`.
    pub call: CompactString,
}

/// Demand that a router reports for one kind of call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The kind of call.
    pub key: CallKey,
    /// Arrivals a second, refused ones among them.
    pub arrivals: f64,
    /// Number of the grant it holds, zero for none.
    #[serde(rename = "holds")]
    pub grant_number: u64,
    /// Milliseconds for which it has reported to this allocator and no other.
    pub alone_ms: u64,
}

/// Answer to a reported demand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The kind of call.
    pub key: CallKey,
    /// Number of the grant.
    pub number: u64,
    /// What the router may use, its floor included.
    pub share: Share,
}

/// What a router knows of its allocator for one kind of call: the grant it
/// holds, and since when it reports to nobody else.
#[derive(Debug, Clone, Default)]
pub struct GrantState {
    grant: Option<HeldGrant>,
    reports_to: Option<ReportsTo>,
}

#[derive(Debug, Clone)]
struct ReportsTo {
    allocator: RouterName,
    since: Instant,
}

#[derive(Debug, Clone)]
struct HeldGrant {
    allocator: RouterName,
    number: u64,
    share: Share,
    until: Instant,
}

impl GrantState {
    /// Takes a grant of an allocator that was asked at `asked`. One that is
    /// older than the grant held has been overtaken on the way and changes
    /// nothing.
    pub fn apply(&mut self, grant: &Grant, allocator: &RouterName, asked: Instant) {
        let overtaken =
            |held: &HeldGrant| held.allocator == *allocator && held.number > grant.number;
        if self.grant.as_ref().is_some_and(overtaken) {
            return;
        }
        self.grant = Some(HeldGrant {
            allocator: allocator.clone(),
            number: grant.number,
            share: grant.share,
            until: asked + GRANT_LIFE,
        });
    }

    /// Records that a report goes to an allocator, and returns the milliseconds
    /// for which it has been the only one.
    pub fn record_report(&mut self, allocator: &RouterName, now: Instant) -> u64 {
        let same = self
            .reports_to
            .as_ref()
            .filter(|to| to.allocator == *allocator);
        let since = same.map_or(now, |to| to.since);
        self.reports_to = Some(ReportsTo {
            allocator: allocator.clone(),
            since,
        });
        let alone = now.saturating_duration_since(since).as_millis();
        u64::try_from(alone).unwrap_or(u64::MAX)
    }

    /// Returns the share granted, if it is still in force.
    #[must_use]
    pub fn share(&self, now: Instant) -> Option<Share> {
        let grant = self.grant.as_ref()?;
        (now < grant.until).then_some(grant.share)
    }

    /// Returns the number of the grant held from an allocator, zero for none.
    #[must_use]
    pub fn grant_number(&self, allocator: &RouterName) -> u64 {
        let grant = self.grant.as_ref();
        grant
            .filter(|grant| grant.allocator == *allocator)
            .map_or(0, |grant| grant.number)
    }
}

#[derive(Debug, Clone)]
struct Outstanding {
    number: u64,
    share: Share,
    expires: Instant,
}

#[derive(Debug, Clone)]
struct Reporter {
    last: Instant,
    alone_for: Duration,
    arrivals: f64,
    outstanding: Vec<Outstanding>,
}

#[derive(Debug, Default)]
struct Call {
    reporters: BTreeMap<RouterName, Reporter>,
}

/// State of the allocator.
#[derive(Debug, Default)]
pub struct ShareAllocator {
    calls: BTreeMap<CallKey, Call>,
    number: u64,
}

/// Returns what a router may use without a grant when `routers` share.
#[must_use]
pub fn floor_share(limits: &CallLimits, routers: usize) -> Share {
    let routers = count(routers.max(1));
    if routers == 1 {
        return Share::whole(limits);
    }
    Share {
        rate: FLOOR / f64::from(routers),
        in_flight: floor_slots(limits, routers),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a u32 is a u32"
)]
fn floor_slots(limits: &CallLimits, routers: u32) -> u32 {
    (f64::from(limits.in_flight) * FLOOR / f64::from(routers)).floor() as u32
}

fn count(routers: usize) -> u32 {
    u32::try_from(routers).unwrap_or(u32::MAX)
}

impl ShareAllocator {
    /// Takes a router's report of one kind of call and answers with a grant.
    pub fn report(
        &mut self,
        router: &RouterName,
        demand: &Demand,
        limits: &CallLimits,
        routers: usize,
        now: Instant,
    ) -> Grant {
        self.number += 1;
        let call = self.calls.entry(demand.key.clone()).or_default();
        call.forget(now);
        call.record(router, demand, now);
        let share = call.share_for(router, limits, count(routers.max(1)), now);
        call.grant(router, self.number, share, now);
        Grant {
            key: demand.key.clone(),
            number: self.number,
            share,
        }
    }

    /// Returns the sum of the rates that may be in force now, floors of the
    /// routers that reported included.
    #[must_use]
    pub fn rate_in_force(&self, key: &CallKey, now: Instant) -> f64 {
        let reporters = self.calls.get(key).map(|call| call.reporters.values());
        let rates = reporters.into_iter().flatten();
        rates.map(|reporter| reporter.outstanding(now).rate).sum()
    }

    /// Forgets calls that nobody reports any more.
    pub fn forget(&mut self, now: Instant) {
        for call in self.calls.values_mut() {
            call.forget(now);
        }
        self.calls.retain(|_, call| !call.reporters.is_empty());
    }
}

impl Reporter {
    /// The largest share that the router may still be using.
    fn outstanding(&self, now: Instant) -> Share {
        let mut most = Share {
            rate: 0.0,
            in_flight: 0,
        };
        for grant in self.outstanding.iter().filter(|grant| grant.expires > now) {
            most.rate = most.rate.max(grant.share.rate);
            most.in_flight = most.in_flight.max(grant.share.in_flight);
        }
        most
    }

    fn counts(&self) -> bool {
        self.alone_for >= ALONE_FOR
    }
}

impl Call {
    fn forget(&mut self, now: Instant) {
        self.reporters
            .retain(|_, r| now.saturating_duration_since(r.last) < GRANT_LIFE);
    }

    fn record(&mut self, router: &RouterName, demand: &Demand, now: Instant) {
        let reporter = self
            .reporters
            .entry(router.clone())
            .or_insert_with(|| Reporter {
                last: now,
                alone_for: Duration::ZERO,
                arrivals: 0.0,
                outstanding: Vec::new(),
            });
        reporter.last = now;
        reporter.alone_for = Duration::from_millis(demand.alone_ms);
        reporter.arrivals = demand.arrivals.max(0.0);
        reporter
            .outstanding
            .retain(|grant| grant.expires > now && grant.number >= demand.grant_number);
    }

    fn grant(&mut self, router: &RouterName, number: u64, share: Share, now: Instant) {
        if let Some(reporter) = self.reporters.get_mut(router) {
            reporter.outstanding.push(Outstanding {
                number,
                share,
                expires: now + GRANT_LIFE,
            });
        }
    }

    fn share_for(
        &self,
        router: &RouterName,
        limits: &CallLimits,
        routers: u32,
        now: Instant,
    ) -> Share {
        let floor = floor_share(limits, routers as usize);
        if routers == 1 {
            return floor;
        }
        Share {
            rate: floor.rate + self.extra_rate(router, routers, floor.rate, now),
            in_flight: floor.in_flight + self.extra_slots(router, limits, routers, now),
        }
    }

    fn extra_rate(&self, router: &RouterName, routers: u32, floor: f64, now: Instant) -> f64 {
        let pool = (1.0 - FLOOR) * f64::from(self.counted(routers)) / f64::from(routers);
        let others = self.others(router);
        let taken = others.map(|r| (r.outstanding(now).rate - floor).max(0.0));
        let free = pool - taken.sum::<f64>();
        (pool * self.demand_part(router)).min(free).max(0.0)
    }

    fn extra_slots(
        &self,
        router: &RouterName,
        limits: &CallLimits,
        routers: u32,
        now: Instant,
    ) -> u32 {
        let floor = floor_slots(limits, routers);
        let pool = u64::from(limits.in_flight - floor * routers);
        let pool = pool * u64::from(self.counted(routers)) / u64::from(routers);
        let others = self.others(router);
        let taken = others.map(|r| u64::from(r.outstanding(now).in_flight.saturating_sub(floor)));
        let free = pool.saturating_sub(taken.sum());
        let wanted = self.slots_by_demand(router, pool);
        u32::try_from(wanted.min(free)).unwrap_or(u32::MAX)
    }

    /// Splits whole slots by demand; what rounding leaves goes to the routers
    /// with the largest demand, by name where that is equal.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "slots are far below 2^52"
    )]
    fn slots_by_demand(&self, router: &RouterName, pool: u64) -> u64 {
        let whole = |name: &RouterName| (pool as f64 * self.demand_part(name)).floor() as u64;
        let given = self.reporters.keys().map(whole).sum::<u64>();
        let mut order = self.reporters.iter().collect::<Vec<_>>();
        order.sort_by(|(a, x), (b, y)| y.arrivals.total_cmp(&x.arrivals).then(a.cmp(b)));
        let place = order.iter().position(|(name, _)| *name == router);
        let left = pool.saturating_sub(given);
        whole(router) + u64::from(place.is_some_and(|place| (place as u64) < left))
    }

    fn demand_part(&self, router: &RouterName) -> f64 {
        let total = self.reporters.values().map(|r| r.arrivals).sum::<f64>();
        let own = self.reporters.get(router).map_or(0.0, |r| r.arrivals);
        if total > 0.0 {
            own / total
        } else {
            1.0 / f64::from(count(self.reporters.len().max(1)))
        }
    }

    fn counted(&self, routers: u32) -> u32 {
        let counted = self.reporters.values().filter(|r| r.counts());
        count(counted.count()).min(routers)
    }

    fn others(&self, router: &RouterName) -> impl Iterator<Item = &Reporter> {
        let others = self.reporters.iter();
        others
            .filter(move |(name, _)| *name != router)
            .map(|(_, r)| r)
    }
}
