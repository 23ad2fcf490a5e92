//! Heartbeats that arrive late, twice or from processes that have ended.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::peers::DOWN_AFTER;
use briarhall_policy::peers::HEARTBEAT_INTERVAL;
use briarhall_policy::peers::HeldConfiguration;
use briarhall_policy::peers::PeerUpdate;
use briarhall_policy::peers::Peers;
use briarhall_policy::peers::Presence;
use briarhall_policy::peers::TAKE_OVER_AFTER;
use briarhall_policy::peers::VmName;
use briarhall_policy::peers::regular_interval;
use briarhall_types::StorePosition;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

fn held(version: u64, era: u64, revision: u64) -> HeldConfiguration {
    HeldConfiguration {
        version,
        position: at(era, revision),
    }
}

fn presence(incarnation: u64, sequence: u64) -> Presence {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_340));
    Presence {
        vm: "vm-1".into(),
        incarnation,
        sequence,
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
        configuration: held(sequence, 0, sequence),
        replicas: at(0, sequence),
        store: None,
    }
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// An earlier heartbeat, of this process or one that has ended, arrives
    /// again.
    Old { which: u8 },
    /// The running process sends its next heartbeat in time; it may be lost.
    Heartbeat { lost: bool },
    /// The process ends and another starts after a delay.
    Restart,
}

/// No two consecutive heartbeats are lost in this test.
#[test]
fn an_old_heartbeat_never_replaces_a_running_process() {
    briarhall_fuzz::histories::<Op, _>(1..40, |ops| {
        let mut now = Instant::now();
        let mut peers = Peers::default();
        let (mut incarnation, mut sequence) = (1, 1);
        let mut sent = vec![presence(incarnation, sequence)];
        peers.update(sent[0].clone(), HEARTBEAT_INTERVAL, now);
        let mut lost_before = false;
        for op in ops {
            match *op {
                Op::Old { which } => {
                    let old = sent[usize::from(which) % sent.len()].clone();
                    assert_eq!(
                        peers.update(old, HEARTBEAT_INTERVAL, now),
                        PeerUpdate::Stale
                    );
                }
                Op::Heartbeat { lost } => {
                    now += HEARTBEAT_INTERVAL;
                    sequence += 1;
                    let heartbeat = presence(incarnation, sequence);
                    sent.push(heartbeat.clone());
                    // After a lost heartbeat, a change causes an early one.
                    if lost && !lost_before {
                        lost_before = true;
                        now += HEARTBEAT_INTERVAL / 4;
                        sequence += 1;
                        peers.update(presence(incarnation, sequence), HEARTBEAT_INTERVAL, now);
                    } else {
                        lost_before = false;
                        assert_ne!(
                            peers.update(heartbeat, HEARTBEAT_INTERVAL, now),
                            PeerUpdate::Stale
                        );
                    }
                }
                Op::Restart => {
                    now += TAKE_OVER_AFTER;
                    incarnation += 1;
                    sequence = 1;
                    let heartbeat = presence(incarnation, sequence);
                    sent.push(heartbeat.clone());
                    assert_eq!(
                        peers.update(heartbeat, HEARTBEAT_INTERVAL, now),
                        PeerUpdate::Up
                    );
                }
            }
        }
    });
}

#[test]
fn a_silent_gateway_leaves_the_directory_and_returns() {
    let now = Instant::now();
    let mut peers = Peers::default();
    peers.update(presence(1, 1), HEARTBEAT_INTERVAL, now);
    assert_eq!(peers.serving(now).count(), 1);
    let later = now + DOWN_AFTER;
    assert_eq!(peers.serving(later).count(), 0);
    assert_eq!(
        peers.update(presence(1, 2), HEARTBEAT_INTERVAL, later),
        PeerUpdate::Up
    );
    assert_eq!(peers.serving(later).count(), 1);
}

#[test]
fn a_stopping_gateway_leaves_the_directory_at_once() {
    let now = Instant::now();
    let mut peers = Peers::default();
    peers.update(presence(1, 1), HEARTBEAT_INTERVAL, now);
    let mut stopping = presence(1, 2);
    stopping.stopping = true;
    assert_eq!(
        peers.update(stopping, HEARTBEAT_INTERVAL, now),
        PeerUpdate::Changed
    );
    assert_eq!(peers.serving(now).count(), 0);
    assert_eq!(peers.up(now).count(), 1, "it still sends heartbeats");
}

#[test]
fn only_a_gateway_that_is_up_offers_a_newer_configuration() {
    let now = Instant::now();
    let mut peers = Peers::default();
    peers.update(presence(1, 7), HEARTBEAT_INTERVAL, now);
    let mut rng = StdRng::seed_from_u64(1);
    let mut newer = |version, now| {
        let own = held(version, 0, version);
        let newer = peers.newer_configuration(own, "a", now, &mut rng);
        newer.is_some()
    };
    assert!(newer(6, now));
    assert!(!newer(7, now));
    let later = now + DOWN_AFTER + Duration::from_millis(1);
    assert!(!newer(6, later), "it is down");
}

/// Guards against a gateway that asks one in its own zone again and again, though that one
/// does not answer and others have the same.
#[test]
fn a_gateway_that_was_asked_in_vain_comes_last() {
    let now = Instant::now();
    let mut peers = Peers::default();
    for (vm, zone) in [("near", "a"), ("far", "b")] {
        let ahead = Presence {
            vm: vm.into(),
            zone: zone.into(),
            ..presence(1, 7)
        };
        peers.update(ahead, Duration::from_secs(5), now);
    }
    let mut rng = StdRng::seed_from_u64(1);
    let mut from = |peers: &Peers, now| {
        let own = held(6, 0, 6);
        let newer = peers.newer_configuration(own, "a", now, &mut rng);
        newer.expect("one is ahead").vm.clone()
    };
    assert_eq!(from(&peers, now), "near");
    peers.record_failed_read("near", now);
    assert_eq!(from(&peers, now), "far");
    peers.record_failed_read("far", now);
    assert_eq!(from(&peers, now), "near", "there is no other");
    let later = now + Duration::from_secs(4);
    assert_eq!(from(&peers, later), "near", "it may be well again");
}

/// Most addresses that one heartbeat of the model names.
const NAMED: usize = 8;

fn numbered(n: u8) -> Presence {
    let address = SocketAddr::from(([10, 0, 0, n], 7_340));
    Presence {
        vm: format!("vm-{n:02}").into(),
        gossip_address: address,
        ..presence(u64::from(n) + 1, 1)
    }
}

/// Pattern: hundreds of VMs start at the same moment and know three seeds. With
/// the same few addresses in every heartbeat, most never hear of each other.
#[test]
fn many_gateways_that_start_together_all_learn_of_each_other() {
    const GATEWAYS: u8 = 95;
    const ROUNDS: u32 = 12;
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(7);
    let mut all = (0..GATEWAYS).map(|_| Peers::default()).collect::<Vec<_>>();
    let seeds = [0, 1, 2].map(|n| numbered(n).gossip_address);
    for round in 0..ROUNDS {
        let now = start + HEARTBEAT_INTERVAL * round;
        for from in 0..GATEWAYS {
            let peers = &mut all[usize::from(from)];
            peers.remove_expired(now);
            let named = peers.sample_addresses(NAMED, now, &mut rng);
            let mut to = peers.addresses().chain(seeds).collect::<Vec<_>>();
            to.sort_unstable();
            to.dedup();
            for address in to {
                let IpAddr::V4(ip) = address.ip() else {
                    panic!("the model has IPv4 addresses only");
                };
                let receiver = ip.octets()[3];
                if receiver == from {
                    continue;
                }
                let sender = Presence {
                    sequence: u64::from(round) + 1,
                    ..numbered(from)
                };
                let own = numbered(receiver).gossip_address;
                let named = named.iter().copied().filter(|a| *a != own);
                let named = named.collect::<Vec<_>>();
                let peers = &mut all[usize::from(receiver)];
                peers.add_addresses(&named, now);
                peers.update(sender, HEARTBEAT_INTERVAL, now);
            }
        }
    }
    let known = all.iter().map(Peers::count);
    let fewest = known.min().expect("there are gateways");
    assert_eq!(fewest, usize::from(GATEWAYS) - 1, "after {ROUNDS} rounds");
}

/// Pattern: a gateway that stands by is told less often; it must not take the
/// others for failed between two heartbeats.
#[test]
fn a_gateway_is_up_for_four_of_the_intervals_that_it_announced() {
    let interval = regular_interval(95);
    assert!(interval > HEARTBEAT_INTERVAL);
    let now = Instant::now();
    let mut peers = Peers::default();
    peers.update(presence(1, 1), interval, now);
    let before = now + interval.mul_f64(3.9);
    assert_eq!(peers.up(before).count(), 1);
    assert_eq!(peers.up(now + interval * 4).count(), 0);
}

/// Pattern: the number of VMs grows tenfold; what each of them sends must not.
#[test]
fn heartbeats_to_gateways_that_stand_by_are_bounded_in_number() {
    for gateways in [9, 30, 95, 350, 1_000] {
        let interval = regular_interval(gateways);
        let per_s =
            f64::from(u32::try_from(gateways).expect("a small number")) / interval.as_secs_f64();
        assert!(
            per_s <= 126.0,
            "{gateways} gateways: {per_s} heartbeats a second"
        );
    }
}

/// Pattern: hundreds of gateways are behind at the same moment; if they all ask the
/// one that is furthest ahead, it runs out of memory.
#[test]
fn gateways_that_are_behind_ask_different_ones_of_their_zone() {
    let now = Instant::now();
    let mut peers = Peers::default();
    for n in 0..90 {
        let zone = if n % 3 == 0 { "a" } else { "b" };
        let ahead = Presence {
            zone: zone.into(),
            replicas: at(0, 100 + u64::from(n)),
            ..numbered(n)
        };
        peers.update(ahead, HEARTBEAT_INTERVAL, now);
    }
    let mut rng = StdRng::seed_from_u64(5);
    let mut asked = HashMap::<VmName, usize>::new();
    for _ in 0..300 {
        let from = peers.newer_replicas(at(0, 50), "a", now, &mut rng);
        let from = from.expect("all are ahead");
        assert_eq!(from.zone, "a");
        *asked.entry(from.vm.clone()).or_default() += 1;
    }
    let most = asked.values().max().copied().expect("some were asked");
    assert!(most <= 30, "one of 30 is asked {most} times of 300");
    let elsewhere = peers.newer_replicas(at(0, 50), "c", now, &mut rng);
    assert!(
        elsewhere.is_some(),
        "another zone if there is none in its own"
    );
}

/// Guards against a gateway that is pulled back to an older configuration, or to a
/// list of before a restore, by others that have not heard of it.
#[test]
fn after_a_restore_the_version_goes_before_the_era_and_the_era_before_the_revision() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    // This one read version 5 from the copy; the others know version 9 of before.
    let mut peers = Peers::default();
    let other = Presence {
        configuration: held(9, 0, 500),
        replicas: at(0, 500),
        ..numbered(1)
    };
    peers.update(other, HEARTBEAT_INTERVAL, now);
    let own = held(5, 1, 40);
    assert!(peers.newer_configuration(own, "a", now, &mut rng).is_some());
    assert!(
        peers
            .newer_replicas(at(1, 40), "a", now, &mut rng)
            .is_none()
    );
    // Seen from the others.
    let mut peers = Peers::default();
    let restored = Presence {
        configuration: own,
        replicas: at(1, 40),
        ..numbered(2)
    };
    peers.update(restored, HEARTBEAT_INTERVAL, now);
    let own = held(9, 0, 500);
    assert!(peers.newer_configuration(own, "a", now, &mut rng).is_none());
    assert!(
        peers
            .newer_replicas(at(0, 500), "a", now, &mut rng)
            .is_some()
    );
    // The operator has written version 9 again.
    assert!(held(9, 1, 41) > own);
}

/// Guards against clients that wait for a gateway which has started again, or never comes
/// back, instead of the next one that does.
#[test]
fn the_first_gateway_to_return_is_the_one_that_stopped_first() {
    let start = Instant::now();
    let after = Duration::from_secs(9);
    let mut peers = Peers::default();
    let mut hear = |vm: &str, incarnation: u64, stopping: bool, at: Instant| {
        let sequence = u64::try_from((at - start).as_millis()).expect("small");
        let presence = Presence {
            vm: vm.into(),
            stopping,
            ..presence(incarnation, sequence + 1)
        };
        peers.update(presence, HEARTBEAT_INTERVAL, at);
        peers.first_return(after, at)
    };
    let second = |s: u64| start + Duration::from_secs(s);
    assert_eq!(hear("vm-1", 1, false, start), None);
    assert_eq!(hear("vm-1", 1, true, second(1)), Some(second(10)));
    assert_eq!(hear("vm-2", 2, true, second(2)), Some(second(10)));
    // Later heartbeats of a stop do not move its beginning.
    assert_eq!(hear("vm-1", 1, true, second(3)), Some(second(10)));
    // Another process on the VM serves.
    assert_eq!(hear("vm-1", 3, false, second(6)), Some(second(11)));
    assert_eq!(hear("vm-3", 4, true, second(12)), Some(second(21)));
}
