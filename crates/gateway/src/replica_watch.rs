//! Keeps the list of replicas up with the registry.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use briarhall_objects::PlatformError;

use crate::config_watch::FIRST_PAUSE;
use crate::config_watch::MAX_PAUSE;
use crate::config_watch::WATCH_WAIT;
use crate::control_plane::ControlPlane;
use crate::state::Shared;

/// Time between two looks for lapsed entries that were not renewed.
const EXPIRE_EVERY: Duration = Duration::from_millis(250);

/// Reads the registry and follows its changes.
pub async fn follow<C>(shared: Arc<Shared>, plane: C)
where
    C: ControlPlane,
{
    let mut read_at = None;
    let mut pause = FIRST_PAUSE;
    loop {
        let read = match read_at {
            None => list(&shared, &plane).await,
            Some(since) => watch(&shared, &plane, since).await,
        };
        match read {
            Ok(at) => {
                pause = FIRST_PAUSE;
                read_at = Some(at);
            }
            Err(PlatformError::Expired) => {
                log::info!(event = "watch_expired", what = "replicas"; "watch expired");
                read_at = None;
            }
            Err(e) => {
                let error = e.to_string();
                log::info!(event = "store_failed", what = "replicas", error = error.as_str(); "store failed");
                shared.state().replicas.registry_lost(Instant::now());
                read_at = None;
                Timer::after(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

async fn list<C>(shared: &Shared, plane: &C) -> Result<u64, PlatformError>
where
    C: ControlPlane,
{
    let snapshot = plane.replicas().await?;
    let now = Instant::now();
    let mut state = shared.state();
    state.replicas.registry_back(now);
    let events = state
        .replicas
        .listed(snapshot.entries, snapshot.read_at, now);
    state.registry_known = true;
    state.note_replicas(&events, "store");
    drop(state);
    shared.tell_peers();
    Ok(snapshot.read_at)
}

async fn watch<C>(shared: &Shared, plane: &C, since: u64) -> Result<u64, PlatformError>
where
    C: ControlPlane,
{
    let changes = plane.watch_replicas(since, WATCH_WAIT).await?;
    let now = Instant::now();
    let mut state = shared.state();
    state.replicas.registry_back(now);
    if !changes.changes.is_empty() {
        let events = state
            .replicas
            .changed(changes.changes, changes.read_at, now);
        state.note_replicas(&events, "store");
        drop(state);
        shared.tell_peers();
    }
    Ok(changes.read_at)
}

/// Drops lapsed entries in time.
pub async fn expire(shared: Arc<Shared>) {
    loop {
        Timer::after(EXPIRE_EVERY).await;
        let mut state = shared.state();
        let events = state.replicas.expire(Instant::now());
        state.note_replicas(&events, "lapse");
    }
}
