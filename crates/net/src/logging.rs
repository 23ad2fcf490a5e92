//! Logs as JSON lines on standard error.

use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::json_format;
use thiserror::Error;

/// tarpc logs two lines for each call at `info`.
const LIBRARY_LEVELS: &str = "tarpc=warn";

/// Says why logging could not start.
#[derive(Debug, Error)]
#[error(
    "log levels `{levels}` are not understood: {source}; write a level, or pairs such as `info,briarhall_router=debug`"
)]
pub struct LogError {
    levels: String,
    source: FlexiLoggerError,
}

/// Keeps the logger alive.
#[must_use = "logging stops when this is dropped"]
pub struct Logging {
    _handle: LoggerHandle,
}

impl std::fmt::Debug for Logging {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Logging").finish_non_exhaustive()
    }
}

impl Logging {
    /// Starts logging at `levels`, such as `info` or
    /// `warn,briarhall_router=debug`.
    ///
    /// # Errors
    ///
    /// Returns an error when the levels are not understood.
    pub fn start(levels: &str) -> Result<Self, LogError> {
        let error = |source| LogError {
            levels: levels.to_owned(),
            source,
        };
        let handle = Logger::try_with_str(format!("{levels},{LIBRARY_LEVELS}"))
            .map_err(error)?
            .format(json_format)
            .log_to_stderr()
            .start()
            .map_err(error)?;
        Ok(Self { _handle: handle })
    }
}
