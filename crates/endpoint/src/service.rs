//! Client of plain services.

use std::net::SocketAddr;
use std::time::Duration;

use briarhall_net::Body;
use briarhall_net::Call;
use briarhall_net::HttpClient;
use briarhall_net::HttpError;
use briarhall_net::read_limited;
use briarhall_net::timeout;
use bytes::Bytes;
use hyper::Method;
use hyper::header::CONTENT_TYPE;

const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceRequest {
    /// Method.
    pub method: Method,
    /// Path and query at the service.
    pub path: String,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Idempotency key, passed on as the caller gave it.
    pub idempotency_key: Option<String>,
    /// Id of the attempt, for the service's log.
    pub attempt: String,
    /// Body.
    pub body: Bytes,
}

/// A whole reply of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceReply {
    /// Status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Calls plain services.
#[derive(Debug, Clone)]
pub struct ServiceClient {
    client: HttpClient,
}

impl ServiceClient {
    /// Creates a client.
    #[must_use]
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    /// Makes a call and reads the whole reply.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the service may have run it.
    pub async fn call(
        &self,
        address: SocketAddr,
        req: ServiceRequest,
        limit: Duration,
    ) -> Result<ServiceReply, HttpError> {
        let mut call = Call::new(req.method, address, req.path)
            .header("x-request-id", &req.attempt)
            .body(Body::full(req.body));
        if let Some(content_type) = &req.content_type {
            call = call.header("content-type", content_type);
        }
        if let Some(key) = &req.idempotency_key {
            call = call.header("idempotency-key", key);
        }
        timeout(limit, self.exchange(address, call, limit))
            .await
            .map_err(|_e| HttpError::Elapsed { address })?
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        call: Call,
        limit: Duration,
    ) -> Result<ServiceReply, HttpError> {
        let reply = self.client.send(call, limit).await?;
        let status = reply.status().as_u16();
        let content_type = reply.headers().get(CONTENT_TYPE);
        let content_type = content_type
            .and_then(|v| v.to_str().ok())
            .map(str::to_owned);
        let body = read_limited(reply.into_body(), MAX_REPLY_BYTES)
            .await
            .map_err(|e| HttpError::Broken {
                address,
                reason: e.to_string(),
            })?;
        Ok(ServiceReply {
            status,
            content_type,
            body,
        })
    }
}
