//! Bounds the processor time that bodies in tiny chunks take.
//!
//! A chunk costs the parser as much for one byte as for thousands. Bodies of small chunks
//! are read in batches, one batch of all of them together at a time.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;

/// Longest chunk that counts as small, in bytes.
pub const SMALL_CHUNK_BYTES: usize = 64;
/// Small chunks in one batch.
pub const BATCH_CHUNKS: usize = 1024;
/// Time between two batches of a process that has a whole core: some times what one takes.
const BATCH_INTERVAL: Duration = Duration::from_millis(1);
const WHOLE_CORE_MILLICORES: u32 = 1_000;

/// Gives turns to those who read small chunks.
#[derive(Debug)]
pub struct ChunkPace {
    interval: Duration,
    next: Mutex<Instant>,
}

impl ChunkPace {
    /// Creates the turns of a process whose part of a core is `millicores`.
    pub fn new(millicores: u32) -> Self {
        Self {
            interval: BATCH_INTERVAL * WHOLE_CORE_MILLICORES / millicores.max(1),
            next: Mutex::new(Instant::now()),
        }
    }

    /// Waits for the next turn.
    pub async fn turn(&self) {
        Timer::at(self.next_turn()).await;
    }

    fn next_turn(&self) -> Instant {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        let at = (*next).max(Instant::now());
        *next = at + self.interval;
        at
    }
}
