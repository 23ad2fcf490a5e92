//! The choice of an endpoint.

use std::time::Duration;
use std::time::Instant;

use briarhall_types::EndpointKind;
use briarhall_types::EndpointRecord;
use briarhall_types::EndpointState;
use briarhall_types::Objective;
use rand::Rng;
use rand::RngExt;
use rand::seq::IndexedRandom;
use thiserror::Error;

use super::Endpoint;
use super::EndpointKey;
use super::Fleet;
use super::Group;
use super::Load;
use super::Requirements;
use super::lanes::is_long;
use crate::gang::EngineMemory;
use crate::policies::Policy;

/// Number of endpoints compared in the request's own lane.
const OWN_LANE_CANDIDATES: usize = 5;
/// Number of endpoints compared in the other lane.
const OTHER_LANE_CANDIDATES: usize = 2;
/// Fraction of an engine's memory that long prompts leave free for short ones.
const SHORT_RESERVE_FRACTION: f64 = 0.15;
/// Score penalty for waiting for memory, in tokens of prefill.
const MEMORY_WAIT_PENALTY_TOKENS: u64 = 60_000;
/// Most prefill time that may be queued at an engine that is open for a long
/// prompt: about as long as it takes until a report shows that the engine has
/// become free.
const MAX_OPEN_QUEUE: Duration = Duration::from_millis(150);
/// Most tokens that may be queued at an engine of the short lane that is open for
/// a long prompt when the contract gives short requests more weight.
const MAX_SHORT_LANE_QUEUE_TOKENS: u64 = 1_024;
/// Prefill rate assumed for an engine that does not report one.
const DEFAULT_PREFILL_TOKENS_PER_SECOND: u64 = 10_000;

/// A chosen endpoint.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The endpoint.
    pub key: EndpointKey,
    /// The platform's record of it.
    pub record: EndpointRecord,
    /// Predicted time to the first token.
    pub first_token: Duration,
}

/// Reason why no endpoint can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoEndpoint {
    /// No endpoint runs this model or service.
    #[error("no endpoint runs this model or service")]
    Unknown,
    /// Every endpoint that runs it is down, draining or excluded.
    #[error("every endpoint that runs this model or service is down, draining or excluded")]
    AllDown,
}

/// Engines that can accept a long prompt now.
#[derive(Debug, Clone)]
pub struct OpenEngines {
    /// The best of them.
    pub best: Option<Choice>,
    /// Number of open engines.
    pub open: usize,
    /// Prompt tokens queued in the long lane.
    pub queued: u64,
    /// Prefill rate of the long lane, in tokens per second.
    pub rate: u64,
}

#[derive(Debug, Clone, Copy)]
struct Scored {
    key: EndpointKey,
    /// Lower is better, in tokens of prefill or in requests.
    score: u64,
    /// Prompt tokens to prefill, including the request's own.
    work: u64,
}

impl Fleet {
    /// Chooses an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error when no endpoint can be chosen.
    pub fn choose<R>(
        &self,
        requirements: &Requirements,
        rng: &mut R,
        now: Instant,
    ) -> Result<Choice, NoEndpoint>
    where
        R: Rng,
    {
        let group = self
            .groups
            .get(&requirements.serves)
            .ok_or(NoEndpoint::Unknown)?;
        let best = match self.policy {
            Policy::RoundRobin => self.round_robin(group, requirements, now),
            Policy::LeastRequests => {
                self.best(&group.keys, requirements, now, |_, load| load.requests)
            }
            Policy::LeastTokens => self.best(&group.keys, requirements, now, |_, load| load.queued),
            Policy::TwoChoices => {
                let usable = |key: &&EndpointKey| self.is_usable(**key, requirements, now);
                let usable = group.keys.iter().filter(usable).collect::<Vec<_>>();
                let sampled = usable.sample(rng, 2).copied();
                self.best(sampled, requirements, now, |_, load| load.requests)
            }
            Policy::Lanes => self.by_lane(group, requirements, rng, now),
        };
        let best = best.ok_or(NoEndpoint::AllDown)?;
        Ok(self.choice(best))
    }

    fn choice(&self, best: Scored) -> Choice {
        let record = self.endpoints[best.key].record.clone();
        Choice {
            key: best.key,
            first_token: prefill_time(&record, best.work),
            record,
        }
    }

    /// Returns the engines that can accept a long prompt now: those with a short
    /// queue and enough memory to leave the reserve for short prompts free.
    ///
    /// # Errors
    ///
    /// Returns an error when no engine is usable.
    pub fn open_engines(
        &self,
        requirements: &Requirements,
        now: Instant,
    ) -> Result<OpenEngines, NoEndpoint> {
        let group = self
            .groups
            .get(&requirements.serves)
            .ok_or(NoEndpoint::Unknown)?;
        let long_lane_size = group.lanes.long_endpoints(group.keys.len());
        let mut open_engines = OpenEngines {
            best: None,
            open: 0,
            queued: 0,
            rate: 0,
        };
        let mut best = None::<Scored>;
        let mut usable = 0;
        for (position, key) in group.keys.iter().enumerate() {
            if !self.is_usable(*key, requirements, now) {
                continue;
            }
            usable += 1;
            let endpoint = &self.endpoints[*key];
            let load = self.load(endpoint);
            let in_long_lane = position < long_lane_size;
            if in_long_lane {
                open_engines.queued += load.queued;
                open_engines.rate += prefill_rate(&endpoint.record);
            }
            if !is_open(endpoint, &load, requirements, in_long_lane) {
                continue;
            }
            open_engines.open += 1;
            let penalty = if in_long_lane {
                0
            } else {
                short_lane_penalty(requirements)
            };
            let score = score(endpoint, &load, requirements) + penalty;
            if best.is_none_or(|best| score < best.score) {
                let work = load.queued + requirements.tokens;
                best = Some(Scored {
                    key: *key,
                    score,
                    work,
                });
            }
        }
        if usable == 0 {
            return Err(NoEndpoint::AllDown);
        }
        open_engines.best = best.map(|best| self.choice(best));
        Ok(open_engines)
    }

    /// Returns the memory of each engine of a model, for the choice of a gang.
    /// Engines that are down are included, since they may recover.
    #[must_use]
    pub fn engine_memory(&self, requirements: &Requirements, now: Instant) -> Vec<EngineMemory> {
        let Some(group) = self.groups.get(&requirements.serves) else {
            return Vec::new();
        };
        group
            .keys
            .iter()
            .map(|key| {
                let endpoint = &self.endpoints[*key];
                let load = self.load(endpoint);
                EngineMemory {
                    key: *key,
                    name: endpoint.record.name.clone(),
                    capacity: endpoint.record.kv_tokens,
                    used: load.kv_used,
                    reserved: load.kv_reserved,
                    usable: self.is_usable(*key, requirements, now),
                }
            })
            .collect()
    }

    /// Returns the size in tokens of the largest prompt that one engine of a
    /// model can hold, or `None` when no engine runs the model.
    #[must_use]
    pub fn largest_single(&self, serves: &str) -> Option<u64> {
        let keys = &self.groups.get(serves)?.keys;
        keys.iter()
            .map(|key| self.endpoints[*key].record.kv_tokens)
            .max()
    }

    /// Returns the platform's record of an endpoint.
    #[must_use]
    pub fn record(&self, key: EndpointKey) -> Option<&EndpointRecord> {
        self.endpoints.get(key).map(|endpoint| &endpoint.record)
    }

    /// Returns the platform's records of all endpoints.
    pub fn records(&self) -> impl Iterator<Item = (EndpointKey, &EndpointRecord)> {
        self.endpoints
            .iter()
            .map(|(key, endpoint)| (key, &endpoint.record))
    }

    /// Returns the platform's records of the engines.
    pub fn engines(&self) -> impl Iterator<Item = &EndpointRecord> {
        let records = self.endpoints.values().map(|endpoint| &endpoint.record);
        records.filter(|record| record.kind == EndpointKind::Engine)
    }

    /// Returns the number of endpoints in the long lane of a group, and in the
    /// whole group.
    #[must_use]
    pub fn lane_sizes(&self, serves: &str) -> Option<(usize, usize)> {
        let group = self.groups.get(serves)?;
        let all = group.keys.len();
        Some((group.lanes.long_endpoints(all), all))
    }

    fn is_usable(&self, key: EndpointKey, requirements: &Requirements, now: Instant) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else {
            return false;
        };
        endpoint.record.state == EndpointState::Live
            && !endpoint.draining
            && endpoint.down_until.is_none_or(|until| now >= until)
            && !requirements.exclude.contains(&key)
    }

    fn round_robin(
        &self,
        group: &Group,
        requirements: &Requirements,
        now: Instant,
    ) -> Option<Scored> {
        let all = group.keys.len();
        let in_turn = (0..all).map(|i| group.keys[(group.cursor + i) % all]);
        let key = in_turn
            .into_iter()
            .find(|key| self.is_usable(*key, requirements, now))?;
        let load = self.load(&self.endpoints[key]);
        Some(Scored {
            key,
            score: 0,
            work: load.ahead_of(requirements.tokens) + requirements.tokens,
        })
    }

    fn best<'a, I, F>(
        &self,
        keys: I,
        requirements: &Requirements,
        now: Instant,
        score: F,
    ) -> Option<Scored>
    where
        I: IntoIterator<Item = &'a EndpointKey>,
        F: Fn(&Endpoint, &Load) -> u64,
    {
        let usable = keys
            .into_iter()
            .filter(|key| self.is_usable(**key, requirements, now));
        let scored = usable.map(|key| {
            let endpoint = &self.endpoints[*key];
            let load = self.load(endpoint);
            Scored {
                key: *key,
                score: score(endpoint, &load),
                work: load.ahead_of(requirements.tokens) + requirements.tokens,
            }
        });
        scored.min_by_key(|scored| scored.score)
    }

    fn by_lane<R>(
        &self,
        group: &Group,
        requirements: &Requirements,
        rng: &mut R,
        now: Instant,
    ) -> Option<Scored>
    where
        R: Rng,
    {
        let long_lane_size = group.lanes.long_endpoints(group.keys.len());
        let (long_lane, short_lane) = group.keys.split_at(long_lane_size);
        let in_own = self.best_of_sample(short_lane, OWN_LANE_CANDIDATES, requirements, rng, now);
        let in_other =
            self.best_of_sample(long_lane, OTHER_LANE_CANDIDATES, requirements, rng, now);
        let best = match (in_own, in_other) {
            (Some(a), Some(b)) if b.score < a.score => Some(b),
            (Some(a), _) => Some(a),
            (None, b) => b,
        };
        // Both samples may contain only endpoints that are not usable.
        best.or_else(|| {
            self.best(&group.keys, requirements, now, |e, load| {
                score(e, load, requirements)
            })
        })
    }

    fn best_of_sample<R>(
        &self,
        lane: &[EndpointKey],
        candidates: usize,
        requirements: &Requirements,
        rng: &mut R,
        now: Instant,
    ) -> Option<Scored>
    where
        R: Rng,
    {
        if lane.is_empty() {
            return None;
        }
        let start = rng.random_range(0..lane.len());
        let stride = rng.random_range(1..=lane.len());
        // Different strides combine different endpoints, so that two routers
        // rarely compare the same set.
        let stride = if gcd(stride, lane.len()) == 1 {
            stride
        } else {
            1
        };
        let sample =
            (0..candidates.min(lane.len())).map(|i| &lane[(start + i * stride) % lane.len()]);
        self.best(sample, requirements, now, |e, load| {
            score(e, load, requirements)
        })
    }
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}

/// Returns the score penalty for placing a long prompt in the short lane, in
/// tokens of prefill.
fn short_lane_penalty(requirements: &Requirements) -> u64 {
    match requirements.objective {
        Objective::FirstToken => requirements.tokens / 4,
        Objective::ShortSlowdown => requirements.tokens,
    }
}

/// Returns whether a long prompt may go to an engine now. Where the contract gives
/// short requests more weight, an engine of the short lane is open only if it is
/// almost idle.
fn is_open(
    endpoint: &Endpoint,
    load: &Load,
    requirements: &Requirements,
    in_long_lane: bool,
) -> bool {
    let rate = prefill_rate(&endpoint.record);
    let max_queued = match (in_long_lane, requirements.objective) {
        (true, _) => tokens_prefilled_in(rate, MAX_OPEN_QUEUE),
        (false, Objective::FirstToken) => tokens_prefilled_in(rate, MAX_OPEN_QUEUE) / 4,
        (false, Objective::ShortSlowdown) => MAX_SHORT_LANE_QUEUE_TOKENS,
    };
    let needed = load.kv_used + requirements.tokens + requirements.max_tokens;
    let fits = needed <= usable_memory(endpoint.record.kv_tokens, true)
        // A prompt that does not leave the reserve free runs only on an engine
        // that holds nothing else.
        || load.kv_used == 0 && needed <= endpoint.record.kv_tokens;
    fits && load.queued <= max_queued
}

fn tokens_prefilled_in(rate: u64, time: Duration) -> u64 {
    let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    rate.saturating_mul(millis) / 1_000
}

/// Returns the score of an engine: the tokens of prefill before the first token,
/// with a penalty when too little memory is free. The score of a service is its
/// number of requests.
fn score(endpoint: &Endpoint, load: &Load, requirements: &Requirements) -> u64 {
    if endpoint.record.kind == EndpointKind::Service {
        return load.requests;
    }
    let needed = load.kv_used + requirements.tokens + requirements.max_tokens;
    let usable = usable_memory(endpoint.record.kv_tokens, is_long(requirements.tokens));
    let shortfall = needed.saturating_sub(usable);
    let memory_penalty = if shortfall > 0 {
        MEMORY_WAIT_PENALTY_TOKENS + shortfall
    } else {
        0
    };
    load.ahead_of(requirements.tokens) + requirements.tokens + memory_penalty
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a fraction of a token count far below 2^52"
)]
fn usable_memory(kv_tokens: u64, is_long: bool) -> u64 {
    if is_long {
        (kv_tokens as f64 * (1.0 - SHORT_RESERVE_FRACTION)) as u64
    } else {
        kv_tokens
    }
}

fn prefill_rate(record: &EndpointRecord) -> u64 {
    if record.prefill_rate == 0 {
        DEFAULT_PREFILL_TOKENS_PER_SECOND
    } else {
        record.prefill_rate
    }
}

fn prefill_time(record: &EndpointRecord, tokens: u64) -> Duration {
    Duration::from_millis(tokens.saturating_mul(1_000) / prefill_rate(record))
}
