//! Configuration that only moves forward.
//!
//! A router holds, for some revision of the platform, everything written up to
//! it. Updates come from the platform or from a neighbour; each says how far it
//! is complete, and an update that is older than what is held changes nothing.

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

/// What one configuration object holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigValue {
    /// A customer's contract.
    Contract(ContractRecord),
    /// The routers that must agree.
    Roster(Arc<Roster>),
}

/// A contract with the trail of the change that made it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractRecord {
    /// Id of the change, to recognise a write whose answer was lost.
    pub change: CompactString,
    /// Who made the change.
    pub operator: CompactString,
    /// The contract.
    pub contract: Arc<Contract>,
}

/// One object at one version; no value after a delete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Revision of the write.
    pub version: Revision,
    /// What it holds.
    pub value: Option<ConfigValue>,
}

/// What changed between two revisions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The changes are complete after this revision. Zero for a whole copy.
    pub since: Revision,
    /// The changes are complete up to this revision.
    pub up_to: Revision,
    /// The objects that changed.
    pub entries: BTreeMap<CompactString, Entry>,
}

/// Everything a router holds of the configuration.
#[derive(Debug, Clone, Default)]
pub struct ConfigStore {
    entries: BTreeMap<CompactString, Entry>,
    held: Revision,
    newest: Revision,
    floor: Revision,
    by_key: BTreeMap<[u8; 32], CompactString>,
}
