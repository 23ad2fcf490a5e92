//! Reads from another gateway what the store does not deliver to this one.
//!
//! The store may refuse one VM and serve the others, and a watch may have gone
//! silent. Heartbeats carry the positions that other gateways have; a gateway
//! that stays behind for longer than its own watch may take asks one that is
//! ahead. One that does not read the store asks at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use async_io::Timer;
use briarhall_net::Body;
use briarhall_net::Call;
use briarhall_net::Client;
use briarhall_net::Handler;
use briarhall_net::HttpClient;
use briarhall_net::HttpError;
use briarhall_net::counted;
use briarhall_net::json;
use briarhall_net::status;
use briarhall_policy::peer_reads::PeerReads;
use briarhall_policy::peers::HeldConfiguration;
use briarhall_policy::peers::Presence;
use briarhall_types::Configuration;
use briarhall_types::ReplicaEntry;
use briarhall_types::ReplicaId;
use briarhall_types::StorePosition;
use futures_lite::future;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client_request::ClientRequests;
use crate::detour;
use crate::state::Shared;
use crate::state::State;
use crate::wire::Wire;

const CONFIGURATION_PATH: &str = "/configuration";
const REPLICAS_PATH: &str = "/replicas";
/// Time between two checks of the revisions that other gateways have.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for this gateway's own watch to deliver what another gateway already
/// has, beyond the pause between two reads of a series of changes.
const OWN_WATCH_GRACE: Duration = Duration::from_millis(200);
/// Shortest time between two reads of a series of changes by a gateway that does not wait
/// for its own watch. Those that it reads from have each change at another moment, and
/// without a pause it would read the whole list from each of them.
const SERIES_INTERVAL: Duration = Duration::from_millis(300);
/// Time behind other gateways that is logged.
const LONG_BEHIND: Duration = Duration::from_millis(500);
/// Time limit for one read from another gateway.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// The configuration as gateways send it to each other.
#[derive(Debug, Serialize, Deserialize)]
pub struct RelayedConfiguration {
    position: StorePosition,
    configuration: Arc<Configuration>,
}

/// The list of replicas as gateways send it to each other.
#[derive(Debug, Serialize, Deserialize)]
pub struct RelayedReplicas {
    position: StorePosition,
    entries: Vec<ReplicaEntry>,
    lapsed: Vec<ReplicaId>,
}

/// Serves the configuration and the list of replicas to other gateways, and sends on the
/// requests of those that reach no replica.
#[derive(Debug, Clone)]
pub struct RelayService<W> {
    /// Control state.
    pub shared: Arc<Shared>,
    /// Answers the requests.
    pub requests: ClientRequests<W>,
}

impl<W> Handler for RelayService<W>
where
    W: Wire,
{
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        if let Some(max_attempts) = detour::max_attempts(req.headers()) {
            return self.requests.handle_detour(req, max_attempts).await;
        }
        let reply = self.list(req.uri().path());
        // Sessions add their client to each request.
        let Some(client) = req.extensions().get::<Arc<Client>>() else {
            return reply;
        };
        let counted = counted(reply, client).await;
        counted.unwrap_or_else(|_no_room| status(StatusCode::SERVICE_UNAVAILABLE))
    }
}

impl<W> RelayService<W> {
    /// Returns a list that another gateway asks for.
    fn list(&self, path: &str) -> Response<Body> {
        let state = self.shared.state();
        match path {
            CONFIGURATION_PATH => match &state.current_configuration {
                Some(current) => json(
                    StatusCode::OK,
                    &RelayedConfiguration {
                        position: current.position,
                        configuration: Arc::clone(&current.configuration),
                    },
                ),
                None => status(StatusCode::SERVICE_UNAVAILABLE),
            },
            REPLICAS_PATH if state.registry_known => json(
                StatusCode::OK,
                &RelayedReplicas {
                    position: state.replicas.position(),
                    entries: state.replicas.entries(),
                    lapsed: state.replicas.lapsed(),
                },
            ),
            REPLICAS_PATH => status(StatusCode::SERVICE_UNAVAILABLE),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

/// A list that gateways read from each other.
pub trait Relayed: Send + Sync + 'static {
    /// Its name in logs.
    const NAME: &'static str;
    /// The path that gateways serve it at.
    const PATH: &'static str;
    /// How far a gateway has it.
    type Position: PartialOrd + Send;
    /// The document that gateways send.
    type Document: DeserializeOwned + Send;

    /// Returns how far this gateway has it.
    fn held(state: &State) -> Self::Position;

    /// Returns a gateway that has it further than this one, if there is one.
    fn ahead<'a, R>(
        state: &'a State,
        zone: &str,
        now: Instant,
        rng: &mut R,
    ) -> Option<&'a Presence>
    where
        R: Rng;

    /// Takes over what another gateway has sent.
    fn apply(shared: &Shared, document: Self::Document);
}

/// The configuration.
#[derive(Debug)]
pub struct TheConfiguration;

impl Relayed for TheConfiguration {
    const NAME: &'static str = "configuration";
    const PATH: &'static str = CONFIGURATION_PATH;
    type Position = HeldConfiguration;
    type Document = RelayedConfiguration;

    fn held(state: &State) -> HeldConfiguration {
        state.held_configuration()
    }

    fn ahead<'a, R>(state: &'a State, zone: &str, now: Instant, rng: &mut R) -> Option<&'a Presence>
    where
        R: Rng,
    {
        let held = state.held_configuration();
        state.peers.newer_configuration(held, zone, now, rng)
    }

    fn apply(shared: &Shared, document: RelayedConfiguration) {
        let configuration = Arc::unwrap_or_clone(document.configuration);
        shared.apply_configuration(configuration, document.position, "peer");
    }
}

/// The list of replicas.
#[derive(Debug)]
pub struct TheReplicas;

impl Relayed for TheReplicas {
    const NAME: &'static str = "replicas";
    const PATH: &'static str = REPLICAS_PATH;
    type Position = StorePosition;
    type Document = RelayedReplicas;

    fn held(state: &State) -> StorePosition {
        state.replicas.position()
    }

    fn ahead<'a, R>(state: &'a State, zone: &str, now: Instant, rng: &mut R) -> Option<&'a Presence>
    where
        R: Rng,
    {
        let held = state.replicas.position();
        state.peers.newer_replicas(held, zone, now, rng)
    }

    fn apply(shared: &Shared, document: RelayedReplicas) {
        shared.record_era(Self::NAME, document.position, "peer");
        let mut state = shared.state();
        let events = state.replicas.apply_relayed(
            document.entries,
            &document.lapsed,
            document.position,
            Instant::now(),
        );
        state.registry_known = true;
        state.record_replica_events(&events, "peer");
        drop(state);
        shared.request_heartbeat();
    }
}

/// Reads a list from other gateways when this gateway's own watch does not deliver it, and
/// has it read from the store when they do not either.
pub async fn catch_up<L>(shared: Arc<Shared>, client: HttpClient, overdue: Sender<()>)
where
    L: Relayed,
{
    let mut reads = PeerReads::new(own_watch_grace(&shared));
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let Some(from) = look::<L>(&shared, &mut reads, &overdue) else {
            continue;
        };
        let began = Instant::now();
        reads.begin(began);
        let before = L::held(&shared.state());
        let read = async { Some(read::<L>(&client, from).await) };
        // A read that takes long must not keep this gateway from the store.
        let no_longer_behind = async {
            while reads.behind_for(Instant::now()).is_some() {
                Timer::after(CHECK_INTERVAL).await;
                let _other = look::<L>(&shared, &mut reads, &overdue);
            }
            None
        };
        if let Some(read) = future::or(read, no_longer_behind).await {
            log_read(L::NAME, from, began, &read);
            if let Ok(document) = read {
                L::apply(&shared, document);
            }
        }
        let is_new = L::held(&shared.state()) > before;
        reads.record(is_new, Instant::now());
    }
}

/// Returns the relay address of the gateway to read a list from, if that is due now, and has
/// the store read if this one is behind for too long.
fn look<L>(shared: &Shared, reads: &mut PeerReads, overdue: &Sender<()>) -> Option<SocketAddr>
where
    L: Relayed,
{
    let now = Instant::now();
    let mut state = shared.state();
    let (grace, series_interval) = if state.store_readers.expects_changes(now) {
        (own_watch_grace(shared), Duration::ZERO)
    } else {
        (Duration::ZERO, SERIES_INTERVAL)
    };
    reads.set_pace(grace, series_interval);
    let zone = shared.settings.zone.as_str();
    let from = L::ahead(&state, zone, now, &mut rand::rng());
    let from = from.map(|p| p.relay_address);
    log_caught_up(L::NAME, reads, from, now);
    let is_due = reads.due(from.is_some(), now);
    if reads.store_due(shared.settings.in_force_within, now) {
        state.store_readers.record_behind(now);
        drop(state);
        let behind_ms = millis(reads.behind_for(now).unwrap_or_default());
        shared.metrics.count("list_overdue");
        log::warn!(event = "list_overdue", what = L::NAME, behind_ms; "other gateways do not pass on what they have; reading the store");
        // A full channel means that the store is about to be read.
        let _already_told = overdue.try_send(());
    }
    from.filter(|_| is_due)
}

/// Logs that this gateway is no longer behind the others, if it was so for long.
fn log_caught_up(what: &str, reads: &PeerReads, from: Option<SocketAddr>, now: Instant) {
    let behind = reads.behind_for(now).unwrap_or_default();
    if from.is_none() && behind >= LONG_BEHIND {
        let behind_ms = millis(behind);
        log::info!(event = "caught_up", what, behind_ms; "this gateway was behind others for long");
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time that this gateway's own watch has to deliver a change.
fn own_watch_grace(shared: &Shared) -> Duration {
    shared.settings.min_watch_interval + OWN_WATCH_GRACE
}

async fn read<L>(client: &HttpClient, from: SocketAddr) -> Result<L::Document, HttpError>
where
    L: Relayed,
{
    let call = Call::get(from, L::PATH);
    client.fetch::<L::Document>(call, READ_TIMEOUT).await
}

fn log_read<T>(what: &str, from: SocketAddr, began: Instant, read: &Result<T, HttpError>) {
    let from = from.to_string();
    let after_ms = millis(began.elapsed());
    match read {
        Ok(_read) => {
            log::info!(event = "relayed", what, from = from.as_str(), after_ms; "read from a peer");
        }
        Err(e) => {
            let error = e.to_string();
            log::info!(event = "relay_failed", what, from = from.as_str(), after_ms, error = error.as_str(); "cannot read from a peer");
        }
    }
}
