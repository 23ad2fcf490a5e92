//! Errors that keep a gateway from starting.

use std::io;
use std::net::SocketAddr;

use briarhall_net::LogError;
use briarhall_net::MetricsError;
use briarhall_net::SpawnThreadsError;
use thiserror::Error;

/// Says why a gateway could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Logging cannot be set up.
    #[error(transparent)]
    Log(#[from] LogError),
    /// Metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// Threads cannot be started.
    #[error(transparent)]
    Threads(#[from] SpawnThreadsError),
    /// An address cannot be bound.
    #[error(
        "cannot listen on {address} for `{field}`: {source}; is another process listening there?"
    )]
    Bind {
        /// Setting that names the address.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// Error of the system call.
        source: io::Error,
    },
    /// Signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
}
