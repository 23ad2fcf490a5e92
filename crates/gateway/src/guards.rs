//! Entries of the control state that last as long as what they stand for.

use std::sync::Arc;
use std::time::Instant;

use briarhall_policy::in_flight::InFlightKey;
use briarhall_policy::load_tracker::Work;
use briarhall_policy::load_tracker::WorkKey;
use briarhall_policy::prompt_queue::QueuedPrompt;
use briarhall_policy::prompt_queue::QueuedPromptKey;
use briarhall_types::ReplicaId;
use compact_str::CompactString;

use crate::state::Shared;
use crate::state::State;

/// Keeps work in the load tracker until this is dropped.
#[derive(Debug)]
pub struct WorkGuard {
    shared: Arc<Shared>,
    first: Option<WorkKey>,
    helpers: Vec<WorkKey>,
}

impl WorkGuard {
    /// Adds work to the load tracker.
    pub fn new(shared: &Arc<Shared>, state: &mut State, first: Work, helpers: &[Work]) -> Self {
        let now = Instant::now();
        let helpers = helpers
            .iter()
            .map(|work| state.load_tracker.sent(*work, now));
        let helpers = helpers.collect();
        let first = state.load_tracker.sent(first, now);
        shared.request_heartbeat();
        Self {
            shared: Arc::clone(shared),
            first: Some(first),
            helpers,
        }
    }

    /// Keeps nothing, for work that another gateway has in its load tracker.
    pub fn of_others(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
            first: None,
            helpers: Vec::new(),
        }
    }

    /// Records that the prompt was prefilled, which ends the helpers' work.
    pub fn prefilled(&mut self) {
        let Some(first) = self.first else {
            return;
        };
        let mut state = self.shared.state();
        state.load_tracker.prefilled(first);
        for helper in self.helpers.drain(..) {
            state.load_tracker.ended(helper);
        }
        drop(state);
        self.shared.request_heartbeat();
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let Some(first) = self.first else {
            return;
        };
        let mut state = self.shared.state();
        state.load_tracker.ended(first);
        for helper in &self.helpers {
            state.load_tracker.ended(*helper);
        }
        drop(state);
        self.shared.request_heartbeat();
    }
}

/// Keeps a client's request among those in flight until it is answered in full.
#[derive(Debug)]
pub struct InFlight {
    shared: Arc<Shared>,
    key: InFlightKey,
}

impl InFlight {
    /// Adds a request whose head arrived at `arrived`, unless this process is about to end.
    pub fn new(shared: &Arc<Shared>, id: CompactString, arrived: Instant) -> Option<Self> {
        let key = shared.state().in_flight.add(id, arrived)?;
        Some(Self {
            shared: Arc::clone(shared),
            key,
        })
    }

    /// Returns whether the request was sent to a replica, so that it may have run.
    pub fn was_sent(&self) -> bool {
        self.shared.state().in_flight.was_sent(self.key)
    }

    /// Records that the request is sent to a replica.
    pub fn sent(&self, replica: &ReplicaId) {
        let mut state = self.shared.state();
        state.in_flight.sent(self.key, replica, Instant::now());
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.state().in_flight.remove(self.key);
    }
}

/// Keeps a prompt in the queue until this is dropped.
#[derive(Debug)]
pub struct QueuePosition {
    shared: Arc<Shared>,
    key: QueuedPromptKey,
}

impl QueuePosition {
    /// Adds a prompt to the queue.
    pub fn new(shared: &Arc<Shared>, queued_prompt: QueuedPrompt) -> Self {
        let key = shared
            .state()
            .prompt_queue
            .join(queued_prompt, Instant::now());
        shared.request_heartbeat();
        Self {
            shared: Arc::clone(shared),
            key,
        }
    }

    /// Returns whether no other prompt comes before this one.
    pub fn is_first(&self, state: &State, now: Instant) -> bool {
        state.prompt_queue.ahead_of(self.key, now) == 0
    }
}

impl Drop for QueuePosition {
    fn drop(&mut self) {
        self.shared.state().prompt_queue.leave(self.key);
        self.shared.request_heartbeat();
    }
}
