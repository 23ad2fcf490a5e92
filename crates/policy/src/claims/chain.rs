//! State of one range's chain on one router, which reads and extends it.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::ActiveClaim;
use super::Claim;
use super::ClaimId;
use super::MAX_SEGMENT_CLAIMS;
use super::Segment;
use super::SegmentNumber;
use super::window::Window;

/// A chain that was last synchronized longer ago than this is loaded again.
const RESYNC_AFTER: Duration = Duration::from_secs(10);
/// A write is void if its number was last known to be the next free one longer
/// ago than this: the segment that took the number, and those after it, may have
/// been written, discarded and deleted since, which frees the number again. Must
/// stay well below the time for which claims are kept beyond the longest
/// idempotency window.
const VOID_AFTER: Duration = Duration::from_secs(30);

/// Status of a claim according to the chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStatus {
    /// It was written too late; its holder must not send the request.
    Void,
    /// The claim is active: only its holder may send the request.
    Granted,
    /// Another claim on the key is active.
    Taken(ActiveClaim),
}

/// A claim together with its final status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecidedClaim {
    /// Id of the claim.
    pub id: ClaimId,
    /// Status of the claim.
    pub status: ClaimStatus,
}

/// The next operation for a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// List the whole chain and call [`Chain::loaded`].
    Load,
    /// Create the segment if its number is free and call [`Chain::written`],
    /// [`Chain::number_taken`] or [`Chain::outcome_unknown`].
    Write(SegmentNumber, Segment),
    /// Read the segment and call [`Chain::apply_segment`] or [`Chain::absent`].
    Read(SegmentNumber),
    /// Do nothing.
    Idle,
}

#[derive(Debug)]
enum Phase {
    NotLoaded,
    Ready,
    /// A write was sent and has not been answered.
    Writing(Segment),
    /// The outcome of a write is known only after the segment at the next
    /// number was read.
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
    synced_at: Option<Instant>,
    /// When the step in progress was returned.
    step_started: Option<Instant>,
    /// Claims written before this time need not be retained, in milliseconds
    /// since the epoch.
    retain_from_ms: u64,
}

impl Default for Chain {
    fn default() -> Self {
        Self {
            phase: Phase::NotLoaded,
            next: 0,
            window: Window::default(),
            waiting: VecDeque::new(),
            synced_at: None,
            step_started: None,
            retain_from_ms: 0,
        }
    }
}

impl Chain {
    /// Queues a claim to be written. Returns its status at once when the chain
    /// is known to hold an active claim on the key.
    pub fn submit(&mut self, claim: Claim) -> Option<ClaimStatus> {
        if let Some(status) = self.status(&claim) {
            return Some(status);
        }
        self.waiting.push_back(claim);
        None
    }

    /// Returns the next operation. Waiting claims are batched into one segment.
    pub fn step(&mut self, now: Instant, now_ms: u64) -> Step {
        let is_loaded = matches!(self.phase, Phase::Ready | Phase::MustRead);
        if is_loaded && !self.is_synced(now, RESYNC_AFTER) {
            self.phase = Phase::NotLoaded;
        }
        self.step_started = Some(now);
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
            floor: self.window.next_floor(self.retain_from_ms, now),
            claims: self.waiting.iter().take(count).cloned().collect(),
        };
        self.phase = Phase::Writing(segment.clone());
        Step::Write(self.next, segment)
    }

    /// Returns whether there are claims to write or old segments to discard.
    fn has_work(&self, now: Instant) -> bool {
        !self.waiting.is_empty() || self.has_old_segments(now)
    }

    /// Returns whether the chain has segments that can be discarded.
    #[must_use]
    pub fn has_old_segments(&self, now: Instant) -> bool {
        self.window.next_floor(self.retain_from_ms, now) > self.window.floor()
    }

    fn is_synced(&self, now: Instant, within: Duration) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < within;
        self.synced_at.is_some_and(is_recent)
    }

    /// Replaces the state by the listed chain, oldest segment first.
    pub fn loaded(
        &mut self,
        segments: Vec<(SegmentNumber, Segment)>,
        now: Instant,
    ) -> Vec<DecidedClaim> {
        let previous = std::mem::take(&mut self.window);
        self.next = 0;
        // Some of the segments below the highest floor may already be deleted.
        let floor = segments.iter().map(|(_, segment)| segment.floor).max();
        self.window.raise_floor(floor.unwrap_or(0));
        for (number, segment) in segments {
            self.window.apply(number, &segment, now);
            self.next = number + 1;
        }
        self.window.keep_first_seen(&previous);
        self.phase = Phase::Ready;
        self.synced_at = self.step_started;
        self.decide()
    }

    /// Records that the segment was created.
    pub fn written(&mut self, now: Instant) -> Vec<DecidedClaim> {
        let phase = std::mem::replace(&mut self.phase, Phase::Ready);
        let Phase::Writing(segment) = phase else {
            return Vec::new();
        };
        if !self.is_synced(now, VOID_AFTER) {
            self.phase = Phase::NotLoaded;
            return self.void_claims(&segment);
        }
        self.advance(&segment, now);
        self.decide()
    }

    fn void_claims(&mut self, segment: &Segment) -> Vec<DecidedClaim> {
        let is_void = |claim: &Claim| segment.claims.iter().any(|written| written.id == claim.id);
        let void_claims = self.waiting.iter().filter(|claim| is_void(claim));
        let decided = void_claims.map(|claim| DecidedClaim {
            id: claim.id,
            status: ClaimStatus::Void,
        });
        let decided = decided.collect();
        self.waiting.retain(|claim| !is_void(claim));
        decided
    }

    /// Records that the write was refused because another segment has the
    /// number.
    pub fn number_taken(&mut self) {
        self.phase = Phase::MustRead;
    }

    /// Records that the outcome of the write is unknown. Reading the segment at
    /// its number resolves it. If the write still arrives after the read, the
    /// number is either taken, so that the write fails, or holds this router's
    /// segment.
    pub fn outcome_unknown(&mut self) {
        self.phase = Phase::MustRead;
    }

    /// Records that the write had no effect; it is retried.
    pub fn not_written(&mut self) {
        self.phase = Phase::Ready;
    }

    /// Applies the segment that was read at the next number.
    pub fn apply_segment(&mut self, segment: &Segment, now: Instant) -> Vec<DecidedClaim> {
        if !self.is_synced(now, VOID_AFTER) {
            // The segment may not follow the last one known here: the chain may
            // have been trimmed and its number freed and reused.
            self.phase = Phase::NotLoaded;
            return Vec::new();
        }
        self.advance(segment, now);
        // More segments may follow; the next write finds out at no extra cost.
        self.phase = Phase::Ready;
        self.decide()
    }

    /// Records that there is no segment with the next number.
    pub fn absent(&mut self) {
        self.phase = Phase::Ready;
    }

    /// Removes the waiting claims for which `expired` returns true and returns
    /// their ids. A claim in a write with an unknown outcome may still become
    /// active; its holder must not send the request.
    pub fn remove_waiting<F>(&mut self, expired: F) -> Vec<ClaimId>
    where
        F: Fn(&ClaimId) -> bool,
    {
        let removed = self.waiting.iter().filter(|claim| expired(&claim.id));
        let ids = removed.map(|claim| claim.id).collect();
        self.waiting.retain(|claim| !expired(&claim.id));
        ids
    }

    /// Allows claims written before `start_ms`, in milliseconds since the epoch,
    /// to be discarded. The floor of the next segment announces it to every reader.
    pub fn retain_from(&mut self, start_ms: u64) {
        self.retain_from_ms = self.retain_from_ms.max(start_ms);
    }

    /// Returns the segments discarded since the last call, which may be deleted.
    pub fn take_discarded(&mut self) -> Vec<SegmentNumber> {
        self.window.take_discarded()
    }

    /// Returns the number of waiting claims.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn advance(&mut self, segment: &Segment, now: Instant) {
        self.window.apply(self.next, segment, now);
        self.next += 1;
        self.synced_at = self.step_started;
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
