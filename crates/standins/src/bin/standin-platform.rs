//! Stand-in for the platform: objects, list of VMs, weight store.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use briarhall_net::ServerOptions;
use briarhall_net::serve;
use briarhall_standins::platform::PlatformHandler;
use briarhall_standins::platform::PlatformOptions;
use briarhall_standins::run;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// stand-in for the platform, for tests and the lab
#[derive(Debug, FromArgs)]
struct Args {
    /// address to listen on; port 0 picks a free one
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// writes per second
    #[argh(option, default = "400.0")]
    writes: f64,
    /// reads per second, including watches
    #[argh(option, default = "2000.0")]
    reads: f64,
    /// bytes per second from the weight store
    #[argh(option, default = "1e9")]
    weight_bytes: f64,
    /// lag of the list of VMs, in milliseconds
    #[argh(option, default = "1000")]
    vm_lag_ms: u64,
}

fn main() -> ExitCode {
    let args = argh::from_env::<Args>();
    let handler = PlatformHandler::new(PlatformOptions {
        writes_per_second: args.writes,
        reads_per_second: args.reads,
        weight_bytes_per_second: args.weight_bytes,
        vm_lag: Duration::from_millis(args.vm_lag_ms),
    });
    let started = run(args.listen, 2, |listener, executor| {
        serve(listener, executor, ServerOptions::default(), handler)
    });
    match started {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin-platform: {e}");
            ExitCode::FAILURE
        }
    }
}
