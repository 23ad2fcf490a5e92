//! Stand-in for a model engine.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use briarhall_net::ServerOptions;
use briarhall_net::serve;
use briarhall_standins::engine::EngineHandler;
use briarhall_standins::engine::EngineOptions;
use briarhall_standins::engine::Limits;
use briarhall_standins::engine::Model;
use briarhall_standins::run;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// One thread can process a long prompt while the other runs the engine's clock.
const THREADS: usize = 2;

/// stand-in for a model engine, for tests and the lab
#[derive(Debug, FromArgs)]
struct Args {
    /// address to listen on; port 0 picks a free one
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// engine to simulate: `plain`, or `sheet` for the users' engines
    #[argh(option, default = "Model::default()")]
    model: Model,
    /// simulated seconds per real second
    #[argh(option, default = "10.0")]
    time_scale: f64,
    /// KV memory, in tokens
    #[argh(option, default = "400_000")]
    kv_tokens: u64,
    /// lag of load reports, in milliseconds
    #[argh(option, default = "50")]
    report_lag_ms: u64,
    /// reject orders with an old fencing token
    #[argh(switch)]
    checks_fencing: bool,
    /// percentage of cache events that are lost
    #[argh(option, default = "5")]
    lost_events: u64,
}

fn main() -> ExitCode {
    let args = argh::from_env::<Args>();
    let options = EngineOptions {
        model: args.model,
        limits: Limits {
            kv_tokens: args.kv_tokens,
            ..Limits::default()
        },
        time_scale: args.time_scale,
        report_lag: Duration::from_millis(args.report_lag_ms),
        checks_fencing: args.checks_fencing,
        lost_events_percent: args.lost_events,
    };
    let started = run(args.listen, THREADS, |listener, executor| {
        let handler = EngineHandler::new(options, &executor);
        executor.detach(handler.clone().run_clock());
        serve(listener, executor, ServerOptions::default(), handler)
    });
    match started {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin-engine: {e}");
            ExitCode::FAILURE
        }
    }
}
