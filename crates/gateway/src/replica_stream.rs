//! Reads the events of a replica's streamed answer, and decides how it has ended.
//!
//! The end of the body is not the end of the stream: without a length or chunks the
//! end of the connection marks it, and a replica that crashes closes its connections
//! as well.

use std::time::Duration;

use briarhall_net::Connection;
use briarhall_net::Framing;
use briarhall_net::timeout;
use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;

use crate::place::Placement;
use crate::sse::Event;
use crate::sse::EventSplitter;
use crate::sse::MAX_EVENT_BYTES;
use crate::wire::Wire;

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";
/// Why a stream is broken that ended with its connection and had no event.
const ENDED_BEFORE_EVENTS: &str = "the connection ended before the first event";
/// Why a stream is broken that consists of blank lines and comments.
const NO_EVENT: &str = "the answer has no event among its blank lines and comments";
/// Why a stream is broken whose body ended within an event.
const ENDED_WITHIN_EVENT: &str = "the answer ended within an event";

/// Beginning of the head of an answer.
const HEAD_START: &[u8] = b"HTTP/1.";
/// Why a stream is broken in which the head of another answer follows an event: nothing
/// else marks the end of a body without a length or chunks.
const HEAD_IN_BODY: &str = "the head of an answer stands where an event is due";

/// A replica's streamed answer.
pub struct ReplicaStream<W>
where
    W: Wire,
{
    /// Where it comes from.
    pub placement: Placement<W>,
    /// What marks the end of its body.
    pub framing: Framing,
    body: Incoming,
    splitter: EventSplitter,
    /// Events that the replica has sent so far, blank ones not counted.
    pub events: u64,
    /// Blank lines and comments before the first event.
    preamble: BytesMut,
    /// Why the stream broke, once it has.
    broken: Option<CompactString>,
    _connection: Connection,
}

/// What comes next in a stream.
pub enum StreamItem {
    /// A whole event.
    Event(Event),
    /// The replica ended its answer between events. Holds the bytes after the
    /// last event: blank lines and comments.
    End(Bytes),
    /// It broke off, for this reason.
    Broken(CompactString),
    /// Nothing came in time.
    Silent,
}

impl<W> ReplicaStream<W>
where
    W: Wire,
{
    /// Creates the stream of an answer with these headers.
    pub fn new(
        placement: Placement<W>,
        headers: &HeaderMap,
        body: Incoming,
        connection: Connection,
    ) -> Self {
        let framing = if body.is_end_stream() {
            // The answer to a `HEAD` has no body whose end could be marked.
            Framing::Length
        } else {
            Framing::of(headers)
        };
        Self {
            placement,
            framing,
            body,
            splitter: EventSplitter::default(),
            events: 0,
            preamble: BytesMut::new(),
            broken: None,
            _connection: connection,
        }
    }

    /// Returns the next item, or `Silent` after `limit`. A call that times out
    /// loses no data: the next call continues.
    pub async fn next(&mut self, limit: Duration) -> StreamItem {
        if let Some(reason) = &self.broken {
            return StreamItem::Broken(reason.clone());
        }
        let next = timeout(limit, self.read()).await;
        let next = next.unwrap_or(StreamItem::Silent);
        if let StreamItem::Broken(reason) = &next {
            self.broken = Some(reason.clone());
        }
        next
    }

    async fn read(&mut self) -> StreamItem {
        loop {
            if let Some(event) = self.splitter.next_event() {
                if let Some(item) = self.count(event) {
                    return item;
                }
                continue;
            }
            match self.body.frame().await {
                None if self.splitter.is_within_event() => {
                    return StreamItem::Broken(CompactString::const_new(ENDED_WITHIN_EVENT));
                }
                // A replica that crashes after the head closes its connection too.
                None if self.framing == Framing::Connection && self.events == 0 => {
                    return StreamItem::Broken(CompactString::const_new(ENDED_BEFORE_EVENTS));
                }
                None => {
                    self.preamble.extend_from_slice(&self.splitter.take_rest());
                    return StreamItem::End(self.preamble.split().freeze());
                }
                Some(Err(e)) => return StreamItem::Broken(CompactString::from(e.to_string())),
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else {
                        continue;
                    };
                    if let Err(e) = self.splitter.push(data) {
                        return StreamItem::Broken(CompactString::from(e.to_string()));
                    }
                }
            }
        }
    }
}

impl<W> ReplicaStream<W>
where
    W: Wire,
{
    /// Counts an event. Blank ones before the first are kept for it: they do not show
    /// that an answer has begun.
    fn count(&mut self, mut event: Event) -> Option<StreamItem> {
        if event.bytes.starts_with(HEAD_START) {
            return Some(StreamItem::Broken(CompactString::const_new(HEAD_IN_BODY)));
        }
        if event.is_blank && self.events == 0 {
            if self.preamble.len() + event.bytes.len() > MAX_EVENT_BYTES {
                return Some(StreamItem::Broken(CompactString::const_new(NO_EVENT)));
            }
            self.preamble.extend_from_slice(&event.bytes);
            return None;
        }
        if !event.is_blank {
            self.events += 1;
        }
        if !self.preamble.is_empty() {
            let mut bytes = std::mem::take(&mut self.preamble);
            bytes.extend_from_slice(&event.bytes);
            event.bytes = bytes.freeze();
        }
        Some(StreamItem::Event(event))
    }
}

/// Returns whether the body is a stream of events; one that does not say what it
/// is counts as one.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(media_type) = headers.get(CONTENT_TYPE) else {
        return true;
    };
    let mut parts = media_type.as_bytes().split(|byte| *byte == b';');
    let name = parts.next().unwrap_or_default().trim_ascii();
    name.eq_ignore_ascii_case(EVENT_STREAM.as_bytes())
}
