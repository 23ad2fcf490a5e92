//! Rate and concurrency limits of a contract, as enforced by one router within
//! its share of them.

use std::time::Duration;
use std::time::Instant;

use briarhall_types::CallLimits;
use serde::Deserialize;
use serde::Serialize;

/// The limit that a request exceeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverLimit {
    /// Requests per second.
    Requests,
    /// Prompt tokens per second.
    Tokens,
    /// Requests in flight.
    InFlight,
}

/// A refusal because of a limit, with the time until a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRefusal {
    /// Exceeded limit.
    pub limit: OverLimit,
    /// Time after which a retry may be admitted.
    pub retry_after: Duration,
}

/// Time until a retry of a request that was refused for too many in flight.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Seconds of its rate that a bucket can hold.
const BURST_SECONDS: f64 = 1.0;
const MAX_WAIT_SECONDS: f64 = 3_600.0;

/// A token bucket, which fills at a rate up to a capacity.
#[derive(Debug, Clone)]
struct Bucket {
    /// Tokens per second.
    rate: f64,
    capacity: f64,
    level: f64,
    refilled_at: Instant,
}

impl Bucket {
    fn full(rate: f64, capacity: f64, now: Instant) -> Self {
        Self {
            rate,
            capacity,
            level: capacity,
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.capacity);
        self.refilled_at = now;
    }

    /// Changes the rate and capacity; the level stays, up to the new capacity.
    fn set(&mut self, rate: f64, capacity: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Returns the time until `amount` can be taken, or `None` if it can be taken
    /// now. An amount above the capacity passes when the bucket is full and
    /// leaves the level negative.
    fn wait_for(&self, amount: f64) -> Option<Duration> {
        let needed = amount.min(self.capacity);
        if self.level >= needed {
            return None;
        }
        let seconds = (needed - self.level) / self.rate.max(f64::MIN_POSITIVE);
        Some(Duration::from_secs_f64(seconds.min(MAX_WAIT_SECONDS)))
    }
}

/// Part of a contract's limits that one router may use.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Fraction of each rate, from 0 to 1.
    pub rate: f64,
    /// Most requests in flight.
    pub in_flight: u32,
}

impl Share {
    /// Returns the share that is the whole of the limits.
    #[must_use]
    pub fn full(limits: &CallLimits) -> Self {
        Self {
            rate: 1.0,
            in_flight: limits.in_flight,
        }
    }
}

/// One customer's use of one kind of call at this router, against its share of
/// the limits.
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

    /// Applies new limits or a new share; requests in flight stay counted.
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

    /// Admits one request of `tokens` prompt tokens.
    ///
    /// # Errors
    ///
    /// Returns the exceeded limit and the time until a retry.
    pub fn admit(&mut self, tokens: u64, now: Instant) -> Result<(), LimitRefusal> {
        self.requests.refill(now);
        if self.in_flight >= self.share.in_flight {
            return Err(LimitRefusal {
                limit: OverLimit::InFlight,
                retry_after: IN_FLIGHT_RETRY_AFTER,
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

    /// Records that an admitted request has ended.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns how many requests are in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the current limits.
    #[must_use]
    pub fn limits(&self) -> &CallLimits {
        &self.limits
    }

    /// Returns the current share.
    #[must_use]
    pub fn share(&self) -> Share {
        self.share
    }
}

fn request_rate(limits: &CallLimits, share: Share) -> f64 {
    f64::from(limits.requests_per_second) * share.rate
}

/// Returns the capacity of the request bucket: at least one request, since a
/// smaller bucket would never admit any.
fn request_capacity(rate: f64) -> f64 {
    (rate * BURST_SECONDS).max(1.0)
}

fn token_rate(limits: &CallLimits, share: Share) -> Option<f64> {
    limits
        .tokens_per_second
        .map(|tokens| to_f64(tokens) * share.rate)
}
