//! Faults that tests inject into the stand-in.

use serde::Deserialize;
use serde::Serialize;

/// Outage of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Calls are answered with 503.
    Refuse,
    /// Connections are accepted and calls are never answered.
    Hang,
}

/// Faults to inject from now on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage.
    pub outage: Outage,
    /// Delay of each answer, in milliseconds.
    pub slow_ms: u64,
    /// Percentage of writes that take effect and get no answer.
    pub lost_answers_percent: u8,
    /// Times that the answers of all watches were lost: those that were called before it was
    /// raised are never answered, and their connections stay open.
    pub lost_watches: u64,
    /// Number of revisions by which plain reads lag.
    pub stale_by: u64,
}
