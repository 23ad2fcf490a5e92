//! The parts of request and response heads that a gateway uses, independent of
//! their names on the wire.

use std::net::SocketAddr;
use std::time::Duration;

use briarhall_net::Body;
use briarhall_net::Call;
use briarhall_policy::pace::ReportedLoad;
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
    /// Host that it names.
    pub host: CompactString,
    /// Key it presents.
    pub api_key: Option<CompactString>,
    /// How long the client waits.
    pub deadline: Option<Duration>,
    /// Tokens of its prompt.
    pub prompt_tokens: Option<u64>,
    /// Most tokens that the answer may have.
    pub output_tokens: Option<u64>,
    /// Ids of the parts of its prompt, in order. Requests share all but the last.
    pub prompt_parts: Vec<PromptPartId>,
    /// Event after which the client resumes a stream.
    pub resume_after: Option<CompactString>,
}

/// Id of a part of a prompt.
pub type PromptPartId = CompactString;

/// Why a request's head is refused. The texts are sent to the client.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeadError {
    /// A required header is missing.
    #[error("header `{0}` is missing")]
    Missing(&'static str),
    /// A header that may occur once occurs several times.
    #[error("header `{0}` is given more than once")]
    Repeated(&'static str),
    /// A header's value is malformed.
    #[error("header `{0}` is not understood")]
    Malformed(&'static str),
}

/// A request cannot be sent as it must be: a header's value holds characters that headers
/// must not have. Without the header it would mean something else.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the value for header `{0}` holds characters that headers must not have")]
pub struct UnsendableHeader(pub &'static str);

/// Another replica that prefills a part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// The replica.
    pub replica: ReplicaId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Id of the memory reservation for the part.
    pub reservation_id: Option<CompactString>,
}

/// What a gateway adds to a request that it forwards.
#[derive(Debug, Clone)]
pub struct ForwardedRequest<'a> {
    /// Time the replica may take.
    pub deadline: Option<Duration>,
    /// The only replica that may run it.
    pub replica: &'a ReplicaId,
    /// Organisation of the caller.
    pub organisation: Option<&'a str>,
    /// Event after which the stream resumes.
    pub resume_after: Option<&'a str>,
    /// Replicas that prefill a part of the prompt.
    pub helpers: &'a [Helper],
}

/// An engine and where it listens.
#[derive(Debug, Clone, Copy)]
pub struct EngineAt<'a> {
    /// The engine.
    pub replica: &'a ReplicaId,
    /// Address that it listens on.
    pub address: SocketAddr,
}

/// What the head of a replica's answer says.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplyHead {
    /// The replica did not run the request and will not.
    pub not_run: bool,
    /// The answer comes from a replica, not from an intermediary.
    pub signed: bool,
    /// Id of the request that is answered.
    pub request_id: Option<CompactString>,
    /// The body was altered on the way, by a content encoding.
    pub content_encoded: bool,
    /// The replica at fault, when it is another.
    pub failed_replica: Option<FailedReplica>,
    /// What the replica says about itself, whatever it answers.
    pub notice: ReplicaNotice,
}

/// What a replica says about itself in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ReplicaNotice {
    /// It leaves, and wants no new request.
    pub leaving: bool,
    /// It turned the request away, and wants no other for this long.
    pub pause: Option<Duration>,
    /// The requests a second that it takes from all gateways together.
    pub limit_per_s: Option<f64>,
    /// How long it is cold; zero when it is warm.
    pub cold_left: Option<Duration>,
    /// Its load.
    pub load: Option<ReportedLoad>,
}

/// A replica that another one names as the reason for its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailedReplica {
    /// The one that listens on this address.
    At(SocketAddr),
    /// The one with this id.
    Id(ReplicaId),
}

/// Reads and writes heads in the platform's format.
pub trait Wire: Clone + Send + Sync + 'static {
    /// Reads the head of a client's request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn request_head(&self, parts: &request::Parts) -> Result<RequestHead, HeadError>;

    /// Returns the headers of a forwarded request.
    ///
    /// # Errors
    ///
    /// Returns an error when one of them cannot be sent.
    fn forwarded_headers(
        &self,
        client: &HeaderMap,
        forwarded: &ForwardedRequest<'_>,
    ) -> Result<HeaderMap, UnsendableHeader>;

    /// Returns the headers of a request that another gateway sends on, as if the client
    /// had sent it there with this time left.
    ///
    /// # Errors
    ///
    /// Returns an error when one of them cannot be sent.
    fn detour_headers(
        &self,
        client: &HeaderMap,
        deadline: Duration,
        resume_after: Option<&str>,
    ) -> Result<HeaderMap, UnsendableHeader>;

    /// Reads the head of a replica's answer.
    fn reply_head(&self, parts: &response::Parts) -> ReplyHead;

    /// Returns the call that reserves memory for `tokens` at an engine under
    /// `id` for the time `ttl`. No other replica at the address grants it.
    fn reserve(&self, engine: EngineAt<'_>, id: &str, tokens: u64, ttl: Duration) -> Call;

    /// Returns the call that releases the reservation `id` at an engine.
    fn release(&self, engine: SocketAddr, id: &str) -> Call;

    /// Returns whether a call to the directory asks for addresses.
    fn is_address_request(&self, uri: &Uri) -> bool;

    /// Returns the directory's answer: the addresses to connect to, and their
    /// time to live.
    fn addresses_response(&self, addresses: &[SocketAddr], ttl: Duration) -> Response<Body>;

    /// Returns whether a call asks if this gateway is ready.
    fn is_readiness_check(&self, uri: &Uri) -> bool;
}
