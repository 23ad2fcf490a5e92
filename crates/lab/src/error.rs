//! Why a run of the lab failed.

use briarhall_lab::site::SiteError;
use briarhall_net::SpawnThreadsError;
use thiserror::Error;

/// Says why a run failed.
#[derive(Debug, Error)]
pub enum LabError {
    /// The command line is wrong.
    #[error("briarhall-lab: {0}")]
    Usage(String),
    /// The lab's threads could not be started.
    #[error("briarhall-lab: {0}")]
    Threads(#[from] SpawnThreadsError),
    /// The site failed.
    #[error("briarhall-lab: {0}")]
    Site(#[from] SiteError),
    /// Something was lost, doubled, crossed or untrue.
    #[error("briarhall-lab: something was lost, doubled, crossed or untrue; see the counts")]
    NotClean,
}
