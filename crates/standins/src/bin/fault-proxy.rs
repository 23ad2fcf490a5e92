//! A TCP proxy that injects faults between processes.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use briarhall_net::ServerOptions;
use briarhall_net::bind;
use briarhall_net::serve;
use briarhall_standins::proxy::Proxy;
use briarhall_standins::run;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// TCP proxy that delays, closes and silences connections, for tests and the lab
#[derive(Debug, FromArgs)]
struct Args {
    /// address of the HTTP interface that sets faults; port 0 picks a free one
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// address whose connections are forwarded; port 0 picks a free one
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    proxy: SocketAddr,
    /// address that connections are forwarded to; may be set later
    #[argh(option)]
    target: Option<SocketAddr>,
}

fn main() -> ExitCode {
    let args = argh::from_env::<Args>();
    let proxy_listener = match bind(args.proxy) {
        Ok(listener) => listener,
        Err(e) => {
            eprintln!(
                "fault-proxy: cannot listen on {}: {e}; choose another `--proxy`",
                args.proxy
            );
            return ExitCode::FAILURE;
        }
    };
    let started = run(args.listen, 2, |listener, executor| {
        let proxy = Proxy::default();
        executor.detach(
            proxy
                .clone()
                .run(proxy_listener, args.target, executor.clone()),
        );
        serve(listener, executor, ServerOptions::default(), proxy)
    });
    match started {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("fault-proxy: {e}");
            ExitCode::FAILURE
        }
    }
}
