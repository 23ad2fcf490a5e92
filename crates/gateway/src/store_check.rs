//! Checks whether the store answers, and has what follows it call it anew after an
//! outage.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use briarhall_objects::PlatformError;
use briarhall_policy::store_checks::StoreChange;
use briarhall_policy::store_checks::StoreChecks;

use crate::control_plane::ControlPlane;
use crate::control_plane::Reading;
use crate::state::Shared;
use crate::store_gate::StoreGate;

/// Receives a message each time that the store answers again.
pub type StoreReturns = Receiver<()>;

/// Checks the store at a regular interval for the life of the process.
#[derive(Debug, Clone)]
pub struct StoreCheck<C> {
    shared: Arc<Shared>,
    plane: C,
    followers: Vec<Sender<()>>,
}

impl<C> StoreCheck<C>
where
    C: ControlPlane,
{
    /// Creates checks that nobody follows yet.
    pub fn new(shared: Arc<Shared>, plane: C) -> Self {
        Self {
            shared,
            plane,
            followers: Vec::new(),
        }
    }

    /// Returns a receiver for one task that calls the store.
    pub fn returns(&mut self) -> StoreReturns {
        let (tx, rx) = async_channel::bounded(1);
        self.followers.push(tx);
        rx
    }

    /// Returns the senders by which the tasks are told to call the store anew.
    pub fn followers(&self) -> Vec<Sender<()>> {
        self.followers.clone()
    }

    /// Runs the checks while the gate is open.
    pub async fn run(self, gate: StoreGate) {
        let mut checks = StoreChecks::new(self.shared.settings.in_force_within);
        // Gateways that start at the same time must not check at the same time: each would
        // read what another one is about to tell.
        let mut interval = checks.interval().mul_f64(rand::random::<f64>());
        loop {
            if !gate.is_open() {
                gate.opened().await;
                checks = StoreChecks::new(self.shared.settings.in_force_within);
                interval = checks.interval().mul_f64(rand::random::<f64>());
            }
            gate.record_call();
            let made_at = Instant::now();
            let answer = self.check(checks.limit(), made_at).await;
            let now = Instant::now();
            let change = checks.record(answer.is_ok(), made_at, now);
            if answer.is_ok() {
                gate.record_answer();
            } else if gate.is_open() {
                self.shared.state().replicas.registry_unavailable(made_at);
            }
            match change {
                Some(StoreChange::Lost) => {
                    let error = answer.err().map(|e| e.to_string()).unwrap_or_default();
                    self.shared.metrics.count("store_lost");
                    log::warn!(event = "store_lost", error = error.as_str(); "the store does not answer");
                }
                Some(StoreChange::Back { lost_for }) => self.announce_return(lost_for),
                None => {}
            }
            Timer::after(std::mem::replace(&mut interval, checks.interval())).await;
        }
    }

    /// Checks the store, and learns where it is.
    async fn check(&self, limit: Duration, made_at: Instant) -> Result<(), PlatformError> {
        let confirms = {
            let state = self.shared.state();
            let readers = state.peers.heard_readers(made_at) + 1;
            let rng = &mut rand::rng();
            state.deliveries.confirms(readers, made_at, rng)
        };
        let mut answer = if confirms {
            self.shared.metrics.count("store_head_read");
            self.plane.check(limit, Reading::Latest).await
        } else {
            self.plane.check(limit, Reading::MayBeOld).await
        };
        let is_latest = confirms && answer.is_ok();
        if confirms && matches!(answer, Err(PlatformError::Limited { .. })) {
            // Only calls for the latest position count toward the store's rate.
            answer = self.plane.check(limit, Reading::MayBeOld).await;
        }
        if let Some(position) = answer? {
            let mut state = self.shared.state();
            let deliveries = &mut state.deliveries;
            deliveries.record_check(position, is_latest, made_at, Instant::now());
            drop(state);
            if is_latest {
                self.shared.request_heartbeat();
            }
        }
        Ok(())
    }

    fn announce_return(&self, lost_for: Duration) {
        let lost_ms = u64::try_from(lost_for.as_millis()).unwrap_or(u64::MAX);
        log::info!(event = "store_back", lost_ms; "the store answers again");
        for follower in &self.followers {
            // A full channel means that the follower has not yet seen the last return.
            let _already_announced = follower.try_send(());
        }
    }
}
