//! What one gateway process is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use briarhall_policy::peers::VmName;
use briarhall_policy::policies::Policy;
use briarhall_policy::window_budget::BudgetBound;
use briarhall_types::ZoneName;

/// Checked settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of its VM.
    pub vm: VmName,
    /// Where it runs.
    pub zone: ZoneName,
    /// Where clients connect.
    pub front: SocketAddr,
    /// Where readiness is asked for.
    pub ready: Option<SocketAddr>,
    /// Where clients ask for addresses.
    pub directory: Option<SocketAddr>,
    /// Where other gateways send heartbeats, as datagrams.
    pub gossip: SocketAddr,
    /// Where other gateways read objects that the store withholds from them.
    pub relay: SocketAddr,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Gateways to begin with, by their gossip addresses.
    pub seeds: Vec<SocketAddr>,
    /// How long clients may keep an answer of the directory.
    pub address_ttl: Duration,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Bound on requests that are sent again.
    pub budget: BudgetBound,
    /// How engines are chosen.
    pub placement: Policy,
    /// Levels of the log.
    pub log: String,
}
