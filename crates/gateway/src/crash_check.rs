//! Checks whether a replica still listens when a connection to it has broken.
//!
//! The registry notices a crash only after some missed heartbeats, and a replica that has
//! just failed is not chosen again. Until then nothing else tells a crash from an answer
//! that broke off.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use briarhall_net::Executor;
use briarhall_net::HttpClient;
use briarhall_net::HttpError;
use briarhall_types::ReplicaId;

use crate::state::Shared;

/// Delay of a check: a process that ends closes its connections and its listener one
/// after the other.
const CHECK_DELAY: Duration = Duration::from_millis(20);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest time between two checks of one replica: all its connections break at once.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// Checks each replica that is received.
pub async fn run(
    shared: Arc<Shared>,
    client: HttpClient,
    executor: Executor,
    broken: Receiver<ReplicaId>,
) {
    let mut checked = HashMap::<ReplicaId, Instant>::new();
    while let Ok(id) = broken.recv().await {
        let now = Instant::now();
        checked.retain(|_, at| now.saturating_duration_since(*at) < MIN_INTERVAL);
        let address = shared
            .state()
            .replicas
            .get(&id)
            .map(|record| record.address);
        let Some(address) = address else {
            continue;
        };
        if checked.insert(id.clone(), now).is_none() {
            executor.detach(check(Arc::clone(&shared), client.clone(), id, address));
        }
    }
}

async fn check(shared: Arc<Shared>, client: HttpClient, id: ReplicaId, address: SocketAddr) {
    Timer::after(CHECK_DELAY).await;
    shared.metrics.count("crash_check");
    match client.check_listening(address, CONNECT_TIMEOUT).await {
        Err(HttpError::Connect { refused: true, .. }) => {
            shared.state().record_crash(&id, "refused");
            shared.request_heartbeat();
        }
        Ok(()) => {}
        Err(e) => {
            log::info!(
                event = "crash_check_failed",
                replica = id.as_str(),
                error = e.to_string().as_str();
                "cannot tell whether a replica has crashed"
            );
        }
    }
}
