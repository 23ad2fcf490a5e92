//! The queue of long prompts that wait for engines, over all gateways.
//!
//! An engine that is sent several long prompts at the same moment works on all of
//! them at once, so all of them end late. They wait here instead, and only the
//! first in the queue is sent. Every gateway sends the others the list of prompts
//! that wait at it, and all compute the same order: first those that have waited
//! for most of their time, the longest overdue first, so that nothing starves;
//! then those that can still meet their objective; then the rest. In the latter
//! two groups the shortest prefill goes first: the cost of a prefill grows faster
//! than its length, so under overload that order meets the most objectives.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::peers::VmName;

new_key_type! {
    /// Key of a prompt that waits at this gateway.
    pub struct QueuedPromptKey;
}

/// A long prompt that waits, as gateways send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QueuedPrompt {
    /// Identifies the prompt, and decides the order of equals.
    pub id: u64,
    /// Short form of the service whose engines it waits for.
    pub service: u32,
    /// Priority; 0 goes first.
    pub priority: u32,
    /// Milliseconds until it must be sent to meet its objective, as of the
    /// message; negative when it is too late.
    pub slack_ms: f32,
    /// Milliseconds until it has waited for most of its time and goes before
    /// others, as of the message; negative when it has.
    #[serde(rename = "turn_ms")]
    pub overdue_in_ms: f32,
    /// Time to prefill it on one engine, in milliseconds.
    #[serde(rename = "read_ms")]
    pub prefill_ms: f32,
}

/// Groups of the queue, in the order in which they are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Overdue,
    InTime,
    Late,
}

impl QueuedPrompt {
    fn group(&self) -> Group {
        if self.overdue_in_ms < 0.0 {
            Group::Overdue
        } else if self.slack_ms >= 0.0 {
            Group::InTime
        } else {
            Group::Late
        }
    }

    /// Compares two prompts of one service by who is sent first.
    #[must_use]
    pub fn compare_turn(&self, other: &Self) -> Ordering {
        let within_group = match self.group() {
            Group::Overdue => self.overdue_in_ms.total_cmp(&other.overdue_in_ms),
            Group::InTime | Group::Late => self.prefill_ms.total_cmp(&other.prefill_ms),
        };
        self.priority
            .cmp(&other.priority)
            .then(self.group().cmp(&other.group()))
            .then(within_group)
            .then(self.id.cmp(&other.id))
    }
}

#[derive(Debug, Clone, Copy)]
struct QueueEntry {
    prompt: QueuedPrompt,
    as_of: Instant,
}

/// The prompts that wait at all gateways.
#[derive(Debug, Default)]
pub struct PromptQueue {
    own: SlotMap<QueuedPromptKey, QueueEntry>,
    others: BTreeMap<VmName, Vec<QueueEntry>>,
}

impl PromptQueue {
    /// Adds a prompt that starts to wait at this gateway.
    pub fn join(&mut self, prompt: QueuedPrompt, now: Instant) -> QueuedPromptKey {
        self.own.insert(QueueEntry { prompt, as_of: now })
    }

    /// Removes a prompt that no longer waits.
    pub fn leave(&mut self, key: QueuedPromptKey) {
        self.own.remove(key);
    }

    /// Replaces another gateway's list.
    pub fn set_peer_prompts(&mut self, vm: VmName, prompts: Vec<QueuedPrompt>, now: Instant) {
        let entries = prompts.into_iter();
        let entries = entries.map(|prompt| QueueEntry { prompt, as_of: now });
        self.others.insert(vm, entries.collect());
    }

    /// Keeps only the lists of gateways for which `up` returns true.
    pub fn retain_peers<F>(&mut self, up: F)
    where
        F: Fn(&VmName) -> bool,
    {
        self.others.retain(|vm, _| up(vm));
    }

    /// Returns this gateway's list, to send to the others.
    #[must_use]
    pub fn own(&self, now: Instant) -> Vec<QueuedPrompt> {
        self.own.values().map(|entry| entry.at(now)).collect()
    }

    /// Returns how many prompts wait at this gateway.
    #[must_use]
    pub fn own_count(&self) -> usize {
        self.own.len()
    }

    /// Returns the time that one engine would take to prefill all prompts that
    /// wait for a service, in milliseconds.
    #[must_use]
    pub fn work_ms(&self, service: u32) -> f64 {
        let all = self.own.values().chain(self.others.values().flatten());
        let same = all.filter(|entry| entry.prompt.service == service);
        same.map(|entry| f64::from(entry.prompt.prefill_ms)).sum()
    }

    /// Returns the same for the prompts that are at least as urgent as `priority`; the
    /// others do not go before a prompt of that priority.
    #[must_use]
    pub fn work_before_ms(&self, service: u32, priority: u32) -> f64 {
        let all = self.own.values().chain(self.others.values().flatten());
        let before = all.filter(|e| e.prompt.service == service && e.prompt.priority <= priority);
        before.map(|e| f64::from(e.prompt.prefill_ms)).sum()
    }

    /// Returns how many prompts of the same service come before this one.
    #[must_use]
    pub fn ahead_of(&self, key: QueuedPromptKey, now: Instant) -> usize {
        let Some(entry) = self.own.get(key) else {
            return 0;
        };
        let prompt = entry.at(now);
        let all = self.own.values().chain(self.others.values().flatten());
        let all = all.map(|entry| entry.at(now));
        let same = all.filter(|other| other.service == prompt.service);
        same.filter(|other| other.compare_turn(&prompt) == Ordering::Less)
            .count()
    }
}

impl QueueEntry {
    fn at(&self, now: Instant) -> QueuedPrompt {
        let elapsed = now.saturating_duration_since(self.as_of);
        QueuedPrompt {
            slack_ms: self.prompt.slack_ms - millis(elapsed),
            overdue_in_ms: self.prompt.overdue_in_ms - millis(elapsed),
            ..self.prompt
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the precision of f32 suffices for a time in milliseconds"
)]
fn millis(duration: Duration) -> f32 {
    (duration.as_secs_f64() * 1_000.0) as f32
}
