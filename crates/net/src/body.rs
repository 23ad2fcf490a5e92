//! One body type for requests and replies: complete in memory, or streamed
//! through a channel.

use std::convert::Infallible;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use async_channel::Receiver;
use async_channel::Sender;
use briarhall_policy::holdings::Pool;
use bytes::Bytes;
use bytes::BytesMut;
use futures_lite::Stream;
use futures_lite::future;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use hyper::Response;
use thiserror::Error;

use crate::admission::Client;
use crate::admission::NoRoom;
use crate::byte_budget::ByteHold;
use crate::chunk_pace::BATCH_CHUNKS;
use crate::chunk_pace::SMALL_CHUNK_BYTES;

/// Frames that wait in a channel body.
pub const CHANNEL_FRAMES: usize = 16;
/// Longest frame of a body that is complete in memory. hyper copies each frame, and takes
/// the next one when the client has read most of those before.
const MAX_FRAME_BYTES: usize = 16 * 1024;
/// Bytes that are still read and dropped of a body that is too long.
const DISCARD_BYTES: usize = 64 * 1024 * 1024;

/// Longest answer that counts as a part of its connection.
const UNCOUNTED_ANSWER_BYTES: usize = 4 * 1024;
/// Bytes of each body that count against no budget: small ones are read whatever others
/// hold.
pub const UNBUDGETED_BYTES: usize = 16 * 1024;
/// Bytes of a body after which they are reported as progress of its client.
const REPORTED_BYTES: usize = 1024;
/// Largest block in which the bytes of a body are held as they come.
const BLOCK_BYTES: usize = 16 * 1024;

/// The error of a [`Body`] whose sender was dropped before the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the body was cut short")]
pub struct BodyError;

impl From<Infallible> for BodyError {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// A body that is complete in memory or comes through a channel.
#[derive(Debug)]
pub enum Body {
    /// The complete body, or nothing once it has been read.
    Full(Option<Bytes>),
    /// Frames from a [`BodySender`].
    Channel(Pin<Box<Receiver<BodyMessage>>>),
}

/// A message from a [`BodySender`].
#[derive(Debug)]
pub enum BodyMessage {
    /// Some bytes.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Sends the frames of a channel body. Dropping it without
/// [`BodySender::finish`] gives the reader an error instead of an end.
#[derive(Debug)]
pub struct BodySender {
    tx: Sender<BodyMessage>,
}

/// The reader of a body was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the reader was dropped")]
pub struct ReaderDropped;

impl BodySender {
    /// Sends bytes, waiting while the reader is slow.
    ///
    /// # Errors
    ///
    /// Returns an error when the reader was dropped.
    pub async fn send(&self, bytes: Bytes) -> Result<(), ReaderDropped> {
        self.tx
            .send(BodyMessage::Data(bytes))
            .await
            .map_err(|_e| ReaderDropped)
    }

    /// Ends the body.
    pub async fn finish(self) {
        // A reader that was dropped needs no end.
        let _dropped = self.tx.send(BodyMessage::End).await;
    }

    /// Waits until the reader is dropped.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

impl Body {
    /// Creates an empty body.
    #[must_use]
    pub fn empty() -> Self {
        Self::Full(None)
    }

    /// Creates a body that is complete in memory.
    #[must_use]
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Returns whether the body is complete in memory.
    #[must_use]
    pub fn is_in_memory(&self) -> bool {
        matches!(self, Self::Full(_))
    }

    /// Creates a body that is streamed through a channel.
    #[must_use]
    pub fn channel() -> (BodySender, Self) {
        let (tx, rx) = async_channel::bounded(CHANNEL_FRAMES);
        (BodySender { tx }, Self::Channel(Box::pin(rx)))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(next_piece(bytes).map(|piece| Ok(Frame::data(piece)))),
            Self::Channel(rx) => match rx.as_mut().poll_next(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(BodyMessage::Data(bytes))) => {
                    Poll::Ready(Some(Ok(Frame::data(bytes))))
                }
                Poll::Ready(Some(BodyMessage::End)) => Poll::Ready(None),
                Poll::Ready(None) => Poll::Ready(Some(Err(BodyError))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Channel(_) => SizeHint::default(),
        }
    }
}

/// Takes the next piece of a body that is complete in memory.
fn next_piece(left: &mut Option<Bytes>) -> Option<Bytes> {
    let mut bytes = left.take()?;
    if bytes.len() <= MAX_FRAME_BYTES {
        return Some(bytes);
    }
    let piece = bytes.split_to(MAX_FRAME_BYTES);
    *left = Some(bytes);
    Some(piece)
}

/// An error that occurs when a body cannot be read to its end.
#[derive(Debug, Error)]
pub enum ReadBodyError {
    /// The body is longer than allowed.
    #[error("the body is longer than {limit} bytes")]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The body ended early.
    #[error("the body was cut short: {0}")]
    Truncated(String),
}

/// An error that occurs when a body cannot be read within a budget.
#[derive(Debug, Error)]
pub enum ReadWithinError {
    /// The body is too long or ended early.
    #[error(transparent)]
    Body(#[from] ReadBodyError),
    /// Other bodies that are read at the same time hold too much.
    #[error("no memory is left for more than {held} bytes of the body")]
    NoMemory {
        /// Bytes of it that were read.
        held: usize,
    },
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error when the body is longer or ends early.
pub async fn read_limited<B>(mut body: B, limit: usize) -> Result<Bytes, ReadBodyError>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let too_large = body.size_hint().lower() > limit as u64;
    if too_large {
        discard(body).await;
        return Err(ReadBodyError::TooLarge { limit });
    }
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(0);
    let mut buf = BytesMut::with_capacity(expected);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| ReadBodyError::Truncated(e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            discard(body).await;
            return Err(ReadBodyError::TooLarge { limit });
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// Bytes of a body as they come. They lie in blocks, since a buffer that grows leaves behind
/// what it was before, which an allocator may keep.
struct Blocks<H> {
    parts: Vec<Vec<u8>>,
    len: usize,
    capacity: usize,
    hold: H,
}

/// Bytes that count against a bound until they are dropped.
struct HeldBytes<B, H> {
    bytes: B,
    _hold: H,
}

impl<H> Blocks<H>
where
    H: ByteHold,
{
    fn new(hold: H) -> Self {
        Self {
            parts: Vec::new(),
            len: 0,
            capacity: 0,
            hold,
        }
    }

    /// Adds bytes, which with those before are at most `limit`.
    async fn push(&mut self, mut data: &[u8], limit: usize) -> Result<(), ReadWithinError> {
        if self.len + data.len() > limit {
            return Err(ReadBodyError::TooLarge { limit }.into());
        }
        while !data.is_empty() {
            let room = self.parts.last().map_or(0, |b| b.capacity() - b.len());
            if room == 0 {
                // Small bodies get small blocks.
                let block = data.len().max(self.capacity).min(BLOCK_BYTES);
                let capacity = self.capacity + block;
                let counted = capacity.saturating_sub(UNBUDGETED_BYTES);
                if !self.hold.raise_to(counted).await {
                    return Err(self.no_memory());
                }
                self.capacity = capacity;
                self.parts.push(Vec::with_capacity(block));
                continue;
            }
            let (now, later) = data.split_at(room.min(data.len()));
            if let Some(block) = self.parts.last_mut() {
                block.extend_from_slice(now);
            }
            self.len += now.len();
            data = later;
        }
        Ok(())
    }

    fn no_memory(&self) -> ReadWithinError {
        ReadWithinError::NoMemory { held: self.len }
    }

    /// Returns the whole body.
    fn finish(mut self) -> Bytes {
        let bytes = if self.parts.len() == 1 {
            self.parts.pop().unwrap_or_default()
        } else {
            let mut bytes = Vec::with_capacity(self.len);
            for block in self.parts {
                bytes.extend_from_slice(&block);
            }
            bytes
        };
        Bytes::from_owner(HeldBytes {
            bytes,
            _hold: self.hold,
        })
    }
}

impl<B, H> AsRef<[u8]> for HeldBytes<B, H>
where
    B: AsRef<[u8]>,
{
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Reads a body of at most `limit` bytes, of which all but the first
/// [`UNBUDGETED_BYTES`] are held by `hold` until the returned bytes are dropped. Reads
/// no further than it has to: the caller closes the connection.
///
/// # Errors
///
/// Returns an error when the body is longer, ends early, or exceeds what may be held.
pub async fn read_within<B, H>(mut body: B, limit: usize, hold: H) -> Result<Bytes, ReadWithinError>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
    H: ByteHold,
{
    if body.size_hint().lower() > limit as u64 {
        return Err(ReadBodyError::TooLarge { limit }.into());
    }
    let mut buf = Blocks::new(hold);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| ReadBodyError::Truncated(e.to_string()))?;
        if let Ok(data) = frame.into_data() {
            buf.push(&data, limit).await?;
        }
    }
    Ok(buf.finish())
}

/// Reads the body of a client's request, of at most `limit` bytes, until all of it has come
/// or the client has to go. What is only announced takes no room.
///
/// # Errors
///
/// Returns an error when the body is longer, ends early, or the process has no room for it.
pub async fn read_from_client<B>(
    mut body: B,
    limit: usize,
    client: &Arc<Client>,
) -> Result<Bytes, ReadWithinError>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limit {
        future::or(discard(body), client.evicted()).await;
        return Err(ReadBodyError::TooLarge { limit }.into());
    }
    if !client.may_fit(Pool::Bodies, announced) {
        return Err(ReadWithinError::NoMemory { held: 0 });
    }
    let mut held = Blocks::new(client.share(Pool::Bodies));
    let mut evicted = pin!(client.evicted());
    let (mut small_chunks, mut unreported) = (0, 0);
    loop {
        let next = async { Some(body.frame().await) };
        let gone = async {
            evicted.as_mut().await;
            None
        };
        let Some(frame) = future::or(next, gone).await else {
            return Err(held.no_memory());
        };
        let Some(frame) = frame else {
            break;
        };
        let frame = frame.map_err(|e| ReadBodyError::Truncated(e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        match held.push(&data, limit).await {
            Err(e @ ReadWithinError::Body(ReadBodyError::TooLarge { .. })) => {
                drop(held);
                future::or(discard(body), client.evicted()).await;
                return Err(e);
            }
            pushed => pushed?,
        }
        unreported += data.len();
        if unreported >= REPORTED_BYTES {
            client.progress(unreported);
            unreported = 0;
        }
        small_chunks += usize::from(data.len() <= SMALL_CHUNK_BYTES);
        if small_chunks == BATCH_CHUNKS {
            small_chunks = 0;
            client.small_chunks_turn().await;
        }
    }
    client.begin_waiting().map_err(|_gone| held.no_memory())?;
    Ok(held.finish())
}

/// Counts the bytes of an answer that is complete in memory until its client has them.
///
/// # Errors
///
/// Returns an error when answers that nobody reads hold all there is.
pub async fn counted(
    mut reply: Response<Body>,
    client: &Arc<Client>,
) -> Result<Response<Body>, NoRoom> {
    let Body::Full(Some(bytes)) = reply.body_mut() else {
        return Ok(reply);
    };
    if bytes.len() <= UNCOUNTED_ANSWER_BYTES {
        return Ok(reply);
    }
    let share = client.take(Pool::Answers, bytes.len()).await?;
    *bytes = Bytes::from_owner(HeldBytes {
        bytes: std::mem::take(bytes),
        _hold: share,
    });
    Ok(reply)
}

/// Reads and drops up to [`DISCARD_BYTES`] more: a client whose connection is
/// closed while it still sends may never read the answer.
async fn discard<B>(mut body: B)
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let mut left = DISCARD_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let read = frame.data_ref().map_or(0, Bytes::len);
        let read = read.max(SMALL_CHUNK_BYTES);
        if read > left {
            return;
        }
        left -= read;
    }
}
