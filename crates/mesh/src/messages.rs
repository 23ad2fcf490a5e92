//! What routers ask each other.

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

/// Asks a router for news.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PullRequest {
    /// The asking router's own heartbeat.
    pub heartbeat: Heartbeat,
    /// It holds the configuration up to this revision.
    pub held: Revision,
}

/// News of a router.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PullReply {
    /// Heartbeats it knows.
    pub answer: PullAnswer,
    /// What the asking router lacks of the configuration.
    pub update: Option<Update>,
    /// Requests blocked for crashing engines.
    #[serde(rename = "convictions")]
    pub blocked: Vec<SuspicionNotice>,
}

/// Asks the preferred writer of a chain to write a claim.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The claim; its holder is the asking router.
    pub claim: Claim,
    /// Milliseconds for which the answer is of use.
    pub limit_ms: u64,
}

/// Answer to a claim.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ClaimReply {
    /// It stands.
    Granted,
    /// Another stands.
    Taken {
        /// Id of the claim that stands.
        id: ClaimId,
        /// Router that holds it.
        holder: RouterName,
        /// Whether it was made for the same request.
        same_request: bool,
    },
    /// It could not be decided; the asking router decides it itself.
    Undecided,
}

/// Asks the holder of a claim what became of it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ResultRequest {
    /// The claim.
    pub claim: ClaimId,
    /// Milliseconds to wait for the result.
    pub wait_ms: u64,
}

/// What became of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldResult {
    /// Outcome.
    pub outcome: Outcome,
    /// Status of the reply.
    pub status: u16,
    /// Media type of the reply.
    pub content_type: Option<String>,
    /// Body of the reply, as text; replies that are not text are not kept.
    pub body: Option<String>,
}

/// Answer about a claim.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ResultReply {
    /// It has ended.
    Ended(HeldResult),
    /// It still runs.
    Running,
    /// The holder knows nothing of it any more.
    Unknown,
}

/// Reports demand to the allocator of a customer's limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShareRequest {
    /// Who reports.
    pub router: RouterName,
    /// Demand for each kind of call.
    pub demands: Vec<Demand>,
}

/// Grants of the allocator.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShareReply {
    /// Who grants.
    #[serde(rename = "sharer")]
    pub allocator: RouterName,
    /// A grant for each demand whose contract the allocator knows.
    pub grants: Vec<Grant>,
}

/// What routers offer each other.
#[tarpc::service]
pub trait Mesh {
    /// Gives news.
    async fn pull(req: PullRequest) -> PullReply;
    /// Writes a claim on behalf of the asking router.
    async fn claim(req: ClaimRequest) -> ClaimReply;
    /// Tells what became of a claim.
    async fn result(req: ResultRequest) -> ResultReply;
    /// Grants shares of limits.
    async fn share(req: ShareRequest) -> ShareReply;
    /// Takes notice of requests under suspicion.
    async fn tell(notices: Vec<SuspicionNotice>);
}
