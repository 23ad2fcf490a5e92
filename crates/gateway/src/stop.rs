//! Graceful shutdown: clients move to other gateways first, then the requests
//! in flight end, then the process does.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use async_io::Timer;
use briarhall_net::Sessions;

use crate::attempt::elapsed_ms;
use crate::state::Shared;
use crate::state::StopLimits;

/// Clients may cache a directory answer for three times its time to live.
const MAX_CACHE_TTL_FACTOR: u32 = 3;
/// Margin for the other gateways to learn of the stop, and for inaccurate
/// clocks of clients.
const PROPAGATION_MARGIN: Duration = Duration::from_millis(300);
/// Margin for the clocks of clients, and for answers that take until their deadline.
const LATE_MARGIN: Duration = Duration::from_millis(100);
/// Time between two checks for requests in flight.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which connections that were accepted last may send a request.
const LAST_CONNECTIONS_TIME: Duration = Duration::from_millis(400);
/// Time to send the last bytes of the last answer.
const FLUSH_DELAY: Duration = Duration::from_millis(60);
/// Time before the process is killed at which it answers what is still in flight: a VM with
/// a tenth of a core writes some hundred answers in it.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Time before the process is killed at which it ends by itself. On such a VM each timer is
/// up to 90 ms late.
const KILL_MARGIN: Duration = Duration::from_millis(200);

/// Shuts a gateway down that was sent a signal at `start` or later. Dropping `end_sessions`
/// closes idle connections.
pub async fn stop(
    shared: &Arc<Shared>,
    sessions: &Sessions,
    end_sessions: Sender<()>,
    start: Instant,
) {
    let grace = shared.settings.grace;
    let stop_deadline = start + grace.saturating_sub(ANSWER_MARGIN);
    let cached_for = shared.settings.address_ttl * MAX_CACHE_TTL_FACTOR;
    let in_flight = shared.begin_stop(StopLimits {
        unaware_until: start + cached_for.saturating_sub(LATE_MARGIN),
        late_answers_until: stop_deadline.checked_sub(LATE_MARGIN).unwrap_or(start),
        deadline: stop_deadline,
    });
    let noticed_ms = elapsed_ms(start);
    log::info!(event = "stopping", in_flight, noticed_ms; "gateway stopping");
    let client_move_time = cached_for + PROPAGATION_MARGIN;
    Timer::at((start + client_move_time).min(stop_deadline)).await;
    drop(end_sessions);
    let is_busy = || !shared.state().in_flight.is_empty() || !sessions.are_idle();
    while is_busy() && Instant::now() < stop_deadline {
        Timer::after(CHECK_INTERVAL).await;
    }
    sessions.stop_accepting();
    let stopped_at = Instant::now();
    let may_send = || stopped_at.elapsed() < LAST_CONNECTIONS_TIME && !sessions.have_ended();
    let have_ended =
        || !may_send() && sessions.are_idle() && shared.state().in_flight.close_if_empty();
    while !have_ended() && Instant::now() < stop_deadline {
        Timer::after(CHECK_INTERVAL).await;
    }
    shared.end_requests();
    flush(sessions, start + grace.saturating_sub(KILL_MARGIN)).await;
    log_stopped(shared, start);
}

/// Waits until the last answers are written, and their clients have read them, until `ends`
/// at most.
async fn flush(sessions: &Sessions, ends: Instant) {
    Timer::after(FLUSH_DELAY).await;
    while !sessions.are_idle() && Instant::now() < ends {
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// Logs the end of the process, and the requests that are still in flight.
fn log_stopped(shared: &Shared, stop_began: Instant) {
    let state = shared.state();
    let in_flight = state.in_flight.len();
    for request in state.in_flight.iter() {
        let (replica, sent_ms) = match &request.sent {
            Some((replica, at)) => (replica.as_str(), elapsed_ms(*at)),
            None => ("", 0),
        };
        log::warn!(
            event = "cut_by_stop",
            request = request.id.as_str(),
            replica,
            sent_ms,
            age_ms = elapsed_ms(request.arrived),
            stopping_ms = elapsed_ms(stop_began);
            "the process ends before the request does"
        );
    }
    drop(state);
    log::info!(event = "stopped", in_flight, stopping_ms = elapsed_ms(stop_began); "gateway stopped");
}
