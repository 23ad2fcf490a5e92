//! Which requests are large for their kind.
//!
//! Where room is short, a small request fits more often than a large one of the same
//! kind. The largest three tenths are told apart, so that they are not passed over.

use std::collections::HashMap;
use std::collections::VecDeque;

/// Sizes of each kind that are remembered: enough to find a tenth.
const MAX_SIZES: usize = 64;
/// Sizes of a kind from which its large requests are told apart.
const MIN_SIZES: usize = 10;
/// Most kinds: one for each route and service.
const MAX_KINDS: usize = 256;
/// Tenths of a kind's requests that are not large: the largest tenth and the fifth below
/// it are.
const NOT_LARGE_TENTHS: usize = 7;

/// Sizes of recent requests by kind.
#[derive(Debug, Default)]
pub struct SizeClasses {
    recent: HashMap<u32, VecDeque<u64>>,
}

impl SizeClasses {
    /// Records a request, and returns whether it is large for its kind.
    pub fn record(&mut self, kind: u32, size: u64) -> bool {
        if self.recent.len() >= MAX_KINDS && !self.recent.contains_key(&kind) {
            self.recent.clear();
        }
        let recent = self.recent.entry(kind).or_default();
        let smaller = recent.iter().filter(|other| **other < size).count();
        let large = recent.len() >= MIN_SIZES && smaller * 10 >= recent.len() * NOT_LARGE_TENTHS;
        if recent.len() == MAX_SIZES {
            recent.pop_front();
        }
        recent.push_back(size);
        large
    }
}
