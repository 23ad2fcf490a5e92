//! Switches that make the stand-in misbehave.

use serde::Deserialize;
use serde::Serialize;

/// How the platform is down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It is not.
    #[default]
    None,
    /// It answers 503.
    Refuse,
    /// It takes connections and never answers.
    Hang,
}

/// What goes wrong from now on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether it is down.
    pub outage: Outage,
    /// Delay of each answer, in milliseconds.
    pub slow_ms: u64,
    /// Of each hundred writes, how many take effect and lose their answer.
    pub lost_answers_percent: u8,
    /// Revisions by which plain reads are behind.
    pub stale_by: u64,
}
