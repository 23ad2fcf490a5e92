//! The roster: who must agree.

use std::time::Instant;

use briarhall_policy::rendezvous;

use super::AddressEntry;
use super::Control;
use super::messages::ConfirmPlan;
use super::messages::RosterPlan;

/// Routers that one customer's callers are sent to at the most. With more
/// routers than that, each customer has a subset of its own, so that limits are
/// shared, and harm is done, among few.
const ROUTERS_PER_CUSTOMER: usize = 16;

impl Control {
    pub(super) fn roster_plan(&self, now: Instant) -> Option<RosterPlan> {
        let roster = self.config_store.roster();
        let version = self.config_store.roster_version();
        if let Some(roster) = self.members.roster_change(&roster, self.started, now) {
            return Some(RosterPlan { version, roster });
        }
        let settles = roster.is_changing() && self.members.quorum_holds(&roster, version);
        settles.then(|| RosterPlan {
            version,
            roster: roster.settled(),
        })
    }

    /// A router that hears no quorum asks the platform itself.
    pub(super) fn confirm_plan(&self, now: Instant) -> Option<ConfirmPlan> {
        let roster = self.config_store.roster();
        let needs = !self.members.has_fresh_quorum(&roster, now);
        needs.then(|| ConfirmPlan {
            router: self.me.name.clone(),
        })
    }

    /// Addresses in the customer's own order, routers about to stop left out.
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
