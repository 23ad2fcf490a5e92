//! At most once: claims on idempotency keys, in a log that the platform orders.
//!
//! Keys are split into ranges. Each range has a chain of numbered segments in
//! the object API; a segment is created on condition that its number is free,
//! and holds any number of claims. A claim counts when its segment was created
//! and no earlier claim on the key stands. The chain alone decides, so no lease
//! or clock is needed for safety: a router that was paused finds its number
//! taken and reads on.
//!
//! Routers send claims for a range to the one that rendezvous hashing names.
//! That only makes conflicts rare and shares writes between more claims; two
//! routers that both write the same chain are merely slower.

mod chain;
mod window;

use std::time::Duration;

use briarhall_types::Digest;
use briarhall_types::RouterName;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

pub use chain::Chain;
pub use chain::ClaimStatus;
pub use chain::DecidedClaim;
pub use chain::Step;
pub use window::Claimed;

/// Ranges that keys are split into.
pub const RANGES: u64 = 16;
/// Claims that one segment holds at the most, so that it stays far below the
/// largest value the object API takes.
pub const MAX_SEGMENT_CLAIMS: usize = 2_000;

/// Id of a claim, made by the router that holds it.
pub type ClaimId = Uuid;
/// Number of a segment in its chain.
pub type SegmentNumber = u64;

/// A claim on a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the claim.
    pub id: ClaimId,
    /// Digest of customer, call and idempotency key.
    pub key: Digest,
    /// Digest of the request, to refuse a key used for another one.
    pub request: Digest,
    /// Router that holds the claim; it alone may send the request.
    pub holder: RouterName,
    /// A claim whose holder promised never to send: this one takes its place.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instead_of: Option<ClaimId>,
}

/// One segment of a chain, as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Milliseconds since the epoch, by the writer's clock.
    pub written_ms: u64,
    /// Segments with a lower number count no longer, from this segment on, as if
    /// they had never been. Stated in the chain, so that every reader forgets
    /// alike, whether or not they are deleted yet.
    pub floor: SegmentNumber,
    /// The claims, in order.
    pub claims: Vec<Claim>,
}

/// Returns the range a key belongs to.
#[must_use]
pub fn range_of(key: &Digest) -> u64 {
    key.prefix() % RANGES
}

/// Returns the kind of the objects that hold a range's chain.
#[must_use]
pub fn chain_kind(range: u64) -> String {
    format!("claims-{range:03}")
}

/// Returns the name of a segment's object; names sort by number.
#[must_use]
pub fn segment_name(number: SegmentNumber) -> String {
    format!("{number:012}")
}

/// Reads a segment's number from its name.
#[must_use]
pub fn segment_number(name: &CompactString) -> Option<SegmentNumber> {
    name.parse().ok()
}

/// Returns milliseconds since the epoch `window` ago.
#[must_use]
pub fn window_start(now_ms: u64, window: Duration) -> u64 {
    let window = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
    now_ms.saturating_sub(window)
}
