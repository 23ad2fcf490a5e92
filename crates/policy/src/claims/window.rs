//! Claims that stand, by key, for as long as they are remembered.

use std::collections::HashMap;
use std::collections::VecDeque;

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

#[derive(Debug)]
struct Age {
    number: SegmentNumber,
    written_ms: u64,
    keys: Vec<Digest>,
}

#[derive(Debug)]
struct Standing {
    claimed: Claimed,
    number: SegmentNumber,
}

/// The claims of one range that stand.
#[derive(Debug, Default)]
pub(super) struct Window {
    standing: HashMap<Digest, Standing>,
    ages: VecDeque<Age>,
}

impl Window {
    /// Takes a segment in its turn.
    pub(super) fn apply(&mut self, number: SegmentNumber, segment: &Segment) {
        let mut keys = Vec::new();
        for claim in &segment.claims {
            if self.stands(claim) {
                let claimed = claimed(claim);
                self.standing
                    .insert(claim.key, Standing { claimed, number });
                keys.push(claim.key);
            }
        }
        self.ages.push_back(Age {
            number,
            written_ms: segment.written_ms,
            keys,
        });
    }

    /// Returns whether a claim that comes next would stand.
    fn stands(&self, claim: &Claim) -> bool {
        match self.standing.get(&claim.key) {
            None => true,
            Some(current) => claim.instead_of == Some(current.claimed.id),
        }
    }

    pub(super) fn get(&self, key: &Digest) -> Option<&Claimed> {
        self.standing.get(key).map(|standing| &standing.claimed)
    }

    /// Forgets segments written before `start_ms` and returns their numbers.
    /// The last segment always stays: it says where the chain goes on.
    pub(super) fn forget_before(&mut self, start_ms: u64) -> Vec<SegmentNumber> {
        let mut numbers = Vec::new();
        while self.ages.len() > 1 && self.ages[0].written_ms < start_ms {
            let Some(age) = self.ages.pop_front() else {
                break;
            };
            for key in &age.keys {
                // A later claim may stand in place of this segment's.
                let standing = self.standing.get(key);
                if standing.is_some_and(|standing| standing.number == age.number) {
                    self.standing.remove(key);
                }
            }
            numbers.push(age.number);
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
