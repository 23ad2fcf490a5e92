//! One range's chain, as one router follows and extends it.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::Claim;
use super::ClaimId;
use super::Claimed;
use super::MAX_SEGMENT_CLAIMS;
use super::Segment;
use super::SegmentNumber;
use super::window::Window;

/// What is known of a chain counts for this long; then it is loaded again.
const RESYNC_AFTER: Duration = Duration::from_secs(10);
/// A write whose place in the chain was known longer ago than this is void:
/// the segments after it may have been written, forgotten and deleted since,
/// and its number freed. Must stay well below the margin of retention.
const VOID_AFTER: Duration = Duration::from_secs(30);

/// What the chain says about a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStatus {
    /// It was written too late to count; its holder must not send.
    Void,
    /// The claim stands: its holder, and nobody else, may send the request.
    Granted,
    /// Another claim stands.
    Taken(Claimed),
}

/// A claim that was decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecidedClaim {
    /// The claim.
    pub id: ClaimId,
    /// What the chain says.
    pub status: ClaimStatus,
}

/// What to do next for a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// List the whole chain and call [`Chain::loaded`].
    Load,
    /// Create the segment if its number is free and call [`Chain::written`],
    /// [`Chain::refused`] or [`Chain::unsure`].
    Write(SegmentNumber, Segment),
    /// Read the segment and call [`Chain::read`] or [`Chain::absent`].
    Read(SegmentNumber),
    /// Nothing.
    Idle,
}

#[derive(Debug)]
enum Phase {
    NotLoaded,
    Ready,
    /// A write was sent and not answered yet.
    Writing(Segment),
    /// The segment at the next number must be read to know what happened.
    MustRead,
}

/// One range's chain.
#[derive(Debug)]
pub struct Chain {
    phase: Phase,
    next: SegmentNumber,
    window: Window,
    waiting: VecDeque<Claim>,
    /// The next number was free at or after this time.
    synced: Option<Instant>,
    /// When the step under way was given out.
    asked: Option<Instant>,
    /// Claims written before this time are remembered no longer.
    start_ms: u64,
}

impl Default for Chain {
    fn default() -> Self {
        Self {
            phase: Phase::NotLoaded,
            next: 0,
            window: Window::default(),
            waiting: VecDeque::new(),
            synced: None,
            asked: None,
            start_ms: 0,
        }
    }
}

impl Chain {
    /// Takes a claim. It is decided at once when the chain is known to hold
    /// another claim on the key.
    pub fn submit(&mut self, claim: Claim) -> Option<ClaimStatus> {
        if let Some(status) = self.status(&claim) {
            return Some(status);
        }
        self.waiting.push_back(claim);
        None
    }

    /// Returns what to do next, with claims batched into one segment.
    pub fn step(&mut self, now: Instant, now_ms: u64) -> Step {
        let follows = matches!(self.phase, Phase::Ready | Phase::MustRead);
        if follows && !self.is_synced(now, RESYNC_AFTER) {
            self.phase = Phase::NotLoaded;
        }
        self.asked = Some(now);
        match &self.phase {
            Phase::MustRead => Step::Read(self.next),
            Phase::Writing(_) => Step::Idle,
            Phase::NotLoaded | Phase::Ready if !self.has_work(now) => Step::Idle,
            Phase::NotLoaded => Step::Load,
            Phase::Ready => self.write(now, now_ms),
        }
    }

    fn write(&mut self, now: Instant, now_ms: u64) -> Step {
        let count = self.waiting.len().min(MAX_SEGMENT_CLAIMS);
        let segment = Segment {
            written_ms: now_ms,
            floor: self.window.next_floor(self.start_ms, now),
            claims: self.waiting.iter().take(count).cloned().collect(),
        };
        self.phase = Phase::Writing(segment.clone());
        Step::Write(self.next, segment)
    }

    /// Claims to write, or old segments to forget.
    fn has_work(&self, now: Instant) -> bool {
        !self.waiting.is_empty() || self.has_old_segments(now)
    }

    /// Returns whether the chain holds segments that can be forgotten.
    #[must_use]
    pub fn has_old_segments(&self, now: Instant) -> bool {
        self.window.next_floor(self.start_ms, now) > self.window.floor()
    }

    fn is_synced(&self, now: Instant, within: Duration) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < within;
        self.synced.is_some_and(recent)
    }

    /// Takes the whole chain, oldest first.
    pub fn loaded(
        &mut self,
        segments: Vec<(SegmentNumber, Segment)>,
        now: Instant,
    ) -> Vec<DecidedClaim> {
        let before = std::mem::take(&mut self.window);
        self.next = 0;
        // What lies below the highest floor may be deleted in part.
        let floor = segments.iter().map(|(_, segment)| segment.floor).max();
        self.window.raise_floor(floor.unwrap_or(0));
        for (number, segment) in segments {
            self.window.apply(number, &segment, now);
            self.next = number + 1;
        }
        self.window.seen_before(&before);
        self.phase = Phase::Ready;
        self.synced = self.asked;
        self.decide()
    }

    /// The segment was created.
    pub fn written(&mut self, now: Instant) -> Vec<DecidedClaim> {
        let phase = std::mem::replace(&mut self.phase, Phase::Ready);
        let Phase::Writing(segment) = phase else {
            return Vec::new();
        };
        if !self.is_synced(now, VOID_AFTER) {
            self.phase = Phase::NotLoaded;
            return self.void(&segment);
        }
        self.advance(&segment, now);
        self.decide()
    }

    fn void(&mut self, segment: &Segment) -> Vec<DecidedClaim> {
        let is_void = |claim: &Claim| segment.claims.iter().any(|void| void.id == claim.id);
        let void = self.waiting.iter().filter(|claim| is_void(claim));
        let decided = void.map(|claim| DecidedClaim {
            id: claim.id,
            status: ClaimStatus::Void,
        });
        let decided = decided.collect();
        self.waiting.retain(|claim| !is_void(claim));
        decided
    }

    /// Another segment has the number.
    pub fn refused(&mut self) {
        self.phase = Phase::MustRead;
    }

    /// The segment may or may not have been created. Reading its number tells;
    /// should the write still arrive after that, the number is taken or ours.
    pub fn unsure(&mut self) {
        self.phase = Phase::MustRead;
    }

    /// The write certainly had no effect; it is made again.
    pub fn not_written(&mut self) {
        self.phase = Phase::Ready;
    }

    /// The segment with the next number is this.
    pub fn read(&mut self, segment: &Segment, now: Instant) -> Vec<DecidedClaim> {
        if !self.is_synced(now, VOID_AFTER) {
            // What has this number now need not follow what was held.
            self.phase = Phase::NotLoaded;
            return Vec::new();
        }
        self.advance(segment, now);
        // More may follow, but a write finds that out at no extra cost.
        self.phase = Phase::Ready;
        self.decide()
    }

    /// There is no segment with the next number.
    pub fn absent(&mut self) {
        self.phase = Phase::Ready;
    }

    /// Gives up waiting claims for which `expired` holds and returns their
    /// ids. One that was in a write of unknown fate may still come to stand;
    /// its holder must not send it.
    pub fn give_up<F>(&mut self, expired: F) -> Vec<ClaimId>
    where
        F: Fn(&ClaimId) -> bool,
    {
        let given_up = self.waiting.iter().filter(|claim| expired(&claim.id));
        let ids = given_up.map(|claim| claim.id).collect();
        self.waiting.retain(|claim| !expired(&claim.id));
        ids
    }

    /// Claims written before `start_ms` need not be remembered any more. The
    /// next segment says so to every reader.
    pub fn remember_from(&mut self, start_ms: u64) {
        self.start_ms = self.start_ms.max(start_ms);
    }

    /// Returns the segments that the chain has forgotten and that may be
    /// deleted.
    pub fn trim(&mut self) -> Vec<SegmentNumber> {
        self.window.take_forgotten()
    }

    /// Returns the number of claims that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn advance(&mut self, segment: &Segment, now: Instant) {
        self.window.apply(self.next, segment, now);
        self.next += 1;
        self.synced = self.asked;
    }

    fn status(&self, claim: &Claim) -> Option<ClaimStatus> {
        let current = self.window.get(&claim.key)?;
        if current.id == claim.id {
            return Some(ClaimStatus::Granted);
        }
        if claim.instead_of == Some(current.id) {
            return None;
        }
        Some(ClaimStatus::Taken(current.clone()))
    }

    fn decide(&mut self) -> Vec<DecidedClaim> {
        let mut decided = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        for claim in waiting {
            match self.status(&claim) {
                Some(status) => decided.push(DecidedClaim {
                    id: claim.id,
                    status,
                }),
                None => self.waiting.push_back(claim),
            }
        }
        decided
    }
}
