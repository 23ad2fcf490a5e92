//! Starts the tasks and servers of a gateway, and runs it until a stop signal.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_net::TcpListener;
use async_net::UdpSocket;
use async_signal::Signal;
use async_signal::Signals;
use briarhall_net::Executor;
use briarhall_net::Handler;
use briarhall_net::HttpClient;
use briarhall_net::LogTarget;
use briarhall_net::Logging;
use briarhall_net::MetricsService;
use briarhall_net::ServerOptions;
use briarhall_net::SessionLimits;
use briarhall_net::Sessions;
use briarhall_net::bind;
use briarhall_net::serve;
use briarhall_types::ClientLimits;
use futures_lite::StreamExt;

use crate::attempt::Dispatcher;
use crate::client_request::ClientRequests;
use crate::config_watch::FollowedConfiguration;
use crate::control_plane::ControlPlane;
use crate::crash_check;
use crate::directory::Directory;
use crate::error::StartError;
use crate::follow::follow;
use crate::gossip;
use crate::pause_guard::PauseGuard;
use crate::reach_check;
use crate::relay;
use crate::relay::RelayService;
use crate::replica_watch;
use crate::replica_watch::FollowedReplicas;
use crate::settings::Settings;
use crate::state::Shared;
use crate::stop::stop;
use crate::store_check::StoreCheck;
use crate::wire::Wire;

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
    let (shared, requests) = Shared::new(settings);
    let settings = &shared.settings;
    let socket = UdpSocket::bind(settings.gossip_address).await;
    let socket = socket.map_err(|e| bind_error("gossip", settings.gossip_address, e))?;
    let mut store_check = StoreCheck::new(Arc::clone(&shared), plane.clone());
    let configuration = FollowedConfiguration {
        shared: Arc::clone(&shared),
        plane: plane.clone(),
    };
    let interval = settings.min_watch_interval;
    let configuration_returns = store_check.returns();
    let replica_returns = store_check.returns();
    let pause_guard = PauseGuard::new(store_check.followers(), shared.metrics.clone());
    executor.detach(pause_guard.clone().run());
    executor.detach(gossip::receive(
        Arc::clone(&shared),
        socket.clone(),
        pause_guard.clone(),
    ));
    executor.detach(gossip::send(
        Arc::clone(&shared),
        socket,
        requests.heartbeats,
    ));
    executor.detach(gossip::remove_down_peers(Arc::clone(&shared)));
    executor.detach(follow(
        configuration,
        interval,
        configuration_returns,
        pause_guard.clone(),
    ));
    let replicas = FollowedReplicas {
        shared: Arc::clone(&shared),
        plane,
    };
    executor.detach(follow(
        replicas,
        interval,
        replica_returns,
        pause_guard.clone(),
    ));
    executor.detach(store_check.run());
    executor.detach(replica_watch::expire(Arc::clone(&shared)));
    executor.detach(relay::catch_up(Arc::clone(&shared), client.clone()));
    executor.detach(crash_check::run(
        Arc::clone(&shared),
        client.clone(),
        executor.clone(),
        requests.failed,
    ));
    executor.detach(reach_check::run(Arc::clone(&shared), client.clone()));
    executor.detach(reach_check::run_on_request(
        Arc::clone(&shared),
        client.clone(),
        requests.link_checks,
    ));
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
    };
    serve_on(&executor, "relay", settings.relay_address, relay)?;
    let directory = Directory {
        wire,
        shared: Arc::clone(&shared),
    };
    if let Some(address) = settings.readiness_address {
        serve_on(&executor, "ready", address, directory.clone())?;
    }
    if let Some(address) = settings.directory_address {
        serve_on(&executor, "directory", address, directory)?;
    }
    if let Some(address) = settings.metrics_address {
        let metrics = shared.metrics.clone();
        serve_on(&executor, "metrics", address, MetricsService { metrics })?;
    }
    let (end_sessions, end) = async_channel::bounded(1);
    let sessions = Sessions::new(
        executor.clone(),
        session_limits(ClientLimits::default()),
        end,
    );
    shared.limit_sessions(sessions.clone());
    let listener = listen("front", settings.client_address)?;
    executor.detach(sessions.clone().serve(listener, client_requests));
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => {
                log::info!(event = "reload"; "ignoring SIGHUP: settings cannot change while the process runs");
            }
            Ok(_) => break,
            Err(e) => return Err(StartError::Signals(e)),
        }
    }
    stop(&shared, &sessions, end_sessions).await;
    Ok(())
}

/// Returns the limits that a configuration sets on client connections.
pub fn session_limits(limits: ClientLimits) -> SessionLimits {
    SessionLimits {
        max_header_bytes: limits.max_header_bytes,
        header_timeout: limits.header_timeout,
        idle_timeout: limits.idle_timeout,
    }
}

fn serve_on<H>(
    executor: &Executor,
    field: &'static str,
    address: SocketAddr,
    handler: H,
) -> Result<(), StartError>
where
    H: Handler,
{
    let listener = listen(field, address)?;
    let options = ServerOptions::default();
    executor.detach(serve(listener, executor.clone(), options, handler));
    Ok(())
}

fn listen(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    bind(address).map_err(|e| bind_error(field, address, e))
}

fn bind_error(field: &'static str, address: SocketAddr, source: io::Error) -> StartError {
    StartError::Bind {
        field,
        address,
        source,
    }
}
