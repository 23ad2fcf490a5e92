//! Limits on client connections, as the configuration sets them.

use briarhall_net::SessionLimits;
use briarhall_types::ClientLimits;

/// Returns the limits that a configuration sets on client connections.
pub fn session_limits(limits: ClientLimits) -> SessionLimits {
    SessionLimits {
        max_header_bytes: limits.max_header_bytes,
        header_timeout: limits.header_timeout,
        idle_timeout: limits.idle_timeout,
    }
}
