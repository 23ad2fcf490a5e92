//! Updates of the held configuration.

use compact_str::CompactString;

use super::ConfigStore;
use super::ConfigValue;
use super::Entry;
use super::Update;

impl ConfigStore {
    /// Applies an update, unless it is not newer than the held revision or does
    /// not connect to it. Returns whether the update was applied.
    pub fn apply(&mut self, update: Update) -> bool {
        if update.up_to <= self.held || update.since > self.held {
            return false;
        }
        if update.since == 0 {
            self.remove_missing(&update);
            self.full_copy_revision = update.up_to;
        }
        for (name, entry) in update.entries {
            self.put(name, entry);
        }
        self.held = update.up_to;
        self.index_keys();
        true
    }

    /// Removes the objects that are missing from a full copy: they were deleted
    /// at or before its revision.
    fn remove_missing(&mut self, update: &Update) {
        let is_missing = |name: &CompactString, entry: &Entry| {
            !update.entries.contains_key(name) && entry.version <= update.up_to
        };
        self.entries.retain(|name, entry| !is_missing(name, entry));
    }

    fn put(&mut self, name: CompactString, entry: Entry) {
        let current = self.entries.get(&name).map_or(0, |entry| entry.version);
        if entry.version > current {
            self.newest = self.newest.max(entry.version);
            self.entries.insert(name, entry);
        }
    }

    fn index_keys(&mut self) {
        self.by_key.clear();
        for (name, entry) in &self.entries {
            let Some(ConfigValue::Contract(record)) = &entry.value else {
                continue;
            };
            for digest in &record.contract.key_digests {
                self.by_key.insert(digest.to_bytes(), name.clone());
            }
        }
    }
}
