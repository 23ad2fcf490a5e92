//! The datagram that gateways send each other, and the checks that whatever
//! arrives must pass before it changes what a gateway believes.

use std::net::SocketAddr;

use briarhall_policy::crashes::Observation;
use briarhall_policy::load_tracker::Work;
use briarhall_policy::peers::Presence;
use briarhall_policy::prompt_queue::QueuedPrompt;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Longest time in a heartbeat, in milliseconds: a day, and no request lives so
/// long.
const MAX_TIME_MS: f32 = 86_400_000.0;

/// What gateways tell each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends it.
    pub presence: Presence,
    /// Its whole list of work in flight.
    #[serde(rename = "works")]
    pub in_flight: Vec<Work>,
    /// Its whole list of prompts in the queue.
    #[serde(rename = "waiters")]
    pub queued_prompts: Vec<QueuedPrompt>,
    /// Requests that were in flight at crashes it saw.
    #[serde(rename = "signs")]
    pub observations: Vec<Observation>,
    /// Gateways that it knows of.
    pub known: Vec<SocketAddr>,
}

/// Says why a datagram is no heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeartbeatError {
    /// Its bytes are no heartbeat.
    #[error("the bytes are no heartbeat: {0}")]
    Decode(#[from] postcard::Error),
    /// A time in it cannot be.
    #[error("a time in it is not finite, negative or longer than a day")]
    InvalidTime,
}

impl Heartbeat {
    /// Returns its bytes.
    ///
    /// # Panics
    ///
    /// Never: a heartbeat has only types that postcard holds.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a heartbeat has only types that postcard holds")
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error when it is no heartbeat, or one that no gateway sends.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeartbeatError> {
        let heartbeat = postcard::from_bytes::<Self>(bytes)?;
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
                .all(is_duration);
        if valid {
            Ok(heartbeat)
        } else {
            Err(HeartbeatError::InvalidTime)
        }
    }
}

fn is_duration(ms: f32) -> bool {
    (0.0..=MAX_TIME_MS).contains(&ms)
}
