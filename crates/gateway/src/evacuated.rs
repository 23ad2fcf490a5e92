//! What evacuations of availability zones mean for a request: which replicas it may go
//! to, when none is left, and whether a placement still holds when it is sent.

use std::time::Duration;
use std::time::Instant;

use briarhall_types::ReplicaRecord;
use briarhall_types::ServiceName;

use crate::attempt::Attempts;
use crate::attempt::Dispatcher;
use crate::attempt::elapsed_ms;
use crate::job::Job;
use crate::place::Placement;
use crate::state::State;
use crate::wire::Wire;

impl State {
    /// Returns the replicas of a service that accept new work and are in no evacuated
    /// zone.
    pub fn available(&self, service: &ServiceName) -> impl Iterator<Item = &ReplicaRecord> {
        let of_service = self.replicas.usable().filter(|r| r.service == *service);
        of_service.filter(|record| !self.evacuations.is_evacuated(&record.zone))
    }

    /// Has the replicas of a zone count as cold from the end of its evacuation, which
    /// their entries may not say yet.
    pub fn expect_cold(&mut self, zone: &str, now: Instant) {
        let Some(ended_at) = self.evacuations.ended_at(zone) else {
            return;
        };
        let in_zone = self.replicas.usable().filter(|record| record.zone == zone);
        let ids = in_zone.map(|record| &record.id);
        self.cold_replicas.evacuation_ended(ids, ended_at, now);
    }
}

impl<W> Dispatcher<W>
where
    W: Wire,
{
    /// Returns the time after which the client may come back when all replicas of the
    /// service are in evacuated zones: when the first of these is expected to return.
    pub fn all_evacuated(&self, job: &Job, attempts: &Attempts) -> Option<Duration> {
        let longest = self.shared.settings.evacuated_within?;
        let now = Instant::now();
        let state = self.shared.state();
        let of_service = state.replicas.usable();
        let of_service = of_service.filter(|record| record.service == job.service);
        let left =
            |record: &ReplicaRecord| state.evacuations.expected_left(&record.zone, longest, now);
        let left = of_service.map(left).collect::<Option<Vec<_>>>()?;
        let wait = left.into_iter().min()?;
        drop(state);
        if attempts.may_have_run == 0 {
            self.shared.metrics.count("refused_evacuated");
        }
        log::info!(
            event = "all_evacuated",
            request = job.head.id.as_str(),
            service = job.service.as_str(),
            wait_ms = wait.as_millis();
            "every replica of the service is in an evacuated availability zone"
        );
        Some(wait)
    }

    /// Returns whether a replica of the placement is in a zone that is evacuated, which
    /// may have begun since the replicas were chosen.
    pub fn is_evacuated(&self, job: &Job, placement: &Placement<W>) -> bool {
        if placement.detour.is_some() {
            // Not a replica: gateways in an evacuated zone continue to serve.
            return false;
        }
        let state = self.shared.state();
        let is_evacuated = |zone: &str| state.evacuations.is_evacuated(zone);
        let helpers = placement.helpers.iter();
        let mut helpers = helpers.filter_map(|helper| state.replicas.get(&helper.replica));
        let evacuated = is_evacuated(&placement.replica.zone)
            || helpers.any(|record| is_evacuated(&record.zone));
        drop(state);
        if evacuated {
            log::info!(
                event = "placement_evacuated",
                request = job.head.id.as_str(),
                replica = placement.replica.id.as_str(),
                after_ms = elapsed_ms(job.arrived);
                "not sent: the zone of a chosen replica is evacuated"
            );
        }
        evacuated
    }
}
