//! The roster of routers whose quorum accepts changes, and the addresses that
//! callers are sent to.

use std::time::Instant;

use briarhall_policy::rendezvous;

use super::AddressEntry;
use super::Control;
use super::messages::ConfirmPlan;
use super::messages::RosterPlan;

/// Largest number of routers that one customer's callers are sent to. With more
/// routers, each customer gets a subset of its own, so that its limits are split
/// among few routers and its requests can harm only those.
const ROUTERS_PER_CUSTOMER: usize = 16;

impl Control {
    pub(super) fn roster_plan(&self, now: Instant) -> Option<RosterPlan> {
        let roster = self.config_store.roster();
        let version = self.config_store.roster_version();
        if let Some(roster) = self.members.roster_change(&roster, self.started, now) {
            return Some(RosterPlan { version, roster });
        }
        let change_complete = roster.is_changing() && self.members.quorum_holds(&roster, version);
        change_complete.then(|| RosterPlan {
            version,
            roster: roster.without_previous(),
        })
    }

    /// Returns the confirmation to request from the platform when this router
    /// has no fresh quorum.
    pub(super) fn confirm_plan(&self, now: Instant) -> Option<ConfirmPlan> {
        let roster = self.config_store.roster();
        let needs_confirmation = !self.members.has_fresh_quorum(&roster, now);
        needs_confirmation.then(|| ConfirmPlan {
            router: self.me.name.clone(),
        })
    }

    /// Returns addresses in an order specific to the customer, without routers
    /// that are draining.
    pub(super) fn addresses(&self, customer: &str, now: Instant) -> Vec<AddressEntry> {
        let mut serving = self.members.serving(now).collect::<Vec<_>>();
        serving.sort_by_key(|h| std::cmp::Reverse(rendezvous::weight(customer, &h.router)));
        serving.truncate(ROUTERS_PER_CUSTOMER);
        let entries = serving.into_iter().map(|heartbeat| AddressEntry {
            address: heartbeat.caller_address,
            zone: heartbeat.zone.clone(),
        });
        entries.collect()
    }
}
