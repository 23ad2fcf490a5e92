//! Traits for the platform's API.

use std::time::Duration;

use briarhall_types::Revision;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Listing;
use crate::Object;
use crate::PlatformError;
use crate::Precondition;
use crate::VmListing;
use crate::WatchReply;
use crate::Written;

/// Versioned objects with conditional writes and watches.
pub trait ObjectApi: Clone + Send + Sync + 'static {
    /// Reads one object.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::NotFound`] when it does not exist.
    fn get<T>(
        &self,
        kind: &str,
        name: &str,
    ) -> impl Future<Output = Result<Object<T>, PlatformError>> + Send
    where
        T: DeserializeOwned + Send;

    /// Reads all objects of a kind, as of `at_least` or later.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform cannot answer from that revision.
    fn list<T>(
        &self,
        kind: &str,
        at_least: Revision,
    ) -> impl Future<Output = Result<Listing<T>, PlatformError>> + Send
    where
        T: DeserializeOwned + Send;

    /// Writes an object if the precondition holds.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`] when it does not hold.
    fn put<T>(
        &self,
        kind: &str,
        name: &str,
        precondition: Precondition,
        value: &T,
    ) -> impl Future<Output = Result<Written, PlatformError>> + Send
    where
        T: Serialize + Sync;

    /// Deletes an object if it has this version.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`] when it has another version.
    fn delete(
        &self,
        kind: &str,
        name: &str,
        version: Revision,
    ) -> impl Future<Output = Result<Written, PlatformError>> + Send;

    /// Waits for changes of a kind after `since`, no longer than `wait`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Expired`] when `since` is too long ago.
    fn watch<T>(
        &self,
        kind: &str,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchReply<T>, PlatformError>> + Send
    where
        T: DeserializeOwned + Send;
}

/// The platform's API beyond objects: its list of VMs and the weight store.
pub trait FleetApi: ObjectApi {
    /// Asks the weight store for permission to load `bytes` bytes of `subject`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Limited`] when the caller has to wait.
    fn take_weights(
        &self,
        subject: &str,
        bytes: u64,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Reads the list of VMs, which lags behind their actual state.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer.
    fn vms(&self) -> impl Future<Output = Result<VmListing, PlatformError>> + Send;
}
