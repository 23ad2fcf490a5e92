//! Segments that count, and the claims in them that stand.

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

/// A segment is forgotten only this long after it was first seen: its writer
/// may have been paused, so its own time says nothing of how long it has been
/// there. Whoever held its number for free by then does not any more.
const SEEN_FOR: Duration = Duration::from_mins(1);

/// A claim that stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claimed {
    /// Id of the claim.
    pub id: ClaimId,
    /// Digest of the request.
    pub request: Digest,
    /// Router that holds it.
    pub holder: RouterName,
}

#[derive(Debug)]
struct Kept {
    number: SegmentNumber,
    segment: Segment,
    seen: Instant,
}

/// The segments of one range that count, and the claims that stand.
///
/// What stands follows from the segments at or above the floor alone, so a
/// reader that loads the chain after a deletion sees what all others see.
#[derive(Debug, Default)]
pub(super) struct Window {
    floor: SegmentNumber,
    segments: VecDeque<Kept>,
    standing: HashMap<Digest, Claimed>,
    forgotten: Vec<SegmentNumber>,
}

impl Window {
    /// Takes a segment in its turn.
    pub(super) fn apply(&mut self, number: SegmentNumber, segment: &Segment, now: Instant) {
        if number < self.floor {
            // Written late into a number that was freed.
            self.forgotten.push(number);
            return;
        }
        for claim in &segment.claims {
            self.stand(claim);
        }
        self.segments.push_back(Kept {
            number,
            segment: segment.clone(),
            seen: now,
        });
        self.raise_floor(segment.floor);
    }

    /// Forgets everything below a number, as if it had never been.
    pub(super) fn raise_floor(&mut self, floor: SegmentNumber) {
        if floor <= self.floor {
            return;
        }
        self.floor = floor;
        while self
            .segments
            .front()
            .is_some_and(|kept| kept.number < floor)
        {
            let kept = self.segments.pop_front();
            self.forgotten.extend(kept.map(|kept| kept.number));
        }
        self.standing.clear();
        let segments = std::mem::take(&mut self.segments);
        for claim in segments.iter().flat_map(|kept| &kept.segment.claims) {
            self.stand(claim);
        }
        self.segments = segments;
    }

    fn stand(&mut self, claim: &Claim) {
        let stands = match self.standing.get(&claim.key) {
            None => true,
            Some(current) => claim.instead_of == Some(current.id),
        };
        if stands {
            self.standing.insert(claim.key, claimed(claim));
        }
    }

    /// Keeps in mind since when segments have been seen that were in another
    /// window before.
    pub(super) fn seen_before(&mut self, before: &Self) {
        let seen = before.segments.iter().map(|kept| (kept.number, kept.seen));
        let seen = seen.collect::<HashMap<_, _>>();
        for kept in &mut self.segments {
            if let Some(seen) = seen.get(&kept.number) {
                kept.seen = kept.seen.min(*seen);
            }
        }
    }

    /// Returns the claim on a key that stands.
    pub(super) fn get(&self, key: &Digest) -> Option<&Claimed> {
        self.standing.get(key)
    }

    /// Returns the floor that the next segment may state: everything below it
    /// was written before `start_ms` and has been seen for long enough. The
    /// last segment always counts: it says where the chain goes on.
    pub(super) fn next_floor(&self, start_ms: u64, now: Instant) -> SegmentNumber {
        let last = self.segments.len().saturating_sub(1);
        let is_old = |kept: &&Kept| {
            let seen_for = now.saturating_duration_since(kept.seen);
            kept.segment.written_ms < start_ms && seen_for >= SEEN_FOR
        };
        let old = self.segments.iter().take(last).take_while(is_old);
        old.last().map_or(self.floor, |kept| kept.number + 1)
    }

    /// Returns the floor in force.
    pub(super) fn floor(&self) -> SegmentNumber {
        self.floor
    }

    /// Returns the numbers of segments that were forgotten since it was asked
    /// last.
    pub(super) fn take_forgotten(&mut self) -> Vec<SegmentNumber> {
        std::mem::take(&mut self.forgotten)
    }
}

fn claimed(claim: &Claim) -> Claimed {
    Claimed {
        id: claim.id,
        request: claim.request,
        holder: claim.holder.clone(),
    }
}
