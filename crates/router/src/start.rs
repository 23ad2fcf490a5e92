//! Starts the parts of a router, runs it, and drains it when it is told to stop.

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

use async_channel::Receiver;
use async_io::Timer;
use async_net::TcpListener;
use async_signal::Signal;
use async_signal::Signals;
use briarhall_endpoint::EngineClient;
use briarhall_endpoint::ServiceClient;
use briarhall_mesh::serve_mesh;
use briarhall_net::Admission;
use briarhall_net::Executor;
use briarhall_net::HttpClient;
use briarhall_net::LogTarget;
use briarhall_net::Logging;
use briarhall_net::Metrics;
use briarhall_net::SessionLimits;
use briarhall_net::Sessions;
use briarhall_net::Threads;
use briarhall_net::TimerRuntime;
use briarhall_net::bind_bounded;
use briarhall_objects::HttpObjectApi;
use briarhall_policy::capacity::Capacity;
use briarhall_policy::holdings::Pool;
use briarhall_settings::RouterSettings;
use futures_lite::StreamExt;
use futures_lite::future;
use serde::Serialize;

use crate::control::Control;
use crate::control::ControlHandle;
use crate::control::Msg;
use crate::control::Wakeup;
use crate::control::tasks::TaskContext;
use crate::error::StartError;
use crate::identity::Identity;
use crate::mesh::MeshService;
use crate::operator::OperatorApi;
use crate::peers::Peers;
use crate::traffic::Traffic;

/// Time for the other routers to learn that this one is draining.
const GOSSIP_MARGIN: Duration = Duration::from_secs(2);
const IN_FLIGHT_POLL: Duration = Duration::from_millis(50);
/// Time for the last answers to be written to their connections.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Limits on connections of callers and operators.
const SESSION_LIMITS: SessionLimits = SessionLimits {
    max_header_bytes: 64 * 1024,
    header_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_mins(1),
};
/// Processor time of each traffic thread, in thousandths of a core.
const THREAD_MILLICORES: u32 = 1_000;

struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    mesh: TcpListener,
}

impl Listeners {
    fn open(settings: &RouterSettings) -> Result<Self, StartError> {
        let places = Capacity::of(settings.process_limits);
        Ok(Self {
            callers: open("callers", settings.callers, places.clients)?,
            operators: open("operators", settings.operators, places.directory)?,
            mesh: open("mesh", settings.mesh, places.peers)?,
        })
    }
}

/// Addresses of this router, printed to standard output as one line of JSON when
/// it is ready.
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
pub fn run(settings: &RouterSettings) -> Result<(), StartError> {
    let _logging = Logging::start(&settings.log, LogTarget::Stderr)?;
    let metrics = Metrics::start("briarhall.router", settings.metrics_address)?;
    let timers = TimerRuntime::start()?;
    let listeners = Listeners::open(settings)?;
    let me = identity(settings, &listeners)?;
    let (control, messages) = ControlHandle::new();
    let cx = task_context(settings, control);
    let state = control_state(&me, settings, &metrics);
    start_control(&cx, state, messages, &timers)?;
    let executor = Executor::default();
    Threads::start("traffic", settings.traffic_threads, &executor, &timers)?;
    let traffic = traffic(&me, settings, &cx, executor, metrics);
    let draining = Arc::clone(&traffic.draining);
    print_addresses(&me, &listeners);
    let drain_rx = serve_all(listeners, settings, &cx, traffic);
    let signals = Signals::new([Signal::Term, Signal::Int]).map_err(StartError::Signals)?;
    async_io::block_on(async {
        wait_for_stop(signals, drain_rx).await;
        stop(&cx.control, &draining, settings.address_ttl).await;
    });
    Ok(())
}

fn task_context(settings: &RouterSettings, control: ControlHandle) -> TaskContext<HttpObjectApi> {
    let executor = Executor::default();
    let client = HttpClient::new(executor.clone());
    TaskContext {
        control,
        platform: HttpObjectApi::new(client.clone(), settings.platform, settings.platform_limit),
        peers: Peers::new(settings.mesh_secret, executor.clone()),
        engines: EngineClient::new(client),
        executor,
    }
}

struct ControlState {
    control: Control,
    wakeups: Receiver<Wakeup>,
}

fn control_state(me: &Identity, settings: &RouterSettings, metrics: &Metrics) -> ControlState {
    let (tx, wakeups) = async_channel::unbounded();
    let now = Instant::now();
    let control = Control::new(me.clone(), settings.clone(), metrics.clone(), tx, now);
    ControlState { control, wakeups }
}

fn start_control(
    cx: &TaskContext<HttpObjectApi>,
    state: ControlState,
    messages: Receiver<Msg>,
    timers: &Arc<TimerRuntime>,
) -> Result<(), StartError> {
    let cx = cx.clone();
    let timers = Arc::clone(timers);
    let run = move || {
        cx.start(state.wakeups);
        timers.block_on(&cx.executor, state.control.run(messages));
        // A router without its control state must not continue.
        process::abort();
    };
    let thread = thread::Builder::new().name("control".to_owned()).spawn(run);
    thread.map_err(StartError::ControlThread)?;
    Ok(())
}

fn traffic(
    me: &Identity,
    settings: &RouterSettings,
    cx: &TaskContext<HttpObjectApi>,
    executor: Executor,
    metrics: Metrics,
) -> Traffic {
    let client = HttpClient::new(executor.clone());
    Traffic {
        router: me.name.clone(),
        control: cx.control.clone(),
        engines: EngineClient::new(client.clone()),
        services: ServiceClient::new(client),
        peers: cx.peers.clone(),
        executor,
        address_ttl: settings.address_ttl,
        draining: Arc::new(AtomicBool::new(false)),
        metrics,
    }
}

/// Serves callers on the traffic threads, and operators and other routers on
/// the control thread. Returns the receiver of an operator's request to stop.
fn serve_all(
    listeners: Listeners,
    settings: &RouterSettings,
    cx: &TaskContext<HttpObjectApi>,
    traffic: Traffic,
) -> Receiver<()> {
    let (drain, drain_rx) = async_channel::bounded(1);
    let operators = OperatorApi {
        control: cx.control.clone(),
        platform: cx.platform.clone(),
        keys: Arc::new(settings.operator_keys.clone()),
        drain,
    };
    let mesh = MeshService {
        control: cx.control.clone(),
    };
    let admission = Admission::new(
        Capacity::of(settings.process_limits),
        THREAD_MILLICORES,
        traffic.metrics.clone(),
    );
    let sessions = |executor: &Executor, pool| {
        Sessions::of_process(executor.clone(), SESSION_LIMITS, admission.clone(), pool)
    };
    let executor = &cx.executor;
    let serving = sessions(executor, Pool::Directory).serve(listeners.operators, operators);
    executor.detach(serving);
    executor.detach(serve_mesh(
        listeners.mesh,
        settings.mesh_secret,
        executor.clone(),
        admission.clone(),
        mesh,
    ));
    let executor = traffic.executor.clone();
    executor.detach(sessions(&executor, Pool::Clients).serve(listeners.callers, traffic));
    drain_rx
}

async fn wait_for_stop(mut signals: Signals, drain_rx: Receiver<()>) {
    let signalled = async {
        signals.next().await;
    };
    let drain_requested = async {
        // The channel stays open as long as operators are served.
        let _closed = drain_rx.recv().await;
    };
    future::or(signalled, drain_requested).await;
}

/// Leaves the address list, serves until address lists cached by callers have
/// expired, and returns when the last request has ended and no more are admitted.
async fn stop(control: &ControlHandle, draining: &AtomicBool, address_ttl: Duration) {
    log::info!("draining");
    control.send(Msg::Drain).await;
    draining.store(true, Ordering::Relaxed);
    Timer::after(address_ttl + GOSSIP_MARGIN).await;
    while !control.ask(Msg::CloseIfIdle).await {
        Timer::after(IN_FLIGHT_POLL).await;
    }
    Timer::after(FLUSH_DELAY).await;
    log::info!("stopped");
}

fn open(
    field: &'static str,
    address: SocketAddr,
    places: usize,
) -> Result<TcpListener, StartError> {
    bind_bounded(address, places).map_err(|source| StartError::Bind {
        field,
        address,
        source,
    })
}

fn local_address(field: &'static str, listener: &TcpListener) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|source| StartError::Bind {
        field,
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        source,
    })
}

fn identity(settings: &RouterSettings, listeners: &Listeners) -> Result<Identity, StartError> {
    let callers = local_address("callers", &listeners.callers)?;
    let mesh = local_address("mesh", &listeners.mesh)?;
    Ok(Identity::new(
        settings.zone.clone(),
        settings.advertise_callers.unwrap_or(callers),
        settings.advertise_mesh.unwrap_or(mesh),
    ))
}

fn print_addresses(me: &Identity, listeners: &Listeners) {
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
    // Standard output may be closed; the router works without it.
    let _closed = writeln!(out, "{line}");
    let _unflushed = out.flush();
}
