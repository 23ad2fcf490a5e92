//! Start-up shared by the stand-ins: threads, a socket, and one line of output
//! with the address that is listened on.

use std::io;
use std::io::Write;
use std::net::SocketAddr;

use async_net::TcpListener;
use briarhall_net::Executor;
use briarhall_net::SpawnThreadsError;
use briarhall_net::Threads;
use briarhall_net::TimerRuntime;
use briarhall_net::bind;
use serde::Serialize;
use thiserror::Error;

/// Reason why a stand-in could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// No thread could be started.
    #[error(transparent)]
    Threads(#[from] SpawnThreadsError),
    /// The address could not be used.
    #[error("cannot listen on {address}: {source}; choose another `--listen`")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

#[derive(Debug, Serialize)]
struct Ready {
    listening: SocketAddr,
}

/// Listens on `address`, prints the bound address to standard output, and runs
/// `server` forever on `threads` threads.
///
/// # Errors
///
/// Returns an error when a thread cannot be started or the address cannot be
/// bound.
pub fn run<F, S>(address: SocketAddr, threads: usize, server: S) -> Result<(), StartError>
where
    S: FnOnce(TcpListener, Executor) -> F,
    F: Future<Output = ()>,
{
    let executor = Executor::default();
    let timers = TimerRuntime::start()?;
    Threads::start("standin", threads.saturating_sub(1), &executor, &timers)?;
    let bind_error = |source| StartError::Bind { address, source };
    let listener = bind(address).map_err(bind_error)?;
    let listening = listener.local_addr().map_err(bind_error)?;
    announce(&Ready { listening });
    timers.block_on(&executor, server(listener, executor.clone()));
    Ok(())
}

fn announce(ready: &Ready) {
    let line = serde_json::to_string(ready).unwrap_or_default();
    let mut out = io::stdout().lock();
    // Standard output may be a closed pipe when the stand-in is started by hand;
    // the stand-in also runs without it.
    let _closed = writeln!(out, "{line}");
    let _unflushed = out.flush();
}
