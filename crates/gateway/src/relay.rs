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
use briarhall_types::Configuration;
use briarhall_types::ReplicaEntry;
use briarhall_types::ReplicaId;
use briarhall_types::StorePosition;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;

use crate::client_request::ClientRequests;
use crate::detour;
use crate::state::Shared;
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
struct RelayedConfiguration {
    position: StorePosition,
    configuration: Arc<Configuration>,
}

/// The list of replicas as gateways send it to each other.
#[derive(Debug, Serialize, Deserialize)]
struct RelayedReplicas {
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

/// Reads newer objects from other gateways when this gateway's own watch does
/// not deliver them.
pub async fn catch_up(shared: Arc<Shared>, client: HttpClient) {
    let mut configuration = PeerReads::new(own_watch_grace(&shared));
    let mut replicas = configuration;
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let now = Instant::now();
        let waits = shared.state().store_readers.expects_changes(now);
        let (grace, series_interval) = if waits {
            (own_watch_grace(&shared), Duration::ZERO)
        } else {
            (Duration::ZERO, SERIES_INTERVAL)
        };
        configuration.set_pace(grace, series_interval);
        replicas.set_pace(grace, series_interval);
        let PeersAhead {
            configuration_from,
            replicas_from,
        } = peers_ahead(&shared, now);
        log_caught_up("configuration", &configuration, configuration_from, now);
        log_caught_up("replicas", &replicas, replicas_from, now);
        if configuration.due(configuration_from.is_some(), now)
            && let Some(at) = configuration_from
        {
            let before = shared.state().held_configuration();
            let began = Instant::now();
            let read = read_configuration(&shared, &client, at).await;
            log_read("configuration", at, began, &read);
            let is_new = shared.state().held_configuration() > before;
            configuration.record(is_new, Instant::now());
        }
        if replicas.due(replicas_from.is_some(), now)
            && let Some(at) = replicas_from
        {
            let before = shared.state().replicas.position();
            let began = Instant::now();
            let read = read_replicas(&shared, &client, at).await;
            log_read("replicas", at, began, &read);
            let is_new = shared.state().replicas.position() > before;
            replicas.record(is_new, Instant::now());
        }
    }
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

/// Relay addresses of gateways that have newer objects than this one.
struct PeersAhead {
    configuration_from: Option<SocketAddr>,
    replicas_from: Option<SocketAddr>,
}

fn peers_ahead(shared: &Shared, now: Instant) -> PeersAhead {
    let state = shared.state();
    let own = state.held_configuration();
    let zone = shared.settings.zone.as_str();
    let (peers, rng) = (&state.peers, &mut rand::rng());
    let configuration = peers.newer_configuration(own, zone, now, rng);
    let replicas = peers.newer_replicas(state.replicas.position(), zone, now, rng);
    PeersAhead {
        configuration_from: configuration.map(|p| p.relay_address),
        replicas_from: replicas.map(|p| p.relay_address),
    }
}

async fn read_configuration(
    shared: &Shared,
    client: &HttpClient,
    at: SocketAddr,
) -> Result<(), HttpError> {
    let call = Call::get(at, CONFIGURATION_PATH);
    let relayed = client
        .fetch::<RelayedConfiguration>(call, READ_TIMEOUT)
        .await?;
    let configuration = Arc::unwrap_or_clone(relayed.configuration);
    shared.apply_configuration(configuration, relayed.position, "peer");
    Ok(())
}

async fn read_replicas(
    shared: &Shared,
    client: &HttpClient,
    at: SocketAddr,
) -> Result<(), HttpError> {
    let call = Call::get(at, REPLICAS_PATH);
    let relayed = client.fetch::<RelayedReplicas>(call, READ_TIMEOUT).await?;
    shared.record_era("replicas", relayed.position, "peer");
    let mut state = shared.state();
    let events = state.replicas.apply_relayed(
        relayed.entries,
        &relayed.lapsed,
        relayed.position,
        Instant::now(),
    );
    state.registry_known = true;
    state.record_replica_events(&events, "peer");
    drop(state);
    shared.request_heartbeat();
    Ok(())
}

fn log_read(what: &str, from: SocketAddr, began: Instant, read: &Result<(), HttpError>) {
    let from = from.to_string();
    let after_ms = millis(began.elapsed());
    match read {
        Ok(()) => {
            log::info!(event = "relayed", what, from = from.as_str(), after_ms; "read from a peer")
        }
        Err(e) => {
            let error = e.to_string();
            log::info!(event = "relay_failed", what, from = from.as_str(), after_ms, error = error.as_str(); "cannot read from a peer");
        }
    }
}
