//! Connections that clients keep open for many requests.
//!
//! hyper's header timeout does not distinguish an idle connection from one whose
//! request head arrives slowly, but clients are promised a different limit for
//! each. Changed limits apply at once to open connections too.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use async_net::TcpListener;
use async_net::TcpStream;
use briarhall_policy::holdings::Pool;
use briarhall_policy::holdings::Stage;
use bytes::Bytes;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_lite::future;
use http_body::Frame;
use http_body::SizeHint;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;
use socket2::SockFilter;
use socket2::SockRef;

use crate::Admission;
use crate::Admitted;
use crate::Body;
use crate::BodyError;
use crate::ByteHold;
use crate::Client;
use crate::Executor;
use crate::Handler;
use crate::Share;
use crate::counted;
use crate::server::SOCKET_BUFFER_BYTES;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time that a new connection has for its first request during shutdown: some
/// round trips between regions.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(250);
/// Time in which the handshakes that have begun end before a listener is closed: some round
/// trips between availability zones.
const HANDSHAKE_TIME: Duration = Duration::from_millis(50);
/// Time for a client that has to go to be told so.
const EVICTED_ANSWER_TIME: Duration = Duration::from_millis(500);
/// Most bytes of an answer that the system takes at once.
const MAX_SEND_BUFFER_BYTES: usize = 2 * 1024 * 1024;
/// The smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Bounds on what a client may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionLimits {
    /// Maximum length of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Time for a head to arrive, from its first byte.
    pub header_timeout: Duration,
    /// Time a connection may be idle.
    pub idle_timeout: Duration,
}

/// The sessions of one listener.
#[derive(Debug, Clone)]
pub struct Sessions {
    limits: Arc<Mutex<SessionLimits>>,
    executor: Executor,
    /// Admits connections, which count in this pool.
    admission: Admission,
    pool: Pool,
    /// Whether the sessions count the bytes of answers, which is left to the handler otherwise.
    counts_answers: bool,
    /// Closed when connections are to be shut down.
    shutdown: Receiver<()>,
    /// Closed when no further connection is to be accepted.
    accepting: (Sender<()>, Receiver<()>),
    /// Number of connections that are open, and of listeners that may accept more.
    open: Arc<AtomicUsize>,
    /// Number of connections whose client waits for an answer or still reads one.
    busy: Arc<AtomicUsize>,
}

/// Counts a connection or a listener until this is dropped.
#[derive(Debug)]
struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(open))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What a connection is doing, with its start where a timeout applies.
#[derive(Debug, Clone, Copy)]
enum Activity {
    Idle(Instant),
    Head(Instant),
    Request,
    /// The answer is complete here, and the client reads it.
    Delivery(Delivery),
}

#[derive(Debug, Clone, Copy)]
struct Delivery {
    /// When the client last took some of the answer.
    progress: Instant,
    /// Whether the rest of the answer waits to be written.
    is_last: bool,
}

impl Activity {
    fn is_busy(self) -> bool {
        matches!(self, Self::Request | Self::Delivery(_))
    }
}

/// The state of a connection, which counts while it is busy.
#[derive(Debug)]
struct ConnectionState {
    activity: Mutex<Activity>,
    busy: Arc<AtomicUsize>,
    client: Arc<Client>,
    /// Bytes by which the system's buffer was raised for long answers.
    send_buffer: Mutex<Option<Share>>,
}

impl ConnectionState {
    fn new(busy: &Arc<AtomicUsize>, client: Arc<Client>) -> Self {
        Self {
            activity: Mutex::new(Activity::Idle(Instant::now())),
            busy: Arc::clone(busy),
            client,
            send_buffer: Mutex::new(None),
        }
    }

    fn take_send_buffer(&self) -> Share {
        let mut buffer = self
            .send_buffer
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let held = buffer.take();
        held.unwrap_or_else(|| self.client.share(Pool::Answers))
    }

    fn put_send_buffer(&self, share: Share) {
        let mut buffer = self
            .send_buffer
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *buffer = Some(share);
    }

    fn activity(&self) -> Activity {
        *self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, new: Activity) {
        self.update(|_| Some(new));
    }

    /// Changes the activity to what `next` returns for it, if it returns any.
    fn update<F>(&self, next: F)
    where
        F: FnOnce(Activity) -> Option<Activity>,
    {
        let mut activity = self.activity.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(new) = next(*activity) else {
            return;
        };
        match (activity.is_busy(), new.is_busy()) {
            (false, true) => {
                self.busy.fetch_add(1, Ordering::Relaxed);
            }
            (true, false) => {
                self.busy.fetch_sub(1, Ordering::Relaxed);
            }
            _ => {}
        }
        *activity = new;
        match new {
            Activity::Idle(_) => self.client.set_stage(Stage::Idle),
            // The handler knows when all of the request has come.
            Activity::Head(_) | Activity::Request => self.client.set_stage(Stage::Sending),
            Activity::Delivery(_) => self.client.set_stage(Stage::Reading),
        }
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        self.set(Activity::Idle(Instant::now()));
    }
}

type SharedState = Arc<ConnectionState>;

impl Sessions {
    /// Creates sessions that run until the sender of `shutdown` is dropped; each
    /// then ends after its current request.
    #[must_use]
    pub fn new(
        executor: Executor,
        limits: SessionLimits,
        shutdown: Receiver<()>,
        admission: Admission,
    ) -> Self {
        Self {
            limits: Arc::new(Mutex::new(limits)),
            executor,
            admission,
            pool: Pool::Clients,
            counts_answers: false,
            shutdown,
            accepting: async_channel::bounded(1),
            open: Arc::default(),
            busy: Arc::default(),
        }
    }

    /// Creates sessions that run as long as the process.
    #[must_use]
    pub fn of_process(
        executor: Executor,
        limits: SessionLimits,
        admission: Admission,
        pool: Pool,
    ) -> Self {
        let accepting = async_channel::bounded(1);
        Self {
            limits: Arc::new(Mutex::new(limits)),
            executor,
            admission,
            pool,
            counts_answers: true,
            shutdown: accepting.1.clone(),
            accepting,
            open: Arc::default(),
            busy: Arc::default(),
        }
    }

    /// Creates sessions of another listener, which run as long as the process. Their clients
    /// too are waited for by [`Self::are_idle`], and the handler counts answers.
    #[must_use]
    pub fn of_other_listener(&self, limits: SessionLimits, pool: Pool) -> Self {
        Self {
            counts_answers: false,
            busy: Arc::clone(&self.busy),
            ..self.of_side_listener(limits, pool)
        }
    }

    /// Creates sessions of a listener for which no stop waits.
    #[must_use]
    pub fn of_side_listener(&self, limits: SessionLimits, pool: Pool) -> Self {
        let (executor, admission) = (self.executor.clone(), self.admission.clone());
        Self::of_process(executor, limits, admission, pool)
    }

    /// Changes the limits, for open connections too.
    pub fn set_limits(&self, limits: SessionLimits) {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner) = limits;
    }

    fn limits(&self) -> SessionLimits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends accepting connections. Those that the system has accepted are still served.
    pub fn stop_accepting(&self) {
        self.accepting.0.close();
    }

    /// Returns whether no connection is open and none will be accepted.
    #[must_use]
    pub fn have_ended(&self) -> bool {
        self.open.load(Ordering::Relaxed) == 0
    }

    /// Returns whether no client waits for an answer or still reads one.
    #[must_use]
    pub fn are_idle(&self) -> bool {
        self.busy.load(Ordering::Relaxed) == 0
    }

    /// Accepts connections until told to stop, and answers each request with `handler`.
    pub async fn serve<H>(self, listener: TcpListener, handler: H)
    where
        H: Handler,
    {
        let _open = OpenGuard::new(&self.open);
        loop {
            let accepted = async { Some(listener.accept().await) };
            let stopped = async {
                // Nothing is ever sent on the channel; it is only closed.
                let _closed = self.accepting.1.recv().await;
                None
            };
            match future::or(accepted, stopped).await {
                Some(Ok((stream, peer))) => self.begin(stream, peer, &handler).await,
                None => break,
                Some(Err(e)) => {
                    // Most likely out of file descriptors: wait for some to be closed.
                    log::warn!(error = e.to_string().as_str(); "cannot accept a connection");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // Closing a listener resets the connections that wait to be accepted.
        refuse_handshakes(&listener);
        Timer::after(HANDSHAKE_TIME).await;
        while let Some(Ok((stream, peer))) = future::poll_once(listener.accept()).await {
            self.begin(stream, peer, &handler).await;
        }
    }

    /// Begins a session, unless there is no place for it: the connection is closed then, with
    /// nothing read.
    async fn begin<H>(&self, stream: TcpStream, peer: SocketAddr, handler: &H)
    where
        H: Handler,
    {
        let Ok(admitted) = self.admission.connect(self.pool, peer.ip()).await else {
            return;
        };
        let guard = OpenGuard::new(&self.open);
        let session = self
            .clone()
            .session(stream, peer, admitted, handler.clone());
        self.executor.detach(async move {
            session.await;
            drop(guard);
        });
    }

    async fn session<H>(self, stream: TcpStream, peer: SocketAddr, admitted: Admitted, handler: H)
    where
        H: Handler,
    {
        // Without `TCP_NODELAY` answers are only slower.
        let _result = stream.set_nodelay(true);
        let accepted = Instant::now();
        let Admitted {
            client,
            connection: _place,
        } = admitted;
        let state = Arc::new(ConnectionState::new(&self.busy, Arc::clone(&client)));
        let socket = &stream.clone();
        let is_http_1_0 = AtomicBool::new(false);
        let io = ObservedStream {
            stream,
            state: Arc::clone(&state),
        };
        let service = service_fn(|mut req: Request<Incoming>| {
            let is_1_0 = req.version() == Version::HTTP_10;
            is_http_1_0.store(is_1_0, Ordering::Relaxed);
            let handler = handler.clone();
            let state = Arc::clone(&state);
            let client = Arc::clone(&client);
            let counts_answers = self.counts_answers;
            req.extensions_mut().insert(Arc::clone(&client));
            // Boxed, as most connections have no request most of the time.
            Box::pin(async move {
                state.set(Activity::Request);
                let guard = RequestGuard { state };
                let mut reply = handler.handle(req, peer).await;
                if counts_answers {
                    // What was answered may have run, so it is no refusal.
                    reply = counted(reply, &client).await.map_err(io::Error::other)?;
                }
                if reply.body().is_in_memory() {
                    guard.deliver(false);
                    raise_send_buffer(socket, &reply, &guard.state).await;
                } else if is_1_0 {
                    // Also if this process ends before the answer does.
                    set_reset_on_close(socket, true, peer);
                }
                Ok::<_, io::Error>(reply.map(|body| GuardedBody {
                    body,
                    _guard: guard,
                }))
            })
        });
        let buffer = self.limits().max_header_bytes.max(MIN_BUFFER_BYTES);
        let conn = http1::Builder::new()
            .max_buf_size(buffer)
            .serve_connection(FuturesIo::new(io), service);
        let mut conn = pin!(conn);
        let timed_out = async {
            self.wait_for_timeout(&state).await;
            Ended::TimedOut
        };
        let shutdown = async {
            // Nothing is ever sent on the channel; it is only closed.
            let _closed = self.shutdown.recv().await;
            // A client that has just connected still gets an answer to its first
            // request instead of a closed connection.
            Timer::at(accepted + FIRST_REQUEST_TIME).await;
            Ended::Shutdown
        };
        let evicted = async {
            client.evicted().await;
            if matches!(state.activity(), Activity::Request) {
                Timer::after(EVICTED_ANSWER_TIME).await;
            }
            Ended::TimedOut
        };
        let served = async { Ended::Served(conn.as_mut().await) };
        let cut = future::or(timed_out, evicted);
        let ended = future::or(served, future::or(cut, shutdown)).await;
        let ended = match ended {
            Ended::Shutdown => {
                conn.as_mut().graceful_shutdown();
                conn.await
            }
            Ended::Served(ended) => ended,
            Ended::TimedOut => return,
        };
        match ended {
            Ok(()) if is_http_1_0.load(Ordering::Relaxed) => {
                set_reset_on_close(socket, false, peer);
            }
            Ok(()) => {}
            Err(e) => {
                log::debug!(peer = peer.to_string().as_str(), error = e.to_string().as_str(); "connection ended");
            }
        }
    }

    /// Waits until the connection exceeds its idle or header timeout.
    async fn wait_for_timeout(&self, state: &SharedState) {
        loop {
            let limits = self.limits();
            let left = match state.activity() {
                Activity::Idle(since)
                | Activity::Delivery(Delivery {
                    progress: since, ..
                }) => limits.idle_timeout.saturating_sub(since.elapsed()),
                Activity::Head(since) => limits.header_timeout.saturating_sub(since.elapsed()),
                // The next head can begin only after this request has ended.
                Activity::Request => limits.header_timeout.min(limits.idle_timeout),
            };
            if left.is_zero() {
                return;
            }
            Timer::after(left.min(limits.header_timeout)).await;
        }
    }
}

/// Lets no further handshake with a listener begin. Clients that try are refused when the
/// listener is closed.
fn refuse_handshakes(listener: &TcpListener) {
    /// Loads a byte of the TCP header.
    const LOAD_BYTE: u16 = 0x30;
    /// Jumps if a bit is set.
    const JUMP_IF_SET: u16 = 0x45;
    /// Ends with the number of bytes to keep.
    const RETURN: u16 = 0x06;
    /// Position of the flags in the TCP header, and `SYN` among them.
    const FLAGS: (u32, u32) = (13, 0x02);
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS.0),
        SockFilter::new(JUMP_IF_SET, 0, 1, FLAGS.1),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ];
    if let Err(e) = SockRef::from(listener).attach_filter(&filter) {
        log::debug!(error = e.to_string().as_str(); "cannot filter handshakes");
    }
}

/// Raises the system's buffer of a connection for a long answer, so that it goes on while the
/// process is busy or ends. It counts like the answer itself, as long as the connection lasts.
async fn raise_send_buffer(socket: &TcpStream, reply: &Response<Body>, state: &ConnectionState) {
    let bytes = http_body::Body::size_hint(reply.body()).lower();
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
    let bytes = bytes.min(MAX_SEND_BUFFER_BYTES);
    if bytes <= SOCKET_BUFFER_BYTES {
        return;
    }
    let mut share = state.take_send_buffer();
    if share.raise_to(bytes).await
        && let Err(e) = SockRef::from(socket).set_send_buffer_size(bytes)
    {
        log::debug!(error = e.to_string().as_str(); "cannot raise the buffer of a connection");
    }
    state.put_send_buffer(share);
}

enum Ended {
    Served(hyper::Result<()>),
    TimedOut,
    Shutdown,
}

/// Sets whether the connection ends by a reset when it is closed. To a client of HTTP/1.0,
/// one that is closed in order marks the end of an answer, also of one that was cut short.
fn set_reset_on_close(socket: &TcpStream, reset: bool, peer: SocketAddr) {
    let linger = reset.then_some(Duration::ZERO);
    if let Err(e) = SockRef::from(socket).set_linger(linger) {
        log::warn!(peer = peer.to_string().as_str(), error = e.to_string().as_str(); "cannot set how a connection of HTTP/1.0 ends");
    }
}

/// Marks the beginning of the delivery when the answer is complete here.
#[derive(Debug)]
struct RequestGuard {
    state: SharedState,
}

impl RequestGuard {
    /// Records that the answer is complete here, and whether all that is left of it waits
    /// to be written.
    fn deliver(&self, is_last: bool) {
        self.state.set(Activity::Delivery(Delivery {
            progress: Instant::now(),
            is_last,
        }));
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.deliver(true);
    }
}

/// A reply's body, which is dropped once all of it waits to be written.
#[derive(Debug)]
struct GuardedBody {
    body: Body,
    _guard: RequestGuard,
}

impl http_body::Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A stream that records when the first byte of a head arrives, and when an answer has been
/// written.
#[derive(Debug)]
struct ObservedStream {
    stream: TcpStream,
    state: SharedState,
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(polled, Poll::Ready(Ok(read)) if read > 0) {
            self.state.update(|activity| {
                matches!(activity, Activity::Idle(_)).then(|| Activity::Head(Instant::now()))
            });
        }
        polled
    }
}

impl ObservedStream {
    /// Records that the client took some of an answer.
    fn record_progress(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(written)) = written
            && *written > 0
        {
            self.state.client.progress(*written);
            self.state.update(|activity| match activity {
                Activity::Delivery(Delivery { is_last, .. }) => {
                    Some(Activity::Delivery(Delivery {
                        progress: Instant::now(),
                        is_last,
                    }))
                }
                _ => None,
            });
        }
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_progress(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_progress(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(polled, Poll::Ready(Ok(()))) {
            // hyper flushes once nothing waits to be written.
            self.state.update(|activity| match activity {
                Activity::Delivery(Delivery { is_last: true, .. }) => {
                    Some(Activity::Idle(Instant::now()))
                }
                _ => None,
            });
        }
        polled
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
