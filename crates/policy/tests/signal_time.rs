//! When a signal was sent that a process notices late.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::signal_time::SignalTime;
use briarhall_policy::signal_time::TICK_INTERVAL;

#[derive(Debug, Clone, Copy, TypeGenerator)]
struct Round {
    /// Time in which the process does not run, in units of 10 ms.
    without_processor: u8,
    /// When the signal is sent in that time, as a share of 256.
    sent_at: u8,
    /// Whether the clock is looked at before the signal is noticed.
    ticks_first: bool,
}

/// Guards against limits of a stop that count from when a signal is noticed, and end after
/// the process is killed.
#[test]
fn a_signal_is_never_taken_for_later_than_it_was_sent() {
    briarhall_fuzz::histories::<Round, _>(1..50, |rounds| {
        let mut now = Instant::now();
        let mut time = SignalTime::new(now);
        for round in rounds {
            let pause = Duration::from_millis(10) * u32::from(round.without_processor);
            let sent = now + pause * u32::from(round.sent_at) / 256;
            now += pause;
            if round.ticks_first {
                time.tick(now);
            }
            assert!(time.earliest() <= sent);
            if !round.ticks_first {
                time.tick(now);
            }
            now += TICK_INTERVAL;
            time.tick(now);
            // A process that has the processor loses little of its time.
            assert!(now - time.earliest() <= TICK_INTERVAL);
        }
    });
}
