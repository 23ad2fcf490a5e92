//! Request and response bodies of the engine's HTTP API.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Body of `POST /v1/completions`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompletionCall {
    /// Name of the model.
    pub model: CompactString,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: u64,
    /// Priority; lower values run first.
    #[serde(default)]
    pub priority: i64,
    /// First token to send.
    #[serde(default)]
    pub resume_from: u64,
    /// Reservation on this engine that holds the request's KV.
    #[serde(default)]
    pub reservation: Option<CompactString>,
    /// Reservations on other engines that hold the rest of the KV.
    #[serde(default)]
    pub kv_parts: Vec<KvPart>,
}

/// A part of a prompt's KV held by another engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KvPart {
    /// The engine.
    pub address: SocketAddr,
    /// Its reservation.
    pub reservation: CompactString,
}

/// One event of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Frame {
    /// Attempt the event belongs to.
    pub id: CompactString,
    /// Index of the token; the number of tokens at the end.
    pub index: u64,
    /// Text of the token; empty at the end.
    pub text: String,
    /// Set at the end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<CompactString>,
}

/// Body of `POST /v1/reservations`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReserveCall {
    /// Name chosen by the owner; the call is idempotent by it.
    pub name: CompactString,
    /// Tokens to hold.
    pub tokens: u64,
    /// Name of the owner.
    pub owner: CompactString,
    /// Milliseconds until the owner's lease lapses unless renewed.
    pub lease_ms: u64,
}

/// Body of `POST /v1/reservations/{name}/prefill`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PrefillCall {
    /// Tokens of the prompt to prefill into the reservation.
    pub tokens: u64,
    /// Tokens of the whole prompt, to which the part attends; 0 when not known.
    #[serde(default)]
    pub whole_tokens: u64,
    /// Priority; lower values run first.
    pub priority: i64,
}

/// KV of a reservation as one engine exports and another imports it:
/// `GET` and `POST /v1/reservations/{name}/kv`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Tokens whose KV it is.
    pub tokens: u64,
}

/// What holds engine memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldingKind {
    /// A request that runs or has memory to run.
    Request,
    /// A reservation.
    Reservation,
}

/// One entry of `GET /v1/holdings`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Holding {
    /// Name of the request or reservation.
    pub name: CompactString,
    /// What it is.
    pub kind: HoldingKind,
    /// Tokens held.
    pub tokens: u64,
    /// Tokens prefilled.
    pub prefilled: u64,
    /// Name of the owner.
    pub owner: CompactString,
    /// Milliseconds left of the owner's lease; negative when it has lapsed.
    pub lease_left_ms: i64,
}

/// Body of `POST /v1/orders`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Order {
    /// What to do, such as `load` or `set-role`.
    pub action: CompactString,
    /// What to do it with.
    pub subject: CompactString,
    /// Fencing token of the sender.
    #[serde(rename = "fencing")]
    pub fencing_token: u64,
}

/// Body of `GET /v1/ledger`: what the engine has run and holds, for checks.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Requests that began to run.
    pub started: u64,
    /// Requests that ran to their end.
    pub finished: u64,
    /// KV tokens held now.
    pub kv_used: u64,
    /// Most KV tokens held at once.
    pub kv_peak: u64,
    /// Requests that wait or run now.
    pub requests: u64,
    /// Reservations held now.
    pub reservations: u64,
    /// Orders accepted, oldest first.
    pub orders: Vec<Order>,
    /// Prompt tokens taken from the prefix cache.
    pub cached_tokens: u64,
}
