//! Keeps the list of replicas in sync with the registry.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_objects::PlatformError;
use briarhall_policy::resumption::List;
use briarhall_types::StorePosition;

use crate::control_plane::ControlPlane;
use crate::follow::Delivered;
use crate::follow::Followed;
use crate::follow::same_era;
use crate::state::Shared;

/// Time between two checks for entries that were not renewed and have expired.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The registry in the store.
#[derive(Debug, Clone)]
pub struct FollowedReplicas<C> {
    /// Control state.
    pub shared: Arc<Shared>,
    /// Reads the store.
    pub plane: C,
}

impl<C> Followed for FollowedReplicas<C>
where
    C: ControlPlane,
{
    const NAME: &'static str = "replicas";
    const LIST: List = List::Replicas;

    async fn read(&self) -> Result<StorePosition, PlatformError> {
        let snapshot = self.plane.replicas().await?;
        self.shared
            .record_era(Self::NAME, snapshot.position, "store");
        let now = Instant::now();
        let mut state = self.shared.state();
        state.replicas.registry_available(now);
        let events = state
            .replicas
            .apply_listing(snapshot.entries, snapshot.position, now);
        state.registry_known = true;
        state.record_replica_events(&events, "store");
        drop(state);
        self.shared.request_heartbeat();
        Ok(snapshot.position)
    }

    async fn watch(
        &self,
        since: StorePosition,
        wait: Duration,
    ) -> Result<Delivered, PlatformError> {
        let changes = self.plane.watch_replicas(since, wait).await?;
        same_era(since, changes.position)?;
        let now = Instant::now();
        let mut state = self.shared.state();
        state.replicas.registry_available(now);
        let is_change = !changes.changes.is_empty();
        if is_change {
            let events = state
                .replicas
                .apply_changes(changes.changes, changes.position, now);
            state.record_replica_events(&events, "store");
            drop(state);
            self.shared.request_heartbeat();
        }
        Ok(Delivered {
            position: changes.position,
            is_change,
        })
    }

    fn on_unavailable(&self) {
        self.shared
            .state()
            .replicas
            .registry_unavailable(Instant::now());
    }
}

/// Removes expired entries at a regular interval.
pub async fn expire(shared: Arc<Shared>) {
    loop {
        Timer::after(EXPIRY_CHECK_INTERVAL).await;
        let mut state = shared.state();
        let events = state.replicas.expire(Instant::now());
        state.record_replica_events(&events, "lapse");
    }
}
