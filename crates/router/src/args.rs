//! The command line.

use std::path::PathBuf;

use argh::FromArgs;
use briarhall_settings::RouterSettings;
use briarhall_settings::read_router_settings;

use crate::error::StartError;

/// Take callers' requests, admit, limit, route and stream the answers.
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
    pub fn checked_settings(&self) -> Result<Option<RouterSettings>, StartError> {
        if self.version {
            println!("briarhall-router {}", env!("CARGO_PKG_VERSION"));
            return Ok(None);
        }
        let missing = "`--settings` is missing; name the file with the settings";
        let path = self
            .settings
            .as_ref()
            .ok_or_else(|| StartError::Usage(missing.to_owned()))?;
        let settings = read_router_settings(path)?;
        if self.check_settings {
            println!("{}: the settings are right", path.display());
            return Ok(None);
        }
        Ok(Some(settings))
    }
}
