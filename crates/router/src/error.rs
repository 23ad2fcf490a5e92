//! Errors at start-up.

use std::io;
use std::net::SocketAddr;

use briarhall_net::LogError;
use briarhall_net::MetricsError;
use briarhall_net::SpawnThreadsError;
use briarhall_settings::InvocationError;
use thiserror::Error;

/// Says why a router could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The command line or the settings are invalid.
    #[error(transparent)]
    Invocation(#[from] InvocationError),
    /// Logging could not start.
    #[error("briarhall-router: {0}")]
    Log(#[from] LogError),
    /// Metrics could not start.
    #[error("briarhall-router: {0}")]
    Metrics(#[from] MetricsError),
    /// A thread could not be started.
    #[error("briarhall-router: {0}")]
    Threads(#[from] SpawnThreadsError),
    /// An address could not be used.
    #[error(
        "briarhall-router: cannot listen on {address} (`{field}`): {source}; choose a free address"
    )]
    Bind {
        /// Field of the settings.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// The underlying error.
        source: io::Error,
    },
    /// The control thread could not be started.
    #[error("briarhall-router: cannot start the control thread: {0}")]
    ControlThread(io::Error),
    /// Signal handlers could not be installed.
    #[error("briarhall-router: cannot install signal handlers: {0}")]
    Signals(io::Error),
}
