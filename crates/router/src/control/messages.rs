//! Messages to the control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use briarhall_mesh::PullReply;
use briarhall_mesh::PullRequest;
use briarhall_mesh::ShareReply;
use briarhall_mesh::ShareRequest;
use briarhall_mesh::StoredResult;
use briarhall_policy::claims::Claim;
use briarhall_policy::claims::ClaimId;
use briarhall_policy::claims::ClaimStatus;
use briarhall_policy::claims::Segment;
use briarhall_policy::claims::SegmentNumber;
use briarhall_policy::claims::Step;
use briarhall_policy::config_store::Update;
use briarhall_policy::fleet::AttemptKey;
use briarhall_policy::fleet::EndpointKey;
use briarhall_policy::fleet::Requirements;
use briarhall_policy::gang::GangError;
use briarhall_policy::members::Roster;
use briarhall_policy::suspects::Fingerprint;
use briarhall_policy::suspects::SuspicionNotice;
use briarhall_types::Contract;
use briarhall_types::CustomerName;
use briarhall_types::Digest;
use briarhall_types::EndpointName;
use briarhall_types::EndpointRecord;
use briarhall_types::LoadReport;
use briarhall_types::Objective;
use briarhall_types::Problem;
use briarhall_types::Revision;
use briarhall_types::RouterName;
use briarhall_types::ZoneName;
use compact_str::CompactString;

use super::RequestKey;
use super::Status;

/// Sends the answer to a message.
#[derive(Debug)]
pub struct Reply<T> {
    tx: Sender<T>,
}

impl<T> Reply<T> {
    pub(super) fn new(tx: Sender<T>) -> Self {
        Self { tx }
    }

    /// Sends the answer. Does nothing if the asker no longer waits for it.
    pub fn send(self, answer: T) {
        let _gone = self.tx.try_send(answer);
    }
}

/// The model or service that a request calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallName {
    /// A model.
    Model(CompactString),
    /// A plain service.
    Service(CompactString),
}

/// Asks to admit a request.
#[derive(Debug)]
pub struct AdmitCall {
    /// Digest of the caller's key.
    pub key: Digest,
    /// What it calls.
    pub call: CallName,
    /// Prompt tokens; zero for a service.
    pub tokens: u64,
    /// Tokens to generate.
    pub max_tokens: u64,
    /// Digest of the request's content.
    pub content: Digest,
}

/// An admitted request.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// Must be returned with [`Msg::RequestEnded`] when the request ends.
    pub request_key: RequestKey,
    /// The customer.
    pub customer: CustomerName,
    /// Time within which the request must end.
    pub time_limit: Duration,
    /// Whether its contract lets it run again.
    pub repeatable: bool,
    /// Objective of its contract.
    pub objective: Objective,
    /// Identifies the request among those that crash engines.
    pub fingerprint: Fingerprint,
}

/// Asks for an endpoint.
#[derive(Debug, Clone)]
pub struct RouteCall {
    /// The request.
    pub request_key: RequestKey,
    /// What it asks of the endpoint.
    pub requirements: Requirements,
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Whether part of it may have run already.
    pub is_retry: bool,
    /// Time left until its deadline.
    pub time_left: Duration,
}

/// An endpoint to send to.
#[derive(Debug, Clone)]
pub struct Routed {
    /// Must be returned with [`Msg::AttemptEnded`] when the attempt ends.
    pub attempt: AttemptKey,
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Its record in the platform's list.
    pub record: EndpointRecord,
    /// Whether the request is a suspect and must run alone at an engine.
    pub isolated: bool,
    /// Priority at the engine, lower first.
    pub priority: i64,
}

/// Why there is no endpoint.
#[derive(Debug, Clone)]
pub enum RouteError {
    /// The request is refused for good.
    Refused(Problem),
    /// No endpoint can be used now; try again after the given time.
    RetryAfter(Duration),
}

/// Engines that hold a prompt too large for one of them.
#[derive(Debug, Clone)]
pub struct GangPlan {
    /// The parts, in the order in which they are reserved.
    pub parts: Vec<GangPart>,
    /// Priority at the engines, lower first.
    pub priority: i64,
}

/// One engine's part.
#[derive(Debug, Clone)]
pub struct GangPart {
    /// Must be returned with [`Msg::AttemptEnded`] when the attempt ends.
    pub attempt: AttemptKey,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Tokens that all gangs together may hold there.
    pub allowance: u64,
}

/// How an attempt ended, as reported to the control thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It ran to its end.
    Done,
    /// It was abandoned, because the caller disconnected or time ran out.
    Abandoned,
    /// The endpoint refused it because it had no room.
    Full,
    /// The endpoint refused it because it is draining.
    Draining,
    /// The endpoint could not be reached, or the connection was lost without
    /// proof that its process has ended.
    Failed,
    /// The endpoint's process has ended.
    Died,
}

/// Result of submitting a claim.
#[derive(Debug, Clone)]
pub enum ClaimAnswer {
    /// The claim was decided by its chain.
    Decided(ClaimStatus),
    /// It could not be decided in time.
    Undecided,
}

/// Result of a chain's [`Step`].
#[derive(Debug)]
pub enum ChainEvent {
    /// The whole chain.
    Loaded(Vec<(SegmentNumber, Segment)>),
    /// The segment was created.
    Written,
    /// The number is taken.
    NumberTaken,
    /// The write had no effect.
    NotWritten,
    /// The write may have had an effect, or a read failed.
    OutcomeUnknown,
    /// The segment with the next number.
    Read(Segment),
    /// There is no segment with the next number.
    Absent,
}

/// A pull request and the routers to send it to.
#[derive(Debug, Clone)]
pub struct PullPlan {
    /// Addresses of the routers.
    pub addresses: Vec<SocketAddr>,
    /// The request.
    pub req: PullRequest,
}

/// A roster to write.
#[derive(Debug, Clone)]
pub struct RosterPlan {
    /// Version to replace, zero if there is no roster yet.
    pub version: Revision,
    /// What to write.
    pub roster: Roster,
}

/// Confirmation that a router without a fresh quorum requests from the
/// platform.
#[derive(Debug, Clone)]
pub struct ConfirmPlan {
    /// This router's name.
    pub router: RouterName,
}

/// Demands to report to one allocator.
#[derive(Debug, Clone)]
pub struct SharePlan {
    /// Address of the allocator, `None` if it is this router.
    pub address: Option<SocketAddr>,
    /// The report.
    pub req: ShareRequest,
}

/// An address for callers.
#[derive(Debug, Clone)]
pub struct AddressEntry {
    /// The address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// Waits until a revision is accepted.
#[derive(Debug)]
pub struct AcceptanceWait {
    /// The revision.
    pub revision: Revision,
    /// Answered when it is accepted.
    pub reply: Reply<()>,
}

/// Tells the tasks that there is work to do at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wakeup {
    /// A chain has claims to write.
    Chain(u64),
    /// There are notices to send.
    Notices,
}

/// A message to the control thread.
#[derive(Debug)]
pub enum Msg {
    /// Admit a request.
    Admit(AdmitCall, Reply<Result<Admitted, Problem>>),
    /// A request has ended.
    RequestEnded(RequestKey),
    /// Choose an endpoint.
    Route(RouteCall, Reply<Result<Routed, RouteError>>),
    /// Choose engines for a prompt too large for one engine.
    Gang(RouteCall, Reply<Result<GangPlan, GangError>>),
    /// Largest prompt that one engine of a model can hold.
    LargestSingle(CompactString, Reply<Option<u64>>),
    /// The first token of an attempt arrived.
    FirstToken(AttemptKey),
    /// An attempt has ended.
    AttemptEnded(AttemptKey, AttemptEnd),
    /// Apply another router's notices about suspects.
    ApplyNotices(Vec<SuspicionNotice>),
    /// Take the notices to send, with the addresses of other live routers.
    TakeNotices(Reply<(Vec<SocketAddr>, Vec<SuspicionNotice>)>),
    /// Write a claim of this router or another; give up at the time given.
    Claim(Claim, Instant, Reply<ClaimAnswer>),
    /// Address of the preferred writer of a key's chain, `None` if it is this
    /// router.
    ClaimWriter(Digest, Reply<Option<SocketAddr>>),
    /// Next step of a chain.
    ChainStep(u64, Reply<Step>),
    /// Result of the step.
    ChainEvent(u64, ChainEvent),
    /// Segments that may be deleted, by range.
    ChainTrim(Reply<Vec<(u64, SegmentNumber)>>),
    /// A request for which this router submits a claim is in progress.
    ClaimStarted(ClaimId),
    /// A claimed request has ended here.
    ClaimEnded(ClaimId, StoredResult),
    /// Result of a claimed request of this router; answered when it has ended.
    ClaimResult(ClaimId, Reply<Option<StoredResult>>),
    /// Address of a router.
    MeshAddress(RouterName, Reply<Option<SocketAddr>>),
    /// Apply changes of the configuration.
    Update(Box<Update>),
    /// Configuration that holds everything written before the time given.
    Confirmed(Box<Update>, Instant),
    /// Customer whose contract has the key, if there is one.
    Customer(Digest, Reply<Option<CustomerName>>),
    /// A contract in force.
    Contract(CustomerName, Reply<Option<(Revision, Arc<Contract>)>>),
    /// Answer when a revision is accepted.
    WaitAccepted(AcceptanceWait),
    /// What to pull, and from which routers.
    PullPlan(Reply<PullPlan>),
    /// An answer to a pull asked at the time given.
    Pulled(Box<PullReply>, Instant),
    /// Answer a pull of another router.
    Pull(Box<PullRequest>, Reply<PullReply>),
    /// Confirmation to request from the platform, if it is needed.
    ConfirmPlan(Reply<Option<ConfirmPlan>>),
    /// New roster to write, if it must change.
    RosterPlan(Reply<Option<RosterPlan>>),
    /// The platform's list of VMs.
    Listed(Vec<EndpointRecord>),
    /// Engines whose load to read.
    Engines(Reply<Vec<(EndpointName, SocketAddr)>>),
    /// A load report.
    Load(EndpointName, LoadReport),
    /// Demands to report.
    SharePlans(Reply<Vec<SharePlan>>),
    /// A router reports demand to this allocator.
    Share(ShareRequest, Reply<ShareReply>),
    /// Grants that were asked for at the time given.
    Granted(ShareReply, Instant),
    /// Addresses for a caller of a customer.
    Addresses(CustomerName, Reply<Vec<AddressEntry>>),
    /// Status for operators.
    Status(Reply<Status>),
    /// Stop admitting new callers.
    Drain,
    /// Admit no more requests if none is in flight; answers whether that is so.
    CloseIfIdle(Reply<bool>),
    /// Do periodic work.
    Tick,
}
