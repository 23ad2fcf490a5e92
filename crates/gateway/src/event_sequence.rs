//! The order of a stream's events, by their ids: whether one comes twice, and whether
//! another replica goes on where the last one broke off.

use compact_str::CompactString;

use crate::sse::Event;

/// The events that a client has.
#[derive(Debug, Default)]
pub struct EventSequence {
    /// Id of the last event that has one.
    pub last_id: Option<CompactString>,
    /// Whether some id was not the number after the one before.
    has_gaps: bool,
}

impl EventSequence {
    /// Records that the client gets an event.
    pub fn record(&mut self, event: &Event) {
        let Some(id) = &event.id else {
            return;
        };
        let before = self.last_number();
        let is_next = before.zip(number(id)).is_some_and(|(b, id)| b + 1 == id);
        self.has_gaps |= self.last_id.is_some() && !is_next;
        self.last_id = Some(id.clone());
    }

    /// Returns whether the client already has an event.
    #[must_use]
    pub fn is_repeated(&self, event: &Event) -> bool {
        let id = event.id.as_ref().and_then(number);
        let both = self.last_number().zip(id);
        both.is_some_and(|(last, id)| id <= last)
    }

    /// Returns whether an answer that begins with this event goes on after the last one.
    /// An event without an id does not where the others have one: it may be the text of
    /// an error. Neither does one that leaves out numbers where no other did.
    #[must_use]
    pub fn is_continued_by(&self, event: &Event) -> bool {
        if self.last_id.is_none() {
            return true;
        }
        let Some(id) = &event.id else {
            return false;
        };
        match (self.last_number(), number(id)) {
            (Some(last), Some(id)) => self.has_gaps || id <= last + 1,
            _ => true,
        }
    }

    fn last_number(&self) -> Option<u64> {
        self.last_id.as_ref().and_then(number)
    }
}

/// Returns the number that an id is, if one can follow it.
fn number(id: &CompactString) -> Option<u64> {
    id.parse().ok().filter(|number| *number < u64::MAX)
}
