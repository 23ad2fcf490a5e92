//! A bound on the bytes that many readers hold together.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// A part of a bound, which is given back when this is dropped.
pub trait ByteHold: Send + Sync + 'static {
    /// Raises the part to `bytes`, unless too little is left.
    fn raise_to(&mut self, bytes: usize) -> impl Future<Output = bool> + Send;
}

/// Bytes that readers may hold together.
#[derive(Debug)]
pub struct ByteBudget {
    left: Arc<AtomicUsize>,
}

impl ByteBudget {
    /// Creates a budget of so many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            left: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Starts a share of the budget, which holds nothing yet.
    #[must_use]
    pub fn share(&self) -> ByteShare {
        ByteShare {
            left: Arc::clone(&self.left),
            held: 0,
        }
    }
}

/// What one reader holds of a budget, until this is dropped.
#[derive(Debug)]
pub struct ByteShare {
    left: Arc<AtomicUsize>,
    held: usize,
}

impl ByteShare {
    /// Raises the share to `bytes`, unless the budget has too little left.
    pub fn raise_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.held);
        let taken = self
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

impl ByteHold for ByteShare {
    async fn raise_to(&mut self, bytes: usize) -> bool {
        Self::raise_to(self, bytes)
    }
}

impl Drop for ByteShare {
    fn drop(&mut self) {
        self.left.fetch_add(self.held, Ordering::Relaxed);
    }
}
