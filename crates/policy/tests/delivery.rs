//! Proofs that watches have delivered everything: asked for in time, shared by gateways, and
//! never taken from another era.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::delivery::Deliveries;
use briarhall_policy::delivery::MAX_LIMIT;
use briarhall_policy::resumption::List;
use briarhall_types::StorePosition;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time in which changes must be in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time between two looks.
const STEP: Duration = Duration::from_millis(50);
const LISTS: [List; 2] = [List::Configuration, List::Replicas];

fn at(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

/// Returns a gateway that has both lists up to a revision.
fn complete_to(revision: u64) -> Deliveries {
    let mut deliveries = Deliveries::new(&LISTS, IN_FORCE);
    for list in LISTS {
        deliveries.record_complete(list, at(revision));
    }
    deliveries
}

/// Returns when each list is asked for, over some time.
fn asked(deliveries: &mut Deliveries, from: Instant, time: Duration) -> Vec<(List, Duration)> {
    let mut rng = rng();
    let mut asked = Vec::new();
    let mut after = Duration::ZERO;
    while after <= time {
        let due = deliveries.due(8, from + after, &mut rng);
        asked.extend(due.into_iter().map(|(list, _)| (list, after)));
        after += STEP;
    }
    asked
}

/// Guards against calls to a store in which nothing has changed.
#[test]
fn a_list_that_is_complete_is_not_asked_for() {
    let now = Instant::now();
    let mut deliveries = complete_to(7);
    deliveries.record_check(at(7), true, now, now);
    assert_eq!(asked(&mut deliveries, now, IN_FORCE * 10), vec![]);
}

/// Guards against a list that nobody asks for although the store has gone on.
#[test]
fn a_list_that_may_not_be_complete_is_asked_for_in_time() {
    let now = Instant::now();
    let mut deliveries = complete_to(7);
    deliveries.record_complete(List::Replicas, at(8));
    deliveries.record_check(at(8), true, now, now);
    let asked = asked(&mut deliveries, now, IN_FORCE / 2);
    let (list, after) = asked[0];
    assert_eq!(list, List::Configuration);
    assert!(after < IN_FORCE / 2, "{after:?}");
    assert!(asked.iter().all(|(list, _)| *list == List::Configuration));
}

/// Guards against a call for what a sound watch delivers a moment later.
#[test]
fn a_watch_that_delivers_is_not_overtaken() {
    let now = Instant::now();
    let mut deliveries = complete_to(7);
    deliveries.record_check(at(8), true, now, now);
    assert_eq!(asked(&mut deliveries, now, STEP), vec![]);
    for list in LISTS {
        deliveries.record_complete(list, at(8));
    }
    assert_eq!(asked(&mut deliveries, now + STEP, IN_FORCE), vec![]);
}

/// Guards against a flood of calls to a store that does not answer them, and against calls
/// that are given up too early where it is slow.
#[test]
fn calls_that_are_not_answered_become_rare_and_may_take_longer() {
    let now = Instant::now();
    let mut deliveries = complete_to(7);
    deliveries.record_check(at(8), true, now, now);
    let mut limits = Vec::new();
    let mut rng = rng();
    for n in 0..1_200 {
        let due = deliveries.due(1, now + STEP * n, &mut rng);
        limits.extend(due.into_iter().filter(|(list, _)| *list == List::Replicas));
    }
    let limits = limits.into_iter().map(|(_, limit)| limit);
    let limits = limits.collect::<Vec<_>>();
    assert!(limits.len() <= 12, "{limits:?}");
    assert_eq!(limits.last(), Some(&MAX_LIMIT));
}

/// Guards against calls that stay rare for what is written after the store has come back.
#[test]
fn a_later_position_is_asked_for_in_time_after_calls_in_vain() {
    let now = Instant::now();
    let mut deliveries = complete_to(7);
    deliveries.record_check(at(8), true, now, now);
    asked(&mut deliveries, now, IN_FORCE * 30);
    let later = now + IN_FORCE * 30;
    deliveries.record_check(at(9), true, later, later);
    let asked = asked(&mut deliveries, later, IN_FORCE / 2);
    assert!(!asked.is_empty());
}

/// Guards against calls of each gateway where the proof of one serves all.
#[test]
fn a_proof_of_another_gateway_serves_one_that_has_the_same() {
    let now = Instant::now();
    let mut other = complete_to(8);
    other.record_check(at(8), true, now, now);
    let report = other.report(now).expect("a report");
    let mut deliveries = complete_to(7);
    let has_all = |list| list == List::Configuration;
    deliveries.apply_report(&report, has_all, now);
    assert!(
        !deliveries.confirms(8, now, &mut rng()),
        "the other one has just done so"
    );
    let asked = asked(&mut deliveries, now, IN_FORCE / 2);
    assert!(!asked.is_empty());
    assert!(asked.iter().all(|(list, _)| *list == List::Replicas));
}

/// Guards against a gateway that was restarted or stood still, and is trusted for ever to
/// read the last position.
#[test]
fn the_last_position_is_read_again_in_time() {
    let now = Instant::now();
    let mut other = complete_to(8);
    other.record_check(at(8), true, now, now);
    let mut deliveries = complete_to(8);
    assert!(
        deliveries.confirms(8, now, &mut rng()),
        "nobody has read it"
    );
    let late = now + IN_FORCE / 4;
    let report = other.report(late).expect("a report");
    deliveries.apply_report(&report, |_| true, late);
    assert!(deliveries.confirms(8, late, &mut rng()));
}

/// Guards against calls of all gateways at the same time, as the last one is too long ago for
/// each: a few begin. Later each would.
#[test]
fn few_of_many_gateways_read_the_last_position() {
    let now = Instant::now();
    let mut deliveries = complete_to(8);
    deliveries.record_check(at(8), true, now, now);
    let mut rng = rng();
    let mut begun = |after: Duration, readers: usize| {
        let confirm = |_| deliveries.confirms(readers, now + after, &mut rng);
        (0..readers)
            .map(confirm)
            .filter(|confirms| *confirms)
            .count()
    };
    assert_eq!(begun(IN_FORCE / 7, 48), 0);
    assert!((1..=12).contains(&begun(IN_FORCE / 6, 48)));
    assert_eq!(begun(IN_FORCE / 4, 48), 48);
    assert_eq!(begun(IN_FORCE / 6, 2), 2);
}

/// Guards against a position that may be old and counts as the last one.
#[test]
fn an_old_position_confirms_nothing() {
    let now = Instant::now();
    let mut deliveries = complete_to(7);
    deliveries.record_check(at(6), false, now, now);
    assert!(deliveries.confirms(8, now, &mut rng()));
    deliveries.record_check(at(9), false, now, now);
    assert!(!asked(&mut deliveries, now, IN_FORCE).is_empty());
}

/// Guards against revisions of an earlier era that pass for later ones after a restore.
#[test]
fn a_restored_store_is_asked_though_its_revisions_are_lower() {
    let now = Instant::now();
    let restored = StorePosition {
        era: 1,
        revision: 3,
    };
    let mut deliveries = complete_to(7);
    deliveries.record_check(restored, true, now, now);
    let mut other = Deliveries::new(&LISTS, IN_FORCE);
    for list in LISTS {
        other.record_complete(list, restored);
    }
    other.record_check(restored, true, now, now);
    let report = other.report(now).expect("a report");
    deliveries.apply_report(&report, |_| true, now);
    let asked = asked(&mut deliveries, now, IN_FORCE / 2);
    assert!(
        LISTS
            .iter()
            .all(|list| asked.iter().any(|(l, _)| l == list))
    );
}

/// Guards against endless calls after a gateway has named a position that the store does not
/// have.
#[test]
fn a_position_that_the_store_does_not_have_is_forgotten() {
    let now = Instant::now();
    let mut other = complete_to(90);
    other.record_check(at(90), false, now, now);
    let report = other.report(now).expect("a report");
    let mut deliveries = complete_to(7);
    deliveries.apply_report(&report, |_| false, now);
    let later = now + STEP;
    deliveries.record_check(at(7), true, later, later);
    assert_eq!(asked(&mut deliveries, later, IN_FORCE * 5), vec![]);
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    /// The store goes on.
    Write,
    /// A check reads the last position, or an older one.
    Check { latest: bool },
    /// The watch of a list delivers all.
    Deliver { replicas: bool },
    /// Another gateway that has all reports.
    Hear,
    /// Time passes.
    Wait { steps: u8 },
}

/// Guards, in any order of events, against a list that is asked for without a reason, and
/// against one that is not although it may lack something: the oracle is the position of the
/// last check and those up to which the lists were delivered.
fn check_history(steps: &[Step]) {
    let mut now = Instant::now();
    let (mut rng, mut revision, mut head) = (rng(), 1, 1);
    let mut known = [1; 2];
    let mut deliveries = complete_to(revision);
    for step in steps {
        match *step {
            Step::Write => revision += 1,
            Step::Check { latest } => {
                let position = if latest { revision } else { head };
                deliveries.record_check(at(position), latest, now, now);
                head = position;
            }
            Step::Deliver { replicas } => {
                let n = usize::from(replicas);
                deliveries.record_complete(LISTS[n], at(revision));
                known[n] = revision;
            }
            Step::Hear => {
                let mut other = complete_to(revision);
                other.record_check(at(revision), true, now, now);
                let report = other.report(now).expect("a report");
                deliveries.apply_report(&report, |_| true, now);
                (head, known) = (revision, [revision; 2]);
            }
            Step::Wait { steps } => now += STEP * u32::from(steps),
        }
        for (list, limit) in deliveries.due(4, now, &mut rng) {
            let n = LISTS.iter().position(|l| *l == list).expect("a list");
            assert!(known[n] < head, "{list:?} is complete");
            assert!(limit <= MAX_LIMIT);
        }
    }
    let asked = asked(&mut deliveries, now, IN_FORCE + Duration::from_secs(10));
    for (n, list) in LISTS.into_iter().enumerate() {
        let is_asked = asked.iter().any(|(l, _)| *l == list);
        assert_eq!(is_asked, known[n] < head, "{list:?}");
    }
}

#[test]
fn a_list_is_asked_for_if_and_only_if_it_may_lack_something() {
    briarhall_fuzz::histories::<Step, _>(1..40, check_history);
}
