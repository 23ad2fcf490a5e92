//! Client of model engines.

use std::net::SocketAddr;
use std::time::Duration;

use briarhall_net::Body;
use briarhall_net::Call;
use briarhall_net::HttpClient;
use briarhall_net::HttpError;
use briarhall_net::read_limited;
use briarhall_types::AttemptId;
use briarhall_types::LoadReport;
use bytes::Bytes;
use compact_str::CompactString;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::EngineError;
use crate::EventStream;
use crate::RefusalKind;
use crate::wire::Holding;
use crate::wire::Order;
use crate::wire::PrefillCall;
use crate::wire::ReserveCall;

const MAX_REASON_BYTES: usize = 4_096;

/// The owner of a request or reservation at an engine, and the duration of its
/// lease.
#[derive(Debug, Clone)]
pub struct Lease {
    /// Name of the owner.
    pub owner: CompactString,
    /// Time until the lease lapses unless renewed.
    pub duration: Duration,
}

/// Calls model engines.
#[derive(Debug, Clone)]
pub struct EngineClient {
    client: HttpClient,
}

impl EngineClient {
    /// Creates a client.
    #[must_use]
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    /// Starts an attempt and returns its stream. `body` is a
    /// [`CompletionCall`](crate::wire::CompletionCall) in JSON.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the engine may have run it.
    pub async fn start(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        body: Bytes,
        resume_from: u64,
        lease: &Lease,
        limit: Duration,
    ) -> Result<EventStream, EngineError> {
        let id = attempt.to_string();
        let call = Call::post(address, "/v1/completions")
            .header("content-type", "application/json")
            .header("x-request-id", &id)
            .header("x-owner", &lease.owner)
            .header("x-lease-ms", lease.duration.as_millis().to_string())
            .body(Body::full(body));
        let reply = self.send_accepted(call, limit).await?;
        Ok(EventStream::new(reply.into_body(), id, resume_from))
    }

    /// Opens the stream of a running attempt again, from token `from`.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine no longer knows the attempt.
    pub async fn resume(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        from: u64,
        limit: Duration,
    ) -> Result<EventStream, EngineError> {
        let id = attempt.to_string();
        let call = Call::get(address, format!("/v1/requests/{id}/stream?from={from}"));
        let reply = self.send_accepted(call, limit).await?;
        Ok(EventStream::new(reply.into_body(), id, from))
    }

    /// Ends an attempt and frees its memory. Idempotent.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not answer.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        limit: Duration,
    ) -> Result<(), EngineError> {
        let path = format!("/v1/requests/{attempt}");
        self.delete(address, path, limit).await
    }

    /// Ends the request or reservation that holds memory under this name.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not answer.
    pub async fn free(
        &self,
        address: SocketAddr,
        holding: &Holding,
        limit: Duration,
    ) -> Result<(), EngineError> {
        let path = match holding.kind {
            crate::wire::HoldingKind::Request => format!("/v1/requests/{}", holding.name),
            crate::wire::HoldingKind::Reservation => format!("/v1/reservations/{}", holding.name),
        };
        self.delete(address, path, limit).await
    }

    /// Reserves memory. Idempotent by name.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine has too little free memory or does not
    /// answer.
    pub async fn reserve(
        &self,
        address: SocketAddr,
        call: &ReserveCall,
        limit: Duration,
    ) -> Result<(), EngineError> {
        let call = Call::post(address, "/v1/reservations").json(call);
        self.send_accepted(call, limit).await.map(drop)
    }

    /// Prefills a part of a prompt into a reservation; returns when done.
    ///
    /// # Errors
    ///
    /// Returns an error when the reservation is gone or the engine does not
    /// answer.
    pub async fn prefill(
        &self,
        address: SocketAddr,
        reservation: &str,
        call: &PrefillCall,
        limit: Duration,
    ) -> Result<(), EngineError> {
        let path = format!("/v1/reservations/{reservation}/prefill");
        let call = Call::post(address, path).json(call);
        self.send_accepted(call, limit).await.map(drop)
    }

    /// Releases a reservation. Idempotent.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not answer.
    pub async fn release(
        &self,
        address: SocketAddr,
        reservation: &str,
        limit: Duration,
    ) -> Result<(), EngineError> {
        let path = format!("/v1/reservations/{reservation}");
        self.delete(address, path, limit).await
    }

    /// Renews the lease on an attempt.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not know it or does not answer.
    pub async fn renew_attempt(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        lease: &Lease,
        limit: Duration,
    ) -> Result<(), EngineError> {
        let path = format!("/v1/requests/{attempt}/renew");
        self.renew(address, path, lease, limit).await
    }

    /// Renews the lease on a reservation.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not know it or does not answer.
    pub async fn renew_reservation(
        &self,
        address: SocketAddr,
        reservation: &str,
        lease: &Lease,
        limit: Duration,
    ) -> Result<(), EngineError> {
        let path = format!("/v1/reservations/{reservation}/renew");
        self.renew(address, path, lease, limit).await
    }

    /// Reads the load report.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not answer.
    pub async fn load(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<LoadReport, EngineError> {
        let call = Call::get(address, "/v1/load");
        Ok(self.client.fetch(call, limit).await?)
    }

    /// Reads which requests and reservations hold the engine's memory.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine does not answer.
    pub async fn holdings(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Vec<Holding>, EngineError> {
        let call = Call::get(address, "/v1/holdings");
        Ok(self.client.fetch(call, limit).await?)
    }

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine refuses or does not answer.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
        limit: Duration,
    ) -> Result<(), EngineError> {
        let call = Call::post(address, "/v1/orders").json(order);
        self.send_accepted(call, limit).await.map(drop)
    }

    async fn renew(
        &self,
        address: SocketAddr,
        path: String,
        lease: &Lease,
        limit: Duration,
    ) -> Result<(), EngineError> {
        let call =
            Call::post(address, path).header("x-lease-ms", lease.duration.as_millis().to_string());
        self.send_accepted(call, limit).await.map(drop)
    }

    async fn delete(
        &self,
        address: SocketAddr,
        path: String,
        limit: Duration,
    ) -> Result<(), EngineError> {
        let call = Call::new(Method::DELETE, address, path);
        let reply = self.client.send(call, limit).await?;
        let code = reply.status();
        if code.is_success() || code == StatusCode::NOT_FOUND {
            return Ok(());
        }
        Err(refusal_error(code, String::new()))
    }

    async fn send_accepted(
        &self,
        call: Call,
        limit: Duration,
    ) -> Result<Response<Incoming>, EngineError> {
        let reply = self.client.send(call, limit).await?;
        let code = reply.status();
        if code.is_success() {
            return Ok(reply);
        }
        // The reason is only for the log.
        let reason = read_limited(reply.into_body(), MAX_REASON_BYTES).await;
        let reason = reason.unwrap_or_default();
        Err(refusal_error(
            code,
            String::from_utf8_lossy(&reason).into_owned(),
        ))
    }
}

fn refusal_error(code: StatusCode, reason: String) -> EngineError {
    let kind = match code {
        StatusCode::SERVICE_UNAVAILABLE => RefusalKind::Draining,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::INSUFFICIENT_STORAGE => RefusalKind::Full,
        StatusCode::PAYLOAD_TOO_LARGE => RefusalKind::TooLarge,
        StatusCode::CONFLICT | StatusCode::NOT_FOUND | StatusCode::PRECONDITION_FAILED => {
            RefusalKind::Conflict
        }
        _ if code.is_client_error() => RefusalKind::Invalid,
        // Only a client error proves that nothing ran.
        _ => {
            return EngineError::Http(HttpError::Malformed {
                address: SocketAddr::from(([0, 0, 0, 0], 0)),
                reason: format!("status {code}: {reason}"),
            });
        }
    };
    EngineError::Refused { kind, reason }
}
