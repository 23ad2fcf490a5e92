//! Points in the history of the platform's store.

use serde::Deserialize;
use serde::Serialize;

use crate::Revision;

/// Number of times that the store was restored from a copy.
pub type StoreEra = u64;

/// A point in the history of the store. After a restore revisions go back and are
/// given out again, so a later era goes before a larger revision.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// The era.
    pub era: StoreEra,
    /// The revision, within its era.
    pub revision: Revision,
}
