//! Stand-in for a plain service.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use briarhall_net::ServerOptions;
use briarhall_net::serve;
use briarhall_standins::run;
use briarhall_standins::service::ServiceHandler;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// stand-in for a plain service, for tests and the lab
#[derive(Debug, FromArgs)]
struct Args {
    /// address to listen on; port 0 picks a free one
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
}

fn main() -> ExitCode {
    let args = argh::from_env::<Args>();
    let handler = ServiceHandler::default();
    let started = run(args.listen, 1, |listener, executor| {
        serve(listener, executor, ServerOptions::default(), handler)
    });
    match started {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin-service: {e}");
            ExitCode::FAILURE
        }
    }
}
