//! HTTP server over hyper.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::time::Duration;

use async_io::Async;
use async_net::TcpListener;
use async_net::TcpStream;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;

use crate::Body;
use crate::Executor;

/// Connections that may wait to be accepted. At the default of 128, clients in a
/// burst wait a second until they send their SYN again.
const LISTEN_BACKLOG: i32 = 4_096;
/// The same for a listener with few places: most of a burst is turned away at once instead
/// of waiting for another SYN.
const MIN_BACKLOG: i32 = 128;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Answers requests.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        &self,
        req: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Limits on what a client may send.
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// Time for a request's head to arrive.
    pub header_timeout: Duration,
    /// Maximum length of a request's head, in bytes.
    pub max_header_bytes: usize,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            max_header_bytes: 64 * 1024,
        }
    }
}

/// Bytes in the buffers of a client's connection. Without a bound the system lets them grow
/// to megabytes for each.
pub(crate) const SOCKET_BUFFER_BYTES: usize = 16 * 1024;

/// Largest TCP segment, that of an Ethernet frame.
const MAX_SEGMENT_BYTES: u32 = 1_460;

/// Opens a listening socket.
///
/// # Errors
///
/// Returns the system's error, such as when the address is in use.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    listen(listening_socket(address)?, address, LISTEN_BACKLOG)
}

/// Opens a listening socket whose connections have small buffers in the system, and at which
/// about as many connections wait as there are `places`.
///
/// # Errors
///
/// Returns the system's error, such as when the address is in use.
pub fn bind_bounded(address: SocketAddr, places: usize) -> io::Result<TcpListener> {
    let socket = listening_socket(address)?;
    // Connections inherit them.
    bound_buffers(&socket, SOCKET_BUFFER_BYTES)?;
    let backlog = i32::try_from(places).unwrap_or(LISTEN_BACKLOG);
    listen(socket, address, backlog.clamp(MIN_BACKLOG, LISTEN_BACKLOG))
}

/// Bounds the bytes in the system's buffers of a connection that is not open yet. With
/// segments as large as the buffers, as on loopback, both ends would wait for timers.
fn bound_buffers(socket: &Socket, bytes: usize) -> io::Result<()> {
    socket.set_recv_buffer_size(bytes)?;
    socket.set_send_buffer_size(bytes)?;
    if let Err(e) = socket.set_tcp_mss(MAX_SEGMENT_BYTES) {
        log::debug!(error = e.to_string().as_str(); "cannot bound the segments of a connection");
    }
    Ok(())
}

fn listening_socket(address: SocketAddr) -> io::Result<Socket> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    Ok(socket)
}

fn listen(socket: Socket, address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    let listener = Async::<StdListener>::new(socket.into())?;
    Ok(listener.into())
}

/// Accepts connections forever and answers each request with `handler`.
pub async fn serve<H>(listener: TcpListener, executor: Executor, options: ServerOptions, handler: H)
where
    H: Handler,
{
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let handler = handler.clone();
                executor.detach(serve_connection(stream, peer, options, handler));
            }
            Err(e) => {
                // Most likely out of file descriptors: wait for some to be closed.
                log::warn!(error = e.to_string().as_str(); "cannot accept a connection");
                async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<H>(
    stream: TcpStream,
    peer: SocketAddr,
    options: ServerOptions,
    handler: H,
) where
    H: Handler,
{
    // Without `TCP_NODELAY` answers are only slower.
    let _result = stream.set_nodelay(true);
    let service = service_fn(|req| {
        let handler = handler.clone();
        async move { Ok::<_, io::Error>(handler.handle(req, peer).await) }
    });
    let served = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(options.header_timeout)
        .max_buf_size(options.max_header_bytes)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
    if let Err(e) = served {
        log::debug!(peer = peer.to_string().as_str(), error = e.to_string().as_str(); "connection ended");
    }
}
