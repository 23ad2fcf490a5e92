//! Errors of a site.

use std::io;
use std::path::PathBuf;

use briarhall_net::HttpError;
use thiserror::Error;

/// An error while starting or calling a site.
#[derive(Debug, Error)]
pub enum SiteError {
    /// A program could not be started.
    #[error("cannot start {program}: {source}; build it first with `cargo build`")]
    Start {
        /// Path of the program.
        program: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A program started but printed no startup line with the expected address.
    #[error("{name} did not print its listen address; see {log}", log = log.display())]
    NotListening {
        /// Name of the process.
        name: String,
        /// Path of its log.
        log: PathBuf,
    },
    /// A file could not be written.
    #[error("cannot write {path}: {source}", path = path.display())]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A router did not reach the expected state in time.
    #[error("router {router} is not {what}: {last_status}")]
    NotReady {
        /// The expected state.
        what: String,
        /// Name of the router.
        router: String,
        /// Its last status, or the error of the last call.
        last_status: String,
    },
    /// A command failed.
    #[error("`{command}` failed: {output}")]
    Command {
        /// The command line.
        command: String,
        /// Its standard error.
        output: String,
    },
    /// The site has no router.
    #[error("the site has no router")]
    NoRouter,
    /// A call to a process failed.
    #[error(transparent)]
    Http(#[from] HttpError),
}
