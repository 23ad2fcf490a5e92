//! Heartbeats between gateways, as datagrams.
//!
//! Each carries the sender's identity, the revisions that it has read, and its
//! complete list of work in flight, so that a lost one is replaced by the next.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use async_net::UdpSocket;
use briarhall_policy::peers::DOWN_AFTER;
use briarhall_policy::peers::HEARTBEAT_INTERVAL;
use briarhall_policy::peers::PeerUpdate;
use futures_lite::future;

use crate::heartbeat::Heartbeat;
use crate::state::Shared;

/// Shortest time between two heartbeats; changes within it share one.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(8);
/// Largest datagram that is sent; a list that does not fit is truncated.
const MAX_DATAGRAM_BYTES: usize = 32 * 1024;
/// Most addresses of other gateways in one heartbeat.
const MAX_KNOWN_ADDRESSES: usize = 16;

/// Sends heartbeats at a regular interval and after every change.
pub async fn send(shared: Arc<Shared>, socket: UdpSocket, requests: Receiver<()>) {
    loop {
        let (datagram, to) = compose(&shared);
        shared.metrics.count("heartbeat_sent");
        for address in to {
            if let Err(e) = socket.send_to(&datagram, address).await {
                log::debug!(to = address.to_string().as_str(), error = e.to_string().as_str(); "cannot send a heartbeat");
            }
        }
        Timer::after(MIN_SEND_INTERVAL).await;
        let change = async {
            // The channel stays open as long as the state lives.
            let _requested = requests.recv().await;
        };
        let regular = async {
            Timer::after(HEARTBEAT_INTERVAL).await;
        };
        future::or(change, regular).await;
    }
}

fn compose(shared: &Shared) -> (Vec<u8>, Vec<SocketAddr>) {
    let now = Instant::now();
    let mut state = shared.state();
    state.peers.remove_expired(now);
    state.crashes.remove_expired(now);
    let known = state
        .peers
        .up(now)
        .map(|p| p.gossip_address)
        .take(MAX_KNOWN_ADDRESSES);
    let known = known.collect::<Vec<_>>();
    let mut to = state.peers.addresses().collect::<Vec<_>>();
    let mut heartbeat = Heartbeat {
        presence: shared.presence(&mut state),
        in_flight: state.load_tracker.own(now),
        queued_prompts: state.prompt_queue.own(now),
        observations: state.crashes.own(now),
        known,
    };
    drop(state);
    to.extend(shared.settings.seeds.iter().copied());
    to.sort_unstable();
    to.dedup();
    to.retain(|address| *address != shared.settings.gossip_address);
    let mut datagram = heartbeat.encode();
    if datagram.len() > MAX_DATAGRAM_BYTES {
        let works = heartbeat.in_flight.len();
        log::warn!(event = "heartbeat_cut", works; "work in flight does not fit in one heartbeat; sending a part of it");
        heartbeat
            .in_flight
            .truncate(works * MAX_DATAGRAM_BYTES / datagram.len() / 2);
        datagram = heartbeat.encode();
    }
    (datagram, to)
}

/// Receives heartbeats and applies them.
pub async fn receive(shared: Arc<Shared>, socket: UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES + 1_024];
    loop {
        let len = match socket.recv_from(&mut buf).await {
            Ok((len, _from)) => len,
            Err(e) => {
                log::debug!(error = e.to_string().as_str(); "cannot receive a heartbeat");
                Timer::after(MIN_SEND_INTERVAL).await;
                continue;
            }
        };
        match Heartbeat::decode(&buf[..len]) {
            Ok(heartbeat) => apply(&shared, heartbeat),
            Err(e) => {
                log::debug!(error = e.to_string().as_str(), len; "ignoring a datagram that is not a valid heartbeat");
            }
        }
    }
}

fn apply(shared: &Shared, heartbeat: Heartbeat) {
    let now = Instant::now();
    let Heartbeat {
        presence,
        in_flight,
        queued_prompts,
        observations,
        known,
    } = heartbeat;
    if presence.vm == shared.settings.vm && presence.incarnation == shared.incarnation {
        return;
    }
    let mut state = shared.state();
    let vm = presence.vm.clone();
    let incarnation = presence.incarnation;
    let (ready, stopping) = (presence.ready, presence.stopping);
    let new = known
        .into_iter()
        .filter(|a| *a != shared.settings.gossip_address);
    let new = new.collect::<Vec<_>>();
    state.peers.add_addresses(&new, now);
    let update = state.peers.update(presence, now);
    if update == PeerUpdate::Stale {
        return;
    }
    state.load_tracker.set_peer_work(vm.clone(), in_flight, now);
    state
        .prompt_queue
        .set_peer_prompts(vm.clone(), queued_prompts, now);
    state
        .crashes
        .set_peer_observations(incarnation, &observations, now);
    drop(state);
    if matches!(update, PeerUpdate::Up | PeerUpdate::Changed) {
        log::info!(event = "peer", peer = vm.as_str(), ready, stopping, up = true; "peer is up or has changed");
        if update == PeerUpdate::Up {
            shared.request_heartbeat();
        }
    }
}

/// Removes the work and the queued prompts of gateways that are down.
pub async fn remove_down_peers(shared: Arc<Shared>) {
    loop {
        Timer::after(DOWN_AFTER / 2).await;
        let now = Instant::now();
        let mut state = shared.state();
        let up = state.peers.up(now).map(|p| p.vm.clone());
        let up = up.collect::<Vec<_>>();
        let gone = state.load_tracker.retain_peers(|vm| up.contains(vm));
        state.prompt_queue.retain_peers(|vm| up.contains(vm));
        drop(state);
        for vm in gone {
            log::info!(event = "peer", peer = vm.as_str(), up = false; "peer is down");
        }
    }
}
