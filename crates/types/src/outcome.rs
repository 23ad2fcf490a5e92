//! What a caller may conclude from a final answer.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer was delivered.
    Answered,
    /// It provably did not run: no byte of it was sent to an endpoint, or the
    /// endpoint refused it before running it.
    NotRun,
    /// It may have run; nothing more is known.
    Unknown,
}

impl Outcome {
    /// Name of the response header that carries an outcome.
    pub const HEADER: &'static str = "briarhall-outcome";

    /// Returns the text form used in headers and events.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Parses the text form.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        match text {
            "answered" => Some(Self::Answered),
            "not-run" => Some(Self::NotRun),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
