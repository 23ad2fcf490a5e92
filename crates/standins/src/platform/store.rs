//! Versioned objects in memory, with a history for watches and stale reads.

use std::collections::BTreeMap;

use briarhall_objects::Change;
use briarhall_objects::Listing;
use briarhall_objects::Object;
use serde_json::Value;

const MAX_HISTORY_ENTRIES: usize = 100_000;
const MAX_VALUE_BYTES: usize = 1024 * 1024;

type Kind = String;

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// None.
    Any,
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Reason why a write did not take effect.
#[derive(Debug)]
pub enum WriteError {
    /// The condition does not hold; carries the current object.
    Conflict(Option<Object<Value>>),
    /// The value is larger than a mebibyte.
    TooLarge,
}

#[derive(Debug)]
struct HistoryEntry {
    kind: Kind,
    change: Change<Value>,
}

/// The objects, with the history of their changes.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    objects: BTreeMap<Kind, BTreeMap<String, Object<Value>>>,
    history: Vec<HistoryEntry>,
    compacted_revision: u64,
}

impl Store {
    /// Returns the revision of the last write.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns one object.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object<Value>> {
        self.objects.get(kind)?.get(name)
    }

    /// Returns all objects of a kind as they were `lag` revisions ago.
    #[must_use]
    pub fn list(&self, kind: &str, lag: u64) -> Listing<Value> {
        let revision = self
            .revision
            .saturating_sub(lag)
            .max(self.compacted_revision);
        if lag == 0 {
            let items = self.objects.get(kind);
            return Listing {
                revision,
                era: 0,
                items: items.map_or_else(Vec::new, |items| items.values().cloned().collect()),
            };
        }
        Listing {
            revision,
            era: 0,
            items: self.replay(kind, revision),
        }
    }

    fn replay(&self, kind: &str, revision: u64) -> Vec<Object<Value>> {
        let mut items = BTreeMap::new();
        let entries = self.history.iter().filter(|entry| entry.kind == kind);
        for HistoryEntry { change, .. } in entries.take_while(|e| e.change.version <= revision) {
            match &change.value {
                None => items.remove(&change.name),
                Some(value) => items.insert(
                    change.name.clone(),
                    Object {
                        name: change.name.clone(),
                        version: change.version,
                        value: value.clone(),
                    },
                ),
            };
        }
        items.into_values().collect()
    }

    /// Returns the changes of a kind after `since`, or nothing when the
    /// history does not reach back that far.
    #[must_use]
    pub fn changes(&self, kind: &str, since: u64) -> Option<Vec<Change<Value>>> {
        if since < self.compacted_revision {
            return None;
        }
        let first = self
            .history
            .partition_point(|entry| entry.change.version <= since);
        let entries = self.history[first..].iter();
        let of_kind = entries.filter(|entry| entry.kind == kind);
        Some(of_kind.map(|entry| entry.change.clone()).collect())
    }

    /// Writes an object and returns its new version.
    ///
    /// # Errors
    ///
    /// Returns an error when the condition does not hold or the value is too
    /// large.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: Value,
    ) -> Result<u64, WriteError> {
        if value.to_string().len() > MAX_VALUE_BYTES {
            return Err(WriteError::TooLarge);
        }
        self.check(kind, name, condition)?;
        let version = self.record(kind, name, Some(value.clone()));
        let object = Object {
            name: name.into(),
            version,
            value,
        };
        let of_kind = self.objects.entry(kind.to_owned()).or_default();
        of_kind.insert(name.to_owned(), object);
        Ok(version)
    }

    /// Deletes an object and returns the revision of the delete.
    ///
    /// # Errors
    ///
    /// Returns an error when the condition does not hold.
    pub fn delete(
        &mut self,
        kind: &str,
        name: &str,
        condition: Condition,
    ) -> Result<u64, WriteError> {
        self.check(kind, name, condition)?;
        if let Some(of_kind) = self.objects.get_mut(kind) {
            of_kind.remove(name);
        }
        Ok(self.record(kind, name, None))
    }

    fn check(&self, kind: &str, name: &str, condition: Condition) -> Result<(), WriteError> {
        let current = self.get(kind, name);
        let holds = match condition {
            Condition::Any => true,
            Condition::Absent => current.is_none(),
            Condition::Version(version) => current.is_some_and(|o| o.version == version),
        };
        if holds {
            return Ok(());
        }
        Err(WriteError::Conflict(current.cloned()))
    }

    fn record(&mut self, kind: &str, name: &str, value: Option<Value>) -> u64 {
        self.revision += 1;
        self.history.push(HistoryEntry {
            kind: kind.to_owned(),
            change: Change {
                name: name.into(),
                version: self.revision,
                value,
            },
        });
        if self.history.len() > MAX_HISTORY_ENTRIES {
            let dropped = self.history.drain(..MAX_HISTORY_ENTRIES / 2);
            self.compacted_revision = dropped
                .max_by_key(|entry| entry.change.version)
                .map_or(0, |entry| entry.change.version);
        }
        self.revision
    }
}
