//! Errors of `briarhall-lab`.

use briarhall_lab::site::SiteError;
use briarhall_net::SpawnThreadsError;
use thiserror::Error;

/// An error that ends `briarhall-lab`.
#[derive(Debug, Error)]
pub enum LabError {
    /// The command line is invalid.
    #[error("briarhall-lab: {0}")]
    Usage(String),
    /// The lab's own threads could not be started.
    #[error("briarhall-lab: {0}")]
    Threads(#[from] SpawnThreadsError),
    /// The site could not be started, called or stopped.
    #[error("briarhall-lab: {0}")]
    Site(#[from] SiteError),
    /// The counts show a lost request, a repeated effect, a wrong answer or an
    /// untrue refusal.
    #[error("briarhall-lab: something was lost, doubled, crossed or untrue; see the counts")]
    NotClean,
}
