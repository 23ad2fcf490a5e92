//! The engine's streams, leases, orders and events, behind one lock.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::process;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use briarhall_endpoint::wire::Order;
use compact_str::CompactString;

use super::http::EngineOptions;
use super::load::LoadHistory;
use super::simulation::Progress;
use super::simulation::Simulation;

const CRASH_EXIT_CODE: i32 = 134;
const MAX_FINISHED_STREAMS: usize = 512;
const MAX_CACHE_EVENTS: usize = 1_024;

#[derive(Debug)]
pub(super) struct Stream {
    pub(super) digest: blake3::Hash,
    pub(super) crashes: bool,
    pub(super) produced: u64,
    pub(super) done: bool,
    pub(super) wake: Option<Sender<()>>,
}

#[derive(Debug)]
pub(super) struct Ownership {
    pub(super) owner: CompactString,
    pub(super) expires_at: Instant,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) simulation: Simulation,
    pub(super) streams: HashMap<CompactString, Stream>,
    pub(super) finished: VecDeque<CompactString>,
    pub(super) owners: HashMap<CompactString, Ownership>,
    pub(super) history: LoadHistory,
    pub(super) draining: bool,
    pub(super) fencing_token: u64,
    pub(super) orders: Vec<Order>,
    pub(super) events: VecDeque<CacheEvent>,
    pub(super) event_number: u64,
    pub(super) clock_wake: Option<Sender<()>>,
    /// Digests of the prompts that were accepted, for checks in tests.
    pub(super) accepted_prompts: HashSet<blake3::Hash>,
}

#[derive(Debug, Clone, serde::Serialize)]
pub(super) struct CacheEvent {
    pub(super) number: u64,
    pub(super) blocks: usize,
    /// Time of the event, which becomes visible after the engine's reporting lag.
    #[serde(skip)]
    pub(super) at: Instant,
}

impl State {
    /// Creates the state of an idle engine.
    pub(super) fn new(options: &EngineOptions) -> Self {
        Self {
            simulation: Simulation::new(options.model, options.limits),
            streams: HashMap::new(),
            finished: VecDeque::new(),
            owners: HashMap::new(),
            history: LoadHistory::new(options.report_lag),
            draining: false,
            fencing_token: 0,
            orders: Vec::new(),
            events: VecDeque::new(),
            event_number: 0,
            clock_wake: None,
            accepted_prompts: HashSet::new(),
        }
    }

    /// Returns the milliseconds left of a lease, negative when it has expired.
    pub(super) fn lease_left_ms(&self, name: &str) -> i64 {
        let Some(ownership) = self.owners.get(name) else {
            return 0;
        };
        let now = Instant::now();
        let millis = |d: Duration| i64::try_from(d.as_millis()).unwrap_or(i64::MAX);
        if ownership.expires_at >= now {
            millis(ownership.expires_at - now)
        } else {
            -millis(now - ownership.expires_at)
        }
    }

    /// Applies the progress of one request in a pass.
    pub(super) fn apply_progress(&mut self, progress: Progress, lost_events_percent: u64) {
        let Some(stream) = self.streams.get_mut(&progress.id) else {
            return;
        };
        if progress.prefilled && stream.crashes {
            process::exit(CRASH_EXIT_CODE);
        }
        stream.produced = progress.produced;
        stream.done = progress.done;
        // Dropping the sender wakes the reader.
        stream.wake = None;
        if progress.prefilled {
            self.event_number += 1;
            // 37 and 100 have no common divisor, so exactly the given percentage of
            // every 100 events is lost.
            if self.event_number * 37 % 100 >= lost_events_percent {
                let number = self.event_number;
                let at = Instant::now();
                self.events.push_back(CacheEvent {
                    number,
                    blocks: 1,
                    at,
                });
            }
            if self.events.len() > MAX_CACHE_EVENTS {
                self.events.pop_front();
            }
        }
        if progress.done {
            self.keep_finished(progress.id);
        }
    }

    fn is_part(&self, id: &str) -> bool {
        self.simulation.reservations().contains_key(id)
    }

    /// Keeps a finished answer readable for a while, so that a reader that lost
    /// its connection can fetch the rest.
    fn keep_finished(&mut self, id: CompactString) {
        if self.is_part(&id) {
            return;
        }
        self.owners.remove(&id);
        self.finished.push_back(id);
        if self.finished.len() > MAX_FINISHED_STREAMS
            && let Some(oldest) = self.finished.pop_front()
        {
            self.streams.remove(&oldest);
        }
    }
}
