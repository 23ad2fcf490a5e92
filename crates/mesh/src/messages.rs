//! Messages and service of the calls between routers.

use briarhall_policy::claims::Claim;
use briarhall_policy::claims::ClaimId;
use briarhall_policy::config_store::Update;
use briarhall_policy::members::Heartbeat;
use briarhall_policy::members::PullAnswer;
use briarhall_policy::share_allocator::Demand;
use briarhall_policy::share_allocator::Grant;
use briarhall_policy::suspects::SuspicionNotice;
use briarhall_types::Outcome;
use briarhall_types::Revision;
use briarhall_types::RouterName;
use serde::Deserialize;
use serde::Serialize;

/// Requests heartbeats and configuration changes from a router.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PullRequest {
    /// Heartbeat of the requesting router.
    pub heartbeat: Heartbeat,
    /// Revision up to which the requesting router holds the configuration.
    pub held: Revision,
}

/// Answer to a [`PullRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PullReply {
    /// Heartbeats that the answering router knows.
    pub answer: PullAnswer,
    /// Configuration changes that the requesting router lacks.
    pub update: Option<Update>,
    /// Requests blocked for crashing engines.
    #[serde(rename = "convictions")]
    pub blocked: Vec<SuspicionNotice>,
}

/// Requests that the preferred writer of a chain writes a claim.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The claim; its holder is the requesting router.
    pub claim: Claim,
    /// Time within which the requesting router needs the answer, in
    /// milliseconds.
    pub limit_ms: u64,
}

/// Answer to a [`ClaimRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim is active.
    Granted,
    /// Another claim on the key is active.
    Taken {
        /// Id of the active claim.
        id: ClaimId,
        /// Router that holds it.
        holder: RouterName,
        /// Whether it was made for the same request.
        same_request: bool,
    },
    /// The claim could not be decided; the requesting router decides it itself.
    Undecided,
}

/// Requests the result of a claimed request from the holder of its claim.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ResultRequest {
    /// Id of the claim.
    pub claim: ClaimId,
    /// Maximum time to wait for the result, in milliseconds.
    pub wait_ms: u64,
}

/// Result of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResult {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Status of the reply.
    pub status: u16,
    /// Media type of the reply.
    pub content_type: Option<String>,
    /// Body of the reply, as text; bodies that are not text are not kept.
    pub body: Option<String>,
}

/// Answer to a [`ResultRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ResultReply {
    /// The request has ended.
    Ended(StoredResult),
    /// The request is still running.
    Running,
    /// The holder has no record of the claim any more.
    Unknown,
}

/// Reports demand to the allocator of a customer's limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShareRequest {
    /// Name of the reporting router.
    pub router: RouterName,
    /// The router's demand for each kind of call.
    pub demands: Vec<Demand>,
}

/// Answer to a [`ShareRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShareReply {
    /// Name of the granting router.
    #[serde(rename = "sharer")]
    pub allocator: RouterName,
    /// A grant for each demand whose contract the allocator knows.
    pub grants: Vec<Grant>,
}

/// Service that each router offers to the others.
#[tarpc::service]
pub trait Mesh {
    /// Returns heartbeats and configuration changes.
    async fn pull(req: PullRequest) -> PullReply;
    /// Writes a claim on behalf of the requesting router.
    async fn claim(req: ClaimRequest) -> ClaimReply;
    /// Returns the result of a claimed request.
    async fn result(req: ResultRequest) -> ResultReply;
    /// Records demand and returns shares of limits.
    async fn share(req: ShareRequest) -> ShareReply;
    /// Applies notices of suspect requests.
    async fn tell(notices: Vec<SuspicionNotice>);
}
