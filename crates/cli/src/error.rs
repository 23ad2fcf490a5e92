//! Errors of commands and their exit codes.

use std::io;
use std::path::PathBuf;

use briarhall_net::HttpError;
use briarhall_settings::Findings;
use briarhall_types::Problem;
use thiserror::Error;

const EXIT_FAILED: u8 = 1;
const EXIT_BAD_INPUT: u8 = 2;

/// Reason why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The command line is invalid.
    #[error("briarhall: {0}")]
    Usage(String),
    /// A file is invalid.
    #[error("{0}")]
    Findings(#[from] Findings),
    /// A file cannot be read.
    #[error("{path}: cannot be read: {source}; check the path and its permissions", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// No log line names the request.
    #[error(
        "briarhall: no log line names request `{0}`; pass the logs of every gateway that may have handled it"
    )]
    UnknownRequest(String),
    /// The router did not answer.
    #[error("briarhall: {0}; check `--router`, or name another router")]
    Call(#[from] HttpError),
    /// The router refused the request.
    #[error("briarhall: {title} ({status}): {detail}", title = .0.title, status = .0.status, detail = .0.detail)]
    Refused(Problem),
    /// A contract was written and is not yet in force at enough routers.
    #[error(
        "briarhall: version {0} is written and pending: it is not yet in force at enough routers; check again with `briarhall contract list`"
    )]
    Pending(u64),
}

impl CommandError {
    /// Returns the exit code: 2 for bad input, 1 for everything else.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Findings(_) | Self::Read { .. } => EXIT_BAD_INPUT,
            Self::Refused(problem) if problem.status == 422 || problem.status == 400 => {
                EXIT_BAD_INPUT
            }
            _ => EXIT_FAILED,
        }
    }
}
