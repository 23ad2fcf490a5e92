//! The segments of a chain that are in effect, and their active claims.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::Digest;
use briarhall_types::RouterName;

use super::Claim;
use super::ClaimId;
use super::Segment;
use super::SegmentNumber;

/// A segment is discarded only this long after it was first seen. Its writer may
/// have been paused, so its `written_ms` does not show how long it has existed.
/// After this time no router still treats the segment's number as free.
const DISCARD_AFTER: Duration = Duration::from_mins(1);

/// The active claim on a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveClaim {
    /// Id of the claim.
    pub id: ClaimId,
    /// Digest of the request.
    pub request: Digest,
    /// Router that holds the claim.
    pub holder: RouterName,
}

#[derive(Debug)]
struct RetainedSegment {
    number: SegmentNumber,
    segment: Segment,
    first_seen: Instant,
}

/// The segments of one range that are in effect, and the active claims.
///
/// The active claims follow only from the segments at or above the floor, so a
/// reader that loads the chain after a deletion finds the same ones as all
/// others.
#[derive(Debug, Default)]
pub(super) struct Window {
    floor: SegmentNumber,
    segments: VecDeque<RetainedSegment>,
    active: HashMap<Digest, ActiveClaim>,
    discarded: Vec<SegmentNumber>,
}

impl Window {
    /// Applies the next segment of the chain.
    pub(super) fn apply(&mut self, number: SegmentNumber, segment: &Segment, now: Instant) {
        if number < self.floor {
            // A late write took a number that a deletion had freed.
            self.discarded.push(number);
            return;
        }
        for claim in &segment.claims {
            self.activate(claim);
        }
        self.segments.push_back(RetainedSegment {
            number,
            segment: segment.clone(),
            first_seen: now,
        });
        self.raise_floor(segment.floor);
    }

    /// Discards every segment below `floor` and computes the active claims anew.
    pub(super) fn raise_floor(&mut self, floor: SegmentNumber) {
        if floor <= self.floor {
            return;
        }
        self.floor = floor;
        while self
            .segments
            .front()
            .is_some_and(|retained| retained.number < floor)
        {
            let retained = self.segments.pop_front();
            self.discarded
                .extend(retained.map(|retained| retained.number));
        }
        self.active.clear();
        let segments = std::mem::take(&mut self.segments);
        for claim in segments
            .iter()
            .flat_map(|retained| &retained.segment.claims)
        {
            self.activate(claim);
        }
        self.segments = segments;
    }

    fn activate(&mut self, claim: &Claim) {
        let becomes_active = match self.active.get(&claim.key) {
            None => true,
            Some(current) => claim.instead_of == Some(current.id),
        };
        if becomes_active {
            self.active.insert(claim.key, active_claim(claim));
        }
    }

    /// Copies the times at which segments were first seen from the window that
    /// this one replaces.
    pub(super) fn keep_first_seen(&mut self, previous: &Self) {
        let first_seen = previous
            .segments
            .iter()
            .map(|retained| (retained.number, retained.first_seen));
        let first_seen = first_seen.collect::<HashMap<_, _>>();
        for retained in &mut self.segments {
            if let Some(first_seen) = first_seen.get(&retained.number) {
                retained.first_seen = retained.first_seen.min(*first_seen);
            }
        }
    }

    /// Returns the active claim on a key.
    pub(super) fn get(&self, key: &Digest) -> Option<&ActiveClaim> {
        self.active.get(key)
    }

    /// Returns the floor for the next segment: every segment below it was
    /// written before `retain_from_ms` and first seen at least
    /// [`DISCARD_AFTER`] ago. The last segment is never below the floor, because
    /// it determines the next number of the chain.
    pub(super) fn next_floor(&self, retain_from_ms: u64, now: Instant) -> SegmentNumber {
        let last = self.segments.len().saturating_sub(1);
        let is_old = |retained: &&RetainedSegment| {
            let seen_for = now.saturating_duration_since(retained.first_seen);
            retained.segment.written_ms < retain_from_ms && seen_for >= DISCARD_AFTER
        };
        let old = self.segments.iter().take(last).take_while(is_old);
        old.last()
            .map_or(self.floor, |retained| retained.number + 1)
    }

    /// Returns the current floor.
    pub(super) fn floor(&self) -> SegmentNumber {
        self.floor
    }

    /// Returns the numbers of the segments discarded since the last call.
    pub(super) fn take_discarded(&mut self) -> Vec<SegmentNumber> {
        std::mem::take(&mut self.discarded)
    }
}

fn active_claim(claim: &Claim) -> ActiveClaim {
    ActiveClaim {
        id: claim.id,
        request: claim.request,
        holder: claim.holder.clone(),
    }
}
