//! Endpoints as the platform lists them, and the load they report.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::EndpointName;
use crate::ZoneName;

/// What an endpoint runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// A VM of this system itself.
    Router,
}

/// Whether an endpoint is in service or about to be removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// It takes new work.
    Live,
    /// It finishes its work and takes no new work.
    #[serde(rename = "leaving")]
    Draining,
}

/// One entry of the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// What it runs.
    pub kind: EndpointKind,
    /// Name of the model or service it runs.
    pub serves: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// KV memory, in tokens; zero for a plain service.
    #[serde(default)]
    pub kv_tokens: u64,
    /// Prefill rate, in tokens a second; zero for a plain service.
    #[serde(default)]
    pub prefill_rate: u64,
}

/// Load as an engine reports it, delayed by the engine's reporting lag.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that wait or run.
    pub requests: u64,
    /// Prompt tokens not yet prefilled, over all requests.
    pub queued_tokens: u64,
    /// Prompt tokens not yet prefilled, over short requests only.
    pub queued_short_tokens: u64,
    /// KV tokens reserved or in use.
    pub kv_used: u64,
    /// KV tokens held by reservations only.
    pub kv_reserved: u64,
    /// KV capacity, in tokens.
    pub kv_capacity: u64,
    /// Sequences in the decode batch.
    pub decoding: u64,
    /// Whether the engine refuses new work.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// Incarnation of the engine process.
    pub incarnation: u64,
}
