//! HTTP client over hyper.
//!
//! Each call opens a connection of its own. A pooled connection can have gone
//! silent for good without either end knowing, and an answer abandoned on it
//! could be taken for the next one; a fresh one costs a round trip.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use async_net::TcpStream;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_hyper::rt::FuturesIo;
use thiserror::Error;

use crate::Body;
use crate::Executor;
use crate::read_limited;
use crate::timeout;

const CONNECT_LIMIT: Duration = Duration::from_millis(500);
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// How far a failed call had come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No byte of the request had left.
    BeforeSend,
    /// Some of the request may have arrived.
    AfterSend,
}

/// Says why a call failed.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No connection could be opened, so nothing was sent.
    #[error("cannot connect to {address}: {reason}")]
    Connect {
        /// Where the call went.
        address: SocketAddr,
        /// What the system said.
        reason: String,
        /// Whether the system there answered that nothing listens.
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
        /// What the library said.
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
    /// Returns how far the call had come.
    #[must_use]
    pub fn phase(&self) -> Phase {
        match self {
            Self::Connect { .. } | Self::Build { .. } => Phase::BeforeSend,
            Self::Broken { .. } | Self::Elapsed { .. } | Self::Malformed { .. } => Phase::AfterSend,
        }
    }
}

/// One call, built step by step.
#[derive(Debug)]
pub struct Call {
    address: SocketAddr,
    method: Method,
    path: String,
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

    /// Adds a header; one whose value HTTP cannot carry is left out.
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
            .body(Body::whole(text))
    }

    fn into_request(self) -> Result<Request<Body>, HttpError> {
        let address = self.address;
        let mut req = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(HOST, address.to_string())
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
    /// Returns an error that tells whether anything may have been sent.
    pub async fn send(&self, call: Call, limit: Duration) -> Result<Response<Incoming>, HttpError> {
        let address = call.address;
        let req = call.into_request()?;
        let stream = connect(address, limit.min(CONNECT_LIMIT)).await?;
        let exchange = self.exchange(stream, req, address);
        timeout(limit, exchange)
            .await
            .map_err(|_e| HttpError::Elapsed { address })?
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
        let (mut sender, conn) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(broken)?;
        self.executor.detach(async move {
            // Its error reaches the caller through the answer's body.
            let _seen_by_reader = conn.await;
        });
        sender.send_request(req).await.map_err(broken)
    }

    /// Sends a call and reads a JSON answer with a status of success.
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
        let whole = async {
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
        timeout(limit, whole)
            .await
            .map_err(|_e| HttpError::Elapsed { address })?
    }
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
    // Without it calls are only slower.
    let _refused = stream.set_nodelay(true);
    Ok(stream)
}
