//! What can go wrong towards an endpoint.

use briarhall_net::HttpError;
use briarhall_net::Phase;
use thiserror::Error;

/// Whether the endpoint may have run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ran {
    /// It certainly did not.
    No,
    /// It may have.
    Perhaps,
}

/// Why an endpoint refused a request before running it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It takes no new work.
    Draining,
    /// It has no room now.
    Full,
    /// The prompt can never fit.
    TooLarge,
    /// Something the request rests on is gone, such as a reservation.
    Conflict,
    /// It does not understand the request.
    Invalid,
}

/// Says why an endpoint gave no answer.
#[derive(Debug, Error)]
pub enum EngineError {
    /// It refused before running anything.
    #[error("the endpoint refused: {reason}")]
    Refused {
        /// Kind of refusal.
        kind: Refused,
        /// What it said.
        reason: String,
    },
    /// The call failed.
    #[error(transparent)]
    Http(#[from] HttpError),
}

impl EngineError {
    /// Returns whether the endpoint may have run the request.
    #[must_use]
    pub fn ran(&self) -> Ran {
        match self {
            Self::Refused { .. } => Ran::No,
            Self::Http(e) => match e.phase() {
                Phase::BeforeSend => Ran::No,
                Phase::AfterSend => Ran::Perhaps,
            },
        }
    }
}
