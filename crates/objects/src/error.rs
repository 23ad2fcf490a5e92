//! Errors of calls to the platform, classified by what the caller may conclude.

use std::time::Duration;

use briarhall_net::FailurePoint;
use briarhall_net::HttpError;
use briarhall_types::Revision;
use hyper::StatusCode;
use thiserror::Error;

/// An error that occurs when a call to the platform fails.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The precondition of a write failed; nothing was written.
    #[error("the object changed meanwhile; it is at version {current:?}")]
    Conflict {
        /// Version the object has, if it exists.
        current: Option<Revision>,
    },
    /// There is no such object.
    #[error("there is no such object")]
    NotFound,
    /// The platform's rate limit refused the call; nothing was written.
    #[error("the platform refused the call for its rate; come back in {retry_after:?}")]
    Limited {
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// The platform is down; nothing was written.
    #[error("the platform is not available: {reason}")]
    Unavailable {
        /// Description of the failure.
        reason: String,
    },
    /// No answer came; a write may have taken effect.
    #[error("no answer from the platform, the write may have taken effect: {reason}")]
    Uncertain {
        /// Description of the failure.
        reason: String,
    },
    /// The platform no longer has the history that a watch needs; list again.
    #[error("the watch fell behind; list again")]
    Expired,
    /// The answer was not of the expected form.
    #[error("the platform's answer is not understood: {reason}")]
    Malformed {
        /// What was wrong.
        reason: String,
    },
}

impl PlatformError {
    /// Returns whether a write that failed with this error may have taken effect.
    #[must_use]
    pub fn may_have_written(&self) -> bool {
        matches!(self, Self::Uncertain { .. } | Self::Malformed { .. })
    }
}

impl From<&HttpError> for PlatformError {
    /// A call that was not sent changed nothing; one that was sent may have.
    fn from(e: &HttpError) -> Self {
        let reason = e.to_string();
        match e.failure_point() {
            FailurePoint::BeforeSend => Self::Unavailable { reason },
            FailurePoint::AfterSend => Self::Uncertain { reason },
        }
    }
}

impl PlatformError {
    /// Returns the error for the status of a failed call; `current` is the version
    /// that the answer to a conflict holds.
    #[must_use]
    pub fn from_status(code: StatusCode, current: Option<Revision>, retry_after: Duration) -> Self {
        let reason = || format!("status {code}");
        match code {
            StatusCode::CONFLICT => Self::Conflict { current },
            StatusCode::NOT_FOUND => Self::NotFound,
            StatusCode::GONE => Self::Expired,
            StatusCode::TOO_MANY_REQUESTS => Self::Limited { retry_after },
            StatusCode::SERVICE_UNAVAILABLE => Self::Unavailable { reason: reason() },
            _ => Self::Uncertain { reason: reason() },
        }
    }
}
