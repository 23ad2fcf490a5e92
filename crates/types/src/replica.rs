//! Replicas of services, as the service registry lists them.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::ServiceName;
use crate::StorePosition;
use crate::ZoneName;

/// Id of a replica, which may keep it when it restarts.
pub type ReplicaId = CompactString;

/// One replica as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// Its id.
    pub id: ReplicaId,
    /// What it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// Time until it has warmed up; it is slow until then.
    #[serde(rename = "warm_in")]
    pub warm_up_remaining: Duration,
    /// Start of its process in Unix milliseconds, if it reports one.
    pub started_unix_ms: Option<u64>,
}

/// What the registry holds under one id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEntry {
    /// Id under which the entry is stored.
    pub id: ReplicaId,
    /// Position of its last change.
    pub position: StorePosition,
    /// The replica; absent when the entry does not describe a usable one.
    pub record: Option<ReplicaRecord>,
}

/// A change of the registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaChange {
    /// The entry after the change.
    pub entry: ReplicaEntry,
    /// Whether the entry was removed.
    pub removed: bool,
}
