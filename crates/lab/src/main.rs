//! `briarhall-lab`: load tests and experiments on loopback.

mod args;
mod chaos;
mod claims;
mod demo;
mod error;
mod experiment;
mod fit;
mod slopes;

use std::process::ExitCode;

use mimalloc::MiMalloc;

use crate::args::Args;
use crate::args::Command;
use crate::error::LabError;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const EXIT_FAILED: u8 = 1;
const EXIT_BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    match run(&argh::from_env::<Args>()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(match e {
                LabError::Usage(_) => EXIT_BAD_INPUT,
                _ => EXIT_FAILED,
            })
        }
    }
}

fn run(args: &Args) -> Result<(), LabError> {
    if args.version {
        println!("briarhall-lab {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    match &args.command {
        Some(Command::Demo(demo)) => demo::run(demo),
        Some(Command::Experiment(experiment)) => experiment::run(experiment),
        Some(Command::Chaos(chaos)) => chaos::run(chaos),
        Some(Command::Slopes(slopes)) => slopes::run(slopes),
        Some(Command::Claims(claims)) => claims::run(claims),
        None => Err(LabError::Usage("name what to run; see `--help`".to_owned())),
    }
}
