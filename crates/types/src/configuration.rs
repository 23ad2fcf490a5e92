//! The configuration that operators give a gateway: routes, services,
//! organisations and limits on what clients may send.

use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::CustomerName;
use crate::ServiceName;
use crate::ZoneName;

/// Name of a route, unique within a configuration.
pub type RouteName = CompactString;
/// Version that the operator gave a configuration.
pub type ConfigurationVersion = u64;

/// One version of the whole configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The operator's version; grows, with gaps.
    pub version: ConfigurationVersion,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// What the routes' services need.
    pub services: Vec<ServiceSpec>,
    /// Who may send requests; empty when requests need no key.
    pub organisations: Vec<Organisation>,
    /// What clients may send.
    pub limits: ClientLimits,
}

/// Sends the requests for a host and path prefix to its target services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs.
    pub name: RouteName,
    /// Host that the request names, without a port.
    pub host: CompactString,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: CompactString,
    /// Kind of its requests, which decides what may be repeated.
    pub kind: RouteKind,
    /// Time limit for a request, unless the client sets a shorter one.
    pub timeout: Option<Duration>,
    /// Target for the time to the answer or to the first event.
    pub objective: Option<Duration>,
    /// Target for the longest pause between two events.
    pub pause_objective: Option<Duration>,
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Services that share the requests.
    pub targets: Vec<Target>,
    /// Most replicas to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Whether a broken stream may be resumed at another replica.
    pub resumable: bool,
}

/// Kind of a route's requests, which decides what may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events; runs at most once unless it may be resumed.
    Streaming,
}

/// A service that receives a part of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Service that receives them.
    pub service: ServiceName,
    /// Its share, relative to the other targets'.
    pub weight: f64,
}

/// Properties of a service other than its replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name.
    pub name: ServiceName,
    /// Speed of its engines; absent for a plain service.
    pub engine: Option<EngineSpec>,
    /// Path of its replicas' health check, if they have one.
    #[serde(default)]
    pub health_path: Option<CompactString>,
    /// What its replicas take after a start; absent where that is not limited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdSpec>,
    /// Delays of the links between availability zones, where they are stated.
    #[serde(default)]
    pub delays: Vec<ZoneDelay>,
}

/// What a replica takes after a start, while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdSpec {
    /// Time for which it is cold.
    pub lasts: Duration,
    /// Requests a second that it takes meanwhile.
    pub per_s: f64,
}

/// Delay of the link from one availability zone to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDelay {
    /// Zone of the sender.
    pub from: ZoneName,
    /// Zone of the receiver.
    pub to: ZoneName,
    /// Time until a message arrives.
    pub delay: Duration,
}

/// Speed and memory of a model engine, as its operator measured it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that its KV memory holds.
    pub kv_tokens: u64,
    /// Steps in a pass that has decoding requests.
    pub stride: u32,
    /// Duration of a step, in milliseconds.
    pub step_ms: f64,
    /// Added to a step for each decoding request, in milliseconds.
    #[serde(rename = "per_writer_ms")]
    pub per_request_ms: f64,
    /// Added to a step for each 1,000 tokens of such a request's context, in
    /// milliseconds.
    pub context_per_k_ms: f64,
    /// Prompt tokens prefilled in a millisecond.
    #[serde(rename = "read_per_ms")]
    pub prefill_tokens_per_ms: f64,
    /// Added to the prefill for each million pairs of a token and an earlier
    /// one, in milliseconds.
    pub pairs_per_m_ms: f64,
    /// Most prompt tokens prefilled in a step.
    pub chunk: u32,
}

/// A customer's organisation and the keys that authenticate it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name.
    pub name: CustomerName,
    /// Keys that its clients present.
    pub keys: Vec<CompactString>,
    /// Priority of its requests, in place of the route's.
    pub priority: Option<u32>,
}

/// Bounds on what a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Maximum length of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum length of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time for a request's head to arrive, from its first byte.
    pub header_timeout: Duration,
    /// Time a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
