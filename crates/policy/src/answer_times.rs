//! Predicts how long an answer takes at most, for a gateway that is about to stop.
//!
//! How long a generated answer is shows only at its end: most are short, and some are as
//! long as the request allows. A client that could not know of the stop is better served
//! by an answer that is cut once in a while than by a refusal each time. Any other has
//! come although no directory names the gateway any more, and is taken only if even the
//! longest answer ends in time.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::RouteName;

/// Time after which an answer says little of the next ones: load comes and goes.
const WINDOW: Duration = Duration::from_secs(30);
/// Most answers of a route that are kept.
const MAX_SAMPLES: usize = 64;
/// Time to generate an answer of a route that has had none: 40 events, each of a decode
/// pass of 50 ms.
const TYPICAL_GENERATION: Duration = Duration::from_secs(2);
/// Time beyond its prediction that the first event of an answer may take.
const FIRST_EVENT_MARGIN: Duration = Duration::from_millis(500);

/// A complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerTime {
    /// Time from the send of a call to the end of its answer.
    Call(Duration),
    /// A stream.
    Stream {
        /// Time that the replica took from the first event to the end.
        generation: Duration,
        /// Number of events.
        events: u64,
    },
}

impl AnswerTime {
    /// Time that is compared with that of other answers of the route.
    fn total(self) -> Duration {
        match self {
            Self::Call(time) => time,
            Self::Stream { generation, .. } => generation,
        }
    }

    fn pause(self) -> Duration {
        match self {
            Self::Call(_) => Duration::ZERO,
            Self::Stream { generation, events } => {
                let pauses = u32::try_from(events.saturating_sub(1)).unwrap_or(u32::MAX);
                generation.checked_div(pauses).unwrap_or_default()
            }
        }
    }
}

/// What is known of an answer before its request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedAnswer {
    /// A whole answer.
    Call {
        /// Time in which the route's answers are to end.
        objective: Duration,
    },
    /// A stream of events.
    Stream {
        /// Predicted time to the first event.
        first_event: Duration,
        /// Time between two events at an engine that is full.
        pause: Duration,
        /// Most events that the request allows, if it names a bound.
        max_events: Option<u32>,
    },
}

/// Whether a client could know that the gateway stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Client {
    /// It may have asked a directory before the stop.
    Unaware,
    /// It uses an address that directories no longer name.
    Late,
}

/// Times of the last answers.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    routes: HashMap<RouteName, VecDeque<(Instant, AnswerTime)>>,
}

impl AnswerTimes {
    /// Records a complete answer.
    pub fn record(&mut self, route: &RouteName, time: AnswerTime, now: Instant) {
        if !self.routes.contains_key(route) {
            self.forget_old(now);
        }
        let answers = self.routes.entry(route.clone()).or_default();
        if answers.len() >= MAX_SAMPLES {
            answers.pop_front();
        }
        answers.push_back((now, time));
    }

    /// Removes the routes that have had no answer for a time: they may not be configured
    /// any more.
    fn forget_old(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= WINDOW;
        self.routes
            .retain(|_, answers| answers.back().is_some_and(|(at, _)| is_recent(*at)));
    }

    fn recent(&self, route: &RouteName, now: Instant) -> impl Iterator<Item = AnswerTime> {
        let answers = self.routes.get(route).into_iter().flatten();
        let recent = answers.filter(move |(at, _)| now.saturating_duration_since(*at) <= WINDOW);
        recent.map(|(_, time)| *time)
    }

    /// Returns the time to keep for the answer to a request with `time_left` until its
    /// deadline.
    #[must_use]
    pub fn time_needed(
        &self,
        route: &RouteName,
        expected: ExpectedAnswer,
        client: Client,
        time_left: Duration,
        now: Instant,
    ) -> Duration {
        let needed = match client {
            Client::Unaware => Some(self.typical(route, expected, now)),
            Client::Late => self.longest(route, expected, now),
        };
        // No answer goes on after the deadline.
        needed.map_or(time_left, |needed| needed.min(time_left))
    }

    fn typical(&self, route: &RouteName, expected: ExpectedAnswer, now: Instant) -> Duration {
        let (mut sum, mut count) = (Duration::ZERO, 0);
        for time in self.recent(route, now) {
            sum = sum.saturating_add(time.total());
            count += 1;
        }
        let mean = sum.checked_div(count);
        match expected {
            ExpectedAnswer::Call { objective } => mean.unwrap_or(objective),
            ExpectedAnswer::Stream { first_event, .. } => {
                first_event.saturating_add(mean.unwrap_or(TYPICAL_GENERATION))
            }
        }
    }

    /// Returns the time of the longest answer, if it is bounded.
    fn longest(
        &self,
        route: &RouteName,
        expected: ExpectedAnswer,
        now: Instant,
    ) -> Option<Duration> {
        match expected {
            ExpectedAnswer::Call { objective } => {
                let slowest = self.recent(route, now).map(AnswerTime::total).max();
                Some(slowest.unwrap_or_default().max(objective))
            }
            ExpectedAnswer::Stream {
                first_event,
                pause,
                max_events,
            } => {
                let slowest = self.recent(route, now).map(AnswerTime::pause).max();
                let generation = slowest.unwrap_or_default().max(pause);
                let generation = generation.saturating_mul(max_events?);
                let first_event = first_event.saturating_add(FIRST_EVENT_MARGIN);
                Some(first_event.saturating_add(generation))
            }
        }
    }
}
