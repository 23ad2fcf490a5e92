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
    /// Experiment.
    Experiment(ExperimentArgs),
    /// Chaos.
    Chaos(ChaosArgs),
    /// Slopes.
    Slopes(SlopesArgs),
    /// Claims.
    Claims(ClaimsArgs),
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

/// compare policies with the same arrivals: short requests' slowdown and time to
/// first token by length, at several loads, numbers of routers and seeds
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct ExperimentArgs {
    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
    /// policies, with commas
    #[argh(
        option,
        default = "\"round-robin,least-requests,two-choices,lanes\".to_owned()"
    )]
    pub policies: String,
    /// what the engines are: `sheet`, as the users' engines, or `plain`, with
    /// prefill in proportion to length
    #[argh(option, default = "\"sheet\".to_owned()")]
    pub engine: String,
    /// objectives of both contracts, with commas
    #[argh(option, default = "\"short-slowdown\".to_owned()")]
    pub objectives: String,
    /// loads in per cent of the fleet's prefill capacity, with commas
    #[argh(option, default = "\"50,80,110\".to_owned()")]
    pub loads: String,
    /// numbers of routers, with commas
    #[argh(option, default = "\"3\".to_owned()")]
    pub routers: String,
    /// seeds, with commas
    #[argh(option, default = "\"1,2\".to_owned()")]
    pub seeds: String,
    /// seconds of each run
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// lag of load reports, in milliseconds of real time
    #[argh(option, default = "50")]
    pub report_lag_ms: u64,
    /// prompts of a million tokens in each run; one takes an engine of the sheet
    /// over a minute
    #[argh(option, default = "1")]
    pub giants: u64,
    /// kill an engine half-way through each run
    #[argh(switch)]
    pub kill_engine: bool,
}

/// mixed load under random kills, freezes, cuts and platform outages for a
/// bounded time; exits 1 if anything was lost, doubled, crossed or untrue, or
/// if an engine keeps memory
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

/// measure what control costs against the numbers of routers, replicas,
/// contracts, changes and requests, and fit a line to each
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

/// measure claims a second against the platform's writes a second
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
