//! Command-line flags.

use argh::FromArgs;

/// Start a site of stand-ins and routers on loopback, send load, and check what
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

/// The subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Demo(DemoArgs),
    Experiment(ExperimentArgs),
    Chaos(ChaosArgs),
    Slopes(SlopesArgs),
    Claims(ClaimsArgs),
}

/// run 3 routers, 20 engines, 3 services and 2 customers under mixed load;
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

/// compare policies with the same arrivals: short requests' slowdown and time to
/// first token by length, at several loads, numbers of routers and seeds
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct ExperimentArgs {
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
    /// policies, separated by commas
    #[argh(
        option,
        default = "\"round-robin,least-requests,two-choices,lanes\".to_owned()"
    )]
    pub policies: String,
    /// engine model: `sheet`, with the figures of the users' sheet, or `plain`,
    /// whose prefill time is proportional to prompt length
    #[argh(option, default = "\"sheet\".to_owned()")]
    pub engine: String,
    /// objectives of both contracts, separated by commas
    #[argh(option, default = "\"short-slowdown\".to_owned()")]
    pub objectives: String,
    /// loads in per cent of the fleet's prefill capacity, separated by commas
    #[argh(option, default = "\"50,80,110\".to_owned()")]
    pub loads: String,
    /// numbers of routers, separated by commas
    #[argh(option, default = "\"3\".to_owned()")]
    pub routers: String,
    /// seeds, separated by commas
    #[argh(option, default = "\"1,2\".to_owned()")]
    pub seeds: String,
    /// seconds of each run
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// lag of load reports, in milliseconds of real time
    #[argh(option, default = "50")]
    pub report_lag_ms: u64,
    /// prompts of a million tokens in each run; one occupies a `sheet` engine for
    /// more than a minute
    #[argh(option, default = "1")]
    pub giants: u64,
    /// kill an engine half-way through each run
    #[argh(switch)]
    pub kill_engine: bool,
}

/// send mixed load under random kills, freezes, connection failures and platform
/// outages for a bounded time; exits 1 if anything was lost, doubled, crossed or
/// untrue, or if an engine still holds memory at the end
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "chaos")]
pub struct ChaosArgs {
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
    /// seed of the load and of the faults
    #[argh(option, default = "1")]
    pub seed: u64,
    /// seconds of load and faults
    #[argh(option, default = "30")]
    pub seconds: u64,
}

/// measure the cost of the control plane for several numbers of routers,
/// replicas, contracts, changes and requests, and fit a line to each
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct SlopesArgs {
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
    /// seconds of each measurement
    #[argh(option, default = "6")]
    pub seconds: u64,
}

/// measure claims per second and the platform writes per second they need
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "claims")]
pub struct ClaimsArgs {
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
    /// seconds of each measurement
    #[argh(option, default = "5")]
    pub seconds: u64,
}
