//! Pauses of overloaded replicas, compared with a list of all that were asked for.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::pauses::MAX_PAUSE;
use briarhall_policy::pauses::Pauses;
use briarhall_types::ReplicaId;
use compact_str::format_compact;

const IDS: u8 = 3;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A replica asks for a pause, in units of 100 ms.
    Ask { id: u8, steps: u8 },
    /// It starts anew.
    Restart { id: u8 },
    /// Time passes, in units of 100 ms.
    Advance { steps: u8 },
}

fn name(id: u8) -> ReplicaId {
    format_compact!("i-{}", id % IDS)
}

fn steps(count: u8) -> Duration {
    Duration::from_millis(100) * u32::from(count % 64)
}

/// Guards against a pause that ends early, or never.
#[test]
fn a_replica_is_paused_until_the_last_end_that_it_asked_for() {
    briarhall_fuzz::histories::<Op, _>(1..40, |ops| {
        let mut now = Instant::now();
        let mut pauses = Pauses::default();
        let mut asked = Vec::<(ReplicaId, Instant)>::new();
        for op in ops {
            match *op {
                Op::Ask { id, steps: count } => {
                    pauses.ask(&name(id), steps(count), now);
                    asked.push((name(id), now + steps(count)));
                }
                Op::Restart { id } => {
                    pauses.forget(&name(id));
                    asked.retain(|(of, _)| *of != name(id));
                }
                Op::Advance { steps: count } => now += steps(count),
            }
            let ids = (0..IDS).map(name).collect::<Vec<_>>();
            let end = |id: &ReplicaId| {
                let ends = asked.iter().filter(|(of, end)| of == id && *end > now);
                ends.map(|(_, end)| *end).max()
            };
            for id in &ids {
                assert_eq!(pauses.is_paused(id, now), end(id).is_some(), "{id}");
            }
            let all = ids.iter().map(end).collect::<Option<Vec<_>>>();
            let first = all.and_then(|ends| ends.into_iter().min());
            let shortest = first.map(|end| end.saturating_duration_since(now));
            assert_eq!(pauses.shortest(&ids, now), shortest);
        }
    });
}

/// Guards against a replica that is out of service for hours by one answer.
#[test]
fn an_absurd_pause_is_cut() {
    let now = Instant::now();
    let mut pauses = Pauses::default();
    let id = name(0);
    let day = Duration::from_hours(24);
    assert_eq!(pauses.ask(&id, day, now), MAX_PAUSE);
    assert!(pauses.is_paused(&id, now + MAX_PAUSE / 2));
    assert!(!pauses.is_paused(&id, now + MAX_PAUSE));
}

/// Pattern: all replicas of a service turn requests away at a peak, one for longer.
#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let now = Instant::now();
    let mut pauses = Pauses::default();
    let id = name(0);
    pauses.ask(&id, Duration::from_secs(3), now);
    let later = now + Duration::from_millis(500);
    let left = pauses.ask(&id, Duration::from_secs(1), later);
    assert_eq!(left, Duration::from_millis(2_500));
}

/// Guards against a refusal in the name of replicas that are not there.
#[test]
fn no_replica_is_not_a_pause() {
    let pauses = Pauses::default();
    assert_eq!(pauses.shortest([], Instant::now()), None);
}
