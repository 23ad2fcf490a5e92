//! Outcome of a call as its caller sees it.

/// Outcome of a call as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete answer came and is correct.
    Answered,
    /// Refused with this HTTP status; the refusal states that the request did not
    /// run.
    NotRun(u16),
    /// Failed with this HTTP status; the request may have run.
    Unknown(u16),
    /// No final answer came because the connection broke or carried no more data,
    /// for the given reason. The caller may send the request again.
    Lost(String),
    /// The answer has part of another request's answer, a repeated token or a
    /// missing one.
    WrongAnswer,
}
