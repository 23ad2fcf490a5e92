//! Membership of the routers: which are live, which configuration each holds,
//! and whether this router may admit requests.
//!
//! A router pulls heartbeats from its peers. The answer carries the maximum age
//! of each heartbeat; the puller subtracts that age from the time at which it
//! sent the *request*, which gives a time on its own clock at or after which the
//! heartbeat was made. Clocks of two machines are never compared.
//!
//! A change is accepted once a quorum of the roster has held it for
//! [`FRESH_FOR`], the time for which a router may act on a heartbeat. A router
//! admits requests only while it has heartbeats no older than that from a
//! quorum of the roster and holds every change that any router it knows of
//! holds. Two quorums of one roster share a member, so a router that admits
//! requests knows of each accepted change. A recent confirmation by the
//! platform replaces the quorum.

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

/// How long a router may act on a heartbeat or on a confirmation by the platform.
pub const FRESH_FOR: Duration = Duration::from_secs(2);
/// Time without a new heartbeat after which a router no longer counts as live.
pub const LIVE_FOR: Duration = Duration::from_secs(3);
/// Time without a new heartbeat after which a router is removed from the roster.
pub const REMOVE_AFTER: Duration = Duration::from_secs(8);

/// State that a router reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the router.
    pub router: RouterName,
    /// Grows with each heartbeat of one router.
    pub counter: u64,
    /// Revision up to which it holds the whole configuration.
    pub held: Revision,
    /// Revision of the newest change it knows of.
    pub newest: Revision,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other routers.
    pub mesh_address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is about to stop.
    pub draining: bool,
}

/// The newest known heartbeat of one router.
#[derive(Debug, Clone)]
struct KnownRouter {
    heartbeat: Heartbeat,
    /// The heartbeat was made at or after this time.
    made_after: Option<Instant>,
    /// When a heartbeat with a higher counter last arrived.
    last_seen: Instant,
}

/// One router's view of the heartbeats of all routers.
#[derive(Debug)]
pub struct Members {
    me: RouterName,
    known: BTreeMap<RouterName, KnownRouter>,
    /// When the last confirmation by the platform, that no newer change is
    /// written, was requested.
    confirmed_at: Option<Instant>,
}
