//! Connections that clients keep open for many requests.
//!
//! The library's own timeout does not tell a connection that is idle from one
//! whose head trickles in; clients are promised a different time for each. The
//! limits may change while connections are open, and hold at once.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use async_net::TcpListener;
use async_net::TcpStream;
use bytes::Bytes;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_lite::future;
use http_body::Frame;
use http_body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;

use crate::Body;
use crate::BodyError;
use crate::Executor;
use crate::Handler;

const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time that a new connection has for its first request while sessions end: some
/// round trips between regions.
const FIRST_REQUEST: Duration = Duration::from_millis(250);
/// The smallest buffer that the library takes.
const SMALLEST_BUFFER: usize = 8 * 1024;

/// Bounds on what a client may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionLimits {
    /// Bytes of the head of a request.
    pub max_header_bytes: usize,
    /// Time for a head to arrive, from its first byte.
    pub header_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// The sessions of one listener.
#[derive(Debug, Clone)]
pub struct Sessions {
    limits: Arc<Mutex<SessionLimits>>,
    executor: Executor,
    /// Closed when idle connections are to end.
    end: Receiver<()>,
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy)]
enum Doing {
    Idle(Instant),
    Head(Instant),
    Request,
}

type Activity = Arc<Mutex<Doing>>;

impl Sessions {
    /// Creates sessions that go on until the sender of `end` is dropped; from
    /// then on each ends with the request it is at.
    #[must_use]
    pub fn new(executor: Executor, limits: SessionLimits, end: Receiver<()>) -> Self {
        Self {
            limits: Arc::new(Mutex::new(limits)),
            executor,
            end,
        }
    }

    /// Changes the limits, for open connections too.
    pub fn set_limits(&self, limits: SessionLimits) {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner) = limits;
    }

    fn limits(&self) -> SessionLimits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts connections for ever and answers each request with `handler`.
    pub async fn serve<H>(self, listener: TcpListener, handler: H)
    where
        H: Handler,
    {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let session = self.clone().session(stream, peer, handler.clone());
                    self.executor.detach(session);
                }
                Err(e) => {
                    // Out of descriptors, most likely: wait for some to close.
                    log::warn!(error = e.to_string().as_str(); "cannot accept a connection");
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn session<H>(self, stream: TcpStream, peer: SocketAddr, handler: H)
    where
        H: Handler,
    {
        // Without it answers are only slower.
        let _refused = stream.set_nodelay(true);
        let accepted = Instant::now();
        let activity = Arc::new(Mutex::new(Doing::Idle(accepted)));
        let io = Observed {
            stream,
            activity: Arc::clone(&activity),
        };
        let service = service_fn(|req| {
            let handler = handler.clone();
            let activity = Arc::clone(&activity);
            async move {
                set(&activity, Doing::Request);
                let busy = Busy { activity };
                let reply = handler.handle(req, peer).await;
                Ok::<_, io::Error>(reply.map(|body| Tracked { body, _busy: busy }))
            }
        });
        let buffer = self.limits().max_header_bytes.max(SMALLEST_BUFFER);
        let conn = http1::Builder::new()
            .max_buf_size(buffer)
            .serve_connection(FuturesIo::new(io), service);
        let mut conn = pin!(conn);
        let overdue = async {
            self.overdue(&activity).await;
            Ended::Overdue
        };
        let told = async {
            // The channel never carries anything; it closes.
            let _closed = self.end.recv().await;
            // Who connects last still gets an answer, not a closed connection.
            Timer::at(accepted + FIRST_REQUEST).await;
            Ended::Told
        };
        let served = async { Ended::Served(conn.as_mut().await) };
        let ended = future::or(served, future::or(overdue, told)).await;
        let ended = match ended {
            Ended::Told => {
                conn.as_mut().graceful_shutdown();
                conn.await
            }
            Ended::Served(ended) => ended,
            Ended::Overdue => return,
        };
        if let Err(e) = ended {
            log::debug!(peer = peer.to_string().as_str(), error = e.to_string().as_str(); "connection ended");
        }
    }

    /// Waits until the connection was idle, or its head was coming, for too
    /// long.
    async fn overdue(&self, activity: &Activity) {
        loop {
            let limits = self.limits();
            let doing = *activity.lock().unwrap_or_else(PoisonError::into_inner);
            let left = match doing {
                Doing::Idle(since) => limits.idle_timeout.saturating_sub(since.elapsed()),
                Doing::Head(since) => limits.header_timeout.saturating_sub(since.elapsed()),
                // A head can begin only after the request has ended.
                Doing::Request => limits.header_timeout.min(limits.idle_timeout),
            };
            if left.is_zero() {
                return;
            }
            Timer::after(left.min(limits.header_timeout)).await;
        }
    }
}

enum Ended {
    Served(hyper::Result<()>),
    Overdue,
    Told,
}

fn set(activity: &Activity, doing: Doing) {
    *activity.lock().unwrap_or_else(PoisonError::into_inner) = doing;
}

/// Held while a request is answered.
#[derive(Debug)]
struct Busy {
    activity: Activity,
}

impl Drop for Busy {
    fn drop(&mut self) {
        set(&self.activity, Doing::Idle(Instant::now()));
    }
}

/// A body that keeps the connection busy until it was sent.
#[derive(Debug)]
struct Tracked {
    body: Body,
    _busy: Busy,
}

impl http_body::Body for Tracked {
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

/// Notes when the first byte of a head arrives.
#[derive(Debug)]
struct Observed {
    stream: TcpStream,
    activity: Activity,
}

impl AsyncRead for Observed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(polled, Poll::Ready(Ok(read)) if read > 0) {
            let mut doing = self.activity.lock().unwrap_or_else(PoisonError::into_inner);
            if matches!(*doing, Doing::Idle(_)) {
                *doing = Doing::Head(Instant::now());
            }
        }
        polled
    }
}

impl AsyncWrite for Observed {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
