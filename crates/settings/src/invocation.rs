//! Command-line handling shared by the programs that have a settings file.

use std::path::Path;
use std::path::PathBuf;

use thiserror::Error;

use crate::Findings;

/// The command line of a program that has a settings file.
#[derive(Debug, Clone)]
pub struct Invocation {
    /// Name of the program.
    pub program: &'static str,
    /// Its version.
    pub version: &'static str,
    /// Path of the settings file.
    pub settings: Option<PathBuf>,
    /// Whether to check the settings and stop.
    pub check_settings: bool,
    /// Whether to print the version and stop.
    pub print_version: bool,
}

/// Error in a command line or in settings.
#[derive(Debug, Error)]
pub enum InvocationError {
    /// `--settings` was not given.
    #[error("{0}: `--settings` is missing; name the settings file")]
    NoSettings(&'static str),
    /// The settings are invalid.
    #[error(transparent)]
    Findings(#[from] Findings),
}

impl Invocation {
    /// Returns the validated settings, or `None` when the command line asks only
    /// for the version or for a check.
    ///
    /// # Errors
    ///
    /// Returns an error when `--settings` is missing, or all errors in the
    /// settings.
    pub fn checked<T, F>(&self, read: F) -> Result<Option<T>, InvocationError>
    where
        F: FnOnce(&Path) -> Result<T, Findings>,
    {
        if self.print_version {
            println!("{} {}", self.program, self.version);
            return Ok(None);
        }
        let missing = || InvocationError::NoSettings(self.program);
        let path = self.settings.as_ref().ok_or_else(missing)?;
        let settings = read(path)?;
        if self.check_settings {
            println!("{}: the settings are valid", path.display());
            return Ok(None);
        }
        Ok(Some(settings))
    }
}
