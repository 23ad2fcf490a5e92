//! Continuous batching with chunked prefill, priorities and KV memory.
//!
//! An engine works in passes, whose duration is computed by the same functions
//! with which gateways predict it ([`engine`]). Unlike the users' engines it
//! reserves memory for the whole answer when a request starts, so that no request
//! is preempted.

use std::collections::HashMap;
use std::time::Duration;

use briarhall_policy::engine;
use briarhall_types::EngineSpec;
use briarhall_types::LengthClass;
use briarhall_types::LoadReport;
use compact_str::CompactString;
use slotmap::SlotMap;
use slotmap::new_key_type;
use thiserror::Error;

use super::cache::BlockChain;
use super::cache::PrefixCache;
use super::model::Model;

new_key_type! {
    /// Key of a request in the engine.
    pub struct WorkKey;
}

/// Sizes of the engine.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// KV memory, in tokens.
    pub kv_tokens: u64,
    /// Requests that may wait or run.
    pub max_requests: usize,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            kv_tokens: 400_000,
            max_requests: 256,
            cache_blocks: 200,
        }
    }
}

/// Reason why the engine refused work, none of which ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// It is larger than the engine's whole memory.
    #[error("the prompt needs {needed} tokens of memory and the engine has {capacity}")]
    TooLarge {
        /// Tokens needed.
        needed: u64,
        /// Tokens the engine has.
        capacity: u64,
    },
    /// Too many requests wait or run.
    #[error("the queue is full")]
    QueueFull,
    /// There is no memory for a reservation now.
    #[error("there is no memory for the reservation")]
    NoMemory,
    /// The id or name is in use for something else.
    #[error("the name is in use")]
    Duplicate,
    /// The reservation is unknown.
    #[error("there is no such reservation")]
    NoReservation,
}

/// Work for the engine.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Attempt id, or the reservation's name for a part of a prompt.
    pub id: CompactString,
    /// Lower runs first.
    pub priority: i64,
    /// Tokens of the prompt still to prefill here.
    pub prompt_tokens: u64,
    /// Tokens of the whole prompt, which the prefilled ones attend to.
    pub whole_tokens: u64,
    /// Tokens to generate.
    pub max_tokens: u64,
    /// First token to generate.
    pub resume_from: u64,
    /// Reservation that holds its memory, if any.
    pub reservation: Option<CompactString>,
    /// Cached blocks of the prompt.
    pub chain: BlockChain,
}

#[derive(Debug)]
struct Work {
    submission: Submission,
    sequence: u64,
    memory: u64,
    running: bool,
    prefill_left: u64,
    /// Tokens of the prompt before the next one to prefill.
    position: u64,
    produced: u64,
    pass_prefill: u64,
    short: bool,
}

impl Work {
    /// Returns the sort key of the order in which work gets memory and is prefilled.
    fn scheduling_key(&self, parts_first: bool) -> (bool, i64, u64) {
        let after_parts = parts_first && !self.is_part();
        (after_parts, self.submission.priority, self.sequence)
    }

    /// Returns whether it is prefilled for another engine.
    fn is_part(&self) -> bool {
        self.submission.reservation.as_ref() == Some(&self.submission.id)
    }

    fn is_decoding(&self) -> bool {
        self.running && self.prefill_left == 0
    }

    fn context(&self) -> u64 {
        self.submission.whole_tokens + self.produced
    }

    fn done(&self) -> bool {
        self.prefill_left == 0 && self.produced >= self.submission.max_tokens
    }
}

/// A reservation of memory.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// Tokens held.
    pub tokens: u64,
    /// Owner.
    pub owner: CompactString,
    /// Tokens prefilled into it.
    pub prefilled: u64,
}

/// Progress of one request in a finished pass.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    /// The request.
    pub id: CompactString,
    /// Tokens generated so far, counted from the first of the answer.
    pub produced: u64,
    /// Whether prefill ended in this pass.
    pub prefilled: bool,
    /// Whether the request ended in this pass.
    pub done: bool,
}

/// One engine, whose caller advances time.
#[derive(Debug)]
pub struct Simulation {
    model: Model,
    spec: EngineSpec,
    /// Steps of the current pass.
    steps: u64,
    limits: Limits,
    work: SlotMap<WorkKey, Work>,
    by_id: HashMap<CompactString, WorkKey>,
    reservations: HashMap<CompactString, Reservation>,
    cache: PrefixCache,
    sequence: u64,
    kv_used: u64,
    kv_peak: u64,
    started: u64,
    finished: u64,
    cached_tokens: u64,
}

impl Simulation {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(model: Model, limits: Limits) -> Self {
        Self {
            model,
            spec: model.spec(),
            steps: 1,
            limits,
            work: SlotMap::with_key(),
            by_id: HashMap::new(),
            reservations: HashMap::new(),
            cache: PrefixCache::new(limits.cache_blocks),
            sequence: 0,
            kv_used: 0,
            kv_peak: 0,
            started: 0,
            finished: 0,
            cached_tokens: 0,
        }
    }

    /// Accepts work, or refuses it before any of it runs.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal.
    pub fn submit(&mut self, submission: Submission) -> Result<(), Refusal> {
        if self.by_id.contains_key(&submission.id) {
            return Err(Refusal::Duplicate);
        }
        if self.work.len() >= self.limits.max_requests {
            return Err(Refusal::QueueFull);
        }
        let memory = self.memory_for(&submission)?;
        let cached = self.cache.hit_tokens(&submission.chain);
        let prefill_left = submission.prompt_tokens.saturating_sub(cached).max(1);
        self.cached_tokens += submission.prompt_tokens - prefill_left.min(submission.prompt_tokens);
        self.sequence += 1;
        // A part of an evenly split prompt attends, on average, to half of the
        // tokens of the other parts.
        let other_tokens = submission
            .whole_tokens
            .saturating_sub(submission.prompt_tokens);
        let id = submission.id.clone();
        let key = self.work.insert(Work {
            short: LengthClass::of(submission.prompt_tokens) == LengthClass::Short,
            produced: submission.resume_from,
            submission,
            sequence: self.sequence,
            memory,
            running: false,
            prefill_left,
            position: other_tokens / 2 + cached,
            pass_prefill: 0,
        });
        self.by_id.insert(id, key);
        Ok(())
    }

    fn memory_for(&self, submission: &Submission) -> Result<u64, Refusal> {
        if let Some(name) = &submission.reservation {
            let held = self.reservations.contains_key(name);
            return if held {
                Ok(0)
            } else {
                Err(Refusal::NoReservation)
            };
        }
        let needed = submission.prompt_tokens + submission.max_tokens;
        let capacity = self.limits.kv_tokens;
        if needed > capacity {
            return Err(Refusal::TooLarge { needed, capacity });
        }
        Ok(needed)
    }

    /// Ends a request and frees its memory. Returns false if the request is
    /// unknown, as after an earlier call.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(key) = self.by_id.remove(id) else {
            return false;
        };
        if let Some(work) = self.work.remove(key)
            && work.running
        {
            self.kv_used -= work.memory;
        }
        true
    }

    /// Reserves memory. Idempotent by name.
    ///
    /// # Errors
    ///
    /// Returns an error when there is not enough memory or the name is in use for
    /// another size or owner.
    pub fn reserve(
        &mut self,
        name: CompactString,
        tokens: u64,
        owner: CompactString,
    ) -> Result<(), Refusal> {
        if let Some(held) = self.reservations.get(&name) {
            let same = held.tokens == tokens && held.owner == owner;
            return if same {
                Ok(())
            } else {
                Err(Refusal::Duplicate)
            };
        }
        let capacity = self.limits.kv_tokens;
        if tokens > capacity {
            return Err(Refusal::TooLarge {
                needed: tokens,
                capacity,
            });
        }
        if self.kv_used + tokens > capacity {
            return Err(Refusal::NoMemory);
        }
        self.take_memory(tokens);
        let reservation = Reservation {
            tokens,
            owner,
            prefilled: 0,
        };
        self.reservations.insert(name, reservation);
        Ok(())
    }

    /// Frees a reservation and ends the work in it. Returns false if the
    /// reservation is unknown, as after an earlier call.
    pub fn release(&mut self, name: &str) -> bool {
        let Some(reservation) = self.reservations.remove(name) else {
            return false;
        };
        self.kv_used -= reservation.tokens;
        let inside = |work: &&Work| work.submission.reservation.as_deref() == Some(name);
        let ids = self
            .work
            .values()
            .filter(inside)
            .map(|work| work.submission.id.clone());
        for id in ids.collect::<Vec<_>>() {
            self.cancel(&id);
        }
        true
    }

    /// Imports KV that another engine exported into a reservation.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such reservation or no room in it.
    pub fn import(&mut self, name: &str, tokens: u64) -> Result<(), Refusal> {
        let reservation = self.reservations.get_mut(name);
        let reservation = reservation.ok_or(Refusal::NoReservation)?;
        let needed = reservation.prefilled + tokens;
        let capacity = reservation.tokens;
        if needed > capacity {
            return Err(Refusal::TooLarge { needed, capacity });
        }
        reservation.prefilled = needed;
        Ok(())
    }

    /// Returns the reservations by name.
    #[must_use]
    pub fn reservations(&self) -> &HashMap<CompactString, Reservation> {
        &self.reservations
    }

    /// Returns the requests that hold memory, with the tokens they hold.
    pub fn running(&self) -> impl Iterator<Item = (&CompactString, u64)> {
        let running = self.work.values().filter(|work| work.running);
        running.map(|work| (&work.submission.id, work.memory))
    }

    /// Returns whether a request is known and not yet done.
    #[must_use]
    pub fn knows(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    /// Plans the next pass and returns how long it takes, or nothing when the
    /// engine is idle.
    pub fn begin_pass(&mut self) -> Option<Duration> {
        let parts_first = self.model.parts_first();
        let mut order = self.work.keys().collect::<Vec<_>>();
        order.sort_unstable_by_key(|key| self.work[*key].scheduling_key(parts_first));
        self.allocate_memory(&order);
        let decoding_work = self.work.values().filter(|work| work.is_decoding());
        let decoding = decoding_work.clone().count();
        let context = decoding_work.map(Work::context).sum();
        self.steps = if decoding == 0 {
            1
        } else {
            u64::from(self.spec.stride.max(1))
        };
        let mut budget = u64::from(self.spec.chunk) * self.steps;
        let mut prefill_ms = 0.0;
        let mut prefilling = 0;
        for key in order {
            let work = &mut self.work[key];
            if !work.running || work.prefill_left == 0 {
                continue;
            }
            work.pass_prefill = work.prefill_left.min(budget);
            budget -= work.pass_prefill;
            prefilling += work.pass_prefill;
            prefill_ms += engine::prefill_from_ms(&self.spec, work.position, work.pass_prefill);
        }
        if prefilling == 0 && decoding == 0 {
            return None;
        }
        let decode_ms = if decoding == 0 {
            engine::step_ms(&self.spec, 0, 0)
        } else {
            engine::decode_pass_ms(&self.spec, decoding, context)
        };
        Some(Duration::from_secs_f64((decode_ms + prefill_ms) / 1_000.0))
    }

    /// Allocates memory strictly in order: as in real engines, a request that
    /// does not fit blocks all behind it.
    fn allocate_memory(&mut self, order: &[WorkKey]) {
        let needs_slot = |work: &Work| !work.is_part();
        let taken = self.work.values().filter(|w| w.running && needs_slot(w));
        let mut free = usize::try_from(self.spec.slots).unwrap_or(usize::MAX);
        free = free.saturating_sub(taken.count());
        for key in order {
            let work = &self.work[*key];
            if work.running {
                continue;
            }
            let memory = work.memory;
            if self.kv_used + memory > self.limits.kv_tokens {
                break;
            }
            if needs_slot(work) {
                if free == 0 {
                    continue;
                }
                free -= 1;
            }
            self.take_memory(memory);
            self.started += 1;
            self.work[*key].running = true;
        }
    }

    fn take_memory(&mut self, tokens: u64) {
        self.kv_used += tokens;
        self.kv_peak = self.kv_peak.max(self.kv_used);
    }

    /// Ends the planned pass and returns the progress of its requests.
    pub fn end_pass(&mut self) -> Vec<Progress> {
        let mut progress = Vec::new();
        for work in self.work.values_mut().filter(|work| work.running) {
            if work.pass_prefill > 0 {
                work.prefill_left -= work.pass_prefill;
                work.position += work.pass_prefill;
                work.pass_prefill = 0;
                if work.prefill_left > 0 {
                    continue;
                }
                self.cache.insert(&work.submission.chain);
                work.produced += u64::from(work.submission.max_tokens > work.produced);
                progress.push(Self::progress(work, true));
            } else if work.prefill_left == 0 {
                let left = work.submission.max_tokens.saturating_sub(work.produced);
                work.produced += self.steps.min(left);
                progress.push(Self::progress(work, false));
            }
        }
        for ended in progress.iter().filter(|p| p.done) {
            self.finished += 1;
            self.record_part(&ended.id);
            self.cancel(&ended.id);
        }
        progress
    }

    fn progress(work: &Work, prefilled: bool) -> Progress {
        Progress {
            id: work.submission.id.clone(),
            produced: work.produced,
            prefilled,
            done: work.done(),
        }
    }

    /// Records the tokens of a finished part in its reservation. A part of a
    /// prompt is submitted under its reservation's name.
    fn record_part(&mut self, id: &CompactString) {
        let Some(key) = self.by_id.get(id) else {
            return;
        };
        let tokens = self.work[*key].submission.prompt_tokens;
        if let Some(reservation) = self.reservations.get_mut(id) {
            reservation.prefilled = tokens;
        }
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let left = |work: &Work| work.prefill_left;
        LoadReport {
            requests: self.work.len() as u64,
            queued_tokens: self.work.values().map(left).sum(),
            queued_short_tokens: self.work.values().filter(|w| w.short).map(left).sum(),
            kv_used: self.kv_used,
            kv_reserved: self.reservations.values().map(|r| r.tokens).sum(),
            kv_capacity: self.limits.kv_tokens,
            decoding: self
                .work
                .values()
                .filter(|w| w.running && w.prefill_left == 0)
                .count() as u64,
            draining: false,
            incarnation: 0,
        }
    }

    /// Returns counts since the start: started, finished, most memory held,
    /// tokens taken from the cache.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts {
            started: self.started,
            finished: self.finished,
            kv_peak: self.kv_peak,
            cached_tokens: self.cached_tokens,
        }
    }
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Requests that got memory.
    pub started: u64,
    /// Requests that ran to their end.
    pub finished: u64,
    /// Most KV tokens held at once.
    pub kv_peak: u64,
    /// Prompt tokens taken from the cache.
    pub cached_tokens: u64,
}
