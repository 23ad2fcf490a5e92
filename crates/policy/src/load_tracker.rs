//! The load of each replica: this gateway's own work exactly, and that of the
//! other gateways as last reported.
//!
//! Only gateways send work, so the sum of what they sent is the load. Each sends
//! the others its whole list on every change; a list replaces the previous one,
//! so a lost message makes the load inaccurate only until the next.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::peers::VmName;
use crate::rendezvous;

new_key_type! {
    /// Key of one piece of work at one replica.
    pub struct WorkKey;
}

/// Prefill time from which work counts as a long prefill, in milliseconds: longer
/// than two short prompts take.
const LONG_PREFILL_MS: f32 = 100.0;
/// Fraction of a prefill that counts as remaining until its first event arrives,
/// even if the predicted time has passed.
const MIN_PREFILL_LEFT: f64 = 0.1;

/// Short form of a replica's id in messages.
pub type ReplicaTag = u32;

/// Returns the short form of a replica's id.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    reason = "the low half of a hash is a hash"
)]
pub fn tag<I>(id: &I) -> ReplicaTag
where
    I: Hash + ?Sized,
{
    rendezvous::weight("replica", id) as u32
}

/// Phase of a piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// A call of a plain service.
    Call,
    /// Prefills a prompt, or its part of one.
    #[serde(rename = "Reads")]
    Prefill,
    /// Generates tokens.
    #[serde(rename = "Writes")]
    Decode,
}

/// One piece of work at one replica, as gateways send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Replica that runs it.
    pub replica: ReplicaTag,
    /// Its phase.
    pub phase: Phase,
    /// Time to prefill its part with nothing else running, in milliseconds.
    #[serde(rename = "read_ms")]
    pub prefill_ms: f32,
    /// Tokens that it holds in the replica's memory.
    pub kv_tokens: u32,
    /// Longest pause between events that its caller accepts, in milliseconds;
    /// `None` for a call, and for a part that is prefilled for another replica.
    pub pause_ms: Option<u32>,
    /// Milliseconds since it was sent, as of the message.
    pub age_ms: u32,
}

#[derive(Debug, Clone, Copy)]
struct TrackedWork {
    work: Work,
    since: Instant,
}

/// A request whose answer a replica generates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecodingRequest {
    /// Longest pause that its caller accepts, in milliseconds.
    pub pause_ms: u32,
    /// Tokens of its prompt and answer.
    pub tokens: u32,
}

/// Load of one replica, summed over all gateways.
#[derive(Debug, Clone, Default)]
pub struct Load {
    /// Calls, prompts and decoding requests in flight.
    pub requests: usize,
    /// Time to prefill the prompts that wait there, in milliseconds.
    pub backlog_ms: f64,
    /// Prompts that are being prefilled or wait for it.
    pub prefilling: usize,
    /// Those of them that take long: a part that is sent later for another
    /// replica would be prefilled before them, so no part may be added.
    pub long_prefills: usize,
    /// Requests that generate tokens there, or will after their prefill.
    pub decoding: Vec<DecodingRequest>,
    /// Tokens held in memory.
    pub kv_tokens: u64,
}

/// The work in flight of all gateways.
#[derive(Debug, Default)]
pub struct LoadTracker {
    own: SlotMap<WorkKey, TrackedWork>,
    others: BTreeMap<VmName, Vec<TrackedWork>>,
}

impl LoadTracker {
    /// Records work that is sent now.
    pub fn sent(&mut self, work: Work, now: Instant) -> WorkKey {
        self.own.insert(TrackedWork { work, since: now })
    }

    /// Records that a prompt was prefilled: its first event arrived.
    pub fn prefilled(&mut self, key: WorkKey) {
        if let Some(tracked) = self.own.get_mut(key) {
            tracked.work.phase = Phase::Decode;
        }
    }

    /// Removes work that has ended or was abandoned.
    pub fn ended(&mut self, key: WorkKey) {
        self.own.remove(key);
    }

    /// Replaces another gateway's list.
    pub fn set_peer_work(&mut self, vm: VmName, peer_work: Vec<Work>, now: Instant) {
        let tracked = peer_work.into_iter().map(|work| TrackedWork {
            since: now
                .checked_sub(Duration::from_millis(u64::from(work.age_ms)))
                .unwrap_or(now),
            work,
        });
        self.others.insert(vm, tracked.collect());
    }

    /// Keeps only the lists of gateways for which `up` returns true, and returns
    /// the gateways whose lists were removed.
    pub fn retain_peers<F>(&mut self, up: F) -> Vec<VmName>
    where
        F: Fn(&VmName) -> bool,
    {
        let gone = self.others.keys().filter(|vm| !up(vm));
        let gone = gone.cloned().collect::<Vec<_>>();
        for vm in &gone {
            self.others.remove(vm);
        }
        gone
    }

    /// Returns this gateway's list, to send to the others.
    #[must_use]
    pub fn own(&self, now: Instant) -> Vec<Work> {
        let aged = self.own.values().map(|tracked| Work {
            age_ms: millis(now.saturating_duration_since(tracked.since)),
            ..tracked.work
        });
        aged.collect()
    }

    /// Returns how many pieces of work this gateway has in flight.
    #[must_use]
    pub fn own_count(&self) -> usize {
        self.own.len()
    }

    /// Returns the load of every replica that has any.
    #[must_use]
    pub fn loads(&self, now: Instant) -> HashMap<ReplicaTag, Load> {
        let mut by_replica = HashMap::<ReplicaTag, Vec<&TrackedWork>>::new();
        for tracked in self.own.values().chain(self.others.values().flatten()) {
            let at = by_replica.entry(tracked.work.replica).or_default();
            at.push(tracked);
        }
        let loads = by_replica
            .into_iter()
            .map(|(replica, tracked)| (replica, load(tracked, now)));
        loads.collect()
    }
}

fn load(mut tracked: Vec<&TrackedWork>, now: Instant) -> Load {
    tracked.sort_by_key(|tracked| tracked.since);
    let mut load = Load::default();
    // The backlog is calculated with prompts prefilled one after the other, in
    // the order of their arrival. Times are in milliseconds since the oldest work
    // was sent.
    let mut free_at = 0.0_f64;
    let mut min_left = 0.0_f64;
    let origin = tracked.first().map_or(now, |first| first.since);
    for tracked in tracked {
        let work = tracked.work;
        load.requests += usize::from(work.pause_ms.is_some() || work.phase == Phase::Call);
        load.kv_tokens += u64::from(work.kv_tokens);
        load.decoding
            .extend(work.pause_ms.map(|pause_ms| DecodingRequest {
                pause_ms,
                tokens: work.kv_tokens,
            }));
        if work.phase == Phase::Prefill {
            let arrived = tracked.since.saturating_duration_since(origin);
            let starts = free_at.max(arrived.as_secs_f64() * 1_000.0);
            free_at = starts + f64::from(work.prefill_ms);
            load.prefilling += 1;
            load.long_prefills += usize::from(work.prefill_ms >= LONG_PREFILL_MS);
            min_left = min_left.max(f64::from(work.prefill_ms) * MIN_PREFILL_LEFT);
        }
    }
    let elapsed = now.saturating_duration_since(origin).as_secs_f64() * 1_000.0;
    load.backlog_ms = (free_at - elapsed).max(min_left);
    load
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
