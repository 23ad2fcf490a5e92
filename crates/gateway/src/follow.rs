//! Keeps local state in sync with the store: reads an object or list
//! completely, then watches it, and reads it again whenever a watch fails.
//!
//! A watch that waits proves nothing: its answer may have been lost. While it waits, the
//! store is asked for changes whenever it has a position up to which the list is not known
//! to be complete.

use std::ops::ControlFlow;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use briarhall_net::timeout;
use briarhall_objects::PlatformError;
use briarhall_policy::resumption::List;
use briarhall_policy::watch_pace::WatchPace;
use briarhall_types::StorePosition;
use futures_lite::future;

use crate::pause_guard::PauseGuard;
use crate::state::Shared;
use crate::store_check::StoreReturns;
use crate::store_gate::StoreGate;

/// Longest wait of one watch call; TCP keepalive probes detect a broken
/// connection well before.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// Delay after a call that failed or a watch that could not begin. It doubles up
/// to the shortest time between two reads of a series of changes.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
/// Longest delay if that time is shorter.
const MIN_LONGEST_BACKOFF: Duration = Duration::from_millis(400);

/// An object or list in the store that is kept in sync.
pub trait Followed: Send + Sync {
    /// Its name in logs.
    const NAME: &'static str;
    /// Which list it is.
    const LIST: List;

    /// Reads it completely, and returns the position to watch from.
    fn read(&self) -> impl Future<Output = Result<StorePosition, PlatformError>> + Send;

    /// Waits for a change after `since`, no longer than `wait`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Expired`] when the changes do not follow `since`.
    fn watch(
        &self,
        since: StorePosition,
        wait: Duration,
    ) -> impl Future<Output = Result<Delivered, PlatformError>> + Send;

    /// Called when a read or a watch has failed.
    fn on_unavailable(&self) {}
}

/// The answer to a watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delivered {
    /// Position up to which the changes are complete, to continue from.
    pub position: StorePosition,
    /// Whether there was a change.
    pub is_change: bool,
}

/// What tells a task when to call the store.
#[derive(Debug, Clone)]
pub struct StoreSignals {
    /// The returns of the store from outages.
    pub returns: StoreReturns,
    /// Receives a message when other gateways have had for long what this one's watch does
    /// not deliver.
    pub overdue: Receiver<()>,
    /// Receives a message when the list may not be complete: the time in which the store
    /// has to answer which changes there are.
    pub doubts: Receiver<Duration>,
    /// Open while this gateway reads the store.
    pub gate: StoreGate,
    /// Is told which lists were read since the last pause of the process.
    pub pause_guard: PauseGuard,
    /// Control state, which knows how far each list is complete.
    pub shared: Arc<Shared>,
}

/// Checks that the answer of a watch follows what was read before. In another era
/// the same revisions are other changes.
///
/// # Errors
///
/// Returns [`PlatformError::Expired`] when the store was restored in between.
pub fn same_era(since: StorePosition, answered: StorePosition) -> Result<(), PlatformError> {
    if since.era == answered.era {
        Ok(())
    } else {
        Err(PlatformError::Expired)
    }
}

/// Keeps an object or list in sync for the life of the process. Changes that come
/// in series are read no more often than each `min_interval`. What was called before
/// the store returns from an outage may never be answered, so it is called anew, as is a
/// watch that does not deliver what other gateways have. While the gate is closed nothing
/// is called, and afterwards it is read completely.
pub async fn follow<F>(followed: F, min_interval: Duration, signals: StoreSignals)
where
    F: Followed,
{
    let StoreSignals {
        returns: store_returns,
        overdue,
        doubts,
        gate,
        pause_guard,
        shared,
    } = signals;
    let watcher = Watcher {
        followed: &followed,
        shared: &shared,
        gate: &gate,
        doubts: &doubts,
    };
    let mut position = None;
    let mut pace = WatchPace::new(min_interval);
    let max_backoff = min_interval.max(MIN_LONGEST_BACKOFF);
    let mut backoff = INITIAL_BACKOFF;
    loop {
        if !gate.is_open_for_lists() {
            gate.opened_for_lists().await;
            position = None;
            backoff = INITIAL_BACKOFF;
            // It is read anew in any case.
            let _returned = store_returns.try_recv();
        }
        gate.record_call();
        let called_at = Instant::now();
        let call = async {
            Some(match position {
                None => followed.read().await.map(|position| Delivered {
                    position,
                    is_change: true,
                }),
                Some(since) => watcher.watch(since).await,
            })
        };
        let abandoned = async {
            let given_up = future::or(returned(&store_returns), gate.closed());
            if position.is_some() {
                future::or(given_up, told(&overdue)).await;
            } else {
                given_up.await;
            }
            None
        };
        let read = future::or(call, abandoned).await;
        if let (None, Some(read)) = (position, &read) {
            // It brought what was overdue, or the store has to be asked again in any case.
            let _overdue = overdue.try_recv();
            pause_guard.record_read(F::LIST, read.is_ok(), called_at);
        }
        let call = if position.is_some() { "watch" } else { "read" };
        let after_ms = u64::try_from(called_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        match read {
            Some(Ok(delivered)) => {
                gate.record_answer();
                watcher.record_complete(delivered.position);
                // Only a watch resets the delay: a read that succeeds does not
                // show that a watch can begin.
                if position.is_some() {
                    backoff = INITIAL_BACKOFF;
                }
                // Changes that are not this gateway's are paced as well.
                if position.replace(delivered.position) != Some(delivered.position) {
                    let pause = pace.changed(Instant::now());
                    if !pause.is_zero() {
                        Timer::after(pause).await;
                    }
                }
                continue;
            }
            Some(Err(PlatformError::Expired)) => {
                log::info!(event = "watch_expired", what = F::NAME, after_ms; "watch expired; reading again");
            }
            Some(Err(e)) => {
                let error = e.to_string();
                log::info!(event = "store_failed", what = F::NAME, call, after_ms, error = error.as_str(); "store call failed; retrying");
                if gate.is_open() {
                    followed.on_unavailable();
                }
            }
            None if !gate.is_open() => continue,
            None => {
                log::info!(event = "call_abandoned", what = F::NAME, call, after_ms; "a watch may deliver nothing more; reading again");
                position = None;
                backoff = INITIAL_BACKOFF;
                continue;
            }
        }
        // A new watch would not deliver missed changes, so read again.
        position = None;
        let delay = async {
            Timer::after(backoff).await;
            (backoff * 2).min(max_backoff)
        };
        let at_once = async {
            let called = future::or(returned(&store_returns), gate.closed());
            future::or(called, told(&overdue)).await;
            INITIAL_BACKOFF
        };
        backoff = future::or(delay, at_once).await;
    }
}

/// Watches one object or list, and asks for its changes when the watch may not deliver them.
struct Watcher<'a, F> {
    followed: &'a F,
    shared: &'a Shared,
    gate: &'a StoreGate,
    doubts: &'a Receiver<Duration>,
}

impl<F> Watcher<'_, F>
where
    F: Followed,
{
    /// Waits for a change after `since`. Whenever the list may not be complete, asks for its
    /// changes beside the watch that waits.
    async fn watch(&self, since: StorePosition) -> Result<Delivered, PlatformError> {
        let began = Instant::now();
        // It was raised before this watch was called.
        let _earlier = self.doubts.try_recv();
        let mut waiting = pin!(self.followed.watch(since, WATCH_TIMEOUT));
        let mut complete_to = since;
        loop {
            let answered = async { ControlFlow::Break(waiting.as_mut().await) };
            let doubted = async { ControlFlow::Continue(told(self.doubts).await) };
            let limit = match future::or(answered, doubted).await {
                ControlFlow::Break(answer) => return answer,
                ControlFlow::Continue(limit) => limit,
            };
            self.gate.record_call();
            let answered = async { ControlFlow::Break(waiting.as_mut().await) };
            let asked = async {
                let changes = self.followed.watch(complete_to, Duration::ZERO);
                ControlFlow::Continue(timeout(limit, changes).await)
            };
            let changes = match future::or(answered, asked).await {
                ControlFlow::Break(answer) => return answer,
                ControlFlow::Continue(changes) => changes,
            };
            match changes {
                Ok(Ok(delivered)) if delivered.is_change => {
                    self.record_lost_watch(began, delivered.position);
                    return Ok(delivered);
                }
                Ok(Ok(delivered)) => {
                    self.gate.record_answer();
                    complete_to = delivered.position;
                    self.record_complete(complete_to);
                }
                Ok(Err(PlatformError::Expired)) => return Err(PlatformError::Expired),
                Ok(Err(e)) => log_unknown(F::NAME, &e.to_string()),
                Err(elapsed) => log_unknown(F::NAME, &elapsed.to_string()),
            }
        }
    }

    fn record_complete(&self, position: StorePosition) {
        let mut state = self.shared.state();
        state.deliveries.record_complete(F::LIST, position);
    }

    fn record_lost_watch(&self, began: Instant, position: StorePosition) {
        let waited_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.shared.metrics.count("watch_lost");
        log::warn!(event = "watch_lost", what = F::NAME, waited_ms, era = position.era, revision = position.revision; "the store has changes that a watch did not deliver; watching anew");
    }
}

fn log_unknown(what: &str, error: &str) {
    log::info!(event = "changes_unknown", what, error; "the store does not tell whether a watch has delivered everything");
}

/// Waits until the store has returned from an outage.
async fn returned(store_returns: &StoreReturns) {
    told(store_returns).await;
}

/// Waits for a message.
async fn told<M>(messages: &Receiver<M>) -> M {
    match messages.recv().await {
        Ok(message) => message,
        // Nothing sends any more.
        Err(_closed) => future::pending().await,
    }
}
