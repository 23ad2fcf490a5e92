//! Graceful shutdown: clients move to other gateways first, then the requests
//! in flight end, then the process does.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use async_io::Timer;
use briarhall_net::Sessions;
use briarhall_policy::in_flight::RequestInFlight;

use crate::attempt::elapsed_ms;
use crate::state::Shared;
use crate::state::StopLimits;

/// Clients may cache a directory answer for three times its time to live.
const MAX_CACHE_TTL_FACTOR: u32 = 3;
/// Margin for the other gateways to learn of the stop, and for inaccurate
/// clocks of clients.
const PROPAGATION_MARGIN: Duration = Duration::from_millis(300);
/// Time in which a process notices the signal, on a VM with little processor time.
const SIGNAL_MARGIN: Duration = Duration::from_millis(250);
/// Time between two checks for requests in flight.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which connections that were accepted last may send a request.
const LAST_CONNECTIONS_TIME: Duration = Duration::from_millis(400);
/// Time to send the last bytes of the last answer.
const FLUSH_DELAY: Duration = Duration::from_millis(60);
/// Longest time to send it, and the answers to what is still in flight at the end.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Time before the process is killed at which it ends what is still in flight. On a VM with
/// a tenth of a core the signal, each timer and the last writes wait for up to 90 ms each.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// Shuts a gateway down. Dropping `end_sessions` closes idle connections.
pub async fn stop(shared: &Arc<Shared>, sessions: &Sessions, end_sessions: Sender<()>) {
    let start = Instant::now();
    let stop_deadline = start + shared.settings.grace.saturating_sub(KILL_MARGIN);
    let cached_for = shared.settings.address_ttl * MAX_CACHE_TTL_FACTOR;
    let in_flight = shared.begin_stop(StopLimits {
        unaware_until: start + cached_for.saturating_sub(SIGNAL_MARGIN),
        late_answers_until: stop_deadline.checked_sub(SIGNAL_MARGIN).unwrap_or(start),
        deadline: stop_deadline,
    });
    log::info!(event = "stopping", in_flight; "gateway stopping");
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
    let cut = shared.end_requests();
    flush(sessions).await;
    log_stopped(&cut, start);
}

/// Waits until the last answers are written, for a moment at most.
async fn flush(sessions: &Sessions) {
    let ends = Instant::now() + FLUSH_TIMEOUT;
    Timer::after(FLUSH_DELAY).await;
    while !sessions.are_idle() && Instant::now() < ends {
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// Logs the end of the process, and the requests that were in flight then.
fn log_stopped(cut: &[RequestInFlight], stop_began: Instant) {
    for request in cut {
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
    let in_flight = cut.len();
    log::info!(event = "stopped", in_flight, stopping_ms = elapsed_ms(stop_began); "gateway stopped");
}
