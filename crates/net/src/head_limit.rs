//! A bound on what is read before the head of an answer is complete.
//!
//! hyper bounds the size of one head, not the number of interim ones (`1xx`) before it,
//! and reads these for as long as bytes are there, without giving way to other tasks.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// Most bytes before the head is complete: more than twice what hyper buffers, as the
/// beginning of the body is read with it.
const MAX_HEAD_BYTES: usize = 1024 * 1024;

/// Lifts the limit once the head has arrived.
#[derive(Debug, Clone, Default)]
pub struct HeadArrived(Arc<AtomicBool>);

impl HeadArrived {
    /// Records that the head has arrived.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A connection on which the head of an answer is awaited.
#[derive(Debug)]
pub struct HeadLimit<S> {
    stream: S,
    arrived: HeadArrived,
    bytes: usize,
}

impl<S> HeadLimit<S> {
    /// Limits what is read from `stream`, until `arrived` is set.
    pub fn new(stream: S, arrived: HeadArrived) -> Self {
        Self {
            stream,
            arrived,
            bytes: 0,
        }
    }
}

impl<S> AsyncRead for HeadLimit<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if !self.arrived.0.load(Ordering::Relaxed) {
            self.bytes += read;
            if self.bytes > MAX_HEAD_BYTES {
                let reason = format!("no head of an answer in {MAX_HEAD_BYTES} bytes");
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
            }
        }
        Poll::Ready(Ok(read))
    }
}

impl<S> AsyncWrite for HeadLimit<S>
where
    S: AsyncWrite + Unpin,
{
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
