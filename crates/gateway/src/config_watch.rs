//! Keeps the configuration up with the store.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use briarhall_objects::PlatformError;

use crate::control_plane::ConfigurationSnapshot;
use crate::control_plane::ControlPlane;
use crate::state::Shared;

/// Time that a watch waits; a silent connection is found by its probes well
/// before.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Pause after a call that failed, doubled up to [`MAX_PAUSE`].
pub const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause between calls: a bound of two seconds holds from the store's
/// return.
pub const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Reads the configuration and follows its changes.
pub async fn follow<C>(shared: Arc<Shared>, plane: C)
where
    C: ControlPlane,
{
    let mut read_at = None;
    let mut pause = FIRST_PAUSE;
    loop {
        let read = match read_at {
            None => plane.configuration().await,
            Some(since) => plane.watch_configuration(since, WATCH_WAIT).await,
        };
        match read {
            Ok(snapshot) => {
                pause = FIRST_PAUSE;
                read_at = Some(snapshot.read_at);
                take(&shared, snapshot);
            }
            Err(PlatformError::Expired) => {
                log::info!(event = "watch_expired", what = "configuration"; "watch expired");
                read_at = None;
            }
            Err(e) => {
                let error = e.to_string();
                log::info!(event = "store_failed", what = "configuration", error = error.as_str(); "store failed");
                // What was missed while the store was away is read, not waited for.
                read_at = None;
                Timer::after(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

fn take(shared: &Shared, snapshot: ConfigurationSnapshot) {
    if let Some(change) = snapshot.current {
        shared.put_in_force(change.configuration, change.revision, "store");
    }
}
