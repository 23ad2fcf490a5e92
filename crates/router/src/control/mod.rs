//! The control thread, which makes all decisions, one message at a time.
//!
//! [`Control`] holds the state machines and never blocks. Tasks on the same
//! thread do its I/O and report results as messages; traffic threads send
//! requests through [`ControlHandle`].

mod admit;
mod claims;
mod config;
mod dispatch;
mod gossip;
mod handle;
mod messages;
mod results;
mod roster;
mod route;
mod shares;
mod status;
pub mod tasks;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use async_channel::Sender;
use briarhall_net::Metrics;
use briarhall_policy::claims::Chain;
use briarhall_policy::claims::ClaimId;
use briarhall_policy::config_store::ConfigStore;
use briarhall_policy::deadline_queue::DeadlineQueue;
use briarhall_policy::fleet::AttemptKey;
use briarhall_policy::fleet::EndpointKey;
use briarhall_policy::fleet::Fleet;
use briarhall_policy::members::Members;
use briarhall_policy::retry::RetryBudget;
use briarhall_policy::share_allocator::CallKey;
use briarhall_policy::share_allocator::ShareAllocator;
use briarhall_policy::suspects::Fingerprint;
use briarhall_policy::suspects::Suspects;
use briarhall_policy::suspects::SuspicionNotice;
use briarhall_settings::RouterSettings;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::identity::Identity;

pub use handle::ControlHandle;
pub use messages::AcceptanceWait;
pub use messages::AddressEntry;
pub use messages::AdmitCall;
pub use messages::Admitted;
pub use messages::AttemptEnd;
pub use messages::CallName;
pub use messages::ChainEvent;
pub use messages::ClaimAnswer;
pub use messages::GangPart;
pub use messages::GangPlan;
pub use messages::Msg;
pub use messages::Reply;
pub use messages::RouteCall;
pub use messages::RouteError;
pub use messages::Routed;
pub use messages::Wakeup;
pub use results::Results;
pub use status::Status;

use claims::ClaimWaiter;
use config::Acceptance;
use shares::CallUse;

new_key_type! {
    /// Key of an admitted request.
    pub struct RequestKey;
}

/// An admitted request.
#[derive(Debug)]
struct InFlightRequest {
    call: CallKey,
}

/// An attempt that runs at an endpoint.
#[derive(Debug, Clone, Copy)]
struct RunningAttempt {
    endpoint: EndpointKey,
    fingerprint: Fingerprint,
    isolated: bool,
    is_retry: bool,
}

/// The control state of a router.
#[derive(Debug)]
pub struct Control {
    me: Identity,
    settings: RouterSettings,
    metrics: Metrics,
    started: Instant,
    rng: SmallRng,
    config_store: ConfigStore,
    members: Members,
    heartbeat_counter: u64,
    draining: bool,
    /// Whether no more requests are admitted, because the process is about to end.
    closed: bool,
    acceptance: Acceptance,
    fleet: Fleet,
    deadline_queue: DeadlineQueue<RequestKey>,
    running: HashMap<AttemptKey, RunningAttempt>,
    suspects: Suspects,
    retries: RetryBudget,
    requests: SlotMap<RequestKey, InFlightRequest>,
    uses: BTreeMap<CallKey, CallUse>,
    share_allocator: ShareAllocator,
    chains: BTreeMap<u64, Chain>,
    claim_waiters: HashMap<ClaimId, ClaimWaiter>,
    results: Results,
    notices: Vec<SuspicionNotice>,
    active_chains: BTreeSet<u64>,
    wakeups: Sender<Wakeup>,
}

impl Control {
    /// Creates the state of a router that has no configuration and no peers yet.
    #[must_use]
    pub fn new(
        me: Identity,
        settings: RouterSettings,
        metrics: Metrics,
        wakeups: Sender<Wakeup>,
        now: Instant,
    ) -> Self {
        let members = Members::new(me.name.clone());
        let fleet = Fleet::new(settings.policy, settings.report_lag);
        Self {
            me,
            settings,
            metrics,
            started: now,
            rng: rand::make_rng(),
            config_store: ConfigStore::default(),
            members,
            heartbeat_counter: 0,
            draining: false,
            closed: false,
            acceptance: Acceptance::default(),
            fleet,
            deadline_queue: DeadlineQueue::default(),
            running: HashMap::new(),
            suspects: Suspects::default(),
            retries: RetryBudget::new(now),
            requests: SlotMap::with_key(),
            uses: BTreeMap::new(),
            share_allocator: ShareAllocator::default(),
            chains: BTreeMap::new(),
            claim_waiters: HashMap::new(),
            results: Results::default(),
            notices: Vec::new(),
            active_chains: BTreeSet::new(),
            wakeups,
        }
    }
}
