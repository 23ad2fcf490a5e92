//! What every program with settings does with its command line.

use std::path::Path;
use std::path::PathBuf;

use thiserror::Error;

use crate::Findings;

/// The command line of a program with settings.
#[derive(Debug, Clone)]
pub struct Invocation {
    /// Name of the program.
    pub program: &'static str,
    /// Its version.
    pub version: &'static str,
    /// File with the settings.
    pub settings: Option<PathBuf>,
    /// Whether to check the settings and stop.
    pub check_settings: bool,
    /// Whether to print the version and stop.
    pub print_version: bool,
}

/// Says what is wrong with a command line or with settings.
#[derive(Debug, Error)]
pub enum InvocationError {
    /// The file with the settings is not named.
    #[error("{0}: `--settings` is missing; name the file with the settings")]
    NoSettings(&'static str),
    /// The settings are wrong.
    #[error(transparent)]
    Findings(#[from] Findings),
}

impl Invocation {
    /// Returns the settings, or nothing when the program is done already.
    ///
    /// # Errors
    ///
    /// Returns everything wrong with the settings.
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
            println!("{}: the settings are right", path.display());
            return Ok(None);
        }
        Ok(Some(settings))
    }
}
