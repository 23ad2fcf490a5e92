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
use briarhall_net::Handler;
use briarhall_net::HttpClient;
use briarhall_net::HttpError;
use briarhall_net::MAX_REPLY_BYTES;
use briarhall_net::status;
use briarhall_policy::peer_reads::LIMIT_DIVISOR;
use briarhall_policy::peer_reads::MAX_SILENCE;
use briarhall_policy::peer_reads::PeerReads;
use briarhall_policy::peers::HeldConfiguration;
use briarhall_policy::peers::Presence;
use briarhall_policy::peers::VmName;
use briarhall_types::Configuration;
use briarhall_types::ReplicaEntry;
use briarhall_types::ReplicaId;
use briarhall_types::StorePosition;
use futures_lite::future;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::ACCEPT_ENCODING;
use hyper::header::CONTENT_ENCODING;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client_request::ClientRequests;
use crate::detour;
use crate::shared_text;
use crate::shared_text::Encoded;
use crate::shared_text::SharedText;
use crate::shared_text::inflate;
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
/// Coding of HTTP in which gateways send lists to each other.
const DEFLATE: &str = "deflate";

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
    /// The lists as they are sent.
    pub texts: Arc<Texts>,
}

/// The lists in the form in which other gateways read them.
#[derive(Debug, Default)]
pub struct Texts {
    configuration: SharedText<HeldConfiguration>,
    /// Entries may lapse while the position stays, so the text itself is the key.
    replicas: SharedText<Vec<u8>>,
}

impl<W> Handler for RelayService<W>
where
    W: Wire,
{
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        if let Some(max_attempts) = detour::max_attempts(req.headers()) {
            return self.requests.handle_detour(req, max_attempts).await;
        }
        // Lists count in no pool: there is one copy for all that read them, and gateways
        // depend on them while clients' answers take up the memory.
        self.list(req.uri().path(), accepts_deflate(req.headers()))
    }
}

impl<W> RelayService<W> {
    /// Returns a list that another gateway asks for.
    fn list(&self, path: &str, deflate: bool) -> Response<Body> {
        let text = match path {
            CONFIGURATION_PATH => self.configuration(),
            REPLICAS_PATH => self.replicas(),
            _ => return status(StatusCode::NOT_FOUND),
        };
        let Some(text) = text else {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        };
        let mut reply = Response::new(Body::Full(Some(shared_text::bytes(text, deflate))));
        let headers = reply.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if deflate {
            headers.insert(CONTENT_ENCODING, HeaderValue::from_static(DEFLATE));
        }
        reply
    }

    fn configuration(&self) -> Option<Arc<Encoded>> {
        let state = self.shared.state();
        let held = state.held_configuration();
        let current = state.current_configuration.as_ref()?;
        let document = RelayedConfiguration {
            position: current.position,
            configuration: Arc::clone(&current.configuration),
        };
        drop(state);
        let encode = || serde_json::to_vec(&document).unwrap_or_default();
        self.texts.configuration.get(held, encode)
    }

    fn replicas(&self) -> Option<Arc<Encoded>> {
        let state = self.shared.state();
        if !state.registry_known {
            return None;
        }
        let document = RelayedReplicas {
            position: state.replicas.position(),
            entries: state.replicas.entries(),
            lapsed: state.replicas.lapsed(),
        };
        drop(state);
        let text = serde_json::to_vec(&document).unwrap_or_default();
        self.texts.replicas.get(text.clone(), || text)
    }
}

fn accepts_deflate(headers: &HeaderMap) -> bool {
    let accepted = headers.get(ACCEPT_ENCODING).and_then(|v| v.to_str().ok());
    accepted.is_some_and(|codings| codings.split(',').any(|coding| coding.trim() == DEFLATE))
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
        let Some(Ahead { vm, address: from }) = look::<L>(&shared, &mut reads, &overdue) else {
            continue;
        };
        let began = Instant::now();
        reads.begin(began);
        let before = L::held(&shared.state());
        let read = async { Some(read::<L>(&shared, &client, from).await) };
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
            match read {
                Ok(document) => L::apply(&shared, document),
                Err(_logged) => shared.state().peers.record_failed_read(&vm, Instant::now()),
            }
        }
        let is_new = L::held(&shared.state()) > before;
        reads.record(is_new, Instant::now());
    }
}

/// A gateway that has a list further than this one.
struct Ahead {
    vm: VmName,
    address: SocketAddr,
}

/// Returns the gateway to read a list from, if that is due now, and has the store read if
/// this one is behind for too long.
fn look<L>(shared: &Shared, reads: &mut PeerReads, overdue: &Sender<()>) -> Option<Ahead>
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
    let from = from.map(|p| Ahead {
        vm: p.vm.clone(),
        address: p.relay_address,
    });
    log_caught_up(L::NAME, reads, from.is_some(), now);
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
fn log_caught_up(what: &str, reads: &PeerReads, is_behind: bool, now: Instant) {
    let behind = reads.behind_for(now).unwrap_or_default();
    if !is_behind && behind >= LONG_BEHIND {
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

/// Reads a list from another gateway. One of an earlier build ignores which codings are
/// accepted.
async fn read<L>(
    shared: &Shared,
    client: &HttpClient,
    from: SocketAddr,
) -> Result<L::Document, HttpError>
where
    L: Relayed,
{
    let unreadable = |reason: String| HttpError::Malformed {
        address: from,
        reason,
    };
    let call = Call::get(from, L::PATH).header("accept-encoding", DEFLATE);
    let limit = shared.settings.in_force_within / LIMIT_DIVISOR;
    let (headers, body) = client.fetch_steadily(call, MAX_SILENCE, limit).await?;
    let is_deflated = headers.get(CONTENT_ENCODING).is_some_and(|c| c == DEFLATE);
    let document = if is_deflated {
        let text = inflate(&body, MAX_REPLY_BYTES).map_err(|e| unreadable(e.to_string()))?;
        serde_json::from_slice(&text)
    } else {
        serde_json::from_slice(&body)
    };
    document.map_err(|e| unreadable(e.to_string()))
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
