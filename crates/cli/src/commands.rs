//! The top-level commands.

use std::fs;
use std::io;

use briarhall_explain::read_lines;
use briarhall_explain::timeline;
use briarhall_types::Digest;
use serde_json::Value;

use crate::args::Args;
use crate::args::AuditArgs;
use crate::args::Command;
use crate::args::DigestArgs;
use crate::args::ExplainArgs;
use crate::args::KeyCommand;
use crate::client::Client;
use crate::contracts;
use crate::error::CommandError;
use crate::show;

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the command fails.
pub fn run(args: &Args) -> Result<(), CommandError> {
    if args.version {
        println!("briarhall {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let Some(command) = &args.command else {
        let usage = "name a command: contract, status, audit, drain, key or explain; see `--help`";
        return Err(CommandError::Usage(usage.to_owned()));
    };
    match command {
        Command::Contract(contract) => contracts::run(args, &contract.command),
        Command::Status(_) => status(args),
        Command::Audit(audit) => show_audit(args, audit),
        Command::Drain(_) => drain(args),
        Command::Key(key) => match &key.command {
            KeyCommand::Digest(digest) => print_digest(digest),
        },
        Command::Explain(explain) => print_timeline(explain),
    }
}

fn status(args: &Args) -> Result<(), CommandError> {
    let status = Client::new(args)?.get::<Value>("/operator/status")?;
    if args.json {
        show::json(&status);
    } else {
        show::status(&status);
    }
    Ok(())
}

fn show_audit(args: &Args, audit: &AuditArgs) -> Result<(), CommandError> {
    let path = match &audit.customer {
        Some(customer) => format!("/operator/audit?customer={customer}"),
        None => "/operator/audit".to_owned(),
    };
    let entries = Client::new(args)?.get::<Value>(&path)?;
    if args.json {
        show::json(&entries);
    } else {
        show::audit(&entries);
    }
    Ok(())
}

fn drain(args: &Args) -> Result<(), CommandError> {
    Client::new(args)?.post("/operator/drain")?;
    println!(
        "the router is draining: it leaves the list of addresses and stops after its last request has ended"
    );
    Ok(())
}

fn print_digest(digest: &DigestArgs) -> Result<(), CommandError> {
    let path = digest.file.clone();
    let key = fs::read_to_string(&path).map_err(|source| CommandError::Read { path, source })?;
    println!("{}", Digest::of(key.trim().as_bytes()));
    Ok(())
}

fn print_timeline(args: &ExplainArgs) -> Result<(), CommandError> {
    let mut lines = Vec::new();
    for path in &args.files {
        let text = if path.as_os_str() == "-" {
            io::read_to_string(io::stdin())
        } else {
            fs::read_to_string(path)
        };
        let text = text.map_err(|source| CommandError::Read {
            path: path.clone(),
            source,
        })?;
        let origin = path.file_stem().map(|name| name.to_string_lossy());
        lines.extend(read_lines(&text, &origin.unwrap_or_default()));
    }
    let entries = timeline(&args.request, &lines);
    if entries.is_empty() {
        return Err(CommandError::UnknownRequest(args.request.clone()));
    }
    for entry in entries {
        println!("{entry}");
    }
    Ok(())
}
