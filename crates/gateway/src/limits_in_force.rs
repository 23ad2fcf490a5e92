//! The limits of replicas as they bind this gateway at one moment.

use std::time::Duration;
use std::time::Instant;

use briarhall_policy::load_tracker::ReplicaTag;
use briarhall_policy::load_tracker::tag;
use briarhall_policy::peers::VmName;
use briarhall_policy::rendezvous;
use briarhall_policy::replica_limits::turn_step;
use briarhall_types::ReplicaId;

use crate::candidates::HEARTBEAT_DELAY;
use crate::gossip;
use crate::state::State;

/// Limits of replicas, and which gateways share them.
#[derive(Debug)]
pub struct LimitsInForce<'a> {
    state: &'a State,
    vm: &'a VmName,
    /// Share of the known gateways whose sends are known here.
    heard: f64,
    now: Instant,
}

impl<'a> LimitsInForce<'a> {
    /// Looks at the limits as they bind the gateway on this VM now.
    pub fn new(state: &'a State, vm: &'a VmName, now: Instant) -> Self {
        let heard = if state.replica_limits.is_empty() {
            1.0
        } else {
            state.peers.heard_share(now)
        };
        Self {
            state,
            vm,
            heard,
            now,
        }
    }

    /// Returns how long this gateway sends nothing to a replica, or `None` if it may now.
    pub fn time_left(&self, id: &ReplicaId) -> Option<Duration> {
        let limits = &self.state.replica_limits;
        if limits.is_empty() {
            return None;
        }
        let replica = tag(id.as_str());
        limits.time_left(replica, self.heard, self.now, || self.turn(replica))
    }

    /// Returns how long this gateway sends no request to a replica because of a limit or
    /// because it is cold, or `None` if it may now.
    pub fn wait(&self, id: &ReplicaId) -> Option<Duration> {
        let cold = &self.state.cold_replicas;
        let cold_left = cold.time_left(tag(id.as_str()), self.now);
        self.time_left(id).max(cold_left)
    }

    /// Returns whether a replica is known to be cold.
    pub fn is_cold(&self, id: &ReplicaId) -> bool {
        let cold = &self.state.cold_replicas;
        cold.is_cold(tag(id.as_str()), self.now)
    }

    /// Returns the time between two callers of these replicas that this gateway tells to
    /// come back.
    pub fn return_interval<'i, I>(&self, ids: I) -> Duration
    where
        I: Iterator<Item = &'i ReplicaId>,
    {
        let limits = &self.state.replica_limits;
        let cold = &self.state.cold_replicas;
        let per_s = ids.filter_map(|id| {
            let replica = tag(id.as_str());
            let both = [limits.per_s(replica), cold.per_s(replica, self.now)];
            both.into_iter().flatten().reduce(f64::min)
        });
        let per_s = per_s.sum::<f64>();
        let gateways = self.state.peers.serving(self.now).count() + 1;
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        let seconds = f64::from(gateways) / per_s;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
    }

    /// Returns how long this gateway lets others send first: the time in which each of
    /// them could have told of it. The order is another one for each replica.
    fn turn(&self, replica: ReplicaTag) -> Duration {
        let weight = |vm: &VmName| rendezvous::weight(&replica, vm.as_str());
        let own = weight(self.vm);
        let placing = self.state.peers.up(self.now);
        let placing = placing.filter(|p| p.places_requests).collect::<Vec<_>>();
        let earlier = placing.iter().filter(|p| weight(&p.vm) < own).count();
        let step = turn_step(gossip::send_interval(placing.len()) + HEARTBEAT_DELAY);
        step * u32::try_from(earlier).unwrap_or(u32::MAX)
    }
}
