//! The event stream of one attempt.
//!
//! Each frame's attempt id and token index are checked, so that tokens of another
//! attempt, repeated tokens and a truncated answer are detected before they reach
//! a caller.

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

/// An error that occurs when a stream ends early.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StreamError {
    /// No event arrived in time.
    #[error("no event arrived on the stream in time")]
    TimedOut,
    /// The connection broke.
    #[error("the stream broke: {0}")]
    Broken(String),
    /// A frame belongs to another attempt.
    #[error("the stream carried a frame of another attempt")]
    WrongAttempt,
    /// A token is missing.
    #[error("the stream skipped from token {expected} to {found}")]
    Gap {
        /// Index of the token that was expected.
        expected: u64,
        /// Index of the token that arrived.
        found: u64,
    },
    /// A frame is malformed.
    #[error("the stream carried a malformed frame: {0}")]
    Malformed(String),
}

/// Reads one attempt's events.
#[derive(Debug)]
pub struct EventStream {
    body: Incoming,
    buf: BytesMut,
    id: String,
    next_index: u64,
    finished: bool,
}

impl EventStream {
    pub(crate) fn new(body: Incoming, id: String, next_index: u64) -> Self {
        Self {
            body,
            buf: BytesMut::new(),
            id,
            next_index,
            finished: false,
        }
    }

    /// Returns the next event, waiting no longer than `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error when no event arrives in time or the stream is incomplete.
    pub async fn next(&mut self, limit: Duration) -> Result<Event, StreamError> {
        timeout(limit, self.next_event())
            .await
            .map_err(|_e| StreamError::TimedOut)?
    }

    async fn next_event(&mut self) -> Result<Event, StreamError> {
        loop {
            while let Some(data) = self.take_data() {
                if let Some(event) = self.check_frame(&data)? {
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

    /// Takes the data of the next complete event out of the buffer.
    fn take_data(&mut self) -> Option<BytesMut> {
        let mut windows = self.buf.windows(SEPARATOR.len());
        let end = windows.position(|window| window == SEPARATOR)?;
        let mut event = self.buf.split_to(end);
        self.buf.advance(SEPARATOR.len());
        if event.starts_with(DATA) {
            event.advance(DATA.len());
        }
        Some(event)
    }

    fn check_frame(&mut self, data: &[u8]) -> Result<Option<Event>, StreamError> {
        if data == DONE {
            return if self.finished {
                Ok(Some(Event::Done))
            } else {
                Err(StreamError::Broken(
                    "`[DONE]` before a finish reason".to_owned(),
                ))
            };
        }
        let frame = serde_json::from_slice::<Frame>(data)
            .map_err(|e| StreamError::Malformed(e.to_string()))?;
        if frame.id != self.id {
            return Err(StreamError::WrongAttempt);
        }
        if frame.index < self.next_index {
            // Already received before this stream was resumed.
            return Ok(None);
        }
        if frame.index > self.next_index {
            return Err(StreamError::Gap {
                expected: self.next_index,
                found: frame.index,
            });
        }
        if frame.finish_reason.is_some() {
            self.finished = true;
            return Ok(None);
        }
        self.next_index += 1;
        Ok(Some(Event::Token(frame.text)))
    }
}
