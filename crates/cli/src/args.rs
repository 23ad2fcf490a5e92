//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Check, apply, compare and list contracts; read the audit trail and the
/// status; drain a router.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,
    /// operator address of any router
    #[argh(option)]
    pub router: Option<SocketAddr>,
    /// file with the operator's key
    #[argh(option)]
    pub key_file: Option<PathBuf>,
    /// command to run
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// Top-level commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Contracts.
    Contract(ContractArgs),
    /// Status.
    Status(StatusArgs),
    /// Audit trail.
    Audit(AuditArgs),
    /// Drain.
    Drain(DrainArgs),
    /// Keys.
    Key(KeyArgs),
    /// One request's timeline.
    Explain(ExplainArgs),
}

/// print one request's timeline from the logs of one or more gateways
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// id of the request
    #[argh(positional)]
    pub request: String,
    /// files with log lines; `-` for standard input
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// check, apply, compare and list contracts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "contract")]
pub struct ContractArgs {
    /// command to run
    #[argh(subcommand)]
    pub command: ContractCommand,
}

/// Commands on contracts.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ContractCommand {
    /// Check.
    Check(CheckArgs),
    /// Apply.
    Apply(ApplyArgs),
    /// Compare.
    Diff(DiffArgs),
    /// List.
    List(ListArgs),
}

/// check files without a router; exits with 2 and prints every error if one is
/// invalid
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// files with contracts
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// write a contract and wait until it is in force everywhere
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// file with the contract
    #[argh(positional)]
    pub file: PathBuf,
    /// version that the change is based on; the one in force by default
    #[argh(option)]
    pub from_version: Option<u64>,
}

/// show what applying a file would change
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// file with the contract
    #[argh(positional)]
    pub file: PathBuf,
}

/// list contracts, their versions, and whether each is in force everywhere
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "argh derives only for structs with braces"
)]
pub struct ListArgs {}

/// show a router, its peers, contracts and endpoints
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "argh derives only for structs with braces"
)]
pub struct StatusArgs {}

/// show who changed which contract, when, and which fields differ
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct AuditArgs {
    /// only this customer
    #[argh(option)]
    pub customer: Option<String>,
}

/// drain a router: it stops after its last request has ended
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "argh derives only for structs with braces"
)]
pub struct DrainArgs {}

/// compute digests of keys
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub struct KeyArgs {
    /// command to run
    #[argh(subcommand)]
    pub command: KeyCommand,
}

/// Commands on keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum KeyCommand {
    /// Digest.
    Digest(DigestArgs),
}

/// print the digest of the key in a file, for a contract or the settings
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "digest")]
pub struct DigestArgs {
    /// file with the key
    #[argh(positional)]
    pub file: PathBuf,
}
