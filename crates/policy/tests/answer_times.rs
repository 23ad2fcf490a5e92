//! How long a gateway that stops expects an answer to take, compared with a list of all
//! answers.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
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
const STREAM: ExpectedAnswer = ExpectedAnswer::Stream {
    first_event: FIRST_EVENT,
};
const NO_DEADLINE: Duration = Duration::from_hours(1);

fn route() -> RouteName {
    RouteName::from("chat")
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn call() -> ExpectedAnswer {
    ExpectedAnswer::Call {
        objective: OBJECTIVE,
    }
}

/// Guards against typical answers that stand for the longest: an answer may be as long as
/// the request allows, its engine slower than all before, and silent for a second.
#[test]
fn a_late_stream_needs_all_the_time_until_its_deadline() {
    let now = Instant::now();
    let mut times = AnswerTimes::default();
    let needed =
        |times: &AnswerTimes, client| times.time_needed(&route(), STREAM, client, ms(9_000), now);
    assert_eq!(needed(&times, Client::Late), ms(9_000));
    for _ in 0..10 {
        times.record(&route(), ms(2_000), now);
    }
    assert_eq!(needed(&times, Client::Late), ms(9_000));
    assert_eq!(needed(&times, Client::Unaware), FIRST_EVENT + ms(2_000));
}

/// Guards against requests that are refused although their deadline is close, when they
/// end in any case.
#[test]
fn no_answer_needs_more_time_than_its_deadline_leaves() {
    let now = Instant::now();
    let times = AnswerTimes::default();
    for client in [Client::Late, Client::Unaware] {
        let needed = times.time_needed(&route(), STREAM, client, ms(50), now);
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

/// Guards against late calls that are taken for quick ones, and against old answers that
/// count for ever.
#[test]
fn a_late_call_needs_all_its_time_and_an_unaware_one_the_mean_of_the_last() {
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
                        times.record(&other, time, now);
                    } else {
                        times.record(&route(), time, now);
                        all.push((now, time));
                    }
                }
                Op::Advance { steps } => now += ms(100) * u32::from(steps),
            }
            let kept = &all[all.len().saturating_sub(KEPT)..];
            let recent = kept.iter().filter(|(at, _)| now - *at <= WINDOW);
            let recent = recent.map(|(_, time)| *time).collect::<Vec<_>>();
            let late = times.time_needed(&route(), call(), Client::Late, NO_DEADLINE, now);
            assert_eq!(late, NO_DEADLINE);
            let unaware = times.time_needed(&route(), call(), Client::Unaware, NO_DEADLINE, now);
            let count = u32::try_from(recent.len()).expect("small");
            let mean = recent.iter().sum::<Duration>().checked_div(count);
            assert_eq!(unaware, mean.unwrap_or(OBJECTIVE));
        }
    });
}
