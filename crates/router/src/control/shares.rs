//! This router's shares of contract limits, and the shares it grants to others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use briarhall_mesh::ShareReply;
use briarhall_mesh::ShareRequest;
use briarhall_policy::limits::Usage;
use briarhall_policy::rendezvous;
use briarhall_policy::share_allocator::CallKey;
use briarhall_policy::share_allocator::Demand;
use briarhall_policy::share_allocator::GrantState;
use briarhall_policy::share_allocator::floor_share;
use briarhall_types::CallLimits;
use briarhall_types::RouterName;
use compact_str::format_compact;

use super::Control;
use super::messages::SharePlan;

/// Time constant of the decaying average of the arrival rate.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Use of one model or service by a customer, with the grant that limits it.
#[derive(Debug)]
pub(super) struct CallUse {
    pub(super) usage: Usage,
    arrivals_per_s: f64,
    averaged_at: Instant,
    grant_state: GrantState,
}

impl CallUse {
    pub(super) fn arrived(&mut self, now: Instant) {
        self.average(now);
        self.arrivals_per_s += 1.0 / AVERAGING_TIME.as_secs_f64();
    }

    fn average(&mut self, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.averaged_at)
            .as_secs_f64();
        self.arrivals_per_s *= (-elapsed / AVERAGING_TIME.as_secs_f64()).exp();
        self.averaged_at = now;
    }
}

impl Control {
    /// Returns the use of a model or service, updated to the limits and share in
    /// force.
    pub(super) fn call_use(
        &mut self,
        key: &CallKey,
        limits: &CallLimits,
        now: Instant,
    ) -> &mut CallUse {
        let floor = floor_share(limits, self.sharing_routers());
        let call = self.uses.entry(key.clone()).or_insert_with(|| CallUse {
            usage: Usage::new(*limits, floor, now),
            arrivals_per_s: 0.0,
            averaged_at: now,
            grant_state: GrantState::default(),
        });
        let share = call.grant_state.share(now).unwrap_or(floor);
        if call.usage.share() != share || call.usage.limits() != limits {
            call.usage.set(*limits, share, now);
        }
        call
    }

    fn sharing_routers(&self) -> usize {
        self.config_store.roster().members.len().max(1)
    }

    /// Returns the demands to report to each allocator. Calls without traffic
    /// are included: a router that reports nothing may be disconnected, so the
    /// allocator reserves its part of the limit.
    pub(super) fn share_plans(&mut self, now: Instant) -> Vec<SharePlan> {
        for (key, limits) in self.contract_calls() {
            self.call_use(&key, &limits, now);
        }
        let mut by_allocator = BTreeMap::<RouterName, Vec<Demand>>::new();
        let keys = self.uses.keys().cloned().collect::<Vec<_>>();
        for key in keys {
            let allocator = self.allocator_of(&key, now);
            if let Some(call) = self.uses.get_mut(&key) {
                call.average(now);
                let grant_number = call.grant_state.grant_number(&allocator);
                let exclusive_ms = call.grant_state.record_report(&allocator, now);
                by_allocator.entry(allocator).or_default().push(Demand {
                    key,
                    arrivals: call.arrivals_per_s,
                    grant_number,
                    exclusive_ms,
                });
            }
        }
        let plans = by_allocator
            .into_iter()
            .map(|(allocator, demands)| SharePlan {
                address: self.address_of(&allocator),
                req: ShareRequest {
                    router: self.me.name.clone(),
                    demands,
                },
            });
        plans.collect()
    }

    fn allocator_of(&self, key: &CallKey, now: Instant) -> RouterName {
        let serving = self.members.serving(now).map(|h| &h.router);
        let allocator = rendezvous::pick(&key.customer, serving);
        allocator.unwrap_or(&self.me.name).clone()
    }

    /// Returns the address of another router, or `None` for this one.
    fn address_of(&self, router: &RouterName) -> Option<SocketAddr> {
        if *router == self.me.name {
            return None;
        }
        self.members.heartbeat(router).map(|h| h.mesh_address)
    }

    pub(super) fn share(&mut self, req: &ShareRequest, now: Instant) -> ShareReply {
        let routers = self.sharing_routers();
        let mut grants = Vec::new();
        for demand in &req.demands {
            let Some(limits) = self.limits_of(&demand.key) else {
                continue;
            };
            let grant = self
                .share_allocator
                .report(&req.router, demand, &limits, routers, now);
            grants.push(grant);
        }
        ShareReply {
            allocator: self.me.name.clone(),
            grants,
        }
    }

    pub(super) fn granted(&mut self, reply: &ShareReply, asked: Instant, now: Instant) {
        for grant in &reply.grants {
            if let Some(call) = self.uses.get_mut(&grant.key) {
                call.grant_state.apply(grant, &reply.allocator, asked);
                let limits = *call.usage.limits();
                self.call_use(&grant.key, &limits, now);
            }
        }
    }

    /// Updates limits to the configuration just applied.
    pub(super) fn renew_limits(&mut self, now: Instant) {
        let keys = self.uses.keys().cloned().collect::<Vec<_>>();
        for key in keys {
            match self.limits_of(&key) {
                Some(limits) => {
                    self.call_use(&key, &limits, now);
                }
                None => {
                    self.uses.remove(&key);
                }
            }
        }
    }

    /// Returns every model and service that some contract allows, with its
    /// limits.
    fn contract_calls(&self) -> Vec<(CallKey, CallLimits)> {
        let contracts = self
            .config_store
            .records()
            .map(|(_, _, record)| &record.contract);
        let calls = contracts.flat_map(|contract| {
            let models = contract.models.iter();
            let models = models.map(|m| (format_compact!("model/{}", m.name), m.limits));
            let services = contract.services.iter();
            let services = services.map(|s| (format_compact!("service/{}", s.name), s.limits));
            let customer = contract.customer.clone();
            models.chain(services).map(move |(call, limits)| {
                let customer = customer.clone();
                (CallKey { customer, call }, limits)
            })
        });
        calls.collect()
    }

    fn limits_of(&self, key: &CallKey) -> Option<CallLimits> {
        let contract = self.config_store.contract(&key.customer)?.contract;
        if let Some(name) = key.call.strip_prefix("model/") {
            return contract.model(name).map(|terms| terms.limits);
        }
        let name = key.call.strip_prefix("service/")?;
        contract.service(name).map(|terms| terms.limits)
    }
}
