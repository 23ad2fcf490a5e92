//! Settings of a gateway process, given at its start.

use std::net::SocketAddr;
use std::time::Duration;

use briarhall_policy::capacity::ProcessLimits;
use briarhall_policy::cold_replicas::ColdBound;
use briarhall_policy::peers::VmName;
use briarhall_policy::policies::Policy;
use briarhall_policy::resumption::List;
use briarhall_policy::window_budget::BudgetBound;
use briarhall_types::ZoneName;

/// Validated settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of its VM.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Processor time that the VM gives the process, in thousandths of a core.
    pub millicores: u32,
    /// Memory and descriptors that the VM gives the process.
    pub process_limits: ProcessLimits,
    /// Address that clients connect to.
    pub client_address: SocketAddr,
    /// Address of the readiness port.
    pub readiness_address: Option<SocketAddr>,
    /// Address of the directory, where clients read the gateways' addresses.
    pub directory_address: Option<SocketAddr>,
    /// UDP address that other gateways send heartbeats to.
    pub gossip_address: SocketAddr,
    /// Address where other gateways read objects that the store does not
    /// deliver to them.
    pub relay_address: SocketAddr,
    /// Address that metrics are served on.
    pub metrics_address: Option<SocketAddr>,
    /// Gossip addresses of the gateways to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Time to live of a directory answer, sent to clients.
    pub address_ttl: Duration,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Time in which changes in the store must be in force.
    pub in_force_within: Duration,
    /// Time in which an evacuation of an availability zone must be in force; none are
    /// followed without it.
    pub evacuated_within: Option<Duration>,
    /// Shortest time between two reads of a series of changes in the store.
    pub min_watch_interval: Duration,
    /// Most gateways of a deployment in which each of them reads the store.
    pub all_read_up_to: usize,
    /// Bound on requests to cold replicas.
    pub cold_bound: ColdBound,
    /// Limit on retries.
    pub budget: BudgetBound,
    /// Placement policy for engines.
    pub placement: Policy,
    /// Log level filter.
    pub log: String,
}

impl Settings {
    /// Returns the lists in the store that are followed.
    #[must_use]
    pub fn lists(&self) -> Vec<List> {
        let mut lists = vec![List::Configuration, List::Replicas];
        if self.evacuated_within.is_some() {
            lists.push(List::Evacuations);
        }
        lists
    }
}
