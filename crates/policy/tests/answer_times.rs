//! How long a gateway that stops expects an answer to take, compared with a list of all
//! answers.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::answer_times::AnswerTime;
use briarhall_policy::answer_times::AnswerTimes;
use briarhall_policy::answer_times::Client;
use briarhall_policy::answer_times::ExpectedAnswer;
use briarhall_types::RouteName;

/// Time after which an answer no longer counts.
const WINDOW: Duration = Duration::from_secs(30);
/// Answers that are kept.
const KEPT: usize = 64;
const OBJECTIVE: Duration = Duration::from_millis(300);
const FIRST_EVENT: Duration = Duration::from_millis(100);
const PAUSE: Duration = Duration::from_millis(74);
const NO_DEADLINE: Duration = Duration::from_hours(1);

fn route() -> RouteName {
    RouteName::from("chat")
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn stream(max_events: Option<u32>) -> ExpectedAnswer {
    ExpectedAnswer::Stream {
        first_event: FIRST_EVENT,
        pause: PAUSE,
        max_events,
    }
}

fn call() -> ExpectedAnswer {
    ExpectedAnswer::Call {
        objective: OBJECTIVE,
    }
}

/// Guards against streams of usual length that stand for the longest: an answer may be as
/// long as the request allows.
#[test]
fn a_late_stream_needs_time_for_its_longest_answer() {
    let now = Instant::now();
    let mut times = AnswerTimes::default();
    for _ in 0..10 {
        let answer = AnswerTime::Stream {
            generation: ms(2_000),
            events: 38,
        };
        times.record(&route(), answer, now);
    }
    let needed = |client| times.time_needed(&route(), stream(Some(96)), client, NO_DEADLINE, now);
    assert!(needed(Client::Late) >= FIRST_EVENT + PAUSE * 96);
    let unaware = needed(Client::Unaware);
    assert_eq!(unaware, FIRST_EVENT + ms(2_000));
}

/// Guards against engines that work more slowly than their figures say.
#[test]
fn a_late_stream_needs_time_at_the_slowest_pace() {
    let now = Instant::now();
    let mut times = AnswerTimes::default();
    for pause in [60, 105, 60] {
        let answer = AnswerTime::Stream {
            generation: ms(pause * 37),
            events: 38,
        };
        times.record(&route(), answer, now);
    }
    let needed = times.time_needed(&route(), stream(Some(39)), Client::Late, NO_DEADLINE, now);
    assert!(needed >= FIRST_EVENT + ms(105) * 39, "{needed:?}");
}

/// Guards against streams whose length nobody knows, and which are cut.
#[test]
fn a_late_stream_without_a_bound_needs_all_its_time() {
    let now = Instant::now();
    let times = AnswerTimes::default();
    let needed = times.time_needed(&route(), stream(None), Client::Late, ms(9_000), now);
    assert_eq!(needed, ms(9_000));
}

/// Guards against requests that are refused although their deadline is close, when they
/// end in any case.
#[test]
fn no_answer_needs_more_time_than_its_deadline_leaves() {
    let now = Instant::now();
    let times = AnswerTimes::default();
    for client in [Client::Late, Client::Unaware] {
        let needed = times.time_needed(&route(), stream(Some(u32::MAX)), client, ms(50), now);
        assert_eq!(needed, ms(50));
    }
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A call ends, after units of 10 ms.
    Answer { other_route: bool, steps: u8 },
    /// Time passes, in units of 100 ms.
    Advance { steps: u8 },
}

/// Guards against calls of a slow service that are taken for quick ones, and against old
/// answers that count for ever.
#[test]
fn a_call_needs_the_time_of_the_slowest_of_the_last() {
    briarhall_fuzz::histories::<Op, _>(1..200, |ops| {
        let mut now = Instant::now();
        let mut times = AnswerTimes::default();
        let mut all = Vec::<(Instant, Duration)>::new();
        let other = RouteName::from("other");
        for op in ops {
            match *op {
                Op::Answer { other_route, steps } => {
                    let time = ms(10) * u32::from(steps);
                    if other_route {
                        times.record(&other, AnswerTime::Call(time), now);
                    } else {
                        times.record(&route(), AnswerTime::Call(time), now);
                        all.push((now, time));
                    }
                }
                Op::Advance { steps } => now += ms(100) * u32::from(steps),
            }
            let kept = &all[all.len().saturating_sub(KEPT)..];
            let recent = kept.iter().filter(|(at, _)| now - *at <= WINDOW);
            let recent = recent.map(|(_, time)| *time).collect::<Vec<_>>();
            let late = times.time_needed(&route(), call(), Client::Late, NO_DEADLINE, now);
            let slowest = recent.iter().copied().max().unwrap_or_default();
            assert_eq!(late, slowest.max(OBJECTIVE));
            let unaware = times.time_needed(&route(), call(), Client::Unaware, NO_DEADLINE, now);
            let count = u32::try_from(recent.len()).expect("small");
            let mean = recent.iter().sum::<Duration>().checked_div(count);
            assert_eq!(unaware, mean.unwrap_or(OBJECTIVE));
        }
    });
}
