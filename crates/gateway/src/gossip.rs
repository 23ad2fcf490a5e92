//! Heartbeats between gateways, as datagrams.
//!
//! Each carries the sender's identity, the revisions that it has read, and its
//! complete list of work in flight, so that a lost one is replaced by the next.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use async_net::UdpSocket;
use briarhall_policy::advertised::advertised;
use briarhall_policy::advertised::advertised_in_hard_load;
use briarhall_policy::departures::HeardBy;
use briarhall_policy::peers::DOWN_AFTER;
use briarhall_policy::peers::HEARTBEAT_INTERVAL;
use briarhall_policy::peers::HeldConfiguration;
use briarhall_policy::peers::PeerUpdate;
use briarhall_policy::peers::Presence;
use briarhall_policy::peers::regular_interval;
use briarhall_policy::replica_limits::REPEAT_INTERVAL;
use briarhall_policy::resumption::List;
use briarhall_types::StorePosition;
use futures_lite::future;

use crate::evacuation_watch;
use crate::heartbeat::Heartbeat;
use crate::pause_guard::PauseGuard;
use crate::state::Shared;
use crate::state::State;

/// Shortest time between two heartbeats; changes within it share one.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(8);
/// Time that each recipient of changes adds to the shortest time between two
/// heartbeats: with it, at most 700 a second are sent for changes.
const SEND_INTERVAL_PER_RECIPIENT: Duration = Duration::from_micros(1_400);
/// Largest datagram that is sent; what does not fit is left out.
const MAX_DATAGRAM_BYTES: usize = 32 * 1024;
/// Most addresses of other gateways in one heartbeat.
const MAX_KNOWN_ADDRESSES: usize = 8;

/// Heartbeats of one round.
#[derive(Debug)]
struct Round {
    /// For the gateways that place requests, which need each change at once.
    to_placing: Datagram,
    /// For all others, when their interval has passed or the state of this
    /// gateway has changed.
    to_others: Option<Datagram>,
}

#[derive(Debug)]
struct Datagram {
    bytes: Vec<u8>,
    recipients: Vec<SocketAddr>,
}

/// State of this gateway that every other one needs to know at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is true or false independently of the others"
)]
struct Announced {
    ready: bool,
    stopping: bool,
    places_requests: bool,
    cut_off: bool,
    /// Evacuations that began or ended: also gateways that place no requests now may
    /// get one at any moment.
    evacuation_changes: u64,
    /// Reads of the store's last position, which spare the others theirs.
    confirmations: u64,
}

/// Decides which gateways a round of heartbeats goes to.
#[derive(Debug, Default)]
struct Schedule {
    announced: Option<Announced>,
    /// When the gateways that place no requests were last sent a heartbeat.
    all_sent_at: Option<Instant>,
    /// Whether the last heartbeat left something out.
    is_cut: bool,
}

/// Sends heartbeats at a regular interval and after every change.
pub async fn send(shared: Arc<Shared>, socket: UdpSocket, requests: Receiver<()>) {
    let mut schedule = Schedule::default();
    loop {
        let round = schedule.compose(&shared, Instant::now());
        shared.metrics.count("heartbeat_sent");
        let recipients = round.to_placing.recipients.len();
        for datagram in [Some(round.to_placing), round.to_others]
            .into_iter()
            .flatten()
        {
            send_to_all(&socket, &datagram).await;
        }
        Timer::after(send_interval(recipients)).await;
        let change = async {
            // The channel stays open as long as the state lives.
            let _requested = requests.recv().await;
        };
        let interval = if shared.state().repeats_sends(Instant::now()) {
            REPEAT_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        };
        let regular = async {
            Timer::after(interval).await;
        };
        future::or(change, regular).await;
    }
}

/// Returns the shortest time between two heartbeats to this many gateways.
pub fn send_interval(recipients: usize) -> Duration {
    let recipients = u32::try_from(recipients).unwrap_or(u32::MAX);
    let interval = SEND_INTERVAL_PER_RECIPIENT.saturating_mul(recipients);
    interval.clamp(MIN_SEND_INTERVAL, HEARTBEAT_INTERVAL)
}

async fn send_to_all(socket: &UdpSocket, datagram: &Datagram) {
    for address in &datagram.recipients {
        if let Err(e) = socket.send_to(&datagram.bytes, address).await {
            log::debug!(to = address.to_string().as_str(), error = e.to_string().as_str(); "cannot send a heartbeat");
        }
    }
}

impl Schedule {
    fn compose(&mut self, shared: &Shared, now: Instant) -> Round {
        let mut state = shared.state();
        state.peers.remove_expired(now);
        state.crashes.remove_expired(now);
        state.crashing_parts.remove_expired(now);
        state.replica_limits.remove_expired(now);
        state.shortage.known().shares.remove_expired(now);
        let presence = shared.next_presence(&mut state, now);
        update_advertised(&mut state, &presence, now);
        state.update_cold_replicas(&presence, &shared.metrics, now);
        let interval = regular_interval(state.peers.count());
        let announced = Announced {
            ready: presence.ready,
            stopping: presence.stopping,
            places_requests: presence.places_requests,
            cut_off: presence.cut_off,
            evacuation_changes: state.evacuations.changes(),
            confirmations: state.deliveries.confirmations(),
        };
        let due = self
            .all_sent_at
            .is_none_or(|at| now.saturating_duration_since(at) >= interval);
        let all = due || self.announced != Some(announced);
        let placing = state.peers.up(now).filter(|p| p.places_requests);
        let placing = placing.map(|p| p.gossip_address);
        let placing = placing.collect::<BTreeSet<_>>();
        let others = if all {
            let known = state.peers.addresses();
            known.chain(shared.settings.seeds.iter().copied()).collect()
        } else {
            BTreeSet::new()
        };
        let known = state
            .peers
            .sample_addresses(MAX_KNOWN_ADDRESSES, now, &mut rand::rng());
        let mut heartbeat = Heartbeat {
            presence,
            interval_ms: millis(HEARTBEAT_INTERVAL),
            in_flight: state.load_tracker.own(now),
            queued_prompts: state.prompt_queue.own(now),
            observations: state.crashes.own(now),
            crashing_parts: state.crashing_parts.own(now),
            failed: if state.reach.is_doubtful(now) {
                Vec::new()
            } else {
                state.health.own(state.replicas.usable().count(), now)
            },
            leaving: state.replicas.own_leaving(),
            limits: state.replica_limits.own_observations(now),
            limited_sends: state.replica_limits.own_sends(now),
            evacuations: state.evacuations.report(now),
            known,
            cold: state.cold_replicas.own_report(now),
            shortage: state.shortage.known().shares.report(now),
            delivery: state.deliveries.report(now),
        };
        drop(state);
        let bytes = self.encode(shared, &mut heartbeat);
        let others = others.difference(&placing).copied();
        let others = others
            .filter(|address| *address != shared.settings.gossip_address)
            .collect::<Vec<_>>();
        let to_others = (!others.is_empty()).then(|| Datagram {
            bytes: Heartbeat {
                interval_ms: millis(interval),
                ..heartbeat
            }
            .encode(),
            recipients: others,
        });
        if all {
            self.announced = Some(announced);
            self.all_sent_at = Some(now);
        }
        Round {
            to_placing: Datagram {
                bytes,
                recipients: placing.into_iter().collect(),
            },
            to_others,
        }
    }

    /// Encodes the heartbeat without what does not fit, and logs when that begins and
    /// ends.
    fn encode(&mut self, shared: &Shared, heartbeat: &mut Heartbeat) -> Vec<u8> {
        let (works, waiters) = (heartbeat.in_flight.len(), heartbeat.queued_prompts.len());
        let (bytes, left_out) = heartbeat.encode_within(MAX_DATAGRAM_BYTES);
        let is_cut = left_out > 0;
        if is_cut {
            shared.metrics.count("heartbeat_cut");
        }
        if is_cut != self.is_cut {
            self.is_cut = is_cut;
            log::warn!(event = "heartbeat_cut", works, waiters, left_out; "the lists of a heartbeat have begun or ceased to be too long for a datagram");
        }
        bytes
    }
}

/// Updates whether the directory names this gateway to clients.
fn update_advertised(state: &mut State, own: &Presence, now: Instant) {
    let own_if_serving = (own.ready && !own.stopping).then_some(own);
    let serving = state.peers.serving(now).chain(own_if_serving);
    let advertised = if state.expects_hard_load() {
        advertised_in_hard_load(serving)
    } else {
        advertised(serving)
    };
    let is_advertised = advertised.iter().any(|p| p.vm == own.vm);
    if state.advertised != is_advertised {
        let requests_per_s = advertised.iter().map(|p| p.requests_per_s).sum::<u32>();
        log::info!(
            event = "advertised",
            advertised = is_advertised,
            gateways = advertised.len(),
            requests_per_s;
            "the directory has begun or ceased to name this gateway"
        );
    }
    state.advertised = is_advertised;
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Receives heartbeats and applies them.
pub async fn receive(shared: Arc<Shared>, socket: UdpSocket, pause_guard: PauseGuard) {
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
        // What waited in a pause is no longer so, though it says how old it is.
        if pause_guard.may_be_backlog() {
            continue;
        }
        match Heartbeat::decode(&buf[..len]) {
            Ok(heartbeat) => apply(&shared, heartbeat),
            Err(e) => {
                log::debug!(error = e.to_string().as_str(), len; "ignoring a datagram that is not a valid heartbeat");
            }
        }
    }
}

/// How far a gateway has each list.
#[derive(Debug, Clone, Copy)]
struct Held {
    configuration: HeldConfiguration,
    replicas: StorePosition,
    /// Absent where the gateway does not follow or know them.
    evacuations: Option<StorePosition>,
}

impl Held {
    fn of(state: &State) -> Self {
        let evacuations = &state.evacuations;
        Self {
            configuration: state.held_configuration(),
            replicas: state.replicas.position(),
            evacuations: evacuations.is_known().then(|| evacuations.position()),
        }
    }

    /// Returns whether this gateway has all of a list that another one has.
    fn has_all(self, other: Self, list: List) -> bool {
        match list {
            List::Configuration => self.configuration >= other.configuration,
            List::Replicas => self.replicas >= other.replicas,
            List::Evacuations => {
                other.evacuations.is_some() && self.evacuations >= other.evacuations
            }
        }
    }
}

fn apply(shared: &Shared, heartbeat: Heartbeat) {
    let now = Instant::now();
    let Heartbeat {
        presence,
        interval_ms,
        in_flight,
        queued_prompts,
        observations,
        crashing_parts,
        failed,
        leaving,
        limits,
        limited_sends,
        evacuations,
        known,
        cold,
        shortage,
        delivery,
    } = heartbeat;
    if presence.vm == shared.settings.vm && presence.incarnation == shared.incarnation {
        return;
    }
    let mut state = shared.state();
    let vm = presence.vm.clone();
    let incarnation = presence.incarnation;
    let (ready, stopping) = (presence.ready, presence.stopping);
    let theirs = Held {
        configuration: presence.configuration,
        replicas: presence.replicas,
        evacuations: evacuations.as_ref().map(|report| report.position),
    };
    let is_newly_cut_off = presence.cut_off && !state.peers.is_cut_off(&vm);
    let new = known
        .into_iter()
        .filter(|a| *a != shared.settings.gossip_address);
    let new = new.collect::<Vec<_>>();
    state.peers.add_addresses(&new, now);
    let update = state
        .peers
        .update(presence, Duration::from_millis(interval_ms.into()), now);
    if update == PeerUpdate::Stale {
        return;
    }
    if is_newly_cut_off {
        shared.request_link_check();
    }
    state.load_tracker.set_peer_work(vm.clone(), in_flight, now);
    state
        .prompt_queue
        .set_peer_prompts(vm.clone(), queued_prompts, now);
    state
        .crashes
        .set_peer_observations(incarnation, &observations, now);
    state
        .crashing_parts
        .set_peer_observations(incarnation, &crashing_parts, now);
    state.health.apply_report(&failed, now);
    state.replica_limits.apply_observations(&limits, now);
    state
        .replica_limits
        .set_peer_sends(incarnation, &limited_sends, now);
    state.cold_replicas.apply_report(incarnation, &cold, now);
    if let Some(report) = shortage {
        let mut known = state.shortage.known();
        known.shares.apply_report(incarnation, report, now);
    }
    let events = leaving
        .iter()
        .filter_map(|replica| state.replicas.record_leaving(replica, HeardBy::Peer));
    let events = events.collect::<Vec<_>>();
    state.record_replica_events(&events, "peer");
    let evacuated = evacuations.map(|report| state.evacuations.apply_report(&report, now));
    if let Some(report) = delivery {
        let own = Held::of(&state);
        let has_all = |list| own.has_all(theirs, list);
        state.deliveries.apply_report(&report, has_all, now);
    }
    drop(state);
    evacuation_watch::record(shared, &evacuated.unwrap_or_default(), "peer");
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
