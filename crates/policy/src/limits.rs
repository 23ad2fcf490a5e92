//! One router's share of a contract's limits.

use std::time::Duration;
use std::time::Instant;

use briarhall_types::CallLimits;
use serde::Deserialize;
use serde::Serialize;

/// Why a request is over its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverLimit {
    /// Too many requests a second.
    Requests,
    /// Too many prompt tokens a second.
    Tokens,
    /// Too many in flight.
    InFlight,
}

/// A refusal for a limit, with when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRefusal {
    /// Which limit.
    pub limit: OverLimit,
    /// When a repeat may be admitted.
    pub retry_after: Duration,
}

/// When a request that found too many in flight is told to come back.
const IN_FLIGHT_RETRY: Duration = Duration::from_secs(1);
/// Time's worth of a rate that a bucket holds, in seconds.
const BURST_SECONDS: f64 = 1.0;
const LONGEST_WAIT_SECONDS: f64 = 3_600.0;

/// Tokens that gather at a rate up to a capacity.
#[derive(Debug, Clone)]
struct Bucket {
    rate: f64,
    capacity: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn full(rate: f64, capacity: f64, now: Instant) -> Self {
        Self {
            rate,
            capacity,
            level: capacity,
            at: now,
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.capacity);
        self.at = now;
    }

    /// Changes the rate; what has gathered stays, up to the new capacity.
    fn set(&mut self, rate: f64, capacity: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Something larger than the bucket may pass when the bucket is full; it
    /// leaves a debt.
    fn wait_for(&self, amount: f64) -> Option<Duration> {
        let needed = amount.min(self.capacity);
        if self.level >= needed {
            return None;
        }
        let seconds = (needed - self.level) / self.rate.max(f64::MIN_POSITIVE);
        Some(Duration::from_secs_f64(seconds.min(LONGEST_WAIT_SECONDS)))
    }
}

/// Part of a contract's limits that one router may use.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Part of each rate, from 0 to 1.
    pub rate: f64,
    /// Requests in flight.
    pub in_flight: u32,
}

impl Share {
    /// Returns the share that is everything.
    #[must_use]
    pub fn whole(limits: &CallLimits) -> Self {
        Self {
            rate: 1.0,
            in_flight: limits.in_flight,
        }
    }
}

/// Use of one kind of call by one customer at this router.
#[derive(Debug, Clone)]
pub struct Usage {
    limits: CallLimits,
    share: Share,
    requests: Bucket,
    tokens: Option<Bucket>,
    in_flight: u32,
}

#[expect(clippy::cast_precision_loss, reason = "limits are far below 2^52")]
fn to_f64(value: u64) -> f64 {
    value as f64
}

impl Usage {
    /// Creates full buckets for a share of the limits.
    #[must_use]
    pub fn new(limits: CallLimits, share: Share, now: Instant) -> Self {
        let request_rate = request_rate(&limits, share);
        let tokens = token_rate(&limits, share);
        Self {
            limits,
            share,
            requests: Bucket::full(request_rate, request_capacity(request_rate), now),
            tokens: tokens.map(|rate| Bucket::full(rate, rate * BURST_SECONDS, now)),
            in_flight: 0,
        }
    }

    /// Takes new limits or a new share; what is in flight stays counted.
    pub fn set(&mut self, limits: CallLimits, share: Share, now: Instant) {
        self.limits = limits;
        self.share = share;
        let rate = request_rate(&limits, share);
        self.requests.set(rate, request_capacity(rate), now);
        self.tokens = match (self.tokens.take(), token_rate(&limits, share)) {
            (_, None) => None,
            (None, Some(rate)) => Some(Bucket::full(rate, rate * BURST_SECONDS, now)),
            (Some(mut bucket), Some(rate)) => {
                bucket.set(rate, rate * BURST_SECONDS, now);
                Some(bucket)
            }
        };
    }

    /// Admits one request of `tokens` prompt tokens, or tells why not.
    ///
    /// # Errors
    ///
    /// Returns the limit that refuses it and when to come back.
    pub fn admit(&mut self, tokens: u64, now: Instant) -> Result<(), LimitRefusal> {
        self.requests.refill(now);
        if self.in_flight >= self.share.in_flight {
            return Err(LimitRefusal {
                limit: OverLimit::InFlight,
                retry_after: IN_FLIGHT_RETRY,
            });
        }
        if let Some(retry_after) = self.requests.wait_for(1.0) {
            return Err(LimitRefusal {
                limit: OverLimit::Requests,
                retry_after,
            });
        }
        self.take_tokens(to_f64(tokens), now)?;
        self.requests.level -= 1.0;
        self.in_flight += 1;
        Ok(())
    }

    fn take_tokens(&mut self, tokens: f64, now: Instant) -> Result<(), LimitRefusal> {
        let Some(bucket) = &mut self.tokens else {
            return Ok(());
        };
        bucket.refill(now);
        if let Some(retry_after) = bucket.wait_for(tokens) {
            return Err(LimitRefusal {
                limit: OverLimit::Tokens,
                retry_after,
            });
        }
        bucket.level -= tokens;
        Ok(())
    }

    /// A request that was admitted has ended.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns how many are in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the limits in force.
    #[must_use]
    pub fn limits(&self) -> &CallLimits {
        &self.limits
    }

    /// Returns the share in force.
    #[must_use]
    pub fn share(&self) -> Share {
        self.share
    }
}

fn request_rate(limits: &CallLimits, share: Share) -> f64 {
    f64::from(limits.requests_per_second) * share.rate
}

/// A bucket that holds less than one request would never admit any.
fn request_capacity(rate: f64) -> f64 {
    (rate * BURST_SECONDS).max(1.0)
}

fn token_rate(limits: &CallLimits, share: Share) -> Option<f64> {
    limits
        .tokens_per_second
        .map(|tokens| to_f64(tokens) * share.rate)
}
