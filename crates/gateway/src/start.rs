//! Starts the tasks and servers of a gateway, and runs it until a stop signal.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_net::TcpListener;
use async_net::UdpSocket;
use async_signal::Signal;
use async_signal::Signals;
use briarhall_net::Admission;
use briarhall_net::Executor;
use briarhall_net::Handler;
use briarhall_net::HttpClient;
use briarhall_net::LogTarget;
use briarhall_net::Logging;
use briarhall_net::MetricsService;
use briarhall_net::SessionLimits;
use briarhall_net::Sessions;
use briarhall_net::bind_bounded;
use briarhall_policy::capacity::Capacity;
use briarhall_policy::holdings::Pool;
use briarhall_types::ClientLimits;
use futures_lite::StreamExt;

use crate::attempt::Dispatcher;
use crate::client_request::ClientRequests;
use crate::config_watch::FollowedConfiguration;
use crate::control_plane::ControlPlane;
use crate::crash_check;
use crate::delivery_check::DeliveryCheck;
use crate::directory::Directory;
use crate::error::StartError;
use crate::evacuation_watch;
use crate::evacuation_watch::FollowedEvacuations;
use crate::follow::StoreSignals;
use crate::follow::follow;
use crate::gossip;
use crate::pause_guard::PauseGuard;
use crate::reach_check;
use crate::relay;
use crate::relay::RelayService;
use crate::relay::TheConfiguration;
use crate::relay::TheReplicas;
use crate::replica_watch;
use crate::replica_watch::FollowedReplicas;
use crate::session_limits::session_limits;
use crate::settings::Settings;
use crate::signal_clock::SignalClock;
use crate::state::Shared;
use crate::stop::stop;
use crate::store_check::StoreCheck;
use crate::store_gate::StoreGates;
use crate::wire::Wire;

/// Limits on connections of other gateways, which may wait as long as their clients.
const RELAY_LIMITS: SessionLimits = SessionLimits {
    max_header_bytes: 64 * 1024,
    header_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_mins(1),
};

/// Limits on connections to the directory, of health checks, and that read metrics.
const SIDE_LIMITS: SessionLimits = SessionLimits {
    max_header_bytes: 16 * 1024,
    header_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_mins(1),
};

/// Keeps a task running for the life of the process, with clones of its arguments.
macro_rules! keep_running {
    ($executor:ident, $task:literal, $($run:ident)::+ ($($arg:ident),+)) => {{
        let running = $executor.clone();
        $(let $arg = $arg.clone();)+
        running.keep_running($task, move || $($run)::+($($arg.clone()),+));
    }};
}

/// Runs a gateway until it receives a stop signal.
///
/// # Errors
///
/// Returns an error when it cannot start.
pub fn run<W, C, F>(settings: Settings, wire: W, control_plane: F) -> Result<(), StartError>
where
    W: Wire,
    C: ControlPlane,
    F: FnOnce(HttpClient) -> C,
{
    let _logging = Logging::start(&settings.log, LogTarget::Stdout)?;
    let executor = Executor::default();
    let client = HttpClient::new(executor.clone());
    let plane = control_plane(client.clone());
    executor
        .clone()
        .block_on(run_until_stopped(settings, wire, plane, client, executor))
}

async fn run_until_stopped<W, C>(
    settings: Settings,
    wire: W,
    plane: C,
    client: HttpClient,
    executor: Executor,
) -> Result<(), StartError>
where
    W: Wire,
    C: ControlPlane,
{
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(StartError::Signals)?;
    log::info!(event = "start", vm = settings.vm.as_str(), version = env!("CARGO_PKG_VERSION"); "gateway starting");
    let signal_time = SignalClock::start(&executor);
    let (shared, requests) = Shared::new(settings);
    let settings = &shared.settings;
    let socket = UdpSocket::bind(settings.gossip_address).await;
    let socket = socket.map_err(|e| bind_error("gossip", settings.gossip_address, e))?;
    let (pause_guard, overdue) = keep_in_sync(&shared, &plane, &executor);
    exchange_heartbeats(
        &executor,
        &shared,
        &socket,
        &requests.heartbeats,
        &pause_guard,
    );
    keep_running!(executor, "expiry", replica_watch::expire(shared));
    read_from_peers(&executor, &shared, &client, overdue);
    let failed = requests.failed;
    keep_running!(
        executor,
        "crash_check",
        crash_check::run(shared, client, executor, failed)
    );
    keep_running!(executor, "reach_check", reach_check::run(shared, client));
    let link_checks = requests.link_checks;
    keep_running!(
        executor,
        "link_check",
        reach_check::run_on_request(shared, client, link_checks)
    );
    let client_requests = ClientRequests {
        dispatcher: Dispatcher {
            wire: wire.clone(),
            client,
            executor: executor.clone(),
            shared: Arc::clone(&shared),
            pause_guard,
        },
    };
    let relay = RelayService {
        shared: Arc::clone(&shared),
        requests: client_requests.clone(),
        texts: Arc::default(),
    };
    let directory = Directory {
        wire,
        shared: Arc::clone(&shared),
    };
    let capacity = Capacity::of(settings.process_limits);
    log::info!(event = "capacity", clients = capacity.clients, requests = capacity.requests, body_bytes = capacity.body_bytes, answer_bytes = capacity.answer_bytes; "what clients may hold together");
    let metrics = shared.metrics.clone();
    let admission = Admission::new(capacity, settings.millicores, metrics.clone());
    let (end_sessions, end) = async_channel::bounded(1);
    let limits = session_limits(ClientLimits::default());
    let sessions = Sessions::new(executor.clone(), limits, end, admission);
    let side = SideListeners {
        executor: &executor,
        sessions: &sessions,
    };
    if let Some(address) = settings.readiness_address {
        let places = capacity.health_checks;
        side.serve(
            "ready",
            address,
            Pool::HealthChecks,
            places,
            directory.clone(),
        )?;
    }
    if let Some(address) = settings.directory_address {
        let places = capacity.directory;
        side.serve("directory", address, Pool::Directory, places, directory)?;
    }
    if let Some(address) = settings.metrics_address {
        let places = capacity.metrics;
        let service = MetricsService { metrics };
        side.serve("metrics", address, Pool::Metrics, places, service)?;
    }
    shared.limit_sessions(sessions.clone());
    // A stop waits for the answers to other gateways as well.
    let relay_sessions = sessions.of_other_listener(RELAY_LIMITS, Pool::Peers);
    let listener = listen("relay", settings.relay_address, capacity.peers)?;
    executor.detach(relay_sessions.serve(listener, relay));
    let listener = listen("front", settings.client_address, capacity.clients)?;
    executor.detach(sessions.clone().serve(listener, client_requests));
    stop_signal(&mut signals).await?;
    let sent_at = signal_time.earliest();
    stop(&shared, &sessions, end_sessions, sent_at).await;
    Ok(())
}

/// Exchanges heartbeats with other gateways.
fn exchange_heartbeats(
    executor: &Executor,
    shared: &Arc<Shared>,
    socket: &UdpSocket,
    requests: &Receiver<()>,
    pause_guard: &PauseGuard,
) {
    keep_running!(
        executor,
        "heartbeats_in",
        gossip::receive(shared, socket, pause_guard)
    );
    keep_running!(
        executor,
        "heartbeats_out",
        gossip::send(shared, socket, requests)
    );
    keep_running!(executor, "peers", gossip::remove_down_peers(shared));
}

/// Waits for a signal that asks the process to stop.
async fn stop_signal(signals: &mut Signals) -> Result<(), StartError> {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => {
                log::info!(event = "reload"; "ignoring SIGHUP: settings cannot change while the process runs");
            }
            Ok(_) => break,
            Err(e) => return Err(StartError::Signals(e)),
        }
    }
    Ok(())
}

/// Has the lists that gateways read from each other read from the store.
struct Overdue {
    configuration: Sender<()>,
    replicas: Sender<()>,
}

/// Starts the tasks that read lists from other gateways. One for each, so that a read of one
/// does not delay the other.
fn read_from_peers(
    executor: &Executor,
    shared: &Arc<Shared>,
    client: &HttpClient,
    overdue: Overdue,
) {
    let Overdue {
        configuration,
        replicas,
    } = overdue;
    let catch_up = relay::catch_up::<TheConfiguration>;
    keep_running!(
        executor,
        "relay_configuration",
        catch_up(shared, client, configuration)
    );
    let catch_up = relay::catch_up::<TheReplicas>;
    keep_running!(
        executor,
        "relay_replicas",
        catch_up(shared, client, replicas)
    );
}

/// Starts the tasks that read the store, and returns what notices pauses of the process.
fn keep_in_sync<C>(shared: &Arc<Shared>, plane: &C, executor: &Executor) -> (PauseGuard, Overdue)
where
    C: ControlPlane,
{
    let interval = shared.settings.min_watch_interval;
    let mut store_check = StoreCheck::new(Arc::clone(shared), plane.clone());
    let mut gates = StoreGates::new(Arc::clone(shared));
    let mut delivery_check = DeliveryCheck::new(Arc::clone(shared));
    let lists = shared.settings.lists();
    let returns = lists.iter().map(|_| store_check.returns());
    let returns = returns.collect::<Vec<_>>();
    let followers = store_check.followers();
    let pause_guard = PauseGuard::new(&lists, followers, shared.metrics.clone());
    let (configuration_overdue, overdue_rx) = async_channel::bounded(1);
    let (replicas_overdue, replicas_overdue_rx) = async_channel::bounded(1);
    // Heartbeats carry the evacuated zones themselves, so these are never overdue.
    let (_evacuations_overdue, evacuations_overdue_rx) = async_channel::bounded(1);
    let overdue = [overdue_rx, replicas_overdue_rx, evacuations_overdue_rx];
    let signals = returns.into_iter().zip(overdue).zip(&lists);
    let signals = signals.map(|((returns, overdue), list)| StoreSignals {
        returns,
        overdue,
        doubts: delivery_check.doubts(*list),
        gate: gates.gate(),
        pause_guard: pause_guard.clone(),
        shared: Arc::clone(shared),
    });
    let mut signals = signals.collect::<Vec<_>>().into_iter();
    keep_running!(executor, "pauses", PauseGuard::run(pause_guard));
    if let Some(signals) = signals.next() {
        let configuration = FollowedConfiguration {
            shared: Arc::clone(shared),
            plane: plane.clone(),
        };
        keep_running!(
            executor,
            "configuration",
            follow(configuration, interval, signals)
        );
    }
    if let Some(signals) = signals.next() {
        let replicas = FollowedReplicas {
            shared: Arc::clone(shared),
            plane: plane.clone(),
        };
        keep_running!(executor, "replicas", follow(replicas, interval, signals));
    }
    if let Some(signals) = signals.next() {
        let evacuations = FollowedEvacuations {
            shared: Arc::clone(shared),
            plane: plane.clone(),
        };
        keep_running!(
            executor,
            "evacuations",
            follow(evacuations, interval, signals)
        );
        keep_running!(
            executor,
            "evacuations_end",
            evacuation_watch::expire(shared)
        );
    }
    let gate = gates.gate();
    keep_running!(executor, "store_check", StoreCheck::run(store_check, gate));
    keep_running!(
        executor,
        "delivery_check",
        DeliveryCheck::run(delivery_check)
    );
    keep_running!(executor, "store_gates", StoreGates::run(gates));
    let overdue = Overdue {
        configuration: configuration_overdue,
        replicas: replicas_overdue,
    };
    (pause_guard, overdue)
}

/// Starts listeners for which no stop waits.
struct SideListeners<'a> {
    executor: &'a Executor,
    sessions: &'a Sessions,
}

impl SideListeners<'_> {
    fn serve<H>(
        &self,
        field: &'static str,
        address: SocketAddr,
        pool: Pool,
        places: usize,
        handler: H,
    ) -> Result<(), StartError>
    where
        H: Handler,
    {
        let listener = listen(field, address, places)?;
        let sessions = self.sessions.of_side_listener(SIDE_LIMITS, pool);
        self.executor.detach(sessions.serve(listener, handler));
        Ok(())
    }
}

fn listen(
    field: &'static str,
    address: SocketAddr,
    places: usize,
) -> Result<TcpListener, StartError> {
    bind_bounded(address, places).map_err(|e| bind_error(field, address, e))
}

fn bind_error(field: &'static str, address: SocketAddr, source: io::Error) -> StartError {
    StartError::Bind {
        field,
        address,
        source,
    }
}
