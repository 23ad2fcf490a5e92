//! Queries on the held configuration.

use std::sync::Arc;

use briarhall_types::Contract;
use briarhall_types::Digest;
use briarhall_types::Revision;
use compact_str::CompactString;
use compact_str::format_compact;

use super::CONTRACT_PREFIX;
use super::ConfigStore;
use super::ConfigValue;
use super::ContractRecord;
use super::Entry;
use super::ROSTER;
use super::Update;
use crate::members::Roster;

/// A contract together with its version.
#[derive(Debug, Clone)]
pub struct VersionedContract {
    /// Version of the contract.
    pub version: Revision,
    /// The contract.
    pub contract: Arc<Contract>,
}

impl ConfigStore {
    /// Returns the revision up to which every change is held.
    #[must_use]
    pub fn held(&self) -> Revision {
        self.held
    }

    /// Returns the revision of the newest held change.
    #[must_use]
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// Returns the changes that a router lacks that holds every change up to
    /// `since`.
    #[must_use]
    pub fn update_since(&self, since: Revision) -> Update {
        // Deletes before the last full copy may have left no entry here, so only
        // a full copy can convey them.
        let since = if since < self.full_copy_revision {
            0
        } else {
            since
        };
        let changed = self.entries.iter().filter(|(_, e)| e.version > since);
        Update {
            since,
            up_to: self.held,
            entries: changed.map(|(n, e)| (n.clone(), e.clone())).collect(),
        }
    }

    /// Returns the contract to which an API key belongs.
    #[must_use]
    pub fn by_key(&self, digest: &Digest) -> Option<VersionedContract> {
        let name = self.by_key.get(&digest.to_bytes())?;
        let (version, record) = self.record(name)?;
        // The index only finds a candidate. The comparison that decides runs in
        // constant time.
        let matches = record.contract.key_digests.iter().any(|d| d == digest);
        matches.then(|| VersionedContract {
            version,
            contract: Arc::clone(&record.contract),
        })
    }

    /// Returns a customer's contract.
    #[must_use]
    pub fn contract(&self, customer: &str) -> Option<VersionedContract> {
        let name = format_compact!("{CONTRACT_PREFIX}{customer}");
        let (version, record) = self.record(&name)?;
        Some(VersionedContract {
            version,
            contract: Arc::clone(&record.contract),
        })
    }

    /// Returns every contract's record, by object name.
    pub fn records(&self) -> impl Iterator<Item = (&CompactString, Revision, &ContractRecord)> {
        self.entries
            .iter()
            .filter_map(|(name, entry)| match &entry.value {
                Some(ConfigValue::Contract(record)) => Some((name, entry.version, record)),
                _ => None,
            })
    }

    /// Returns the roster, or an empty one if none was ever written.
    #[must_use]
    pub fn roster(&self) -> Arc<Roster> {
        match self.entries.get(ROSTER) {
            Some(Entry {
                value: Some(ConfigValue::Roster(roster)),
                ..
            }) => Arc::clone(roster),
            _ => Arc::default(),
        }
    }

    /// Returns the roster's version, or zero if none was ever written.
    #[must_use]
    pub fn roster_version(&self) -> Revision {
        self.entries.get(ROSTER).map_or(0, |entry| entry.version)
    }

    fn record(&self, name: &str) -> Option<(Revision, &ContractRecord)> {
        let entry = self.entries.get(name)?;
        match &entry.value {
            Some(ConfigValue::Contract(record)) => Some((entry.version, record)),
            _ => None,
        }
    }
}
