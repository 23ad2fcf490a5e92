//! Errors at start-up.

use std::io;

use briarhall_net::LogError;
use briarhall_net::MetricsError;
use briarhall_net::SpawnThreadsError;
use briarhall_settings::InvocationError;
use thiserror::Error;

/// Says why a steward could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The command line or the settings are invalid.
    #[error(transparent)]
    Invocation(#[from] InvocationError),
    /// Logging could not start.
    #[error("briarhall-steward: {0}")]
    Log(#[from] LogError),
    /// Metrics could not start.
    #[error("briarhall-steward: {0}")]
    Metrics(#[from] MetricsError),
    /// A thread could not be started.
    #[error("briarhall-steward: {0}")]
    Threads(#[from] SpawnThreadsError),
    /// Signal handlers could not be installed.
    #[error("briarhall-steward: cannot install signal handlers: {0}")]
    Signals(io::Error),
}
