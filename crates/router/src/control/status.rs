//! The status of a router, as operators see it.

use std::time::Instant;

use briarhall_policy::members::SyncState;
use briarhall_types::CustomerName;
use briarhall_types::EndpointName;
use briarhall_types::EndpointState;
use briarhall_types::Revision;
use briarhall_types::RouterName;
use briarhall_types::ZoneName;
use serde::Serialize;

use super::Control;

/// A contract's version, and whether it is in force at every router.
#[derive(Debug, Clone, Serialize)]
pub struct ContractStatus {
    /// The customer.
    pub customer: CustomerName,
    /// Version held here.
    pub version: Revision,
    /// Whether that version is accepted; if not, it is pending.
    pub accepted: bool,
}

/// A router, according to this one.
#[derive(Debug, Clone, Serialize)]
pub struct RouterStatus {
    /// Its name.
    pub name: RouterName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Revision of the configuration it holds.
    pub held: Revision,
    /// Whether it is about to stop.
    pub draining: bool,
    /// Whether it is on the roster.
    pub on_roster: bool,
}

/// An endpoint, according to this router.
#[derive(Debug, Clone, Serialize)]
pub struct EndpointStatus {
    /// Its name.
    pub name: EndpointName,
    /// Model or service it runs.
    pub serves: String,
    /// State in the platform's list.
    pub state: EndpointState,
}

/// Status of a router.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// Its name.
    pub router: RouterName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it may admit: `current`, `behind` or `cut-off`.
    #[serde(rename = "standing")]
    pub sync_state: &'static str,
    /// Revision of the configuration it holds.
    pub held: Revision,
    /// Requests in flight.
    pub in_flight: usize,
    /// Retries left in the budget.
    pub retries_left: u32,
    /// Contracts.
    pub contracts: Vec<ContractStatus>,
    /// Live routers.
    pub routers: Vec<RouterStatus>,
    /// Endpoints.
    pub endpoints: Vec<EndpointStatus>,
}

impl Control {
    pub(super) fn status(&self, now: Instant) -> Status {
        let sync_state = match self.sync_state(now) {
            SyncState::Current => "current",
            SyncState::Behind => "behind",
            SyncState::Disconnected => "cut-off",
        };
        Status {
            router: self.me.name.clone(),
            zone: self.me.zone.clone(),
            sync_state,
            held: self.config_store.held(),
            in_flight: self.requests.len(),
            retries_left: self.retries.left(),
            contracts: self.contract_statuses(),
            routers: self.router_statuses(now),
            endpoints: self.endpoint_statuses(),
        }
    }

    fn contract_statuses(&self) -> Vec<ContractStatus> {
        let accepted = self.acceptance.accepted();
        let records = self.config_store.records();
        let statuses = records.map(|(_, version, record)| ContractStatus {
            customer: record.contract.customer.clone(),
            version,
            accepted: version <= accepted,
        });
        statuses.collect()
    }

    fn router_statuses(&self, now: Instant) -> Vec<RouterStatus> {
        let roster = self.config_store.roster();
        let live = self.members.live(now);
        let statuses = live.map(|heartbeat| RouterStatus {
            name: heartbeat.router.clone(),
            zone: heartbeat.zone.clone(),
            held: heartbeat.held,
            draining: heartbeat.draining,
            on_roster: roster.contains(&heartbeat.router),
        });
        statuses.collect()
    }

    fn endpoint_statuses(&self) -> Vec<EndpointStatus> {
        let records = self.fleet.records();
        let statuses = records.map(|(_, record)| EndpointStatus {
            name: record.name.clone(),
            serves: record.serves.to_string(),
            state: record.state,
        });
        statuses.collect()
    }
}
