//! The list of VMs, shown with a lag.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use briarhall_objects::VmListing;
use briarhall_types::EndpointName;
use briarhall_types::EndpointRecord;

#[derive(Debug)]
struct Event {
    visible: Instant,
    name: EndpointName,
    record: Option<EndpointRecord>,
}

/// The list as it is shown, and changes not shown yet.
#[derive(Debug, Default)]
pub struct Vms {
    shown: BTreeMap<EndpointName, EndpointRecord>,
    pending: Vec<Event>,
}

impl Vms {
    /// Takes a change that will show after `lag`.
    pub fn change(
        &mut self,
        name: EndpointName,
        record: Option<EndpointRecord>,
        lag: Duration,
        now: Instant,
    ) {
        self.pending.push(Event {
            visible: now + lag,
            name,
            record,
        });
    }

    /// Returns the list as shown at `now`.
    pub fn list(&mut self, now: Instant) -> VmListing {
        let due = self.pending.extract_if(.., |event| event.visible <= now);
        for event in due {
            match event.record {
                None => self.shown.remove(&event.name),
                Some(record) => self.shown.insert(event.name, record),
            };
        }
        VmListing {
            items: self.shown.values().cloned().collect(),
        }
    }
}
