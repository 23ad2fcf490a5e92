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

/// Endpoints looked at in the request's own lane.
const OWN_LANE_CANDIDATES: usize = 5;
/// Endpoints looked at in the other lane.
const OTHER_LANE_CANDIDATES: usize = 2;
/// Part of an engine's memory that long prompts leave to short ones.
const SHORT_RESERVE: f64 = 0.15;
/// What waiting for memory costs, in tokens of prefill.
const MEMORY_WAIT_TOKENS: u64 = 60_000;
/// An engine with less than this much prefill queued is open for a long prompt:
/// about as long as it takes to hear that it has come free.
const OPEN_QUEUE: Duration = Duration::from_millis(150);
/// Most tokens queued at an engine that the short lane lends where short
/// requests weigh more.
const LENT_QUEUE_TOKENS: u64 = 1_024;
/// Prefill rate taken for an engine that does not tell, in tokens a second.
const DEFAULT_PREFILL_RATE: u64 = 10_000;

/// An endpoint chosen.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The endpoint.
    pub key: EndpointKey,
    /// As the platform lists it.
    pub record: EndpointRecord,
    /// Predicted time to the first token.
    pub first_token: Duration,
}

/// Why there is no endpoint to choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoEndpoint {
    /// Nothing runs this model or service.
    #[error("nothing runs it")]
    Unknown,
    /// Everything that runs it is down, draining or excluded.
    #[error("everything that runs it is down or leaving")]
    AllDown,
}

/// Engines that have room for a long prompt now.
#[derive(Debug, Clone)]
pub struct OpenEngines {
    /// The best of them.
    pub best: Option<Choice>,
    /// How many there are.
    pub open: usize,
    /// Prompt tokens queued in the long lane.
    pub queued: u64,
    /// Prefill rate of the long lane, in tokens a second.
    pub rate: u64,
}

#[derive(Debug, Clone, Copy)]
struct Scored {
    key: EndpointKey,
    /// Lower is better, in tokens of prefill or in requests.
    score: u64,
    /// Prompt tokens to prefill before and with the request.
    work: u64,
}

impl Fleet {
    /// Chooses an endpoint.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
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
            Policy::RoundRobin => self.next_in_turn(group, requirements, now),
            Policy::LeastRequests => {
                self.best(&group.keys, requirements, now, |_, load| load.requests)
            }
            Policy::LeastTokens => self.best(&group.keys, requirements, now, |_, load| load.queued),
            Policy::TwoChoices => {
                let usable = |key: &&EndpointKey| self.is_usable(**key, requirements, now);
                let usable = group.keys.iter().filter(usable).collect::<Vec<_>>();
                let drawn = usable.sample(rng, 2).copied();
                self.best(drawn, requirements, now, |_, load| load.requests)
            }
            Policy::Lanes => self.by_lane(group, requirements, rng, now),
        };
        let best = best.ok_or(NoEndpoint::AllDown)?;
        Ok(self.chosen(best))
    }

    fn chosen(&self, best: Scored) -> Choice {
        let record = self.endpoints[best.key].record.clone();
        Choice {
            key: best.key,
            first_token: prefill_time(&record, best.work),
            record,
        }
    }

    /// Returns the engines that have room for a long prompt now: little queued
    /// before it, and memory to spare for short ones.
    ///
    /// # Errors
    ///
    /// Returns why there is no engine at all.
    pub fn open_engines(
        &self,
        requirements: &Requirements,
        now: Instant,
    ) -> Result<OpenEngines, NoEndpoint> {
        let group = self
            .groups
            .get(&requirements.serves)
            .ok_or(NoEndpoint::Unknown)?;
        let border = group.lanes.long_endpoints(group.keys.len());
        let mut open_engines = OpenEngines {
            best: None,
            open: 0,
            queued: 0,
            rate: 0,
        };
        let mut best = None::<Scored>;
        let mut usable = 0;
        for (place, key) in group.keys.iter().enumerate() {
            if !self.is_usable(*key, requirements, now) {
                continue;
            }
            usable += 1;
            let endpoint = &self.endpoints[*key];
            let load = self.load(endpoint);
            let in_lane = place < border;
            if in_lane {
                open_engines.queued += load.queued;
                open_engines.rate += prefill_rate(&endpoint.record);
            }
            if !is_open(endpoint, &load, requirements, in_lane) {
                continue;
            }
            open_engines.open += 1;
            let toll = if in_lane {
                0
            } else {
                lending_toll(requirements)
            };
            let score = score(endpoint, &load, requirements) + toll;
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
        open_engines.best = best.map(|best| self.chosen(best));
        Ok(open_engines)
    }

    /// Returns what each engine of a model could give to a gang. Those that are
    /// down are among them: they may come back.
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

    /// Returns the largest prompt, in tokens, that one engine of a model can
    /// hold, or nothing when none runs it.
    #[must_use]
    pub fn largest_single(&self, serves: &str) -> Option<u64> {
        let keys = &self.groups.get(serves)?.keys;
        keys.iter()
            .map(|key| self.endpoints[*key].record.kv_tokens)
            .max()
    }

    /// Returns an endpoint as the platform lists it.
    #[must_use]
    pub fn record(&self, key: EndpointKey) -> Option<&EndpointRecord> {
        self.endpoints.get(key).map(|endpoint| &endpoint.record)
    }

    /// Returns every endpoint as the platform lists it.
    pub fn records(&self) -> impl Iterator<Item = (EndpointKey, &EndpointRecord)> {
        self.endpoints
            .iter()
            .map(|(key, endpoint)| (key, &endpoint.record))
    }

    /// Returns the engines.
    pub fn engines(&self) -> impl Iterator<Item = &EndpointRecord> {
        let records = self.endpoints.values().map(|endpoint| &endpoint.record);
        records.filter(|record| record.kind == EndpointKind::Engine)
    }

    /// Returns how many endpoints of a group are in the long lane, and in all.
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

    fn next_in_turn(
        &self,
        group: &Group,
        requirements: &Requirements,
        now: Instant,
    ) -> Option<Scored> {
        let all = group.keys.len();
        let turn = (0..all).map(|i| group.keys[(group.cursor + i) % all]);
        let key = turn
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
        let border = group.lanes.long_endpoints(group.keys.len());
        let (long_lane, short_lane) = group.keys.split_at(border);
        let in_own = self.best_of(short_lane, OWN_LANE_CANDIDATES, requirements, rng, now);
        let in_other = self.best_of(long_lane, OTHER_LANE_CANDIDATES, requirements, rng, now);
        let best = match (in_own, in_other) {
            (Some(a), Some(b)) if b.score < a.score => Some(b),
            (Some(a), _) => Some(a),
            (None, b) => b,
        };
        // The sample may have met only endpoints that are down.
        best.or_else(|| {
            self.best(&group.keys, requirements, now, |e, load| {
                score(e, load, requirements)
            })
        })
    }

    fn best_of<R>(
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
        // Different strides give different neighbours, so that two routers
        // rarely look at the same set.
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

/// What a long prompt pays for the short lane, in tokens of prefill.
fn lending_toll(requirements: &Requirements) -> u64 {
    match requirements.objective {
        Objective::FirstToken => requirements.tokens / 4,
        Objective::ShortSlowdown => requirements.tokens,
    }
}

/// Whether a long prompt may go to an engine now. Where short requests weigh
/// more, the short lane lends only engines that have next to nothing to do.
fn is_open(endpoint: &Endpoint, load: &Load, requirements: &Requirements, in_lane: bool) -> bool {
    let rate = prefill_rate(&endpoint.record);
    let most_queued = match (in_lane, requirements.objective) {
        (true, _) => millis_of(rate, OPEN_QUEUE),
        (false, Objective::FirstToken) => millis_of(rate, OPEN_QUEUE) / 4,
        (false, Objective::ShortSlowdown) => LENT_QUEUE_TOKENS,
    };
    let needed = load.kv_used + requirements.tokens + requirements.max_tokens;
    let fits = needed <= usable_memory(endpoint.record.kv_tokens, true)
        // A prompt that leaves less than the reserve goes alone.
        || load.kv_used == 0 && needed <= endpoint.record.kv_tokens;
    fits && load.queued <= most_queued
}

fn millis_of(rate: u64, time: Duration) -> u64 {
    let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    rate.saturating_mul(millis) / 1_000
}

/// Tokens of prefill before the first token, with a charge for memory that is
/// not free.
fn score(endpoint: &Endpoint, load: &Load, requirements: &Requirements) -> u64 {
    if endpoint.record.kind == EndpointKind::Service {
        return load.requests;
    }
    let needed = load.kv_used + requirements.tokens + requirements.max_tokens;
    let usable = usable_memory(endpoint.record.kv_tokens, is_long(requirements.tokens));
    let over = needed.saturating_sub(usable);
    let memory_wait = if over > 0 {
        MEMORY_WAIT_TOKENS + over
    } else {
        0
    };
    load.ahead_of(requirements.tokens) + requirements.tokens + memory_wait
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a part of a token count far below 2^52"
)]
fn usable_memory(kv_tokens: u64, long: bool) -> u64 {
    if long {
        (kv_tokens as f64 * (1.0 - SHORT_RESERVE)) as u64
    } else {
        kv_tokens
    }
}

fn prefill_rate(record: &EndpointRecord) -> u64 {
    if record.prefill_rate == 0 {
        DEFAULT_PREFILL_RATE
    } else {
        record.prefill_rate
    }
}

fn prefill_time(record: &EndpointRecord, tokens: u64) -> Duration {
    Duration::from_millis(tokens.saturating_mul(1_000) / prefill_rate(record))
}
