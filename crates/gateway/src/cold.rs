//! Passes what a gateway knows to the limits of cold replicas.

use std::collections::HashMap;
use std::time::Instant;

use briarhall_net::Metrics;
use briarhall_policy::cold_replicas::ColdBound;
use briarhall_policy::cold_replicas::ColdEvent;
use briarhall_policy::cold_replicas::ColdLimit;
use briarhall_policy::cold_replicas::ColdReplicas;
use briarhall_policy::cold_replicas::HeardGateway;
use briarhall_policy::load_tracker::tag;
use briarhall_policy::peers::Peers;
use briarhall_policy::peers::Presence;
use briarhall_policy::replicas::ReplicaEvent;
use briarhall_policy::replicas::ReplicaStatus;
use briarhall_policy::replicas::Replicas;
use briarhall_types::Configuration;
use briarhall_types::ReplicaId;
use briarhall_types::ReplicaRecord;
use briarhall_types::ServiceName;

/// Returns the cold limits of the services that have one.
pub fn limits(configuration: &Configuration, bound: ColdBound) -> HashMap<ServiceName, ColdLimit> {
    let services = configuration.services.iter();
    let limited = services.filter_map(|service| {
        let cold = service.cold?;
        let limit = ColdLimit::new(cold.lasts, cold.per_s, bound);
        Some((service.name.clone(), limit))
    });
    limited.collect()
}

/// Applies changes of the registry.
pub fn observe_events(
    cold: &mut ColdReplicas,
    replicas: &Replicas,
    events: &[ReplicaEvent],
    now: Instant,
) {
    for event in events {
        if event.status == ReplicaStatus::Gone {
            cold.record_gone(&event.id, now);
        } else if let Some(record) = replicas.get(&event.id) {
            cold.observe_entry(record, now);
        }
    }
}

/// Applies which gateways are up, and logs and counts the cold replicas.
pub fn update(
    cold: &mut ColdReplicas,
    own: &Presence,
    peers: &Peers,
    metrics: &Metrics,
    now: Instant,
) {
    log(&cold.remove_expired(now));
    if !cold.is_enabled() {
        return;
    }
    cold.update_gateways(heard(own), peers.up(now).map(heard), now);
    let count = u64::try_from(cold.count(now)).unwrap_or(u64::MAX);
    metrics.gauge("cold_replicas", count);
}

fn heard(presence: &Presence) -> HeardGateway<'_> {
    HeardGateway {
        vm: presence.vm.as_str(),
        places_requests: presence.places_requests,
        stopping: presence.stopping,
    }
}

fn log(events: &[ColdEvent]) {
    for event in events {
        log::info!(
            event = "cold",
            replica = event.id.as_str(),
            cold = event.left.is_some(),
            left_ms = event.left.unwrap_or_default().as_millis(),
            source = event.reason.as_str();
            "replica has begun or ceased to be cold"
        );
    }
}

/// How the limits of cold replicas bear on one choice.
#[derive(Debug)]
pub struct ColdChoice {
    /// Penalties of those that may get something now; empty where there are no limits.
    open: HashMap<ReplicaId, f64>,
    /// The least of them, which counts as none: where all are cold, none is worse.
    least: f64,
    held: bool,
}

impl ColdChoice {
    /// Looks at the replicas that may be chosen otherwise.
    pub fn new(cold: &ColdReplicas, replicas: &[&ReplicaRecord], now: Instant) -> Self {
        if !cold.is_enabled() {
            return Self {
                open: HashMap::new(),
                least: 0.0,
                held: false,
            };
        }
        let open = replicas.iter().filter_map(|record| {
            let replica = tag(record.id.as_str());
            let is_open = cold.time_left(replica, now).is_none();
            is_open.then(|| (record.id.clone(), cold.penalty(replica, now)))
        });
        let open = open.collect::<HashMap<_, _>>();
        Self {
            least: open.values().copied().reduce(f64::min).unwrap_or(0.0),
            held: open.len() < replicas.len(),
            open,
        }
    }

    /// Returns whether a replica gets nothing now.
    pub fn is_held(&self, id: &ReplicaId) -> bool {
        self.held && !self.open.contains_key(id)
    }

    /// Returns whether any replica gets nothing now.
    pub fn holds_any(&self) -> bool {
        self.held
    }

    /// Returns how much to avoid a replica because it is cold, compared with the others.
    pub fn penalty(&self, id: &ReplicaId) -> f64 {
        self.open
            .get(id)
            .map_or(0.0, |penalty| penalty - self.least)
    }
}
