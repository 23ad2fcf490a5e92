//! Errors returned to callers, as problem documents (RFC 9457).

use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::Outcome;

/// A problem document with two members beyond the standard ones: the outcome,
/// and the time after which to retry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Kind of the problem, a URI reference.
    #[serde(rename = "type")]
    pub kind: CompactString,
    /// Short summary of the kind.
    pub title: CompactString,
    /// HTTP status.
    pub status: u16,
    /// What happened this time and what to do.
    pub detail: String,
    /// The outcome of the request.
    pub outcome: Outcome,
    /// Seconds after which to retry, if a retry is useful.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after: Option<u64>,
}

impl Problem {
    /// Media type of a problem document.
    pub const MEDIA_TYPE: &'static str = "application/problem+json";

    /// Creates a problem whose request did not run.
    #[must_use]
    pub fn not_run(status: u16, slug: &str, detail: impl Into<String>) -> Self {
        Self {
            kind: CompactString::from(format!("/problems/{slug}")),
            title: CompactString::from(slug.replace('-', " ")),
            status,
            detail: detail.into(),
            outcome: Outcome::NotRun,
            retry_after: None,
        }
    }

    /// Creates a problem whose request may have run.
    #[must_use]
    pub fn unknown(status: u16, slug: &str, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(status, slug, detail)
        }
    }

    /// Changes the outcome to unknown if the request may have run.
    #[must_use]
    pub fn unknown_if(mut self, may_have_run: bool) -> Self {
        if may_have_run {
            self.outcome = Outcome::Unknown;
        }
        self
    }

    /// Sets the time after which to retry, rounded up to whole seconds.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        let rounded_up = delay.as_secs() + u64::from(delay.subsec_nanos() > 0);
        self.retry_after = Some(rounded_up.max(1));
        self
    }
}
