//! The event stream of one attempt.
//!
//! Every frame is checked for its attempt and its place, so that an answer that
//! was crossed, repeated or cut is noticed before a caller sees it.

use std::time::Duration;

use briarhall_net::timeout;
use bytes::Buf;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

use crate::wire::Frame;

const SEPARATOR: &[u8] = b"\n\n";
const DATA: &[u8] = b"data: ";
const DONE: &[u8] = b"[DONE]";
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The next token.
    Token(String),
    /// The whole answer was sent.
    Done,
}

/// Says why a stream ended early.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StreamError {
    /// Nothing came in time.
    #[error("the stream is silent")]
    Silent,
    /// The connection broke.
    #[error("the stream broke: {0}")]
    Broken(String),
    /// A frame belongs to another attempt.
    #[error("the stream carried a frame of another attempt")]
    Crossed,
    /// A token is missing.
    #[error("the stream skipped from token {expected} to {found}")]
    Gap {
        /// Token that should have come.
        expected: u64,
        /// Token that came.
        found: u64,
    },
    /// A frame is not understood.
    #[error("the stream carried a frame that is not understood: {0}")]
    Malformed(String),
}

/// Reads one attempt's events.
#[derive(Debug)]
pub struct EventStream {
    body: Incoming,
    buf: BytesMut,
    id: String,
    next: u64,
    ended: bool,
}

impl EventStream {
    pub(crate) fn new(body: Incoming, id: String, next: u64) -> Self {
        Self {
            body,
            buf: BytesMut::new(),
            id,
            next,
            ended: false,
        }
    }

    /// Returns the next event, waiting no longer than `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error when nothing came in time or the stream is not whole.
    pub async fn next(&mut self, limit: Duration) -> Result<Event, StreamError> {
        timeout(limit, self.next_event())
            .await
            .map_err(|_e| StreamError::Silent)?
    }

    async fn next_event(&mut self) -> Result<Event, StreamError> {
        loop {
            while let Some(data) = self.take_data() {
                if let Some(event) = self.check(&data)? {
                    return Ok(event);
                }
            }
            self.fill().await?;
        }
    }

    async fn fill(&mut self) -> Result<(), StreamError> {
        let frame = self.body.frame().await;
        let frame = frame.ok_or_else(|| StreamError::Broken("ended early".to_owned()))?;
        let frame = frame.map_err(|e| StreamError::Broken(e.to_string()))?;
        if let Ok(data) = frame.into_data() {
            self.buf.extend_from_slice(&data);
        }
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(StreamError::Malformed("an event is too long".to_owned()));
        }
        Ok(())
    }

    /// Takes the data of the next whole event out of the buffer.
    fn take_data(&mut self) -> Option<BytesMut> {
        let mut pairs = self.buf.windows(SEPARATOR.len());
        let end = pairs.position(|pair| pair == SEPARATOR)?;
        let mut event = self.buf.split_to(end);
        self.buf.advance(SEPARATOR.len());
        if event.starts_with(DATA) {
            event.advance(DATA.len());
        }
        Some(event)
    }

    fn check(&mut self, data: &[u8]) -> Result<Option<Event>, StreamError> {
        if data == DONE {
            return if self.ended {
                Ok(Some(Event::Done))
            } else {
                Err(StreamError::Broken("done before the end".to_owned()))
            };
        }
        let frame = serde_json::from_slice::<Frame>(data)
            .map_err(|e| StreamError::Malformed(e.to_string()))?;
        if frame.id != self.id {
            return Err(StreamError::Crossed);
        }
        if frame.index < self.next {
            // Seen before this stream was resumed.
            return Ok(None);
        }
        if frame.index > self.next {
            return Err(StreamError::Gap {
                expected: self.next,
                found: frame.index,
            });
        }
        if frame.finish_reason.is_some() {
            self.ended = true;
            return Ok(None);
        }
        self.next += 1;
        Ok(Some(Event::Token(frame.text)))
    }
}
