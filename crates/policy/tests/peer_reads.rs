//! Reads from other gateways while this one is behind: soon enough for a change to be
//! in force in time, and rare when they bring nothing.

use std::time::Duration;
use std::time::Instant;

use briarhall_policy::peer_reads::MAX_INTERVAL;
use briarhall_policy::peer_reads::PeerReads;

const GRACE: Duration = Duration::from_millis(700);
/// Time between two looks at what the others have.
const STEP: Duration = Duration::from_millis(100);
/// Time in which a change must be in force.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Returns when a gateway reads that is behind for `time`, of which `is_new` says
/// whether they bring something.
fn reads(time: Duration, is_new: bool) -> Vec<Duration> {
    let began = Instant::now();
    let mut pace = PeerReads::new(GRACE);
    let mut at = Duration::ZERO;
    let mut reads = Vec::new();
    while at <= time {
        if pace.due(true, began + at) {
            pace.record(is_new, began + at);
            reads.push(at);
        }
        at += STEP;
    }
    reads
}

/// Guards against reads of what one's own watch delivers a moment later.
#[test]
fn the_own_watch_has_time_to_deliver() {
    assert_eq!(reads(IN_FORCE, false).first(), Some(&GRACE));
    let now = Instant::now();
    let mut pace = PeerReads::new(GRACE);
    assert!(!pace.due(true, now));
    assert!(!pace.due(false, now + STEP), "it was delivered");
    assert!(!pace.due(true, now + GRACE), "this is another change");
    assert!(pace.due(true, now + GRACE * 2));
}

/// Guards against gateways that the store turns away and that ask those it serves ten
/// times a second, each of them and for as long as it lasts.
#[test]
fn reads_that_bring_nothing_become_rare() {
    let reads = reads(GRACE + Duration::from_secs(8), false);
    assert!(reads.len() <= 14, "{} reads in 8 s: {reads:?}", reads.len());
    let gaps = reads.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
    assert!(gaps.into_iter().all(|gap| gap <= MAX_INTERVAL + STEP));
}

/// Guards against a change that comes too late as the first gateway that was asked is
/// gone.
#[test]
fn another_gateway_is_asked_in_time() {
    let in_time = reads(IN_FORCE, false);
    assert!(in_time.len() >= 3, "{in_time:?}");
}

/// Guards against a gateway that falls behind in a series of changes.
#[test]
fn reads_that_help_stay_frequent() {
    let reads = reads(GRACE + Duration::from_secs(2), true);
    assert_eq!(reads.len(), 21, "one each 100 ms: {reads:?}");
}

/// Guards against a read that helps and is followed by a pause as long as those before.
#[test]
fn the_first_read_that_helps_ends_the_long_intervals() {
    let now = Instant::now();
    let mut pace = PeerReads::new(GRACE);
    pace.due(true, now);
    let later = now + GRACE;
    for _ in 0..5 {
        pace.record(false, later);
    }
    pace.record(true, later);
    assert!(pace.due(true, later + STEP));
}

/// Guards against reads that stay rare after the gateway has caught up.
#[test]
fn a_gateway_that_has_caught_up_begins_anew() {
    let now = Instant::now();
    let mut pace = PeerReads::new(GRACE);
    pace.due(true, now);
    let later = now + GRACE;
    for _ in 0..5 {
        pace.record(false, later);
    }
    pace.due(false, later);
    pace.due(true, later);
    assert!(pace.due(true, later + GRACE));
}

/// Load: the replicas of a service are replaced one after the other, and the gateways that
/// read the store have each change at another moment. Guards against a gateway that
/// stands by and reads the whole list at each of them, and against one that waits with the
/// first change after a calm time.
#[test]
fn a_gateway_that_stands_by_reads_a_series_of_changes_at_intervals() {
    const SERIES_INTERVAL: Duration = Duration::from_millis(300);
    let began = Instant::now();
    let mut pace = PeerReads::new(GRACE);
    pace.set_pace(Duration::ZERO, SERIES_INTERVAL);
    let mut reads = 0;
    for step in 0..30 {
        let now = began + STEP * step;
        if pace.due(true, now) {
            pace.record(true, now);
            reads += 1;
            assert!(!pace.due(false, now), "it has caught up");
        }
    }
    assert_eq!(reads, 10, "one each 300 ms");
    let later = began + IN_FORCE * 2;
    assert!(pace.due(true, later));
    // A read that fails does not count as one of the series.
    pace.record(false, later);
    assert!(pace.due(true, later + STEP));
}

/// Guards against a gateway that goes on asking others, who do not pass on what they have,
/// until it is too late to read the store.
#[test]
fn the_store_is_read_in_time() {
    let began = Instant::now();
    let mut pace = PeerReads::new(GRACE);
    pace.set_pace(Duration::ZERO, Duration::ZERO);
    let mut at = Duration::ZERO;
    pace.due(true, began);
    while !pace.store_due(IN_FORCE, began + at) {
        at += STEP;
        pace.due(true, began + at);
    }
    assert!(at <= IN_FORCE / 4, "{at:?}");
    pace.due(false, began + at);
    assert!(!pace.store_due(IN_FORCE, began + at), "it has caught up");
}

/// Guards against reads of the store by gateways that get all changes of a series from
/// others, each a moment after it.
#[test]
fn the_store_is_not_read_while_reads_from_others_help() {
    let began = Instant::now();
    let mut pace = PeerReads::new(GRACE);
    pace.set_pace(Duration::ZERO, Duration::ZERO);
    for step in 0..100 {
        let now = began + STEP * step;
        if pace.due(true, now) {
            pace.begin(now);
            pace.record(true, now + STEP / 2);
        }
        assert!(!pace.store_due(IN_FORCE, now), "step {step}");
    }
}

/// Guards against a gateway that reads the store all the time, as another one names a
/// position that the store never had.
#[test]
fn reads_of_the_store_that_bring_nothing_become_rare() {
    let began = Instant::now();
    let mut pace = PeerReads::new(GRACE);
    let mut reads = 0;
    for step in 0..600 {
        let now = began + STEP * step;
        pace.due(true, now);
        reads += u32::from(pace.store_due(IN_FORCE, now));
    }
    assert!((5..=11).contains(&reads), "{reads} in a minute");
}
