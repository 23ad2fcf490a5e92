//! When clients may come back that a stopping gateway refuses while no other one serves.
//!
//! All come back at once if each is told the moment at which gateways serve again. So the
//! order in which they were refused is kept, over a short time after that moment.

use std::time::Duration;
use std::time::Instant;

/// Time from the end of a process until the one that replaces it serves.
pub const RESTART_TIME: Duration = Duration::from_secs(1);
/// Time over which clients come back.
const SPREAD: Duration = Duration::from_secs(1);

/// Returns how long a client waits that is refused now, when this gateway has refused
/// clients since `refusing_since` and gateways serve again at `serving_at`.
#[must_use]
pub fn time_to_return(refusing_since: Instant, serving_at: Instant, now: Instant) -> Duration {
    let wait = serving_at.saturating_duration_since(now);
    let outage = serving_at.saturating_duration_since(refusing_since);
    let refusing_for = now.saturating_duration_since(refusing_since);
    let share = if outage.is_zero() {
        1.0
    } else {
        (refusing_for.as_secs_f64() / outage.as_secs_f64()).min(1.0)
    };
    wait + SPREAD.mul_f64(share)
}
