//! Changes to the configuration held.

use compact_str::CompactString;

use super::ConfigStore;
use super::ConfigValue;
use super::Entry;
use super::Update;

impl ConfigStore {
    /// Takes an update, unless it is older than what is held or leaves a gap.
    /// Returns whether anything changed hands.
    pub fn apply(&mut self, update: Update) -> bool {
        if update.up_to <= self.held || update.since > self.held {
            return false;
        }
        if update.since == 0 {
            self.forget_missing(&update);
            self.floor = update.up_to;
        }
        for (name, entry) in update.entries {
            self.put(name, entry);
        }
        self.held = update.up_to;
        self.index_keys();
        true
    }

    /// In a whole copy, what is missing was deleted at some point up to it.
    fn forget_missing(&mut self, update: &Update) {
        let missing = |name: &CompactString, entry: &Entry| {
            !update.entries.contains_key(name) && entry.version <= update.up_to
        };
        self.entries.retain(|name, entry| !missing(name, entry));
    }

    fn put(&mut self, name: CompactString, entry: Entry) {
        let held = self.entries.get(&name).map_or(0, |held| held.version);
        if entry.version > held {
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
