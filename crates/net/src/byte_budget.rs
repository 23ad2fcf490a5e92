//! A bound on the bytes that many readers hold together.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Bytes that readers may hold together.
#[derive(Debug)]
pub struct ByteBudget {
    left: AtomicUsize,
}

impl ByteBudget {
    /// Creates a budget of so many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            left: AtomicUsize::new(bytes),
        }
    }

    /// Starts a share of the budget, which holds nothing yet.
    pub fn share(&self) -> ByteShare<'_> {
        ByteShare {
            budget: self,
            held: 0,
        }
    }
}

/// What one reader holds of a budget, until this is dropped.
#[derive(Debug)]
pub struct ByteShare<'a> {
    budget: &'a ByteBudget,
    held: usize,
}

impl ByteShare<'_> {
    /// Raises the share to `bytes`, unless the budget has too little left.
    pub fn raise_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.held);
        let taken = self
            .budget
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                left.checked_sub(more)
            });
        if taken.is_ok() {
            self.held += more;
        }
        taken.is_ok()
    }
}

impl Drop for ByteShare<'_> {
    fn drop(&mut self) {
        self.budget.left.fetch_add(self.held, Ordering::Relaxed);
    }
}
