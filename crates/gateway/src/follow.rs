//! Keeps something up with the store: reads it whole, then watches, and begins
//! anew whenever a watch gives out.

use std::time::Duration;

use async_io::Timer;
use briarhall_objects::PlatformError;
use briarhall_types::Revision;

/// Time that a watch waits; a silent connection is found by its probes well
/// before.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a call that failed or a watch that could not begin, doubled up to
/// [`MAX_PAUSE`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
/// Longest pause between calls: what changed must be in force two seconds after
/// the store's return.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Something of the store that is followed.
pub trait Followed: Send + Sync {
    /// Its name, for logs.
    const NAME: &'static str;

    /// Reads it whole, and returns the revision to watch from.
    fn read(&self) -> impl Future<Output = Result<Revision, PlatformError>> + Send;

    /// Waits for a change after `since`, and returns where to go on.
    fn watch(
        &self,
        since: Revision,
    ) -> impl Future<Output = Result<Revision, PlatformError>> + Send;

    /// The store did not answer.
    fn on_unavailable(&self) {}
}

/// Follows it for ever.
pub async fn follow<F>(followed: F)
where
    F: Followed,
{
    let mut read_at = None;
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let read = match read_at {
            None => followed.read().await,
            Some(since) => followed.watch(since).await,
        };
        match read {
            Ok(at) => {
                // A list that is read shows nothing of whether a watch can begin.
                if read_at.is_some() {
                    backoff = INITIAL_BACKOFF;
                }
                read_at = Some(at);
                continue;
            }
            Err(PlatformError::Expired) => {
                log::info!(event = "watch_expired", what = F::NAME; "watch expired");
            }
            Err(e) => {
                let error = e.to_string();
                log::info!(event = "store_failed", what = F::NAME, error = error.as_str(); "store failed");
                followed.on_unavailable();
            }
        }
        // What was missed is read, not waited for.
        read_at = None;
        Timer::after(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
