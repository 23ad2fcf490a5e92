//! Placement where gateways know each other's work late: whether it is in force, and how
//! much of that work is unknown here.

use std::time::Instant;

use briarhall_net::Metrics;
use briarhall_policy::placement::Candidate;
use briarhall_policy::placement::even;
use briarhall_types::ReplicaId;

use crate::candidates::HEARTBEAT_DELAY;
use crate::gossip;
use crate::state::State;

impl State {
    /// Returns whether the configuration expects hard load.
    pub fn expects_hard_load(&self) -> bool {
        let current = self.current_configuration.as_ref();
        current.is_some_and(|current| current.table.expects_hard_load())
    }
}

/// What placement with stale views starts from.
#[derive(Debug, Clone, Copy)]
pub struct StaleViews {
    /// About how many requests other gateways have placed since the heartbeats that the
    /// loads here come from, beyond the one that an engine with room bears.
    pub unseen: usize,
}

impl StaleViews {
    /// Returns how stale the loads are that this gateway, in `zone`, knows, or `None` where
    /// the configuration does not expect hard load.
    #[must_use]
    pub fn new(state: &State, zone: &str, now: Instant) -> Option<Self> {
        let table = &state.current_configuration.as_ref()?.table;
        if !table.expects_hard_load() {
            return None;
        }
        let delays = table.delays();
        let placing = || state.peers.up(now).filter(|p| p.places_requests);
        let interval = gossip::send_interval(placing().count());
        let unseen = placing().map(|p| {
            let link = delays.between(&p.zone, zone).max(HEARTBEAT_DELAY);
            f64::from(p.requests_per_s) * (interval + link).as_secs_f64()
        });
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small number, not negative"
        )]
        let unseen = unseen.sum::<f64>() as usize;
        Some(Self {
            unseen: unseen.saturating_sub(1),
        })
    }
}

/// Sets the gauge that shows how unevenly the requests of a service are spread, as known
/// here, in per cent of the mean.
pub fn record_busiest(metrics: &Metrics, service: &str, candidates: &[Candidate<ReplicaId>]) {
    let Some(ratio) = even::busiest_to_mean(candidates) else {
        return;
    };
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a ratio of at most the number of replicas"
    )]
    let percent = (ratio * 100.0).round() as u64;
    metrics.gauge(&format!("busiest_percent_{service}"), percent);
}
