//! Current load of an endpoint, estimated from its last report and the requests
//! sent since.

use std::time::Duration;
use std::time::Instant;

use briarhall_types::LengthClass;

use super::Attempt;
use super::Endpoint;
use super::Fleet;

/// Approximate number of tokens in the chunks in which engines prefill a long
/// prompt. A short prompt waits for half of a chunk on average.
const CHUNK_TOKENS: u64 = 1_024;

/// Estimated load of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that are waiting or running.
    pub requests: u64,
    /// Prompt tokens not yet prefilled.
    pub queued: u64,
    /// Prompt tokens of short requests not yet prefilled.
    pub queued_short: u64,
    /// KV tokens held.
    pub kv_used: u64,
    /// KV tokens held by reservations.
    pub kv_reserved: u64,
}

impl Load {
    /// Returns the prompt tokens that are prefilled before a request with
    /// `tokens` prompt tokens.
    #[must_use]
    pub fn ahead_of(&self, tokens: u64) -> u64 {
        if LengthClass::of(tokens) != LengthClass::Short {
            return self.queued;
        }
        let queued_longer = self.queued.saturating_sub(self.queued_short);
        self.queued_short + queued_longer.min(CHUNK_TOKENS) / 2
    }
}

impl Fleet {
    /// Estimates the load of an endpoint: the reported load, plus the requests
    /// sent since the earliest time at which the report can have been made.
    pub(super) fn load(&self, endpoint: &Endpoint) -> Load {
        let mut load = Load::default();
        if let Some(reported) = &endpoint.reported {
            load.requests = reported.report.requests;
            load.queued = reported.report.queued_tokens;
            load.queued_short = reported.report.queued_short_tokens;
            load.kv_used = reported.report.kv_used;
            load.kv_reserved = reported.report.kv_reserved;
        }
        let made_after = endpoint
            .reported
            .as_ref()
            .and_then(|r| earliest_made(r.received, self.report_lag));
        let attempts = endpoint.recent.iter().rev();
        let attempts = attempts.filter_map(|key| self.attempts.get(*key));
        for attempt in attempts
            .take_while(|attempt| made_after.is_none_or(|made_after| attempt.sent >= made_after))
        {
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
        if attempt.first_token_received {
            return;
        }
        self.queued += attempt.tokens;
        if LengthClass::of(attempt.tokens) == LengthClass::Short {
            self.queued_short += attempt.tokens;
        }
    }
}

fn earliest_made(received: Instant, lag: Duration) -> Option<Instant> {
    received.checked_sub(lag)
}
