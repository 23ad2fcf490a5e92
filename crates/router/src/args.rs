//! The command line.

use std::path::PathBuf;

use argh::FromArgs;
use briarhall_settings::Invocation;

/// Take callers' requests, admit, limit, route and stream the answers.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// settings file, in YAML
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings and exit: 0 if they are valid, 2 if not
    #[argh(switch)]
    check_settings: bool,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

impl From<Args> for Invocation {
    fn from(args: Args) -> Self {
        Self {
            program: "briarhall-router",
            version: env!("CARGO_PKG_VERSION"),
            settings: args.settings,
            check_settings: args.check_settings,
            print_version: args.version,
        }
    }
}
