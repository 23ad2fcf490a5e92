//! Keeps the configuration in sync with the store.

use std::sync::Arc;
use std::time::Duration;

use briarhall_objects::PlatformError;
use briarhall_policy::resumption::List;
use briarhall_types::StorePosition;

use crate::control_plane::ConfigurationSnapshot;
use crate::control_plane::ControlPlane;
use crate::follow::Delivered;
use crate::follow::Followed;
use crate::follow::same_era;
use crate::state::Shared;

/// The configuration in the store.
#[derive(Debug, Clone)]
pub struct FollowedConfiguration<C> {
    /// Control state.
    pub shared: Arc<Shared>,
    /// Reads the store.
    pub plane: C,
}

impl<C> Followed for FollowedConfiguration<C>
where
    C: ControlPlane,
{
    const NAME: &'static str = "configuration";
    const LIST: List = List::Configuration;

    async fn read(&self) -> Result<StorePosition, PlatformError> {
        let snapshot = self.plane.configuration().await?;
        self.shared
            .record_era(Self::NAME, snapshot.position, "store");
        Ok(self.apply(snapshot))
    }

    async fn watch(
        &self,
        since: StorePosition,
        wait: Duration,
    ) -> Result<Delivered, PlatformError> {
        let snapshot = self.plane.watch_configuration(since, wait).await?;
        same_era(since, snapshot.position)?;
        let is_change = snapshot.current.is_some();
        let position = self.apply(snapshot);
        Ok(Delivered {
            position,
            is_change,
        })
    }
}

impl<C> FollowedConfiguration<C> {
    fn apply(&self, snapshot: ConfigurationSnapshot) -> StorePosition {
        if let Some(change) = snapshot.current {
            self.shared
                .apply_configuration(change.configuration, change.position, "store");
        }
        snapshot.position
    }
}
