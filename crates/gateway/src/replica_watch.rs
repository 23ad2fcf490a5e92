//! Keeps the list of replicas in sync with the registry.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_objects::PlatformError;
use briarhall_types::Revision;

use crate::control_plane::ControlPlane;
use crate::follow::Followed;
use crate::follow::WATCH_TIMEOUT;
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

    async fn read(&self) -> Result<Revision, PlatformError> {
        let snapshot = self.plane.replicas().await?;
        let now = Instant::now();
        let mut state = self.shared.state();
        state.replicas.registry_available(now);
        let events = state
            .replicas
            .apply_listing(snapshot.entries, snapshot.revision, now);
        state.registry_known = true;
        state.record_replica_events(&events, "store");
        drop(state);
        self.shared.request_heartbeat();
        Ok(snapshot.revision)
    }

    async fn watch(&self, since: Revision) -> Result<Revision, PlatformError> {
        let changes = self.plane.watch_replicas(since, WATCH_TIMEOUT).await?;
        let now = Instant::now();
        let mut state = self.shared.state();
        state.replicas.registry_available(now);
        if !changes.changes.is_empty() {
            let events = state
                .replicas
                .apply_changes(changes.changes, changes.revision, now);
            state.record_replica_events(&events, "store");
            drop(state);
            self.shared.request_heartbeat();
        }
        Ok(changes.revision)
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
