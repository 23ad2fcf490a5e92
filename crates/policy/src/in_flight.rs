//! Client requests that a gateway has read and not yet answered in full.
//!
//! A process that is about to end takes no request any more once it has found that none is
//! in flight: one that came between that decision and the end would be cut.

use std::time::Instant;

use briarhall_types::ReplicaId;
use compact_str::CompactString;
use slotmap::SlotMap;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a request in flight.
    pub struct InFlightKey;
}

/// A request in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInFlight {
    /// Id that its client gave it.
    pub id: CompactString,
    /// When its head arrived.
    pub arrived: Instant,
    /// The last replica to which it was sent, and when.
    pub sent: Option<(ReplicaId, Instant)>,
}

/// The requests in flight.
#[derive(Debug, Default)]
pub struct InFlightRequests {
    requests: SlotMap<InFlightKey, RequestInFlight>,
    closed: bool,
}

impl InFlightRequests {
    /// Adds a request whose head arrived at `arrived`, unless no more are taken.
    pub fn add(&mut self, id: CompactString, arrived: Instant) -> Option<InFlightKey> {
        if self.closed {
            return None;
        }
        Some(self.requests.insert(RequestInFlight {
            id,
            arrived,
            sent: None,
        }))
    }

    /// Takes no more requests if none is in flight, and returns whether that is so.
    pub fn close_if_empty(&mut self) -> bool {
        self.closed |= self.is_empty();
        self.closed
    }

    /// Takes no more requests.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Returns whether a request was sent to a replica, so that it may have run.
    #[must_use]
    pub fn was_sent(&self, key: InFlightKey) -> bool {
        let request = self.requests.get(key);
        request.is_some_and(|request| request.sent.is_some())
    }

    /// Records that a request is sent to a replica.
    pub fn sent(&mut self, key: InFlightKey, replica: &ReplicaId, now: Instant) {
        if let Some(request) = self.requests.get_mut(key) {
            request.sent = Some((replica.clone(), now));
        }
    }

    /// Removes a request that is answered in full, or whose client has left.
    pub fn remove(&mut self, key: InFlightKey) {
        self.requests.remove(key);
    }

    /// Returns the number of requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the requests, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &RequestInFlight> {
        self.requests.values()
    }
}
