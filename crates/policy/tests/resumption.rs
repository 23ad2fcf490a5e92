//! A process that stands still for any time, and what it may act on afterwards.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::resumption::List;
use briarhall_policy::resumption::MIN_PAUSE;
use briarhall_policy::resumption::Resumption;

/// Time after which a process acts on what it has, whatever the store does.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// Time passes in steps of 50 ms, and the process looks at the clock.
    Tick { steps: u8 },
    /// A read of a list that began some steps ago has ended.
    Read {
        configuration: bool,
        is_answered: bool,
        began_ago: u8,
    },
}

fn steps(count: u8) -> Duration {
    Duration::from_millis(50) * u32::from(count)
}

/// Guards against a process that acts on what it knew before a pause though nothing has
/// confirmed it, and against one that never acts again.
#[test]
fn nothing_from_before_a_pause_is_acted_on_before_it_is_read_again() {
    briarhall_fuzz::histories::<Op, _>(1..40, |ops| {
        let mut now = Instant::now() + Duration::from_hours(1);
        let mut clock = Duration::from_hours(1);
        let mut resumption = Resumption::new(&[List::Configuration, List::Replicas]);
        assert_eq!(resumption.tick(clock, now), None);
        let mut resumed_at = None;
        let mut read = [false; 2];
        let mut failed = false;
        for op in ops {
            match *op {
                Op::Tick { steps: count } => {
                    now += steps(count);
                    clock += steps(count);
                    let paused = resumption.tick(clock, now);
                    assert_eq!(paused.is_some(), steps(count) >= MIN_PAUSE);
                    if paused.is_some() {
                        resumed_at = Some(now);
                        read = [false; 2];
                        failed = false;
                    }
                }
                Op::Read {
                    configuration,
                    is_answered,
                    began_ago,
                } => {
                    let began = now
                        .checked_sub(steps(began_ago))
                        .expect("an hour has passed");
                    let list = if configuration {
                        List::Configuration
                    } else {
                        List::Replicas
                    };
                    resumption.record_read(list, is_answered, began);
                    if resumed_at.is_some_and(|at| began >= at) {
                        read[usize::from(configuration)] |= is_answered;
                        failed |= !is_answered;
                    }
                }
            }
            let Some(resumed_at) = resumed_at else {
                assert!(resumption.is_confirmed(now));
                continue;
            };
            let since = now.saturating_duration_since(resumed_at);
            let confirmed = resumption.is_confirmed(now);
            if read == [true; 2] || since >= LONGEST_WAIT {
                assert!(confirmed);
            } else if !failed || since < Duration::from_secs(1) {
                assert!(!confirmed, "{since:?} after the pause");
            }
            assert!(resumption.has_paused_since(resumed_at));
            assert!(!resumption.has_paused_since(resumed_at + Duration::from_millis(1)));
        }
    });
}

/// Guards against a suspended VM, whose monotonic clock stands still, that goes unnoticed.
#[test]
fn a_pause_in_which_the_monotonic_clock_stands_still_is_noticed() {
    let now = Instant::now();
    let clock = Duration::from_hours(1);
    let mut resumption = Resumption::new(&[List::Configuration, List::Replicas]);
    assert_eq!(resumption.tick(clock, now), None);
    let pause = Duration::from_secs(20);
    assert_eq!(resumption.tick(clock + pause, now), Some(pause));
    assert!(!resumption.is_confirmed(now));
    assert!(resumption.may_be_backlog(now));
    assert!(!resumption.may_be_backlog(now + Duration::from_millis(50)));
}
