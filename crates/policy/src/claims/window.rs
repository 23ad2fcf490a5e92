//! Claims that stand, by key, for as long as they are remembered.

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

/// A segment is deleted only this long after it was first seen. Whoever held
/// its number for free by then does not any more.
const SEEN_FOR: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct Age {
    number: SegmentNumber,
    written_ms: u64,
    /// Its writer may have been paused, so its age says nothing of how long it
    /// has been there.
    seen: Instant,
}

#[derive(Debug)]
struct Standing {
    claimed: Claimed,
    written_ms: u64,
}

/// The claims of one range that stand.
#[derive(Debug, Default)]
pub(super) struct Window {
    standing: HashMap<Digest, Standing>,
    ages: VecDeque<Age>,
    forget_before_ms: u64,
}

impl Window {
    /// Takes a segment in its turn.
    pub(super) fn apply(&mut self, number: SegmentNumber, segment: &Segment, now: Instant) {
        self.forget(segment.forget_before_ms);
        let written_ms = segment.written_ms;
        for claim in &segment.claims {
            if self.stands(claim) {
                let claimed = claimed(claim);
                let standing = Standing {
                    claimed,
                    written_ms,
                };
                self.standing.insert(claim.key, standing);
            }
        }
        self.ages.push_back(Age {
            number,
            written_ms,
            seen: now,
        });
    }

    fn forget(&mut self, before_ms: u64) {
        if before_ms <= self.forget_before_ms {
            return;
        }
        self.forget_before_ms = before_ms;
        self.standing
            .retain(|_, standing| standing.written_ms >= before_ms);
    }

    /// Returns whether a claim that comes next would stand.
    fn stands(&self, claim: &Claim) -> bool {
        match self.standing.get(&claim.key) {
            None => true,
            Some(current) => claim.instead_of == Some(current.claimed.id),
        }
    }

    /// Returns the claim on a key that stands, unless it is older than
    /// `start_ms`: the next segment may then forget it.
    pub(super) fn get(&self, key: &Digest, start_ms: u64) -> Option<&Claimed> {
        let standing = self.standing.get(key)?;
        (standing.written_ms >= start_ms).then_some(&standing.claimed)
    }

    /// Keeps in mind since when segments have been seen that were in another
    /// window before.
    pub(super) fn seen_before(&mut self, before: &Self) {
        let seen = before.ages.iter().map(|age| (age.number, age.seen));
        let seen = seen.collect::<HashMap<_, _>>();
        for age in &mut self.ages {
            age.seen = seen
                .get(&age.number)
                .map_or(age.seen, |seen| age.seen.min(*seen));
        }
    }

    fn is_forgotten(&self, age: &Age, now: Instant) -> bool {
        let seen_for = now.saturating_duration_since(age.seen);
        age.written_ms < self.forget_before_ms && seen_for >= SEEN_FOR
    }

    /// Returns the numbers of segments whose claims the chain has forgotten.
    /// The last segment always stays: it says where the chain goes on.
    pub(super) fn trim(&mut self, now: Instant) -> Vec<SegmentNumber> {
        let mut numbers = Vec::new();
        while self.ages.len() > 1 && self.is_forgotten(&self.ages[0], now) {
            numbers.extend(self.ages.pop_front().map(|age| age.number));
        }
        numbers
    }
}

fn claimed(claim: &Claim) -> Claimed {
    Claimed {
        id: claim.id,
        request: claim.request,
        holder: claim.holder.clone(),
    }
}
