//! Checks what a failed send shows: that a replica has crashed, or that this gateway
//! reaches none.
//!
//! When a connection has broken, the check is whether the replica still listens.
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
use briarhall_policy::health::SendOutcome;
use briarhall_types::ReplicaId;

use crate::attempt::CONNECT_TIMEOUT;
use crate::reach_check::reaches_another;
use crate::state::FailedSend;
use crate::state::Shared;

/// Delay of a check: a process that ends closes its connections and its listener one
/// after the other.
const CHECK_DELAY: Duration = Duration::from_millis(20);
/// Shortest time between two checks of one replica for the same kind of failure: all its
/// connections break at once.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// Checks each send that is received.
pub async fn run(
    shared: Arc<Shared>,
    client: HttpClient,
    executor: Executor,
    failed: Receiver<FailedSend>,
) {
    let mut checked = HashMap::<(ReplicaId, SendOutcome), Instant>::new();
    while let Ok(send) = failed.recv().await {
        let now = Instant::now();
        checked.retain(|_, at| now.saturating_duration_since(*at) < MIN_INTERVAL);
        let address = shared
            .state()
            .replicas
            .get(&send.replica)
            .map(|record| record.address);
        let Some(address) = address else {
            continue;
        };
        let failure = (send.replica.clone(), send.outcome);
        if checked.insert(failure, now).is_none() {
            executor.detach(check(Arc::clone(&shared), client.clone(), send, address));
        }
    }
}

async fn check(shared: Arc<Shared>, client: HttpClient, send: FailedSend, address: SocketAddr) {
    let failed_at = Instant::now();
    let evidence = match send.outcome {
        SendOutcome::Broken => {
            Timer::after(CHECK_DELAY).await;
            shared.metrics.count("crash_check");
            match client.check_listening(address, CONNECT_TIMEOUT).await {
                // Something in between may have accepted the connection.
                Ok(()) => None,
                Err(HttpError::Connect { refused: true, .. }) => Some("refused"),
                Err(e) => {
                    log::info!(
                        event = "crash_check_failed",
                        replica = send.replica.as_str(),
                        error = e.to_string().as_str();
                        "cannot tell whether a replica has crashed"
                    );
                    None
                }
            }
        }
        SendOutcome::Unreachable => Some("unreachable"),
        _ => None,
    };
    let reaches_others = reaches_another(&shared, &client, Some(address), failed_at).await;
    if let Some(evidence) = evidence
        && reaches_others
    {
        shared.state().record_crash(&send.replica, evidence);
        shared.request_heartbeat();
    }
}
