//! Splits a stream of server-sent events into whole events.
//!
//! A replica may die in the middle of an event. Only whole events are passed
//! on, so a stream can go on elsewhere after the last of them.

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;
use thiserror::Error;

/// Longest event that is held back until it is whole.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One whole event, with the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes as they came.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<CompactString>,
}

/// An event is longer than is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes of `buf` that were looked through already.
    scanned: usize,
}

impl EventSplitter {
    /// Takes bytes that arrived.
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

    /// Returns the next whole event.
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

    /// Returns what waits, for a stream that ends without an empty line.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.buf.split().freeze()
    }
}

fn end_of_event(buf: &[u8]) -> Option<usize> {
    (0..buf.len()).find_map(|at| {
        let rest = &buf[at..];
        if rest.starts_with(b"\n\n") {
            Some(at + 2)
        } else if rest.starts_with(b"\n\r\n") {
            Some(at + 3)
        } else {
            None
        }
    })
}

fn id_of(event: &[u8]) -> Option<CompactString> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next_back()?).ok()?;
    Some(CompactString::from(id.trim()))
}
