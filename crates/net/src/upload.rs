//! Whether a request was written whole by the time at which its answer ended with its
//! connection.
//!
//! A server may answer before it has read the request. If it then crashes, its system ends the
//! connection in order as long as nothing is unread there, and resets it when more of the
//! request arrives. So an end that comes before the request is written marks no whole answer
//! yet: the rest of the request shows whether the server reads on.

use std::io;
use std::io::IoSlice;
use std::net;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;

use async_io::Async;
use async_net::TcpStream;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use socket2::SockRef;

const HEAD_END: &[u8] = b"\r\n\r\n";
/// Events that show that nothing waits to be sent: the first may be one from before.
const WRITABLE_EVENTS: u8 = 2;

/// What of the request is not yet written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unwritten {
    /// The rest of the head, of whose end so many bytes are written, and the body.
    Head { end_bytes: usize, body: u64 },
    /// So many bytes of the body.
    Body(u64),
    /// It is not known how long the body is.
    Unknown,
}

impl Unwritten {
    /// Records bytes that were written.
    fn advance(&mut self, mut bytes: &[u8]) {
        while let Self::Head { end_bytes, body } = *self {
            let Some((byte, rest)) = bytes.split_first() else {
                return;
            };
            bytes = rest;
            let end_bytes = if *byte == HEAD_END[end_bytes] {
                end_bytes + 1
            } else {
                usize::from(*byte == HEAD_END[0])
            };
            *self = if end_bytes == HEAD_END.len() {
                Self::Body(body)
            } else {
                Self::Head { end_bytes, body }
            };
        }
        if let Self::Body(left) = self {
            *left = left.saturating_sub(bytes.len() as u64);
        }
    }

    fn is_nothing(self) -> bool {
        matches!(self, Self::Body(0) | Self::Unknown)
    }
}

/// A connection on which one request is written, and its answer read.
#[derive(Debug)]
pub struct Upload {
    stream: TcpStream,
    socket: Arc<Async<net::TcpStream>>,
    unwritten: Unwritten,
    has_read: bool,
    has_failed: bool,
    /// Whether the system signals when it has sent all that was written to it.
    signals_sent: bool,
    writable_events: u8,
    /// Waits for the end of the answer until the request is written.
    reader: Option<Waker>,
}

impl Upload {
    /// Creates a connection for a request with a body of this many bytes, if that is known.
    pub fn new(stream: TcpStream, body_bytes: Option<u64>) -> Self {
        let unwritten = body_bytes.map_or(Unwritten::Unknown, |body| Unwritten::Head {
            end_bytes: 0,
            body,
        });
        Self {
            socket: stream.clone().into(),
            stream,
            unwritten,
            has_read: false,
            has_failed: false,
            signals_sent: false,
            writable_events: 0,
            reader: None,
        }
    }

    /// Records bytes that were written, or that the write has failed.
    fn record(&mut self, written: &io::Result<usize>, bufs: &[IoSlice<'_>]) {
        match written {
            Ok(written) => {
                let mut left = *written;
                for buf in bufs {
                    let len = left.min(buf.len());
                    self.unwritten.advance(&buf[..len]);
                    left -= len;
                }
            }
            Err(_failed) => self.has_failed = true,
        }
        if (self.has_failed || self.unwritten.is_nothing())
            && let Some(reader) = self.reader.take()
        {
            reader.wake();
        }
    }

    /// Waits until the request was sent, after the answer has ended.
    fn poll_sent(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let reset = || io::Error::from(io::ErrorKind::ConnectionReset);
        if !self.unwritten.is_nothing() && !self.has_failed {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        if self.has_failed {
            return Poll::Ready(Err(reset()));
        }
        if !self.signals_sent {
            self.signals_sent = true;
            let set = SockRef::from(&self.stream).set_tcp_notsent_lowat(1);
            if let Err(e) = set {
                log::debug!(error = e.to_string().as_str(); "cannot tell when a request is sent");
                self.writable_events = WRITABLE_EVENTS;
            }
        }
        while self.writable_events < WRITABLE_EVENTS {
            ready!(self.socket.poll_writable(cx))?;
            self.writable_events += 1;
        }
        let error = SockRef::from(&self.stream).take_error();
        Poll::Ready(error.and_then(|error| error.map_or(Ok(()), Err)))
    }
}

impl AsyncRead for Upload {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if read > 0 || buf.is_empty() {
            self.has_read |= read > 0;
            return Poll::Ready(Ok(read));
        }
        // Without an answer there is nothing whose end could be in doubt.
        if self.has_read && self.unwritten != Unwritten::Unknown {
            ready!(self.poll_sent(cx))?;
        }
        Poll::Ready(Ok(0))
    }
}

impl AsyncWrite for Upload {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        self.record(&written, &[IoSlice::new(buf)]);
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs));
        self.record(&written, bufs);
        Poll::Ready(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
