//! Which routers there are, what each holds, and whether this one may admit.
//!
//! A router pulls heartbeats from its neighbours. The answer carries, for each
//! router, how old the news of it is; the puller counts that age back from the
//! moment it *asked*, which gives a time on its own clock at or before which
//! the news was made. No two clocks are ever compared.
//!
//! A change is accepted once a quorum of the roster holds it, and the time for
//! which a router may act on what it heard has passed since. A router admits
//! only while it has heard, within that time, from a quorum of the roster and
//! holds everything any of them holds. Two quorums of one roster share a
//! member, so an admitting router has heard of each accepted change.

mod commands;
mod queries;
mod roster;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::Revision;
use briarhall_types::RouterName;
use briarhall_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

pub use commands::PullAnswer;
pub use commands::RelayedHeartbeat;
pub use queries::SyncState;
pub use roster::Member;
pub use roster::Roster;

/// How long a router may act on what it heard.
pub const FRESH_FOR: Duration = Duration::from_secs(2);
/// Silence after which a router no longer counts as live.
pub const LIVE_FOR: Duration = Duration::from_secs(3);
/// Silence after which a router is removed from the roster.
pub const REMOVE_AFTER: Duration = Duration::from_secs(8);

/// What a router says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who says it.
    pub router: RouterName,
    /// Grows with each heartbeat of one router.
    pub counter: u64,
    /// It holds everything up to this revision.
    pub held: Revision,
    /// Revision of the newest change it knows of.
    pub newest: Revision,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where routers reach it.
    pub mesh_address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is about to stop.
    pub draining: bool,
}

/// The newest heartbeat known of one router.
#[derive(Debug, Clone)]
struct Known {
    heartbeat: Heartbeat,
    /// The heartbeat was made at or after this time.
    made_after: Option<Instant>,
    /// Its counter was last seen to grow at this time.
    seen: Instant,
}

/// Heartbeats of all routers, as one router knows them.
#[derive(Debug)]
pub struct Members {
    me: RouterName,
    known: BTreeMap<RouterName, Known>,
    /// When the platform last confirmed that nothing newer is written.
    confirmed: Option<Instant>,
}
