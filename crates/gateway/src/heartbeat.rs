//! The heartbeat datagram between gateways, and the validation that a received
//! one must pass before it changes any state.

use std::net::SocketAddr;

use briarhall_policy::cold_replicas::ColdReport;
use briarhall_policy::crashes::Observation;
use briarhall_policy::crashing_parts::PartObservation;
use briarhall_policy::delivery::DeliveryReport;
use briarhall_policy::departures::ReplicaProcess;
use briarhall_policy::evacuations::EvacuationReport;
use briarhall_policy::health::FailedRequests;
use briarhall_policy::load_tracker::Work;
use briarhall_policy::peers::Presence;
use briarhall_policy::prompt_queue::QueuedPrompt;
use briarhall_policy::replica_limits::LimitObservation;
use briarhall_policy::replica_limits::LimitedSends;
use briarhall_policy::shares_in_shortage::ShortageReport;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::heartbeat_sections::Sections;
use crate::heartbeat_sections::append_cold;
use crate::heartbeat_sections::append_delivery;
use crate::heartbeat_sections::append_shortage;

/// Longest time in a heartbeat, in milliseconds: a day; no request takes that
/// long.
const MAX_TIME_MS: f32 = 86_400_000.0;

/// State that a gateway sends to the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Identity and state of the sender.
    pub presence: Presence,
    /// Milliseconds until the receiver gets the next heartbeat, at the latest.
    pub interval_ms: u32,
    /// Complete list of the sender's work in flight.
    #[serde(rename = "works")]
    pub in_flight: Vec<Work>,
    /// Complete list of the sender's queued prompts.
    #[serde(rename = "waiters")]
    pub queued_prompts: Vec<QueuedPrompt>,
    /// What the sender observed of requests that may crash replicas.
    #[serde(rename = "signs")]
    pub observations: Vec<Observation>,
    /// What the sender observed of parts of prompts that may crash replicas.
    pub crashing_parts: Vec<PartObservation>,
    /// Replicas that failed requests of the sender.
    pub failed: Vec<FailedRequests>,
    /// Replicas that said to the sender that they leave, while the registry lists
    /// them as ready.
    pub leaving: Vec<ReplicaProcess>,
    /// Limits that replicas named to the sender.
    pub limits: Vec<LimitObservation>,
    /// What the sender sent to replicas with a limit.
    pub limited_sends: Vec<LimitedSends>,
    /// Evacuated availability zones; absent where the sender does not follow or know
    /// them. Never cut: they bind every request, and are few.
    pub evacuations: Option<EvacuationReport>,
    /// Gossip addresses of gateways that the sender knows.
    pub known: Vec<SocketAddr>,
    /// What the sender knows of and sent to replicas that may be cold; a section after the
    /// encoded heartbeat, if there is any.
    #[serde(skip)]
    pub cold: ColdReport,
    /// Usage by organisation, in a shortage; a section after the encoded heartbeat.
    #[serde(skip)]
    pub shortage: Option<ShortageReport>,
    /// The store's last position, and how far the sender's lists are complete; a section
    /// after the encoded heartbeat, if anything is known.
    #[serde(skip)]
    pub delivery: Option<DeliveryReport>,
}

/// Says why a datagram is not a valid heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeartbeatError {
    /// The bytes do not decode.
    #[error("cannot decode the heartbeat: {0}")]
    Decode(#[from] postcard::Error),
    /// A time is out of range.
    #[error("a time in the heartbeat is negative, not finite or longer than a day")]
    InvalidTime,
    /// A limit is out of range.
    #[error("a limit in the heartbeat is negative or not finite")]
    InvalidLimit,
}

impl Heartbeat {
    /// Encodes the heartbeat.
    ///
    /// # Panics
    ///
    /// Never: postcard can encode every type in a heartbeat.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes =
            postcard::to_stdvec(self).expect("postcard can encode every type in a heartbeat");
        if !self.cold.is_empty() {
            append_cold(&mut bytes, &self.cold);
        }
        if let Some(report) = &self.shortage {
            append_shortage(&mut bytes, report);
        }
        if let Some(report) = &self.delivery {
            append_delivery(&mut bytes, report);
        }
        bytes
    }

    /// Encodes the heartbeat in at most `max_bytes`, if its lists can be cut so far,
    /// and returns also how many entries were left out for that. Of the prompts, those
    /// that are sent first stay.
    ///
    /// The longest list loses most: one with many entries tells about load, of which a
    /// part is better than none, and without any heartbeat the sender counts as down.
    pub fn encode_within(&mut self, max_bytes: usize) -> (Vec<u8>, usize) {
        let before = self.entries();
        let mut bytes = self.encode();
        if bytes.len() > max_bytes {
            self.queued_prompts.sort_by(QueuedPrompt::compare_turn);
        }
        while bytes.len() > max_bytes && self.entries() > 0 {
            self.halve_longest_list();
            bytes = self.encode();
        }
        (bytes, before - self.entries())
    }

    fn entries(&self) -> usize {
        self.list_lens().iter().sum()
    }

    fn list_lens(&self) -> [usize; 11] {
        [
            self.in_flight.len(),
            self.queued_prompts.len(),
            self.observations.len(),
            self.crashing_parts.len(),
            self.failed.len(),
            self.leaving.len(),
            self.limits.len(),
            self.limited_sends.len(),
            self.known.len(),
            self.cold.observations.len(),
            self.cold.sends.len(),
        ]
    }

    fn halve_longest_list(&mut self) {
        let longest = self.list_lens().into_iter().max().unwrap_or_default();
        let most = longest / 2;
        self.in_flight.truncate(most);
        self.queued_prompts.truncate(most);
        self.observations.truncate(most);
        self.crashing_parts.truncate(most);
        self.failed.truncate(most);
        self.leaving.truncate(most);
        self.limits.truncate(most);
        self.limited_sends.truncate(most);
        self.known.truncate(most);
        self.cold.observations.truncate(most);
        self.cold.sends.truncate(most);
    }

    /// Decodes and validates a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes do not decode, or when a time is out of
    /// range.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeartbeatError> {
        let (mut heartbeat, sections) = postcard::take_from_bytes::<Self>(bytes)?;
        let sections = Sections::read(sections)?;
        heartbeat.cold = sections.cold;
        heartbeat.shortage = sections.shortage;
        heartbeat.delivery = sections.delivery;
        let in_flight = heartbeat.in_flight.iter();
        let queued_prompts = heartbeat.queued_prompts.iter();
        let valid = in_flight.map(|work| work.prefill_ms).all(is_duration)
            && queued_prompts
                .clone()
                .map(|prompt| prompt.prefill_ms)
                .all(is_duration)
            && queued_prompts
                .clone()
                .map(|prompt| prompt.slack_ms.abs())
                .all(is_duration)
            && queued_prompts
                .map(|prompt| prompt.overdue_in_ms.abs())
                .all(is_duration)
            && heartbeat.shortage.iter().all(ShortageReport::is_valid)
            && heartbeat.failed.iter().all(|f| f.penalty.is_finite());
        if !valid {
            return Err(HeartbeatError::InvalidTime);
        }
        let mut named = heartbeat.limits.iter().filter_map(|limit| limit.per_s);
        if named.all(|per_s| per_s.is_finite() && per_s >= 0.0) {
            Ok(heartbeat)
        } else {
            Err(HeartbeatError::InvalidLimit)
        }
    }
}

fn is_duration(ms: f32) -> bool {
    (0.0..=MAX_TIME_MS).contains(&ms)
}
