//! `briarhall-steward`: frees engine memory that nobody owns and sends engines
//! their orders.
//!
//! Leases in the object API split the endpoints between stewards. A steward that
//! stops or pauses does not affect requests.

mod args;
mod error;
mod leases;
mod orders;
mod sweep;

use std::io;
use std::io::Write;
use std::process::ExitCode;
use std::sync::Arc;

use async_signal::Signal;
use async_signal::Signals;
use briarhall_endpoint::EngineClient;
use briarhall_net::Executor;
use briarhall_net::HttpClient;
use briarhall_net::LogTarget;
use briarhall_net::Logging;
use briarhall_net::Metrics;
use briarhall_net::TimerRuntime;
use briarhall_objects::HttpObjectApi;
use briarhall_settings::Invocation;
use briarhall_settings::StewardSettings;
use briarhall_settings::read_steward_settings;
use briarhall_types::new_id;
use futures_lite::StreamExt;
use mimalloc::MiMalloc;
use serde::Serialize;

use crate::args::Args;
use crate::error::StartError;
use crate::leases::Steward;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const EXIT_FAILED: u8 = 1;
const EXIT_BAD_INPUT: u8 = 2;

/// Line on standard output that tells the parent process the steward's name.
#[derive(Debug, Serialize)]
struct Ready<'a> {
    steward: &'a str,
}

fn main() -> ExitCode {
    let args = argh::from_env::<Args>();
    match run(&args.into()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(match e {
                StartError::Invocation(_) => EXIT_BAD_INPUT,
                _ => EXIT_FAILED,
            })
        }
    }
}

fn run(invocation: &Invocation) -> Result<(), StartError> {
    let Some(settings) = invocation.checked(read_steward_settings)? else {
        return Ok(());
    };
    let _logging = Logging::start(&settings.log, LogTarget::Stderr)?;
    let metrics = Metrics::start("briarhall.steward", settings.metrics_address)?;
    let timers = TimerRuntime::start()?;
    let executor = Executor::default();
    let steward = steward(&settings, &executor, metrics);
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(StartError::Signals)?;
    print_name(&steward.name);
    timers.block_on(&executor, async {
        steward.start();
        signals.next().await;
        steward.release_all().await;
    });
    Ok(())
}

fn steward(
    settings: &StewardSettings,
    executor: &Executor,
    metrics: Metrics,
) -> Arc<Steward<HttpObjectApi>> {
    let client = HttpClient::new(executor.clone());
    let platform = HttpObjectApi::new(client.clone(), settings.platform, settings.platform_limit);
    let name = format!("{}/{}", settings.zone, new_id().simple());
    Arc::new(Steward::new(
        name.into(),
        settings.clone(),
        platform,
        EngineClient::new(client),
        executor.clone(),
        metrics,
    ))
}

fn print_name(steward: &str) {
    let line = serde_json::to_string(&Ready { steward }).unwrap_or_default();
    let mut out = io::stdout().lock();
    // Standard output may be closed; the steward does not depend on it.
    let _closed = writeln!(out, "{line}");
    let _unflushed = out.flush();
}
