//! Load of an endpoint now, from a late report and what was sent since.

use std::time::Duration;
use std::time::Instant;

use briarhall_types::LengthClass;

use super::Attempt;
use super::Endpoint;
use super::Fleet;

/// Engines prefill a long prompt in chunks of about this many tokens; a short
/// one waits for half of a chunk on average.
const CHUNK_TOKENS: u64 = 1_024;

/// Estimated load of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that wait or run.
    pub requests: u64,
    /// Prompt tokens not yet prefilled.
    pub queued: u64,
    /// Prompt tokens not yet prefilled of short requests.
    pub queued_short: u64,
    /// KV tokens held.
    pub kv_used: u64,
    /// KV tokens held by reservations.
    pub kv_reserved: u64,
}

impl Load {
    /// Returns the prompt tokens that run before a request of this length.
    #[must_use]
    pub fn ahead_of(&self, tokens: u64) -> u64 {
        if LengthClass::of(tokens) != LengthClass::Short {
            return self.queued;
        }
        let other = self.queued.saturating_sub(self.queued_short);
        self.queued_short + other.min(CHUNK_TOKENS) / 2
    }
}

impl Fleet {
    /// Estimates the load of an endpoint: what it reported, and what was sent
    /// to it since the report can have been made.
    pub(super) fn load(&self, endpoint: &Endpoint) -> Load {
        let mut load = Load::default();
        if let Some(reported) = &endpoint.reported {
            load.requests = reported.report.requests;
            load.queued = reported.report.queued_tokens;
            load.queued_short = reported.report.queued_short_tokens;
            load.kv_used = reported.report.kv_used;
            load.kv_reserved = reported.report.kv_reserved;
        }
        let made = endpoint
            .reported
            .as_ref()
            .and_then(|r| made_at(r.at, self.report_lag));
        let attempts = endpoint.recent.iter().rev();
        let attempts = attempts.filter_map(|key| self.attempts.get(*key));
        for attempt in attempts.take_while(|attempt| made.is_none_or(|made| attempt.sent >= made)) {
            load.add(attempt);
        }
        load.requests = load.requests.max(endpoint.own_requests);
        load
    }
}

impl Load {
    fn add(&mut self, attempt: &Attempt) {
        self.requests += 1;
        self.kv_used += attempt.tokens + attempt.max_tokens;
        if attempt.first_token {
            return;
        }
        self.queued += attempt.tokens;
        if LengthClass::of(attempt.tokens) == LengthClass::Short {
            self.queued_short += attempt.tokens;
        }
    }
}

fn made_at(received: Instant, lag: Duration) -> Option<Instant> {
    received.checked_sub(lag)
}
