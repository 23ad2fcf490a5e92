//! Store of the configuration on a router, whose revision never decreases.
//!
//! A router holds every change up to some revision of the platform. Updates come
//! from the platform or from another router. Each update states the revisions
//! between which it is complete, and an update that is older than the held
//! revision has no effect.

mod commands;
mod queries;

use std::collections::BTreeMap;
use std::sync::Arc;

use briarhall_types::Contract;
use briarhall_types::Revision;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::members::Roster;

pub use queries::VersionedContract;

/// Name of the roster's object among the configuration objects.
pub const ROSTER: &str = "roster";
/// Prefix of the names of contract objects.
pub const CONTRACT_PREFIX: &str = "contract.";

/// Value of a configuration object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigValue {
    /// A customer's contract.
    Contract(ContractRecord),
    /// The routers that vote on changes.
    Roster(Arc<Roster>),
}

/// A contract with the audit data of the change that wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractRecord {
    /// Id of the change, to recognise a write whose response was lost.
    pub change: CompactString,
    /// Operator who made the change.
    pub operator: CompactString,
    /// The contract.
    pub contract: Arc<Contract>,
}

/// One object at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Revision of the write.
    pub version: Revision,
    /// Value of the object; `None` after a delete.
    pub value: Option<ConfigValue>,
}

/// The changes between two revisions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The update contains every change after this revision. Zero for a full
    /// copy.
    pub since: Revision,
    /// The update contains every change up to this revision.
    pub up_to: Revision,
    /// The changed objects, by name.
    pub entries: BTreeMap<CompactString, Entry>,
}

/// The configuration that a router holds.
#[derive(Debug, Clone, Default)]
pub struct ConfigStore {
    entries: BTreeMap<CompactString, Entry>,
    /// Every change up to this revision is held.
    held: Revision,
    /// Version of the newest entry.
    newest: Revision,
    /// Revision of the last full copy. Earlier deletes may have left no entry.
    full_copy_revision: Revision,
    by_key: BTreeMap<[u8; 32], CompactString>,
}
