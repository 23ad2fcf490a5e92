//! Endpoints, their load, and the choice of an endpoint for a request.
//!
//! Load is measured in tokens. Load reports lag, so a router adds the requests
//! that it sent itself and that the last report may not include. It chooses among
//! a few candidates, so that many routers with the same stale reports do not all
//! choose the same endpoint. Long prompts have a lane of their own whose size
//! follows the load. Every router orders endpoints in the same way, so the lanes
//! agree without communication.

mod commands;
mod estimate;
mod lanes;
mod queries;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::EndpointName;
use briarhall_types::EndpointRecord;
use briarhall_types::LoadReport;
use briarhall_types::Objective;
use compact_str::CompactString;
use slotmap::SlotMap;
use slotmap::new_key_type;

pub use estimate::Load;
pub use lanes::LANE_BORDER_TOKENS;
pub use lanes::Lanes;
pub use lanes::is_long;
pub use queries::Choice;
pub use queries::NoEndpoint;
pub use queries::OpenEngines;

use crate::policies::Policy;

new_key_type! {
    /// Key of an endpoint.
    pub struct EndpointKey;
    /// Key of an attempt that was sent to an endpoint.
    pub struct AttemptKey;
}

/// What a request requires of an endpoint.
#[derive(Debug, Clone)]
pub struct Requirements {
    /// Model or service.
    pub serves: CompactString,
    /// Number of tokens in the prompt; zero for a service.
    pub tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Which measure the contract gives more weight.
    pub objective: Objective,
    /// Endpoints that must not be used again.
    pub exclude: Vec<EndpointKey>,
}

#[derive(Debug, Clone)]
struct Reported {
    report: LoadReport,
    received: Instant,
}

#[derive(Debug)]
struct Endpoint {
    record: EndpointRecord,
    reported: Option<Reported>,
    /// Whether the endpoint itself reported that it is draining; the platform's
    /// list may lag.
    draining: bool,
    down_until: Option<Instant>,
    /// Requests of this router in flight.
    own_requests: u64,
    /// Attempts that the last report may not include, oldest first.
    recent: VecDeque<AttemptKey>,
}

#[derive(Debug)]
struct Attempt {
    endpoint: EndpointKey,
    tokens: u64,
    max_tokens: u64,
    sent: Instant,
    first_token_received: bool,
}

#[derive(Debug, Default)]
struct Group {
    keys: Vec<EndpointKey>,
    cursor: usize,
    lanes: Lanes,
}

/// One router's view of the endpoints.
#[derive(Debug)]
pub struct Fleet {
    policy: Policy,
    report_lag: Duration,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    attempts: SlotMap<AttemptKey, Attempt>,
    by_name: HashMap<EndpointName, EndpointKey>,
    groups: BTreeMap<CompactString, Group>,
}
