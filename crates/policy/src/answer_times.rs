//! Time to keep for an answer while a gateway is about to stop.
//!
//! How long an answer takes shows only at its end: most are short, some are as long as the
//! request allows, and a sound replica may fall silent meanwhile. A client that could not
//! know of the stop is better served by an answer that is cut once in a while than by a
//! refusal each time, so a typical answer counts for it. Any other has come although no
//! directory names the gateway any more, and is served only if its answer cannot outlast
//! the process: nothing but the deadline of the request bounds it.

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
    routes: HashMap<RouteName, VecDeque<(Instant, Duration)>>,
}

impl AnswerTimes {
    /// Records the time that a replica took for a complete call, or for a stream from its
    /// first event on.
    pub fn record(&mut self, route: &RouteName, time: Duration, now: Instant) {
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

    fn recent(&self, route: &RouteName, now: Instant) -> impl Iterator<Item = Duration> {
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
        match client {
            // No answer goes on after the deadline.
            Client::Unaware => self.typical(route, expected, now).min(time_left),
            Client::Late => time_left,
        }
    }

    fn typical(&self, route: &RouteName, expected: ExpectedAnswer, now: Instant) -> Duration {
        let (mut sum, mut count) = (Duration::ZERO, 0);
        for time in self.recent(route, now) {
            sum = sum.saturating_add(time);
            count += 1;
        }
        let mean = sum.checked_div(count);
        match expected {
            ExpectedAnswer::Call { objective } => mean.unwrap_or(objective),
            ExpectedAnswer::Stream { first_event } => {
                first_event.saturating_add(mean.unwrap_or(TYPICAL_GENERATION))
            }
        }
    }
}
