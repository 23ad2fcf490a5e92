//! What a gateway needs to know of heads, whatever they are called on the wire.

use std::net::SocketAddr;
use std::time::Duration;

use briarhall_net::Body;
use briarhall_net::Call;
use briarhall_types::ReplicaId;
use compact_str::CompactString;
use hyper::HeaderMap;
use hyper::Response;
use hyper::Uri;
use hyper::http::request;
use hyper::http::response;
use thiserror::Error;

/// What the head of a client's request says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of this attempt of the client.
    pub id: CompactString,
    /// Host it names.
    pub host: CompactString,
    /// Key it presents.
    pub key: Option<CompactString>,
    /// How long the client waits.
    pub deadline: Option<Duration>,
    /// Tokens of its prompt.
    pub prompt_tokens: Option<u64>,
    /// Tokens it wants written at the most.
    pub output_tokens: Option<u64>,
    /// Event after which the client resumes a stream.
    pub resume_after: Option<CompactString>,
}

/// Why a request cannot be taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeadError {
    /// A header that must be there is not.
    #[error("header `{0}` is missing")]
    Missing(&'static str),
    /// A header that may be there once is there several times.
    #[error("header `{0}` is given more than once")]
    Repeated(&'static str),
    /// A header's value is not of its form.
    #[error("header `{0}` is not understood")]
    Malformed(&'static str),
}

/// Another replica that prefills a part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its reservation that holds the part.
    pub ticket: Option<CompactString>,
}

/// What a gateway adds to a request that it passes on.
#[derive(Debug, Clone)]
pub struct ForwardedRequest<'a> {
    /// Time the replica may take.
    pub deadline: Option<Duration>,
    /// The only replica that may run it.
    pub replica: &'a ReplicaId,
    /// Organisation of the caller.
    pub organisation: Option<&'a str>,
    /// Event after which the stream is to go on.
    pub resume_after: Option<&'a str>,
    /// Replicas that prefill a part of the prompt.
    pub helpers: &'a [Helper],
}

/// What the head of a replica's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplyHead {
    /// The replica did not run the request and will not.
    pub not_run: bool,
    /// It comes from a replica, not from something in between.
    pub signed: bool,
    /// Id of the request that it answers.
    pub answers: Option<CompactString>,
    /// The body was altered on the way.
    pub encoded: bool,
    /// The replica at fault, when it is another.
    pub failed_replica: Option<ReplicaId>,
}

/// Reads and writes heads as the outside spells them.
pub trait Wire: Clone + Send + Sync + 'static {
    /// Reads the head of a client's request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn request_head(&self, parts: &request::Parts) -> Result<RequestHead, HeadError>;

    /// Returns the headers of a request that is passed on.
    fn forwarded_headers(&self, client: &HeaderMap, forwarded: &ForwardedRequest<'_>) -> HeaderMap;

    /// Reads the head of a replica's answer.
    fn reply_head(&self, parts: &response::Parts) -> ReplyHead;

    /// Returns the order to set `tokens` of an engine's memory aside under `id`.
    fn reserve(&self, engine: SocketAddr, id: &str, tokens: u64, hold: Duration) -> Call;

    /// Returns the order to give memory back.
    fn release(&self, engine: SocketAddr, id: &str) -> Call;

    /// Returns whether a call to the directory asks for addresses.
    fn asks_for_addresses(&self, uri: &Uri) -> bool;

    /// Returns the directory's answer: where to connect, and for how long to
    /// keep that.
    fn addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Response<Body>;

    /// Returns whether a call asks if this gateway is ready.
    fn asks_if_ready(&self, uri: &Uri) -> bool;
}
