//! The other gateways, from the heartbeats they send.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::Revision;
use briarhall_types::ZoneName;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Time between two heartbeats when nothing changes.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Silence after which a gateway counts as down: four heartbeats, so that two
/// lost datagrams and a late one are not taken for a death.
pub const DOWN_AFTER: Duration = Duration::from_millis(1_200);
/// Silence of a process after which another one on the same VM is believed:
/// one and a half heartbeats.
pub const TAKE_OVER_AFTER: Duration = Duration::from_millis(450);
/// Silence after which a gateway is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Name of a VM that runs a gateway.
pub type VmName = CompactString;
/// Number drawn at each start of a process.
pub type Incarnation = u64;

/// What a gateway says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Its VM.
    pub vm: VmName,
    /// Its process.
    pub incarnation: Incarnation,
    /// Grows with each heartbeat of the process.
    pub sequence: u64,
    /// Where other gateways reach it.
    #[serde(rename = "mesh")]
    pub gossip: SocketAddr,
    /// Where other gateways read its configuration and list of replicas.
    pub relay: SocketAddr,
    /// Where clients connect.
    pub front: SocketAddr,
    /// Where it runs.
    pub zone: ZoneName,
    /// Whether it serves.
    pub ready: bool,
    /// Whether it is about to stop.
    pub stopping: bool,
    /// Revision of its configuration.
    pub configuration: Revision,
    /// Revision of its list of replicas.
    pub replicas: Revision,
}

#[derive(Debug, Clone)]
struct Peer {
    presence: Presence,
    last_heartbeat: Instant,
}

/// The gateways one gateway has heard of.
#[derive(Debug, Default)]
pub struct Peers {
    peers: BTreeMap<VmName, Peer>,
    /// Addresses that others told and that were not heard from yet.
    unconfirmed: BTreeMap<SocketAddr, Instant>,
}

/// What a heartbeat told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerUpdate {
    /// A gateway that was not known, or was down.
    Up,
    /// A known gateway whose readiness changed.
    Changed,
    /// Nothing new.
    Same,
    /// An old datagram.
    Stale,
}

impl Peers {
    /// Takes addresses of gateways that another one knows.
    pub fn add_addresses(&mut self, addresses: &[SocketAddr], now: Instant) {
        for address in addresses {
            let known = self.peers.values().any(|p| p.presence.gossip == *address);
            if !known {
                self.unconfirmed.insert(*address, now);
            }
        }
    }

    /// Takes a heartbeat.
    pub fn update(&mut self, presence: Presence, now: Instant) -> PeerUpdate {
        self.unconfirmed.remove(&presence.gossip);
        let Some(peer) = self.peers.get_mut(&presence.vm) else {
            let vm = presence.vm.clone();
            let peer = Peer {
                presence,
                last_heartbeat: now,
            };
            self.peers.insert(vm, peer);
            return PeerUpdate::Up;
        };
        let same_process = peer.presence.incarnation == presence.incarnation;
        let silent = now.saturating_duration_since(peer.last_heartbeat);
        let stale = if same_process {
            presence.sequence <= peer.presence.sequence
        } else {
            // A late datagram of a process that is gone must not displace the
            // one that lives, which is never silent for so long.
            silent < TAKE_OVER_AFTER
        };
        if stale {
            return PeerUpdate::Stale;
        }
        let was_up = silent < DOWN_AFTER && same_process;
        let changed =
            peer.presence.ready != presence.ready || peer.presence.stopping != presence.stopping;
        peer.presence = presence;
        peer.last_heartbeat = now;
        match (was_up, changed) {
            (false, _) => PeerUpdate::Up,
            (true, true) => PeerUpdate::Changed,
            (true, false) => PeerUpdate::Same,
        }
    }

    /// Forgets gateways that were silent for long.
    pub fn forget(&mut self, now: Instant) {
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.last_heartbeat) < FORGET_AFTER);
        self.unconfirmed
            .retain(|_, told| now.saturating_duration_since(*told) < DOWN_AFTER);
    }

    /// Returns the gateways that are up.
    pub fn up(&self, now: Instant) -> impl Iterator<Item = &Presence> {
        let up = move |p: &&Peer| now.saturating_duration_since(p.last_heartbeat) < DOWN_AFTER;
        self.peers.values().filter(up).map(|peer| &peer.presence)
    }

    /// Returns the gateways that clients may be sent to.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = &Presence> {
        self.up(now).filter(|p| p.ready && !p.stopping)
    }

    /// Returns the addresses of all gateways that were not forgotten.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let known = self.peers.values().map(|peer| peer.presence.gossip);
        known.chain(self.unconfirmed.keys().copied())
    }

    /// Returns how many gateways were heard and not forgotten.
    #[must_use]
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// Returns a gateway that is up with a configuration later than `revision`.
    #[must_use]
    pub fn newer_configuration(&self, revision: Revision, now: Instant) -> Option<&Presence> {
        let newer = self.up(now).filter(|p| p.configuration > revision);
        newer.max_by_key(|p| p.configuration)
    }

    /// Returns a gateway that is up with a later list of replicas.
    #[must_use]
    pub fn newer_replicas(&self, revision: Revision, now: Instant) -> Option<&Presence> {
        let newer = self.up(now).filter(|p| p.replicas > revision);
        newer.max_by_key(|p| p.replicas)
    }
}
