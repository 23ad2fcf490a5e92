//! Request and response bodies of the object API, as JSON documents.

use briarhall_types::EndpointRecord;
use briarhall_types::Revision;
use briarhall_types::StoreEra;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// A versioned object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object<T> {
    /// Name, unique within its kind.
    pub name: CompactString,
    /// Revision of the write that made this version.
    pub version: Revision,
    /// Its value.
    pub value: T,
}

/// All objects of one kind at one revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Listing<T> {
    /// Revision the listing was taken at.
    pub revision: Revision,
    /// Era of the revisions; 0 where the store has none.
    #[serde(default)]
    pub era: StoreEra,
    /// The objects, by name.
    pub items: Vec<Object<T>>,
}

/// One change seen by a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Change<T> {
    /// Name of the object.
    pub name: CompactString,
    /// Revision of the change.
    pub version: Revision,
    /// Its current value; absent after a delete.
    pub value: Option<T>,
}

/// Answer of a watch: what changed after the revision it was given.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchReply<T> {
    /// Revision up to which the changes are complete.
    pub revision: Revision,
    /// Era of the revisions; 0 where the store has none.
    #[serde(default)]
    pub era: StoreEra,
    /// The changes, oldest first.
    pub changes: Vec<Change<T>>,
}

/// Answer of a successful write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// Revision of the write, which is the object's new version.
    pub version: Revision,
}

/// Answer of a write whose precondition failed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConflictReply<T> {
    /// The current object, if it exists.
    pub current: Option<Object<T>>,
}

/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// No such object exists.
    Absent,
    /// The object has this version.
    Version(Revision),
}

/// The platform's list of VMs, which lags behind their actual state.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct VmListing {
    /// Live and draining endpoints.
    pub items: Vec<EndpointRecord>,
}
