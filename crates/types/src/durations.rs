//! Text form of durations in settings and contracts: `250ms`, `5s`, `10m`, `24h`.

use std::time::Duration;

use thiserror::Error;

const MILLIS_PER_SECOND: u64 = 1_000;
const MILLIS_PER_MINUTE: u64 = 60 * MILLIS_PER_SECOND;
const MILLIS_PER_HOUR: u64 = 60 * MILLIS_PER_MINUTE;

/// An error that occurs when a text is not a duration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "`{text}` is not a duration; write a whole number and a unit, such as 250ms, 5s, 10m or 24h"
)]
pub struct DurationTextError {
    text: String,
}

/// Parses a duration such as `250ms` or `10m`.
///
/// # Errors
///
/// Returns an error when the number or the unit is missing or unknown, or the
/// duration does not fit in 64 bits of milliseconds.
pub fn parse_duration(text: &str) -> Result<Duration, DurationTextError> {
    let error = || DurationTextError {
        text: text.to_owned(),
    };
    let digits = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(error)?;
    let (number, unit) = text.split_at(digits);
    let number = number.parse::<u64>().map_err(|_e| error())?;
    let scale = match unit {
        "ms" => 1,
        "s" => MILLIS_PER_SECOND,
        "m" => MILLIS_PER_MINUTE,
        "h" => MILLIS_PER_HOUR,
        _ => return Err(error()),
    };
    let millis = number.checked_mul(scale).ok_or_else(error)?;
    Ok(Duration::from_millis(millis))
}

/// Formats a duration in whole milliseconds, with the largest unit that divides
/// it.
#[must_use]
pub fn format_duration(duration: Duration) -> String {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let units = [
        (MILLIS_PER_HOUR, "h"),
        (MILLIS_PER_MINUTE, "m"),
        (MILLIS_PER_SECOND, "s"),
    ];
    for (scale, unit) in units {
        if millis > 0 && millis.is_multiple_of(scale) {
            return format!("{}{unit}", millis / scale);
        }
    }
    format!("{millis}ms")
}

/// Serde adapter for fields of type [`Duration`].
pub mod duration_text {
    use std::time::Duration;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;

    /// Writes a duration as text.
    ///
    /// # Errors
    ///
    /// Returns the serializer's error.
    pub fn serialize<S>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&super::format_duration(*duration))
    }

    /// Reads a duration from text.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is not a duration.
    pub fn deserialize<'de, D>(deserializer: D) -> Result<Duration, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        super::parse_duration(&text).map_err(D::Error::custom)
    }
}
