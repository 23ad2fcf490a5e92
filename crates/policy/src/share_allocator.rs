//! Distribution of a contract's limits across routers, in proportion to demand.
//!
//! For each customer, one router, selected by rendezvous hashing, is the
//! allocator. Every router reports its demand to the allocator and receives a
//! grant with a short lifetime. The grants that may still be in force, together
//! with the floor that each router may always use, never add up to more than
//! the limit:
//!
//! * a router without a grant uses only its floor;
//! * a grant counts until it has expired or its router has reported a later one;
//! * a router's part of the pool is granted only after the router has reported
//!   exclusively to this allocator, by its own account, for so long that every
//!   grant that another allocator made from that part has expired.

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

/// Lifetime of a grant, from the time at which its router sent the report.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(1);
/// Maximum transit time of a report.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which every grant that a router's previous allocator made from its
/// part of the pool has expired. That allocator counts the router for
/// [`GRANT_LIFETIME`] after its last report, and the last grant that it makes in
/// that time lasts for another [`GRANT_LIFETIME`].
const EXCLUSIVE_FOR: Duration = Duration::from_millis(2_500);
/// Fraction of each limit that is split evenly and needs no grant.
pub const FLOOR_FRACTION: f64 = 0.2;

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
    /// Arrivals per second, including refused ones.
    pub arrivals: f64,
    /// Number of the router's current grant, zero for none.
    #[serde(rename = "holds")]
    pub grant_number: u64,
    /// Time for which the router has reported only to this allocator, in
    /// milliseconds.
    #[serde(rename = "alone_ms")]
    pub exclusive_ms: u64,
}

/// Answer to a reported demand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The kind of call.
    pub key: CallKey,
    /// Number of the grant.
    pub number: u64,
    /// Share that the router may use, including its floor.
    pub share: Share,
}

/// A router's state for one kind of call: its current grant, and since when it
/// has reported only to the current allocator.
#[derive(Debug, Clone, Default)]
pub struct GrantState {
    grant: Option<CurrentGrant>,
    reports_to: Option<ReportsTo>,
}

#[derive(Debug, Clone)]
struct ReportsTo {
    allocator: RouterName,
    since: Instant,
}

#[derive(Debug, Clone)]
struct CurrentGrant {
    allocator: RouterName,
    number: u64,
    share: Share,
    expires: Instant,
}

impl GrantState {
    /// Applies a grant that answers a report sent at `sent_at`. A grant that is
    /// older than the current one of the same allocator is ignored: the two
    /// arrived out of order.
    pub fn apply(&mut self, grant: &Grant, allocator: &RouterName, sent_at: Instant) {
        let is_newer = |current: &CurrentGrant| {
            current.allocator == *allocator && current.number > grant.number
        };
        if self.grant.as_ref().is_some_and(is_newer) {
            return;
        }
        self.grant = Some(CurrentGrant {
            allocator: allocator.clone(),
            number: grant.number,
            share: grant.share,
            expires: sent_at + GRANT_LIFETIME,
        });
    }

    /// Records that a report is sent to an allocator, and returns the time for
    /// which reports have gone only to it, in milliseconds.
    pub fn record_report(&mut self, allocator: &RouterName, now: Instant) -> u64 {
        let unchanged = self
            .reports_to
            .as_ref()
            .filter(|to| to.allocator == *allocator);
        let since = unchanged.map_or(now, |to| to.since);
        self.reports_to = Some(ReportsTo {
            allocator: allocator.clone(),
            since,
        });
        let exclusive_ms = now.saturating_duration_since(since).as_millis();
        u64::try_from(exclusive_ms).unwrap_or(u64::MAX)
    }

    /// Returns the granted share, unless the grant has expired.
    #[must_use]
    pub fn share(&self, now: Instant) -> Option<Share> {
        let grant = self.grant.as_ref()?;
        (now < grant.expires).then_some(grant.share)
    }

    /// Returns the number of the current grant if it is by this allocator, zero
    /// otherwise.
    #[must_use]
    pub fn grant_number(&self, allocator: &RouterName) -> u64 {
        let grant = self.grant.as_ref();
        grant
            .filter(|grant| grant.allocator == *allocator)
            .map_or(0, |grant| grant.number)
    }
}

#[derive(Debug, Clone)]
struct OutstandingGrant {
    number: u64,
    share: Share,
    expires: Instant,
}

#[derive(Debug, Clone)]
struct Reporter {
    last_report: Instant,
    exclusive_for: Duration,
    arrivals: f64,
    outstanding: Vec<OutstandingGrant>,
}

#[derive(Debug, Default)]
struct CallState {
    reporters: BTreeMap<RouterName, Reporter>,
}

/// State of the allocator.
#[derive(Debug, Default)]
pub struct ShareAllocator {
    calls: BTreeMap<CallKey, CallState>,
    last_grant_number: u64,
}

/// Returns the share that each of `routers` routers may use without a grant.
#[must_use]
pub fn floor_share(limits: &CallLimits, routers: usize) -> Share {
    let routers = to_u32(routers.max(1));
    if routers == 1 {
        return Share::full(limits);
    }
    Share {
        rate: FLOOR_FRACTION / f64::from(routers),
        in_flight: floor_slots(limits, routers),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a fraction of a u32 fits in a u32"
)]
fn floor_slots(limits: &CallLimits, routers: u32) -> u32 {
    (f64::from(limits.in_flight) * FLOOR_FRACTION / f64::from(routers)).floor() as u32
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

impl ShareAllocator {
    /// Records a router's demand for one kind of call and returns its grant.
    pub fn report(
        &mut self,
        router: &RouterName,
        demand: &Demand,
        limits: &CallLimits,
        routers: usize,
        now: Instant,
    ) -> Grant {
        self.last_grant_number += 1;
        let call = self.calls.entry(demand.key.clone()).or_default();
        call.remove_silent(now);
        call.record(router, demand, now);
        let share = call.share_for(router, limits, to_u32(routers.max(1)), now);
        call.add_outstanding(router, self.last_grant_number, share, now);
        Grant {
            key: demand.key.clone(),
            number: self.last_grant_number,
            share,
        }
    }

    /// Returns the sum of the granted rates that may be in force now, including
    /// the floors of the routers that reported.
    #[must_use]
    pub fn rate_in_force(&self, key: &CallKey, now: Instant) -> f64 {
        let reporters = self.calls.get(key).map(|call| call.reporters.values());
        let rates = reporters.into_iter().flatten();
        rates.map(|reporter| reporter.outstanding(now).rate).sum()
    }

    /// Removes calls that no router reports any more.
    pub fn remove_silent(&mut self, now: Instant) {
        for call in self.calls.values_mut() {
            call.remove_silent(now);
        }
        self.calls.retain(|_, call| !call.reporters.is_empty());
    }
}

impl Reporter {
    /// Returns the largest share that the router may still be using.
    fn outstanding(&self, now: Instant) -> Share {
        let mut max = Share {
            rate: 0.0,
            in_flight: 0,
        };
        for grant in self.outstanding.iter().filter(|grant| grant.expires > now) {
            max.rate = max.rate.max(grant.share.rate);
            max.in_flight = max.in_flight.max(grant.share.in_flight);
        }
        max
    }

    fn is_exclusive(&self) -> bool {
        self.exclusive_for >= EXCLUSIVE_FOR
    }
}

impl CallState {
    fn remove_silent(&mut self, now: Instant) {
        self.reporters
            .retain(|_, r| now.saturating_duration_since(r.last_report) < GRANT_LIFETIME);
    }

    fn record(&mut self, router: &RouterName, demand: &Demand, now: Instant) {
        let reporter = self
            .reporters
            .entry(router.clone())
            .or_insert_with(|| Reporter {
                last_report: now,
                exclusive_for: Duration::ZERO,
                arrivals: 0.0,
                outstanding: Vec::new(),
            });
        reporter.last_report = now;
        reporter.exclusive_for = Duration::from_millis(demand.exclusive_ms);
        reporter.arrivals = demand.arrivals.max(0.0);
        reporter
            .outstanding
            .retain(|grant| grant.expires > now && grant.number >= demand.grant_number);
    }

    fn add_outstanding(&mut self, router: &RouterName, number: u64, share: Share, now: Instant) {
        if let Some(reporter) = self.reporters.get_mut(router) {
            reporter.outstanding.push(OutstandingGrant {
                number,
                share,
                expires: now + GRANT_LIFETIME,
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
        let pool =
            (1.0 - FLOOR_FRACTION) * f64::from(self.exclusive_count(routers)) / f64::from(routers);
        let others = self.others(router);
        let in_use = others.map(|r| (r.outstanding(now).rate - floor).max(0.0));
        let free = pool - in_use.sum::<f64>();
        (pool * self.demand_fraction(router)).min(free).max(0.0)
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
        let pool = pool * u64::from(self.exclusive_count(routers)) / u64::from(routers);
        let others = self.others(router);
        let in_use = others.map(|r| u64::from(r.outstanding(now).in_flight.saturating_sub(floor)));
        let free = pool.saturating_sub(in_use.sum());
        let wanted = self.slots_by_demand(router, pool);
        u32::try_from(wanted.min(free)).unwrap_or(u32::MAX)
    }

    /// Returns the router's slots, one for each request in flight, when the pool
    /// is split by demand. The slots that rounding leaves over go to the routers
    /// with the largest demand, one each, in order of name where the demand is
    /// equal.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "slot counts are far below 2^52"
    )]
    fn slots_by_demand(&self, router: &RouterName, pool: u64) -> u64 {
        let rounded_down =
            |name: &RouterName| (pool as f64 * self.demand_fraction(name)).floor() as u64;
        let assigned = self.reporters.keys().map(rounded_down).sum::<u64>();
        let mut by_demand = self.reporters.iter().collect::<Vec<_>>();
        by_demand.sort_by(|(a, x), (b, y)| y.arrivals.total_cmp(&x.arrivals).then(a.cmp(b)));
        let rank = by_demand.iter().position(|(name, _)| *name == router);
        let remainder = pool.saturating_sub(assigned);
        rounded_down(router) + u64::from(rank.is_some_and(|rank| (rank as u64) < remainder))
    }

    fn demand_fraction(&self, router: &RouterName) -> f64 {
        let total = self.reporters.values().map(|r| r.arrivals).sum::<f64>();
        let own = self.reporters.get(router).map_or(0.0, |r| r.arrivals);
        if total > 0.0 {
            own / total
        } else {
            1.0 / f64::from(to_u32(self.reporters.len().max(1)))
        }
    }

    fn exclusive_count(&self, routers: u32) -> u32 {
        let exclusive = self.reporters.values().filter(|r| r.is_exclusive());
        to_u32(exclusive.count()).min(routers)
    }

    fn others(&self, router: &RouterName) -> impl Iterator<Item = &Reporter> {
        let others = self.reporters.iter();
        others
            .filter(move |(name, _)| *name != router)
            .map(|(_, r)| r)
    }
}
