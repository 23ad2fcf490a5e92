//! A TCP proxy that delays, closes and silences connections.
//!
//! Faults are set over HTTP on a separate port. A silenced connection stays open
//! and never carries another byte; connections opened later work.

use std::future::pending;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use async_net::TcpListener;
use async_net::TcpStream;
use briarhall_net::Body;
use briarhall_net::Executor;
use briarhall_net::Handler;
use briarhall_net::json;
use briarhall_net::read_limited;
use briarhall_net::status;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::future;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;

const MAX_BODY_BYTES: usize = 64 * 1024;
const BUFFER_BYTES: usize = 64 * 1024;

/// Faults for new bytes and new connections.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyFaults {
    /// Delay of bytes toward the server, in milliseconds.
    pub delay_to_ms: u64,
    /// Delay of bytes from the server, in milliseconds.
    pub delay_from_ms: u64,
    /// Whether new connections are closed immediately.
    pub refuse: bool,
    /// Whether new connections stay open and carry nothing.
    pub silent: bool,
    /// Bytes from the server after which a connection is closed.
    pub cut_from_after: Option<u64>,
    /// Bytes from the server after which a connection carries nothing more.
    pub silent_from_after: Option<u64>,
}

/// Action on all connections that are currently open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OpenConnections {
    /// Close them.
    Cut,
    /// Keep them open and carry nothing more.
    Silence,
}

#[derive(Debug, Default)]
struct State {
    target: Option<SocketAddr>,
    proxy_address: Option<SocketAddr>,
    faults: ProxyFaults,
    open: Vec<Sender<OpenConnections>>,
    accepted: u64,
}

/// The proxy and its faults.
#[derive(Debug, Clone, Default)]
pub struct Proxy {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    FromServer,
}

impl Proxy {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forwards connections forever, to `target` or to the address that is set later. Its
    /// own address is known from now on, not from when the future first runs.
    pub fn run(
        self,
        listener: TcpListener,
        target: Option<SocketAddr>,
        executor: Executor,
    ) -> impl Future<Output = ()> + Send + 'static {
        let mut state = self.state();
        state.target = target;
        state.proxy_address = listener.local_addr().ok();
        drop(state);
        async move {
            loop {
                let Ok((client, _peer)) = listener.accept().await else {
                    continue;
                };
                let proxy = self.clone();
                executor.detach(async move { proxy.forward(client).await });
            }
        }
    }

    async fn forward(&self, client: TcpStream) {
        let (faults, actions) = self.register();
        let Some(target) = self.state().target else {
            return;
        };
        if faults.refuse {
            return;
        }
        if faults.silent {
            pending::<()>().await;
        }
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        // Without `TCP_NODELAY` forwarding is only slower.
        let _result = client.set_nodelay(true);
        let _result = server.set_nodelay(true);
        let to = self.copy(client.clone(), server.clone(), Direction::ToServer);
        let from = self.copy(server.clone(), client.clone(), Direction::FromServer);
        let both = async {
            future::zip(to, from).await;
            None
        };
        let action = async { actions.recv().await.ok() };
        // An action stops both copies; `Silence` leaves the sockets open.
        if future::or(both, action).await == Some(OpenConnections::Silence) {
            pending::<()>().await;
        }
        let _gone = client.shutdown(Shutdown::Both);
        let _gone = server.shutdown(Shutdown::Both);
    }

    fn register(&self) -> (ProxyFaults, Receiver<OpenConnections>) {
        let (tx, rx) = async_channel::bounded(1);
        let mut state = self.state();
        state.accepted += 1;
        state.open.retain(|tx| !tx.is_closed());
        state.open.push(tx);
        (state.faults, rx)
    }

    async fn copy(&self, mut from: TcpStream, mut to: TcpStream, direction: Direction) {
        let mut buf = vec![0; BUFFER_BYTES];
        let mut forwarded_bytes = 0;
        while let Ok(n) = from.read(&mut buf).await {
            if n == 0 {
                break;
            }
            let faults = self.state().faults;
            let delay = match direction {
                Direction::ToServer => faults.delay_to_ms,
                Direction::FromServer => faults.delay_from_ms,
            };
            if delay > 0 {
                Timer::after(Duration::from_millis(delay)).await;
            }
            forwarded_bytes += n as u64;
            if direction == Direction::FromServer {
                if faults
                    .silent_from_after
                    .is_some_and(|limit| forwarded_bytes > limit)
                {
                    pending::<()>().await;
                }
                if faults
                    .cut_from_after
                    .is_some_and(|limit| forwarded_bytes > limit)
                {
                    let _gone = from.shutdown(Shutdown::Both);
                    break;
                }
            }
            if to.write_all(&buf[..n]).await.is_err() {
                break;
            }
        }
        let _gone = to.shutdown(Shutdown::Write);
    }

    /// Applies `action` to all connections that are currently open.
    pub fn fault_open_connections(&self, action: OpenConnections) {
        for tx in self.state().open.drain(..) {
            // An action has no effect on a connection that has ended.
            let _ended = tx.try_send(action);
        }
    }
}

impl Handler for Proxy {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let Ok(body) = read_limited(req.into_body(), MAX_BODY_BYTES).await else {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match path.as_str() {
            "/carried" => json(StatusCode::OK, &self.state().proxy_address),
            "/target" => match serde_json::from_slice(&body) {
                Ok(target) => {
                    self.state().target = Some(target);
                    status(StatusCode::OK)
                }
                Err(_e) => status(StatusCode::BAD_REQUEST),
            },
            "/faults" => match serde_json::from_slice(&body) {
                Ok(faults) => {
                    self.state().faults = faults;
                    status(StatusCode::OK)
                }
                Err(_e) => status(StatusCode::BAD_REQUEST),
            },
            "/open" => match serde_json::from_slice(&body) {
                Ok(action) => {
                    self.fault_open_connections(action);
                    status(StatusCode::OK)
                }
                Err(_e) => status(StatusCode::BAD_REQUEST),
            },
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}
