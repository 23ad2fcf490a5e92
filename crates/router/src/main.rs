//! `briarhall-router`: admits, limits, routes and retries callers' requests, and
//! streams the answers.
//!
//! One thread holds all control state and handles typed messages; the traffic
//! threads do the I/O of requests and ask it for decisions.

mod args;
mod control;
mod error;
mod identity;
mod mesh;
mod operator;
mod peers;
mod start;
mod traffic;

use std::process::ExitCode;

use briarhall_settings::Invocation;
use briarhall_settings::read_router_settings;
use mimalloc::MiMalloc;

use crate::args::Args;
use crate::error::StartError;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const EXIT_FAILED: u8 = 1;
const EXIT_BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    let args = argh::from_env::<Args>();
    match run(&args.into()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            exit_code(&e)
        }
    }
}

fn run(invocation: &Invocation) -> Result<(), StartError> {
    let Some(settings) = invocation.checked(read_router_settings)? else {
        return Ok(());
    };
    start::run(&settings)
}

fn exit_code(e: &StartError) -> ExitCode {
    match e {
        StartError::Invocation(_) => ExitCode::from(EXIT_BAD_INPUT),
        _ => ExitCode::from(EXIT_FAILED),
    }
}
