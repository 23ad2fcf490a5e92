//! Keeps the list of evacuated availability zones in sync with the store.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_objects::PlatformError;
use briarhall_policy::evacuations::EvacuationEvent;
use briarhall_policy::resumption::List;
use briarhall_types::StorePosition;

use crate::control_plane::ControlPlane;
use crate::follow::Delivered;
use crate::follow::Followed;
use crate::follow::same_era;
use crate::state::Shared;

/// Time between two checks for evacuations that were retained after a restore of the
/// store and are over: a twentieth of the time for which they are retained.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The evacuated zones in the store.
#[derive(Debug, Clone)]
pub struct FollowedEvacuations<C> {
    /// Control state.
    pub shared: Arc<Shared>,
    /// Reads the store.
    pub plane: C,
}

impl<C> Followed for FollowedEvacuations<C>
where
    C: ControlPlane,
{
    const NAME: &'static str = "evacuations";
    const LIST: List = List::Evacuations;

    async fn read(&self) -> Result<StorePosition, PlatformError> {
        let snapshot = self.plane.evacuations().await?;
        let position = snapshot.position;
        self.shared.record_era(Self::NAME, position, "store");
        let mut state = self.shared.state();
        let was_known = state.evacuations.is_known();
        let now = Instant::now();
        let events = state
            .evacuations
            .apply_listing(snapshot.zones, position, now);
        drop(state);
        record(&self.shared, &events, "store");
        if !was_known {
            self.shared.request_heartbeat();
        }
        Ok(position)
    }

    async fn watch(
        &self,
        since: StorePosition,
        wait: Duration,
    ) -> Result<Delivered, PlatformError> {
        let changes = self.plane.watch_evacuations(since, wait).await?;
        same_era(since, changes.position)?;
        let is_change = !changes.changes.is_empty();
        if is_change {
            let mut state = self.shared.state();
            let now = Instant::now();
            let events = state
                .evacuations
                .apply_changes(changes.changes, changes.position, now);
            drop(state);
            record(&self.shared, &events, "store");
        }
        Ok(Delivered {
            position: changes.position,
            is_change,
        })
    }
}

/// Logs and counts evacuations that have begun or ended, and has the other gateways told.
/// The replicas of a zone may be cold when its evacuation ends.
pub fn record(shared: &Shared, events: &[EvacuationEvent], source: &'static str) {
    for event in events {
        shared.metrics.count("evacuation_changed");
        log::warn!(
            event = "evacuation",
            zone = event.zone.as_str(),
            began = event.began,
            era = event.position.era,
            revision = event.position.revision,
            source;
            "the evacuation of an availability zone has begun or ended"
        );
        if !event.began {
            shared.state().expect_cold(&event.zone, Instant::now());
        }
    }
    if !events.is_empty() {
        shared.request_heartbeat();
    }
}

/// Ends evacuations that were retained after a restore of the store, at a regular
/// interval.
pub async fn expire(shared: Arc<Shared>) {
    loop {
        Timer::after(EXPIRY_CHECK_INTERVAL).await;
        let events = shared.state().evacuations.expire(Instant::now());
        record(&shared, &events, "restore");
    }
}
