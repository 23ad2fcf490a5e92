//! Keeps the calls to the store back while this gateway stands by.
//!
//! Every task that calls the store holds a gate. Whether it is open is decided anew at a
//! regular interval, from what the other gateways report in their heartbeats.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use briarhall_policy::store_readers::OwnPlace;
use briarhall_policy::store_readers::ReadCause;
use briarhall_policy::store_readers::ReaderChange;
use futures_lite::future;

use crate::state::Shared;

/// Time between two decisions: a small part of the second after which a reader is no
/// longer heard.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two looks at whether the store has answered a check: a small part of the
/// time in which changes must be in force.
const ANSWER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Tells one task whether it may call the store.
#[derive(Debug, Clone)]
pub struct StoreGate {
    shared: Arc<Shared>,
    changes: Receiver<()>,
}

impl StoreGate {
    /// Returns whether this gateway reads the store.
    pub fn is_open(&self) -> bool {
        self.shared.state().store_readers.reads()
    }

    /// Waits until this gateway reads the store.
    pub async fn opened(&self) {
        self.until(true).await;
    }

    /// Returns whether this gateway reads the lists in the store.
    pub fn is_open_for_lists(&self) -> bool {
        self.shared.state().store_readers.reads_lists()
    }

    /// Waits until this gateway reads the lists in the store.
    pub async fn opened_for_lists(&self) {
        while !self.is_open_for_lists() {
            if self.is_open() {
                Timer::after(ANSWER_CHECK_INTERVAL).await;
            } else {
                self.opened().await;
            }
        }
    }

    /// Waits until this gateway stands by.
    pub async fn closed(&self) {
        self.until(false).await;
    }

    /// Counts a call to the store.
    pub fn record_call(&self) {
        self.shared.metrics.count("store_called");
    }

    /// Records that the store has answered a call.
    pub fn record_answer(&self) {
        let now = Instant::now();
        self.shared.state().store_readers.record_answer(now);
    }

    async fn until(&self, open: bool) {
        while self.is_open() != open {
            if self.changes.recv().await.is_err() {
                // Nothing opens or closes it any more.
                future::pending::<()>().await;
            }
        }
    }
}

/// Opens and closes all gates of a gateway.
#[derive(Debug, Clone)]
pub struct StoreGates {
    shared: Arc<Shared>,
    holders: Vec<Sender<()>>,
}

impl StoreGates {
    /// Creates gates that nobody holds yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            holders: Vec::new(),
        }
    }

    /// Returns a gate for one task that calls the store.
    pub fn gate(&mut self) -> StoreGate {
        let (tx, rx) = async_channel::bounded(1);
        self.holders.push(tx);
        StoreGate {
            shared: Arc::clone(&self.shared),
            changes: rx,
        }
    }

    /// Decides for the life of the process whether this gateway reads the store.
    pub async fn run(self) {
        self.shared.metrics.gauge("store_reader", 1);
        loop {
            if let Some((own, change)) = self.decide(Instant::now()) {
                self.announce(own, change);
            }
            Timer::after(DECISION_INTERVAL).await;
        }
    }

    fn decide(&self, now: Instant) -> Option<(OwnPlace, ReaderChange)> {
        let mut state = self.shared.state();
        let state = &mut *state;
        let own = OwnPlace {
            gateways: state.peers.count() + 1,
            advertised: state.advertised,
        };
        let reports = state.peers.store_readers();
        let change = state.store_readers.decide(own, reports, now)?;
        match change {
            ReaderChange::Reads { silent_since, .. } => {
                // Entries may have lapsed since, which the first list does not tell.
                if let Some(since) = silent_since {
                    state.replicas.registry_unavailable(since);
                }
            }
            // The others reach the registry, and tell which entries have lapsed.
            ReaderChange::StandsBy => state.replicas.registry_available(now),
        }
        Some((own, change))
    }

    fn announce(&self, own: OwnPlace, change: ReaderChange) {
        let cause = match change {
            ReaderChange::Reads { cause, .. } => Some(cause),
            ReaderChange::StandsBy => None,
        };
        let reads = cause.is_some();
        let cause = cause.map(ReadCause::as_str).unwrap_or_default();
        self.shared.metrics.count("store_reader_changed");
        self.shared.metrics.gauge("store_reader", reads.into());
        log::info!(event = "store_reader", reads, cause, gateways = own.gateways; "this gateway has begun or ceased to read the store");
        for holder in &self.holders {
            // A full channel means that the task has not yet seen the last change.
            let _already_announced = holder.try_send(());
        }
    }
}
