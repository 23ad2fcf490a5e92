//! Calls of a watch under series of changes.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::watch_pace::WatchPace;

const MIN_INTERVAL: Duration = Duration::from_millis(500);

/// Plays a watch over changes at these milliseconds, and returns the number of
/// answers and the longest time until a change was known.
fn play(changes_ms: &[u64]) -> (usize, Duration) {
    let start = Instant::now();
    let changes = changes_ms
        .iter()
        .map(|ms| start + Duration::from_millis(*ms));
    let changes = changes.collect::<Vec<_>>();
    let mut pace = WatchPace::new(MIN_INTERVAL);
    let (mut now, mut known, mut answers) = (start, 0, 0);
    let mut latest = Duration::ZERO;
    while known < changes.len() {
        now = now.max(changes[known]);
        answers += 1;
        while known < changes.len() && changes[known] <= now {
            latest = latest.max(now.saturating_duration_since(changes[known]));
            known += 1;
        }
        now += pace.changed(now);
    }
    (answers, latest)
}

/// Pattern: 177 replicas register within three seconds, as when all start.
#[test]
fn a_registry_that_fills_is_read_in_a_few_answers() {
    let changes = (0..177).map(|n| n * 17).collect::<Vec<_>>();
    let (answers, latest) = play(&changes);
    assert!(answers <= 9, "{answers} answers");
    assert!(latest <= MIN_INTERVAL);
}

/// Pattern: one replica drains after a calm time.
#[test]
fn a_single_change_is_known_at_once() {
    assert_eq!(play(&[10_000, 20_000]), (2, Duration::ZERO));
}

/// Times between changes, in milliseconds.
#[derive(Debug, Clone, TypeGenerator)]
struct Changes {
    gaps_ms: Vec<u16>,
}

#[test]
fn every_change_is_known_within_the_interval_and_answers_are_bounded() {
    briarhall_fuzz::values::<Changes, _>(|changes| {
        let gaps = changes.gaps_ms.iter().take(60);
        let times = gaps.scan(0, |at, gap| {
            *at += u64::from(*gap) % 3_000;
            Some(*at)
        });
        let times = times.collect::<Vec<_>>();
        let (answers, latest) = play(&times);
        assert!(latest <= MIN_INTERVAL);
        let length = times.last().copied().unwrap_or(0);
        assert!(answers as u64 <= length / 250 + 3, "{answers} answers");
    });
}
