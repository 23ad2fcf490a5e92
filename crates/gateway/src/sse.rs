//! Splits a stream of server-sent events into complete events.
//!
//! A replica may fail in the middle of an event. Only complete events are
//! forwarded, so another replica can resume the stream after the last of them.
//! A body that ends within an event is a broken stream even if HTTP marks its end:
//! without a length or chunks the end of the connection is all there is.

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;
use thiserror::Error;

/// Longest event that is buffered until it is complete.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One complete event, with the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, unchanged.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<CompactString>,
    /// Whether it has no field: blank lines and comments, which keep a connection
    /// alive and are no part of an answer.
    pub is_blank: bool,
}

/// An event is longer than the buffer allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes of `buf` that were already searched for the end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when an event grows too long.
    pub fn push(&mut self, data: &[u8]) -> Result<(), TooLong> {
        if self.buf.len() + data.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        self.buf.extend_from_slice(data);
        Ok(())
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.scanned.saturating_sub(3);
        let Some(end) = end_of_event(&self.buf[from..]) else {
            self.scanned = self.buf.len();
            return None;
        };
        self.scanned = 0;
        let bytes = self.buf.split_to(from + end).freeze();
        let id = id_of(&bytes);
        let is_blank = !has_field(&bytes);
        Some(Event {
            bytes,
            id,
            is_blank,
        })
    }

    /// Returns whether the buffered bytes are the beginning of an event. Blank
    /// lines and comments between events are not.
    #[must_use]
    pub fn is_within_event(&self) -> bool {
        let last_end = self.buf.iter().rposition(|byte| is_line_end(*byte));
        let (lines, unfinished) = self.buf.split_at(last_end.map_or(0, |at| at + 1));
        !unfinished.is_empty() || has_field(lines)
    }

    /// Returns the buffered bytes, for a stream that ends between events.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.buf.split().freeze()
    }
}

fn end_of_event(buf: &[u8]) -> Option<usize> {
    (0..buf.len()).find_map(|at| {
        let rest = &buf[at..];
        if rest.starts_with(b"\n\n") || rest.starts_with(b"\r\r") {
            Some(at + 2)
        } else if rest.starts_with(b"\n\r\n") {
            Some(at + 3)
        } else {
            None
        }
    })
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Returns whether any of these lines is neither blank nor a comment.
fn has_field(lines: &[u8]) -> bool {
    let mut lines = lines.split(|byte| is_line_end(*byte));
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

fn id_of(event: &[u8]) -> Option<CompactString> {
    let lines = event.split(|byte| is_line_end(*byte));
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next_back()?).ok()?;
    Some(CompactString::from(id.trim()))
}
