//! What can go wrong with a site.

use std::io;
use std::path::PathBuf;

use briarhall_net::HttpError;
use thiserror::Error;

/// Says what went wrong with a site.
#[derive(Debug, Error)]
pub enum SiteError {
    /// A program could not be started.
    #[error("cannot start {program}: {source}; build it first with `cargo build`")]
    Start {
        /// The program.
        program: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A program started and did not become ready.
    #[error("{name} did not say where it listens; see {log}", log = log.display())]
    NotListening {
        /// The process.
        name: String,
        /// Its log.
        log: PathBuf,
    },
    /// A file could not be written.
    #[error("cannot write {path}: {source}", path = path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A router did not come to the state that was waited for.
    #[error("router {router} is not {what}: {seen}")]
    NotReady {
        /// What was waited for.
        what: String,
        /// The router.
        router: String,
        /// Its status.
        seen: String,
    },
    /// A command failed.
    #[error("`{command}` failed: {output}")]
    Command {
        /// The command.
        command: String,
        /// What it printed.
        output: String,
    },
    /// No router runs.
    #[error("no router runs")]
    NoRouter,
    /// A process did not answer.
    #[error(transparent)]
    Http(#[from] HttpError),
}
