//! The command line.

use argh::FromArgs;

/// Start a site of stand-ins and routers on loopback, drive it, and check what
/// callers see.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
    /// what to run
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// What to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Demo.
    Demo(DemoArgs),
}

/// three routers, 20 engines, 3 services and two customers under mixed load;
/// ends within a minute, exits 1 if anything was lost, doubled, crossed or
/// untrue
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
    /// seed of the load
    #[argh(option, default = "1")]
    pub seed: u64,
}
