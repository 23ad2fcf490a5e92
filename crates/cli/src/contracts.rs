//! Commands on contracts.

use briarhall_settings::read_contract;
use briarhall_types::Contract;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::args::ApplyArgs;
use crate::args::Args;
use crate::args::CheckArgs;
use crate::args::ContractCommand;
use crate::args::DiffArgs;
use crate::client::Client;
use crate::error::CommandError;
use crate::show;

const NOT_FOUND: u16 = 404;

#[derive(Debug, Deserialize)]
struct VersionedContract {
    version: u64,
    contract: Contract,
}

#[derive(Debug, Serialize)]
struct ApplyCall<'a> {
    from_version: Option<u64>,
    contract: &'a Contract,
}

#[derive(Debug, Serialize, Deserialize)]
struct ApplyReply {
    version: u64,
    state: String,
    took_ms: u64,
}

/// Runs a command on contracts.
///
/// # Errors
///
/// Returns an error when the command fails.
pub fn run(args: &Args, command: &ContractCommand) -> Result<(), CommandError> {
    match command {
        ContractCommand::Check(check) => check_files(check),
        ContractCommand::Apply(apply) => apply_file(args, apply),
        ContractCommand::Diff(diff) => diff_file(args, diff),
        ContractCommand::List(_) => list(args),
    }
}

fn check_files(check: &CheckArgs) -> Result<(), CommandError> {
    if check.files.is_empty() {
        let usage = "name at least one file to check";
        return Err(CommandError::Usage(usage.to_owned()));
    }
    let mut result = Ok(());
    for path in &check.files {
        match read_contract(path) {
            Ok(contract) => println!(
                "{}: the contract of {} is valid",
                path.display(),
                contract.customer
            ),
            Err(findings) => {
                if let Err(previous) = result {
                    eprintln!("{previous}");
                }
                result = Err(CommandError::Findings(findings));
            }
        }
    }
    result
}

fn apply_file(args: &Args, apply: &ApplyArgs) -> Result<(), CommandError> {
    let contract = read_contract(&apply.file)?;
    let client = Client::new(args)?;
    let from_version = match apply.from_version {
        Some(version) => Some(version),
        None => fetch_in_force(&client, &contract.customer)?.map(|current| current.version),
    };
    let path = format!("/operator/contracts/{}", contract.customer);
    let call = ApplyCall {
        from_version,
        contract: &contract,
    };
    let reply = client.put::<_, ApplyReply>(&path, &call)?;
    if reply.state != "accepted" {
        return Err(CommandError::Pending(reply.version));
    }
    if args.json {
        show::json(&reply);
    } else {
        println!(
            "{}: accepted as version {} after {} ms",
            contract.customer, reply.version, reply.took_ms
        );
    }
    Ok(())
}

fn diff_file(args: &Args, diff: &DiffArgs) -> Result<(), CommandError> {
    let contract = read_contract(&diff.file)?;
    let client = Client::new(args)?;
    let before = fetch_in_force(&client, &contract.customer)?;
    let before = before.map(|current| serde_json::to_value(current.contract).unwrap_or_default());
    let after = serde_json::to_value(&contract).unwrap_or_default();
    show::differences(&before.unwrap_or_default(), &after);
    Ok(())
}

fn list(args: &Args) -> Result<(), CommandError> {
    let contracts = Client::new(args)?.get::<Value>("/operator/contracts")?;
    if args.json {
        show::json(&contracts);
    } else {
        show::contracts(&contracts);
    }
    Ok(())
}

fn fetch_in_force(
    client: &Client,
    customer: &str,
) -> Result<Option<VersionedContract>, CommandError> {
    match client.get(&format!("/operator/contracts/{customer}")) {
        Ok(current) => Ok(Some(current)),
        Err(CommandError::Refused(problem)) if problem.status == NOT_FOUND => Ok(None),
        Err(e) => Err(e),
    }
}
