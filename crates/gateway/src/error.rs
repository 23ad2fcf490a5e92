//! What keeps a gateway from starting.

use std::io;
use std::net::SocketAddr;

use briarhall_net::LogError;
use briarhall_net::MetricsError;
use briarhall_net::SpawnThreadsError;
use thiserror::Error;

/// Says why a gateway could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Logging.
    #[error(transparent)]
    Log(#[from] LogError),
    /// Metrics.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// A thread.
    #[error(transparent)]
    Threads(#[from] SpawnThreadsError),
    /// A socket.
    #[error("cannot listen on {address} for `{field}`: {source}; is another process there?")]
    Bind {
        /// Setting that names the address.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// Signals.
    #[error("cannot take signals: {0}")]
    Signals(io::Error),
}
