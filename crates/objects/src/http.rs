//! The object API over HTTP and JSON.

use std::net::SocketAddr;
use std::time::Duration;

use briarhall_net::Call;
use briarhall_net::HttpClient;
use briarhall_net::read_limited;
use briarhall_net::timeout;
use briarhall_types::Revision;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::ConflictReply;
use crate::FleetApi;
use crate::Listing;
use crate::Object;
use crate::ObjectApi;
use crate::PlatformError;
use crate::Precondition;
use crate::VmListing;
use crate::WatchReply;
use crate::Written;

const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Body of a request to the weight store.
#[derive(Debug, Serialize)]
struct WeightCall {
    bytes: u64,
}

/// A client of the object API over HTTP.
#[derive(Debug, Clone)]
pub struct HttpObjectApi {
    client: HttpClient,
    address: SocketAddr,
    limit: Duration,
}

impl HttpObjectApi {
    /// Creates a client of the platform at `address`; each call ends within
    /// `limit`, and a watch within its wait and `limit`.
    #[must_use]
    pub fn new(client: HttpClient, address: SocketAddr, limit: Duration) -> Self {
        Self {
            client,
            address,
            limit,
        }
    }

    async fn call<T>(&self, call: Call, limit: Duration) -> Result<T, PlatformError>
    where
        T: DeserializeOwned,
    {
        let exchange = async {
            let reply = self
                .client
                .send(call, limit)
                .await
                .map_err(|e| PlatformError::from(&e))?;
            let code = reply.status();
            let retry_after = reply
                .headers()
                .get(RETRY_AFTER)
                .and_then(|value| value.to_str().ok()?.parse::<u64>().ok())
                .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs);
            let text = read_limited(reply.into_body(), MAX_REPLY_BYTES)
                .await
                .map_err(|e| PlatformError::Uncertain {
                    reason: e.to_string(),
                })?;
            if code.is_success() {
                return parse(&text);
            }
            Err(from_status(code, &text, retry_after))
        };
        timeout(limit, exchange)
            .await
            .map_err(|e| PlatformError::Uncertain {
                reason: e.to_string(),
            })?
    }
}

fn from_status(code: StatusCode, text: &[u8], retry_after: Duration) -> PlatformError {
    let reply = parse::<ConflictReply<Value>>(text).ok();
    let current = reply.and_then(|reply| reply.current);
    let current = current.map(|object| object.version);
    PlatformError::from_status(code, current, retry_after)
}

fn parse<T>(text: &[u8]) -> Result<T, PlatformError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(text).map_err(|e| PlatformError::Malformed {
        reason: e.to_string(),
    })
}

impl ObjectApi for HttpObjectApi {
    async fn get<T>(&self, kind: &str, name: &str) -> Result<Object<T>, PlatformError>
    where
        T: DeserializeOwned + Send,
    {
        let call = Call::get(self.address, format!("/v1/objects/{kind}/{name}"));
        self.call(call, self.limit).await
    }

    async fn list<T>(&self, kind: &str, at_least: Revision) -> Result<Listing<T>, PlatformError>
    where
        T: DeserializeOwned + Send,
    {
        let path = format!("/v1/objects/{kind}?at_least={at_least}");
        self.call(Call::get(self.address, path), self.limit).await
    }

    async fn put<T>(
        &self,
        kind: &str,
        name: &str,
        precondition: Precondition,
        value: &T,
    ) -> Result<Written, PlatformError>
    where
        T: Serialize + Sync,
    {
        let condition = match precondition {
            Precondition::Absent => "absent".to_owned(),
            Precondition::Version(version) => version.to_string(),
        };
        let path = format!("/v1/objects/{kind}/{name}?if={condition}");
        let call = Call::new(Method::PUT, self.address, path).json(value);
        self.call(call, self.limit).await
    }

    async fn delete(
        &self,
        kind: &str,
        name: &str,
        version: Revision,
    ) -> Result<Written, PlatformError> {
        let path = format!("/v1/objects/{kind}/{name}?if={version}");
        let call = Call::new(Method::DELETE, self.address, path);
        self.call(call, self.limit).await
    }

    async fn watch<T>(
        &self,
        kind: &str,
        since: Revision,
        wait: Duration,
    ) -> Result<WatchReply<T>, PlatformError>
    where
        T: DeserializeOwned + Send,
    {
        let path = format!(
            "/v1/watch/{kind}?since={since}&wait_ms={}",
            wait.as_millis()
        );
        let call = Call::get(self.address, path);
        self.call(call, wait + self.limit).await
    }
}

impl FleetApi for HttpObjectApi {
    async fn take_weights(&self, subject: &str, bytes: u64) -> Result<(), PlatformError> {
        let call = Call::post(self.address, format!("/v1/weights/{subject}"));
        self.call(call.json(&WeightCall { bytes }), self.limit)
            .await
    }

    async fn vms(&self) -> Result<VmListing, PlatformError> {
        let call = Call::get(self.address, "/v1/vms");
        self.call(call, self.limit).await
    }
}
