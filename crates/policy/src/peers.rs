//! The other gateways that are up, as known from their heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::ConfigurationVersion;
use briarhall_types::StorePosition;
use briarhall_types::ZoneName;
use compact_str::CompactString;
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::store_readers::MAX_HEARD_AGE;
use crate::store_readers::ReaderReport;
use crate::store_readers::StoreReading;

/// Shortest time between two heartbeats to the same gateway when nothing
/// changes.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time that each gateway adds to the interval between heartbeats to gateways
/// that do not place requests: with it, a VM sends and receives at most 125 of
/// them a second, however many VMs there are.
const INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(8);
/// Longest interval that a heartbeat may announce.
pub const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(10);
/// Intervals without a heartbeat after which a gateway counts as down, so that
/// two lost datagrams and a late one do not count as a failure.
const DOWN_AFTER_INTERVALS: u32 = 4;
/// Time without a heartbeat after which a gateway that sends at the shortest
/// interval counts as down.
pub const DOWN_AFTER: Duration = HEARTBEAT_INTERVAL.saturating_mul(DOWN_AFTER_INTERVALS);
/// Time without a heartbeat of one process after which another process on the
/// same VM replaces it, at the shortest interval: one and a half intervals.
pub const TAKE_OVER_AFTER: Duration = Duration::from_millis(450);
/// The same in intervals.
const TAKE_OVER_INTERVALS: f64 = 1.5;
/// Time without a heartbeat after which a gateway is removed.
const REMOVE_AFTER: Duration = Duration::from_mins(1);
/// Time for which a gateway from which a list was read in vain is not asked again, if
/// another one is ahead too: until it counts as down, or has had time to become ready.
const FAILED_READ_COUNTS: Duration = Duration::from_secs(3);

/// Name of a VM that runs a gateway.
pub type VmName = CompactString;
/// Random number that a process draws when it starts.
pub type Incarnation = u64;

/// A configuration that a gateway has in force. The operator's version goes first: a
/// store that was restored from a copy may have an older one at a later position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct HeldConfiguration {
    /// The operator's version.
    pub version: ConfigurationVersion,
    /// Where the store has it.
    pub position: StorePosition,
}

/// State of a gateway, as it reports it in its heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is true or false independently of the others"
)]
pub struct Presence {
    /// VM that it runs on.
    pub vm: VmName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Grows with each heartbeat of the process.
    pub sequence: u64,
    /// Address for heartbeats of other gateways.
    #[serde(rename = "mesh")]
    pub gossip_address: SocketAddr,
    /// Address from which other gateways read its configuration and list of
    /// replicas.
    #[serde(rename = "relay")]
    pub relay_address: SocketAddr,
    /// Address to which clients connect.
    #[serde(rename = "front")]
    pub client_address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: ZoneName,
    /// Whether it can serve requests.
    pub ready: bool,
    /// Whether it is about to stop.
    pub stopping: bool,
    /// Processor time that its VM gives it, in thousandths of a core.
    pub millicores: u32,
    /// Client requests that it receives, a second.
    pub requests_per_s: u32,
    /// Whether it places requests and so needs every change of the others' work
    /// at once.
    pub places_requests: bool,
    /// Whether it reaches no replica and sends requests by way of others.
    pub cut_off: bool,
    /// Its configuration.
    pub configuration: HeldConfiguration,
    /// Position of its list of replicas.
    pub replicas: StorePosition,
    /// What it reports of the store, if it reads it.
    pub store: Option<StoreReading>,
}

#[derive(Debug, Clone)]
struct Peer {
    presence: Presence,
    last_heartbeat: Instant,
    /// Time until the next heartbeat, as the last one announced.
    interval: Duration,
    /// When it said first that it stops.
    stopping_since: Option<Instant>,
}

impl Peer {
    fn is_up(&self, now: Instant) -> bool {
        let silent_for = now.saturating_duration_since(self.last_heartbeat);
        silent_for < self.interval * DOWN_AFTER_INTERVALS
    }
}

/// Returns the time between two heartbeats to a gateway that places no requests,
/// when `gateways` are known.
#[must_use]
pub fn regular_interval(gateways: usize) -> Duration {
    let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
    let interval = INTERVAL_PER_GATEWAY.saturating_mul(gateways);
    interval.clamp(HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
}

/// The other gateways that one gateway knows.
#[derive(Debug, Default)]
pub struct Peers {
    by_vm: BTreeMap<VmName, Peer>,
    /// Addresses that other gateways reported and that sent no heartbeat yet.
    unconfirmed: BTreeMap<SocketAddr, Instant>,
    /// When a list was last read from a gateway in vain.
    failed_reads: BTreeMap<VmName, Instant>,
}

/// What a heartbeat changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerUpdate {
    /// The gateway was unknown or down, or its process restarted.
    Up,
    /// The readiness of a known gateway changed.
    Changed,
    /// Readiness is the same.
    Same,
    /// The heartbeat is older than the last one, or of a process that was
    /// replaced.
    Stale,
}

impl Peers {
    /// Adds addresses of gateways that another gateway reported.
    pub fn add_addresses(&mut self, addresses: &[SocketAddr], now: Instant) {
        for address in addresses {
            let known = self
                .by_vm
                .values()
                .any(|p| p.presence.gossip_address == *address);
            if !known {
                self.unconfirmed.insert(*address, now);
            }
        }
    }

    /// Applies a heartbeat that announces the next one after `interval`.
    pub fn update(&mut self, presence: Presence, interval: Duration, now: Instant) -> PeerUpdate {
        let interval = interval.clamp(HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL);
        self.unconfirmed.remove(&presence.gossip_address);
        let Some(peer) = self.by_vm.get_mut(&presence.vm) else {
            let vm = presence.vm.clone();
            let stopping_since = presence.stopping.then_some(now);
            let peer = Peer {
                presence,
                last_heartbeat: now,
                interval,
                stopping_since,
            };
            self.by_vm.insert(vm, peer);
            return PeerUpdate::Up;
        };
        let same_process = peer.presence.incarnation == presence.incarnation;
        let since_heartbeat = now.saturating_duration_since(peer.last_heartbeat);
        let stale = if same_process {
            presence.sequence <= peer.presence.sequence
        } else {
            // A late datagram of a process that has ended must not replace the
            // running one, which never pauses its heartbeats for so long.
            since_heartbeat < peer.interval.mul_f64(TAKE_OVER_INTERVALS)
        };
        if stale {
            return PeerUpdate::Stale;
        }
        let was_up = peer.is_up(now) && same_process;
        let changed =
            peer.presence.ready != presence.ready || peer.presence.stopping != presence.stopping;
        let stopping_since = peer.stopping_since.filter(|_| same_process);
        peer.stopping_since = presence.stopping.then(|| stopping_since.unwrap_or(now));
        peer.presence = presence;
        peer.last_heartbeat = now;
        peer.interval = interval;
        match (was_up, changed) {
            (false, _) => PeerUpdate::Up,
            (true, true) => PeerUpdate::Changed,
            (true, false) => PeerUpdate::Same,
        }
    }

    /// Removes gateways whose heartbeats stopped long ago.
    pub fn remove_expired(&mut self, now: Instant) {
        self.by_vm
            .retain(|_, peer| now.saturating_duration_since(peer.last_heartbeat) < REMOVE_AFTER);
        self.unconfirmed
            .retain(|_, added| now.saturating_duration_since(*added) < DOWN_AFTER);
        self.failed_reads
            .retain(|_, at| now.saturating_duration_since(*at) < FAILED_READ_COUNTS);
    }

    /// Records that a list was read in vain from a gateway.
    pub fn record_failed_read(&mut self, vm: &str, now: Instant) {
        self.failed_reads.insert(vm.into(), now);
    }

    /// Returns the gateways that are up.
    pub fn up(&self, now: Instant) -> impl Iterator<Item = &Presence> {
        let up = self.by_vm.values().filter(move |peer| peer.is_up(now));
        up.map(|peer| &peer.presence)
    }

    /// Returns the last reports of gateways that read the store and can serve requests,
    /// also of those that are down.
    pub fn store_readers(&self) -> impl Iterator<Item = ReaderReport> {
        let ready = self.by_vm.values().filter(|peer| peer.presence.ready);
        ready.filter_map(|peer| {
            Some(ReaderReport {
                heard_at: peer.last_heartbeat,
                reading: peer.presence.store?,
            })
        })
    }

    /// Returns how many other gateways that read the store were heard lately.
    #[must_use]
    pub fn heard_readers(&self, now: Instant) -> usize {
        let is_heard = |at| now.saturating_duration_since(at) < MAX_HEARD_AGE;
        let reports = self.store_readers();
        reports.filter(|report| is_heard(report.heard_at)).count()
    }

    /// Returns the gateways that accept clients.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = &Presence> {
        self.up(now).filter(|p| p.ready && !p.stopping)
    }

    /// Returns when the first of the gateways that stop serves again, each of them
    /// `after` the beginning of its stop. One that is overdue may be gone for good.
    #[must_use]
    pub fn first_return(&self, after: Duration, now: Instant) -> Option<Instant> {
        let stops = self.by_vm.values().filter_map(|peer| peer.stopping_since);
        let returns = stops.map(|since| since + after);
        returns.filter(|at| *at > now).min()
    }

    /// Returns whether a gateway said last that it reaches no replica.
    #[must_use]
    pub fn is_cut_off(&self, vm: &str) -> bool {
        self.by_vm.get(vm).is_some_and(|p| p.presence.cut_off)
    }

    /// Returns the heartbeat addresses of all gateways, including unconfirmed
    /// ones.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let known = self.by_vm.values().map(|peer| peer.presence.gossip_address);
        known.chain(self.unconfirmed.keys().copied())
    }

    /// Returns up to `count` heartbeat addresses of gateways that are up, drawn
    /// anew each time so that repeated answers name them all.
    pub fn sample_addresses<R>(&self, count: usize, now: Instant, rng: &mut R) -> Vec<SocketAddr>
    where
        R: Rng,
    {
        let addresses = self.up(now).map(|p| p.gossip_address);
        addresses.sample(rng, count)
    }

    /// Returns how many gateways sent a heartbeat and were not removed.
    #[must_use]
    pub fn count(&self) -> usize {
        self.by_vm.len()
    }

    /// Returns the share of the gateways that are not known to have stopped, this one
    /// included, that are up.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "counts of gateways are far below 2^52"
    )]
    pub fn heard_share(&self, now: Instant) -> f64 {
        let known = self.by_vm.values();
        let known = known
            .filter(|p| p.is_up(now) || !p.presence.stopping)
            .count();
        (self.up(now).count() + 1) as f64 / (known + 1) as f64
    }

    /// Returns a gateway that is up and has a configuration newer than
    /// `held`, in this availability zone if there is one.
    pub fn newer_configuration<R>(
        &self,
        held: HeldConfiguration,
        zone: &str,
        now: Instant,
        rng: &mut R,
    ) -> Option<&Presence>
    where
        R: Rng,
    {
        self.any_ahead(|p| p.configuration > held, zone, now, rng)
    }

    /// Returns a gateway that is up and has a list of replicas newer than
    /// `position`, in this availability zone if there is one.
    pub fn newer_replicas<R>(
        &self,
        position: StorePosition,
        zone: &str,
        now: Instant,
        rng: &mut R,
    ) -> Option<&Presence>
    where
        R: Rng,
    {
        self.any_ahead(|p| p.replicas > position, zone, now, rng)
    }

    /// Draws one of the gateways that are ahead: if all asked the one that is
    /// furthest ahead, it would answer hundreds of them at the same moment. Those that were
    /// asked in vain come last, wherever they are.
    fn any_ahead<F, R>(&self, ahead: F, zone: &str, now: Instant, rng: &mut R) -> Option<&Presence>
    where
        F: Fn(&Presence) -> bool,
        R: Rng,
    {
        let has_failed = |p: &Presence| {
            let failed = self.failed_reads.get(&p.vm);
            failed.is_some_and(|at| now.saturating_duration_since(*at) < FAILED_READ_COUNTS)
        };
        let ahead = self.up(now).filter(|p| ahead(p));
        let ahead = ahead.map(|p| ((has_failed(p), p.zone != zone), p));
        let ahead = ahead.collect::<Vec<_>>();
        let best = ahead.iter().map(|(rank, _)| *rank).min()?;
        let of_best = ahead.into_iter().filter(|(rank, _)| *rank == best);
        of_best.map(|(_, p)| p).choose(rng)
    }
}
