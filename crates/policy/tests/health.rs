//! Penalties that gateways tell each other.

use std::time::Duration;
use std::time::Instant;

use briarhall_policy::health::Health;
use briarhall_policy::health::SendOutcome;
use briarhall_types::ReplicaId;
use compact_str::format_compact;

const GATEWAYS: usize = 14;
const REPLICAS: usize = 172;
const CRASHED: usize = 8;
/// Penalty below which a replica is used.
const USED_BELOW: f64 = 0.5;

fn replica(n: usize) -> ReplicaId {
    format_compact!("i-{n}")
}

/// Pattern: eight engines crash at once, and many gateways would each find out by
/// losing requests there.
#[test]
fn a_crashed_replica_fails_requests_of_few_gateways() {
    let start = Instant::now();
    let mut gateways = (0..GATEWAYS).map(|_| Health::default());
    let mut gateways = gateways.by_ref().collect::<Vec<_>>();
    let mut lost = 0;
    // Each gateway sends every replica one request, 20 ms after the one before.
    for from in 0..GATEWAYS {
        let now = start + Duration::from_millis(20) * u32::try_from(from).expect("a small number");
        for n in 0..CRASHED {
            if gateways[from].penalty(&replica(n), now) < USED_BELOW {
                lost += 1;
                gateways[from].record(&replica(n), SendOutcome::Unreachable, now);
            }
        }
        let report = gateways[from].own(REPLICAS, now);
        for (to, other) in gateways.iter_mut().enumerate() {
            if to != from {
                other.apply_report(&report, now);
            }
        }
    }
    assert_eq!(lost, CRASHED);
}

/// Pattern: a VM is cut off and reaches no replica; what it says of them must not
/// empty the fleet for the others.
#[test]
fn a_gateway_that_reaches_no_replica_is_not_believed() {
    let now = Instant::now();
    let (mut cut_off, mut other) = (Health::default(), Health::default());
    for n in 0..REPLICAS {
        cut_off.record(&replica(n), SendOutcome::Unreachable, now);
    }
    other.apply_report(&cut_off.own(REPLICAS, now), now);
    assert!((0..REPLICAS).all(|n| other.penalty(&replica(n), now) < USED_BELOW));
}

#[test]
fn a_report_fades_and_ends_when_the_replica_restarts() {
    let now = Instant::now();
    let (mut first, mut second) = (Health::default(), Health::default());
    first.record(&replica(1), SendOutcome::Unreachable, now);
    second.apply_report(&first.own(REPLICAS, now), now);
    assert!(second.penalty(&replica(1), now) >= USED_BELOW);
    assert!(
        second.own(REPLICAS, now).is_empty(),
        "reports are not passed on"
    );
    let later = now + Duration::from_secs(6);
    assert!(second.penalty(&replica(1), later) < USED_BELOW);
    assert!(
        first.own(REPLICAS, later).is_empty(),
        "an old failure is not news"
    );
    second.forget(&replica(1));
    assert!(second.penalty(&replica(1), now) < USED_BELOW);
}
