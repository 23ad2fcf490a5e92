//! Wires a router together and runs it until it is told to stop.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::process;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use async_net::TcpListener;
use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use futures_lite::future;
use serde::Serialize;

use briarhall_endpoint::EngineClient;
use briarhall_endpoint::ServiceClient;
use briarhall_mesh::serve_mesh;
use briarhall_net::Executor;
use briarhall_net::HttpClient;
use briarhall_net::Logging;
use briarhall_net::Metrics;
use briarhall_net::ServerOptions;
use briarhall_net::Threads;
use briarhall_net::TimerRuntime;
use briarhall_net::bind;
use briarhall_net::serve;
use briarhall_platform::HttpObjectApi;
use briarhall_settings::RouterSettings;

use crate::control::Control;
use crate::control::ControlHandle;
use crate::control::Msg;
use crate::control::tasks::TaskContext;
use crate::error::StartError;
use crate::identity::Identity;
use crate::mesh::MeshService;
use crate::operator::Operators;
use crate::peers::Peers;
use crate::traffic::Traffic;

/// Time for the other routers to hear that this one is about to stop.
const GOSSIP_MARGIN: Duration = Duration::from_secs(2);
const IN_FLIGHT_POLL: Duration = Duration::from_millis(50);
/// Time for the last bytes of the last answers to leave.
const LAST_BYTES: Duration = Duration::from_millis(200);

struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    mesh: TcpListener,
}

/// One line on standard output, for whoever started this router.
#[derive(Debug, Serialize)]
struct Ready<'a> {
    router: &'a str,
    callers: SocketAddr,
    operators: SocketAddr,
    mesh: SocketAddr,
}

/// Runs a router until it is told to stop.
///
/// # Errors
///
/// Returns an error when it cannot start.
pub fn run(settings: RouterSettings) -> Result<(), StartError> {
    let _logging = Logging::start(&settings.log)?;
    let metrics = Metrics::start("briarhall.router", settings.metrics_address)?;
    let timers = TimerRuntime::start()?;
    let listeners = Listeners {
        callers: open("callers", settings.callers)?,
        operators: open("operators", settings.operators)?,
        mesh: open("mesh", settings.mesh)?,
    };
    let traffic_executor = Executor::default();
    Threads::start(
        "traffic",
        settings.traffic_threads,
        &traffic_executor,
        &timers,
    )?;
    let me = identity(&settings, &listeners)?;
    let (control, rx) = ControlHandle::new();
    let control_executor = Executor::default();
    let peers = Peers::new(settings.mesh_secret, control_executor.clone());
    let client = HttpClient::new(control_executor.clone());
    let platform = HttpObjectApi::new(client.clone(), settings.platform, settings.platform_limit);
    let cx = TaskContext {
        control: control.clone(),
        platform,
        peers: peers.clone(),
        engines: EngineClient::new(client),
        executor: control_executor.clone(),
    };
    let (kicks, kicked) = async_channel::unbounded();
    let state = Control::new(
        me.clone(),
        settings.clone(),
        metrics.clone(),
        kicks,
        Instant::now(),
    );
    let control_timers = Arc::clone(&timers);
    let control_tasks = cx.clone();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            control_tasks.start(kicked);
            control_timers.block_on(&control_executor, state.run(rx));
            // Without its control state the router must not go on.
            process::abort();
        })
        .map_err(StartError::ControlThread)?;
    let draining = Arc::new(AtomicBool::new(false));
    let traffic_client = HttpClient::new(traffic_executor.clone());
    let traffic = Traffic {
        router: me.name.clone(),
        control: control.clone(),
        engines: EngineClient::new(traffic_client.clone()),
        services: ServiceClient::new(traffic_client),
        peers: peers.clone(),
        executor: traffic_executor.clone(),
        address_ttl: settings.address_ttl,
        draining: Arc::clone(&draining),
        metrics,
    };
    let (drain, drained) = async_channel::bounded(1);
    let operators = Operators {
        control: control.clone(),
        platform: cx.platform.clone(),
        keys: Arc::new(settings.operator_keys.clone()),
        drain,
    };
    let mesh = MeshService {
        control: control.clone(),
    };
    announce(&me, &listeners);
    let options = ServerOptions::default();
    let executor = &cx.executor;
    executor.detach(serve(
        listeners.operators,
        executor.clone(),
        options,
        operators,
    ));
    executor.detach(serve_mesh(
        listeners.mesh,
        settings.mesh_secret,
        executor.clone(),
        mesh,
    ));
    let callers = serve(
        listeners.callers,
        traffic_executor.clone(),
        options,
        traffic,
    );
    traffic_executor.detach(callers);
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(StartError::Signals)?;
    async_io::block_on(async {
        let signalled = async {
            signals.next().await;
        };
        let ordered = async {
            // The channel stays open as long as operators are served.
            let _closed = drained.recv().await;
        };
        future::or(signalled, ordered).await;
        stop(&control, &draining, settings.address_ttl).await;
    });
    Ok(())
}

/// Leaves the list of addresses first, serves until the last kept answer has
/// run out, and ends when the last request has.
async fn stop(control: &ControlHandle, draining: &AtomicBool, address_ttl: Duration) {
    log::info!("draining");
    control.tell(Msg::Drain).await;
    draining.store(true, Ordering::Relaxed);
    Timer::after(address_ttl + GOSSIP_MARGIN).await;
    while control.ask(Msg::InFlight).await > 0 {
        Timer::after(IN_FLIGHT_POLL).await;
    }
    Timer::after(LAST_BYTES).await;
    log::info!("stopped");
}

fn open(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    bind(address).map_err(|source| StartError::Bind {
        field,
        address,
        source,
    })
}

fn local(field: &'static str, listener: &TcpListener) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|source| StartError::Bind {
        field,
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        source,
    })
}

fn identity(settings: &RouterSettings, listeners: &Listeners) -> Result<Identity, StartError> {
    let callers = local("callers", &listeners.callers)?;
    let mesh = local("mesh", &listeners.mesh)?;
    Ok(Identity::new(
        settings.zone.clone(),
        settings.advertise_callers.unwrap_or(callers),
        settings.advertise_mesh.unwrap_or(mesh),
    ))
}

fn announce(me: &Identity, listeners: &Listeners) {
    let address = |listener: &TcpListener| {
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        listener.local_addr().unwrap_or(unknown)
    };
    let ready = Ready {
        router: &me.name,
        callers: address(&listeners.callers),
        operators: address(&listeners.operators),
        mesh: address(&listeners.mesh),
    };
    let line = serde_json::to_string(&ready).unwrap_or_default();
    let mut out = io::stdout().lock();
    // Nobody may be reading; the router works all the same.
    let _closed = writeln!(out, "{line}");
    let _unflushed = out.flush();
}
