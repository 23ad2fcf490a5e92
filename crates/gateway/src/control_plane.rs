//! Reads of the platform's store: the configuration, the registry of replicas and the
//! evacuated availability zones.

use std::time::Duration;

use briarhall_objects::PlatformError;
use briarhall_policy::evacuations::EvacuationChange;
use briarhall_types::Configuration;
use briarhall_types::ReplicaChange;
use briarhall_types::ReplicaEntry;
use briarhall_types::StorePosition;
use briarhall_types::ZoneName;

/// The configuration at one position of the store.
#[derive(Debug, Clone)]
pub struct ConfigurationSnapshot {
    /// Position of the read, from which a watch continues.
    pub position: StorePosition,
    /// The configuration and the position of its last change.
    pub current: Option<ConfigurationChange>,
}

/// A configuration and the position that it was written at.
#[derive(Debug, Clone)]
pub struct ConfigurationChange {
    /// Position of the write.
    pub position: StorePosition,
    /// The configuration.
    pub configuration: Configuration,
}

/// The registry at one position of the store.
#[derive(Debug, Clone)]
pub struct ReplicaSnapshot {
    /// Position of the listing, from which a watch continues.
    pub position: StorePosition,
    /// All entries.
    pub entries: Vec<ReplicaEntry>,
}

/// What changed in the registry.
#[derive(Debug, Clone)]
pub struct ReplicaChanges {
    /// Position up to which the changes are complete.
    pub position: StorePosition,
    /// The changes, oldest first.
    pub changes: Vec<ReplicaChange>,
}

/// The evacuated zones at one position of the store.
#[derive(Debug, Clone)]
pub struct EvacuationSnapshot {
    /// Position of the listing, from which a watch continues.
    pub position: StorePosition,
    /// All zones.
    pub zones: Vec<ZoneName>,
}

/// What changed among the evacuated zones.
#[derive(Debug, Clone)]
pub struct EvacuationChanges {
    /// Position up to which the changes are complete.
    pub position: StorePosition,
    /// The changes, oldest first.
    pub changes: Vec<EvacuationChange>,
}

/// What the answer to a check has to show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// A position that the store has reached, maybe seconds ago. Such a call costs little.
    MayBeOld,
    /// The last position of the store.
    Latest,
}

/// Reads of the platform's store.
pub trait ControlPlane: Clone + Send + Sync + 'static {
    /// Reads the current configuration.
    fn configuration(
        &self,
    ) -> impl Future<Output = Result<ConfigurationSnapshot, PlatformError>> + Send;

    /// Waits for a change of the configuration after `since`, no longer than
    /// `wait`.
    fn watch_configuration(
        &self,
        since: StorePosition,
        wait: Duration,
    ) -> impl Future<Output = Result<ConfigurationSnapshot, PlatformError>> + Send;

    /// Reads the complete current registry.
    fn replicas(&self) -> impl Future<Output = Result<ReplicaSnapshot, PlatformError>> + Send;

    /// Waits for changes of the registry after `since`, no longer than `wait`.
    fn watch_replicas(
        &self,
        since: StorePosition,
        wait: Duration,
    ) -> impl Future<Output = Result<ReplicaChanges, PlatformError>> + Send;

    /// Reads the complete current list of evacuated zones.
    fn evacuations(&self)
    -> impl Future<Output = Result<EvacuationSnapshot, PlatformError>> + Send;

    /// Waits for changes of the evacuated zones after `since`, no longer than `wait`.
    fn watch_evacuations(
        &self,
        since: StorePosition,
        wait: Duration,
    ) -> impl Future<Output = Result<EvacuationChanges, PlatformError>> + Send;

    /// Checks that the store answers within `limit`, by a call that does not wait for
    /// a change, and returns the position that it names, if it names one.
    fn check(
        &self,
        limit: Duration,
        reading: Reading,
    ) -> impl Future<Output = Result<Option<StorePosition>, PlatformError>> + Send;
}
