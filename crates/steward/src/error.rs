//! Why a steward could not start.

use std::io;

use briarhall_net::LogError;
use briarhall_net::MetricsError;
use briarhall_net::SpawnThreadsError;
use briarhall_settings::InvocationError;
use thiserror::Error;

/// Says why a steward could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The command line or the settings are wrong.
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
    /// Signals could not be watched.
    #[error("briarhall-steward: cannot watch for signals: {0}")]
    Signals(io::Error),
}
