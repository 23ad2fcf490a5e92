//! Errors of calls to an endpoint.

use briarhall_net::FailurePoint;
use briarhall_net::HttpError;
use thiserror::Error;

/// Whether the endpoint may have run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// The endpoint did not run it.
    NotRun,
    /// The endpoint may have run it.
    MayHaveRun,
}

/// Why an endpoint refused a request before running it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalKind {
    /// It takes no new work.
    Draining,
    /// It has no capacity now.
    Full,
    /// The prompt can never fit.
    TooLarge,
    /// Something the request depends on is gone, such as a reservation.
    Conflict,
    /// It does not understand the request.
    Invalid,
}

/// An error that occurs when a call to an endpoint fails.
#[derive(Debug, Error)]
pub enum EngineError {
    /// It refused before running anything.
    #[error("the endpoint refused: {reason}")]
    Refused {
        /// Kind of refusal.
        kind: RefusalKind,
        /// The endpoint's reason.
        reason: String,
    },
    /// The call failed.
    #[error(transparent)]
    Http(#[from] HttpError),
}

impl EngineError {
    /// Returns whether the endpoint may have run the request.
    #[must_use]
    pub fn run_status(&self) -> RunStatus {
        match self {
            Self::Refused { .. } => RunStatus::NotRun,
            Self::Http(e) => match e.failure_point() {
                FailurePoint::BeforeSend => RunStatus::NotRun,
                FailurePoint::AfterSend => RunStatus::MayHaveRun,
            },
        }
    }
}
