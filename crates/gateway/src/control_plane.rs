//! Reads of the platform's store: the configuration and the registry of
//! replicas.

use std::time::Duration;

use briarhall_objects::PlatformError;
use briarhall_types::Configuration;
use briarhall_types::ReplicaChange;
use briarhall_types::ReplicaEntry;
use briarhall_types::Revision;

/// The configuration at one revision of the store.
#[derive(Debug, Clone)]
pub struct ConfigurationSnapshot {
    /// Revision of the read, from which a watch continues.
    pub revision: Revision,
    /// The configuration and the revision of its last change.
    pub current: Option<ConfigurationChange>,
}

/// A configuration and the revision that it was written at.
#[derive(Debug, Clone)]
pub struct ConfigurationChange {
    /// Store revision of the write.
    pub revision: Revision,
    /// The configuration.
    pub configuration: Configuration,
}

/// The registry at one revision of the store.
#[derive(Debug, Clone)]
pub struct ReplicaSnapshot {
    /// Revision of the listing, from which a watch continues.
    pub revision: Revision,
    /// All entries.
    pub entries: Vec<ReplicaEntry>,
}

/// What changed in the registry.
#[derive(Debug, Clone)]
pub struct ReplicaChanges {
    /// Revision up to which the changes are complete.
    pub revision: Revision,
    /// The changes, oldest first.
    pub changes: Vec<ReplicaChange>,
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
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<ConfigurationSnapshot, PlatformError>> + Send;

    /// Reads the complete current registry.
    fn replicas(&self) -> impl Future<Output = Result<ReplicaSnapshot, PlatformError>> + Send;

    /// Waits for changes of the registry after `since`, no longer than `wait`.
    fn watch_replicas(
        &self,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<ReplicaChanges, PlatformError>> + Send;
}
