//! Engines that the stand-in can simulate: the parameters from which their
//! timing is computed.

use std::str::FromStr;

use briarhall_types::EngineSpec;
use thiserror::Error;

/// Engine that the stand-in simulates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Model {
    /// Steps of 10 ms and more, prefill in proportion to length.
    #[default]
    Plain,
    /// The engine of the users' sheet: a pass has many steps, the cost of prefill
    /// grows faster than the length, and parts of prompts for other engines are
    /// prefilled before its own prompts.
    Sheet,
}

/// Error for the name of an unknown engine.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{0}` is not an engine model; use plain or sheet")]
pub struct UnknownModel(String);

impl FromStr for Model {
    type Err = UnknownModel;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "plain" => Ok(Self::Plain),
            "sheet" => Ok(Self::Sheet),
            _ => Err(UnknownModel(text.to_owned())),
        }
    }
}

impl Model {
    /// Returns the engine's parameters.
    #[must_use]
    pub fn spec(self) -> EngineSpec {
        match self {
            Self::Plain => EngineSpec {
                slots: 256,
                kv_tokens: 400_000,
                stride: 1,
                step_ms: 10.0,
                per_request_ms: 0.1,
                context_per_k_ms: 0.0,
                prefill_tokens_per_ms: 20.0,
                pairs_per_m_ms: 0.0,
                chunk: 1_024,
            },
            Self::Sheet => EngineSpec {
                slots: 16,
                kv_tokens: 405_000,
                stride: 34,
                step_ms: 1.31,
                per_request_ms: 0.000_917,
                context_per_k_ms: 0.002_13,
                prefill_tokens_per_ms: 154.0,
                pairs_per_m_ms: 0.162,
                chunk: 2_048,
            },
        }
    }

    /// Returns whether parts for other engines are prefilled before own prompts.
    pub(super) fn parts_first(self) -> bool {
        self == Self::Sheet
    }
}
