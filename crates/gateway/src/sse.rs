//! Splits a stream of server-sent events into complete events.
//!
//! A replica may fail in the middle of an event. Only complete events are
//! forwarded, so another replica can resume the stream after the last of them.

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;
use thiserror::Error;

/// Longest event that is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One complete event, with the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, unchanged.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<CompactString>,
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
        Some(Event { bytes, id })
    }

    /// Returns the buffered bytes, for a stream that ends without an empty
    /// line.
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

fn id_of(event: &[u8]) -> Option<CompactString> {
    let lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next_back()?).ok()?;
    Some(CompactString::from(id.trim()))
}
