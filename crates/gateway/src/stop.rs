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
const KEPT_LONGER: u32 = 3;
/// Time for the other gateways to hear, and for clients' clocks.
const MARGIN: Duration = Duration::from_millis(300);
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Time for the last bytes of the last answer to leave.
const LAST_BYTES: Duration = Duration::from_millis(60);
/// Time before the process is killed at which it ends by itself.
const BEFORE_KILL: Duration = Duration::from_millis(200);

/// Brings a gateway to its end. Dropping `end_sessions` ends idle connections.
pub async fn stop(shared: &Arc<Shared>, end_sessions: Sender<()>) {
    let began = Instant::now();
    let kill = began + shared.settings.grace.saturating_sub(BEFORE_KILL);
    let in_flight = shared.begin_stop(kill);
    log::info!(event = "stopping", in_flight; "stopping");
    let moved = shared.settings.address_ttl * KEPT_LONGER + MARGIN;
    Timer::at((began + moved).min(kill)).await;
    drop(end_sessions);
    while shared.state().in_flight > 0 && Instant::now() < kill {
        Timer::after(LOOK_EVERY).await;
    }
    Timer::after(LAST_BYTES).await;
    let in_flight = shared.state().in_flight;
    log::info!(event = "stopped", in_flight; "stopped");
}
