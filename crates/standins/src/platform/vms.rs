//! The list of VMs, whose changes become visible after a lag.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use briarhall_objects::VmListing;
use briarhall_types::EndpointName;
use briarhall_types::EndpointRecord;

#[derive(Debug)]
struct PendingChange {
    visible_at: Instant,
    name: EndpointName,
    record: Option<EndpointRecord>,
}

/// The visible list, and changes that are not visible yet.
#[derive(Debug, Default)]
pub struct Vms {
    visible: BTreeMap<EndpointName, EndpointRecord>,
    pending: Vec<PendingChange>,
}

impl Vms {
    /// Adds a change that becomes visible after `lag`.
    pub fn change(
        &mut self,
        name: EndpointName,
        record: Option<EndpointRecord>,
        lag: Duration,
        now: Instant,
    ) {
        self.pending.push(PendingChange {
            visible_at: now + lag,
            name,
            record,
        });
    }

    /// Returns the list that is visible at `now`.
    pub fn list(&mut self, now: Instant) -> VmListing {
        let due = self
            .pending
            .extract_if(.., |change| change.visible_at <= now);
        for change in due {
            match change.record {
                None => self.visible.remove(&change.name),
                Some(record) => self.visible.insert(change.name, record),
            };
        }
        VmListing {
            items: self.visible.values().cloned().collect(),
        }
    }
}
