//! Checks of the store by several gateways through outages in which calls that wait
//! are never answered.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::store_checks::StoreChange;
use briarhall_policy::store_checks::StoreChecks;

/// Time in which changes must be in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time in which a store that is up answers.
const ANSWER: Duration = Duration::from_millis(10);

/// Times from the start at which the store is down.
#[derive(Debug, Clone)]
struct Outages(Vec<(Duration, Duration)>);

impl Outages {
    fn at(&self, time: Duration) -> bool {
        let mut all = self.0.iter();
        all.any(|(from, until)| (*from..*until).contains(&time))
    }

    /// Returns whether a check that begins at `time` meets an outage.
    fn meets(&self, time: Duration) -> bool {
        self.at(time) || self.at(time + ANSWER)
    }
}

/// Plays the checks of a gateway that begin after `phase`, and returns when it was told
/// that the store is lost or back.
fn play(outages: &Outages, phase: Duration, until: Duration) -> Vec<(Duration, StoreChange)> {
    let start = Instant::now();
    let mut checks = StoreChecks::new(IN_FORCE);
    let mut at = phase;
    let mut changes = Vec::new();
    while at < until {
        let answered = !outages.meets(at);
        let took = if answered { ANSWER } else { checks.limit() };
        let change = checks.record(answered, start + at, start + at + took);
        at += took;
        changes.extend(change.map(|change| (at, change)));
        at += checks.interval();
    }
    changes
}

fn is_back(change: StoreChange) -> bool {
    matches!(change, StoreChange::Back { .. })
}

/// Pattern: all gateways of a fleet watch again in a silent outage of six seconds, after
/// a series of changes. Guards against calls that are made anew too late.
#[test]
fn each_gateway_learns_in_time_that_the_store_is_back() {
    let end = Duration::from_secs(12);
    let outages = Outages(vec![(Duration::from_secs(6), end)]);
    for gateway in 0..95 {
        let phase = Duration::from_millis(gateway * 11);
        let changes = play(&outages, phase, Duration::from_secs(20));
        let [(lost_at, lost), (back_at, back)] = changes[..] else {
            panic!("gateway {gateway}: {changes:?}");
        };
        assert_eq!(lost, StoreChange::Lost);
        assert!(lost_at < Duration::from_secs(6) + IN_FORCE);
        assert!(is_back(back) && back_at >= end);
        let late = back_at.saturating_sub(end);
        assert!(late + ANSWER * 2 < IN_FORCE, "gateway {gateway}: {late:?}");
    }
}

/// Guards against calls that are made anew without an outage, by each gateway.
#[test]
fn a_store_that_answers_is_never_lost() {
    let none = Outages(Vec::new());
    assert_eq!(play(&none, Duration::ZERO, Duration::from_mins(10)), vec![]);
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
struct Step {
    up_ms: u16,
    down_ms: u16,
}

/// Guards against an outage after which nobody is told that the store is back: a call
/// made in any outage that a check has met is followed by a return in time.
fn check_history(steps: &[Step]) {
    let mut outages = Vec::new();
    let mut at = Duration::ZERO;
    for step in steps {
        at += Duration::from_millis(u64::from(step.up_ms));
        let from = at;
        at += Duration::from_millis(u64::from(step.down_ms));
        outages.push((from, at));
    }
    let outages = Outages(outages);
    let end = at + IN_FORCE;
    let changes = play(&outages, Duration::ZERO, end + IN_FORCE);
    // Lost and back take turns, and the last is that the store is back.
    for (n, (_, change)) in changes.iter().enumerate() {
        assert_eq!(is_back(*change), n % 2 == 1, "{changes:?}");
    }
    assert_eq!(changes.len() % 2, 0, "{changes:?}");
    let longest = StoreChecks::new(IN_FORCE).interval() + ANSWER;
    for (from, until) in outages
        .0
        .iter()
        .filter(|(from, until)| until.saturating_sub(*from) > longest)
    {
        let lost = changes
            .iter()
            .rfind(|(at, c)| !is_back(*c) && *at <= *until + IN_FORCE);
        assert!(
            lost.is_some(),
            "no check met {from:?} to {until:?}: {changes:?}"
        );
        let back = changes.iter().find(|(at, c)| is_back(*c) && at >= until);
        let (back_at, _) = back.expect("the store is back");
        let next_down = outages.0.iter().map(|(f, _)| *f).find(|f| f >= until);
        if next_down.is_none_or(|next| next >= *until + IN_FORCE) {
            assert!(*back_at < *until + IN_FORCE, "{changes:?}");
        }
    }
}

#[test]
fn the_return_from_each_outage_is_noticed_in_time() {
    briarhall_fuzz::histories::<Step, _>(1..12, check_history);
}
