//! `briarhall`: the operators' command-line tool.

mod args;
mod client;
mod commands;
mod contracts;
mod error;
mod show;

use std::process::ExitCode;

use mimalloc::MiMalloc;

use crate::args::Args;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    let args = argh::from_env::<Args>();
    match commands::run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(e.exit_code())
        }
    }
}
