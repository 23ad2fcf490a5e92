//! The command line.

use std::path::PathBuf;

use argh::FromArgs;
use briarhall_settings::StewardSettings;
use briarhall_settings::read_steward_settings;

use crate::error::StartError;

/// Free engine memory that nobody owns and give engines their orders.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// file with the settings, in YAML
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings and exit, 0 if they are right and 2 if not
    #[argh(switch)]
    check_settings: bool,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

impl Args {
    /// Returns the settings, or nothing when the command is done already.
    ///
    /// # Errors
    ///
    /// Returns everything wrong with the settings.
    pub fn checked_settings(&self) -> Result<Option<StewardSettings>, StartError> {
        if self.version {
            println!("briarhall-steward {}", env!("CARGO_PKG_VERSION"));
            return Ok(None);
        }
        let missing = "`--settings` is missing; name the file with the settings";
        let path = self
            .settings
            .as_ref()
            .ok_or_else(|| StartError::Usage(missing.to_owned()))?;
        let settings = read_steward_settings(path)?;
        if self.check_settings {
            println!("{}: the settings are right", path.display());
            return Ok(None);
        }
        Ok(Some(settings))
    }
}
