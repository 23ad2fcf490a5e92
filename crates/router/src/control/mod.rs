//! The control thread: all decisions, one message at a time.
//!
//! [`Control`] holds the state machines and never waits. Tasks on the same
//! thread do its input and output and come back with messages; traffic threads
//! ask through [`ControlHandle`].

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
pub use messages::AddressEntry;
pub use messages::AdmitCall;
pub use messages::Admitted;
pub use messages::AppliedWait;
pub use messages::AttemptEnd;
pub use messages::CallName;
pub use messages::ChainEvent;
pub use messages::ClaimAnswer;
pub use messages::GangPart;
pub use messages::GangPlan;
pub use messages::Kick;
pub use messages::Msg;
pub use messages::NoRoute;
pub use messages::Reply;
pub use messages::RouteCall;
pub use messages::Routed;
pub use results::Results;
pub use status::Status;

use claims::ClaimWaiter;
use config::Acceptance;
use shares::CallUse;

new_key_type! {
    /// Key of an admitted request.
    pub struct TicketKey;
}

/// An admitted request.
#[derive(Debug)]
struct Ticket {
    call: CallKey,
}

/// An attempt that runs at an endpoint.
#[derive(Debug, Clone, Copy)]
struct Running {
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
    beat: u64,
    draining: bool,
    acceptance: Acceptance,
    fleet: Fleet,
    deadline_queue: DeadlineQueue<TicketKey>,
    running: HashMap<AttemptKey, Running>,
    suspects: Suspects,
    retries: RetryBudget,
    tickets: SlotMap<TicketKey, Ticket>,
    uses: BTreeMap<CallKey, CallUse>,
    share_allocator: ShareAllocator,
    chains: BTreeMap<u64, Chain>,
    claim_waiters: HashMap<ClaimId, ClaimWaiter>,
    results: Results,
    notices: Vec<SuspicionNotice>,
    driven: BTreeSet<u64>,
    kicks: Sender<Kick>,
}

impl Control {
    /// Creates the state of a router that knows nothing yet.
    #[must_use]
    pub fn new(
        me: Identity,
        settings: RouterSettings,
        metrics: Metrics,
        kicks: Sender<Kick>,
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
            beat: 0,
            draining: false,
            acceptance: Acceptance::default(),
            fleet,
            deadline_queue: DeadlineQueue::default(),
            running: HashMap::new(),
            suspects: Suspects::default(),
            retries: RetryBudget::new(now),
            tickets: SlotMap::with_key(),
            uses: BTreeMap::new(),
            share_allocator: ShareAllocator::default(),
            chains: BTreeMap::new(),
            claim_waiters: HashMap::new(),
            results: Results::default(),
            notices: Vec::new(),
            driven: BTreeSet::new(),
            kicks,
        }
    }
}
