//! Heartbeats that arrive late, twice or from processes that have ended.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::peers::DOWN_AFTER;
use briarhall_policy::peers::HEARTBEAT_INTERVAL;
use briarhall_policy::peers::PeerUpdate;
use briarhall_policy::peers::Peers;
use briarhall_policy::peers::Presence;
use briarhall_policy::peers::TAKE_OVER_AFTER;

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
        configuration: sequence,
        replicas: sequence,
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
        peers.update(sent[0].clone(), now);
        let mut lost_before = false;
        for op in ops {
            match *op {
                Op::Old { which } => {
                    let old = sent[usize::from(which) % sent.len()].clone();
                    assert_eq!(peers.update(old, now), PeerUpdate::Stale);
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
                        peers.update(presence(incarnation, sequence), now);
                    } else {
                        lost_before = false;
                        assert_ne!(peers.update(heartbeat, now), PeerUpdate::Stale);
                    }
                }
                Op::Restart => {
                    now += TAKE_OVER_AFTER;
                    incarnation += 1;
                    sequence = 1;
                    let heartbeat = presence(incarnation, sequence);
                    sent.push(heartbeat.clone());
                    assert_eq!(peers.update(heartbeat, now), PeerUpdate::Up);
                }
            }
        }
    });
}

#[test]
fn a_silent_gateway_leaves_the_directory_and_returns() {
    let now = Instant::now();
    let mut peers = Peers::default();
    peers.update(presence(1, 1), now);
    assert_eq!(peers.serving(now).count(), 1);
    let later = now + DOWN_AFTER;
    assert_eq!(peers.serving(later).count(), 0);
    assert_eq!(peers.update(presence(1, 2), later), PeerUpdate::Up);
    assert_eq!(peers.serving(later).count(), 1);
}

#[test]
fn a_stopping_gateway_leaves_the_directory_at_once() {
    let now = Instant::now();
    let mut peers = Peers::default();
    peers.update(presence(1, 1), now);
    let mut stopping = presence(1, 2);
    stopping.stopping = true;
    assert_eq!(peers.update(stopping, now), PeerUpdate::Changed);
    assert_eq!(peers.serving(now).count(), 0);
    assert_eq!(peers.up(now).count(), 1, "it still sends heartbeats");
}

#[test]
fn only_a_gateway_that_is_up_offers_a_newer_configuration() {
    let now = Instant::now();
    let mut peers = Peers::default();
    peers.update(presence(1, 7), now);
    assert!(peers.newer_configuration(6, now).is_some());
    assert!(peers.newer_configuration(7, now).is_none());
    let later = now + DOWN_AFTER + Duration::from_millis(1);
    assert!(peers.newer_configuration(6, later).is_none(), "it is down");
}
