//! What a caller concludes from what came back.

/// What a caller may conclude.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The whole answer, as it should be.
    Answered,
    /// A refusal that says nothing ran, with its status.
    NotRun(u16),
    /// It may have run.
    Unknown(u16),
    /// No final answer came: the connection broke or fell silent, and the
    /// caller may send again.
    Lost(String),
    /// Part of another request's answer came, or a token twice, or one is
    /// missing.
    Crossed,
}
