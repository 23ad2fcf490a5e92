//! The end of a process: clients move away first, then requests end, then the
//! process does.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use async_io::Timer;

use crate::state::Shared;

/// Clients may keep an answer of the directory three times as long as they are
/// told.
const MAX_CACHE_TTL_FACTOR: u32 = 3;
/// Time for the other gateways to hear, and for clients' clocks.
const PROPAGATION_MARGIN: Duration = Duration::from_millis(300);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the last bytes of the last answer to leave.
const FLUSH_DELAY: Duration = Duration::from_millis(60);
/// Time before the process is killed at which it ends by itself.
const KILL_MARGIN: Duration = Duration::from_millis(200);

/// Brings a gateway to its end. Dropping `end_sessions` ends idle connections.
pub async fn stop(shared: &Arc<Shared>, end_sessions: Sender<()>) {
    let start = Instant::now();
    let stop_deadline = start + shared.settings.grace.saturating_sub(KILL_MARGIN);
    let in_flight = shared.begin_stop(stop_deadline);
    log::info!(event = "stopping", in_flight; "stopping");
    let client_move_time = shared.settings.address_ttl * MAX_CACHE_TTL_FACTOR + PROPAGATION_MARGIN;
    Timer::at((start + client_move_time).min(stop_deadline)).await;
    drop(end_sessions);
    while shared.state().in_flight > 0 && Instant::now() < stop_deadline {
        Timer::after(CHECK_INTERVAL).await;
    }
    Timer::after(FLUSH_DELAY).await;
    let in_flight = shared.state().in_flight;
    log::info!(event = "stopped", in_flight; "stopped");
}
