//! A gateway that loses its links to all replicas, beside replicas that fail on their own.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::detours;
use briarhall_policy::peers::HeldConfiguration;
use briarhall_policy::peers::Presence;
use briarhall_policy::reach::CHECKED_REPLICAS;
use briarhall_policy::reach::Reach;
use briarhall_policy::reach::checked;
use briarhall_policy::reach::unanswered_limit;
use briarhall_types::StorePosition;
use rand::SeedableRng;
use rand::rngs::StdRng;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A send fails.
    Fail,
    /// A connection that was opened some steps of 10 ms ago turns out to work.
    Reach { opened_ago: u8 },
    /// A check that began some steps ago has reached nobody.
    NoneReached { began_ago: u8 },
    /// Time passes, in steps of 10 ms.
    Advance { steps: u8 },
}

fn ago(now: Instant, steps: u8) -> Instant {
    let steps = Duration::from_millis(10) * u32::from(steps);
    now.checked_sub(steps).expect("the clock runs for an hour")
}

/// Guards against a gateway that takes itself for cut off though it has reached a replica
/// since the check began, and against one that stays so when it reaches one again.
#[test]
fn a_gateway_is_cut_off_from_a_check_that_reaches_nobody_until_one_is_reached() {
    briarhall_fuzz::histories::<Op, _>(1..40, |ops| {
        let mut now = Instant::now() + Duration::from_hours(1);
        let mut reach = Reach::default();
        let mut cut_off = false;
        let mut last_reached = None::<Instant>;
        for op in ops {
            match *op {
                Op::Fail => {
                    reach.doubt(now);
                    assert!(reach.is_doubtful(now));
                }
                Op::Reach { opened_ago } => {
                    let opened = ago(now, opened_ago);
                    assert_eq!(reach.reached(opened), cut_off);
                    cut_off = false;
                    last_reached = last_reached.max(Some(opened));
                    if opened_ago == 0 {
                        assert!(!reach.is_doubtful(now), "nothing has failed since");
                    }
                }
                Op::NoneReached { began_ago } => {
                    let began = ago(now, began_ago);
                    let shown = last_reached.is_none_or(|at| at < began);
                    assert_eq!(reach.none_reached(began), shown && !cut_off);
                    cut_off |= shown;
                }
                Op::Advance { steps } => now += Duration::from_millis(10) * u32::from(steps),
            }
            assert_eq!(reach.is_cut_off(), cut_off);
            assert!(!cut_off || reach.is_doubtful(now));
        }
    });
}

/// Guards against a doubt that keeps failures from being told for good.
#[test]
fn a_doubt_ends_without_a_check() {
    let now = Instant::now();
    let mut reach = Reach::default();
    reach.doubt(now);
    assert!(reach.is_doubtful(now + Duration::from_millis(900)));
    assert!(!reach.is_doubtful(now + Duration::from_secs(1)));
}

/// Pattern: some replicas of a fleet are down at once, and every gateway that meets one
/// tries a few others. Few may take that for a cut of their own links.
#[test]
fn replicas_that_are_down_are_seldom_taken_for_a_cut() {
    let mut rng = StdRng::seed_from_u64(5);
    let (replicas, down) = (17, 5);
    let mut taken = 0;
    for _ in 0..10_000 {
        let tried = checked(1..replicas, &mut rng);
        assert_eq!(tried.len(), CHECKED_REPLICAS);
        taken += usize::from(tried.iter().all(|replica| *replica < down));
    }
    assert!(taken < 200, "{taken} of 10,000");
    assert!(checked(0..0, &mut rng).is_empty());
}

fn gateway(n: u8) -> Presence {
    let address = ([10, 0, 0, n], 7_340).into();
    Presence {
        vm: format!("vm-{n}").into(),
        incarnation: n.into(),
        sequence: 1,
        gossip_address: address,
        relay_address: address,
        client_address: address,
        zone: "a".into(),
        ready: true,
        stopping: false,
        millicores: 250,
        requests_per_s: 5,
        places_requests: true,
        cut_off: false,
        configuration: HeldConfiguration::default(),
        replicas: StorePosition::default(),
        store: None,
    }
}

#[derive(Debug, Clone, TypeGenerator)]
struct OtherGateway {
    cut_off: bool,
    tried: bool,
    places_requests: bool,
}

/// Guards against a detour by way of a gateway that is cut off too, or was tried before.
#[test]
fn a_detour_goes_by_a_gateway_that_reaches_replicas() {
    briarhall_fuzz::values::<Vec<OtherGateway>, _>(|others| {
        let gateways = (0..).zip(others).map(|(n, other)| Presence {
            cut_off: other.cut_off,
            places_requests: other.places_requests,
            ..gateway(n)
        });
        let gateways = gateways.collect::<Vec<_>>();
        let tried = |p: &Presence| others[usize::try_from(p.incarnation).expect("few")].tried;
        let mut rng = StdRng::seed_from_u64(3);
        let chosen = detours::choose(
            &gateways,
            HeldConfiguration::default(),
            tried,
            |_| 0.0,
            &mut rng,
        );
        let open = gateways.iter().filter(|p| !p.cut_off && !tried(p));
        let open = open.collect::<Vec<_>>();
        assert_eq!(chosen.is_some(), !open.is_empty());
        if let Some(chosen) = chosen {
            assert!(open.contains(&chosen));
            let any_places = open.iter().any(|p| p.places_requests);
            assert!(chosen.places_requests || !any_places);
        }
    });
}

/// Pattern: two thirds of the gateways are cut off at once. What comes to them is spread
/// over the others, and away from one that fails.
#[test]
fn detours_are_spread_over_the_gateways_that_reach_replicas() {
    let mut gateways = (0..9).map(gateway).collect::<Vec<_>>();
    for gateway in &mut gateways[..6] {
        gateway.cut_off = true;
    }
    let mut rng = StdRng::seed_from_u64(8);
    let mut by = |penalty: f64| {
        let mut counts = [0; 9];
        for _ in 0..3_000 {
            let penalty = |p: &Presence| if p.incarnation == 8 { penalty } else { 0.0 };
            let chosen = detours::choose(
                &gateways,
                HeldConfiguration::default(),
                |_| false,
                penalty,
                &mut rng,
            );
            counts[usize::try_from(chosen.expect("three do").incarnation).expect("few")] += 1;
        }
        counts
    };
    let counts = by(0.0);
    assert_eq!(counts[..6], [0; 6]);
    assert!(counts[6..].iter().all(|count| *count > 600), "{counts:?}");
    assert_eq!(by(2.0)[8], 0);
}

/// Guards against a request that goes by way of a gateway whose configuration is older, and is
/// handled as that one says, though the gateway that took it knows better.
#[test]
fn a_gateway_with_an_older_configuration_comes_last() {
    let held = |version| HeldConfiguration {
        version,
        position: StorePosition::default(),
    };
    let with = |n, version, places_requests| Presence {
        configuration: held(version),
        places_requests,
        ..gateway(n)
    };
    let mut gateways = vec![with(0, 4, true), with(1, 5, false), with(2, 6, false)];
    let mut rng = StdRng::seed_from_u64(48);
    let mut chosen = |gateways: &[Presence]| {
        let chosen = detours::choose(gateways, held(5), |_| false, |_| 0.0, &mut rng);
        chosen.expect("they serve").incarnation
    };
    assert!((0..100).all(|_| chosen(&gateways) != 0));
    gateways.truncate(1);
    assert_eq!(chosen(&gateways), 0, "there is no other");
}

/// Guards against a gateway that takes itself for cut off as its replicas are too busy for
/// health checks, though answers to its sends arrive.
#[test]
fn an_answer_that_arrives_during_a_check_shows_that_the_links_work() {
    let began = Instant::now();
    let step = Duration::from_millis(100);
    let mut reach = Reach::default();
    reach.answered(began + step);
    assert!(!reach.none_reached(began));
    assert!(!reach.is_cut_off());
    assert!(
        reach.none_reached(began + 2 * step),
        "it came before this one"
    );
    assert!(reach.is_cut_off());
}

/// Guards against health checks after each failed send of a gateway whose other sends are
/// answered, and against an answer on an older connection that hides a cut.
#[test]
fn only_a_connection_opened_since_proves_that_a_replica_is_reached() {
    let failed = Instant::now();
    let step = Duration::from_millis(1);
    let mut reach = Reach::default();
    reach.reached(failed);
    assert!(reach.has_reached_since(failed));
    assert!(!reach.has_reached_since(failed + step));
    reach.reached(failed + step);
    assert!(reach.has_reached_since(failed + step));
}

/// Guards against health checks while a long prompt is prefilled as predicted, and against a
/// prediction that is no time.
#[test]
fn a_send_is_suspected_later_the_longer_its_answer_is_predicted_to_take() {
    assert_eq!(unanswered_limit(Duration::ZERO), Duration::from_secs(1));
    let predicted = Duration::from_secs(3);
    assert!(unanswered_limit(predicted) > predicted);
    assert_eq!(unanswered_limit(Duration::MAX), Duration::MAX);
}
