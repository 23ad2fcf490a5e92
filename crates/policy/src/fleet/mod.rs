//! Endpoints, their load, and the choice among them.
//!
//! Work is counted in tokens. Reported load lags, so a router adds what it has
//! sent itself and not yet seen reported, and picks among a few candidates, so
//! that many routers with the same stale reports do not all choose the same
//! endpoint. Long prompts have a lane of their own whose border follows the
//! load; every router orders endpoints alike, so the lanes agree without talk.

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

/// What a request asks of an endpoint.
#[derive(Debug, Clone)]
pub struct Requirements {
    /// Model or service.
    pub serves: CompactString,
    /// Tokens of the prompt; zero for a service.
    pub tokens: u64,
    /// Tokens to generate.
    pub max_tokens: u64,
    /// Which measure its contract weighs more.
    pub objective: Objective,
    /// Endpoints not to use again.
    pub exclude: Vec<EndpointKey>,
}

#[derive(Debug, Clone)]
struct Reported {
    report: LoadReport,
    at: Instant,
}

#[derive(Debug)]
struct Endpoint {
    record: EndpointRecord,
    reported: Option<Reported>,
    /// It said itself that it drains; the platform's list may lag.
    draining: bool,
    down_until: Option<Instant>,
    own_requests: u64,
    recent: VecDeque<AttemptKey>,
}

#[derive(Debug)]
struct Attempt {
    endpoint: EndpointKey,
    tokens: u64,
    max_tokens: u64,
    sent: Instant,
    first_token: bool,
}

#[derive(Debug, Default)]
struct Group {
    keys: Vec<EndpointKey>,
    cursor: usize,
    lanes: Lanes,
}

/// The endpoints as one router sees them.
#[derive(Debug)]
pub struct Fleet {
    policy: Policy,
    report_lag: Duration,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    attempts: SlotMap<AttemptKey, Attempt>,
    by_name: HashMap<EndpointName, EndpointKey>,
    groups: BTreeMap<CompactString, Group>,
}
