//! HTTP client over hyper.
//!
//! Each call opens its own connection, which costs a round trip. A pooled
//! connection can be dead without either end knowing, and an answer abandoned on
//! it could be taken for the answer to the next call.

use std::error::Error as _;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use async_executor::Task;
use async_net::TcpStream;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_hyper::rt::FuturesIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use thiserror::Error;

use crate::Body;
use crate::Executor;
use crate::head_limit::HeadArrived;
use crate::head_limit::HeadLimit;
use crate::read_limited;
use crate::timeout;
use crate::upload::Upload;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time before the first keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Keepalive probes without an answer after which a connection is broken.
const KEEPALIVE_PROBES: u32 = 2;
/// Time for sent bytes to be acknowledged, equal to the time that all probes
/// take.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes in the buffers of an exchange with a replica: those of the parser, which hold a head
/// of an answer at most, and those of the system.
const EXCHANGE_BUFFER_BYTES: usize = 32 * 1024;
const EXCHANGE_SOCKET_BYTES: usize = 32 * 1024;
/// Most bytes of a body that is read whole.
pub const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// How far a call had got when it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailurePoint {
    /// No byte of the request had been sent.
    BeforeSend,
    /// Some of the request may have arrived.
    AfterSend,
}

/// An error that occurs when a call fails.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No connection could be opened, so nothing was sent.
    #[error("cannot connect to {address}: {reason}")]
    Connect {
        /// Where the call went.
        address: SocketAddr,
        /// The operating system's error.
        reason: String,
        /// Whether the remote system answered that nothing listens there.
        refused: bool,
    },
    /// The call was not a valid HTTP request, so nothing was sent.
    #[error("cannot build a request to {address}: {reason}")]
    Build {
        /// Where the call went.
        address: SocketAddr,
        /// What was wrong.
        reason: String,
    },
    /// The connection failed after something may have been sent.
    #[error("call to {address} failed: {reason}")]
    Broken {
        /// Where the call went.
        address: SocketAddr,
        /// hyper's error.
        reason: String,
    },
    /// The answer did not come in time.
    #[error("no answer from {address} in time")]
    Elapsed {
        /// Where the call went.
        address: SocketAddr,
    },
    /// The answer was not of the expected form.
    #[error("answer from {address} is not understood: {reason}")]
    Malformed {
        /// Where the call went.
        address: SocketAddr,
        /// What was wrong.
        reason: String,
    },
}

impl HttpError {
    /// Returns how far the call had got.
    #[must_use]
    pub fn failure_point(&self) -> FailurePoint {
        match self {
            Self::Connect { .. } | Self::Build { .. } => FailurePoint::BeforeSend,
            Self::Broken { .. } | Self::Elapsed { .. } | Self::Malformed { .. } => {
                FailurePoint::AfterSend
            }
        }
    }
}

/// One call, built step by step.
#[derive(Debug)]
pub struct Call {
    address: SocketAddr,
    method: Method,
    path: String,
    host: Option<String>,
    headers: Vec<Header>,
    body: Body,
}

#[derive(Debug)]
struct Header {
    name: HeaderName,
    value: HeaderValue,
}

impl Call {
    /// Starts a call.
    #[must_use]
    pub fn new(method: Method, address: SocketAddr, path: impl Into<String>) -> Self {
        Self {
            address,
            method,
            path: path.into(),
            host: None,
            headers: Vec::new(),
            body: Body::empty(),
        }
    }

    /// Starts a `GET`.
    #[must_use]
    pub fn get(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::GET, address, path)
    }

    /// Starts a `POST`.
    #[must_use]
    pub fn post(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::POST, address, path)
    }

    /// Sets a `Host` header other than the address.
    #[must_use]
    pub fn host(mut self, host: impl Into<String>) -> Self {
        self.host = Some(host.into());
        self
    }

    /// Adds a header, unless its value is not valid in HTTP.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl AsRef<str>) -> Self {
        if let Ok(value) = HeaderValue::from_str(value.as_ref()) {
            let name = HeaderName::from_static(name);
            self.headers.push(Header { name, value });
        }
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: Body) -> Self {
        self.body = body;
        self
    }

    /// Sets a JSON body.
    #[must_use]
    pub fn json<T>(self, value: &T) -> Self
    where
        T: Serialize,
    {
        let text = serde_json::to_vec(value).unwrap_or_default();
        self.header("content-type", "application/json")
            .body(Body::full(text))
    }

    fn into_request(self) -> Result<Request<Body>, HttpError> {
        let address = self.address;
        let mut req = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(HOST, self.host.unwrap_or_else(|| address.to_string()))
            .body(self.body)
            .map_err(|e| HttpError::Build {
                address,
                reason: e.to_string(),
            })?;
        for header in self.headers {
            req.headers_mut().append(header.name, header.value);
        }
        Ok(req)
    }
}

/// Makes calls, each on a connection of its own.
#[derive(Debug, Clone)]
pub struct HttpClient {
    executor: Executor,
}

/// Drives a connection; dropping it closes the connection.
pub type Connection = Task<()>;

/// How the body of an answer is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// As fast as it comes.
    Whole,
    /// As fast as a client reads what is passed on.
    Stream,
}

/// An answer whose connection lives as long as this does. Dropping it closes
/// the connection, so that the other end stops working on the request.
#[derive(Debug)]
pub struct Exchange {
    /// The answer's head, and its body as it arrives.
    pub reply: Response<Incoming>,
    /// Drives the connection.
    pub connection: Connection,
}

impl HttpClient {
    /// Creates a client whose connections run on `executor`.
    #[must_use]
    pub fn new(executor: Executor) -> Self {
        Self { executor }
    }

    /// Sends a call and returns the head of the answer, within `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether anything may have been sent.
    pub async fn send(&self, call: Call, limit: Duration) -> Result<Response<Incoming>, HttpError> {
        let address = call.address;
        let req = call.into_request()?;
        let stream = connect(address, limit.min(CONNECT_TIMEOUT)).await?;
        enable_keepalive(&stream);
        // The futures of callers would be large with it.
        let exchange = Box::pin(self.exchange(stream, req, address));
        timeout(limit, exchange)
            .await
            .map_err(|_e| HttpError::Elapsed { address })?
    }

    /// Opens a connection and closes it again, to see whether anything listens.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the connection was refused.
    pub async fn check_listening(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<(), HttpError> {
        connect(address, limit).await.map(drop)
    }

    /// Sends a request that is already built and waits for the head of the
    /// answer without a limit. Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether anything may have been sent.
    pub async fn start(
        &self,
        address: SocketAddr,
        req: Request<Body>,
        connect_limit: Duration,
        reading: Reading,
    ) -> Result<Exchange, HttpError> {
        let broken = |e: hyper::Error| HttpError::Broken {
            address,
            reason: describe(&e),
        };
        let stream = connect(address, connect_limit).await?;
        enable_keepalive(&stream);
        bound_buffers(&stream, reading);
        let arrived = HeadArrived::default();
        let stream = Upload::new(stream, req.body().size_hint().exact());
        let stream = HeadLimit::new(stream, arrived.clone());
        let (mut sender, conn) = http1::Builder::new()
            .max_buf_size(EXCHANGE_BUFFER_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(broken)?;
        let connection = self.executor.spawn(async move {
            // Its error reaches the caller through the answer's body.
            let _seen_by_reader = conn.await;
        });
        let reply = sender.send_request(req).await.map_err(broken)?;
        arrived.set();
        Ok(Exchange { reply, connection })
    }

    async fn exchange(
        &self,
        stream: TcpStream,
        req: Request<Body>,
        address: SocketAddr,
    ) -> Result<Response<Incoming>, HttpError> {
        let broken = |e: hyper::Error| HttpError::Broken {
            address,
            reason: e.to_string(),
        };
        let arrived = HeadArrived::default();
        let stream = Upload::new(stream, req.body().size_hint().exact());
        let stream = HeadLimit::new(stream, arrived.clone());
        let (mut sender, conn) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(broken)?;
        self.executor.detach(async move {
            // Its error reaches the caller through the answer's body.
            let _seen_by_reader = conn.await;
        });
        let reply = sender.send_request(req).await.map_err(broken)?;
        arrived.set();
        Ok(reply)
    }

    /// Sends a call and reads an answer with a success status as long as bytes keep coming,
    /// none later than `max_silence` after the one before, and all within `limit`. Returns its
    /// headers and its body as it came.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails, the status is not a success, or the answer does
    /// not come in time or is too long.
    pub async fn fetch_steadily(
        &self,
        call: Call,
        max_silence: Duration,
        limit: Duration,
    ) -> Result<(HeaderMap, Bytes), HttpError> {
        let address = call.address;
        let elapsed = |_e| HttpError::Elapsed { address };
        let exchange = async {
            let reply = self.send(call, max_silence).await?;
            let (head, mut body) = reply.into_parts();
            if !head.status.is_success() {
                let reason = format!("status {}", head.status);
                return Err(HttpError::Malformed { address, reason });
            }
            let mut buf = BytesMut::new();
            loop {
                let frame = timeout(max_silence, body.frame()).await.map_err(elapsed)?;
                let Some(frame) = frame else {
                    return Ok((head.headers, buf.freeze()));
                };
                let frame = frame.map_err(|e| HttpError::Broken {
                    address,
                    reason: e.to_string(),
                })?;
                let data = frame.into_data().unwrap_or_default();
                if buf.len() + data.len() > MAX_REPLY_BYTES {
                    let reason = format!("longer than {MAX_REPLY_BYTES} bytes");
                    return Err(HttpError::Malformed { address, reason });
                }
                buf.extend_from_slice(&data);
            }
        };
        timeout(limit, exchange).await.map_err(elapsed)?
    }

    /// Sends a call and reads a JSON answer with a success status.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails, the status is not a success, or
    /// the answer is not the expected document.
    pub async fn fetch<T>(&self, call: Call, limit: Duration) -> Result<T, HttpError>
    where
        T: DeserializeOwned,
    {
        let address = call.address;
        let exchange = async {
            let reply = self.send(call, limit).await?;
            let code = reply.status();
            let text = read_limited(reply.into_body(), MAX_REPLY_BYTES)
                .await
                .map_err(|e| HttpError::Broken {
                    address,
                    reason: e.to_string(),
                })?;
            if !code.is_success() {
                return Err(HttpError::Malformed {
                    address,
                    reason: format!("status {code}: {}", String::from_utf8_lossy(&text)),
                });
            }
            serde_json::from_slice(&text).map_err(|e| HttpError::Malformed {
                address,
                reason: e.to_string(),
            })
        };
        timeout(limit, exchange)
            .await
            .map_err(|_e| HttpError::Elapsed { address })?
    }
}

/// Enables keepalive probes, so that a connection is found broken when its
/// other end is gone without having closed it.
///
/// The time limit for acknowledgements also decides when probes give up, whatever their
/// number, so both are the same.
pub fn enable_keepalive(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    let set = socket
        .set_tcp_keepalive(&keepalive)
        .and_then(|()| socket.set_tcp_user_timeout(Some(ACK_TIMEOUT)));
    if let Err(e) = set {
        log::debug!(error = e.to_string().as_str(); "cannot enable keepalive probes");
    }
}

/// Bounds what waits in the system's buffers of an exchange, which otherwise grow to
/// megabytes: what a silent replica does not read, and, of a stream, what its client does not.
/// Whole answers are read as they come.
fn bound_buffers(stream: &TcpStream, reading: Reading) {
    let socket = SockRef::from(stream);
    let mut set = socket.set_send_buffer_size(EXCHANGE_SOCKET_BYTES);
    if reading == Reading::Stream {
        set = set.and_then(|()| socket.set_recv_buffer_size(EXCHANGE_SOCKET_BYTES));
    }
    if let Err(e) = set {
        log::debug!(error = e.to_string().as_str(); "cannot bound the buffers of a connection");
    }
}

/// Formats an error with its cause, which hyper leaves out.
fn describe(e: &hyper::Error) -> String {
    let cause = e.source().map(|cause| format!(": {cause}"));
    format!("{e}{}", cause.unwrap_or_default())
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, HttpError> {
    let error = |reason: String, refused| HttpError::Connect {
        address,
        reason,
        refused,
    };
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|e| error(e.to_string(), false))?
        .map_err(|e| error(e.to_string(), e.kind() == ErrorKind::ConnectionRefused))?;
    // Without `TCP_NODELAY` calls are only slower.
    let _result = stream.set_nodelay(true);
    Ok(stream)
}
