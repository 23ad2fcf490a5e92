//! Estimates of token counts and the length classes used in reports.

use serde::Deserialize;
use serde::Serialize;

/// Bytes of prompt text that make one token, on average.
pub const BYTES_PER_TOKEN: u64 = 4;

/// Estimates the tokens of a prompt from its length in bytes.
#[must_use]
pub fn estimate_tokens(bytes: usize) -> u64 {
    (bytes as u64).div_ceil(BYTES_PER_TOKEN).max(1)
}

/// Length class of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LengthClass {
    /// Up to 4,000 tokens.
    Short,
    /// Up to 30,000 tokens.
    Medium,
    /// Up to 100,000 tokens.
    Long,
    /// Up to 400,000 tokens.
    Huge,
    /// More than 400,000 tokens.
    Giant,
}

impl LengthClass {
    /// Every class, shortest first.
    pub const ALL: [Self; 5] = [
        Self::Short,
        Self::Medium,
        Self::Long,
        Self::Huge,
        Self::Giant,
    ];

    /// Returns the class of a prompt of `tokens` tokens.
    #[must_use]
    pub fn of(tokens: u64) -> Self {
        match tokens {
            0..=4_000 => Self::Short,
            4_001..=30_000 => Self::Medium,
            30_001..=100_000 => Self::Long,
            100_001..=400_000 => Self::Huge,
            _ => Self::Giant,
        }
    }

    /// Returns the name used in reports.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Medium => "medium",
            Self::Long => "long",
            Self::Huge => "huge",
            Self::Giant => "giant",
        }
    }
}
